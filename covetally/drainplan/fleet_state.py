"""One account of who is out: planned and unplanned add up against the same floors.

    state        counts as                     how a unit comes into it
    -----        ---------                     ------------------------
    in           its capacity                  seen serving, and warm
    going out    nothing                       a permit was written down
    out          nothing                       seen not to serve, or its process ended
    coming back  what its warmth allows        seen serving after it was out: cold
    unknown      nothing                       not heard of

A unit that comes back from unknown without having been seen out is in: its link was cut, not its process.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, replace

from covetally.drainplan.units import FLEET, Floors, Kind, Unit

COLD_FROM = 0.1  # of its capacity, that a unit which has just come back counts as, in a straight line to all


class State(enum.Enum):
    """See the table."""

    IN = "in"
    GOING = "going out"
    OUT = "out"
    BACK = "coming back"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Entry:
    """A unit's line: `cause` in words, `since` on the account's clock, and whether it is out by plan."""

    state: State
    since: float
    cause: str = ""
    planned: bool = False


@dataclass(frozen=True, slots=True)
class Lack:
    """A floor that would not hold: of what (a zone, the fleet), its floor, and what would be left."""

    kind: Kind
    where: str
    floor: float
    left: float


class Account:
    """Who is in and who is out. Units that nothing was seen of are unknown."""

    def __init__(self, units: Mapping[str, Unit], floors: Floors) -> None:
        self.units, self.floors = dict(units), floors
        self.entries: dict[str, Entry] = {}

    def entry(self, name: str) -> Entry:
        """A unit's line."""
        return self.entries.get(name, Entry(State.UNKNOWN, 0.0, "never heard of"))

    def seen(self, now: float, name: str, serving: bool, cause: str = "") -> None:
        """A unit was heard: it serves or it does not."""
        known = self.entry(name)
        if not serving:
            if known.state not in (State.OUT, State.GOING):
                self.entries[name] = Entry(State.OUT, now, cause or "does not serve", known.planned)
            elif known.state is State.GOING:
                self.entries[name] = replace(known, state=State.OUT, since=now)
        elif known.state is State.UNKNOWN:
            self.entries[name] = Entry(State.IN, now, cause)
        elif known.state is State.OUT:
            self.entries[name] = Entry(State.BACK, now, cause or "back, not yet warm", known.planned)
        elif known.state is State.BACK and self.warmth(now, name) >= 1.0:
            self.entries[name] = Entry(State.IN, now, cause)

    def lost(self, now: float, name: str, cause: str = "not heard of") -> None:
        """A unit is not heard of any more."""
        known = self.entry(name)
        if known.state is not State.UNKNOWN:
            state = State.OUT if known.state in (State.GOING, State.OUT) else State.UNKNOWN
            self.entries[name] = Entry(state, now, known.cause if state is State.OUT else cause, known.planned)

    def going(self, now: float, name: str, cause: str) -> None:
        """A permit was written down for it."""
        self.entries[name] = Entry(State.GOING, now, cause, planned=True)

    def stays(self, now: float, name: str) -> None:
        """Its permit ended before it had gone."""
        if self.entry(name).state is State.GOING:
            self.entries[name] = Entry(State.IN, now)

    def warmth(self, now: float, name: str) -> float:
        """The part of its capacity that a unit counts as."""
        known, unit = self.entry(name), self.units[name]
        if known.state is State.IN:
            return 1.0
        if known.state is not State.BACK:
            return 0.0
        if not unit.warm_s:
            return 1.0
        return min(1.0, COLD_FROM + (1.0 - COLD_FROM) * max(0.0, now - known.since) / unit.warm_s)

    def capacity(self, now: float) -> dict[tuple[Kind, str], float]:
        """What is in, by kind and zone."""
        found: dict[tuple[Kind, str], float] = {}
        for unit in self.units.values():
            key = unit.kind, unit.zone
            found[key] = found.get(key, 0.0) + unit.capacity * self.warmth(now, unit.name)
        return found

    def pods(self, now: float) -> dict[str, int]:
        """How many nodes are in, by pod."""
        found: dict[str, int] = {}
        for unit in self.units.values():
            if unit.pod:
                found[unit.pod] = found.get(unit.pod, 0) + (self.warmth(now, unit.name) > 0)
        return found

    def lacks(self, now: float) -> list[Lack]:
        """Floors that do not hold now, whatever the cause."""
        return lacks(self.capacity(now), self.floors)


def lacks(capacity: Mapping[tuple[Kind, str], float], floors: Floors) -> list[Lack]:
    """Floors that do not hold with so much in."""
    found = [
        Lack(kind, zone, floor, capacity.get((kind, zone), 0.0))
        for (kind, zone), floor in floors.zones.items()
        if capacity.get((kind, zone), 0.0) < floor - 1e-9
    ]
    totals: dict[Kind, list[float]] = {}
    for (kind, _), amount in capacity.items():
        totals.setdefault(kind, []).append(amount)
    for kind, floor in floors.fleet.items():
        if (left := sum(totals.get(kind, ()))) < floor - 1e-9:
            found.append(Lack(kind, FLEET, floor, left))
    for kind, floor in floors.after_loss.items():
        amounts = totals.get(kind, [0.0])
        if (left := sum(amounts) - max(amounts)) < floor - 1e-9:
            found.append(Lack(kind, f"{FLEET} after the loss of a zone", floor, left))
    return found
