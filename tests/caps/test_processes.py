"""Caps on real sidecars: sockets counted from outside, demand that moves, faults between the processes."""

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
CAPPED = f'[caps]\nmode = "{{mode}}"\nlease_s = 1.5\n[caps.client]\n{TENANT} = {CAP}\n'


@contextlib.asynccontextmanager
async def capped(folder: Path, text: str):
    path = folder / "operator.toml"
    path.write_text(text)
    async with World(Shape(nodes=2, instances=SIZE, slots=16, peers=True)) as world:
        for instance in world.instances.values():
            instance.arguments = ("--operator", str(path))
        await world.start_instances()
        yield world, path


CUT, STOPPED = Link(cut=True), "the holder of most stopped past its lease and continued"
HALF, REST = (0, 1), (2, 3, 4)
FAULTS = {
    "well": (),
    "half cut off both ways": (Step(0.3, "link", HALF, REST, CUT), Step(0.3, "link", REST, HALF, CUT)),
    "half of all datagrams lost": (Step(0.0, "link", (*HALF, *REST), (*HALF, *REST), Link(lose=0.5)),),
    "a home killed and back": (Step(0.5, "kill", (3,)), Step(1.5, "start", (3,))),
    STOPPED: (Step(0.5, "stop", (0,)), Step(5.0, "go_on", (0,))),
}


@pytest.mark.parametrize("mode, fault", [("lapses", f) for f in FAULTS] + [("never", "half cut off both ways"),
                         ("never", STOPPED)])  # fmt: skip
def test_all_sidecars_together_hold_no_more_than_the_cap_while_the_demand_moves_under(tmp_path, mode, fault):
    async def main():
        async with asyncio.timeout(4 * TEST_TIMEOUT_S), capped(tmp_path, CAPPED.format(mode=mode)) as (world, _):
            crowd = Crowd(world, TENANT, CAP)
            runs = asyncio.create_task(crowd.run())
            crowd.wanted["a0"] = CAP
            await wait_until(lambda: len(crowd.served) >= 0.8 * CAP)
            faulty = asyncio.create_task(Faults(world).play(FAULTS[fault]))
            await asyncio.sleep(0.7)
            if any(step.do == "stop" for step in FAULTS[fault]):
                crowd.stopped = {"a0"} if mode == "lapses" else set()
            crowd.wanted["a0"], crowd.wanted["a4"], crowd.wanted["a1"] = 0, CAP, CAP
            await faulty
            await asyncio.sleep(2.0)
            crowd.stopped.clear()
            assert world.datagrams is not None
            world.datagrams.heal()
            await wait_until(lambda: sum(w in ("a1", "a4") for w in crowd.served.values()) >= 0.8 * CAP)
            crowd.ended = True
            await runs
            assert crowd.over <= 0, f"{crowd.most} open of {CAP}"
            assert crowd.refused > 0 and crowd.unanswered == 0

    asyncio.run(main())


def test_two_that_want_all_of_a_cap_have_it_between_them_and_do_not_take_it_from_each_other_in_turn(tmp_path):
    async def main():
        async with (
            asyncio.timeout(4 * TEST_TIMEOUT_S),
            capped(tmp_path, CAPPED.format(mode="lapses")) as (world, _),
        ):
            crowd = Crowd(world, TENANT, CAP, pause_s=0.1)  # which is no rest
            runs = asyncio.create_task(crowd.run())
            crowd.wanted["a0"] = crowd.wanted["a2"] = CAP
            await wait_until(lambda: len(crowd.served) >= 0.8 * CAP)
            in_use = []
            for _ in range(60):
                in_use.append(len(crowd.served))
                await asyncio.sleep(0.05)
            crowd.ended = True
            await runs
            assert sum(in_use) / len(in_use) >= 0.8 * CAP, in_use
            assert crowd.over <= 0 and crowd.refused > 0 and crowd.unanswered == 0

    asyncio.run(main())


def test_a_greedy_tenants_storm_leaves_the_others_connections_as_they_were(tmp_path):
    async def main():
        async with (
            asyncio.timeout(3 * TEST_TIMEOUT_S),
            capped(tmp_path, CAPPED.format(mode="lapses")) as (world, _),
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


def test_a_cap_lowered_under_way_is_reached_without_losing_a_request(tmp_path):
    async def main():
        async with (
            asyncio.timeout(3 * TEST_TIMEOUT_S),
            capped(tmp_path, CAPPED.format(mode="lapses")) as (world, path),
        ):
            crowd = Crowd(world, TENANT, CAP)
            runs = asyncio.create_task(crowd.run())
            crowd.wanted["a0"] = crowd.wanted["a2"] = CAP
            await wait_until(lambda: len(crowd.served) >= 0.8 * CAP)
            path.write_text(CAPPED.format(mode="lapses").replace(f"= {CAP}", "= 4"))
            for instance in world.instances.values():
                instance.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: len(crowd.served) <= 4)
            await asyncio.sleep(1.0)
            assert len(crowd.served) <= 4 and crowd.unanswered == 0
            path.write_text(CAPPED.format(mode="lapses"))
            for instance in world.instances.values():
                instance.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: len(crowd.served) >= 0.8 * CAP)
            assert world.account.judge().kept
            crowd.ended = True
            await runs

    asyncio.run(main())


@pytest.mark.parametrize(
    "text, said",
    [("[caps.client]\nofficina-milano = 5\n", "no such workshop"),
     ("[caps.client]\nofficina-brescia = -1\n", "from 0"),
     ("[caps.node]\nofficina-brescia = 5\n[tier.in_flight]\nofficina-brescia = 5\n", "not both"),
     ('[caps]\nmode = "sometimes"\n', "lapses, never")],
)  # fmt: skip
def test_what_cannot_hold_is_refused_in_one_line(tmp_path, text, said):
    async def main():
        with pytest.raises(RuntimeError, match="ended") as error:
            async with asyncio.timeout(TEST_TIMEOUT_S), capped(tmp_path, text):
                pass
        lines = [line for line in str(error.value).splitlines() if line]
        assert len(lines) == 1 and said in lines[0]

    asyncio.run(main())
