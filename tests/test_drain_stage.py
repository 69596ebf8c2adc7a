"""The stages of a drain, without sockets: no stage lasts longer than its time."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.net.drain_stage import MARGIN_S, DrainStage, Stage

LONGEST_DEADLINE_S = 2.0
MIN_DRAIN_S = LONGEST_DEADLINE_S + MARGIN_S


def drained_at(drain: DrainStage, now: float) -> float:
    """Advance from one change to the next until DRAINED; returns the time at which that is reached."""
    while (change_at := drain.next_change_at()) is not None:
        assert change_at >= now or drain.advance(now), "a change is due in the past"
        now = max(now, change_at)
        drain.advance(now)
    assert drain.stage is Stage.DRAINED
    return now


@pytest.mark.parametrize(
    ("within_s", "expected_s"), [(None, MIN_DRAIN_S), (0.0, MIN_DRAIN_S), (1.0, MIN_DRAIN_S), (60.0, 60.0)]
)
def test_a_drain_takes_at_least_the_longest_deadline_and_a_margin(within_s, expected_s):
    drain = DrainStage()
    assert drain.drain(10.0, within_s, LONGEST_DEADLINE_S)
    refuse_at = drain.next_change_at()
    assert refuse_at is not None and expected_s - (refuse_at - 10.0) > LONGEST_DEADLINE_S, (
        "every accepted request has time until its deadline"
    )
    assert drained_at(drain, 10.0) == pytest.approx(10.0 + expected_s)


def test_a_repeated_drain_order_changes_nothing_unless_it_leaves_less_time():
    drain = DrainStage()
    drain.drain(0.0, 60.0, LONGEST_DEADLINE_S)
    assert not drain.drain(1.0, 60.0, LONGEST_DEADLINE_S)
    assert drain.drain(2.0, 10.0, LONGEST_DEADLINE_S)
    assert drained_at(drain, 2.0) == pytest.approx(12.0)
    assert not drain.drain(20.0, 5.0, LONGEST_DEADLINE_S) and drain.stage is Stage.DRAINED


def test_a_process_that_starts_under_a_drain_order_is_drained_from_the_start():
    drain = DrainStage()
    drain.restore()
    assert drain.stage is Stage.DRAINED and drain.refusing and drain.next_change_at() is None
    assert drain.resume() and drain.stage is Stage.SERVING and not drain.refusing


@given(st.lists(st.sampled_from(["drain", "quick", "resume", "restore", "wait"]), max_size=30))
def test_a_shutdown_is_final_and_each_order_holds_until_the_next(orders):
    drain, now = DrainStage(), 0.0
    for order in orders:
        match order:
            case "drain":
                drain.drain(now, 30.0, LONGEST_DEADLINE_S)
            case "quick":
                drain.drain(now, None, LONGEST_DEADLINE_S)
            case "resume":
                drain.resume()
                assert not drain.draining
            case "restore":
                drain.restore()
            case "wait":
                now += 7.0
                while drain.advance(now):
                    pass
        if order in ("drain", "quick", "restore"):
            assert drain.draining
    drain.start_shutdown()
    for change in (drain.resume, drain.restore, lambda: drain.drain(now, None, LONGEST_DEADLINE_S)):
        change()
        assert drain.stage is Stage.ENDING and drain.next_change_at() is None and not drain.refusing
