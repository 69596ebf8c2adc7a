"""Permits of planned outages: a unit leaves service by plan only with a permit that was stored first.

    stage   meaning                                     next stage
    -----   -------                                     ----------
    given   the unit may leave service and counts as    told, when its holder has been notified;
            out; its holder has not been notified       ended, when the permit is revoked, or when the unit is
                                                        in again: something else had restarted it
    told    its holder was notified, and the unit may   out, when it is seen out, coming back or unknown;
            have left service                           ended, when it is in again
    out     the unit was seen out of service            ended, when it is in again
    ended   the unit is in again, or the permit was     none
            revoked or written off

A unit is "in again" once it is seen serving at its full capacity (`FleetState`). In any stage before "ended" an
operator can write a permit off by the name of its unit. No permit ends because time has passed.

A permit belongs to an epoch. An agent that begins to act takes a higher epoch than any that it knows of from its
store and from the holders, and holders refuse orders of a lower epoch.
"""

from __future__ import annotations

import enum
import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, replace

from covetally.drainplan.fleet_state import FleetState, UnitState
from covetally.drainplan.errors import EpochError, PermitError

MAX_ENDED = 200  # ended permits that are kept for inspection


class Stage(enum.Enum):
    """Stage of a permit; the module's table describes each. The values are stored and shown to operators."""

    ISSUED = "given"
    NOTIFIED = "told"
    OUT = "out"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Permit:
    """The permission for `unit` to leave service, ordered by `who` for the reason `why` at the time `given`.

    At `due` it is expected back; that time ends nothing. `ended` says how it ended. The fields are stored under
    these names.
    """

    number: int
    unit: str
    who: str
    why: str
    epoch: int
    given: float
    due: float
    stage: Stage = Stage.ISSUED
    ended: str = ""

    def as_dict(self) -> dict[str, object]:
        """Return the permit for the API and the store."""
        return asdict(self) | {"stage": self.stage.value}


class Permits:
    """All permits of planned outages. The caller stores `to_json()` before it notifies any holder."""

    def __init__(self, epoch: int, text: str = "") -> None:
        self.epoch = epoch
        rows = json.loads(text or "[]")
        self._all = [Permit(**(row | {"stage": Stage(row["stage"])})) for row in rows]
        self.highest_epoch = max((permit.epoch for permit in self._all), default=0)

    def to_json(self) -> str:
        """Return all permits as the text that the constructor takes."""
        return json.dumps([permit.as_dict() for permit in self._all])

    def observe_epoch(self, epoch: int) -> None:
        """Record an epoch that a holder or the store knows of."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    @property
    def open(self) -> list[Permit]:
        """The permits that have not ended."""
        return [permit for permit in self._all if permit.stage is not Stage.ENDED]

    def for_unit(self, unit: str) -> Permit | None:
        """Return a unit's open permit, if it has one."""
        return next((permit for permit in self.open if permit.unit == unit), None)

    def as_dicts(self) -> list[dict[str, object]]:
        """Return all permits for the API, the newest last."""
        return [permit.as_dict() for permit in self._all]

    def issue(self, now: float, fleet: FleetState, unit: str, who: str, why: str) -> Permit:
        """Issue a permit for a unit that is in service, if every floor and pod holds without it.

        Raises EpochError if a higher epoch is known, and PermitError if the unit must not leave.
        """
        if self.highest_epoch > self.epoch:
            raise EpochError(f"epoch {self.highest_epoch} is known, above this agent's epoch {self.epoch}")
        known = fleet.status_of(unit)
        if known.state is not UnitState.IN_SERVICE:
            raise PermitError(f"{unit} is {known.state.value}: {known.cause}")
        if self.for_unit(unit) is not None:
            raise PermitError(f"{unit} already has a permit")
        fleet.mark_draining(now, unit, f"{why}, by {who}")
        if violations := fleet.floor_violations(now):
            fleet.cancel_drain(now, unit)
            raise PermitError(
                f"{unit} cannot be drained now: {violations[0].kind.value}s in {violations[0].where} would have "
                f"{violations[0].remaining:g} left, and the floor is {violations[0].floor:g}"
            )
        pod = fleet.units[unit].pod
        if pod and fleet.nodes_by_pod(now).get(pod, 0) < 1:
            fleet.cancel_drain(now, unit)
            raise PermitError(f"{unit} cannot be drained now: it is the last available node of pod {pod}")
        number = max((permit.number for permit in self._all), default=0) + 1
        permit = Permit(number, unit, who, why, self.epoch, now, now + fleet.units[unit].outage_s)
        ended = [p for p in self._all if p.stage is Stage.ENDED][-MAX_ENDED:]
        self._all = [p for p in self._all if p.stage is not Stage.ENDED or p in ended] + [permit]
        return permit

    def mark_notified(self, unit: str) -> None:
        """Record that the holder of a unit's permit has been notified."""
        self._set_stage(unit, Stage.NOTIFIED)

    def revoke(self, now: float, fleet: FleetState, unit: str, why: str) -> bool:
        """End a unit's permit if its holder was not notified yet; return whether that was so."""
        permit = self.for_unit(unit)
        if permit is None or permit.stage is not Stage.ISSUED:
            return False
        self._set_stage(unit, Stage.ENDED, why)
        fleet.cancel_drain(now, unit)
        return True

    def reconcile(self, fleet: FleetState) -> list[Permit]:
        """Advance the open permits to the observed states of their units; return those that ended."""
        found = []
        for permit in self.open:
            state = fleet.status_of(permit.unit).state
            if (
                state in (UnitState.OUT, UnitState.RETURNING, UnitState.UNKNOWN)
                and permit.stage is Stage.NOTIFIED
            ):
                self._set_stage(permit.unit, Stage.OUT)
            elif state is UnitState.IN_SERVICE:
                # The permit marked it as draining, so it has been out since: it was notified, or something else
                # ended its process before it was notified.
                self._set_stage(permit.unit, Stage.ENDED, "back in service")
                found.append(permit)
        return found

    def write_off(self, unit: str, who: str) -> Permit:
        """End the permit of a unit that, as an operator says, does not come back; PermitError if it has none."""
        permit = self.for_unit(unit)
        if permit is None:
            raise PermitError(f"{unit} has no permit to write off")
        self._set_stage(unit, Stage.ENDED, f"written off by {who}")
        return permit

    def _set_stage(self, unit: str, stage: Stage, ended: str = "") -> None:
        self._all = [
            replace(p, stage=stage, ended=ended) if p.unit == unit and p.stage is not Stage.ENDED else p
            for p in self._all
        ]


def next_epoch(known: Iterable[int]) -> int:
    """Return an epoch above all known ones, for an agent that begins to act."""
    return max(known, default=0) + 1
