"""The steady clock and freezes under steps of the wall clock, across agent restarts and a reboot."""

from __future__ import annotations

import pytest

from covetally.fleet.freezes import Freezes
from covetally.fleet.selector import parse
from covetally.fleet.steady_clock import SteadyClock, boot_id

HOUR = 3600.0


class Machine:
    """A machine with a wall clock, a monotonic clock and a boot id."""

    def __init__(self) -> None:
        self.wall, self.monotonic, self.boot = 1_000_000.0, 500.0, "first"

    def advance(self, seconds: float) -> None:
        self.wall += seconds
        self.monotonic += seconds

    def reboot(self, down_s: float) -> None:
        self.wall += down_s
        self.monotonic, self.boot = 1.0, "second"

    def clock(self, saved: str = "") -> SteadyClock:
        return SteadyClock(saved, self.boot, lambda: self.wall, lambda: self.monotonic)


@pytest.mark.parametrize("step", [-HOUR, -5.0, 5.0, HOUR])
def test_a_freeze_keeps_its_duration_across_a_clock_step_and_an_agent_restart(step):
    """With the wall clock, the freeze ended an hour early or an hour late."""
    machine, freezes = Machine(), Freezes()
    clock = machine.clock()
    freezes.add("", clock.now(), 600.0, "mara", "the campaign", "")
    saved_clock, saved_freezes = clock.to_json(), freezes.to_json()
    machine.wall += step
    machine.advance(300.0)
    assert freezes.find_blocking(parse(""), "leo", clock.now())
    clock, freezes = machine.clock(saved_clock), Freezes(saved_freezes)  # the agent restarts
    machine.advance(299.0)
    assert freezes.find_blocking(parse(""), "leo", clock.now())
    machine.advance(2.0)
    assert not freezes.find_blocking(parse(""), "leo", clock.now())


def test_after_a_reboot_the_wall_clock_is_used_unless_it_went_back():
    machine = Machine()
    saved = machine.clock().to_json()
    machine.reboot(down_s=60.0)
    assert machine.clock(saved).now() == pytest.approx(1_000_060.0)
    machine.wall -= HOUR
    assert machine.clock(saved).now() == pytest.approx(1_000_000.0)
    assert machine.clock().now() == pytest.approx(machine.wall)


def test_without_a_boot_id_the_wall_clock_is_used_and_this_machine_has_one():
    machine = Machine()
    machine.boot = ""
    saved = machine.clock().to_json()
    machine.wall += HOUR
    assert machine.clock(saved).now() == pytest.approx(machine.wall)
    assert len(boot_id()) == 36
