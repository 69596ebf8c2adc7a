"""Binary format of a gossip message: one message in one datagram. All integers are unsigned and big-endian.

offset  bytes     content
------  -----     -------
0       1         magic number 0x57; tier messages begin with 0x54, the balancer's rumours have 8 bytes
1       1         version of this format: 1; a higher version may append bytes to the body
2       1         topic: 1 overload control, 2 connection caps
3       2         sender: its index in the list of peers
5       4         incarnation of the sender: random at each start of its process
9       4         sequence number of the message within that incarnation, modulo 2**32
13      0 to 243  body, in the format of its topic
"""

from __future__ import annotations

import enum
from struct import Struct, error
from typing import NamedTuple

from covetally.errors import DamagedError

MAGIC, VERSION = 0x57, 1
MAX_FRAME_BYTES = 256
HEADER = Struct(">BBBHII")
MAX_BODY_BYTES = MAX_FRAME_BYTES - HEADER.size


class MalformedMessageError(DamagedError):
    """A datagram or its body is not a valid gossip message.

    Raised by `decode` for a datagram that is not a gossip message, by `encode` for a body that is too long, and
    by participants for a body that they cannot parse. The paragraph above and the remedy are printed in
    docs/operators/errors.md (see covetally/errors/page.py).
    """

    code = "word-damaged"
    remedy = "Check that all sidecars of the tier run compatible versions; the message is dropped."


class Topic(enum.IntEnum):
    """Identifies the participant that a message is for."""

    OVERLOAD = 1
    CAPS = 2


class Message(NamedTuple):
    """One gossip message. The transport checks that `sender` matches the address it was received from."""

    topic: Topic
    sender: int
    incarnation: int
    sequence: int
    body: bytes


def encode(message: Message) -> bytes:
    """Return the datagram for a message; raises MalformedMessageError if its body is too long."""
    if len(message.body) > MAX_BODY_BYTES:
        raise MalformedMessageError(f"body has {len(message.body)} bytes, at most {MAX_BODY_BYTES} are allowed")
    return HEADER.pack(
        MAGIC, VERSION, message.topic, message.sender, message.incarnation, message.sequence % 2**32
    ) + message.body  # fmt: skip


def decode(data: bytes) -> Message:
    """Parse a datagram; raises MalformedMessageError if it is not a gossip message."""
    if len(data) > MAX_FRAME_BYTES:
        raise MalformedMessageError(f"{len(data)} bytes in a datagram, at most {MAX_FRAME_BYTES} are allowed")
    try:
        magic, version, topic, sender, incarnation, sequence = HEADER.unpack_from(data)
        if magic != MAGIC or version < VERSION:
            raise MalformedMessageError("wrong magic number or version")
        return Message(Topic(topic), sender, incarnation, sequence, data[HEADER.size :])
    except (error, ValueError) as damage:
        raise MalformedMessageError(str(damage)) from None
