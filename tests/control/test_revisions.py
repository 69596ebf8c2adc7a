"""What a sidecar does with a revision: every row of the table, and what must hold over any sequence."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from covetally.control import revisions, state_file
from covetally.control.state_file import SavedState
from covetally.control.orders import Orders
from covetally.control.protocol import Decoder, ProtocolError, digest, encode, pick_version
from covetally.control.reconnect import ReconnectBackoff
from covetally.control.revisions import Action, Revision, RevisionState


def held(revision: int, **values) -> Revision:
    return Revision(revision, digest(values), values)


ONE, TWO = held(1, a=1), held(2, a=2)
DRAINED = Orders(7, draining=True)
PROBLEM = {"key": "a", "value": 9, "reason": "will not do", "remedy": ""}


def test_what_can_be_used_is_on_trial_and_then_good():
    memory, step, reply = revisions.offer(RevisionState(), ONE, [], [])
    assert (step, reply.outcome) == (Action.APPLY, "took")
    assert memory.in_force == ONE and memory.good.revision == 0
    memory = revisions.accept_trial(memory)
    assert memory.good == ONE and memory.trial is None


def test_what_cannot_be_used_changes_nothing_and_says_why():
    memory = RevisionState(good=ONE, pending=TWO)
    again, step, reply = revisions.offer(memory, held(3, a=9), [PROBLEM], [])
    assert (again, step) == (memory, Action.NONE)
    assert reply.outcome == "refused" and reply.errors == (PROBLEM,)


@pytest.mark.parametrize(
    "offered, key",
    [(replace(TWO, digest=ONE.digest), "digest"), (held(0, a=7), "revision")],
    ids=["another digest", "older"],
)
def test_what_is_not_what_it_says_or_is_older_is_refused(offered, key):
    memory = RevisionState(good=ONE)
    again, step, reply = revisions.offer(memory, offered, [], [])
    assert (again, step, reply.outcome) == (memory, Action.NONE, "refused")
    assert reply.errors[0]["key"] == key


def test_what_is_in_force_is_took_and_not_applied_again():
    memory, step, reply = revisions.offer(RevisionState(good=ONE), ONE, [], [])
    assert (memory, step, reply.outcome) == (RevisionState(good=ONE), Action.NONE, "took")
    memory, step, reply = revisions.offer(RevisionState(good=ONE), held(5, a=1), [], [])
    assert (memory.in_force.revision, step, reply.outcome) == (5, Action.SAVE, "took")


def test_what_takes_a_restart_waits_whole_and_can_be_taken_back():
    memory, step, reply = revisions.offer(RevisionState(good=ONE), TWO, [], ["process.listen"])
    assert (step, reply.outcome, reply.keys) == (Action.SAVE, "needs_restart", ("process.listen",))
    assert memory.in_force == ONE and memory.pending == TWO
    assert revisions.offer(memory, TWO, [], ["process.listen"])[1] is Action.NONE
    back, step, reply = revisions.offer(memory, held(3, a=1), [], [])
    assert (back.pending, step, reply.outcome) == (None, Action.SAVE, "took")


def test_what_waited_is_tried_at_the_next_start_and_out_after_one_that_failed():
    started = revisions.on_start(RevisionState(good=ONE, pending=TWO))
    assert (started.in_force, started.good) == (TWO, ONE)
    died = revisions.on_start(started)
    assert (died.in_force, died.failed) == (ONE, TWO) and "ended soon" in died.reason
    assert revisions.on_start(replace(died, pending=TWO)).in_force == ONE, "it is not tried twice by itself"


def test_what_the_platform_no_longer_lets_be_used_is_out():
    memory = revisions.reject_in_force(RevisionState(good=ONE, trial=TWO), "no such class")
    assert (memory.in_force, memory.failed, memory.reason) == (ONE, TWO, "no such class")
    memory = revisions.reject_in_force(memory, "nor this")
    assert memory.in_force.revision == 0 and memory.failed == ONE


OFFERS = st.tuples(
    st.just("offer"), st.integers(0, 6), st.integers(0, 3), st.sampled_from(["ok", "bad", "restart"])
)
EVENTS = st.one_of(OFFERS, st.tuples(st.sampled_from(["start", "proven", "reload"])))


@profile(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.lists(EVENTS, max_size=30))
def test_the_last_good_one_is_never_lost_and_nothing_is_half_applied(events):
    memory, running = RevisionState(), digest({})
    for event in events:
        before = memory
        if event[0] == "offer":
            _, revision, value, kind = event
            offered = held(revision, a=value)
            problems = [PROBLEM] if kind == "bad" else []
            memory, step, reply = revisions.offer(memory, offered, problems, ["k"] if kind == "restart" else [])
            if step is Action.APPLY:
                running = offered.digest
                assert memory.good == before.in_force, "what was in force before is kept"
            if reply.outcome == "refused":
                assert memory == before
            if reply.outcome == "took":
                assert running == offered.digest
            if step is Action.NONE:
                assert memory == before
        elif event[0] == "start":
            memory = revisions.on_start(memory)
            running = memory.in_force.digest
        elif event[0] == "proven":
            memory = revisions.accept_trial(memory)
        else:
            memory = revisions.from_dict(json.loads(json.dumps(revisions.to_dict(memory))))
            assert memory == before, "what is written is what is read"
        assert running == memory.in_force.digest
        assert memory.in_force.revision >= 0


# --- the file -------------------------------------------------------------------------------------


def test_a_write_that_was_cut_off_leaves_what_was_there(tmp_path):
    path = tmp_path / "keep.json"
    assert state_file.read(path) == SavedState()
    state_file.write(path, SavedState(RevisionState(good=ONE), DRAINED))
    (tmp_path / "keep.json.new").write_text('{"format": 1, "goo')
    assert state_file.read(path) == SavedState(RevisionState(good=ONE), DRAINED)
    state_file.write(path, SavedState(RevisionState(good=ONE, trial=TWO)))
    assert state_file.read(path).revision_state.in_force == TWO


@pytest.mark.parametrize(
    "text",
    ["", "[]", "{", '{"format": 2}', json.dumps(revisions.to_dict(RevisionState(good=replace(ONE, digest="x"))))],
)
def test_a_file_that_is_spoilt_is_said_to_be(tmp_path, text):
    path = tmp_path / "keep.json"
    path.write_text(text)
    with pytest.raises(ValueError):
        state_file.read(path)


# --- frames ---------------------------------------------------------------------------------------


@given(st.lists(st.sampled_from(["seen", "x" * 300, "é"]), max_size=8), st.integers(1, 40))
def test_messages_come_whole_in_any_cut(names, size):
    data = b"".join(encode({"t": name}) for name in names)
    decoder, got = Decoder(), []
    for at in range(0, len(data), size):
        got += decoder.feed(data[at : at + size])
    assert [m["t"] for m in got] == names


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x02{]",
        b"\x00\x00\x00\x02[]",
        b"\x00\x00\x00\x07" + b'{"t":1}',
        encode({"t": "deny"}),
        encode({"t": "ask", "id": True, "what": "x"}),
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_what_is_no_message_is_an_error(data):
    with pytest.raises(ProtocolError):
        Decoder().feed(data)


def test_a_frame_that_is_too_long_is_not_sent():
    with pytest.raises(ProtocolError):
        encode({"t": "x", "text": "y" * 2_000_000})


def test_versions_are_agreed_on_or_not():
    assert pick_version([1, 7, "x"]) == 1
    with pytest.raises(ProtocolError):
        pick_version([7])


def test_the_same_settings_have_one_digest_whatever_their_order():
    assert digest({"a": 1, "b": 2}) == digest({"b": 2, "a": 1}) != digest({"a": 1, "b": 3})


# --- dialling again -------------------------------------------------------------------------------


def test_pauses_double_up_to_a_cap_and_differ_from_one_to_the_next():
    redial = ReconnectBackoff(0.5, 8.0)
    assert [redial.next_delay(1.0) for _ in range(6)] == [0.5, 1.0, 2.0, 4.0, 8.0, 8.0]
    assert redial.next_delay(0.0) == 4.0
    redial.record_uptime(2.0)
    assert redial.next_delay(1.0) == 8.0, "a link that breaks at once ends no row"
    redial.record_uptime(10.0)
    assert redial.next_delay(1.0) == 0.5
