"""One attempt at a server: it goes out, and exactly one outcome comes back.

An attempt is a state machine driven by its connection's news and by timers; no task waits for it.

    CONNECTING  a connection was asked for                        -> FIRST or LAST once it is up
    SETTLING    a kept connection was at work a moment ago        -> FIRST or LAST when it has rested SETTLE_S
    FIRST       all but the last byte is being written            -> HOLDING
    HOLDING     the last byte waits for a sign of a dead peer     -> LAST
    LAST        the last byte is being written                    -> RECEIVING: from here on it may have run
    RECEIVING   the answer is awaited                             -> TAIL, OVER
    TAIL        an error's head has told all, its rest may come   -> OVER
    OVER        the outcome is told, or about to be
"""

from __future__ import annotations

import asyncio
import enum
import errno
import logging
import socket
import time
from collections.abc import Callable
from functools import partial

import httptools

from covetally.interface import AttemptStatus
from covetally.net.http_message import Broken, End, Malformed, SwitchedConnection
from covetally.net.outcome import NO_LOAD, Bounds, Outcome, Request
from covetally.net.response_reader import SWITCHED, ResponseResult, ResponseReader
from covetally.net.server import Owner, Server
from covetally.net.stream import Stream, tcp_info, create_tcp_socket
from covetally.net.wheel import Timer

log = logging.getLogger(__name__)

LEAST_LEFT_NS = 1_000_000  # told as 0.000 s, or as less than nothing, a time would be no time
TAIL_S = 0.05  # wait for the rest of an error answer, whose head has told all: worth a kept connection


class Phase(enum.Enum):
    """How far an attempt has come, which decides what a break proves. See the module's head."""

    CONNECTING = enum.auto()
    SETTLING = enum.auto()
    FIRST = enum.auto()
    HOLDING = enum.auto()
    LAST = enum.auto()
    RECEIVING = enum.auto()
    TAIL = enum.auto()
    OVER = enum.auto()


CONNECTING, SETTLING, FIRST, HOLDING, LAST, RECEIVING, TAIL, OVER = Phase


class Attempt:
    """One attempt, from its start to its one outcome."""

    __slots__ = (
        "_abandon", "_began_ns", "_bounds", "_done", "_epoch", "_hold_back_s", "_last", "_owner",
        "_pause", "_phase", "_reply", "_request", "_reused", "_sent", "_server", "_socket", "_starting",
        "_stream", "_verdict",
    )  # fmt: skip

    def __init__(
        self, owner: Owner, server: Server | None, request: Request, bounds: Bounds,
        done: Callable[[Outcome], None],
    ) -> None:  # fmt: skip
        self._owner, self._request, self._done = owner, request, done
        self._bounds = bounds
        self._stream: Stream | None = None
        self._socket: socket.socket | None = None  # while it connects
        self._pause: asyncio.TimerHandle | Timer | None = None  # ends CONNECTING, SETTLING, HOLDING and TAIL
        self._sent = False  # the last byte is the kernel's: from here on it may have run
        self._reused = False
        self._verdict: AttemptStatus | None = None  # told by an answer's head; nothing after it can change that
        self._reply = ResponseReader(request, owner.read_load)
        self._epoch = 0
        self._phase = CONNECTING
        self._abandon: Timer | None = None
        self._starting = True  # no outcome must be told yet
        if server is None or server.leaving:
            self._phase = OVER
            self._tell(Outcome(AttemptStatus.NOT_SENT if server else AttemptStatus.CONNECT_FAILED, NO_LOAD))
            return
        self._server = server
        server.unsent.add(self)
        self._began_ns = time.monotonic_ns()
        self._abandon = owner.wheel.call_at(owner.clock.loop_time(bounds.abandon_ns), self._abandoned)
        try:
            self._begin()
        except Exception:
            log.exception("an attempt failed by a bug")
            self._end(AttemptStatus.RESET)
        self._starting = False

    # --- before it may have run -----------------------------------------------------------------

    def _begin(self) -> None:
        rested = self._owner.take_idle(self._server)
        if rested is None:
            self._connect()
            return
        self._stream, rest_s, settling_s = rested
        self._stream.on_input, self._stream.on_flushed = self._news, self._room
        self._reused = True
        self._epoch = self._server.epoch
        if settling_s > 0:
            self._phase = SETTLING
            self._wait(settling_s, partial(self._write, self._owner.hold_back_s(rest_s)))
        else:
            # `take_idle` has looked at it in this very moment: nothing has run since.
            self._write(self._owner.hold_back_s(rest_s), looked=True)

    def _wait(self, seconds: float, then: Callable[[], None]) -> None:
        self._pause = self._owner.loop.call_later(seconds, then)

    def _connect(self) -> None:
        owner, address = self._owner, self._server.address
        self._phase = CONNECTING
        self._epoch = self._server.epoch
        if not owner.reserve():
            self._end(AttemptStatus.NOT_SENT)  # it says nothing of the server
            return
        try:
            self._socket = sock = create_tcp_socket(address)
        except OSError as failure:
            owner.release()
            self._end(owner.fault_of(self._server, failure.errno))
            return
        error = sock.connect_ex(address)
        if error == errno.EINPROGRESS:
            self._await_connection(sock)
        elif error:
            self._end(owner.fault_of(self._server, error))
        else:
            self._up()

    def _await_connection(self, sock: socket.socket) -> None:
        owner = self._owner
        try:
            owner.loop.add_writer(sock.fileno(), self._connected)
        except OSError as failure:
            self._end(owner.fault_of(self._server, failure.errno))
            return
        self._pause = owner.wheel.call_at(owner.loop.time() + owner.connect_timeout_s, self._no_connection)

    def _connected(self) -> None:
        """The connection has come up, or failed."""
        sock = self._socket
        assert sock is not None
        try:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:
            error = 0  # what is written to it will tell
        if error:
            self._end(AttemptStatus.CONNECT_FAILED)
            return
        self._owner.loop.remove_writer(sock.fileno())
        self._unwait()
        self._up()

    def _up(self) -> None:
        sock = self._socket
        assert sock is not None
        try:
            self._stream = Stream(httptools.HttpResponseParser, sock, self._news, self._room)
        except OSError as failure:
            self._end(self._owner.fault_of(self._server, failure.errno))
            return
        self._socket = None
        self._owner.came_up(self._server)
        self._write(0.0)

    def _no_connection(self) -> None:
        """The time for a connection is over. One that the kernel has up is no fault of the server's."""
        self._end(AttemptStatus.NOT_SENT if self._came_up() else AttemptStatus.CONNECT_FAILED)

    def _came_up(self) -> bool:
        return self._socket is not None and tcp_info(self._socket)[0]

    def _write(self, hold_back_s: float, looked: bool = False) -> None:
        """Write the request, the last byte last: before it nothing has run, whatever happens. `looked` spares the
        look at a connection that was found in order just now."""
        self._pause = None
        left_ns = self._bounds.abandon_ns - self._owner.clock.now()
        if left_ns < LEAST_LEFT_NS or not self._bounds.wanted():
            self._end(AttemptStatus.NOT_SENT)  # this process is late, or nobody is left to have the answer
            return
        data = self._request.encode(left_ns / 1e9)
        if not hold_back_s:
            self._last = data
            self._write_last(looked)
            return
        # A dead connection answers the first bytes with a reset; met now, it still proves "never ran".
        self._last, self._hold_back_s = data[-1:], hold_back_s
        self._phase = FIRST
        if self._send(data[:-1]):
            self._hold()

    def _hold(self) -> None:
        self._phase = HOLDING
        self._wait(self._hold_back_s, self._write_last)

    def _write_last(self, looked: bool = False) -> None:
        self._pause = None
        stream = self._stream
        assert stream is not None
        if not looked and stream.has_input():
            self._unfit()
            return
        if self._server.leaving:
            self._end(
                AttemptStatus.NOT_SENT
            )  # `bar` is about to be called: what has come first must not be written
            return
        begin_by_ns = self._bounds.begin_by_ns
        if begin_by_ns and self._owner.clock.now() >= begin_by_ns:
            self._end(AttemptStatus.NOT_SENT)  # its connection took too long to come up
            return
        self._phase = LAST
        if self._send(self._last):
            self._written()

    def _send(self, data: bytes) -> bool:
        assert self._stream is not None
        try:
            return self._stream.send(data)
        except Broken:
            self._unfit()
            return False

    def _room(self) -> None:
        """What was written is the kernel's."""
        if self._phase is FIRST:
            self._hold()
        elif self._phase is LAST:
            self._written()

    def _written(self) -> None:
        self._sent = True
        self._phase = RECEIVING
        self._server.unsent.discard(self)

    def _unfit(self) -> None:
        """The connection cannot have the last byte, or said something before it was written."""
        stream = self._stream
        assert stream is not None
        self._unwait()
        if self._reused:
            # Its last byte was never written: going on with a new connection is the same attempt.
            self._owner.broke()
            self._drop()
            self._reused = False
            self._connect()
        elif stream.leftover:  # it spoke before it had the whole request: it may turn it away
            self._phase = RECEIVING
            self._receive()
        else:
            self._end(AttemptStatus.RESET)

    def abandon_by(self, at_ns: int) -> None:
        """Be given up at `at_ns` on the owner's clock, if that is earlier than what it was to keep to."""
        if self._phase is OVER or at_ns >= self._bounds.abandon_ns:
            return
        self._bounds = self._bounds._replace(abandon_ns=at_ns)
        if self._abandon is not None:
            self._abandon.cancel()
        self._abandon = self._owner.wheel.call_at(self._owner.clock.loop_time(at_ns), self._abandoned)

    def bar(self) -> None:
        """The server wants nothing new any more. That says nothing against it."""
        if not self._sent and self._server.leaving:
            self._end(AttemptStatus.NOT_SENT)

    # --- the answer -----------------------------------------------------------------------------

    def _news(self) -> None:
        if self._phase is RECEIVING:
            self._receive()
        elif self._phase is TAIL:
            self._read_tail()
        elif self._phase is not OVER:
            self._unfit()

    def _receive(self) -> None:
        stream = self._stream
        assert stream is not None
        try:
            while parts := stream.parts():
                while parts:
                    come = self._reply.add_part(parts.popleft(), self._sent)
                    if come is not None:
                        self._came(come)
                        return
        except Malformed as error:
            # Guards against any answer that cannot be told to be whole and this request's own. A connection
            # that ends inside an answer is no spoilt answer but a reset.
            log.warning("answer not usable: %.200s", error)
            self._end(AttemptStatus.RESET if stream.ended else AttemptStatus.UNUSABLE_RESPONSE)
        except OSError:
            self._end(AttemptStatus.RESET)

    def _lag_ns(self) -> int:
        assert self._stream is not None
        return max(0, self._stream.received_at - self._began_ns)

    def _came(self, come: ResponseResult) -> None:
        """All that counts of the answer is here."""
        stream = self._stream
        assert stream is not None
        if come.how in (AttemptStatus.FULL, AttemptStatus.ERROR):
            # The head has told all; its rest is worth a short wait, for the sake of the connection.
            self._verdict = come.how
            self._phase = TAIL
            self._wait(TAIL_S, self._end_tail)
            self._read_tail()
            return
        answer, lag_ns = come.response, self._lag_ns()
        assert answer is not None
        if answer.status == SWITCHED:
            sock, early = stream.detach()
            self._stream = None
            self._owner.release()
            answer = answer._replace(switched=SwitchedConnection(sock, early))
        elif come.how is AttemptStatus.OK:
            self._give_back()
        self._finish(Outcome(come.how, self._reply.load, answer, lag_ns))

    def _read_tail(self) -> None:
        stream = self._stream
        assert stream is not None
        try:
            while parts := stream.parts():
                part = parts.popleft()
                if part is End.MESSAGE:
                    self._give_back()
                if type(part) is not bytes:
                    self._end_tail()
                    return
        except Malformed as error:
            log.warning("answer not usable: %.200s", error)
            self._end_tail()
        except OSError:
            self._end_tail()

    def _end_tail(self) -> None:
        assert self._verdict is not None
        lag_ns = self._lag_ns() if self._stream is not None else 0
        self._finish(Outcome(self._verdict, self._reply.load, None, lag_ns))

    def _give_back(self) -> None:
        """Keep the connection of a finished exchange if it may carry another."""
        stream, server = self._stream, self._server
        assert stream is not None
        if self._sent and not server.leaving and self._epoch == server.epoch and stream.prepare_next_message():
            self._stream = None
            self._owner.add_idle(server, stream)

    # --- the end --------------------------------------------------------------------------------

    def cancel(self) -> None:
        """Call it off: its connection is closed now, its outcome told soon."""
        if self._phase is not OVER:
            self._starting = True
            self._finish(Outcome(AttemptStatus.CANCELLED, self._reply.load))

    def _abandoned(self) -> None:
        """Its time is up. That says of the server only what the sockets show, never how late this process ran.

        Guards against a process short of CPU that takes its own delay for its servers': a connection that
        the kernel has up, or an answer that lies there unread, is no fault of theirs, and one server after
        the other went out when it was held against them. It ought to catch any pause of this process, be it
        a slow disk under its log, a machine stopped for a while, or a neighbour on its core. It could do
        harm with a server whose answers always come in the very last moment: it would not be blamed.
        """
        stream = self._stream
        if self._sent:
            how = AttemptStatus.CANCELLED if stream is not None and stream.has_input() else AttemptStatus.TIMEOUT
        else:
            connecting = self._socket is not None and not self._came_up()
            how = AttemptStatus.CONNECT_FAILED if connecting else AttemptStatus.NOT_SENT
        self._end(how)

    def _end(self, how: AttemptStatus) -> None:
        """It has failed: tell what that proves."""
        if self._phase is OVER:
            return
        if how is AttemptStatus.RESET and self._reused and not self._reply.head_received:
            self._owner.broke()
        if self._verdict is not None:
            how = self._verdict
        elif not self._sent and how is not AttemptStatus.NOT_SENT:
            how = AttemptStatus.CONNECT_FAILED
        self._finish(Outcome(how, self._reply.load))

    def _finish(self, outcome: Outcome) -> None:
        self._phase = OVER
        self._unwait()
        if self._abandon is not None:
            self._abandon.cancel()
        self._server.unsent.discard(self)
        self._drop()
        self._tell(outcome)

    def _tell(self, outcome: Outcome) -> None:
        if self._starting:
            self._owner.loop.call_soon(self._done, outcome)
        else:
            self._done(outcome)

    def _unwait(self) -> None:
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None

    def _drop(self) -> None:
        """Close what there is of a connection."""
        if self._socket is not None:
            sock, self._socket = self._socket, None
            self._owner.loop.remove_writer(sock.fileno())
            sock.close()
            self._owner.release()
        if self._stream is not None:
            stream, self._stream = self._stream, None
            stream.abort()
            self._owner.release()
