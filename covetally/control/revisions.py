"""Decides what a sidecar does with a revision that it is offered. No I/O: the shell checks and carries out.

    state        offered                      becomes              answer
    -----        -------                      -------              ------
    any          older than what is in force  same                 refused
    any          cannot be used               same                 refused, with key and reason
    any          what is in force             in force, no pending took, nothing done
    any          what is pending              same                 needs restart
    any          changes a restart key        pending              needs restart, with the keys
    any          anything else                on trial             took

A revision that is on trial is in force, but the one before it is kept until the process has lived with it for a
while. A process that ends before that starts with the one before and says so: a revision that kills its sidecar
must not kill it for good. What is pending is put on trial at the next start.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from covetally.control.protocol import digest

TRIAL_S = 10.0  # a revision that the process has lived with for so long is good


@dataclass(frozen=True, slots=True)
class Revision:
    """A revision as this sidecar holds it: its number, its digest and its settings by dotted key."""

    revision: int
    digest: str
    values: Mapping[str, Any]


NO_REVISION = Revision(0, digest({}), {})


@dataclass(frozen=True, slots=True)
class RevisionState:
    """What outlives the process. `trial` is in force if it is there, else `good` is. `failed` is a revision that
    the process died with, and why it is held to have."""

    good: Revision = NO_REVISION
    trial: Revision | None = None
    pending: Revision | None = None
    failed: Revision | None = None
    reason: str = ""

    @property
    def in_force(self) -> Revision:
        """What the process runs with."""
        return self.trial or self.good


class Action(enum.Enum):
    """What the shell has to do."""

    NONE = "nothing"
    SAVE = "keep"  # write the memory
    APPLY = "apply"  # write the memory, then put the new revision in force


@dataclass(frozen=True, slots=True)
class OfferResult:
    """The answer to an offer. `outcome` is took, refused or needs_restart; `errors` tell why, `keys` which
    settings wait for a restart."""

    outcome: str
    offered: Revision
    errors: tuple[dict[str, Any], ...] = ()
    keys: tuple[str, ...] = ()


def offer(
    memory: RevisionState, offered: Revision, problems: Sequence[dict[str, Any]], restart_keys: Sequence[str]
) -> tuple[RevisionState, Action, OfferResult]:
    """Decide on an offer. `problems` is why this sidecar cannot use it, empty if it can; `restart_keys` is what
    of it differs from what is in force and takes a restart."""
    now = memory.in_force
    if offered.digest != digest(offered.values):
        return memory, Action.NONE, _refused(offered, "digest", "is not the settings'")
    if offered.revision < now.revision:
        return memory, Action.NONE, _refused(offered, "revision", f"is older than {now.revision}")
    if problems:
        return memory, Action.NONE, OfferResult("refused", offered, tuple(problems))
    if offered.digest == now.digest:
        if memory.pending is None and offered.revision == now.revision:
            return memory, Action.NONE, OfferResult("took", offered)
        changed = replace(memory, pending=None, **{"trial" if memory.trial else "good": offered})
        return changed, Action.SAVE, OfferResult("took", offered)
    if restart_keys:
        step = Action.NONE if memory.pending == offered else Action.SAVE
        return (
            replace(memory, pending=offered),
            step,
            OfferResult("needs_restart", offered, keys=tuple(restart_keys)),
        )
    changed = replace(memory, good=now, trial=offered, pending=None, failed=None, reason="")
    return changed, Action.APPLY, OfferResult("took", offered)


def _refused(offered: Revision, key: str, reason: str) -> OfferResult:
    return OfferResult("refused", offered, ({"key": key, "value": None, "reason": reason, "remedy": ""},))


def on_start(memory: RevisionState) -> RevisionState:
    """The memory of a process that starts: what its predecessor died with is out, what was pending is tried."""
    if memory.trial is not None:
        memory = replace(
            memory, trial=None, failed=memory.trial, reason="the process ended soon after it took this"
        )
    if memory.pending is not None:
        if memory.failed is not None and memory.failed.digest == memory.pending.digest:
            return replace(memory, pending=None)
        memory = replace(memory, trial=memory.pending, pending=None, failed=None, reason="")
    return memory


def reject_in_force(memory: RevisionState, reason: str) -> RevisionState:
    """At the start what is in force cannot be used: the trial is out, or else nothing managed holds at all."""
    if memory.trial is not None:
        return replace(memory, trial=None, failed=memory.trial, reason=reason)
    return replace(memory, good=NO_REVISION, failed=memory.good, reason=reason)


def accept_trial(memory: RevisionState) -> RevisionState:
    """The process has lived with its trial for PROVE_S, or is told to end in good order."""
    return replace(memory, good=memory.in_force, trial=None)


def to_dict(memory: RevisionState) -> dict[str, Any]:
    """For the file that outlives the process."""

    def held(value: Revision | None) -> dict[str, Any] | None:
        if value is None:
            return None
        return {"revision": value.revision, "digest": value.digest, "values": dict(value.values)}

    return {
        "format": 1, "good": held(memory.good), "trial": held(memory.trial), "pending": held(memory.pending),
        "failed": held(memory.failed), "reason": memory.reason,
    }  # fmt: skip


def from_dict(table: Any) -> RevisionState:
    """The memory that a file holds; ValueError if it is none."""

    def held(value: Any) -> Revision | None:
        if value is None:
            return None
        found = Revision(int(value["revision"]), str(value["digest"]), dict(value["values"]))
        if digest(found.values) != found.digest:
            raise ValueError("a digest does not fit its settings")
        return found

    try:
        if table["format"] != 1:
            raise ValueError(f"format {table['format']!r}, not 1")
        good, trial, pending, failed = (held(table[name]) for name in ("good", "trial", "pending", "failed"))
        return RevisionState(good or NO_REVISION, trial, pending, failed, str(table["reason"]))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
