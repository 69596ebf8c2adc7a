"""A play in which nodes send answers a second time, late, in several forms, to one sidecar under load.

The account judges it: a client that got another request's answer, an unsafe request that ran twice and a keyed
one that left its group are breaks. A play without duplicates shows what the protection costs.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

from covetally.rig.account import MS, Verdict
from covetally.rig.load import Load, Plan
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.surplus_answer import KINDS
from covetally.rig.world import Shape, World

WORK_SCALE = 0.4  # a request works for 16 to 24 ms in the mean
SLOTS = 16
INSTANCE = "a0"


@dataclass(frozen=True, slots=True)
class DuplicatePlan:
    """What a play does. `latest_ms` is how late a second answer comes at most; `share` of the answers have one,
    `turned_away` of the requests are answered with 503 and X-Never-Ran."""

    nodes: int = 6
    rate: float = 240.0  # requests a second
    seconds: float = 8.0
    share: float = 0.1
    earliest_ms: float = 2.0
    latest_ms: float = 20.0
    read_late_ms: float = 0.0
    turned_away: float = 0.04
    failed: float = 0.0
    kinds: tuple[str, ...] = ("whole",)
    seed: int = 1

    @classmethod
    def draw(cls, seed: int, latest_ms: float = 40.0) -> DuplicatePlan:
        """A plan for this seed."""
        rng = random.Random(seed)
        return cls(
            nodes=rng.randint(1, 6),
            rate=rng.uniform(50.0, 400.0),
            share=rng.uniform(0.05, 0.3),
            earliest_ms=rng.uniform(0.0, latest_ms / 2),
            latest_ms=latest_ms,
            read_late_ms=rng.choice((0.0, 5.0, 15.0)),
            turned_away=rng.choice((0.0, 0.04, 0.1)),
            failed=rng.choice((0.0, 0.05)),
            kinds=tuple(rng.sample(KINDS, rng.randint(1, len(KINDS)))),
            seed=seed,
        )

    def without_duplicates(self) -> DuplicatePlan:
        """The same play with every answer sent once."""
        return replace(self, share=0.0)

    def mood(self) -> dict[str, Any]:
        """The mood of every node."""
        return {
            "duplicate": self.share, "duplicate_ms": (self.earliest_ms, self.latest_ms),
            "duplicate_kinds": self.kinds, "read_late_ms": self.read_late_ms,
            "turn_away": self.turned_away, "fail_fast": self.failed,
        }  # fmt: skip


@dataclass(slots=True)
class DuplicateReport:
    """What a play showed. `seen` counts the nodes' rows by kind; `latencies_ms` are of the served, sorted."""

    plan: DuplicatePlan
    verdict: Verdict
    seen: Counter[str] = field(default_factory=Counter)
    connections: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    log: str = ""

    def latency_ms(self, share: float) -> float:
        """The latency that this share of the served requests did not exceed."""
        found = self.latencies_ms
        return found[min(len(found) - 1, int(share * len(found)))] if found else 0.0

    def table(self) -> dict[str, Any]:
        """For reports."""
        breaks = Counter(b.rule for b in self.verdict.breaks)
        return {
            "asked": self.verdict.asked, "served": self.verdict.served, "lost": breaks["lost"],
            "twice": breaks["twice"], "duplicates": self.seen["duplicated"], "crossed": self.seen["crossed"],
            "unanswered": self.seen["unanswered"], "connections": self.connections,
            "median_ms": round(self.latency_ms(0.5), 1), "p99_ms": round(self.latency_ms(0.99), 1),
        }  # fmt: skip


async def play(plan: DuplicatePlan) -> DuplicateReport:
    """Play it with processes of its own and judge."""
    shape = Shape(nodes=plan.nodes, instances=1, slots=SLOTS, work_scale=WORK_SCALE, seed=plan.seed)
    async with World(shape) as world:
        for name in world.nodes:
            world.mood(name, **plan.mood())
        await world.start_instances()
        asked = Plan(LOAD_CLASSES, TENANTS, (INSTANCE,), plan.rate, plan.seconds, seed=plan.seed)
        load = Load(world.account, {INSTANCE: world.instances[INSTANCE].address}, asked)
        await load.play(asked.draw())
        report = DuplicateReport(plan, world.account.judge(), log=world.instances[INSTANCE].log)
        for node in world.nodes.values():
            report.seen += node.seen
            report.connections += len(node.connections)
        report.latencies_ms = sorted(
            (ask.answers[0][0] - ask.due_ns) / MS
            for ask in world.account.asks.values() if ask.answers and ask.answers[0][1] == 200
        )  # fmt: skip
        return report
