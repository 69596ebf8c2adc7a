"""Wire format of the messages between members: datagrams of at most 256 bytes, big-endian throughout.

    offset  bytes    content
    0       1        magic byte 0x54; it and the length tell these from the balancer's 8-byte messages
    1       1        version of this format, 1; a later one may append bytes, which older readers ignore
    2       1        message kind: 1 ping, 2 ack, 3 ping request, 4 gossip, 5 lease request, 6 lease grant
    3       1        number of member updates that follow, at most 15
    4       2        sender, as its index in the list of peers
    6       4        sender's boot ID
    10      4        sender's incarnation
    14      2        sequence number of the ping
    16      2        target
    18      13 each  updates: member 2, state 1 (1 alive, 2 suspected, 3 gone, 4 left), incarnation 4, boot ID 4,
                        reporter 2
    then    28       only in kinds 5 and 6: limit ID 4, sequence 8, fraction kept 8, amount 8 (both IEEE 754)
    then    1        number of the sender's own reports that follow
    then    13 each  reports: kind 1, subject 4, counter 4, status 1, detail 1, zone 1, age 1 (in units of 50 ms)

Fixed records are used instead of a serialization library: 8 updates take 122 bytes here, and over 200 of the 256
in msgpack.
"""

from __future__ import annotations

from struct import Struct
from struct import error as StructError

from covetally.errors import DamagedError
from covetally.tier.reports import AGE_UNIT_NS, Report, ReportKind, ReportStatus
from covetally.tier.swim import LeasePayload, MemberUpdate, Message, MessageKind, State

MAGIC, VERSION = 0x54, 1
MAX_DATAGRAM_BYTES = 256
HEADER = Struct(">BBBBHIIHH")
UPDATE = Struct(">HBIIH")
LEASE = Struct(">IQdd")
REPORT = Struct(">BIIBBBB")
LEASE_KINDS = (MessageKind.LEASE_REQUEST, MessageKind.LEASE_GRANT)
MAX_UPDATES = (MAX_DATAGRAM_BYTES - HEADER.size) // UPDATE.size - 3  # leaves room for what later versions add


class MalformedDatagramError(DamagedError, ValueError):
    """The datagram is not a valid message of the tier protocol.

    Raised by `decode` for a datagram that is not a message in this format. The paragraph above and the remedy are
    printed in docs/operators/errors.md (see covetally/errors/page.py).
    """

    code = "datagram"
    remedy = "Check that only sidecars of this tier send to peer_listen; the datagram is dropped."


def encode(message: Message) -> bytes:
    """Encode a message. Updates above MAX_UPDATES and reports that do not fit are left out."""
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
    """Decode a datagram.

    Raises MalformedDatagramError if it is not a message, is truncated, or has values out of range. Reports of a
    kind or status that this version does not know are skipped.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError("the datagram is too long")
    try:
        magic, version, kind, count, *rest = HEADER.unpack_from(data)
        if magic != MAGIC or version < VERSION or count > MAX_UPDATES:
            raise MalformedDatagramError("wrong magic byte, version or number of updates")
        kind = MessageKind(kind)
        updates = []
        for i in range(count):
            member, state, incarnation, boot_id, reporter = UPDATE.unpack_from(
                data, HEADER.size + i * UPDATE.size
            )
            if state == State.UNKNOWN:
                raise MalformedDatagramError("an update has the state UNKNOWN")
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
