"""Decides which nodes exist from what the sources report, and when. No I/O; times are ns on one clock.

A change that takes load off a single node is applied at once. Making a node available again and removing many
nodes need confirmation or time, at most `hold_ns`:

    change in the source's list                      applied
    ---------------------------                      -------
    a node is listed for the first time              at once
    a state without new work (drain, down, ...)      at once, unless its timestamps are older than the known ones
    up again, or another address                     at once if its timestamps are newer, or if they are not older
                                                     and the endpoint is the one that reported the known state;
                                                     else after being reported for hold_ns
    a removed node is listed again                   as a cold node: at once if its timestamps are newer; from the
                                                     endpoint that last listed it also without timestamps, or if
                                                     they are not older and it was missing from fewer than
                                                     CONFIRMED_MISSES reads or was removed only by timeout or
                                                     command; else after being listed for hold_ns
    any node, while no node is up                    at once
    one node is missing, others are listed           at once
    several are missing, but few enough              at once: up to `max_missing_share` of the nodes per hold_ns
    more are missing, or no node is left             the missing nodes are held; each is removed when so few are
                                                     missing in two equal reads in a row, when another address of
                                                     the source lacks it too, when it accepts no connections, when
                                                     an operator says so, when its address is listed under another
                                                     id, or after hold_ns
    an instance that cannot be parsed                not at all: the node stays as it is
    an incomplete answer                             what it lists; a node that it lacks is not missing

The list is in doubt while nodes are held, and only then: a source that cannot be reached changes nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from covetally.membership.model import DOWN, STARTING, UP, Address, Member, MemberUpdate, Snapshot, ViewConfig

AUTO, HOLD, BELIEVE = "auto", "hold", "believe"
COMMANDS = (AUTO, HOLD, BELIEVE)
COUNTERS = ("reads", "damaged", "doubts", "dropped", "held", "confirmed", "timed_out")
MAX_SHOWN_NODES = 2000  # in the table for operators, which has to fit into one frame of the control link
MAX_REMOVED = 4096  # removed nodes that are remembered
CONFIRMED_MISSES = 3  # a node missing from this many reads was not left out by mistake


@dataclass(slots=True)
class _Node:
    """A node in the view, with the endpoint and source that reported it last."""

    member: Member
    endpoint: str
    source: str
    started_ns: int
    held_since: int = 0  # when it was first missing from a doubted read; 0 if it is listed
    contested_since: int = 0  # since when its source has reported a state that is not applied yet
    contested_state: str = ""


@dataclass(frozen=True, slots=True)
class _RemovedNode:
    """The last state of a removed node, the endpoint that reported it and the number of the read that removed it.

    `was_doubted` is set if its removal was in doubt until the time ran out or an operator decided.
    """

    member: Member
    endpoint: str
    removed_at_read: int
    was_doubted: bool


@dataclass(frozen=True, slots=True)
class ViewStatus:
    """The state of the view (none, kept, fresh, empty, stale, in doubt or held), since when, and why."""

    name: str
    since: int
    reason: str


class MembershipView:
    """One sidecar's list of nodes. The methods that change it return the updates for the balancer, in order."""

    def __init__(self, config: ViewConfig, now: int) -> None:
        self.config = config
        self.nodes: dict[str, _Node] = {}
        self.mode = AUTO
        self.revision = ""  # of the last complete read after which no node was held
        self.source = self.endpoint = ""
        self.invalid: Mapping[str, str] = {}
        self.duplicates: dict[str, str] = {}  # id of each ignored entry -> id of the node with the same address
        self.counts = dict.fromkeys(COUNTERS, 0)
        self._removed: dict[str, _RemovedNode] = {}
        self._pending_returns: dict[
            str, int
        ] = {}  # removed nodes that are listed again but must wait, and since when
        # Time and number of the nodes that were removed without being held.
        self._recent_removals: deque[tuple[int, int]] = deque()
        self._last_complete_at = now
        self._initial = True  # no nodes were read or restored yet
        self._last_listed: frozenset[str] = frozenset()
        self._stable = False  # the last two complete reads listed the same ids
        self._status = ViewStatus("none", now, "nothing has been read yet")

    # --- input ----------------------------------------------------------------------------------

    def restore(self, now: int, members: Iterable[Member], revision: str) -> list[MemberUpdate]:
        """Loads the last good list of an earlier process, before anything is read."""
        updates = []
        for member in members:
            self.nodes[member.id] = _Node(member, "kept", "kept", 0)
            updates.append(self._update_for(self.nodes[member.id]))
        if self.nodes:
            self._initial, self.revision = False, revision
            self._status = ViewStatus("kept", now, f"serving on the kept roster of revision {revision or '?'}")
        return updates

    def apply_snapshot(self, now: int, snapshot: Snapshot) -> list[MemberUpdate]:
        """Applies one read of the active source."""
        updates: dict[str, MemberUpdate] = {}
        members = self._deduplicate_by_address(snapshot)
        self.counts["reads"] += 1
        for member in members.values():
            self._apply_member(now, snapshot, member, updates)
        if snapshot.complete:
            listed = frozenset(members)
            self._stable, self._last_listed = listed == self._last_listed, listed
            self._handle_missing(now, snapshot, members, updates)
            self._last_complete_at, self.source, self.endpoint = now, snapshot.source, snapshot.endpoint
            self._initial = self._initial and not members
            self.invalid = snapshot.invalid
            self._pending_returns = {name: at for name, at in self._pending_returns.items() if name in members}
            if not self.held_nodes():
                self.revision = snapshot.revision
        else:
            self.counts["damaged"] += 1
        self._refresh_status(now)
        return list(updates.values())

    def confirm_removals(self, now: int, snapshot: Snapshot) -> list[MemberUpdate]:
        """Removes the held nodes that another address of the active source lacks too.

        That read counts only if it lists nodes that are up, and only while the doubted list does not change: two
        registries that have both just restarted agree on an empty list, and on whichever nodes came back first.
        """
        updates: dict[str, MemberUpdate] = {}
        any_up_listed = any(member.state == UP for member in snapshot.members.values())
        if snapshot.complete and any_up_listed and self._stable and self.mode == AUTO:
            for name in self.held_nodes():
                if name not in snapshot.members and name not in snapshot.invalid:
                    self.counts["confirmed"] += 1
                    self._remove_node(name, updates)
        self._refresh_status(now)
        return list(updates.values())

    def remove_unreachable(self, now: int, unreachable: Iterable[str]) -> list[MemberUpdate]:
        """Removes the held nodes among those that this sidecar itself cannot reach."""
        updates: dict[str, MemberUpdate] = {}
        if self.mode == AUTO:
            for name in unreachable:
                node = self.nodes.get(name)
                if node is not None and node.held_since:
                    self.counts["confirmed"] += 1
                    self._remove_node(name, updates)
        self._refresh_status(now)
        return list(updates.values())

    def apply_command(self, now: int, command: str) -> list[MemberUpdate]:
        """Applies an operator's command.

        BELIEVE removes the held nodes and returns to AUTO; HOLD keeps every node that goes missing from now on;
        AUTO follows the rules of this module.
        """
        updates: dict[str, MemberUpdate] = {}
        if command == BELIEVE:
            self.mode = AUTO
            for name in self.held_nodes():
                self._remove_node(name, updates, was_doubted=True)
        else:
            self.mode = command
        self._refresh_status(now)
        return list(updates.values())

    def tick(self, now: int) -> list[MemberUpdate]:
        """Removes the nodes that have been held for hold_ns."""
        updates: dict[str, MemberUpdate] = {}
        if self.mode == AUTO:
            for name in self.held_nodes():
                if now - self.nodes[name].held_since >= self.config.hold_ns:
                    self.counts["timed_out"] += 1
                    self._remove_node(name, updates, was_doubted=True)
        self._refresh_status(now)
        return list(updates.values())

    # --- state ----------------------------------------------------------------------------------

    def held_nodes(self) -> list[str]:
        """The nodes that the source no longer lists but that stay in the view."""
        return [name for name, node in self.nodes.items() if node.held_since]

    def status(self, now: int) -> ViewStatus:
        """The state of the view."""
        self._refresh_status(now)
        return self._status

    def current_updates(self) -> list[MemberUpdate]:
        """All nodes, as updates for the balancer."""
        return [self._update_for(node) for node in self.nodes.values()]

    def table(self, now: int) -> dict[str, Any]:
        """The view as a table for operators; ages are in seconds."""
        status = self.status(now)

        def age(since: int) -> float:
            return round((now - since) / 1e9, 1)

        return {
            "level": status.name, "why": status.reason, "for_s": age(status.since), "source": self.source,
            "teller": self.endpoint, "revision": self.revision, "read_s": age(self._last_complete_at),
            "mode": self.mode,
            "nodes": [
                {
                    "node": name, "address": "{}:{}".format(*n.member.address), "state": n.member.state,
                    "word": n.member.source_state, "held_s": age(n.held_since) if n.held_since else None,
                    "contested_s": age(n.contested_since) if n.contested_since else None,
                    "contested": n.contested_state,
                }
                for name, n in sorted(self.nodes.items(), key=_operator_sort_key)[:MAX_SHOWN_NODES]
            ],
            "not_shown": max(0, len(self.nodes) - MAX_SHOWN_NODES),
            "waiting": {name: age(at) for name, at in sorted(self._pending_returns.items())},
            "bad": dict(sorted(self.invalid.items())[:100]), "shared": dict(self.duplicates),
            "counts": dict(self.counts),
        }  # fmt: skip

    # --- one node -------------------------------------------------------------------------------

    def _apply_member(
        self, now: int, snapshot: Snapshot, member: Member, updates: dict[str, MemberUpdate]
    ) -> None:
        node, endpoint = self.nodes.get(member.id), snapshot.endpoint
        if node is None:
            self._add_node(now, snapshot, member, updates)
            return
        node.held_since = 0
        known, known_endpoint = node.member, node.endpoint
        if member is known or member == known:
            node.contested_since, node.endpoint, node.source = 0, endpoint, snapshot.source
            return
        if self._is_contested(known, known_endpoint, member, endpoint):
            node.contested_since = node.contested_since or now
            node.contested_state = f"{member.source_state or member.state} according to {endpoint}"
            if now - node.contested_since < self.config.hold_ns:
                return
        restarted = _is_restart(known, known_endpoint, member, endpoint)
        if restarted:
            node.started_ns = now if member.boot == known.boot else max(member.started_ns, 0)
        node.member, node.endpoint, node.source, node.contested_since = member, endpoint, snapshot.source, 0
        if restarted or not member.same_properties(known):
            updates[member.id] = self._update_for(node)

    def _add_node(self, now: int, snapshot: Snapshot, member: Member, updates: dict[str, MemberUpdate]) -> None:
        removed = self._removed.get(member.id)
        must_wait = (
            removed is not None
            and self._has_node_up()
            and self._return_must_wait(removed, member, snapshot.endpoint)
        )
        if must_wait and now - self._pending_returns.setdefault(member.id, now) < self.config.hold_ns:
            return
        self._pending_returns.pop(member.id, None)
        self._removed.pop(member.id, None)
        before = None if self._initial else self._node_at(member.address)
        if removed is not None:
            started = now
        elif before is not None and before.source != snapshot.source:
            started = before.started_ns  # the same process under the id that another source uses
        elif member.started_ns >= 0:
            started = member.started_ns
        else:
            started = 0 if self._initial else now
        node = self.nodes[member.id] = _Node(member, snapshot.endpoint, snapshot.source, started)
        updates[member.id] = self._update_for(node)

    def _has_node_up(self) -> bool:
        return any(node.member.state == UP for node in self.nodes.values())

    def _node_at(self, address: Address) -> _Node | None:
        return next((n for n in self.nodes.values() if n.member.address == address), None)

    def _return_must_wait(self, removed: _RemovedNode, member: Member, endpoint: str) -> bool:
        """Whether a removed node that is listed again may be listed only because of outdated data."""
        if endpoint == removed.endpoint and (
            removed.was_doubted or self.counts["reads"] - removed.removed_at_read < CONFIRMED_MISSES
        ):
            return _is_older(removed.member, removed.endpoint, member, endpoint)
        if endpoint == removed.endpoint and not member.dirty:
            return False  # without timestamps this report is the only evidence
        return not member.dirty > removed.member.dirty

    def _is_contested(self, known: Member, known_endpoint: str, reported: Member, endpoint: str) -> bool:
        """Whether the reported state must wait because it may be outdated."""
        makes_available = reported.state == UP and (known.state != UP or reported.address != known.address)
        unproven = makes_available and endpoint != known_endpoint and not reported.dirty > known.dirty > 0
        return unproven or _is_older(known, known_endpoint, reported, endpoint)

    def _update_for(self, node: _Node) -> MemberUpdate:
        lifecycle = "up" if node.member.state == UP else "draining"
        return MemberUpdate(node.member, lifecycle, node.started_ns)

    def _remove_node(
        self, name: str, updates: dict[str, MemberUpdate], replaced: bool = False, was_doubted: bool = False
    ) -> None:
        node = self.nodes.pop(name)
        self.counts["dropped"] += 1
        if not replaced:
            if len(self._removed) >= MAX_REMOVED:
                del self._removed[next(iter(self._removed))]
            self._removed.pop(name, None)
            self._removed[name] = _RemovedNode(node.member, node.endpoint, self.counts["reads"], was_doubted)
        updates[name] = MemberUpdate(node.member, "removed", node.started_ns)

    # --- missing nodes --------------------------------------------------------------------------

    def _handle_missing(
        self, now: int, snapshot: Snapshot, members: Mapping[str, Member], updates: dict[str, MemberUpdate]
    ) -> None:
        missing = [name for name in self.nodes if name not in members and name not in snapshot.invalid]
        if not missing:
            return
        addresses = {self.nodes[name].member.address for name in members if name in self.nodes}
        newly_missing, held = [], []
        for name in missing:
            node = self.nodes[name]
            if node.member.address in addresses:
                self._remove_node(name, updates, replaced=True)
            elif node.member.state != UP and self.mode == AUTO:
                self._remove_node(name, updates)  # it received no work anyway
            else:
                (held if node.held_since else newly_missing).append(name)
        any_up_listed = any(member.state == UP for member in members.values())
        if held and self._stable and self._may_remove(now, len(newly_missing) + len(held), any_up_listed):
            newly_missing += held  # the others came back, so these really left
        if not newly_missing:
            return
        if self._may_remove(now, len(newly_missing), any_up_listed):
            self._recent_removals.append((now, len(newly_missing)))
            for name in newly_missing:
                self._remove_node(name, updates)
            return
        self.counts["doubts"] += 1
        self.counts["held"] += len(newly_missing)
        for name in newly_missing:
            self.nodes[name].held_since = now

    def _may_remove(self, now: int, count: int, any_up_listed: bool) -> bool:
        """Whether `count` nodes may be removed without confirmation."""
        while self._recent_removals and now - self._recent_removals[0][0] >= self.config.hold_ns:
            self._recent_removals.popleft()
        if self.mode == HOLD or not any_up_listed:
            return False
        if count == 1:
            return True
        removed = sum(n for _, n in self._recent_removals)
        up = sum(1 for node in self.nodes.values() if node.member.state == UP)
        return removed + count <= self.config.max_missing_share * (up + removed)

    def _deduplicate_by_address(self, snapshot: Snapshot) -> dict[str, Member]:
        """The members, one per address: a node that is listed under an old id too must not get a double share."""
        by_address: dict[Any, Member] = {}
        duplicates: dict[str, str] = {}
        for member in snapshot.members.values():
            other = by_address.setdefault(member.address, member)
            if other is member:
                continue
            newer = max(member, other, key=lambda m: (m.dirty, m.registered, m.state == UP, m.id))
            by_address[member.address] = newer
            duplicates[(other if newer is member else member).id] = newer.id
        if snapshot.complete:
            self.duplicates = duplicates
        if not duplicates:
            return dict(snapshot.members)
        return {member.id: member for member in by_address.values()}

    # --- status ---------------------------------------------------------------------------------

    def _refresh_status(self, now: int) -> None:
        held = self.held_nodes()
        revision = self.revision or "?"
        if held:
            name = "held" if self.mode == HOLD else "in doubt"
            reason = f"{len(held)} nodes are missing; serving on last good of revision {revision}"
        elif self.mode == HOLD:
            name, reason = "held", "an operator ordered hold"
        elif now - self._last_complete_at >= self.config.stale_ns and not self._initial:
            name, reason = "stale", f"no complete read; serving on last good of revision {revision}"
        elif self.counts["reads"] == self.counts["damaged"]:
            return  # the status stays none or kept
        else:
            name, reason = ("fresh", "") if self.nodes else ("empty", "the source lists no nodes")
        since = self._status.since if name == self._status.name else now
        self._status = ViewStatus(name, since, reason)


def _is_older(known: Member, known_endpoint: str, reported: Member, endpoint: str) -> bool:
    """Whether the reported state of a node is older than the known one, by timestamps of the same clock."""
    if known.dirty and reported.dirty and known.dirty != reported.dirty:
        return reported.dirty < known.dirty
    return endpoint == known_endpoint and 0 < reported.updated < known.updated


def _is_restart(known: Member, known_endpoint: str, reported: Member, endpoint: str) -> bool:
    """Whether the id now belongs to another process, which is cold and about which nothing has been learned.

    A new registration may be only a change of metadata. Taking it for a restart costs that node one slow start,
    while missing a restart would overload a cold node.
    """
    if reported.address != known.address or reported.boot != known.boot:
        return True
    if reported.state == UP and known.state in (STARTING, DOWN):
        return True
    registered_again = reported.dirty > known.dirty > 0 and reported.registered > known.registered > 0
    return registered_again and endpoint == known_endpoint


def _operator_sort_key(item: tuple[str, _Node]) -> tuple[bool, str]:
    name, node = item
    return not (node.held_since or node.contested_since), name


def differences(current: Iterable[MemberUpdate], other: Snapshot) -> dict[str, list[str]]:
    """Where a second source differs from the view, matched by address because ids may differ between sources."""
    here = {update.member.address: update.member for update in current}
    there = {member.address: member for member in other.members.values()}
    state = [
        f"{here[a].id}: {here[a].source_state or here[a].state}, there {there[a].source_state or there[a].state}"
        for a in here.keys() & there.keys()
        if (here[a].state == UP) != (there[a].state == UP)
    ]
    return {
        "only_here": sorted(here[a].id for a in here.keys() - there.keys()),
        "only_there": sorted(there[a].id for a in there.keys() - here.keys()),
        "state": sorted(state),
        "id": sorted(f"{here[a].id}, there {there[a].id}" for a in here.keys() & there.keys()
                     if here[a].id != there[a].id),
        "bad": sorted(f"{name}: {reason}" for name, reason in other.invalid.items()),
    }  # fmt: skip
