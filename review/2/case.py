"""Case 2: clients stop in the middle of a request and stay, and others' requests are answered far too late."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parents[2]), str(Path(__file__).resolve().parents[1])]

import standins  # noqa: E402

SERVERS, SIDECARS, SOCKETS = 6, 2, 256
STOPPING = 150  # clients that stop in the middle of a request, of one sidecar, in each burst
BURSTS_AT_S, ENDS_AT_S = (3.0, 10.0), 16.0
LOADS = 4  # usual requests at once, at most, at a sidecar
LATEST_S = 0.5 + 0.05  # after a request's time: up to then it only earns nothing
TRY_SHARE = 0.6  # of the class's give-up time, after which a try is given up
CLASSES = (("module-lookup", 1.0, 0, False), ("loan-transfer", 1.2, 300, False), ("calib-update", 1.5, 0, False))
HALF = b"POST /api?sid=5f3a HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: "


async def play(record: standins.Record, folder: Path) -> tuple[int, str]:
    discovery = standins.Discovery(record)
    await discovery.start()
    servers = [standins.Server(record, f"s-{n}", n // 3, n) for n in range(SERVERS)]
    for server in servers:
        await server.start()
        discovery.entries[server.name] = server.entry
    sidecars = []
    stopped: list[float] = []
    try:
        for n in range(SIDECARS):
            config = standins.sidecar_config(n, SIDECARS)
            config["limits"]["sockets"] = SOCKETS
            sidecars.append(standins.Sidecar(record, folder, f"n{n}", discovery.address, config))
        for sidecar in sidecars:
            if not await sidecar.ready():
                return standins.NOT_RUN, f"{sidecar.name} is not ready"
        clients = [standins.Client(record, sidecar, LATEST_S) for sidecar in sidecars]
        work = [send_all(client) for client in clients for _ in range(LOADS)]
        if standins.TROUBLE:
            work += [
                stop_halfway(record, sidecars[0], at, stopped) for at in BURSTS_AT_S for _ in range(STOPPING)
            ]
        await asyncio.gather(*work)
        for client in clients:
            client.close()
    finally:
        for sidecar in sidecars:
            await sidecar.end()
    return judge(clients, stopped)


async def send_all(client: standins.Client) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + ENDS_AT_S
    while loop.time() < end:
        cls, deadline_s, size, key = random.choice(CLASSES)
        await client.send(cls, TRY_SHARE * deadline_s, size, key)
        await asyncio.sleep(random.uniform(0.1, 0.3))


async def stop_halfway(
    record: standins.Record, sidecar: standins.Sidecar, at_s: float, stopped: list[float]
) -> None:
    """Connect, send half of a head, and stay until the sidecar answers or closes; notes how long that took."""
    await asyncio.sleep(at_s)
    began = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
    writer.write(HALF)
    with contextlib.suppress(ConnectionError, TimeoutError):
        await asyncio.wait_for(reader.read(1), 10.0)
    stopped.append(time.monotonic() - began)
    record.write("stopping", f"has an answer or a close after {stopped[-1]:.2f} s")
    writer.close()


def judge(clients: list[standins.Client], stopped: list[float]) -> tuple[int, str]:
    lost = [name for client in clients for name in client.unanswered]
    counts = Counter(status for client in clients for status in client.answers.values())
    text = f"of {counts.total()} usual requests {len(lost)} had neither an answer nor a close {LATEST_S} s after "
    text += f"their time; answers {dict(counts)}"
    if stopped:
        late = sum(1 for seconds in stopped if seconds > 3.0)
        text += (
            f"; {late} of {len(stopped)} clients that stopped waited over 3 s (the longest {max(stopped):.1f} s)"
        )
    return (standins.BROKEN if lost else standins.HELD), text


standins.main(Path(__file__).resolve().with_name("record.txt"), play)
