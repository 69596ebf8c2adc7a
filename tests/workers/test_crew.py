"""Which workers there are to be, on paper: steps of the table, and a model of processes that do as they like."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.workers.crew import (
    MAX_PAUSE_S, PAUSE_S, SOON_S, START_S, Crew, End, Kill, Share, Start, State, part,
)  # fmt: skip


def crew(count: int = 2) -> Crew:
    return Crew(count, hang_s=10.0, end_s=5.0)


def serving(count: int = 2, now: float = 0.0) -> Crew:
    one = crew(count)
    starts = [order.number for order in one.tick(now)]
    for number in starts:
        one.ready(now, number)
    return one


def test_all_places_are_filled_and_a_second_look_changes_nothing():
    one = crew(3)
    assert one.tick(0.0) == [Start(0, 0), Start(1, 1), Start(2, 2)]
    assert one.tick(0.1) == []
    assert [one.ready(1.0, n) for n in range(3)] == [[], [], []]
    assert [one.serving(place).number for place in range(3)] == [0, 1, 2]


def test_a_worker_that_dies_is_replaced_at_once_and_one_that_dies_again_and_again_ever_later():
    one = serving(1)
    assert one.gone(SOON_S, 0) == [Start(1, 0)], "it had lived long enough"
    now, pause = SOON_S, PAUSE_S
    for number in range(1, 8):
        assert one.gone(now, number) == []
        assert one.due() == now + pause
        assert one.tick(now + pause - 0.01) == []
        now += pause
        assert one.tick(now) == [Start(number + 1, 0)]
        pause = min(MAX_PAUSE_S, 2 * pause)
    one.ready(now, 8)
    assert one.gone(now + SOON_S, 8) == [Start(9, 0)], "it has proven itself: no pause"
    assert one.deaths == 9


def test_a_worker_that_says_nothing_is_killed_once_and_replaced_when_it_is_gone():
    one = serving(2)
    one.heard(9.0, 1)
    assert one.due() == 10.0
    (kill,) = one.tick(10.0)
    assert isinstance(kill, Kill) and kill.number == 0 and "hangs" in kill.why
    assert one.tick(11.0) == []
    assert one.gone(11.0, 0) == [Start(2, 0)]


@pytest.mark.parametrize("state", [State.STARTING, State.ENDING])
def test_a_worker_that_does_not_start_or_end_in_time_is_killed(state):
    one = crew(1) if state is State.STARTING else serving(1)
    one.tick(0.0)
    if state is State.ENDING:
        assert one.end(0.0) == [End(0)]
    limit = START_S if state is State.STARTING else one.end_s
    assert one.due() == limit
    assert one.tick(limit - 0.01) == []
    assert [type(order) for order in one.tick(limit)] == [Kill]


def test_a_turn_of_replacements_goes_place_by_place_and_the_old_one_goes_last():
    one = serving(2)
    assert one.replace(1.0) == [Start(2, 0)]
    assert one.tick(1.1) == []
    assert one.ready(1.2, 2) == [End(0)], "the new one serves"
    assert one.tick(1.3) == [], "the other place waits until the old one has gone"
    assert one.gone(1.4, 0) == [Start(3, 1)]
    assert one.ready(1.5, 3) == [End(1)]
    assert one.replacing() is False
    assert one.gone(1.6, 1) == []
    assert one.deaths == 0


def test_a_replacement_that_dies_leaves_the_old_one_where_it_is():
    one = serving(1)
    one.replace(1.0)
    assert one.gone(1.5, 1) == []
    assert one.serving(0).number == 0
    assert one.tick(1.5 + PAUSE_S) == [Start(2, 0)], "it is tried again, later"
    assert one.ready(3.0, 2) == [End(0)]


def test_another_number_of_workers_is_told_to_those_that_stay():
    one = serving(2)
    assert one.resize(1.0, 3) == [Start(2, 2), Share(0, 0, 3), Share(1, 1, 3)]
    one.ready(1.0, 2)
    assert one.resize(2.0, 1) == [End(1), End(2), Share(0, 0, 1)]
    assert one.gone(2.1, 1) == one.gone(2.1, 2) == []
    assert one.resize(3.0, 2) == [Start(3, 1), Share(0, 0, 2)]


def test_at_the_end_nobody_is_started_again():
    one = serving(2)
    one.replace(1.0)
    assert one.end(1.1) == [End(0), End(1), End(2)]
    assert one.gone(1.2, 0) == one.gone(1.2, 1) == one.gone(1.3, 2) == []
    assert one.due() is None


@given(whole=st.integers(0, 5000), count=st.integers(1, 64))
def test_the_parts_make_the_whole(whole, count):
    parts = [part(whole, place, count, least=0) for place in range(count)]
    assert sum(parts) == whole
    assert max(parts) - min(parts) <= 1
    assert all(part(whole, place, count) >= 1 for place in range(count))


EVENTS = ["ready", "die", "hear", "wait", "resize", "replace", "end"]


@given(steps=st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 50)), max_size=60))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_whatever_processes_do_the_places_end_up_filled(steps):
    one, now = crew(2), 0.0
    alive: dict[int, int] = {}  # number: place
    told_end: set[int] = set()
    killed: set[int] = set()

    def carry_out(orders) -> None:
        for order in orders:
            match order:
                case Start(number, place):
                    assert number not in alive and not one.ending
                    here = [n for n, p in alive.items() if p == place and n not in told_end]
                    assert len(here) <= 1, "at most the one that it replaces"
                    alive[number] = place
                case End(number):
                    assert number in alive and number not in told_end
                    told_end.add(number)
                case Kill(number, why):
                    assert number in alive and why and number not in killed
                    killed.add(number)
                case Share(number, place, count):
                    assert alive[number] == place < count == one.count

    carry_out(one.tick(now))
    for what, pick in steps:
        now += pick / 10
        number = sorted(alive)[pick % len(alive)] if alive else -1
        match what:
            case "ready":
                carry_out(one.ready(now, number))
            case "hear":
                one.heard(now, number)
            case "die" if alive:
                del alive[number]
                carry_out(one.gone(now, number))
            case "resize":
                carry_out(one.resize(now, 1 + pick % 4))
            case "replace":
                carry_out(one.replace(now))
            case "end" if pick > 48:
                carry_out(one.end(now))
            case _:
                carry_out(one.tick(now))
        assert set(one.workers) == set(alive)
    for _ in range(200):  # from here on all goes well
        now += 0.5
        for number in sorted(alive):
            one.heard(now, number)
        carry_out(one.tick(now))
        for number in told_end | killed:
            if alive.pop(number, None) is not None:
                carry_out(one.gone(now, number))
        for number in sorted(alive):
            if one.workers[number].state is State.STARTING:
                carry_out(one.ready(now, number))
    if one.ending:
        assert not alive
    else:
        assert not one.replacing()
        assert sorted(alive.values()) == list(range(one.count))
        assert all(w.state is State.SERVING for w in one.workers.values())
