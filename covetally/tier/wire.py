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
from covetally.tier.reports import AGE_UNIT_NS, Report, ReportKind, ReportStatus
from covetally.tier.swim import MessageKind, LeasePayload, Message, MemberUpdate, State

MAGIC, VERSION = 0x54, 1
MAX_DATAGRAM_BYTES = 256
HEADER = Struct(">BBBBHIIHH")
UPDATE = Struct(">HBIIH")
LEASE = Struct(">IQdd")
REPORT = Struct(">BIIBBBB")
LEASE_KINDS = (MessageKind.LEASE_REQUEST, MessageKind.LEASE_GRANT)
MAX_UPDATES = (MAX_DATAGRAM_BYTES - HEADER.size) // UPDATE.size - 3  # room for what later versions add


class MalformedDatagramError(DamagedError, ValueError):
    """Bytes that are no message of this table."""

    code = "datagram"
    remedy = "See that only sidecars of this tier send to peer_listen; it is dropped."


def encode(message: Message) -> bytes:
    """The datagram for a message; rumours past the most, and facts past what fits, are left out."""
    updates = message.updates[:MAX_UPDATES]
    header = HEADER.pack(
        MAGIC, VERSION, message.kind, len(updates), message.sender, message.boot_id, message.incarnation,
        message.sequence, message.target,
    )  # fmt: skip
    data = header + b"".join(
        UPDATE.pack(u.member, u.state, u.incarnation, u.boot_id, u.reporter) for u in updates
    )
    if message.kind in LEASE_KINDS and message.lease is not None:
        data += LEASE.pack(*message.lease)
    reports = message.reports[: (MAX_DATAGRAM_BYTES - len(data) - 1) // REPORT.size]
    return (
        data
        + bytes((len(reports),))
        + b"".join(
            REPORT.pack(
                r.kind, r.subject, r.counter, r.status, r.detail, r.zone, min(255, r.age_ns // AGE_UNIT_NS)
            )
            for r in reports
        )
    )


def decode(data: bytes) -> Message:
    """The message in a datagram; Garbage if it is none, is cut short, or has values out of range. Facts of kinds
    that this version does not know are passed over."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError("too long")
    try:
        magic, version, kind, count, *rest = HEADER.unpack_from(data)
        if magic != MAGIC or version < VERSION or count > MAX_UPDATES:
            raise MalformedDatagramError("not of this table")
        kind = MessageKind(kind)
        updates = []
        for i in range(count):
            member, state, incarnation, boot_id, reporter = UPDATE.unpack_from(
                data, HEADER.size + i * UPDATE.size
            )
            if state == State.UNKNOWN:
                raise MalformedDatagramError("nobody tells that it knows nothing")
            updates.append(MemberUpdate(member, State(state), incarnation, boot_id, reporter))
        offset = HEADER.size + count * UPDATE.size
        lease = None
        if kind in LEASE_KINDS:
            lease = LeasePayload(*LEASE.unpack_from(data, offset))
            offset += LEASE.size
        return Message(kind, *rest, tuple(updates), _decode_reports(data, offset), lease)
    except (StructError, ValueError) as error:
        raise MalformedDatagramError(str(error)) from None


def _decode_reports(data: bytes, offset: int) -> tuple[Report, ...]:
    reports = []
    for i in range(data[offset] if offset < len(data) else 0):
        kind, subject, counter, status, detail, zone, age = REPORT.unpack_from(data, offset + 1 + i * REPORT.size)
        if kind in _REPORT_KINDS and status in _REPORT_STATUSES:
            reports.append(
                Report(ReportKind(kind), subject, counter, ReportStatus(status), detail, zone, age * AGE_UNIT_NS)
            )
    return tuple(reports)


_REPORT_KINDS, _REPORT_STATUSES = frozenset(ReportKind), frozenset(ReportStatus)
