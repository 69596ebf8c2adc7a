"""Signal handlers that lose no signal when the event loop's wakeup fails.

asyncio learns of a signal from one byte that CPython's C-level handler writes to a socket pair. CPython ignores a
failure of that write, and the Python handler that asyncio installs does nothing. If the write fails (no buffer
space, an I/O error), the signal is lost. The handler here records the signal and schedules its callback itself.
A failed write then only delays the callback until the loop next wakes, which `covetally/loop_monitor.py` bounds.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType


class SignalHandlers:
    """The signal callbacks of one event loop. Create it in the main thread while the loop is running."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._pending: set[int] = set()

    def on(self, number: signal.Signals, callback: Callable[[], None]) -> None:
        """Set the callback of a signal, in place of an earlier one.

        Signals of the same number that arrive before the loop's next iteration cause one call.
        """
        self._callbacks[number] = callback
        self._loop.add_signal_handler(number, self._run_callback, number)
        signal.signal(number, self._handle)
        signal.siginterrupt(number, False)  # `signal.signal` has enabled it

    def _handle(self, number: int, frame: FrameType | None) -> None:
        """Record the signal. Python calls this between any two bytecodes of the main thread."""
        del frame
        self._pending.add(number)
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._run_callback, number)

    def _run_callback(self, number: int) -> None:
        if number in self._pending:
            self._pending.discard(number)
            self._callbacks[number]()
