"""Limits the memory that all request bodies may take together."""

from __future__ import annotations

SMALL_BODY = 4 * 1024  # bytes; smaller bodies are not counted, because the connection limit bounds their number


class BudgetExhausted(Exception):
    """There is no memory left for a body."""


class BodyBudget:
    """A shared pool of bytes.

    Nothing waits for memory: partly read bodies that wait for each other would hold the pool for ever. A request
    that finds the pool empty is refused, and its client may retry.
    """

    def __init__(self, pool: int) -> None:
        self._pool = self.free = pool

    def resize(self, pool: int) -> None:
        """Change the size of the pool.

        Reservations are kept, so after a reduction no new body is admitted until enough memory has been released.
        """
        self.free += pool - self._pool
        self._pool = pool


class BodyReservation:
    """The part of the budget that one body holds."""

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._size = 0
        self._reserved = 0

    def grow(self, size: int) -> None:
        """Reserve `size` further bytes; raises BudgetExhausted if the pool does not have them."""
        self._size += size
        missing = self._size - self._reserved if self._size > SMALL_BODY else 0
        if missing > max(0, self._budget.free):
            raise BudgetExhausted
        self._budget.free -= missing
        self._reserved += missing

    def release(self) -> None:
        """Return all reserved bytes to the pool."""
        self._budget.free += self._reserved
        self._size = self._reserved = 0
