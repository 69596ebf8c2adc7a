"""HTTP/1.1 over one socket: h11 parses, asyncio moves the bytes. Both sides of the sidecar use it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import sys
import time
from collections.abc import Callable, Iterable
from ipaddress import IPv4Address
from typing import Any, NamedTuple

import h11

MAX_HEAD = 16 * 1024  # heads are a few hundred bytes; past this a peer is only costing memory
MAX_BODY = 64 * 1024  # the protocol's limit, in both directions
RECEIVE = 32 * 1024  # one read; small, since every connection may have one read waiting to be parsed
READ_AHEAD = 16 * 1024  # reading pauses while this much waits: backpressure to the peer
LINGER_S = 1.0  # how long a closing connection goes on reading what its peer still sends,
LINGER_BYTES = 1024 * 1024  # and how much of it

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade expect content-length".split()
)
ESTABLISHED = 1  # a TCP state, as Linux numbers them
_STATE, _LAST_RECEIVED = 0, slice(52, 56)  # in Linux's `struct tcp_info`; the latter in ms,
_TICK_NS = round(time.clock_getres(6) * 1e9)  # by CLOCK_MONOTONIC_COARSE, which has such steps
_landing = memoryview(bytearray(RECEIVE))  # shared: filled and emptied within one callback


def tcp_info(sock: socket.socket) -> tuple[bool, int]:
    """What the kernel knows of a connection before the event loop does: whether it is up and neither side has
    closed it, and for how long, in ns, what came last has been here."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_RECEIVED.stop)
    except OSError:
        return False, 0
    lain_ns = int.from_bytes(info[_LAST_RECEIVED], sys.byteorder) * 1_000_000 - _TICK_NS
    return info[_STATE] == ESTABLISHED, max(0, lain_ns)


class Broken(ConnectionError):
    """The connection ended, or said what it must not, where the message should go on."""


class Answer(NamedTuple):
    """A whole answer for a client."""

    status: int
    headers: Headers
    body: bytes = b""


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """The headers that are meant for the far end; framing is each connection's own."""
    headers = list(headers)
    named = {n.strip().lower() for k, v in headers if k == b"connection" for n in v.split(b",")}
    return [(k, v) for k, v in headers if k not in _HOP_BY_HOP and k not in named]


def framing_told_twice(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Whether a message has two framings: who believes the other one finds another message in its body."""
    names = {name for name, _ in headers}
    return b"content-length" in names and b"transfer-encoding" in names


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `a.b.c.d:port`; ValueError if it is none. Names are none: there is no DNS."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()) or int(port) >= 65536:
        raise ValueError(f"not an address: {address!r}")
    return str(IPv4Address(host)), int(port)


class Stream(asyncio.BufferedProtocol):
    """One connection with its h11 state. One coroutine at a time reads or writes."""

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER], sock: socket.socket) -> None:
        # asyncio does this only for sockets made with a protocol number. Without it the kernel keeps a last
        # small piece back until what went before is acknowledged, which the peer may put off by 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD)
        self.sock = sock
        self.eof = False
        self.closing = False  # the kernel has met the end, which is still to be read
        self.lost = False
        self.received_at = time.monotonic_ns()  # when bytes came last to this machine
        self.on_news: Callable[[], None] | None = None  # told of bytes and of the end
        self._inbox = bytearray()
        self._full = False  # written bytes wait for the kernel
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport
        self._closed: asyncio.Future[None]

    @classmethod
    async def open(cls, role: type[h11.CLIENT] | type[h11.SERVER], sock: socket.socket) -> Stream:
        """A stream over a connected socket, which it owns from here on."""
        loop = asyncio.get_running_loop()
        stream = cls(role, sock)
        await loop.create_connection(lambda: stream, sock=sock)
        return stream

    @classmethod
    async def connect(
        cls, address: tuple[str, int], on_failure: Callable[[bool], None] | None = None
    ) -> Stream:
        """A new connection to a server; OSError when it does not come up.

        `on_failure` is told, before any exception leaves, whether it had come up in the kernel all the same.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, address)
            return await cls.open(h11.CLIENT, sock)
        except BaseException:
            if on_failure is not None:
                on_failure(tcp_info(sock)[0])
            sock.close()
            raise

    # --- asyncio's side -------------------------------------------------------------------------

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._closed = asyncio.get_running_loop().create_future()
        transport.set_write_buffer_limits(high=0)  # "written" means: handed to the kernel

    def get_buffer(self, sizehint: int) -> memoryview:
        return _landing

    def buffer_updated(self, nbytes: int) -> None:
        # They may have lain in the kernel, or with their connection in the backlog, while others were served.
        up, lain_ns = tcp_info(self.sock)
        self.closing = not up
        self.received_at = time.monotonic_ns() - lain_ns
        self._inbox += _landing[:nbytes]
        if len(self._inbox) >= READ_AHEAD and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._tell()

    def eof_received(self) -> bool:
        self.eof = True
        self._tell()
        return True  # stay open for writing; the owner closes

    def pause_writing(self) -> None:
        self._full = True

    def resume_writing(self) -> None:
        self._full = False
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self._closed.set_result(None)
        self._tell()

    def _tell(self) -> None:
        self._wake()
        if self.on_news is not None:
            self.on_news()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _news(self) -> None:
        """Wait for bytes, room to write, or the end."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    # --- reading --------------------------------------------------------------------------------

    @property
    def ended(self) -> bool:
        """The peer has closed or reset it."""
        return self.eof or self.lost

    def disturbed(self) -> bool:
        """Whether anything came, or the end. Looks into the kernel too: the event loop may not have yet."""
        if self.ended or self._inbox or self._transport.is_closing():
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """The next part of the peer's message."""
        while (event := self.http.next_event()) is h11.NEED_DATA:
            while not self._inbox and not self.eof:
                if self.lost:
                    raise Broken("connection lost")
                await self._news()
            data = bytes(self._inbox)
            self._inbox.clear()
            if self._paused and not self.ended:
                self._paused = False
                self._transport.resume_reading()
            self.http.receive_data(data)
        return event

    async def quiet(self, seconds: float) -> None:
        """Wait so long, or until something comes."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not (self._inbox or self.ended):
                    await self._news()

    def recycle(self) -> bool:
        """Make ready for the next message; False if this connection must not carry one."""
        http = self.http
        if self.lost or http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        return True

    @property
    def leftover(self) -> bool:
        """Whether bytes wait beyond the message just read."""
        return bool(self._inbox or self.http.trailing_data[0])

    # --- writing --------------------------------------------------------------------------------

    def encode(self, *events: h11.Event) -> bytes:
        """The bytes of these events, in order."""
        return b"".join([self.http.send(event) or b"" for event in events])

    async def write(self, data: bytes, alert: bool = False) -> None:
        """Return once the kernel has all of `data`; Broken if it cannot have it.

        With `alert`, anything that comes from the peer meanwhile is Broken too.
        """
        self._transport.write(data)
        if self._transport.is_closing():  # the write itself may have met the reset
            raise Broken("connection lost while writing")
        while self._full:
            if self.lost or (alert and (self._inbox or self.eof)):
                raise Broken("connection lost while writing")
            await self._news()

    # --- the end --------------------------------------------------------------------------------

    def abort(self, reset: bool = False) -> None:
        """Close at once. With `reset` the peer sees a reset, so that what was cut cannot pass for whole."""
        if self.lost:
            return
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._transport.abort()

    async def close(self) -> None:
        """Close at once and return when the socket is closed."""
        self.abort()
        await asyncio.shield(self._closed)

    async def finish(self) -> None:
        """Close after a last answer.

        A close with unread bytes waiting sends a reset, which can destroy that answer on its way. So what the
        peer still sends is read and dropped, but only for so long and so much: a peer that is not listening
        must not cost more than a reset.
        """
        dropped = 0
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(LINGER_S):
                self._transport.write_eof()
                while not self.ended and dropped < LINGER_BYTES:
                    dropped += len(self._inbox)
                    self._inbox.clear()
                    if self._paused:
                        self._paused = False
                        self._transport.resume_reading()
                    await self._news()
        await self.close()
