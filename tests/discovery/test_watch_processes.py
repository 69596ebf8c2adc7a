"""Real sidecar processes whose membership comes from the platform's discovery, which is polled and fails."""

from __future__ import annotations

import asyncio
import time

from covetally.net import discovery_schedule
from covetally.rig.account import SECOND
from covetally.rig.load import Load, Plan
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.world import InstanceProcess, Shape, World
from tests.loopback import TEST_TIMEOUT_S, wait_until

RATE = 80
MARGIN_S = 1.0  # for a loaded machine
HOLD_S = 2  # how long missing nodes are held, by the operators' file
OBSERVED_S = 4.0  # from the moment from which nothing may be sent to a draining node
OPERATOR_FILE = f"""
[roster]
source = "platform"
hold_s = {HOLD_S}
"""


def poll(instance: InstanceProcess) -> None:
    """Let an instance poll its list."""
    instance.config["settings"]["discovery"] = "subscribe"
    instance.config["settings"]["invariants"]["mustAskInNs"] = 10 * SECOND


async def assert_drain_is_kept(world: World, name: str, drain_at_ns: int) -> None:
    """Send load until well after the drain has to be known, and look for requests at the node after that."""
    wait_s = discovery_schedule.NOTIFIED_AFTER_SILENCE_S + discovery_schedule.DRAIN_GRACE_S + MARGIN_S
    plan = Plan(LOAD_CLASSES, TENANTS, ("a0",), rate=RATE, seconds=wait_s + OBSERVED_S, seed=5)
    load = Load(world.account, {"a0": world.instances["a0"].address}, plan, world.alive)
    await load.play(plan.draw())
    deadline_ns = drain_at_ns + int(wait_s * SECOND)
    sent = [arrival for arrivals in world.account.arrivals.values() for arrival in arrivals]
    assert any(a.node != name and a.began_ns > deadline_ns for a in sent), "no load until the end"
    assert [a for a in sent if a.node == name and a.began_ns > deadline_ns] == []
    assert "violation" not in world.instances["a0"].log


def test_a_change_of_the_view_in_a_pause_does_not_end_the_watch(tmp_path):
    """Nodes that were removed while discovery failed counted as its answer: it was never called again."""

    async def main():
        async with asyncio.timeout(3 * TEST_TIMEOUT_S), World(Shape(nodes=8, instances=1)) as world:
            instance = world.instances["a0"]
            operator = tmp_path / "operator.toml"
            operator.write_text(OPERATOR_FILE)
            poll(instance)
            instance.arguments = ("--operator", str(operator))
            await world.start_instances()
            for number in range(3, 8):
                world.discovery.command(remove=f"n{number}")
            await wait_until(lambda: "roster in doubt" in instance.log)
            world.discovery.command(style="503")
            await wait_until(lambda: "roster fresh" in instance.log.partition("roster in doubt")[2])
            await asyncio.sleep(2.0)
            world.discovery.command(style="")
            world.lifecycle("n0", "leaving")
            await assert_drain_is_kept(world, "n0", time.monotonic_ns())

    asyncio.run(main())
