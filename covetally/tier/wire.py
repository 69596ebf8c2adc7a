"""The members' messages as datagrams of at most 256 bytes, byte by byte. Big-endian throughout.

    offset  bytes  what
    0       1      0x54, so that the balancer's rumours (8 bytes, no mark) are told apart by length and mark
    1       1      version of this table: 1. A newer one may add bytes at the end, which older readers pass over
    2       1      kind: 1 ask, 2 answer, 3 ask for, 4 tell, 5 want, 6 grant
    3       1      number of rumours that follow, 15 at most
    4       2      sender, by its number in the list of peers
    6       4      sender's life
    10      4      sender's incarnation
    14      2      number of the call
    16      2      target
    18      13 each: member 2, state 1 (1 alive, 2 suspected, 3 gone, 4 left), incarnation 4, life 4, witness 2
    then    28     only of kinds 5 and 6: mark of the limit 4, number 8, part kept 8 (IEEE 754), amount 8
    then    1      number of the sender's own facts that follow
    then    13 each: what 1, subject 4, counter 4, word 1, detail 1, zone 1, age 1 (50 ms each)

Fixed records in place of a serialization library: 8 rumours are 122 bytes here and over 200 in msgpack, of 256.
"""

from __future__ import annotations

from struct import Struct
from struct import error as StructError

from covetally.errors import DamagedError
from covetally.tier.facts import AGE_NS, Fact, What, Word
from covetally.tier.members import Kind, Loan, Message, Rumour, State

MARK, VERSION = 0x54, 1
MOST_BYTES = 256
HEAD = Struct(">BBBBHIIHH")
RUMOUR = Struct(">HBIIH")
LOAN = Struct(">IQdd")
FACT = Struct(">BIIBBBB")
LOANS = (Kind.WANT, Kind.GRANT)
MOST_RUMOURS = (MOST_BYTES - HEAD.size) // RUMOUR.size - 3  # room for what later versions add


class Garbage(DamagedError, ValueError):
    """Bytes that are no message of this table."""

    code = "datagram"
    remedy = "See that only sidecars of this tier send to peer_listen; it is dropped."


def encode(message: Message) -> bytes:
    """The datagram for a message; rumours past the most, and facts past what fits, are left out."""
    rumours = message.rumours[:MOST_RUMOURS]
    head = HEAD.pack(
        MARK, VERSION, message.kind, len(rumours), message.sender, message.life, message.incarnation,
        message.number, message.target,
    )  # fmt: skip
    data = head + b"".join(RUMOUR.pack(r.member, r.state, r.incarnation, r.life, r.witness) for r in rumours)
    if message.kind in LOANS and message.loan is not None:
        data += LOAN.pack(*message.loan)
    facts = message.facts[: (MOST_BYTES - len(data) - 1) // FACT.size]
    return (
        data
        + bytes((len(facts),))
        + b"".join(
            FACT.pack(f.what, f.subject, f.counter, f.word, f.detail, f.zone, min(255, f.age_ns // AGE_NS))
            for f in facts
        )
    )


def decode(data: bytes) -> Message:
    """The message in a datagram; Garbage if it is none, is cut short, or has values out of range. Facts of kinds
    that this version does not know are passed over."""
    if len(data) > MOST_BYTES:
        raise Garbage("too long")
    try:
        mark, version, kind, count, *rest = HEAD.unpack_from(data)
        if mark != MARK or version < VERSION or count > MOST_RUMOURS:
            raise Garbage("not of this table")
        kind = Kind(kind)
        rumours = []
        for i in range(count):
            member, state, incarnation, life, witness = RUMOUR.unpack_from(data, HEAD.size + i * RUMOUR.size)
            if state == State.UNKNOWN:
                raise Garbage("nobody tells that it knows nothing")
            rumours.append(Rumour(member, State(state), incarnation, life, witness))
        at = HEAD.size + count * RUMOUR.size
        loan = None
        if kind in LOANS:
            loan = Loan(*LOAN.unpack_from(data, at))
            at += LOAN.size
        return Message(kind, *rest, tuple(rumours), _facts(data, at), loan)
    except (StructError, ValueError) as error:
        raise Garbage(str(error)) from None


def _facts(data: bytes, at: int) -> tuple[Fact, ...]:
    facts = []
    for i in range(data[at] if at < len(data) else 0):
        what, subject, counter, word, detail, zone, age = FACT.unpack_from(data, at + 1 + i * FACT.size)
        if what in _WHATS and word in _WORDS:
            facts.append(Fact(What(what), subject, counter, Word(word), detail, zone, age * AGE_NS))
    return tuple(facts)


_WHATS, _WORDS = frozenset(What), frozenset(Word)
