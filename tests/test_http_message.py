"""Tests of the incremental parser: what it holds of an incomplete head, and that pieces change nothing."""

from __future__ import annotations

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.net.http_message import MAX_FIELDS, End, MessageParser, RequestHead

TOKENS = st.text("abcXYZ-!", min_size=1, max_size=12)
VALUES = st.text("ab: ;=,\t\"'", max_size=20)


def parse(pieces: list[bytes]) -> list:
    parser = MessageParser(httptools.HttpRequestParser)
    for piece in pieces:
        parser.feed(piece)
    assert parser.error is None
    return list(parser.parts)


@given(st.lists(st.tuples(TOKENS, VALUES), max_size=12), st.lists(st.integers(1, 200), max_size=8))
def test_a_head_in_pieces_is_the_same_as_in_one(headers, cuts):
    lines = "".join(f"{name}:{value}\r\n" for name, value in headers)
    data = f"GET /api?sid=k HTTP/1.1\r\nHost: a\r\n{lines}\r\n".encode()
    at = [0, *sorted({min(cut, len(data)) for cut in cuts}), len(data)]
    whole = parse([data])
    assert parse([data[start:end] for start, end in zip(at, at[1:], strict=False)]) == whole
    assert isinstance(whole[0], RequestHead) and whole[1] is End.MESSAGE
    assert [name for name, _ in whole[0].headers[1:]] == [name.lower().encode() for name, _ in headers]


@pytest.mark.parametrize("size", [1, 7, 1_500])
def test_an_incomplete_head_holds_little_more_than_its_bytes(size):
    data = b"GET / HTTP/1.1\r\n" + b"ab:cd\r\n" * (MAX_FIELDS - 1)
    parser = MessageParser(httptools.HttpRequestParser)
    for at in range(0, len(data), size):
        parser.feed(data[at : at + size])
    assert parser.error is None and not parser.parts
    assert len(data) <= parser.held <= 3 * len(data)
    assert not parser._headers, "headers as objects"
    parser.release()
    assert not parser._packed
