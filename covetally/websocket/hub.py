"""All WebSockets of a sidecar: from the handshake that a client asks for to the end of each socket.

Nothing is decided here: `policy` says who may open and who closes when, `life` which side is gone, the balancer
which node a handshake goes to. This carries it out.
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
from covetally.websocket.frames import GOING_AWAY, RESTART, Limits
from covetally.websocket.policy import Policy
from covetally.websocket.relay import FAULTS, Ending, Relay, State, Terms
from covetally.websocket.settings import Plan, Route

log = logging.getLogger(__name__)

REBALANCE_S = 0.25  # how often the balance is looked at, where it is
REASONS = {
    "drain": (RESTART, GOING_AWAY, "the node is leaving"),
    "gone": (RESTART, GOING_AWAY, "the node has left"),
    "moved": (RESTART, GOING_AWAY, "moved to another node"),
    "rebalance": (RESTART, GOING_AWAY, "moved to another node"),
    "end": (GOING_AWAY, GOING_AWAY, "the sidecar is ending"),
}
FULL = {
    "sockets": "all sockets of this sidecar are in use",
    "tenant": "all sockets of this tenant are in use",
    "end": "the sidecar is ending",
}


@dataclass(slots=True)
class _Asked:
    """A handshake that is out."""

    handshake: handshake.Handshake
    route: Route
    tenant: str
    admitted: bool = False


class Hub:
    """The sockets of one sidecar. It is what `Frontend.upgrades` asks."""

    def __init__(self, plan: Plan, settings: Settings, sidecar: Sidecar, seed: int) -> None:
        self._sidecar = sidecar
        self._wheel = sidecar.wheel
        self._rng = random.Random(seed)
        self.policy = Policy(plan.bounds, self._rng)
        self.retune(plan, settings)
        self._open: dict[int, Relay] = {}
        self._serial = 0
        self._timer: Timer | None = None
        self._timer_at = 0.0
        self._watch: asyncio.TimerHandle | None = None
        self._listed: dict[str, str] = {}  # nodes by lifecycle
        self._none_left = asyncio.Event()
        self.refused: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()  # handshakes that came to nothing, by status
        self.ended: Counter[str] = Counter()  # by why
        self.codes: Counter[str] = Counter()  # "client sent 1000", ...

    def retune(self, plan: Plan, settings: Settings) -> None:
        """Keep to these from here on; open sockets keep what they began with."""
        self._plan, self._settings = plan, settings
        self.policy.bounds = plan.bounds
        self._classes = {c.name.encode(): (i, c) for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    # --- handshakes, for the frontend -----------------------------------------------------------

    def wants(self, head: RequestHead) -> bool:
        """Whether a request with an Upgrade is one for us."""
        return handshake.asks(head)

    def begin(self, head: RequestHead) -> Upgrade:
        """A handshake as it is to go on; Malformed if it must not."""
        asked, headers = handshake.read(head)
        fields = head.fields
        route = self._plan.route(head.target.decode("latin-1"))
        number, cls = self._classes.get(fields.get(b"x-qos", b""), (route.cls, None))
        if cls is None:
            if number < 0:
                raise Malformed("X-Qos names no class, and no route has one")
            cls = self._settings.classes[number]
        trace_id = fields.get(b"x-trace-id", b"")
        if not trace_id:
            trace_id = b"ws-" + secrets.token_hex(8).encode()
            headers.append((b"x-trace-id", trace_id))
        elif len(trace_id) > 128 or not trace_id.isascii() or b" " in trace_id:
            raise Malformed("no readable X-Trace-Id")
        try:
            wanted_ns = int(float(fields.get(b"x-expires-in", b"inf")) * 1e9)
        except (ValueError, OverflowError):
            wanted_ns = cls.deadline_ns
        ttl_ns = max(1, min(cls.deadline_ns, route.handshake_ns, wanted_ns if wanted_ns > 0 else cls.deadline_ns))
        place = self._tenants.get(fields.get(b"x-customer", b""), route.tenant)
        tenant = self._settings.tenants[place].name if place >= 0 else ""
        arrival = RequestInfo(number, ttl_ns, tenant=place, upgrade=True)
        return Upgrade(headers, arrival, trace_id, _Asked(asked, route, tenant), asked)

    def admit(self, upgrade: Upgrade) -> HttpResponse | None:
        """Take a place for it; the refusal if there is none."""
        asked: _Asked = upgrade.token
        why = self.policy.admit(asked.tenant)
        if not why:
            asked.admitted = True
            return None
        self.refused[why] += 1
        return self._refusal(FULL[why])

    def _refusal(self, words: str) -> HttpResponse:
        headers: Headers = [(b"content-type", b"text/plain"), (b"retry-after", b"%.3f" % self.policy.back_s())]
        return HttpResponse(503, headers, words.encode() + b"\n")

    def declined(self, upgrade: Upgrade, answer: HttpResponse | None) -> None:
        """No socket came of it: the client got this answer, or left (None)."""
        asked: _Asked = upgrade.token
        if asked.admitted:
            asked.admitted = False
            self.policy.leave_place(asked.tenant)
            self.failed["left" if answer is None else str(answer.status)] += 1

    def switched(self, upgrade: Upgrade, client: tuple[Any, bytes], answer: HttpResponse) -> None:
        """A node has agreed: both connections are ours from here on."""
        asked: _Asked = upgrade.token
        node = answer.switched
        assert node is not None
        if not asked.admitted:  # a bug; it must not cost the places of others
            raise AssertionError("a socket without a place")
        asked.admitted = False
        plan = self._plan
        rsv1, rsv = asked.handshake.agreed(answer.headers)
        terms = Terms(
            Limits(plan.max_frame, plan.max_message, rsv1, rsv), plan.frames_per_s, plan.buffer, plan.close_s,
            replace(plan.patience, idle_s=asked.route.idle_s),
        )  # fmt: skip
        self._serial += 1
        now = self._loop.time()
        if self._listed.get(node.name) != "up":  # it was told to leave while the handshake was out
            self.policy.leave(now, node.name, "drain" if node.name in self._listed else "gone")
        self.policy.opened(now, self._serial, node.name, asked.tenant)
        self._sidecar.adjust_held_connections(node.name, 1)
        relay = self._open[self._serial] = Relay(
            self._serial, node.name, asked.tenant, client, (node.sock, node.leading_bytes), terms, self._wheel,
            self._rng.random(), self._ended, self._hung,
        )  # fmt: skip
        headers = [*answer.headers, (b"connection", b"Upgrade"), (b"upgrade", b"websocket")]
        relay.greet(encode(b"HTTP/1.1 101 Switching Protocols", headers, b""))
        self._plan_next()

    # --- sockets --------------------------------------------------------------------------------

    @property
    def _loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    def _ended(self, relay: Relay, ending: Ending) -> None:
        del self._open[relay.id]
        self.policy.ended(relay.id)
        self._sidecar.adjust_held_connections(relay.node, -1)
        self.ended[ending.why] += 1
        for side, sent, got in zip(("client", "node"), ending.sent, ending.got, strict=True):
            self.codes[f"to the {side} {sent or 'none'}"] += 1
            self.codes[f"by the {side} {got or 'none'}"] += 1
        level = logging.WARNING if ending.why in FAULTS else logging.DEBUG
        whose = relay.tenant or "nobody"
        log.log(level, "socket %d of %s on %s ended: %s", relay.id, whose, relay.node, ending.why)
        if relay.node not in self._listed:
            self.policy.forget(relay.node)
        if not self._open:
            self._none_left.set()

    def _hung(self, relay: Relay) -> None:
        """A node said nothing on a socket for too long."""
        since = self._loop.time() - relay.silent_s()
        others = any(
            other.node == relay.node and other.node_heard_at > since + 1.0
            for other in self._open.values() if other is not relay
        )  # fmt: skip
        if self.policy.stalled(self._loop.time(), relay.node, others):
            log.warning("node %s is silent on its sockets: no new work but trials", relay.node)
            self._sidecar.report_unresponsive(relay.node)

    # --- nodes ----------------------------------------------------------------------------------

    def told(self, lifecycles: dict[str, str], whole: bool) -> None:
        """News of the list: the lifecycle of each node that it names (up, leaving or removed)."""
        now = self._loop.time()
        gone = set(self._listed) - set(lifecycles) if whole else set()
        for node, lifecycle in lifecycles.items():
            if lifecycle == "removed":
                gone.add(node)
            elif lifecycle == "up":
                self._listed[node] = lifecycle
                self.policy.stay(node)
            else:
                self._listed[node] = lifecycle
                self.policy.leave(now, node, "drain")
        for node in gone:
            self._listed.pop(node, None)
            self.policy.leave(now, node, "gone")
            self.policy.forget(node)
        self.policy.nodes({node for node, lifecycle in self._listed.items() if lifecycle == "up"})
        self._plan_next()

    def move(self, node: str) -> str:
        """Close a node's sockets, paced, so that they open elsewhere; empty, or why not."""
        if not self.policy.move(self._loop.time(), node):
            return f"no sockets on {node}"
        self._plan_next()
        return ""

    def _plan_next(self) -> None:
        """Close what is due, and have a timer for the next."""
        now = self._loop.time()
        closes, at = self.policy.due(now)
        for close in closes:
            self._close(close.id, close.why)
        if at and (self._timer is None or at < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer, self._timer_at = self._wheel.call_at(at, self._due), at
        if self.policy.bounds.rebalance_per_s and self._watch is None:
            self._watch = self._loop.call_later(REBALANCE_S, self._rebalance)

    def _due(self) -> None:
        self._timer = None
        self._plan_next()

    def _rebalance(self) -> None:
        self._watch = None
        for close in self.policy.rebalance(self._loop.time()):
            self._close(close.id, close.why)
        if self._open:
            self._plan_next()

    def _close(self, id: int, why: str) -> None:
        relay = self._open.get(id)
        if relay is not None:
            client, node, words = REASONS[why]
            relay.close(why, client, node, f"{words}; come back in {self.policy.back_s():.1f} s")

    # --- the end --------------------------------------------------------------------------------

    async def drain(self, within_s: float) -> None:
        """Close all, paced, in that time; what is left then is cut."""
        end = self._loop.time() + within_s
        self.policy.end(self._loop.time(), within_s)
        self._plan_next()
        self._none_left.clear()
        if self._open:
            try:
                async with asyncio.timeout_at(end):
                    await self._none_left.wait()
            except TimeoutError:
                log.warning("drain: %d sockets cut off", len(self._open))
        for relay in list(self._open.values()):
            relay.abort("end")

    # --- what is told ---------------------------------------------------------------------------

    @property
    def count(self) -> int:
        """Sockets that are open or closing."""
        return len(self._open)

    def table(self) -> dict[str, Any]:
        """All there is to tell, for operators."""
        states = Counter(relay.state.value for relay in self._open.values())
        silent = sorted(self._open.values(), key=Relay.silent_s, reverse=True)[:5]
        return {
            "open": len(self._open),
            "limit": self._plan.bounds.sockets,
            "states": {state.value: states.get(state.value, 0) for state in (State.OPEN, State.CLOSING)},
            **self.policy.counts(),
            "refused": dict(self.refused),
            "failed": dict(self.failed),
            "ended": dict(self.ended),
            "codes": dict(self.codes),
            "frames": sum(side.got for relay in self._open.values() for side in relay.sides),
            "waiting_bytes": sum(side.waiting for relay in self._open.values() for side in relay.sides),
            "longest_silent": [
                {"socket": r.id, "node": r.node, "tenant": r.tenant, "silent_s": round(r.silent_s(), 1)}
                for r in silent
            ],
        }  # fmt: skip
