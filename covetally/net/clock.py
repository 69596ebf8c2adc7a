"""The one clock of a sidecar."""

from __future__ import annotations

import time

from covetally.net.timer_wheel import TimerWheel


class Clock:
    """Wall time read once, then monotonic progress.

    It never goes back when the machine's clock is set, and can still be compared with the start times that
    discovery tells. `wheel` has the timers of the request path.
    """

    def __init__(self) -> None:
        self.wheel = TimerWheel()
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Nanoseconds since the epoch."""
        return self._offset + time.monotonic_ns()

    def loop_time(self, at_ns: int) -> float:
        """The event loop's name for a moment on this clock."""
        return (at_ns - self._offset) / 1e9
