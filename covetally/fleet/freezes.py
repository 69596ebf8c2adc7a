"""Freezes: nothing planned is begun for the instances that are meant, until a time. No I/O; Unix seconds.

    state    means
    -----    -----
    in force changes, restarts and drains that may touch what it means are refused, but by whom it lets through
    lifted   an operator has ended it
    lapsed   its time is over; it is shown for a day after

What goes back is never held up: undo, abort and resume work under a freeze. A rollout that runs or is queued
already goes on: pause it. Times are of the agent's steady clock (steady_clock.py): a wall clock that is stepped
ends none early and keeps none longer.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, replace

from covetally.fleet.selector import Selector, parse

SHOWN_S = 86_400.0
MOST = 100


@dataclass(frozen=True, slots=True)
class Freeze:
    """One freeze. `through` may act all the same, empty for nobody; `ended` is when it was lifted, 0 if it was
    not, and `ended_by` whose word that was."""

    number: int
    selector: str
    since: float
    until: float
    who: str
    reason: str
    through: str = ""
    ended: float = 0.0
    ended_by: str = ""

    def state(self, now: float) -> str:
        """in force, lifted or lapsed."""
        return "lifted" if self.ended else "in force" if now < self.until else "lapsed"

    def describe(self, now: float) -> str:
        """One line."""
        left = f"for {self.until - now:.0f} s more" if now < self.until else "no more"
        through = f"; {self.through} may act all the same" if self.through else ""
        return f"freeze {self.number} by {self.who} ({self.reason}), {self.selector or 'all'}, {left}{through}"


class Freezes:
    """All that are in force or were of late."""

    def __init__(self, text: str = "") -> None:
        self._all = [Freeze(**row) for row in json.loads(text or "[]")]

    def to_json(self) -> str:
        """What `__init__` takes."""
        return json.dumps([asdict(freeze) for freeze in self._all])

    def add(self, selector: str, now: float, for_s: float, who: str, reason: str, through: str) -> Freeze:
        """Begin one."""
        number = max((f.number for f in self._all), default=0) + 1
        freeze = Freeze(number, str(parse(selector)), now, now + for_s, who, reason, through)
        self._all = [f for f in self._all if now - (f.ended or f.until) < SHOWN_S][-MOST + 1 :] + [freeze]
        return freeze

    def lift(self, number: int, now: float, who: str) -> Freeze | None:
        """End one before its time; None if there is none in force."""
        for i, freeze in enumerate(self._all):
            if freeze.number == number and freeze.state(now) == "in force":
                self._all[i] = replace(freeze, ended=now, ended_by=who)
                return self._all[i]
        return None

    def find_blocking(self, meant: Selector, who: str, now: float) -> Freeze | None:
        """The freeze that is in the way of something planned for what is meant."""
        for freeze in self._all:
            means = parse(freeze.selector).overlaps(meant)
            if means and freeze.state(now) == "in force" and who != freeze.through:
                return freeze
        return None

    def as_dicts(self, now: float) -> list[dict[str, object]]:
        """For the API, the newest first."""
        return [asdict(f) | {"state": f.state(now), "text": f.describe(now)} for f in reversed(self._all)]
