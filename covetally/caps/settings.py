"""Builds the caps from the operators' file and the platform's settings."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from covetally.caps.member import CLIENT, NODE, Cap
from covetally.caps.rule import Mode, Rule
from covetally.interface import SECOND, Settings
from covetally.operator.check import OperatorError, Problem
from covetally.operator.schema import (
    CAPS_CLIENT_PREFIX,
    CAPS_NODE_PREFIX,
    TIER_IN_FLIGHT_PREFIX,
    TIER_RATE_PREFIX,
    Value,
)

# The name and index of all tenants together that the platform does not name.
UNKNOWN_TENANTS, UNKNOWN_TENANT_INDEX = "unknown-workshops", -1
RESPONSE_MARGIN_NS = SECOND  # after a class's deadline, until its last request has been answered


@dataclass(frozen=True, slots=True)
class Plan:
    """The caps, and this sidecar's index `me` among `size` peers."""

    me: int
    size: int
    caps: tuple[Cap, ...]


def plan(settings: Settings, peers: int, values: Mapping[str, Value]) -> Plan:
    """Return the plan for a sidecar of `peers`; raises OperatorError if a cap could not be enforced."""
    problems = []
    if not 0 <= settings.index < peers:
        reason = f"the index of this sidecar is {settings.index}, but {peers} peers are listed"
        problems.append(Problem("peers", peers, reason, "list every sidecar of the tier, in order"))
    if values.get("workers.count", 1) != 1:
        reason = "caps work with one process only: each worker would use all units of this sidecar"
        problems.append(
            Problem("workers.count", values["workers.count"], reason, "set it to 1, or drop the caps")
        )
    tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)} | {
        UNKNOWN_TENANTS: UNKNOWN_TENANT_INDEX
    }
    mode = Mode(str(values.get("caps.mode", Mode.LAPSES.value)))
    lease_ns = int(float(values.get("caps.lease_s", 4)) * SECOND)
    linger_ns = max(c.deadline_ns for c in settings.classes) + RESPONSE_MARGIN_NS
    caps = []
    tier_limits = sorted(name for name in values if name.startswith((TIER_RATE_PREFIX, TIER_IN_FLIGHT_PREFIX)))
    for name, value in sorted(values.items()):
        kind, prefix = (
            (CLIENT, CAPS_CLIENT_PREFIX) if name.startswith(CAPS_CLIENT_PREFIX) else (NODE, CAPS_NODE_PREFIX)
        )
        if not name.startswith(prefix):
            continue
        tenant = name.removeprefix(prefix)
        if tenant not in tenants:
            known = ", ".join(sorted(tenants))
            problems.append(Problem(name, value, "the platform names no such tenant", f"it names {known}"))
        elif kind == NODE and tier_limits:
            reason = f"calls are counted once, and {tier_limits[0]} counts them already"
            problems.append(Problem(name, value, reason, "use caps.node or the tier's limits, not both"))
        else:
            rule = Rule(name, int(value), peers, mode, lease_ns, linger_ns)
            caps.append(Cap(rule, kind, tenants[tenant]))
    if problems:
        raise OperatorError(problems)
    return Plan(settings.index, peers, tuple(caps))
