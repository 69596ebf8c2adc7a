"""A member of a tier on the event loop: its timer, what it sends, what it tells the balancer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from covetally.interface import SECOND, QuotaUpdate, AttemptStatus, TierWarning
from covetally.tier.limits import Rule, Usable
from covetally.tier.node import Datagram, Node, Site
from covetally.tier.verdicts import Advice

LASTS_NS = 3 * SECOND  # what the balancer is told counts for so long: if this stops, it ends
AGAIN_NS = SECOND
LOOK_NS = SECOND // 4  # at least so often while a limit is held
MEMORY = 0.5  # weight of what was wanted before, in each look at the demand


@dataclass(frozen=True, slots=True)
class Parts:
    """What a member works with: the sidecar's clock, its datagrams (to a peer, or with -1 to all), its
    balancer."""

    now: Callable[[], int]
    send: Callable[[int, bytes], None]
    advise: Callable[[TierWarning | QuotaUpdate], None]
    demand: Callable[[], dict[tuple[int, bool], int]]


@dataclass(frozen=True, slots=True)
class Held:
    """A limit, and whose calls it is on."""

    tenant: int
    rule: Rule


class Shell:
    """Carries out what `Node` decides."""

    def __init__(
        self, me: int, size: int, life: int, seed: int, site: Site, held: tuple[Held, ...], parts: Parts
    ) -> None:
        self._parts = parts
        self._held = {held.rule.name: held for held in held}
        now = parts.now()
        self.node = Node(me, size, life, seed, now, site)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0
        self._advice, self._advised_at = Advice(), 0
        self._demand: dict[str, float] = {}
        self._demand_at = now
        self._told: dict[str, Usable] = {}

    def start(self) -> None:
        """From here on."""
        self._allot(self._parts.now())
        self._tick()

    def stop(self) -> None:
        """Say that this member ends, and end."""
        if self._timer is not None:
            self._timer.cancel()
        self._carry(self.node.leave(self._parts.now()))

    def heard(self, sender: int, data: bytes) -> None:
        """A datagram from a peer's address."""
        self._after(self.node.heard(self._parts.now(), sender, data))

    def outcome(self, server: str, how: AttemptStatus, cls: int, sent_ns: int) -> None:
        """An attempt has ended."""
        self.node.outcome(self._parts.now(), server, how, cls, sent_ns)
        self._set_timer()

    def listed(self, nodes: dict[str, int]) -> None:
        """The list of nodes, with the zone of each."""
        self.node.listed(nodes)

    def change(self, size: int, held: tuple[Held, ...]) -> None:
        """The peers or the limits are others from here on."""
        now = self._parts.now()
        for name in [name for name in self._held if name not in {h.rule.name for h in held}]:
            gone = self._held[name]
            self._told.pop(name, None)
            self._parts.advise(QuotaUpdate(gone.tenant, gone.rule.in_flight, None))
        self._held = {h.rule.name: h for h in held}
        self.node.resize(now, size, (h.rule for h in held))
        self._allot(now)
        self._set_timer()

    def table(self) -> dict[str, Any]:
        """All of it, for operators."""
        return self.node.table(self._parts.now())

    # --- parts ----------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._timer = None
        now = self._parts.now()
        if self._held and now - self._demand_at >= LOOK_NS:
            self._look(now)
        self._after(self.node.tick(now, self._demand))

    def _after(self, out: list[Datagram]) -> None:
        self._carry(out)
        now = self._parts.now()
        advice = self.node.advice()
        if advice != self._advice or (advice != Advice() and now - self._advised_at >= AGAIN_NS):
            self._advice, self._advised_at = advice, now
            back = tuple((name, now - ago) for name, ago in advice.back)
            avoid = tuple((judged.server, judged.cls) for judged in advice.avoid)
            self._parts.advise(TierWarning(now + LASTS_NS, avoid, advice.zones, advice.turns, back))
        if self._held:
            self._allot(now)
        self._set_timer()

    def _allot(self, now: int) -> None:
        for name, usable in self.node.usable(now).items():
            if usable != self._told.get(name):
                self._told[name] = usable
                held = self._held[name]
                self._parts.advise(QuotaUpdate(held.tenant, held.rule.in_flight, *usable, held.rule.burst_s))

    def _look(self, now: int) -> None:
        """What was wanted of each limit since the last look."""
        passed_s = (now - self._demand_at) / SECOND
        self._demand_at = now
        asked = self._parts.demand()
        for name, held in self._held.items():
            wanted = float(asked.get((held.tenant, held.rule.in_flight), 0))
            if not held.rule.in_flight:
                wanted /= passed_s
            known = self._demand.get(name, 0.0)
            self._demand[name] = max(wanted, known * MEMORY + wanted * (1.0 - MEMORY))

    def _carry(self, out: list[Datagram]) -> None:
        for peer, data in out:
            self._parts.send(peer, data)

    def _set_timer(self) -> None:
        at = self.node.due
        if self._timer is not None:
            if self._timer_at <= at:
                return
            self._timer.cancel()
        now = self._parts.now()
        self._timer_at = at
        self._timer = asyncio.get_running_loop().call_later(max(0, at - now) / SECOND, self._tick)
