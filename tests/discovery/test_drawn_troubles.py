"""Whatever discovery does for some seconds, a later drain is known in time: the sidecar never stops calling."""

from __future__ import annotations

import asyncio
import random
from collections import deque

import pytest

from covetally.net import discovery_call, discovery_schedule
from covetally.net.clock import Clock
from covetally.net.http_message import Broken, End, MessagePart, ResponseHead
from tests.discovery.drawn_discovery import SERVERS, DrawnDiscovery
from tests.discovery.watching_sidecar import WatchingSidecar
from tests.loopback import ScriptedServer
from tests.virtual_time import VirtualClock, run_in_virtual_time

TROUBLE_BEGIN_S, TROUBLE_END_S = 3.0, 15.0
MAX_DRAIN_DELAY_S = 4.0  # between the end of the trouble and the drain
WATCHED_AFTER_S = 9.0  # after the drain
SAMPLE_S = 0.1
VIRTUAL_SEEDS, SOCKET_SEEDS = range(300), range(48)
DRAINED = "s0"


class VirtualConnection:
    """A connection to `DrawnDiscovery` without sockets, in place of AsyncConnection."""

    def __init__(self, discovery: DrawnDiscovery) -> None:
        self._discovery = discovery
        self._parts: deque[MessagePart] = deque()
        self._arrived = asyncio.Event()
        self._broken = False
        self._answer: asyncio.Task[None] | None = None

    async def write(self, data: bytes) -> None:
        if self._broken:
            raise Broken("reset")
        target = data.split(b" ")[1].decode()
        self._answer = asyncio.create_task(self._discovery.answer(target, self))

    async def next_event(self) -> MessagePart:
        while not self._parts:
            if self._broken:
                raise Broken("reset")
            self._arrived.clear()
            await self._arrived.wait()
        return self._parts.popleft()

    def has_input(self) -> bool:
        return self._broken or bool(self._parts)

    def prepare_next_message(self) -> bool:
        return not self.has_input()

    def close(self) -> None:
        self._broken = True
        if self._answer is not None:
            self._answer.cancel()

    def _receive(self, part: MessagePart) -> None:
        if not self._broken:
            self._parts.append(part)
            self._arrived.set()

    def begin(self, status: int, length: int) -> None:
        self._receive(ResponseHead(status, [], {}))

    def write_body(self, data: bytes) -> None:
        self._receive(data)

    def end(self) -> None:
        self._receive(End.MESSAGE)

    def reset(self) -> None:
        self._broken = True
        self._arrived.set()


class SocketExchange:
    """One call over a real connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def begin(self, status: int, length: int) -> None:
        self._writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: {length}\r\n\r\n".encode())

    def write_body(self, data: bytes) -> None:
        self._writer.write(data)

    def end(self) -> None:
        """The length in the head says where the body ends."""

    def reset(self) -> None:
        self._writer.transport.abort()


async def late_samples(sidecar: WatchingSidecar, discovery: DrawnDiscovery, seed: int) -> list[float]:
    """Play the trouble and then a drain; return when the drained server was still in use, in s after the drain,
    though the drain counted as notified."""
    drain_at_s = TROUBLE_END_S + random.Random(seed).choice(
        (0.0, random.Random(seed).uniform(0, MAX_DRAIN_DELAY_S))
    )
    if discovery.restart_at_s is not None:
        await asyncio.sleep(discovery.restart_at_s)
        discovery.restart()
    await asyncio.sleep(drain_at_s - discovery.now_s)
    discovery.set_lifecycle(DRAINED, "leaving")
    late = []
    while (since_s := discovery.now_s - drain_at_s) < WATCHED_AFTER_S:
        if since_s > discovery_schedule.NOTIFIED_AFTER_SILENCE_S and sidecar.uses(DRAINED):
            late.append(round(since_s, 1))
        await asyncio.sleep(SAMPLE_S)
    sidecar.discovery.stop()
    return late


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "polled"])
def test_a_drain_after_drawn_troubles_of_discovery_is_known_in_time(monkeypatch, pushed):
    """The sidecar believed that a watch was open while none was, and never called discovery again (review 9)."""

    async def play(seed: int) -> list[float]:
        discovery = DrawnDiscovery(seed, TROUBLE_BEGIN_S, TROUBLE_END_S)

        async def connect(address: tuple[str, int]) -> VirtualConnection:
            return VirtualConnection(discovery)

        monkeypatch.setattr(discovery_call.AsyncConnection, "connect", connect)
        sidecar = WatchingSidecar(pushed, VirtualClock(), ("127.0.0.1", 1), SERVERS, seed)
        return await late_samples(sidecar, discovery, seed)

    late = {seed: found for seed in VIRTUAL_SEEDS if (found := run_in_virtual_time(play(seed)))}
    assert not late, f"{len(late)} of {len(VIRTUAL_SEEDS)} seeds: {late}"


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "polled"])
def test_a_drain_after_drawn_troubles_of_discovery_on_real_sockets_is_known_in_time(pushed):
    """As above, with the connections, resets and timers of the machine."""

    async def play(seed: int) -> list[float]:
        discovery = DrawnDiscovery(seed, TROUBLE_BEGIN_S, TROUBLE_END_S)

        async def answer(server, got, reader, writer):
            await discovery.answer(got.split(b" ")[1].decode(), SocketExchange(writer))

        server = ScriptedServer(answer)
        await server.start()
        sidecar = WatchingSidecar(pushed, Clock(), server.address, SERVERS, seed)
        try:
            return await late_samples(sidecar, discovery, seed)
        finally:
            server.stop()

    async def main() -> dict[int, list[float]]:
        played = await asyncio.gather(*(play(seed) for seed in SOCKET_SEEDS))
        return {seed: found for seed, found in zip(SOCKET_SEEDS, played, strict=True) if found}

    late = asyncio.run(main())
    assert not late, f"{len(late)} of {len(SOCKET_SEEDS)} seeds: {late}"
