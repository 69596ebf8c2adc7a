"""A tier of real `Members` on a network of paper: links that delay, lose, repeat, are cut; members that stop.

One clock for the network, drawn from one seed: the same seed is the same run. Every datagram goes through the
wire format. Times are ns.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from covetally.interface import AttemptStatus
from covetally.rig.schedule import WELL, Link, Schedule, Step
from covetally.tier.limits import DRIFT
from covetally.tier.members import SECOND, Members, Send, State, Timing
from covetally.tier.node import Datagram, Node, Site
from covetally.tier.wire import Garbage, decode, encode

Cut = Callable[[int, int], bool]


class Tier:
    """`size` members that all start within a period. `lost` is the share of datagrams that never arrive."""

    def __init__(self, size: int, seed: int, lost: float = 0.0, timing: Timing | None = None) -> None:
        self.random = random.Random(seed)
        self.timing = timing or Timing()
        self.size = size
        self.lost = lost
        self.twice = 0.0  # share of datagrams that arrive twice
        self.delay_ns = (3_000_000, 21_000_000)
        self.cut: Cut = lambda sender, to: False
        self.now = 0
        self.sent: Counter[int] = Counter()
        self.bytes = 0
        self.garbage = 0
        # when, order, from, to, datagram; empty: time to tick
        self._events: list[tuple[int, int, int, int, bytes]] = []
        self._order = itertools.count()
        self.members: dict[int, Members] = {}
        self.stopped: set[int] = set()
        for number in range(size):
            self.start(number, self.random.randrange(self.timing.period_ns))

    def start(self, number: int, at: int | None = None) -> None:
        """A process under this number starts from nothing; one that was there is gone without a word."""
        at = self.now if at is None else at
        life, seed = self.random.getrandbits(32), self.random.getrandbits(32)
        self.members[number] = Members(number, self.size, life, seed, at, self.timing)
        self.stopped.discard(number)
        self._wake(number, at)

    def kill(self, number: int) -> None:
        """It ends without a word."""
        self.members.pop(number, None)

    def leave(self, number: int) -> None:
        """It ends as SIGTERM ends it."""
        self._carry(number, self.members[number].leave(self.now))
        self.kill(number)

    def stop(self, number: int) -> None:
        """SIGSTOP: what comes waits."""
        self.stopped.add(number)

    def go_on(self, number: int) -> None:
        """SIGCONT."""
        self.stopped.discard(number)
        self._wake(number, self.now)

    def send(self, to: int, data: bytes, sender: int = -1) -> None:
        """Any bytes, from whoever can send some."""
        low, high = self.delay_ns
        for _ in range(1 + (self.random.random() < self.twice)):
            self._arrive(self.now + self.random.randrange(low, high), sender, to, data)

    def _arrive(self, at: int, sender: int, to: int, data: bytes) -> None:
        heapq.heappush(self._events, (at, next(self._order), sender, to, data))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Let so much time pass, or less if `until` holds before; the seconds that passed."""
        began = self.now
        end = began + int(seconds * SECOND)
        while self._events and self._events[0][0] <= end:
            at, _, sender, to, data = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if to not in self.members:
                continue
            if to in self.stopped:
                if data:  # the kernel keeps it for the process
                    self._arrive(self.now + SECOND // 10, sender, to, data)
                continue
            if not self._happens(sender, to, data):
                continue
            if until is not None and until():
                return (self.now - began) / SECOND
        self.now = end
        return seconds

    def _happens(self, sender: int, to: int, data: bytes) -> bool:
        """One event at a member; False if it was none."""
        member = self.members[to]
        if data:
            try:
                self._carry(to, member.heard(self.now, decode(data)))
            except Garbage:
                self.garbage += 1
        elif self.now >= member.due:
            self._carry(to, member.tick(self.now))
        else:
            return False
        self._wake(to, member.due)
        return True

    def _wake(self, number: int, at: int) -> None:
        self._arrive(max(at, self.now), number, number, b"")

    def _carry(self, sender: int, sends: list[Send]) -> None:
        for to, message in sends:
            data = encode(message)
            self.sent[sender] += 1
            self.bytes += len(data)
            if not self.cut(sender, to) and self.random.random() >= self.lost:
                self.send(to, data, sender)

    def believing(self, member: int, state: State) -> int:
        """How many others believe this of a member."""
        return sum(view.state(member) is state for number, view in self.members.items() if number != member)

    def wrongly_gone(self) -> int:
        """Pairs of a running member and one that believes it gone or left."""
        return sum(
            view.state(number) in (State.GONE, State.LEFT)
            for number in self.members for view in self.members.values()
        )  # fmt: skip


class Whole(Tier):
    """Whole members (`tier/node.py`: verdicts and limits too), each with a clock of its own, and schedules.

    Clocks are an hour apart and run faster or slower by up to half of `limits.DRIFT`. `watch` is called
    after every event.
    """

    def __init__(
        self, size: int, seed: int, site: Callable[[int], Site], watch: Callable[[], None] = lambda: None
    ) -> None:
        self.nodes: dict[int, Node] = {}
        self.demand: dict[int, float] = {}
        self.links: dict[tuple[int, int], Link] = {}
        self._site, self._watch = site, watch
        clocks = random.Random(seed)
        self._clock = {n: (1.0 + clocks.uniform(-DRIFT / 2, DRIFT / 2), n * 3600 * SECOND) for n in range(size)}
        super().__init__(size, seed)

    def time(self, number: int) -> int:
        """The time by a member's clock."""
        rate, offset = self._clock[number]
        return int(self.now * rate) + offset

    def _wake_node(self, number: int) -> None:
        rate, offset = self._clock[number]
        self._wake(number, int((self.nodes[number].due - offset) / rate) + 1)

    def start(self, number: int, at: int | None = None) -> None:
        life, seed = self.random.getrandbits(32), self.random.getrandbits(32)
        node = Node(number, self.size, life, seed, self.time(number), self._site(number))
        self.nodes[number], self.members[number] = node, node.members
        self.stopped.discard(number)
        self._wake_node(number)

    def kill(self, number: int) -> None:
        super().kill(number)
        self.nodes.pop(number, None)

    def leave(self, number: int) -> None:
        self._pass_on(number, self.nodes[number].leave(self.time(number)))
        self.kill(number)

    def go_on(self, number: int) -> None:
        self.stopped.discard(number)
        self._wake(number, self.now)

    def _happens(self, sender: int, to: int, data: bytes) -> bool:
        node, now = self.nodes[to], self.time(to)
        if data:
            self._pass_on(to, node.heard(now, sender, data))
        elif now >= node.due:
            rule = next(iter(node.shares.values())).rule.name if node.shares else ""
            self._pass_on(to, node.tick(now, {rule: self.demand.get(to, 0.0)}))
        else:
            return False
        self._wake_node(to)
        self._watch()
        return True

    def _pass_on(self, sender: int, out: list[Datagram]) -> None:
        for peer, data in out:
            for to in range(self.size) if peer < 0 else (peer,):
                if to == sender:
                    continue
                self.sent[sender] += 1
                self.bytes += len(data)
                link = self.links.get((sender, to), WELL)
                for delay_s in link.delays(self.now / SECOND, self.random, self.lost):
                    self._arrive(self.now + int(delay_s * SECOND), sender, to, data)

    def outcome(self, number: int, server: str, how: AttemptStatus, cls: int = 0) -> None:
        """A call that a member sent just now has ended."""
        if number in self.nodes and number not in self.stopped:
            now = self.time(number)
            self.nodes[number].outcome(now, server, how, cls, now)
            self._wake_node(number)

    def play(self, schedule: Schedule, seconds: float) -> None:
        """Carry out a schedule from now on."""
        began = self.now
        for step in schedule:
            self.run(max(0.0, began / SECOND + step.at - self.now / SECOND))
            self._step(step)
            self._watch()
        self.run(max(0.0, began / SECOND + seconds - self.now / SECOND))

    def _step(self, step: Step) -> None:
        match step.do:
            case "link":
                for sender in step.members:
                    self.links.update({(sender, to): step.link for to in step.to})
            case "heal":
                self.links.clear()
            case "demand":
                self.demand.update(dict.fromkeys(step.members, step.amount))
            case "kill" | "start" | "leave" | "stop" | "go_on":
                for number in step.members:
                    if (number in self.nodes) != (step.do == "start"):
                        getattr(self, step.do)(number)
            case _:
                raise ValueError(f"no such step: {step.do}")
