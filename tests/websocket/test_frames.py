"""Tests of the frame parser: a table of violations, and seeded random streams against a reference parser."""

from __future__ import annotations

import random
import struct

import pytest

from covetally.websocket import frames
from covetally.websocket.frames import (
    MAX_BUFFERED_FRAME,
    FrameParser,
    Limits,
    ProtocolViolation,
    encode_close,
    encode_control,
    parse_close,
    apply_mask,
)

LIMITS = Limits(100_000, 200_000)
MASK = b"\x11\x22\x33\x44"
SEED = 20_261_201  # printed with a failure


def frame(opcode: int, payload: bytes = b"", fin: bool = True, masked: bool = True, rsv: int = 0) -> bytes:
    """Encode a frame in the shortest form of section 5.2, independently of the module under test."""
    head, bit, size = bytes([(0x80 if fin else 0) | rsv | opcode]), 0x80 if masked else 0, len(payload)
    if size < 126:
        head += bytes([bit | size])
    elif size < 65536:
        head += struct.pack("!BH", bit | 126, size)
    else:
        head += struct.pack("!BQ", bit | 127, size)
    if not masked:
        return head + payload
    return head + MASK + bytes(b ^ MASK[i % 4] for i, b in enumerate(payload))


def parse_stream(data: bytes, limits: Limits = LIMITS, masked: bool = True) -> tuple[bytes, int | None]:
    """Return the forwarded bytes of a stream and the close code of its violation, if any."""
    parser = FrameParser(masked, limits)
    try:
        return b"".join(parser.feed(data).forward), None
    except ProtocolViolation as violation:
        return b"".join(violation.parsed.forward), violation.code


FAULTS = [
    ("an unknown opcode", frame(3), 1002),
    ("an unknown control opcode", frame(0xB), 1002),
    ("RSV1 without an extension", frame(1, b"x", rsv=0x40), 1002),
    ("RSV2", frame(1, b"x", rsv=0x20), 1002),
    ("RSV1 on a ping", frame(9, b"x", rsv=0x40), 1002),
    ("no mask", frame(1, b"x", masked=False), 1002),
    ("a ping of 126 bytes", frame(9, b"x" * 126), 1002),
    ("a fragmented ping", frame(9, b"x", fin=False), 1002),
    ("nothing to continue", frame(0, b"x"), 1002),
    ("a message within a message", frame(1, b"x", fin=False) + frame(2, b"y"), 1002),
    ("16 bits for 5 bytes", b"\x82\xfe\x00\x05" + MASK + b"12345", 1002),
    ("64 bits for 300 bytes", b"\x82\xff" + struct.pack("!Q", 300) + MASK, 1002),
    ("the top bit of 64", b"\x82\xff" + struct.pack("!Q", 1 << 63) + MASK, 1002),
    ("a frame that is too long", b"\x82\xff" + struct.pack("!Q", 100_001) + MASK, 1009),
    ("a message that is too long", frame(2, b"x" * 100_000, fin=False) * 1 + frame(0, b"x" * 100_000, fin=False)
     + frame(0, b"x"), 1009),
    ("half a close code", frame(8, b"\x03"), 1002),
    ("close code 999", frame(8, b"\x03\xe7"), 1002),
    ("close code 1005", frame(8, b"\x03\xed"), 1002),
    ("close code 1006", frame(8, b"\x03\xee"), 1002),
    ("close code 2999", frame(8, b"\x0b\xb7"), 1002),
    ("a reason that is not UTF-8", frame(8, b"\x03\xe8\xff"), 1007),
]  # fmt: skip


@pytest.mark.parametrize("name,data,code", FAULTS, ids=[fault[0] for fault in FAULTS])
def test_a_violation_has_its_close_code_and_the_preceding_frames_are_forwarded(name, data, code):
    before = frame(1, b"fine") + frame(9, b"p")
    got, found = parse_stream(before + data)
    assert found == code
    assert got.startswith(before)


@pytest.mark.parametrize("masked", [True, False])
def test_valid_streams_are_forwarded_byte_for_byte(masked):
    parts = [
        frame(1, b"", masked=masked), frame(2, b"x" * 125, masked=masked), frame(2, b"x" * 126, masked=masked),
        frame(2, b"x" * 65535, masked=masked), frame(2, b"x" * 65536, masked=masked),
        frame(1, b"a", fin=False, masked=masked), frame(9, b"in between", masked=masked),
        frame(0, b"b", fin=False, masked=masked), frame(0, b"c", masked=masked), frame(10, b"", masked=masked),
        frame(8, b"\x0f\xa0bye", masked=masked),
    ]  # fmt: skip
    data = b"".join(parts)
    assert parse_stream(data, masked=masked) == (data, None)


def test_only_agreed_extensions_may_set_reserved_bits():
    deflate, unknown = Limits(100, 100, rsv1=True), Limits(100, 100, rsv=True)
    assert parse_stream(frame(1, b"x", rsv=0x40), deflate)[1] is None
    assert parse_stream(frame(1, b"x", fin=False, rsv=0x40) + frame(0, b"y", rsv=0x40), deflate)[1] == 1002
    assert parse_stream(frame(1, b"x", rsv=0x60), deflate)[1] == 1002
    assert parse_stream(frame(9, b"x", rsv=0x70), unknown)[1] is None


def test_nothing_is_forwarded_after_a_close_frame():
    parser = FrameParser(True, LIMITS)
    bye = frame(8, b"\x03\xe8")
    got = parser.feed(bye + frame(1, b"more"))
    assert got.forward == [bye]
    assert got.close == (1000, "")
    assert parser.feed(frame(1, b"more")).forward == []


def test_a_pong_to_an_own_ping_is_reported_and_not_forwarded():
    parser = FrameParser(True, LIMITS)
    parser.own_pings.add(b"cs123456")
    a, b = frame(1, b"a"), frame(2, b"b")
    got = parser.feed(a + frame(10, b"cs123456") + b + frame(10, b"theirs"))
    assert b"".join(got.forward) == a + b + frame(10, b"theirs")
    assert got.pongs == [b"cs123456", b"theirs"]
    assert not parser.own_pings


def test_encoded_control_frames_can_be_parsed():
    for masked in (True, False):
        assert FrameParser(masked, LIMITS).feed(encode_close(1012, "ü" * 100, masked)).close == (1012, "ü" * 61)
        assert FrameParser(masked, LIMITS).feed(encode_control(frames.PONG, b"abc", masked)).pongs == [b"abc"]
    assert apply_mask(apply_mask(b"hello", MASK), MASK) == b"hello"
    assert parse_close(b"") == (frames.NO_STATUS_RECEIVED, "")


def _random_stream(rng: random.Random) -> bytes:
    """Return random frames, some of them invalid."""
    data, in_message = b"", False
    for _ in range(rng.randrange(1, 9)):
        size = (
            rng.choice((0, 1, 5, 125, 126, 300, MAX_BUFFERED_FRAME, MAX_BUFFERED_FRAME + 1, 40_000))
            if rng.random() < 0.9
            else 100_001
        )
        kind = rng.random()
        if kind < 0.25:
            data += frame(rng.choice((9, 10)), rng.randbytes(min(size, 125)), fin=rng.random() > 0.02)
        elif kind < 0.3:
            data += frame(8, rng.choice((b"", b"\x03\xe8", b"\x03", b"\x03\xe8ok", b"\x03\xee")))
        elif kind < 0.33:
            data += rng.randbytes(rng.randrange(1, 20))
        else:
            fin = rng.random() < 0.6
            opcode = 0 if in_message and rng.random() < 0.95 else rng.choice((1, 2))
            data += frame(opcode, rng.randbytes(size), fin, rsv=0x40 if rng.random() < 0.02 else 0)
            in_message = not fin
    return data


def _reference_parse(data: bytes) -> tuple[bytes, int | None]:
    """Return the forwarded bytes of a whole stream and the close code of its violation, according to section 5.
    Whole frames are forwarded, and the received part of a long frame that is cut off."""
    at, message, in_message = 0, 0, False
    while len(data) - at >= 1:
        first = data[at]
        opcode, fin = first & 15, bool(first & 128)
        if opcode not in (0, 1, 2, 8, 9, 10) or first & 0x70:
            return data[:at], 1002
        if opcode >= 8 and not fin or opcode < 8 and (opcode == 0) != in_message:
            return data[:at], 1002
        if len(data) - at < 2:
            break
        second = data[at + 1]
        size, begin = second & 127, at + 2
        if not second & 128 or (opcode >= 8 and size > 125):
            return data[:at], 1002
        for form, least, count in ((126, 126, 2), (127, 65536, 8)):
            if second & 127 == form:
                if len(data) < begin + count:
                    return data[:at], None
                size = int.from_bytes(data[begin : begin + count], "big")
                begin += count
                if size < least or size >= 1 << 63:
                    return data[:at], 1002
        if opcode < 8 and (size > LIMITS.frame or message + size > LIMITS.message):
            return data[:at], 1009
        begin += 4
        if len(data) < begin:
            break
        if len(data) < begin + size:
            return (data if size > MAX_BUFFERED_FRAME else data[:at]), None
        body = bytes(b ^ MASK[i % 4] for i, b in enumerate(data[begin : begin + size])) if opcode == 8 else b""
        if opcode == 8:
            mask = data[begin - 4 : begin]
            body = bytes(b ^ mask[i % 4] for i, b in enumerate(data[begin : begin + size]))
            code = int.from_bytes(body[:2], "big")
            known = code in (*range(1000, 1004), *range(1007, 1015), *range(3000, 5000))
            if len(body) == 1 or (body and not known):
                return data[:at], 1002
            try:
                body[2:].decode()
            except UnicodeDecodeError:
                return data[:at], 1007
            return data[: begin + size], None
        if opcode < 8:
            in_message, message = not fin, message + size if not fin else 0
        at = begin + size
    return data[:at], None


def test_any_stream_in_any_chunks_matches_the_reference_parser():
    rng = random.Random(SEED)
    faults = 0
    for number in range(1200):
        data = _random_stream(rng)
        parser, out, code = FrameParser(True, LIMITS), b"", None
        at = 0
        try:
            while at < len(data):
                step = rng.choice((1, 2, 7, 100, 5000, 70_000)) if len(data) < 2000 else rng.choice((700, 70_000))
                out += b"".join(parser.feed(data[at : at + step]).forward)
                at += step
        except ProtocolViolation as violation:
            out += b"".join(violation.parsed.forward)
            code = violation.code
        assert (out, code) == _reference_parse(data), (SEED, number)
        faults += code is not None
    assert 120 < faults < 1080, faults
