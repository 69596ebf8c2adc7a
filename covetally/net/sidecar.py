"""Drives the module: what happens on sockets becomes its events, its actions happen on sockets.

Nothing is decided here. Each request taken gets exactly one final answer, each attempt exactly one outcome.
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
from covetally.net.outcome import Bounds, Outcome, Request
from covetally.net.repeat_guard import may_repeat
from covetally.net.upstream import Upstream
from covetally.net.wheel import Timer
from covetally.policy import Balancer

log = logging.getLogger(__name__)

OVERDUE_NS = 10_000_000  # an answer that the module still owes so long after the deadline is given for it,
SWEEP_S = 0.02  # at the latest so long after that


class Arrival(NamedTuple):
    """What the module is told of a request whose head was read; see `Accept`."""

    cls: int
    ttl_ns: int
    cost_ns: int = 0
    tenant: int = 0
    key: str = ""
    retry: bool = False
    upgrade: bool = False


class Watcher(Protocol):
    """What knows requests beside the module: the fleet's overload line (covetally/overload)."""

    def place(self, name: bytes, cls: int, tenant: int, retry: bool) -> float:
        """A request's place in the fleet's one order."""

    def outcome(self, event: AttemptEnded, cls: int) -> None:
        """How an attempt ended."""

    def ended(self, served: bool) -> None:
        """How a request ended."""


class Exchange(Protocol):
    """A client's request and the way back to that client."""

    @property
    def request(self) -> Request: ...

    @property
    def trace_id(self) -> bytes:
        """The id that its client gave it."""

    def wanted(self) -> bool:
        """Whether its client is still there; one that has left is hung up."""

    def finish(self, answer: HttpResponse) -> None:
        """Give the whole answer."""


@dataclass(slots=True, eq=False)
class _Call:
    """A request that is owed an answer, or whose attempts are still out."""

    exchange: Exchange
    cls: int
    deadline_ns: int
    attempts: dict[int, Attempt] = field(default_factory=dict)
    sent: int = 0
    ran_at_ns: int = 0  # when the first attempt began that may have run; 0: none
    over: bool = False


class Sidecar:
    """One balancer and the sockets round it."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        upstream: Upstream,
        signal: Callable[[int, bytes], None],
        subscribe: Callable[[], None],
    ) -> None:
        self._clock = clock
        self.wheel = clock.wheel
        self._upstream = upstream
        self._signal = signal
        self._subscribe = subscribe
        self._calls: dict[str, _Call] = {}
        self._taken = 0
        self._sweep: Timer | None = None
        self.on_outcome: Callable[[str, AttemptStatus], None] | None = None  # server, how an attempt there ended
        # the same, and the class of the call and when the attempt was sent
        self.on_attempt: Callable[[str, AttemptStatus, int, int], None] | None = None
        self.watcher: Watcher | None = None
        # class, answer; None: the client left
        self.on_final: Callable[[int, HttpResponse | None], None] | None = None
        self.violations = Violations()
        self._classes = settings.classes
        self.tracing = False  # each attempt and each answer is logged, at DEBUG
        self._end_ns = 0  # when the last answer is to be given, once the process is told to end; 0 before
        self._balancer = Balancer(settings, seed, clock.now())

    def retune(self, settings: Settings) -> None:
        """Other figures for the same classes, from here on."""
        self._classes = settings.classes
        self._balancer.reconfigure(settings)

    def beliefs(self) -> list[ServerStatus]:
        """What the module believes of each server."""
        return self._balancer.server_statuses(self._clock.now())

    def zones(self) -> dict[str, int]:
        """The servers on the list, with the zone of each."""
        return self._balancer.zones()

    @property
    def open(self) -> int:
        """Requests that are owed an answer or have attempts out."""
        return len(self._calls)

    # --- events ---------------------------------------------------------------------------------

    @property
    def shedding(self) -> bool:
        """Whether it is worth to ask `glance`."""
        return self._balancer.shedding

    @property
    def old_ns(self) -> int:
        """What has waited for longer is refused while it sheds."""
        return self._balancer.queue_age_limit

    def glance(self, age_ns: int, retry: bool) -> bytes:
        """The refusal, on the wire, for a request that has waited so long and need not be read; empty if it is
        let in."""
        hold_off_ns = self._balancer.overload_hold_off(self._clock.now(), age_ns, retry)
        return _refused(hold_off_ns) if hold_off_ns else b""

    def take(
        self, exchange: Exchange, arrival: Arrival, age_ns: int = 0, let_in: bool = False, name: bytes = b""
    ) -> str:
        """A client's request is whole, and has been for so long: an answer is owed from now on. Returns the id
        that it is known by here."""
        self._taken += 1
        tid = f"{self._taken:016x}"
        cls, ttl_ns, *rest, upgrade = arrival
        ttl_ns = max(ttl_ns - age_ns, 1)
        now = self._clock.now()
        if self._end_ns:
            ttl_ns = max(min(ttl_ns, self._end_ns - now), 1)
        self._calls[tid] = _Call(exchange, cls, now + ttl_ns)
        if self._sweep is None:
            self._sweep_later()
        place = 0.0
        if self.watcher is not None:
            place = self.watcher.place(name, cls, arrival.tenant, arrival.retry)
        self._handle(RequestReceived(tid, cls, ttl_ns, *rest, age_ns, let_in, upgrade, place), now)
        return tid

    def end_by(self, at: float) -> None:
        """The process ends: whatever is open, and whatever is still taken, is answered by `at`, on the loop's
        clock. What cannot be served by then is refused where that is true of it, and fails otherwise."""
        now = self._clock.now()
        self._end_ns = max(now + int((at - asyncio.get_running_loop().time()) * 1e9), 1)
        for call in self._calls.values():
            call.deadline_ns = min(call.deadline_ns, self._end_ns)
            for attempt in call.attempts.values():
                attempt.abandon_by(self._end_ns)
        self._handle(Shutdown(self._end_ns), now)

    def hang_up(self, tid: str) -> None:
        """The client left. Its attempts are called off: their connections are closed."""
        call = self._calls.get(tid)
        if call is None or call.over:
            return
        self._close(call, None)
        if self.tracing:
            log.debug("request %s: its client left", self._name(tid))
        self._handle(ClientDisconnected(tid))
        self._forget(tid, call)

    def directory(self, event: ServerListUpdate) -> None:
        """An update of the list of servers."""
        self._handle(event)

    def suspect(self, server: str) -> None:
        """A server does not answer, as other evidence than attempts tells."""
        self._handle(ServerUnresponsive(server))

    def advise(self, event: Event) -> None:
        """What the sidecars of the tier together make of servers, or this one's part of a limit."""
        self._handle(event)

    def demand(self) -> dict[tuple[int, bool], int]:
        """What was wanted of each limit since this was last read; see the module."""
        return self._balancer.demand()

    def holds(self, server: str, change: int) -> None:
        """So many more connections of another protocol are open to a server, or fewer."""
        self._handle(UpgradedConnections(server, change))

    def heard(self, blob: bytes) -> None:
        """A message from another sidecar."""
        self._handle(PeerMessage(blob))

    def _sweep_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep = self.wheel.call_at(loop.time() + SWEEP_S, self._answer_overdue)

    def _answer_overdue(self) -> None:
        """Answer whatever the module owes past its deadline: a bug there must not leave the client waiting.

        One look at all that is open now and then. A timer for each would be set and cancelled with every request.
        """
        self._sweep = None
        late = self._clock.now() - OVERDUE_NS
        for tid, call in [pair for pair in self._calls.items() if pair[1].deadline_ns < late]:
            if not call.over:
                self.violations.report(Invariant.OVERDUE, self._name(tid), "not answered by its deadline")
                self.hang_up(tid)
                call.exchange.finish(HttpResponse(502, []))
        if self._calls:
            self._sweep_later()

    def _handle(self, event: Event, now: int = 0) -> None:
        now = now or self._clock.now()
        try:
            actions = self._balancer.handle(now, event)
        except Exception:  # a bug in the module costs the request at hand, never the process
            log.exception("the module failed on %s", type(event).__name__)
            actions = [Fail(event.tid)] if isinstance(event, RequestReceived | AttemptEnded) else []
        for action in actions:
            if type(action) is Submit:
                self._submit(action, now)
            else:
                self._carry_out(action)

    # --- actions --------------------------------------------------------------------------------

    def _carry_out(self, action: Action) -> None:
        match action:
            case Refuse(tid, hold_off_ns):
                self._finish(tid, refusal(hold_off_ns))
            case Fail(tid):
                self._finish(tid, HttpResponse(502, []))
            case CancelAttempt(tid, attempt):
                call = self._calls.get(tid)
                if call is not None and attempt in call.attempts:
                    call.attempts[attempt].cancel()
            case SetTimer(in_ns, tag):
                asyncio.get_running_loop().call_later(in_ns / 1e9, self._handle, TimerFired(tag))
            case SendToPeer(peer, blob):
                self._signal(peer, blob)
            case Subscribe():
                self._subscribe()

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
            log.debug("request %s: attempt %d at %s", self._name(action.tid), number, action.server)
        done = partial(self._settle, action, call, number, now)
        bounds = Bounds(abandon_ns, call.exchange.wanted, action.begin_by_ns)
        call.attempts[number] = self._upstream.attempt(action.server, call.exchange.request, bounds, done)

    def _may_repeat(self, action: Submit, call: _Call, now: int) -> bool:
        """Whether a further attempt is harmless; one that is not is a violation, and does not begin."""
        known = 0 <= call.cls < len(self._classes)
        cls = self._classes[call.cls] if known else replace(self._classes[0], repeat="single_shot")
        if may_repeat(cls, len(call.attempts), call.ran_at_ns, now):
            return True
        detail = f"attempt {call.sent - 1} at {action.server} of a request that may have run"
        self.violations.report(Invariant.UNSAFE_REPEAT, self._name(action.tid), detail)
        return False

    def _name(self, tid: str) -> str:
        """The id that a request's client gave it."""
        call = self._calls.get(tid)
        return call.exchange.trace_id.decode("latin-1") if call is not None else tid

    def _settle(self, action: Submit, call: _Call, number: int, sent_ns: int, outcome: Outcome) -> None:
        """Tell the module an attempt's one outcome."""
        del call.attempts[number]
        tid = action.tid
        if self.tracing:
            log.debug("request %s: attempt %d ended: %s", self._name(tid), number, outcome.how.name)
        if (answer := outcome.answer) is not None:
            if answer.switched is not None:
                answer = answer._replace(switched=answer.switched._replace(name=action.server))
            if not call.over:
                self._close(call, answer)
                call.exchange.finish(answer)
            elif answer.switched is not None:
                answer.switched.sock.close()  # nobody is left to have it
        elif not call.ran_at_ns and outcome.how not in NOT_EXECUTED:
            call.ran_at_ns = sent_ns
        if self.on_outcome is not None:
            self.on_outcome(action.server, outcome.how)
        if self.on_attempt is not None:
            self.on_attempt(action.server, outcome.how, call.cls, sent_ns)
        now = self._clock.now()
        passed_ns = now - sent_ns
        lag_ns = outcome.lag_ns or passed_ns
        own_ns = max(0, passed_ns - lag_ns)
        event = AttemptEnded(tid, outcome.how, lag_ns, action.server, number, call.over, outcome.load, own_ns)
        if self.watcher is not None:
            self.watcher.outcome(event, call.cls)
        self._handle(event, now)
        self._forget(tid, call)

    def _finish(self, tid: str, answer: HttpResponse) -> None:
        call = self._calls.get(tid)
        if call is None or call.over:
            return
        self._close(call, answer)
        if self.tracing:
            log.debug("request %s: answered with %d without a server", self._name(tid), answer.status)
        call.exchange.finish(answer)
        self._forget(tid, call)

    def _close(self, call: _Call, answer: HttpResponse | None) -> None:
        """The request is over: whatever was still out for it is called off."""
        call.over = True
        if self.on_final is not None:
            self.on_final(call.cls, answer)
        if self.watcher is not None:
            self.watcher.ended(answer is not None and answer.status == 200)
        for attempt in call.attempts.values():
            attempt.cancel()

    def _forget(self, tid: str, call: _Call) -> None:
        if call.over and not call.attempts:
            self._calls.pop(tid, None)


@lru_cache(maxsize=64)
def _refused(hold_off_ns: int) -> bytes:
    answer = refusal(hold_off_ns)
    return encode(b"HTTP/1.1 %d " % answer.status, [*answer.headers, (b"content-length", b"0")], b"")


def refusal(hold_off_ns: int) -> HttpResponse:
    """A refusal that says when to come back."""
    return HttpResponse(503, [(b"retry-after", b"%.3f" % (hold_off_ns / 1e9))] if hold_off_ns > 0 else [])
