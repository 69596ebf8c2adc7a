"""Promises of the agent under a wall clock that is stepped, over restarts and a reboot."""

from __future__ import annotations

import pytest

from covetally.fleet.freezes import Freezes
from covetally.fleet.selector import parse
from covetally.fleet.steady_clock import SteadyClock, boot_id

HOUR = 3600.0


class Machine:
    """Its two clocks, and which boot it is."""

    def __init__(self) -> None:
        self.wall, self.up, self.boot = 1_000_000.0, 500.0, "first"

    def passes(self, seconds: float) -> None:
        self.wall += seconds
        self.up += seconds

    def reboots(self, down_s: float) -> None:
        self.wall += down_s
        self.up, self.boot = 1.0, "second"

    def clock(self, kept: str = "") -> SteadyClock:
        return SteadyClock(kept, self.boot, lambda: self.wall, lambda: self.up)


@pytest.mark.parametrize("step", [-HOUR, -5.0, 5.0, HOUR])
def test_a_freeze_lasts_what_was_said_though_the_clock_is_stepped_and_the_agent_restarts(step):
    """It ended an hour early, or an hour late."""
    machine, freezes = Machine(), Freezes()
    clock = machine.clock()
    freezes.add("", clock.now(), 600.0, "mara", "the campaign", "")
    kept, text = clock.to_json(), freezes.to_json()
    machine.wall += step
    machine.passes(300.0)
    assert freezes.find_blocking(parse(""), "leo", clock.now())
    clock, freezes = machine.clock(kept), Freezes(text)  # a restart
    machine.passes(299.0)
    assert freezes.find_blocking(parse(""), "leo", clock.now())
    machine.passes(2.0)
    assert not freezes.find_blocking(parse(""), "leo", clock.now())


def test_after_a_reboot_the_wall_clock_is_believed_unless_it_went_back():
    machine = Machine()
    kept = machine.clock().to_json()
    machine.reboots(down_s=60.0)
    assert machine.clock(kept).now() == pytest.approx(1_000_060.0)
    machine.wall -= HOUR
    assert machine.clock(kept).now() == pytest.approx(1_000_000.0)
    assert machine.clock().now() == pytest.approx(machine.wall)


def test_without_a_boot_id_the_wall_clock_is_believed_and_this_machine_has_one():
    machine = Machine()
    machine.boot = ""
    kept = machine.clock().to_json()
    machine.wall += HOUR
    assert machine.clock(kept).now() == pytest.approx(machine.wall)
    assert len(boot_id()) == 36
