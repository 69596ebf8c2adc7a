"""The stages of a drain, without a socket: what is held past its time never is."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.net.drain_stage import MARGIN_S, DrainStage, Stage

LONGEST_S = 2.0
LEAST_S = LONGEST_S + MARGIN_S


def drained_at(drain: DrainStage, now: float) -> float:
    """When it is drained, going from one due moment to the next."""
    while (due := drain.next_change_at()) is not None:
        assert due >= now or drain.advance(now), "a stage is due in the past"
        now = max(now, due)
        drain.advance(now)
    assert drain.stage is Stage.DRAINED
    return now


@pytest.mark.parametrize(("within_s", "takes_s"), [(None, LEAST_S), (0.0, LEAST_S), (1.0, LEAST_S), (60.0, 60.0)])
def test_a_drain_takes_the_longest_deadline_and_a_margin_at_least(within_s, takes_s):
    drain = DrainStage()
    assert drain.drain(10.0, within_s, LONGEST_S)
    refuses_at = drain.next_change_at()
    assert refuses_at is not None and takes_s - (refuses_at - 10.0) > LONGEST_S, "what was taken has its time"
    assert drained_at(drain, 10.0) == pytest.approx(10.0 + takes_s)


def test_the_same_order_twice_changes_nothing_and_one_that_gives_less_time_counts():
    drain = DrainStage()
    drain.drain(0.0, 60.0, LONGEST_S)
    assert not drain.drain(1.0, 60.0, LONGEST_S)
    assert drain.drain(2.0, 10.0, LONGEST_S)
    assert drained_at(drain, 2.0) == pytest.approx(12.0)
    assert not drain.drain(20.0, 5.0, LONGEST_S) and drain.stage is Stage.DRAINED


def test_what_starts_under_an_order_holds_nothing_from_the_beginning():
    drain = DrainStage()
    drain.restore()
    assert drain.stage is Stage.DRAINED and drain.refusing and drain.next_change_at() is None
    assert drain.resume() and drain.stage is Stage.SERVING and not drain.refusing


@given(st.lists(st.sampled_from(["drain", "quick", "resume", "restore", "wait"]), max_size=30))
def test_an_end_is_never_taken_back_and_every_order_holds_until_the_next(words):
    drain, now = DrainStage(), 0.0
    for word in words:
        match word:
            case "drain":
                drain.drain(now, 30.0, LONGEST_S)
            case "quick":
                drain.drain(now, None, LONGEST_S)
            case "resume":
                drain.resume()
                assert not drain.draining
            case "restore":
                drain.restore()
            case "wait":
                now += 7.0
                while drain.advance(now):
                    pass
        if word in ("drain", "quick", "restore"):
            assert drain.draining
    drain.start_shutdown()
    for change in (drain.resume, drain.restore, lambda: drain.drain(now, None, LONGEST_S)):
        change()
        assert drain.stage is Stage.ENDING and drain.next_change_at() is None and not drain.refusing
