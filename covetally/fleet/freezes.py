"""Freezes block planned operations on the selected instances until a given time. No I/O; times are Unix seconds.

    state      meaning
    -----      -------
    in force   changes, restarts and drains that may affect a selected instance are refused, except from the
               operator named in `through`
    lifted     an operator ended the freeze
    lapsed     the time is over

A freeze that is lifted or has lapsed is listed for another day. Recovery is never blocked: undo, abort and
resume work during a freeze. A rollout that is already running or queued continues; pause it if it has to stop.
Times come from the agent's steady clock (steady_clock.py), so a step of the wall clock neither shortens nor
prolongs a freeze.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, replace

from covetally.fleet.selector import Selector, parse

LISTED_S = 86_400.0  # how long a freeze is listed after its end
MAX_FREEZES = 100


@dataclass(frozen=True, slots=True)
class Freeze:
    """One freeze. `through` names an operator who is exempt, empty for none; `ended` is the time when the
    freeze was lifted, 0 if it was not, and `ended_by` the operator who lifted it."""

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
        """One of "in force", "lifted" and "lapsed"."""
        return "lifted" if self.ended else "in force" if now < self.until else "lapsed"

    def describe(self, now: float) -> str:
        """A one-line description for operators."""
        remaining = f"for {self.until - now:.0f} s more" if now < self.until else "expired"
        through = f"; {self.through} is exempt" if self.through else ""
        return (
            f"freeze {self.number} by {self.who} ({self.reason}), {self.selector or 'all'}, {remaining}{through}"
        )


class Freezes:
    """All freezes that are in force or ended recently."""

    def __init__(self, saved: str = "") -> None:
        self._all = [Freeze(**row) for row in json.loads(saved or "[]")]

    def to_json(self) -> str:
        """The state that `__init__` takes."""
        return json.dumps([asdict(freeze) for freeze in self._all])

    def add(self, selector: str, now: float, for_s: float, who: str, reason: str, through: str) -> Freeze:
        """Add a freeze of `for_s` seconds that begins now."""
        number = max((f.number for f in self._all), default=0) + 1
        freeze = Freeze(number, str(parse(selector)), now, now + for_s, who, reason, through)
        self._all = [f for f in self._all if now - (f.ended or f.until) < LISTED_S][-MAX_FREEZES + 1 :] + [freeze]
        return freeze

    def lift(self, number: int, now: float, who: str) -> Freeze | None:
        """End a freeze early; None if no freeze of this number is in force."""
        for i, freeze in enumerate(self._all):
            if freeze.number == number and freeze.state(now) == "in force":
                self._all[i] = replace(freeze, ended=now, ended_by=who)
                return self._all[i]
        return None

    def find_blocking(self, selector: Selector, who: str, now: float) -> Freeze | None:
        """The first freeze that blocks `who` from a planned operation on the instances of a selector, if any."""
        for freeze in self._all:
            selected = parse(freeze.selector).overlaps(selector)
            if selected and freeze.state(now) == "in force" and who != freeze.through:
                return freeze
        return None

    def as_dicts(self, now: float) -> list[dict[str, object]]:
        """The freezes for the API, newest first."""
        return [asdict(f) | {"state": f.state(now), "text": f.describe(now)} for f in reversed(self._all)]
