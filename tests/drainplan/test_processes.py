"""Drain orders of real sidecars under a real agent, observed from outside by the sidecars' health answers."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import time
from types import SimpleNamespace

import pytest

from covetally.rig.crashes import every_commit
from covetally.rig.load import Load, Plan
from covetally.rig.managed import COMMAND, Managed
from covetally.rig.orders import OUT, Watch, pids, until_phase
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.together import KNOWN_S, ORDER
from covetally.rig.world import Shape
from tests.loopback import TEST_TIMEOUT_S, wait_until

SIZE = 6  # two in each of the zones a, b, c


@contextlib.asynccontextmanager
async def supervised(module: str = COMMAND):
    """Start an agent that supervises the sidecars; yield the test cluster and a watch of their health."""
    async with asyncio.timeout(4 * TEST_TIMEOUT_S), Managed(Shape(nodes=3, instances=SIZE)) as world:
        await world.start_supervised(module)
        await asyncio.sleep(3.2)  # a new agent only listens at first
        watch = Watch(world)
        looks = asyncio.create_task(watch.run())
        try:
            yield world, watch
        finally:
            watch.ended = True
            await looks


def test_order_restarts_all_sidecars_in_waves_under_load_above_every_floor():
    async def main():
        async with supervised() as (world, watch):
            before = await pids(world)
            load_plan = Plan(LOAD_CLASSES, TENANTS, tuple(world.instances), rate=60, seconds=14, seed=4)
            addresses = {name: instance.address for name, instance in world.instances.items()}
            load = Load(world.account, addresses, load_plan, lambda name: True)
            played = asyncio.create_task(load.play(load_plan.draw()))
            code, out, err = await world.command("drain", "plan", *ORDER)
            assert code == 0 and "wave 2" in out and "bottleneck" in out, err
            code, out, err = await world.command("drain", "start", "-m", "new kernel", *ORDER)
            assert code == 0 and "order 1" in out, err
            code, out, err = await world.command("drain", "start", *ORDER)
            assert code != 0 and "drain back" in err
            await until_phase(world, "done")
            after = await pids(world)
            assert all(after[name] != before[name] for name in before)
            assert min(watch.least.values()) >= 1, watch.least
            table = await world.table("outages")
            assert table["out"] == [] and table["permits"] == []
            await played
            assert world.account.judge().kept

    asyncio.run(main())


@pytest.mark.parametrize("times", [1, 3])
def test_order_continues_after_the_agent_is_killed_and_restarts_each_sidecar_once(times):
    async def main():
        async with supervised() as (world, watch):
            before = await pids(world)
            assert (await world.command("drain", "start", *ORDER))[0] == 0
            for attempt in range(times):
                await asyncio.sleep(0.3 + 0.4 * attempt)
                await world.kill_agent()
                await world.start_supervisor()
                await wait_until(lambda: world.agent.returncode is None)
            await until_phase(world, "done")
            await world.connected()
            after = await pids(world)
            assert all(after[name] != before[name] for name in before)
            assert min(watch.least.values()) >= 1, watch.least
            ends = [i.log.count(" drains") for i in world.instances.values()]
            assert ends == [1] * SIZE, "each was drained once"

    asyncio.run(main())


def test_paused_sidecar_with_an_open_link_counts_as_out_and_blocks_the_order():
    async def main():
        async with supervised() as (world, watch):
            found = await pids(world)
            os.kill(found["a0"], signal.SIGSTOP)  # one sidecar of zone a still serves
            watch.faulty["a0"] = time.monotonic()
            await asyncio.sleep(KNOWN_S)
            assert (await world.command("drain", "start", *ORDER))[0] == 0
            while "floor" not in (order := (await world.get("/v1/drains"))["order"])["reason"]:
                assert order["phase"] != "done"
                await asyncio.sleep(0.1)
            assert "a3" not in order["gone"] and (await pids(world))["a3"] == found["a3"]
            code, out, _ = await world.command("drain", "halt", "-m", "look first")
            assert code == 0 and "halted" in out
            os.kill(found["a0"], signal.SIGCONT)
            await asyncio.sleep(2.0)
            after = (await world.get("/v1/drains"))["order"]
            assert after["phase"] == "halted" and len(after["gone"]) == len(order["gone"])
            code, out, _ = await world.command("drain", "back")
            assert code == 0
            await until_phase(world, "done")
            assert (await world.get("/v1/drains"))["permits"] == []
            assert watch.broken(1, KNOWN_S) == []

    asyncio.run(main())


def test_each_sidecar_restarts_once_if_the_agent_is_killed_after_any_commit():
    """Kill it after the first commit, after the second, and so on until an order has no further one.

    `benchmarks.crashes` also kills it before each commit.
    """
    found = asyncio.run(every_commit("after", jobs=6))
    assert {number: crash.broken for number, crash in found.items() if crash.broken} == {}
    assert sum(crash.died for crash in found.values()) >= 12


def test_second_order_notifies_a_sidecar_of_the_first_one_again():
    async def main():
        async with supervised() as (world, _):
            for _ in range(2):
                before = await pids(world)
                assert (await world.command("drain", "start", "-s", "name=a0", *ORDER))[0] == 0
                await until_phase(world, "done")
                assert (await pids(world))["a0"] != before["a0"]

    asyncio.run(main())


def test_watch_checks_an_outage_against_the_other_outages_of_its_zone():
    watch = Watch(SimpleNamespace(instances=dict.fromkeys(f"a{n}" for n in range(SIZE))))  # by three zones
    watch._saw("a0", 1.0, OUT)
    watch._saw("a1", 2.0, OUT)
    assert [(move.name, move.others) for move in watch.moves] == [("a0", {}), ("a1", {"a0": (1.0, True)})]
    assert watch.broken(1, KNOWN_S) == []
    watch._saw("a3", 3.0, OUT)
    assert watch.broken(1, KNOWN_S) == ["floor: a3 went out, a0 out for 2.0 s"]


def test_watch_finds_an_agent_that_does_not_probe_the_sidecars():
    async def main():
        async with supervised("tests.drainplan.agent_without_probes") as (world, watch):
            pid = (await pids(world))["a0"]
            os.kill(pid, signal.SIGSTOP)
            watch.faulty["a0"] = time.monotonic()
            await asyncio.sleep(KNOWN_S)
            assert (await world.command("drain", "start", "-s", "name=a3", *ORDER))[0] == 0
            await wait_until(lambda: watch.moves)
            os.kill(pid, signal.SIGCONT)
            assert [line[:22] for line in watch.broken(1, KNOWN_S)] == ["floor: a3 went out, a0"]

    asyncio.run(main())


@pytest.mark.parametrize(
    "arguments, message",
    [(("plan", "--floor", "each=100%"), "below its floor"), (("plan", "--floor", "z=1"), "no zone 'z'"),
     (("start", "--floor", "each=half"), "ZONE=N"), (("halt",), "no order is under way"),
     (("start", "-s", "name=nobody"), "no instance matches")],
)  # fmt: skip
def test_invalid_commands_are_rejected_in_one_line(arguments, message):
    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S), Managed(Shape(nodes=1, instances=2)) as world:
            await world.start_agent()
            await world.start_instances()
            await world.connected()
            code, out, err = await world.command("drain", *arguments)
            lines = [line for line in err.splitlines() if line]
            assert code not in (0, None) and len(lines) == 1 and message in lines[0], (out, err)

    asyncio.run(main())
