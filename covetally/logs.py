"""How a sidecar's processes log."""

from __future__ import annotations

import logging
import sys
import time

LOG_BURST, LOG_PER_S = 50.0, 5.0
UNBOUNDED = (logging.INFO, logging.DEBUG)  # what happens once in a life, and what an operator has asked for


class RateLimit(logging.Filter):
    """Bounds the log: trouble that repeats a thousand times a second is logged a few times. Counts by the
    monotonic clock: a wall clock that is stepped back must not take the evidence away."""

    def __init__(self) -> None:
        super().__init__()
        self._left = LOG_BURST
        self._at = time.monotonic()
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether this record is written."""
        if record.levelno in UNBOUNDED:
            return True
        now = time.monotonic()
        self._left = min(LOG_BURST, self._left + (now - self._at) * LOG_PER_S)
        self._at = now
        if self._left < 1.0:
            self._dropped += 1
            return False
        self._left -= 1.0
        if self._dropped:
            record.msg, self._dropped = f"{record.msg} ({self._dropped} lines dropped before this)", 0
        return True


def set_up() -> None:
    """Lines to the standard error, at most so many."""
    logging.basicConfig(format="%(asctime)s %(levelname)s %(message)s", level=logging.INFO, stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimit())
