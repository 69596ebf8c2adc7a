"""The agent's decisions, over simulated links: concurrent operators, overlaps, convergence and a lost store."""

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


class FakeInstance:
    """A link and the instance at its other end, which applies and answers every message at once by default."""

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

    def connect(self) -> FakeInstance:
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
            asyncio.get_running_loop().call_soon(self._apply_and_answer, message)
        return True

    def _apply_and_answer(self, message) -> None:
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

    def send_heartbeat(self) -> None:
        self.agent.received(self, {
            "t": "beat", "digest": digest(self.values), "pending": "", "counts": {}, "state": "serving",
        })  # fmt: skip


class AgentHarness:
    """An agent with its store in a folder; `open` starts it again from the store."""

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

    async def wait_until_settled(self) -> None:
        while any(r.active for r in self.agent.rollouts()):
            await asyncio.sleep(0.002)


def run(main, **more) -> None:
    async def timed(folder: Path):
        async with asyncio.timeout(15):
            harness = AgentHarness.__new__(AgentHarness)
            harness.__dict__.update(more)
            harness.__init__(folder)
            await main(harness)

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(timed(Path(folder)))


def test_a_change_based_on_an_older_revision_is_refused_and_names_the_newer_change():
    async def main(harness):
        fake = FakeInstance(harness.agent, "i0").connect()
        harness.change("ann", limits__max_attempts=2)
        await harness.wait_until_settled()
        with pytest.raises(AgentRefusedError) as caught:
            harness.change("bob", parent=0, limits__max_attempts=3)
        error = caught.value
        assert error.code == "conflict" and "revision 1 by ann" in str(error)
        assert error.data["changes"] == [{"selector": "", "key": "limits.max_attempts", "old": None, "new": 2}]
        assert error.data["revisions"][0]["author"] == "ann"
        assert fake.values == {"limits.max_attempts": 2}, "the second change is not merged"

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
def test_changes_of_two_operators_in_any_order_are_neither_lost_nor_merged(steps):
    """Each operator bases changes on the head that it read last. A change is accepted only on the current head,
    and every revision replaces one layer of the one before. In the end every instance has its desired settings or
    is listed as missing."""

    async def main(harness):
        agent = harness.agent
        fakes = [FakeInstance(agent, f"i{i}", zone="ab"[i % 2]).connect() for i in range(4)]
        seen = {"ann": 0, "bob": 0}
        for who, what, selector, value, overlap in steps:
            head = agent.head().number
            try:
                if what == "look":
                    seen[who] = head
                elif what == "set":
                    harness.change(who, seen[who], selector, overlap, limits__max_attempts=value)
                    assert seen[who] == head, "a change that was not based on the head was accepted"
                    assert agent.head().parent == head and agent.head().author == who
                elif what in ("undo", "abort"):
                    agent.steer(who, max((r.rollout.number for r in agent.rollouts()), default=1), what, "")
                elif what == "wait":
                    await harness.wait_until_settled()
                elif what == "cut":
                    fake = fakes[value % 4]
                    fake.end("cut")
                    fakes[value % 4] = FakeInstance(
                        agent, fake.name, fake.revision, fake.values, fake.zone, fake.boot
                    ).connect()
            except AgentRefusedError as error:
                assert error.code in ("conflict", "busy", "bad_input", "unknown")
                if error.code == "conflict" and what == "set":
                    assert seen[who] != head
        for _ in range(20):
            await harness.wait_until_settled()
            await asyncio.sleep(0)
        revisions = agent.revisions()
        for revision in revisions:
            before = agent.revision(revision.parent).document
            layers = {str(x.selector) for x in (*before.layers, *revision.document.layers)}
            after = revision.document
            changed = [s for s in layers if before.layer(parse(s)) != after.layer(parse(s))]
            assert changed in ([], [revision.selector]), "more than one layer changed in one revision"
        assert not any(r.active for r in agent.rollouts())
        for fake in fakes:
            instance = agent.instances[fake.name]
            assert digest(fake.values) == instance.digest
            wanted = agent.drafts.desired_settings(instance)["digest"]
            named = {m.name for r in agent.rollouts() for m in r.rollout.missing()}
            assert instance.digest == wanted or fake.name in named

    run(main)


def test_overlapping_rollouts_are_refused_queued_or_superseded_and_disjoint_ones_run_in_parallel():
    async def main(harness):
        agent = harness.agent
        fakes = {z: FakeInstance(agent, f"i{z}", zone=z).connect() for z in "ab"}
        fakes["a"].silent = True
        harness.change("ann", selector="zone=a", limits__max_attempts=2)
        with pytest.raises(AgentRefusedError, match="rollout 1 by ann .zone=a. is running"):
            harness.change("bob", limits__max_attempts=3)
        assert agent.head().number == 1, "a refused change leaves no revision"
        harness.change("bob", selector="zone=b", limits__max_attempts=4)
        await asyncio.sleep(0.05)
        assert fakes["b"].values == {"limits.max_attempts": 4}
        harness.change("bob", selector="zone=a", overlap="queue", limits__max_attempts=5)
        assert [r.queued for r in agent.rollouts()] == [True, False, False]
        assert [m["values"] for m in fakes["a"].sent if m["t"] == "apply"] == [{"limits.max_attempts": 2}]
        fakes["a"].silent = False
        fakes["a"]._apply_and_answer(fakes["a"].sent[-1])
        await harness.wait_until_settled()
        assert fakes["a"].values == {"limits.max_attempts": 5}, "the queued rollout runs next"
        fakes["a"].silent = True
        harness.change("ann", selector="zone=a", limits__max_attempts=6)
        done = harness.change("bob", selector="zone=a", overlap="supersede", limits__max_attempts=7)
        old = agent.rollout_record(done["rollout"]["number"] - 1)
        assert old.rollout.phase.value == "superseded"
        assert old.rollout.members["ia"].state.value == "superseded"

    run(main)


def test_an_undo_that_is_superseded_ends_with_the_new_revision_everywhere():
    async def main(harness):
        agent = harness.agent
        fakes = [FakeInstance(agent, f"i{i}").connect() for i in range(3)]
        harness.change("ann", limits__max_attempts=2)
        await harness.wait_until_settled()
        fakes[1].silent = True
        agent.steer("ann", 1, "undo", "bad")
        await asyncio.sleep(0.05)
        assert fakes[0].values == {} and fakes[1].values == {"limits.max_attempts": 2}
        done = harness.change("bob", overlap="supersede", limits__max_attempts=3)
        fakes[1].silent = False
        for message in [m for m in fakes[1].sent if m["t"] == "apply"][-2:]:
            # The messages of the undo and of the new revision arrive late but in order.
            fakes[1]._apply_and_answer(message)
        await harness.wait_until_settled()
        assert all(w.values == {"limits.max_attempts": 3} for w in fakes)
        assert agent.rollout_record(1).rollout.phase.value == "superseded"
        assert agent.rollout_record(done["rollout"]["number"]).rollout.phase.value == "done"

    run(main)


def test_undo_creates_a_revision_and_does_not_overwrite_a_later_change():
    async def main(harness):
        agent = harness.agent
        fake = FakeInstance(agent, "i0").connect()
        harness.change("ann", limits__max_attempts=2)
        await harness.wait_until_settled()
        harness.change("bob", selector="zone=a", log__level="debug")
        await harness.wait_until_settled()
        agent.steer("ann", 1, "undo", "")
        await harness.wait_until_settled()
        assert fake.values == {"log.level": "debug"}, "the other layer is unchanged"
        assert agent.head().number == 3 and "undo of revision 1" in agent.head().reason
        harness.change("ann", selector="zone=a", log__level="error")
        await harness.wait_until_settled()
        with pytest.raises(AgentRefusedError, match="revision 4 by ann has changed the same settings since"):
            agent.steer("bob", 2, "undo", "")

    run(main)


def test_a_failing_rollout_is_undone_automatically_if_its_plan_says_so():
    async def main(harness):
        agent = harness.agent
        fakes = [FakeInstance(agent, f"i{i}").connect() for i in range(3)]
        fakes[1].refuses = True
        plan = Plan(canary=0, shares=(1.0,), soak_s=0, max_out=1, max_refused=0, on_trouble="undo")
        harness.change("ann", plan=plan, limits__max_attempts=2)
        await harness.wait_until_settled()
        assert fakes[2].values == {"limits.max_attempts": 2}, (
            "max_refused = 0: any number of instances may refuse"
        )
        plan = Plan(canary=0, shares=(1.0,), soak_s=0, max_out=1, max_refused=1, on_trouble="undo")
        fakes[2].refuses = True
        harness.change("ann", plan=plan, limits__max_attempts=3)
        await harness.wait_until_settled()
        assert agent.rollouts()[0].rollout.phase.value == "undone"
        assert agent.head().author == "agent" and fakes[0].values == {"limits.max_attempts": 2}

    run(main)


def test_late_and_new_instances_get_their_settings_and_are_asked_only_once():
    async def main(harness):
        agent = harness.agent
        away = FakeInstance(agent, "i0").connect()
        away.end("cut")
        harness.change(
            "ann", plan=Plan(canary=0, shares=(1.0,), soak_s=0, instance_s=0.05), limits__max_attempts=2
        )
        await harness.wait_until_settled()
        record = agent.rollouts()[0]
        assert record.rollout.phase.value == "incomplete"
        assert [m.name for m in record.rollout.missing()] == ["i0"]
        back = FakeInstance(agent, "i0").connect()
        await asyncio.sleep(0.05)
        assert back.values == {"limits.max_attempts": 2}
        assert record.rollout.phase.value == "done"
        new = FakeInstance(agent, "i9").connect()
        await asyncio.sleep(0.05)
        assert new.values == {"limits.max_attempts": 2}
        stubborn = FakeInstance(agent, "i8")
        stubborn.refuses = True
        stubborn.connect()
        for _ in range(5):
            await asyncio.sleep(0.01)
            stubborn.send_heartbeat()
        assert len([m for m in stubborn.sent if m["t"] == "apply"]) == 1
        assert "refused revision 1: k: no" in agent.instances["i8"].note

    run(main)


def test_a_new_instance_joins_a_rollout_in_progress():
    async def main(harness):
        agent = harness.agent
        slow = FakeInstance(agent, "i0").connect()
        slow.silent = True
        harness.change("ann", limits__max_attempts=2)
        new = FakeInstance(agent, "i1").connect()
        await asyncio.sleep(0.05)
        assert agent.rollouts()[0].rollout.members["i1"].state.value == "took"
        assert new.values == {"limits.max_attempts": 2}

    run(main)


def test_a_second_instance_with_the_same_name_is_accepted_only_if_the_first_does_not_answer():
    async def main(harness):
        agent = harness.agent
        first = FakeInstance(agent, "i0").connect()
        second = FakeInstance(agent, "i0").connect()
        await asyncio.sleep(0.05)
        assert "in use by pid 1" in second.denied and agent.instances["i0"].link is first
        first.silent = True
        third = FakeInstance(agent, "i0").connect()
        while agent.instances["i0"].link is not third:
            await asyncio.sleep(0.05)
        assert first.closed
        again = FakeInstance(agent, "i0", boot=third.boot).connect()
        assert third.closed and agent.instances["i0"].link is again, "the same process has connected again"

    run(main)


def test_a_lost_store_is_recovered_from_the_reports_of_instances():
    async def main(harness):
        agent = harness.agent
        common, own = {"limits.max_attempts": 3}, {"limits.max_attempts": 3, "log.level": "debug"}
        fakes = [FakeInstance(agent, f"i{i}", 41, common).connect() for i in range(3)]
        fakes.append(FakeInstance(agent, "odd", 40, own).connect())
        fakes.append(FakeInstance(agent, "fresh").connect())
        with pytest.raises(AgentRefusedError) as caught:
            harness.change(log__level="error")
        assert caught.value.code == "recovering"
        while agent.status()["recovering"]:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.05)
        assert agent.head().number == 41 and agent.head().author == "agent" and agent.recovered
        assert "4 instances reported" in agent.head().reason
        assert [w.values for w in fakes[:4]] == [common] * 3 + [own], "every instance keeps its settings"
        assert not any(m["t"] == "apply" for w in fakes[:4] for m in w.sent)
        assert fakes[4].values == common, "an instance without settings gets the most common ones"
        harness.change("ann", limits__max_attempts=2)
        await harness.wait_until_settled()
        assert fakes[3].values == {"limits.max_attempts": 3, "log.level": "debug"}, (
            "its own layer still has precedence"
        )
        assert fakes[0].values == {"limits.max_attempts": 2}

    run(main, recover_s=0.3)


def test_a_store_restored_from_an_older_copy_continues_above_the_revisions_of_instances():
    async def main(harness):
        fake = FakeInstance(harness.agent, "i0", 17, {"log.level": "debug"}).connect()
        done = harness.change("ann", limits__max_attempts=2)
        assert done["revision"] == 18
        await harness.wait_until_settled()
        assert fake.values == {"limits.max_attempts": 2}

    run(main)


def test_a_dry_run_lists_the_effects_and_changes_nothing():
    async def main(harness):
        fake = FakeInstance(harness.agent, "i0").connect()
        FakeInstance(harness.agent, "i1", zone="b").connect().end("cut")
        done = harness.change(dry=True, process__backlog=64, log__level="debug")
        what = {"keys": ["log.level", "process.backlog"], "restart": ["process.backlog"]}
        assert done["would"] == [
            {"name": "i0", "connected": True} | what,
            {"name": "i1", "connected": False} | what,
        ]
        assert harness.agent.head().number == 0 and not harness.agent.rollouts() and not fake.sent

    run(main)


@pytest.mark.parametrize(
    "more, message",
    [
        ({"nothing__known": 1}, "no such key"),
        ({"control__name": "x"}, "cannot be set by an agent"),
        ({"selector": "zone", "log__level": "debug"}, "no term"),
        ({}, "changes nothing"),
    ],
)
def test_an_invalid_change_is_refused_before_anything_is_written(more, message):
    async def main(harness):
        with pytest.raises(AgentRefusedError, match=message) as caught:
            harness.change(**more)
        assert caught.value.code == "bad_input" and harness.agent.head().number == 0

    run(main)


def test_a_jump_of_the_wall_clock_changes_no_deadline(monkeypatch):
    """The clock jumps a day forwards and a day back while a rollout waits for a silent instance."""

    async def main(harness):
        agent, plain = harness.agent, time.time
        good, slow = FakeInstance(agent, "i0").connect(), FakeInstance(agent, "i1").connect()
        slow.silent = True
        harness.change(
            "ann", plan=Plan(canary=0, shares=(1.0,), soak_s=0, instance_s=3.0), limits__max_attempts=2
        )
        for jump in (86_400, -86_400):
            monkeypatch.setattr(time, "time", lambda jump=jump: plain() + jump)
            await asyncio.sleep(0.05)
            good.send_heartbeat()
            slow.send_heartbeat()
            assert agent.rollouts()[0].rollout.members["i1"].state.value == "sent"
        await harness.wait_until_settled()
        assert [m.name for m in agent.rollouts()[0].rollout.missing()] == ["i1"]

    run(main)


def test_only_an_instance_that_is_not_connected_can_be_forgotten():
    async def main(harness):
        fake = FakeInstance(harness.agent, "i0").connect()
        with pytest.raises(AgentRefusedError, match="is connected"):
            harness.agent.forget("ann", "i0")
        fake.end("cut")
        harness.agent.forget("ann", "i0")
        assert harness.agent.instances == {}

    run(main)


@pytest.mark.parametrize(
    ("beat", "state"), [({"state": "drained"}, "drained"), ({}, "serving"), (None, "serving")]
)
def test_the_state_of_an_instance_is_taken_from_its_hello(beat, state):
    """Without this, a drained instance counted as serving capacity until its first heartbeat."""

    async def main(harness):
        fake = FakeInstance(harness.agent, "i0")
        fake.hello["beat"] = beat
        fake.connect()
        assert harness.agent.instances["i0"].state == state

    run(main)
