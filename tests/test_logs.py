"""Tests of the rate limit of the log."""

from __future__ import annotations

import logging
import time

from covetally.logs import LOG_BURST, RateLimit


def record(level: int = logging.WARNING, created: float = 0.0) -> logging.LogRecord:
    new = logging.LogRecord("covetally", level, __file__, 1, "request rejected", (), None)
    new.created = created or time.time()
    return new


def test_a_backward_step_of_the_wall_clock_drops_no_records():
    """The limit once used the records' wall time: after a step of an hour it dropped 600 of 600 records, one per
    second."""
    rate_limit = RateLimit()
    assert rate_limit.filter(record())
    assert all(rate_limit.filter(record(created=time.time() - 3600)) for _ in range(8))


def test_repeated_records_are_limited_and_the_dropped_ones_counted(monkeypatch):
    now = 1000.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    rate_limit = RateLimit()
    assert sum(rate_limit.filter(record()) for _ in range(1000)) == LOG_BURST
    now += 1.0
    next_record = record()
    assert rate_limit.filter(next_record)
    assert next_record.msg.endswith(f"({1000 - int(LOG_BURST)} lines dropped before this)")
    assert all(rate_limit.filter(record(level)) for level in (logging.INFO, logging.DEBUG) for _ in range(100))
