"""Fleet-wide load shedding in virtual time: the real balancers and members of a whole fleet, under faults."""

from __future__ import annotations

import pytest

from covetally.interface import Settings
from covetally.lab.fleet import SECOND, ClassLoad, FleetConfig, FleetCounts, FleetSimulation, NodeShape
from covetally.lab.overload import OverloadSimulation, altered_message
from covetally.overload.threshold import Threshold
from covetally.rig import site
from covetally.rig.schedule import Link, Schedule, Step

SIZE, NODES, CAPACITY_PER_S = 12, 4, 350.0
FIRST_HALF, SECOND_HALF = tuple(range(SIZE // 2)), tuple(range(SIZE // 2, SIZE))
ALL = tuple(range(SIZE))


def simulate(schedule: Schedule = (), seed=2, high=625.0, lies=None, shedding=True, slow_node=False):
    """Run 5 s at 200 requests a second, 8 s at `high` and 5 s at 200; return the statistics and the members."""
    work = site.work_ms()
    classes = tuple(ClassLoad(i, c.share, work[c.name]) for i, c in enumerate(site.LOAD_CLASSES))
    settings = Settings.parse(site.settings(0, SIZE, 0.25, 8000))
    steps = ((0.0, 200.0), (5.0, high), (13.0, 200.0))
    nodes = tuple(NodeShape(4, zone=i % 3) for i in range(NODES))
    fleet = FleetSimulation(FleetConfig(18.0, steps, classes, nodes, SIZE, seed), settings)
    members = OverloadSimulation(fleet, forgers=lies) if shedding else None
    if members is not None:
        members.play(schedule)
    if slow_node:
        fleet.call_at(7.0, lambda: setattr(fleet.nodes[0], "slowdown", 3.0))
        fleet.call_at(10.0, lambda: setattr(fleet.nodes[0], "slowdown", 1.0))
    return fleet.run(), members


def in_time(statistics: FleetCounts, begin: float = 8, end: float = 13) -> float:
    """Return the rate of answers in time, first tries and retries, relative to the nodes' capacity."""
    return statistics.total("in_time", begin, end) / (end - begin) / CAPACITY_PER_S


def recovered(statistics: FleetCounts) -> float:
    """Return the share of the requests of the last two seconds that got an answer in time."""
    return statistics.total("due_in_time", 16, 18) / statistics.total("asked", 16, 18)


CUT, FLAPPING = Link(cut=True), Link(flap_s=1.0)
FAULTS: dict[str, Schedule] = {
    "no fault": (),
    "half cut off from the rest": (
        Step(6.0, "link", FIRST_HALF, SECOND_HALF, CUT),
        Step(6.0, "link", SECOND_HALF, FIRST_HALF, CUT),
    ),
    "half cut off in one direction": (Step(6.0, "link", FIRST_HALF, SECOND_HALF, CUT),),
    "flapping links": (
        Step(4.0, "link", FIRST_HALF, SECOND_HALF, FLAPPING),
        Step(4.0, "link", SECOND_HALF, FIRST_HALF, FLAPPING),
    ),
    "half of all datagrams lost": (Step(0.0, "link", ALL, ALL, Link(lose=0.5)),),
    "a third paused and continued": (Step(7.0, "stop", ALL[::3]), Step(10.0, "go_on", ALL[::3])),
    "two thirds killed and all restarted at once": (Step(7.0, "kill", ALL[:8]), Step(8.5, "start", ALL[:8])),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_overload_is_served_near_the_capacity_of_the_nodes_with(fault):
    statistics, _ = simulate(FAULTS[fault])
    assert in_time(statistics) > 0.8, "about 0.65 without load shedding"
    assert statistics.total("for_nobody", 8, 13) < 0.05 * statistics.total("ran", 8, 13)
    assert recovered(statistics) > 0.97
    shares = [statistics.by_class[c, "in_time"] / statistics.by_class[c, "asked"] for c in range(4)]
    assert min(shares) > 0.5 * sum(shares) / 4, "no class below half of the mean"


def test_the_same_overload_without_load_shedding_wastes_capacity():
    """The baseline of the other tests: if this one ended well, they would prove nothing."""
    statistics, _ = simulate(shedding=False)
    assert in_time(statistics) < 0.75
    assert statistics.total("for_nobody", 8, 13) > 0.15 * statistics.total("ran", 8, 13)


def test_messages_that_are_five_seconds_late_are_no_worse_than_no_load_shedding():
    late = (Step(0.0, "link", ALL, ALL, Link(delay_s=(5.0, 5.02))),)
    assert in_time(simulate(late)[0]) > in_time(simulate(shedding=False)[0]) - 0.05


@pytest.mark.parametrize("ratio", [0.0, 25.0])
def test_one_lying_member_neither_lowers_nor_raises_the_level(ratio):
    def lie(now, word):
        return altered_message(word, ratio=ratio, weight=60_000, rung=0 if ratio == 0.0 else 24)

    statistics, members = simulate(lies={3: lie})
    assert in_time(statistics) > 0.85
    before = [level for at, _, level in members.samples if at < 5]
    assert set(before) == {0}, "the level stays open until the overload begins"
    assert recovered(statistics) > 0.97


def test_one_member_with_a_bad_link_does_not_raise_the_level_of_the_fleet():
    """All of its answers are late because of the link of its zone, not because of load."""

    def lie(now, word):
        return altered_message(word, ratio=9.0, weight=20)

    statistics, members = simulate(lies={5: lie}, high=200.0)
    assert {level for _, _, level in members.samples} == {0}
    assert statistics.total("in_time") > 0.99 * statistics.total("asked")


def test_fleet_recovers_after_a_node_was_slow_for_a_while():
    statistics, _ = simulate(slow_node=True)
    assert recovered(statistics) > 0.97 and in_time(statistics) > 0.7


def test_message_rate_does_not_grow_with_the_fleet():
    _, members = simulate()
    assert members.sent / 18.0 <= 16 * 4 + 1


@pytest.mark.parametrize("fault", ["never rises", "no median", "no settling"])
def test_broken_implementations_fail(monkeypatch, fault):
    """A level that never rises, one that follows the highest sample, and one that changes at every evaluation."""
    if fault == "never rises":
        monkeypatch.setattr(Threshold, "_target_level", lambda self, now, votes: self.level)
        assert in_time(simulate()[0]) < 0.75
    elif fault == "no median":
        highest = lambda votes: (max(v.sample.ratio for v in votes), 99.0)  # noqa: E731
        monkeypatch.setattr("covetally.overload.threshold.load_of", highest)
        _, members = simulate(lies={5: lambda now, word: altered_message(word, ratio=9.0, weight=20)}, high=200.0)
        assert {level for _, _, level in members.samples} != {0}
    else:
        monkeypatch.setattr("covetally.overload.threshold.SETTLE_NS", -(10 * SECOND))
        decided = [level for at, _, level in simulate()[1].samples if 8 <= at < 13]
        steady = [level for at, _, level in simulate()[1].samples if 8 <= at < 13]
        assert decided and steady and max(decided) - min(decided) >= 5
