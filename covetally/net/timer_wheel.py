"""One timer for all deadlines of the request path.

asyncio keeps every timer in a heap, ordered by comparisons in Python, and each costs a handle; a request sets
four or five and cancels nearly all of them. Here a timer is a place in a set, and the loop has one timer in all:
for the next slot that holds anything. Nothing fires early; what fires is late by a slot's width at most, and by
as much as the loop is.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable

SLOT_WIDTH_S = 0.002


def _nothing() -> None:
    """What a timer does that was cancelled."""


class Timer:
    """One call that is due; `cancel` makes it none."""

    __slots__ = ("call", "slot")

    def __init__(self, call: Callable[[], None], slot: dict[Timer, None]) -> None:
        self.call = call
        self.slot = slot

    def cancel(self) -> None:
        """It is not to fire any more; nothing happens if it has."""
        self.slot.pop(self, None)
        self.call = _nothing  # whoever holds a timer of its own would make a circle with it


class TimerWheel:
    """Timers of one event loop. All times are the loop's, in seconds."""

    def __init__(self) -> None:
        self._slots: dict[int, dict[Timer, None]] = {}
        self._order: list[int] = []  # the numbers of the slots, as a heap
        self._next: asyncio.TimerHandle | None = None
        self._next_at = 0

    def call_at(self, when: float, call: Callable[[], None]) -> Timer:
        """Call at that time or up to SLOT_WIDTH_S after it, in the order of asking within a slot."""
        number = int(when / SLOT_WIDTH_S) + 1
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = {}
            heapq.heappush(self._order, number)
            if self._next is None or number < self._next_at:
                self._arm(number)
        timer = Timer(call, slot)
        slot[timer] = None
        return timer

    def _arm(self, number: int) -> None:
        if self._next is not None:
            self._next.cancel()
        self._next = asyncio.get_running_loop().call_at(number * SLOT_WIDTH_S, self._fire)
        self._next_at = number

    def _fire(self) -> None:
        self._next = None
        loop = asyncio.get_running_loop()
        now = int(loop.time() / SLOT_WIDTH_S + 1e-6)
        while self._order and self._order[0] <= now:
            slot = self._slots.pop(heapq.heappop(self._order))
            while slot:
                timer = next(iter(slot))
                del slot[timer]
                try:
                    timer.call()
                except Exception as error:  # as the loop has it: one that fails must not keep others from firing
                    loop.call_exception_handler({"message": "a timer failed by a bug", "exception": error})
        while self._order and not self._slots[self._order[0]]:  # all of it was cancelled
            del self._slots[heapq.heappop(self._order)]
        if self._order:
            self._arm(self._order[0])
