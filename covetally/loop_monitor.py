"""Monitors the event loop with a periodic timer, which also bounds how long the loop sleeps.

A stalled loop serves no requests and handles no signals. The CPU time used during a stall shows whether the
process itself was busy or was kept from running (stopped, short of CPU, or blocked in a system call).
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

log = logging.getLogger("covetally")

INTERVAL_S = 0.1
STALL_S = 0.15  # the platform may delay a process for this long; a longer delay is logged


class LoopMonitor:
    """Measures the loop's delay between `start` and `stop`. All times are in seconds."""

    def __init__(self) -> None:
        self.stalls = 0  # delays of STALL_S or more
        self.longest_stall_s = 0.0
        self._max_delay_s = 0.0  # since `take_max_delay_s`
        self._deadline = 0.0
        self._cpu_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.on_tick: Callable[[], None] | None = None  # called every INTERVAL_S, for checks at run time

    def start(self) -> None:
        """Start monitoring the running loop; further calls have no effect."""
        if self._timer is None:
            self._schedule()

    def stop(self) -> None:
        """Stop monitoring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def take_max_delay_s(self) -> float:
        """Return the loop's longest delay since the last call."""
        max_delay_s, self._max_delay_s = self._max_delay_s, 0.0
        return max_delay_s

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._deadline = loop.time() + INTERVAL_S
        self._cpu_s = time.thread_time()
        self._timer = loop.call_at(self._deadline, self._tick)

    def _tick(self) -> None:
        delay_s = max(0.0, asyncio.get_running_loop().time() - self._deadline)
        self._max_delay_s = max(self._max_delay_s, delay_s)
        if delay_s >= STALL_S:
            self.stalls += 1
            self.longest_stall_s = max(self.longest_stall_s, delay_s)
            cpu_s = time.thread_time() - self._cpu_s
            log.warning("the event loop was held up for %.3f s, %.3f s of it at work", delay_s, cpu_s)
        self._schedule()
        if self.on_tick is not None:
            self.on_tick()
