"""Preflight: the summary of answers and the limited wait for them; also the layer that undoes a change."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from covetally.fleet import preflight
from covetally.fleet.document import Document, reverted_layer
from covetally.fleet.selector import parse

PROBLEM = {"key": "k", "reason": "no", "value": 1, "remedy": ""}


def test_answers_are_counted_as_accepting_refused_or_unknown():
    found = preflight.summarize({
        "a": {"problems": [], "restart": []}, "b": {"problems": [PROBLEM], "restart": []},
        "c": {"problems": [], "restart": ["process.backlog"]}, "d": {"error": "not connected"}, "e": None,
        "f": {"problems": "odd"},
    })  # fmt: skip
    assert found.accepting == 2 and found.refused == {"b": "k: no"}
    assert found.restart == {"c": ["process.backlog"]}
    assert sorted(found.unknown) == ["d", "e", "f"] and found.unknown["d"] == "not connected"
    assert "1 would refuse it (b: k: no)" in found.text()


ANSWERS = st.dictionaries(
    st.sampled_from(["problems", "restart", "error"]), st.none() | st.lists(st.integers() | st.text())
)


@given(st.dictionaries(st.text(max_size=5), st.none() | st.integers() | st.text() | ANSWERS))
def test_each_answer_is_counted_once_whatever_it_contains(answers):
    found = preflight.summarize(answers)
    assert found.accepting + len(found.refused) + len(found.unknown) == len(answers)


def test_instances_that_do_not_answer_in_time_are_unknown_and_the_others_are_counted():
    async def ask(name: str):
        if name == "silent":
            await asyncio.Event().wait()
        if name == "breaks":
            raise RuntimeError("a bug")
        return {"problems": [], "restart": []}

    names = ["silent", "breaks", *(f"i{n}" for n in range(600))]
    found = preflight.summarize(asyncio.run(preflight.ask_all(names, ask, 0.5)))
    assert found.accepting == 600 and sorted(found.unknown) == ["breaks", "silent"]
    assert preflight.summarize(asyncio.run(preflight.ask_all([], ask, 0.5))).accepting == 0


LAYERS = st.dictionaries(st.sampled_from("abcd"), st.integers(0, 2))


@given(LAYERS, LAYERS, LAYERS)
def test_undoing_a_change_keeps_the_changes_of_others(parent, mine, theirs):
    """Compares with a simple model: the keys that `mine` changed are as before it, all others as in the head."""
    all_instances = parse("")
    documents = [Document().with_layer(all_instances, layer) for layer in (parent, mine, theirs)]
    layer = reverted_layer(documents[2], documents[1], documents[0], all_instances)
    for key in "abcd":
        changed = parent.get(key) != mine.get(key)
        assert layer.get(key) == (parent if changed else theirs).get(key)
