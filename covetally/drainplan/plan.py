"""Waves of units with the least time, under floors.

A wave takes as long as its slowest unit, so units of like times go together: they are put, the slowest first,
into the first wave with room (first fit decreasing), and into the fullest with room (best fit); then, as long
as the bound is not reached, drawn changes of that order are tried. The bound: in any order the k+1st slowest
wave takes at least as long as the slowest unit that does not fit, by capacity alone, into k waves of one zone's
(or the fleet's) room.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from covetally.drainplan.fleet_state import Account, lacks
from covetally.drainplan.errors import FloorError, PodError, UnitsError
from covetally.drainplan.units import FLEET, Floors, Kind, Unit

TRIES = 400  # drawn orders, for up to SMALL units
SMALL = 64
Key = tuple[Kind, str]


@dataclass(frozen=True, slots=True)
class Wave:
    """Units that go out together, how long that takes, and what is left meanwhile by kind and zone."""

    units: tuple[str, ...]
    seconds: float
    left: Mapping[Key, float]


@dataclass(frozen=True, slots=True)
class Order:
    """Waves, all of their time, the least that any order could take by the bound, and the narrowest place:
    where it is, how much room there is, and how much more would save a wave."""

    waves: tuple[Wave, ...]
    seconds: float
    bound_s: float
    narrow: str = ""
    room: float = math.inf
    widen_by: float = 0.0

    def text(self) -> list[str]:
        """The arithmetic, line by line."""
        lines = [
            f"wave {number}: {', '.join(wave.units)}; {wave.seconds:g} s; left "
            + ", ".join(f"{kind.value}s in {zone} {left:g}" for (kind, zone), left in sorted(
                wave.left.items(), key=lambda item: (item[0][0].value, item[0][1])))
            for number, wave in enumerate(self.waves, 1)
        ]  # fmt: skip
        lines.append(f"{self.seconds:g} s in all, {self.bound_s:g} s at least")
        if self.narrow and len(self.waves) > 1:
            saves = self.widen_by > 1e-6
            more = f"{self.widen_by:.3g} more saves a wave" if saves else "more there saves nothing"
            lines.append(f"narrowest: {self.narrow}, room for {self.room:.4g} at a time; {more}")
        return lines


class _Room:
    """What a wave may still take."""

    def __init__(self, capacity: Mapping[Key, float], pods: Mapping[str, int], floors: Floors) -> None:
        self.capacity, self.pods, self.floors = dict(capacity), dict(pods), floors
        self.units: list[Unit] = []
        self.total: dict[Kind, float] = {}
        for (kind, _), amount in capacity.items():
            self.total[kind] = self.total.get(kind, 0.0) + amount
        self._zones: dict[Kind, list[Key]] = {}
        for key in capacity:
            self._zones.setdefault(key[0], []).append(key)

    def fits(self, unit: Unit) -> bool:
        """Whether one more may go."""
        key, kind, floors = (unit.kind, unit.zone), unit.kind, self.floors
        left = self.capacity.get(key, 0.0) - unit.capacity
        if left < floors.zones.get(key, 0.0) - 1e-9:
            return False
        total = self.total.get(kind, 0.0) - unit.capacity
        if total < floors.fleet.get(kind, 0.0) - 1e-9:
            return False
        if kind in floors.after_loss:
            most = max(left if other == key else self.capacity[other] for other in self._zones[kind])
            if total - most < floors.after_loss[kind] - 1e-9:
                return False
        return not unit.pod or self.pods.get(unit.pod, 0) > 1

    def take(self, unit: Unit) -> None:
        """It goes."""
        key = unit.kind, unit.zone
        self.capacity[key] -= unit.capacity
        self.total[unit.kind] -= unit.capacity
        if unit.pod:
            self.pods[unit.pod] -= 1
        self.units.append(unit)


def plan(account: Account, names: Iterable[str], now: float, seed: int = 1) -> Order:
    """The order in which these go. FloorError or PodError names what leaves no room for a unit even alone;
    UnitsError a unit that is not there. Who is out already is neither counted nor planned for."""
    chosen = []
    for name in dict.fromkeys(names):
        if name not in account.units:
            raise UnitsError(f"no unit {name!r}")
        if account.warmth(now, name) > 0:
            chosen.append(account.units[name])
    capacity, pods = account.capacity(now), account.pods(now)
    for unit in chosen:
        _alone(unit, capacity, pods, account.floors)
    bound = lower_bound(chosen, capacity, pods, account.floors)
    best = _best(chosen, capacity, pods, account.floors, bound, random.Random(seed))
    waves = tuple(
        Wave(tuple(unit.name for unit in room.units), _slowest(room), dict(room.capacity))
        for room in sorted(best, key=_slowest)
    )
    narrow, room, widen = _narrowest(chosen, capacity, account.floors, len(waves))
    return Order(waves, sum(wave.seconds for wave in waves), bound, narrow, room, widen)


def _alone(unit: Unit, capacity: Mapping[Key, float], pods: Mapping[str, int], floors: Floors) -> None:
    room = _Room(capacity, pods, floors)
    if room.fits(unit):
        return
    if unit.pod and pods.get(unit.pod, 0) <= 1:
        raise PodError(unit.name, unit.pod)
    left = dict(capacity)
    left[unit.kind, unit.zone] = left.get((unit.kind, unit.zone), 0.0) - unit.capacity
    lack = lacks(left, floors)[0]
    raise FloorError(unit.name, f"{lack.kind.value}s in {lack.where}", lack.floor, lack.left)


def _pack(
    units: Sequence[Unit], capacity: Mapping[Key, float], pods: Mapping[str, int], floors: Floors, fullest: bool
) -> list[_Room]:
    rooms: list[_Room] = []
    for unit in units:
        fitting = [room for room in rooms if room.fits(unit)] if fullest else None
        if fullest:
            key = unit.kind, unit.zone
            chosen = min(fitting, key=lambda room: room.capacity[key], default=None) if fitting else None
        else:
            chosen = next((room for room in rooms if room.fits(unit)), None)
        if chosen is None:
            chosen = _Room(capacity, pods, floors)
            rooms.append(chosen)
        chosen.take(unit)
    return rooms


def _slowest(room: _Room) -> float:
    return max(unit.took_s for unit in room.units)


def _seconds(rooms: Iterable[_Room]) -> float:
    return sum(map(_slowest, rooms))


def _best(
    units: Sequence[Unit], capacity: Mapping[Key, float], pods: Mapping[str, int], floors: Floors, bound: float,
    rng: random.Random,
) -> list[_Room]:  # fmt: skip
    order = sorted(units, key=lambda unit: (-unit.took_s, -unit.capacity, unit.name))
    best: list[_Room] = []
    least = math.inf
    for turn in range(2 + (TRIES if len(units) <= SMALL else 0)):
        if turn >= 2:
            # Near to the good order, and sometimes by size first: a large unit that goes late needs a wave of
            # its own.
            shake = rng.choice((0.05, 0.2, 0.5))
            weight = rng.choice((0.0, 0.0, 1.0, 3.0))
            slowest = max(unit.took_s for unit in units)
            order = sorted(units, key=lambda unit: -(
                unit.took_s / slowest + weight * unit.capacity / (1.0 + unit.capacity) + rng.uniform(0, shake)
            ))  # fmt: skip
        rooms = _pack(order, capacity, pods, floors, fullest=turn % 2 == 1)
        if (seconds := _seconds(rooms)) < least - 1e-9:
            best, least = rooms, seconds
        if least <= bound + 1e-9:
            break
    return best


def _rooms(capacity: Mapping[Key, float], floors: Floors) -> dict[str, tuple[float, set[Key]]]:
    """By place: how much may go at a time, and which zones count there."""
    found: dict[str, tuple[float, set[Key]]] = {}
    for key, amount in capacity.items():
        found[f"{key[0].value}s in {key[1]}"] = amount - floors.zones.get(key, 0.0), {key}
    for kind in {kind for kind, _ in capacity}:
        keys = {key for key in capacity if key[0] is kind}
        total = sum(capacity[key] for key in keys)
        floor = floors.fleet.get(kind, 0.0)
        if kind in floors.after_loss:
            # With all of it out of the largest zone the loss is smallest: at most so much may go in all.
            floor = max(floor, floors.after_loss[kind])
        found[f"{kind.value}s in {FLEET}"] = total - floor, keys
    return found


def lower_bound(
    units: Sequence[Unit], capacity: Mapping[Key, float], pods: Mapping[str, int], floors: Floors
) -> float:
    """No order takes less."""
    bound = max((unit.took_s for unit in units), default=0.0)
    for room, keys in _rooms(capacity, floors).values():
        here = [unit for unit in units if (unit.kind, unit.zone) in keys]
        bound = max(bound, _bound_of([(unit.took_s, unit.capacity) for unit in here], room))
    for pod, count in pods.items():
        bound = max(bound, _bound_of([(unit.took_s, 1.0) for unit in units if unit.pod == pod], count - 1.0))
    return bound


def _bound_of(pairs: list[tuple[float, float]], room: float) -> float:
    if not pairs or room <= 0:
        return 0.0
    pairs.sort(key=lambda pair: -pair[0])
    if all(size == int(size) for _, size in pairs):
        # Whole sizes fill whole parts of the room only, in steps of what divides them all.
        step = math.gcd(*(int(size) for _, size in pairs)) or 1
        room = math.floor(room / step + 1e-9) * step or room
    seconds = passed = 0.0
    waves = 0
    for took, size in pairs:
        passed += size
        # One that only fits with a part of it into the waves so far needs one more.
        if passed > waves * room + 1e-9:
            waves += 1
            seconds += took
    # Units of over half of the room can never share a wave.
    large = sorted((took for took, size in pairs if size > room / 2), reverse=True)
    return max(seconds, sum(large))


def _narrowest(
    units: Sequence[Unit], capacity: Mapping[Key, float], floors: Floors, waves: int
) -> tuple[str, float, float]:
    best = ("", math.inf, 0.0)
    most = 0.0
    for name, (room, keys) in _rooms(capacity, floors).items():
        need = sum(unit.capacity for unit in units if (unit.kind, unit.zone) in keys)
        if room > 0 and need / room > most:
            most = need / room
            fewer = max(1, waves - 1)
            best = name, room, max(0.0, need / fewer - room)
    return best
