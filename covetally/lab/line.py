"""The fleet's overload line in virtual time: a member beside each balancer, words on links that may fail.

A schedule's steps are those of `rig/schedule.py`. A member that is stopped neither ticks nor hears, and its
balancer goes on with what it was told until that lapses; one that is killed starts anew with another life.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from covetally.lab.fleet import MS, SECOND, Fleet
from covetally.overload import Member, Policy
from covetally.overload.messages import ThresholdMessage, decode, encode
from covetally.rig.schedule import WELL, Link, Schedule, Step
from covetally.gossip import Message

Liar = Callable[[int, Message], Message | None]


class Lined:
    """Members of a fleet. `lies` may put another word in the place of what a member says, by its number."""

    def __init__(self, fleet: Fleet, policy: Policy | None = None, lies: dict[int, Liar] | None = None) -> None:
        self.fleet, self._policy, self._lies = fleet, policy or Policy(), lies or {}
        self._rng = random.Random(fleet.plan.seed + 77)
        self._links: dict[tuple[int, int], Link] = {}
        self.stopped: set[int] = set()
        self.said = 0
        self.samples: list[tuple[float, float, int]] = []  # when, share at the commonest rung, that rung
        self.members = [self._member(i) for i in range(len(fleet.sidecars))]
        for number in range(len(self.members)):
            fleet.after(self._rng.randrange(250 * MS), self._tick, number)
        fleet.after(SECOND, self._sample)

    def _member(self, number: int) -> Member:
        sidecar = self.fleet.sidecars[number]
        life, seed = self._rng.getrandbits(32), self._rng.getrandbits(32)
        size = len(self.fleet.sidecars)
        member = Member(number, size, life, seed, self.fleet.now, sidecar.settings, self._policy)
        sidecar.guard = member
        return member

    def _tick(self, number: int) -> None:
        fleet, member = self.fleet, self.members[number]
        fleet.after(max(MS, member.due - fleet.now), self._tick, number)
        if number in self.stopped:
            return
        sends = member.tick(fleet.now)
        for event in member.events(fleet.now):
            fleet.sidecars[number].handle(event)
        for _, word in sends:
            lied = self._lies[number](fleet.now, word) if number in self._lies else word
            if lied is not None:
                self._send(number, lied)

    def _send(self, number: int, word: Message) -> None:
        self.said += 1
        now_s = self.fleet.now / SECOND
        if not self._links:
            self.fleet.after(self._rng.randrange(3 * MS, 21 * MS), self._all, number, word)
            return
        for other in range(len(self.members)):
            for delay_s in self._links.get((number, other), WELL).delays(now_s, self._rng):
                self.fleet.after(int(delay_s * SECOND), self._heard, other, word)

    def _all(self, number: int, word: Message) -> None:
        for other in range(len(self.members)):
            if other != number:
                self._heard(other, word)

    def _heard(self, number: int, word: Message) -> None:
        if number not in self.stopped:
            self.members[number].receive(self.fleet.now, word)

    def _sample(self) -> None:
        rungs = [m.threshold.level for i, m in enumerate(self.members) if i not in self.stopped]
        common = max(set(rungs), key=rungs.count)
        near = sum(abs(rung - common) <= 1 for rung in rungs) / len(rungs)
        self.samples.append((self.fleet.now / SECOND, near, common))
        self.fleet.after(SECOND // 10, self._sample)

    # --- faults ---------------------------------------------------------------------------------

    def play(self, schedule: Schedule) -> None:
        """Carry out the steps at their times."""
        for step in schedule:
            self.fleet.at(step.at, self._do, step)

    def _do(self, step: Step) -> None:
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
                    self.members[number] = self._member(number)


def changed(word: Message, **figures: Any) -> Message:
    """A word with other figures in it, for liars."""
    told: ThresholdMessage = decode(word.body)
    rung = figures.pop("rung", told.level)
    return word._replace(body=encode(told._replace(sample=replace(told.sample, **figures), level=rung)))
