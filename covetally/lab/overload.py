"""Simulates overload control across a fleet in virtual time, with its gossip on links that may fail.

Each simulated sidecar has a real overload member beside its balancer. The steps of a schedule are those of
`rig/schedule.py`. A stopped member neither ticks nor receives messages, and its balancer keeps the last admission
threshold until that expires. A killed member does the same until it is started, with a new incarnation.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from covetally.lab.fleet import MS, SECOND, FleetSimulation
from covetally.overload import Member, Policy
from covetally.overload.messages import ThresholdMessage, decode, encode
from covetally.rig.schedule import WELL, Link, Schedule, Step
from covetally.gossip import Message

Forger = Callable[[int, Message], Message | None]


class OverloadSimulation:
    """Simulates the overload members of a fleet and the links between them.

    `forgers` holds, by member number, functions that replace or drop the messages that this member sends.
    """

    def __init__(
        self, fleet: FleetSimulation, policy: Policy | None = None, forgers: dict[int, Forger] | None = None
    ) -> None:
        self.fleet, self._policy, self._forgers = fleet, policy or Policy(), forgers or {}
        self._rng = random.Random(fleet.config.seed + 77)
        self._links: dict[tuple[int, int], Link] = {}
        self.stopped: set[int] = set()
        self.sent = 0
        # (time in s, share of members within one level of the most common level, that level)
        self.samples: list[tuple[float, float, int]] = []
        self.members = [self._create_member(i) for i in range(len(fleet.sidecars))]
        for number in range(len(self.members)):
            fleet.call_later(self._rng.randrange(250 * MS), self._tick, number)
        fleet.call_later(SECOND, self._sample)

    def _create_member(self, number: int) -> Member:
        sidecar = self.fleet.sidecars[number]
        incarnation, seed = self._rng.getrandbits(32), self._rng.getrandbits(32)
        size = len(self.fleet.sidecars)
        member = Member(number, size, incarnation, seed, self.fleet.now, sidecar.settings, self._policy)
        sidecar.observer = member
        return member

    def _tick(self, number: int) -> None:
        fleet, member = self.fleet, self.members[number]
        fleet.call_later(max(MS, member.due - fleet.now), self._tick, number)
        if number in self.stopped:
            return
        outgoing = member.tick(fleet.now)
        for event in member.events(fleet.now):
            fleet.sidecars[number].handle(event)
        for _, message in outgoing:
            forged = self._forgers[number](fleet.now, message) if number in self._forgers else message
            if forged is not None:
                self._send(number, forged)

    def _send(self, number: int, message: Message) -> None:
        self.sent += 1
        now_s = self.fleet.now / SECOND
        if not self._links:
            self.fleet.call_later(self._rng.randrange(3 * MS, 21 * MS), self._deliver_to_all, number, message)
            return
        for other in range(len(self.members)):
            for delay_s in self._links.get((number, other), WELL).delays(now_s, self._rng):
                self.fleet.call_later(int(delay_s * SECOND), self._deliver, other, message)

    def _deliver_to_all(self, number: int, message: Message) -> None:
        for other in range(len(self.members)):
            if other != number:
                self._deliver(other, message)

    def _deliver(self, number: int, message: Message) -> None:
        if number not in self.stopped:
            self.members[number].receive(self.fleet.now, message)

    def _sample(self) -> None:
        levels = [m.threshold.level for i, m in enumerate(self.members) if i not in self.stopped]
        common = max(set(levels), key=levels.count)
        near = sum(abs(level - common) <= 1 for level in levels) / len(levels)
        self.samples.append((self.fleet.now / SECOND, near, common))
        self.fleet.call_later(SECOND // 10, self._sample)

    # --- faults ---------------------------------------------------------------------------------

    def play(self, schedule: Schedule) -> None:
        """Schedule the steps of a schedule at their times."""
        for step in schedule:
            self.fleet.call_at(step.at, self._apply_step, step)

    def _apply_step(self, step: Step) -> None:
        match step.do:
            case "link":
                for a in step.members:
                    for b in step.to:
                        self._links[a, b] = step.link
            case "heal":
                self._links.clear()
            case "stop" | "kill":
                self.stopped.update(step.members)
            case "go_on":
                self.stopped.difference_update(step.members)
            case "start":
                for number in step.members:
                    self.stopped.discard(number)
                    self.members[number] = self._create_member(number)


def altered_message(message: Message, **values: Any) -> Message:
    """Return a message with some of its values replaced, for use by a forger."""
    original: ThresholdMessage = decode(message.body)
    level = values.pop("rung", original.level)
    return message._replace(
        body=encode(original._replace(sample=replace(original.sample, **values), level=level))
    )
