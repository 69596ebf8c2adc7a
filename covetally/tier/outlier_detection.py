"""Outlier detection across a tier: combines what each member's own calls show of servers and zones.

No I/O; times are ns.

    server    entered by                                            effect on the balancer
    ------    ----------                                            ----------------------
    healthy   start; healthy reports that outweigh the failures;    none
              all failure reports have expired
    reported  failed calls of at least one member                   none
    ejected   failure reports of MIN_REPORTERS members, more than   prefers other servers; only the member whose
              its healthy reports outweigh                          turn it is makes a probe

An ejection is a reason to try other servers first, and no more: a balancer without another server still calls an
ejected one. At most MAX_EJECTED_FRACTION of the servers are ejected, those with the most failure reports.

Each healthy report outweighs HEALTHY_REPORT_WEIGHT failure reports. A member makes one if it called the server
after it learned of the failure reports, so an old success contradicts nothing, and a healthy server is cleared by
its regular calls. The members of one zone may be cut off from a server that works for all others. So the failure
reports of a member's own zone are weighed against the healthy reports of that zone; those of all zones count
together only if they come from at least two zones. A failure report on one class of calls counts for that class
only.

Probes: after an ejection, one member calls the server; if that fails, the next one does, after a delay that
doubles. The turn follows from the server, the last member that probed it, and the present members, by rendezvous
hashing, so no leader is needed. The member whose turn it is announces its probe. The next in order begins
`PROBE_SLOT_NS` later if it received no announcement, so the turn passes on if a member is gone. The same member's
announcement does not count twice in a row, so that no single member can keep all others from probing. A server
stays ejected while one member reports failures, such as those of the probes. It returns to service when healthy
reports outweigh the failure reports, or when the last of those has expired.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from covetally.interface import AttemptStatus
from covetally.tier.reports import REPORT_LIFETIME_NS, ReportKind, ReportStatus, ReportStore, StoredReport

MS = 1_000_000
MIN_REPORTERS = 3  # members whose failure reports eject a server
HEALTHY_REPORT_WEIGHT = 8  # failure reports that one healthy report outweighs
MAX_EJECTED_FRACTION = 0.25  # of the servers that may be ejected at a time
MAX_AVOIDED_ZONE_FRACTION = 0.5  # of the servers that may be in avoided zones
FAILURES_TO_REPORT = 2  # consecutive failures before a report; a failed connect is reported at once
FAILURE_WINDOW_NS = 2_000 * MS  # failures further apart than this are not consecutive
REPORT_JITTER_NS = 40 * MS  # longest random delay of a report, so that the first few make the rest redundant
PROBE_SLOT_NS = 400 * MS  # time that one member has for its probe
FIRST_PROBE_DELAY_NS = 1_000 * MS  # before the first probe; then doubled
EVALUATION_INTERVAL_NS = 1_000 * MS  # how often all servers are evaluated again, since reports expire
MAX_PROBE_DELAY_NS = 4_000 * MS  # below REPORT_LIFETIME_NS, so that the ejection outlasts the delay
ALL_CLASSES = -1  # the class of an ejection that holds for all classes


class EjectedServer(NamedTuple):
    """A server to avoid for one class, or for ALL_CLASSES."""

    server: str
    cls: int


class Ejections(NamedTuple):
    """The servers and zones to avoid.

    `probes` are the ejected servers that it is this member's turn to probe. `restarted` are the servers with a
    new process, each with the ns since then.
    """

    servers: tuple[EjectedServer, ...] = ()
    zones: tuple[int, ...] = ()
    probes: tuple[str, ...] = ()
    restarted: tuple[tuple[str, int], ...] = ()


class EjectionStatus(NamedTuple):
    """The reports on one server or zone and its ejection, as shown to operators."""

    subject: str
    cls: int
    ejected: bool
    reporters: tuple[int, ...]
    healthy_reporters: tuple[int, ...]
    age_ns: int
    probed_by: int
    next_probe_in_ns: int


@dataclass(slots=True)
class _OwnFailures:
    """This member's recent consecutive failures with one server and class."""

    count: int = 0
    process_ended: bool = False
    last_at: int = 0


@dataclass(slots=True)
class _Ejection:
    """The state of one ejection."""

    probed_at: int  # when the last probe, or else the ejection, began
    probe_delay_ns: int = FIRST_PROBE_DELAY_NS
    probes_begun: int = 0
    probed_by: int = -1
    probing: bool = False
    next_probe_at: int = 0  # when this member would make the next probe


@dataclass(slots=True)
class _PendingReport:
    """A report to publish after its random delay."""

    at: int
    status: ReportStatus


Subject = tuple[ReportKind, int, int]


@dataclass(slots=True)
class _ServerNames:
    """The server list: names by the CRC-32 of the name, and zones by name."""

    names: dict[int, str] = field(default_factory=dict)
    zones: dict[str, int] = field(default_factory=dict)


class OutlierDetector:
    """One member's outlier detection.

    `random` returns numbers from 0 to 1, and `present_members` the members that are not gone.
    """

    def __init__(
        self,
        reports: ReportStore,
        zones: tuple[str, ...],
        random: Callable[[], float],
        present_members: Callable[[], list[int]],
    ) -> None:
        self.reports, self.index, self.zone = reports, reports.index, reports.zone
        self._zone_by_hash = {crc32(name.encode()): i for i, name in enumerate(zones)}
        self._zone_hashes = {i: name_hash for name_hash, i in self._zone_by_hash.items()}
        self._random, self._present_members = random, present_members
        self._servers = _ServerNames()
        self._own_failures: dict[tuple[str, int], _OwnFailures] = {}  # by server and class
        # By zone: the servers that have not answered since one there did, with when the call was sent.
        self._silent_servers: dict[int, dict[str, int]] = {}
        self._last_answered: dict[int, int] = {}  # by zone: when the latest call that was answered was sent
        self._ejections: dict[tuple[int, int], _Ejection] = {}  # by name hash and class
        self._pending: dict[Subject, _PendingReport] = {}
        self._restarted_at: dict[str, int] = {}
        # By name hash: when an ejection last found that the server's process had ended.
        self._process_ended_at: dict[int, int] = {}
        self._changed: set[int] = set()  # name hashes of servers with new reports
        self._next_evaluation = 0
        self._current = Ejections()
        self.probe_count = self.ejection_count = 0  # counters

    # --- events ---------------------------------------------------------------------------------

    def update_servers(self, servers: dict[str, int]) -> None:
        """Adopt the server list: the zone of each server, by name."""
        self._servers = _ServerNames({crc32(name.encode()): name for name in servers}, dict(servers))
        self._own_failures = {key: failures for key, failures in self._own_failures.items() if key[0] in servers}
        self._ejections = {
            key: ejection for key, ejection in self._ejections.items() if key[0] in self._servers.names
        }
        self._process_ended_at = {
            name_hash: at for name_hash, at in self._process_ended_at.items() if name_hash in self._servers.names
        }
        self._silent_servers = {
            zone: {name: at for name, at in silent.items() if name in servers}
            for zone, silent in self._silent_servers.items()
        }

    def record_attempt(self, now: int, server: str, status: AttemptStatus, cls: int, sent: int) -> None:
        """Record how one of this sidecar's own attempts ended, and when it was sent."""
        zone = self._servers.zones.get(server)
        if zone is None or status in (AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT):
            return
        name_hash = crc32(server.encode())
        for (ejected_hash, _), ejection in self._ejections.items():
            if ejected_hash == name_hash and sent >= ejection.probed_at:
                ejection.probing = False  # one call per probe
                self._changed.add(name_hash)
        if status in (AttemptStatus.OK, AttemptStatus.FULL, AttemptStatus.ERROR, AttemptStatus.UNUSABLE_RESPONSE):
            self._record_answered(now, server, name_hash, zone, cls, sent, status)
        if status is AttemptStatus.OK or status is AttemptStatus.FULL:
            return
        if status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED):
            self._record_unanswered(now, server, zone, sent)
        if status in (AttemptStatus.TIMEOUT, AttemptStatus.RESET):
            # A timeout may only show a full queue, and a reset a bad link. To eject a server for those would take
            # capacity that all need, as measured; see docs/design/tier.md.
            return
        if status is AttemptStatus.CONNECT_FAILED:
            self._record_failure(now, server, name_hash, ALL_CLASSES, True)
        else:
            self._record_failure(now, server, name_hash, cls, False)

    def _record_answered(
        self, now: int, server: str, name_hash: int, zone: int, cls: int, sent: int, status: AttemptStatus
    ) -> None:
        self._last_answered[zone] = max(self._last_answered.get(zone, 0), sent)
        self._silent_servers.pop(zone, None)
        self._report_healthy(now, ReportKind.ZONE, self._zone_hashes.get(zone, 0), 0, sent)
        for about in (ALL_CLASSES, cls) if status in (AttemptStatus.OK, AttemptStatus.FULL) else (ALL_CLASSES,):
            failures = self._own_failures.pop((server, about), None)
            self._report_healthy(now, ReportKind.SERVER, name_hash, about + 1, sent)
            if about == ALL_CLASSES and failures is not None and failures.process_ended and failures.count:
                self._record_restart(now, server, name_hash)

    def _record_restart(self, now: int, server: str, name_hash: int) -> None:
        """Report that a server whose process had ended answers again, so it is a new process."""
        self._restarted_at[server] = now
        self.reports.publish(now, ReportKind.RESTARTED, name_hash, ReportStatus.HEALTHY)
        self._pending[ReportKind.RESTARTED, name_hash, 0] = _PendingReport(now, ReportStatus.HEALTHY)

    def _record_unanswered(self, now: int, server: str, zone: int, sent: int) -> None:
        silent = self._silent_servers.setdefault(zone, {})
        if sent > self._last_answered.get(zone, 0):
            silent[server] = sent
        for name in [name for name, at in silent.items() if now - at > 2 * FAILURE_WINDOW_NS]:
            del silent[name]
        first = min(silent.values(), default=now)
        if len(silent) >= FAILURES_TO_REPORT and any(
            at > first for other, at in self._last_answered.items() if other != zone
        ):
            self._schedule_report(now, ReportKind.ZONE, self._zone_hashes.get(zone, 0), 0, ReportStatus.FAILING)

    def _record_failure(self, now: int, server: str, name_hash: int, cls: int, process_ended: bool) -> None:
        failures = self._own_failures.setdefault((server, cls), _OwnFailures())
        if now - failures.last_at > FAILURE_WINDOW_NS:
            failures.count, failures.process_ended = 0, False
        failures.count, failures.last_at, failures.process_ended = (
            failures.count + 1,
            now,
            failures.process_ended or process_ended,
        )
        already_reported = any(
            s.report.status and s.report.detail == cls + 1
            for s in self.reports.find(now, ReportKind.SERVER, name_hash)
        )
        if failures.count >= FAILURES_TO_REPORT or process_ended or already_reported:
            self._schedule_report(
                now,
                ReportKind.SERVER,
                name_hash,
                cls + 1,
                ReportStatus.PROCESS_ENDED if failures.process_ended else ReportStatus.FAILING,
            )

    def record_reports(self, stored: list[StoredReport]) -> None:
        """Note which servers have new reports from other members."""
        self._changed.update(s.report.subject for s in stored)

    # --- own reports ----------------------------------------------------------------------------

    def _report_healthy(self, now: int, kind: ReportKind, name_hash: int, detail: int, sent: int) -> None:
        """Report the subject healthy, if the answered call was sent after a failure report on it was known.

        So an earlier success does not contradict a later failure.
        """
        pending = self._pending.get((kind, name_hash, detail))
        if pending is not None and pending.status:
            del self._pending[kind, name_hash, detail]
        failing, healthy = self._split_reports(now, kind, name_hash, detail)
        own_report = self._own_report(failing, healthy)
        if (
            own_report is not None
            and own_report.report.status
            or own_report is None
            and any(s.reported_at < sent for s in failing)
        ):
            self._schedule_report(now, kind, name_hash, detail, ReportStatus.HEALTHY)

    def _schedule_report(
        self, now: int, kind: ReportKind, name_hash: int, detail: int, status: ReportStatus
    ) -> None:
        subject = (kind, name_hash, detail)
        if subject in self._pending and self._pending[subject].status is status:
            return
        own_report = self._own_report(*self._split_reports(now, kind, name_hash, detail))
        if (
            own_report is not None
            and own_report.report.status is status
            and now - own_report.reported_at < REPORT_LIFETIME_NS // 2
        ):
            return
        self._pending[subject] = _PendingReport(now + int(self._random() * REPORT_JITTER_NS), status)

    def next_due(self) -> int | None:
        """When to call `tick` next; None while nothing is due."""
        times = [pending.at for pending in self._pending.values()]
        times += [
            ejection.probed_at + PROBE_SLOT_NS if ejection.probing else ejection.next_probe_at
            for ejection in self._ejections.values()
        ]
        if self._ejections or self._current != Ejections():
            times.append(self._next_evaluation)
        return min(times, default=None)

    def tick(self, now: int) -> bool:
        """Publish due reports, evaluate servers and begin probes; True if there is something to broadcast."""
        published = False
        for subject, pending in list(self._pending.items()):
            if now < pending.at:
                continue
            del self._pending[subject]
            kind, name_hash, detail = subject
            if kind is ReportKind.RESTARTED:
                published = True
            elif not self._is_redundant(now, subject, pending.status):
                self.reports.publish(now, kind, name_hash, pending.status, detail)
                self._changed.add(name_hash)
                published = True
        if now >= self._next_evaluation:
            self._next_evaluation = now + EVALUATION_INTERVAL_NS
            self._changed.update(
                self.reports.subjects(ReportKind.SERVER), (name_hash for name_hash, _ in self._ejections)
            )
        if self._changed:
            self._evaluate(now)
        for key, ejection in self._ejections.items():
            if ejection.probing and now - ejection.probed_at >= PROBE_SLOT_NS:
                ejection.probing = False
            if not ejection.probing and now >= ejection.next_probe_at:
                self._begin_probe(now, key, ejection, self.index)
                ejection.probing = True
                self.probe_count += 1
                self.reports.publish(now, ReportKind.PROBE, key[0], ReportStatus.HEALTHY, key[1] + 1)
                published = True
        self._current = self._compile(now)
        return published

    def _is_redundant(self, now: int, subject: Subject, status: ReportStatus) -> bool:
        """Whether enough others have reported the same, so that one more report would change nothing."""
        kind, name_hash, detail = subject
        failing, healthy = self._split_reports(now, kind, name_hash, detail)
        if self._own_report(failing, healthy) is not None:
            return False  # it replaces this member's earlier report
        if status:
            return len(failing) >= 2 * MIN_REPORTERS and self._is_ejectable(failing, healthy)
        return bool(healthy) and not self._is_ejectable(failing, healthy)

    # --- evaluation -----------------------------------------------------------------------------

    def _split_reports(
        self, now: int, kind: ReportKind, name_hash: int, detail: int
    ) -> tuple[list[StoredReport], list[StoredReport]]:
        reports = [s for s in self.reports.find(now, kind, name_hash) if s.report.detail == detail]
        return [s for s in reports if s.report.status], [s for s in reports if not s.report.status]

    def _own_report(self, failing: list[StoredReport], healthy: list[StoredReport]) -> StoredReport | None:
        return next((s for s in (*failing, *healthy) if s.owner == self.index), None)

    def _count_same_zone(self, reports: list[StoredReport]) -> int:
        """The number of reports from this member's zone."""
        return sum(s.report.zone == self.zone for s in reports)

    def _is_ejectable(self, failing: list[StoredReport], healthy: list[StoredReport]) -> bool:
        """Whether the failure reports suffice for an ejection by this member."""
        same_zone = self._count_same_zone(failing)
        if same_zone >= MIN_REPORTERS and same_zone > HEALTHY_REPORT_WEIGHT * self._count_same_zone(healthy):
            return True
        zones = {s.report.zone for s in failing}
        return (
            len(zones) > 1
            and len(failing) >= MIN_REPORTERS
            and len(failing) > HEALTHY_REPORT_WEIGHT * len(healthy)
        )

    def _evaluate(self, now: int) -> None:
        changed, self._changed = self._changed, set()
        standing: set[tuple[int, int]] = set()
        for name_hash in changed:
            if name_hash in self._servers.names:
                standing |= self._evaluate_server(now, name_hash)
                self._apply_probes(now, name_hash)
                self._apply_restarts(now, name_hash)
        self._ejections = {
            key: ejection for key, ejection in self._ejections.items() if key[0] not in changed or key in standing
        }
        max_ejected = int(MAX_EJECTED_FRACTION * len(self._servers.names))
        if len({name_hash for name_hash, _ in self._ejections}) > max_ejected:
            report_counts = {
                key: len(self._split_reports(now, ReportKind.SERVER, key[0], key[1] + 1)[0])
                for key in self._ejections
            }
            ordered = sorted(self._ejections, key=lambda key: (-report_counts[key], key))
            kept_hashes = set(list(dict.fromkeys(name_hash for name_hash, _ in ordered))[:max_ejected])
            self._ejections = {
                key: ejection for key, ejection in self._ejections.items() if key[0] in kept_hashes
            }

    def _evaluate_server(self, now: int, name_hash: int) -> set[tuple[int, int]]:
        """Update the ejections of one server; return the keys of those in force."""
        standing = set()
        for detail in {s.report.detail for s in self.reports.find(now, ReportKind.SERVER, name_hash)}:
            failing, healthy = self._split_reports(now, ReportKind.SERVER, name_hash, detail)
            key = (name_hash, detail - 1)
            ejection = self._ejections.get(key)
            still_stands = (
                ejection is not None and bool(failing) and len(failing) > HEALTHY_REPORT_WEIGHT * len(healthy)
            )
            if not still_stands and not self._is_ejectable(failing, healthy):
                continue
            standing.add(key)
            if ejection is None:
                ejection = self._ejections[key] = _Ejection(now)
                ejection.next_probe_at = self._next_probe(key, ejection)
                self.ejection_count += 1
            if any(s.report.status is ReportStatus.PROCESS_ENDED for s in failing):
                self._process_ended_at[name_hash] = now
            if ejection.probe_delay_ns != PROBE_SLOT_NS and any(
                s.reported_at >= ejection.probed_at for s in healthy
            ):
                # The probe succeeded: let the next member confirm it soon.
                ejection.probe_delay_ns = PROBE_SLOT_NS
                ejection.next_probe_at = self._next_probe(key, ejection)
        return standing

    def _apply_probes(self, now: int, name_hash: int) -> None:
        for stored in self.reports.find(now, ReportKind.PROBE, name_hash):
            ejection = self._ejections.get((name_hash, stored.report.detail - 1))
            if (
                ejection is not None
                and stored.reported_at > ejection.probed_at
                and stored.owner not in (ejection.probed_by, self.index)
            ):
                self._begin_probe(
                    stored.reported_at, (name_hash, stored.report.detail - 1), ejection, stored.owner
                )

    def _apply_restarts(self, now: int, name_hash: int) -> None:
        """Accept a single report of a restart if an ejection recently found that the process had ended."""
        name = self._servers.names[name_hash]
        process_ended = now - self._process_ended_at.get(name_hash, -REPORT_LIFETIME_NS) < REPORT_LIFETIME_NS
        for stored in self.reports.find(now, ReportKind.RESTARTED, name_hash):
            if (
                process_ended
                and stored.owner != self.index
                and stored.reported_at > self._restarted_at.get(name, 0) + FAILURE_WINDOW_NS
            ):
                self._restarted_at[name] = stored.reported_at

    def _begin_probe(self, at: int, key: tuple[int, int], ejection: _Ejection, owner: int) -> None:
        ejection.probed_at, ejection.probed_by, ejection.probing = at, owner, False
        ejection.probes_begun += 1
        if ejection.probes_begun > 1:
            ejection.probe_delay_ns = min(2 * ejection.probe_delay_ns, MAX_PROBE_DELAY_NS)
        ejection.next_probe_at = self._next_probe(key, ejection)

    def _next_probe(self, key: tuple[int, int], ejection: _Ejection) -> int:
        """When this member would make the next probe, if none of those before it in the order does."""
        present_members = self._present_members()
        own_weight = self._probe_weight(key, ejection, self.index)
        rank = sum(1 for n in present_members if n not in (self.index, ejection.probed_by)
                   and self._probe_weight(key, ejection, n) > own_weight)  # fmt: skip
        if ejection.probed_by == self.index:
            rank = len(present_members)
        return ejection.probed_at + ejection.probe_delay_ns + rank * PROBE_SLOT_NS

    def _probe_weight(self, key: tuple[int, int], ejection: _Ejection, member: int) -> int:
        return crc32(f"{key[0]}/{key[1]}/{ejection.probed_by}/{member}".encode())

    # --- results --------------------------------------------------------------------------------

    def ejections(self) -> Ejections:
        """The ejections in force, as of the last `tick`."""
        return self._current

    def _compile(self, now: int) -> Ejections:
        if not self.reports.has_reports and not self._restarted_at:
            return Ejections()
        names = self._servers.names
        servers = sorted((names[name_hash], cls) for name_hash, cls in self._ejections)
        probes = {names[name_hash] for (name_hash, _), ejection in self._ejections.items() if ejection.probing}
        zones = []
        for name_hash, zone in sorted(self._zone_by_hash.items()):
            failing, healthy = self._split_reports(now, ReportKind.ZONE, name_hash, 0)
            same_zone = self._count_same_zone(failing)
            if same_zone >= MIN_REPORTERS - 1 and same_zone > HEALTHY_REPORT_WEIGHT * self._count_same_zone(
                healthy
            ):
                zones.append(zone)
        avoided_servers = sum(1 for zone in self._servers.zones.values() if zone in zones)
        if avoided_servers > MAX_AVOIDED_ZONE_FRACTION * len(self._servers.zones):
            zones = []
        zone_of = self._servers.zones
        self._restarted_at = {
            n: at for n, at in self._restarted_at.items() if now - at < REPORT_LIFETIME_NS and n in zone_of
        }
        restarted = tuple((name, now - at) for name, at in sorted(self._restarted_at.items()))
        return Ejections(
            tuple(EjectedServer(*pair) for pair in servers), tuple(zones), tuple(sorted(probes)), restarted
        )

    def status_rows(self, now: int) -> list[EjectionStatus]:
        """The reports and ejections by server and zone, for operators."""
        rows = []
        for kind, names in ((ReportKind.SERVER, self._servers.names), (ReportKind.ZONE, self._zone_by_hash)):
            for name_hash in self.reports.subjects(kind):
                for detail in sorted({s.report.detail for s in self.reports.find(now, kind, name_hash)}):
                    failing, healthy = self._split_reports(now, kind, name_hash, detail)
                    ejection = self._ejections.get((name_hash, detail - 1)) if kind is ReportKind.SERVER else None
                    name = str(names.get(name_hash, f"{name_hash:08x}"))
                    rows.append(EjectionStatus(
                        name if kind is ReportKind.SERVER else f"zone {name}",
                        detail - 1, ejection is not None,
                        tuple(sorted(s.owner for s in failing)), tuple(sorted(s.owner for s in healthy)),
                        now - min(s.reported_at for s in (*failing, *healthy)),
                        ejection.probed_by if ejection else -1,
                        max(0, ejection.next_probe_at - now) if ejection else 0,
                    ))  # fmt: skip
        return rows
