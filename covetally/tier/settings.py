"""Derives a sidecar's tier configuration from the operators' settings and the platform's configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from covetally.interface import SECOND, Settings
from covetally.operator.check import OperatorError, Problem
from covetally.operator.schema import TIER_IN_FLIGHT_PREFIX, TIER_RATE_PREFIX, Value
from covetally.tier.limits import Rule
from covetally.tier.member import LEASE_CHECK_INTERVAL_NS, MemberConfig
from covetally.tier.transport import TenantLimit

RESPONSE_MARGIN_NS = SECOND  # after a class's deadline; by then its last attempt is closed


@dataclass(frozen=True, slots=True)
class TierConfig:
    """How this sidecar takes part in its tier: its index, the number of members, and the shared limits."""

    index: int
    size: int
    member: MemberConfig
    limits: tuple[TenantLimit, ...]


def tier_config(settings: Settings, peers: int, values: Mapping[str, Value]) -> TierConfig:
    """The tier configuration of one of `peers` sidecars.

    Raises OperatorError if the index is not in the list of peers, or if a limit could not be enforced.
    """
    problems: list[Problem] = []
    if not 0 <= settings.index < peers:
        reason = f"this sidecar's index is {settings.index}, but {peers} sidecars are listed"
        raise OperatorError([Problem("peers", peers, reason, "list every sidecar of the tier, in order")])
    lease_s, delay_ms = float(values.get("tier.lease_s", 4)), float(values.get("tier.delay_ms", 50))
    min_lease_s = 2 * (LEASE_CHECK_INTERVAL_NS / SECOND + 2 * delay_ms / 1000)
    if lease_s < min_lease_s:
        reason = (
            f"a lease is renewed when half of its time is left: {LEASE_CHECK_INTERVAL_NS / SECOND:g} s until "
            f"the next check and 2 x {delay_ms:g} ms in transit do not fit into {lease_s / 2:g} s"
        )
        problems.append(Problem("tier.lease_s", lease_s, reason, f"at least {min_lease_s:g}"))
    tenants = {tenant.name: number for number, tenant in enumerate(settings.tenants)}
    linger_ns = max(c.deadline_ns for c in settings.classes) + RESPONSE_MARGIN_NS
    limits = []
    for name, value in sorted(values.items()):
        prefix = next((p for p in (TIER_RATE_PREFIX, TIER_IN_FLIGHT_PREFIX) if name.startswith(p)), None)
        if prefix is None:
            continue
        tenant = name.removeprefix(prefix)
        if tenant not in tenants:
            known = ", ".join(sorted(tenants)) or "none"
            problems.append(Problem(name, value, "the platform names no such tenant", f"it names {known}"))
            continue
        in_flight = prefix == TIER_IN_FLIGHT_PREFIX
        rule = Rule(
            name=name, amount=float(value), members=peers, lease_ns=int(lease_s * SECOND),
            linger_ns=linger_ns if in_flight else 0, in_flight=in_flight,
            burst_s=float(values.get("tier.burst_s", 1)),
        )  # fmt: skip
        limits.append(TenantLimit(tenants[tenant], rule))
    if limits and "workers.count" in values and values["workers.count"] != 1:
        reason = "only one process can keep a limit: each worker would use all of this sidecar's quota"
        problems.append(Problem("workers.count", values["workers.count"], reason, "1, or no tier limits"))
    if problems:
        raise OperatorError(problems)
    member = MemberConfig(zones=settings.zones, zone=settings.zone, rules=tuple(limit.rule for limit in limits))
    return TierConfig(settings.index, peers, member, tuple(limits))
