"""What a managed sidecar can tell of itself."""

from __future__ import annotations

import logging
import os
import time
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

from covetally.net.http_message import HttpResponse

if TYPE_CHECKING:
    from covetally.loop_monitor import LoopMonitor
    from covetally.net.config import Config
    from covetally.net.frontend import Frontend
    from covetally.net.sidecar import Sidecar
    from covetally.net.upstream import Upstream

LINES = 100
REFUSALS = (429, 503)


class Ring(logging.Handler):
    """The last log lines, and the last of them that tell of trouble."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: deque[dict[str, Any]] = deque(maxlen=LINES)
        self.errors: deque[dict[str, Any]] = deque(maxlen=20)

    def emit(self, record: logging.LogRecord) -> None:
        line = {"at": record.created, "level": record.levelname, "text": record.getMessage()[:500]}
        self.lines.append(line)
        if record.levelno >= logging.WARNING:
            self.errors.append(line)


class Roster(Protocol):
    """What is told of a roster with every heartbeat."""

    def brief(self) -> dict[str, Any]:
        """Its level and how many nodes it has."""


class Measured(Protocol):
    """What of a sidecar is read. `roster` is None where the platform's list is believed at once."""

    config: Config
    sidecar: Sidecar
    frontend: Frontend
    upstream: Upstream
    monitor: LoopMonitor
    roster: Roster | None
    address: tuple[str, int]

    @property
    def state(self) -> str:
        """serving or draining."""


class Gauges:
    """Counts final answers by class, from `start` to `stop`."""

    def __init__(self, process: Measured) -> None:
        self._process = process
        self._classes = [c.name for c in process.config.settings.classes]
        # served, refused, failed, the client left
        self._counts = [[0, 0, 0, 0] for _ in self._classes]
        self.ring = Ring()
        self.started = time.time()

    def start(self) -> None:
        """Begin to count."""
        self._process.sidecar.on_completed = self._final
        logging.getLogger().addHandler(self.ring)

    def stop(self) -> None:
        """Count no more."""
        self._process.sidecar.on_completed = None
        logging.getLogger().removeHandler(self.ring)

    def _final(self, cls: int, answer: HttpResponse | None) -> None:
        if answer is None:
            kind = 3
        elif answer.status == 200:
            kind = 0
        else:
            kind = 1 if answer.status in REFUSALS else 2
        self._counts[cls][kind] += 1

    # --- what is told ---------------------------------------------------------------------------

    def counts(self) -> dict[str, list[int]]:
        """By class: [served, refused, failed, left] since the start."""
        return dict(zip(self._classes, map(list, self._counts), strict=True))

    def beat(self) -> dict[str, Any]:
        """What goes with every heartbeat. The worst lag is of the time since the last one."""
        process = self._process
        return {
            "counts": self.counts(),
            "shed": process.frontend.shed_requests,
            "open": process.sidecar.open_requests,
            "lag_ms": round(process.monitor.take_max_delay_s() * 1000, 1),
            "state": process.state,
        } | ({"roster": process.roster.heartbeat_summary()} if process.roster is not None else {})

    async def logs(self) -> list[dict[str, Any]]:
        """The last log lines, oldest first."""
        return list(self.ring.lines)

    async def snapshot(self) -> dict[str, Any]:
        """All there is to tell."""
        process, config = self._process, self._process.config
        return self.beat() | {
            "pid": os.getpid(),
            "started": self.started,
            "memory_kib": _resident_kib(),
            "listen": "{}:{}".format(*process.address),
            "limits": {
                "client_connections": [process.frontend.connections, config.client_connections],
                "server_connections": [process.upstream.connections, config.server_connections],
                "body_memory": [config.body_memory - process.frontend.budget.free, config.body_memory],
                "memory": [_resident_kib() * 1024, config.memory],
                "max_attempts": config.settings.limits.max_attempts,
            },
            "classes": {
                c.name: {"aim_ms": c.aim_ns / 1e6, "deadline_ms": c.deadline_ns / 1e6, "repeat": c.repeat}
                for c in config.settings.classes
            },
            "nodes": [
                {
                    "node": b.server, "up": b.up, "k": b.steps, "figure": round(b.step_size, 2),
                    "in_flight": b.inflight, "age_s": round(b.age_ns / 1e9, 1) if b.age_ns >= 0 else None,
                    "trial": b.probing, "retry_s": round(b.next_probe_ns / 1e9, 2),
                    "bad": round(b.failure_ratio, 3), "refused": b.connect_failures,
                    "wait_ms": round(b.wait_ns / 1e6, 1), "why": b.reason,
                }
                for b in process.sidecar.server_statuses()
            ],
            "held_up": {"count": process.monitor.stalls, "longest_s": round(process.monitor.longest_stall_s, 3)},
            "violations": process.sidecar.violations.table(),
            "closed": {reason.value: count for reason, count in process.frontend.closed.items()},
            "errors": list(self.ring.errors),
        }  # fmt: skip


def _resident_kib() -> int:
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024
    except (OSError, ValueError, IndexError):  # not Linux
        return 0
