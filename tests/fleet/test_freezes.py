"""Freezes: what they hold up, for whom, how long; over a death of the agent; as an operator types it."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from covetally.fleet.freezes import LISTED_S, Freezes
from covetally.fleet.selector import parse
from covetally.rig.managed import Managed
from covetally.rig.world import Shape


def test_a_freeze_holds_up_what_it_may_mean_until_it_lapses_or_is_lifted():
    freezes = Freezes()
    made = freezes.add("zone=a", 100.0, 60.0, "ann", "sale", "bob")
    assert freezes.find_blocking(parse("zone=a"), "carl", 100.0) == made
    assert freezes.find_blocking(parse(""), "carl", 159.0) == made
    assert freezes.find_blocking(parse("zone=b"), "carl", 100.0) is None
    assert freezes.find_blocking(parse("zone=a"), "bob", 100.0) is None
    assert freezes.find_blocking(parse("zone=a"), "ann", 100.0) == made  # who froze is held up as well
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
def test_against_a_plain_model_also_when_it_is_read_back_after_each_step(steps):
    freezes, now, model = Freezes(), 1000.0, {}
    for what, figure in steps:
        if what == "add":
            made = freezes.add("", now, float(figure), "ann", "", "")
            model[made.number] = now + figure
        elif what == "lift":
            number = figure % (len(model) + 1)
            assert (freezes.lift(number, now, "ann") is not None) is (model.get(number, 0.0) > now)
            model[number] = min(model.get(number, 0.0), now)
        else:
            now += figure
        freezes = Freezes(freezes.to_json())
        held = freezes.find_blocking(parse("zone=a"), "x", now) is not None
        assert held is any(end > now for end in model.values())


def test_an_operator_freezes_the_fleet_over_a_death_of_the_agent_and_goes_back_all_the_same():
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
            for words in (("set", "limits.max_attempts=2"), ("restart",), ("drain",)):
                code, _, err = await world.command(*words)
                assert code == 3 and "cindersail freeze lift 1" in err, (words, err)
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
