"""The agent's decisions over links that are made here: two operators, overlaps, convergence, a lost store."""

from __future__ import annotations

import asyncio
import itertools
import tempfile
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from covetally.control.orders import Orders
from covetally.control.protocol import digest
from covetally.fleet.agent import Agent
from covetally.fleet.errors import AgentRefusedError
from covetally.fleet.audit import Audit
from covetally.fleet.rollout import Plan
from covetally.fleet.selector import parse
from covetally.fleet.store import Store

AT_ONCE = Plan(canary=0, shares=(1.0,), soak_s=0, instance_s=5)
_boots = itertools.count()


class Wire:
    """A link and the instance at its other end, which obeys at once unless it is told otherwise."""

    def __init__(
        self, agent: Agent, name: str, revision: int = 0, values=None, zone: str = "a", boot: str = ""
    ) -> None:
        self.agent, self.name, self.tcp = agent, name, False
        self.values, self.revision = dict(values or {}), revision
        self.zone, self.boot = zone, boot or f"b{next(_boots)}"
        self.closed, self.sent, self.silent, self.refuses = False, [], False, False
        self.hello = {
            "versions": [1], "name": name, "boot": self.boot, "pid": 1, "version": "t", "labels": {"zone": zone},
            "revision": revision, "digest": digest(self.values), "values": self.values, "pending": "",
            "keeps": True, "may_restart": True, "token": "",
        }  # fmt: skip

    def dial(self) -> Wire:
        self.denied = self.agent.admit(self, self.hello)
        return self

    def welcome(self, orders: Orders) -> None:
        self.orders = orders

    def deny(self, reason: str) -> None:
        self.denied = reason

    def end(self, reason: str) -> None:
        if not self.closed:
            self.closed = True
            self.agent.ended(self, reason)

    def send(self, message) -> bool:
        self.sent.append(message)
        if not self.silent:
            asyncio.get_running_loop().call_soon(self._obey, message)
        return True

    def _obey(self, message) -> None:
        if self.closed:
            return
        if message["t"] == "apply":
            outcome = "refused" if self.refuses else "took"
            if not self.refuses:
                self.values, self.revision = dict(message["values"]), message["revision"]
            errors = [{"key": "k", "value": 1, "reason": "no", "remedy": ""}] if self.refuses else []
            self.agent.received(self, {
                "t": "ack", "revision": message["revision"], "digest": message["digest"], "outcome": outcome,
                "held": digest(self.values), "errors": errors, "keys": [], "keeps": True,
            })  # fmt: skip
        elif message["t"] in ("ask", "do"):
            self.agent.received(self, {"t": "answer", "id": message["id"], "error": "", "state": "serving"})

    def beat(self) -> None:
        self.agent.received(self, {
            "t": "beat", "digest": digest(self.values), "pending": "", "counts": {}, "state": "serving",
        })  # fmt: skip


class Place:
    """An agent in a folder that can be killed (its memory dropped) and started again."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.open()

    def open(self) -> None:
        self.agent = Agent(Store(self.folder / "db"), Audit(self.folder / "audit"), recover_s=self.recover_s)
        self.agent.open()

    recover_s = 0.0

    def change(self, who="ann", parent=None, selector="", overlap="refuse", plan=AT_ONCE, dry=False, **set_):
        values = {key.replace("__", "."): value for key, value in set_.items()}
        parent = self.agent.head().number if parent is None else parent
        draft = self.agent.draft(who, parent, "", selector, None, values, [])
        return self.agent.drafts.preview(draft) if dry else self.agent.change(draft, who, "", plan, overlap)

    async def settled(self) -> None:
        while any(r.active for r in self.agent.rollouts()):
            await asyncio.sleep(0.002)


def run(main, **more) -> None:
    async def timed(folder: Path):
        async with asyncio.timeout(15):
            place = Place.__new__(Place)
            place.__dict__.update(more)
            place.__init__(folder)
            await main(place)

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(timed(Path(folder)))


def test_the_second_of_two_operators_is_told_of_the_first():
    async def main(place):
        wire = Wire(place.agent, "i0").dial()
        place.change("ann", limits__max_attempts=2)
        await place.settled()
        with pytest.raises(AgentRefusedError) as caught:
            place.change("bob", parent=0, limits__max_attempts=3)
        error = caught.value
        assert error.code == "conflict" and "revision 1 by ann" in str(error)
        assert error.data["changes"] == [{"selector": "", "key": "limits.max_attempts", "old": None, "new": 2}]
        assert error.data["revisions"][0]["author"] == "ann"
        assert wire.values == {"limits.max_attempts": 2}, "nothing of the second was merged"

    run(main)


@profile(max_examples=100, derandomize=True, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ann", "bob"]),
            st.sampled_from(["look", "look", "set", "set", "set", "undo", "abort", "wait", "cut"]),
            st.sampled_from(["", "zone=a", "zone=b"]),
            st.integers(1, 5),
            st.sampled_from(["refuse", "queue", "supersede"]),
        ),
        max_size=25,
    )
)
def test_two_operators_in_any_order_lose_no_change_and_merge_none(steps):
    """Each works on the head that it looked at last. A change goes in only on the head, and every revision is
    the one before with one layer replaced; in the end every instance has what the head says or is named."""

    async def main(place):
        agent = place.agent
        wires = [Wire(agent, f"i{i}", zone="ab"[i % 2]).dial() for i in range(4)]
        seen = {"ann": 0, "bob": 0}
        for who, what, selector, value, overlap in steps:
            head = agent.head().number
            try:
                if what == "look":
                    seen[who] = head
                elif what == "set":
                    place.change(who, seen[who], selector, overlap, limits__max_attempts=value)
                    assert seen[who] == head, "a change on what was not the head went in"
                    assert agent.head().parent == head and agent.head().author == who
                elif what in ("undo", "abort"):
                    agent.steer(who, max((r.rollout.number for r in agent.rollouts()), default=1), what, "")
                elif what == "wait":
                    await place.settled()
                elif what == "cut":
                    wire = wires[value % 4]
                    wire.end("cut")
                    wires[value % 4] = Wire(
                        agent, wire.name, wire.revision, wire.values, wire.zone, wire.boot
                    ).dial()
            except AgentRefusedError as error:
                assert error.code in ("conflict", "busy", "bad_input", "unknown")
                if error.code == "conflict" and what == "set":
                    assert seen[who] != head
        for _ in range(20):
            await place.settled()
            await asyncio.sleep(0)
        revisions = agent.revisions()
        for revision in revisions:
            before = agent.revision(revision.parent).document
            layers = {str(x.selector) for x in (*before.layers, *revision.document.layers)}
            after = revision.document
            changed = [s for s in layers if before.layer(parse(s)) != after.layer(parse(s))]
            assert changed in ([], [revision.selector]), "more than one layer changed in one revision"
        assert not any(r.active for r in agent.rollouts())
        for wire in wires:
            instance = agent.instances[wire.name]
            assert digest(wire.values) == instance.digest
            wanted = agent.drafts.desired_settings(instance)["digest"]
            named = {m.name for r in agent.rollouts() for m in r.rollout.missing()}
            assert instance.digest == wanted or wire.name in named

    run(main)


def test_overlapping_rollouts_are_refused_queued_or_superseded_and_disjoint_ones_run_beside():
    async def main(place):
        agent = place.agent
        wires = {z: Wire(agent, f"i{z}", zone=z).dial() for z in "ab"}
        wires["a"].silent = True
        place.change("ann", selector="zone=a", limits__max_attempts=2)
        with pytest.raises(AgentRefusedError, match="rollout 1 by ann .zone=a. is running"):
            place.change("bob", limits__max_attempts=3)
        assert agent.head().number == 1, "a refused change leaves no revision"
        place.change("bob", selector="zone=b", limits__max_attempts=4)
        await asyncio.sleep(0.05)
        assert wires["b"].values == {"limits.max_attempts": 4}
        place.change("bob", selector="zone=a", overlap="queue", limits__max_attempts=5)
        assert [r.queued for r in agent.rollouts()] == [True, False, False]
        assert [m["values"] for m in wires["a"].sent if m["t"] == "apply"] == [{"limits.max_attempts": 2}]
        wires["a"].silent = False
        wires["a"]._obey(wires["a"].sent[-1])
        await place.settled()
        assert wires["a"].values == {"limits.max_attempts": 5}, "the queued one followed"
        wires["a"].silent = True
        place.change("ann", selector="zone=a", limits__max_attempts=6)
        done = place.change("bob", selector="zone=a", overlap="supersede", limits__max_attempts=7)
        old = agent.running(done["rollout"]["number"] - 1)
        assert old.rollout.phase.value == "superseded"
        assert old.rollout.members["ia"].state.value == "superseded"

    run(main)


def test_a_revision_that_was_taken_back_and_is_overtaken_by_a_new_one_ends_with_the_new_one():
    async def main(place):
        agent = place.agent
        wires = [Wire(agent, f"i{i}").dial() for i in range(3)]
        place.change("ann", limits__max_attempts=2)
        await place.settled()
        wires[1].silent = True
        agent.steer("ann", 1, "undo", "bad")
        await asyncio.sleep(0.05)
        assert wires[0].values == {} and wires[1].values == {"limits.max_attempts": 2}
        done = place.change("bob", overlap="supersede", limits__max_attempts=3)
        wires[1].silent = False
        for message in [m for m in wires[1].sent if m["t"] == "apply"][-2:]:
            wires[1]._obey(message)  # the undo's and the new one's, late and in order
        await place.settled()
        assert all(w.values == {"limits.max_attempts": 3} for w in wires)
        assert agent.running(1).rollout.phase.value == "superseded"
        assert agent.running(done["rollout"]["number"]).rollout.phase.value == "done"

    run(main)


def test_undo_goes_back_by_a_revision_of_its_own_and_not_over_a_later_change():
    async def main(place):
        agent = place.agent
        wire = Wire(agent, "i0").dial()
        place.change("ann", limits__max_attempts=2)
        await place.settled()
        place.change("bob", selector="zone=a", log__level="debug")
        await place.settled()
        agent.steer("ann", 1, "undo", "")
        await place.settled()
        assert wire.values == {"log.level": "debug"}, "the other layer stays"
        assert agent.head().number == 3 and "undo of revision 1" in agent.head().reason
        place.change("ann", selector="zone=a", log__level="error")
        await place.settled()
        with pytest.raises(AgentRefusedError, match="revision 4 by ann has changed the same settings since"):
            agent.steer("bob", 2, "undo", "")

    run(main)


def test_trouble_undoes_by_itself_where_the_plan_says_so():
    async def main(place):
        agent = place.agent
        wires = [Wire(agent, f"i{i}").dial() for i in range(3)]
        wires[1].refuses = True
        plan = Plan(canary=0, shares=(1.0,), soak_s=0, max_out=1, max_refused=0, on_trouble="undo")
        place.change("ann", plan=plan, limits__max_attempts=2)
        await place.settled()
        assert wires[2].values == {"limits.max_attempts": 2}, "0: any number may refuse"
        plan = Plan(canary=0, shares=(1.0,), soak_s=0, max_out=1, max_refused=1, on_trouble="undo")
        wires[2].refuses = True
        place.change("ann", plan=plan, limits__max_attempts=3)
        await place.settled()
        assert agent.rollouts()[0].rollout.phase.value == "undone"
        assert agent.head().author == "agent" and wires[0].values == {"limits.max_attempts": 2}

    run(main)


def test_who_comes_late_or_new_is_brought_to_what_it_is_to_have_and_asked_once():
    async def main(place):
        agent = place.agent
        away = Wire(agent, "i0").dial()
        away.end("cut")
        place.change("ann", plan=Plan(canary=0, shares=(1.0,), soak_s=0, instance_s=0.05), limits__max_attempts=2)
        await place.settled()
        running = agent.rollouts()[0]
        assert running.rollout.phase.value == "incomplete"
        assert [m.name for m in running.rollout.missing()] == ["i0"]
        back = Wire(agent, "i0").dial()
        await asyncio.sleep(0.05)
        assert back.values == {"limits.max_attempts": 2}
        assert running.rollout.phase.value == "done"
        new = Wire(agent, "i9").dial()
        await asyncio.sleep(0.05)
        assert new.values == {"limits.max_attempts": 2}
        stubborn = Wire(agent, "i8")
        stubborn.refuses = True
        stubborn.dial()
        for _ in range(5):
            await asyncio.sleep(0.01)
            stubborn.beat()
        assert len([m for m in stubborn.sent if m["t"] == "apply"]) == 1
        assert "refused revision 1: k: no" in agent.instances["i8"].note

    run(main)


def test_one_that_comes_new_while_a_rollout_runs_joins_it():
    async def main(place):
        agent = place.agent
        slow = Wire(agent, "i0").dial()
        slow.silent = True
        place.change("ann", limits__max_attempts=2)
        new = Wire(agent, "i1").dial()
        await asyncio.sleep(0.05)
        assert agent.rollouts()[0].rollout.members["i1"].state.value == "took"
        assert new.values == {"limits.max_attempts": 2}

    run(main)


def test_a_second_that_claims_a_name_is_denied_while_the_first_answers_and_let_in_when_it_does_not():
    async def main(place):
        agent = place.agent
        first = Wire(agent, "i0").dial()
        second = Wire(agent, "i0").dial()
        await asyncio.sleep(0.05)
        assert "in use by pid 1" in second.denied and agent.instances["i0"].link is first
        first.silent = True
        third = Wire(agent, "i0").dial()
        while agent.instances["i0"].link is not third:
            await asyncio.sleep(0.05)
        assert first.closed
        again = Wire(agent, "i0", boot=third.boot).dial()
        assert third.closed and agent.instances["i0"].link is again, "the same process has dialled again"

    run(main)


def test_a_lost_store_is_made_again_from_what_instances_report():
    async def main(place):
        agent = place.agent
        common, own = {"limits.max_attempts": 3}, {"limits.max_attempts": 3, "log.level": "debug"}
        wires = [Wire(agent, f"i{i}", 41, common).dial() for i in range(3)]
        wires.append(Wire(agent, "odd", 40, own).dial())
        wires.append(Wire(agent, "fresh").dial())
        with pytest.raises(AgentRefusedError) as caught:
            place.change(log__level="error")
        assert caught.value.code == "recovering"
        while agent.status()["recovering"]:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.05)
        assert agent.head().number == 41 and agent.head().author == "agent" and agent.recovered
        assert "4 instances reported" in agent.head().reason
        assert [w.values for w in wires[:4]] == [common] * 3 + [own], "nobody lost what it had"
        assert not any(m["t"] == "apply" for w in wires[:4] for m in w.sent)
        assert wires[4].values == common, "who had nothing gets what most have"
        place.change("ann", limits__max_attempts=2)
        await place.settled()
        assert wires[3].values == {"limits.max_attempts": 3, "log.level": "debug"}, "its own layer still wins"
        assert wires[0].values == {"limits.max_attempts": 2}

    run(main, recover_s=0.3)


def test_a_store_put_back_from_a_copy_counts_on_above_what_instances_have():
    async def main(place):
        wire = Wire(place.agent, "i0", 17, {"log.level": "debug"}).dial()
        done = place.change("ann", limits__max_attempts=2)
        assert done["revision"] == 18
        await place.settled()
        assert wire.values == {"limits.max_attempts": 2}

    run(main)


def test_a_dry_run_says_who_would_change_and_changes_nothing():
    async def main(place):
        wire = Wire(place.agent, "i0").dial()
        Wire(place.agent, "i1", zone="b").dial().end("cut")
        done = place.change(dry=True, process__backlog=64, log__level="debug")
        what = {"keys": ["log.level", "process.backlog"], "restart": ["process.backlog"]}
        assert done["would"] == [
            {"name": "i0", "connected": True} | what,
            {"name": "i1", "connected": False} | what,
        ]
        assert place.agent.head().number == 0 and not place.agent.rollouts() and not wire.sent

    run(main)


@pytest.mark.parametrize(
    "more, said",
    [
        ({"nothing__known": 1}, "no such key"),
        ({"control__name": "x"}, "cannot be set by an agent"),
        ({"selector": "zone", "log__level": "debug"}, "no term"),
        ({}, "changes nothing"),
    ],
)
def test_what_cannot_be_is_refused_before_anything_is_written(more, said):
    async def main(place):
        with pytest.raises(AgentRefusedError, match=said) as caught:
            place.change(**more)
        assert caught.value.code == "bad_input" and place.agent.head().number == 0

    run(main)


def test_a_wall_clock_that_jumps_moves_no_deadline(monkeypatch):
    """A day ahead, a day back, while a rollout waits for one that is silent: its deadline is its own."""

    async def main(place):
        agent, plain = place.agent, time.time
        good, slow = Wire(agent, "i0").dial(), Wire(agent, "i1").dial()
        slow.silent = True
        place.change("ann", plan=Plan(canary=0, shares=(1.0,), soak_s=0, instance_s=3.0), limits__max_attempts=2)
        for jump in (86_400, -86_400):
            monkeypatch.setattr(time, "time", lambda jump=jump: plain() + jump)
            await asyncio.sleep(0.05)
            good.beat()
            slow.beat()
            assert agent.rollouts()[0].rollout.members["i1"].state.value == "sent"
        await place.settled()
        assert [m.name for m in agent.rollouts()[0].rollout.missing()] == ["i1"]

    run(main)


def test_forgetting_is_for_those_who_are_away():
    async def main(place):
        wire = Wire(place.agent, "i0").dial()
        with pytest.raises(AgentRefusedError, match="is connected"):
            place.agent.forget("ann", "i0")
        wire.end("cut")
        place.agent.forget("ann", "i0")
        assert place.agent.instances == {}

    run(main)


@pytest.mark.parametrize(
    ("beat", "state"), [({"state": "drained"}, "drained"), ({}, "serving"), (None, "serving")]
)
def test_an_instance_is_in_the_state_that_it_says_as_it_comes(beat, state):
    """It passed for serving until its first heartbeat: a drained one counted as capacity."""

    async def main(place):
        wire = Wire(place.agent, "i0")
        wire.hello["beat"] = beat
        wire.dial()
        assert place.agent.instances["i0"].state == state

    run(main)
