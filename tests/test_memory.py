"""Tests of the account of what peers make a process hold, and of what is closed when it is full."""

from __future__ import annotations

import asyncio
import gc
import itertools
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.net.discovery import Discovery
from covetally.net.memory import (
    CONNECTION_BYTES,
    MIN_ACCOUNT_BYTES,
    SMALL_BYTES,
    MemoryAccount,
    MemoryExhausted,
    MemoryKind,
    MemoryReservation,
    account_bytes,
)
from covetally.net.resident_memory import GIVE_BACK_BYTES, FreeMemory, resident_bytes
from tests.loopback import (
    ScriptedServer,
    read_message,
    request,
    respond_ok,
    response,
    sidecar_harness,
    wait_until,
)

KIB = 1024
MIB = 1024 * 1024
SIZE = 1_000 * KIB


def run(test) -> None:
    """Run a test inside an event loop, whose clock limits how often a refusal is logged."""

    async def main():
        test()

    asyncio.run(main())


@given(
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from(MemoryKind), st.integers(0, 400 * KIB)), max_size=40)
)
def test_the_account_is_the_sum_of_its_holders_and_never_over_its_size(steps):
    def play():
        account = MemoryAccount(SIZE, SIZE)
        holders = [MemoryReservation(account) for _ in range(6)]
        for number, kind, size in steps:
            before = holders[number].kind, holders[number].size
            try:
                holders[number].resize(kind, size)
            except MemoryExhausted:
                assert (holders[number].kind, holders[number].size) == before
            assert account.used == sum(holder.size for holder in holders) <= SIZE
            assert account.used == sum(account.held.values()) <= account.peak
        for holder in holders:
            holder.release()
        assert account.used == 0 and not any(account.held.values())

    run(play)


def test_large_requests_leave_room_for_small_holders():
    def play():
        account = MemoryAccount(SIZE, SIZE)
        large = [MemoryReservation(account) for _ in range(10)]
        for kind, share in ((MemoryKind.REQUEST, 0.75), (MemoryKind.INCOMPLETE, 0.5)):
            with pytest.raises(MemoryExhausted):
                for holder in large:
                    holder.resize(kind, 100 * KIB)
            assert SIZE * (share - 0.1) <= account.held[kind] <= SIZE * share
            MemoryReservation(account).resize(kind, SMALL_BYTES)
            for holder in large:
                holder.release()
            assert account.refusals[kind] == 1

    run(play)


def test_room_is_made_only_where_that_helps():
    """Requests that have reached their share are refused; what is incomplete is not closed for them."""

    def play():
        account = MemoryAccount(SIZE, SIZE)
        asked = []
        account.reclaim = lambda requester, kind, size: asked.append(kind) or False
        MemoryReservation(account).resize(MemoryKind.REQUEST, 700 * KIB)
        with pytest.raises(MemoryExhausted):
            MemoryReservation(account).resize(MemoryKind.REQUEST, 100 * KIB)
        assert asked == []
        with pytest.raises(MemoryExhausted):
            MemoryReservation(account).resize(MemoryKind.RESPONSE, 400 * KIB)
        assert asked == [MemoryKind.RESPONSE]

    run(play)


def test_a_smaller_account_admits_nothing_new_until_it_fits():
    def play():
        account = MemoryAccount(SIZE, SIZE)
        first, second = MemoryReservation(account), MemoryReservation(account)
        first.resize(MemoryKind.RESPONSE, 600 * KIB)
        account.resize(500 * KIB, SIZE)
        with pytest.raises(MemoryExhausted):
            second.resize(MemoryKind.CONNECTION, 1)
        first.resize(MemoryKind.RESPONSE, 550 * KIB)
        first.release()
        second.resize(MemoryKind.CONNECTION, CONNECTION_BYTES)

    run(play)


def test_the_account_leaves_what_the_process_needs_at_rest():
    assert 0 < account_bytes(64 * MIB, 24 * MIB) < 40 * MIB
    assert account_bytes(16 * MIB, 24 * MIB) == MIN_ACCOUNT_BYTES


def test_memory_that_peers_release_is_given_back_to_the_system():
    def play():
        account = MemoryAccount(200 * MIB, SIZE)
        free_memory = FreeMemory(account)
        holder = MemoryReservation(account)
        before = resident_bytes()
        blocks = [bytes(40_000) for _ in range(1_500)]
        keeper = bytes(1_000)  # at the end of the heap
        holder.resize(MemoryKind.RESPONSE, sum(map(len, blocks)))
        held = resident_bytes()
        assert held > before + 40 * MIB
        blocks.clear()
        free_memory.check()
        assert account.recent_peak > GIVE_BACK_BYTES, "nothing was released yet"
        holder.release()
        free_memory.check()
        assert resident_bytes() < before + 10 * MIB, len(keeper)

    gc.collect()
    run(play)


# --- on sockets ---------------------------------------------------------------------------------


def test_the_largest_incomplete_request_is_rejected_when_a_usual_one_needs_memory():
    async def main():
        async with sidecar_harness(respond_ok) as harness:
            memory = harness.frontend.memory
            readers = []
            for size in (10_000, 30_000, 20_000):
                reader, writer = await harness.connect()
                writer.write(request(f"h{size}", cls="pay", body=b"x" * size, length="60000"))
                readers.append((size, reader, writer))
                await wait_until(lambda size=size: memory.used > size)
            await wait_until(lambda: memory.held[MemoryKind.INCOMPLETE] > 60_000)
            memory.resize(memory.used + 1_000, SIZE)
            assert await harness.status(request("usual")) == 200
            assert b" 503 " in await read_message(readers[1][1])
            assert memory.reclaimed == 1 and not memory.refusals
            for _, _, writer in readers:
                writer.close()

    asyncio.run(main())


def test_a_response_without_memory_fails_and_its_server_is_not_blamed():
    async def large(server, received, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 20_000)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(b"x" * 40_000)

    async def main():
        async with sidecar_harness(large) as harness:
            harness.frontend.memory.resize(40 * KIB, SIZE)
            assert await harness.status(request("a", cls="pay")) == 502
            await wait_until(lambda: not harness.frontend._clients)
            assert harness.frontend.memory.refusals[MemoryKind.RESPONSE] == 1
            assert harness.frontend.memory.used == harness.frontend.memory.held[MemoryKind.IDS]
            harness.frontend.memory.resize(SIZE, SIZE)
            assert await harness.status(request("b", cls="pay")) == 200

    asyncio.run(main())


def test_a_client_that_leaves_its_response_unread_is_closed_when_memory_is_needed():
    async def large(server, received, reader, writer):
        writer.write(response(b"x" * 60_000))

    async def main():
        async with sidecar_harness(large) as harness:
            memory = harness.frontend.memory
            loop = asyncio.get_running_loop()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.setblocking(False)
            await loop.sock_connect(sock, harness.address)
            await wait_until(lambda: harness.frontend.connections == 1)
            client = next(iter(harness.frontend._clients))
            client.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            await loop.sock_sendall(sock, request("unread"))
            await wait_until(lambda: memory.held[MemoryKind.UNSENT] > 10_000)
            memory.resize(memory.used + 2_000, SIZE)
            await asyncio.sleep(0.6)
            assert await harness.status(request("usual")) == 200
            assert memory.reclaimed == 1
            assert memory.held[MemoryKind.UNSENT] == 0
            sock.close()

    asyncio.run(main())


def test_a_server_list_without_end_takes_no_more_than_the_account():
    """Up to 8 MB of a list were read whatever the limit, which take some 50 MB when they are parsed."""
    entry = b'{"instanceId":"s%d","hostPort":"10.0.0.1:80","zone":"a","lifecycle":"active","weight":1.0},'
    sane = b'{"generation":5,"reset":true,"instances":[' + entry[:-1] % 1 + b"]}"

    async def endless(server, received, reader, writer):
        if len(server.requests) > 1:
            writer.write(response(sane) if len(server.requests) == 2 else b"")
            return
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n{"generation":5,"reset":true,"instances":[')
        for number in itertools.count():
            writer.write(b"".join(entry % (100 * number + each) for each in range(100)))
            await writer.drain()

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            memory = harness.frontend.memory
            memory.resize(SIZE, SIZE)
            server = ScriptedServer(endless)
            await server.start()
            discovery = Discovery(harness.balancer.state.settings, server.address, memory)
            updates = []
            discovery.on_update, discovery.on_failure = updates.append, lambda: None
            discovery.start()
            await wait_until(lambda: any(update.full for update in updates))
            assert memory.refusals[MemoryKind.LIST] == 1 and SIZE / 2 < memory.peak <= SIZE
            assert await harness.status(request("usual")) == 200
            discovery.stop()
            assert memory.held[MemoryKind.LIST] == 0
            server.stop()

    asyncio.run(main())


def test_connections_wait_in_the_backlog_while_there_is_no_memory_for_them():
    release = asyncio.Event()

    async def hang(server, received, reader, writer):
        await release.wait()
        await respond_ok(server, received, reader, writer)

    async def main():
        async with sidecar_harness(hang) as harness:
            memory = harness.frontend.memory
            held = asyncio.create_task(harness.status(request("held")))
            await wait_until(lambda: harness.sidecar.open_requests == 1)
            memory.resize(memory.used + CONNECTION_BYTES // 2, SIZE)
            waiting = asyncio.create_task(harness.status(request("waits")))
            await asyncio.sleep(0.1)
            assert harness.frontend.connections == 1 and not waiting.done()
            memory.resize(SIZE, SIZE)
            release.set()
            assert await held == 200 and await waiting == 200

    asyncio.run(main())
