"""The frame of gossip messages, malformed datagrams, and which message of a sender is kept."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.gossip import LatestMessages, MalformedMessageError, Message, Topic, decode, encode, first_sequence
from covetally.gossip.latest import INCARNATION_TIMEOUT_NS

SECOND = 1_000_000_000
messages = st.builds(
    Message, st.sampled_from(Topic), st.integers(0, 65535), st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1),
    st.binary(max_size=243),
)  # fmt: skip


@given(messages)
def test_an_encoded_message_decodes_to_itself(message):
    assert decode(encode(message)) == message
    assert len(encode(message)) <= 256


@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_to_a_message_or_raise_malformed_message_error(data):
    try:
        assert encode(decode(data))[2:] == data[2:]
    except MalformedMessageError as error:
        assert error.message and error.remedy


def test_body_that_is_too_long_is_rejected():
    with pytest.raises(MalformedMessageError):
        encode(Message(Topic.OVERLOAD, 1, 2, 3, b"x" * 244))


def record(latest: LatestMessages[str], now: int, incarnation: int, sequence: int, content: str) -> bool:
    return latest.record(now, Message(Topic.OVERLOAD, 1, incarnation, sequence, b""), content)


def test_higher_sequence_wins_within_an_incarnation_and_the_later_one_of_two_incarnations():
    latest: LatestMessages[str] = LatestMessages(0, SECOND)
    assert record(latest, 0, incarnation=7, sequence=10, content="a")
    assert not record(latest, 1, 7, 10, "repeated")
    assert not record(latest, 1, 7, 9, "reordered")
    assert record(latest, 2, 8, 500, "next incarnation")
    assert not record(latest, 3, 7, 11, "of the ended incarnation")
    assert list(latest.unexpired(3)) == [(1, "next incarnation", 2)]
    assert list(latest.unexpired(2 + SECOND)) == []


def test_late_message_of_an_unknown_ended_incarnation_does_not_shut_out_the_running_one():
    latest: LatestMessages[str] = LatestMessages(0, SECOND)
    assert record(latest, 0, 8, 500, "running")
    assert not record(latest, 1, 7, 11, "ended, and five seconds in transit")
    assert record(latest, 2, 8, 501, "still running")


def test_lower_sequence_after_a_reboot_is_accepted_once_the_old_incarnation_has_timed_out():
    latest: LatestMessages[str] = LatestMessages(0, SECOND)
    record(latest, 0, 8, 10**6, "before")
    assert not record(latest, SECOND, 9, 3, "after")
    assert record(latest, INCARNATION_TIMEOUT_NS, 9, 4, "after")


def test_sequence_of_an_incarnation_starts_above_that_of_the_one_before():
    start, messages_per_s = 5 * SECOND, 900
    last = first_sequence(start) + 2 * messages_per_s
    assert first_sequence(start + 2 * SECOND) > last
