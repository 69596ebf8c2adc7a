"""Reads the operator file's settings of fleet-wide load shedding."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from covetally.interface import Settings
from covetally.operator.check import OperatorError, Problem
from covetally.operator.schema import Value
from covetally.overload.member import Policy
from covetally.overload.pins import InvalidPin, parse_pin


@dataclass(frozen=True, slots=True)
class OverloadConfig:
    """How a sidecar takes part: its index, the number of sidecars, the fleet's limits and the text of a pin."""

    me: int
    size: int
    policy: Policy
    pin: str


def overload_config(settings: Settings, peers: int, values: Mapping[str, Value]) -> OverloadConfig:
    """Return the configuration of one of `peers` sidecars; raise OperatorError for values that cannot be used."""
    problems = []
    if not 0 <= settings.index < peers:
        reason = f"this sidecar has the index {settings.index}, and {peers} sidecars are listed"
        problems.append(Problem("peers", peers, reason, "list every sidecar of the tier, in order"))
    pin = str(values.get("overload.pin", ""))
    if pin:
        try:
            parse_pin(pin, 0)
        except InvalidPin as error:
            problems.append(Problem("overload.pin", pin, error.message, error.remedy))
    if values.get("workers.count", 1) != 1:
        reason = "only one process receives gossip messages, so each worker would decide a level of its own"
        problems.append(Problem("workers.count", values["workers.count"], reason, "1, or overload.mode = 'off'"))
    if problems:
        raise OperatorError(problems)
    policy = Policy()
    policy = Policy(
        float(values.get("overload.trials_per_s", policy.trials_per_s)),
        float(values.get("overload.connections_per_s", policy.connections_per_s)),
    )
    return OverloadConfig(settings.index, peers, policy, pin)
