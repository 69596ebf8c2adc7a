"""The status that a managed sidecar reports: counters, health, a full snapshot and its last log lines."""

from __future__ import annotations

import logging
import os
import time
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

from covetally.net.http_message import HttpResponse
from covetally.net.memory import MemoryKind
from covetally.net.resident_memory import resident_bytes

if TYPE_CHECKING:
    from covetally.loop_monitor import LoopMonitor
    from covetally.net.config import Config
    from covetally.net.frontend import Frontend
    from covetally.net.sidecar import Sidecar
    from covetally.net.upstream import Upstream

MAX_LOG_LINES = 100
REFUSED_STATUSES = (429, 503)


class RecentLog(logging.Handler):
    """A log handler that keeps the last log lines, and the last warnings and errors among them."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: deque[dict[str, Any]] = deque(maxlen=MAX_LOG_LINES)
        self.errors: deque[dict[str, Any]] = deque(maxlen=20)

    def emit(self, record: logging.LogRecord) -> None:
        line = {"at": record.created, "level": record.levelname, "text": record.getMessage()[:500]}
        self.lines.append(line)
        if record.levelno >= logging.WARNING:
            self.errors.append(line)


class Roster(Protocol):
    """The part of a roster that every heartbeat reports."""

    def heartbeat_summary(self) -> dict[str, Any]:
        """Return its level and its number of nodes."""


class ObservedProcess(Protocol):
    """What is read from a sidecar process. `roster` is None where the platform's list is applied at once."""

    config: Config
    sidecar: Sidecar
    frontend: Frontend
    upstream: Upstream
    monitor: LoopMonitor
    roster: Roster | None
    address: tuple[str, int]

    @property
    def state(self) -> str:
        """`serving` or `draining`."""


class ProcessStatus:
    """The status of one sidecar process. Counts final answers by class between `start` and `stop`."""

    def __init__(self, process: ObservedProcess) -> None:
        self._process = process
        self._class_names = [c.name for c in process.config.settings.classes]
        # By class: served, refused, failed, client disconnected.
        self._counts = [[0, 0, 0, 0] for _ in self._class_names]
        self.recent_log = RecentLog()
        self.started = time.time()

    def start(self) -> None:
        """Start counting final answers and recording log lines."""
        self._process.sidecar.on_completed = self._count_answer
        logging.getLogger().addHandler(self.recent_log)

    def stop(self) -> None:
        """Stop counting and recording."""
        self._process.sidecar.on_completed = None
        logging.getLogger().removeHandler(self.recent_log)

    def _count_answer(self, cls: int, answer: HttpResponse | None) -> None:
        if answer is None:
            outcome = 3
        elif answer.status == 200:
            outcome = 0
        else:
            outcome = 1 if answer.status in REFUSED_STATUSES else 2
        self._counts[cls][outcome] += 1

    # --- reports --------------------------------------------------------------------------------

    def counts(self) -> dict[str, list[int]]:
        """Return [served, refused, failed, client disconnected] by class since the start."""
        return dict(zip(self._class_names, map(list, self._counts), strict=True))

    def heartbeat(self) -> dict[str, Any]:
        """Return the content of a heartbeat. `lag_ms` is the worst loop lag since the previous one."""
        process = self._process
        return {
            "counts": self.counts(),
            "shed": process.frontend.shed_requests,
            "open": process.sidecar.open_requests,
            "lag_ms": round(process.monitor.take_max_delay_s() * 1000, 1),
            "state": process.state,
        } | ({"roster": process.roster.heartbeat_summary()} if process.roster is not None else {})

    async def logs(self) -> list[dict[str, Any]]:
        """Return the last log lines, oldest first."""
        return list(self.recent_log.lines)

    async def snapshot(self) -> dict[str, Any]:
        """Return the full status: the heartbeat, limits, classes, nodes, violations and recent errors."""
        process, config = self._process, self._process.config
        memory = process.frontend.memory
        return self.heartbeat() | {
            "pid": os.getpid(),
            "started": self.started,
            "memory_kib": resident_bytes() // 1024,
            "listen": "{}:{}".format(*process.address),
            "limits": {
                "client_connections": [process.frontend.connections, config.client_connections],
                "server_connections": [process.upstream.connections, config.server_connections],
                "body_memory": [memory.held[MemoryKind.INCOMPLETE], config.body_memory],
                "peer_memory": [memory.used, memory.size],
                "memory": [resident_bytes(), config.memory],
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
            "surplus_answers": process.upstream.guard.table(process.upstream.loop.time()),
            "peer_memory": memory.table(),
            "violations": process.sidecar.violations.table(),
            "closed": {reason.value: count for reason, count in process.frontend.closed.items()},
            "errors": list(self.recent_log.errors),
        }  # fmt: skip
