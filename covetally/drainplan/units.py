"""Units and the capacity floors that a drain order keeps.

Plain data. Times are in seconds; capacities and floors share one unit of the caller's choice.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from covetally.drainplan.errors import UnitsError

FLEET = "the fleet"


class Kind(enum.Enum):
    """Kind of a unit. A floor applies to units of one kind."""

    SIDECAR = "sidecar"
    NODE = "node"


@dataclass(frozen=True, slots=True)
class Unit:
    """A sidecar or a node that can be drained.

    It is out of service for `drain_s` + `return_s` and below its full capacity for another `warm_s`.
    """

    name: str
    zone: str
    kind: Kind = Kind.SIDECAR
    capacity: float = 1.0
    pod: str = ""
    drain_s: float = 5.0
    return_s: float = 10.0
    warm_s: float = 0.0

    @property
    def outage_s(self) -> float:
        """The time from its permit until its full capacity counts again."""
        return self.drain_s + self.return_s + self.warm_s


@dataclass(frozen=True, slots=True)
class Floors:
    """The least capacity that has to remain.

    `zones` has it by kind and zone, `fleet` by kind for the whole fleet, and `after_loss` by kind for the fleet
    without whichever zone is lost next.
    """

    zones: Mapping[tuple[Kind, str], float] = field(default_factory=dict)
    fleet: Mapping[Kind, float] = field(default_factory=dict)
    after_loss: Mapping[Kind, float] = field(default_factory=dict)


def validate(units: Iterable[Unit], floors: Floors) -> dict[str, Unit]:
    """Return the units by name; raise UnitsError on a duplicate or missing name or a number out of range."""
    found: dict[str, Unit] = {}
    for unit in units:
        if not unit.name or unit.name in found:
            raise UnitsError(
                f"{unit.name or 'a unit without a name'} is defined twice" if unit.name else "a unit has no name"
            )
        numbers = (unit.capacity, unit.drain_s, unit.return_s, unit.warm_s)
        if not all(0 <= number < 1e9 for number in numbers):
            raise UnitsError(f"{unit.name}: its capacity or one of its times is not a number of 0 or more")
        found[unit.name] = unit
    for floor in (*floors.zones.values(), *floors.fleet.values(), *floors.after_loss.values()):
        if not 0 <= floor < 1e12:
            raise UnitsError(f"floors have to be numbers of 0 or more, and one is {floor}")
    return found
