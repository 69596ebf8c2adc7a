"""A member's word on the line, as the body of a frame (covetally/words). Big-endian.

bytes  what
1      rung that it stands on
1      rung that an operator has pinned here, 255: none
2      weight: outcomes in the last half second
2      ratio of the load to where the line moves, in hundredths
2      requests let in, in the last half second
2      requests served
2      echo: a sender whose word was heard of late (65535: none),
2      the last two bytes of that word's number,
1      and how long ago it was heard, 20 ms each
1      tenants that follow, 32 at most
3 each tenant 1, requests asked 2
"""

from __future__ import annotations

from struct import Struct, error
from typing import NamedTuple

from covetally.overload.levels import LAST
from covetally.overload.load import Seen
from covetally.words import BadWord

HEAD = Struct(">BBHHHHHHBB")
TENANT = Struct(">BH")
MOST_TENANTS = 32
NO_PIN = 255
MOST = 65535
HELD_NS = 20_000_000


class Echo(NamedTuple):
    """Whose word was heard, the end of its number, and how long before this one was said, in ns: so that its
    sender learns how long words are on their way."""

    sender: int
    number: int
    held_ns: int


class LineWord(NamedTuple):
    """What a member says: where it stands, and why."""

    rung: int
    pin: int
    seen: Seen
    echo: Echo | None = None


def encode(word: LineWord) -> bytes:
    """The body for a word; tenants past the most are left out, the busiest kept."""
    seen = word.seen
    tenants = sorted(seen.tenants, key=lambda pair: -pair[1])[:MOST_TENANTS]
    tenants = [(tenant, asked) for tenant, asked in tenants if tenant < 256]
    return HEAD.pack(
        word.rung, NO_PIN if word.pin < 0 else word.pin,
        min(seen.weight, MOST), min(round(seen.ratio * 100), MOST),
        min(seen.admitted, MOST), min(seen.served, MOST), *_echo(word.echo), len(tenants),
    ) + b"".join(TENANT.pack(tenant, min(asked, MOST)) for tenant, asked in tenants)  # fmt: skip


def _echo(echo: Echo | None) -> tuple[int, int, int]:
    if echo is None:
        return MOST, 0, 0
    return echo.sender, echo.number, min(255, echo.held_ns // HELD_NS)


def decode(body: bytes) -> LineWord:
    """The word in a body; BadWord if there is none, or a figure is out of range."""
    try:
        rung, pin, weight, ratio, admitted, served, *echoed, count = HEAD.unpack_from(body)
        tenants = tuple(TENANT.unpack_from(body, HEAD.size + i * TENANT.size) for i in range(count))
    except error as damage:
        raise BadWord(str(damage)) from None
    if rung > LAST or count > MOST_TENANTS or (pin > LAST and pin != NO_PIN):
        raise BadWord("a figure out of range")
    echo = None if echoed[0] == MOST else Echo(echoed[0], echoed[1], echoed[2] * HELD_NS)
    seen = Seen(weight, ratio / 100, admitted, served, tenants)
    return LineWord(rung, -1 if pin == NO_PIN else pin, seen, echo)
