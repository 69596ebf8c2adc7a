"""A heartbeat of the event loop: it bounds how long the loop sleeps, and tells how late it ran.

A loop that stands still serves nobody and hears no signal. Whether the process was busy itself or was kept from
running (stopped, short of CPU, blocked in a call) is told apart by the processor time that it used meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
import time

log = logging.getLogger("covetally")

WAKE_S = 0.1
HELD_UP_S = 0.15  # as long as a process may be held up by the platform's terms: more is logged


class LoopMonitor:
    """Runs from `start` to `stop`. All times are seconds."""

    def __init__(self) -> None:
        self.held_up = 0  # how often the loop ran late by HELD_UP_S or more,
        self.longest_s = 0.0  # and the most that it ever was
        self._worst_s = 0.0
        self._due = 0.0
        self._cpu_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to watch the running loop; once is enough."""
        if self._timer is None:
            self._wait()

    def stop(self) -> None:
        """Watch no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def take_worst_s(self) -> float:
        """The most that the loop was late since this was last asked for."""
        worst_s, self._worst_s = self._worst_s, 0.0
        return worst_s

    def _wait(self) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + WAKE_S
        self._cpu_s = time.thread_time()
        self._timer = loop.call_at(self._due, self._wake)

    def _wake(self) -> None:
        late_s = max(0.0, asyncio.get_running_loop().time() - self._due)
        self._worst_s = max(self._worst_s, late_s)
        if late_s >= HELD_UP_S:
            self.held_up += 1
            self.longest_s = max(self.longest_s, late_s)
            used_s = time.thread_time() - self._cpu_s
            log.warning("the event loop was held up for %.3f s, %.3f s of it at work", late_s, used_s)
        self._wait()
