"""Active checks: each node is asked for a path now and then, at a cost bounded over all sidecars together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from covetally.interface import Settings
from covetally.membership.unresponsive import schedule
from covetally.membership.http import status_of
from covetally.membership.model import Address
from covetally.membership.settings import Plan

WAIT_S = 1.0
EMPTY_S = 1.0


class Checks:
    """Asks one node at a time.

    Any answer shows that the process lives; what it says is the business of its own requests.
    """

    def __init__(
        self,
        plan: Plan,
        settings: Settings,
        nodes: Callable[[], dict[str, Address]],
        on_result: Callable[[str, bool], None],
    ) -> None:
        self._path, self._per_node_s = plan.check_path, plan.checks_per_node_s
        self._settings, self._nodes, self._on_result = settings, nodes, on_result
        self._task: asyncio.Task[None] | None = None
        self.asked = self.failed = 0

    def start(self) -> None:
        """Check from now on."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Check no more."""
        if self._task is not None:
            self._task.cancel()

    def table(self) -> dict[str, Any]:
        """For operators."""
        every_s = max(1, self._settings.replicas) / self._per_node_s
        counts = {"asked": self.asked, "failed": self.failed}
        return {"path": self._path, "each_node_every_s": round(every_s, 1)} | counts

    async def _run(self) -> None:
        while True:
            nodes = self._nodes()
            if not nodes:
                await asyncio.sleep(EMPTY_S)
                continue
            turn = schedule(sorted(nodes), self._settings.replicas, self._per_node_s, self._settings.index)
            for wait_s, node in turn:
                await asyncio.sleep(wait_s)
                now = self._nodes()
                if now.keys() != nodes.keys():
                    break
                await self._check(node, now[node])

    async def _check(self, node: str, address: Address) -> None:
        good = bool(await status_of(address, self._path, WAIT_S))
        self.asked += 1
        self.failed += not good
        self._on_result(node, good)
