"""Verdicts of a tier in virtual time: members that call nodes at random, nodes that fail as a test wants, liars.

Members choose as a balancer does that is told what to avoid: among the nodes that are not avoided, but one call
to a node whose trial is theirs. What a balancer learns by itself is left out, so that what is seen is the tier's.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from zlib import crc32

from covetally.interface import AttemptStatus
from covetally.lab.tier import Whole
from covetally.rig.schedule import Schedule
from covetally.tier.facts import What, Word
from covetally.tier.members import SECOND
from covetally.tier.node import Site
from covetally.tier.verdicts import Advice

ZONES = ("a", "b", "c")
STEP_S = 0.02
Fate = Callable[[int, str, int], AttemptStatus]


class Calls:
    """`size` members, a third in each zone, and `nodes`, too. `fate` tells how a call of a member ends."""

    def __init__(self, size: int, nodes: int, seed: int, rate: float = 20.0, classes: int = 1) -> None:
        self.zone_of = {f"n{i}": i % len(ZONES) for i in range(nodes)}
        self.tier = Whole(size, seed, lambda n: Site(zones=ZONES, zone=n % len(ZONES)))
        self.random = random.Random(seed)
        self.rate, self.classes = rate, classes
        self.fate: Fate = lambda member, node, cls: AttemptStatus.OK
        self.down: set[str] = set()
        self.liars: dict[int, tuple[str, ...]] = {}  # of these members each says that these nodes fail
        self.calls: Counter[tuple[int, str]] = Counter()
        self.failed: Counter[tuple[int, str]] = Counter()
        self.trials: list[tuple[float, int, str]] = []
        self._used: dict[tuple[int, str], int] = {}
        for node in self.tier.nodes.values():
            node.listed(self.zone_of)

    def advice(self, member: int) -> Advice:
        """What a member's balancer is told."""
        return self.tier.nodes[member].advice()

    def avoiding(self, node: str, cls: int = -1) -> float:
        """The share of members that are told to avoid a node."""
        there = [n for n in self.tier.nodes if n not in self.liars]
        return sum(any(a == (node, cls) for a in self.advice(n).avoid) for n in there) / len(there)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Let members call for so long, or until that holds; the seconds that passed."""
        steps = int(seconds / STEP_S)
        for i in range(steps):
            self.tier.run(STEP_S)
            for member in list(self.tier.nodes):
                if member not in self.tier.stopped:
                    self._calls_of(member)
            if until is not None and until():
                return (i + 1) * STEP_S
        return seconds

    def play(self, schedule: Schedule, seconds: float) -> None:
        """Carry out a schedule while members call."""
        began = self.tier.now / SECOND
        for step in schedule:
            self.run(max(0.0, began + step.at - self.tier.now / SECOND))
            self.tier.play((replace(step, at=0.0),), 0)
            for node in self.tier.nodes.values():
                node.listed(self.zone_of)
        self.run(max(0.0, began + seconds - self.tier.now / SECOND))

    def _calls_of(self, member: int) -> None:
        if member in self.liars:
            facts = self.tier.nodes[member].facts
            for name in self.liars[member]:
                facts.say(self.tier.time(member), What.NODE, crc32(name.encode()), Word.FAILS, 0)
            return
        if self.random.random() >= self.rate * STEP_S:
            return
        cls = self.random.randrange(self.classes)
        advice = self.advice(member)
        avoid = {a.server for a in advice.avoid if a.cls in (-1, cls)}
        now = self.tier.now
        for name in advice.turns:
            if now - self._used.get((member, name), -SECOND) >= SECOND // 2:
                self._used[member, name] = now
                self.trials.append((now / SECOND, member, name))
                self._call(member, name, cls)
                return
        names = [n for n, zone in self.zone_of.items() if n not in avoid and zone not in advice.zones]
        self._call(member, self.random.choice(names or list(self.zone_of)), cls)

    def _call(self, member: int, name: str, cls: int) -> None:
        how = AttemptStatus.CONNECT_FAILED if name in self.down else self.fate(member, name, cls)
        self.calls[member, name] += 1
        self.failed[member, name] += how is not AttemptStatus.OK
        self.tier.outcome(member, name, how, cls)
