"""Simulates outlier detection across a tier in virtual time.

Members call random nodes, the test determines which attempts fail, and some members may send false reports.
Each member picks nodes as a balancer does that knows only the tier's ejections: among the nodes that are not
ejected, except for the calls that probe an ejected node when this member is the one to probe it. What a balancer
learns from its own attempts is left out, so that the results show the effect of the tier alone.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from zlib import crc32

from covetally.interface import AttemptStatus
from covetally.lab.tier import TierSimulation
from covetally.rig.schedule import Schedule
from covetally.tier.reports import ReportKind, ReportStatus
from covetally.tier.swim import SECOND
from covetally.tier.member import MemberConfig
from covetally.tier.outlier_detection import Ejections

ZONES = ("a", "b", "c")
STEP_S = 0.02
StatusOf = Callable[[int, str, int], AttemptStatus]


class OutlierSimulation:
    """Simulates `size` members that call `nodes` nodes; a third of the members and of the nodes is in each zone.

    `attempt_status` determines how an attempt of a member ends. The nodes in `down` refuse connections. Each
    member in `false_reporters` makes no calls, and keeps reporting its listed nodes as failing.
    """

    def __init__(self, size: int, nodes: int, seed: int, rate: float = 20.0, classes: int = 1) -> None:
        self.zone_of = {f"n{i}": i % len(ZONES) for i in range(nodes)}
        self.tier = TierSimulation(size, seed, lambda n: MemberConfig(zones=ZONES, zone=n % len(ZONES)))
        self.random = random.Random(seed)
        self.rate, self.classes = rate, classes
        self.attempt_status: StatusOf = lambda member, node, cls: AttemptStatus.OK
        self.down: set[str] = set()
        self.false_reporters: dict[int, tuple[str, ...]] = {}  # member: nodes it reports as failing
        self.calls: Counter[tuple[int, str]] = Counter()
        self.failed: Counter[tuple[int, str]] = Counter()
        self.probes: list[tuple[float, int, str]] = []
        self._last_probe_ns: dict[tuple[int, str], int] = {}
        for node in self.tier.nodes.values():
            node.update_servers(self.zone_of)

    def ejections(self, member: int) -> Ejections:
        """Return the ejections that a member's balancer receives."""
        return self.tier.nodes[member].ejections()

    def ejecting_share(self, node: str, cls: int = -1) -> float:
        """Return the share of truthful members at which a node is ejected, for one class or (-1) for all."""
        truthful = [n for n in self.tier.nodes if n not in self.false_reporters]
        return sum(any(a == (node, cls) for a in self.ejections(n).servers) for n in truthful) / len(truthful)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Run for `seconds`, or until `until` returns true; return the seconds that have passed."""
        steps = int(seconds / STEP_S)
        for i in range(steps):
            self.tier.run(STEP_S)
            for member in list(self.tier.nodes):
                if member not in self.tier.stopped:
                    self._make_call(member)
            if until is not None and until():
                return (i + 1) * STEP_S
        return seconds

    def play(self, schedule: Schedule, seconds: float) -> None:
        """Run a schedule for `seconds` in total, while the members make calls."""
        started = self.tier.now / SECOND
        for step in schedule:
            self.run(max(0.0, started + step.at - self.tier.now / SECOND))
            self.tier.play((replace(step, at=0.0),), 0)
            for node in self.tier.nodes.values():
                node.update_servers(self.zone_of)
        self.run(max(0.0, started + seconds - self.tier.now / SECOND))

    def _make_call(self, member: int) -> None:
        if member in self.false_reporters:
            reports = self.tier.nodes[member].reports
            for name in self.false_reporters[member]:
                reports.publish(
                    self.tier.time(member), ReportKind.SERVER, crc32(name.encode()), ReportStatus.FAILING, 0
                )
            return
        if self.random.random() >= self.rate * STEP_S:
            return
        cls = self.random.randrange(self.classes)
        ejections = self.ejections(member)
        ejected = {a.server for a in ejections.servers if a.cls in (-1, cls)}
        now = self.tier.now
        for name in ejections.probes:
            if now - self._last_probe_ns.get((member, name), -SECOND) >= SECOND // 2:
                self._last_probe_ns[member, name] = now
                self.probes.append((now / SECOND, member, name))
                self._attempt(member, name, cls)
                return
        names = [n for n, zone in self.zone_of.items() if n not in ejected and zone not in ejections.zones]
        self._attempt(member, self.random.choice(names or list(self.zone_of)), cls)

    def _attempt(self, member: int, name: str, cls: int) -> None:
        status = AttemptStatus.CONNECT_FAILED if name in self.down else self.attempt_status(member, name, cls)
        self.calls[member, name] += 1
        self.failed[member, name] += status is not AttemptStatus.OK
        self.tier.record_attempt(member, name, status, cls)
