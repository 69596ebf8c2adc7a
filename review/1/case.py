"""Case 1: an interim response ahead of the answer, and an unsafe request runs more than once."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parents[2]), str(Path(__file__).resolve().parents[1])]

import standins  # noqa: E402

SERVERS, SIDECARS, REQUESTS = 6, 2, 60
SHARE = 0.25  # of the answers have a 1xx ahead
LONG = 65_000  # bytes of a long request; the pages allow 64 KiB
INTERIM = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\n\r\n",
)


def interim(exchange: standins.Exchange) -> None:
    """Write a 1xx ahead of the answer, as a server that wants to tell early that it is at work."""
    if random.random() < SHARE:
        exchange.writer.write(random.choice(INTERIM))


async def play(record: standins.Record, folder: Path) -> tuple[int, str]:
    discovery = standins.Discovery(record)
    await discovery.start()
    servers = [standins.Server(record, f"s-{n}", n // 3, n) for n in range(SERVERS)]
    for server in servers:
        # Segments as on Ethernet and small buffers: a long request doesn't fit into the buffers of the way.
        await server.start(receive_buffer=2048, segment=1460)
        if standins.TROUBLE:
            server.on_head = interim
        discovery.entries[server.name] = server.entry
    sidecars = [
        standins.Sidecar(record, folder, f"n{n}", discovery.address, standins.sidecar_config(n, SIDECARS))
        for n in range(SIDECARS)
    ]
    try:
        for sidecar in sidecars:
            if not await sidecar.ready():
                return standins.NOT_RUN, f"{sidecar.name} is not ready"
        clients = [standins.Client(record, sidecar) for sidecar in sidecars]
        await asyncio.gather(*(send_all(client) for client in clients))
        await asyncio.sleep(2.0)
        for client in clients:
            client.close()
    finally:
        for sidecar in sidecars:
            await sidecar.end()
    return judge(servers, clients)


async def send_all(client: standins.Client) -> None:
    for _ in range(REQUESTS):
        await client.send("module-lookup", 1.0)
        await client.send("loan-transfer", 1.2, LONG)
        await asyncio.sleep(0.1)


def judge(servers: list[standins.Server], clients: list[standins.Client]) -> tuple[int, str]:
    runs = Counter(name for server in servers for name, cls, _ in server.ran if cls == "loan-transfer")
    answers = {name: status for client in clients for name, status in client.answers.items()}
    twice = [name for name, count in runs.items() if count > 1]
    refused = [name for name in runs if answers[name] in (429, 503)]
    if not runs:
        return standins.NOT_RUN, "no unsafe request has run"
    text = f"of {len(runs)} unsafe requests that ran {len(twice)} ran more than once (most: {max(runs.values())} "
    text += f"times), {len(refused)} that had run were refused; answers {dict(Counter(answers.values()))}"
    return (standins.BROKEN if twice or refused else standins.HELD), text


standins.main(Path(__file__).resolve().with_name("record.txt"), play)
