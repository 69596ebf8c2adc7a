"""What a holder and a home of a cap's units tell each other, as the body of a frame. Big-endian.

bytes  ask: 1, grant: 2, recall: 3, query: 4
1      which
4      mark of the cap
4      number of the ask (grant: of the ask that it answers)
4      grant, recall, query: the home's life
2      ask: units held of this home      grant: units lent in all      recall: units to give back
2      ask: units wanted besides         grant: ask again after so many 10 ms, if more is wanted
                                         recall: 1 where busy ones go too
2      ask: units that rest              -
2      ask: for how long, 100 ms each    -
"""

from __future__ import annotations

import enum
from struct import Struct, error
from typing import NamedTuple

from covetally.gossip import MalformedMessageError

BODY = Struct(">BIIIHHHH")
MOST = 65535


class Kind(enum.IntEnum):
    """Which."""

    ASK = 1
    GRANT = 2
    RECALL = 3
    QUERY = 4


class Say(NamedTuple):
    """One message; see the table. `first` to `fourth` are its last four figures."""

    kind: Kind
    mark: int
    number: int
    life: int = 0
    first: int = 0
    second: int = 0
    third: int = 0
    fourth: int = 0


def encode(say: Say) -> bytes:
    """The body for a message."""
    return BODY.pack(*say[:4], *(min(MOST, figure) for figure in say[4:]))


def decode(body: bytes) -> Say:
    """The message in a body; MalformedMessageError if there is none."""
    try:
        kind, *rest = BODY.unpack_from(body)
        return Say(Kind(kind), *rest)
    except (error, ValueError) as damage:
        raise MalformedMessageError(str(damage)) from None
