"""How a sidecar handles the configuration revisions that an agent offers. No I/O: the manager does that.

The first row that matches an offer decides:

    offer                                      new state                        action  outcome
    -----                                      ---------                        ------  -------
    its digest does not match its values       unchanged                        none    refused
    older than the revision in force           unchanged                        none    refused
    cannot be used by this sidecar             unchanged                        none    refused, with the reasons
    the revision in force, nothing pending     unchanged                        none    took
    same settings as in force                  gets the new revision number,    save    took
                                               nothing pending
    changes a key that needs a restart,        unchanged                        none    needs_restart, with keys
      and is pending already
    changes a key that needs a restart         pending                          save    needs_restart, with keys
    anything else                              on trial                         apply   took

A revision on trial is in force, but the previous one is kept until the process has run with the new one for
TRIAL_S. If the process dies before that, the next process starts with the previous revision and reports the
failed one, so that a revision that crashes its sidecar cannot do so forever. A pending revision is put on trial
at the next start.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from covetally.control.protocol import digest

TRIAL_S = 10.0  # a process that runs this long with a new revision has proven it good


@dataclass(frozen=True, slots=True)
class Revision:
    """A configuration revision: its number, its digest and its settings by dotted key."""

    revision: int
    digest: str
    values: Mapping[str, Any]


NO_REVISION = Revision(0, digest({}), {})


@dataclass(frozen=True, slots=True)
class RevisionState:
    """The revisions that are saved across restarts. `trial` is in force if there is one, otherwise `good`.
    `failed` is the last revision that crashed the process or could not be used; `reason` says why."""

    good: Revision = NO_REVISION
    trial: Revision | None = None
    pending: Revision | None = None
    failed: Revision | None = None
    reason: str = ""

    @property
    def in_force(self) -> Revision:
        """The revision that the process runs with."""
        return self.trial or self.good


class Action(enum.Enum):
    """What the manager has to do next."""

    NONE = "nothing"
    SAVE = "keep"  # write the state file
    APPLY = "apply"  # write the state file, then apply the new revision


@dataclass(frozen=True, slots=True)
class OfferResult:
    """The answer to an offer. `outcome` is `took`, `refused` or `needs_restart`; `errors` are the reasons of a
    refusal, `keys` the settings that need a restart."""

    outcome: str
    offered: Revision
    errors: tuple[dict[str, Any], ...] = ()
    keys: tuple[str, ...] = ()


def offer(
    state: RevisionState, offered: Revision, problems: Sequence[dict[str, Any]], restart_keys: Sequence[str]
) -> tuple[RevisionState, Action, OfferResult]:
    """Return the new state, the action to take and the answer to an offer. `problems` says why this sidecar
    cannot use it, and is empty if it can; `restart_keys` are the changed keys that need a restart."""
    current = state.in_force
    if offered.digest != digest(offered.values):
        return state, Action.NONE, _refused(offered, "digest", "does not match the settings")
    if offered.revision < current.revision:
        return state, Action.NONE, _refused(offered, "revision", f"is older than {current.revision}")
    if problems:
        return state, Action.NONE, OfferResult("refused", offered, tuple(problems))
    if offered.digest == current.digest:
        if state.pending is None and offered.revision == current.revision:
            return state, Action.NONE, OfferResult("took", offered)
        changed = replace(state, pending=None, **{"trial" if state.trial else "good": offered})
        return changed, Action.SAVE, OfferResult("took", offered)
    if restart_keys:
        action = Action.NONE if state.pending == offered else Action.SAVE
        return (
            replace(state, pending=offered),
            action,
            OfferResult("needs_restart", offered, keys=tuple(restart_keys)),
        )
    changed = replace(state, good=current, trial=offered, pending=None, failed=None, reason="")
    return changed, Action.APPLY, OfferResult("took", offered)


def _refused(offered: Revision, key: str, reason: str) -> OfferResult:
    return OfferResult("refused", offered, ({"key": key, "value": None, "reason": reason, "remedy": ""},))


def on_start(state: RevisionState) -> RevisionState:
    """Return the state for a new process: drops the revision its predecessor died with, tries the pending one."""
    if state.trial is not None:
        state = replace(state, trial=None, failed=state.trial, reason="the process ended soon after it took this")
    if state.pending is not None:
        if state.failed is not None and state.failed.digest == state.pending.digest:
            return replace(state, pending=None)
        state = replace(state, trial=state.pending, pending=None, failed=None, reason="")
    return state


def reject_in_force(state: RevisionState, reason: str) -> RevisionState:
    """Drop the revision in force, which cannot be used at the start: the trial, or else the good one."""
    if state.trial is not None:
        return replace(state, trial=None, failed=state.trial, reason=reason)
    return replace(state, good=NO_REVISION, failed=state.good, reason=reason)


def accept_trial(state: RevisionState) -> RevisionState:
    """Make the revision on trial the good one: the process ran with it for TRIAL_S, or shuts down normally."""
    return replace(state, good=state.in_force, trial=None)


def to_dict(state: RevisionState) -> dict[str, Any]:
    """Return the state as a JSON object, for the state file."""

    def encode_revision(value: Revision | None) -> dict[str, Any] | None:
        if value is None:
            return None
        return {"revision": value.revision, "digest": value.digest, "values": dict(value.values)}

    return {
        "format": 1, "good": encode_revision(state.good), "trial": encode_revision(state.trial),
        "pending": encode_revision(state.pending), "failed": encode_revision(state.failed),
        "reason": state.reason,
    }  # fmt: skip


def from_dict(document: Any) -> RevisionState:
    """Parse the result of `to_dict`. Raises ValueError if it is not valid."""

    def parse_revision(value: Any) -> Revision | None:
        if value is None:
            return None
        revision = Revision(int(value["revision"]), str(value["digest"]), dict(value["values"]))
        if digest(revision.values) != revision.digest:
            raise ValueError("a digest does not match its settings")
        return revision

    try:
        if document["format"] != 1:
            raise ValueError(f"format {document['format']!r} instead of 1")
        good, trial, pending, failed = (
            parse_revision(document[name]) for name in ("good", "trial", "pending", "failed")
        )
        return RevisionState(good or NO_REVISION, trial, pending, failed, str(document["reason"]))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
