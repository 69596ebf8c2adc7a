"""Cold nodes are not overloaded by the sum of what many sidecars send, most of which send little (rule four)."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from covetally.rig.load import Load, Plan
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.world import Shape, World
from tests.loopback import TEST_TIMEOUT_S, wait_until

READY_S = 10.0  # by then nine in ten of the started sidecars are ready


@pytest.mark.parametrize("count", [20, 30])
def test_cold_nodes_are_not_overloaded_by_a_burst_from_many_processes(count):
    """All sidecars start at once, and one of them gets a fifth of all requests. Then a node restarts cold and two
    cold nodes join, while the load rises by half."""

    async def main():
        shape = Shape(nodes=5, instances=count, work_scale=2.0, cold_from=0.25, cold_ms=6000)
        async with asyncio.timeout(4 * TEST_TIMEOUT_S), World(shape) as world:
            started = time.monotonic()
            ready = []

            async def start(name: str) -> None:
                await world.start_instance(name)
                ready.append(time.monotonic() - started)

            await asyncio.gather(*(start(name) for name in world.instances))
            assert sorted(ready)[int(0.9 * count) - 1] < READY_S
            names = tuple(world.instances)
            senders = names + names[:1] * (count // 4)
            addresses = {name: instance.address for name, instance in world.instances.items()}
            base = Plan(LOAD_CLASSES, TENANTS, senders, rate=110, seconds=9.0, seed=count)
            burst = replace(base, rate=60, seconds=5.0, seed=count + 1)
            planned = base.draw() + [replace(p, at_s=p.at_s + 1.0) for p in burst.draw()]
            load = Load(world.account, addresses, base, world.alive)
            played = asyncio.create_task(load.play(sorted(planned, key=lambda p: p.at_s)))
            await wait_until(lambda: all(node.seen["arrived"] for node in world.nodes.values()))
            await world.kill_node("n1")
            await asyncio.sleep(0.5)
            before = {"n1": world.nodes["n1"].seen["arrived"]}
            await asyncio.gather(
                world.revive_node("n1"), world.add_node("m0", 5, cold=True), world.add_node("m1", 6, cold=True)
            )
            await played
            assert world.account.judge().breaks == ()
            arrived = {
                name: world.nodes[name].seen["arrived"] - before.get(name, 0) for name in ("n1", "m0", "m1")
            }
            assert min(arrived.values()) > 10, arrived

    asyncio.run(main())
