"""Simple models of the two alternatives to escrowed quotas that were considered for shared limits.

They run under the same schedules of faults as the real implementation, for comparison:

fixed_split      each member always has amount / n
merged_counters  ten times a second each member sends its use and its demand to all others; it may use what
                 the others are not known to use, or its share of the limit in proportion to its part of the
                 total demand if that is more. A member that has not been heard from for two seconds counts as
                 using nothing
"""

from __future__ import annotations

import random
from heapq import heappop, heappush

from covetally.lab.limits import LimitResult
from covetally.rig.schedule import WELL, Link, Schedule
from covetally.tier.limits import Rule

STEP_S = 0.1
REPORT_LIFETIME_S = 2.0


def fixed_split(schedule: Schedule, rule: Rule, seconds: float) -> LimitResult:
    """Evaluate equal fixed quotas: the limit is never exceeded, but a quota without demand stays unused."""
    demand: dict[int, float] = {}
    for step in schedule:
        if step.do == "demand":
            demand.update(dict.fromkeys(step.members, step.amount))
    served = sum(min(rule.quota, amount) for amount in demand.values())
    waste = max(0.0, min(sum(demand.values()), rule.amount) - served) / rule.amount
    return LimitResult(waste=waste, waste_bound=1.0 - 1.0 / rule.members)


def merged_counters(schedule: Schedule, seed: int, rule: Rule, seconds: float) -> LimitResult:
    """Simulate merged counters over the links of the schedule."""
    rng, result = random.Random(seed), LimitResult(waste_bound=1.0)
    running, demand = set(range(rule.members)), dict.fromkeys(range(rule.members), 0.0)
    stopped: set[int] = set()
    links: dict[tuple[int, int], Link] = {}
    # by receiver, then sender: time of receipt, use, demand
    known: dict[int, dict[int, tuple[float, float, float]]] = {n: {} for n in running}
    use = dict.fromkeys(running, 0.0)
    in_flight: list[tuple[float, int, int, int, float, float]] = []
    steps, sent, now, waste = list(schedule), 0, 0.0, 0.0
    while now < seconds:
        while steps and steps[0].at <= now:
            step = steps.pop(0)
            match step.do:
                case "link":
                    links.update({(a, b): step.link for a in step.members for b in step.to})
                case "heal":
                    links.clear()
                case "demand":
                    demand.update(dict.fromkeys(step.members, step.amount))
                case "kill":
                    running.difference_update(step.members)
                case "start":
                    running.update(step.members)
                    known.update({n: {} for n in step.members})
                case "stop":
                    stopped.update(step.members)
                case "go_on":
                    stopped.difference_update(step.members)
        while in_flight and in_flight[0][0] <= now:
            _, _, sender, to, used, wanted = heappop(in_flight)
            if to in running and to not in stopped:
                known[to][sender] = (now, used, wanted)
        for n in running - stopped:
            reports = [(u, w) for at, u, w in known[n].values() if now - at < REPORT_LIFETIME_S]
            total_demand = demand[n] + sum(w for _, w in reports)
            used_by_others = sum(u for u, _ in reports)
            fair = rule.amount * demand[n] / total_demand if total_demand else 0.0
            use[n] = min(demand[n], max(fair, rule.amount - used_by_others))
            for to in range(rule.members):
                link = links.get((n, to), WELL)
                if to != n and not link.down(now) and rng.random() >= link.lose:
                    sent += 1
                    heappush(in_flight, (now + rng.uniform(*link.delay_s), sent, n, to, use[n], demand[n]))
        total = sum(use[n] for n in running)
        result.overshoot = max(result.overshoot, total / rule.amount - 1.0)
        usable = min(sum(demand[n] for n in running), rule.amount)
        waste = max(0.0, usable - total) / rule.amount
        now += STEP_S
    result.waste = waste
    result.datagrams_per_s = sent / seconds / rule.members
    return result
