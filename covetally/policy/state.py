"""All that one sidecar knows: servers, calls, and figures learned. The rules that read it are in the modules
round it; times are whole nanoseconds on the clock of the events."""

from __future__ import annotations

import random
from collections import deque

from covetally.interface import Action, AdmissionThreshold, Settings
from covetally.policy.quota import Quota
from covetally.policy.calls import Attempt, Call, Odds
from covetally.policy.constants import RATIOS, RETRY_RATIO, STEPS
from covetally.policy.server import Server

FIGURE = 1.0  # least concurrency figure of a server nothing is known of: each step admits so many
SERVER = 4.0  # calls that a server is taken to work on at a time, shared among the sidecars: a first figure


class BalancerState:
    """What one sidecar knows. Private to this package: others see `Balancer`."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.rng = random.Random(seed)
        self.random = self.rng.random
        self.actions: list[Action] = []
        self.whole_step_size = max(FIGURE, SERVER / settings.replicas)  # the figure of all that share the budgets
        self.step_size = self.whole_step_size * settings.budget_share
        self.max_steps = max(1, int(STEPS / self.whole_step_size))
        self.servers: dict[str, Server] = {}
        self.up: list[Server] = []
        self.available: list[Server] = []  # servers under budget, in no order that hashing could change
        self.live_count = 0  # servers up with k above 0
        self.ring: list[tuple[int, Server]] = []
        self.subset: list[Server] = []
        self.groups: dict[int, list[Server]] = {}
        self.by_hash: dict[int, Server] = {}
        self.calls: dict[str, Call] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.queue: deque[Call] = deque()
        self.timer_at = 0
        self.class_service_ns = [c.aim_ns / 4 for c in settings.classes]  # mean service time by class, as learned
        self.service_ratio = 1.0  # service time over size, all servers
        self.ratio_by_kind: dict[int, float] = {}
        self.mean_waits = [0.0, 0.0]  # mean wait reported of late, of servers that are warm and of cold ones
        self.mean_waits_at = [now, now]
        self.local_delay = (
            0.0  # this process's own delay of late, between an attempt's submission and its outcome
        )
        self.local_delay_at = now
        # First and last request that waited too long, of those now coming.
        self.late_since = self.last_late_at = 0
        self.shedding = (
            False  # requests that waited are refused, unread where that can be; see `overload_hold_off`
        )
        self.mean_size = float(sum(self.class_service_ns)) / len(settings.classes)  # mean size of late
        self.retry_tokens = 1.0 / RETRY_RATIO
        self.probe_tokens = 1.0
        self.failure_ratio = 0.0  # share of late outcomes that were failures, all servers
        self.class_failures: dict[int, float] = {}  # by class: the same of all servers
        self.on_time_stats = [Odds(now) for _ in range(len(RATIOS) + 1)]
        self.zone_failures: dict[int, float] = {}  # share of late calls to a zone that found it silent
        self.zone_answered_at: dict[
            int, int
        ] = {}  # by zone: when a call was last sent that was answered, in whatever way
        self.zone_unanswered: dict[int, list[int]] = {}  # by zone: when calls were sent since an answer came
        self.zone_alert = False  # whether any zone may count as cut off
        self.recent_requests = 0.0  # requests of late, decaying over the horizon
        self.recent_requests_at = now
        self.quotas: dict[int, list[Quota]] = {}  # by tenant
        self.warnings_until = 0
        self.warned_servers: list[Server] = []
        self.warned_zones: tuple[int, ...] = ()
        self.admission = AdmissionThreshold()  # the fleet's, in force until its time
        self.high_traffic = False  # "many calls": over PLENTY of late for each server
        self.unserved: dict[tuple[int, int, str, int], int] = {}
        self.key_counts: dict[str, int] = {}
        self.key_total = 0
        self.subscribe_at = 0
        self.subscribed = False
        self.has_full_list = False  # the whole list was told to this process: what comes now is new
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Go on with other figures for the same classes. What was learned stays, as do open calls' deadlines."""
        self.settings = settings
        self.set_step_size(self.whole_step_size * settings.budget_share)
        self.horizon = max(c.deadline_ns for c in settings.classes)
        aim = min(c.aim_ns for c in settings.classes)
        self.queue_check_ns = aim // 16  # how often held calls are looked at
        self.queue_age_limit = aim // 4  # ages past this are refused under overload; see `overload_hold_off`
        self.wait_memory = 4 * aim  # queues come and go in a few times the aim
        self.ratio_memory = 8 * self.horizon
        self.cross_zone_price, self.handshake_price = (
            settings.prices.get(name, 0.0) for name in ("crossZone", "handshake")
        )
        self.conn_idle = settings.limits.conn_idle_ns

    def set_step_size(self, figure: float) -> None:
        """Have another part of the budgets from here on."""
        if figure != self.step_size:
            for server in self.servers.values():
                server.step_size *= figure / self.step_size
                server.max_step_size = figure
                self.update_available(server)
            self.step_size = figure

    def update_available(self, server: Server) -> None:
        """Keep the list of servers under budget true after any change to a server."""
        k = server.steps  # what follows is `budget`, without the call
        fits = server.up and server.inflight < ((int(k * server.step_size) or 1) if k else 0)
        if fits == (server.available_index >= 0):
            return
        if fits:
            server.available_index = len(self.available)
            self.available.append(server)
        else:
            last = self.available.pop()
            if last is not server:
                self.available[server.available_index] = last
                last.available_index = server.available_index
            server.available_index = -1

    def remove_if_done(self, server: Server) -> None:
        """Ids are ever new: what is kept for each must end with it. Attempts still out need it a while."""
        if server.removed and not server.inflight:
            self.servers.pop(server.name, None)
