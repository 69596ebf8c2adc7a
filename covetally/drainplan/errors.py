"""Errors of drain orders. Each carries a remedy for operators.

docs/operators/errors.md is generated from the docstrings and remedies of these classes.
"""

from __future__ import annotations

from covetally.errors import ConfigurationError, RefusedError


class FloorError(RefusedError):
    """A floor leaves no room for a unit, even alone. `where` names the zone, or the fleet."""

    code = "floor"
    remedy = "Bring back what is out there, add capacity, or lower that floor by name."

    def __init__(self, unit: str, where: str, floor: float, remaining: float) -> None:
        super().__init__(
            f"{unit} cannot be drained: {where} would have {remaining:g} left, "
            f"{floor - remaining:g} below its floor of {floor:g}"
        )
        self.unit, self.where, self.floor, self.shortfall = unit, where, floor, floor - remaining


class PodError(RefusedError):
    """A pod's last node never goes: keyed repeats are caught within one pod only."""

    code = "pod"
    remedy = "Add a node to that pod, or bring one back, before this one goes."

    def __init__(self, unit: str, pod: str) -> None:
        super().__init__(f"{unit} cannot be drained: it is the last available node of pod {pod}")
        self.unit, self.pod = unit, pod


class PermitError(RefusedError):
    """A permit that cannot be given, or ended, so."""

    code = "permit"
    remedy = "Look at `cindersail outages` for who is out and why, and write a unit off by name if it stays out."


class EpochError(RefusedError):
    """Another agent has gone on since: this one must not act."""

    code = "epoch"
    remedy = "Stop this agent, or let it listen until it knows the newest epoch; the other one goes on."


class UnitsError(ConfigurationError):
    """Units or floors that mean nothing."""

    code = "units"
    remedy = "Correct the named unit or floor; capacities, times and floors are numbers of 0 or more."
