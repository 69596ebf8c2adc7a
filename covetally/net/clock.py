"""The clock of a sidecar."""

from __future__ import annotations

import time

from covetally.net.timer_wheel import TimerWheel


class Clock:
    """Reads wall time once at the start and then advances with the monotonic clock.

    The time never goes back when the machine's clock is set, and it can still be compared with the start times in
    discovery's server lists. `wheel` holds the timers of the request path.
    """

    def __init__(self) -> None:
        self.wheel = TimerWheel()
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the current time in nanoseconds since the epoch."""
        return self._offset + time.monotonic_ns()

    def loop_time(self, at_ns: int) -> float:
        """Convert a time of this clock to the event loop's clock."""
        return (at_ns - self._offset) / 1e9
