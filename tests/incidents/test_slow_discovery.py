"""Discovery answers every call late: a list that takes longer than a call's timeout has to be used nevertheless.

The sidecar starts with a `known` list in which n1 is active; discovery has n1 leaving from the beginning.
"""

from __future__ import annotations

import asyncio
import time

from covetally.net import discovery_schedule
from covetally.rig.account import SECOND
from covetally.rig.load import Load, Plan
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.world import Shape, World
from tests.loopback import TEST_TIMEOUT_S

RATE = 80
MARGIN_S = 0.3  # for a loaded machine
PUSHED_TIMEOUT_S = discovery_schedule.next_call(pushed=True, known=False, failing=False).timeout_s
POLLED_TIMEOUT_S = discovery_schedule.next_call(pushed=False, known=False, failing=False).timeout_s
# Whether lists are pushed, the delay of each answer, and how long discovery is silent at first.
CASES = [
    (True, 1.1 * PUSHED_TIMEOUT_S, 0.0), (True, 2.0 * PUSHED_TIMEOUT_S, 0.0),
    (True, 10.0 * PUSHED_TIMEOUT_S, 0.0), (False, 1.1 * POLLED_TIMEOUT_S, 0.0),
    (True, 2.0 * PUSHED_TIMEOUT_S, 1.5),
]  # fmt: skip


async def count_late_requests(pushed: bool, late_s: float, silent_s: float) -> int:
    """Returns how many requests started at n1 after the sidecar had to know that n1 is leaving.

    Each answer of discovery is delayed by `late_s`. Calls made while it is silent are never answered.
    """
    async with asyncio.timeout(2 * TEST_TIMEOUT_S), World(Shape(nodes=4, instances=1)) as world:
        instance = world.instances["a0"]
        entries = [dict(node.entry) for node in world.nodes.values()]
        instance.config["known"] = {"generation": 1, "reset": True, "instances": entries}
        if not pushed:
            instance.config["settings"]["discovery"] = "subscribe"
            instance.config["settings"]["invariants"]["mustAskInNs"] = 10 * SECOND
        world.lifecycle("n1", "leaving")
        world.discovery.command(late=late_s)
        world.discovery.command(silent=silent_s > 0)
        await world.start_instances()
        known_s = late_s if pushed else discovery_schedule.NOTIFIED_AFTER_SILENCE_S
        if silent_s:
            known_s += (
                silent_s
                + discovery_schedule.KEEP_OPEN_PUSHED_S / discovery_schedule.MAX_KEPT_CALLS
                + PUSHED_TIMEOUT_S
            )
        limit_ns = time.monotonic_ns() + int((known_s + discovery_schedule.DRAIN_GRACE_S + MARGIN_S) * SECOND)
        plan = Plan(LOAD_CLASSES, TENANTS, ("a0",), rate=RATE, seconds=known_s + 3.0, seed=7)
        load = Load(world.account, {"a0": instance.address}, plan, world.alive)
        played = asyncio.create_task(load.play(plan.draw()))
        if silent_s:
            await asyncio.sleep(silent_s)
            world.discovery.command(drop=True)
            world.discovery.command(silent=False)
        await played
        started = [(a.node, a.began_ns) for found in world.account.arrivals.values() for a in found]
        assert sum(at > limit_ns for _, at in started) > RATE, "there was no load until the end"
        return sum(node == "n1" and at > limit_ns for node, at in started)


def test_list_that_takes_longer_than_a_calls_timeout_is_used():
    async def main():
        counts = await asyncio.gather(*(count_late_requests(*case) for case in CASES))
        late = {case: count for case, count in zip(CASES, counts, strict=True) if count}
        assert not late, f"requests sent to a node that was leaving, by (pushed, late, silent): {late}"

    asyncio.run(main())
