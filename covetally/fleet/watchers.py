"""Distributes updates to the clients that watch the agent.

Updates about instances are sent at once. Changes of rollouts are combined, at most one update per rollout in each
NOTIFY_INTERVAL_S, so that clients can keep up.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

NOTIFY_INTERVAL_S = 0.2  # minimum time between two updates about a rollout


class Watchers:
    """The queues of the watching clients.

    `rollout_table` returns the current state of a rollout as a dict, or None if the rollout is no longer kept.
    """

    def __init__(self, rollout_table: Callable[[int], dict[str, Any] | None]) -> None:
        self._rollout_table = rollout_table
        self.queues: set[asyncio.Queue[dict[str, Any]]] = set()
        self._changed: set[int] = set()  # rollouts changed since the last update
        self.timer: asyncio.TimerHandle | None = None

    def notify(self, update: dict[str, Any]) -> None:
        """Send an update to all watchers. It is dropped for a watcher whose queue is full."""
        for queue in self.queues:
            with contextlib.suppress(asyncio.QueueFull):
                queue.put_nowait(update)

    def mark_changed(self, number: int) -> None:
        """Record that a rollout has changed; watchers are notified within NOTIFY_INTERVAL_S."""
        self._changed.add(number)
        if self.queues and self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(NOTIFY_INTERVAL_S, self._notify_changed)

    def _notify_changed(self) -> None:
        self.timer = None
        changed, self._changed = self._changed, set()
        for number in changed:
            if (table := self._rollout_table(number)) is not None:
                self.notify({"rollout": table})
