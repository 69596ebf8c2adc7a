"""Decides how a change is rolled out to many instances. No I/O: it takes events and the time, and returns
actions.

A rollout brings each member (an instance) from its current configuration to a target, which is identified by
its digest, or through a restart. What a member has is taken only from its own reports: it counts as "took" once
it reports the target's digest, whatever was sent or lost before. So an agent that crashed in between sends
again, and the target is never applied twice.

    state          meaning                                          next states
    -----          -------                                          -----------
    pending        not sent yet                                     sent, restarting, unreachable, took
    sent           sent, waiting for the answer                     took, refused, needs_restart, unreachable,
                                                                    pending (after a lost link)
    took           has the target                                   pending (lost it again, or undo),
                                                                    refused (its process crashed with it)
    refused        refused the target, with key and reason          took (reported after the rollout's end)
    needs_restart  keeps the target for its next start              restarting, took, refused, pending (undo)
    restarting     told to restart                                  took, refused, unreachable,
                                                                    needs_restart or pending (after a lost link)
    unreachable    not connected, or no answer before its deadline  pending, took, refused (once it is back)
    gone           shut down on purpose, or forgotten               pending, took, refused (once it is back)
    superseded     taken over by a later rollout                    -
    undone         has its previous configuration (again)           -

Besides these, an undo leads to undone, a later rollout to superseded, and leaving on purpose to gone.

Members are updated in waves: first the canaries, then growing shares of all members, with never more than
`max_out` updates in progress. After each wave but the last, the rollout soaks for `soak_s` and then runs its
health check: the failure ratio of the members that took the target must not be worse than that of later waves
by more than the plan allows. If all of them are worse than before, it soaks for longer. If too many members
refuse or the check fails, the rollout pauses or undoes itself, as its plan says.
"""

from __future__ import annotations

import enum
import math
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from covetally.release import AnswerCounts, HealthStatus, compare_health, variance_inflation


class MemberState(enum.StrEnum):
    """The state of a member; see the table above."""

    PENDING = "pending"
    SENT = "sent"
    TOOK = "took"
    REFUSED = "refused"
    NEEDS_RESTART = "needs_restart"
    RESTARTING = "restarting"
    UNREACHABLE = "unreachable"
    GONE = "gone"
    SUPERSEDED = "superseded"
    UNDONE = "undone"


IN_PROGRESS = frozenset({MemberState.SENT, MemberState.RESTARTING})
UNDOABLE = frozenset(
    {
        MemberState.TOOK,
        MemberState.SENT,
        MemberState.NEEDS_RESTART,
        MemberState.RESTARTING,
        MemberState.UNREACHABLE,
    }
)
MAX_SENDS = 2  # a member that loses its link after this many sends counts as having refused


class Phase(enum.StrEnum):
    """The phase of a rollout."""

    RUNNING = "running"
    SOAKING = "soaking"
    PAUSED = "paused"
    UNDOING = "undoing"
    DONE = "done"  # every member has the target
    INCOMPLETE = "incomplete"  # some members do not have it; `missing` lists them
    ABORTED = "aborted"
    UNDONE = "undone"
    SUPERSEDED = "superseded"


TERMINAL_PHASES = frozenset({Phase.DONE, Phase.INCOMPLETE, Phase.ABORTED, Phase.UNDONE, Phase.SUPERSEDED})


@dataclass(frozen=True, slots=True)
class Plan:
    """The settings of a rollout. Times are in seconds; `shares` are ascending parts of all members."""

    canary: int = 1
    shares: tuple[float, ...] = (0.1, 0.5, 1.0)
    max_out: int = 50
    soak_s: float = 5.0
    max_worse: float = 0.05  # how much the ratio of refused and failed answers may rise
    min_answers: int = 20  # the health check needs at least this many answers
    max_refused: int = 0  # refusals allowed before `on_trouble`, 0 for any number; canaries must not refuse
    instance_s: float = (
        45.0  # deadline of a member; longer than the longest pause between two connection attempts
    )
    whole_s: float = 3600.0
    restart: bool = False  # whether to restart members that need it
    on_trouble: str = "pause"  # or "undo"


MAX_HEARTBEAT_SLICES = 120  # heartbeats of one instance that a health check uses


@dataclass(slots=True)
class Member:
    """One instance in a rollout. `before` is the digest of its configuration before the rollout, `has` the
    digest that it last reported."""

    name: str
    target: str
    before: str
    wave: int
    state: MemberState = MemberState.PENDING
    since: float = 0.0  # elapsed time of the rollout when the state began
    detail: str = ""
    given_up: bool = False  # missed its whole deadline; the rollout no longer waits for it
    has: str = ""
    holds: str = ""  # digest of the configuration that it keeps for its next start
    errors: list[dict[str, Any]] = field(default_factory=list)
    tries: int = 0
    connected: bool = False
    boot: str = ""
    told_boot: str = ""  # its boot id when it was told to restart
    keeps: bool = True
    # Answers, and bad (refused or failed) ones among them:
    base: tuple[int, int] = (0, 0)  # since its start, when it took the target
    now: tuple[int, int] = (0, 0)  # since its start, in the latest heartbeat
    prior: tuple[int, int] = (0, 0)  # in the time before the rollout


@dataclass(frozen=True, slots=True)
class Send:
    """Send the target to a member, or with `undo` the configuration that replaces it."""

    name: str
    undo: bool = False


@dataclass(frozen=True, slots=True)
class Restart:
    """Restart an instance gracefully."""

    name: str


@dataclass(frozen=True, slots=True)
class UndoRequested:
    """The rollout has to be undone: the caller creates the undo revision and calls `undo`."""

    reason: str


Action = Send | Restart | UndoRequested


def _cannot_have_target(member: Member) -> bool:
    """Whether a member that waits to be sent the target has it neither now nor for its next start. It may wait to
    be sent it again, after a link that broke behind an earlier send, so its own report decides."""
    return not member.holds and member.has in ("", member.before)


def _answers_since(now: tuple[int, int], base: tuple[int, int]) -> AnswerCounts:
    """The answers between two counter values. If a counter went down, the process restarted and counts from 0."""
    if now[0] < base[0] or now[1] < base[1]:
        return AnswerCounts(*now)
    return AnswerCounts(now[0] - base[0], now[1] - base[1])


class Rollout:
    """The state machine of one rollout. Every event takes `now`, in seconds of a monotonic clock, and returns
    actions. `unsaved_members` holds the names of the members that changed since the caller last cleared it."""

    def __init__(
        self, number: int, kind: str, plan: Plan, members: Iterable[Member], now: float, spent: float = 0.0
    ) -> None:
        self.number = number
        self.kind = kind  # "change" or "restart"
        self.plan = plan
        self.members = {m.name: m for m in members}
        self.phase = Phase.RUNNING
        self.reason = ""
        self.wave = 0
        self.waves = _last_wave(plan, len(self.members)) + 1
        self.soak_until = 0.0  # like `deadline`, in elapsed seconds of the rollout
        self.deadline = plan.whole_s
        self.accepted_refusals = 0  # refusals so far when an operator last resumed the rollout
        self.unsaved_members: set[str] = set(self.members)
        self._started_at = now - spent
        self._soak_baseline: dict[
            str, tuple[int, int]
        ] = {}  # counters of members of later waves when the soak began
        self._soak_slices: dict[str, deque[AnswerCounts]] = {}  # their answers since then, per heartbeat
        self._actions: list[Action] = []
        # Indexes that `_set` maintains, so that the cost of an event does not grow with the number of members.
        self._counts: Counter[MemberState] = Counter()
        self._unsettled: dict[int, set[str]] = {}  # by wave
        self._ready: dict[int, dict[str, None]] = {}  # by wave: members for which an action is possible
        self._with_deadline: dict[str, None] = {}  # members with a running deadline, oldest first
        for member in sorted(self.members.values(), key=lambda m: m.since):
            self._add_to_indexes(member)

    # --- time -----------------------------------------------------------------------------------

    def spent(self, now: float) -> float:
        """Elapsed seconds of the rollout, including those before agent restarts."""
        return now - self._started_at

    def next_due(self, now: float) -> float | None:
        """Seconds until `tick` has something to do; None if only another event can make progress."""
        if self.ended:
            return None
        spent, due = self.spent(now), [self.deadline]
        if self.phase is Phase.SOAKING:
            due.append(self.soak_until)
        if self.phase is not Phase.PAUSED:
            first = next(iter(self._with_deadline), None)
            if first is not None:
                due.append(self.members[first].since + self.plan.instance_s)
        return max(0.0, min(due) - spent)

    @property
    def ended(self) -> bool:
        """Whether the rollout has ended."""
        return self.phase in TERMINAL_PHASES

    # --- events ---------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Start the rollout, or continue it after a restart of the agent."""
        for name in list(self._with_deadline):
            member = self.members[name]
            # The agent's own restart broke this link, so the send does not count against the member.
            if member.state in IN_PROGRESS and not member.connected:
                member.tries = max(0, member.tries - 1)
            self._set(now, member, member.state, member.detail)
        return self._advance(now)

    def add_member(self, now: float, member: Member) -> list[Action]:
        """Add a new instance that belongs to this rollout; it joins the last wave."""
        if self.ended or member.name in self.members:
            return []
        member.wave = self.waves - 1
        self.members[member.name] = member
        self.unsaved_members.add(member.name)
        self._add_to_indexes(member)
        return self._advance(now)

    def on_connected(
        self, now: float, name: str, boot: str, has: str, holds: str = "", failed: str = "", reason: str = ""
    ) -> list[Action]:
        """An instance connected and reported its digests. `failed` is the digest of a configuration with which
        its process crashed."""
        member = self.members.get(name)
        if member is None:
            return []
        if member.boot not in ("", boot):
            member.base = member.now = (0, 0)
        member.connected, member.boot, member.has, member.holds = True, boot, has, holds
        if self.ended:
            if failed == member.target != has and member.state is MemberState.TOOK:
                self._set(now, member, MemberState.REFUSED, reason or "the process crashed with it")
                if self.phase is Phase.DONE:
                    self._end(Phase.INCOMPLETE, f"{name} no longer has the target")
            return self._handle_late_report(now, member)
        undoing = self.phase is Phase.UNDOING
        if member.state in (MemberState.REFUSED, MemberState.SUPERSEDED, MemberState.UNDONE):
            pass
        elif self.kind == "restart":
            self._connected_in_restart(now, member, boot)
        elif undoing:
            self._connected_in_undo(now, member)
        elif has == member.target and not holds:
            self._mark_took(now, member)
        elif failed == member.target and member.tries:
            self._set(now, member, MemberState.REFUSED, reason or "the process crashed with it")
        elif member.state is MemberState.RESTARTING:
            if boot != member.told_boot:
                self._set(now, member, MemberState.REFUSED, reason or "returned from its restart without it")
            else:  # the link broke, perhaps before the restart message arrived
                self._retry(now, member, MemberState.NEEDS_RESTART)
        elif member.state in (MemberState.SENT, MemberState.UNREACHABLE, MemberState.GONE, MemberState.TOOK):
            # It is unknown whether the message arrived. Sending again is safe: a digest is never applied twice.
            self._retry(now, member, MemberState.PENDING)
        return self._advance(now)

    def on_connection_lost(self, now: float, name: str, reason: str) -> list[Action]:
        """The link to an instance broke."""
        member = self.members.get(name)
        if member is None:
            return []
        member.connected = False
        if member.state is MemberState.SENT:  # an ended rollout has no member in this state
            self._set(now, member, MemberState.UNREACHABLE, reason)
        return self._advance(now)

    def on_left(self, now: float, name: str, reason: str) -> list[Action]:
        """An instance shut down on purpose, or was forgotten. One that was told to restart is expected back."""
        member = self.members.get(name)
        if member is None:
            return []
        member.connected = False
        if self.ended or member.state in (
            MemberState.RESTARTING,
            MemberState.REFUSED,
            MemberState.SUPERSEDED,
            MemberState.UNDONE,
        ):
            return self._take_actions()
        self._set(now, member, MemberState.GONE, reason)
        return self._advance(now)

    def on_answer(
        self, now: float, name: str, digest: str, outcome: str, has: str, errors: list[dict[str, Any]],
        keys: list[str], keeps: bool,
    ) -> list[Action]:  # fmt: skip
        """An instance answered an offer of the configuration `digest`."""
        member = self.members.get(name)
        if member is None or self.kind == "restart":
            return []
        member.has, member.keeps = has, keeps
        member.holds = digest if outcome == "needs_restart" else ""
        if self.ended:
            return self._handle_late_report(now, member)
        wanted = member.before if self.phase is Phase.UNDOING else member.target
        if digest != wanted or member.state in (MemberState.GONE, MemberState.SUPERSEDED):
            return self._take_actions()  # an answer to another offer, or too late
        if outcome == "refused":
            member.errors = errors
            text = "; ".join(f"{e.get('key')}: {e.get('reason')}" for e in errors)
            self._set(now, member, MemberState.REFUSED, text[:500])
        elif outcome == "needs_restart":
            text = "waits for a restart: " + ", ".join(keys)
            if not keeps:
                text += "; control.keep is not set, so a restart would lose it"
            self._set(now, member, MemberState.NEEDS_RESTART, text)
        elif has == wanted:
            if self.phase is Phase.UNDOING:
                self._set(now, member, MemberState.UNDONE)
            else:
                self._mark_took(now, member)
        return self._advance(now)

    def on_restart_refused(self, now: float, name: str, reason: str) -> list[Action]:
        """An instance refused to restart."""
        member = self.members.get(name)
        if member is None or member.state is not MemberState.RESTARTING:
            return []
        self._set(now, member, MemberState.REFUSED, reason)
        return self._advance(now)

    def on_heartbeat(self, now: float, name: str, has: str, holds: str, answers: int, bad: int) -> list[Action]:
        """A heartbeat: the digests of an instance, and its counters since its start."""
        member = self.members.get(name)
        if member is None:
            return []
        if member.wave > self.wave:
            if name in self._soak_baseline:
                slices = self._soak_slices.setdefault(name, deque(maxlen=MAX_HEARTBEAT_SLICES))
                slices.append(_answers_since((answers, bad), member.now))
            self._soak_baseline.setdefault(name, (answers, bad))
        member.has, member.holds, member.now = has, holds, (answers, bad)
        if self.ended:
            return self._handle_late_report(now, member)
        if self.kind == "change" and member.state is MemberState.UNREACHABLE and not holds:
            # It was silent or its answer was lost, and it is heard again: the digest that it reports decides.
            if self.phase is not Phase.UNDOING and has == member.target:
                self._mark_took(now, member)
            elif self.phase is Phase.UNDOING and has == member.before:
                self._set(now, member, MemberState.UNDONE)
        return self._advance(now)

    def tick(self, now: float) -> list[Action]:
        """Handle the deadlines that have passed."""
        if self.ended:
            return []
        spent = self.spent(now)
        if spent >= self.deadline:
            return self._time_out(now)
        while self.phase is not Phase.PAUSED and self._with_deadline:
            member = self.members[next(iter(self._with_deadline))]
            if spent < member.since + self.plan.instance_s:
                break
            self._deadline_passed(now, member)
        if self.phase is Phase.SOAKING and spent >= self.soak_until:
            self._check_health(now)
        return self._advance(now)

    def pause(self, now: float, reason: str) -> list[Action]:
        """Send nothing more until `resume`; answers to earlier sends are still handled."""
        if self.phase in (Phase.RUNNING, Phase.SOAKING):
            self.phase, self.reason = Phase.PAUSED, reason
        return self._take_actions()

    def resume(self, now: float) -> list[Action]:
        """Continue after a pause. The health check of a wave that failed it is not repeated."""
        if self.phase is not Phase.PAUSED:
            return []
        self.phase, self.reason = Phase.RUNNING, ""
        self.accepted_refusals = self._counts[MemberState.REFUSED]
        for name in list(self._with_deadline):
            member = self.members[name]
            self._set(now, member, member.state, member.detail)
        return self._advance(now)

    def abort(self, now: float, reason: str) -> list[Action]:
        """Stop the rollout: members that have the target keep it, and `missing` lists the others."""
        if not self.ended:
            for member in self.members.values():
                if member.state in IN_PROGRESS:
                    detail = "no answer before the rollout was aborted"
                    self._set(now, member, MemberState.UNREACHABLE, detail, given_up=True)
            self._end(Phase.ABORTED, reason)
        return self._take_actions()

    def undo(self, now: float, reason: str, previous_digests: Mapping[str, str]) -> list[Action]:
        """Undo the rollout: every member that may have the target returns to the configuration with the digest
        that `previous_digests` gives for it."""
        if self.kind == "restart" or self.phase in (Phase.UNDOING, Phase.UNDONE, Phase.SUPERSEDED):
            return []
        self.phase, self.reason = Phase.UNDOING, reason
        self.deadline = self.spent(now) + self.plan.whole_s
        self.wave = self.waves - 1  # an undo has no waves; only `max_out` limits it
        for member in self.members.values():
            member.before = previous_digests.get(member.name, member.before)
            member.tries = 0
            if member.state is MemberState.PENDING and _cannot_have_target(member):
                self._set(now, member, MemberState.UNDONE, "never sent")
            elif member.state is MemberState.REFUSED and member.has == member.before and not member.holds:
                self._set(now, member, MemberState.UNDONE, f"refused before the undo: {member.detail}")
            elif member.state in UNDOABLE or member.state is MemberState.PENDING:
                if member.connected:
                    self._set(now, member, MemberState.PENDING)
                else:
                    self._set(now, member, MemberState.UNREACHABLE, "not connected")
        return self._advance(now)

    def supersede(self, now: float, by: int) -> list[Action]:
        """A later rollout takes over the members that have not finished."""
        if not self.ended:
            for member in self.members.values():
                if member.state in (MemberState.PENDING, MemberState.UNREACHABLE, *IN_PROGRESS):
                    self._set(now, member, MemberState.SUPERSEDED, f"by rollout {by}")
            self._end(Phase.SUPERSEDED, f"by rollout {by}")
        return self._take_actions()

    # --- transitions of members -----------------------------------------------------------------

    def _mark_took(self, now: float, member: Member) -> None:
        if member.state is not MemberState.TOOK:
            member.base = member.now
            self._set(now, member, MemberState.TOOK)
            member.errors = []

    def _handle_late_report(self, now: float, member: Member) -> list[Action]:
        """A member of an ended rollout reports that it has the wanted configuration after all."""
        if self.kind == "restart" or member.holds:
            return self._take_actions()
        if self.phase is Phase.UNDONE and member.has == member.before and member.state is not MemberState.UNDONE:
            self._set(now, member, MemberState.UNDONE)
        elif self.phase in (Phase.DONE, Phase.INCOMPLETE) and member.has == member.target:
            self._mark_took(now, member)
            if self.phase is Phase.INCOMPLETE and not self.missing():
                self._end(Phase.DONE, "the last member took it after the end")
        return self._take_actions()

    def _retry(self, now: float, member: Member, state: MemberState) -> None:
        """Retry after a lost link by setting `state`, or refuse after MAX_SENDS sends."""
        if member.tries >= MAX_SENDS:
            self._set(now, member, MemberState.REFUSED, f"its link was lost {member.tries} times after the send")
        else:
            self._set(now, member, state)

    def _connected_in_restart(self, now: float, member: Member, boot: str) -> None:
        if member.told_boot and boot != member.told_boot:
            self._mark_took(now, member)
        elif member.state in (MemberState.UNREACHABLE, MemberState.RESTARTING, MemberState.GONE):
            self._retry(now, member, MemberState.PENDING)

    def _connected_in_undo(self, now: float, member: Member) -> None:
        if member.has == member.before and not member.holds:
            self._set(now, member, MemberState.UNDONE)
        elif member.state is MemberState.RESTARTING and member.boot == member.told_boot:
            self._retry(now, member, MemberState.NEEDS_RESTART)
        else:
            self._retry(now, member, MemberState.PENDING)

    def _deadline_passed(self, now: float, member: Member) -> None:
        state, detail = member.state, member.detail or "not connected"
        if state is MemberState.SENT:
            detail = "sent, and no answer in time"
        elif state is MemberState.RESTARTING:
            detail = "did not return from its restart in time"
        self._set(now, member, MemberState.UNREACHABLE, detail, given_up=True)
        if state is MemberState.RESTARTING and self.phase is not Phase.UNDOING:
            # Continuing would take down one more instance for each that does not come back.
            self._handle_trouble(now, f"{member.name} did not return from its restart")

    # --- indexes of members ---------------------------------------------------------------------

    def _set(
        self, now: float, member: Member, state: MemberState, detail: str = "", given_up: bool = False
    ) -> None:
        self._remove_from_indexes(member)
        member.state, member.detail, member.since = state, detail, self.spent(now)
        member.given_up = given_up
        self._add_to_indexes(member)
        self.unsaved_members.add(member.name)

    def _add_to_indexes(self, member: Member) -> None:
        self._counts[member.state] += 1
        if not self._settled(member):
            self._unsettled.setdefault(member.wave, set()).add(member.name)
            if member.state in IN_PROGRESS or member.state is MemberState.UNREACHABLE:
                self._with_deadline[member.name] = None
            else:
                self._ready.setdefault(member.wave, {})[member.name] = None

    def _remove_from_indexes(self, member: Member) -> None:
        self._counts[member.state] -= 1
        self._unsettled.get(member.wave, set()).discard(member.name)
        self._with_deadline.pop(member.name, None)
        self._ready.get(member.wave, {}).pop(member.name, None)

    def _settled(self, member: Member) -> bool:
        """Whether the rollout no longer waits for a member; only an event from the member changes its state."""
        if member.state in (MemberState.PENDING, *IN_PROGRESS) or self._will_restart(member):
            return False
        return member.state is not MemberState.UNREACHABLE or member.given_up

    def _will_restart(self, member: Member) -> bool:
        return member.state is MemberState.NEEDS_RESTART and self.plan.restart and member.keeps

    # --- progress of the rollout ----------------------------------------------------------------

    def _advance(self, now: float) -> list[Action]:
        """Take every step that is possible now."""
        while not self.ended and self.phase is not Phase.PAUSED:
            if self.phase is not Phase.UNDOING and self._too_many_refused():
                first = next(m for m in self.members.values() if m.state is MemberState.REFUSED)
                self._handle_trouble(
                    now, f"{self._counts[MemberState.REFUSED]} refused ({first.name}: {first.detail})"
                )
                break
            self._update_members(now)
            if self.phase is Phase.SOAKING or not self._wave_settled():
                break
            if self.phase is Phase.UNDOING or self.wave + 1 >= self.waves:
                self._finish()
                break
            if self.plan.soak_s > 0:
                self.phase, self.soak_until = Phase.SOAKING, self.spent(now) + self.plan.soak_s
                self._begin_soak()
            else:
                self.wave += 1
        return self._take_actions()

    def _update_members(self, now: float) -> None:
        """Update the next members of the started waves, up to `max_out` at once."""
        if self.phase is Phase.SOAKING:
            return
        for wave in range(self.wave + 1):
            for name in list(self._ready.get(wave, ())):
                if sum(self._counts[state] for state in IN_PROGRESS) >= self.plan.max_out:
                    return
                self._update_member(now, self.members[name])

    def _update_member(self, now: float, member: Member) -> None:
        """Send to a member or restart it, whichever it needs now."""
        undoing = self.phase is Phase.UNDOING
        if not member.connected:
            self._set(now, member, MemberState.UNREACHABLE, "not connected")
        elif member.state is MemberState.NEEDS_RESTART or self.kind == "restart":
            member.told_boot = member.boot
            member.tries += 1
            self._set(now, member, MemberState.RESTARTING)
            self._actions.append(Restart(member.name))
        elif member.has == member.target and not member.holds and not undoing:
            self._mark_took(now, member)
        else:  # an undo is sent whatever it last reported, since the target may still be on its way to it
            member.tries += 1
            self._set(now, member, MemberState.SENT)
            self._actions.append(Send(member.name, undoing))

    def _wave_settled(self) -> bool:
        return not any(self._unsettled.get(wave) for wave in range(self.wave + 1))

    def _too_many_refused(self) -> bool:
        refused = self._counts[MemberState.REFUSED] - self.accepted_refusals
        if refused > 0 and self.plan.canary and self.wave == 0 and self.waves > 1:
            return True  # one refusal by a canary is enough
        return bool(self.plan.max_refused) and refused > self.plan.max_refused

    def _check_health(self, now: float) -> None:
        """The health check: compare the failure ratio of the members that took the target with that of members of
        later waves. If all are worse than before, soak for longer: see release.health."""
        changed = before = AnswerCounts()
        others: list[AnswerCounts] = []
        slices: list[tuple[AnswerCounts, ...]] = []
        for name, member in self.members.items():
            if member.state is MemberState.TOOK:
                changed += _answers_since(member.now, member.base)
                before += AnswerCounts(*member.prior)
            elif member.wave > self.wave and name in self._soak_baseline:
                others.append(_answers_since(member.now, self._soak_baseline[name]))
                slices.append(tuple(self._soak_slices.get(name, ())))
        inflation = variance_inflation(slices)
        health = compare_health(changed, others, before, self.plan.max_worse, self.plan.min_answers, inflation)
        if health.status is HealthStatus.WORSE_EVERYWHERE:
            self.reason, self.soak_until = health.text, self.spent(now) + self.plan.soak_s
            for member in self.members.values():
                if member.state is MemberState.TOOK:
                    member.base = member.now  # the next check counts from here
                    self.unsaved_members.add(member.name)
            self._begin_soak()
            return
        self.phase, self.reason = Phase.RUNNING, ""
        self.wave += 1
        if health.status is HealthStatus.WORSE:
            self._handle_trouble(now, health.text)

    def _begin_soak(self) -> None:
        """Record the counters of members of later waves, so that the health check compares only answers given
        during the soak. Counters come with heartbeats, so the two periods start at most one heartbeat apart."""
        self._soak_baseline = {
            name: m.now for name, m in self.members.items() if m.wave > self.wave and m.connected
        }
        self._soak_slices.clear()

    def _handle_trouble(self, now: float, text: str) -> None:
        self.phase, self.reason = Phase.PAUSED, text
        none_affected = not any(self._counts[state] for state in UNDOABLE)
        if self.kind == "change" and (self.plan.on_trouble == "undo" or none_affected):
            # A change that no member has is undone at once: it would block the next good change.
            self._actions.append(UndoRequested(text))

    def _time_out(self, now: float) -> list[Action]:
        """End the rollout because its total time `whole_s` is over."""
        for member in self.members.values():
            if member.state in IN_PROGRESS:
                self._set(
                    now, member, MemberState.UNREACHABLE, "no answer before the rollout's end", given_up=True
                )
        if self.phase is Phase.UNDOING:
            self._finish()
        else:
            self._end(Phase.INCOMPLETE, f"its {self.plan.whole_s:g} s have passed")
        return self._take_actions()

    def _finish(self) -> None:
        if self.phase is Phase.UNDOING:
            self._end(Phase.UNDONE, self.reason)
        else:
            missing = [m for m in self.members.values() if m.state is not MemberState.TOOK]
            self._end(Phase.INCOMPLETE if missing else Phase.DONE, self.reason)

    def _end(self, phase: Phase, reason: str) -> None:
        self.phase, self.reason = phase, reason

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    # --- views ----------------------------------------------------------------------------------

    def counts(self) -> dict[str, int]:
        """The number of members in each state."""
        return {state.value: count for state, count in self._counts.items() if count}

    def missing(self) -> list[Member]:
        """The members that do not have the wanted configuration, sorted by name."""
        undone = self.phase in (Phase.UNDOING, Phase.UNDONE)
        wanted = MemberState.UNDONE if undone else MemberState.TOOK
        return sorted((m for m in self.members.values() if m.state is not wanted), key=lambda m: m.name)


def _last_wave(plan: Plan, count: int) -> int:
    return max((w for w in assign_waves(plan, count)), default=0)


def assign_waves(plan: Plan, count: int) -> list[int]:
    """The wave number of each of `count` members, in order: 0 for the canaries, then one wave for each share.
    Empty waves are skipped."""
    bounds = [min(plan.canary, count)] + [math.ceil(share * count) for share in plan.shares] + [count]
    found: list[int] = []
    wave = 0
    for bound in bounds:
        more = bound - len(found)
        if more > 0:
            found += [wave] * more
            wave += 1
    return found


def build_members(
    plan: Plan, names: Iterable[str], make: Callable[[str, int], Member]
) -> list[Member]:  # fmt: skip
    """Create the members, sorted by name, with their wave numbers."""
    ordered = sorted(names)
    return [make(name, wave) for name, wave in zip(ordered, assign_waves(plan, len(ordered)), strict=True)]


# --- for the store --------------------------------------------------------------------------------


def to_rows(rollout: Rollout, now: float) -> tuple[dict[str, Any], dict[str, dict[str, Any]]]:
    """The stored head of the rollout, and the rows of its unsaved members by name."""
    head = {
        "kind": rollout.kind, "plan": asdict(rollout.plan), "phase": rollout.phase.value,
        "reason": rollout.reason, "wave": rollout.wave, "soak_until": rollout.soak_until,
        "spent": rollout.spent(now), "until": rollout.deadline, "forgiven": rollout.accepted_refusals,
    }  # fmt: skip
    return head, {name: asdict(rollout.members[name]) for name in rollout.unsaved_members}


def from_rows(number: int, head: dict[str, Any], rows: Iterable[dict[str, Any]], now: float) -> Rollout:
    """Restore a rollout from its stored rows. Members count as disconnected until they connect again."""
    plan = Plan(**(head["plan"] | {"shares": tuple(head["plan"]["shares"])}))
    found = []
    for row in rows:
        pairs = {key: tuple(row[key]) for key in ("base", "now", "prior")}
        found.append(Member(**(row | pairs | {"state": MemberState(row["state"]), "connected": False})))
    rollout = Rollout(number, head["kind"], plan, found, now, head["spent"])
    rollout.phase, rollout.reason = Phase(head["phase"]), head["reason"]
    rollout.wave, rollout.soak_until = head["wave"], head["soak_until"]
    rollout.deadline, rollout.accepted_refusals = head["until"], head["forgiven"]
    rollout.unsaved_members.clear()
    return rollout
