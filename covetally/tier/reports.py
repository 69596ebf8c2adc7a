"""What the members of a tier tell each other beside who is there. No I/O; times are ns on one monotonic clock.

Each fact has an owner, a counter and an age. It is told by its owner and by nobody else, so the sender's address
(the shell checks it) is all the proof it needs, and nobody can be made to have said what it did not. Of one owner
and one subject the higher counter holds, within one life of the owner; of two lives the one of the higher
incarnation. So order, repeats and losses of datagrams do not matter.

A fact counts for `LASTS_NS` after it was said. Clocks are not compared: it says how old it was when it was sent,
and what it was under way comes on top of that, unknown. So at its end it may be older than that by as long as its
datagram took.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

REPORT_LIFETIME_NS = 10_000_000_000
AGE_UNIT_NS = 50_000_000  # unit of the ages told: one byte holds 12.75 s
MAX_REPORTS_PER_OWNER = 64  # facts kept of one owner, the last ones said
MAX_DIGEST_REPORTS = 10  # facts in one datagram


class ReportKind(enum.IntEnum):
    """What a fact is about. Of those in one digest the lower numbers come first."""

    ZONE = 1  # `subject` is a zone: `word` FAILS or WELL, as seen from the zone `detail`
    SERVER = 2  # `subject` is a node: `word` FAILS or WELL, for the class `detail` - 1, or with 0 for all
    PROBE = 3  # the owner makes the tier's one trial call to this node now
    RESTARTED = 4  # this node's process had ended, and answers again since


class ReportStatus(enum.IntEnum):
    """What is said of the subject."""

    HEALTHY = 0
    FAILING = 1  # no answer, or one that is a failure
    PROCESS_ENDED = 2  # no connection: its process is not there


class Report(NamedTuple):
    """`subject` is the CRC-32 of a name; `zone` the owner's, by its number in the settings; `age_ns` how long ago
    it was said."""

    kind: ReportKind
    subject: int
    counter: int
    status: ReportStatus
    detail: int
    zone: int
    age_ns: int = 0


class StoredReport(NamedTuple):
    """A fact as it is kept: who said it, when by this member's clock."""

    owner: int
    report: Report
    reported_at: int


ReportKey = tuple[ReportKind, int, int]


class _OwnerState:
    """All that one life of one member has said."""

    __slots__ = ("reports", "incarnation", "boot_id")

    def __init__(self, boot_id: int, incarnation: int) -> None:
        self.boot_id, self.incarnation = boot_id, incarnation
        self.reports: dict[ReportKey, StoredReport] = {}


class ReportStore:
    """What is known, and what this member tells."""

    def __init__(self, index: int, zone: int) -> None:
        self.index, self.zone = index, zone
        self._counter = self._sent_counter = 0
        self._owners: dict[int, _OwnerState] = {index: _OwnerState(0, 0)}
        self._by_subject: dict[tuple[ReportKind, int], dict[tuple[int, int], StoredReport]] = {}

    def publish(self, now: int, kind: ReportKind, subject: int, status: ReportStatus, detail: int = 0) -> None:
        """A fact of this member's own, in place of what it said of the same before."""
        self._counter += 1
        report = Report(kind, subject, self._counter, status, detail, self.zone)
        self._store(self._owners[self.index], self.index, report, now)

    def digest(self, now: int) -> tuple[Report, ...]:
        """This member's own facts for one datagram: zones before nodes, then the latest."""
        own = self._owners[self.index].reports
        self._expire(now, own)
        stored = sorted(own.values(), key=lambda s: (s.report.kind, -s.report.counter))[:MAX_DIGEST_REPORTS]
        return tuple(s.report._replace(age_ns=now - s.reported_at) for s in stored)

    def unsent(self, now: int) -> tuple[Report, ...]:
        """This member's own facts that `news` has not given yet, for one word to all."""
        new = [report for report in self.digest(now) if report.counter > self._sent_counter]
        self._sent_counter = self._counter
        return tuple(new)

    def receive(
        self, now: int, owner: int, boot_id: int, incarnation: int, reports: tuple[Report, ...]
    ) -> list[StoredReport]:
        """What a member has told; returns what of it is new."""
        if owner == self.index or not reports:
            return []
        owner_state = self._owners.get(owner)
        if owner_state is None or (boot_id != owner_state.boot_id and incarnation > owner_state.incarnation):
            if owner_state is not None:
                self.forget(owner)
            owner_state = self._owners[owner] = _OwnerState(boot_id, incarnation)
        elif boot_id != owner_state.boot_id:
            return []  # late words of a life before
        owner_state.incarnation = max(owner_state.incarnation, incarnation)
        new = []
        for report in reports:
            previous = owner_state.reports.get((report.kind, report.subject, report.detail))
            if report.age_ns < REPORT_LIFETIME_NS and (
                previous is None or report.counter > previous.report.counter
            ):
                new.append(self._store(owner_state, owner, report, now - report.age_ns))
        return new

    def forget(self, owner: int) -> None:
        """An owner that is no member any more."""
        if (owner_state := self._owners.pop(owner, None)) is not None:
            for key in list(owner_state.reports):
                self._remove(owner_state.reports, key)

    def find(self, now: int, kind: ReportKind, subject: int) -> list[StoredReport]:
        """What counts of a subject now, this member's own word with it."""
        return [
            s
            for s in self._by_subject.get((kind, subject), {}).values()
            if now - s.reported_at < REPORT_LIFETIME_NS
        ]

    @property
    def has_reports(self) -> bool:
        """Whether anything is kept."""
        return bool(self._by_subject)

    def subjects(self, kind: ReportKind) -> list[int]:
        """All that anything was said of."""
        return [subject for known_kind, subject in self._by_subject if known_kind is kind]

    def expire(self, now: int) -> None:
        """Let go of what counts no more."""
        for owner_state in self._owners.values():
            self._expire(now, owner_state.reports)

    def _expire(self, now: int, reports: dict[ReportKey, StoredReport]) -> None:
        for key in [key for key, stored in reports.items() if now - stored.reported_at >= REPORT_LIFETIME_NS]:
            self._remove(reports, key)

    def _store(self, owner_state: _OwnerState, owner: int, report: Report, reported_at: int) -> StoredReport:
        key = (report.kind, report.subject, report.detail)
        owner_state.reports.pop(key, None)  # so that the last one said stands last
        if len(owner_state.reports) >= MAX_REPORTS_PER_OWNER:
            self._remove(owner_state.reports, next(iter(owner_state.reports)))
        stored = owner_state.reports[key] = StoredReport(owner, report, reported_at)
        self._by_subject.setdefault((report.kind, report.subject), {})[owner, report.detail] = stored
        return stored

    def _remove(self, reports: dict[ReportKey, StoredReport], key: ReportKey) -> None:
        stored = reports.pop(key)
        entries = self._by_subject[stored.report.kind, stored.report.subject]
        del entries[stored.owner, stored.report.detail]
        if not entries:
            del self._by_subject[stored.report.kind, stored.report.subject]
