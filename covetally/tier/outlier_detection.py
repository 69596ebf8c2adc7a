"""What a tier makes of its nodes and zones from what each member's own calls show. No I/O; times are ns.

    node      how it comes into the state                        what is told to the balancer
    ----      ---------------------------                        ----------------------------
    well      at the start; WELL words outweigh                  nothing
    accused   a member's calls fail                              nothing
    avoided   WITNESSES accuse it, more than its WELL words do   others first; a trial only to whom the turn is
              outweigh

    A verdict is a reason to try elsewhere first, never a conviction: a balancer with nowhere else to go calls an
    avoided node. At most SHARE of the nodes are avoided, those with most witnesses.

Each WELL word weighs as much as WELL_WEIGHS accusations. It is said by a member that called the node after it
heard of the accusation, so an old success contradicts nothing, and a node that is well is cleared by the calls
it gets anyhow. Members of one zone may be cut from a node that is well for all others: accusers of this member's
own zone count against the WELL words of that zone; accusers of all zones count together only if they are of two
zones or more. An accusation for one class of calls is a verdict for that class alone.

Trials: once a verdict stands, one member calls the node, then the next if that fails, after a pause that doubles.
Whose turn it is follows from the node, who tried last and who is there (rendezvous hashing): no leader.
A member whose turn it is says so; the next in order begins `HOLD_NS` later if nothing was heard of it, so a turn
passes on when its owner is gone. Nobody's TRIES counts twice in a row, so that no one member can hold all others
off. A verdict is kept by one accuser, who has the trials' failures, and ends when nobody says anything any more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from covetally.interface import AttemptStatus
from covetally.tier.reports import REPORT_LIFETIME_NS, ReportStore, StoredReport, ReportKind, ReportStatus

MS = 1_000_000
MIN_REPORTERS = 3  # members whose accusations make a verdict
HEALTHY_REPORT_WEIGHT = 8  # accusations that one WELL word outweighs
MAX_EJECTED_FRACTION = 0.25  # of the nodes, which may be avoided at a time
MAX_AVOIDED_ZONE_FRACTION = 0.5  # of the nodes, which may stand in zones that are avoided
FAILURES_TO_REPORT = 2  # own failures in a row that are an accusation; one, where no connection comes up
FAILURE_WINDOW_NS = 2_000 * MS  # own failures further apart than this are not in a row
REPORT_JITTER_NS = (
    40 * MS
)  # words of the same are said at times this far apart at most, so that the first ones do
PROBE_SLOT_NS = 400 * MS  # a trial's turn
FIRST_PROBE_DELAY_NS = 1_000 * MS  # before the first trial, then doubled
EVALUATION_INTERVAL_NS = 1_000 * MS  # how often all verdicts are judged anew: words age
MAX_PROBE_DELAY_NS = 4_000 * MS  # so that a verdict outlives it: see LASTS_NS
ALL_CLASSES = -1  # in a verdict: every class


class EjectedServer(NamedTuple):
    """What is told to the balancer of one node: avoid it for this class, or all of them."""

    server: str
    cls: int


class Ejections(NamedTuple):
    """All verdicts in force. `turns` are the nodes whose trial is this member's; `back` those whose process is
    new, and since how many ns."""

    servers: tuple[EjectedServer, ...] = ()
    zones: tuple[int, ...] = ()
    probes: tuple[str, ...] = ()
    restarted: tuple[tuple[str, int], ...] = ()


class EjectionStatus(NamedTuple):
    """What operators see of one subject."""

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
    """This member's own calls to one subject of late."""

    count: int = 0
    process_ended: bool = False
    last_at: int = 0


@dataclass(slots=True)
class _Ejection:
    """A node that is avoided."""

    probed_at: int  # when the last trial began, or the verdict
    probe_delay_ns: int = FIRST_PROBE_DELAY_NS
    probe_number: int = 0
    probed_by: int = -1
    probing: bool = False
    next_probe_at: int = 0  # when this member would make the next trial


@dataclass(slots=True)
class _PendingReport:
    """A word to be said soon."""

    at: int
    status: ReportStatus


Subject = tuple[ReportKind, int, int]


@dataclass(slots=True)
class _ServerNames:
    """The list of nodes, and their names by mark."""

    names: dict[int, str] = field(default_factory=dict)
    zones: dict[str, int] = field(default_factory=dict)


class OutlierDetector:
    """One member's verdicts. `random` gives numbers from 0 to 1; `serving` the members that are there."""

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
        self._own_failures: dict[tuple[str, int], _OwnFailures] = {}  # by node and class
        self._silent_servers: dict[
            int, dict[str, int]
        ] = {}  # by zone: nodes that did not answer since one there did
        self._last_answered: dict[int, int] = {}  # by zone: when a call was last sent that was answered
        self._ejections: dict[tuple[int, int], _Ejection] = {}  # by mark and class
        self._pending: dict[Subject, _PendingReport] = {}
        self._restarted_at: dict[str, int] = {}
        self._process_ended_at: dict[
            int, int
        ] = {}  # by mark: when a verdict last said that its process is not there
        self._changed: set[int] = set()  # marks of nodes of which something new was said
        self._next_evaluation = 0
        self._current = Ejections()
        self.probe_count = self.ejection_count = 0  # counters

    # --- events ---------------------------------------------------------------------------------

    def update_servers(self, servers: dict[str, int]) -> None:
        """The list of nodes, with the zone of each."""
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
        """How one of this member's own calls ended that was sent then."""
        zone = self._servers.zones.get(server)
        if zone is None or status in (AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT):
            return
        name_hash = crc32(server.encode())
        for (ejected_hash, _), ejection in self._ejections.items():
            if ejected_hash == name_hash and sent >= ejection.probed_at:
                ejection.probing = False  # one call each
                self._changed.add(name_hash)
        if status in (AttemptStatus.OK, AttemptStatus.FULL, AttemptStatus.ERROR, AttemptStatus.UNUSABLE_RESPONSE):
            self._record_answered(now, server, name_hash, zone, cls, sent, status)
        if status is AttemptStatus.OK or status is AttemptStatus.FULL:
            return
        if status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED):
            self._record_unanswered(now, server, zone, sent)
        if status in (AttemptStatus.TIMEOUT, AttemptStatus.RESET):
            # A queue shows as the first, a link as the second, and what all are told to leave alone is capacity
            # that all need: measured, see docs/design/tier.md.
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
        """Its process was not there for this member and is now: it is a new one."""
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
        accused = any(
            s.report.status and s.report.detail == cls + 1
            for s in self.reports.find(now, ReportKind.SERVER, name_hash)
        )
        if failures.count >= FAILURES_TO_REPORT or process_ended or accused:
            self._schedule_report(
                now,
                ReportKind.SERVER,
                name_hash,
                cls + 1,
                ReportStatus.PROCESS_ENDED if failures.process_ended else ReportStatus.FAILING,
            )

    def record_reports(self, stored: list[StoredReport]) -> None:
        """What others have said anew."""
        self._changed.update(s.report.subject for s in stored)

    # --- what is said ---------------------------------------------------------------------------

    def _report_healthy(self, now: int, kind: ReportKind, name_hash: int, detail: int, sent: int) -> None:
        """A call was answered. If it was sent after the accusations of the subject were known, that says so."""
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
        """When `tick` wants to be called next; None while nothing is open."""
        times = [pending.at for pending in self._pending.values()]
        times += [
            ejection.probed_at + PROBE_SLOT_NS if ejection.probing else ejection.next_probe_at
            for ejection in self._ejections.values()
        ]
        if self._ejections or self._current != Ejections():
            times.append(self._next_evaluation)
        return min(times, default=None)

    def tick(self, now: int) -> bool:
        """Time has passed, or words were heard: judge anew. Whether something is to be told to all at once."""
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
        """Whether enough others have said the same, so that one more word would change nothing."""
        kind, name_hash, detail = subject
        failing, healthy = self._split_reports(now, kind, name_hash, detail)
        if self._own_report(failing, healthy) is not None:
            return False  # it takes back what it said
        if status:
            return len(failing) >= 2 * MIN_REPORTERS and self._is_ejectable(failing, healthy)
        return bool(healthy) and not self._is_ejectable(failing, healthy)

    # --- judgement ------------------------------------------------------------------------------

    def _split_reports(
        self, now: int, kind: ReportKind, name_hash: int, detail: int
    ) -> tuple[list[StoredReport], list[StoredReport]]:
        reports = [s for s in self.reports.find(now, kind, name_hash) if s.report.detail == detail]
        return [s for s in reports if s.report.status], [s for s in reports if not s.report.status]

    def _own_report(self, failing: list[StoredReport], healthy: list[StoredReport]) -> StoredReport | None:
        return next((s for s in (*failing, *healthy) if s.owner == self.index), None)

    def _count_same_zone(self, reports: list[StoredReport]) -> int:
        """How many of them are of this member's zone."""
        return sum(s.report.zone == self.zone for s in reports)

    def _is_ejectable(self, failing: list[StoredReport], healthy: list[StoredReport]) -> bool:
        """Whether accusations make a verdict for this member."""
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
        """The verdicts that stand on one node."""
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
                ejection.probe_delay_ns = (
                    PROBE_SLOT_NS  # the trial went well: the next one shall soon say the same
                )
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
        """One member's word that a node is new is believed where that node was gone by the verdict of many."""
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
        ejection.probe_number += 1
        if ejection.probe_number > 1:
            ejection.probe_delay_ns = min(2 * ejection.probe_delay_ns, MAX_PROBE_DELAY_NS)
        ejection.next_probe_at = self._next_probe(key, ejection)

    def _next_probe(self, key: tuple[int, int], ejection: _Ejection) -> int:
        """When this member would make the next trial, if nobody before it in the order does."""
        present_members = self._present_members()
        own_rank = self._rank(key, ejection, self.index)
        rank = sum(1 for n in present_members if n not in (self.index, ejection.probed_by)
                   and self._rank(key, ejection, n) > own_rank)  # fmt: skip
        if ejection.probed_by == self.index:
            rank = len(present_members)
        return ejection.probed_at + ejection.probe_delay_ns + rank * PROBE_SLOT_NS

    def _rank(self, key: tuple[int, int], ejection: _Ejection, member: int) -> int:
        return crc32(f"{key[0]}/{key[1]}/{ejection.probed_by}/{member}".encode())

    # --- what comes of it -----------------------------------------------------------------------

    def ejections(self) -> Ejections:
        """All verdicts in force, as of the last `tick`."""
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
        """What is said of nodes and zones, for operators."""
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
