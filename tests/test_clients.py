"""Misbehaving clients get an error or their connection is closed; nothing that they send reaches a server."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from covetally.net import client_connection
from covetally.net.eviction import FIRST_REQUEST_GRACE_S
from covetally.net.http_message import MAX_FIELDS
from covetally.net.memory import MemoryAccount, MemoryKind
from covetally.net.request_validation import MAX_KEY_LENGTH
from covetally.net.recent_ids import CHARGED_AT_ONCE, ID_BYTES, MAY_HAVE_RUN_S, RecentIds
from tests.loopback import respond_ok, sidecar_harness, read_message, request, trace_ids, wait_until

HIDDEN = request("hidden")
SMUGGLED = b"0\r\n\r\n" + HIDDEN


@pytest.mark.parametrize(
    "name, data",
    [
        ("two framings", request(cls="pay", body=SMUGGLED, more="Transfer-Encoding: chunked\r\n")),
        ("no id", request(trace="")),
        ("two ids", request(more="X-Trace-Id: t2\r\n")),
        ("an id hidden by Connection", request(more="Connection: x-trace-id\r\n")),
        ("unknown class", request(cls="looks", method="GET")),
        ("two classes", request(more="X-Qos: pay\r\n")),
        ("no Idempotency-Key where the class requires it", request(cls="book")),
        ("deadline not numeric", request(expires="soon")),
        ("deadline NaN", request(expires="nan")),
        ("negative deadline", request(expires="-1")),
        ("infinite deadline", request(expires="1e400")),
        ("no deadline", request(expires="")),
        ("body under GET", request(body=b"abc", length="3")),
        ("negative length", request(cls="pay", length="-5")),
        ("huge length", request(cls="pay", length="60000000")),
        ("two different lengths", request(cls="pay", body=b"abc", more="Content-Length: 2\r\n")),
        (
            "invalid chunks",
            request(length=None, method="GET", more="Transfer-Encoding: chunked\r\n") + b"zz\r\n",
        ),
        ("two requests at a time", request("a") + request("b")),
        ("no Host", request().replace(b"Host: app\r\n", b"")),
        ("two Hosts", request(more="Host: b\r\n")),
        ("an unsupported early version", request().replace(b"HTTP/1.1", b"HTTP/0.9")),
        ("a later version", request().replace(b"HTTP/1.1", b"HTTP/2.0")),
        ("line endings without CR", request().replace(b"\r\n", b"\n")),
        ("a folded header", request(more="X-Props: a=1\r\n b=2\r\n")),
        ("whitespace before the colon", request(more="Content-Length : 0\r\n")),
        (
            "a transfer encoding inside chunks",
            request(length=None, method="GET", more="Transfer-Encoding: gzip, chunked\r\n") + b"0\r\n\r\n",
        ),
        ("HEAD", request(method="HEAD")),
        ("CONNECT", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"),
        ("binary noise", b"\x8e\xfb\r\n\r\n"),
        ("endless head", b"GET / HTTP/1.1\r\nX-Pad: " + b"p" * 40_000),
    ],
)
def test_an_invalid_request_is_rejected_and_not_forwarded(name, data):
    async def main():
        async with sidecar_harness(respond_ok) as harness:
            status = await harness.status(data)
            assert 400 <= status < 600, name
            assert not harness.servers["s0"].requests, "nothing of it may be forwarded"
            assert harness.sidecar._accepted == 0
            assert await harness.status(request("after")) == 200

    asyncio.run(main())


@pytest.mark.parametrize("fields, status", [(2_900, 431), (80, 400)])
def test_a_head_of_many_headers_with_a_duplicate_is_rejected_cheaply(fields, status):
    """The duplicate was found by counting each name: 40 ms for such a head, in which nobody else was served."""
    count, limit_s = 25, 0.01
    many = "".join(f"{number:x}:\r\n" for number in range(fields)) + "x-a:\r\nx-a:\r\n"

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            started_s = time.process_time()
            for number in range(count):
                assert await harness.status(request(f"t{number}", more=many)) == status
            assert time.process_time() - started_s < count * limit_s
            assert not harness.servers["s0"].requests

    asyncio.run(main())


@pytest.mark.parametrize("ending", [b"", b"\r\n"], ids=["head goes on", "whole head"])
def test_a_head_of_too_many_fields_is_rejected_before_it_is_complete(ending):
    """A field of five bytes costs hundreds as objects: heads that were still incomplete filled the memory."""

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            few = "".join(f"x-{number}: v\r\n" for number in range(MAX_FIELDS - 4))
            assert await harness.status(request("few", more=few)) == 200
            head = request("many", more="a:b\r\n" * MAX_FIELDS).removesuffix(b"\r\n")
            assert await harness.status(head + ending) == 431
            assert len(harness.servers["s0"].requests) == 1

    asyncio.run(main())


def test_a_chunked_body_over_the_limit_is_rejected():
    async def main():
        async with sidecar_harness(respond_ok) as harness:
            head = request(cls="pay", method="POST", more="Transfer-Encoding: chunked\r\n").replace(
                b"Content-Length: 0\r\n", b""
            )
            chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
            assert await harness.status(head + 3 * chunk) == 413
            await wait_until(lambda: not harness.frontend._clients)
            assert harness.frontend.memory.used == 0, "its memory is released"

    asyncio.run(main())


def test_bodies_beyond_the_memory_budget_are_rejected_at_once():
    async def main():
        async with sidecar_harness(respond_ok) as harness:
            memory = harness.frontend.memory
            memory.resize(800_000, 60_000)
            _, holder = await harness.connect()
            holder.write(request("h", cls="pay", body=b"x" * 30_000, length="31000"))
            await wait_until(lambda: memory.held[MemoryKind.INCOMPLETE] > 30_000)
            assert await harness.status(request("w", cls="pay", body=b"x" * 45_000, length="46000")) == 503
            holder.close()
            await wait_until(lambda: not harness.frontend._clients)
            assert memory.held[MemoryKind.INCOMPLETE] == 0
            assert await harness.status(request("v", cls="pay", body=b"x" * 40_000)) == 200

    asyncio.run(main())


@pytest.mark.parametrize(
    "part", [b"", b"GET /api HTTP/1.1\r\nX-Qos: lo", request(cls="pay", body=b"ab", length="9")]
)
def test_an_incomplete_request_ends_in_an_error_or_a_close(part, monkeypatch):
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.1)

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            status = await harness.status(part)
            assert status == (408 if part else 0)
            await wait_until(lambda: not harness.frontend._clients)

    asyncio.run(main())


def test_the_request_timeout_also_holds_for_later_requests_on_a_connection(monkeypatch):
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.1)

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            reader, writer = await harness.connect()
            writer.write(request("one"))
            await read_message(reader)
            writer.write(b"GET /a")
            assert b" 408 " in await read_message(reader)

    asyncio.run(main())


def test_an_idle_connection_is_closed_after_its_timeout(monkeypatch):
    monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.1)

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            reader, writer = await harness.connect()
            writer.write(request("one"))
            await read_message(reader)
            assert await reader.read() == b""

    asyncio.run(main())


def test_a_request_with_the_id_of_an_open_request_is_rejected():
    async def main():
        release = asyncio.Event()

        async def wait(server, received, reader, writer):
            await release.wait()
            await respond_ok(server, received, reader, writer)

        async with sidecar_harness(wait) as harness:
            reader, writer = await harness.connect()
            writer.write(request("same"))
            await wait_until(lambda: harness.servers["s0"].requests)
            assert await harness.status(request("same")) == 409
            release.set()
            assert (await read_message(reader)).endswith(b"for same")
            assert len(harness.servers["s0"].requests) == 1

    asyncio.run(main())


def test_recent_ids_are_forgotten_after_a_while():
    memory = MemoryAccount(1024 * 1024, 1024 * 1024)
    ids = RecentIds(1.0, memory)
    for now in range(10):
        assert all(ids.claim(b"%d/%d" % (now, i), float(now)) for i in range(50))
        assert not ids.claim(b"%d/7" % now, now + 0.5)
    assert memory.held[MemoryKind.IDS] <= (100 + CHARGED_AT_ONCE) * ID_BYTES


def test_the_id_of_a_request_that_may_have_run_is_remembered_long_after_its_deadline():
    ids = RecentIds(1.0, MemoryAccount(1024 * 1024, 1024 * 1024))
    assert ids.claim(b"ran", 0.0) and ids.claim(b"refused", 0.0)
    ids.remember(b"ran", 1.0)
    for now in range(2, int(MAY_HAVE_RUN_S)):
        assert not ids.claim(b"ran", float(now))
    assert ids.claim(b"refused", 50.0)
    assert ids.claim(b"ran", 3 * MAY_HAVE_RUN_S)


def test_the_oldest_ids_are_forgotten_when_there_is_no_memory_for_more():
    memory = MemoryAccount(400 * ID_BYTES * 8, 0)

    async def main():
        ids = RecentIds(1.0, memory)
        for number in range(2_000):
            now = number / 100
            assert ids.claim(b"%d" % number, now)
            ids.remember(b"%d" % number, now)
            assert not ids.claim(b"%d" % max(0, number - 50), now)
            assert memory.held[MemoryKind.IDS] <= 400 * ID_BYTES
        assert memory.refusals[MemoryKind.IDS] > 0

    asyncio.run(main())


@pytest.mark.parametrize("cls, runs", [("pay", 1), ("zoned", 1), ("look", 2)])
def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_again(cls, runs):
    """The id of a request that may have run was forgotten after twice the longest deadline."""
    more = "Idempotency-Key: k\r\n" if cls == "zoned" else ""

    async def hang(server, received, reader, writer):
        await reader.read()

    async def main():
        async with sidecar_harness(hang) as harness:
            server = harness.servers["s0"]
            _, writer = await harness.connect()
            writer.write(request("again", cls=cls, more=more))
            await wait_until(lambda: len(server.requests) == 1)
            writer.close()
            await wait_until(lambda: not harness.frontend._clients)
            await asyncio.sleep(2.2)  # the longest deadline is 1 s
            server.script = respond_ok
            status = await harness.status(request("again", cls=cls, more=more))
            assert (status, len(server.requests)) == ((409, 1) if runs == 1 else (200, 2))

    asyncio.run(main())


def test_long_keys_are_kept_as_their_hashes():
    """The balancer keeps thousands of keys: those of 14 kB took some 60 MB."""

    async def main():
        async with sidecar_harness(respond_ok, more={"familyInfo": {"warmKeys": True}}) as harness:
            for key in ("short", "k" * 14_000, "k" * 14_000 + "1", "%41" * 100):
                data = request(f"t{len(key)}").replace(b"sid=k ", b"sid=%s " % key.encode())
                assert await harness.status(data) == 200
            keys = list(harness.balancer.state.key_counts)
            assert len(keys) == 4 and keys[0] == "short"
            assert max(map(len, keys)) <= MAX_KEY_LENGTH

    asyncio.run(main())


def test_many_silent_connections_do_not_lock_out_other_clients():
    async def main():
        async with sidecar_harness(respond_ok, clients=5) as harness:
            silent = [await harness.connect() for _ in range(30)]
            assert await harness.status(request()) == 200
            assert len(harness.frontend._clients) <= 5
            ended = [reader for reader, _ in silent if reader.at_eof()]
            assert len(ended) >= 20
            for _, writer in silent:
                writer.close()

    asyncio.run(main())


def test_silent_connections_are_evicted_before_idle_ones():
    async def main():
        async with sidecar_harness(respond_ok, clients=4) as harness:
            reader, writer = await harness.connect()
            writer.write(request("one"))
            await read_message(reader)
            silent = [await harness.connect() for _ in range(20)]
            writer.write(request("two"))
            assert (await read_message(reader)).endswith(b"for two")
            for _, other in silent:
                other.close()

    asyncio.run(main())


def test_a_connection_with_an_unread_request_is_not_evicted():
    async def main():
        async with sidecar_harness(respond_ok) as harness:
            with socket.create_connection(harness.address) as sock:
                await wait_until(lambda: any(c.silent() for c in harness.frontend._eviction.fresh))
                (client,) = harness.frontend._eviction.fresh
                await asyncio.sleep(2 * FIRST_REQUEST_GRACE_S)  # past its grace period
                sock.send(request())  # only in the kernel: the event loop has not run since
                assert not client.silent()
                assert not harness.frontend._evict()

    asyncio.run(main())


def test_clients_that_do_not_close_their_side_hold_no_connections(monkeypatch):
    monkeypatch.setattr(client_connection, "LINGER_TIMEOUT_S", 600.0)

    async def main():
        new_trace_id = trace_ids()
        async with sidecar_harness(respond_ok, clients=3) as harness:
            writers = []
            for kind in ("close", "bad", "close", "bad") * 3:
                reader, writer = await harness.connect()
                writers.append(writer)
                more = "Connection: close\r\n" if kind == "close" else "X-Qos: look\r\n"
                writer.write(request(new_trace_id(), more=more))
                status = b" 200 " if kind == "close" else b" 400 "
                assert status in await read_message(reader)
            for writer in writers:
                writer.close()

    asyncio.run(main())


def test_the_longest_idle_connections_are_closed_when_too_many_are_idle():
    """Clients that sent one request and kept their connection held all connections until the idle timeout, so
    that other clients got none."""

    async def main():
        async with sidecar_harness(respond_ok, clients=40) as harness:
            new_trace_id = trace_ids()
            kept = [await harness.connect() for _ in range(15)]
            for reader, writer in kept:
                writer.write(request(new_trace_id()))
                assert (await read_message(reader)).startswith(b"HTTP/1.1 200")
            for reader, _ in kept[:5]:
                assert await reader.read() == b"", "closed long before the idle timeout"
            for reader, writer in kept[5:]:
                writer.write(request(new_trace_id()))
                assert (await read_message(reader)).startswith(b"HTTP/1.1 200")
            await wait_until(lambda: len(harness.frontend._clients) == 10)
            for _, writer in kept:
                writer.close()

    asyncio.run(main())
