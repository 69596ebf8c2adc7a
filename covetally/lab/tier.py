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

from covetally.tier.members import SECOND, Members, Send, State, Timing
from covetally.tier.wire import Garbage, decode, encode

Link = Callable[[int, int], bool]


class Tier:
    """`size` members that all start within a period. `lost` is the share of datagrams that never arrive."""

    def __init__(self, size: int, seed: int, lost: float = 0.0, timing: Timing | None = None) -> None:
        self.random = random.Random(seed)
        self.timing = timing or Timing()
        self.size = size
        self.lost = lost
        self.twice = 0.0  # share of datagrams that arrive twice
        self.delay_ns = (3_000_000, 21_000_000)
        self.cut: Link = lambda sender, to: False
        self.now = 0
        self.sent: Counter[int] = Counter()
        self.bytes = 0
        self.garbage = 0
        self._events: list[tuple[int, int, int, bytes]] = []  # when, order, to, datagram; empty: time to tick
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

    def send(self, to: int, data: bytes) -> None:
        """Any bytes, from whoever can send some."""
        low, high = self.delay_ns
        for _ in range(1 + (self.random.random() < self.twice)):
            at = self.now + self.random.randrange(low, high)
            heapq.heappush(self._events, (at, next(self._order), to, data))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Let so much time pass, or less if `until` holds before; the seconds that passed."""
        began = self.now
        end = began + int(seconds * SECOND)
        while self._events and self._events[0][0] <= end:
            at, _, to, data = heapq.heappop(self._events)
            self.now = max(self.now, at)
            member = self.members.get(to)
            if member is None:
                continue
            if to in self.stopped:
                if data:  # the kernel keeps it for the process
                    heapq.heappush(self._events, (self.now + SECOND // 10, next(self._order), to, data))
                continue
            if data:
                try:
                    self._carry(to, member.heard(self.now, decode(data)))
                except Garbage:
                    self.garbage += 1
            elif self.now >= member.due:
                self._carry(to, member.tick(self.now))
            else:
                continue
            self._wake(to, member.due)
            if until is not None and until():
                return (self.now - began) / SECOND
        self.now = end
        return seconds

    def _wake(self, number: int, at: int) -> None:
        heapq.heappush(self._events, (max(at, self.now), next(self._order), number, b""))

    def _carry(self, sender: int, sends: list[Send]) -> None:
        for to, message in sends:
            data = encode(message)
            self.sent[sender] += 1
            self.bytes += len(data)
            if not self.cut(sender, to) and self.random.random() >= self.lost:
                self.send(to, data)

    def believing(self, member: int, state: State) -> int:
        """How many others believe this of a member."""
        return sum(view.state(member) is state for number, view in self.members.items() if number != member)

    def wrongly_gone(self) -> int:
        """Pairs of a running member and one that believes it gone or left."""
        return sum(
            view.state(number) in (State.GONE, State.LEFT)
            for number in self.members for view in self.members.values()
        )  # fmt: skip
