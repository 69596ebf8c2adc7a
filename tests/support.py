"""A test harness around one balancer: simulates its actions and asserts the rules on each of them."""

from __future__ import annotations

from typing import Any

from covetally.interface import (
    NOT_EXECUTED,
    AttemptEnded,
    ClientDisconnected,
    Fail,
    Refuse,
    RequestReceived,
    ServerEntry,
    ServerListUpdate,
    SetTimer,
    Settings,
    Shutdown,
    Submit,
    Subscribe,
    TimerFired,
)
from covetally.policy import Balancer

MS = 1_000_000
START = 5_000 * MS


def settings(**changes: Any) -> Settings:
    """Settings of an invented site with one class for each rule of repeating."""
    raw: dict[str, Any] = {
        "classes": [
            request_class("look", "free"),
            request_class("pay", "single_shot"),
            request_class("book", "guarded", group="all", windowNs=400 * MS),
            request_class("zoned", "guarded", group="zone", windowNs=400 * MS),
            request_class("celled", "guarded", group="cell", windowNs=400 * MS),
        ],
        "failureDomains": ["a", "b"],
        "periodNs": 5 * MS,
        "replicasOfMe": 4,
        "limits": {"maxAttempts": 4, "retryAfter": True, "maxRetryAfterNs": 1_000 * MS},
        "invariants": {"coldFrom": 0.2, "coldNs": 10_000 * MS, "drainGraceNs": 500 * MS},
    }
    raw.update(changes)
    return Settings.parse(raw)


def request_class(name: str, repeat: str, **more: Any) -> dict[str, Any]:
    """The settings of one class of requests."""
    base = {"name": name, "onTimeNs": 300 * MS, "hardLimitNs": 1_000 * MS, "repeat": repeat, "credit": 1.0}
    return base | more


def fleet(count: int, **fields: Any) -> tuple[ServerEntry, ...]:
    """Servers s0, s1, ...: alternating zones, cells of four."""
    return tuple(ServerEntry(f"s{i}", zone=i % 2, cell=i // 4)._replace(**fields) for i in range(count))


class BalancerHarness:
    """One balancer on a virtual clock, with its open requests, attempts and timers."""

    def __init__(self, config: Settings | None = None, servers: int = 6, seed: int = 1, scope: str = "SAVED"):
        self.config = config or settings()
        self.now = START
        self.balancer = Balancer(self.config, seed, self.now)
        self.entries: dict[str, ServerEntry] = {}
        self.gone: set[str] = set()  # servers that drain or have left the list
        self.owed: dict[str, RequestReceived] = {}
        self.deadline: dict[str, int] = {}
        self.final_answers: dict[str, Any] = {}
        self.outstanding: dict[tuple[str, int], tuple[str, int, int]] = {}  # server, sent at, abandon at
        self.history: dict[str, list[tuple[str, int, int | None]]] = {}  # server, sent at, status
        self.timers: list[tuple[int, int]] = []
        self.subscriptions = 0
        self.serial = 0
        if servers:
            self.feed(ServerListUpdate(scope, fleet(servers)))

    # events

    def feed(self, event: Any) -> list[Any]:
        """Give an event to the balancer, simulate its actions and return them."""
        if isinstance(event, ServerListUpdate) and event.scope != "FAILED":
            if event.scope != "INCREMENTAL":
                self.gone |= set(self.entries) - {e.server for e in event.entries}
            for entry in event.entries:
                self.entries[entry.server] = entry
                (self.gone.discard if entry.lifecycle == "up" else self.gone.add)(entry.server)
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._apply(action)
        return actions

    def feed_accept(self) -> list[Any]:
        """Feed one plain request and return the actions."""
        tid = f"a{self.serial:015x}"
        self.serial += 1
        self.owed[tid] = event = RequestReceived(tid, 0, 800 * MS)
        self.deadline[tid], self.history[tid] = self.now + 800 * MS, []
        return self.feed(event)

    def accept(self, cls: int = 0, ttl: int = 800 * MS, **more: Any) -> str:
        """Feed a request and return its id."""
        self.serial += 1
        tid = f"{self.serial:016x}"
        event = RequestReceived(tid, cls, ttl, **more)
        self.owed[tid], self.deadline[tid], self.history[tid] = event, self.now + ttl, []
        self.feed(event)
        return tid

    def shut_down(self, end: int) -> None:
        """Shut down: every open request has to be answered by `end`."""
        self.deadline |= {tid: min(self.deadline[tid], end) for tid in self.owed}
        self.feed(Shutdown(end))

    def answer(
        self, tid: str, attempt: int, status: int = 100, latency: int | None = None, unconfirmed: bool = False,
        **load: float,
    ) -> list[Any]:  # fmt: skip
        """End an attempt with a status, after a latency, and with a load report."""
        server, sent, _ = self.outstanding.pop((tid, attempt))
        self.history[tid][attempt] = (server, sent, status)
        closed = tid not in self.owed or status == 100
        if status == 100 and tid in self.owed:
            self._final(tid, "served")
        latency = self.now - sent if latency is None else latency
        return self.feed(AttemptEnded(tid, status, latency, server, attempt, closed, load, 0, unconfirmed))

    def disconnect(self, tid: str) -> None:
        """Let the client of a request leave."""
        if self.owed.pop(tid, None):
            self.final_answers[tid] = "left"
        self.feed(ClientDisconnected(tid))

    def advance(self, by: int) -> None:
        """Let time pass; timers and attempt timeouts fire in order."""
        end = self.now + by
        while True:
            due = [(at, 0, tag) for at, tag in self.timers]
            for (tid, attempt), (_, _, abandon) in self.outstanding.items():
                due.append((min(abandon or end + 1, self.deadline[tid]), 1, (tid, attempt)))
            due = [d for d in due if d[0] <= end]
            if not due:
                break
            at, kind, what = min(due, key=lambda d: (d[0], d[1], str(d[2])))
            self.now = max(self.now, at)
            if kind:
                self.answer(*what, status=303)
            else:
                self.timers.remove((at, what))
                if what is Subscribe:
                    self.subscriptions += 1
                else:
                    self.feed(TimerFired(what))
            self.check_deadlines()
        self.now = end
        self.check_deadlines()

    # views

    def sends(self, tid: str) -> list[str]:
        """The servers that a request was sent to, in order."""
        return [server for server, _, _ in self.history[tid]]

    def server(self, name: str):
        """The balancer's state of one server."""
        return self.balancer.state.servers[name]

    # rules

    def check_deadlines(self) -> None:
        late = [t for t in self.owed if self.now > self.deadline[t] + self.config.invariants.answer_grace_ns]
        assert not late, f"rule 1: unanswered at the deadline: {late}"

    def _final(self, tid: str, what: str) -> None:
        assert tid in self.owed, f"rule 1: second final answer for {tid}: {what}"
        assert self.now <= self.deadline[tid] + self.config.invariants.answer_grace_ns
        del self.owed[tid]
        self.final_answers[tid] = what

    def _apply(self, action: Any) -> None:
        match action:
            case Submit():
                self._check_send(action)
                attempt = len(self.history[action.tid])
                self.history[action.tid].append((action.server, self.now, None))
                self.outstanding[action.tid, attempt] = (action.server, self.now, action.abandon_ns)
            case Refuse():
                self._check_refusal(action.tid)
                self._final(action.tid, "refused")
            case Fail():
                self._final(action.tid, "failed")
            case SetTimer():
                self.timers.append((self.now + max(action.delay_ns, 1), action.tag))
            case Subscribe(delay_ns):
                self.timers.append((self.now + delay_ns, Subscribe))

    def _possible_executions(self, tid: str) -> list[tuple[str, int, int | None]]:
        return [a for a in self.history[tid] if a[2] not in NOT_EXECUTED]

    def _check_send(self, action: Submit) -> None:
        tid = action.tid
        assert tid in self.owed, "rule 1: sent a request that was already answered"
        assert action.server in self.entries, "a server that was never listed"
        assert action.server not in self.gone, "rule 3: sent to a server that drains or has left"
        assert len(self.history[tid]) < self.config.limits.max_attempts
        if not self.config.limits.hedging:
            assert all(status is not None for _, _, status in self.history[tid]), "rule 2: two attempts at once"
        cls, executed = self.config.classes[self.owed[tid].cls], self._possible_executions(tid)
        if cls.repeat == "single_shot":
            assert not executed, "rule 2: a single-shot request may run twice"
        elif cls.repeat == "guarded" and executed:
            first = self.entries[executed[0][0]]
            entry = self.entries[action.server]
            assert self.now < executed[0][1] + cls.window_ns, "rule 2: past the repeat window"
            assert 0 < action.begin_by_ns <= executed[0][1] + cls.window_ns, "rule 2: may begin past the window"
            if cls.group == "zone":
                assert entry.zone == first.zone, "rule 2: outside the zone"
            if cls.group == "cell":
                assert entry.cell == first.cell, "rule 2: outside the cell"

    def _check_refusal(self, tid: str) -> None:
        cls = self.config.classes[self.owed[tid].cls]
        if cls.repeat == "single_shot" or (cls.repeat == "guarded" and cls.group != "all"):
            assert not self._possible_executions(tid), "rule 2: refused though it may have run"
