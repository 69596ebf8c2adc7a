"""A test harness: a complete sidecar in this process with scripted servers and plain client sockets, on
loopback."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from covetally.interface import ServerListUpdate, ServerEntry
from covetally.net.clock import Clock
from covetally.net.close_reason import CloseReason
from covetally.net.frontend import Frontend
from covetally.net.listener import create_listener
from covetally.net.memory import MemoryAccount
from covetally.net.sidecar import Sidecar
from covetally.net.upstream import Upstream
from tests.support import settings

TEST_TIMEOUT_S = 20.0  # a test that takes longer fails; none should come close

Script = Callable[["ScriptedServer", bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def response(body: bytes = b"fine", status: bytes = b"200 OK", *headers: bytes) -> bytes:
    """Encode a response with a Content-Length."""
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
    """Encode a client's request; the method is GET for the class `look`, which is safe to repeat, else POST."""
    method = method or ("GET" if cls == "look" else "POST")
    lines = [f"{method} /api?sid=k HTTP/1.1", "Host: app", f"X-Qos: {cls}", f"X-Expires-In: {expires}"]
    if trace:
        lines.append(f"X-Trace-Id: {trace}")
    if length is not None or method == "POST":
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode() + body


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """Read one message with a Content-Length, head and body; IncompleteReadError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return head + await reader.readexactly(length)


async def respond_ok(
    server: ScriptedServer, received: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """The script of a healthy server: responds with 200 and the request's id in the body."""
    trace = next(
        line.partition(b":")[2].strip() for line in received.split(b"\r\n") if line.startswith(b"x-trace-id")
    )
    writer.write(response(b"for " + trace))


class ScriptedServer:
    """A server that runs its script for each request and records all of them in `requests`."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[bytes] = []
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
                received = await read_message(reader)
                self.requests.append(received)
                await self.script(self, received, reader, writer)
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


class SidecarHarness:
    """The sidecar, its scripted servers, and helpers to send requests to it."""

    def __init__(self, sidecar: Sidecar, frontend: Frontend, upstream: Upstream) -> None:
        self.sidecar, self.frontend, self.upstream = sidecar, frontend, upstream
        self.balancer = sidecar._balancer
        self.address: tuple[str, int]

    def update_servers(
        self, servers: dict[str, ScriptedServer], scope: str = "FULL", lifecycle: str = "up"
    ) -> None:
        entries = [(ServerEntry(name, lifecycle=lifecycle), server.address) for name, server in servers.items()]
        self.upstream.update(entries, scope == "FULL")
        self.sidecar.update_servers(ServerListUpdate(scope, tuple(entry for entry, _ in entries)))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.address)

    async def exchange(self, data: bytes) -> bytes:
        """Send these bytes on a new connection; returns the response, empty if the connection ends without
        one."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            return await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""
        finally:
            writer.close()

    async def status(self, data: bytes) -> int:
        """Send these bytes on a new connection; returns the status of the response, 0 if there is none."""
        received = await self.exchange(data)
        return int(received.split(b" ")[1]) if received else 0


@asynccontextmanager
async def sidecar_harness(
    *scripts: Script, clients: int = 20, sockets: int = 20, more: dict[str, Any] | None = None, **changes: Any
) -> AsyncIterator[SidecarHarness]:
    """Run a sidecar with a server for each script; the servers are named s0, s1, ..."""
    config = settings(**changes, **(more or {}))
    clock = Clock()
    memory = MemoryAccount(8 * 1024 * 1024, 4 * 1024 * 1024)
    upstream = Upstream(config, frozenset(), clock, sockets, memory)
    sidecar = Sidecar(config, 1, clock, upstream, lambda peer, blob: None, lambda: None)
    frontend = Frontend(config, sidecar, clients, memory)
    harness = SidecarHarness(sidecar, frontend, upstream)
    harness.servers = {f"s{i}": ScriptedServer(script) for i, script in enumerate(scripts)}
    for server in harness.servers.values():
        await server.start()
    harness.update_servers(harness.servers)
    harness.address = frontend.start_accepting(create_listener(("127.0.0.1", 0)))
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield harness
    finally:
        frontend.stop_accepting()
        for client in list(frontend._clients):
            client.close(CloseReason.CLIENT_LEFT)
        for server in harness.servers.values():
            server.stop()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Run the event loop until the condition holds, or the time limit of the test ends the wait."""
    while not condition():
        await asyncio.sleep(0.005)


def trace_ids() -> Callable[[], str]:
    """A function that returns a new trace id with each call."""
    numbers = itertools.count()
    return lambda: f"id{next(numbers)}"
