"""What a sidecar decides together with all others by gossip: overload control and connection caps of tenants.

Builds both parts from the configuration and connects them to the sidecar. It is imported only if operators enable
one of them.
"""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable
from typing import Any

from covetally.caps import Cap, CapsMember
from covetally.caps.connection_limiter import ConnectionLimiter
from covetally.caps.member import CLIENT, NODE, Usage
from covetally.caps.settings import Plan as CapsPlan
from covetally.configuration import Configuration
from covetally.interface import QuotaUpdate, Event, Settings
from covetally.net.clock import Clock
from covetally.net.frontend import Frontend
from covetally.net.sidecar import Sidecar
from covetally.overload.levels import level_name
from covetally.overload.member import Member
from covetally.overload.pins import parse_pin
from covetally.overload.settings import OverloadConfig
from covetally.gossip import Topic
from covetally.gossip.transport import GossipTransport, Participant, TransportCallbacks

log = logging.getLogger("covetally")


class SharedDecisions:
    """Starts, reconfigures and stops the gossip participants of this sidecar as the configuration asks."""

    def __init__(
        self, clock: Clock, send: Callable[[int, bytes], None], sidecar: Sidecar, frontend: Frontend
    ) -> None:
        self._clock, self._send, self._sidecar, self._frontend = clock, send, sidecar, frontend
        self._incarnation = secrets.randbits(32)
        self._overload: Member | None = None
        self._caps: CapsMember | None = None
        self._connection_limiter: ConnectionLimiter | None = None
        self._client_caps: dict[int, int] = {}  # by tenant: the wire id of its cap on client connections
        self._node_capped: set[int] = set()  # tenants with a cap on connections to nodes
        self._pin = ""
        self._logged_level = 0
        self.transport: GossipTransport | None = None

    def apply_configuration(self, configuration: Configuration) -> None:
        """Start, change or stop the participants to match the configuration."""
        now = self._clock.now()
        participants: dict[Topic, Participant] = {}
        if (plan := configuration.overload) is not None:
            participants[Topic.OVERLOAD] = self._configure_overload(now, plan, configuration.config.settings)
        elif self._overload is not None:
            self._overload = self._sidecar.observer = None
            self._pin = ""
        if (caps := configuration.caps) is not None:
            participants[Topic.CAPS] = self._configure_caps(now, caps, configuration.config.settings)
        elif self._caps is not None:
            self._remove_caps(now)
        if self.transport is not None and set(self.transport.participants) != set(participants):
            self.transport.stop(leave=False)
            self.transport = None
        if participants and self.transport is None:
            self.transport = GossipTransport(
                TransportCallbacks(self._clock.now, self._send, self._apply_event), participants
            )
            self.transport.start()
        elif self.transport is not None:
            self.transport.tick_now()

    # --- overload control -----------------------------------------------------------------------

    def _configure_overload(self, now: int, plan: OverloadConfig, settings: Settings) -> Member:
        member = self._overload
        if member is None:
            seed = secrets.randbits(64)
            member = Member(plan.me, plan.size, self._incarnation, seed, now, settings, plan.policy)
            self._overload = self._sidecar.observer = member
        if plan.size != member.size:
            member.resize(plan.size)
        member.policy = plan.policy
        if plan.pin != self._pin:
            # Compared with the last setting, not the pin in force: a pin that has expired stays in the settings
            # and must not start again.
            self._pin = plan.pin
            member.pin = parse_pin(plan.pin, now) if plan.pin else None
            log.info("overload line: %s", f"an operator's hand on it: {plan.pin}" if plan.pin else "pin removed")
        return member

    def _apply_event(self, event: Event) -> None:
        """Pass a participant's event to the sidecar, and log a change of the admission threshold."""
        self._sidecar.handle_event(event)
        member = self._overload
        if member is None or member.threshold.level == self._logged_level:
            return
        log.info(
            "overload line: %s (%s, load %.2f of the limit at which it rises, %d voters)",
            level_name(member.threshold.level), member.threshold.transition.value, member.threshold.load,
            member.threshold.voters,
        )  # fmt: skip
        self._logged_level = member.threshold.level

    # --- caps -----------------------------------------------------------------------------------

    def _configure_caps(self, now: int, plan: CapsPlan, settings: Settings) -> CapsMember:
        self._client_caps = {cap.tenant: cap.rule.wire_id for cap in plan.caps if cap.kind == CLIENT}
        node_capped = {cap.tenant for cap in plan.caps if cap.kind == NODE}
        for tenant in self._node_capped - node_capped:
            self._sidecar.handle_event(QuotaUpdate(tenant, True, None))
        self._node_capped = node_capped
        if self._caps is None:
            self._connection_limiter = ConnectionLimiter(
                self._clock.now, self._usable, min(c.aim_ns for c in settings.classes)
            )
            self._caps = CapsMember(plan.me, self._incarnation, now, plan.caps, self._measure)
            self._frontend.gate = self._connection_limiter
            log.info("caps: %s", ", ".join(f"{cap.rule.name} = {cap.rule.amount}" for cap in plan.caps))
        else:
            self._caps.update_caps(now, plan.caps)
        return self._caps

    def _remove_caps(self, now: int) -> None:
        for tenant in self._node_capped:
            self._sidecar.handle_event(QuotaUpdate(tenant, True, None))
        self._caps = self._connection_limiter = self._frontend.gate = None
        self._node_capped, self._client_caps = set(), {}

    def _usable(self, tenant: int) -> int | None:
        """Return how many client connections a tenant may have here now; None if it has no cap."""
        wire_id = self._client_caps.get(tenant)
        return None if wire_id is None or self._caps is None else self._caps.usable(self._clock.now(), wire_id)

    def _measure(self, now: int, cap: Cap) -> Usage:
        """Return the usage of a cap at this sidecar."""
        if cap.kind == CLIENT:
            assert self._connection_limiter is not None
            return self._connection_limiter.usage(now, cap)
        assert self._caps is not None
        usable = self._caps.usable(now, cap.rule.wire_id)
        demand = self._sidecar.demand().get((cap.tenant, True), 0)
        # Refused requests leave at once, so how many more units they need is not known: doubling finds it.
        return Usage(min(demand, usable), max(2, usable // 2) if demand > usable else 0)

    # --- both -----------------------------------------------------------------------------------

    def receive(self, sender: int, data: bytes) -> None:
        """Process a gossip datagram from the peer with index `sender`."""
        if self.transport is not None:
            self.transport.receive(sender, data)

    def stop(self) -> None:
        """Stop all participants when the sidecar shuts down; units that it holds are returned to their owners."""
        if self.transport is not None:
            self.transport.stop()
        self.transport = self._overload = self._sidecar.observer = None
        if self._caps is not None:
            self._remove_caps(self._clock.now())
        self._pin = ""

    def overload_table(self) -> dict[str, Any]:
        """Return the state of overload control for operators."""
        if self._overload is None:
            return {"off": "overload.mode is off here"}
        return self._overload.table(self._clock.now())

    def caps_table(self) -> dict[str, Any]:
        """Return the state of the caps for operators."""
        if self._caps is None or self._connection_limiter is None:
            return {"off": "no caps here"}
        return {
            "caps": self._caps.table(self._clock.now()),
            "refused": self._connection_limiter.refused, "closed": self._connection_limiter.evicted,
        }  # fmt: skip
