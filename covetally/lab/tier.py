"""Simulates a tier of real members on a simulated network, in virtual time.

Links may delay, lose or duplicate datagrams, or be cut; members may be stopped, continued, killed and restarted.
The network has one clock and everything random is drawn from one seed, so the same seed gives the same run.
Every datagram is encoded and decoded with the real wire format. Times are ns.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from covetally.interface import AttemptStatus
from covetally.rig.schedule import WELL, Link, Schedule, Step
from covetally.tier.limits import MAX_CLOCK_DRIFT
from covetally.tier.swim import SECOND, Membership, Outgoing, State, Timing
from covetally.tier.member import Datagram, TierMember, MemberConfig
from covetally.tier.wire import MalformedDatagramError, decode, encode

IsCut = Callable[[int, int], bool]


class MembershipSimulation:
    """Simulates the membership protocol of `size` members, which all start within one ping interval.

    `loss_rate` is the share of datagrams that never arrive.
    """

    def __init__(self, size: int, seed: int, loss_rate: float = 0.0, timing: Timing | None = None) -> None:
        self.random = random.Random(seed)
        self.timing = timing or Timing()
        self.size = size
        self.loss_rate = loss_rate
        self.duplicate_rate = 0.0  # share of datagrams that arrive twice
        self.delay_ns = (3_000_000, 21_000_000)
        self.is_cut: IsCut = lambda sender, to: False
        self.now = 0
        self.sent: Counter[int] = Counter()
        self.bytes = 0
        self.malformed = 0
        # (time, sequence number, sender, receiver, datagram); an empty datagram stands for the receiver's timer
        self._events: list[tuple[int, int, int, int, bytes]] = []
        self._sequence = itertools.count()
        self.members: dict[int, Membership] = {}
        self.stopped: set[int] = set()
        for number in range(size):
            self.start(number, self.random.randrange(self.timing.ping_interval_ns))

    def start(self, number: int, at: int | None = None) -> None:
        """Start a member without any state; a member that has this number is replaced without notice."""
        at = self.now if at is None else at
        boot_id, seed = self.random.getrandbits(32), self.random.getrandbits(32)
        self.members[number] = Membership(number, self.size, boot_id, seed, at, self.timing)
        self.stopped.discard(number)
        self._schedule_tick(number, at)

    def kill(self, number: int) -> None:
        """End a member without notice to the others, as SIGKILL does."""
        self.members.pop(number, None)

    def leave(self, number: int) -> None:
        """End a member after it has sent its leave messages, as SIGTERM does."""
        self._send_all(number, self.members[number].leave(self.now))
        self.kill(number)

    def stop(self, number: int) -> None:
        """Stop a member as SIGSTOP does: datagrams that arrive for it are queued."""
        self.stopped.add(number)

    def go_on(self, number: int) -> None:
        """Continue a stopped member, as SIGCONT does."""
        self.stopped.discard(number)
        self._schedule_tick(number, self.now)

    def send(self, to: int, data: bytes, sender: int = -1) -> None:
        """Send any bytes to a member, from another member or from outside the tier (sender -1)."""
        low, high = self.delay_ns
        for _ in range(1 + (self.random.random() < self.duplicate_rate)):
            self._schedule_arrival(self.now + self.random.randrange(low, high), sender, to, data)

    def _schedule_arrival(self, at: int, sender: int, to: int, data: bytes) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), sender, to, data))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Run for `seconds`, or until `until` returns true; return the seconds that have passed."""
        started = self.now
        end = started + int(seconds * SECOND)
        while self._events and self._events[0][0] <= end:
            at, _, sender, to, data = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if to not in self.members:
                continue
            if to in self.stopped:
                if data:  # the kernel queues it for the process
                    self._schedule_arrival(self.now + SECOND // 10, sender, to, data)
                continue
            if not self._handle_event(sender, to, data):
                continue
            if until is not None and until():
                return (self.now - started) / SECOND
        self.now = end
        return seconds

    def _handle_event(self, sender: int, to: int, data: bytes) -> bool:
        """Handle one event at a member; return False if the event was a timer that is no longer due."""
        member = self.members[to]
        if data:
            try:
                self._send_all(to, member.receive(self.now, decode(data)))
            except MalformedDatagramError:
                self.malformed += 1
        elif self.now >= member.due:
            self._send_all(to, member.tick(self.now))
        else:
            return False
        self._schedule_tick(to, member.due)
        return True

    def _schedule_tick(self, number: int, at: int) -> None:
        self._schedule_arrival(max(at, self.now), number, number, b"")

    def _send_all(self, sender: int, outgoing: list[Outgoing]) -> None:
        for to, message in outgoing:
            data = encode(message)
            self.sent[sender] += 1
            self.bytes += len(data)
            if not self.is_cut(sender, to) and self.random.random() >= self.loss_rate:
                self.send(to, data, sender)

    def count_views(self, member: int, state: State) -> int:
        """Return how many other members see `member` in `state`."""
        return sum(view.state(member) is state for number, view in self.members.items() if number != member)

    def count_false_removals(self) -> int:
        """Count the pairs of a running member and a member that sees it as gone or left."""
        return sum(
            view.state(number) in (State.GONE, State.LEFT)
            for number in self.members for view in self.members.values()
        )  # fmt: skip


class TierSimulation(MembershipSimulation):
    """Simulates complete members (`tier/member.py`), with outlier detection and limits, under schedules.

    Each member has its own clock. The clocks are an hour apart and run fast or slow by up to half of
    `limits.MAX_CLOCK_DRIFT`. `on_event` is called after each event and each step of a schedule.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        config: Callable[[int], MemberConfig],
        on_event: Callable[[], None] = lambda: None,
    ) -> None:
        self.nodes: dict[int, TierMember] = {}
        self.demand: dict[int, float] = {}
        self.links: dict[tuple[int, int], Link] = {}
        self._config, self._on_event = config, on_event
        clock_rng = random.Random(seed)
        self._clocks = {
            n: (1.0 + clock_rng.uniform(-MAX_CLOCK_DRIFT / 2, MAX_CLOCK_DRIFT / 2), n * 3600 * SECOND)
            for n in range(size)
        }
        super().__init__(size, seed)

    def time(self, number: int) -> int:
        """Return the time on a member's own clock."""
        rate, offset = self._clocks[number]
        return int(self.now * rate) + offset

    def _schedule_node_tick(self, number: int) -> None:
        rate, offset = self._clocks[number]
        self._schedule_tick(number, int((self.nodes[number].due - offset) / rate) + 1)

    def start(self, number: int, at: int | None = None) -> None:
        boot_id, seed = self.random.getrandbits(32), self.random.getrandbits(32)
        node = TierMember(number, self.size, boot_id, seed, self.time(number), self._config(number))
        self.nodes[number], self.members[number] = node, node.membership
        self.stopped.discard(number)
        self._schedule_node_tick(number)

    def kill(self, number: int) -> None:
        super().kill(number)
        self.nodes.pop(number, None)

    def leave(self, number: int) -> None:
        self._send_datagrams(number, self.nodes[number].leave(self.time(number)))
        self.kill(number)

    def go_on(self, number: int) -> None:
        self.stopped.discard(number)
        self._schedule_tick(number, self.now)

    def _handle_event(self, sender: int, to: int, data: bytes) -> bool:
        node, now = self.nodes[to], self.time(to)
        if data:
            self._send_datagrams(to, node.receive(now, sender, data))
        elif now >= node.due:
            rule = next(iter(node.quotas.values())).rule.name if node.quotas else ""
            self._send_datagrams(to, node.tick(now, {rule: self.demand.get(to, 0.0)}))
        else:
            return False
        self._schedule_node_tick(to)
        self._on_event()
        return True

    def _send_datagrams(self, sender: int, outgoing: list[Datagram]) -> None:
        for peer, data in outgoing:
            for to in range(self.size) if peer < 0 else (peer,):
                if to == sender:
                    continue
                self.sent[sender] += 1
                self.bytes += len(data)
                link = self.links.get((sender, to), WELL)
                for delay_s in link.delays(self.now / SECOND, self.random, self.loss_rate):
                    self._schedule_arrival(self.now + int(delay_s * SECOND), sender, to, data)

    def record_attempt(self, number: int, server: str, status: AttemptStatus, cls: int = 0) -> None:
        """Report to a running member that an attempt it has just sent has ended."""
        if number in self.nodes and number not in self.stopped:
            now = self.time(number)
            self.nodes[number].record_attempt(now, server, status, cls, now)
            self._schedule_node_tick(number)

    def play(self, schedule: Schedule, seconds: float) -> None:
        """Run a schedule whose times count from now, for `seconds` in total."""
        started = self.now
        for step in schedule:
            self.run(max(0.0, started / SECOND + step.at - self.now / SECOND))
            self._apply_step(step)
            self._on_event()
        self.run(max(0.0, started / SECOND + seconds - self.now / SECOND))

    def _apply_step(self, step: Step) -> None:
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
                raise ValueError(f"unknown schedule step: {step.do}")
