"""Clients that misbehave get an error or a close, and nothing of what they send reaches a server."""

from __future__ import annotations

import asyncio
import socket

import pytest

from covetally.net import client_connection
from covetally.net.eviction import FIRST_REQUEST_GRACE_S
from covetally.net.recent_ids import RecentIds
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
        ("keyed without its key", request(cls="book")),
        ("deadline in words", request(expires="soon")),
        ("deadline not a number", request(expires="nan")),
        ("deadline below 0", request(expires="-1")),
        ("deadline without end", request(expires="1e400")),
        ("no deadline", request(expires="")),
        ("body under GET", request(body=b"abc", length="3")),
        ("negative length", request(cls="pay", length="-5")),
        ("huge length", request(cls="pay", length="60000000")),
        ("lengths that differ", request(cls="pay", body=b"abc", more="Content-Length: 2\r\n")),
        (
            "chunks that are none",
            request(length=None, method="GET", more="Transfer-Encoding: chunked\r\n") + b"zz\r\n",
        ),
        ("two at a time", request("a") + request("b")),
        ("no Host", request().replace(b"Host: app\r\n", b"")),
        ("two Hosts", request(more="Host: b\r\n")),
        ("a version whose messages end otherwise", request().replace(b"HTTP/1.1", b"HTTP/0.9")),
        ("a later version", request().replace(b"HTTP/1.1", b"HTTP/2.0")),
        ("lines that end in LF alone", request().replace(b"\r\n", b"\n")),
        ("a folded header", request(more="X-Props: a=1\r\n b=2\r\n")),
        ("white space before the colon", request(more="Content-Length : 0\r\n")),
        (
            "an encoding within chunks",
            request(length=None, method="GET", more="Transfer-Encoding: gzip, chunked\r\n") + b"0\r\n\r\n",
        ),
        ("HEAD", request(method="HEAD")),
        ("CONNECT", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"),
        ("noise", b"\x8e\xfb\r\n\r\n"),
        ("endless head", b"GET / HTTP/1.1\r\nX-Pad: " + b"p" * 40_000),
    ],
)
def test_what_servers_cannot_use_is_turned_away(name, data):
    async def main():
        async with sidecar_harness(respond_ok) as here:
            status = await here.status(data)
            assert 400 <= status < 600, name
            assert not here.servers["s0"].requests, "nothing of it may be passed on"
            assert here.sidecar._taken == 0
            assert await here.status(request("after")) == 200

    asyncio.run(main())


def test_a_chunked_body_past_the_limit_is_turned_away():
    async def main():
        async with sidecar_harness(respond_ok) as here:
            head = request(cls="pay", method="POST", more="Transfer-Encoding: chunked\r\n").replace(
                b"Content-Length: 0\r\n", b""
            )
            chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
            assert await here.status(head + 3 * chunk) == 413
            assert here.frontend.budget.free == 4 * 1024 * 1024, "its memory is given back"

    asyncio.run(main())


def test_bodies_beyond_the_pool_are_refused_and_do_not_wait():
    async def main():
        async with sidecar_harness(respond_ok) as here:
            here.frontend.budget.free = 50_000
            _, holder = await here.connect()
            holder.write(request("h", cls="pay", body=b"x" * 40_000, length="41000"))
            await wait_until(lambda: here.frontend.budget.free < 20_000)
            assert await here.status(request("w", cls="pay", body=b"x" * 40_000)) == 503
            holder.close()
            await wait_until(lambda: here.frontend.budget.free == 50_000)
            assert await here.status(request("v", cls="pay", body=b"x" * 40_000)) == 200

    asyncio.run(main())


@pytest.mark.parametrize(
    "part", [b"", b"GET /api HTTP/1.1\r\nX-Qos: lo", request(cls="pay", body=b"ab", length="9")]
)
def test_half_a_request_ends_in_an_error_or_a_close(part, monkeypatch):
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.1)

    async def main():
        async with sidecar_harness(respond_ok) as here:
            status = await here.status(part)
            assert status == (408 if part else 0)
            await wait_until(lambda: not here.frontend._clients)

    asyncio.run(main())


def test_a_kept_connection_has_as_long_for_its_next_request(monkeypatch):
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.1)

    async def main():
        async with sidecar_harness(respond_ok) as here:
            reader, writer = await here.connect()
            writer.write(request("one"))
            await read_message(reader)
            writer.write(b"GET /a")
            assert b" 408 " in await read_message(reader)

    asyncio.run(main())


def test_a_resting_connection_is_closed_after_a_while(monkeypatch):
    monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.1)

    async def main():
        async with sidecar_harness(respond_ok) as here:
            reader, writer = await here.connect()
            writer.write(request("one"))
            await read_message(reader)
            assert await reader.read() == b""

    asyncio.run(main())


def test_the_id_of_an_open_request_is_taken():
    async def main():
        release = asyncio.Event()

        async def wait(server, got, reader, writer):
            await release.wait()
            await respond_ok(server, got, reader, writer)

        async with sidecar_harness(wait) as here:
            reader, writer = await here.connect()
            writer.write(request("same"))
            await wait_until(lambda: here.servers["s0"].requests)
            assert await here.status(request("same")) == 409
            release.set()
            assert (await read_message(reader)).endswith(b"for same")
            assert len(here.servers["s0"].requests) == 1

    asyncio.run(main())


def test_ids_are_not_kept_for_good():
    ids = RecentIds(1.0)
    for now in range(10):
        assert all(ids.claim(b"%d/%d" % (now, i), float(now)) for i in range(50))
        assert not ids.claim(b"%d/7" % now, now + 0.5)
    assert len(ids._new | ids._old) <= 100


def test_a_crowd_that_says_nothing_does_not_keep_others_out():
    async def main():
        async with sidecar_harness(respond_ok, clients=5) as here:
            crowd = [await here.connect() for _ in range(30)]
            assert await here.status(request()) == 200
            assert len(here.frontend._clients) <= 5
            ended = [reader for reader, _ in crowd if reader.at_eof()]
            assert len(ended) >= 20
            for _, writer in crowd:
                writer.close()

    asyncio.run(main())


def test_room_is_made_by_who_says_nothing_before_who_has_been_served():
    async def main():
        async with sidecar_harness(respond_ok, clients=4) as here:
            reader, writer = await here.connect()
            writer.write(request("one"))
            await read_message(reader)
            crowd = [await here.connect() for _ in range(20)]
            writer.write(request("two"))
            assert (await read_message(reader)).endswith(b"for two")
            for _, other in crowd:
                other.close()

    asyncio.run(main())


def test_a_connection_whose_request_waits_unread_is_not_put_out():
    async def main():
        async with sidecar_harness(respond_ok) as here:
            with socket.create_connection(here.address) as sock:
                await wait_until(lambda: any(c.silent() for c in here.frontend._eviction.fresh))
                (client,) = here.frontend._eviction.fresh
                await asyncio.sleep(2 * FIRST_REQUEST_GRACE_S)  # by its age it may go
                sock.send(request())  # in the kernel: the loop has not run since
                assert not client.silent()
                assert not here.frontend._evict()

    asyncio.run(main())


def test_clients_that_leave_the_closing_to_us_hold_no_places(monkeypatch):
    monkeypatch.setattr(client_connection, "LINGER_TIMEOUT_S", 600.0)

    async def main():
        new = trace_ids()
        async with sidecar_harness(respond_ok, clients=3) as here:
            kept = []
            for ending in ("close", "bad", "close", "bad") * 3:
                reader, writer = await here.connect()
                kept.append(writer)
                more = "Connection: close\r\n" if ending == "close" else "X-Qos: look\r\n"
                writer.write(request(new(), more=more))
                status = b" 200 " if ending == "close" else b" 400 "
                assert status in await read_message(reader)
            for writer in kept:
                writer.close()

    asyncio.run(main())


def test_of_many_that_ask_once_and_keep_their_connection_those_that_rest_longest_go():
    """They had all connections there are, each for seconds of rest, and nobody else got one."""

    async def main():
        async with sidecar_harness(respond_ok, clients=40) as here:
            trace = trace_ids()
            kept = [await here.connect() for _ in range(15)]
            for reader, writer in kept:
                writer.write(request(trace()))
                assert (await read_message(reader)).startswith(b"HTTP/1.1 200")
            for reader, _ in kept[:5]:
                assert await reader.read() == b"", "closed, long before it had rested its time"
            for reader, writer in kept[5:]:
                writer.write(request(trace()))
                assert (await read_message(reader)).startswith(b"HTTP/1.1 200")
            await wait_until(lambda: len(here.frontend._clients) == 10)
            for _, writer in kept:
                writer.close()

    asyncio.run(main())
