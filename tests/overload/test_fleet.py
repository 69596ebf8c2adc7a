"""The line over whole fleets in virtual time, with the faults of the letter: real balancers, real members."""

from __future__ import annotations

import pytest

from covetally.interface import Settings
from covetally.lab.fleet import SECOND, Books, ClassLoad, Fleet, NodeShape, Plan
from covetally.lab.line import Lined, changed
from covetally.overload.threshold import Line
from covetally.rig import site
from covetally.rig.schedule import Link, Schedule, Step

SIZE, NODES, CAN_DO = 12, 4, 350.0
HALF, REST = tuple(range(SIZE // 2)), tuple(range(SIZE // 2, SIZE))
ALL = tuple(range(SIZE))


def play(schedule: Schedule = (), seed=2, high=625.0, lies=None, line=True, dead=False):
    """5 s at 200 a second, 8 s at `high`, 5 s at 200. Returns the books and the line's members."""
    work = site.work_ms()
    classes = tuple(ClassLoad(i, c.share, work[c.name]) for i, c in enumerate(site.LOAD_CLASSES))
    settings = Settings.parse(site.settings(0, SIZE, 0.25, 8000))
    steps = ((0.0, 200.0), (5.0, high), (13.0, 200.0))
    nodes = tuple(NodeShape(4, zone=i % 3) for i in range(NODES))
    fleet = Fleet(Plan(18.0, steps, classes, nodes, SIZE, seed), settings)
    lined = Lined(fleet, lies=lies) if line else None
    if lined is not None:
        lined.play(schedule)
    if dead:
        fleet.at(7.0, lambda: setattr(fleet.nodes[0], "slow", 3.0))
        fleet.at(10.0, lambda: setattr(fleet.nodes[0], "slow", 1.0))
    return fleet.run(), lined


def in_time(books: Books, begin: float = 8, end: float = 13) -> float:
    """First tries and retries in time a second, of what nodes can do."""
    return books.total("in_time", begin, end) / (end - begin) / CAN_DO


def back(books: Books) -> float:
    """Share in time of those due in the last two seconds."""
    return books.total("due_in_time", 16, 18) / books.total("asked", 16, 18)


CUT, FLAPS = Link(cut=True), Link(flap_s=1.0)
FAULTS: dict[str, Schedule] = {
    "well": (),
    "half cut off from the rest": (Step(6.0, "link", HALF, REST, CUT), Step(6.0, "link", REST, HALF, CUT)),
    "half cut one way": (Step(6.0, "link", HALF, REST, CUT),),
    "flapping": (Step(4.0, "link", HALF, REST, FLAPS), Step(4.0, "link", REST, HALF, FLAPS)),
    "half of all datagrams lost": (Step(0.0, "link", ALL, ALL, Link(lose=0.5)),),
    "a third stopped and continued": (Step(7.0, "stop", ALL[::3]), Step(10.0, "go_on", ALL[::3])),
    "seven in ten killed and all back at once": (Step(7.0, "kill", ALL[:8]), Step(8.5, "start", ALL[:8])),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_storm_is_served_near_what_nodes_can_do_under(fault):
    books, _ = play(FAULTS[fault])
    assert in_time(books) > 0.8, "without the line some 0.65"
    assert books.total("for_nobody", 8, 13) < 0.05 * books.total("ran", 8, 13)
    assert back(books) > 0.97
    shares = [books.by_class[c, "in_time"] / books.by_class[c, "asked"] for c in range(4)]
    assert min(shares) > 0.5 * sum(shares) / 4, "no class below half of the mean"


def test_without_the_line_the_same_storm_wastes_what_nodes_do():
    """What the others are held against; and if this ends well, they prove nothing."""
    books, _ = play(line=False)
    assert in_time(books) < 0.75
    assert books.total("for_nobody", 8, 13) > 0.15 * books.total("ran", 8, 13)


def test_all_words_five_seconds_late_are_no_worse_than_no_line():
    late = (Step(0.0, "link", ALL, ALL, Link(delay_s=(5.0, 5.02))),)
    assert in_time(play(late)[0]) > in_time(play(line=False)[0]) - 0.05


@pytest.mark.parametrize("ratio", [0.0, 25.0])
def test_one_that_lies_neither_opens_the_line_nor_raises_it(ratio):
    def lie(now, word):
        return changed(word, ratio=ratio, weight=60_000, rung=0 if ratio == 0.0 else 24)

    books, lined = play(lies={3: lie})
    assert in_time(books) > 0.85
    calm = [rung for at, _, rung in lined.samples if at < 5]
    assert set(calm) == {0}, "that all is lost"
    assert back(books) > 0.97


def test_a_lone_one_with_a_bad_link_does_not_pull_the_fleet_down():
    """All that one of them sees is late: its zone's link, not the fleet."""

    def lie(now, word):
        return changed(word, ratio=9.0, weight=20)

    books, lined = play(lies={5: lie}, high=200.0)
    assert {rung for _, _, rung in lined.samples} == {0}
    assert books.total("in_time") > 0.99 * books.total("asked")


def test_a_node_that_is_slow_in_the_middle_and_well_again_ends_well():
    books, _ = play(dead=True)
    assert back(books) > 0.97 and in_time(books) > 0.7


def test_words_do_not_grow_with_the_fleet():
    _, lined = play()
    assert lined.said / 18.0 <= 16 * 4 + 1


@pytest.mark.parametrize("fault", ["up", "median", "settle"])
def test_planted_faults_are_found(monkeypatch, fault):
    """A line that never goes up; one that believes the loudest; one that moves at every look."""
    if fault == "up":
        monkeypatch.setattr(Line, "_target", lambda self, now, votes: self.rung)
        assert in_time(play()[0]) < 0.75
    elif fault == "median":
        loudest = lambda votes: (max(v.seen.ratio for v in votes), 99.0)  # noqa: E731
        monkeypatch.setattr("covetally.overload.threshold.load_of", loudest)
        _, lined = play(lies={5: lambda now, word: changed(word, ratio=9.0, weight=20)}, high=200.0)
        assert {rung for _, _, rung in lined.samples} != {0}
    else:
        monkeypatch.setattr("covetally.overload.threshold.SINCE_NS", -(10 * SECOND))
        rungs = [rung for at, _, rung in play()[1].samples if 8 <= at < 13]
        steady = [rung for at, _, rung in play()[1].samples if 8 <= at < 13]
        assert rungs and steady and max(rungs) - min(rungs) >= 5
