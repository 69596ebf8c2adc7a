"""Log configuration of a sidecar's processes."""

from __future__ import annotations

import logging
import sys
import time

LOG_BURST, LOG_PER_S = 50.0, 5.0
UNLIMITED_LEVELS = (logging.INFO, logging.DEBUG)  # rare lifecycle events, and what an operator has enabled


class RateLimit(logging.Filter):
    """Limits the rate of log records with a token bucket.

    A failure that repeats a thousand times a second is logged only a few times. The bucket uses the monotonic
    clock: a backward step of the wall clock must not suppress records.
    """

    def __init__(self) -> None:
        super().__init__()
        self._tokens = LOG_BURST
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write this record."""
        if record.levelno in UNLIMITED_LEVELS:
            return True
        now = time.monotonic()
        self._tokens = min(LOG_BURST, self._tokens + (now - self._refilled_at) * LOG_PER_S)
        self._refilled_at = now
        if self._tokens < 1.0:
            self._dropped += 1
            return False
        self._tokens -= 1.0
        if self._dropped:
            record.msg, self._dropped = f"{record.msg} ({self._dropped} lines dropped before this)", 0
        return True


def configure_logging() -> None:
    """Log to standard error, with a rate limit."""
    logging.basicConfig(format="%(asctime)s %(levelname)s %(message)s", level=logging.INFO, stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimit())
