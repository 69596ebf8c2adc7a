"""The two other ways of holding a limit that were weighed, under the same schedules: a plain model of each.

fixed    each member has amount / n, always
merged   each member tells all what it uses, ten times a second; it may use what the others are not known to
         use, in proportion to what it wants of all that is wanted. Who was not heard of for two seconds is
         taken to use nothing
"""

from __future__ import annotations

import random
from heapq import heappop, heappush

from covetally.lab.limits import Found
from covetally.rig.schedule import WELL, Link, Schedule
from covetally.tier.limits import Rule

STEP_S = 0.1
FORGET_S = 2.0


def fixed(schedule: Schedule, rule: Rule, seconds: float) -> Found:
    """Never over; what members do not want lies unused."""
    demand: dict[int, float] = {}
    for step in schedule:
        if step.do == "demand":
            demand.update(dict.fromkeys(step.members, step.amount))
    served = sum(min(rule.quota, wanted) for wanted in demand.values())
    waste = max(0.0, min(sum(demand.values()), rule.amount) - served) / rule.amount
    return Found(waste=waste, waste_bound=1.0 - 1.0 / rule.members)


def merged(schedule: Schedule, seed: int, rule: Rule, seconds: float) -> Found:
    """As told above, over the schedule's links."""
    rng, found = random.Random(seed), Found(waste_bound=1.0)
    up, demand = set(range(rule.members)), dict.fromkeys(range(rule.members), 0.0)
    stopped: set[int] = set()
    links: dict[tuple[int, int], Link] = {}
    known: dict[int, dict[int, tuple[float, float, float]]] = {n: {} for n in up}  # of: when, used, wanted
    use = dict.fromkeys(up, 0.0)
    wire: list[tuple[float, int, int, int, float, float]] = []
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
                    up.difference_update(step.members)
                case "start":
                    up.update(step.members)
                    known.update({n: {} for n in step.members})
                case "stop":
                    stopped.update(step.members)
                case "go_on":
                    stopped.difference_update(step.members)
        while wire and wire[0][0] <= now:
            _, _, sender, to, used, wanted = heappop(wire)
            if to in up and to not in stopped:
                known[to][sender] = (now, used, wanted)
        for n in up - stopped:
            heard = [(u, w) for at, u, w in known[n].values() if now - at < FORGET_S]
            wanted = demand[n] + sum(w for _, w in heard)
            others = sum(u for u, _ in heard)
            fair = rule.amount * demand[n] / wanted if wanted else 0.0
            use[n] = min(demand[n], max(fair, rule.amount - others))
            for to in range(rule.members):
                link = links.get((n, to), WELL)
                if to != n and not link.down(now) and rng.random() >= link.lose:
                    sent += 1
                    heappush(wire, (now + rng.uniform(*link.delay_s), sent, n, to, use[n], demand[n]))
        total = sum(use[n] for n in up)
        found.over = max(found.over, total / rule.amount - 1.0)
        could = min(sum(demand[n] for n in up), rule.amount)
        waste = max(0.0, could - total) / rule.amount
        now += STEP_S
    found.waste = waste
    found.datagrams_per_s = sent / seconds / rule.members
    return found
