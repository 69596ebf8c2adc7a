"""Tests of one sidecar's load measurement, with exact numbers."""

from __future__ import annotations

import pytest

from covetally.interface import SECOND, AttemptStatus, AttemptEnded, Settings
from covetally.overload.load import LATE_SHARE, WINDOW_NS, WINDOWS, LoadMonitor
from covetally.rig.site import settings

CONFIG = Settings.parse(settings(0, 10, 0.25, 8000))
REPORT = {"queue": 10.0, "qps": 100.0}  # a wait of a tenth of a second


def response(how: int = AttemptStatus.OK, load: dict[str, float] | None = None) -> AttemptEnded:
    return AttemptEnded("t", how, 0, "s", 0, True, load or {})


def rotated(monitor: LoadMonitor, now: int, times: int = 1) -> int:
    for _ in range(times):
        now += WINDOW_NS
        monitor.rotate(now)
    return now


def test_requests_count_for_the_last_windows_and_are_then_forgotten():
    monitor = LoadMonitor(CONFIG, 0)
    for tenant, admitted in ((0, True), (0, False), (2, True)):
        monitor.record_request(tenant, admitted)
    monitor.record_answer(True)
    monitor.record_answer(False)
    monitor.record_attempt(response(), late=False)
    assert monitor.sample() == (sample := monitor.sample()) and sample.weight == 0, (
        "the current window does not count"
    )
    now = rotated(monitor, 0)
    sample = monitor.sample()
    assert (sample.weight, sample.admitted, sample.served, sample.tenants) == (1, 2, 1, ((0, 2), (2, 1)))
    monitor.record_request(0, True)
    now = rotated(monitor, now)
    sample = monitor.sample()
    assert (sample.weight, sample.admitted, sample.tenants) == (1, 3, ((0, 3), (2, 1)))
    rotated(monitor, now, WINDOWS)
    sample = monitor.sample()
    assert (sample.weight, sample.admitted, sample.served, sample.ratio, sample.tenants) == (0, 0, 0, 0.0, ())


@pytest.mark.parametrize(
    "how, late, counts, is_late",
    [
        (AttemptStatus.OK, False, 1, 0),
        (AttemptStatus.OK, True, 1, 1),
        (AttemptStatus.TIMEOUT, False, 1, 1),
        (AttemptStatus.FULL, False, 1, 1),
        (AttemptStatus.CANCELLED, True, 0, 0),
        (AttemptStatus.NOT_SENT, True, 0, 0),
        (AttemptStatus.CONNECT_FAILED, True, 0, 0),
    ],
)
def test_late_attempts_are_the_load_where_no_node_reports_a_queue(how, late, counts, is_late):
    monitor = LoadMonitor(CONFIG, 0)
    monitor.record_attempt(response(how), late)
    for _ in range(3):
        monitor.record_attempt(response(), late=False)
    rotated(monitor, 0)
    sample = monitor.sample()
    assert sample.weight == 3 + counts
    assert sample.ratio == pytest.approx(is_late / sample.weight / LATE_SHARE)


def test_reported_queues_are_the_load_if_half_of_the_outcomes_have_one():
    monitor = LoadMonitor(CONFIG, 0)
    monitor.record_attempt(response(load=REPORT), late=False)
    monitor.record_attempt(response(load={"queue": 30.0, "qps": 100.0}), late=True)
    monitor.record_attempt(response(), late=True)
    monitor.record_attempt(response(), late=True)
    now = rotated(monitor, 0)
    assert monitor.sample().ratio == pytest.approx(0.2 * SECOND / monitor.target_ns)
    monitor.record_attempt(response(), late=True)
    rotated(monitor, now)
    assert monitor.sample().ratio == pytest.approx(4 / 5 / LATE_SHARE)


def test_counts_before_a_pause_of_the_process_are_dropped():
    monitor = LoadMonitor(CONFIG, 0)
    monitor.record_request(0, True)
    monitor.rotate(WINDOWS * WINDOW_NS)
    assert monitor.sample().admitted == 1
    monitor.record_request(0, True)
    monitor.rotate(2 * WINDOWS * WINDOW_NS + 1)
    assert monitor.sample().admitted == 0
    monitor.record_request(0, True)
    monitor.rotate(3 * WINDOWS * WINDOW_NS)
    assert monitor.sample().admitted == 1
