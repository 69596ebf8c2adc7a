"""What one sidecar sees of the fleet's load, counted over the last half second.

How far the nodes' queues are from where they should be is told by their reports; where they tell nothing, by
how many calls were late or timed out. Both are given as a ratio: 1 is where the line begins to move.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from covetally.interface import SECOND, How, Response, Settings

WINDOW_NS = SECOND // 4
WINDOWS = 2
LATE = 0.1  # share of calls late or timed out at which the line begins to move
ABSURD_NS = 60 * SECOND
NO_SIGN = frozenset({How.CANCELLED, How.MOOT, How.CONNECT_FAILED})  # tell of links and clients, not of load


@dataclass(slots=True)
class Counts:
    """What happened in a window. `waits` adds up reported waits in ns, `told` is how many reports there were."""

    admitted: int = 0
    served: int = 0
    ended: int = 0
    late: int = 0
    waits: float = 0.0
    told: int = 0
    tenants: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Seen:
    """Half a second's worth, as it is told to others: `weight` outcomes; `ratio` of the load to where the line
    moves."""

    weight: int
    ratio: float
    admitted: int
    served: int
    tenants: tuple[tuple[int, int], ...] = ()


class Pressure:
    """Windows of one sidecar."""

    def __init__(self, settings: Settings, now: int) -> None:
        self.target_ns = min(c.aim_ns for c in settings.classes) / 3
        self._now = Counts()
        self._past: deque[Counts] = deque(maxlen=WINDOWS)
        self._turned = now

    def asked(self, tenant: int, admitted: bool) -> None:
        """A request has come."""
        self._now.admitted += admitted
        self._now.tenants[tenant] = self._now.tenants.get(tenant, 0) + 1

    def ended(self, served: bool) -> None:
        """A request that was let in has its answer."""
        self._now.served += served

    def outcome(self, event: Response, late: bool) -> None:
        """An attempt has ended, after its class's aim if `late`."""
        if event.how in NO_SIGN:
            return
        counts = self._now
        counts.ended += 1
        counts.late += late or event.how in (How.TIMEOUT, How.FULL)
        wait = reported_wait(event.load)
        if wait is not None:
            counts.waits += wait
            counts.told += 1

    def turn(self, now: int) -> None:
        """A window ends. After a standstill what was counted before it says nothing."""
        if now - self._turned > WINDOWS * WINDOW_NS:
            self._past.clear()
        else:
            self._past.append(self._now)
        self._now, self._turned = Counts(), now

    def seen(self) -> Seen:
        """The last half second."""
        past = self._past
        ended, told = sum(c.ended for c in past), sum(c.told for c in past)
        late = sum(c.late for c in past) / ended / LATE if ended else 0.0
        wait = sum(c.waits for c in past) / told / self.target_ns if told else 0.0
        # Where nodes tell their queues, late calls alone are those that a slow or silent node costs.
        ratio = wait if 2 * told >= ended else late
        tenants: dict[int, int] = {}
        for counts in past:
            for tenant, asked in counts.tenants.items():
                tenants[tenant] = tenants.get(tenant, 0) + asked
        return Seen(
            ended, min(ratio, 25.0), sum(c.admitted for c in past), sum(c.served for c in past),
            tuple(sorted(tenants.items())),
        )  # fmt: skip


def reported_wait(load: Mapping[str, float]) -> float | None:
    """The wait that a report tells, in ns, by Little's law; None if it tells none."""
    queue, rate = load.get("queue", -1.0), load.get("qps", 0.0)
    if not 0 <= queue < 1e9:  # NaN too
        return None
    if queue == 0:
        return 0.0
    wait = queue / rate * SECOND if rate > 0 else queue * max(0.0, load.get("latency_ms", 0.0)) * 1e6 / 4
    return wait if wait < ABSURD_NS else None
