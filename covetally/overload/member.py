"""One sidecar's part in fleet-wide load shedding.

Takes requests, outcomes and the messages of other members; gives the admission threshold and own messages.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any

from covetally.interface import SECOND, AdmissionThreshold, AttemptEnded, Settings
from covetally.overload import backoff, levels
from covetally.overload.threshold import LOWER_LOAD, Threshold, Vote
from covetally.overload.priorities import Priorities, rank
from covetally.overload.pins import Pin
from covetally.overload.load import WINDOW_NS, LoadMonitor
from covetally.overload.shares import TenantShares
from covetally.overload.budgets import RETRIES_PER_REQUEST, interval_ns, max_saved_retries
from covetally.overload.messages import Echo, ThresholdMessage, decode, encode
from covetally.gossip import LatestMessages, Topic, Message, first_sequence
from covetally.gossip.transport import BROADCAST, Outgoing

MESSAGE_TTL_NS = 3 * SECOND // 2  # a received message counts this long
SENDERS_PER_ROUND = 16  # members of the whole fleet that send in one window
CALM_DIVISOR = 8  # this many times fewer send while there is no load
MAX_DELAY_NS = 3 * SECOND // 5  # slower messages show a load that is over: it is better to act without them
DELAY_TTL_NS = 10 * SECOND  # a measured delay counts this long
UPDATE_TTL_NS = 2 * SECOND  # a threshold given to the balancer expires after this if it is not renewed


@dataclass(frozen=True, slots=True)
class Policy:
    """Limits that operators set for all sidecars together, at one node; 0: no limit."""

    trials_per_s: float = 8.0
    connections_per_s: float = 0.0


class Member:
    """The member with index `me` of `size`; `incarnation` is random at each start. Times in ns."""

    def __init__(
        self, me: int, size: int, incarnation: int, seed: int, now: int, settings: Settings, policy: Policy
    ) -> None:
        self.me, self.size, self.incarnation, self.policy = me, size, incarnation, policy
        self._random = random.Random(seed).random
        self._settings = settings
        self._priorities = Priorities(settings)
        self._aims = [c.aim_ns for c in settings.classes]
        self.load_monitor = LoadMonitor(settings, now)
        self.shares = TenantShares(settings)
        self.threshold = Threshold(now, size)
        self.pin: Pin | None = None
        self.expired_pin: Pin | None = None  # the last pin that has expired
        self.refused: Counter[tuple[int, str]] = Counter()  # by class and name of the level
        self.garbage = 0
        self._messages: LatestMessages[ThresholdMessage] = LatestMessages(me, MESSAGE_TTL_NS)
        self._sequence = first_sequence(now)
        self._next_update_at = now
        self._sent: deque[tuple[int, int]] = deque(
            maxlen=64
        )  # sequence numbers of own messages, and when they were sent
        self.delay_ns = 0  # one-way delay of messages, measured by echoes
        self._delay_measured_at = 0
        self._last_received = (0, 0, now - MESSAGE_TTL_NS)  # sender, sequence and time of the last message
        self.due = now + WINDOW_NS

    # --- requests -------------------------------------------------------------------------------

    def assign_priority(self, name: bytes | str, cls: int, tenant: int, retry: bool) -> float:
        """Return a request's priority, and count the request."""
        priority = self._priorities.priority_of(cls, rank(name), self.shares.covered_fraction(tenant), retry)
        admitted = priority < levels.threshold_of(self.threshold.level)
        self.load_monitor.record_request(tenant, admitted)
        if not admitted:
            self.refused[cls, levels.level_name(self.threshold.level)] += 1
        return priority

    def on_request_ended(self, served: bool) -> None:
        """Count a request that got its answer."""
        self.load_monitor.record_answer(served)

    def on_attempt_ended(self, event: AttemptEnded, cls: int) -> None:
        """Count an attempt that has ended."""
        aim = self._aims[cls] if 0 <= cls < len(self._aims) else self._aims[0]
        self.load_monitor.record_attempt(event, event.latency_ns > aim)

    # --- messages -------------------------------------------------------------------------------

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Receive another member's message; raise MalformedMessageError if its body is malformed."""
        if message.sender < self.size:
            content = decode(message.body)
            if self._messages.record(now, message, content):
                self._last_received = (message.sender, message.sequence % 65536, now)
                if content.echo is not None and content.echo.sender == self.me:
                    self._measure_delay(now, content.echo)
        return []

    def _measure_delay(self, now: int, echo: Echo) -> None:
        """Update the delay from an echo of an own message: half of the round trip."""
        at = next((at for sequence, at in self._sent if sequence % 65536 == echo.sequence), None)
        if at is not None:
            one_way = max(0, now - at - echo.held_ns) // 2
            self.delay_ns += (one_way - self.delay_ns) // 2 if self._delay_measured_at else one_way
            self._delay_measured_at = now

    def tick(self, now: int) -> list[Outgoing]:
        """Evaluate once per window, and return the message to send to all, if any. Next at `due`."""
        if now < self.due:
            return []
        self.due = now + WINDOW_NS
        self.load_monitor.rotate(now)
        own = self.load_monitor.sample()
        received = [(message, at) for _, message, at in self._messages.unexpired(now)]
        if self.delay_ns > MAX_DELAY_NS and now - self._delay_measured_at < DELAY_TTL_NS:
            received = []
        least, most = self._level_bounds(now)
        votes = [Vote(message.level, message.sample, at) for message, at in received]
        self.threshold.evaluate(now, own, votes, least, most)
        self.shares.update([own, *(message.sample for message, _ in received)], self.size)
        calm = self.threshold.level == levels.OPEN and self.threshold.load < LOWER_LOAD and own.ratio < LOWER_LOAD
        if self._random() >= SENDERS_PER_ROUND / self.size / (CALM_DIVISOR if calm else 1):
            return []
        self._sequence += 1
        self._sent.append((self._sequence, now))
        echo = (
            Echo(*self._last_received[:2], now - self._last_received[2])
            if now - self._last_received[2] < MESSAGE_TTL_NS
            else None
        )
        body = encode(ThresholdMessage(self.threshold.level, self.threshold.level if self.pin else -1, own, echo))
        return [Outgoing(BROADCAST, Message(Topic.OVERLOAD, self.me, self.incarnation, self._sequence, body))]

    def _level_bounds(self, now: int) -> tuple[int, int]:
        """Return the least and the highest level that a pin allows, and end a pin that has expired."""
        pin = self.pin
        if pin is not None and now >= pin.until_ns:
            self.pin, self.expired_pin, pin = None, pin, None
        return (pin.least, pin.most) if pin is not None else (levels.OPEN, levels.MAX_LEVEL)

    def leave(self, now: int) -> list[Outgoing]:
        """Return the messages to send at the end: none, since messages expire by themselves."""
        return []

    def events(self, now: int) -> list[AdmissionThreshold]:
        """Return the update for the balancer, once per evaluation."""
        if now < self._next_update_at:
            return []
        self._next_update_at = self.due
        level = self.threshold.level
        return [AdmissionThreshold(
            now + UPDATE_TTL_NS, levels.threshold_of(level),
            backoff.hold_off_ns(level, self._settings.limits.max_retry_after_ns),
            RETRIES_PER_REQUEST * levels.retry_budget_factor(level), max_saved_retries(self.size),
            interval_ns(self.size, self.policy.trials_per_s),
            interval_ns(self.size, self.policy.connections_per_s),
        )]  # fmt: skip

    def resize(self, size: int) -> None:
        """Apply a changed number of members."""
        self.size = self.threshold.size = size
        self._messages.resize(size)

    def table(self, now: int) -> dict[str, Any]:
        """Return the level, its cause and what it refused, for operators."""
        threshold = self.threshold
        return {
            "rung": threshold.level, "step": levels.level_name(threshold.level),
            "for_s": round((now - threshold.since) / SECOND, 1),
            "why": threshold.transition.value, "load": round(threshold.load, 2), "voters": threshold.voters,
            "heard": sum(1 for _ in self._messages.unexpired(now)),
            "pin": self.pin.text if self.pin else "", "pin_for_s": self._pin_remaining_s(now),
            "lapsed": self.expired_pin.text if self.expired_pin else "",
            "refused": {
                f"{self._class_name(cls)}: {level}": n for (cls, level), n in sorted(self.refused.items())
            },
            "delay_ms": self.delay_ns // 1_000_000, "garbage": self.garbage,
        }  # fmt: skip

    def _pin_remaining_s(self, now: int) -> float:
        return round(max(0, self.pin.until_ns - now) / SECOND, 1) if self.pin else 0.0

    def _class_name(self, cls: int) -> str:
        classes = self._settings.classes
        return classes[cls].name if 0 <= cls < len(classes) else "unknown"
