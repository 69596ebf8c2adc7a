"""Signals kept as state until the event loop has acted on them.

asyncio learns of a signal by one byte that CPython's handler writes to a socket pair. Whether that write succeeds
is ignored, and the handler that asyncio sets does nothing: where the write fails (no buffer space, an I/O error),
the signal is lost for good. Here the handler itself keeps the signal and schedules its callback, so a failed
write delays it until the loop next wakes, which `covetally/loop_monitor.py` bounds.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType


class SignalHandlers:
    """The signals that one event loop reacts to. Create it in the main thread, with the loop running."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._pending: set[int] = set()

    def on(self, number: signal.Signals, callback: Callable[[], None]) -> None:
        """Call back for this signal from here on, in place of an earlier callback. Signals of one kind that come
        before the loop turns make one call."""
        self._callbacks[number] = callback
        self._loop.add_signal_handler(number, self._deliver, number)
        signal.signal(number, self._received)
        signal.siginterrupt(number, False)  # `signal.signal` has switched it on

    def _received(self, number: int, frame: FrameType | None) -> None:
        """Runs between two bytecodes of the main thread, whatever it is at."""
        del frame
        self._pending.add(number)
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._deliver, number)

    def _deliver(self, number: int) -> None:
        if number in self._pending:
            self._pending.discard(number)
            self._callbacks[number]()
