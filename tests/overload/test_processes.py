"""Fleet-wide load shedding on real sidecars: an overload with faults, pins, and rejected settings."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from covetally.rig.faults import Faults
from covetally.rig.schedule import Link, Step
from covetally.rig.storm import Storm, play
from covetally.rig.world import Shape, World
from tests.loopback import TEST_TIMEOUT_S, wait_until

SIZE = 6
FIRST_HALF, SECOND_HALF = (0, 1, 2), (3, 4, 5)
OVERLOAD = Storm(calm=130.0, high=330.0, before_s=3.0, high_s=7.0, after_s=6.0)  # two nodes serve about 175/s
CUT = Link(cut=True)
FAULTS = {
    "no fault": (),
    "half cut off in one direction, and flapping": (
        Step(4.0, "link", FIRST_HALF, SECOND_HALF, CUT), Step(6.0, "heal"),
        Step(6.1, "link", SECOND_HALF, FIRST_HALF, Link(flap_s=0.5)),
    ),
    "half of all datagrams lost, a third paused and continued": (
        Step(2.0, "link", (*FIRST_HALF, *SECOND_HALF), (*FIRST_HALF, *SECOND_HALF), Link(lose=0.5)),
        Step(5.0, "stop", (1, 4)), Step(6.0, "go_on", (1, 4)),
    ),
    "four killed and restarted at once": (Step(5.0, "kill", (0, 2, 3, 5)), Step(6.0, "start", (0, 2, 3, 5))),
}  # fmt: skip


def write_operator_file(world: World, folder: Path, text: str) -> Path:
    """Write the operator file and make all instances use it."""
    path = folder / "operator.toml"
    path.write_text(text)
    for instance in world.instances.values():
        instance.arguments = ("--operator", str(path))
    return path


@pytest.mark.parametrize("fault", FAULTS)
def test_overload_breaks_no_rule_and_wastes_little_with(tmp_path, fault):
    async def main():
        async with (
            asyncio.timeout(3 * TEST_TIMEOUT_S),
            World(Shape(nodes=2, instances=SIZE, peers=True)) as world,
        ):
            write_operator_file(world, tmp_path, '[overload]\nmode = "on"\n')
            await world.start_instances()
            faults = Faults(world)
            faults_task = asyncio.create_task(faults.play(FAULTS[fault]))
            result = await play(world, OVERLOAD, seed=3)
            await faults_task
            verdict = world.account.judge()
            assert verdict.breaks == ()
            assert any("own shares" in i.log or "% of first tries" in i.log for i in world.instances.values())
            runs_s, wasted_s = result.settled["runs_s"], result.settled["for_nobody_s"]
            assert runs_s > 100 and wasted_s < 0.15 * runs_s, (
                result.settled,
                "0.35 and more without load shedding",
            )
            assert min(result.by_class.values()) > 0.2, "0.1 and less without load shedding"
            assert result.in_time[-2] > 0.9 * result.asked[-2]

    asyncio.run(main())


def test_pin_sets_the_level_and_its_end_is_logged(tmp_path):
    async def main():
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), World(Shape(nodes=2, instances=3, peers=True)) as world:
            path = write_operator_file(world, tmp_path, '[overload]\nmode = "on"\n')
            await world.start_instances()
            first = world.instances["a0"]
            path.write_text('[overload]\nmode = "on"\npin = "pin:no-retries:1.5"\n')
            first.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: "an operator's hand on it: pin:no-retries:1.5" in first.log)
            await wait_until(lambda: "overload line: no retries" in first.log)
            await wait_until(lambda: "overload line: open" in first.log.partition("overload line: no retries")[2])
            path.write_text('[overload]\nmode = "on"\npin = "pin:25:5"\n')
            first.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: "is not a valid level" in first.log)
            assert "the old configuration stays" in first.log and first.running

    asyncio.run(main())


@pytest.mark.parametrize(
    "text, message",
    [('[overload]\nmode = "on"\n', "needs peers"), ('[overload]\nmode = "maybe"\n', "one of on, off"),
     ('[overload]\npin = "high"\n', "pin, most or least"), ('[overload]\nlimit = 3\n', "overload.limit")],
)  # fmt: skip
def test_invalid_settings_are_rejected_in_one_line(tmp_path, text, message):
    """The platform of this test cluster allows no peers."""

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S), World(Shape(nodes=1, instances=1)) as world:
            write_operator_file(world, tmp_path, text)
            with pytest.raises(RuntimeError, match="ended") as error:
                await world.start_instance("a0")
            assert world.instances["a0"].process.returncode == 2
            lines = [line for line in world.instances["a0"].log.splitlines() if line]
            assert len(lines) == 1 and message in lines[0], error

    asyncio.run(main())
