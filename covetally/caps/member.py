"""One sidecar's part in all caps, put together: what is in use in; units, what to close, and words out."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from covetally.caps.lease_holder import Ask, Holder
from covetally.caps.owner import Asked, Grant, Home, Recall
from covetally.caps.messages import Kind, Say, decode, encode
from covetally.caps.rule import Mode, Rule
from covetally.interface import SECOND, Allotted
from covetally.gossip import LatestMessages, Topic, Message, first_sequence
from covetally.gossip.transport import BROADCAST, Outgoing

LOOK_NS = SECOND // 20
IDLE_LOOK_NS = SECOND // 4  # where nothing is held, lent or wanted
QUERY_NS = SECOND
CLIENT, NODE = "client", "node"
FEW = 4  # members that are asked one by one, not with a word to all
MS10, MS100 = SECOND // 100, SECOND // 10
RESTS_NS = SECOND // 2  # a connection rests once it has been without a request for so long


class Use(NamedTuple):
    """What is used of a cap here: connections open, those wanted besides, how many rest (RESTS_NS or more) and
    for how long."""

    in_use: int = 0
    wanted: int = 0
    resting: int = 0
    rested_ns: int = 0


@dataclass(frozen=True, slots=True)
class Cap:
    """A cap, and on what: `kind` client or node connections of a tenant, by its number (-1: all unknown ones)."""

    rule: Rule
    kind: str
    tenant: int


@dataclass(slots=True)
class _Part:
    cap: Cap
    holder: Holder
    home: Home
    use: Use = field(default_factory=Use)
    told: int = -1


class Caps:
    """All caps at one member. `look` tells what is in use of a cap. Times in ns on one clock."""

    def __init__(
        self, me: int, life: int, now: int, caps: Iterable[Cap], look: Callable[[int, Cap], Use]
    ) -> None:
        self.me, self.life = me, life
        self._look = look
        self._parts: dict[int, _Part] = {}
        self._heard: LatestMessages[None] = LatestMessages(me, 0)
        self._number = first_sequence(now)
        self._queried_at = now - QUERY_NS
        self._left = False
        self.due = now
        self.change(now, caps)

    def change(self, now: int, caps: Iterable[Cap]) -> None:
        """These caps hold from here on."""
        wanted = {cap.rule.mark: cap for cap in caps}
        for mark in [mark for mark in self._parts if mark not in wanted]:
            del self._parts[mark]
        for mark, cap in wanted.items():
            part = self._parts.get(mark)
            if part is None:
                # Numbers begin at the clock, so that no answer to a life before fits an ask of this one.
                first = first_sequence(now)
                holder, home = Holder(cap.rule, self.me, now, first), Home(cap.rule, self.me, now)
                self._parts[mark] = _Part(cap, holder, home)
            elif part.cap != cap:
                part.cap, part.told = cap, -1
                part.holder.change(now, cap.rule)
                part.home.change(now, cap.rule)
        self.due = now

    def held(self, now: int, mark: int) -> int:
        """Units of a cap that may be used now; a cap that is not there bounds nothing."""
        part = self._parts.get(mark)
        return part.holder.usable(now) if part is not None else 2**31

    # --- words ----------------------------------------------------------------------------------

    def tick(self, now: int) -> list[Outgoing]:
        """Time has passed."""
        if now < self.due or self._left:
            return []
        out: list[Outgoing] = []
        busy = False
        for part in self._parts.values():
            part.use = use = self._look(now, part.cap)
            part.holder.needs = use.in_use + use.wanted
            out += self._ask(now, part, part.holder.tick(now, use.in_use, use.resting))
            out += self._answer(now, part, part.home.tick(now))
            busy = busy or part.holder.needs > 0 or part.holder.held(now) > 0 or part.home.lent > 0
        if now - self._queried_at >= QUERY_NS:
            self._queried_at = now
            for mark, part in self._parts.items():
                if not part.home.units:
                    continue
                unheard = part.home.unheard(now)
                for member in (BROADCAST,) if len(unheard) > FEW else unheard:
                    out.append(self._say(member, Say(Kind.QUERY, mark, 0, self.life)))
        self.due = now + (LOOK_NS if busy else IDLE_LOOK_NS)
        return out

    def receive(self, now: int, word: Message) -> list[Outgoing]:
        """A word of another member; MalformedMessageError if its body is none."""
        say = decode(word.body)
        part = self._parts.get(say.mark)
        if part is None or self._left or word.sender >= part.cap.rule.members:
            return []
        out: list[Outgoing] = []
        if say.kind is Kind.ASK:
            ask = Asked(say.number, say.first, say.second, say.third, say.fourth * MS100)
            out = self._answer(now, part, part.home.ask(now, word.sender, word.incarnation, ask))
        elif not self._heard.record(now, word, None) and say.kind is not Kind.GRANT:
            return []
        elif say.kind is Kind.GRANT:
            pause = say.second * MS10
            part.holder.granted(now, word.sender, say.number, say.first, pause)
        elif say.kind is Kind.RECALL:
            part.use = self._look(now, part.cap)
            out = self._ask(now, part, self._recalled(now, part, word.sender, say.first, bool(say.second)))
        elif say.kind is Kind.QUERY:
            out = self._ask(now, part, part.holder.queried(now, word.sender))
        if say.kind in (Kind.GRANT, Kind.RECALL):
            self.due = min(self.due, now + LOOK_NS // 4)
        return out

    def leave(self, now: int) -> list[Outgoing]:
        """This sidecar ends: what it holds goes back, whatever its own homes lent stays lent."""
        out: list[Outgoing] = []
        for part in self._parts.values():
            out += self._ask(now, part, part.holder.give_all(now))
        self._left = True
        return out

    def events(self, now: int) -> list[Allotted]:
        """What the balancer is told of connections to nodes: units in place of a part."""
        out = []
        for part in self._parts.values():
            if part.cap.kind != NODE:
                continue
            usable = part.holder.usable(now)
            until = part.holder.lapses_at(now) or now + 2**62
            if (usable, until) != part.told:
                part.told = (usable, until)
                out.append(Allotted(part.cap.tenant, True, float(usable), until, 0.0))
        return out

    # --- parts ----------------------------------------------------------------------------------

    def _ask(self, now: int, part: _Part, asks: list[Ask]) -> list[Outgoing]:
        out: list[Outgoing] = []
        use = part.use
        for ask in asks:
            if ask.to == self.me:
                said = Asked(ask.number, ask.held, ask.wants, use.resting, use.rested_ns)
                out += self._answer(now, part, part.home.ask(now, self.me, self.life, said))
                continue
            figures = (ask.held, ask.wants, use.resting, use.rested_ns // MS100)
            out.append(self._say(ask.to, Say(Kind.ASK, part.cap.rule.mark, ask.number, 0, *figures)))
        return out

    def _recalled(self, now: int, part: _Part, home: int, count: int, busy: bool) -> list[Ask]:
        # What the home was told of what rests may be old: what is in use stays, unless the cap itself wants it.
        use = part.use
        return part.holder.recalled(now, home, count, use.in_use, use.in_use if busy else use.resting)

    def _answer(self, now: int, part: _Part, answers: list[Grant | Recall]) -> list[Outgoing]:
        out: list[Outgoing] = []
        mark = part.cap.rule.mark
        for answer in answers:
            if isinstance(answer, Grant):
                if answer.to == self.me:
                    part.holder.granted(now, self.me, answer.number, answer.lent, answer.pause_ns)
                else:
                    figures = (answer.lent, answer.pause_ns // MS10)
                    out.append(self._say(answer.to, Say(Kind.GRANT, mark, answer.number, self.life, *figures)))
            elif answer.to == self.me:
                out += self._ask(now, part, self._recalled(now, part, self.me, answer.count, answer.busy))
            else:
                out.append(self._say(answer.to, Say(Kind.RECALL, mark, 0, self.life, answer.count, answer.busy)))
        return out

    def _say(self, to: int, say: Say) -> Outgoing:
        self._number += 1
        return Outgoing(to, Message(Topic.CAPS, self.me, self.life, self._number, encode(say)))

    def table(self, now: int) -> dict[str, Any]:
        """For operators."""
        return {
            part.cap.rule.name: {
                "cap": part.cap.rule.amount, "mode": part.cap.rule.mode.value, "usable": part.holder.usable(now),
                "in_use": part.use.in_use, "wanted": part.use.wanted, "resting": part.use.resting,
                "holder": part.holder.table(now), "home": part.home.table(now) if part.home.units else {},
            }
            for part in self._parts.values()
        }  # fmt: skip


def bound(rule: Rule, held_by_stopped: int) -> int:
    """The most connections that may be open at any moment: what the cap says, and in LAPSES mode what stopped
    members held when they were stopped."""
    return rule.amount + (held_by_stopped if rule.mode is Mode.LAPSES else 0)
