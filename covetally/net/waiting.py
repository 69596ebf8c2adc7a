"""A stream for coroutines: for calls that are few and need not be cheap. The request path does without."""

from __future__ import annotations

import asyncio
import socket

import httptools

from covetally.net.http_message import Broken, MessagePart
from covetally.net.stream import Stream, create_tcp_socket


class Waiting:
    """One connection to a server. One coroutine at a time reads or writes."""

    def __init__(self, sock: socket.socket) -> None:
        self._stream = Stream(httptools.HttpResponseParser, sock, self._wake, self._wake)
        self._waiter: asyncio.Future[None] | None = None

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Waiting:
        """A new connection; OSError when it does not come up."""
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

    async def _news(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def next_event(self) -> MessagePart:
        """The next part of the server's message; Malformed if it is none, Broken if the connection was lost."""
        while not (parts := self._stream.parts()):
            await self._news()
        return parts.popleft()

    async def write(self, data: bytes) -> None:
        """Return once the kernel has all of `data`; Broken if it cannot have it."""
        whole = self._stream.send(data)
        while not whole:
            await self._news()
            if self._stream.closed:
                raise Broken("connection lost while writing")
            whole = self._stream.flushed

    def has_input(self) -> bool:
        """Whether anything came, or the end, where nothing was asked for."""
        return self._stream.has_input()

    def prepare_next_message(self) -> bool:
        """Make ready for the next message; False if this connection must not carry one."""
        return self._stream.prepare_next_message()

    def close(self) -> None:
        """Close at once."""
        self._stream.abort()
