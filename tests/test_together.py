"""All three at once on real processes: a drain order under way, a storm, a cap at its limit, and a zone lost."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal

from covetally.rig.crowd import Crowd
from covetally.rig.managed import Managed
from covetally.rig.orders import Watch, phase, pids, until_phase
from covetally.rig.storm import Storm, play
from covetally.rig.together import CAP, CONTROL, TENANT
from covetally.rig.world import Shape
from tests.loopback import TEST_TIMEOUT_S, wait_until

STORM = Storm(calm=50.0, high=300.0, before_s=5.0, high_s=10.0, after_s=4.0)  # nodes can do 175 a second


def test_an_order_a_storm_a_cap_at_its_limit_and_a_lost_zone():
    async def main():
        shape = Shape(nodes=4, instances=6, peers=True, work_scale=2.0)
        async with asyncio.timeout(5 * TEST_TIMEOUT_S), Managed(shape, control=CONTROL) as world:
            # The load's own workshops would meet the cap: its requests come as another one's.
            await world.start_supervised()
            await asyncio.sleep(6.0)  # homes leave alone what a life before may have lent; a new agent listens
            watch = Watch(world)
            looks = asyncio.create_task(watch.run())
            crowd = Crowd(world, TENANT, CAP, pause_s=0.1)
            runs = asyncio.create_task(crowd.run())
            crowd.wanted["a0"] = crowd.wanted["a2"] = CAP
            await wait_until(lambda: len(crowd.served) >= 0.8 * CAP)
            storm = asyncio.create_task(play(world, STORM, seed=5))
            await asyncio.sleep(STORM.before_s - 1.0)
            code, _, err = await world.command(
                "drain", "start", "--floor", "each=50%", "--floor", "all=83%", "-m", "one after the other"
            )
            assert code == 0, err
            reasons = set()
            lost = False
            while not storm.done():
                with contextlib.suppress(OSError):
                    order = (await world.get("/v1/drains"))["order"]
                    reasons.add(order["reason"].split(",")[0])
                if not lost and "shedding load" in str(reasons):
                    lost = True
                    watch.excused |= {"a1", "a4"}
                    found = await pids(world)
                    for name in ("a1", "a4"):
                        world.instances[name].killed = True  # what it held is its clients'
                        os.kill(found[name], signal.SIGKILL)
                    await world.kill_node("n1")
                await asyncio.sleep(0.1)
            assert lost, reasons
            await storm
            await world.revive_node("n1")
            await until_phase(world, "done")
            assert await phase(world) == "done"
            crowd.ended = watch.ended = True
            await asyncio.gather(runs, looks)
            assert crowd.over <= 0, f"{crowd.most} of {CAP}"
            assert min(watch.least.values()) >= 1, watch.least
            broken = world.account.judge().breaks
            assert [b for b in broken if b.rule != "lost" or b.instance not in ("a1", "a4")] == []
            table = await world.table("outages")
            assert table["permits"] == [] and table["out"] == []

    asyncio.run(main())
