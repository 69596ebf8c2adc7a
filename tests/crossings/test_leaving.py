"""A client leaves while its request is under way: nothing is sent on for it any more, whatever the request was
waiting for, and all that it held is free again."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from covetally.net import upstream
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
WAYS = ("end", "reset", "half")


def leave(sock: socket.socket, way: str) -> None:
    """As a client may: it closes, or resets, or ends its sending and reads on."""
    if way == "half":
        sock.shutdown(socket.SHUT_WR)
        return
    if way == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def client(here: SidecarHarness) -> socket.socket:
    sock = socket.create_connection(here.address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def nothing_is_held(here: SidecarHarness) -> bool:
    """Of requests, attempts, places in the queue and budgets."""
    book = here.balancer.book
    return not (
        here.sidecar._calls or book.calls or book.held or book.attempts or here.frontend._clients
        or any(server.inflight for server in book.servers.values())
        or any(server.unsent for server in here.upstream._servers.values())
    )  # fmt: skip


async def warm(here: SidecarHarness) -> None:
    """Have a connection at rest to each server, so that a request goes out in the moment it is submitted."""
    number = 0
    while not all(server.idle for server in here.upstream._servers.values()):
        names = [f"warm{number}-{i}" for i in range(4)]
        await asyncio.gather(*(here.status(request(name)) for name in names))
        number += 1
        await asyncio.sleep(0.01)
    for server in here.servers.values():
        server.requests.clear()


async def hang(server, got, reader, writer):
    await asyncio.Event().wait()


@asynccontextmanager
async def slow_to_accept(here: SidecarHarness, name: str, listed: bool = True) -> AsyncIterator[list[bytes]]:
    """A server to which connections come up only when this ends: its accept queue is full until then. Gives what
    was written to it. It is listed there at once, or when the test says so."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    fillers = []
    for _ in range(2):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)
    await asyncio.sleep(0.02)
    here.servers[name].address = listener.getsockname()
    if listed:
        here.update_servers(here.servers)
    got: list[bytes] = []
    try:
        yield got
    finally:
        listener.setblocking(False)
        end = time.monotonic() + 1.5  # the kernel asks again after a second
        taken = []
        while time.monotonic() < end:
            try:
                sock, _ = listener.accept()
                sock.setblocking(False)
                taken.append(sock)
            except BlockingIOError:
                await asyncio.sleep(0.01)
        for sock in taken:
            with suppress(BlockingIOError, ConnectionError):
                got.append(sock.recv(65536))
            sock.close()
        for sock in (*fillers, listener):
            sock.close()


@pytest.mark.parametrize("way", WAYS)
def test_while_it_is_held_in_order(way):
    async def main():
        async with sidecar_harness(hang) as here:
            first, trial, waits = client(here), client(here), client(here)  # its budget, and one call as a trial
            first.send(request("first"))
            trial.send(request("trial"))
            await wait_until(lambda: len(here.servers["s0"].requests) == 2)
            waits.send(request("waits"))
            await wait_until(lambda: here.balancer.book.held)
            leave(waits, way)
            await wait_until(lambda: not here.balancer.book.held)
            leave(first, "end")
            leave(trial, "end")
            await wait_until(lambda: nothing_is_held(here))
            await asyncio.sleep(0.05)
            assert len(here.servers["s0"].requests) == 2
            waits.close()

    asyncio.run(main())


@pytest.mark.parametrize("way", WAYS)
def test_while_its_connection_comes_up(way):
    limits = {"maxAttempts": 4, "connectTimeoutNs": 3_000 * MS}

    async def main():
        async with sidecar_harness(respond_ok, limits=limits) as here:
            async with slow_to_accept(here, "s0") as got:
                asks = client(here)
                asks.send(request("gone", expires="5"))
                await wait_until(lambda: here.upstream.connections == 1)
                leave(asks, way)
                await wait_until(lambda: nothing_is_held(here))
                assert here.upstream.connections == 0
                asks.close()
            assert not any(got), "the connection came up for nobody"

    asyncio.run(main())


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("state", ["settling", "holding"])
def test_while_a_kept_connection_is_not_trusted_yet(way, state, monkeypatch):
    if state == "settling":
        monkeypatch.setattr(upstream, "SETTLE_S", 0.3)
    else:
        monkeypatch.setattr(upstream, "WARY_HOLD_BACK_S", 0.3)

    async def main():
        async with sidecar_harness(respond_ok) as here:
            assert await here.status(request("one")) == 200
            here.upstream.broke()
            asks = client(here)
            asks.send(request("gone"))
            await wait_until(lambda: here.sidecar._calls)
            await asyncio.sleep(0.02)
            leave(asks, way)
            await wait_until(lambda: nothing_is_held(here))
            await asyncio.sleep(0.4)
            assert len(here.servers["s0"].requests) == 1
            asks.close()

    asyncio.run(main())


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("more", [0, 200_000])
def test_while_it_waits_for_an_answer_with_bytes_behind_its_request_or_none(way, more):
    """With much behind a request reading stopped, and the client was not seen to leave: its attempt went on, and
    was tried again."""

    async def main():
        gone = asyncio.Event()

        async def turn_away(server, got, reader, writer):
            await gone.wait()
            await asyncio.sleep(0.2)
            writer.write(NEVER_RAN)

        async with sidecar_harness(turn_away, turn_away) as here:
            asks = client(here)
            asks.send(request("gone"))
            await wait_until(lambda: any(server.requests for server in here.servers.values()))
            if more:
                asks.setblocking(False)
                left = more
                while left:
                    try:
                        left -= asks.send(b"x" * min(left, 8192))
                    except BlockingIOError:
                        await asyncio.sleep(0.002)
            leave(asks, way)
            gone.set()
            await wait_until(lambda: nothing_is_held(here))
            await asyncio.sleep(0.4)
            assert sum(len(server.requests) for server in here.servers.values()) == 1
            asks.close()

    asyncio.run(main())


def test_bytes_behind_a_request_end_its_connection_after_the_answer():
    """They are no request, and none of them may be taken for the start of one."""

    async def main():
        release = asyncio.Event()

        async def wait(server, got, reader, writer):
            await release.wait()
            await respond_ok(server, got, reader, writer)

        async with sidecar_harness(wait) as here:
            reader, writer = await here.connect()
            writer.write(request("kept"))
            await wait_until(lambda: here.servers["s0"].requests)
            writer.write(b"x" * 100_000 + request("hidden"))
            await writer.drain()
            release.set()
            got = await read_message(reader)
            assert got.endswith(b"for kept") and b"connection: close" in got.lower()
            assert await reader.read() == b""
            assert len(here.servers["s0"].requests) == 1
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("way", WAYS)
def test_while_the_loop_is_late(way):
    """The answer that calls for another attempt is read before the client's end, which came before that."""

    async def main():
        asks = socket.socket()

        async def turn_away(server, got, reader, writer):
            writer.write(NEVER_RAN)
            leave(asks, way)
            time.sleep(0.2)  # all in this process: the sidecar finds both when it runs again, the answer first

        async with sidecar_harness(respond_ok, respond_ok) as here:
            await warm(here)
            for server in here.servers.values():
                server.script = turn_away
            asks.connect(here.address)
            asks.send(request("gone"))
            await wait_until(lambda: any(server.requests for server in here.servers.values()))
            await wait_until(lambda: nothing_is_held(here))
            await asyncio.sleep(0.1)
            assert sum(len(server.requests) for server in here.servers.values()) == 1
            asks.close()

    asyncio.run(main())


def test_a_request_whose_turn_comes_late_is_not_sent_on_for_a_client_that_left(monkeypatch):
    """What has lain here waits for its turn, and its client may leave meanwhile."""
    monkeypatch.setattr("covetally.net.read_scheduler.READ_AT_ONCE_NS", -1)
    monkeypatch.setattr("covetally.net.client_connection.PEER_CHECK_VALID_NS", 0)

    async def main():
        async with sidecar_harness(respond_ok) as here:
            await warm(here)
            asks = client(here)
            due, found = here.frontend.read_scheduler.may_read_now, []

            def late(connection):
                found.append(due(connection))
                leave(asks, "end")  # after it was read, before its turn
                return found[-1]

            here.frontend.read_scheduler.may_read_now = late
            asks.send(request("gone"))
            await wait_until(lambda: found)
            assert found[0] is False
            await wait_until(lambda: nothing_is_held(here))
            await asyncio.sleep(0.05)
            assert not here.servers["s0"].requests

    asyncio.run(main())
