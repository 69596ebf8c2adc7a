"""All that one sidecar knows: servers, calls, and figures learned. The rules that read it are in the modules
round it; times are whole nanoseconds on the clock of the events."""

from __future__ import annotations

import random
from collections import deque

from covetally.interface import Action, Line, Settings
from covetally.policy.quota import Quota
from covetally.policy.calls import Attempt, Call, Odds
from covetally.policy.constants import RATIOS, RETRY_RATIO, STEPS
from covetally.policy.server import Server

FIGURE = 1.0  # least concurrency figure of a server nothing is known of: each step admits so many
SERVER = 4.0  # calls that a server is taken to work on at a time, shared among the sidecars: a first figure


class Book:
    """What one sidecar knows. Private to this package: others see `Balancer`."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.rng = random.Random(seed)
        self.random = self.rng.random
        self.acts: list[Action] = []
        self.whole = max(FIGURE, SERVER / settings.replicas)  # the figure of all that share the budgets
        self.figure = self.whole * settings.part
        self.steps = max(1, int(STEPS / self.whole))
        self.servers: dict[str, Server] = {}
        self.up: list[Server] = []
        self.room: list[Server] = []  # servers under budget, in no order that hashing could change
        self.live = 0  # servers up with k above 0
        self.ring: list[tuple[int, Server]] = []
        self.subset: list[Server] = []
        self.groups: dict[int, list[Server]] = {}
        self.by_mark: dict[int, Server] = {}
        self.calls: dict[str, Call] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.held: deque[Call] = deque()
        self.alarm_at = 0
        self.unit = [c.aim_ns / 4 for c in settings.classes]  # mean service time by class, as learned
        self.stretch = 1.0  # service time over size, all servers
        self.by_kind: dict[int, float] = {}
        self.waits = [0.0, 0.0]  # mean wait reported of late, of servers that are warm and of cold ones
        self.waits_at = [now, now]
        self.own = 0.0  # this process's own delay of late, between an attempt's submission and its outcome
        self.own_at = now
        self.late_from = self.late_at = 0  # first and last request that waited too long, of those now coming
        self.shedding = False  # requests that waited are refused, at a glance where that can be; see `glance`
        self.size = float(sum(self.unit)) / len(settings.classes)  # mean size of late
        self.tokens = 1.0 / RETRY_RATIO
        self.trials = 1.0
        self.noise = 0.0  # share of late outcomes that were failures, all servers
        self.fails: dict[int, float] = {}  # by class: the same of all servers
        self.odds = [Odds(now) for _ in range(len(RATIOS) + 1)]
        self.cut: dict[int, float] = {}  # share of late calls to a zone that found it silent
        self.spoke: dict[int, int] = {}  # by zone: when a call was last sent that was answered, in whatever way
        self.unheard: dict[int, list[int]] = {}  # by zone: when calls were sent since an answer came
        self.cuts = False  # whether any zone may count as cut off
        self.heard = 0.0  # requests of late, decaying over the horizon
        self.heard_at = now
        self.allotted: dict[int, list[Quota]] = {}  # by tenant
        self.warned_until = 0
        self.warned: list[Server] = []
        self.warned_zones: tuple[int, ...] = ()
        self.line = Line()  # the fleet's, in force until its time
        self.many = False  # "many calls": over PLENTY of late for each server
        self.unserved: dict[tuple[int, int, str, int], int] = {}
        self.keys: dict[str, int] = {}
        self.keys_total = 0
        self.asked_at = 0
        self.watching = False
        self.listed = False  # the whole list was told to this process: what comes now is new
        self.retune(settings)

    def retune(self, settings: Settings) -> None:
        """Go on with other figures for the same classes. What was learned stays, as do open calls' deadlines."""
        self.settings = settings
        self.portion(self.whole * settings.part)
        self.horizon = max(c.deadline_ns for c in settings.classes)
        aim = min(c.aim_ns for c in settings.classes)
        self.pace = aim // 16  # how often held calls are looked at
        self.old = aim // 4  # ages past this are refused under overload; see `glance`
        self.settle = 4 * aim  # queues come and go in a few times the aim
        self.memory = 8 * self.horizon
        self.cross, self.handshake = (settings.prices.get(name, 0.0) for name in ("crossZone", "handshake"))
        self.conn_idle = settings.limits.conn_idle_ns

    def portion(self, figure: float) -> None:
        """Have another part of the budgets from here on."""
        if figure != self.figure:
            for server in self.servers.values():
                server.figure *= figure / self.figure
                server.ceiling = figure
                self.refresh(server)
            self.figure = figure

    def refresh(self, server: Server) -> None:
        """Keep the list of servers under budget true after any change to a server."""
        k = server.k  # what follows is `budget`, without the call
        fits = server.up and server.inflight < ((int(k * server.figure) or 1) if k else 0)
        if fits == (server.slot >= 0):
            return
        if fits:
            server.slot = len(self.room)
            self.room.append(server)
        else:
            last = self.room.pop()
            if last is not server:
                self.room[server.slot] = last
                last.slot = server.slot
            server.slot = -1

    def forget(self, server: Server) -> None:
        """Ids are ever new: what is kept for each must end with it. Attempts still out need it a while."""
        if server.gone and not server.inflight:
            self.servers.pop(server.name, None)
