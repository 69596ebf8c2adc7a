"""Which sockets may open, and which are to be closed when. No I/O: seconds are an argument, draws come from a
source that is given. Which node an upgrade goes to is the balancer's matter, as for any call.

    admit       places are counted from the handshake on: for this sidecar, and for each tenant
    leave       a node drains or is off the list: its sockets close, spread over drain_s
    stay        it is back: what has not been closed stays
    move        an operator wants its sockets elsewhere: as leave, but it may have new ones
    end         this process ends: all close, spread over the time there is
    rebalance   some nodes hold far fewer than the mean: one of the fullest is moved now and then, rebalance_per_s
                at most

Sockets that close together would come back together, so each close names a time of its own to come back after.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

END_SHARE = 0.7  # of the time that is left at the end of a process: the rest is for closing handshakes
FULL, EMPTY = 1.25, 0.75  # of the mean: who holds more may lose one as long as somebody holds less
SUSPECTS = 3  # sockets of one node that stall within SUSPECT_S, none of its others being heard, convict it
SUSPECT_S = 30.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Counts of sockets; seconds; sockets a second."""

    sockets: int
    per_tenant: int
    drain_s: float
    back_s: float  # the longest time to come back that is named
    rebalance_per_s: float = 0.0


class Close(NamedTuple):
    """A socket that is to be closed now, and why: drain, gone, moved, rebalance or end."""

    id: int
    why: str


@dataclass(slots=True)
class _Held:
    node: str
    tenant: str
    due: float = 0.0  # when it is to be closed; 0: not planned
    why: str = ""


class Policy:
    """All sockets of one sidecar."""

    def __init__(self, bounds: Bounds, rng: random.Random) -> None:
        self.bounds = bounds
        self._rng = rng
        self._held: dict[int, _Held] = {}
        self._of_tenant: Counter[str] = Counter()  # with those whose handshake is out
        self._places = 0
        self._of_node: dict[str, set[int]] = {}
        self._leaving: dict[str, tuple[float, str]] = {}  # until when its sockets close, and why
        self._end_at = 0.0  # when all have to be closed; 0: this process goes on
        self._up: set[str] = set()
        self._plan: list[tuple[float, int]] = []  # a heap; an entry counts if its socket's `due` is the same
        self._stalls: dict[str, list[float]] = {}
        self._moved_at = 0.0

    # --- places ---------------------------------------------------------------------------------

    def admit(self, tenant: str) -> str:
        """Take a place; empty, or why there is none: end, sockets or tenant."""
        if self._end_at:
            return "end"
        if self._places >= self.bounds.sockets:
            return "sockets"
        if self._of_tenant[tenant] >= self.bounds.per_tenant:
            return "tenant"
        self._places += 1
        self._of_tenant[tenant] += 1
        return ""

    def leave_place(self, tenant: str) -> None:
        """A place that was taken is free: no socket came of it, or it has ended."""
        self._places -= 1
        self._of_tenant[tenant] -= 1
        if not self._of_tenant[tenant]:
            del self._of_tenant[tenant]

    def back_s(self) -> float:
        """After how long to come back: a time of each one's own."""
        return self.bounds.back_s * (0.1 + 0.9 * self._rng.random())

    def opened(self, now: float, id: int, node: str, tenant: str) -> None:
        """A place that was taken holds a socket now."""
        held = self._held[id] = _Held(node, tenant)
        self._of_node.setdefault(node, set()).add(id)
        if self._end_at:
            self._set(now, id, held, self._end_at, "end")
        elif node in self._leaving:  # its handshake was out when the node was told to leave
            until, why = self._leaving[node]
            self._set(now, id, held, until, why)

    def ended(self, id: int) -> None:
        """A socket has ended: its place is free."""
        held = self._held.pop(id)
        self._of_node[held.node].discard(id)
        if not self._of_node[held.node]:
            del self._of_node[held.node]
        self.leave_place(held.tenant)

    # --- closing --------------------------------------------------------------------------------

    def nodes(self, up: set[str]) -> None:
        """The nodes that may have new sockets."""
        self._up = up

    def leave(self, now: float, node: str, why: str) -> None:
        """A node drains ("drain") or is off the list ("gone")."""
        if node not in self._leaving:
            self._leaving[node] = (now + self.bounds.drain_s, why)
            self._spread(now, self._of_node.get(node, set()), self.bounds.drain_s, why)

    def stay(self, node: str) -> None:
        """It is back, or never left."""
        if self._leaving.pop(node, None) is None or self._end_at:
            return
        for id in self._of_node.get(node, ()):
            self._held[id].due = 0.0

    def forget(self, node: str) -> None:
        """Nothing more will be told of a node that is off the list."""
        if node not in self._of_node:
            self._leaving.pop(node, None)

    def move(self, now: float, node: str) -> int:
        """An operator wants its sockets elsewhere; how many there are."""
        ids = self._of_node.get(node, set())
        self._spread(now, {id for id in ids if not self._held[id].due}, self.bounds.drain_s, "moved")
        return len(ids)

    def end(self, now: float, within_s: float) -> None:
        """This process has so long."""
        self._end_at = now + within_s * END_SHARE
        self._spread(now, set(self._held), within_s * END_SHARE, "end")

    def _spread(self, now: float, ids: set[int], window_s: float, why: str) -> None:
        """Over the window, evenly and in any order."""
        order = sorted(ids)
        self._rng.shuffle(order)
        for number, id in enumerate(order):
            at = now + window_s * (number + self._rng.random()) / len(order)
            self._put(id, self._held[id], at, why)

    def _set(self, now: float, id: int, held: _Held, until: float, why: str) -> None:
        self._put(id, held, now + max(0.0, until - now) * self._rng.random(), why)

    def _put(self, id: int, held: _Held, at: float, why: str) -> None:
        held.due, held.why = max(at, 1e-9), why
        heapq.heappush(self._plan, (held.due, id))

    def due(self, now: float) -> tuple[list[Close], float]:
        """The sockets to be closed now, and when to ask again; 0 if there is nothing planned."""
        closes = []
        while self._plan and self._plan[0][0] <= now:
            at, id = heapq.heappop(self._plan)
            held = self._held.get(id)
            if held is not None and held.due == at:
                held.due = 0.0
                closes.append(Close(id, held.why))
        return closes, self._plan[0][0] if self._plan else 0.0

    def rebalance(self, now: float) -> list[Close]:
        """At most one socket to move, where that would help; to be asked a few times a second."""
        rate = self.bounds.rebalance_per_s
        if not rate or self._end_at or now < self._moved_at + 1.0 / rate or len(self._up) < 2:
            return []
        counts = {node: len(self._of_node.get(node, ())) for node in self._up}
        mean = sum(counts.values()) / len(counts)
        most = max(counts, key=lambda node: (counts[node], node))
        if counts[most] <= FULL * mean or min(counts.values()) >= EMPTY * mean or counts[most] < mean + 1:
            return []
        self._moved_at = now
        free = sorted(id for id in self._of_node[most] if not self._held[id].due)
        return [Close(self._rng.choice(free), "rebalance")] if free else []

    # --- nodes that stall -----------------------------------------------------------------------

    def stalled(self, now: float, node: str, others_heard: bool) -> bool:
        """A node said nothing on one socket for too long; whether the balancer is to be told that it hangs.
        `others_heard`: another socket of its has heard from it meanwhile."""
        if others_heard:
            self._stalls.pop(node, None)
            return False
        recent = [at for at in self._stalls.get(node, []) if at > now - SUSPECT_S] + [now]
        self._stalls[node] = recent[-SUSPECTS:]
        return len(recent) >= min(SUSPECTS, len(self._of_node.get(node, ())) or 1)

    # --- what is told ---------------------------------------------------------------------------

    def counts(self) -> dict[str, dict[str, int]]:
        """Sockets by node and by tenant, the latter with those whose handshake is out."""
        return {
            "nodes": {node: len(ids) for node, ids in sorted(self._of_node.items())},
            "tenants": dict(sorted(self._of_tenant.items())),
        }
