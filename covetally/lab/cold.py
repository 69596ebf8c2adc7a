"""Simulates the load that all sidecars together put on cold nodes, and compares it with what overloads one.

Rule four is that the sidecars never overload a cold node. The bound follows from slow start:

- There are n nodes and S sidecars, with R requests a second in total. T is the overload window of the settings.
- A call draws a given cold node of warmth w with probability 2 / n at most (the better of two choices), and
  keeps it with probability r(w) = w ** 1.5. So the node receives at most 2 R r(w) T / n requests within T,
  whatever S is.
- The node is overloaded by more than N + 2 sqrt(N) + 2 requests within T, where N = m C w T, C is the capacity
  of a warm node a second and m the overload multiple of the settings. The rest allows for chance.
- With R = load * n C, the node receives at most 2 load w ** 0.5 / m of N, which is below N for any load up to
  m / 2.
- If a share f of the nodes is cold, a call that does not keep a cold node draws again. The cold nodes together
  then receive up to min(1, 2 f r / (1 - f)) of all requests.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from covetally.lab.fleet import MS, SECOND, ClassLoad, FleetConfig, FleetCounts, FleetSimulation, NodeShape
from covetally.rig.account import cold_most
from covetally.rig.site import settings as site_settings
from covetally.interface import Settings

WORK_MS = 40.0
SLOTS = 4


@dataclass(frozen=True, slots=True)
class OverloadWindow:
    """The window in which a cold node came nearest to overload.

    `received` and `capacity` count requests of mean work within the overload window: those that arrived, and
    those that overload the node at its warmth at that time.
    """

    received: float
    capacity: float
    at_s: float

    @property
    def load_ratio(self) -> float:
        """Return received / capacity; at 1 or more the node was overloaded."""
        return self.received / self.capacity


def overload_work_ns(settings: Settings, slots: int, warmth: float, mean_ns: float) -> float:
    """Return the work, in ns within the overload window, that overloads a node of this warmth."""
    invariants = settings.invariants
    return cold_most(invariants.overload_multiple * slots * warmth * invariants.overload_window_ns, mean_ns)


def find_worst_window(fleet: FleetSimulation, counts: FleetCounts) -> OverloadWindow:
    """Return the window with the highest load ratio, over all nodes that start cold."""
    worst = OverloadWindow(0.0, 1.0, 0.0)
    window_ns = fleet.settings.invariants.overload_window_ns
    for node in fleet.nodes:
        if node.shape.started_s < 0:
            continue
        window: deque[tuple[int, int]] = deque()
        work = 0
        start, end = node.shape.started_s, node.shape.started_s + node.shape.cold_s
        for at, cost in counts.arrivals.get(node.number, ()):
            if not start <= at / SECOND <= end:
                continue
            window.append((at, cost))
            work += cost
            while window[0][0] <= at - window_ns:
                work -= window.popleft()[1]
            overload_ns = overload_work_ns(fleet.settings, node.shape.slots, node.warmth(at), WORK_MS * MS)
            if work / overload_ns > worst.load_ratio:
                worst = OverloadWindow(work / (WORK_MS * MS), overload_ns / (WORK_MS * MS), round(at / SECOND, 2))
    return worst


def play(
    sidecars: int, nodes: int, cold: int, load: float, seed: int, cold_from: float = 0.1
) -> tuple[OverloadWindow, FleetCounts]:
    """Simulate 10 s in which `cold` of the nodes start cold at second 2; return the worst window and the counts.

    All sidecars know when these nodes started. `load` is the request rate as a share of the capacity of all
    nodes when warm, and `cold_from` the warmth at which a node starts.
    """
    settings = Settings.parse(site_settings(0, sidecars, cold_from, 8000))
    total_capacity = nodes * SLOTS / (WORK_MS / 1000)
    shapes = tuple(
        NodeShape(SLOTS, zone=i % 3, cold_from=cold_from, cold_s=8.0, started_s=2.0 if i < cold else -1.0)
        for i in range(nodes)
    )
    config = FleetConfig(
        10.0, ((0.0, load * total_capacity),), (ClassLoad(0, 1.0, WORK_MS),), shapes, sidecars, seed
    )
    fleet = FleetSimulation(config, settings)
    counts = fleet.run()
    return find_worst_window(fleet, counts), counts
