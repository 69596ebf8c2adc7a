"""Freezes: what they block, for whom and how long; across a crash of the agent; through the command line."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from covetally.fleet.freezes import LISTED_S, Freezes
from covetally.fleet.selector import parse
from covetally.rig.managed import Managed
from covetally.rig.world import Shape


def test_a_freeze_blocks_overlapping_selectors_until_it_lapses_or_is_lifted():
    freezes = Freezes()
    made = freezes.add("zone=a", 100.0, 60.0, "ann", "sale", "bob")
    assert freezes.find_blocking(parse("zone=a"), "carl", 100.0) == made
    assert freezes.find_blocking(parse(""), "carl", 159.0) == made
    assert freezes.find_blocking(parse("zone=b"), "carl", 100.0) is None
    assert freezes.find_blocking(parse("zone=a"), "bob", 100.0) is None
    assert (
        freezes.find_blocking(parse("zone=a"), "ann", 100.0) == made
    )  # the operator who added the freeze is blocked too
    assert freezes.find_blocking(parse("zone=a"), "carl", 160.0) is None
    assert freezes.lift(made.number, 160.0, "ann") is None
    other = freezes.add("", 200.0, 60.0, "ann", "", "")
    assert freezes.lift(other.number, 210.0, "dora").ended_by == "dora"
    assert freezes.find_blocking(parse(""), "carl", 211.0) is None
    assert [row["state"] for row in freezes.as_dicts(211.0)] == ["lifted", "lapsed"]
    freezes.add("", 260.0 + LISTED_S, 1.0, "ann", "", "")
    assert len(freezes.as_dicts(261.0 + LISTED_S)) == 1


STEPS = st.lists(st.tuples(st.sampled_from(["add", "lift", "wait"]), st.integers(1, 50)), max_size=30)


@given(STEPS)
def test_freezes_match_a_simple_model_when_reloaded_after_each_step(steps):
    freezes, now, model = Freezes(), 1000.0, {}
    for action, figure in steps:
        if action == "add":
            made = freezes.add("", now, float(figure), "ann", "", "")
            model[made.number] = now + figure
        elif action == "lift":
            number = figure % (len(model) + 1)
            assert (freezes.lift(number, now, "ann") is not None) is (model.get(number, 0.0) > now)
            model[number] = min(model.get(number, 0.0), now)
        else:
            now += figure
        freezes = Freezes(freezes.to_json())
        blocked = freezes.find_blocking(parse("zone=a"), "x", now) is not None
        assert blocked is any(end > now for end in model.values())


def test_a_freeze_survives_an_agent_crash_and_still_allows_undo():
    async def main():
        async with Managed(Shape(nodes=1, instances=2)) as world:
            await world.start_agent()
            await world.start_instances()
            await world.connected()
            quick = ("--soak", "0")
            code, out, err = await world.command("set", "limits.max_attempts=3", *quick)
            assert code == 0, (out, err)
            code, out, _ = await world.command("freeze", "add", "--for", "600", "-m", "sale")
            assert code == 0 and "freeze 1 by" in out and "(sale), all" in out
            await world.kill_agent()
            await world.start_agent()
            await world.connected()
            for arguments in (("set", "limits.max_attempts=2"), ("restart",), ("drain",)):
                code, _, err = await world.command(*arguments)
                assert code == 3 and "cindersail freeze lift 1" in err, (arguments, err)
            code, out, _ = await world.command("set", "limits.max_attempts=2", "--dry-run")
            assert code == 0 and "2 instances would change" in out
            code, out, _ = await world.command("rollout", "undo", "1")
            assert code == 0, out
            code, _, err = await world.command("freeze", "lift", "7")
            assert code == 2 and "no freeze 7 is in force" in err
            assert (await world.command("freeze", "lift", "1"))[0] == 0
            code, out, _ = await world.command("freeze", "list")
            assert code == 0 and "lifted" in out
            code, out, err = await world.command("set", "limits.max_attempts=2", *quick)
            assert code == 0, (out, err)

    async def timed():
        async with asyncio.timeout(90):
            await main()

    asyncio.run(timed())
