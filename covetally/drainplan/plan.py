"""Groups units into waves that keep the floors, with the least total time.

A wave takes as long as its slowest unit, so units with similar times share a wave. The units are packed, slowest
first, into the first wave with room (first-fit decreasing) and into the wave with the least capacity left in the
unit's zone (best fit). While the result is above the lower bound, randomly changed orders are tried as well.

The lower bound: in any plan the k+1st slowest wave takes at least as long as the slowest unit that does not fit,
by capacity alone, into k waves of the room of one zone (or of the fleet).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from covetally.drainplan.fleet_state import FleetState, floor_violations
from covetally.drainplan.errors import FloorError, PodError, UnitsError
from covetally.drainplan.units import FLEET, Floors, Kind, Unit

RANDOM_ORDERS = 400  # tried for up to MAX_UNITS_FOR_RANDOM units
MAX_UNITS_FOR_RANDOM = 64
ZoneKey = tuple[Kind, str]


@dataclass(frozen=True, slots=True)
class Wave:
    """Units that are drained together, how long that takes, and the capacity that remains by kind and zone."""

    units: tuple[str, ...]
    seconds: float
    remaining: Mapping[ZoneKey, float]


@dataclass(frozen=True, slots=True)
class WavePlan:
    """The waves of a drain order, their total time and a lower bound for the time of any plan.

    `bottleneck` is the place that needs the most waves, `room` the capacity that may be out there at a time, and
    `widen_by` how much more room would save a wave.
    """

    waves: tuple[Wave, ...]
    seconds: float
    bound_s: float
    bottleneck: str = ""
    room: float = math.inf
    widen_by: float = 0.0

    def describe(self) -> list[str]:
        """Return the plan and its arithmetic for operators, line by line."""
        lines = [
            f"wave {number}: {', '.join(wave.units)}; {wave.seconds:g} s; remaining: "
            + ", ".join(f"{kind.value}s in {zone} {amount:g}" for (kind, zone), amount in sorted(
                wave.remaining.items(), key=lambda item: (item[0][0].value, item[0][1])))
            for number, wave in enumerate(self.waves, 1)
        ]  # fmt: skip
        lines.append(f"{self.seconds:g} s in total, lower bound {self.bound_s:g} s")
        if self.bottleneck and len(self.waves) > 1:
            saves = self.widen_by > 1e-6
            more = f"{self.widen_by:.3g} more would save a wave" if saves else "more would not save a wave"
            lines.append(f"bottleneck: {self.bottleneck}, room for {self.room:.4g} at a time; {more}")
        return lines


class _WaveBuilder:
    """A wave under construction, and the capacity that remains while its units are out."""

    def __init__(self, capacity: Mapping[ZoneKey, float], pods: Mapping[str, int], floors: Floors) -> None:
        self.capacity, self.pods, self.floors = dict(capacity), dict(pods), floors
        self.units: list[Unit] = []
        self.total: dict[Kind, float] = {}
        for (kind, _), amount in capacity.items():
            self.total[kind] = self.total.get(kind, 0.0) + amount
        self._zones: dict[Kind, list[ZoneKey]] = {}
        for key in capacity:
            self._zones.setdefault(key[0], []).append(key)

    def fits(self, unit: Unit) -> bool:
        """Return whether every floor and pod holds with this unit out as well."""
        key, kind, floors = (unit.kind, unit.zone), unit.kind, self.floors
        remaining = self.capacity.get(key, 0.0) - unit.capacity
        if remaining < floors.zones.get(key, 0.0) - 1e-9:
            return False
        total = self.total.get(kind, 0.0) - unit.capacity
        if total < floors.fleet.get(kind, 0.0) - 1e-9:
            return False
        if kind in floors.after_loss:
            largest = max(remaining if other == key else self.capacity[other] for other in self._zones[kind])
            if total - largest < floors.after_loss[kind] - 1e-9:
                return False
        return not unit.pod or self.pods.get(unit.pod, 0) > 1

    def add(self, unit: Unit) -> None:
        """Add a unit to the wave."""
        key = unit.kind, unit.zone
        self.capacity[key] -= unit.capacity
        self.total[unit.kind] -= unit.capacity
        if unit.pod:
            self.pods[unit.pod] -= 1
        self.units.append(unit)


def plan(fleet: FleetState, names: Iterable[str], now: float, seed: int = 1) -> WavePlan:
    """Return the waves in which the named units can be drained.

    Raises FloorError or PodError for a unit that cannot be drained even alone, and UnitsError for an unknown one.
    A unit that is already out is not planned.
    """
    chosen = []
    for name in dict.fromkeys(names):
        if name not in fleet.units:
            raise UnitsError(f"no unit is named {name!r}")
        if fleet.available_fraction(now, name) > 0:
            chosen.append(fleet.units[name])
    capacity, pods = fleet.capacity(now), fleet.nodes_by_pod(now)
    for unit in chosen:
        _check_alone(unit, capacity, pods, fleet.floors)
    bound = lower_bound(chosen, capacity, pods, fleet.floors)
    best = _best_packing(chosen, capacity, pods, fleet.floors, bound, random.Random(seed))
    waves = tuple(
        Wave(tuple(unit.name for unit in builder.units), _duration_s(builder), dict(builder.capacity))
        for builder in sorted(best, key=_duration_s)
    )
    bottleneck, room, widen_by = _find_bottleneck(chosen, capacity, fleet.floors, len(waves))
    return WavePlan(waves, sum(wave.seconds for wave in waves), bound, bottleneck, room, widen_by)


def _check_alone(unit: Unit, capacity: Mapping[ZoneKey, float], pods: Mapping[str, int], floors: Floors) -> None:
    """Raise FloorError or PodError if a unit cannot be drained even alone."""
    builder = _WaveBuilder(capacity, pods, floors)
    if builder.fits(unit):
        return
    if unit.pod and pods.get(unit.pod, 0) <= 1:
        raise PodError(unit.name, unit.pod)
    remaining = dict(capacity)
    remaining[unit.kind, unit.zone] = remaining.get((unit.kind, unit.zone), 0.0) - unit.capacity
    violation = floor_violations(remaining, floors)[0]
    raise FloorError(
        unit.name, f"{violation.kind.value}s in {violation.where}", violation.floor, violation.remaining
    )


def _pack(
    units: Sequence[Unit],
    capacity: Mapping[ZoneKey, float],
    pods: Mapping[str, int],
    floors: Floors,
    best_fit: bool,
) -> list[_WaveBuilder]:
    """Pack units in the given order, by best fit or by first fit."""
    builders: list[_WaveBuilder] = []
    for unit in units:
        fitting = [builder for builder in builders if builder.fits(unit)] if best_fit else None
        if best_fit:
            key = unit.kind, unit.zone
            chosen = min(fitting, key=lambda builder: builder.capacity[key], default=None) if fitting else None
        else:
            chosen = next((builder for builder in builders if builder.fits(unit)), None)
        if chosen is None:
            chosen = _WaveBuilder(capacity, pods, floors)
            builders.append(chosen)
        chosen.add(unit)
    return builders


def _duration_s(builder: _WaveBuilder) -> float:
    return max(unit.outage_s for unit in builder.units)


def _total_s(builders: Iterable[_WaveBuilder]) -> float:
    return sum(map(_duration_s, builders))


def _best_packing(
    units: Sequence[Unit], capacity: Mapping[ZoneKey, float], pods: Mapping[str, int], floors: Floors,
    bound: float, rng: random.Random,
) -> list[_WaveBuilder]:  # fmt: skip
    """Return the fastest packing found; stop as soon as one reaches the bound."""
    order = sorted(units, key=lambda unit: (-unit.outage_s, -unit.capacity, unit.name))
    best: list[_WaveBuilder] = []
    least_s = math.inf
    for attempt in range(2 + (RANDOM_ORDERS if len(units) <= MAX_UNITS_FOR_RANDOM else 0)):
        if attempt >= 2:
            # Close to the order by time, and sometimes weighted by capacity: a large unit that is packed late
            # needs a wave of its own.
            jitter = rng.choice((0.05, 0.2, 0.5))
            weight = rng.choice((0.0, 0.0, 1.0, 3.0))
            slowest = max(unit.outage_s for unit in units)
            order = sorted(units, key=lambda unit: -(
                unit.outage_s / slowest + weight * unit.capacity / (1.0 + unit.capacity) + rng.uniform(0, jitter)
            ))  # fmt: skip
        builders = _pack(order, capacity, pods, floors, best_fit=attempt % 2 == 1)
        if (seconds := _total_s(builders)) < least_s - 1e-9:
            best, least_s = builders, seconds
        if least_s <= bound + 1e-9:
            break
    return best


def _room_by_place(capacity: Mapping[ZoneKey, float], floors: Floors) -> dict[str, tuple[float, set[ZoneKey]]]:
    """Return for each place (zone or fleet) how much capacity may be out at a time, and the zones in it."""
    found: dict[str, tuple[float, set[ZoneKey]]] = {}
    for key, amount in capacity.items():
        found[f"{key[0].value}s in {key[1]}"] = amount - floors.zones.get(key, 0.0), {key}
    for kind in {kind for kind, _ in capacity}:
        keys = {key for key in capacity if key[0] is kind}
        total = sum(capacity[key] for key in keys)
        floor = floors.fleet.get(kind, 0.0)
        if kind in floors.after_loss:
            # A wave costs this floor the least if all of it is in the largest zone. So this is an upper limit of
            # what may be out in the whole fleet.
            floor = max(floor, floors.after_loss[kind])
        found[f"{kind.value}s in {FLEET}"] = total - floor, keys
    return found


def lower_bound(
    units: Sequence[Unit], capacity: Mapping[ZoneKey, float], pods: Mapping[str, int], floors: Floors
) -> float:
    """Return a time in seconds that no plan can undercut."""
    bound = max((unit.outage_s for unit in units), default=0.0)
    for room, keys in _room_by_place(capacity, floors).values():
        here = [unit for unit in units if (unit.kind, unit.zone) in keys]
        bound = max(bound, _bound_for_room([(unit.outage_s, unit.capacity) for unit in here], room))
    for pod, count in pods.items():
        bound = max(
            bound, _bound_for_room([(unit.outage_s, 1.0) for unit in units if unit.pod == pod], count - 1.0)
        )
    return bound


def _bound_for_room(pairs: list[tuple[float, float]], room: float) -> float:
    """Return the least time for units, as pairs of time and size, if at most `room` may be out at once."""
    if not pairs or room <= 0:
        return 0.0
    pairs.sort(key=lambda pair: -pair[0])
    if all(size == int(size) for _, size in pairs):
        # Whole sizes fill the room only in multiples of their greatest common divisor.
        step = math.gcd(*(int(size) for _, size in pairs)) or 1
        room = math.floor(room / step + 1e-9) * step or room
    seconds = packed = 0.0
    waves = 0
    for time_s, size in pairs:
        packed += size
        # A unit that does not fit completely into the waves so far needs another one.
        if packed > waves * room + 1e-9:
            waves += 1
            seconds += time_s
    # Two units that each need over half of the room can never share a wave.
    large = sorted((time_s for time_s, size in pairs if size > room / 2), reverse=True)
    return max(seconds, sum(large))


def _find_bottleneck(
    units: Sequence[Unit], capacity: Mapping[ZoneKey, float], floors: Floors, waves: int
) -> tuple[str, float, float]:
    """Return the place whose room is used most often, its room, and how much more room would save a wave."""
    best = ("", math.inf, 0.0)
    most = 0.0
    for name, (room, keys) in _room_by_place(capacity, floors).items():
        need = sum(unit.capacity for unit in units if (unit.kind, unit.zone) in keys)
        if room > 0 and need / room > most:
            most = need / room
            fewer = max(1, waves - 1)
            best = name, room, max(0.0, need / fewer - room)
    return best
