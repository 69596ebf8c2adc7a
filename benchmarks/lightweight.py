"""Instances that are nothing but a link: they greet, tell heartbeats, take every revision, and dial again when
the link is lost, by the sidecar's own rule for pauses. Many in one process.

    python -m benchmarks.lightweight SOCKET FIRST COUNT SEED

Prints one row of JSON for each time that a link is up again: seconds since it was lost."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import resource
import sys
import time

from covetally.control.protocol import Decoder, digest, encode
from covetally.control.reconnect import ReconnectBackoff

HEARTBEAT_S = 5.0
COUNTS = {name: [0, 0, 0, 0] for name in ("module-lookup", "calib-update", "batch-checkin", "loan-transfer")}


class Light:
    """One of them."""

    def __init__(self, path: str, number: int, rng: random.Random) -> None:
        self.path, self.name, self.rng = path, f"l{number:05}", rng
        self.values, self.revision = {}, 0
        self.silent = False  # when it is asked
        self.redial = ReconnectBackoff(0.5, 30.0)
        self.lost_at = 0.0

    async def run(self) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self.link()
            if not self.lost_at:
                self.lost_at = time.monotonic()
                self.redial.record_uptime(60.0)
            await asyncio.sleep(self.redial.next_delay(self.rng.random()))

    async def link(self) -> None:
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_unix_connection(self.path)
        beats = None
        try:
            writer.write(encode({
                "t": "hello", "versions": [1], "name": self.name, "boot": self.name, "pid": 1, "version": "light",
                "labels": {"zone": "abc"[hash(self.name) % 3]}, "revision": self.revision,
                "digest": digest(self.values), "values": self.values, "pending": "", "keeps": True,
            }))  # fmt: skip
            decoder = Decoder()
            while data := await reader.read(65536):
                for message in decoder.feed(data):
                    if message["t"] == "welcome":
                        if self.lost_at:
                            print(json.dumps(round(time.monotonic() - self.lost_at, 3)), flush=True)
                            self.lost_at = 0.0
                        beats = asyncio.create_task(self.beat(writer))
                    elif message["t"] == "ask" and not self.silent:
                        data = {"problems": [], "restart": []}
                        writer.write(encode({"t": "answer", "id": message["id"], "data": data}))
                    elif message["t"] == "apply":
                        self.values, self.revision = message["values"], message["revision"]
                        writer.write(encode({
                            "t": "ack", "revision": self.revision, "digest": message["digest"], "outcome": "took",
                            "held": digest(self.values), "errors": [], "keys": [], "keeps": True,
                        }))  # fmt: skip
        finally:
            if beats is not None:
                beats.cancel()
            writer.transport.abort()

    async def beat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.1))
            writer.write(encode({
                "t": "beat", "digest": digest(self.values), "pending": "", "counts": COUNTS, "state": "serving",
                "open": 0, "lag_ms": 0.5,
            }))  # fmt: skip


async def main() -> None:
    path, first, count, seed, silent = sys.argv[1], *map(int, sys.argv[2:6])
    rng = random.Random(seed)
    lights = [Light(path, first + i, rng) for i in range(count)]
    for light in lights[::silent] if silent else []:
        light.silent = True
    async with asyncio.TaskGroup() as group:
        for light in lights:
            group.create_task(light.run())


if __name__ == "__main__":
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    asyncio.run(main())
