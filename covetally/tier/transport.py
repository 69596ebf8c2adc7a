"""Runs a tier member on the event loop: its timer, its datagrams, and its events for the balancer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from covetally.interface import SECOND, AttemptStatus, QuotaUpdate, TierWarning
from covetally.tier.limits import Rule, UsableQuota
from covetally.tier.member import Datagram, MemberConfig, TierMember
from covetally.tier.outlier_detection import Ejections

WARNING_LIFETIME_NS = 3 * SECOND  # a warning expires after this time if no further one follows
WARNING_REFRESH_NS = SECOND  # how often an unchanged warning is sent again
DEMAND_INTERVAL_NS = SECOND // 4  # minimum time between measurements of the demand
ERROR_PAUSE_NS = SECOND  # after a tick that failed: it may be due still
DEMAND_SMOOTHING = 0.5  # weight of the previous value in each measurement

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class TransportCallbacks:
    """Functions of the sidecar that a member uses.

    `now` is its clock; `send` sends a datagram to a peer, or to all for -1; `notify` passes an event to the
    balancer; `demand` gives the calls wanted since the last time, by tenant and whether the limit is in flight.
    """

    now: Callable[[], int]
    send: Callable[[int, bytes], None]
    notify: Callable[[TierWarning | QuotaUpdate], None]
    demand: Callable[[], dict[tuple[int, bool], int]]


@dataclass(frozen=True, slots=True)
class TenantLimit:
    """A limit and the index of the tenant to whose calls it applies."""

    tenant: int
    rule: Rule


class TierTransport:
    """Runs a TierMember: sets its timer, sends its datagrams, and notifies the balancer."""

    def __init__(
        self,
        index: int,
        size: int,
        boot_id: int,
        seed: int,
        config: MemberConfig,
        limits: tuple[TenantLimit, ...],
        callbacks: TransportCallbacks,
    ) -> None:
        self._callbacks = callbacks
        self._limits = {limit.rule.name: limit for limit in limits}
        now = callbacks.now()
        self.member = TierMember(index, size, boot_id, seed, now, config)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0
        self._not_before = 0  # the next tick is no earlier
        self._ejections, self._warned_at = Ejections(), 0
        self._demand: dict[str, float] = {}
        self._demand_at = now
        self._sent_quotas: dict[str, UsableQuota] = {}

    def start(self) -> None:
        """Start to take part in the tier."""
        self._send_quotas(self._callbacks.now())
        self._tick()

    def stop(self) -> None:
        """Stop the timer, and announce that this member leaves."""
        if self._timer is not None:
            self._timer.cancel()
        self._send(self.member.leave(self._callbacks.now()))

    def receive(self, sender: int, data: bytes) -> None:
        """Handle a datagram from a peer's address."""
        self._apply(self.member.receive(self._callbacks.now(), sender, data))

    def record_attempt(self, server: str, status: AttemptStatus, cls: int, sent_ns: int) -> None:
        """Record how an attempt ended."""
        self.member.record_attempt(self._callbacks.now(), server, status, cls, sent_ns)
        self._set_timer()

    def update_servers(self, servers: dict[str, int]) -> None:
        """Adopt the server list: the zone of each server, by name."""
        self.member.update_servers(servers)

    def reconfigure(self, size: int, limits: tuple[TenantLimit, ...]) -> None:
        """Adopt another number of peers, or other limits."""
        now = self._callbacks.now()
        for name in [name for name in self._limits if name not in {limit.rule.name for limit in limits}]:
            removed = self._limits[name]
            self._sent_quotas.pop(name, None)
            self._callbacks.notify(QuotaUpdate(removed.tenant, removed.rule.in_flight, None))
        self._limits = {limit.rule.name: limit for limit in limits}
        self.member.resize(now, size, (limit.rule for limit in limits))
        self._send_quotas(now)
        self._set_timer()

    def table(self) -> dict[str, Any]:
        """The state of this member, as shown to operators."""
        return self.member.table(self._callbacks.now())

    # --- internals ------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._timer = None
        now = self._callbacks.now()
        try:
            if self._limits and now - self._demand_at >= DEMAND_INTERVAL_NS:
                self._measure_demand(now)
            self._apply(self.member.tick(now, self._demand))
        except Exception:
            log.exception("a tick of the tier failed")
            self._not_before = now + ERROR_PAUSE_NS
            self._set_timer()

    def _apply(self, datagrams: list[Datagram]) -> None:
        self._send(datagrams)
        now = self._callbacks.now()
        ejections = self.member.ejections()
        if ejections != self._ejections or (
            ejections != Ejections() and now - self._warned_at >= WARNING_REFRESH_NS
        ):
            self._ejections, self._warned_at = ejections, now
            restarted = tuple((name, now - age_ns) for name, age_ns in ejections.restarted)
            servers = tuple((server.server, server.cls) for server in ejections.servers)
            self._callbacks.notify(
                TierWarning(now + WARNING_LIFETIME_NS, servers, ejections.zones, ejections.probes, restarted)
            )
        if self._limits:
            self._send_quotas(now)
        self._set_timer()

    def _send_quotas(self, now: int) -> None:
        for name, usable in self.member.usable(now).items():
            if usable != self._sent_quotas.get(name):
                self._sent_quotas[name] = usable
                limit = self._limits[name]
                self._callbacks.notify(
                    QuotaUpdate(limit.tenant, limit.rule.in_flight, *usable, limit.rule.burst_s)
                )

    def _measure_demand(self, now: int) -> None:
        """Measure the demand for each limit since the last measurement."""
        elapsed_s = (now - self._demand_at) / SECOND
        self._demand_at = now
        calls = self._callbacks.demand()
        for name, limit in self._limits.items():
            demand = float(calls.get((limit.tenant, limit.rule.in_flight), 0))
            if not limit.rule.in_flight:
                demand /= elapsed_s
            previous = self._demand.get(name, 0.0)
            self._demand[name] = max(demand, previous * DEMAND_SMOOTHING + demand * (1.0 - DEMAND_SMOOTHING))

    def _send(self, datagrams: list[Datagram]) -> None:
        for peer, data in datagrams:
            self._callbacks.send(peer, data)

    def _set_timer(self) -> None:
        at = max(self.member.due, self._not_before)
        if self._timer is not None:
            if self._timer_at <= at:
                return
            self._timer.cancel()
        now = self._callbacks.now()
        self._timer_at = at
        self._timer = asyncio.get_running_loop().call_later(max(0, at - now) / SECOND, self._tick)
