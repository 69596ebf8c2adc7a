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
from tests.loopback import Place, answer, fine, place, read_message, request, until
from tests.support import MS

NEVER_RAN = answer(b"", b"503 Busy", b"X-Never-Ran: 1")
WAYS = ("end", "reset", "half")


def leave(sock: socket.socket, way: str) -> None:
    """As a client may: it closes, or resets, or ends its sending and reads on."""
    if way == "half":
        sock.shutdown(socket.SHUT_WR)
        return
    if way == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def client(here: Place) -> socket.socket:
    sock = socket.create_connection(here.address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def nothing_is_held(here: Place) -> bool:
    """Of requests, attempts, places in the queue and budgets."""
    state = here.balancer.state
    return not (
        here.sidecar._calls or state.calls or state.queue or state.attempts or here.frontend._clients
        or any(server.inflight for server in state.servers.values())
        or any(server.unsent for server in here.upstream._servers.values())
    )  # fmt: skip


async def warm(here: Place) -> None:
    """Have a connection at rest to each server, so that a request goes out in the moment it is submitted."""
    number = 0
    while not all(server.idle for server in here.upstream._servers.values()):
        names = [f"warm{number}-{i}" for i in range(4)]
        await asyncio.gather(*(here.status(request(name)) for name in names))
        number += 1
        await asyncio.sleep(0.01)
    for server in here.servers.values():
        server.got.clear()


async def hang(server, got, reader, writer):
    await asyncio.Event().wait()


@asynccontextmanager
async def slow_to_come_up(here: Place, name: str, tell: bool = True) -> AsyncIterator[list[bytes]]:
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
    if tell:
        here.tell(here.servers)
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
        async with place(hang) as here:
            first, trial, waits = client(here), client(here), client(here)  # its budget, and one call as a trial
            first.send(request("first"))
            trial.send(request("trial"))
            await until(lambda: len(here.servers["s0"].got) == 2)
            waits.send(request("waits"))
            await until(lambda: here.balancer.state.queue)
            leave(waits, way)
            await until(lambda: not here.balancer.state.queue)
            leave(first, "end")
            leave(trial, "end")
            await until(lambda: nothing_is_held(here))
            await asyncio.sleep(0.05)
            assert len(here.servers["s0"].got) == 2
            waits.close()

    asyncio.run(main())


@pytest.mark.parametrize("way", WAYS)
def test_while_its_connection_comes_up(way):
    limits = {"maxAttempts": 4, "connectTimeoutNs": 3_000 * MS}

    async def main():
        async with place(fine, limits=limits) as here:
            async with slow_to_come_up(here, "s0") as got:
                asks = client(here)
                asks.send(request("gone", expires="5"))
                await until(lambda: here.upstream.connections == 1)
                leave(asks, way)
                await until(lambda: nothing_is_held(here))
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
        async with place(fine) as here:
            assert await here.status(request("one")) == 200
            here.upstream.broke()
            asks = client(here)
            asks.send(request("gone"))
            await until(lambda: here.sidecar._calls)
            await asyncio.sleep(0.02)
            leave(asks, way)
            await until(lambda: nothing_is_held(here))
            await asyncio.sleep(0.4)
            assert len(here.servers["s0"].got) == 1
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

        async with place(turn_away, turn_away) as here:
            asks = client(here)
            asks.send(request("gone"))
            await until(lambda: any(server.got for server in here.servers.values()))
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
            await until(lambda: nothing_is_held(here))
            await asyncio.sleep(0.4)
            assert sum(len(server.got) for server in here.servers.values()) == 1
            asks.close()

    asyncio.run(main())


def test_bytes_behind_a_request_end_its_connection_after_the_answer():
    """They are no request, and none of them may be taken for the start of one."""

    async def main():
        release = asyncio.Event()

        async def wait(server, got, reader, writer):
            await release.wait()
            await fine(server, got, reader, writer)

        async with place(wait) as here:
            reader, writer = await here.connect()
            writer.write(request("kept"))
            await until(lambda: here.servers["s0"].got)
            writer.write(b"x" * 100_000 + request("hidden"))
            await writer.drain()
            release.set()
            got = await read_message(reader)
            assert got.endswith(b"for kept") and b"connection: close" in got.lower()
            assert await reader.read() == b""
            assert len(here.servers["s0"].got) == 1
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

        async with place(fine, fine) as here:
            await warm(here)
            for server in here.servers.values():
                server.script = turn_away
            asks.connect(here.address)
            asks.send(request("gone"))
            await until(lambda: any(server.got for server in here.servers.values()))
            await until(lambda: nothing_is_held(here))
            await asyncio.sleep(0.1)
            assert sum(len(server.got) for server in here.servers.values()) == 1
            asks.close()

    asyncio.run(main())


def test_a_request_whose_turn_comes_late_is_not_sent_on_for_a_client_that_left(monkeypatch):
    """What has lain here waits for its turn, and its client may leave meanwhile."""
    monkeypatch.setattr("covetally.net.turns.PROMPT_NS", -1)
    monkeypatch.setattr("covetally.net.client.LOOK_NS", 0)

    async def main():
        async with place(fine) as here:
            await warm(here)
            asks = client(here)
            due, found = here.frontend.turns.due, []

            def late(connection):
                found.append(due(connection))
                leave(asks, "end")  # after it was read, before its turn
                return found[-1]

            here.frontend.turns.due = late
            asks.send(request("gone"))
            await until(lambda: found)
            assert found[0] is False
            await until(lambda: nothing_is_held(here))
            await asyncio.sleep(0.05)
            assert not here.servers["s0"].got

    asyncio.run(main())
