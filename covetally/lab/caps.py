"""Caps in virtual time under schedules of faults: how many units are held by all at any moment, how many lie
unused while they are wanted, how many datagrams it takes.

Connections are modelled as numbers: a member opens one for each unit it can use while it has demand, closes
what it may not have any more at its next look, and what it does not need after a rest. One that is stopped
keeps its own.
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
REST_NS = SECOND


class _Member:
    def __init__(self, number: int, life: int, drift: float, offset: int) -> None:
        self.number, self.drift, self.offset, self.life = number, drift, offset, life
        self.wanted = 0
        self.open = 0
        self.idle_since = 0
        self.stopped = False
        self.caps: CapsMember

    def clock(self, now: int) -> int:
        """Its own, an hour apart from others' and a little fast or slow."""
        return int(now * self.drift) + self.offset


@dataclass(slots=True)
class Found:
    """The worst of a play. `over` is how many connections were open beyond what the rule bounds; `unused` the
    most that lay unused though wanted, once all had been well for `settle_s`; `moved_s` the longest from a move
    of the demand until 90 % of what was wanted of the cap was in use, links well."""

    over: int = 0
    at_s: float = 0.0
    unused: int = 0
    datagrams_per_s: float = 0.0
    most_datagrams_per_s: float = 0.0  # of the busiest member
    moved_s: float = 0.0


class Play:
    """Members of one cap and what is between them."""

    def __init__(self, rule: Rule, seed: int) -> None:
        self.rule, self.now = rule, SECOND
        self._rng = random.Random(seed)
        self._heap: list[tuple[int, int, Callable[..., None], tuple]] = []
        self._count = 0
        self._links: dict[tuple[int, int], Link] = {}
        self.sent = [0] * rule.members
        self.members = [self._start(i) for i in range(rule.members)]
        self.moved_at = self.now
        self.well_from = self.now
        self.cut_until = 0
        self.found = Found()

    def _start(self, number: int, old: _Member | None = None) -> _Member:
        rng = self._rng
        drift = old.drift if old else 1.0 + rng.uniform(-0.004, 0.004)
        offset = old.offset if old else rng.randrange(3600 * SECOND)
        member = _Member(number, rng.getrandbits(32), drift, offset)
        member.wanted = old.wanted if old else 0
        cap = Cap(self.rule, NODE, 0)
        now = member.clock(self.now)
        member.caps = CapsMember(number, member.life, now, [cap], lambda _, cap: self._use(member))
        self._after(rng.randrange(50 * MS), self._tick, member)
        return member

    def _use(self, member: _Member) -> Usage:
        wanted = max(0, member.wanted - member.open)
        resting = max(0, member.open - member.wanted)
        rested = self.now - member.idle_since
        return (
            Usage(member.open, wanted, resting, rested) if rested >= MIN_IDLE_NS else Usage(member.open, wanted)
        )

    def _after(self, delay: int, call: Callable[..., None], *arguments: object) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, call, arguments))

    def _tick(self, member: _Member) -> None:
        if member is not self.members[member.number]:
            return  # a life that has ended
        if not member.stopped:
            self._adjust(member)
            self._send(member, member.caps.tick(member.clock(self.now)))
        self._after(25 * MS, self._tick, member)

    def _adjust(self, member: _Member) -> None:
        """Close what it may not have before it opens anything new."""
        usable = member.caps.usable(member.clock(self.now), self.rule.wire_id)
        member.open = min(member.open, usable)
        if member.wanted >= member.open:
            member.idle_since = self.now
            member.open = min(member.wanted, usable)
        elif self.now - member.idle_since > REST_NS:
            member.open = member.wanted

    def _send(self, member: _Member, sends: list[Outgoing]) -> None:
        for to, word in sends:
            self.sent[member.number] += 1
            data = encode(word)
            targets = range(self.rule.members) if to == BROADCAST else (to,)
            for other in targets:
                if other == member.number:
                    continue
                for delay_s in self._links.get((member.number, other), WELL).delays(self.now / SECOND, self._rng):
                    self._after(int(delay_s * SECOND), self._hear, other, data)

    def _hear(self, number: int, data: bytes) -> None:
        member = self.members[number]
        if member.stopped:
            return
        word: Message = decode(data)
        assert word.topic is Topic.CAPS
        self._send(member, member.caps.receive(member.clock(self.now), word))

    # --- faults ---------------------------------------------------------------------------------

    def do(self, step: Step) -> None:
        """One step of a schedule, now."""
        chosen = [self.members[n] for n in step.members]
        match step.do:
            case "link":
                for a in step.members:
                    for b in step.to:
                        self._links[a, b] = step.link
            case "heal":
                self._links.clear()
            case "stop":
                for member in chosen:
                    member.stopped = True
            case "go_on":
                for member in chosen:
                    member.stopped = False
            case "kill":
                for member in chosen:
                    member.stopped, member.open = True, 0
                    self.members[member.number] = self._dead(member)
            case "start":
                for member in chosen:
                    self.members[member.number] = self._start(member.number, member)
            case "demand":
                for member in chosen:
                    member.wanted = round(step.amount)
                self.moved_at = self.now
            case "leave":
                for member in chosen:
                    member.open = member.wanted = 0
                    self._send(member, member.caps.leave(member.clock(self.now)))
                    self.members[member.number] = self._dead(member)
        if step.do in ("link", "stop", "kill", "leave"):
            self.well_from = 2**62
        elif step.do in ("heal", "start", "go_on") and not self._links:
            self.well_from = self.now if not any(m.stopped for m in self.members) else 2**62

    def _dead(self, old: _Member) -> _Member:
        dead = _Member(old.number, 0, old.drift, old.offset)
        dead.wanted, dead.stopped = old.wanted, True
        dead.caps = CapsMember(old.number, 0, 0, [], lambda _, cap: Usage())
        return dead

    # --- what is seen ---------------------------------------------------------------------------

    def _watch(self) -> None:
        found, rule = self.found, self.rule
        open_ = sum(m.open for m in self.members)
        stopped = sum(m.open for m in self.members if m.stopped)
        allowed = max_open(rule, stopped)
        if open_ - allowed > found.over:
            found.over, found.at_s = open_ - allowed, self.now / SECOND
        wanted = sum(m.wanted for m in self.members if not m.stopped)
        most = min(rule.amount, wanted)
        settled = self.now - max(self.well_from, self.moved_at) > rule.fence_ns + 2 * SECOND
        if settled and self.well_from < self.now:
            found.unused = max(found.unused, most - open_)
        if most and open_ < 0.9 * most:
            self.cut_until = self.now
        elif self.cut_until and self.well_from < self.moved_at <= self.cut_until:
            found.moved_s = max(found.moved_s, (self.now - self.moved_at) / SECOND)
            self.cut_until = 0
        self._after(10 * MS, self._watch)

    def run(self, schedule: Schedule, seconds: float) -> Found:
        """Play it; a schedule begins once a start's fence is over."""
        begin = self.now + self.rule.fence_ns + SECOND
        for step in schedule:
            self._after(begin - self.now + int(step.at * SECOND), self.do, step)
        self._watch()
        end = begin + int(seconds * SECOND)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._heap)
            call(*arguments)
        span = (end - SECOND) / SECOND
        self.found.datagrams_per_s = sum(self.sent) / span / self.rule.members
        self.found.most_datagrams_per_s = max(self.sent) / span
        return self.found
