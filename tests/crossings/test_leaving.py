"""A client disconnects while its request is in progress: whatever the request is waiting for, nothing more is
sent to a server, and all its resources are released."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from covetally.net import reuse_guard, upstream
from tests.loopback import (
    SidecarHarness,
    response,
    respond_ok,
    sidecar_harness,
    read_message,
    request,
    wait_until,
)
from tests.support import MS

NEVER_RAN = response(b"", b"503 Busy", b"X-Never-Ran: 1")
WAYS_TO_LEAVE = ("end", "reset", "half")


def leave(sock: socket.socket, way: str) -> None:
    """Disconnect in one of the ways of a client: close, reset, or half-close and go on reading."""
    if way == "half":
        sock.shutdown(socket.SHUT_WR)
        return
    if way == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def connect_client(harness: SidecarHarness) -> socket.socket:
    sock = socket.create_connection(harness.address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def all_released(harness: SidecarHarness) -> bool:
    """Whether no request, attempt, queue entry or budget is in use."""
    state = harness.balancer.state
    return not (
        harness.sidecar._calls or state.calls or state.queue or state.attempts or harness.frontend._clients
        or any(server.inflight for server in state.servers.values())
        or any(server.unsent for server in harness.upstream._servers.values())
    )  # fmt: skip


async def open_idle_connections(harness: SidecarHarness) -> None:
    """Open an idle connection to each server, so that a request is sent as soon as it is submitted."""
    number = 0
    while not all(server.idle for server in harness.upstream._servers.values()):
        names = [f"warm{number}-{i}" for i in range(4)]
        await asyncio.gather(*(harness.status(request(name)) for name in names))
        number += 1
        await asyncio.sleep(0.01)
    for server in harness.servers.values():
        server.requests.clear()


async def hang(server, received, reader, writer):
    await asyncio.Event().wait()


@asynccontextmanager
async def slow_to_accept(harness: SidecarHarness, name: str, listed: bool = True) -> AsyncIterator[list[bytes]]:
    """A server that accepts connections only when this context ends: its accept queue is full until then. Yields
    a list that afterwards has what was written to it. With `listed` it is on the server list at once."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    fillers = []
    for _ in range(2):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)
    await asyncio.sleep(0.02)
    harness.servers[name].address = listener.getsockname()
    if listed:
        harness.update_servers(harness.servers)
    written: list[bytes] = []
    try:
        yield written
    finally:
        listener.setblocking(False)
        end = time.monotonic() + 1.5  # the kernel retransmits the SYN after a second
        accepted = []
        while time.monotonic() < end:
            try:
                sock, _ = listener.accept()
                sock.setblocking(False)
                accepted.append(sock)
            except BlockingIOError:
                await asyncio.sleep(0.01)
        for sock in accepted:
            with suppress(BlockingIOError, ConnectionError):
                written.append(sock.recv(65536))
            sock.close()
        for sock in (*fillers, listener):
            sock.close()


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
def test_leaving_while_the_request_is_queued(way):
    async def main():
        async with sidecar_harness(hang) as harness:
            # The first request uses up the server's budget, the second is its probe, and the third has to wait.
            first, probe, queued = connect_client(harness), connect_client(harness), connect_client(harness)
            first.send(request("first"))
            probe.send(request("probe"))
            await wait_until(lambda: len(harness.servers["s0"].requests) == 2)
            queued.send(request("queued"))
            await wait_until(lambda: harness.balancer.state.queue)
            leave(queued, way)
            await wait_until(lambda: not harness.balancer.state.queue)
            leave(first, "end")
            leave(probe, "end")
            await wait_until(lambda: all_released(harness))
            await asyncio.sleep(0.05)
            assert len(harness.servers["s0"].requests) == 2
            queued.close()

    asyncio.run(main())


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
def test_leaving_while_the_connection_to_the_server_is_being_opened(way):
    limits = {"maxAttempts": 4, "connectTimeoutNs": 3_000 * MS}

    async def main():
        async with sidecar_harness(respond_ok, limits=limits) as harness:
            async with slow_to_accept(harness, "s0") as written:
                client = connect_client(harness)
                client.send(request("gone", expires="5"))
                await wait_until(lambda: harness.upstream.connections == 1)
                leave(client, way)
                await wait_until(lambda: all_released(harness))
                assert harness.upstream.connections == 0
                client.close()
            assert not any(written), "the connection was completed for nobody"

    asyncio.run(main())


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
@pytest.mark.parametrize("state", ["settling", "holding"])
def test_leaving_while_a_reused_connection_is_still_being_verified(way, state, monkeypatch):
    if state == "settling":
        monkeypatch.setattr(reuse_guard, "CALM_IDLE_S", 0.3)
    else:
        monkeypatch.setattr(upstream, "DISTRUST_LAST_BYTE_DELAY_S", 0.3)

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            assert await harness.status(request("one")) == 200
            harness.upstream.record_broken_idle()
            client = connect_client(harness)
            client.send(request("gone"))
            await wait_until(lambda: harness.sidecar._calls)
            await asyncio.sleep(0.02)
            leave(client, way)
            await wait_until(lambda: all_released(harness))
            await asyncio.sleep(0.4)
            assert len(harness.servers["s0"].requests) == 1
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
@pytest.mark.parametrize("extra_bytes", [0, 200_000])
def test_leaving_while_the_response_is_awaited(way, extra_bytes):
    """With many bytes sent behind a request, reading was paused, and the disconnect went unnoticed: the attempt
    went on and was retried."""

    async def main():
        left = asyncio.Event()

        async def reject(server, received, reader, writer):
            await left.wait()
            await asyncio.sleep(0.2)
            writer.write(NEVER_RAN)

        async with sidecar_harness(reject, reject) as harness:
            client = connect_client(harness)
            client.send(request("gone"))
            await wait_until(lambda: any(server.requests for server in harness.servers.values()))
            if extra_bytes:
                client.setblocking(False)
                remaining = extra_bytes
                while remaining:
                    try:
                        remaining -= client.send(b"x" * min(remaining, 8192))
                    except BlockingIOError:
                        await asyncio.sleep(0.002)
            leave(client, way)
            left.set()
            await wait_until(lambda: all_released(harness))
            await asyncio.sleep(0.4)
            assert sum(len(server.requests) for server in harness.servers.values()) == 1
            client.close()

    asyncio.run(main())


def test_bytes_behind_a_request_close_its_connection_after_the_response():
    """They must not be taken for the start of another request."""

    async def main():
        release = asyncio.Event()

        async def respond_when_released(server, received, reader, writer):
            await release.wait()
            await respond_ok(server, received, reader, writer)

        async with sidecar_harness(respond_when_released) as harness:
            reader, writer = await harness.connect()
            writer.write(request("kept"))
            await wait_until(lambda: harness.servers["s0"].requests)
            writer.write(b"x" * 100_000 + request("hidden"))
            await writer.drain()
            release.set()
            last = await read_message(reader)
            assert last.endswith(b"for kept") and b"connection: close" in last.lower()
            assert await reader.read() == b""
            assert len(harness.servers["s0"].requests) == 1
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
def test_leaving_while_the_event_loop_is_late(way):
    """The response that causes a retry is read before the client's disconnect, which arrived earlier."""

    async def main():
        client = socket.socket()

        async def reject(server, received, reader, writer):
            writer.write(NEVER_RAN)
            leave(client, way)
            time.sleep(0.2)  # blocks the sidecar, which then finds both, the response first

        async with sidecar_harness(respond_ok, respond_ok) as harness:
            await open_idle_connections(harness)
            for server in harness.servers.values():
                server.script = reject
            client.connect(harness.address)
            client.send(request("gone"))
            await wait_until(lambda: any(server.requests for server in harness.servers.values()))
            await wait_until(lambda: all_released(harness))
            await asyncio.sleep(0.1)
            assert sum(len(server.requests) for server in harness.servers.values()) == 1
            client.close()

    asyncio.run(main())


def test_a_request_that_is_read_late_is_not_sent_for_a_client_that_left(monkeypatch):
    """Input that has waited is queued for reading, and its client may disconnect in the meantime."""
    monkeypatch.setattr("covetally.net.read_scheduler.READ_AT_ONCE_NS", -1)
    monkeypatch.setattr("covetally.net.client_connection.PEER_CHECK_VALID_NS", 0)

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            await open_idle_connections(harness)
            client = connect_client(harness)
            may_read_now, results = harness.frontend.read_scheduler.may_read_now, []

            def leave_while_queued(connection):
                results.append(may_read_now(connection))
                leave(client, "end")  # after the input was received, before it is parsed
                return results[-1]

            harness.frontend.read_scheduler.may_read_now = leave_while_queued
            client.send(request("gone"))
            await wait_until(lambda: results)
            assert results[0] is False
            await wait_until(lambda: all_released(harness))
            await asyncio.sleep(0.05)
            assert not harness.servers["s0"].requests

    asyncio.run(main())
