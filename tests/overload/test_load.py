"""What one sidecar counts of the load, to the figure."""

from __future__ import annotations

import pytest

from covetally.interface import SECOND, How, Response, Settings
from covetally.overload.load import LATE, WINDOW_NS, WINDOWS, Pressure
from covetally.rig.site import settings

CONFIG = Settings.parse(settings(0, 10, 0.25, 8000))
REPORT = {"queue": 10.0, "qps": 100.0}  # a tenth of a second


def response(how: int = How.OK, load: dict[str, float] | None = None) -> Response:
    return Response("t", how, 0, "s", 0, True, load or {})


def turned(pressure: Pressure, now: int, times: int = 1) -> int:
    for _ in range(times):
        now += WINDOW_NS
        pressure.turn(now)
    return now


def test_what_is_asked_let_in_and_served_is_counted_over_the_last_windows_and_then_forgotten():
    pressure = Pressure(CONFIG, 0)
    for tenant, admitted in ((0, True), (0, False), (2, True)):
        pressure.asked(tenant, admitted)
    pressure.ended(True)
    pressure.ended(False)
    pressure.outcome(response(), late=False)
    assert pressure.seen() == (seen := pressure.seen()) and seen.weight == 0, "a window under way says nothing"
    now = turned(pressure, 0)
    seen = pressure.seen()
    assert (seen.weight, seen.admitted, seen.served, seen.tenants) == (1, 2, 1, ((0, 2), (2, 1)))
    pressure.asked(0, True)
    now = turned(pressure, now)
    seen = pressure.seen()
    assert (seen.weight, seen.admitted, seen.tenants) == (1, 3, ((0, 3), (2, 1)))
    turned(pressure, now, WINDOWS)
    seen = pressure.seen()
    assert (seen.weight, seen.admitted, seen.served, seen.ratio, seen.tenants) == (0, 0, 0, 0.0, ())


@pytest.mark.parametrize(
    "how, late, counts, is_late",
    [(How.OK, False, 1, 0), (How.OK, True, 1, 1), (How.TIMEOUT, False, 1, 1), (How.FULL, False, 1, 1),
     (How.CANCELLED, True, 0, 0), (How.MOOT, True, 0, 0), (How.CONNECT_FAILED, True, 0, 0)],
)  # fmt: skip
def test_late_calls_tell_the_load_where_no_node_reports_a_queue(how, late, counts, is_late):
    pressure = Pressure(CONFIG, 0)
    pressure.outcome(response(how), late)
    for _ in range(3):
        pressure.outcome(response(), late=False)
    turned(pressure, 0)
    seen = pressure.seen()
    assert seen.weight == 3 + counts
    assert seen.ratio == pytest.approx(is_late / seen.weight / LATE)


def test_reported_queues_tell_the_load_as_soon_as_half_of_the_outcomes_have_one():
    pressure = Pressure(CONFIG, 0)
    pressure.outcome(response(load=REPORT), late=False)
    pressure.outcome(response(load={"queue": 30.0, "qps": 100.0}), late=True)
    pressure.outcome(response(), late=True)
    pressure.outcome(response(), late=True)
    now = turned(pressure, 0)
    assert pressure.seen().ratio == pytest.approx(0.2 * SECOND / pressure.target_ns)
    pressure.outcome(response(), late=True)
    turned(pressure, now)
    assert pressure.seen().ratio == pytest.approx(4 / 5 / LATE)


def test_a_standstill_is_no_window():
    pressure = Pressure(CONFIG, 0)
    pressure.asked(0, True)
    pressure.turn(WINDOWS * WINDOW_NS)
    assert pressure.seen().admitted == 1
    pressure.asked(0, True)
    pressure.turn(2 * WINDOWS * WINDOW_NS + 1)
    assert pressure.seen().admitted == 0
    pressure.asked(0, True)
    pressure.turn(3 * WINDOWS * WINDOW_NS)
    assert pressure.seen().admitted == 1
