"""Simulates a fleet in virtual time: real balancers with modelled nodes, connections and clients.

The model assumes that

- a node works on `slots` requests at a time, first come, first served, at its full speed times its warmth. It
  skips abandoned requests in its queue, but completes an abandoned request that is already running;
- a link takes a fixed time each way. A connection carries one request at a time, and opening a new one adds
  `handshake_ms` and a round trip;
- sidecars have all the CPU that they need;
- the load report in a response is true at the time when the response leaves the node;
- clients retry as those of the rig do (`rig/load.py`).

The event queue is a heap of (time, sequence number, function, arguments). The same seed gives the same run.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from covetally.policy import Balancer
from covetally.interface import (
    Action, AttemptEnded, AttemptStatus, Event, Fail, PeerMessage, Refuse, RequestReceived, SendToPeer,
    ServerEntry, ServerListUpdate, SetTimer, Settings, Submit, TimerFired,
)  # fmt: skip

MS = 1_000_000
SECOND = 1_000 * MS


@dataclass(frozen=True, slots=True)
class NodeShape:
    """The capacity of a node. `started_s` is when it starts, in simulated time; below 0 means long ago."""

    slots: int = 4
    queue: int = 60
    zone: int = 0
    cold_from: float = 1.0
    cold_s: float = 0.0
    started_s: float = -1.0


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """The load of one class: its number in the settings, its share of the requests and its mean work."""

    number: int
    share: float
    work_ms: float


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The parameters of one simulation.

    `rate` holds steps (from second, first tries a second over all sidecars).
    """

    seconds: float
    rate: tuple[tuple[float, float], ...]
    classes: tuple[ClassLoad, ...]
    nodes: tuple[NodeShape, ...]
    sidecars: int
    seed: int = 1
    retries: int = 2
    retry_after_compliance: float = 0.9
    work_sigma: float = 0.4
    cross_zone_ms: float = 4.0
    same_zone_ms: float = 0.2
    handshake_ms: float = 12.0
    idle_s: float = 30.0
    traffic_sigma: float = 0.6  # sigma of the log-normal distribution of traffic over sidecars


class RequestObserver(Protocol):
    """Observes the requests of a sidecar beside its balancer, as the Member of covetally.overload does."""

    def assign_priority(self, name: str, cls: int, tenant: int, retry: bool) -> float:
        """Return the priority of a request."""

    def on_attempt_ended(self, event: AttemptEnded, cls: int) -> None:
        """Observe that an attempt has ended."""

    def on_request_ended(self, served: bool) -> None:
        """Observe that a request has ended."""


@dataclass(slots=True)
class FleetCounts:
    """Counts of what is visible from outside the sidecars, by second, by class number and by node number.

    asked        first tries of clients
    asks         requests of clients, retries included
    served, refused, failed
                 how requests ended
    in_time      first tries and retries answered within the aim, counted from the first try
    worth        total worth of these
    due_in_time  the same as in_time, counted in the second of the first try (by second only)
    attempts     attempts that arrived at nodes
    declined     attempts that nodes refused because their queue was full or the deadline had passed
    ran          attempts that nodes started to run
    for_nobody   attempts that ran to the end although they were abandoned
    connections  connections opened (not by class)
    """

    by_second: Counter[tuple[int, str]] = field(default_factory=Counter)
    by_class: Counter[tuple[int, str]] = field(default_factory=Counter)
    by_node: Counter[tuple[int, str]] = field(default_factory=Counter)
    arrivals: dict[int, list[tuple[int, int]]] = field(default_factory=dict)  # by node: when, work

    def add(self, now: int, kind: str, cls: int = -1, node: int = -1, amount: float = 1) -> None:
        """Add `amount` to the count of `kind`."""
        self.by_second[now // SECOND, kind] += amount
        if cls >= 0:
            self.by_class[cls, kind] += amount
        if node >= 0:
            self.by_node[node, kind] += amount

    def total(self, kind: str, begin: float = 0.0, end: float = 1e9) -> float:
        """Return the count of `kind` over whole seconds, from `begin` up to but not including `end`."""
        return sum(n for (at, name), n in self.by_second.items() if name == kind and begin <= at < end)


class _Job:
    """An attempt at a node."""

    __slots__ = ("attempt", "cls", "expires", "abandoned", "tid", "work", "sidecar", "started")

    def __init__(
        self, sidecar: SimulatedSidecar, tid: str, attempt: int, cls: int, work: int, expires: int
    ) -> None:
        self.sidecar, self.tid, self.attempt, self.cls = sidecar, tid, attempt, cls
        self.work, self.expires = work, expires
        self.abandoned = self.started = False


class SimulatedNode:
    """A node that is modelled as a queue with a fixed number of slots."""

    def __init__(self, fleet: FleetSimulation, number: int, shape: NodeShape) -> None:
        self.fleet, self.number, self.shape = fleet, number, shape
        self.name = f"n{number}"
        self.slowdown = 1.0
        self.dead = False
        self.queue: deque[_Job] = deque()
        self.running = 0
        self.recent: deque[tuple[int, int]] = deque(maxlen=64)

    def warmth(self, now: int) -> float:
        """Return the share of its full speed that the node has reached."""
        shape = self.shape
        if shape.started_s < 0 or not shape.cold_s:
            return 1.0
        age_s = now / SECOND - shape.started_s
        return min(1.0, shape.cold_from + (1.0 - shape.cold_from) * max(0.0, age_s) / shape.cold_s)

    def receive(self, job: _Job) -> None:
        """Handle an attempt whose last byte has arrived."""
        fleet = self.fleet
        fleet.counts.add(fleet.now, "attempts", job.cls, self.number)
        fleet.counts.arrivals.setdefault(self.number, []).append((fleet.now, job.work))
        if self.dead:
            return
        if len(self.queue) >= self.shape.queue:
            self._respond(job, AttemptStatus.FULL)
        elif self.running < self.shape.slots:
            self._start(job)
        else:
            self.queue.append(job)

    def _start(self, job: _Job) -> None:
        fleet = self.fleet
        self.running += 1
        job.started = True
        duration_ns = int(job.work * self.slowdown / self.warmth(fleet.now))
        self.recent.append((fleet.now, duration_ns))
        fleet.counts.add(fleet.now, "ran", job.cls, self.number)
        fleet.call_later(duration_ns, self._finish, job)

    def _finish(self, job: _Job) -> None:
        self.running -= 1
        if job.abandoned:
            self.fleet.counts.add(self.fleet.now, "for_nobody", job.cls, self.number)
        self._respond(job, AttemptStatus.OK)
        while self.queue and self.running < self.shape.slots:
            waiting = self.queue.popleft()
            if waiting.abandoned:
                continue
            if self.fleet.now >= waiting.expires:
                self._respond(waiting, AttemptStatus.FULL)
            else:
                self._start(waiting)

    def _respond(self, job: _Job, status: AttemptStatus) -> None:
        fleet = self.fleet
        if status is AttemptStatus.FULL:
            fleet.counts.add(fleet.now, "declined", job.cls, self.number)
        fleet.call_later(
            fleet.link_delay_ns(job.sidecar, self),
            job.sidecar.on_response,
            job,
            self,
            status,
            self._report(fleet.now),
        )

    def _report(self, now: int) -> dict[str, float]:
        recent = [took for at, took in self.recent if at > now - 2 * SECOND]
        mean_ms = sum(recent) / len(recent) / MS if recent else 0.0
        return {"eps": 0.0, "latency_ms": mean_ms, "qps": len(recent) / 2.0, "queue": float(len(self.queue))}


class SimulatedSidecar:
    """A sidecar: a real balancer, its modelled connections and the open requests of its clients."""

    def __init__(self, fleet: FleetSimulation, settings: Settings, seed: int) -> None:
        self.fleet, self.settings = fleet, settings
        self.zone = settings.zone
        self.balancer = Balancer(settings, seed, fleet.now)
        self.observer: RequestObserver | None = None
        self.calls: dict[str, _ClientRequest] = {}  # open
        self.sent: Counter[str] = Counter()
        self.jobs: dict[tuple[str, int], _Job] = {}
        self.idle_connections: dict[int, list[int]] = {}  # by node: since when each idle connection is idle
        self.unreachable: set[int] = set()

    def accept(self, request: _ClientRequest, event: RequestReceived) -> None:
        """Handle a request that has arrived from a client."""
        fleet = self.fleet
        fleet.counts.add(fleet.now, "asks", event.cls)
        if self.observer is not None:
            priority = self.observer.assign_priority(event.tid, event.cls, event.tenant, event.retry)
            event = event._replace(priority=priority)
        self.calls[event.tid] = request
        fleet.call_later(event.ttl_ns + 10 * MS, self._overdue, event.tid)
        self.handle(event)

    def _overdue(self, tid: str) -> None:
        if tid in self.calls:
            self._end_request(tid, "failed", 0)

    def handle(self, event: Event) -> None:
        """Pass an event to the balancer and carry out its actions."""
        for action in self.balancer.handle(self.fleet.now, event):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        fleet = self.fleet
        match action:
            case Submit():
                self._submit(action)
            case Refuse(tid, hold_off_ns):
                self._end_request(tid, "refused", hold_off_ns)
            case Fail(tid):
                self._end_request(tid, "failed", 0)
            case SetTimer(in_ns, tag):
                fleet.call_later(max(1, in_ns), self.handle, TimerFired(tag))
            case SendToPeer(peer, blob):
                if peer < len(fleet.sidecars):
                    fleet.call_later(5 * MS, fleet.sidecars[peer].handle, PeerMessage(blob))

    def _submit(self, action: Submit) -> None:
        fleet, tid = self.fleet, action.tid
        node = fleet.nodes[fleet.by_name[action.server]]
        number, self.sent[tid] = self.sent[tid], self.sent[tid] + 1
        request = self.calls[tid]
        job = _Job(self, tid, number, request.cls.number, request.work, action.abandon_ns)
        self.jobs[tid, number] = job
        idle_connections = self.idle_connections.setdefault(node.number, [])
        delay_ns = fleet.link_delay_ns(self, node)
        while idle_connections:
            if fleet.now - idle_connections.pop() < fleet.config.idle_s * SECOND:
                break
        else:
            delay_ns += int(fleet.config.handshake_ms * MS) + 2 * delay_ns
            fleet.counts.add(fleet.now, "connections", node=node.number)
        if node.number not in self.unreachable:
            fleet.call_later(delay_ns, node.receive, job)
        fleet.call_later(max(1, action.abandon_ns - fleet.now), self._abandon, job, node, fleet.now)
        fleet.sent_at[job] = fleet.now

    def _abandon(self, job: _Job, node: SimulatedNode, sent: int) -> None:
        if self.jobs.pop((job.tid, job.attempt), None) is None:
            return
        job.abandoned = True
        self._end_attempt(job, node, AttemptStatus.TIMEOUT, {})

    def on_response(
        self, job: _Job, node: SimulatedNode, status: AttemptStatus, report: dict[str, float]
    ) -> None:
        """Handle a response of a node."""
        if (
            job.abandoned
            or node.number in self.unreachable
            or self.jobs.pop((job.tid, job.attempt), None) is None
        ):
            return
        self.idle_connections.setdefault(node.number, []).append(self.fleet.now)
        if status is AttemptStatus.OK:
            self._end_request(job.tid, "served", 0)
        self._end_attempt(job, node, status, report)

    def _end_attempt(
        self, job: _Job, node: SimulatedNode, status: AttemptStatus, report: dict[str, float]
    ) -> None:
        fleet = self.fleet
        closed = job.tid not in self.calls
        latency_ns = fleet.now - fleet.sent_at.pop(job)
        event = AttemptEnded(job.tid, status, latency_ns, node.name, job.attempt, closed, report)
        if self.observer is not None:
            self.observer.on_attempt_ended(event, job.cls)
        self.handle(event)

    def _end_request(self, tid: str, status: str, hold_off_ns: int) -> None:
        request = self.calls.pop(tid)
        self.sent.pop(tid, None)
        if self.observer is not None:
            self.observer.on_request_ended(status == "served")
        request.on_answer(status, hold_off_ns)


class _ClientRequest:
    """The first try of a client and its retries."""

    __slots__ = (
        "cls",
        "started_at",
        "deadline",
        "fleet",
        "key",
        "origin",
        "sidecar",
        "tenant",
        "retries",
        "work",
    )

    def __init__(self, fleet: FleetSimulation, sidecar: SimulatedSidecar, cls: ClassLoad, origin: int) -> None:
        self.fleet, self.sidecar, self.cls, self.origin, self.retries = fleet, sidecar, cls, origin, 0
        rng, config, rule = fleet.rng, fleet.config, fleet.settings.classes[cls.number]
        self.work = int(cls.work_ms * MS * rng.lognormvariate(-(config.work_sigma**2) / 2, config.work_sigma))
        self.started_at, self.deadline = fleet.now, fleet.now + rule.deadline_ns
        self.tenant = rng.choices(range(len(fleet.tenants)), fleet.tenants)[0] if fleet.tenants else 0
        fleet.counts.add(fleet.now, "asked", cls.number)
        self.send()

    def send(self) -> None:
        """Send the request, or a retry, now."""
        fleet = self.fleet
        tid = f"{self.origin:x}-{self.retries}"
        event = RequestReceived(
            tid, self.cls.number, self.deadline - fleet.now, 0, self.tenant, "", self.retries > 0
        )
        self.sidecar.accept(self, event)

    def on_answer(self, status: str, hold_off_ns: int) -> None:
        """Record how a try ended, and schedule a retry if the client makes one."""
        fleet, number = self.fleet, self.cls.number
        fleet.counts.add(fleet.now, status, number)
        rule = fleet.settings.classes[number]
        if status == "served":
            if fleet.now <= self.started_at + rule.aim_ns:
                fleet.counts.add(fleet.now, "in_time", number)
                fleet.counts.add(fleet.now, "worth", number, amount=rule.worth)
                fleet.counts.add(self.started_at, "due_in_time", number)
            return
        self.retries += 1
        retryable = status == "refused" or rule.repeat == "free"
        if not retryable or self.retries > fleet.config.retries:
            return
        pause = int(fleet.rng.uniform(20, 100) * 2 ** (self.retries - 1) * MS)
        if status == "refused" and fleet.rng.random() < fleet.config.retry_after_compliance:
            pause = max(pause, hold_off_ns)
        if fleet.now + pause < self.deadline - 20 * MS:
            fleet.call_later(pause, self.send)


class FleetSimulation:
    """Runs the sidecars, nodes and clients on one virtual clock."""

    def __init__(self, config: FleetConfig, settings: Settings) -> None:
        self.config, self.settings = config, settings
        self.now = SECOND // 1000
        self.rng = random.Random(config.seed)
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self.counts = FleetCounts()
        self.sent_at: dict[_Job, int] = {}
        self.tenants = [tenant.share for tenant in settings.tenants]
        self.nodes = [SimulatedNode(self, i, shape) for i, shape in enumerate(config.nodes)]
        self.by_name = {node.name: node.number for node in self.nodes}
        zones = max(1, len(settings.zones))
        self.sidecars = [
            SimulatedSidecar(
                self,
                replace(settings, index=i, zone=i % zones, replicas=config.sidecars),
                config.seed * 10_000 + i,
            )
            for i in range(config.sidecars)
        ]
        self.weights = [self.rng.lognormvariate(0.0, config.traffic_sigma) for _ in self.sidecars]
        self._request_count = 0
        entries = tuple(self.server_entry(node) for node in self.nodes)
        for sidecar in self.sidecars:
            sidecar.handle(ServerListUpdate("FULL", entries))

    def server_entry(self, node: SimulatedNode, lifecycle: str = "up") -> ServerEntry:
        """Return the entry of a node in the server list."""
        started = int(max(0.0, node.shape.started_s) * SECOND) + 1 if node.shape.started_s >= 0 else 0
        return ServerEntry(node.name, node.shape.zone, 0, node.number // 4, lifecycle, 1.0, started)

    def link_delay_ns(self, sidecar: SimulatedSidecar, node: SimulatedNode) -> int:
        """Return the one-way delay between a sidecar and a node, in ns."""
        same_zone = sidecar.zone == node.shape.zone
        return int((self.config.same_zone_ms if same_zone else self.config.cross_zone_ms) * MS)

    def call_later(self, delay: int, call: Callable[..., None], *arguments: Any) -> None:
        """Call a function `delay` ns from now."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, call, arguments))

    def call_at(self, seconds: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call a function at `seconds` of simulated time."""
        self.call_later(int(seconds * SECOND) - self.now, call, *arguments)

    def run(self) -> FleetCounts:
        """Run the simulation to its end, plus 4 s for open requests, and return the counts."""
        self._schedule_next_request()
        end = int((self.config.seconds + 4.0) * SECOND)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._heap)
            call(*arguments)
        return self.counts

    def current_rate(self) -> float:
        """Return the current rate of first tries a second."""
        return [rate for begin, rate in self.config.rate if begin * SECOND <= self.now][-1]

    def _schedule_next_request(self) -> None:
        gap = self.rng.expovariate(self.current_rate())
        if self.now / SECOND + gap < self.config.seconds:
            self.call_later(int(gap * SECOND), self._start_request)

    def _start_request(self) -> None:
        self._schedule_next_request()
        sidecar = self.rng.choices(self.sidecars, self.weights)[0]
        cls = self.rng.choices(self.config.classes, [c.share for c in self.config.classes])[0]
        self._request_count += 1
        _ClientRequest(self, sidecar, cls, self._request_count)
