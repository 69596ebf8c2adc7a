"""Reports that the members of a tier make on servers and zones. No I/O; times are ns on one monotonic clock.

Each report has an owner, a counter and an age. Only its owner sends it, so the sender's address, which the
transport has checked, is sufficient proof of origin, and no member can make up another's report. Within one
process of an owner, the report with the highest counter on a subject counts; among its processes, the one with
the highest incarnation counts. So reordered, repeated and lost datagrams do no harm.

A report expires `REPORT_LIFETIME_NS` after it was made. Clocks are not compared: a datagram carries the age that
the report had when it was sent, and the time in transit is unknown. So at its expiry a report can be older than
the lifetime by its time in transit.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

REPORT_LIFETIME_NS = 10_000_000_000
AGE_UNIT_NS = 50_000_000  # unit of an age on the wire, where one byte holds up to 12.75 s
MAX_REPORTS_PER_OWNER = 64  # reports kept per owner; the oldest are dropped first
MAX_DIGEST_REPORTS = 10  # reports in one datagram


class ReportKind(enum.IntEnum):
    """The kind of a report. A digest lists lower values first."""

    ZONE = 1  # `subject` is a zone; `status` is FAILING or HEALTHY
    SERVER = 2  # `subject` is a server; `detail` is the class + 1, or 0 for all classes
    PROBE = 3  # the owner now makes the tier's single probe of this server
    RESTARTED = 4  # this server's process had ended, and answers again


class ReportStatus(enum.IntEnum):
    """The status that a report gives its subject."""

    HEALTHY = 0
    FAILING = 1  # a call got no answer, or one that counts as a failure
    PROCESS_ENDED = 2  # connections fail: the process does not run


class Report(NamedTuple):
    """One member's report on a server or zone.

    `subject` is the CRC-32 of its name, `zone` the index of the reporting member's zone in the settings, and
    `age_ns` the time since the report was made.
    """

    kind: ReportKind
    subject: int
    counter: int
    status: ReportStatus
    detail: int
    zone: int
    age_ns: int = 0


class StoredReport(NamedTuple):
    """A report in the store, with the member that made it and the time by this member's clock."""

    owner: int
    report: Report
    reported_at: int


ReportKey = tuple[ReportKind, int, int]


class _OwnerState:
    """The reports of one process of one member. A restarted process has another boot ID."""

    __slots__ = ("reports", "incarnation", "boot_id")

    def __init__(self, boot_id: int, incarnation: int) -> None:
        self.boot_id, self.incarnation = boot_id, incarnation
        self.reports: dict[ReportKey, StoredReport] = {}


class ReportStore:
    """The reports received from other members, and this member's own."""

    def __init__(self, index: int, zone: int) -> None:
        self.index, self.zone = index, zone
        self._counter = self._sent_counter = 0
        self._owners: dict[int, _OwnerState] = {index: _OwnerState(0, 0)}
        self._by_subject: dict[tuple[ReportKind, int], dict[tuple[int, int], StoredReport]] = {}

    def publish(self, now: int, kind: ReportKind, subject: int, status: ReportStatus, detail: int = 0) -> None:
        """Add a report of this member's own; it replaces its last one on the same subject and detail."""
        self._counter += 1
        report = Report(kind, subject, self._counter, status, detail, self.zone)
        self._store(self._owners[self.index], self.index, report, now)

    def digest(self, now: int) -> tuple[Report, ...]:
        """This member's own reports for one datagram: ordered by kind, the latest first."""
        own = self._owners[self.index].reports
        self._expire(now, own)
        stored = sorted(own.values(), key=lambda s: (s.report.kind, -s.report.counter))[:MAX_DIGEST_REPORTS]
        return tuple(s.report._replace(age_ns=now - s.reported_at) for s in stored)

    def unsent(self, now: int) -> tuple[Report, ...]:
        """This member's own reports since the last call, for a broadcast."""
        new = [report for report in self.digest(now) if report.counter > self._sent_counter]
        self._sent_counter = self._counter
        return tuple(new)

    def receive(
        self, now: int, owner: int, boot_id: int, incarnation: int, reports: tuple[Report, ...]
    ) -> list[StoredReport]:
        """Store the reports that a member sent; return those that are new."""
        if owner == self.index or not reports:
            return []
        owner_state = self._owners.get(owner)
        if owner_state is None or (boot_id != owner_state.boot_id and incarnation > owner_state.incarnation):
            if owner_state is not None:
                self.forget(owner)
            owner_state = self._owners[owner] = _OwnerState(boot_id, incarnation)
        elif boot_id != owner_state.boot_id:
            return []  # delayed reports of an earlier process
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
        """Drop all reports of a member that is no longer on the list of peers."""
        if (owner_state := self._owners.pop(owner, None)) is not None:
            for key in list(owner_state.reports):
                self._remove(owner_state.reports, key)

    def find(self, now: int, kind: ReportKind, subject: int) -> list[StoredReport]:
        """The reports on a subject that have not expired, including this member's own."""
        return [
            s
            for s in self._by_subject.get((kind, subject), {}).values()
            if now - s.reported_at < REPORT_LIFETIME_NS
        ]

    @property
    def has_reports(self) -> bool:
        """Whether the store holds any report."""
        return bool(self._by_subject)

    def subjects(self, kind: ReportKind) -> list[int]:
        """The subjects with reports of this kind."""
        return [subject for known_kind, subject in self._by_subject if known_kind is kind]

    def expire(self, now: int) -> None:
        """Drop the reports that have expired."""
        for owner_state in self._owners.values():
            self._expire(now, owner_state.reports)

    def _expire(self, now: int, reports: dict[ReportKey, StoredReport]) -> None:
        for key in [key for key, stored in reports.items() if now - stored.reported_at >= REPORT_LIFETIME_NS]:
            self._remove(reports, key)

    def _store(self, owner_state: _OwnerState, owner: int, report: Report, reported_at: int) -> StoredReport:
        key = (report.kind, report.subject, report.detail)
        owner_state.reports.pop(key, None)  # keeps the reports in the order in which they were made
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
