"""What the module does with what the tier tells it, and rule two at its edges."""

from __future__ import annotations

from dataclasses import replace

import pytest

from covetally.interface import Allotted, Directory, Entry, Refuse, Warned
from tests.support import MS, START, Paper, settings

SECOND = 1_000 * MS
TENANTS = [{"name": "x", "share": 0.5}, {"name": "y", "share": 0.5}]


def served(paper: Paper, count: int, cls: int = 0) -> list[str]:
    """Calls one after the other, each served; where they went."""
    where = []
    for _ in range(count):
        tid = paper.accept(cls)
        where += paper.sends(tid)
        paper.now += 5 * MS
        if (tid, 0) in paper.out:
            paper.answer(tid, 0)
    return where


def test_an_avoided_server_gets_nothing_until_the_word_ends():
    paper = Paper(servers=4)
    paper.feed(Warned(START + SECOND, servers=(("s1", -1),)))
    assert "s1" not in served(paper, 100)
    paper.now = START + 2 * SECOND
    assert "s1" in served(paper, 100)


def test_a_word_in_place_of_another_ends_it():
    paper = Paper(servers=4)
    paper.feed(Warned(START + 9 * SECOND, servers=(("s1", -1), ("s2", -1))))
    paper.feed(Warned(START + 9 * SECOND, servers=(("s2", -1),)))
    where = served(paper, 100)
    assert "s1" in where and "s2" not in where


def test_a_server_avoided_for_one_class_serves_the_others():
    paper = Paper(servers=4)
    paper.feed(Warned(START + 9 * SECOND, servers=(("s1", 1),)))
    assert "s1" not in served(paper, 60, cls=1)
    assert "s1" in served(paper, 60, cls=0)


def test_whose_turn_it_is_tries_once():
    paper = Paper(servers=4)
    paper.feed(Warned(START + 9 * SECOND, servers=(("s1", -1),), turns=("s1",)))
    assert served(paper, 100).count("s1") == 1


def test_where_there_is_nowhere_else_to_go_an_avoided_server_is_called():
    paper = Paper(servers=2)
    paper.feed(Warned(START + 9 * SECOND, servers=(("s0", -1), ("s1", -1))))
    assert len(served(paper, 20)) == 20


def test_an_avoided_zone_gets_trials_at_most():
    paper = Paper(servers=6)
    paper.feed(Warned(START + 9 * SECOND, zones=(1,)))
    where = served(paper, 200)
    assert sum(int(name[1:]) % 2 for name in where) <= 0.15 * len(where)


def test_a_server_that_is_back_is_cold():
    paper = Paper(servers=4)
    before = served(paper, 200).count("s1")
    paper.feed(Warned(paper.now + SECOND, back=(("s1", paper.now),)))
    assert served(paper, 200).count("s1") < before / 2


# --- limits --------------------------------------------------------------------------------------


def limited(**more) -> Paper:
    return Paper(settings(projects=TENANTS, **more), servers=6)


def admitted(paper: Paper, seconds: float, per_s: float, tenant: int = 0) -> int:
    """Calls at a steady rate, each served at once; how many were let in."""
    count, let_in = int(seconds * per_s), 0
    for _ in range(count):
        tid = paper.accept(tenant=tenant)
        if sends := len(paper.sends(tid)):
            let_in += sends
            paper.answer(tid, 0)
        paper.now += int(SECOND / per_s)
    return let_in


def test_a_rate_lets_in_what_it_says_and_refuses_the_rest_with_a_time():
    paper = limited()
    paper.feed(Allotted(0, False, 10.0, paper.now + 60 * SECOND, 10.0))
    assert 95 <= admitted(paper, 10, 50) <= 100
    refusals = [a for _ in range(3) for a in paper.feed_accept() if isinstance(a, Refuse)]  # of tenant 0
    assert len(refusals) >= 2 and all(0 < a.hold_off_ns <= 1_000 * MS for a in refusals)
    assert admitted(paper, 2, 50, tenant=1) == 100


def test_a_part_that_was_lent_lapses_by_the_modules_own_clock():
    paper = limited()
    paper.feed(Allotted(0, False, 40.0, paper.now + SECOND, 5.0))
    assert 30 <= admitted(paper, 1, 100) <= 40
    paper.now += 3 * SECOND  # it was stopped, or nothing more was heard
    assert admitted(paper, 4, 100) <= 5 * 7 + 5


def test_what_was_saved_up_of_a_larger_part_is_not_kept():
    paper = limited()
    paper.feed(Allotted(0, False, 100.0, paper.now + 60 * SECOND, 100.0))
    paper.now += 5 * SECOND
    paper.feed(Allotted(0, False, 2.0, paper.now + 60 * SECOND, 2.0))
    assert admitted(paper, 1, 50) <= 4


def test_calls_in_flight_are_bounded_and_room_comes_back():
    paper = limited()
    paper.feed(Allotted(0, True, 2.7, paper.now + 60 * SECOND, 1.0))
    tids = [paper.accept(tenant=0) for _ in range(4)]
    assert [len(paper.sends(t)) for t in tids] == [1, 1, 0, 0]
    paper.answer(tids[0], 0)
    assert paper.sends(paper.accept(tenant=0))
    assert paper.balancer.demand() == {(0, True): 3}
    paper.feed(Allotted(0, True, None))
    assert paper.sends(paper.accept(tenant=0)) and paper.balancer.demand() == {}


def test_a_limit_of_nothing_lets_nothing_in():
    paper = limited()
    paper.feed(Allotted(0, False, 0.0, paper.now + 60 * SECOND, 0.0))
    assert admitted(paper, 3, 20) == 0
    assert paper.balancer.demand() == {(0, False): 60}


# --- rule two at its edges -----------------------------------------------------------------------

BOOK, ZONED, CELLED = 2, 3, 4
WINDOW = 400 * MS


@pytest.mark.parametrize("cls", [BOOK, ZONED, CELLED])
@pytest.mark.parametrize(("after", "again"), [(WINDOW - 1, True), (WINDOW, False), (WINDOW + 1, False)])
def test_a_keyed_call_is_repeated_within_its_window_and_not_at_its_end(cls, after, again):
    """Aims are longer than the window here, so that nothing else ends the call."""
    wide = settings()
    classes = tuple(replace(c, aim_ns=900 * MS) for c in wide.classes)
    paper = Paper(replace(wide, classes=classes), servers=16)
    tid = paper.accept(cls, ttl=950 * MS)
    first = paper.sends(tid)[0]
    paper.now += after
    paper.answer(tid, 0, how=305)
    sends = paper.sends(tid)
    assert (len(sends) == 2) is again
    if again:
        entry, other = paper.entries[first], paper.entries[sends[1]]
        if cls == ZONED:
            assert other.zone == entry.zone
        if cls == CELLED:
            assert other.cell == entry.cell
    else:  # it may have run, so only a group of all may be told to come back
        assert paper.finals[tid] == ("refused" if cls == BOOK else "failed")


def test_a_keyed_call_whose_group_has_no_other_server_is_not_sent_elsewhere():
    paper = Paper(servers=0)
    entries = (Entry("s0", zone=0, cell=0), Entry("s1", zone=1, cell=1), Entry("s2", zone=1, cell=2))
    paper.feed(Directory("FULL", entries))
    for cls in (ZONED, CELLED):
        for _ in range(30):
            tid = paper.accept(cls)
            first = paper.sends(tid)[:1]
            if not first:  # all are in backoff: it is held, and ends in time
                paper.advance(5_000 * MS)
                assert tid in paper.finals
                continue
            paper.answer(tid, 0, how=305)
            if first == ["s0"]:
                assert paper.sends(tid)[1:] in ([], ["s0"])
            if (tid, 1) in paper.out:
                paper.answer(tid, 1)
            paper.now += 600 * MS
