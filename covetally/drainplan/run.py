"""One drain order under way: what is done next. No I/O; whoever carries it out writes down what it says first.

state    what goes on                                            ends in
-----    ------------                                            -------
going    waves, planned anew from what is in before each one     done, waiting, halted
waiting  nothing new: a floor lacks, the overload line is up,    going, halted
         a unit of the wave before has not come back, or contact
         with too many is lost
halted   nothing new, by an operator or by itself; who is out    going (resume)
         comes back by itself and is waited for
back     as halted, and what has not gone yet never goes         done
done     all are back, or were written off
"""

from __future__ import annotations

import enum
import json
from collections.abc import Collection
from dataclasses import asdict, dataclass, field

from covetally.drainplan.account import Account, State
from covetally.drainplan.errors import FloorError, PermitError, PodError
from covetally.drainplan.permits import Permits
from covetally.drainplan.plan import plan


class Phase(enum.Enum):
    """See the table."""

    GOING = "going"
    WAITING = "waiting"
    HALTED = "halted"
    BACK = "back"
    DONE = "done"


@dataclass(slots=True)
class Run:
    """An order: who still has to go (`left`), who has gone and come back (`ended`), who failed and why."""

    number: int
    who: str
    why: str
    left: list[str]
    ended: list[str] = field(default_factory=list)
    failed: dict[str, str] = field(default_factory=dict)
    phase: Phase = Phase.GOING
    reason: str = ""
    most_unknown: float = 0.2  # share of the units out of sight past which nothing new is begun

    def text(self) -> str:
        """What `of` takes."""
        return json.dumps(asdict(self) | {"phase": self.phase.value})

    @classmethod
    def of(cls, text: str) -> Run:
        """From its text."""
        row = json.loads(text)
        return cls(**(row | {"phase": Phase(row["phase"])}))

    def halt(self, reason: str) -> None:
        """Nothing new from here on."""
        if self.phase is not Phase.DONE:
            self.phase, self.reason = Phase.HALTED, reason

    def resume(self) -> None:
        """Go on; PermitError if it has gone back, or is done."""
        if self.phase in (Phase.BACK, Phase.DONE):
            raise PermitError(f"order {self.number} is {self.phase.value}")
        self.phase, self.reason = Phase.GOING, ""

    def back(self, reason: str) -> None:
        """What has not gone never goes; the others come back."""
        if self.phase is not Phase.DONE:
            self.phase, self.reason, self.left = Phase.BACK, reason, []

    def fail(self, unit: str, reason: str) -> None:
        """A holder refused, or could not be told: the order halts at the first."""
        self.failed[unit] = reason
        if unit in self.left:
            self.left.remove(unit)
        self.halt(f"{unit}: {reason}")

    def next(self, now: float, account: Account, permits: Permits, line_up: bool = False) -> list[str]:
        """The units to be given permits now. They count as out from then on; `gone` says that they were given."""
        for unit in list(self.left):
            if account.entry(unit).state is State.OUT and permits.of(unit) is None:
                self.failed[unit] = "out already, by another cause"
                self.left.remove(unit)
        mine = [permit for permit in permits.open if permit.unit in self.ended]
        if not self.left and not mine:
            self.phase = Phase.DONE
            return []
        if self.phase not in (Phase.GOING, Phase.WAITING):
            return []
        waits = self._waits(now, account, mine, line_up)
        if waits or not self.left:
            self.phase, self.reason = Phase.WAITING, waits or "the last wave is out"
            return []
        try:
            wave = plan(account, [u for u in self.left if account.entry(u).state is State.IN], now).waves[0]
        except (FloorError, PodError) as error:
            self.phase, self.reason = Phase.WAITING, error.message
            return []
        except IndexError:
            self.phase, self.reason = Phase.WAITING, f"not in now: {', '.join(self.left[:5])}"
            return []
        self.phase, self.reason = Phase.GOING, ""
        return list(wave.units)

    def _waits(self, now: float, account: Account, mine: Collection[object], line_up: bool) -> str:
        if mine:
            return f"{len(mine)} of the wave before are not back, and warm, yet"
        if line_up:
            return "the fleet's overload line is up"
        if lack := account.lacks(now):
            worst = lack[0]
            return f"{worst.kind.value}s in {worst.where}: {worst.left:g}, below the floor of {worst.floor:g}"
        unknown = sum(account.entry(name).state is State.UNKNOWN for name in account.units)
        if unknown > self.most_unknown * len(account.units):
            return f"{unknown} of {len(account.units)} are out of sight"
        return ""

    def gone(self, unit: str) -> None:
        """Its permit is written down."""
        self.left.remove(unit)
        self.ended.append(unit)

    def table(self) -> dict[str, object]:
        """For operators."""
        return {
            "number": self.number, "who": self.who, "why": self.why, "phase": self.phase.value,
            "reason": self.reason, "left": list(self.left), "gone": list(self.ended), "failed": dict(self.failed),
        }  # fmt: skip
