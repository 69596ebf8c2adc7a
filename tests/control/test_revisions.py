"""Handling of offered revisions: every row of the table, and invariants over any sequence of events."""

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


def revision_of(revision: int, **values) -> Revision:
    return Revision(revision, digest(values), values)


ONE, TWO = revision_of(1, a=1), revision_of(2, a=2)
DRAINED = Orders(7, draining=True)
PROBLEM = {"key": "a", "value": 9, "reason": "will not do", "remedy": ""}


def test_a_usable_revision_is_on_trial_and_then_good():
    state, action, result = revisions.offer(RevisionState(), ONE, [], [])
    assert (action, result.outcome) == (Action.APPLY, "took")
    assert state.in_force == ONE and state.good.revision == 0
    state = revisions.accept_trial(state)
    assert state.good == ONE and state.trial is None


def test_an_unusable_revision_is_refused_with_reasons_and_changes_nothing():
    state = RevisionState(good=ONE, pending=TWO)
    unchanged, action, result = revisions.offer(state, revision_of(3, a=9), [PROBLEM], [])
    assert (unchanged, action) == (state, Action.NONE)
    assert result.outcome == "refused" and result.errors == (PROBLEM,)


@pytest.mark.parametrize(
    "offered, key",
    [(replace(TWO, digest=ONE.digest), "digest"), (revision_of(0, a=7), "revision")],
    ids=["another digest", "older"],
)
def test_a_revision_with_a_wrong_digest_or_an_older_number_is_refused(offered, key):
    state = RevisionState(good=ONE)
    unchanged, action, result = revisions.offer(state, offered, [], [])
    assert (unchanged, action, result.outcome) == (state, Action.NONE, "refused")
    assert result.errors[0]["key"] == key


def test_the_revision_in_force_is_acknowledged_and_not_applied_again():
    state, action, result = revisions.offer(RevisionState(good=ONE), ONE, [], [])
    assert (state, action, result.outcome) == (RevisionState(good=ONE), Action.NONE, "took")
    state, action, result = revisions.offer(RevisionState(good=ONE), revision_of(5, a=1), [], [])
    assert (state.in_force.revision, action, result.outcome) == (5, Action.SAVE, "took")


def test_a_revision_that_needs_a_restart_is_pending_as_a_whole_and_can_be_revoked():
    state, action, result = revisions.offer(RevisionState(good=ONE), TWO, [], ["process.listen"])
    assert (action, result.outcome, result.keys) == (Action.SAVE, "needs_restart", ("process.listen",))
    assert state.in_force == ONE and state.pending == TWO
    assert revisions.offer(state, TWO, [], ["process.listen"])[1] is Action.NONE
    revoked, action, result = revisions.offer(state, revision_of(3, a=1), [], [])
    assert (revoked.pending, action, result.outcome) == (None, Action.SAVE, "took")


def test_a_pending_revision_is_tried_at_the_next_start_and_dropped_after_a_crash():
    started = revisions.on_start(RevisionState(good=ONE, pending=TWO))
    assert (started.in_force, started.good) == (TWO, ONE)
    crashed = revisions.on_start(started)
    assert (crashed.in_force, crashed.failed) == (ONE, TWO) and "ended soon" in crashed.reason
    assert revisions.on_start(replace(crashed, pending=TWO)).in_force == ONE, "a failed revision was tried again"


def test_revisions_that_became_unusable_are_dropped():
    state = revisions.reject_in_force(RevisionState(good=ONE, trial=TWO), "no such class")
    assert (state.in_force, state.failed, state.reason) == (ONE, TWO, "no such class")
    state = revisions.reject_in_force(state, "nor this")
    assert state.in_force.revision == 0 and state.failed == ONE


OFFERS = st.tuples(
    st.just("offer"), st.integers(0, 6), st.integers(0, 3), st.sampled_from(["ok", "bad", "restart"])
)
EVENTS = st.one_of(OFFERS, st.tuples(st.sampled_from(["start", "proven", "reload"])))


@profile(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.lists(EVENTS, max_size=30))
def test_the_last_good_revision_is_never_lost_and_no_revision_is_partly_applied(events):
    state, running = RevisionState(), digest({})
    for event in events:
        before = state
        if event[0] == "offer":
            _, revision, value, kind = event
            offered = revision_of(revision, a=value)
            problems = [PROBLEM] if kind == "bad" else []
            state, action, result = revisions.offer(state, offered, problems, ["k"] if kind == "restart" else [])
            if action is Action.APPLY:
                running = offered.digest
                assert state.good == before.in_force, "the revision that was in force was not kept"
            if result.outcome == "refused":
                assert state == before
            if result.outcome == "took":
                assert running == offered.digest
            if action is Action.NONE:
                assert state == before
        elif event[0] == "start":
            state = revisions.on_start(state)
            running = state.in_force.digest
        elif event[0] == "proven":
            state = revisions.accept_trial(state)
        else:
            state = revisions.from_dict(json.loads(json.dumps(revisions.to_dict(state))))
            assert state == before, "the state changed when it was saved and loaded"
        assert running == state.in_force.digest
        assert state.in_force.revision >= 0


# --- state file -----------------------------------------------------------------------------------


def test_an_interrupted_write_keeps_the_previous_state(tmp_path):
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
def test_a_damaged_file_is_rejected(tmp_path, text):
    path = tmp_path / "keep.json"
    path.write_text(text)
    with pytest.raises(ValueError):
        state_file.read(path)


# --- frames ---------------------------------------------------------------------------------------


@given(st.lists(st.sampled_from(["seen", "x" * 300, "é"]), max_size=8), st.integers(1, 40))
def test_messages_are_decoded_whatever_the_size_of_the_chunks(names, size):
    data = b"".join(encode({"t": name}) for name in names)
    decoder, decoded = Decoder(), []
    for at in range(0, len(data), size):
        decoded += decoder.feed(data[at : at + size])
    assert [m["t"] for m in decoded] == names


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
def test_invalid_data_raises_protocol_error(data):
    with pytest.raises(ProtocolError):
        Decoder().feed(data)


def test_an_oversized_frame_is_not_encoded():
    with pytest.raises(ProtocolError):
        encode({"t": "x", "text": "y" * 2_000_000})


def test_the_highest_common_version_is_picked_or_an_error_raised():
    assert pick_version([1, 7, "x"]) == 1
    with pytest.raises(ProtocolError):
        pick_version([7])


def test_the_digest_does_not_depend_on_the_order_of_the_settings():
    assert digest({"a": 1, "b": 2}) == digest({"b": 2, "a": 1}) != digest({"a": 1, "b": 3})


# --- reconnect backoff ----------------------------------------------------------------------------


def test_delays_double_up_to_a_limit_and_are_random():
    backoff = ReconnectBackoff(0.5, 8.0)
    assert [backoff.next_delay(1.0) for _ in range(6)] == [0.5, 1.0, 2.0, 4.0, 8.0, 8.0]
    assert backoff.next_delay(0.0) == 4.0
    backoff.record_uptime(2.0)
    assert backoff.next_delay(1.0) == 8.0, "a short connection reset the backoff"
    backoff.record_uptime(10.0)
    assert backoff.next_delay(1.0) == 0.5
