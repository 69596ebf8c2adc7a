"""A member's overload message: the body of a gossip message (covetally/gossip). All numbers are big-endian.

bytes  content
1      the member's level
1      the level that an operator has pinned here; 255: none
2      weight: outcomes in the last half second
2      load ratio, in hundredths
2      requests admitted in the last half second
2      requests served
2      echo: the sender of the last message received; 65535: none
2      the low two bytes of that message's sequence number
1      the time since it was received, in units of 20 ms
1      number of tenants that follow, at most 32
3 per  tenant (1 byte) and its requests (2 bytes)
tenant
"""

from __future__ import annotations

from struct import Struct, error
from typing import NamedTuple

from covetally.overload.levels import MAX_LEVEL
from covetally.overload.load import LoadSample
from covetally.gossip import MalformedMessageError

HEAD = Struct(">BBHHHHHHBB")
TENANT = Struct(">BH")
MAX_TENANTS = 32
NO_PIN = 255
MAX_UINT16 = 65535
ECHO_UNIT_NS = 20_000_000


class Echo(NamedTuple):
    """The sender and sequence number of the last message received, and how long before this one, in ns.

    Its sender calculates from it how long messages take.
    """

    sender: int
    sequence: int
    held_ns: int


class ThresholdMessage(NamedTuple):
    """A member's level, its pinned level (-1: none) and its load sample."""

    level: int
    pin: int
    sample: LoadSample
    echo: Echo | None = None


def encode(message: ThresholdMessage) -> bytes:
    """Return the body for a message, with the MAX_TENANTS tenants that have the most requests."""
    sample = message.sample
    tenants = sorted(sample.tenants, key=lambda pair: -pair[1])[:MAX_TENANTS]
    tenants = [(tenant, requests) for tenant, requests in tenants if tenant < 256]
    return HEAD.pack(
        message.level, NO_PIN if message.pin < 0 else message.pin,
        min(sample.weight, MAX_UINT16), min(round(sample.ratio * 100), MAX_UINT16),
        min(sample.admitted, MAX_UINT16), min(sample.served, MAX_UINT16), *_echo(message.echo), len(tenants),
    ) + b"".join(TENANT.pack(tenant, min(requests, MAX_UINT16)) for tenant, requests in tenants)  # fmt: skip


def _echo(echo: Echo | None) -> tuple[int, int, int]:
    if echo is None:
        return MAX_UINT16, 0, 0
    return echo.sender, echo.sequence, min(255, echo.held_ns // ECHO_UNIT_NS)


def decode(body: bytes) -> ThresholdMessage:
    """Return the message in a body; MalformedMessageError if it is too short or a number is out of range."""
    try:
        level, pin, weight, ratio, admitted, served, *echoed, count = HEAD.unpack_from(body)
        tenants = tuple(TENANT.unpack_from(body, HEAD.size + i * TENANT.size) for i in range(count))
    except error as damage:
        raise MalformedMessageError(str(damage)) from None
    if level > MAX_LEVEL or count > MAX_TENANTS or (pin > MAX_LEVEL and pin != NO_PIN):
        raise MalformedMessageError("a number is out of range")
    echo = None if echoed[0] == MAX_UINT16 else Echo(echoed[0], echoed[1], echoed[2] * ECHO_UNIT_NS)
    sample = LoadSample(weight, ratio / 100, admitted, served, tenants)
    return ThresholdMessage(level, -1 if pin == NO_PIN else pin, sample, echo)
