"""A storm over real sidecars: the load jumps for some seconds and falls back, clients ask again. What comes of
it is read from the account, by second and by class."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, replace

from covetally.rig import site
from covetally.rig.account import SECOND, Account
from covetally.rig.load import Load, Plan, Planned
from covetally.rig.world import World


@dataclass(frozen=True, slots=True)
class Storm:
    """First tries a second before, in and after it, and for how many seconds each."""

    calm: float = 250.0
    high: float = 625.0
    before_s: float = 6.0
    high_s: float = 20.0
    after_s: float = 8.0
    retries: int = 2
    honour: float = 0.3  # share of clients that keep to Retry-After

    def plan(self, instances: tuple[str, ...], seed: int) -> tuple[Plan, list[Planned]]:
        """The plan of its clients and the whole schedule."""
        plan = Plan(
            site.LOAD_CLASSES, site.TENANTS, instances, self.calm, self.before_s, seed, retries=self.retries,
            honour=self.honour,
        )  # fmt: skip
        planned: list[Planned] = []
        begin = 0.0
        parts = ((self.calm, self.before_s), (self.high, self.high_s), (self.calm, self.after_s))
        for number, (rate, seconds) in enumerate(parts):
            part = replace(plan, rate=rate, seconds=seconds, seed=seed * 10 + number).draw()
            planned += [replace(p, at_s=p.at_s + begin) for p in part]
            begin += seconds
        return plan, planned


@dataclass(frozen=True, slots=True)
class Found:
    """What came of it: first tries served in time by any try, by the second in which they were due; and over the
    settled part of the storm, per second: in time, worth, asks, attempts that reached nodes, runs for nobody."""

    in_time: tuple[int, ...]
    asked: tuple[int, ...]
    settled: dict[str, float]
    by_class: dict[str, float]  # share in time of first tries in the settled part
    back_s: float  # after the storm's end, until 97 % of a second's first tries are in time

    def table(self) -> dict[str, object]:
        """For reports."""
        return self.settled | {"by_class": self.by_class, "back_s": self.back_s}


async def play(world: World, storm: Storm, seed: int) -> Found:
    """Play it against a world's instances, which run."""
    plan, schedule = storm.plan(tuple(world.instances), seed)
    addresses = {name: instance.address for name, instance in world.instances.items()}
    load = Load(world.account, addresses, plan, world.alive)
    begin_ns = asyncio.get_running_loop().time() * 1e9 + 0.05e9
    await load.play(schedule)
    return read(world.account, storm, int(begin_ns))


def read(account: Account, storm: Storm, begin_ns: int, settle_s: float = 6.0) -> Found:
    """The account of a storm that began its first second at `begin_ns`."""
    origins: dict[int, list] = {}
    for ask in account.asks.values():
        origins.setdefault(ask.origin, []).append(ask)
    asked: Counter[int] = Counter()
    in_time: Counter[int] = Counter()
    by_class: Counter[tuple[str, bool]] = Counter()
    begin, end = storm.before_s + settle_s, storm.before_s + storm.high_s
    worth, served_ids = 0.0, set()
    credit = {c["name"]: c["credit"] for c in site.settings(0, 1, 1.0, 0)["classes"]}
    for asks in origins.values():
        first = asks[0]
        at_s = (first.due_ns - begin_ns) / SECOND
        aim_ns = account.classes[first.cls].aim_ns
        # As the protocol counts: each try has its own aim, and its client's patience bounds them all.
        good = False
        for ask in asks:
            if ask.answers and ask.answers[0][1] == 200 and ask.answers[0][0] <= ask.due_ns + aim_ns:
                good = True
                served_ids.add(ask.id)
        asked[int(at_s)] += 1
        in_time[int(at_s)] += good
        if begin <= at_s < end:
            by_class[first.cls, good] += 1
            worth += good * credit[first.cls]
    seconds = end - begin

    def rate(times: list[int]) -> float:
        return round(sum(begin <= (t - begin_ns) / SECOND < end for t in times) / seconds, 1)

    runs = [(name, at) for name, ran in account.runs.items() for _, at in ran]
    settled = {
        "in_time_s": round(sum(in_time[s] for s in range(int(begin), int(end))) / seconds, 1),
        "worth_s": round(worth / seconds, 1),
        "asks_s": rate([ask.due_ns for ask in account.asks.values()]),
        "attempts_s": rate([a.ended_ns for arrivals in account.arrivals.values() for a in arrivals]),
        "runs_s": rate([at for _, at in runs]),
        "for_nobody_s": rate([at for name, at in runs if name not in served_ids]),
    }
    last = int(storm.before_s + storm.high_s + storm.after_s)
    after = [s for s in range(int(end), last) if asked[s]]
    bad = [s for s in after if in_time[s] < 0.97 * asked[s]]
    return Found(
        tuple(in_time[s] for s in range(last)), tuple(asked[s] for s in range(last)), settled,
        {name: round(by_class[name, True] / max(1, by_class[name, True] + by_class[name, False]), 3)
         for name in credit},
        float(max(bad) + 1 - end) if bad else 0.0,
    )  # fmt: skip
