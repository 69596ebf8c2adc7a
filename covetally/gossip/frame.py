"""The frame of a word, byte by byte. Big-endian.

offset  bytes  what
0       1      0x57, so that it is told apart from the tier's messages (0x54) and the balancer's rumours (8
bytes) 1       1      version of this table: 1. A newer one may add bytes at the end of a body 2       1
part: 1 overload line, 2 connection caps 3       2      sender, by its number in the list of peers 5       4
sender's life: random at each start 9       4      number of the word in that life 13      to 243 body, as
its part has it
"""

from __future__ import annotations

import enum
from struct import Struct, error
from typing import NamedTuple

from covetally.errors import DamagedError

MARK, VERSION = 0x57, 1
MOST_BYTES = 256
HEAD = Struct(">BBBHII")
MOST_BODY = MOST_BYTES - HEAD.size


class BadWord(DamagedError):
    """Bytes that are no word of this table."""

    code = "word-damaged"
    remedy = "See that all sidecars of the tier run versions that speak with each other; it is dropped meanwhile."


class Part(enum.IntEnum):
    """What a word is about."""

    LINE = 1
    CAPS = 2


class Word(NamedTuple):
    """One word. The shell checks that `sender` is whose address it came from."""

    part: Part
    sender: int
    life: int
    number: int
    body: bytes


def encode(word: Word) -> bytes:
    """The datagram for a word; BadWord if its body is too long."""
    if len(word.body) > MOST_BODY:
        raise BadWord(f"a body of {len(word.body)} bytes, {MOST_BODY} at most")
    return HEAD.pack(MARK, VERSION, word.part, word.sender, word.life, word.number % 2**32) + word.body


def decode(data: bytes) -> Word:
    """The word in a datagram; BadWord if it is none."""
    if len(data) > MOST_BYTES:
        raise BadWord(f"{len(data)} bytes, {MOST_BYTES} at most")
    try:
        mark, version, part, sender, life, number = HEAD.unpack_from(data)
        if mark != MARK or version < VERSION:
            raise BadWord("not of this table")
        return Word(Part(part), sender, life, number, data[HEAD.size :])
    except (error, ValueError) as damage:
        raise BadWord(str(damage)) from None
