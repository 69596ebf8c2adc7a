"""A rollout together with its stored row, and the draft of a revision."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from covetally.fleet.registry import Instance
from covetally.fleet.rollout import Phase, Rollout
from covetally.fleet.selector import Selector
from covetally.fleet.store import Revision, RolloutRow


@dataclass(slots=True)
class RolloutRecord:
    """A rollout and its row in the store."""

    rollout: Rollout
    row: RolloutRow
    selector: Selector
    queued: bool = False
    undo_requested: bool = False  # the rollout asked to be undone; that is done before any other action

    @property
    def active(self) -> bool:
        """Whether the rollout has not ended."""
        return not self.rollout.ended

    def as_dict(self, now: float, whole: bool = False) -> dict[str, Any]:
        """The rollout for the API; with `whole`, also the state of every member."""
        r, row = self.rollout, self.row
        phase = Phase.UNDOING if self.undo_requested else r.phase
        table = {
            "number": r.number, "kind": r.kind, "revision": row.revision, "undo_revision": row.undo_revision,
            "selector": row.selector, "author": row.author, "reason": row.reason, "at": row.at,
            "phase": "queued" if self.queued else phase.value, "why": r.reason, "wave": r.wave + 1,
            "waves": r.waves, "spent": round(r.spent(now), 1), "members": len(r.members), "counts": r.counts(),
            "missing": [
                {"name": m.name, "state": m.state.value, "detail": m.detail, "errors": m.errors}
                for m in r.missing()
            ],
        }  # fmt: skip
        if whole:
            table["states"] = {m.name: m.state.value for m in r.members.values()}
        return table


@dataclass(slots=True)
class Draft:
    """A revision that is not written yet, with its changes and the instances that its selector matches."""

    revision: Revision
    selector: Selector
    changes: list[dict[str, Any]]
    affected: list[Instance]
