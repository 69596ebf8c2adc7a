"""A limit under a schedule of faults, in virtual time: by how much the tier was over it at any moment, and how
much of it lay unused while it was wanted.

The checker adds up what every member may use by its own clock: those that run, and those that are stopped and
would look at their clock next.
"""

from __future__ import annotations

from dataclasses import dataclass

from covetally.lab.tier import Whole
from covetally.rig.schedule import Schedule
from covetally.tier.limits import RESERVED_FRACTION, RETURN_THRESHOLD, HEADROOM, Rule
from covetally.tier.member import MemberConfig


@dataclass(slots=True)
class Found:
    """The worst of a play. `over` and `waste` in parts of the limit; `waste` after all was well again for long
    enough, and the bound on it."""

    over: float = 0.0
    at_s: float = 0.0
    waste: float = 0.0
    waste_bound: float = 0.0
    datagrams_per_s: float = 0.0


def may_lie_unused(rule: Rule, demand: dict[int, float]) -> float:
    """The bound on what lies unused while others want more, where links are well: the part that each keeps, and
    the headroom that each has over its demand: HEADROOM / RETURN_THRESHOLD times the demand may be held."""
    wanted = [demand.get(n, 0.0) for n in range(rule.members)]
    idle = sum(max(0.0, RESERVED_FRACTION * rule.quota - d) for d in wanted)
    held = HEADROOM / RETURN_THRESHOLD
    return idle + min((held - 1.0) * sum(wanted), (1.0 - 1.0 / held) * rule.amount)


def unused(tier: Whole, rule: Rule) -> float:
    """What lies unused now although it is wanted elsewhere."""
    usable = {n: node.usable(tier.time(n))[rule.name].amount for n, node in tier.nodes.items()}
    served = sum(min(usable[n], tier.demand.get(n, 0.0)) for n in usable)
    return max(0.0, min(sum(tier.demand.values()), rule.amount) - served)


def play(schedule: Schedule, seed: int, rule: Rule, seconds: float) -> Found:
    """One play; the same arguments are the same play."""
    found = Found()

    def watch() -> None:
        total = sum(node.usable(tier.time(n))[rule.name].amount for n, node in tier.nodes.items())
        over = total / rule.amount - 1.0
        if over > max(found.over, 1e-9):
            found.over, found.at_s = over, tier.now / 1e9

    tier = Whole(rule.members, seed, lambda number: MemberConfig(rules=(rule,), outlier_detection=False), watch)
    tier.play(schedule, seconds)
    found.datagrams_per_s = sum(tier.sent.values()) / seconds / rule.members
    # Renewals and loans may still be under way: the least of some moments, a look apart.
    waste = []
    for _ in range(8):
        tier.run(0.25)
        waste.append(unused(tier, rule) / rule.amount)
    found.waste = min(waste)
    found.waste_bound = may_lie_unused(rule, tier.demand) / rule.amount
    return found
