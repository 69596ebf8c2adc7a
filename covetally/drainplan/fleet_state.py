"""The state of every unit of the fleet. Planned and unplanned outages count against the same floors.

    state        counts as               entered when
    -----        ---------               ------------
    in           its full capacity       it is seen serving while unknown, or at the end of its slow start;
                                         or its permit ends before it has left
    going out    nothing                 a permit is issued for it
    out          nothing                 it is seen not serving, or contact is lost while it is going out
    coming back  a part that grows in    it is seen serving after it was out
                 slow start
    unknown      nothing                 it was never seen, or contact is lost while it is in or coming back

A unit that is seen serving after it was unknown is in at once: its link was interrupted, its process was not, so
it needs no slow start.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, replace

from covetally.drainplan.units import FLEET, Floors, Kind, Unit

SLOW_START_FROM = 0.1  # fraction of its capacity at which a unit returns; grows linearly to 1 within its `warm_s`


class UnitState(enum.Enum):
    """State of a unit; the module's table describes each. Operators see the values."""

    IN_SERVICE = "in"
    DRAINING = "going out"
    OUT = "out"
    RETURNING = "coming back"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class UnitStatus:
    """A unit's state, when it was entered, its cause for operators, and whether the outage is planned."""

    state: UnitState
    since: float
    cause: str = ""
    planned: bool = False


@dataclass(frozen=True, slots=True)
class FloorViolation:
    """A floor that does not hold: kind of unit, place (a zone or the fleet), the floor and what remains."""

    kind: Kind
    where: str
    floor: float
    remaining: float


class FleetState:
    """The state of all units; one that was never observed is unknown. Times are seconds on the caller's clock."""

    def __init__(self, units: Mapping[str, Unit], floors: Floors) -> None:
        self.units, self.floors = dict(units), floors
        self.statuses: dict[str, UnitStatus] = {}

    def status_of(self, name: str) -> UnitStatus:
        """Return a unit's status."""
        return self.statuses.get(name, UnitStatus(UnitState.UNKNOWN, 0.0, "no contact yet"))

    def observe(self, now: float, name: str, serving: bool, cause: str = "") -> None:
        """Record that a unit was seen, and whether it serves."""
        known = self.status_of(name)
        if not serving:
            if known.state not in (UnitState.OUT, UnitState.DRAINING):
                self.statuses[name] = UnitStatus(UnitState.OUT, now, cause or "not serving", known.planned)
            elif known.state is UnitState.DRAINING:
                self.statuses[name] = replace(known, state=UnitState.OUT, since=now)
        elif known.state is UnitState.UNKNOWN:
            self.statuses[name] = UnitStatus(UnitState.IN_SERVICE, now, cause)
        elif known.state is UnitState.OUT:
            self.statuses[name] = UnitStatus(
                UnitState.RETURNING, now, cause or "back, in slow start", known.planned
            )
        elif known.state is UnitState.RETURNING and self.available_fraction(now, name) >= 1.0:
            self.statuses[name] = UnitStatus(UnitState.IN_SERVICE, now, cause)

    def lose_contact(self, now: float, name: str, cause: str = "contact lost") -> None:
        """Record that there is no contact with a unit any more."""
        known = self.status_of(name)
        if known.state is not UnitState.UNKNOWN:
            state = UnitState.OUT if known.state in (UnitState.DRAINING, UnitState.OUT) else UnitState.UNKNOWN
            self.statuses[name] = UnitStatus(
                state, now, known.cause if state is UnitState.OUT else cause, known.planned
            )

    def mark_draining(self, now: float, name: str, cause: str) -> None:
        """Record that a permit is issued for a unit."""
        self.statuses[name] = UnitStatus(UnitState.DRAINING, now, cause, planned=True)

    def cancel_drain(self, now: float, name: str) -> None:
        """Record that a unit's permit ended before the unit left service."""
        if self.status_of(name).state is UnitState.DRAINING:
            self.statuses[name] = UnitStatus(UnitState.IN_SERVICE, now)

    def available_fraction(self, now: float, name: str) -> float:
        """Return the fraction of its capacity that a unit counts as now."""
        known, unit = self.status_of(name), self.units[name]
        if known.state is UnitState.IN_SERVICE:
            return 1.0
        if known.state is not UnitState.RETURNING:
            return 0.0
        if not unit.warm_s:
            return 1.0
        return min(1.0, SLOW_START_FROM + (1.0 - SLOW_START_FROM) * max(0.0, now - known.since) / unit.warm_s)

    def capacity(self, now: float) -> dict[tuple[Kind, str], float]:
        """Return the available capacity by kind and zone."""
        found: dict[tuple[Kind, str], float] = {}
        for unit in self.units.values():
            key = unit.kind, unit.zone
            found[key] = found.get(key, 0.0) + unit.capacity * self.available_fraction(now, unit.name)
        return found

    def nodes_by_pod(self, now: float) -> dict[str, int]:
        """Return how many nodes of each pod are available."""
        found: dict[str, int] = {}
        for unit in self.units.values():
            if unit.pod:
                found[unit.pod] = found.get(unit.pod, 0) + (self.available_fraction(now, unit.name) > 0)
        return found

    def floor_violations(self, now: float) -> list[FloorViolation]:
        """Return the floors that do not hold now, whatever the cause."""
        return floor_violations(self.capacity(now), self.floors)


def floor_violations(capacity: Mapping[tuple[Kind, str], float], floors: Floors) -> list[FloorViolation]:
    """Return the floors that do not hold with this available capacity."""
    found = [
        FloorViolation(kind, zone, floor, capacity.get((kind, zone), 0.0))
        for (kind, zone), floor in floors.zones.items()
        if capacity.get((kind, zone), 0.0) < floor - 1e-9
    ]
    totals: dict[Kind, list[float]] = {}
    for (kind, _), amount in capacity.items():
        totals.setdefault(kind, []).append(amount)
    for kind, floor in floors.fleet.items():
        if (remaining := sum(totals.get(kind, ()))) < floor - 1e-9:
            found.append(FloorViolation(kind, FLEET, floor, remaining))
    for kind, floor in floors.after_loss.items():
        amounts = totals.get(kind, [0.0])
        if (remaining := sum(amounts) - max(amounts)) < floor - 1e-9:
            found.append(FloorViolation(kind, f"{FLEET} after the loss of a zone", floor, remaining))
    return found
