"""A fleet on paper around one rollout: instances that obey, refuse, stall, die and lose their links, and an agent
that is killed and goes on from its tables. It asserts what must hold after every step."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from covetally.fleet.rollout import (
    OUT,
    Member,
    Phase,
    Plan,
    Restart,
    Rollout,
    Send,
    State,
    UndoWanted,
    from_tables,
    members,
    to_tables,
)

OLD, NEW, BACK = "old", "new", "back"


@dataclass
class Paper:
    """An instance as it really is."""

    name: str
    nature: str = "obeys"  # refuses, stalls, dies, wants_restart, loses_ack
    has: str = OLD
    holds: str = ""
    boot: int = 1
    connected: bool = True
    applied: list[str] = field(default_factory=list)
    inbox: list[Any] = field(default_factory=list)


class Fleet:
    """A rollout from OLD to NEW over paper instances; time only passes by `pass_time`."""

    def __init__(self, natures: list[str], plan: Plan | None = None, kind: str = "change") -> None:
        self.papers = {f"i{n:02}": Paper(f"i{n:02}", nature) for n, nature in enumerate(natures)}
        self.now = 100.0
        self.plan = plan or Plan()
        self.undo_digest = OLD
        self.wanted: list[str] = []  # undos that the module asked for
        made = members(self.plan, self.papers, lambda name, wave: Member(name, NEW, OLD, wave))
        self.rollout = Rollout(7, kind, self.plan, made, self.now)
        for paper in self.papers.values():
            self._carry_out(self.rollout.connected(self.now, paper.name, self._boot(paper), paper.has))
        self.saved: tuple[dict, dict] = ({}, {})
        self.save()

    def _boot(self, paper: Paper) -> str:
        return f"{paper.name}-{paper.boot}"

    def start(self) -> None:
        self._carry_out(self.rollout.start(self.now))
        self.save()

    # --- the agent ------------------------------------------------------------------------------

    def save(self) -> None:
        """What the store does: the head and the dirty rows, through JSON."""
        head, rows = to_tables(self.rollout, self.now)
        self.rollout.dirty.clear()
        kept = self.saved[1] | rows
        self.saved = (json.loads(json.dumps(head)), json.loads(json.dumps(kept)))

    def kill_agent(self) -> None:
        """The agent dies: links end, what was sent may or may not have come, answers are lost."""
        for paper in self.papers.values():
            paper.connected = False
        self.now += 3.0
        self.rollout = from_tables(7, *self._rows(), self.now)
        self._carry_out(self.rollout.start(self.now))
        self.save()

    def _rows(self) -> tuple[dict, list]:
        head, rows = self.saved
        return head, [rows[name] for name in sorted(rows)]

    def _carry_out(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, UndoWanted):
                self.wanted.append(action.reason)
                continue
            paper = self.papers[action.name]
            if paper.connected:
                paper.inbox.append(action)
        self.check()

    def feed(self, actions: list) -> None:
        self._carry_out(actions)
        self.save()

    # --- the instances --------------------------------------------------------------------------

    def deliver(self, name: str) -> None:
        """An instance deals with the next thing sent to it, and its answer arrives."""
        paper = self.papers[name]
        if not paper.inbox or not paper.connected:
            return
        action = paper.inbox.pop(0)
        if isinstance(action, Restart):
            if paper.nature == "stays_away":
                self.cut(name)
            else:
                self.restart(name)
            return
        assert isinstance(action, Send)
        wanted = self.undo_digest if action.undo else NEW
        if paper.nature == "stalls" and not action.undo:
            return
        if paper.nature == "dies" and not action.undo:
            self.restart(name)
            return
        if paper.nature == "refuses" and not action.undo:
            self._ack(paper, wanted, "refused", [{"key": "k", "reason": "no"}])
            return
        if paper.nature == "wants_restart" and paper.has != wanted:
            paper.holds = wanted
            self._ack(paper, wanted, "needs_restart", keys=["process.listen"])
            return
        if paper.has != wanted:
            paper.applied.append(wanted)
        paper.has, paper.holds = wanted, ""
        if paper.nature == "loses_ack":
            paper.nature = "obeys"
            self.cut(name)
            return
        self._ack(paper, wanted, "took")

    def _ack(self, paper: Paper, wanted: str, outcome: str, errors=(), keys=()) -> None:
        self.feed(
            self.rollout.acked(self.now, paper.name, wanted, outcome, paper.has, list(errors), list(keys), True)
        )

    def cut(self, name: str) -> None:
        paper = self.papers[name]
        if paper.connected:
            paper.connected = False
            paper.inbox.clear()
            self.feed(self.rollout.lost(self.now, name, "the link was lost"))

    def leave(self, name: str) -> None:
        paper = self.papers[name]
        if paper.connected:
            paper.connected = False
            paper.inbox.clear()
            self.feed(self.rollout.left(self.now, name, "ended"))

    def connect(self, name: str) -> None:
        paper = self.papers[name]
        if not paper.connected:
            paper.connected = True
            self.feed(self.rollout.connected(self.now, name, self._boot(paper), paper.has, paper.holds))

    def restart(self, name: str) -> None:
        paper = self.papers[name]
        self.cut(name)
        paper.boot += 1
        if paper.holds:
            paper.applied.append(paper.holds)
            paper.has, paper.holds = paper.holds, ""
        self.connect(name)

    def beat(self, name: str, answers: int = 0, bad: int = 0) -> None:
        paper = self.papers[name]
        if paper.connected:
            self.feed(self.rollout.beat(self.now, name, paper.has, paper.holds, answers, bad))

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.feed(self.rollout.tick(self.now))

    def undo(self, reason: str = "asked") -> None:
        before = self.rollout.phase
        self.feed(self.rollout.undo(self.now, reason, {}))
        if before is not Phase.UNDOING and self.rollout.phase is Phase.UNDOING:
            self.undo_digest = OLD

    def settle(self) -> None:
        """Everybody who can comes back, everything sent arrives, and deadlines run out."""
        for _ in range(400):
            if self.rollout.phase is Phase.PAUSED:
                self.feed(self.rollout.resume(self.now))
            for name, paper in self.papers.items():
                if paper.nature != "stays_away":
                    self.connect(name)
            while waiting := [n for n, p in self.papers.items() if p.inbox and p.connected]:
                self.deliver(waiting[0])
            if any(not p.connected and p.nature != "stays_away" for p in self.papers.values()):
                continue
            if self.rollout.ended:
                return
            self.pass_time(max(0.01, self.rollout.next_due(self.now) or 0.0))
        raise AssertionError(f"never ended: {self.rollout.phase} {self.rollout.counts()}")

    # --- what must hold -------------------------------------------------------------------------

    def check(self) -> None:
        rollout = self.rollout
        out = [m for m in rollout.members.values() if m.state in OUT]
        assert len(out) <= rollout.plan.max_out, "more out than the plan allows"
        if rollout.ended:
            assert not out, "ended with something on its way"
            assert (
                rollout.counts().get("pending", 0) == 0
                or rollout.phase is Phase.ABORTED
                or (rollout.phase is Phase.INCOMPLETE and rollout.reason)
            ), "ended with somebody never told, and no reason"
        for member in rollout.members.values():
            assert isinstance(member.state, State)
        named = {m.name for m in rollout.missing()}
        wanted = State.UNDONE if rollout.phase in (Phase.UNDOING, Phase.UNDONE) else State.TOOK
        assert named == {m.name for m in rollout.members.values() if m.state is not wanted}

    def check_truth(self) -> None:
        """After `settle`: what is said of each instance is so."""
        for name, member in self.rollout.members.items():
            paper = self.papers[name]
            if member.state is State.TOOK:
                assert paper.has == NEW, f"{name} is said to have it"
            if member.state is State.UNDONE:
                assert paper.has == OLD, f"{name} is said to be back"
            if self.rollout.phase in (Phase.DONE, Phase.INCOMPLETE) and member.state is not State.TOOK:
                assert paper.has != NEW or paper.nature == "stays_away", f"{name} has it and is named as missing"
