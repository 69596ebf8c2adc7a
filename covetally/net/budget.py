"""The memory that request bodies may take, all together."""

from __future__ import annotations

SMALL = 4 * 1024  # bodies up to this size need no part of the pool: connections bound their number


class BudgetExhausted(Exception):
    """There is no memory left for this body."""


class BodyBudget:
    """A shared pool of bytes.

    Nobody waits for it: half-read bodies that wait for each other would hold it for good. Who finds it empty
    is refused, and may come again.
    """

    def __init__(self, pool: int) -> None:
        self._pool = self.free = pool

    def resize(self, pool: int) -> None:
        """Be so large from here on. What is held stays held: a smaller pool lets nobody in until enough of it
        has come back."""
        self.free += pool - self._pool
        self._pool = pool


class BodyReservation:
    """One body's part of the budget."""

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._size = 0
        self._taken = 0

    def grow(self, size: int) -> None:
        """Hold so many further bytes; BudgetExhausted if the pool has not got them."""
        self._size += size
        more = self._size - self._taken if self._size > SMALL else 0
        if more > max(0, self._budget.free):
            raise BudgetExhausted
        self._budget.free -= more
        self._taken += more

    def release(self) -> None:
        """Hold nothing from here on."""
        self._budget.free += self._taken
        self._size = self._taken = 0
