"""Caps on real sidecars: sockets counted from outside while demand moves and faults are injected between them."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path

import pytest

from covetally.rig.crowd import Crowd
from covetally.rig.faults import Faults
from covetally.rig.schedule import Link, Step
from covetally.rig.world import Shape, World
from tests.loopback import TEST_TIMEOUT_S, wait_until

SIZE, CAP = 5, 12
TENANT = "officina-brescia"
CAPS_SETTINGS = f'[caps]\nmode = "{{mode}}"\nlease_s = 1.5\n[caps.client]\n{TENANT} = {CAP}\n'


@contextlib.asynccontextmanager
async def sidecars_with_caps(folder: Path, text: str):
    """Start SIZE sidecars with an operators' file of this text; yields them and the path of the file."""
    path = folder / "operator.toml"
    path.write_text(text)
    async with World(Shape(nodes=2, instances=SIZE, slots=16, peers=True)) as world:
        for instance in world.instances.values():
            instance.arguments = ("--operator", str(path))
        await world.start_instances()
        yield world, path


CUT, STOPPED = Link(cut=True), "the holder of most units stopped past its lease and continued"
HALF, OTHERS = (0, 1), (2, 3, 4)
FAULTS = {
    "no fault": (),
    "halves cut off from each other": (
        Step(0.3, "link", HALF, OTHERS, CUT),
        Step(0.3, "link", OTHERS, HALF, CUT),
    ),
    "half of all datagrams lost": (Step(0.0, "link", (*HALF, *OTHERS), (*HALF, *OTHERS), Link(lose=0.5)),),
    "an owner killed and restarted": (Step(0.5, "kill", (3,)), Step(1.5, "start", (3,))),
    STOPPED: (Step(0.5, "stop", (0,)), Step(5.0, "go_on", (0,))),
}


@pytest.mark.parametrize(
    "mode, fault",
    [("lapses", f) for f in FAULTS] + [("never", "halves cut off from each other"), ("never", STOPPED)],
)
def test_all_sidecars_together_never_exceed_the_cap_while_demand_moves_under(tmp_path, mode, fault):
    async def main():
        async with (
            asyncio.timeout(4 * TEST_TIMEOUT_S),
            sidecars_with_caps(tmp_path, CAPS_SETTINGS.format(mode=mode)) as (world, _),
        ):
            crowd = Crowd(world, TENANT, CAP)
            clients = asyncio.create_task(crowd.run())
            crowd.wanted["a0"] = CAP
            await wait_until(lambda: len(crowd.served) >= 0.8 * CAP)
            faults = asyncio.create_task(Faults(world).play(FAULTS[fault]))
            await asyncio.sleep(0.7)
            if any(step.do == "stop" for step in FAULTS[fault]):
                crowd.stopped = {"a0"} if mode == "lapses" else set()
            crowd.wanted["a0"], crowd.wanted["a4"], crowd.wanted["a1"] = 0, CAP, CAP
            await faults
            await asyncio.sleep(2.0)
            crowd.stopped.clear()
            assert world.datagrams is not None
            world.datagrams.heal()
            await wait_until(lambda: sum(w in ("a1", "a4") for w in crowd.served.values()) >= 0.8 * CAP)
            crowd.ended = True
            await clients
            assert crowd.over <= 0, f"{crowd.most} open of {CAP}"
            assert crowd.refused > 0 and crowd.unanswered == 0

    asyncio.run(main())


def test_two_sidecars_that_want_a_whole_cap_use_all_of_it_without_taking_units_from_each_other_in_turn(tmp_path):
    async def main():
        async with (
            asyncio.timeout(4 * TEST_TIMEOUT_S),
            sidecars_with_caps(tmp_path, CAPS_SETTINGS.format(mode="lapses")) as (world, _),
        ):
            crowd = Crowd(world, TENANT, CAP, pause_s=0.1)  # too short to count as idle
            clients = asyncio.create_task(crowd.run())
            crowd.wanted["a0"] = crowd.wanted["a2"] = CAP
            await wait_until(lambda: len(crowd.served) >= 0.8 * CAP)
            in_use = []
            for _ in range(60):
                in_use.append(len(crowd.served))
                await asyncio.sleep(0.05)
            crowd.ended = True
            await clients
            assert sum(in_use) / len(in_use) >= 0.8 * CAP, in_use
            assert crowd.over <= 0 and crowd.refused > 0 and crowd.unanswered == 0

    asyncio.run(main())


def test_overload_by_one_tenant_leaves_the_connections_of_others_open(tmp_path):
    async def main():
        async with (
            asyncio.timeout(3 * TEST_TIMEOUT_S),
            sidecars_with_caps(tmp_path, CAPS_SETTINGS.format(mode="lapses")) as (world, _),
        ):
            others, greedy = Crowd(world, "officina-verona", CAP), Crowd(world, TENANT, CAP, pause_s=0.0)
            tasks = [asyncio.create_task(crowd.run()) for crowd in (others, greedy)]
            others.wanted["a0"] = 8
            await wait_until(lambda: len(others.served) == 8)
            before = set(others.served)
            greedy.wanted["a0"] = 100
            await wait_until(lambda: greedy.refused > 300 and len(greedy.served) >= 0.8 * CAP)
            assert set(others.served) == before and others.refused == 0
            assert greedy.over <= 0
            others.ended = greedy.ended = True
            await asyncio.gather(*tasks)

    asyncio.run(main())


def test_cap_lowered_by_a_reload_is_reached_without_losing_a_request(tmp_path):
    async def main():
        async with (
            asyncio.timeout(3 * TEST_TIMEOUT_S),
            sidecars_with_caps(tmp_path, CAPS_SETTINGS.format(mode="lapses")) as (world, path),
        ):
            crowd = Crowd(world, TENANT, CAP)
            clients = asyncio.create_task(crowd.run())
            crowd.wanted["a0"] = crowd.wanted["a2"] = CAP
            await wait_until(lambda: len(crowd.served) >= 0.8 * CAP)
            path.write_text(CAPS_SETTINGS.format(mode="lapses").replace(f"= {CAP}", "= 4"))
            for instance in world.instances.values():
                instance.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: len(crowd.served) <= 4)
            await asyncio.sleep(1.0)
            assert len(crowd.served) <= 4 and crowd.unanswered == 0
            path.write_text(CAPS_SETTINGS.format(mode="lapses"))
            for instance in world.instances.values():
                instance.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: len(crowd.served) >= 0.8 * CAP)
            assert world.account.judge().kept
            crowd.ended = True
            await clients

    asyncio.run(main())


@pytest.mark.parametrize(
    "text, message",
    [("[caps.client]\nofficina-milano = 5\n", "no such tenant"),
     ("[caps.client]\nofficina-brescia = -1\n", "from 0"),
     ("[caps.node]\nofficina-brescia = 5\n[tier.in_flight]\nofficina-brescia = 5\n", "not both"),
     ('[caps]\nmode = "sometimes"\n', "lapses, never")],
)  # fmt: skip
def test_invalid_caps_are_rejected_with_a_one_line_message(tmp_path, text, message):
    async def main():
        with pytest.raises(RuntimeError, match="ended") as error:
            async with asyncio.timeout(TEST_TIMEOUT_S), sidecars_with_caps(tmp_path, text):
                pass
        lines = [line for line in str(error.value).splitlines() if line]
        assert len(lines) == 1 and message in lines[0]

    asyncio.run(main())
