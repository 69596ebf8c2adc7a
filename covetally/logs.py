"""How a sidecar's processes log."""

from __future__ import annotations

import logging
import sys

LOG_BURST, LOG_PER_S = 50.0, 5.0


class RateLimit(logging.Filter):
    """Bounds the log: trouble that repeats a thousand times a second is told a few times."""

    def __init__(self) -> None:
        super().__init__()
        self._left = LOG_BURST
        self._at = 0.0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        self._left = min(LOG_BURST, self._left + (record.created - self._at) * LOG_PER_S)
        self._at = record.created
        if record.levelno != logging.INFO and self._left < 1.0:
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
