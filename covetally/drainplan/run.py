"""Progress of one drain order: decides what is done next. Does no I/O: the caller stores the state, then acts.

    phase    what happens                                           next phase
    -----    ------------                                           ----------
    going    one wave after the other, each planned from the        waiting, halted, back, done
             units that are in service then
    waiting  no new wave, because a unit of the previous wave is    going, as soon as no cause remains;
             not back in service; or the fleet is shedding load;    halted, back, done
             or a floor does not hold; or too many units are
             unknown; or a unit that is left cannot be drained
             even alone; or none that is left is in service
    halted   no new wave, after an operator's command or a unit     going (resume), back, done
             that failed; units that are out come back
    back     no new wave: the units that were left are dropped,     done, halted
             and units that are out come back
    done     no unit is left, and all permits of the order have     none
             ended: the units are back, or were written off

An order is done as soon as no unit is left and all its permits have ended, also while it is halted.
"""

from __future__ import annotations

import enum
import json
from collections.abc import Collection
from dataclasses import asdict, dataclass, field

from covetally.drainplan.fleet_state import FleetState, UnitState
from covetally.drainplan.errors import FloorError, PermitError, PodError
from covetally.drainplan.permits import Permits
from covetally.drainplan.plan import plan


class Phase(enum.Enum):
    """Phase of a drain order; the module's table describes each. The values are stored and shown to operators."""

    RUNNING = "going"
    WAITING = "waiting"
    HALTED = "halted"
    CANCELLED = "back"
    DONE = "done"


@dataclass(slots=True)
class DrainRun:
    """A drain order that was ordered by `who` for the reason `why`. The fields are stored under these names.

    `left` are the units that still have to be drained, `ended` those that were given a permit, and `failed` those
    that were not drained, with the reason.
    """

    number: int
    who: str
    why: str
    left: list[str]
    ended: list[str] = field(default_factory=list)
    failed: dict[str, str] = field(default_factory=dict)
    phase: Phase = Phase.RUNNING
    reason: str = ""
    most_unknown: float = 0.2  # no new wave begins while a larger share of all units is unknown

    def to_json(self) -> str:
        """Return the order as the text that `from_json` takes."""
        return json.dumps(asdict(self) | {"phase": self.phase.value})

    @classmethod
    def from_json(cls, text: str) -> DrainRun:
        """Return the order that was stored as this text."""
        row = json.loads(text)
        return cls(**(row | {"phase": Phase(row["phase"])}))

    def halt(self, reason: str) -> None:
        """Begin no new wave until `resume`."""
        if self.phase is not Phase.DONE:
            self.phase, self.reason = Phase.HALTED, reason

    def resume(self) -> None:
        """Continue the order; PermitError if it was cancelled or is done."""
        if self.phase in (Phase.CANCELLED, Phase.DONE):
            raise PermitError(f"order {self.number} is {self.phase.value}")
        self.phase, self.reason = Phase.RUNNING, ""

    def cancel(self, reason: str) -> None:
        """Drop the units that have no permit yet; the others come back."""
        if self.phase is not Phase.DONE:
            self.phase, self.reason, self.left = Phase.CANCELLED, reason, []

    def fail(self, unit: str, reason: str) -> None:
        """Record that a holder refused or could not be notified; the order halts at the first one."""
        self.failed[unit] = reason
        if unit in self.left:
            self.left.remove(unit)
        self.halt(f"{unit}: {reason}")

    def next_wave(self, now: float, fleet: FleetState, permits: Permits, shedding: bool = False) -> list[str]:
        """Return the units that need a permit now; empty while nothing new may begin.

        The caller issues the permits and reports each with `permit_issued`. `shedding` says whether the fleet is
        shedding load.
        """
        for unit in list(self.left):
            if fleet.status_of(unit).state is UnitState.OUT and permits.for_unit(unit) is None:
                self.failed[unit] = "already out of service for another cause"
                self.left.remove(unit)
        own = [permit for permit in permits.open if permit.unit in self.ended]
        if not self.left and not own:
            self.phase = Phase.DONE
            return []
        if self.phase not in (Phase.RUNNING, Phase.WAITING):
            return []
        blocked = self._blocked_by(now, fleet, own, shedding)
        if blocked or not self.left:
            self.phase, self.reason = Phase.WAITING, blocked or "the last wave is not back in service yet"
            return []
        try:
            wave = plan(
                fleet, [u for u in self.left if fleet.status_of(u).state is UnitState.IN_SERVICE], now
            ).waves[0]
        except (FloorError, PodError) as error:
            self.phase, self.reason = Phase.WAITING, error.message
            return []
        except IndexError:
            self.phase, self.reason = Phase.WAITING, f"not in service: {', '.join(self.left[:5])}"
            return []
        self.phase, self.reason = Phase.RUNNING, ""
        return list(wave.units)

    def _blocked_by(self, now: float, fleet: FleetState, own: Collection[object], shedding: bool) -> str:
        """Return why no new wave may begin; empty if one may."""
        if own:
            return f"{len(own)} of the previous wave are not back in service yet"
        if shedding:
            return "the fleet is shedding load"
        if violations := fleet.floor_violations(now):
            first = violations[0]
            return (
                f"{first.kind.value}s in {first.where}: {first.remaining:g}, below the floor of {first.floor:g}"
            )
        unknown = sum(fleet.status_of(name).state is UnitState.UNKNOWN for name in fleet.units)
        if unknown > self.most_unknown * len(fleet.units):
            return f"{unknown} of {len(fleet.units)} are unreachable"
        return ""

    def permit_issued(self, unit: str) -> None:
        """Record that a unit's permit was issued."""
        self.left.remove(unit)
        self.ended.append(unit)

    def summary(self) -> dict[str, object]:
        """Return the order's progress for operators."""
        return {
            "number": self.number, "who": self.who, "why": self.why, "phase": self.phase.value,
            "reason": self.reason, "left": list(self.left), "gone": list(self.ended), "failed": dict(self.failed),
        }  # fmt: skip
