"""One socket and the messages that come on it, by callbacks. Both sides of the sidecar use it.

The socket is this module's own, with no transport between: `send` has returned True means that the kernel has all
the bytes, under any event loop. Nothing here waits; whoever holds a stream is called when there is news.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
import sys
import time
from collections import deque
from collections.abc import Callable

from covetally.net.http_message import Broken, MessagePart, MessageParser, ParserType
from covetally.net.system_errors import TRANSIENT_TRANSFER

log = logging.getLogger(__name__)

MOST_READS = 4  # before a close: more than a peer that keeps to the protocol can have sent
RECEIVE = 32 * 1024  # one read; small, since every connection may have one read waiting to be parsed
READ_AHEAD = 16 * 1024  # reading pauses while this much waits: backpressure to the peer
WATCH_AGAIN_S = 0.01  # where the kernel cannot watch a socket for want of memory
ESTABLISHED = 1  # a TCP state, as Linux numbers them
_STATE, _LAST_RECEIVED = 0, slice(52, 56)  # in Linux's `struct tcp_info`; the latter in ms,
_TICK_NS = round(time.clock_getres(6) * 1e9)  # by CLOCK_MONOTONIC_COARSE, which has such steps
_landing = memoryview(bytearray(RECEIVE))  # shared: filled and emptied within one callback
_IPPROTO_TCP, _TCP_INFO, _INFO_SIZE = socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_RECEIVED.stop
_ORDER = sys.byteorder
_RESET = struct.pack("ii", 1, 0)  # struct linger: on, for no time at all


def tcp_info(sock: socket.socket) -> tuple[bool, int]:
    """What the kernel knows of a connection before the event loop does: whether it is up and neither side has
    closed it, and for how long, in ns, what came last has been here."""
    try:
        info = sock.getsockopt(_IPPROTO_TCP, _TCP_INFO, _INFO_SIZE)
    except OSError:
        return True, 0  # nothing is known against it: what is sent or read next will tell
    lain_ns = int.from_bytes(info[_LAST_RECEIVED], _ORDER) * 1_000_000 - _TICK_NS
    return info[_STATE] == ESTABLISHED, lain_ns if lain_ns > 0 else 0


def create_tcp_socket(address: tuple[str, int]) -> socket.socket:
    """A socket for a connection to this address; OSError if there is none to be had."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    sock.setblocking(False)
    # Without it the kernel keeps a last small piece back until what went before is acknowledged, which the peer
    # may put off by 40 ms.
    try:
        sock.setsockopt(_IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


def ignore_event() -> None:
    """The news of a stream that nobody holds any more."""


class Stream:
    """A connected socket, which it owns from `__init__` on, until `abort`.

    `on_input` is called after bytes or the end of the input have arrived; `on_flushed` once the kernel has taken
    all bytes that `send` had to buffer. Neither is called from within `send`, `parts` or `abort`.
    """

    __slots__ = (
        "closed", "eof", "on_flushed", "on_input", "paused", "peer_checked_at", "peer_closed", "received_at",
        "sock", "_fd", "_inbox", "_loop", "_out", "_reader",
    )  # fmt: skip

    def __init__(
        self, role: ParserType, sock: socket.socket, on_input: Callable[[], None], on_flushed: Callable[[], None]
    ) -> None:
        self._reader = MessageParser(role)
        self.sock = sock
        self.on_input, self.on_flushed = on_input, on_flushed
        self.eof = False
        self.closed = False
        self.peer_closed = False  # the kernel has met the end, which is still to be read
        self.received_at = time.monotonic_ns()  # when bytes came last to this machine
        self.peer_checked_at = self.received_at  # when the kernel was last asked whether the peer is there
        self.paused = False  # reading has stopped: neither more bytes nor the end are seen until some are taken
        self._inbox = b""
        self._out: bytes | memoryview = b""  # what the kernel could not take yet
        self._loop = asyncio.get_running_loop()
        self._fd = sock.fileno()
        self._loop.add_reader(self._fd, self._readable)

    # --- the event loop's side ------------------------------------------------------------------

    def _readable(self) -> None:
        try:
            count = self.sock.recv_into(_landing)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno in TRANSIENT_TRANSFER:
                return
            self.abort()
        else:
            if count:
                data = bytes(_landing[:count])
                self._inbox = self._inbox + data if self._inbox else data
                # They may have lain in the kernel, or with their connection in the backlog, while others
                # were served.
                up, lain_ns = tcp_info(self.sock)
                self.peer_closed = not up
                self.peer_checked_at = time.monotonic_ns()
                self.received_at = self.peer_checked_at - lain_ns
                if len(self._inbox) >= READ_AHEAD and not self.paused:
                    self.paused = True
                    self._loop.remove_reader(self._fd)
            else:
                self.eof = True
                self._loop.remove_reader(self._fd)  # it would be readable for ever
        try:
            self.on_input()
        except Exception:
            self._failed(self.on_input)

    def _writable(self) -> None:
        try:
            self._out = self._out[self.sock.send(self._out) :]
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno in TRANSIENT_TRANSFER:
                return
            self.abort()
            told = self.on_input
        else:
            if self._out:
                return
            self._loop.remove_writer(self._fd)
            told = self.on_flushed
        try:
            told()
        except Exception:
            self._failed(told)

    def _failed(self, told: Callable[[], None]) -> None:
        """A bug costs the connection at hand, never the process."""
        log.exception("a connection failed by a bug")
        if not self.closed:
            self.abort()
            told()

    # --- reading --------------------------------------------------------------------------------

    @property
    def ended(self) -> bool:
        """The peer has closed or reset it, or it was closed here."""
        return self.eof or self.closed

    def has_input(self) -> bool:
        """Whether anything came, or the end. Looks into the kernel too: the event loop may not have yet."""
        if self.eof or self.closed or self._inbox:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def parts(self) -> deque[MessagePart]:
        """The parts of the peer's message that are here, to be taken from the left; empty while there are none.
        Malformed if what came is no message, Broken if the connection was lost, both after the last part."""
        reader = self._reader
        parts = reader.parts
        if not parts:
            if reader.error is not None:
                raise reader.error
            if self._inbox:
                data, self._inbox = self._inbox, b""
                if self.paused:
                    self._go_on()
                reader.feed(data)
                if not parts and reader.error is not None:
                    raise reader.error
            elif self.eof:
                parts.append(reader.end())
            elif self.closed:
                raise Broken("connection lost")
        return parts

    def _go_on(self) -> None:
        self.paused = False
        if self.eof or self.closed:
            return
        try:
            self._loop.add_reader(self._fd, self._readable)
        except OSError:
            self._loop.call_later(WATCH_AGAIN_S, self._go_on)

    def peek(self) -> bytes:
        """What has come and was not read."""
        return self._inbox

    def discard_input(self) -> int:
        """Forget what has come and was not read; how many bytes that were."""
        data, self._inbox = self._inbox, b""
        if self.paused:
            self._go_on()
        return len(data)

    def peer_connected(self) -> bool:
        """Whether the peer is still there: the kernel, asked now, has met no end that is still to be read."""
        self.peer_closed, self.peer_checked_at = not tcp_info(self.sock)[0], time.monotonic_ns()
        return not (self.peer_closed or self.eof or self.closed)

    def prepare_next_message(self) -> bool:
        """Make ready for the next message; False if this connection must not carry one."""
        reader = self._reader
        if self.closed or self._inbox or reader.surplus or not (reader.whole and reader.persistent):
            return False
        reader.begin()
        return True

    @property
    def persistent(self) -> bool:
        """Whether the peer lets the connection carry another message."""
        return self._reader.persistent

    @property
    def leftover(self) -> bool:
        """Whether bytes came beyond the message just read."""
        return bool(self._inbox) or self._reader.surplus

    # --- writing --------------------------------------------------------------------------------

    def send(self, data: bytes) -> bool:
        """Hand bytes to the kernel. Returns whether it has taken them all; if not, `on_flushed` is called once it
        has. Raises Broken, and closes the stream, if the connection cannot be written to."""
        if self._out:
            self._out = bytes(self._out) + data
            return False
        if self.closed:
            raise Broken("connection lost")
        try:
            count = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            count = 0
        except OSError as error:
            if error.errno not in TRANSIENT_TRANSFER:
                self.abort()
                raise Broken(f"connection lost while writing: {error}") from None
            count = 0
        if count == len(data):
            return True
        self._out = memoryview(data)[count:]
        self._await_room()
        return False

    def _await_room(self) -> None:
        """Be called when the kernel has room; where it cannot watch the socket for that now, look again soon."""
        try:
            self._loop.add_writer(self._fd, self._writable)
        except OSError:
            self._loop.call_later(WATCH_AGAIN_S, self._look_for_room)

    def _look_for_room(self) -> None:
        if self.closed or not self._out:
            return
        self._writable()
        if self._out and not self.closed:
            self._await_room()

    @property
    def flushed(self) -> bool:
        """Whether the kernel has all that was sent."""
        return not self._out

    def close_write(self) -> None:
        """Nothing more will be written: the peer reads the end."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    # --- the end --------------------------------------------------------------------------------

    def abort(self, reset: bool = False) -> None:
        """Close at once; nothing is told of it. With `reset` the peer sees a reset, so that what was cut cannot
        pass for whole."""
        if self.closed:
            return
        self.detach()
        try:
            if reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        except OSError:
            pass
        self.sock.close()

    def discard_unread(self) -> None:
        """Read and drop what came and was not read: over it a close resets the connection, and what the kernel
        still has to send is lost with it."""
        try:
            for _ in range(MOST_READS):
                if not self.sock.recv_into(_landing):
                    return
        except OSError:
            pass

    def detach(self) -> tuple[socket.socket, bytes]:
        """Give the socket away, with the bytes that were read from it and not used. To this stream it is lost."""
        self.closed = True
        self._loop.remove_reader(self._fd)
        if self._out:
            self._loop.remove_writer(self._fd)
            self._out = b""
        early = self._reader.rest + self._inbox if self._reader.rest else self._inbox
        if not self._inbox:  # else what came before the end is still to be read
            self._reader.release()
        return self.sock, early
