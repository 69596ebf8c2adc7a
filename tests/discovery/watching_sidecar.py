"""A sidecar's balancer that keeps its server list by calling discovery, wired as in covetally/process.py."""

from __future__ import annotations

from typing import Any

from covetally.interface import ServerEntry, ServerListUpdate
from covetally.net.clock import Clock
from covetally.net.config import Address
from covetally.net.discovery import Discovery
from covetally.net.memory import MemoryAccount
from covetally.net.server_list import ListUpdate
from covetally.net.sidecar import Sidecar
from covetally.net.upstream import Upstream
from tests.support import MS, settings

MEMORY_BYTES = 8 * 1024 * 1024


def polled_or_pushed(pushed: bool) -> dict[str, Any]:
    """The settings of a deployment whose lists are pushed or polled."""
    return {"discovery": "automatic" if pushed else "subscribe", "invariants": {"drainGraceNs": 500 * MS}}


class WatchingSidecar:
    """The real `Discovery` with the real balancer. It starts with a saved list of active servers."""

    def __init__(self, pushed: bool, clock: Clock, address: Address, servers: int, seed: int = 1) -> None:
        config = settings(**polled_or_pushed(pushed))
        memory = MemoryAccount(MEMORY_BYTES, MEMORY_BYTES)
        upstream = Upstream(config, frozenset(), clock, 20, memory)
        self.discovery = Discovery(config, address, memory)
        self.sidecar = Sidecar(config, seed, clock, upstream, lambda peer, blob: None, self.discovery.subscribe)
        self.discovery.on_update = self._apply
        self.discovery.on_failure = lambda: self.sidecar.update_servers(ServerListUpdate("FAILED"))
        saved = tuple(ServerEntry(f"s{number}") for number in range(servers))
        self.sidecar.update_servers(ServerListUpdate("SAVED", saved))
        self.discovery.start()

    def _apply(self, update: ListUpdate) -> None:
        scope = "FULL" if update.full else "INCREMENTAL"
        self.sidecar.update_servers(ServerListUpdate(scope, tuple(entry for entry, _ in update.entries)))

    def uses(self, server: str) -> bool:
        """Whether a server gets new requests."""
        return any(status.server == server and status.up for status in self.sidecar.server_statuses())
