"""The state of one sidecar's balancer: servers, calls, and what was learned about them.

The other modules of this package are functions on this state. Times are whole nanoseconds on the clock of the
events.
"""

from __future__ import annotations

import random
from collections import deque

from covetally.interface import Action, AdmissionThreshold, Settings
from covetally.policy.quota import Quota
from covetally.policy.calls import Attempt, Call, OnTimeStats
from covetally.policy.constants import MAX_STEPS, RETRY_RATIO, TIME_RATIO_BOUNDS
from covetally.policy.server import Server

MIN_STEP_SIZE = 1.0  # least initial step size of a server, in calls
# The number of calls that a server is assumed to work on at once. The sidecars share it as their initial step
# size.
SERVER_CONCURRENCY = 4.0


class BalancerState:
    """What one sidecar knows. Private to this package: other packages use `Balancer`."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.rng = random.Random(seed)
        self.random = self.rng.random
        self.actions: list[Action] = []
        # The step size of the whole sidecar, of which this process has its budget share.
        self.whole_step_size = max(MIN_STEP_SIZE, SERVER_CONCURRENCY / settings.replicas)
        self.step_size = self.whole_step_size * settings.budget_share
        self.max_steps = max(1, int(MAX_STEPS / self.whole_step_size))
        self.servers: dict[str, Server] = {}
        self.up: list[Server] = []
        self.available: list[Server] = []  # servers below budget, in an order that does not depend on hashing
        self.live_count = 0  # servers that are up and not ejected: their steps are above 0
        self.ring: list[tuple[int, Server]] = []  # the hash ring of key affinity
        self.subset: list[Server] = []  # servers up, in this sidecar's own order of preference
        self.groups: dict[int, list[Server]] = {}  # servers up by cell, and by zone under -1 - zone
        self.by_hash: dict[int, Server] = {}
        self.calls: dict[str, Call] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.queue: deque[Call] = deque()  # calls that wait for a server, in arrival order
        self.timer_at = 0  # when to look at the queue next
        self.pending_timers = 0  # timers of that which have not fired
        self.class_service_ns = [c.aim_ns / 4 for c in settings.classes]  # learned mean service time by class
        self.service_ratio = 1.0  # mean of service time over call size, for all servers
        self.ratio_by_kind: dict[int, float] = {}
        self.mean_waits = [0.0, 0.0]  # moving average of reported waits, of warm servers and of cold ones
        self.mean_waits_at = [now, now]
        # Moving average of the time that this process itself adds between an attempt's submission and its result.
        self.local_delay = 0.0
        self.local_delay_at = now
        # When the current run of requests that waited too long began, and its last request so far.
        self.late_since = self.last_late_at = 0
        self.shedding = False  # requests that waited are refused, unread if possible: see `overload_hold_off`
        self.mean_size = float(sum(self.class_service_ns)) / len(settings.classes)  # moving average of call sizes
        self.retry_tokens = 1.0 / RETRY_RATIO
        self.probe_tokens = 1.0
        self.failure_ratio = 0.0  # moving average of failures, for all servers
        self.class_failures: dict[int, float] = {}  # by class: moving average of failures, for all servers
        self.on_time_stats = [OnTimeStats(now) for _ in range(len(TIME_RATIO_BOUNDS) + 1)]
        self.zone_failures: dict[int, float] = {}  # by zone: moving average of calls that got no response
        self.zone_answered_at: dict[int, int] = {}  # by zone: send time of the last call that got any response
        self.unanswered: dict[int, list[int]] = {}  # by zone: send times of calls since the last response
        self.zone_alert = False  # any zone may count as cut off, or the tier warns
        self.recent_requests = 0.0  # decaying count of requests
        self.recent_requests_at = now
        self.quotas: dict[int, list[Quota]] = {}  # by tenant
        self.warnings_until = 0
        self.warned_servers: list[Server] = []
        self.warned_zones: tuple[int, ...] = ()
        self.admission = AdmissionThreshold()
        self.high_traffic = False  # more than HIGH_TRAFFIC_REQUESTS recent requests per server
        self.unserved: dict[tuple[int, int, str, int], int] = {}  # first arrival by retry signature
        self.key_counts: dict[str, int] = {}
        self.key_total = 0
        self.has_full_list = False  # this process has had a full list, so a server not in it is new
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings for the same classes. Keep what was learned, and the deadlines of open calls."""
        self.settings = settings
        self.set_step_size(self.whole_step_size * settings.budget_share)
        self.horizon = max(c.deadline_ns for c in settings.classes)
        aim = min(c.aim_ns for c in settings.classes)
        self.queue_check_ns = aim // 16  # interval between looks at the queue
        self.queue_age_limit = aim // 4  # requests older than this are refused under overload
        self.wait_memory = 4 * aim  # a server's queue builds up and drains within a few times the aim
        self.ratio_memory = 8 * self.horizon
        self.cross_zone_price, self.handshake_price = (
            settings.prices.get(name, 0.0) for name in ("crossZone", "handshake")
        )
        self.conn_idle = settings.limits.conn_idle_ns

    def set_step_size(self, step_size: float) -> None:
        """Rescale the budgets of all servers to a new step size."""
        if step_size != self.step_size:
            for server in self.servers.values():
                server.step_size *= step_size / self.step_size
                server.max_step_size = step_size
                self.update_available(server)
            self.step_size = step_size

    def update_available(self, server: Server) -> None:
        """Add a changed server to `available`, or remove it, according to its budget."""
        steps = server.steps  # the next line is `Server.budget`, inlined for speed
        below = server.up and server.inflight < ((int(steps * server.step_size) or 1) if steps else 0)
        if below == (server.available_index >= 0):
            return
        if below:
            server.available_index = len(self.available)
            self.available.append(server)
        else:
            last = self.available.pop()
            if last is not server:
                self.available[server.available_index] = last
                last.available_index = server.available_index
            server.available_index = -1

    def remove_if_done(self, server: Server) -> None:
        """Delete a server that has left the list, once no attempt there is pending.

        Server names are never reused, so keeping them would leak memory.
        """
        if server.removed and not server.inflight:
            self.servers.pop(server.name, None)
