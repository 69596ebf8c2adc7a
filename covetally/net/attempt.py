"""Sends a request to one server once, and reports exactly one outcome.

An attempt is a state machine driven by events of its connection and by timers; no task waits for it.

    phase       meaning                                           next phase
    -----       -------                                           ----------
    CONNECTING  a connection is being established                 FIRST or EXCHANGE once it is established
    SETTLING    a reused connection was in use just before        FIRST or EXCHANGE after a time without input
    FIRST       all bytes but the last are being written          DELAYING
    DELAYING    the last byte is held back, so that a dead        EXCHANGE
                connection is noticed before it is written
    EXCHANGE    the stream has the last byte: the rest of the     TAIL, OVER
                request is being written, and the response is
                received, which may begin before that is done
    TAIL        the head of an error response decided the         OVER
                outcome, its body is still being received
    OVER        the outcome is reported, or about to be

Whether the request may have run is not a matter of the phase. A server runs a request only once it has the last
byte, and `Attempt.may_have_run` asks the connection whether the kernel has taken that byte, whenever it matters.
"""

from __future__ import annotations

import asyncio
import enum
import logging
import time
from collections.abc import Callable
from functools import partial

from covetally.interface import NOT_EXECUTED, AttemptStatus
from covetally.net.connector import Connector
from covetally.net.http_message import Broken, End, Malformed, SwitchedConnection
from covetally.net.memory import CHARGE_STEP_BYTES, MemoryExhausted, MemoryKind, MemoryReservation
from covetally.net.outcome import NO_LOAD, AttemptLimits, Outcome, Request
from covetally.net.response_reader import SWITCHED, ResponseResult, ResponseReader
from covetally.net.server import ConnectionPool, Server
from covetally.net.server_connection import ConnectionUse, ServerConnection
from covetally.net.timer_wheel import Timer

log = logging.getLogger(__name__)

MIN_REMAINING_NS = 1_000_000  # with less, the server would be given a time of 0.000 s or a negative one
END_WAIT_S = 0.2  # from the last part of a response without a length to the end of its connection
TAIL_S = 0.05  # how long to wait for the body of an error response, so that its connection can be reused


class Phase(enum.Enum):
    """The phases in the table at the head of this module."""

    CONNECTING = enum.auto()
    SETTLING = enum.auto()
    FIRST = enum.auto()
    DELAYING = enum.auto()
    EXCHANGE = enum.auto()
    TAIL = enum.auto()
    OVER = enum.auto()


CONNECTING, SETTLING, FIRST, DELAYING, EXCHANGE, TAIL, OVER = Phase


class Attempt:
    """One attempt to send a request to a server."""

    __slots__ = (
        "_abandon_timer", "_charge_from", "_connector", "_deferred", "_done", "_head_status", "_incarnation",
        "_last", "_last_byte_connection", "_last_byte_delay_s", "_last_byte_position", "_limits", "_memory",
        "_phase", "_phase_timer", "_pool", "_reader", "_request", "_reused", "_server", "_started_ns", "_stream",
        "unconfirmed", "use",
    )  # fmt: skip

    def __init__(
        self, pool: ConnectionPool, server: Server | None, request: Request, limits: AttemptLimits,
        done: Callable[[Outcome], None],
    ) -> None:  # fmt: skip
        self._pool, self._request, self._done = pool, request, done
        self._limits = limits
        self._stream: ServerConnection | None = None
        self.use: ConnectionUse | None = None  # of the last connection, for logs
        self._connector: Connector | None = None  # in CONNECTING
        # Ends SETTLING, DELAYING and TAIL.
        self._phase_timer: asyncio.TimerHandle | Timer | None = None
        # The connection that was given the last byte of the request, and the end of that byte in what the
        # connection sends. Kept after the connection was closed or reused; see `may_have_run`.
        self._last_byte_connection: ServerConnection | None = None
        self._last_byte_position = 0
        self.unconfirmed = False  # it is not certain that the server on the list got the request
        self._reused = False
        # Decided by a response's head; nothing after it changes that.
        self._head_status: AttemptStatus | None = None
        self._reader = ResponseReader(request, pool.parse_load_report)
        self._memory: MemoryReservation | None = None  # of a response that does not come at once
        self._incarnation = 0
        self._phase = CONNECTING
        self._abandon_timer: Timer | None = None
        self._deferred = True  # the outcome must not be reported from within the current call
        if server is None or server.draining:
            self._phase = OVER
            self._report(Outcome(AttemptStatus.NOT_SENT if server else AttemptStatus.CONNECT_FAILED, NO_LOAD))
            return
        self._server = server
        server.unsent.add(self)
        self._started_ns = time.monotonic_ns()
        self._abandon_timer = pool.wheel.call_at(pool.clock.loop_time(limits.abandon_ns), self._time_out)
        try:
            self._start()
        except Exception:
            log.exception("unhandled exception in an attempt")
            self._fail(AttemptStatus.RESET)
        self._deferred = False

    def may_have_run(self) -> bool:
        """Whether the kernel has taken the last byte of the request. A server without that byte cannot have run
        the request. The answer comes from the connection's own count of bytes, so it does not depend on which
        events of the connection were noticed, or in which order, and it remains valid after the attempt ended."""
        connection = self._last_byte_connection
        return connection is not None and connection.taken >= self._last_byte_position

    # --- before the request may have run --------------------------------------------------------

    def _start(self) -> None:
        idle = self._pool.take_idle(self._server)
        if idle is None:
            self._connect()
            return
        connection, idle_s, wait_s = idle
        self._stream = connection
        self.use = ConnectionUse(connection.number, connection.carried, idle_s + wait_s)
        connection.on_input, connection.on_flushed = self._on_input, self._on_flushed
        self._reused = True
        self._incarnation = self._server.incarnation
        if wait_s > 0:
            self._phase = SETTLING
            self._schedule(wait_s, partial(self._write, self._pool.last_byte_delay_s(idle_s)))
        else:
            # `take_idle` has just checked the connection, and no callback has run since.
            self._write(self._pool.last_byte_delay_s(idle_s), checked=True)

    def _schedule(self, seconds: float, then: Callable[[], None]) -> None:
        self._phase_timer = self._pool.loop.call_later(seconds, then)

    def _connect(self) -> None:
        self._phase = CONNECTING
        self._incarnation = self._server.incarnation
        if self._limits.confirmed_only and self._server.doubted(self._pool.loop.time()):
            self._fail(AttemptStatus.NOT_SENT)
            return
        self._connector = Connector(self._pool, self._server, self._on_connected, self._fail)
        self._connector.start()

    def _on_connected(self) -> None:
        connector = self._connector
        assert connector is not None and connector.sock is not None
        try:
            self._stream = ServerConnection(connector.sock, self._on_input, self._on_flushed)
        except OSError as failure:
            self._fail(self._pool.classify_connect_error(self._server, failure.errno))
            return
        self._connector = None
        self._server.established.add(self._stream)
        self.use = ConnectionUse(self._stream.number, 0, 0.0)
        self._pool.record_connected(self._server)
        self._write(0.0)

    def _write(self, last_byte_delay_s: float, checked: bool = False) -> None:
        """Write the request, or all but its last byte: as long as that is missing, the request cannot have run.
        `checked` says that the connection has just been checked for unexpected input."""
        self._phase_timer = None
        if self._phase is SETTLING:
            self._started_ns = time.monotonic_ns()  # the server has no part in the wait
        remaining_ns = self._limits.abandon_ns - self._pool.clock.now()
        if remaining_ns < MIN_REMAINING_NS or not self._limits.client_connected():
            self._fail(AttemptStatus.NOT_SENT)  # this process is late, or the client has left
            return
        data = self._request.encode(remaining_ns / 1e9)
        if not last_byte_delay_s:
            self._last = data
            self._write_last(checked)
            return
        # A dead connection answers the first bytes with a reset, which still proves that the request never ran.
        self._last, self._last_byte_delay_s = data[-1:], last_byte_delay_s
        self._phase = FIRST
        if self._send(data[:-1]):
            self._delay_last_byte()

    def _delay_last_byte(self) -> None:
        self._phase = DELAYING
        self._schedule(self._last_byte_delay_s, self._write_last)

    def _write_last(self, checked: bool = False) -> None:
        self._phase_timer = None
        stream = self._stream
        assert stream is not None
        if not checked and stream.has_input():
            self._connection_unusable()
            return
        if self._server.draining:
            self._fail(
                AttemptStatus.NOT_SENT
            )  # the update is applied already, though `on_server_draining` is still to be called
            return
        if self._server.doubted_until:
            self.unconfirmed = not self._server.confirmed(stream, self._pool.loop.time())
        if self.unconfirmed and self._limits.confirmed_only:
            self._fail(AttemptStatus.NOT_SENT)
            return
        begin_by_ns = self._limits.begin_by_ns
        if begin_by_ns and self._pool.clock.now() >= begin_by_ns:
            self._fail(AttemptStatus.NOT_SENT)  # establishing the connection took too long
            return
        self._phase = EXCHANGE
        self._charge_from = stream.received + CHARGE_STEP_BYTES
        self._last_byte_connection, self._last_byte_position = stream, stream.queued + len(self._last)
        data, self._last = self._last, b""
        if self._send(data):
            self._server.unsent.discard(self)
        elif begin_by_ns and self._stream is stream:
            at = self._pool.clock.loop_time(begin_by_ns)
            self._phase_timer = self._pool.wheel.call_at(at, self._begin_by_passed)

    def _begin_by_passed(self) -> None:
        """End an attempt that took too long to write its request."""
        if not self.may_have_run():
            self._fail(AttemptStatus.NOT_SENT)

    def _send(self, data: bytes) -> bool:
        assert self._stream is not None
        try:
            return self._stream.send(data)
        except Broken:
            self._connection_unusable()
            return False

    def _on_flushed(self) -> None:
        """Called when the kernel has taken everything that was written."""
        if self._phase is FIRST:
            self._delay_last_byte()
        else:
            self._server.unsent.discard(self)

    def _connection_unusable(self) -> None:
        """Handle a connection that broke, or on which the server sent something, before the kernel had the last
        byte."""
        stream = self._stream
        assert stream is not None
        self._cancel_phase_timer()
        if self._reused and not self.may_have_run():
            # The same attempt continues on a new connection.
            if stream.has_bytes():
                self._pool.record_surplus(stream)
            elif stream.ended or stream.has_input():
                self._server.on_ended(stream, self._pool.loop.time())
            self._pool.record_broken_idle()
            self._close_connection()
            self._reused = False
            self._connect()
        else:
            self._fail(AttemptStatus.RESET)

    def shorten_timeout(self, at_ns: int) -> None:
        """Give the attempt up at `at_ns` on the pool's clock, if that is earlier than the current limit."""
        if self._phase is OVER or at_ns >= self._limits.abandon_ns:
            return
        self._limits = self._limits._replace(abandon_ns=at_ns)
        if self._abandon_timer is not None:
            self._abandon_timer.cancel()
        self._abandon_timer = self._pool.wheel.call_at(self._pool.clock.loop_time(at_ns), self._time_out)

    def on_server_draining(self) -> None:
        """End an unsent attempt because the server accepts no new requests. This does not count against it."""
        if not self.may_have_run() and self._server.draining:
            self._fail(AttemptStatus.NOT_SENT)

    # --- the response ---------------------------------------------------------------------------

    def _on_input(self) -> None:
        if self._phase is EXCHANGE:
            sent = self.may_have_run()
            if self._reused and not sent:
                self._connection_unusable()  # the input may belong to an earlier request on this connection
            else:
                self._receive(sent)
        elif self._phase is TAIL:
            self._receive_tail()
        elif self._phase is not OVER:
            self._connection_unusable()

    def _receive(self, sent: bool) -> None:
        stream = self._stream
        assert stream is not None
        try:
            while parts := stream.parts():
                while parts:
                    result = self._reader.add_part(parts.popleft(), sent)
                    if result is not None:
                        self._on_result(result)
                        return
            if stream.received >= self._charge_from:
                self._charge(stream)
            if self._reader.ends_with_connection:
                self._expect_end()
        except MemoryExhausted:
            log.warning("no memory left for a response, of which %d bytes have arrived", stream.received)
            self._fail(AttemptStatus.CANCELLED)  # this does not indicate a fault of the server
        except Malformed as error:
            # Rejects any response that is not certain to be complete and to belong to this request. A connection
            # that ends inside a response counts as a reset, not as an invalid response.
            log.warning("unusable response: %.200s", error)
            self._fail(AttemptStatus.RESET if stream.ended else AttemptStatus.UNUSABLE_RESPONSE)
        except OSError:
            self._fail(AttemptStatus.RESET)

    def _charge(self, stream: ServerConnection) -> None:
        """Charge the memory that an incomplete response takes, and the next bytes of it. Raises
        MemoryExhausted."""
        if self._memory is None:
            self._memory = MemoryReservation(self._pool.memory)
        self._memory.resize(MemoryKind.RESPONSE, stream.held + self._reader.held + CHARGE_STEP_BYTES)
        self._charge_from = stream.received + CHARGE_STEP_BYTES

    def _expect_end(self) -> None:
        """Limit the wait for the end of the connection, which ends a response without a length."""
        self._cancel_phase_timer()
        self._schedule(END_WAIT_S, self._end_missing)

    def _end_missing(self) -> None:
        log.warning("unusable response: it has no length, and its connection does not end")
        self._fail(AttemptStatus.UNUSABLE_RESPONSE)

    def _on_result(self, result: ResponseResult) -> None:
        """Handle the result of a response, once everything that matters of it has arrived."""
        stream = self._stream
        assert stream is not None
        if result.status in (AttemptStatus.FULL, AttemptStatus.ERROR):
            # The head has decided the outcome. A short wait for the body makes the connection reusable, unless
            # the server answered before it had the whole request.
            self._head_status = result.status
            if not self.may_have_run():
                self._end_tail()
                return
            self._phase = TAIL
            self._cancel_phase_timer()
            self._schedule(TAIL_S, self._end_tail)
            self._receive_tail()
            return
        response, latency_ns = result.response, max(0, stream.received_at - self._started_ns)
        assert response is not None
        if result.status is AttemptStatus.OK and response.status != SWITCHED:
            reason = self._pool.guard.doubt(stream, response.body, self._pool.loop.time())
            if reason:
                log.warning("doubtful response on %s: %s", self.use, reason)
                self._fail(AttemptStatus.UNUSABLE_RESPONSE)
                return
        if response.status == SWITCHED:
            self._server.established.discard(stream)
            sock, early = stream.detach()
            self._stream = None
            self._pool.release_connection()
            response = response._replace(switched=SwitchedConnection(sock, early))
        elif result.status is AttemptStatus.OK:
            self._return_connection()
        self._finish(Outcome(result.status, self._reader.load, response, latency_ns))

    def _receive_tail(self) -> None:
        stream = self._stream
        assert stream is not None
        try:
            while parts := stream.parts():
                part = parts.popleft()
                if part is End.MESSAGE:
                    self._return_connection()
                if type(part) is not bytes:
                    self._end_tail()
                    return
        except Malformed as error:
            log.warning("unusable response: %.200s", error)
            self._end_tail()
        except OSError:
            self._end_tail()

    def _end_tail(self) -> None:
        assert self._head_status is not None
        stream = self._stream
        latency_ns = max(0, stream.received_at - self._started_ns) if stream is not None else 0
        self._finish(Outcome(self._head_status, self._reader.load, None, latency_ns))

    def _return_connection(self) -> None:
        """Return the connection of a finished exchange to the idle pool if it may be reused."""
        stream, server = self._stream, self._server
        assert stream is not None
        stream.carried += 1
        stream.last_answer_ok = self._head_status is None
        reusable = stream.prepare_next_message()
        stream.idle_since = self._pool.loop.time()
        written = stream.taken == stream.queued  # the server has all of the request
        if reusable and written and not server.draining and self._incarnation == server.incarnation:
            self._stream = None
            self._pool.add_idle(server, stream)
        elif stream.leftover:
            self._pool.record_surplus(stream)

    # --- the end --------------------------------------------------------------------------------

    def cancel(self) -> None:
        """Cancel the attempt: its connection is closed now, and its outcome is reported soon."""
        if self._phase is not OVER:
            self._deferred = True
            self._finish(Outcome(AttemptStatus.CANCELLED, self._reader.load))

    def _time_out(self) -> None:
        """Give the attempt up. The outcome depends only on the state of the sockets, not on how late this
        process runs.

        Guards against a process short of CPU that blames its servers for its own delay: a connection that the
        kernel has established, or a response that has arrived but was not read, is no fault of the server. When
        these counted as failures, one server after the other was excluded. The rule covers any pause of this
        process, such as a slow disk under its log, a stopped machine or a busy neighbour on the same core. It
        does harm with a server whose responses always arrive at the very last moment: that server is not blamed.
        """
        stream = self._stream
        if self.may_have_run():
            status = (
                AttemptStatus.CANCELLED if stream is not None and stream.has_input() else AttemptStatus.TIMEOUT
            )
        else:
            connecting = self._connector is not None and not self._connector.established()
            status = AttemptStatus.CONNECT_FAILED if connecting else AttemptStatus.NOT_SENT
        self._fail(status)

    def _fail(self, status: AttemptStatus) -> None:
        """End the attempt after a failure, with the outcome that the failure proves."""
        if self._phase is OVER:
            return
        if self._stream is not None and self._stream.ended:
            self._server.on_ended(self._stream, self._pool.loop.time())
        if status is AttemptStatus.RESET and self._reused and not self._reader.head_received:
            self._pool.record_broken_idle()
        if self._head_status is not None:
            status = self._head_status
        elif not self.may_have_run():
            status = AttemptStatus.NOT_SENT if status is AttemptStatus.NOT_SENT else AttemptStatus.CONNECT_FAILED
        elif status in NOT_EXECUTED:
            status = AttemptStatus.RESET
        self._finish(Outcome(status, self._reader.load))

    def _finish(self, outcome: Outcome) -> None:
        self._phase = OVER
        if self._phase_timer is not None:
            self._cancel_phase_timer()
        if self._abandon_timer is not None:
            self._abandon_timer.cancel()
        self._server.unsent.discard(self)
        if self._memory is not None:
            self._memory.release()
        if self._stream is not None or self._connector is not None:
            self._close_connection()
        self._report(outcome)

    def _report(self, outcome: Outcome) -> None:
        if self._deferred:
            self._pool.loop.call_soon(self._done, outcome)
        else:
            self._done(outcome)

    def _cancel_phase_timer(self) -> None:
        if self._phase_timer is not None:
            self._phase_timer.cancel()
            self._phase_timer = None

    def _close_connection(self) -> None:
        """Close the connection, established or not, if there is one."""
        if self._connector is not None:
            self._connector.close()
            self._connector = None
        if self._stream is not None:
            stream, self._stream = self._stream, None
            self._server.established.discard(stream)
            stream.close()
            self._pool.release_connection()
