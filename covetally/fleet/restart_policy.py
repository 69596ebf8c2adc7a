"""Decides when a supervised process is started again. No I/O: what happened and the time in, a decision out.

running --ends--> waiting (1, 2, 4 ... 60 s) --time--> running
running --ends on purpose--> waiting (0 s)
five ends in a row, each within 10 s of its start: named a crash loop, started again every 60 s all the same
"""

from __future__ import annotations

from dataclasses import dataclass

SOON_S = 10.0  # a process that ends sooner than this after its start has crashed at its start
LOOP = 5
FIRST_S, MOST_S = 1.0, 60.0


@dataclass(slots=True)
class RestartPolicy:
    """One supervised process."""

    state: str = "waiting"  # waiting, running, stopped
    start_at: float = 0.0
    started_at: float = 0.0
    startup_crashes: int = 0  # crashes at the start, one after the other
    last_exit: str = ""  # how it ended last
    planned: bool = False

    def record_start(self, now: float) -> None:
        """It has been started."""
        self.state, self.started_at = "running", now

    def record_exit(self, now: float, how: str) -> None:
        """It has ended."""
        self.last_exit = how
        if self.state == "stopped":
            return
        self.state = "waiting"
        if self.planned:
            self.planned, self.startup_crashes, self.start_at = False, 0, now
            return
        self.startup_crashes = self.startup_crashes + 1 if now - self.started_at < SOON_S else 0
        pause = MOST_S if self.crash_looping else min(MOST_S, FIRST_S * 2.0 ** max(0, self.startup_crashes - 1))
        self.start_at = now + pause

    def plan_restart(self) -> None:
        """It is being ended on purpose, to be started again at once."""
        self.planned = True

    def stop(self) -> None:
        """It is not to be started again."""
        self.state = "stopped"

    def should_start(self, now: float) -> bool:
        """Whether to start it now."""
        return self.state == "waiting" and now >= self.start_at

    @property
    def crash_looping(self) -> bool:
        """Whether it crashes at every start."""
        return self.startup_crashes >= LOOP
