"""Clients that ask one sidecar as fast as it answers, on kept connections.

    python -m benchmarks.asker HOST PORT CONNECTIONS SECONDS

Prints one row of JSON: {"answers", "bad", "p50_ms", "p99_ms"}."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import sys
import time

from covetally.rig.wire import Message, Wire, request

ids = itertools.count()


async def ask(address: tuple[str, int], until: float, took: list[float], bad: list[int]) -> None:
    loop = asyncio.get_running_loop()
    done = asyncio.Event()
    got: list[Message] = []

    def message(_: Wire, what: Message) -> None:
        got.append(what)
        done.set()

    _, wire = await loop.create_connection(lambda: Wire(message, lambda *_: done.set()), *address)
    while time.monotonic() < until:
        headers = {"Host": "x", "X-Trace-Id": f"{os.getpid():x}-{next(ids):x}", "X-Qos": "module-lookup",
                   "X-Customer": "officina-brescia", "X-Expires-In": "0.9"}  # fmt: skip
        start = time.monotonic()
        done.clear()
        wire.write(request("GET", "/api?sid=m1", headers))
        await done.wait()
        if not got:
            bad.append(0)
            return
        if got.pop().status != 200:
            bad.append(1)
        took.append(time.monotonic() - start)
    wire.close()


async def main() -> None:
    address, connections, seconds = (sys.argv[1], int(sys.argv[2])), int(sys.argv[3]), float(sys.argv[4])
    took: list[float] = []
    bad: list[int] = []
    until = time.monotonic() + seconds
    await asyncio.gather(*(ask(address, until, took, bad) for _ in range(connections)))
    took.sort()
    print(json.dumps({
        "answers": len(took), "bad": len(bad), "p50_ms": round(took[len(took) // 2] * 1000, 2),
        "p99_ms": round(took[int(len(took) * 0.99)] * 1000, 2),
    }))  # fmt: skip


if __name__ == "__main__":
    asyncio.run(main())
