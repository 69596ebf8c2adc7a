"""Binary format of the messages between lease holders and owners of a cap's units.

Each is the body of a gossip message (covetally/gossip/frame.py). All integers are unsigned and big-endian.

    offset  bytes  content
    ------  -----  -------
    0       1      kind: 1 request, 2 grant, 3 recall, 4 query
    1       4      wire id of the cap
    5       4      request: its number; grant: number of the request that it answers; recall, query: 0
    9       4      request: 0; grant, recall, query: incarnation of the owner, as in the frame
    13      2      request: units held of this owner; grant: units lent in all; recall: units to return; query: 0
    15      2      request: units wanted besides; grant: delay in 10 ms until more may be requested;
                   recall: 1 if units in use have to be returned too, else 0; query: 0
    17      2      request: idle connections; else 0
    19      2      request: how long the longest of them has been idle, in 100 ms; else 0

Values above 65535 in the last four fields are sent as 65535.
"""

from __future__ import annotations

import enum
from struct import Struct, error
from typing import NamedTuple

from covetally.gossip import MalformedMessageError

BODY = Struct(">BIIIHHHH")
MAX_UINT16 = 65535


class MessageKind(enum.IntEnum):
    """The kinds of messages; the values are sent."""

    REQUEST = 1
    GRANT = 2
    RECALL = 3
    QUERY = 4


class CapsMessage(NamedTuple):
    """One message; the table above says what its fields mean in each kind."""

    kind: MessageKind
    wire_id: int
    number: int
    incarnation: int = 0
    units: int = 0
    detail: int = 0
    idle: int = 0
    idle_time: int = 0


def encode(message: CapsMessage) -> bytes:
    """Return the body for a message."""
    return BODY.pack(*message[:4], *(min(MAX_UINT16, value) for value in message[4:]))


def decode(body: bytes) -> CapsMessage:
    """Parse a body; raises MalformedMessageError if it is too short or of an unknown kind."""
    try:
        kind, *values = BODY.unpack_from(body)
        return CapsMessage(MessageKind(kind), *values)
    except (error, ValueError) as damage:
        raise MalformedMessageError(str(damage)) from None
