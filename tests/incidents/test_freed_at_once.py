"""What a closed connection held is freed at once, and not when the garbage collector comes.

Between two runs of the collector thousands of connections can be accepted and refused, each with its input.
"""

from __future__ import annotations

import asyncio
import gc
import logging
from collections import Counter
from contextlib import asynccontextmanager

import httptools
import pytest

from covetally.net.attempt import Attempt
from covetally.net.client_connection import ClientConnection
from covetally.net.http_message import MessageParser
from covetally.net.server_connection import ServerConnection
from covetally.net.stream import Stream
from tests.loopback import request, respond_ok, response, sidecar_harness, wait_until

COUNTED = (
    ClientConnection, Stream, ServerConnection, MessageParser, Attempt,
    httptools.HttpRequestParser, httptools.HttpResponseParser,
)  # fmt: skip
ROUNDS = 20


def alive() -> Counter[str]:
    """The number of objects of each counted type that are not freed."""
    return Counter(type(found).__name__ for found in gc.get_objects() if type(found) in COUNTED)


@asynccontextmanager
async def all_freed(harness, settle_s: float):
    """Check that nothing of the connections made meanwhile is alive once they are closed, with the collector
    off."""
    await wait_until(lambda: not harness.frontend._clients)
    gc.collect()
    gc.disable()
    try:
        before = alive()
        yield
        await wait_until(lambda: not harness.frontend._clients)
        await wait_until(lambda: not harness.sidecar.open_requests)
        await asyncio.sleep(settle_s)
        assert not {name: count for name, count in (alive() - before).items() if count > 3}
    finally:
        gc.enable()


HEAD = request("h", cls="pay", body=b"ab", length="9")
CLIENTS = {
    "served": request("a"),
    "served with a body": request("a", cls="pay", body=b"x" * 30_000),
    "half a head": b"GET /api HTTP/1.1\r\nX-Qos: lo",
    "many fields": b"GET /api HTTP/1.1\r\n" + b"a:b\r\n" * 2_000,
    "head too long": b"GET / HTTP/1.1\r\nX-Pad: " + b"p" * 40_000,
    "half a body": HEAD,
    "half a large body": request("h", cls="pay", body=b"x" * 50_000, length="60000"),
    "body too long": request("h", cls="pay", body=b"x" * 50_000, length="66000"),
    "noise": b"\x8e\xfb\r\n\r\n",
    "not valid": request("a", cls="unknown"),
    "two at once": request("a") + request("b"),
    "bad version": request("a").replace(b"HTTP/1.1", b"HTTP/3.1"),
    "bad chunk": request("c", cls="pay", method="POST", more="Transfer-Encoding: chunked\r\n").replace(
        b"Content-Length: 0\r\n", b""
    )
    + b"5\r\nabcde\r\nzz\r\n",
}


async def send_and_leave(harness, data: bytes, wait: bool) -> None:
    reader, writer = await harness.connect()
    writer.write(data)
    if wait:
        await asyncio.wait([asyncio.ensure_future(reader.read(100))], timeout=0.05)
    else:
        await asyncio.sleep(0.01)
    writer.close()


@pytest.mark.parametrize("wait", [True, False], ids=["answered", "left at once"])
@pytest.mark.parametrize("kind", CLIENTS)
def test_a_closed_client_connection_is_freed_at_once(kind, wait):
    async def main():
        async with sidecar_harness(respond_ok) as harness:
            assert await harness.status(request("before")) == 200
            async with all_freed(harness, 0.01):
                for number in range(ROUNDS):
                    await send_and_leave(harness, CLIENTS[kind].replace(b": a\r\n", b": a%d\r\n" % number), wait)

    asyncio.run(main())


async def answer_noise(server, received, reader, writer):
    writer.write(b"\x00\x01 noise\r\n\r\n" * 100)


async def answer_endless_head(server, received, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 4_000)


async def answer_too_long(server, received, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 60_000)


async def answer_surplus(server, received, reader, writer):
    await respond_ok(server, received, reader, writer)
    writer.write(b"surplus" * 1_000)


async def answer_error(server, received, reader, writer):
    writer.write(response(b"x" * 20_000, b"500 Oops"))


async def reset(server, received, reader, writer):
    writer.transport.abort()


async def break_off(server, received, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n" + b"x" * 20_000)
    await writer.drain()
    writer.transport.abort()


@pytest.mark.parametrize(
    "script",
    [
        answer_noise, answer_endless_head, answer_too_long, answer_surplus, answer_error, reset, break_off,
    ],
)  # fmt: skip
def test_a_closed_server_connection_is_freed_at_once(script, caplog):
    caplog.set_level(logging.ERROR)  # it keeps records with their exceptions

    async def main():
        async with sidecar_harness(script) as harness:
            await harness.status(request("before", cls="pay"))
            async with all_freed(harness, 0.05):
                for number in range(ROUNDS):
                    await harness.status(request(f"t{number}", cls="pay"))

    asyncio.run(main())
