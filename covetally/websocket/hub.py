"""All WebSockets of a sidecar, from the handshake to the end of each socket.

The hub executes what others decide: `policy` limits sockets and schedules their closes, `liveness` finds
unresponsive sides, and the balancer chooses the node of a handshake.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from covetally.interface import Settings
from covetally.net.extensions import Upgrade
from covetally.net.http_message import HttpResponse, Headers, Malformed, RequestHead, encode
from covetally.net.sidecar import RequestInfo, Sidecar
from covetally.net.timer_wheel import Timer
from covetally.websocket import handshake
from covetally.websocket.frames import GOING_AWAY, SERVICE_RESTART, Limits
from covetally.websocket.policy import Policy
from covetally.websocket.relay import FAULT_CAUSES, Relay, RelayConfig, RelayResult, State
from covetally.websocket.settings import Route, WebSocketConfig

log = logging.getLogger(__name__)

REBALANCE_INTERVAL_S = 0.25  # how often rebalancing is considered, if it is on
CLOSE_REASONS = {
    "drain": (SERVICE_RESTART, GOING_AWAY, "the node is leaving"),
    "gone": (SERVICE_RESTART, GOING_AWAY, "the node has left"),
    "moved": (SERVICE_RESTART, GOING_AWAY, "moved to another node"),
    "rebalance": (SERVICE_RESTART, GOING_AWAY, "moved to another node"),
    "end": (GOING_AWAY, GOING_AWAY, "the sidecar is ending"),
}
REFUSALS = {
    "sockets": "all sockets of this sidecar are in use",
    "tenant": "all sockets of this tenant are in use",
    "end": "the sidecar is ending",
}


@dataclass(slots=True)
class _PendingHandshake:
    """A handshake in progress."""

    handshake: handshake.Handshake
    route: Route
    tenant: str
    admitted: bool = False


class Hub:
    """The sockets of one sidecar; the UpgradeHandler of the frontend (`Frontend.upgrades`)."""

    def __init__(self, config: WebSocketConfig, settings: Settings, sidecar: Sidecar, seed: int) -> None:
        self._sidecar = sidecar
        self._wheel = sidecar.wheel
        self._rng = random.Random(seed)
        self.policy = Policy(config.policy, self._rng)
        self.reconfigure(config, settings)
        self._open: dict[int, Relay] = {}
        self._last_id = 0
        self._timer: Timer | None = None
        self._timer_at = 0.0
        self._rebalance_timer: asyncio.TimerHandle | None = None
        self._lifecycles: dict[str, str] = {}  # lifecycle of each listed node
        self._all_closed = asyncio.Event()
        self.refused: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()  # failed handshakes by status
        self.ended: Counter[str] = Counter()  # ended sockets by cause
        self.codes: Counter[str] = Counter()  # close codes, such as "to the client 1000"

    def reconfigure(self, config: WebSocketConfig, settings: Settings) -> None:
        """Apply new settings; open sockets keep those that they started with."""
        self._config, self._settings = config, settings
        self.policy.config = config.policy
        self._classes = {c.name.encode(): (i, c) for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    # --- handshakes, for the frontend -----------------------------------------------------------

    def wants(self, head: RequestHead) -> bool:
        """Return whether a request with an Upgrade header asks for a WebSocket."""
        return handshake.is_websocket_request(head)

    def begin(self, head: RequestHead) -> Upgrade:
        """Return the handshake to forward; raises Malformed if it is invalid."""
        requested, headers = handshake.parse_request(head)
        fields = head.fields
        route = self._config.route(head.target.decode("latin-1"))
        class_index, cls = self._classes.get(fields.get(b"x-qos", b""), (route.cls, None))
        if cls is None:
            if class_index < 0:
                raise Malformed("X-Qos names no class, and no route has one")
            cls = self._settings.classes[class_index]
        trace_id = fields.get(b"x-trace-id", b"")
        if not trace_id:
            trace_id = b"ws-" + secrets.token_hex(8).encode()
            headers.append((b"x-trace-id", trace_id))
        elif len(trace_id) > 128 or not trace_id.isascii() or b" " in trace_id:
            raise Malformed("no readable X-Trace-Id")
        try:
            requested_ns = int(float(fields.get(b"x-expires-in", b"inf")) * 1e9)
        except (ValueError, OverflowError):
            requested_ns = cls.deadline_ns
        ttl_ns = max(
            1, min(cls.deadline_ns, route.handshake_ns, requested_ns if requested_ns > 0 else cls.deadline_ns)
        )
        tenant_index = self._tenants.get(fields.get(b"x-customer", b""), route.tenant)
        tenant = self._settings.tenants[tenant_index].name if tenant_index >= 0 else ""
        request_info = RequestInfo(class_index, ttl_ns, tenant=tenant_index, upgrade=True)
        return Upgrade(headers, request_info, trace_id, _PendingHandshake(requested, route, tenant), requested)

    def admit(self, upgrade: Upgrade) -> HttpResponse | None:
        """Count the handshake against the limits; return the refusal if one is reached, else None."""
        pending: _PendingHandshake = upgrade.token
        reason = self.policy.admit(pending.tenant)
        if not reason:
            pending.admitted = True
            return None
        self.refused[reason] += 1
        return self._refusal(REFUSALS[reason])

    def _refusal(self, reason: str) -> HttpResponse:
        """Return a 503 response that names a reconnect delay."""
        headers: Headers = [
            (b"content-type", b"text/plain"),
            (b"retry-after", b"%.3f" % self.policy.reconnect_delay_s()),
        ]
        return HttpResponse(503, headers, reason.encode() + b"\n")

    def declined(self, upgrade: Upgrade, answer: HttpResponse | None) -> None:
        """Record that a handshake failed: the client got this response, or disconnected (None)."""
        pending: _PendingHandshake = upgrade.token
        if pending.admitted:
            pending.admitted = False
            self.policy.release(pending.tenant)
            self.failed["left" if answer is None else str(answer.status)] += 1

    def switched(self, upgrade: Upgrade, client: tuple[Any, bytes], answer: HttpResponse) -> None:
        """Take over both connections after a node has accepted the handshake."""
        pending: _PendingHandshake = upgrade.token
        node = answer.switched
        assert node is not None
        if not pending.admitted:  # a bug; it must not corrupt the counts of other sockets
            raise AssertionError("a socket that was not admitted")
        pending.admitted = False
        config = self._config
        rsv1, rsv = pending.handshake.allowed_reserved_bits(answer.headers)
        relay_config = RelayConfig(
            Limits(config.max_frame, config.max_message, rsv1, rsv), config.frames_per_s, config.buffer,
            config.close_s, replace(config.timeouts, idle_s=pending.route.idle_s),
        )  # fmt: skip
        self._last_id += 1
        now = self._loop.time()
        if self._lifecycles.get(node.name) != "up":  # it began to drain or was removed during the handshake
            self.policy.start_drain(now, node.name, "drain" if node.name in self._lifecycles else "gone")
        self.policy.opened(now, self._last_id, node.name, pending.tenant)
        self._sidecar.adjust_held_connections(node.name, 1)
        relay = self._open[self._last_id] = Relay(
            self._last_id, node.name, pending.tenant, client, (node.sock, node.leading_bytes), relay_config,
            self._wheel, self._rng.random(), self._on_ended, self._on_unresponsive,
        )  # fmt: skip
        headers = [*answer.headers, (b"connection", b"Upgrade"), (b"upgrade", b"websocket")]
        relay.send_handshake_response(encode(b"HTTP/1.1 101 Switching Protocols", headers, b""))
        self._close_due()

    # --- sockets --------------------------------------------------------------------------------

    @property
    def _loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    def _on_ended(self, relay: Relay, result: RelayResult) -> None:
        """Remove a socket that has ended and count its cause and close codes."""
        del self._open[relay.id]
        self.policy.ended(relay.id)
        self._sidecar.adjust_held_connections(relay.node, -1)
        self.ended[result.cause] += 1
        for side, sent, got in zip(("client", "node"), result.codes_sent, result.codes_received, strict=True):
            self.codes[f"to the {side} {sent or 'none'}"] += 1
            self.codes[f"by the {side} {got or 'none'}"] += 1
        level = logging.WARNING if result.cause in FAULT_CAUSES else logging.DEBUG
        tenant = relay.tenant or "nobody"
        log.log(level, "socket %d of %s on %s ended: %s", relay.id, tenant, relay.node, result.cause)
        if relay.node not in self._lifecycles:
            self.policy.forget_node(relay.node)
        if not self._open:
            self._all_closed.set()

    def _on_unresponsive(self, relay: Relay) -> None:
        """Handle a node that was silent on a socket for too long."""
        since = self._loop.time() - relay.silent_s()
        others_heard = any(
            other.node == relay.node and other.last_node_frame_at > since + 1.0
            for other in self._open.values() if other is not relay
        )  # fmt: skip
        if self.policy.record_stall(self._loop.time(), relay.node, others_heard):
            log.warning("node %s is silent on its sockets: only probes are sent to it", relay.node)
            self._sidecar.report_unresponsive(relay.node)

    # --- nodes ----------------------------------------------------------------------------------

    def update_nodes(self, lifecycles: dict[str, str], complete: bool) -> None:
        """Apply an update of the server list: the lifecycle (up, leaving or removed) of each node in it.
        `complete`: nodes that are not in the update have been removed."""
        now = self._loop.time()
        gone = set(self._lifecycles) - set(lifecycles) if complete else set()
        for node, lifecycle in lifecycles.items():
            if lifecycle == "removed":
                gone.add(node)
            elif lifecycle == "up":
                self._lifecycles[node] = lifecycle
                self.policy.cancel_drain(node)
            else:
                self._lifecycles[node] = lifecycle
                self.policy.start_drain(now, node, "drain")
        for node in gone:
            self._lifecycles.pop(node, None)
            self.policy.start_drain(now, node, "gone")
            self.policy.forget_node(node)
        self.policy.set_available_nodes(
            {node for node, lifecycle in self._lifecycles.items() if lifecycle == "up"}
        )
        self._close_due()

    def move_sockets(self, node: str) -> str:
        """Close a node's sockets, spread over time, so that clients reconnect to other nodes. Returns an error
        message, empty on success."""
        if not self.policy.move_sockets(self._loop.time(), node):
            return f"no sockets on {node}"
        self._close_due()
        return ""

    def _close_due(self) -> None:
        """Close the sockets that are due and schedule a timer for the next."""
        now = self._loop.time()
        closes, at = self.policy.take_due(now)
        for close in closes:
            self._close(close.id, close.reason)
        if at and (self._timer is None or at < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer, self._timer_at = self._wheel.call_at(at, self._on_timer), at
        if self.policy.config.rebalance_per_s and self._rebalance_timer is None:
            self._rebalance_timer = self._loop.call_later(REBALANCE_INTERVAL_S, self._rebalance)

    def _on_timer(self) -> None:
        self._timer = None
        self._close_due()

    def _rebalance(self) -> None:
        """Close the sockets that rebalancing moves; runs every REBALANCE_INTERVAL_S while sockets are open."""
        self._rebalance_timer = None
        for close in self.policy.rebalance(self._loop.time()):
            self._close(close.id, close.reason)
        if self._open:
            self._close_due()

    def _close(self, id: int, cause: str) -> None:
        """Close a socket with the codes and reason of a cause; its client is given a reconnect delay."""
        relay = self._open.get(id)
        if relay is not None:
            client_code, node_code, reason = CLOSE_REASONS[cause]
            relay.close(
                cause, client_code, node_code, f"{reason}; come back in {self.policy.reconnect_delay_s():.1f} s"
            )

    # --- shutdown -------------------------------------------------------------------------------

    async def drain(self, within_s: float) -> None:
        """Close all sockets, spread over the given time; abort those that are left after it."""
        end = self._loop.time() + within_s
        self.policy.shut_down(self._loop.time(), within_s)
        self._close_due()
        self._all_closed.clear()
        if self._open:
            try:
                async with asyncio.timeout_at(end):
                    await self._all_closed.wait()
            except TimeoutError:
                log.warning("drain: %d sockets cut off", len(self._open))
        for relay in list(self._open.values()):
            relay.abort("end")

    # --- status ---------------------------------------------------------------------------------

    @property
    def count(self) -> int:
        """The number of sockets that are open or closing."""
        return len(self._open)

    def as_dict(self) -> dict[str, Any]:
        """Return the status for operators."""
        states = Counter(relay.state.value for relay in self._open.values())
        silent = sorted(self._open.values(), key=Relay.silent_s, reverse=True)[:5]
        return {
            "open": len(self._open),
            "limit": self._config.policy.sockets,
            "states": {state.value: states.get(state.value, 0) for state in (State.OPEN, State.CLOSING)},
            **self.policy.counts(),
            "refused": dict(self.refused),
            "failed": dict(self.failed),
            "ended": dict(self.ended),
            "codes": dict(self.codes),
            "frames": sum(side.frame_count for relay in self._open.values() for side in relay.sides),
            "waiting_bytes": sum(side.queued_bytes for relay in self._open.values() for side in relay.sides),
            "longest_silent": [
                {"socket": r.id, "node": r.node, "tenant": r.tenant, "silent_s": round(r.silent_s(), 1)}
                for r in silent
            ],
        }  # fmt: skip
