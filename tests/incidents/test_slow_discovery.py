"""A discovery whose every answer comes late: a list that takes longer than a call's patience counts all the same.

The sidecar starts with a `known` in which n1 is active; discovery has it leaving from the beginning.
"""

from __future__ import annotations

import asyncio
import time

from covetally.net import asking
from covetally.rig.account import SECOND
from covetally.rig.load import Load, Plan
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.world import Shape, World
from tests.loopback import TEST_TIMEOUT_S

RATE = 80
SLACK_S = 0.3  # for a loaded machine
LOOK_S = asking.call(pushed=True, known=False, failing=False).within_s
TURN_S = asking.call(pushed=False, known=False, failing=False).within_s
# Whether lists are pushed, how late each answer comes, how long discovery is silent at first.
CASES = [
    (True, 1.1 * LOOK_S, 0.0), (True, 2.0 * LOOK_S, 0.0), (True, 10.0 * LOOK_S, 0.0), (False, 1.1 * TURN_S, 0.0),
    (True, 2.0 * LOOK_S, 1.5),
]  # fmt: skip


async def sent_late(pushed: bool, late_s: float, silent_s: float) -> int:
    """How many requests began at n1 after it had to be known that it leaves, where each answer of discovery comes
    so late. Calls that were made while it was silent are never answered."""
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
        known_s = late_s if pushed else asking.SILENCE_S
        if silent_s:
            known_s += silent_s + asking.KEEP_LOOK_S / asking.MOST_KEPT + LOOK_S
        limit_ns = time.monotonic_ns() + int((known_s + asking.GRACE_S + SLACK_S) * SECOND)
        plan = Plan(LOAD_CLASSES, TENANTS, ("a0",), rate=RATE, seconds=known_s + 3.0, seed=7)
        load = Load(world.account, {"a0": instance.address}, plan, world.alive)
        played = asyncio.create_task(load.play(plan.draw()))
        if silent_s:
            await asyncio.sleep(silent_s)
            world.discovery.command(drop=True)
            world.discovery.command(silent=False)
        await played
        began = [(a.node, a.began_ns) for found in world.account.arrivals.values() for a in found]
        assert sum(at > limit_ns for _, at in began) > RATE, "load to the end"
        return sum(node == "n1" and at > limit_ns for node, at in began)


def test_a_list_that_takes_longer_than_a_call_s_patience_is_heard():
    async def main():
        found = await asyncio.gather(*(sent_late(*case) for case in CASES))
        late = {case: count for case, count in zip(CASES, found, strict=True) if count}
        assert not late, f"requests at a server that had long been leaving, by (pushed, late, silent): {late}"

    asyncio.run(main())
