"""Decides which workers there are to be: who is started, told its share, ended, killed. No I/O: time is given.

    a worker is    meaning                                               leaves it by
    -----------    -------                                               ------------
    STARTING       its process was started                               ready -> SERVING; START_S over -> killed
    SERVING        it takes requests, and says that it is alive          told to end -> ENDING; silent -> killed
    ENDING         told to end: finishes what it took                    exit -> gone; END_S over -> killed

    a place (0 to N - 1) is filled by one worker, and while that one is replaced by two. What fills it:
    empty          a worker is started, after a pause if the one before died soon after its start
    replaced       the new one is started first; the old one is told to end once the new one serves
    beyond N       its worker is told to end

Of the workers that are replaced in turn no two are at a time. A share is a worker's part of what the whole may
hold, by place: the parts of places 0 to N - 1 make the whole. While a place has two workers each has that part,
so a turn of replacements overdraws one part, and never more than one.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

SOON_S = 5.0  # a worker that dies so soon after it was ready died of something that will not pass
PAUSE_S = 0.5  # before the next start then; doubled each time,
MAX_PAUSE_S = 15.0  # up to this
START_S = 20.0  # to be ready
HANG_S = 5.0  # a worker that says nothing for so long hangs, unless workers.hang_s says otherwise


class State(enum.Enum):
    """See the table above."""

    STARTING = "starting"
    SERVING = "serving"
    ENDING = "ending"


@dataclass(frozen=True, slots=True)
class Start:
    """Start a worker for a place, under a number that no other has had."""

    number: int
    place: int


@dataclass(frozen=True, slots=True)
class End:
    """Tell a worker to end in good order."""

    number: int


@dataclass(frozen=True, slots=True)
class Kill:
    """End a worker at once; `why` is for the log."""

    number: int
    why: str


@dataclass(frozen=True, slots=True)
class Share:
    """Tell a worker its place and of how many."""

    number: int
    place: int
    count: int


Order = Start | End | Kill | Share


@dataclass(slots=True)
class Worker:
    """What is known of one worker. Times are in seconds, on the caller's clock."""

    number: int
    place: int
    since: float
    state: State = State.STARTING
    ready_at: float = 0.0
    heard_at: float = 0.0
    told: tuple[int, int] | None = None  # the place and count that it was told last
    killed: bool = False


@dataclass(slots=True)
class _Place:
    pause_s: float = 0.0
    not_before: float = 0.0
    replace: bool = False  # its worker is to make way for a new one


@dataclass(slots=True)
class Crew:
    """The workers of one sidecar. Every call returns what is to be done now; `due` tells when to call `tick`."""

    count: int
    hang_s: float  # a worker that says nothing for so long hangs
    end_s: float  # what it may take to finish what it took
    workers: dict[int, Worker] = field(default_factory=dict)
    deaths: int = 0
    ending: bool = False
    _places: dict[int, _Place] = field(default_factory=dict)
    _serial: int = 0

    # --- events ---------------------------------------------------------------------------------

    def ready(self, now: float, number: int) -> list[Order]:
        """A worker takes requests."""
        worker = self.workers.get(number)
        if worker is not None:
            worker.heard_at = now
            if worker.state is State.STARTING:
                worker.state, worker.ready_at = State.SERVING, now
        return self.tick(now)

    def heard(self, now: float, number: int) -> None:
        """A worker says that it is alive."""
        worker = self.workers.get(number)
        if worker is not None:
            worker.heard_at = now

    def gone(self, now: float, number: int) -> list[Order]:
        """A worker's process has ended."""
        worker = self.workers.pop(number, None)
        if worker is not None and worker.state is not State.ENDING:
            self.deaths += 1
            place = self._place(worker.place)
            if worker.state is State.SERVING and now - worker.ready_at >= SOON_S:
                place.pause_s = 0.0
            else:
                place.pause_s = min(MAX_PAUSE_S, max(PAUSE_S, 2 * place.pause_s))
                place.not_before = now + place.pause_s
        return self.tick(now)

    def resize(self, now: float, count: int) -> list[Order]:
        """There are to be so many from here on."""
        self.count = count
        return self.tick(now)

    def replace(self, now: float) -> list[Order]:
        """Each worker is to make way for a new one, one place after the other."""
        for number in range(self.count):
            self._place(number).replace = True
        return self.tick(now)

    def end(self, now: float) -> list[Order]:
        """All are to end."""
        self.ending = True
        return self.tick(now)

    # --- what is to be done ---------------------------------------------------------------------

    def tick(self, now: float) -> list[Order]:
        """What is to be done at this time."""
        orders: list[Order] = []
        for worker in self.workers.values():
            self._watch(now, worker, orders)
        if self.ending:
            self._end([w for w in self.workers.values()], now, orders)
            return orders
        self._end([w for w in self.workers.values() if w.place >= self.count], now, orders)
        for number in range(self.count):
            self._fill(now, number, orders)
        for worker in self.workers.values():
            share = (worker.place, self.count)
            if worker.state is State.SERVING and not worker.killed and worker.told != share:
                worker.told = share
                orders.append(Share(worker.number, *share))
        return orders

    def due(self) -> float | None:
        """When `tick` has to be called next, if nothing happens before."""
        times = [self._limit(w)[0] for w in self.workers.values() if not w.killed]
        if not self.ending:
            filled = {w.place for w in self.workers.values() if w.state is not State.ENDING}
            times += [p.not_before for n, p in self._places.items() if n < self.count and n not in filled]
        return min(times, default=None)

    def serving(self, place: int) -> Worker | None:
        """The worker that takes requests at a place."""
        found = [w for w in self.workers.values() if w.place == place and w.state is State.SERVING]
        return found[0] if found else None

    def replacing(self) -> bool:
        """Whether a turn of replacements is under way."""
        return any(p.replace for n, p in self._places.items() if n < self.count)

    def _place(self, number: int) -> _Place:
        return self._places.setdefault(number, _Place())

    def _limit(self, worker: Worker) -> tuple[float, str]:
        """When a worker is killed, and what for."""
        if worker.state is State.STARTING:
            return worker.since + START_S, f"was not ready within {START_S:g} s"
        if worker.state is State.ENDING:
            return worker.since + self.end_s, f"did not end within {self.end_s:g} s"
        return worker.heard_at + self.hang_s, f"has said nothing for {self.hang_s:g} s: it hangs"

    def _watch(self, now: float, worker: Worker, orders: list[Order]) -> None:
        at, why = self._limit(worker)
        if now >= at and not worker.killed:
            worker.killed = True
            orders.append(Kill(worker.number, why))

    def _end(self, workers: list[Worker], now: float, orders: list[Order]) -> None:
        for worker in workers:
            if worker.state is not State.ENDING and not worker.killed:
                worker.state, worker.since = State.ENDING, now
                orders.append(End(worker.number))

    def _fill(self, now: float, number: int, orders: list[Order]) -> None:
        place = self._place(number)
        here = [w for w in self.workers.values() if w.place == number and w.state is not State.ENDING]
        if not here:
            place.replace = False
            if now >= place.not_before:
                self._start(now, number, orders)
        elif place.replace:
            old, *new = here
            if new and new[0].state is State.SERVING:
                place.replace = False
                self._end([old], now, orders)
            elif not new and old.state is State.SERVING and now >= place.not_before and self._quiet():
                self._start(now, number, orders)

    def _quiet(self) -> bool:
        """Whether no other worker starts or ends: replacements go one at a time."""
        return all(w.state is State.SERVING for w in self.workers.values())

    def _start(self, now: float, place: int, orders: list[Order]) -> None:
        number, self._serial = self._serial, self._serial + 1
        self.workers[number] = Worker(number, place, now, told=(place, self.count))
        orders.append(Start(number, place))


def part(whole: int, place: int, count: int, least: int = 1) -> int:
    """A place's part of a number of things; the parts of all places make the whole, unless `least` is more."""
    return max(least, whole // count + (place < whole % count))
