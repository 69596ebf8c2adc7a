"""Errors of drain orders. Each carries a remedy for operators.

docs/operators/errors.md is generated from the docstrings and remedies of these classes.
"""

from __future__ import annotations

from covetally.errors import ConfigurationError, RefusedError


class FloorError(RefusedError):
    """Draining this unit, even alone, would break a capacity floor. `where` names the zone or the fleet."""

    code = "floor"
    remedy = "Return units there to service, add capacity, or lower the named floor."

    def __init__(self, unit: str, where: str, floor: float, remaining: float) -> None:
        super().__init__(
            f"{unit} cannot be drained: {where} would have {remaining:g} left, "
            f"{floor - remaining:g} below its floor of {floor:g}"
        )
        self.unit, self.where, self.floor, self.shortfall = unit, where, floor, floor - remaining


class PodError(RefusedError):
    """The last node of a pod cannot be drained, because repeats of a keyed request are detected within one pod
    only.
    """

    code = "pod"
    remedy = "Add a node to that pod, or return one to service, before draining this one."

    def __init__(self, unit: str, pod: str) -> None:
        super().__init__(f"{unit} cannot be drained: it is the last available node of pod {pod}")
        self.unit, self.pod = unit, pod


class PermitError(RefusedError):
    """A permit cannot be issued or ended, or a drain order cannot be started or changed, in the current state."""

    code = "permit"
    remedy = "Run `cindersail outages` to see which units are out and why; write off a unit that will not return."


class EpochError(RefusedError):
    """Another agent acts in a higher epoch, so this one must not act."""

    code = "epoch"
    remedy = "Stop this agent, or wait until it has learned the newest epoch; the other agent continues."


class UnitsError(ConfigurationError):
    """A unit or a floor has an invalid value."""

    code = "units"
    remedy = "Correct the named unit or floor; capacities, times and floors are numbers of 0 or more."
