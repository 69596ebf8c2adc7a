"""The load of the nodes as one sidecar measures it, over the last half second.

The load is the queueing time that the nodes report, relative to the time at which the admission level should
rise. Where nodes report no queues, it is the share of late and timed-out attempts, relative to LATE_SHARE. In
both cases the level rises from a ratio of 1.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from covetally.interface import SECOND, AttemptStatus, AttemptEnded, Settings

WINDOW_NS = SECOND // 4
WINDOWS = 2
LATE_SHARE = 0.1  # share of late or timed-out attempts that is a load of 1
MAX_WAIT_NS = 60 * SECOND  # a longer reported wait is taken as an error of the report
# Caused by links and clients, not by load.
IGNORED_OUTCOMES = frozenset({AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT, AttemptStatus.CONNECT_FAILED})


@dataclass(slots=True)
class WindowCounts:
    """Counts of one window. `wait_sum_ns` is the sum of the waits that `reports` reports had."""

    admitted: int = 0
    served: int = 0
    ended: int = 0
    late: int = 0
    wait_sum_ns: float = 0.0
    reports: int = 0
    tenants: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Measurements of half a second, as members send them to each other.

    `weight` is the number of outcomes, `ratio` the load, and `tenants` has pairs of a tenant and its requests.
    """

    weight: int
    ratio: float
    admitted: int
    served: int
    tenants: tuple[tuple[int, int], ...] = ()


class LoadMonitor:
    """Counts one sidecar's requests and attempts in windows of WINDOW_NS."""

    def __init__(self, settings: Settings, now: int) -> None:
        self.target_ns = min(c.aim_ns for c in settings.classes) / 3
        self._current = WindowCounts()
        self._past: deque[WindowCounts] = deque(maxlen=WINDOWS)
        self._rotated_at = now

    def record_request(self, tenant: int, admitted: bool) -> None:
        """Count a request that arrived."""
        self._current.admitted += admitted
        self._current.tenants[tenant] = self._current.tenants.get(tenant, 0) + 1

    def record_answer(self, served: bool) -> None:
        """Count an admitted request that got its answer."""
        self._current.served += served

    def record_attempt(self, event: AttemptEnded, late: bool) -> None:
        """Count an attempt that ended; `late` says whether that was after its class's aim."""
        if event.status in IGNORED_OUTCOMES:
            return
        counts = self._current
        counts.ended += 1
        counts.late += late or event.status in (AttemptStatus.TIMEOUT, AttemptStatus.FULL)
        wait = reported_wait(event.load)
        if wait is not None:
            counts.wait_sum_ns += wait
            counts.reports += 1

    def rotate(self, now: int) -> None:
        """End the current window. After a pause of the process all earlier counts are dropped as outdated."""
        if now - self._rotated_at > WINDOWS * WINDOW_NS:
            self._past.clear()
        else:
            self._past.append(self._current)
        self._current, self._rotated_at = WindowCounts(), now

    def sample(self) -> LoadSample:
        """Return the measurements of the last WINDOWS complete windows."""
        past = self._past
        ended, reports = sum(c.ended for c in past), sum(c.reports for c in past)
        late = sum(c.late for c in past) / ended / LATE_SHARE if ended else 0.0
        wait = sum(c.wait_sum_ns for c in past) / reports / self.target_ns if reports else 0.0
        # Where nodes report their queues, late attempts only show that some node is slow or silent.
        ratio = wait if 2 * reports >= ended else late
        tenants: dict[int, int] = {}
        for counts in past:
            for tenant, requests in counts.tenants.items():
                tenants[tenant] = tenants.get(tenant, 0) + requests
        return LoadSample(
            ended, min(ratio, 25.0), sum(c.admitted for c in past), sum(c.served for c in past),
            tuple(sorted(tenants.items())),
        )  # fmt: skip


def reported_wait(load: Mapping[str, float]) -> float | None:
    """Return the queueing time in ns that a load report implies by Little's law; None if it implies none."""
    queue, rate = load.get("queue", -1.0), load.get("qps", 0.0)
    if not 0 <= queue < 1e9:  # NaN too
        return None
    if queue == 0:
        return 0.0
    wait = queue / rate * SECOND if rate > 0 else queue * max(0.0, load.get("latency_ms", 0.0)) * 1e6 / 4
    return wait if wait < MAX_WAIT_NS else None
