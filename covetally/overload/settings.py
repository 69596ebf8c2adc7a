"""What the operators' file makes of the fleet's line."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from covetally.interface import Settings
from covetally.operator.check import OperatorError, Problem
from covetally.operator.schema import Value
from covetally.overload.member import Policy
from covetally.overload.pins import BadPin, parse


@dataclass(frozen=True, slots=True)
class Plan:
    """How a sidecar takes part: its number, how many there are, what operators want, and a pin's text."""

    me: int
    size: int
    policy: Policy
    pin: str


def plan(settings: Settings, peers: int, values: Mapping[str, Value]) -> Plan:
    """The plan for a sidecar of `peers`; OperatorError where the line could not hold."""
    problems = []
    if not 0 <= settings.index < peers:
        reason = f"this sidecar's number is {settings.index}, and {peers} are listed"
        problems.append(Problem("peers", peers, reason, "list every sidecar of the tier, in order"))
    pin = str(values.get("overload.pin", ""))
    if pin:
        try:
            parse(pin, 0)
        except BadPin as error:
            problems.append(Problem("overload.pin", pin, error.message, error.remedy))
    if values.get("workers.count", 1) != 1:
        reason = "only one process hears the others: each worker would draw a line of its own"
        problems.append(Problem("workers.count", values["workers.count"], reason, "1, or overload.mode = 'off'"))
    if problems:
        raise OperatorError(problems)
    policy = Policy()
    policy = Policy(
        float(values.get("overload.trials_per_s", policy.trials_per_s)),
        float(values.get("overload.connections_per_s", policy.connections_per_s)),
    )
    return Plan(settings.index, peers, policy, pin)
