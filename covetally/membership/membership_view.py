"""Decides which nodes there are, from what sources say and when. No I/O; times are ns on one clock.

What takes work from one node is believed at once. Two kinds of news need a witness or time, at most `hold_ns`:

    news                                             believed
    ----                                             --------
    a node is listed that was never listed           at once
    a state that wants no work (mark, drain, down)   at once, unless its stamps are older than what is known
    up again, or another address                     at once if its stamps are newer, or the teller is the one
                                                     that said otherwise; else after hold_ns of saying so
    listed again after it was dropped, cold          the same; but by the same teller only if its stamps are
                                                     newer, it was lacking in fewer than MISSES reads, or it
                                                     was given up only because of time or an operator's word
    anybody, while no node at all is up              at once
    one node missing, others listed                  at once
    several missing, few enough                      at once: up to `share` of the nodes within hold_ns
    more missing, or nothing left                    each node: when so few are missing in two equal reads in a
                                                     row, when another address of the source lacks it too,
                                                     when it takes no connections, when an operator says so, when
                                                     its address is believed under another id, or after hold_ns
    an entry that cannot be read                     nothing: the node stays as it is
    an answer that did not come whole                what it lists; what it lacks says nothing

While nodes are held the roster is in doubt. Nothing else is: a source that cannot be reached changes nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from covetally.membership.model import DOWN, STARTING, UP, Address, Member, Read, Rule, Told

AUTO, HOLD, BELIEVE = "auto", "hold", "believe"
ORDERS = (AUTO, HOLD, BELIEVE)
COUNTS = ("reads", "damaged", "doubts", "dropped", "held", "confirmed", "timed_out")
SHOWN = 2000  # nodes in a table for operators, at most: it has to fit a frame of the control link
TOMBS = 4096  # dropped nodes remembered, at most
MISSES = 3  # a node lacking in so many reads was no slip of the pen


@dataclass(slots=True)
class _Node:
    """A node that is believed to be there."""

    member: Member
    teller: str
    source: str
    started_ns: int
    held_since: int = 0  # first missing from a read that is doubted; 0: listed
    contested_since: int = 0  # since when its source says what is not believed yet
    contested_word: str = ""


@dataclass(frozen=True, slots=True)
class _Tomb:
    """A node that was dropped: as it was last, by whom, and in which read; `doubted` if nothing but time or an
    operator ended a doubt about it."""

    member: Member
    teller: str
    read: int
    doubted: bool


@dataclass(frozen=True, slots=True)
class Level:
    """What state the roster is in: none, kept, fresh, stale, in doubt or held, since when, and why."""

    word: str
    since: int
    why: str


class Believer:
    """One sidecar's roster. Every method that takes `now` returns what to tell the balancer, in order."""

    def __init__(self, rule: Rule, now: int) -> None:
        self.rule = rule
        self.nodes: dict[str, _Node] = {}
        self.mode = AUTO
        self.revision = ""  # of the last clean read that nothing was held against
        self.source = self.teller = ""
        self.bad: Mapping[str, str] = {}
        self.shared: dict[str, str] = {}  # entries passed over, and whose address they have
        self.counts = dict.fromkeys(COUNTS, 0)
        self._tombs: dict[str, _Tomb] = {}
        self._waiting: dict[str, int] = {}  # dropped ones that an older word lists again, and since when
        self._losses: deque[tuple[int, int]] = deque()  # when, how many were dropped unheld
        self._read_at = now
        self._first = True  # no read was believed yet, and no kept roster
        self._listed: frozenset[str] = frozenset()
        self._settled = False  # the last two reads listed the same
        self._level = Level("none", now, "nothing was read yet")

    # --- what comes in --------------------------------------------------------------------------

    def kept(self, now: int, members: Iterable[Member], revision: str) -> list[Told]:
        """The last good roster of an earlier process, before anything was read."""
        told = []
        for member in members:
            self.nodes[member.id] = _Node(member, "kept", "kept", 0)
            told.append(self._tell(self.nodes[member.id]))
        if self.nodes:
            self._first, self.revision = False, revision
            self._level = Level("kept", now, f"serving on the kept roster of revision {revision or '?'}")
        return told

    def read(self, now: int, read: Read) -> list[Told]:
        """A source that is served from has answered."""
        told: dict[str, Told] = {}
        members = self._one_for_each_address(read)
        self.counts["reads"] += 1
        for member in members.values():
            self._hear(now, read, member, told)
        if read.clean:
            listed = frozenset(members)
            self._settled, self._listed = listed == self._listed, listed
            self._miss(now, read, members, told)
            self._read_at, self.source, self.teller = now, read.source, read.teller
            self._first = self._first and not members
            self.bad = read.bad
            self._waiting = {name: at for name, at in self._waiting.items() if name in members}
            if not self.held():
                self.revision = read.revision
        else:
            self.counts["damaged"] += 1
        self._look(now)
        return list(told.values())

    def witness(self, now: int, read: Read) -> list[Told]:
        """Another address of the source that is served from, asked because nodes are held.

        Its word counts only if it lists nodes, and while the list that is doubted does not grow: two registries
        that both started anew agree on an empty list, and on whatever came back first.
        """
        told: dict[str, Told] = {}
        lists_some = any(member.state == UP for member in read.members.values())
        if read.clean and lists_some and self._settled and self.mode == AUTO:
            for name in self.held():
                if name not in read.members and name not in read.bad:
                    self.counts["confirmed"] += 1
                    self._drop(name, told)
        self._look(now)
        return list(told.values())

    def evidence(self, now: int, silent: Iterable[str]) -> list[Told]:
        """What this sidecar sees itself: nodes that do not answer. Held ones among them are gone."""
        told: dict[str, Told] = {}
        if self.mode == AUTO:
            for name in silent:
                node = self.nodes.get(name)
                if node is not None and node.held_since:
                    self.counts["confirmed"] += 1
                    self._drop(name, told)
        self._look(now)
        return list(told.values())

    def order(self, now: int, word: str) -> list[Told]:
        """An operator: believe what is held against now, hold all that go missing from now on, or neither."""
        told: dict[str, Told] = {}
        if word == BELIEVE:
            self.mode = AUTO
            for name in self.held():
                self._drop(name, told, doubted=True)
        else:
            self.mode = word
        self._look(now)
        return list(told.values())

    def tick(self, now: int) -> list[Told]:
        """Time has passed: what was held long enough is believed."""
        told: dict[str, Told] = {}
        if self.mode == AUTO:
            for name in self.held():
                if now - self.nodes[name].held_since >= self.rule.hold_ns:
                    self.counts["timed_out"] += 1
                    self._drop(name, told, doubted=True)
        self._look(now)
        return list(told.values())

    # --- what is known --------------------------------------------------------------------------

    def held(self) -> list[str]:
        """The nodes that the source lacks and that are kept all the same."""
        return [name for name, node in self.nodes.items() if node.held_since]

    def level(self, now: int) -> Level:
        """The roster's state."""
        self._look(now)
        return self._level

    def roster(self) -> list[Told]:
        """All of it, as told."""
        return [self._tell(node) for node in self.nodes.values()]

    def table(self, now: int) -> dict[str, Any]:
        """For operators. Ages are in seconds."""
        level = self.level(now)

        def age(since: int) -> float:
            return round((now - since) / 1e9, 1)

        return {
            "level": level.word, "why": level.why, "for_s": age(level.since), "source": self.source,
            "teller": self.teller, "revision": self.revision, "read_s": age(self._read_at), "mode": self.mode,
            "nodes": [
                {
                    "node": name, "address": "{}:{}".format(*n.member.address), "state": n.member.state,
                    "word": n.member.word, "held_s": age(n.held_since) if n.held_since else None,
                    "contested_s": age(n.contested_since) if n.contested_since else None,
                    "contested": n.contested_word,
                }
                for name, n in sorted(self.nodes.items(), key=_troubled)[:SHOWN]
            ],
            "not_shown": max(0, len(self.nodes) - SHOWN),
            "waiting": {name: age(at) for name, at in sorted(self._waiting.items())},
            "bad": dict(sorted(self.bad.items())[:100]), "shared": dict(self.shared), "counts": dict(self.counts),
        }  # fmt: skip

    # --- one node -------------------------------------------------------------------------------

    def _hear(self, now: int, read: Read, member: Member, told: dict[str, Told]) -> None:
        node, teller = self.nodes.get(member.id), read.teller
        if node is None:
            self._enter(now, read, member, told)
            return
        node.held_since = 0
        known, known_by = node.member, node.teller
        if member is known or member == known:
            node.contested_since, node.teller, node.source = 0, teller, read.source
            return
        if self._against(known, known_by, member, teller):
            node.contested_since = node.contested_since or now
            node.contested_word = f"{member.word or member.state} says {teller}"
            if now - node.contested_since < self.rule.hold_ns:
                return
        anew = _started_anew(known, known_by, member, teller)
        if anew:
            node.started_ns = now if member.boot == known.boot else max(member.started_ns, 0)
        node.member, node.teller, node.source, node.contested_since = member, teller, read.source, 0
        if anew or not member.same_node(known):
            told[member.id] = self._tell(node)

    def _enter(self, now: int, read: Read, member: Member, told: dict[str, Told]) -> None:
        tomb = self._tombs.get(member.id)
        weak = tomb is not None and self._any_up() and self._returns_weakly(tomb, member, read.teller)
        if weak and now - self._waiting.setdefault(member.id, now) < self.rule.hold_ns:
            return
        self._waiting.pop(member.id, None)
        self._tombs.pop(member.id, None)
        before = None if self._first else self._at(member.address)
        if tomb is not None:
            started = now
        elif before is not None and before.source != read.source:
            started = before.started_ns  # the same process, as another source calls it
        elif member.started_ns >= 0:
            started = member.started_ns
        else:
            started = 0 if self._first else now
        node = self.nodes[member.id] = _Node(member, read.teller, read.source, started)
        told[member.id] = self._tell(node)

    def _any_up(self) -> bool:
        return any(node.member.state == UP for node in self.nodes.values())

    def _at(self, address: Address) -> _Node | None:
        return next((n for n in self.nodes.values() if n.member.address == address), None)

    def _returns_weakly(self, tomb: _Tomb, member: Member, teller: str) -> bool:
        if teller == tomb.teller and (tomb.doubted or self.counts["reads"] - tomb.read < MISSES):
            return _older(tomb.member, tomb.teller, member, teller)
        if teller == tomb.teller and not member.dirty:
            return False  # it names no stamps, so the teller's own word is all there is
        return not member.dirty > tomb.member.dirty

    def _against(self, known: Member, known_by: str, said: Member, teller: str) -> bool:
        """Whether what is said has to be doubted against what is known of a node."""
        gives = said.state == UP and (known.state != UP or said.address != known.address)
        unproven = gives and teller != known_by and not said.dirty > known.dirty > 0
        return unproven or _older(known, known_by, said, teller)

    def _tell(self, node: _Node) -> Told:
        lifecycle = "up" if node.member.state == UP else "draining"
        return Told(node.member, lifecycle, node.started_ns)

    def _drop(self, name: str, told: dict[str, Told], succeeded: bool = False, doubted: bool = False) -> None:
        node = self.nodes.pop(name)
        self.counts["dropped"] += 1
        if not succeeded:
            if len(self._tombs) >= TOMBS:
                del self._tombs[next(iter(self._tombs))]
            self._tombs.pop(name, None)
            self._tombs[name] = _Tomb(node.member, node.teller, self.counts["reads"], doubted)
        told[name] = Told(node.member, "removed", node.started_ns)

    # --- what is missing ------------------------------------------------------------------------

    def _miss(self, now: int, read: Read, members: Mapping[str, Member], told: dict[str, Told]) -> None:
        missing = [name for name in self.nodes if name not in members and name not in read.bad]
        if not missing:
            return
        addresses = {self.nodes[name].member.address for name in members if name in self.nodes}
        fresh, held = [], []
        for name in missing:
            node = self.nodes[name]
            if node.member.address in addresses:
                self._drop(name, told, succeeded=True)
            elif node.member.state != UP and self.mode == AUTO:
                self._drop(name, told)  # it got no work anyway
            else:
                (held if node.held_since else fresh).append(name)
        some_left = any(member.state == UP for member in members.values())
        if held and self._settled and self._few(now, len(fresh) + len(held), some_left):
            fresh += held  # the others came back: these are gone
        if not fresh:
            return
        if self._few(now, len(fresh), some_left):
            self._losses.append((now, len(fresh)))
            for name in fresh:
                self._drop(name, told)
            return
        self.counts["doubts"] += 1
        self.counts["held"] += len(fresh)
        for name in fresh:
            self.nodes[name].held_since = now

    def _few(self, now: int, count: int, some_left: bool) -> bool:
        """Whether so many may be dropped on the source's word alone."""
        while self._losses and now - self._losses[0][0] >= self.rule.hold_ns:
            self._losses.popleft()
        if self.mode == HOLD or not some_left:
            return False
        if count == 1:
            return True
        lost = sum(n for _, n in self._losses)
        there = sum(1 for node in self.nodes.values() if node.member.state == UP)
        return lost + count <= self.rule.share * (there + lost)

    def _one_for_each_address(self, read: Read) -> dict[str, Member]:
        """The members, one for an address: an id that a node had before must not double its share."""
        by_address: dict[Any, Member] = {}
        shared: dict[str, str] = {}
        for member in read.members.values():
            other = by_address.setdefault(member.address, member)
            if other is member:
                continue
            newer = max(member, other, key=lambda m: (m.dirty, m.registered, m.state == UP, m.id))
            by_address[member.address] = newer
            shared[(other if newer is member else member).id] = newer.id
        if read.clean:
            self.shared = shared
        if not shared:
            return dict(read.members)
        return {member.id: member for member in by_address.values()}

    # --- the level ------------------------------------------------------------------------------

    def _look(self, now: int) -> None:
        held = self.held()
        revision = self.revision or "?"
        if held:
            word = "held" if self.mode == HOLD else "in doubt"
            why = f"{len(held)} nodes are missing; serving on last good of revision {revision}"
        elif self.mode == HOLD:
            word, why = "held", "an operator has said hold"
        elif now - self._read_at >= self.rule.stale_ns and not self._first:
            word, why = "stale", f"no clean read; serving on last good of revision {revision}"
        elif self.counts["reads"] == self.counts["damaged"]:
            return  # none or kept
        else:
            word, why = ("fresh", "") if self.nodes else ("empty", "the source lists no node")
        since = self._level.since if word == self._level.word else now
        self._level = Level(word, since, why)


def _older(known: Member, known_by: str, said: Member, teller: str) -> bool:
    """Whether what is said is an older state of the node than what is known, by the stamps of one clock."""
    if known.dirty and said.dirty and known.dirty != said.dirty:
        return said.dirty < known.dirty
    return teller == known_by and 0 < said.updated < known.updated


def _started_anew(known: Member, known_by: str, said: Member, teller: str) -> bool:
    """Whether another process is behind the id: then nothing learned of the old one holds, and it is cold.

    A registration anew may be a mere change of metadata; taken for a start it costs one node a ramp, while a
    start that is missed would push a cold node over.
    """
    if said.address != known.address or said.boot != known.boot:
        return True
    if said.state == UP and known.state in (STARTING, DOWN):
        return True
    again = said.dirty > known.dirty > 0 and said.registered > known.registered > 0
    return again and teller == known_by


def _troubled(item: tuple[str, _Node]) -> tuple[bool, str]:
    name, node = item
    return not (node.held_since or node.contested_since), name


def differences(believed: Iterable[Told], other: Read) -> dict[str, list[str]]:
    """Where a second source disagrees with what is served from, by address: ids may differ between sources."""
    here = {told.member.address: told.member for told in believed}
    there = {member.address: member for member in other.members.values()}
    state = [
        f"{here[a].id}: {here[a].word or here[a].state}, there {there[a].word or there[a].state}"
        for a in here.keys() & there.keys()
        if (here[a].state == UP) != (there[a].state == UP)
    ]
    return {
        "only_here": sorted(here[a].id for a in here.keys() - there.keys()),
        "only_there": sorted(there[a].id for a in there.keys() - here.keys()),
        "state": sorted(state),
        "id": sorted(f"{here[a].id}, there {there[a].id}" for a in here.keys() & there.keys()
                     if here[a].id != there[a].id),
        "bad": sorted(f"{name}: {why}" for name, why in other.bad.items()),
    }  # fmt: skip
