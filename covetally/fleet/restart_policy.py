"""Decides when a supervised process is restarted. It does no I/O: it takes events and the current time, and says
whether the process is due to start.

    state     event                            next state
    -----     -----                            ----------
    waiting   started                          running
    running   exited within 10 s of its start  waiting, with a backoff of 1, 2, 4, 8 s
    running   exited later                     waiting, for 1 s
    running   exited during a planned restart  waiting, to be started at once
    any       stopped                          stopped, and never started again

Five crashes in a row, each within 10 s of the start, are reported as a crash loop. From then on the process is
still restarted, but only every 60 s.
"""

from __future__ import annotations

from dataclasses import dataclass

STARTUP_CRASH_S = 10.0  # an exit within this time of the start counts as a crash at startup
CRASH_LOOP_LENGTH = 5  # crashes at startup in a row
MIN_BACKOFF_S, MAX_BACKOFF_S = 1.0, 60.0


@dataclass(slots=True)
class RestartPolicy:
    """The restart state of one supervised process. Times are seconds of a monotonic clock."""

    state: str = "waiting"  # waiting, running, stopped
    start_at: float = 0.0
    started_at: float = 0.0
    startup_crashes: int = 0  # consecutive crashes at startup
    last_exit: str = ""  # how the process ended last time
    planned: bool = False  # the next exit belongs to a planned restart

    def record_start(self, now: float) -> None:
        """Record that the process was started."""
        self.state, self.started_at = "running", now

    def record_exit(self, now: float, how: str) -> None:
        """Record that the process exited, and schedule its next start."""
        self.last_exit = how
        if self.state == "stopped":
            return
        self.state = "waiting"
        if self.planned:
            self.planned, self.startup_crashes, self.start_at = False, 0, now
            return
        self.startup_crashes = self.startup_crashes + 1 if now - self.started_at < STARTUP_CRASH_S else 0
        backoff = (
            MAX_BACKOFF_S
            if self.crash_looping
            else min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** max(0, self.startup_crashes - 1))
        )
        self.start_at = now + backoff

    def plan_restart(self) -> None:
        """Treat the next exit as planned: the process is then started again at once."""
        self.planned = True

    def stop(self) -> None:
        """Never start the process again."""
        self.state = "stopped"

    def should_start(self, now: float) -> bool:
        """Whether the process is to be started now."""
        return self.state == "waiting" and now >= self.start_at

    @property
    def crash_looping(self) -> bool:
        """Whether the process is in a crash loop."""
        return self.startup_crashes >= CRASH_LOOP_LENGTH
