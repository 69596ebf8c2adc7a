"""A play in which servers die and others, of another cell, answer at their addresses before the list tells.

The account judges it: a keyed request that ran in two cells is a break.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

from covetally.rig.account import Verdict
from covetally.rig.load import Load, Plan
from covetally.rig.site import CELL_SIZE, LOAD_CLASSES, TENANTS
from covetally.rig.world import Shape, World

INSTANCE = "a0"
NODES = 3 * CELL_SIZE
WORK_SCALE = 0.4
SLOTS = 16
FIRST_AT_S = 1.0  # the first replacement
EVERY_S = 0.4  # between two of them


@dataclass(frozen=True, slots=True)
class ReplacementPlan:
    """What a play does. `told_after_s` is from a server's end to the update of the list; `broken` of the requests
    that arrive are run and answered with a reset, and `stalled` are never answered."""

    rate: float = 300.0  # requests a second
    seconds: float = 9.0
    replaced: int = 8
    told_after_s: float = 4.0
    broken: float = 0.1
    stalled: float = 0.05
    seed: int = 1


@dataclass(frozen=True, slots=True)
class ReplacementReport:
    """What a play showed."""

    plan: ReplacementPlan
    verdict: Verdict
    log: str

    def table(self) -> dict[str, Any]:
        """The figures, for a person."""
        breaks = Counter(found.rule for found in self.verdict.breaks)
        return {
            "asked": self.verdict.asked, "served": self.verdict.served, "failed": self.verdict.failed,
            "refused": self.verdict.refused, "attempts": self.verdict.attempts, "breaks": dict(breaks),
        }  # fmt: skip


async def _replace(world: World, old: str, new: str, told_after_s: float) -> None:
    """End a server, let another one answer at its address, and tell of it later."""
    link = world.links[INSTANCE, old]
    await world.kill_node(old)
    _, _, port = world.nodes[new].entry["hostPort"].rpartition(":")
    link.target = ("127.0.0.1", int(port))
    await asyncio.sleep(told_after_s)
    world.lifecycle(old, "left")


async def play(plan: ReplacementPlan) -> ReplacementReport:
    """Play it with one sidecar process as it ships, and judge."""
    shape = Shape(
        nodes=NODES, instances=1, slots=SLOTS, work_scale=WORK_SCALE, seed=plan.seed, links=True
    )  # fmt: skip
    draw = random.Random(plan.seed)
    async with World(shape) as world:
        names = list(world.nodes)
        for name in names:
            world.mood(name, reset=plan.broken, stall=plan.stalled, only="batch-checkin")
        await world.start_instances()
        asked = Plan(LOAD_CLASSES, TENANTS, (INSTANCE,), plan.rate, plan.seconds, seed=plan.seed)
        load = Load(world.account, {INSTANCE: world.instances[INSTANCE].address}, asked)
        loading = asyncio.create_task(load.play(asked.draw()))
        await asyncio.sleep(FIRST_AT_S)
        dying, staying = names[:-CELL_SIZE], names[-CELL_SIZE:]  # the last cell stays
        replacing = []
        for old in draw.sample(dying, plan.replaced):
            replacing.append(asyncio.create_task(_replace(world, old, draw.choice(staying), plan.told_after_s)))
            await asyncio.sleep(EVERY_S)
        await asyncio.gather(loading, *replacing)
        return ReplacementReport(plan, world.account.judge(), world.instances[INSTANCE].log)
