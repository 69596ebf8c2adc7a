"""The memory that long request bodies may take, all together."""

from __future__ import annotations

import asyncio
from collections import deque

from covetally.net.stream import HELD


class BodyBudget:
    """A shared pool of bytes, and beside it a reserve of one whole body.

    Bodies grow as they come, so several half-read ones could hold all of the pool and wait for each other for
    good. The reserve belongs to one of them at a time: that one can always be read to its end.
    """

    def __init__(self, pool: int) -> None:
        self._free = pool
        self._reserved_by: Hold | None = None
        self._waiting: deque[tuple[Hold, int, asyncio.Future[None]]] = deque()

    async def take(self, hold: Hold, size: int) -> None:
        """Return when these further bytes may be held, in the order of asking."""
        if not (self._waiting and self._reserved_by is not hold) and self._grant(hold, size):
            return
        granted = asyncio.get_running_loop().create_future()
        entry = (hold, size, granted)
        self._waiting.append(entry)
        try:
            await granted
        except asyncio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
            raise

    def _grant(self, hold: Hold, size: int) -> bool:
        if self._reserved_by is hold:
            return True
        if self._free >= size:
            self._free -= size
            hold.taken += size
            return True
        if self._reserved_by is None:
            self._reserved_by = hold
            return True
        return False

    def give_back(self, hold: Hold) -> None:
        """The body is no longer held."""
        self._free += hold.taken
        hold.taken = 0
        if self._reserved_by is hold:
            self._reserved_by = None
        while self._waiting and (self._waiting[0][2].cancelled() or self._grant(*self._waiting[0][:2])):
            granted = self._waiting.popleft()[2]
            if not granted.cancelled():
                granted.set_result(None)


class Hold:
    """One body's part of the budget. Short bodies need none: connections bound their number."""

    def __init__(self, budget: BodyBudget) -> None:
        self.taken = 0
        self._budget = budget
        self._size = 0
        self._counted = 0

    async def grow(self, size: int) -> None:
        """Wait until so many further bytes may be held."""
        self._size += size
        if self._size > HELD:
            more, self._counted = self._size - self._counted, self._size
            await self._budget.take(self, more)

    def release(self) -> None:
        """Hold nothing from here on."""
        self._budget.give_back(self)
