"""Links over real sockets: whatever comes is bounded, answered clearly, and holds up nobody else."""

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


class Owner:
    def __init__(self) -> None:
        self.got, self.gone, self.links = [], [], []

    def admit(self, link, hello):
        if hello["name"] == "unwanted":
            return "not you"
        self.links.append(link)
        link.welcome()
        return None

    def received(self, link, message) -> None:
        self.got.append((link.name, message["t"]))

    def ended(self, link, reason) -> None:
        self.gone.append((link.name, reason))


@asynccontextmanager
async def listening(tmp_path):
    owner = Owner()
    here = Links(owner)
    path = tmp_path / "s"
    await here.listen_unix(path)
    try:
        async with asyncio.timeout(20):
            yield owner, lambda: asyncio.open_unix_connection(path)
    finally:
        here.close()


def frame(message) -> bytes:
    return encode(message)


async def read_all(reader) -> bytes:
    try:
        return await reader.read()
    except ConnectionError:
        return b""


def test_the_socket_is_its_owner_s_alone(tmp_path):
    async def main():
        async with listening(tmp_path):
            assert stat.S_IMODE(os.stat(tmp_path / "s").st_mode) == 0o600

    asyncio.run(main())


@pytest.mark.parametrize(
    "data, said",
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
def test_who_does_not_greet_as_it_should_is_ended_at_once(tmp_path, data, said):
    async def main():
        async with listening(tmp_path) as (owner, dial):
            reader, writer = await dial()
            writer.write(data)
            assert said in await read_all(reader)
            assert owner.got == [] and owner.gone == []

    asyncio.run(main())


def test_who_says_half_a_hello_is_ended_in_time(tmp_path, monkeypatch):
    monkeypatch.setattr(links, "HANDSHAKE_TIMEOUT_S", 0.2)

    async def main():
        async with listening(tmp_path) as (_, dial):
            reader, writer = await dial()
            writer.write(frame(HELLO)[:20])
            assert await read_all(reader) == b""

    asyncio.run(main())


def test_a_thousand_and_more_that_say_nothing_keep_nobody_out(tmp_path):
    async def main():
        async with listening(tmp_path) as (owner, dial):
            silent = [await dial() for _ in range(links.MAX_SILENT + 200)]
            reader, writer = await dial()
            writer.write(frame(HELLO))
            assert b"welcome" in await reader.read(100)
            ended = [await asyncio.wait_for(read_all(r), 5) for r, _ in silent[:100]]
            assert ended == [b""] * 100, "the oldest of them went"
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
def test_one_that_was_let_in_and_sends_what_it_must_not_is_ended_and_named(tmp_path, data):
    async def main():
        async with listening(tmp_path) as (owner, dial):
            other_reader, other = await dial()
            other.write(frame(HELLO | {"name": "good"}))
            reader, writer = await dial()
            writer.write(frame(HELLO))
            await reader.read(100)
            writer.write(data)
            await read_all(reader)
            while not owner.gone:
                await asyncio.sleep(0.01)
            assert owner.gone[0][0] == "i0" and "cannot be read" in owner.gone[0][1]
            other.write(frame({"t": "seen"}))
            while ("good", "seen") not in owner.got:
                await asyncio.sleep(0.01)

    asyncio.run(main())


def test_one_that_does_not_read_is_ended_and_holds_up_nobody(tmp_path):
    async def main():
        async with listening(tmp_path) as (owner, dial):
            _, writer = await dial()
            writer.write(frame(HELLO))
            while not owner.links:
                await asyncio.sleep(0.01)
            for _ in range(50):
                owner.links[0].send({"t": "apply", "x": "y" * 500_000})
            while not owner.gone:
                await asyncio.sleep(0.01)
            assert "does not read" in owner.gone[0][1]

    asyncio.run(main())
