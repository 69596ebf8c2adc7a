"""The state that a sidecar keeps for one server."""

from __future__ import annotations

from zlib import crc32

from covetally.interface import ServerEntry


class Server:
    """One server as this sidecar knows it: its list entry, its budget, and what attempts and reports showed."""

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

    def __init__(self, entry: ServerEntry, step_size: float) -> None:
        self.name = entry.server
        self.max_step_size = step_size
        self.warned_classes: tuple[int, ...] = ()  # classes for which the tier avoids the server; -1: all
        self.phase = crc32(entry.server.encode())  # with the sidecar's index it sets the time slots of `has_turn`
        self.probed_at = self.connected_at = 0  # when it was last probed, and when a connection was last opened
        self.probe_turn = False  # the tier has assigned its single probe to this sidecar
        self.upgraded = 0  # open upgraded connections
        self.inflight = 0
        self.connections = 0  # open connections, estimated from the largest number of calls in flight
        self.last_used = 0  # when a connection was last used
        self.available_index = -1  # index in `BalancerState.available`; -1: not in it
        self.up = False
        self.removed = False  # no longer listed: deleted after its last attempt has ended
        self.listed_start = -1  # start time in the last list entry, by another clock; -1: not listed yet
        self.started = -1  # start time on this sidecar's clock: slow start counts from here
        self.reset()

    def reset(self) -> None:
        """Discard what was learned about the server's previous process."""
        self.steps, self.step_size = 1, self.max_step_size
        self.probing = False
        self.backoff = self.retry_at = 0
        self.service_ratio = self.wait = 0.0
        self.observed_at = 0  # when times were last observed; 0: never, so the fleet's means are used
        self.failure_ratio = 0.0  # moving average of failures
        self.timeout_ratio = 0.0  # moving average of timeouts, for as long as they count as isolated
        self.class_failures: dict[int, float] = {}  # by class: moving average of failures and timeouts
        self.connect_failures = 0  # failed connections since the last success

    @property
    def budget(self) -> int:
        """The number of calls that this sidecar may have in flight at the server."""
        return (int(self.steps * self.step_size) or 1) if self.steps else 0
