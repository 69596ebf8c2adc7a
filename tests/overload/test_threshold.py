"""Tests of priorities, admission levels and messages, and of one member's decisions."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.interface import SECOND, Settings
from covetally.overload import budgets, levels, pins
from covetally.overload.threshold import MIN_VOTERS, Threshold, Transition, Vote, load_of, weighted_median
from covetally.overload.priorities import FIRST_TRIES_END, OVER_SHARE_END, RETRIES_END, Priorities, rank
from covetally.overload.load import LoadSample, reported_wait
from covetally.overload.shares import TenantShares
from covetally.overload.messages import ThresholdMessage, decode, encode
from covetally.rig.site import settings
from covetally.gossip import MalformedMessageError

CONFIG = Settings.parse(settings(0, 10, 0.25, 8000))
EVALUATION_NS = SECOND // 4


def sample(ratio: float, weight: int = 10, admitted: int = 20, served: int = 10) -> LoadSample:
    return LoadSample(weight, ratio, admitted, served)


class Harness:
    """One member's threshold, evaluated with votes of other members as a test chooses."""

    def __init__(self, size: int = 9) -> None:
        self.now, self.size = 10 * SECOND, size
        self.threshold = Threshold(self.now, size)

    def evaluate(
        self, count: int, own: LoadSample, others: list[tuple[int, LoadSample]], **bounds: int
    ) -> list[int]:
        decided = []
        for _ in range(count):
            self.now += EVALUATION_NS
            votes = [Vote(level, measured, self.now) for level, measured in others]
            decided.append(self.threshold.evaluate(self.now, own, votes, **bounds))
        return decided


# --- priorities ---------------------------------------------------------------------------------


@given(st.integers(0, 3), st.floats(0, 0.999), st.floats(0.05, 1), st.booleans())
def test_priority_bands_do_not_overlap(cls, drawn, covered, retry):
    priority = Priorities(CONFIG).priority_of(cls, drawn, covered, retry)
    if retry:
        assert OVER_SHARE_END <= priority < RETRIES_END
    elif drawn >= covered:
        assert FIRST_TRIES_END <= priority < OVER_SHARE_END
    else:
        assert 0 <= priority < FIRST_TRIES_END


def test_class_with_more_worth_is_admitted_more_and_none_less_than_half_as_much():
    priorities = Priorities(CONFIG)
    assert max(priorities.scales) == FIRST_TRIES_END and min(priorities.scales) >= 1.0
    transfer = [c.name for c in CONFIG.classes].index("loan-transfer")
    assert priorities.scales[transfer] == min(priorities.scales)
    for level in range(levels.OWN_SHARES, levels.MAX_LEVEL + 1):
        threshold = levels.threshold_of(level)
        admitted = [
            sum(priorities.priority_of(c, i / 500, 1.0, False) < threshold for i in range(500)) for c in range(4)
        ]
        assert min(admitted) * 2 >= max(admitted) - 2


def test_ranks_of_consecutive_ids_are_spread_evenly():
    ranks = sorted(rank(f"{i:016x}") for i in range(4000))
    assert max(abs(r - i / 4000) for i, r in enumerate(ranks)) < 0.04


def test_all_sidecars_shed_the_same_requests():
    both = [Priorities(Settings.parse(settings(i, 10, 0.25, 8000))) for i in (0, 7)]
    drawn = [[one.priority_of(i % 4, rank(f"r{i}"), 1.0, False) for i in range(200)] for one in both]
    assert drawn[0] == drawn[1]


# --- levels, messages, pins ---------------------------------------------------------------------


def test_each_level_admits_less_than_the_one_below_and_has_its_own_name():
    thresholds = [levels.threshold_of(level) for level in range(levels.MAX_LEVEL + 1)]
    assert thresholds == sorted(thresholds, reverse=True) and len(set(thresholds)) == len(thresholds)
    assert len({levels.level_name(level) for level in range(levels.MAX_LEVEL + 1)}) == levels.MAX_LEVEL + 1


@pytest.mark.parametrize("share, change", [(1.0, 0), (0.9, 1), (0.81, 2), (0.5, 7), (1 / 0.81, -2), (0.0, 44)])
def test_levels_for_share(share, change):
    assert levels.levels_for_share(share) == change


@given(st.integers(0, levels.MAX_LEVEL), st.integers(-1, levels.MAX_LEVEL), st.integers(0, 999),
       st.integers(0, 2500), st.dictionaries(st.integers(0, 255), st.integers(0, 9), max_size=32))  # fmt: skip
def test_message_round_trips(level, pin, weight, hundredths, tenants):
    tenants = tuple(sorted(tenants.items(), key=lambda pair: -pair[1]))
    message = ThresholdMessage(level, pin, LoadSample(weight, hundredths / 100, 3, 2, tenants))
    assert decode(encode(message)) == message


@given(st.binary(max_size=60))
def test_any_body_decodes_or_raises_malformed_message_error(body):
    try:
        message = decode(body)
        assert 0 <= message.level <= levels.MAX_LEVEL
    except MalformedMessageError:
        pass


@pytest.mark.parametrize("text", ["", "pin", "pin:high:5", "pin:25:5", "hold:3:5", "pin:3:x", "pin:3:0"])
def test_invalid_pin_is_rejected_with_an_example(text):
    with pytest.raises(pins.InvalidPin) as error:
        pins.parse_pin(text, 0)
    assert "pin:own-shares:600" in error.value.as_line()


@pytest.mark.parametrize(
    "text, least, most", [("pin:own-shares:5", 2, 2), ("most:no-retries:5", 0, 1), ("least:9:5", 9, 24)]
)
def test_pin_bounds_the_level(text, least, most):
    pin = pins.parse_pin(text, 100)
    assert (pin.least, pin.most, pin.until_ns) == (least, most, 100 + 5 * SECOND)


# --- the threshold ------------------------------------------------------------------------------


def test_level_is_open_without_load_and_rises_to_own_shares_at_once_with_load():
    harness = Harness()
    assert harness.evaluate(8, sample(0.2), [(0, sample(0.2))] * 5) == [0] * 8
    assert harness.evaluate(1, sample(2.0), [(0, sample(2.0))] * 5) == [levels.OWN_SHARES]
    assert harness.threshold.transition is Transition.RAISED


def test_level_rises_until_admitted_equals_served_and_stays():
    harness = Harness()
    harness.evaluate(1, sample(3.0), [(0, sample(3.0))] * 5)
    at_two = [(2, sample(3.0, admitted=20, served=10))] * 5
    decided = harness.evaluate(2, sample(3.0), at_two)
    assert decided[-1] == 2 + 7, "half is served, which is seven levels"
    at_nine = [(9, sample(0.8, admitted=10, served=10))] * 5
    assert set(harness.evaluate(10, sample(0.8, admitted=10), at_nine)) == {9}


def test_level_does_not_change_again_before_the_last_change_takes_effect():
    harness = Harness()
    stale = [(0, sample(5.0))] * 5
    decided = harness.evaluate(2, sample(5.0), stale)
    assert decided == [2, 2], "the votes show the time before the change"


def test_level_returns_to_open_within_a_few_evaluations_after_the_load_ends():
    harness = Harness()
    harness.evaluate(1, sample(3.0), [(0, sample(3.0))] * 5)
    harness.evaluate(6, sample(3.0), [(2, sample(3.0))] * 5)
    raised = harness.threshold.level
    assert raised >= 7
    evaluations = 0
    while harness.threshold.level:
        harness.evaluate(1, sample(0.1, 5, 4, 4), [(harness.threshold.level, sample(0.1, 5, 4, 4))] * 5)
        evaluations += 1
    assert evaluations <= 12, "within three seconds"


def test_level_does_not_oscillate_with_load_at_the_threshold():
    """The nodes can serve 12 of 26 requests: at one level they have queues, and at the next one they are idle."""
    harness = Harness()
    decided = []
    for _ in range(240):
        arriving = min(26.0, 26.0 * levels.threshold_of(harness.threshold.level) / FIRST_TRIES_END)
        ratio = 1.3 if arriving > 12.4 else 0.8 if arriving > 11.5 else 0.4
        measured = LoadSample(10, ratio, round(arriving), round(min(arriving, 12.0)))
        decided += harness.evaluate(1, measured, [(harness.threshold.level, measured)] * 5)
    settled = decided[24:]
    moves = sum(a != b for a, b in zip(settled, settled[1:], strict=False))
    assert min(settled) >= 8 and max(settled) - min(settled) <= 3
    assert moves <= len(settled) / 3


def test_member_with_too_few_voters_returns_to_the_open_level():
    harness = Harness()
    harness.evaluate(1, sample(9.0), [(0, sample(9.0))] * 5)
    assert harness.threshold.level
    assert harness.evaluate(1, sample(9.0), [(9, sample(9.0))] * (MIN_VOTERS - 2)) == [levels.OPEN]
    assert harness.threshold.transition is Transition.ISOLATED


def test_member_without_requests_follows_the_others_level():
    harness = Harness()
    assert harness.evaluate(4, LoadSample(0, 0.0, 0, 0), [(11, sample(0.8))] * 5)[-1] == 11


@pytest.mark.parametrize("lie", [25.0, 0.0])
def test_a_fifth_of_lying_members_cannot_move_the_load_beyond_the_honest_values(lie):
    honest = [Vote(0, sample(0.7, weight=w)) for w in (3, 5, 8, 9, 10, 12, 14, 20)]
    liars = [Vote(24, LoadSample(65535, lie, 0, 0))] * 2
    assert load_of([*honest, *liars])[0] == 0.7


def test_common_level_outweighs_a_single_outlier():
    harness = Harness()
    decided = harness.evaluate(
        6, sample(0.8, 10, 10, 10), [(8, sample(0.8, 10, 10, 10))] * 6 + [(24, sample(0.8))]
    )
    assert decided[-1] == 8


@given(st.lists(st.tuples(st.integers(0, levels.MAX_LEVEL), st.floats(0, 25), st.integers(0, 50),
                          st.integers(0, 99), st.integers(0, 99)), max_size=12),
       st.integers(0, 24), st.integers(0, 24))  # fmt: skip
def test_level_stays_within_the_bounds_for_any_votes(votes, a, b):
    least, most = sorted((a, b))
    harness = Harness()
    others = [
        (level, LoadSample(weight, ratio, admitted, served)) for level, ratio, weight, admitted, served in votes
    ]
    for level in harness.evaluate(5, sample(1.5), others, least=least, most=most):
        assert least <= level <= most


# --- shares, budgets, reports -------------------------------------------------------------------


def test_share_covers_only_a_fraction_for_a_tenant_over_its_share():
    shares = TenantShares(CONFIG)
    for _ in range(200):
        shares.update([LoadSample(1, 0, 0, 0, ((0, 10), (1, 10), (2, 80)))], size=4)
    assert shares.covered_fraction(0) == shares.covered_fraction(1) == 1.0
    assert 0.2 < shares.covered_fraction(2) < 0.32, "its share of 0.23 and a tenth more, of 0.8 of the requests"
    assert shares.covered_fraction(99) == 1.0


def test_probes_of_all_members_together_do_not_depend_on_their_number():
    for size in (12, 200, 1200):
        gap = budgets.interval_ns(size, 8.0)
        assert size / (gap / SECOND) == pytest.approx(8.0)
    assert budgets.max_retries(1000, 1200) == 0.2 * 1000 + 1200
    assert budgets.max_saved_retries(1200) == 1.0


@pytest.mark.parametrize(
    "load, wait_ms",
    [({"queue": 0.0}, 0), ({"queue": 10.0, "qps": 100.0}, 100), ({"queue": 4.0, "latency_ms": 50.0}, 50),
     ({}, None), ({"queue": float("nan"), "qps": 1.0}, None), ({"queue": 1e8, "qps": 1e-3}, None)],
)  # fmt: skip
def test_wait_implied_by_a_load_report(load, wait_ms):
    wait = reported_wait(load)
    assert wait == (None if wait_ms is None else pytest.approx(wait_ms * 1e6))


# --- exact limits -------------------------------------------------------------------------------


def set_level(level: int, capacity: float, harness: Harness) -> None:
    """Put the threshold at a level, as if it had been there for long."""
    harness.threshold.level, harness.threshold.capacity = level, capacity


def test_new_threshold_is_open_and_isolated_since_its_start():
    threshold = Threshold(7, 9)
    assert (threshold.level, threshold.since, threshold.transition) == (levels.OPEN, 7, Transition.ISOLATED)


def test_level_rises_at_exactly_the_minimum_voters_outcomes_and_load():
    harness = Harness()
    rows = [(0, sample(1.0, weight)) for weight in (8, 7, 7)]
    assert harness.evaluate(1, sample(1.0, 8), rows) == [levels.OWN_SHARES]
    harness = Harness()
    assert harness.evaluate(1, sample(1.0, 7), rows) == [levels.OPEN], "29 outcomes may be chance"
    harness = Harness()
    assert harness.evaluate(1, sample(0.99, 8), [(0, sample(0.99, weight)) for weight in (8, 7, 7)]) == [
        levels.OPEN
    ]


def test_weighted_median_of_equal_halves_is_the_lower_value():
    assert weighted_median([(2.0, 1.0), (1.0, 1.0)]) == 1.0
    assert weighted_median([(1.0, 1.0), (2.0, 1.1)]) == 2.0


@pytest.mark.parametrize(
    "load, since_raised, level", [(0.49, 2 * SECOND, 4), (0.5, 2 * SECOND, 5), (0.3, SECOND, 5)]
)
def test_single_level_down_needs_low_load_and_cooldown(load, since_raised, level):
    harness = Harness()
    set_level(5, 22.2, harness)
    harness.threshold._raised_at = harness.now + EVALUATION_NS - since_raised
    assert harness.evaluate(1, sample(load), [(5, sample(load))] * 4) == [level]
    assert harness.threshold.capacity == pytest.approx(22.2 * 1.01)


def test_several_levels_down_do_not_wait_for_the_cooldown():
    harness = Harness()
    set_level(8, 60.0, harness)
    harness.threshold._raised_at = harness.now
    assert harness.evaluate(1, sample(0.9), [(8, sample(0.9))] * 4)[0] == levels.OWN_SHARES


def test_transition_shows_what_the_last_evaluation_did():
    harness = Harness()
    harness.evaluate(1, sample(2.0), [(0, sample(2.0))] * 4)
    assert harness.threshold.transition is Transition.RAISED
    harness.evaluate(1, sample(2.0), [(0, sample(2.0))] * 4)
    assert harness.threshold.transition is Transition.RAISED, "the others have not followed yet"
    harness.evaluate(3, sample(0.9, admitted=10), [(levels.OWN_SHARES, sample(0.9, admitted=10))] * 4)
    assert harness.threshold.transition is Transition.UNCHANGED
