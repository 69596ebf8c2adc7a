"""Connects the balancer to the sockets: translates socket events into its events, and carries out its actions.

No decision is made here. Each accepted request gets exactly one final answer, each attempt exactly one outcome.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import lru_cache, partial
from typing import NamedTuple, Protocol

from covetally.interface import (
    RequestReceived,
    NOT_EXECUTED,
    Action,
    TimerFired,
    ServerStatus,
    SetTimer,
    ServerListUpdate,
    Shutdown,
    Event,
    Fail,
    ClientDisconnected,
    PeerMessage,
    UpgradedConnections,
    AttemptStatus,
    Refuse,
    AttemptEnded,
    CancelAttempt,
    Settings,
    SendToPeer,
    Submit,
    Subscribe,
    ServerUnresponsive,
)
from covetally.net.attempt import Attempt
from covetally.net.clock import Clock
from covetally.net.invariants import Invariant, Violations
from covetally.net.http_message import HttpResponse, encode
from covetally.net.outcome import AttemptLimits, Outcome, Request
from covetally.net.repeat_guard import may_repeat
from covetally.net.upstream import Upstream
from covetally.net.timer_wheel import Timer
from covetally.policy import Balancer

log = logging.getLogger(__name__)

OVERDUE_NS = 10_000_000  # a request without an answer so long after its deadline is answered without the balancer
SWEEP_S = 0.02  # how often that is checked
UNSENT = NOT_EXECUTED - {AttemptStatus.FULL}  # statuses that claim that the request was not sent completely


class RequestInfo(NamedTuple):
    """The attributes of a request that the balancer needs, read from its head; see `RequestReceived`."""

    cls: int
    ttl_ns: int
    cost_ns: int = 0
    tenant: int = 0
    key: str = ""
    retry: bool = False
    upgrade: bool = False


class RequestObserver(Protocol):
    """An observer of all requests beside the balancer: fleet-wide load shedding (covetally/overload)."""

    def assign_priority(self, name: bytes, cls: int, tenant: int, retry: bool) -> float:
        """Return a request's priority, on one scale for the whole fleet."""

    def on_attempt_ended(self, event: AttemptEnded, cls: int) -> None:
        """Called when an attempt has ended."""

    def on_request_ended(self, served: bool) -> None:
        """Called when a request is finished; `served` says whether its answer was a 200."""


class Exchange(Protocol):
    """A client's request, and the means to answer it."""

    @property
    def request(self) -> Request: ...

    def client_connected(self) -> bool:
        """Return whether the client is still connected. If it has left, the request is cancelled."""

    def finish(self, response: HttpResponse) -> None:
        """Send the complete answer to the client."""


@dataclass(slots=True, eq=False)
class _Call:
    """A request that is owed an answer, or that has attempts without an outcome."""

    exchange: Exchange
    cls: int
    deadline_ns: int
    trace_id: bytes  # that the client gave the request
    free: bool  # its class may be repeated freely
    attempts: dict[int, Attempt] = field(default_factory=dict)
    sent: int = 0  # the number of attempts so far
    ran_at_ns: int = 0  # when the first attempt that may have run was started; 0: none
    over: bool = False  # the final answer was given, or the client has left


class Sidecar:
    """A balancer with the sockets that it controls."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        upstream: Upstream,
        send_gossip: Callable[[int, bytes], None],
        subscribe: Callable[[float], None],
    ) -> None:
        self._clock = clock
        self.wheel = clock.wheel
        self._upstream = upstream
        self._send_gossip = send_gossip
        self._subscribe = subscribe
        self._calls: dict[str, _Call] = {}
        self._accepted = 0
        self._sweep: Timer | None = None
        # Called with the server and the outcome of each attempt.
        self.on_outcome: Callable[[str, AttemptStatus], None] | None = None
        # Called with the server, the outcome, the class of the call and the start time of the attempt.
        self.on_attempt: Callable[[str, AttemptStatus, int, int], None] | None = None
        self.observer: RequestObserver | None = None
        # Called with the class and the final answer of each request; None: the client has left.
        self.on_completed: Callable[[int, HttpResponse | None], None] | None = None
        # Called with the id of each request that may have run and is not free to be repeated.
        self.on_may_have_run: Callable[[bytes], None] = lambda trace_id: None
        self.violations = Violations()
        self._classes = settings.classes
        self._free_classes = _free_classes(settings)
        self.tracing = False  # log each attempt and each answer at DEBUG
        self._shutdown_ns = 0  # during shutdown: when the last answer is due; 0 before
        self._balancer = Balancer(settings, seed, clock.now())

    def reconfigure(self, settings: Settings) -> None:
        """Apply changed settings; the classes themselves must be the same."""
        self._classes = settings.classes
        self._free_classes = _free_classes(settings)
        self._balancer.reconfigure(settings)

    def server_statuses(self) -> list[ServerStatus]:
        """Return the balancer's view of each server."""
        return self._balancer.server_statuses(self._clock.now())

    def zones(self) -> dict[str, int]:
        """Return the zone of each server that is up."""
        return self._balancer.zones()

    @property
    def open_requests(self) -> int:
        """The number of requests that are owed an answer or have attempts without an outcome."""
        return len(self._calls)

    # --- events ---------------------------------------------------------------------------------

    @property
    def shedding(self) -> bool:
        """Whether the balancer sheds load, so that `early_refusal` may refuse requests."""
        return self._balancer.shedding

    @property
    def max_wait_ns(self) -> int:
        """While the balancer sheds load, requests that have waited for longer are refused."""
        return self._balancer.queue_age_limit

    def early_refusal(self, age_ns: int, retry: bool) -> bytes:
        """Return the encoded refusal for a request that has waited for `age_ns` and is not parsed yet; empty if
        the request is admitted."""
        hold_off_ns = self._balancer.overload_hold_off(self._clock.now(), age_ns, retry)
        return _encoded_refusal(hold_off_ns) if hold_off_ns else b""

    def accept(
        self, exchange: Exchange, info: RequestInfo, age_ns: int = 0, admitted: bool = False, name: bytes = b""
    ) -> str:
        """Accept a request that was completely received `age_ns` ago: from now on an answer is owed. Returns its
        internal id. `admitted` says that `early_refusal` has admitted it already."""
        self._accepted += 1
        tid = f"{self._accepted:016x}"
        cls, ttl_ns, *rest, upgrade = info
        ttl_ns = max(ttl_ns - age_ns, 1)
        now = self._clock.now()
        if self._shutdown_ns:
            ttl_ns = max(min(ttl_ns, self._shutdown_ns - now), 1)
        self._calls[tid] = _Call(exchange, cls, now + ttl_ns, name, cls in self._free_classes)
        if self._sweep is None:
            self._schedule_sweep()
        priority = 0.0
        if self.observer is not None:
            priority = self.observer.assign_priority(name, cls, info.tenant, info.retry)
        self._handle(RequestReceived(tid, cls, ttl_ns, *rest, age_ns, admitted, upgrade, priority), now)
        return tid

    def shut_down_by(self, at: float) -> None:
        """Answer all open requests, and those that are still accepted, by `at` on the loop's clock.

        Requests that cannot be served by then are refused if they never ran, and fail otherwise.
        """
        now = self._clock.now()
        self._shutdown_ns = max(now + int((at - asyncio.get_running_loop().time()) * 1e9), 1)
        for call in self._calls.values():
            call.deadline_ns = min(call.deadline_ns, self._shutdown_ns)
            for attempt in call.attempts.values():
                attempt.shorten_timeout(self._shutdown_ns)
        self._handle(Shutdown(self._shutdown_ns), now)

    def client_left(self, tid: str) -> None:
        """Cancel a request whose client has left, and close the connections of its attempts."""
        call = self._calls.get(tid)
        if call is None or call.over:
            return
        self._close(call, None)
        if self.tracing:
            log.debug("request %s: the client has left", self._client_id(tid))
        self._handle(ClientDisconnected(tid))
        self._remove_if_done(tid, call)

    def update_servers(self, event: ServerListUpdate) -> None:
        """Pass an update of the server list on to the balancer."""
        self._handle(event)

    def report_unresponsive(self, server: str) -> None:
        """Report that a server does not respond, on evidence other than attempts."""
        self._handle(ServerUnresponsive(server))

    def handle_event(self, event: Event) -> None:
        """Pass an event on to the balancer, such as the tier's view of servers or this sidecar's share of a
        limit."""
        self._handle(event)

    def demand(self) -> dict[tuple[int, bool], int]:
        """Return how much of each limit was requested since the last call; see `Balancer.demand`."""
        return self._balancer.demand()

    def adjust_held_connections(self, server: str, change: int) -> None:
        """Report that `change` more connections of another protocol are open to a server, or fewer."""
        self._handle(UpgradedConnections(server, change))

    def receive_gossip(self, blob: bytes) -> None:
        """Pass a gossip message from another sidecar on to the balancer."""
        self._handle(PeerMessage(blob))

    def _schedule_sweep(self) -> None:
        due_ns = self._clock.now() + int(SWEEP_S * 1e9)
        self._sweep = self.wheel.call_at(self._clock.loop_time(due_ns), partial(self._answer_overdue, due_ns))

    def _answer_overdue(self, due_ns: int) -> None:
        """Answer requests that the balancer has left unanswered past their deadline, so that a bug in it does
        not leave a client waiting.

        A periodic check of all open requests replaces a timer for each, which would be set and cancelled with
        every request. What counts is when the check was due: if the event loop was held up, timers of attempts
        that were due after it are still to fire.
        """
        self._sweep = None
        overdue_before = due_ns - OVERDUE_NS
        for tid, call in [pair for pair in self._calls.items() if pair[1].deadline_ns < overdue_before]:
            if not call.over:
                self.violations.report(Invariant.OVERDUE, self._client_id(tid), "not answered by its deadline")
                self.client_left(tid)
                call.exchange.finish(HttpResponse(502, []))
        if self._calls:
            self._schedule_sweep()

    def _handle(self, event: Event, now: int = 0) -> None:
        now = now or self._clock.now()
        try:
            actions = self._balancer.handle(now, event)
        except Exception:  # a bug in the balancer affects only the request at hand, not the process
            log.exception("unhandled exception in the balancer on %s", type(event).__name__)
            actions = [Fail(event.tid)] if isinstance(event, RequestReceived | AttemptEnded) else []
        for action in actions:
            if type(action) is Submit:
                self._submit(action, now)
            else:
                self._execute(action)

    # --- actions --------------------------------------------------------------------------------

    def _execute(self, action: Action) -> None:
        match action:
            case Refuse(tid, hold_off_ns):
                self._finish(tid, refusal(hold_off_ns))
            case Fail(tid):
                self._finish(tid, HttpResponse(502, []))
            case CancelAttempt(tid, attempt):
                call = self._calls.get(tid)
                if call is not None and attempt in call.attempts:
                    call.attempts[attempt].cancel()
            case SetTimer(delay_ns, tag):
                asyncio.get_running_loop().call_later(delay_ns / 1e9, self._handle, TimerFired(tag))
            case SendToPeer(peer, blob):
                self._send_gossip(peer, blob)
            case Subscribe(delay_ns):
                self._subscribe(delay_ns / 1e9)

    def _submit(self, action: Submit, now: int) -> None:
        call = self._calls.get(action.tid)
        if call is None:
            self.violations.report(Invariant.ATTEMPT_NOT_OWED, action.tid, f"attempt at {action.server}")
            return
        number = call.sent
        call.sent += 1
        abandon_ns = min(action.abandon_ns, call.deadline_ns)
        if call.over or abandon_ns <= now or (number and not self._may_repeat(action, call, now)):
            event = AttemptEnded(action.tid, AttemptStatus.NOT_SENT, 0, action.server, number, call.over)
            asyncio.get_running_loop().call_soon(self._handle, event)
            return
        if self.tracing:
            log.debug("request %s: attempt %d at %s", self._client_id(action.tid), number, action.server)
        done = partial(self._attempt_ended, action, call, number, now)
        limits = AttemptLimits(
            abandon_ns, call.exchange.client_connected, action.begin_by_ns, action.confirmed_only
        )
        call.attempts[number] = self._upstream.attempt(action.server, call.exchange.request, limits, done)

    def _may_repeat(self, action: Submit, call: _Call, now: int) -> bool:
        """Return whether a further attempt is safe. If not, a violation is reported and the attempt does not
        start."""
        known = 0 <= call.cls < len(self._classes)
        cls = self._classes[call.cls] if known else replace(self._classes[0], repeat="single_shot")
        if may_repeat(cls, len(call.attempts), call.ran_at_ns, now):
            return True
        detail = f"attempt {call.sent - 1} at {action.server} of a request that may have run"
        self.violations.report(Invariant.UNSAFE_REPEAT, self._client_id(action.tid), detail)
        return False

    def _client_id(self, tid: str) -> str:
        """Return the id that the client gave a request."""
        call = self._calls.get(tid)
        return call.trace_id.decode("latin-1") if call is not None else tid

    def _attempt_ended(self, action: Submit, call: _Call, number: int, sent_ns: int, outcome: Outcome) -> None:
        """Report the outcome of an attempt to the balancer, and answer the client if the outcome settles the
        request."""
        attempt = call.attempts.pop(number)
        tid = action.tid
        if outcome.status in UNSENT and attempt.may_have_run():
            detail = f"attempt {number} at {action.server} was sent, but ended as {outcome.status.name}"
            self.violations.report(Invariant.UNPROVEN, self._client_id(tid), detail)
            outcome = outcome._replace(status=AttemptStatus.RESET)
        if self.tracing:
            log.debug(
                "request %s: attempt %d at %s ended after %.1f ms: %s, on %s",
                self._client_id(tid), number, action.server, (self._clock.now() - sent_ns) / 1e6,
                outcome.status.name, attempt.use or "no connection",
            )  # fmt: skip
        if (response := outcome.response) is not None:
            if response.switched is not None:
                response = response._replace(switched=response.switched._replace(name=action.server))
            if not call.over:
                self._close(call, response)
                call.exchange.finish(response)
            elif response.switched is not None:
                response.switched.sock.close()  # the client has left
        elif not call.ran_at_ns and outcome.status not in NOT_EXECUTED:
            call.ran_at_ns = sent_ns
        if not call.free and outcome.status is not AttemptStatus.FULL and attempt.may_have_run():
            self.on_may_have_run(call.trace_id)
        if self.on_outcome is not None:
            self.on_outcome(action.server, outcome.status)
        if self.on_attempt is not None:
            self.on_attempt(action.server, outcome.status, call.cls, sent_ns)
        now = self._clock.now()
        elapsed_ns = now - sent_ns
        latency_ns = outcome.latency_ns or elapsed_ns
        local_ns = max(0, elapsed_ns - latency_ns)
        event = AttemptEnded(
            tid,
            outcome.status,
            latency_ns,
            action.server,
            number,
            call.over,
            outcome.load,
            local_ns,
            attempt.unconfirmed,
        )
        if self.observer is not None:
            self.observer.on_attempt_ended(event, call.cls)
        self._handle(event, now)
        self._remove_if_done(tid, call)

    def _finish(self, tid: str, response: HttpResponse) -> None:
        call = self._calls.get(tid)
        if call is None or call.over:
            return
        self._close(call, response)
        if self.tracing:
            log.debug("request %s: answered with %d without a server", self._client_id(tid), response.status)
        call.exchange.finish(response)
        self._remove_if_done(tid, call)

    def _close(self, call: _Call, response: HttpResponse | None) -> None:
        """End a request and cancel its remaining attempts."""
        call.over = True
        if self.on_completed is not None:
            self.on_completed(call.cls, response)
        if self.observer is not None:
            self.observer.on_request_ended(response is not None and response.status == 200)
        for attempt in call.attempts.values():
            attempt.cancel()

    def _remove_if_done(self, tid: str, call: _Call) -> None:
        if call.over and not call.attempts:
            self._calls.pop(tid, None)


def _free_classes(settings: Settings) -> frozenset[int]:
    """The numbers of the classes that may be repeated freely."""
    return frozenset(number for number, cls in enumerate(settings.classes) if cls.repeat == "free")


@lru_cache(maxsize=64)
def _encoded_refusal(hold_off_ns: int) -> bytes:
    response = refusal(hold_off_ns)
    return encode(b"HTTP/1.1 %d " % response.status, [*response.headers, (b"content-length", b"0")], b"")


def refusal(hold_off_ns: int) -> HttpResponse:
    """Return a refusal that tells the client when to retry."""
    return HttpResponse(503, [(b"retry-after", b"%.3f" % (hold_off_ns / 1e9))] if hold_off_ns > 0 else [])
