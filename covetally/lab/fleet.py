"""A fleet in virtual time: real balancers, modelled nodes, connections and clients.

Assumed: a node works on `slots` requests at a time, first come first served, at its warmth's share of its speed;
what waits and was given up is skipped, what runs runs to its end for nobody; a link takes a fixed time each
way; a connection carries one request and costs a new one `handshake_ms`; sidecars have all the CPU that they
want. The report that answers carry is true when they leave. Clients ask again as the rig's do (`rig/load.py`).

The engine is a heap of (time, number, call). The same seed gives the same play.
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
    """What a node can do. `started_s` is when it started, in the play's time; below 0: long ago."""

    slots: int = 4
    queue: int = 60
    zone: int = 0
    cold_from: float = 1.0
    cold_s: float = 0.0
    started_s: float = -1.0


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """A class as it is asked: its number in the settings, its share of the requests, its mean work."""

    number: int
    share: float
    work_ms: float


@dataclass(frozen=True, slots=True)
class Plan:
    """A play. `rate` of first tries a second over all sidecars by time: a step is (from second, rate)."""

    seconds: float
    rate: tuple[tuple[float, float], ...]
    classes: tuple[ClassLoad, ...]
    nodes: tuple[NodeShape, ...]
    sidecars: int
    seed: int = 1
    retries: int = 2
    honour: float = 0.9
    spread: float = 0.4
    cross_ms: float = 4.0
    near_ms: float = 0.2
    handshake_ms: float = 12.0
    idle_s: float = 30.0
    uneven: float = 0.6  # sigma of the log-normal law of sidecars' shares of the traffic


class Guard(Protocol):
    """What knows a sidecar's requests beside its balancer: covetally/overload's Member."""

    def assign_priority(self, name: str, cls: int, tenant: int, retry: bool) -> float:
        """A request's place in the fleet's order."""

    def on_attempt_ended(self, event: AttemptEnded, cls: int) -> None:
        """How an attempt ended."""

    def on_request_ended(self, served: bool) -> None:
        """How a request ended."""


@dataclass(slots=True)
class Books:
    """What was seen from outside. `by_second` counts (second, what), `by_class` (class number, what): asked
    (first tries), asks (with retries), in_time, worth, served, refused, failed, attempts, declined, ran,
    for_nobody."""

    by_second: Counter[tuple[int, str]] = field(default_factory=Counter)
    by_class: Counter[tuple[int, str]] = field(default_factory=Counter)
    by_node: Counter[tuple[int, str]] = field(default_factory=Counter)
    arrivals: dict[int, list[tuple[int, int]]] = field(default_factory=dict)  # by node: when, work

    def note(self, now: int, what: str, cls: int = -1, node: int = -1, much: float = 1) -> None:
        """Count something."""
        self.by_second[now // SECOND, what] += much
        if cls >= 0:
            self.by_class[cls, what] += much
        if node >= 0:
            self.by_node[node, what] += much

    def total(self, what: str, begin: float = 0.0, end: float = 1e9) -> float:
        """Of whole seconds from `begin` to before `end`."""
        return sum(n for (at, name), n in self.by_second.items() if name == what and begin <= at < end)


class _Job:
    __slots__ = ("attempt", "cls", "expires", "gone", "tid", "work", "who", "run")

    def __init__(self, who: LabSidecar, tid: str, attempt: int, cls: int, work: int, expires: int) -> None:
        self.who, self.tid, self.attempt, self.cls = who, tid, attempt, cls
        self.work, self.expires = work, expires
        self.gone = self.run = False


class LabNode:
    """One node."""

    def __init__(self, fleet: Fleet, number: int, shape: NodeShape) -> None:
        self.fleet, self.number, self.shape = fleet, number, shape
        self.name = f"n{number}"
        self.slow = 1.0
        self.dead = False
        self.queue: deque[_Job] = deque()
        self.running = 0
        self.recent: deque[tuple[int, int]] = deque(maxlen=64)

    def warmth(self, now: int) -> float:
        """Its share of its speed."""
        shape = self.shape
        if shape.started_s < 0 or not shape.cold_s:
            return 1.0
        age_s = now / SECOND - shape.started_s
        return min(1.0, shape.cold_from + (1.0 - shape.cold_from) * max(0.0, age_s) / shape.cold_s)

    def take(self, job: _Job) -> None:
        """A request's last byte is here."""
        fleet = self.fleet
        fleet.books.note(fleet.now, "attempts", job.cls, self.number)
        fleet.books.arrivals.setdefault(self.number, []).append((fleet.now, job.work))
        if self.dead:
            return
        if len(self.queue) >= self.shape.queue:
            self._answer(job, AttemptStatus.FULL)
        elif self.running < self.shape.slots:
            self._run(job)
        else:
            self.queue.append(job)

    def _run(self, job: _Job) -> None:
        fleet = self.fleet
        self.running += 1
        job.run = True
        took = int(job.work * self.slow / self.warmth(fleet.now))
        self.recent.append((fleet.now, took))
        fleet.books.note(fleet.now, "ran", job.cls, self.number)
        fleet.after(took, self._ran, job)

    def _ran(self, job: _Job) -> None:
        self.running -= 1
        if job.gone:
            self.fleet.books.note(self.fleet.now, "for_nobody", job.cls, self.number)
        self._answer(job, AttemptStatus.OK)
        while self.queue and self.running < self.shape.slots:
            waiting = self.queue.popleft()
            if waiting.gone:
                continue
            if self.fleet.now >= waiting.expires:
                self._answer(waiting, AttemptStatus.FULL)
            else:
                self._run(waiting)

    def _answer(self, job: _Job, how: AttemptStatus) -> None:
        fleet = self.fleet
        if how is AttemptStatus.FULL:
            fleet.books.note(fleet.now, "declined", job.cls, self.number)
        fleet.after(fleet.link(job.who, self), job.who.answered, job, self, how, self._report(fleet.now))

    def _report(self, now: int) -> dict[str, float]:
        recent = [took for at, took in self.recent if at > now - 2 * SECOND]
        mean_ms = sum(recent) / len(recent) / MS if recent else 0.0
        return {"eps": 0.0, "latency_ms": mean_ms, "qps": len(recent) / 2.0, "queue": float(len(self.queue))}


class LabSidecar:
    """One sidecar: a balancer, its connections, and the clients beside it."""

    def __init__(self, fleet: Fleet, settings: Settings, seed: int) -> None:
        self.fleet, self.settings = fleet, settings
        self.zone = settings.zone
        self.balancer = Balancer(settings, seed, fleet.now)
        self.guard: Guard | None = None
        self.calls: dict[str, _Ask] = {}  # open
        self.sent: Counter[str] = Counter()
        self.jobs: dict[tuple[str, int], _Job] = {}
        self.rests: dict[int, list[int]] = {}  # by node: since when connections rest
        self.cut: set[int] = set()  # nodes that it cannot reach

    def accept(self, ask: _Ask, event: RequestReceived) -> None:
        """A client's request is whole."""
        fleet = self.fleet
        fleet.books.note(fleet.now, "asks", event.cls)
        if self.guard is not None:
            place = self.guard.assign_priority(event.tid, event.cls, event.tenant, event.retry)
            event = event._replace(priority=place)
        self.calls[event.tid] = ask
        fleet.after(event.ttl_ns + 10 * MS, self._overdue, event.tid)
        self.handle(event)

    def _overdue(self, tid: str) -> None:
        if tid in self.calls:
            self._end(tid, "failed", 0)

    def handle(self, event: Event) -> None:
        """Let the balancer decide."""
        for action in self.balancer.handle(self.fleet.now, event):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        fleet = self.fleet
        match action:
            case Submit():
                self._submit(action)
            case Refuse(tid, hold_off_ns):
                self._end(tid, "refused", hold_off_ns)
            case Fail(tid):
                self._end(tid, "failed", 0)
            case SetTimer(in_ns, tag):
                fleet.after(max(1, in_ns), self.handle, TimerFired(tag))
            case SendToPeer(peer, blob):
                if peer < len(fleet.sidecars):
                    fleet.after(5 * MS, fleet.sidecars[peer].handle, PeerMessage(blob))

    def _submit(self, action: Submit) -> None:
        fleet, tid = self.fleet, action.tid
        node = fleet.nodes[fleet.by_name[action.server]]
        number, self.sent[tid] = self.sent[tid], self.sent[tid] + 1
        ask = self.calls[tid]
        job = _Job(self, tid, number, ask.cls.number, ask.work, action.abandon_ns)
        self.jobs[tid, number] = job
        rests = self.rests.setdefault(node.number, [])
        way = fleet.link(self, node)
        while rests:
            if fleet.now - rests.pop() < fleet.plan.idle_s * SECOND:
                break
        else:
            way += int(fleet.plan.handshake_ms * MS) + 2 * way
            fleet.books.note(fleet.now, "connections", node=node.number)
        if node.number not in self.cut:
            fleet.after(way, node.take, job)
        fleet.after(max(1, action.abandon_ns - fleet.now), self._abandon, job, node, fleet.now)
        fleet.sent_at[job] = fleet.now

    def _abandon(self, job: _Job, node: LabNode, sent: int) -> None:
        if self.jobs.pop((job.tid, job.attempt), None) is None:
            return
        job.gone = True
        self._outcome(job, node, AttemptStatus.TIMEOUT, {})

    def answered(self, job: _Job, node: LabNode, how: AttemptStatus, report: dict[str, float]) -> None:
        """An answer is here."""
        if job.gone or node.number in self.cut or self.jobs.pop((job.tid, job.attempt), None) is None:
            return
        self.rests.setdefault(node.number, []).append(self.fleet.now)
        if how is AttemptStatus.OK:
            self._end(job.tid, "served", 0)
        self._outcome(job, node, how, report)

    def _outcome(self, job: _Job, node: LabNode, how: AttemptStatus, report: dict[str, float]) -> None:
        fleet = self.fleet
        closed = job.tid not in self.calls
        lag = fleet.now - fleet.sent_at.pop(job)
        event = AttemptEnded(job.tid, how, lag, node.name, job.attempt, closed, report)
        if self.guard is not None:
            self.guard.on_attempt_ended(event, job.cls)
        self.handle(event)

    def _end(self, tid: str, how: str, hold_off_ns: int) -> None:
        ask = self.calls.pop(tid)
        self.sent.pop(tid, None)
        if self.guard is not None:
            self.guard.on_request_ended(how == "served")
        ask.ended(how, hold_off_ns)


class _Ask:
    """A client's first try and its retries."""

    __slots__ = ("cls", "due", "end", "fleet", "key", "origin", "sidecar", "tenant", "turn", "work")

    def __init__(self, fleet: Fleet, sidecar: LabSidecar, cls: ClassLoad, origin: int) -> None:
        self.fleet, self.sidecar, self.cls, self.origin, self.turn = fleet, sidecar, cls, origin, 0
        rng, plan, rule = fleet.rng, fleet.plan, fleet.settings.classes[cls.number]
        self.work = int(cls.work_ms * MS * rng.lognormvariate(-(plan.spread**2) / 2, plan.spread))
        self.due, self.end = fleet.now, fleet.now + rule.deadline_ns
        self.tenant = rng.choices(range(len(fleet.tenants)), fleet.tenants)[0] if fleet.tenants else 0
        fleet.books.note(fleet.now, "asked", cls.number)
        self.ask()

    def ask(self) -> None:
        """Ask now."""
        fleet = self.fleet
        tid = f"{self.origin:x}-{self.turn}"
        event = RequestReceived(tid, self.cls.number, self.end - fleet.now, 0, self.tenant, "", self.turn > 0)
        self.sidecar.accept(self, event)

    def ended(self, how: str, hold_off_ns: int) -> None:
        """A final answer."""
        fleet, number = self.fleet, self.cls.number
        fleet.books.note(fleet.now, how, number)
        rule = fleet.settings.classes[number]
        if how == "served":
            if fleet.now <= self.due + rule.aim_ns:
                fleet.books.note(fleet.now, "in_time", number)
                fleet.books.note(fleet.now, "worth", number, much=rule.worth)
                fleet.books.note(self.due, "due_in_time", number)
            return
        self.turn += 1
        again = how == "refused" or rule.repeat == "free"
        if not again or self.turn > fleet.plan.retries:
            return
        pause = int(fleet.rng.uniform(20, 100) * 2 ** (self.turn - 1) * MS)
        if how == "refused" and fleet.rng.random() < fleet.plan.honour:
            pause = max(pause, hold_off_ns)
        if fleet.now + pause < self.end - 20 * MS:
            fleet.after(pause, self.ask)


class Fleet:
    """All of it, on one clock."""

    def __init__(self, plan: Plan, settings: Settings) -> None:
        self.plan, self.settings = plan, settings
        self.now = SECOND // 1000
        self.rng = random.Random(plan.seed)
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self.books = Books()
        self.sent_at: dict[_Job, int] = {}
        self.tenants = [tenant.share for tenant in settings.tenants]
        self.nodes = [LabNode(self, i, shape) for i, shape in enumerate(plan.nodes)]
        self.by_name = {node.name: node.number for node in self.nodes}
        zones = max(1, len(settings.zones))
        self.sidecars = [
            LabSidecar(
                self, replace(settings, index=i, zone=i % zones, replicas=plan.sidecars), plan.seed * 10_000 + i
            )
            for i in range(plan.sidecars)
        ]
        self.weights = [self.rng.lognormvariate(0.0, plan.uneven) for _ in self.sidecars]
        self._origins = 0
        entries = tuple(self.entry(node) for node in self.nodes)
        for sidecar in self.sidecars:
            sidecar.handle(ServerListUpdate("FULL", entries))

    def entry(self, node: LabNode, lifecycle: str = "up") -> ServerEntry:
        """A node's line in the list."""
        started = int(max(0.0, node.shape.started_s) * SECOND) + 1 if node.shape.started_s >= 0 else 0
        return ServerEntry(node.name, node.shape.zone, 0, node.number // 4, lifecycle, 1.0, started)

    def link(self, sidecar: LabSidecar, node: LabNode) -> int:
        """How long one way takes, in ns."""
        near = sidecar.zone == node.shape.zone
        return int((self.plan.near_ms if near else self.plan.cross_ms) * MS)

    def after(self, delay: int, call: Callable[..., None], *arguments: Any) -> None:
        """Call it so many ns from now."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, call, arguments))

    def at(self, seconds: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call it at that time of the play."""
        self.after(int(seconds * SECOND) - self.now, call, *arguments)

    def run(self) -> Books:
        """Play it to its end."""
        self._next_ask()
        end = int((self.plan.seconds + 4.0) * SECOND)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._heap)
            call(*arguments)
        return self.books

    def rate(self) -> float:
        """First tries a second, now."""
        return [rate for begin, rate in self.plan.rate if begin * SECOND <= self.now][-1]

    def _next_ask(self) -> None:
        gap = self.rng.expovariate(self.rate())
        if self.now / SECOND + gap < self.plan.seconds:
            self.after(int(gap * SECOND), self._first)

    def _first(self) -> None:
        self._next_ask()
        sidecar = self.rng.choices(self.sidecars, self.weights)[0]
        cls = self.rng.choices(self.plan.classes, [c.share for c in self.plan.classes])[0]
        self._origins += 1
        _Ask(self, sidecar, cls, self._origins)
