"""A whole sidecar in this process, with scripted servers and plain sockets for clients, all on loopback."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from covetally.interface import ServerListUpdate, ServerEntry
from covetally.net.clock import Clock
from covetally.net.closing import CloseReason
from covetally.net.frontend import Frontend, bound
from covetally.net.sidecar import Sidecar
from covetally.net.upstream import Upstream
from tests.support import settings

WAIT_S = 20.0  # a test that waits so long has failed; none should come near it

Script = Callable[["Server", bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def answer(body: bytes = b"fine", status: bytes = b"200 OK", *headers: bytes) -> bytes:
    """An answer with a length."""
    lines = [b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def request(
    trace: str = "t1",
    cls: str = "look",
    body: bytes = b"",
    expires: str = "0.9",
    more: str = "",
    method: str = "",
    length: str | None = None,
) -> bytes:
    """A client's request; safe classes are asked with GET."""
    method = method or ("GET" if cls == "look" else "POST")
    lines = [f"{method} /api?sid=k HTTP/1.1", "Host: app", f"X-Qos: {cls}", f"X-Expires-In: {expires}"]
    if trace:
        lines.append(f"X-Trace-Id: {trace}")
    if length is not None or method == "POST":
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode() + body


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """One message with a length: head and body; IncompleteReadError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return head + await reader.readexactly(length)


async def fine(server: Server, got: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """The script of a server in good health: the body it gives back names the request."""
    trace = next(x.partition(b":")[2].strip() for x in got.split(b"\r\n") if x.startswith(b"x-trace-id"))
    writer.write(answer(b"for " + trace))


class Server:
    """A server that does as its script says with each request; `got` has them all."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.got: list[bytes] = []
        self.connections = 0
        self.address: tuple[str, int]
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                got = await read_message(reader)
                self.got.append(got)
                await self.script(self, got, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()


class Place:
    """The sidecar and what stands round it."""

    def __init__(self, sidecar: Sidecar, frontend: Frontend, upstream: Upstream) -> None:
        self.sidecar, self.frontend, self.upstream = sidecar, frontend, upstream
        self.balancer = sidecar._balancer
        self.address: tuple[str, int]

    def tell(self, servers: dict[str, Server], scope: str = "FULL", lifecycle: str = "up") -> None:
        entries = [(ServerEntry(name, lifecycle=lifecycle), s.address) for name, s in servers.items()]
        self.upstream.update(entries, scope == "FULL")
        self.sidecar.directory(ServerListUpdate(scope, tuple(entry for entry, _ in entries)))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.address)

    async def ask(self, data: bytes) -> bytes:
        """What comes back for these bytes on a connection of their own: a message or nothing."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            return await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""
        finally:
            writer.close()

    async def status(self, data: bytes) -> int:
        """The status of the answer to these bytes, 0 if the connection ends without one."""
        got = await self.ask(data)
        return int(got.split(b" ")[1]) if got else 0


@asynccontextmanager
async def place(
    *scripts: Script, clients: int = 20, sockets: int = 20, more: dict[str, Any] | None = None, **changes: Any
) -> AsyncIterator[Place]:
    """A sidecar with a server for each script, named s0, s1, ..."""
    config = settings(**changes, **(more or {}))
    clock = Clock()
    upstream = Upstream(config, frozenset(), clock, sockets)
    sidecar = Sidecar(config, 1, clock, upstream, lambda peer, blob: None, lambda: None)
    frontend = Frontend(config, sidecar, clients, 4 * 1024 * 1024)
    here = Place(sidecar, frontend, upstream)
    here.servers = {f"s{i}": Server(script) for i, script in enumerate(scripts)}
    for server in here.servers.values():
        await server.start()
    here.tell(here.servers)
    here.address = frontend.adopt(bound(("127.0.0.1", 0)))
    try:
        async with asyncio.timeout(WAIT_S):
            yield here
    finally:
        if frontend._listener.fileno() >= 0:  # else a drain has closed it
            frontend._pause()
            frontend._listener.close()
        for client in list(frontend._clients):
            client.close(CloseReason.CLIENT_LEFT)
        for server in here.servers.values():
            server.stop()


async def until(true: Callable[[], bool]) -> None:
    """Let the loop run until this holds; the place's time limit ends the wait."""
    while not true():
        await asyncio.sleep(0.005)


def traces() -> Callable[[], str]:
    """Ids that are ever new."""
    numbers = itertools.count()
    return lambda: f"id{next(numbers)}"
