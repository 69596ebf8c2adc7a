"""Frames byte for byte, damage, and whose word holds."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.words import BadWord, Newest, Part, Word, decode, encode, first_number
from covetally.words.newest import OLD_NS

SECOND = 1_000_000_000
words = st.builds(
    Word, st.sampled_from(Part), st.integers(0, 65535), st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1),
    st.binary(max_size=243),
)  # fmt: skip


@given(words)
def test_a_word_comes_back_as_it_was(word):
    assert decode(encode(word)) == word
    assert len(encode(word)) <= 256


@given(st.binary(max_size=300))
def test_bytes_are_a_word_or_damaged_and_nothing_else(data):
    try:
        assert encode(decode(data))[2:] == data[2:]
    except BadWord as error:
        assert error.message and error.remedy


def test_a_body_that_is_too_long_is_refused():
    with pytest.raises(BadWord):
        encode(Word(Part.LINE, 1, 2, 3, b"x" * 244))


def heard(newest: Newest[str], now: int, life: int, number: int, what: str) -> bool:
    return newest.heard(now, Word(Part.LINE, 1, life, number, b""), what)


def test_of_one_life_the_higher_number_holds_and_of_two_the_later():
    newest: Newest[str] = Newest(0, SECOND)
    assert heard(newest, 0, life=7, number=10, what="a")
    assert not heard(newest, 1, 7, 10, "again")
    assert not heard(newest, 1, 7, 9, "late")
    assert heard(newest, 2, 8, 500, "the next life")
    assert not heard(newest, 3, 7, 11, "of the life that ended")
    assert list(newest.fresh(3)) == [(1, "the next life", 2)]
    assert list(newest.fresh(2 + SECOND)) == []


def test_a_late_word_of_a_life_never_heard_before_does_not_shut_out_the_one_that_runs():
    newest: Newest[str] = Newest(0, SECOND)
    assert heard(newest, 0, 8, 500, "runs")
    assert not heard(newest, 1, 7, 11, "ended, and five seconds on its way")
    assert heard(newest, 2, 8, 501, "runs on")


def test_after_a_reboot_numbers_begin_below_and_are_taken_once_the_old_ones_are_long_past():
    newest: Newest[str] = Newest(0, SECOND)
    heard(newest, 0, 8, 10**6, "before")
    assert not heard(newest, SECOND, 9, 3, "after")
    assert heard(newest, OLD_NS, 9, 4, "after")


def test_the_numbers_of_a_life_begin_above_those_of_the_one_before():
    start, words_a_second = 5 * SECOND, 900
    last = first_number(start) + 2 * words_a_second
    assert first_number(start + 2 * SECOND) > last
