"""A test registry in this process, and a Eureka source that follows it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from covetally.membership.eureka.client import EurekaConfig, EurekaSource
from covetally.membership.model import Snapshot
from covetally.net.clock import Clock
from covetally.operator.url import split_url
from covetally.rig.eureka import Fault, Registry, Spec, instance

TEST_TIMEOUT_S = 20.0


def run(main: Callable[[], Any]) -> None:
    """Runs an async test with a time limit."""

    async def timed() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await main()

    asyncio.run(timed())


def node(i: int, **more: Any) -> dict[str, Any]:
    """The registry's record of a node that is never evicted."""
    return instance("LEDGER", f"n{i}", "127.0.0.1", 9000 + i, _eternal=True) | more


class RegistryHarness:
    """A registry of some nodes, and a Eureka source that follows it."""

    def __init__(self, registry: Registry, ports: list[int]) -> None:
        self.registry = registry
        self.urls = [f"http://127.0.0.1:{port}/eureka" for port in ports]
        self.snapshots: list[Snapshot] = []
        self._received = asyncio.Event()
        self.client: EurekaSource

    def follow(self, **more: Any) -> EurekaSource:
        """Starts a source that follows the registry."""
        urls = tuple(split_url(url) for url in self.urls)
        config = EurekaConfig(**({"addresses": urls, "name": "ledger", "poll_s": 0.05, "timeout_s": 1.0} | more))
        self.client = EurekaSource(config, Clock(), self._on_snapshot)
        self.client.start()
        return self.client

    def _on_snapshot(self, read: Snapshot) -> None:
        self.snapshots.append(read)
        self._received.set()

    async def next_snapshot(self, matches: Callable[[Snapshot], bool] = lambda snapshot: True) -> Snapshot:
        """Waits for the next snapshot that satisfies `matches`."""
        start = len(self.snapshots)
        while not any(matches(snapshot) for snapshot in self.snapshots[start:]):
            self._received.clear()
            await self._received.wait()
        return next(snapshot for snapshot in self.snapshots[start:] if matches(snapshot))

    def fault(self, number: int = 0, **fault: Any) -> None:
        """Sets the fault that a registry peer has from now on; none ends it."""
        self.registry.peers[number].fault = Fault(**fault) if fault else None


@asynccontextmanager
async def followed_registry(count: int = 4, **spec: Any) -> AsyncIterator[RegistryHarness]:
    """A registry with `count` nodes; the source that a test starts is stopped at the end."""
    registry = Registry(Spec(["a0"], **spec), lambda row: None)
    ports = await registry.start()
    for i in range(count):
        registry.change(lambda peer, i=i: peer.register(node(i)))
    harness = RegistryHarness(registry, ports["a0"])
    try:
        yield harness
    finally:
        if hasattr(harness, "client"):
            harness.client.stop()
        registry.stop()
