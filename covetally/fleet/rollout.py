"""Decides how a change goes out to many instances. No I/O: events and the time in, actions out.

A rollout takes each member from what it has to a target, known by its digest, or through a restart. What a member
has is believed only from what it says itself: an answer or a hello with the target's digest is "took", whatever
was sent or lost before, so an agent that died in between asks again and never applies twice.

    state          means                                       goes on
    -----          -----                                       -------
    pending        not its turn yet                            sent, unreachable, took
    sent           told, and its answer is awaited             took, refused, needs restart, unreachable
    took           has the target                              undone
    refused        said no, with key and reason                -
    needs_restart  holds it until its next start               restarting, took
    restarting     told to restart                             took, refused, unreachable, needs restart
    unreachable    not connected, or silent for its deadline   pending, took (when it comes back)
    gone           ended on purpose, or forgotten              pending (when it comes back)
    superseded     a later rollout has it now                  -
    undone         has again, or kept, what it had before      -

Members go in waves: the canaries, then shares of all, never more than `max_out` on their way at once. After each
wave but the last the rollout rests for `soak_s` and asks its health gate: those that took it must not be worse
off than those that have not yet; where all are worse off than before, it rests on. Where too many refuse or the
gate fails it pauses or undoes itself, as its plan says.
"""

from __future__ import annotations

import enum
import math
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from covetally.release import AnswerCounts, HealthStatus, compare_health, variance_inflation


class State(enum.StrEnum):
    """What is known of a member; see the table above."""

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


OUT = frozenset({State.SENT, State.RESTARTING})
UNDO_TO = frozenset({State.TOOK, State.SENT, State.NEEDS_RESTART, State.RESTARTING, State.UNREACHABLE})
MAX_TRIES = 2  # sends that a member may answer with a lost link before it counts as having refused


class Phase(enum.StrEnum):
    """Where a rollout stands."""

    RUNNING = "running"
    SOAKING = "soaking"
    PAUSED = "paused"
    UNDOING = "undoing"
    DONE = "done"  # all have it
    INCOMPLETE = "incomplete"  # some have not, and are named
    ABORTED = "aborted"
    UNDONE = "undone"
    SUPERSEDED = "superseded"


ENDED = frozenset({Phase.DONE, Phase.INCOMPLETE, Phase.ABORTED, Phase.UNDONE, Phase.SUPERSEDED})


@dataclass(frozen=True, slots=True)
class Plan:
    """How a rollout goes. Times are seconds; shares are of all members, rising."""

    canary: int = 1
    shares: tuple[float, ...] = (0.1, 0.5, 1.0)
    max_out: int = 50
    soak_s: float = 5.0
    max_worse: float = 0.05  # refused and failed over all answers may rise by so much
    min_answers: int = 20  # of fewer answers no judgement is made
    max_refused: int = 0  # members that may refuse before `on_trouble`, of canaries none; 0: any number
    instance_s: float = 45.0  # above an instance's longest pause between two dials
    whole_s: float = 3600.0
    restart: bool = False  # members that need a restart are restarted
    on_trouble: str = "pause"  # or undo


MOST_SLICES = 120  # heartbeats of one instance that a judgement looks at


@dataclass(slots=True)
class Member:
    """One instance in a rollout. `before` is the digest it had, `has` what it last said it has."""

    name: str
    target: str
    before: str
    wave: int
    state: State = State.PENDING
    since: float = 0.0  # spent seconds of the rollout when the state began
    detail: str = ""
    given_up: bool = False  # unreachable for its whole deadline: nothing waits for it any more
    has: str = ""
    holds: str = ""  # digest of what it holds until its next start
    errors: list[dict[str, Any]] = field(default_factory=list)
    tries: int = 0
    connected: bool = False
    boot: str = ""
    told_boot: str = ""  # the boot it was told to restart from
    keeps: bool = True
    base: tuple[int, int] = (0, 0)  # answers and bad ones when it took the target
    now: tuple[int, int] = (0, 0)
    prior: tuple[int, int] = (0, 0)  # answers and bad ones in the time before


@dataclass(frozen=True, slots=True)
class Send:
    """Send the target, or with `undo` what comes in its place."""

    name: str
    undo: bool = False


@dataclass(frozen=True, slots=True)
class Restart:
    """Have an instance end in good order and be started again."""

    name: str


@dataclass(frozen=True, slots=True)
class UndoWanted:
    """The rollout wants to be undone: the shell has to make the revision and call `undo`."""

    reason: str


Action = Send | Restart | UndoWanted


def _since(now: tuple[int, int], base: tuple[int, int]) -> AnswerCounts:
    """What was answered since; a process that began anew counts from its start."""
    if now[0] < base[0] or now[1] < base[1]:
        return AnswerCounts(*now)
    return AnswerCounts(now[0] - base[0], now[1] - base[1])


class Rollout:
    """One rollout. Every event takes `now`, seconds on a clock that never goes back, and returns actions; `dirty`
    has the names of the members that changed since it was last cleared."""

    def __init__(
        self, number: int, kind: str, plan: Plan, members: Iterable[Member], now: float, spent: float = 0.0
    ) -> None:
        self.number = number
        self.kind = kind  # change or restart
        self.plan = plan
        self.members = {m.name: m for m in members}
        self.phase = Phase.RUNNING
        self.reason = ""
        self.wave = 0
        self.waves = _last_wave(plan, len(self.members)) + 1
        self.soak_until = 0.0  # in spent seconds, as all that follows
        self.until = plan.whole_s
        self.forgiven = 0  # refusals that an operator has gone on after
        self.dirty: set[str] = set(self.members)
        self._zero = now - spent
        self._others: dict[str, tuple[int, int]] = {}  # answers and bad ones of later waves as the soak began
        self._slices: dict[str, deque[AnswerCounts]] = {}  # and what each answered since, heartbeat by heartbeat
        self._actions: list[Action] = []
        # Kept in step by `_set`, so that an event costs the same however many members there are.
        self._counts: Counter[State] = Counter()
        self._unsettled: dict[int, set[str]] = {}  # by wave
        self._ready: dict[int, dict[str, None]] = {}  # by wave: those that something can be done for
        self._timed: dict[str, None] = {}  # whose deadline runs, the oldest first
        for member in sorted(self.members.values(), key=lambda m: m.since):
            self._enter(member)

    # --- time -----------------------------------------------------------------------------------

    def spent(self, now: float) -> float:
        """Seconds that the rollout has run, over all lives of the agent."""
        return now - self._zero

    def next_due(self, now: float) -> float | None:
        """In how many seconds `tick` has something to do; None if only an event can bring it on."""
        if self.ended:
            return None
        spent, due = self.spent(now), [self.until]
        if self.phase is Phase.SOAKING:
            due.append(self.soak_until)
        if self.phase is not Phase.PAUSED:
            first = next(iter(self._timed), None)
            if first is not None:
                due.append(self.members[first].since + self.plan.instance_s)
        return max(0.0, min(due) - spent)

    @property
    def ended(self) -> bool:
        """Whether nothing more will be done."""
        return self.phase in ENDED

    # --- events ---------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Begin, or go on after the agent was started again."""
        for name in list(self._timed):
            member = self.members[name]
            if member.state in OUT and not member.connected:  # the time away was the agent's, and the lost link
                member.tries = max(0, member.tries - 1)
            self._set(now, member, member.state, member.detail)
        return self._go_on(now)

    def join(self, now: float, member: Member) -> list[Action]:
        """An instance that nobody knew has come and belongs to this rollout."""
        if self.ended or member.name in self.members:
            return []
        member.wave = self.waves - 1
        self.members[member.name] = member
        self.dirty.add(member.name)
        self._enter(member)
        return self._go_on(now)

    def connected(
        self, now: float, name: str, boot: str, has: str, holds: str = "", failed: str = "", reason: str = ""
    ) -> list[Action]:
        """An instance has come (back) and says what it has and holds; `failed` is a digest that it died with."""
        member = self.members.get(name)
        if member is None:
            return []
        if member.boot not in ("", boot):
            member.base = member.now = (0, 0)
        member.connected, member.boot, member.has, member.holds = True, boot, has, holds
        if self.ended:
            if failed == member.target != has and member.state is State.TOOK:
                self._set(now, member, State.REFUSED, reason or "the process ended with it")
                if self.phase is Phase.DONE:
                    self._end(Phase.INCOMPLETE, f"{name} has lost it again")
            return self._late(now, member)
        undoing = self.phase is Phase.UNDOING
        if member.state in (State.REFUSED, State.SUPERSEDED, State.UNDONE):
            pass
        elif self.kind == "restart":
            self._restart_seen(now, member, boot)
        elif undoing:
            self._undo_seen(now, member)
        elif has == member.target and not holds:
            self._took(now, member)
        elif failed == member.target and member.tries:
            self._set(now, member, State.REFUSED, reason or "the process ended with it")
        elif member.state is State.RESTARTING:
            if boot != member.told_boot:
                self._set(now, member, State.REFUSED, reason or "came back from its restart without it")
            else:  # the link broke, perhaps before it was told
                self._again(now, member, State.NEEDS_RESTART)
        elif member.state in (State.SENT, State.UNREACHABLE, State.GONE, State.TOOK):
            # Whether it got what was sent is not known and need not be: the same digest is not applied twice.
            self._again(now, member, State.PENDING)
        return self._go_on(now)

    def lost(self, now: float, name: str, reason: str) -> list[Action]:
        """An instance's link has ended, not on purpose."""
        member = self.members.get(name)
        if member is None:
            return []
        member.connected = False
        if member.state is State.SENT:  # which an ended rollout has none of
            self._set(now, member, State.UNREACHABLE, reason)
        return self._go_on(now)

    def left(self, now: float, name: str, reason: str) -> list[Action]:
        """An instance has ended on purpose, or was forgotten. One told to restart will be back."""
        member = self.members.get(name)
        if member is None:
            return []
        member.connected = False
        if self.ended or member.state in (State.RESTARTING, State.REFUSED, State.SUPERSEDED, State.UNDONE):
            return self._take_actions()
        self._set(now, member, State.GONE, reason)
        return self._go_on(now)

    def acked(
        self, now: float, name: str, digest: str, outcome: str, has: str, errors: list[dict[str, Any]],
        keys: list[str], keeps: bool,
    ) -> list[Action]:  # fmt: skip
        """An instance has answered an offer of `digest`."""
        member = self.members.get(name)
        if member is None or self.kind == "restart":
            return []
        member.has, member.keeps = has, keeps
        member.holds = digest if outcome == "needs_restart" else ""
        if self.ended:
            return self._late(now, member)
        wanted = member.before if self.phase is Phase.UNDOING else member.target
        if digest != wanted or member.state in (State.GONE, State.SUPERSEDED):
            return self._take_actions()  # an answer to something else, or too late to matter
        if outcome == "refused":
            member.errors = errors
            text = "; ".join(f"{e.get('key')}: {e.get('reason')}" for e in errors)
            self._set(now, member, State.REFUSED, text[:500])
        elif outcome == "needs_restart":
            text = "waits for a restart: " + ", ".join(keys)
            if not keeps:
                text += "; control.keep is not set, so a restart would lose it"
            self._set(now, member, State.NEEDS_RESTART, text)
        elif has == wanted:
            if self.phase is Phase.UNDOING:
                self._set(now, member, State.UNDONE)
            else:
                self._took(now, member)
        return self._go_on(now)

    def denied(self, now: float, name: str, reason: str) -> list[Action]:
        """An instance will not restart."""
        member = self.members.get(name)
        if member is None or member.state is not State.RESTARTING:
            return []
        self._set(now, member, State.REFUSED, reason)
        return self._go_on(now)

    def beat(self, now: float, name: str, has: str, holds: str, answers: int, bad: int) -> list[Action]:
        """What an instance has and holds, and its counters since its start."""
        member = self.members.get(name)
        if member is None:
            return []
        if member.wave > self.wave:
            if name in self._others:
                slices = self._slices.setdefault(name, deque(maxlen=MOST_SLICES))
                slices.append(_since((answers, bad), member.now))
            self._others.setdefault(name, (answers, bad))
        member.has, member.holds, member.now = has, holds, (answers, bad)
        if self.ended:
            return self._late(now, member)
        if self.kind == "change" and member.state is State.UNREACHABLE and not holds:
            # It was silent, or its answer was lost, and it speaks again: what it has decides.
            if self.phase is not Phase.UNDOING and has == member.target:
                self._took(now, member)
            elif self.phase is Phase.UNDOING and has == member.before:
                self._set(now, member, State.UNDONE)
        return self._go_on(now)

    def tick(self, now: float) -> list[Action]:
        """Time has passed."""
        if self.ended:
            return []
        spent = self.spent(now)
        if spent >= self.until:
            return self._run_out(now)
        while self.phase is not Phase.PAUSED and self._timed:
            member = self.members[next(iter(self._timed))]
            if spent < member.since + self.plan.instance_s:
                break
            self._overdue(now, member)
        if self.phase is Phase.SOAKING and spent >= self.soak_until:
            self._judge(now)
        return self._go_on(now)

    def pause(self, now: float, reason: str) -> list[Action]:
        """Send nothing more until `resume`; what is on its way comes in."""
        if self.phase in (Phase.RUNNING, Phase.SOAKING):
            self.phase, self.reason = Phase.PAUSED, reason
        return self._take_actions()

    def resume(self, now: float) -> list[Action]:
        """Go on. The wave that was judged badly is not judged again."""
        if self.phase is not Phase.PAUSED:
            return []
        self.phase, self.reason = Phase.RUNNING, ""
        self.forgiven = self._counts[State.REFUSED]
        for name in list(self._timed):
            member = self.members[name]
            self._set(now, member, member.state, member.detail)
        return self._go_on(now)

    def abort(self, now: float, reason: str) -> list[Action]:
        """Stop here: who has it keeps it, who has not is named."""
        if not self.ended:
            for member in self.members.values():
                if member.state in OUT:
                    detail = "no answer before the rollout was aborted"
                    self._set(now, member, State.UNREACHABLE, detail, given_up=True)
            self._end(Phase.ABORTED, reason)
        return self._take_actions()

    def undo(self, now: float, reason: str, befores: Mapping[str, str]) -> list[Action]:
        """Go back: whoever may have the target gets what `befores` names, by digest, in its place."""
        if self.kind == "restart" or self.phase in (Phase.UNDOING, Phase.UNDONE, Phase.SUPERSEDED):
            return []
        self.phase, self.reason = Phase.UNDOING, reason
        self.until = self.spent(now) + self.plan.whole_s
        self.wave = self.waves - 1  # back in no order, at most so many out
        for member in self.members.values():
            member.before = befores.get(member.name, member.before)
            member.tries = 0
            if member.state is State.PENDING:
                self._set(now, member, State.UNDONE, "was never sent")
            elif member.state is State.REFUSED and member.has == member.before and not member.holds:
                self._set(now, member, State.UNDONE, f"had refused: {member.detail}")
            elif member.state in UNDO_TO:
                if member.connected:
                    self._set(now, member, State.PENDING)
                else:
                    self._set(now, member, State.UNREACHABLE, "not connected")
        return self._go_on(now)

    def supersede(self, now: float, by: int) -> list[Action]:
        """A later rollout takes over whoever has not settled."""
        if not self.ended:
            for member in self.members.values():
                if member.state in (State.PENDING, State.UNREACHABLE, *OUT):
                    self._set(now, member, State.SUPERSEDED, f"by rollout {by}")
            self._end(Phase.SUPERSEDED, f"by rollout {by}")
        return self._take_actions()

    # --- what members do ------------------------------------------------------------------------

    def _took(self, now: float, member: Member) -> None:
        if member.state is not State.TOOK:
            member.base = member.now
            self._set(now, member, State.TOOK)
            member.errors = []

    def _late(self, now: float, member: Member) -> list[Action]:
        """A rollout that has ended learns that a member has it after all."""
        if self.kind == "restart" or member.holds:
            return self._take_actions()
        if self.phase is Phase.UNDONE and member.has == member.before and member.state is not State.UNDONE:
            self._set(now, member, State.UNDONE)
        elif self.phase in (Phase.DONE, Phase.INCOMPLETE) and member.has == member.target:
            self._took(now, member)
            if self.phase is Phase.INCOMPLETE and not self.missing():
                self._end(Phase.DONE, "the last of them took it later")
        return self._take_actions()

    def _again(self, now: float, member: Member, state: State) -> None:
        """Its link was lost on the way: once more, if it has not been so too often."""
        if member.tries >= MAX_TRIES:
            self._set(now, member, State.REFUSED, f"its link was lost {member.tries} times after the send")
        else:
            self._set(now, member, state)

    def _restart_seen(self, now: float, member: Member, boot: str) -> None:
        if member.told_boot and boot != member.told_boot:
            self._took(now, member)
        elif member.state in (State.UNREACHABLE, State.RESTARTING, State.GONE):
            self._again(now, member, State.PENDING)

    def _undo_seen(self, now: float, member: Member) -> None:
        if member.has == member.before and not member.holds:
            self._set(now, member, State.UNDONE)
        elif member.state is State.RESTARTING and member.boot == member.told_boot:
            self._again(now, member, State.NEEDS_RESTART)
        else:
            self._again(now, member, State.PENDING)

    def _overdue(self, now: float, member: Member) -> None:
        state, detail = member.state, member.detail or "not connected"
        if state is State.SENT:
            detail = "sent, and no answer in time"
        elif state is State.RESTARTING:
            detail = "did not come back from its restart in time"
        self._set(now, member, State.UNREACHABLE, detail, given_up=True)
        if state is State.RESTARTING and self.phase is not Phase.UNDOING:
            # To go on would take out one more for each that stays away.
            self._trouble(now, f"{member.name} did not come back from its restart")

    # --- the books ------------------------------------------------------------------------------

    def _set(self, now: float, member: Member, state: State, detail: str = "", given_up: bool = False) -> None:
        self._leave(member)
        member.state, member.detail, member.since = state, detail, self.spent(now)
        member.given_up = given_up
        self._enter(member)
        self.dirty.add(member.name)

    def _enter(self, member: Member) -> None:
        self._counts[member.state] += 1
        if not self._settled(member):
            self._unsettled.setdefault(member.wave, set()).add(member.name)
            if member.state in OUT or member.state is State.UNREACHABLE:
                self._timed[member.name] = None
            else:
                self._ready.setdefault(member.wave, {})[member.name] = None

    def _leave(self, member: Member) -> None:
        self._counts[member.state] -= 1
        self._unsettled.get(member.wave, set()).discard(member.name)
        self._timed.pop(member.name, None)
        self._ready.get(member.wave, {}).pop(member.name, None)

    def _settled(self, member: Member) -> bool:
        """Whether nothing more is done for a member unless it does something itself."""
        if member.state in (State.PENDING, *OUT) or self._will_restart(member):
            return False
        return member.state is not State.UNREACHABLE or member.given_up

    def _will_restart(self, member: Member) -> bool:
        return member.state is State.NEEDS_RESTART and self.plan.restart and member.keeps

    # --- the way of the whole -------------------------------------------------------------------

    def _go_on(self, now: float) -> list[Action]:
        """Do whatever can be done now."""
        while not self.ended and self.phase is not Phase.PAUSED:
            if self.phase is not Phase.UNDOING and self._too_many_refused():
                first = next(m for m in self.members.values() if m.state is State.REFUSED)
                self._trouble(now, f"{self._counts[State.REFUSED]} refused ({first.name}: {first.detail})")
                break
            self._fill(now)
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

    def _fill(self, now: float) -> None:
        """Send to the next members of the waves that are open, as many as may be out."""
        if self.phase is Phase.SOAKING:
            return
        for wave in range(self.wave + 1):
            for name in list(self._ready.get(wave, ())):
                if sum(self._counts[state] for state in OUT) >= self.plan.max_out:
                    return
                self._next(now, self.members[name])

    def _next(self, now: float, member: Member) -> None:
        """Do what can be done for a member now."""
        undoing = self.phase is Phase.UNDOING
        if not member.connected:
            self._set(now, member, State.UNREACHABLE, "not connected")
        elif member.state is State.NEEDS_RESTART or self.kind == "restart":
            member.told_boot = member.boot
            member.tries += 1
            self._set(now, member, State.RESTARTING)
            self._actions.append(Restart(member.name))
        elif member.has == member.target and not member.holds and not undoing:
            self._took(now, member)
        else:  # to undo it is sent whatever it last said: the target may be on its way
            member.tries += 1
            self._set(now, member, State.SENT)
            self._actions.append(Send(member.name, undoing))

    def _wave_settled(self) -> bool:
        return not any(self._unsettled.get(wave) for wave in range(self.wave + 1))

    def _too_many_refused(self) -> bool:
        refused = self._counts[State.REFUSED] - self.forgiven
        if refused > 0 and self.plan.canary and self.wave == 0 and self.waves > 1:
            return True  # what a canary refuses, the others are not asked
        return bool(self.plan.max_refused) and refused > self.plan.max_refused

    def _judge(self, now: float) -> None:
        """The health gate: are those that took it worse off than those that have not? Where all are worse off
        than before, it waits: see release.health."""
        changed = before = AnswerCounts()
        others: list[AnswerCounts] = []
        slices: list[tuple[AnswerCounts, ...]] = []
        for name, member in self.members.items():
            if member.state is State.TOOK:
                changed += _since(member.now, member.base)
                before += AnswerCounts(*member.prior)
            elif member.wave > self.wave and name in self._others:
                others.append(_since(member.now, self._others[name]))
                slices.append(tuple(self._slices.get(name, ())))
        inflation = variance_inflation(slices)
        health = compare_health(changed, others, before, self.plan.max_worse, self.plan.min_answers, inflation)
        if health.status is HealthStatus.WORSE_EVERYWHERE:
            self.reason, self.soak_until = health.text, self.spent(now) + self.plan.soak_s
            for member in self.members.values():
                if member.state is State.TOOK:
                    member.base = member.now  # judged again by what comes from here on
                    self.dirty.add(member.name)
            self._begin_soak()
            return
        self.phase, self.reason = Phase.RUNNING, ""
        self.wave += 1
        if health.status is HealthStatus.WORSE:
            self._trouble(now, health.text)

    def _begin_soak(self) -> None:
        """What those of later waves have answered so far: what they answer from here on is compared with. The two
        are by heartbeats, so they begin at most one apart."""
        self._others = {name: m.now for name, m in self.members.items() if m.wave > self.wave and m.connected}
        self._slices.clear()

    def _trouble(self, now: float, text: str) -> None:
        self.phase, self.reason = Phase.PAUSED, text
        nobody = not any(self._counts[state] for state in UNDO_TO)
        if self.kind == "change" and (self.plan.on_trouble == "undo" or nobody):
            # Where nobody has it, it is taken back by itself: it would be in the way of the next good change.
            self._actions.append(UndoWanted(text))

    def _run_out(self, now: float) -> list[Action]:
        """The whole rollout's time is over."""
        for member in self.members.values():
            if member.state in OUT:
                self._set(now, member, State.UNREACHABLE, "no answer before the rollout's end", given_up=True)
        if self.phase is Phase.UNDOING:
            self._finish()
        else:
            self._end(Phase.INCOMPLETE, f"its {self.plan.whole_s:g} s were over")
        return self._take_actions()

    def _finish(self) -> None:
        if self.phase is Phase.UNDOING:
            self._end(Phase.UNDONE, self.reason)
        else:
            missing = [m for m in self.members.values() if m.state is not State.TOOK]
            self._end(Phase.INCOMPLETE if missing else Phase.DONE, self.reason)

    def _end(self, phase: Phase, reason: str) -> None:
        self.phase, self.reason = phase, reason

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    # --- views ----------------------------------------------------------------------------------

    def counts(self) -> dict[str, int]:
        """Members by state."""
        return {state.value: count for state, count in self._counts.items() if count}

    def missing(self) -> list[Member]:
        """Every member that has not what it was to have, by name."""
        undone = self.phase in (Phase.UNDOING, Phase.UNDONE)
        wanted = State.UNDONE if undone else State.TOOK
        return sorted((m for m in self.members.values() if m.state is not wanted), key=lambda m: m.name)


def _last_wave(plan: Plan, count: int) -> int:
    return max((w for w in waves(plan, count)), default=0)


def waves(plan: Plan, count: int) -> list[int]:
    """The wave of each of so many members, in order: 0 for the canaries, then one for each share. Waves that
    would be empty are left out."""
    bounds = [min(plan.canary, count)] + [math.ceil(share * count) for share in plan.shares] + [count]
    found: list[int] = []
    wave = 0
    for bound in bounds:
        more = bound - len(found)
        if more > 0:
            found += [wave] * more
            wave += 1
    return found


def members(
    plan: Plan, names: Iterable[str], make: Callable[[str, int], Member]
) -> list[Member]:  # fmt: skip
    """Members in the order of their names, with their waves."""
    ordered = sorted(names)
    return [make(name, wave) for name, wave in zip(ordered, waves(plan, len(ordered)), strict=True)]


# --- for the store --------------------------------------------------------------------------------


def to_tables(rollout: Rollout, now: float) -> tuple[dict[str, Any], dict[str, dict[str, Any]]]:
    """The rollout's row, and the rows of its dirty members by name."""
    head = {
        "kind": rollout.kind, "plan": asdict(rollout.plan), "phase": rollout.phase.value,
        "reason": rollout.reason, "wave": rollout.wave, "soak_until": rollout.soak_until,
        "spent": rollout.spent(now), "until": rollout.until, "forgiven": rollout.forgiven,
    }  # fmt: skip
    return head, {name: asdict(rollout.members[name]) for name in rollout.dirty}


def from_tables(number: int, head: dict[str, Any], rows: Iterable[dict[str, Any]], now: float) -> Rollout:
    """The rollout that the rows hold. No member counts as connected until it says so."""
    plan = Plan(**(head["plan"] | {"shares": tuple(head["plan"]["shares"])}))
    found = []
    for row in rows:
        pairs = {key: tuple(row[key]) for key in ("base", "now", "prior")}
        found.append(Member(**(row | pairs | {"state": State(row["state"]), "connected": False})))
    rollout = Rollout(number, head["kind"], plan, found, now, head["spent"])
    rollout.phase, rollout.reason = Phase(head["phase"]), head["reason"]
    rollout.wave, rollout.soak_until = head["wave"], head["soak_until"]
    rollout.until, rollout.forgiven = head["until"], head["forgiven"]
    rollout.dirty.clear()
    return rollout
