"""What a sidecar knows of one server."""

from __future__ import annotations

from zlib import crc32

from covetally.interface import ServerEntry


class Server:
    """What this sidecar knows of one server."""

    __slots__ = (
        "name",
        "zone",
        "kind",
        "cell",
        "up",
        "started",
        "inflight",
        "steps",
        "step_size",
        "probing",
        "backoff",
        "retry_at",
        "service_ratio",
        "wait",
        "observed_at",
        "failure_ratio",
        "connections",
        "last_used",
        "available_index",
        "connect_failures",
        "removed",
        "max_step_size",
        "timeout_ratio",
        "class_failures",
        "upgraded",
        "warned_classes",
        "probe_turn",
        "phase",
        "probed_at",
        "connected_at",
        "listed_start",
    )

    def __init__(self, entry: ServerEntry, figure: float) -> None:
        self.name = entry.server
        self.max_step_size = figure
        self.warned_classes: tuple[
            int, ...
        ] = ()  # classes for which the tier tells to try elsewhere first; -1: all
        self.phase = crc32(entry.server.encode())  # with this sidecar's number: its turns of the fleet's
        self.probed_at = self.connected_at = 0  # when last tried, and when a connection was last opened
        self.probe_turn = False  # the tier's one trial call there is this sidecar's
        self.upgraded = 0  # connections of another protocol that stand there: see "upgrade"
        self.inflight = 0
        self.connections = 0  # connections open, as far as own calls in flight tell
        self.last_used = 0  # when a connection was last used
        self.available_index = -1  # place in the list of servers under budget, -1 when not in it
        self.up = False
        self.removed = False  # off the list: forgotten with its last outcome
        self.listed_start = -1  # as the list last had it, on whatever clock; -1: not on the list yet
        self.started = -1  # on this sidecar's clock: slow start counts from here
        self.reset()

    def reset(self) -> None:
        """A new process: nothing learned of the old one holds."""
        self.steps, self.step_size = 1, self.max_step_size
        self.probing = False
        self.backoff = self.retry_at = 0
        self.service_ratio = self.wait = 0.0
        self.observed_at = 0  # 0: never heard of, so the fleet's mean stands in
        self.failure_ratio = 0.0  # share of late outcomes that were failures
        self.timeout_ratio = 0.0  # share of late outcomes that were time-outs, while they teach nothing else
        self.class_failures: dict[
            int, float
        ] = {}  # by class: share of late outcomes that were failures or time-outs
        self.connect_failures = 0  # connections that failed since the last success

    @property
    def budget(self) -> int:
        return (int(self.steps * self.step_size) or 1) if self.steps else 0
