"""What the operators' file and the platform's configuration make of the tier."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from covetally.interface import SECOND, Settings
from covetally.operator.check import OperatorError, Problem
from covetally.operator.schema import TIER_IN_FLIGHT_PREFIX, TIER_RATE_PREFIX, Value
from covetally.tier.limits import Rule
from covetally.tier.node import LOANS_NS, Site
from covetally.tier.shell import Held

SPARE_NS = SECOND  # past a class's deadline: its last attempt is closed


@dataclass(frozen=True, slots=True)
class Plan:
    """How a member takes part: its number, how many there are, and the limits that they hold."""

    me: int
    size: int
    site: Site
    held: tuple[Held, ...]


def plan(settings: Settings, peers: int, values: Mapping[str, Value]) -> Plan:
    """The plan for a sidecar of `peers`; OperatorError where a limit could not hold."""
    problems: list[Problem] = []
    if not 0 <= settings.index < peers:
        reason = f"this sidecar's number is {settings.index}, and {peers} are listed"
        raise OperatorError([Problem("peers", peers, reason, "list every sidecar of the tier, in order")])
    lease_s, delay_ms = float(values.get("tier.lease_s", 4)), float(values.get("tier.delay_ms", 50))
    least_s = 2 * (LOANS_NS / SECOND + 2 * delay_ms / 1000)
    if lease_s < least_s:
        reason = (
            f"a loan is asked for again when half of its time is left: {LOANS_NS / SECOND:g} s until that "
            f"is seen and 2 x {delay_ms:g} ms on the way do not fit into {lease_s / 2:g} s"
        )
        problems.append(Problem("tier.lease_s", lease_s, reason, f"at least {least_s:g}"))
    tenants = {tenant.name: number for number, tenant in enumerate(settings.tenants)}
    linger_ns = max(c.deadline_ns for c in settings.classes) + SPARE_NS
    held = []
    for name, value in sorted(values.items()):
        prefix = next((p for p in (TIER_RATE_PREFIX, TIER_IN_FLIGHT_PREFIX) if name.startswith(p)), None)
        if prefix is None:
            continue
        tenant = name.removeprefix(prefix)
        if tenant not in tenants:
            known = ", ".join(sorted(tenants)) or "none"
            problems.append(Problem(name, value, "the platform names no such workshop", f"it names {known}"))
            continue
        in_flight = prefix == TIER_IN_FLIGHT_PREFIX
        rule = Rule(
            name=name, amount=float(value), members=peers, lease_ns=int(lease_s * SECOND),
            linger_ns=linger_ns if in_flight else 0, in_flight=in_flight,
            burst_s=float(values.get("tier.burst_s", 1)),
        )  # fmt: skip
        held.append(Held(tenants[tenant], rule))
    if held and "workers.count" in values and values["workers.count"] != 1:
        reason = "a limit is one process's to keep: each worker would use all of this sidecar's part"
        problems.append(Problem("workers.count", values["workers.count"], reason, "1, or no tier limits"))
    if problems:
        raise OperatorError(problems)
    site = Site(zones=settings.zones, zone=settings.zone, rules=tuple(h.rule for h in held))
    return Plan(settings.index, peers, site, tuple(held))
