"""Simulates connection caps in virtual time under schedules of faults.

Measures how many connections all members together have open at any moment, how many units stay unused although
some member has demand for them, and how many datagrams are sent.

Connections are modelled as counts. A member opens one for each usable unit while it has demand. At its next tick
it closes those that it may no longer have, and it closes those that it does not need once they have been idle
for IDLE_TIMEOUT_NS. A stopped member keeps its connections.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from covetally.caps import Cap, CapsMember, Rule
from covetally.caps.member import NODE, MIN_IDLE_NS, Usage, max_open
from covetally.interface import SECOND
from covetally.rig.schedule import WELL, Link, Schedule, Step
from covetally.gossip import Topic, Message, decode, encode
from covetally.gossip.transport import BROADCAST, Outgoing

MS = SECOND // 1000
IDLE_TIMEOUT_NS = SECOND


class _Member:
    """A member with its clock, its demand and the number of its open connections."""

    def __init__(self, number: int, incarnation: int, drift: float, offset: int) -> None:
        self.number, self.drift, self.offset, self.incarnation = number, drift, offset, incarnation
        self.demand = 0
        self.open = 0
        self.idle_since = 0
        self.stopped = False
        self.caps: CapsMember

    def clock(self, now: int) -> int:
        """Return the time on this member's clock, which is up to an hour ahead and up to 0.4 % fast or slow."""
        return int(now * self.drift) + self.offset


@dataclass(slots=True)
class CapResult:
    """The worst values of one simulation.

    `excess` is the highest number of connections open beyond the bound of the rule, first reached at `at_s`.
    `unused` is the most units that were unused despite demand, after the fence time of the rule and 2 s without
    faults and without a change of the demand. `shift_s` is the longest time from a change of the demand until
    90 % of the units in demand were in use, on links without faults.
    """

    excess: int = 0
    at_s: float = 0.0
    unused: int = 0
    datagrams_per_s: float = 0.0
    max_datagrams_per_s: float = 0.0  # of the busiest member
    shift_s: float = 0.0


class CapSimulation:
    """Simulates the members that share one cap, and the links between them."""

    def __init__(self, rule: Rule, seed: int) -> None:
        self.rule, self.now = rule, SECOND
        self._rng = random.Random(seed)
        self._heap: list[tuple[int, int, Callable[..., None], tuple]] = []
        self._count = 0
        self._links: dict[tuple[int, int], Link] = {}
        self.sent = [0] * rule.members
        self.members = [self._start(i) for i in range(rule.members)]
        self.demand_changed_at = self.now
        self.fault_free_since = self.now
        self.underused_at = 0
        self.result = CapResult()

    def _start(self, number: int, old: _Member | None = None) -> _Member:
        rng = self._rng
        drift = old.drift if old else 1.0 + rng.uniform(-0.004, 0.004)
        offset = old.offset if old else rng.randrange(3600 * SECOND)
        member = _Member(number, rng.getrandbits(32), drift, offset)
        member.demand = old.demand if old else 0
        cap = Cap(self.rule, NODE, 0)
        now = member.clock(self.now)
        member.caps = CapsMember(number, member.incarnation, now, [cap], lambda _, cap: self._use(member))
        self._after(rng.randrange(50 * MS), self._tick, member)
        return member

    def _use(self, member: _Member) -> Usage:
        missing = max(0, member.demand - member.open)
        idle = max(0, member.open - member.demand)
        idle_ns = self.now - member.idle_since
        return (
            Usage(member.open, missing, idle, idle_ns) if idle_ns >= MIN_IDLE_NS else Usage(member.open, missing)
        )

    def _after(self, delay: int, call: Callable[..., None], *arguments: object) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, call, arguments))

    def _tick(self, member: _Member) -> None:
        if member is not self.members[member.number]:
            return  # this process has ended
        if not member.stopped:
            self._adjust(member)
            self._send(member, member.caps.tick(member.clock(self.now)))
        self._after(25 * MS, self._tick, member)

    def _adjust(self, member: _Member) -> None:
        """Close connections that are no longer allowed, then open new ones or close those idle for too long."""
        usable = member.caps.usable(member.clock(self.now), self.rule.wire_id)
        member.open = min(member.open, usable)
        if member.demand >= member.open:
            member.idle_since = self.now
            member.open = min(member.demand, usable)
        elif self.now - member.idle_since > IDLE_TIMEOUT_NS:
            member.open = member.demand

    def _send(self, member: _Member, outgoing: list[Outgoing]) -> None:
        for to, message in outgoing:
            self.sent[member.number] += 1
            data = encode(message)
            targets = range(self.rule.members) if to == BROADCAST else (to,)
            for other in targets:
                if other == member.number:
                    continue
                for delay_s in self._links.get((member.number, other), WELL).delays(self.now / SECOND, self._rng):
                    self._after(int(delay_s * SECOND), self._receive, other, data)

    def _receive(self, number: int, data: bytes) -> None:
        member = self.members[number]
        if member.stopped:
            return
        message: Message = decode(data)
        assert message.topic is Topic.CAPS
        self._send(member, member.caps.receive(member.clock(self.now), message))

    # --- faults ---------------------------------------------------------------------------------

    def apply_step(self, step: Step) -> None:
        """Apply one step of a schedule now."""
        members = [self.members[n] for n in step.members]
        match step.do:
            case "link":
                for a in step.members:
                    for b in step.to:
                        self._links[a, b] = step.link
            case "heal":
                self._links.clear()
            case "stop":
                for member in members:
                    member.stopped = True
            case "go_on":
                for member in members:
                    member.stopped = False
            case "kill":
                for member in members:
                    member.stopped, member.open = True, 0
                    self.members[member.number] = self._ended_member(member)
            case "start":
                for member in members:
                    self.members[member.number] = self._start(member.number, member)
            case "demand":
                for member in members:
                    member.demand = round(step.amount)
                self.demand_changed_at = self.now
            case "leave":
                for member in members:
                    member.open = member.demand = 0
                    self._send(member, member.caps.leave(member.clock(self.now)))
                    self.members[member.number] = self._ended_member(member)
        if step.do in ("link", "stop", "kill", "leave"):
            self.fault_free_since = 2**62
        elif step.do in ("heal", "start", "go_on") and not self._links:
            self.fault_free_since = self.now if not any(m.stopped for m in self.members) else 2**62

    def _ended_member(self, old: _Member) -> _Member:
        ended = _Member(old.number, 0, old.drift, old.offset)
        ended.demand, ended.stopped = old.demand, True
        ended.caps = CapsMember(old.number, 0, 0, [], lambda _, cap: Usage())
        return ended

    # --- measurement ---------------------------------------------------------------------------

    def _measure(self) -> None:
        result, rule = self.result, self.rule
        open_ = sum(m.open for m in self.members)
        stopped = sum(m.open for m in self.members if m.stopped)
        allowed = max_open(rule, stopped)
        if open_ - allowed > result.excess:
            result.excess, result.at_s = open_ - allowed, self.now / SECOND
        demand = sum(m.demand for m in self.members if not m.stopped)
        usable = min(rule.amount, demand)
        settled = self.now - max(self.fault_free_since, self.demand_changed_at) > rule.fence_ns + 2 * SECOND
        if settled and self.fault_free_since < self.now:
            result.unused = max(result.unused, usable - open_)
        if usable and open_ < 0.9 * usable:
            self.underused_at = self.now
        elif self.underused_at and self.fault_free_since < self.demand_changed_at <= self.underused_at:
            result.shift_s = max(result.shift_s, (self.now - self.demand_changed_at) / SECOND)
            self.underused_at = 0
        self._after(10 * MS, self._measure)

    def run(self, schedule: Schedule, seconds: float) -> CapResult:
        """Run a schedule for `seconds`, beginning 1 s after the fence time that follows a start."""
        start = self.now + self.rule.fence_ns + SECOND
        for step in schedule:
            self._after(start - self.now + int(step.at * SECOND), self.apply_step, step)
        self._measure()
        end = start + int(seconds * SECOND)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._heap)
            call(*arguments)
        span = (end - SECOND) / SECOND
        self.result.datagrams_per_s = sum(self.sent) / span / self.rule.members
        self.result.max_datagrams_per_s = max(self.sent) / span
        return self.result
