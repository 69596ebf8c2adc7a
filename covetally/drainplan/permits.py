"""Permits: nobody goes out by plan without one that was written down first.

    state        means                                          how it ends
    -----        -----                                          -----------
    given        the holder may go; it counts as out            told, taken back, or seen back without
    told         the holder was told, and may have gone         out
    out          the holder was seen not to serve               back, once it is seen serving and warm
    ended        it is in again, or an operator wrote it off by name

Never by time alone. A permit is of an epoch: each agent that begins to act takes a higher one than any it has
heard of, from its store and from every holder, and holders refuse what is of a lower one.
"""

from __future__ import annotations

import enum
import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, replace

from covetally.drainplan.fleet_state import Account, State
from covetally.drainplan.errors import EpochError, PermitError

MOST_ENDED = 200  # kept to be looked at


class Stage(enum.Enum):
    """See the table."""

    GIVEN = "given"
    TOLD = "told"
    OUT = "out"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Permit:
    """Who may go, by whose word, why, since when; `due` is when it is expected back, and ends nothing."""

    number: int
    unit: str
    who: str
    why: str
    epoch: int
    given: float
    due: float
    stage: Stage = Stage.GIVEN
    ended: str = ""

    def table(self) -> dict[str, object]:
        """For the API and the store."""
        return asdict(self) | {"stage": self.stage.value}


class Permits:
    """All that are out by plan. `text` is what the store keeps; it is written before anybody is told."""

    def __init__(self, epoch: int, text: str = "") -> None:
        self.epoch = epoch
        rows = json.loads(text or "[]")
        self._all = [Permit(**(row | {"stage": Stage(row["stage"])})) for row in rows]
        self.heard = max((permit.epoch for permit in self._all), default=0)

    def text(self) -> str:
        """What `__init__` takes."""
        return json.dumps([permit.table() for permit in self._all])

    def hear(self, epoch: int) -> None:
        """A holder, or the store, knows of an epoch."""
        self.heard = max(self.heard, epoch)

    @property
    def open(self) -> list[Permit]:
        """Those that have not ended."""
        return [permit for permit in self._all if permit.stage is not Stage.ENDED]

    def of(self, unit: str) -> Permit | None:
        """A unit's open permit."""
        return next((permit for permit in self.open if permit.unit == unit), None)

    def table(self) -> list[dict[str, object]]:
        """All of them, the newest last."""
        return [permit.table() for permit in self._all]

    def give(self, now: float, account: Account, unit: str, who: str, why: str) -> Permit:
        """A permit for a unit that is in, if every floor holds without it; EpochError, PermitError."""
        if self.heard > self.epoch:
            raise EpochError(f"epoch {self.heard} is known, and this agent acts in {self.epoch}")
        known = account.entry(unit)
        if known.state is not State.IN:
            raise PermitError(f"{unit} is {known.state.value}: {known.cause}")
        if self.of(unit) is not None:
            raise PermitError(f"{unit} has a permit already")
        account.going(now, unit, f"{why}, by {who}")
        if lack := account.lacks(now):
            account.stays(now, unit)
            raise PermitError(
                f"{unit} cannot go now: {lack[0].kind.value}s in {lack[0].where} would have {lack[0].left:g}, "
                f"its floor is {lack[0].floor:g}"
            )
        pod = account.units[unit].pod
        if pod and account.pods(now).get(pod, 0) < 1:
            account.stays(now, unit)
            raise PermitError(f"{unit} cannot go now: it is the last node in of pod {pod}")
        number = max((permit.number for permit in self._all), default=0) + 1
        permit = Permit(number, unit, who, why, self.epoch, now, now + account.units[unit].took_s)
        ended = [p for p in self._all if p.stage is Stage.ENDED][-MOST_ENDED:]
        self._all = [p for p in self._all if p.stage is not Stage.ENDED or p in ended] + [permit]
        return permit

    def told(self, unit: str) -> None:
        """Its holder has been told."""
        self._move(unit, Stage.TOLD)

    def take_back(self, now: float, account: Account, unit: str, why: str) -> bool:
        """End one whose holder was never told; False if it was."""
        permit = self.of(unit)
        if permit is None or permit.stage is not Stage.GIVEN:
            return False
        self._move(unit, Stage.ENDED, why)
        account.stays(now, unit)
        return True

    def look(self, account: Account) -> list[Permit]:
        """Match with what is seen; returns those that ended."""
        found = []
        for permit in self.open:
            state = account.entry(permit.unit).state
            if state in (State.OUT, State.BACK, State.UNKNOWN) and permit.stage is Stage.TOLD:
                self._move(permit.unit, Stage.OUT)
            elif state is State.IN:
                # It was going out, so it has been out: told, or killed by another before it was told.
                self._move(permit.unit, Stage.ENDED, "in again")
                found.append(permit)
        return found

    def write_off(self, unit: str, who: str) -> Permit:
        """An operator's word that a unit does not come back; PermitError if it has no permit."""
        permit = self.of(unit)
        if permit is None:
            raise PermitError(f"{unit} has no permit to write off")
        self._move(unit, Stage.ENDED, f"written off by {who}")
        return permit

    def _move(self, unit: str, stage: Stage, ended: str = "") -> None:
        self._all = [
            replace(p, stage=stage, ended=ended) if p.unit == unit and p.stage is not Stage.ENDED else p
            for p in self._all
        ]


def next_epoch(known: Iterable[int]) -> int:
    """For an agent that begins to act: above all that is known."""
    return max(known, default=0) + 1
