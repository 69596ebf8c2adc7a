"""A connection to a server for coroutines. It serves calls that are rare and need not be cheap; the request path
uses callbacks instead."""

from __future__ import annotations

import asyncio
import socket

import httptools

from covetally.net.http_message import Broken, MessagePart
from covetally.net.stream import Stream, create_tcp_socket


class AsyncConnection:
    """One connection to a server. Only one coroutine at a time may read or write."""

    def __init__(self, sock: socket.socket) -> None:
        self._stream = Stream(httptools.HttpResponseParser, sock, self._wake, self._wake)
        self._waiter: asyncio.Future[None] | None = None

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> AsyncConnection:
        """Open a connection; raises OSError if it cannot be established."""
        sock = create_tcp_socket(address)
        try:
            await asyncio.get_running_loop().sock_connect(sock, address)
            return cls(sock)
        except BaseException:
            sock.close()
            raise

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        """Wait for the next event of the stream."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def next_event(self) -> MessagePart:
        """Return the next part of the server's message; raises Malformed if it is not valid HTTP, Broken if the
        connection was lost."""
        while not (parts := self._stream.parts()):
            await self._wait()
        return parts.popleft()

    async def write(self, data: bytes) -> None:
        """Return once the kernel has taken all of `data`; raises Broken if the connection was lost before."""
        written = self._stream.send(data)
        while not written:
            await self._wait()
            if self._stream.closed:
                raise Broken("connection lost while writing")
            written = self._stream.flushed

    def has_input(self) -> bool:
        """Return whether unexpected bytes or the end of the connection have arrived."""
        return self._stream.has_input()

    def prepare_next_message(self) -> bool:
        """Prepare for the next message; returns False if this connection must not carry another one."""
        return self._stream.prepare_next_message()

    def close(self) -> None:
        """Close the connection immediately."""
        self._stream.close()
