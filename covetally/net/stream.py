"""A non-blocking socket with an HTTP message parser, driven by callbacks. Used for both clients and servers.

The stream uses the socket directly instead of an asyncio transport, so that a `send` that returns True means,
with any event loop, that the kernel has taken all bytes. No method blocks; the owner of a stream is notified by
callbacks.
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
from covetally.net.system_errors import TRANSIENT_IO_ERRORS

log = logging.getLogger(__name__)

MAX_DISCARD_READS = 4  # before a close: more than a peer that follows the protocol can have sent
RECEIVE_SIZE = 32 * 1024  # per read; small, since every connection may hold one read that is not parsed yet
READ_AHEAD = 16 * 1024  # reading pauses while this much is unparsed: backpressure on the peer
REGISTER_RETRY_S = 0.01  # if the kernel has no memory to watch a socket
ESTABLISHED = 1  # TCP_ESTABLISHED of Linux
# Offsets in `struct tcp_info` of Linux. The last two fields are in ms, with the resolution of
# CLOCK_MONOTONIC_COARSE.
_STATE, _LAST_SENT, _LAST_RECEIVED = 0, slice(44, 48), slice(52, 56)
_TICK_NS = round(time.clock_getres(6) * 1e9)
_receive_buffer = memoryview(bytearray(RECEIVE_SIZE))  # shared: filled and emptied within one callback
_IPPROTO_TCP, _TCP_INFO, _INFO_SIZE = socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_RECEIVED.stop
_BYTE_ORDER = sys.byteorder
_RESET = struct.pack("ii", 1, 0)  # struct linger: enabled, with a timeout of 0


def tcp_info(sock: socket.socket) -> tuple[bool, int]:
    """Ask the kernel for the state of a connection, which the event loop may not know yet. Returns whether the
    connection is established and closed by neither side, and how long ago, in ns, it last received data."""
    try:
        info = sock.getsockopt(_IPPROTO_TCP, _TCP_INFO, _INFO_SIZE)
    except OSError:
        return True, 0  # unknown: the next send or receive will fail if the connection is broken
    age_ns = int.from_bytes(info[_LAST_RECEIVED], _BYTE_ORDER) * 1_000_000 - _TICK_NS
    return info[_STATE] == ESTABLISHED, age_ns if age_ns > 0 else 0


def connection_age_s(sock: socket.socket) -> tuple[bool, float]:
    """Ask the kernel about a connection that was just accepted. Returns whether it is established and closed by
    neither side, and for how many seconds it has been established, at least.

    The kernel counts the time without data in either direction from the handshake on, and nothing was sent yet.
    So a client that sent a byte while it waited in the backlog is not taken for a new one.
    """
    try:
        info = sock.getsockopt(_IPPROTO_TCP, _TCP_INFO, _INFO_SIZE)
    except OSError:
        return True, 0.0  # unknown: the next send or receive will fail if the connection is broken
    age_ms = max(int.from_bytes(info[field], _BYTE_ORDER) for field in (_LAST_SENT, _LAST_RECEIVED))
    return info[_STATE] == ESTABLISHED, max(0.0, (age_ms * 1_000_000 - _TICK_NS) / 1e9)


def create_tcp_socket(address: tuple[str, int]) -> socket.socket:
    """Create a non-blocking socket for a connection to this address; OSError if the system has none left."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    sock.setblocking(False)
    # Without TCP_NODELAY the kernel delays a last small segment until the previous data is acknowledged, which
    # the peer may put off by 40 ms.
    try:
        sock.setsockopt(_IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


def ignore_event() -> None:
    """The callback of a stream whose events are of no interest."""


class Stream:
    """A connected socket and the parser of its input. The stream owns the socket until `close` or `detach`.

    `on_input` is called after bytes or the end of the input have arrived; `on_flushed` once the kernel has taken
    all bytes that `send` had to buffer. Neither is called from within `send`, `parts` or `close`.

    If the connection breaks, the input that arrived before can still be parsed. Only `close`, which the owner has
    to call in any case, frees it.
    """

    __slots__ = (
        "closed", "eof", "on_flushed", "on_input", "paused", "peer_checked_at", "peer_closed", "received_at",
        "queued", "received", "sock", "taken", "_failed", "_fd", "_loop", "_parser", "_unparsed", "_unsent",
    )  # fmt: skip

    def __init__(
        self,
        parser_type: ParserType,
        sock: socket.socket,
        on_input: Callable[[], None],
        on_flushed: Callable[[], None],
    ) -> None:
        self._parser = MessageParser(parser_type)
        self.sock = sock
        self.on_input, self.on_flushed = on_input, on_flushed
        self.eof = False
        self.closed = False  # closed here, detached, or broken
        self._failed = (
            False  # an error of the connection was met outside `_on_readable`, and the kernel forgot it
        )
        self.peer_closed = False  # the kernel has received the end of the input, which may still be unread
        self.received_at = time.monotonic_ns()  # when this machine last received bytes
        self.peer_checked_at = self.received_at  # when the kernel was last asked whether the peer is connected
        self.paused = False  # reading is suspended: neither bytes nor the end are noticed until input is taken
        # Bytes since the connection was opened: those that `send` was given, and those that the kernel has taken.
        # Both only grow, and a close changes neither, so they remain a proof of what was never sent.
        self.queued = 0
        self.taken = 0
        self.received = 0  # bytes since the connection was opened
        self._unparsed = b""
        self._unsent: bytes | memoryview = b""  # what the kernel could not take yet
        self._loop = asyncio.get_running_loop()
        self._fd = sock.fileno()
        self._loop.add_reader(self._fd, self._on_readable)

    # --- callbacks of the event loop ------------------------------------------------------------

    def _on_readable(self) -> None:
        try:
            count = self.sock.recv_into(_receive_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno in TRANSIENT_IO_ERRORS:
                return
            self._end()
        else:
            if count:
                data = bytes(_receive_buffer[:count])
                self.received += count
                self._unparsed = self._unparsed + data if self._unparsed else data
                # The bytes may have waited in the kernel, or with their connection in the backlog, while the
                # process was busy.
                connected, age_ns = tcp_info(self.sock)
                self.peer_closed = not connected
                self.peer_checked_at = time.monotonic_ns()
                self.received_at = self.peer_checked_at - age_ns
                if len(self._unparsed) >= READ_AHEAD and not self.paused:
                    self.paused = True
                    self._loop.remove_reader(self._fd)
            elif self._failed:  # a reset, which must not be taken for the end of a message
                self._end()
            else:
                self.eof = True
                self._loop.remove_reader(self._fd)  # the socket would stay readable forever
        try:
            self.on_input()
        except Exception:
            self._on_callback_failed(self.on_input)

    def _on_writable(self) -> None:
        try:
            count = self.sock.send(self._unsent)
            self.taken += count
            self._unsent = self._unsent[count:]
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno in TRANSIENT_IO_ERRORS:
                return
            self._end()
            callback = self.on_input
        else:
            if self._unsent:
                return
            self._loop.remove_writer(self._fd)
            callback = self.on_flushed
        try:
            callback()
        except Exception:
            self._on_callback_failed(callback)

    def _on_callback_failed(self, callback: Callable[[], None]) -> None:
        """Close this connection after a bug in a callback, and go on with the process."""
        log.exception("a connection failed by a bug")
        if not self.closed:
            self._end()
            callback()

    # --- reading --------------------------------------------------------------------------------

    @property
    def ended(self) -> bool:
        """Whether the connection was closed or reset by the peer, or closed here."""
        return self.eof or self.closed

    def has_input(self) -> bool:
        """Whether bytes or the end of the input have arrived. Also asks the kernel, since the event loop may not
        have noticed yet."""
        if self.eof or self.closed or self._unparsed:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            self._failed = True
        return True

    def has_bytes(self) -> bool:
        """Whether bytes have arrived that are not parsed yet, as opposed to the end of the input."""
        if self._unparsed:
            return True
        if self.eof or self.closed:
            return False
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False
        except OSError:
            self._failed = True
            return False

    def parts(self) -> deque[MessagePart]:
        """The parts of the peer's message that have arrived, to be popped from the left; empty if there are none.
        After the last part, raises Malformed if the input is not a valid message, and Broken if the connection
        was lost."""
        parser = self._parser
        parts = parser.parts
        if not parts:
            if parser.error is not None:
                raise parser.error.copy()
            if self._unparsed:
                data, self._unparsed = self._unparsed, b""
                if self.paused:
                    self._resume_reading()
                parser.feed(data)
                if not parts and parser.error is not None:
                    raise parser.error.copy()
            elif self.eof:
                parts.append(parser.end())
            elif self.closed:
                raise Broken("connection lost")
        return parts

    def _resume_reading(self) -> None:
        self.paused = False
        if self.eof or self.closed:
            return
        try:
            self._loop.add_reader(self._fd, self._on_readable)
        except OSError:
            self._loop.call_later(REGISTER_RETRY_S, self._resume_reading)

    @property
    def held(self) -> int:
        """The bytes of memory that the input takes that is not handed on yet: unparsed, or of an incomplete
        head."""
        return len(self._unparsed) + self._parser.held

    @property
    def unsent(self) -> int:
        """The bytes that the kernel has not taken yet."""
        return len(self._unsent)

    def peek(self) -> bytes:
        """The received bytes that are not parsed yet."""
        return self._unparsed

    def discard_input(self) -> int:
        """Discard the received bytes that are not parsed yet; returns their number."""
        data, self._unparsed = self._unparsed, b""
        if self.paused:
            self._resume_reading()
        return len(data)

    def peer_connected(self) -> bool:
        """Ask the kernel whether the peer is still connected: no end of the input has arrived, read or unread."""
        self.peer_closed, self.peer_checked_at = not tcp_info(self.sock)[0], time.monotonic_ns()
        return not (self.peer_closed or self.eof or self.closed)

    def prepare_next_message(self) -> bool:
        """Prepare for the next message; returns False if the connection cannot be reused for one."""
        parser = self._parser
        if self.closed or self._unparsed or parser.surplus or not (parser.complete and parser.persistent):
            return False
        parser.start_message()
        return True

    @property
    def persistent(self) -> bool:
        """Whether the peer allows the connection to be kept for another message."""
        return self._parser.persistent

    @property
    def leftover(self) -> bool:
        """Whether bytes arrived beyond the end of the current message."""
        return bool(self._unparsed) or self._parser.surplus

    # --- writing --------------------------------------------------------------------------------

    def send(self, data: bytes) -> bool:
        """Hand bytes to the kernel. Returns whether it has taken them all; if not, `on_flushed` is called once it
        has. Raises Broken, and closes the stream, if the connection cannot be written to."""
        self.queued += len(data)
        if self._unsent:
            self._unsent = bytes(self._unsent) + data
            return False
        if self.closed:
            raise Broken("connection lost")
        try:
            count = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            count = 0
        except OSError as error:
            if error.errno not in TRANSIENT_IO_ERRORS:
                self._end()
                raise Broken(f"connection lost while writing: {error}") from None
            count = 0
        self.taken += count
        if count == len(data):
            return True
        self._unsent = memoryview(data)[count:]
        self._wait_writable()
        return False

    def _wait_writable(self) -> None:
        """Register for the next writable event; if the kernel cannot watch the socket now, retry shortly."""
        try:
            self._loop.add_writer(self._fd, self._on_writable)
        except OSError:
            self._loop.call_later(REGISTER_RETRY_S, self._retry_write)

    def _retry_write(self) -> None:
        if self.closed or not self._unsent:
            return
        self._on_writable()
        if self._unsent and not self.closed:
            self._wait_writable()

    @property
    def flushed(self) -> bool:
        """Whether the kernel has taken all bytes that were sent."""
        return self.taken == self.queued

    def close_write(self) -> None:
        """Shut down the sending side: the peer reads the end of the input."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._end()

    # --- closing --------------------------------------------------------------------------------

    def close(self, reset: bool = False) -> None:
        """Close at once, without a callback, and free what was received and not used. With `reset` the peer
        receives a reset, so that it cannot take a truncated message for complete."""
        self._end(reset)
        # Owner and parser refer back to this object: without the cycles all of it is freed at once.
        self.on_input = self.on_flushed = ignore_event
        self._unparsed = b""
        self._parser.release()

    def _end(self, reset: bool = False) -> None:
        """Close the socket."""
        if self.closed:
            return
        self._unregister()
        try:
            if reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        except OSError:
            pass
        self.sock.close()

    def discard_unread(self) -> None:
        """Read and discard input that the kernel still holds. If a socket is closed with unread input, the kernel
        resets the connection and drops the data that it has yet to send."""
        try:
            for _ in range(MAX_DISCARD_READS):
                if not self.sock.recv_into(_receive_buffer):
                    return
        except OSError:
            pass

    def detach(self) -> tuple[socket.socket, bytes]:
        """Give up the socket; returns it with the bytes that were read from it and not used. The stream counts as
        closed afterwards."""
        unused = self._parser.leftover + self._unparsed
        self._unregister()
        self.close()
        return self.sock, unused

    def _unregister(self) -> None:
        """Stop watching the socket."""
        self.closed = True
        self._loop.remove_reader(self._fd)
        if self._unsent:
            self._loop.remove_writer(self._fd)
            self._unsent = b""
