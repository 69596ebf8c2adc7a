"""Simulates a shared limit under a schedule of faults, in virtual time.

Measures by how much the tier exceeds the limit at any moment, and how much of the limit stays unused although
some member has demand for it. The checker adds up what each member may use by its own clock. Stopped members
count too, since they check their clock only once they continue.
"""

from __future__ import annotations

from dataclasses import dataclass

from covetally.lab.tier import TierSimulation
from covetally.rig.schedule import Schedule
from covetally.tier.limits import RESERVED_FRACTION, RETURN_THRESHOLD, HEADROOM, Rule
from covetally.tier.member import MemberConfig


@dataclass(slots=True)
class LimitResult:
    """The worst values of one simulation.

    `overshoot`, `waste` and `waste_bound` are fractions of the limit. `overshoot` is the highest at any moment,
    first reached at `at_s`. `waste` is what was unused after the schedule had ended, and `waste_bound` is the
    highest value allowed for it.
    """

    overshoot: float = 0.0
    at_s: float = 0.0
    waste: float = 0.0
    waste_bound: float = 0.0
    datagrams_per_s: float = 0.0


def unused_bound(rule: Rule, demand: dict[int, float]) -> float:
    """Return the most that may stay unused while other members need more, on links without faults.

    Each member keeps a reserved part of its quota, and may hold up to HEADROOM / RETURN_THRESHOLD times its
    demand.
    """
    demands = [demand.get(n, 0.0) for n in range(rule.members)]
    reserved = sum(max(0.0, RESERVED_FRACTION * rule.quota - d) for d in demands)
    held_per_demand = HEADROOM / RETURN_THRESHOLD
    return reserved + min((held_per_demand - 1.0) * sum(demands), (1.0 - 1.0 / held_per_demand) * rule.amount)


def unused_now(tier: TierSimulation, rule: Rule) -> float:
    """Return how much of the limit is unused now although some member has demand for it."""
    usable = {n: node.usable(tier.time(n))[rule.name].amount for n, node in tier.nodes.items()}
    served = sum(min(usable[n], tier.demand.get(n, 0.0)) for n in usable)
    return max(0.0, min(sum(tier.demand.values()), rule.amount) - served)


def play(schedule: Schedule, seed: int, rule: Rule, seconds: float) -> LimitResult:
    """Run one simulation. The same arguments always give the same result."""
    result = LimitResult()

    def update_overshoot() -> None:
        total = sum(node.usable(tier.time(n))[rule.name].amount for n, node in tier.nodes.items())
        over = total / rule.amount - 1.0
        if over > max(result.overshoot, 1e-9):
            result.overshoot, result.at_s = over, tier.now / 1e9

    tier = TierSimulation(
        rule.members, seed, lambda number: MemberConfig(rules=(rule,), outlier_detection=False), update_overshoot
    )
    tier.play(schedule, seconds)
    result.datagrams_per_s = sum(tier.sent.values()) / seconds / rule.members
    # Renewals and loans may still be in flight, so take the minimum of several samples.
    waste = []
    for _ in range(8):
        tier.run(0.25)
        waste.append(unused_now(tier, rule) / rule.amount)
    result.waste = min(waste)
    result.waste_bound = unused_bound(rule, tier.demand) / rule.amount
    return result
