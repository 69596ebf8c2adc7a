"""What the operators' file makes of caps."""

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

UNKNOWN, NOBODY = "unknown-workshops", -1  # whoever the platform does not name, together
SPARE_NS = SECOND  # past a class's deadline: its last request is answered


@dataclass(frozen=True, slots=True)
class Plan:
    """How a sidecar takes part."""

    me: int
    size: int
    caps: tuple[Cap, ...]


def plan(settings: Settings, peers: int, values: Mapping[str, Value]) -> Plan:
    """The plan for a sidecar of `peers`; OperatorError where a cap could not hold."""
    problems = []
    if not 0 <= settings.index < peers:
        reason = f"this sidecar's number is {settings.index}, and {peers} are listed"
        problems.append(Problem("peers", peers, reason, "list every sidecar of the tier, in order"))
    if values.get("workers.count", 1) != 1:
        reason = "a cap is one process's to keep: each worker would use all of this sidecar's units"
        problems.append(Problem("workers.count", values["workers.count"], reason, "1, or no caps"))
    tenants = {tenant.name: number for number, tenant in enumerate(settings.tenants)} | {UNKNOWN: NOBODY}
    mode = Mode(str(values.get("caps.mode", Mode.LAPSES.value)))
    lease_ns = int(float(values.get("caps.lease_s", 4)) * SECOND)
    linger_ns = max(c.deadline_ns for c in settings.classes) + SPARE_NS
    caps = []
    held = sorted(name for name in values if name.startswith((TIER_RATE_PREFIX, TIER_IN_FLIGHT_PREFIX)))
    for name, value in sorted(values.items()):
        kind, prefix = (
            (CLIENT, CAPS_CLIENT_PREFIX) if name.startswith(CAPS_CLIENT_PREFIX) else (NODE, CAPS_NODE_PREFIX)
        )
        if not name.startswith(prefix):
            continue
        tenant = name.removeprefix(prefix)
        if tenant not in tenants:
            known = ", ".join(sorted(tenants))
            problems.append(Problem(name, value, "the platform names no such workshop", f"it names {known}"))
        elif kind == NODE and held:
            reason = f"calls are counted once, and {held[0]} counts them"
            problems.append(Problem(name, value, reason, "caps.node or the tier's limits, not both"))
        else:
            rule = Rule(name, int(value), peers, mode, lease_ns, linger_ns)
            caps.append(Cap(rule, kind, tenants[tenant]))
    if problems:
        raise OperatorError(problems)
    return Plan(settings.index, peers, tuple(caps))
