"""An agent whose disk refuses writes: nothing unsaved is sent, nothing is lost, and it catches up afterwards."""

from __future__ import annotations

import asyncio
import sqlite3
from dataclasses import replace

import pytest

from covetally.fleet.agent import Agent
from covetally.fleet.drains import DrainRequest
from covetally.fleet.orders import Command
from covetally.fleet.rollout import Phase
from covetally.fleet.store import CannotKeepError
from tests.fleet.test_agent import AT_ONCE, FakeInstance, run

FAILING_STATEMENTS = ("COMMIT", "BEGIN IMMEDIATE")


class FailingDatabase:
    """A database connection on which statements that begin with `failing` raise an error."""

    def __init__(self, real: sqlite3.Connection) -> None:
        self._real, self.failing = real, ""

    def __getattr__(self, name):
        return getattr(self._real, name)

    def execute(self, text, *rest):
        if self.failing and text.startswith(self.failing):
            raise sqlite3.OperationalError("disk I/O error")
        return self._real.execute(text, *rest)


def break_disk(agent: Agent, failing: str = "COMMIT") -> FailingDatabase:
    """Make statements of the agent's store fail from now on, until `failing` is emptied."""
    disk = FailingDatabase(agent._store._db)
    agent._store._db = disk  # type: ignore[assignment]
    disk.failing = failing
    return disk


def applied(fake: FakeInstance) -> list[int]:
    """The revisions that were sent to an instance."""
    return [message["revision"] for message in fake.sent if message["t"] == "apply"]


@pytest.mark.parametrize("failing", FAILING_STATEMENTS)
def test_a_change_that_cannot_be_saved_is_not_made_and_can_be_made_later(failing):
    async def main(harness):
        fake = FakeInstance(harness.agent, "i0").connect()
        disk = break_disk(harness.agent, failing)
        with pytest.raises(CannotKeepError):
            harness.change(limits__max_attempts=2)
        await asyncio.sleep(0.05)
        assert harness.agent.head().number == 0 and harness.agent.rollouts() == [] and applied(fake) == []
        disk.failing = ""
        harness.change(limits__max_attempts=2)
        await harness.wait_until_settled()
        assert fake.values == {"limits.max_attempts": 2}

    run(main)


def test_a_rollout_waits_while_the_disk_refuses_and_then_continues():
    """The rollout's state was regarded as saved, and its pending sends were lost."""

    async def main(harness):
        fakes = [FakeInstance(harness.agent, f"i{number}").connect() for number in range(3)]
        fakes[0].silent = True
        plan = replace(AT_ONCE, canary=1, shares=(1.0,))
        number = harness.change(plan=plan, limits__max_attempts=2)["rollout"]["number"]
        await asyncio.sleep(0.05)
        disk = break_disk(harness.agent)
        fakes[0]._apply_and_answer(fakes[0].sent[-1])  # the canary applies it; the others would be next
        await asyncio.sleep(0.2)
        assert [applied(fake) for fake in fakes] == [[1], [], []], "only saved state may be sent"
        disk.failing = ""
        await harness.wait_until_settled()
        assert harness.agent.rollout_record(number).rollout.phase is Phase.DONE
        assert [applied(fake) for fake in fakes] == [[1], [1], [1]]
        harness.agent.close()
        harness.open()
        assert {m.state.value for m in harness.agent.rollout_record(number).rollout.members.values()} == {"took"}
        late = FakeInstance(harness.agent, "late").connect()
        await asyncio.sleep(0.05)
        assert applied(late) == [1], "the default revision is saved too"

    run(main)


def test_an_undo_that_cannot_be_saved_changes_nothing_and_can_be_repeated():
    async def main(harness):
        fake = FakeInstance(harness.agent, "i0").connect()
        number = harness.change(limits__max_attempts=2)["rollout"]["number"]
        await harness.wait_until_settled()
        disk = break_disk(harness.agent)
        with pytest.raises(CannotKeepError):
            harness.agent.steer("ann", number, "undo", "")
        assert (
            harness.agent.rollout_record(number).rollout.phase is Phase.DONE and harness.agent.head().number == 1
        )
        disk.failing = ""
        harness.agent.steer("ann", number, "undo", "")
        await harness.wait_until_settled()
        assert fake.values == {} and harness.agent.head().number == 2

    run(main)


def test_operator_requests_that_cannot_be_saved_change_nothing():
    async def main(harness):
        agent = harness.agent
        fake = FakeInstance(agent, "i0").connect()
        agent.freeze("ann", 60.0, "name=x", "sale", "ann")
        disk = break_disk(agent)
        for request in (
            lambda: agent.freeze("ann", 60.0, "", "more", ""), lambda: agent.thaw("ann", 1),
            lambda: agent.restart("ann", "", "", AT_ONCE, False),
            lambda: agent.start_drain("ann", DrainRequest(("i0",)), "", ""),
        ):  # fmt: skip
            with pytest.raises(CannotKeepError):
                request()
        with pytest.raises(CannotKeepError):
            await agent.order(Command("drain", "ann"), "")
        assert [row["state"] for row in agent.freezes.as_dicts(agent.clock.now())] == ["in force"]
        assert agent.rollouts() == [] and agent.drains.run is None and not agent.orders.desired("i0").draining
        fake.end("gone")
        with pytest.raises(CannotKeepError):
            agent.forget("ann", "i0")
        assert "i0" in agent.instances
        disk.failing = ""
        await asyncio.sleep(0.05)
        agent.forget("ann", "i0")
        agent.thaw("ann", 1)
        agent.close()
        harness.open()
        assert list(harness.agent.instances) == [] and harness.agent.freezes.as_dicts(0)[0]["state"] == "lifted"

    run(main)
