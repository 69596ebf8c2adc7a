"""Links over real sockets: input is limited, errors are answered clearly, and no link delays another."""

from __future__ import annotations

import asyncio
import os
import stat
import struct
from contextlib import asynccontextmanager

import pytest

from covetally.control.protocol import encode
from covetally.fleet import links
from covetally.fleet.links import Links

HELLO = {
    "t": "hello", "versions": [1], "name": "i0", "boot": "b", "pid": 1, "version": "t", "labels": {},
    "revision": 0, "digest": "", "values": {},
}  # fmt: skip


class RecordingHandler:
    def __init__(self) -> None:
        self.messages, self.ended_links, self.links = [], [], []

    def admit(self, link, hello):
        if hello["name"] == "unwanted":
            return "not you"
        self.links.append(link)
        link.welcome()
        return None

    def received(self, link, message) -> None:
        self.messages.append((link.name, message["t"]))

    def ended(self, link, reason) -> None:
        self.ended_links.append((link.name, reason))


@asynccontextmanager
async def listening(tmp_path):
    handler = RecordingHandler()
    links_under_test = Links(handler)
    path = tmp_path / "s"
    await links_under_test.listen_unix(path)
    try:
        async with asyncio.timeout(20):
            yield handler, lambda: asyncio.open_unix_connection(path)
    finally:
        links_under_test.close()


def frame(message) -> bytes:
    return encode(message)


async def read_all(reader) -> bytes:
    try:
        return await reader.read()
    except ConnectionError:
        return b""


def test_only_the_user_of_the_agent_may_use_the_unix_socket(tmp_path):
    async def main():
        async with listening(tmp_path):
            assert stat.S_IMODE(os.stat(tmp_path / "s").st_mode) == 0o600

    asyncio.run(main())


@pytest.mark.parametrize(
    "data, answer",
    [
        (b"\xff\xff\xff\xff", b""),
        (b"GET / HTTP/1.1\r\n\r\n", b""),
        (frame({"t": "beat", "digest": "", "pending": "", "counts": {}, "state": ""}), b""),
        (frame(HELLO | {"versions": [99]}), b""),
        (frame(HELLO | {"name": ""}), b""),
        (frame(HELLO | {"name": "a/b"}), b""),
        (frame(HELLO | {"pid": "x"}), b""),
        (frame(HELLO | {"name": "unwanted"}), b"not you"),
    ],
    ids=["oversized", "http", "no hello", "no version", "no name", "a path", "a wrong type", "denied"],
)
def test_a_link_with_an_invalid_hello_is_closed_at_once(tmp_path, data, answer):
    async def main():
        async with listening(tmp_path) as (handler, connect):
            reader, writer = await connect()
            writer.write(data)
            assert answer in await read_all(reader)
            assert handler.messages == [] and handler.ended_links == []

    asyncio.run(main())


def test_a_link_with_an_incomplete_hello_is_closed_after_the_timeout(tmp_path, monkeypatch):
    monkeypatch.setattr(links, "HANDSHAKE_TIMEOUT_S", 0.2)

    async def main():
        async with listening(tmp_path) as (_, connect):
            reader, writer = await connect()
            writer.write(frame(HELLO)[:20])
            assert await read_all(reader) == b""

    asyncio.run(main())


def test_many_silent_links_do_not_keep_an_instance_from_connecting(tmp_path):
    async def main():
        async with listening(tmp_path) as (handler, connect):
            silent = [await connect() for _ in range(links.MAX_PENDING_LINKS + 200)]
            reader, writer = await connect()
            writer.write(frame(HELLO))
            assert b"welcome" in await reader.read(100)
            ended = [await asyncio.wait_for(read_all(r), 5) for r, _ in silent[:100]]
            assert ended == [b""] * 100, "the oldest of them are closed"
            for _, w in silent:
                w.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">I", 1 << 30),
        struct.pack(">I", 3) + b"{{{",
        frame({"t": "seen"}) * 2000,
    ],
    ids=["oversized", "no JSON", "too fast"],
)
def test_an_accepted_link_that_sends_invalid_data_is_closed_and_its_instance_reported(tmp_path, data):
    async def main():
        async with listening(tmp_path) as (handler, connect):
            other_reader, other = await connect()
            other.write(frame(HELLO | {"name": "good"}))
            reader, writer = await connect()
            writer.write(frame(HELLO))
            await reader.read(100)
            writer.write(data)
            await read_all(reader)
            while not handler.ended_links:
                await asyncio.sleep(0.01)
            assert handler.ended_links[0][0] == "i0" and "sent an invalid message" in handler.ended_links[0][1]
            other.write(frame({"t": "seen"}))
            while ("good", "seen") not in handler.messages:
                await asyncio.sleep(0.01)

    asyncio.run(main())


def test_a_link_that_does_not_read_is_closed(tmp_path):
    async def main():
        async with listening(tmp_path) as (handler, connect):
            _, writer = await connect()
            writer.write(frame(HELLO))
            while not handler.links:
                await asyncio.sleep(0.01)
            for _ in range(50):
                handler.links[0].send({"t": "apply", "x": "y" * 500_000})
            while not handler.ended_links:
                await asyncio.sleep(0.01)
            assert "does not read" in handler.ended_links[0][1]

    asyncio.run(main())
