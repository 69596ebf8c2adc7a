"""Active checks: requests a path from each node at intervals, at a bounded rate over all sidecars together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from covetally.interface import Settings
from covetally.membership.http import fetch_status
from covetally.membership.model import Address
from covetally.membership.polling import repeat
from covetally.membership.settings import MembershipConfig
from covetally.membership.unresponsive import check_schedule

CHECK_TIMEOUT_S = 1.0
NO_NODES_PAUSE_S = 1.0


class ActiveChecks:
    """Checks one node at a time.

    Any answer shows that the process is alive. Its status is ignored: the balancer judges nodes by requests.
    """

    def __init__(
        self,
        config: MembershipConfig,
        settings: Settings,
        nodes: Callable[[], dict[str, Address]],
        on_result: Callable[[str, bool], None],
    ) -> None:
        self._path, self._per_node_s = config.check_path, config.checks_per_node_s
        self._settings, self._nodes, self._on_result = settings, nodes, on_result
        self._task: asyncio.Task[None] | None = None
        self.sent = self.failed = 0

    def start(self) -> None:
        """Starts checking."""
        self._task = asyncio.create_task(repeat("checking the nodes", self._check_nodes, NO_NODES_PAUSE_S))

    def stop(self) -> None:
        """Stops checking."""
        if self._task is not None:
            self._task.cancel()

    def table(self) -> dict[str, Any]:
        """The interval and the counts as a table for operators."""
        period_s = max(1, self._settings.replicas) / self._per_node_s
        counts = {"asked": self.sent, "failed": self.failed}
        return {"path": self._path, "each_node_every_s": round(period_s, 1)} | counts

    async def _check_nodes(self) -> float:
        """Checks the nodes in turn until their list changes; returns the pause after that in seconds."""
        nodes = self._nodes()
        if not nodes:
            return NO_NODES_PAUSE_S
        schedule = check_schedule(sorted(nodes), self._settings.replicas, self._per_node_s, self._settings.index)
        for wait_s, node in schedule:
            await asyncio.sleep(wait_s)
            current = self._nodes()
            if current.keys() != nodes.keys():
                break
            await self._check(node, current[node])
        return 0.0

    async def _check(self, node: str, address: Address) -> None:
        answered = bool(await fetch_status(address, self._path, CHECK_TIMEOUT_S))
        self.sent += 1
        self.failed += not answered
        self._on_result(node, answered)
