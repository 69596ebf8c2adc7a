"""The load that all sidecars together put on cold nodes, in virtual time; and the check that detects overload."""

from __future__ import annotations

import pytest

from covetally.interface import Settings
from covetally.lab.cold import OverloadWindow, find_worst_window, overload_work_ns, play
from covetally.lab.fleet import MS, SECOND, ClassLoad, FleetConfig, FleetCounts, FleetSimulation, NodeShape
from covetally.rig.site import settings


@pytest.mark.parametrize("sidecars, cold", [(60, 1), (60, 5), (200, 5)])
def test_all_sidecars_together_do_not_overload_a_cold_node(sidecars, cold):
    found, counts = play(sidecars, 10, cold, 0.7, seed=4)
    assert 0.0 < found.load_ratio < 0.6
    assert counts.total("asked") > 5_000


def test_the_load_on_a_cold_node_does_not_grow_with_the_number_of_sidecars():
    few, many = (play(sidecars, 10, 4, 0.7, seed=4)[0] for sidecars in (12, 200))
    assert many.load_ratio < 1.5 * few.load_ratio + 0.1


@pytest.mark.parametrize("count, overloaded", [(100, False), (200, True)])
def test_an_overloaded_cold_node_is_detected(count, overloaded):
    """The threshold at a tenth of the speed of four slots, with an overload multiple of 3 over 2 s.

    N = 60 requests of 40 ms, so the node is overloaded by 60 + 2 sqrt(60) + 2 = 77 requests.
    """
    config = Settings.parse(settings(0, 4, 0.1, 8000))
    shapes = (NodeShape(4, cold_from=0.1, cold_s=8.0, started_s=0.0),)
    fleet = FleetSimulation(FleetConfig(1.0, ((0.0, 1.0),), (ClassLoad(0, 1.0, 40.0),), shapes, 1), config)
    assert overload_work_ns(config, 4, 0.1, 40 * MS) == pytest.approx((60 + 2 * 60**0.5 + 2) * 40 * MS)
    counts = FleetCounts()
    counts.arrivals[0] = [(i * SECOND // count, 40 * MS) for i in range(count)]
    found = find_worst_window(fleet, counts)
    assert isinstance(found, OverloadWindow)
    assert (found.load_ratio >= 1.0) is overloaded


def test_the_same_seed_gives_the_same_run():
    assert play(12, 4, 1, 0.5, seed=9)[1].by_class == play(12, 4, 1, 0.5, seed=9)[1].by_class
