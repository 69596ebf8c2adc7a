"""The stand-in registry in this process, and a source that follows it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from covetally.membership.eureka.client import Config, Eureka
from covetally.membership.model import Read
from covetally.net.clock import Clock
from covetally.operator.url import split_url
from covetally.rig.eureka import Fault, Registry, Spec, instance

WAIT_S = 20.0


def run(main: Callable[[], Any]) -> None:
    async def timed() -> None:
        async with asyncio.timeout(WAIT_S):
            await main()

    asyncio.run(timed())


def node(i: int, **more: Any) -> dict[str, Any]:
    """A node's record; it is never evicted."""
    return instance("LEDGER", f"n{i}", "127.0.0.1", 9000 + i, _eternal=True) | more


class Followed:
    """A registry of some nodes and a client that follows it."""

    def __init__(self, registry: Registry, ports: list[int]) -> None:
        self.registry = registry
        self.urls = [f"http://127.0.0.1:{port}/eureka" for port in ports]
        self.reads: list[Read] = []
        self._news = asyncio.Event()
        self.client: Eureka

    def follow(self, **more: Any) -> Eureka:
        """Begin to follow."""
        urls = tuple(split_url(url) for url in self.urls)
        config = Config(**({"addresses": urls, "name": "ledger", "poll_s": 0.05, "timeout_s": 1.0} | more))
        self.client = Eureka(config, Clock(), self._read)
        self.client.start()
        return self.client

    def _read(self, read: Read) -> None:
        self.reads.append(read)
        self._news.set()

    async def read(self, wanted: Callable[[Read], bool] = lambda read: True) -> Read:
        """The next read for which this holds."""
        at = len(self.reads)
        while not any(wanted(read) for read in self.reads[at:]):
            self._news.clear()
            await self._news.wait()
        return next(read for read in self.reads[at:] if wanted(read))

    def fault(self, number: int = 0, **fault: Any) -> None:
        """What a peer does wrong from now on."""
        self.registry.peers[number].fault = Fault(**fault) if fault else None


@asynccontextmanager
async def followed(count: int = 4, **spec: Any) -> AsyncIterator[Followed]:
    registry = Registry(Spec(["a0"], **spec), lambda row: None)
    ports = await registry.start()
    for i in range(count):
        registry.change(lambda peer, i=i: peer.register(node(i)))
    here = Followed(registry, ports["a0"])
    try:
        yield here
    finally:
        if hasattr(here, "client"):
            here.client.stop()
        registry.stop()
