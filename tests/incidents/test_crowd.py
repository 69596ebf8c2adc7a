"""A crowd of idle connections: whoever has just connected is given the moment that a request takes to come.

One sidecar with few places for clients. Many idle connections and some clients that send at once come together.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
from dataclasses import dataclass

from covetally.net.eviction import FIRST_REQUEST_GRACE_S
from covetally.rig.world import Shape, World
from tests.loopback import TEST_TIMEOUT_S, read_message
from tests.test_standing import get

SOCKETS = 256
CLIENTS = 16
CROWDS = (150, 400)  # idle connections, one crowd after the other
SEND_AFTER_S = 0.01  # a client that has connected sends
PROMPT_S = 0.8 * FIRST_REQUEST_GRACE_S  # whoever sent so soon after it began to connect must be answered
PROMPT_CLIENTS = 3 * CLIENTS  # so many of them are wanted; others were held up by this machine


@dataclass
class Asked:
    """A first request: how long after its client began to connect it was sent, and what came back."""

    sent_after_s: float
    response: bytes


def crowd(address: tuple[str, int], count: int) -> list[socket.socket]:
    """So many connections that say nothing."""
    return [socket.create_connection(address) for _ in range(count)]


async def ask(address: tuple[str, int], name: str) -> Asked:
    """Connect, and send shortly after; the answer is empty where the connection was closed without one."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection(*address)
    try:
        await asyncio.sleep(SEND_AFTER_S)
        writer.write(get(name))
        sent_after_s = time.monotonic() - began
        return Asked(sent_after_s, await read_message(reader))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Asked(sent_after_s, b"")
    finally:
        writer.close()


def test_a_first_request_is_answered_though_a_crowd_of_idle_connections_comes_with_it():
    async def main():
        shape = Shape(nodes=2, instances=1, sockets=SOCKETS)
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), World(shape) as world:
            await world.start_instances()
            address = world.instances["a0"].address
            prompt: list[Asked] = []
            for turn in itertools.count():
                clients = [asyncio.create_task(ask(address, f"c{turn}-{i}")) for i in range(CLIENTS)]
                idlers = await asyncio.to_thread(crowd, address, CROWDS[turn % len(CROWDS)])
                prompt += [asked for asked in await asyncio.gather(*clients) if asked.sent_after_s < PROMPT_S]
                for idler in idlers:
                    idler.close()
                assert [asked for asked in prompt if b" 200 " not in asked.response] == []
                if len(prompt) >= PROMPT_CLIENTS and turn >= len(CROWDS):
                    break

    asyncio.run(main())
