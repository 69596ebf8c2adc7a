"""A timer wheel for all timers of the request path.

asyncio keeps every timer in a heap, which is ordered by comparisons in Python, and allocates a handle for each. A
request sets four or five timers and cancels nearly all of them. Here a timer is an entry in a slot, and the event
loop has a single timer: for the next slot that is not empty. No timer fires early. A timer fires late by at most
the width of a slot, plus the delay of the event loop.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable

SLOT_WIDTH_S = 0.002


def _cancelled() -> None:
    """The callback of a cancelled timer."""


class Timer:
    """A scheduled callback."""

    __slots__ = ("callback", "slot")

    def __init__(self, callback: Callable[[], None], slot: dict[Timer, None]) -> None:
        self.callback = callback
        self.slot = slot

    def cancel(self) -> None:
        """Cancel the timer; does nothing if it has fired."""
        self.slot.pop(self, None)
        self.callback = _cancelled  # an owner that keeps its timer would otherwise form a reference cycle


class TimerWheel:
    """The timers of one event loop. All times are seconds on the loop's clock."""

    def __init__(self) -> None:
        self._slots: dict[int, dict[Timer, None]] = {}
        self._order: list[int] = []  # the slot numbers, as a heap
        self._next: asyncio.TimerHandle | None = None
        self._next_slot = 0

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback at `when` or up to SLOT_WIDTH_S later. Within a slot callbacks run in the order in
        which they were scheduled."""
        number = int(when / SLOT_WIDTH_S) + 1
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = {}
            heapq.heappush(self._order, number)
            if self._next is None or number < self._next_slot:
                self._schedule(number)
        timer = Timer(callback, slot)
        slot[timer] = None
        return timer

    def _schedule(self, number: int) -> None:
        if self._next is not None:
            self._next.cancel()
        self._next = asyncio.get_running_loop().call_at(number * SLOT_WIDTH_S, self._fire)
        self._next_slot = number

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
                    timer.callback()
                except Exception as error:  # as in asyncio: one failing timer must not keep others from firing
                    loop.call_exception_handler({
                        "message": "unhandled exception in a timer callback", "exception": error,
                    })  # fmt: skip
        while self._order and not self._slots[self._order[0]]:  # every timer of this slot was cancelled
            del self._slots[heapq.heappop(self._order)]
        if self._order:
            self._schedule(self._order[0])
