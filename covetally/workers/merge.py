"""Merges the heartbeats and snapshots of several workers into those of one sidecar. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

Heartbeat = Mapping[str, Any]
Counts = dict[str, list[int]]


def add_counts(total: Counts, counts: Mapping[str, list[int]]) -> None:
    """Add counts by class to a total."""
    for name, numbers in counts.items():
        sums = total.setdefault(name, [0] * len(numbers))
        for column, number in enumerate(numbers):
            sums[column] += number


class ExitedTotals:
    """The counts of workers that have exited. They keep the sidecar's totals from falling when a worker exits."""

    def __init__(self) -> None:
        self.counts: Counts = {}
        self.shed = 0

    def add(self, last: Heartbeat) -> None:
        """Add the last heartbeat of a worker that has exited."""
        add_counts(self.counts, last.get("counts", {}))
        self.shed += last.get("shed", 0)


def merge_heartbeats(exited: ExitedTotals, alive: Iterable[Heartbeat], state: str) -> dict[str, Any]:
    """Return the heartbeat of the whole sidecar."""
    counts: Counts = {}
    add_counts(counts, exited.counts)
    shed, open_, lag = exited.shed, 0, 0.0
    rosters = []
    for heartbeat in alive:
        add_counts(counts, heartbeat.get("counts", {}))
        shed += heartbeat.get("shed", 0)
        open_ += heartbeat.get("open", 0)
        lag = max(lag, heartbeat.get("lag_ms", 0.0))
        if "roster" in heartbeat:
            rosters.append(heartbeat["roster"])
    merged = {"counts": counts, "shed": shed, "open": open_, "lag_ms": lag, "state": state}
    return merged | ({"roster": rosters[0]} if rosters else {})


def merge_snapshots(by_slot: Mapping[int, Mapping[str, Any]]) -> dict[str, Any]:
    """Return one snapshot: sums of the limits that the workers share, and the worst of their node assessments."""
    if not by_slot:
        return {
            "limits": {},
            "classes": {},
            "nodes": [],
            "errors": [],
            "memory_kib": 0,
            "listen": "",
            "violations": {},
            "closed": {},
        }
    snapshots = list(by_slot.values())
    nodes: dict[str, dict[str, Any]] = {}
    for snapshot in snapshots:
        for node in snapshot["nodes"]:
            known = nodes.get(node["node"])
            nodes[node["node"]] = dict(node) if known is None else _merge_nodes(known, node)
    return {
        "memory_kib": sum(p["memory_kib"] for p in snapshots),
        "listen": snapshots[0]["listen"],
        "limits": _merge_limits([p["limits"] for p in snapshots]),
        "classes": snapshots[0]["classes"],
        "violations": _sum_by_name(p["violations"] for p in snapshots),
        "closed": _sum_by_name(p["closed"] for p in snapshots),
        "nodes": list(nodes.values()),
        "errors": sorted((e for p in snapshots for e in p["errors"]), key=lambda line: line["at"])[-20:],
        "workers": [
            {
                "place": slot, "pid": p["pid"], "open": p["open"], "lag_ms": p["lag_ms"],
                "memory_kib": p["memory_kib"], "clients": p["limits"]["client_connections"][0],
                "counts": p["counts"], "state": p["state"],
            }
            for slot, p in sorted(by_slot.items())
        ],
    }  # fmt: skip


def _sum_by_name(parts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for part in parts:
        total.update(part)
    return dict(total)


def _merge_limits(limits: list[Mapping[str, Any]]) -> dict[str, Any]:
    """Add up the limits that are lists ([used, maximum]); the others are the same in each worker."""
    return {
        name: [sum(column) for column in zip(*(one[name] for one in limits), strict=True)]
        if isinstance(value, list)
        else value
        for name, value in limits[0].items()
    }


def _merge_nodes(one: dict[str, Any], other: Mapping[str, Any]) -> dict[str, Any]:
    """Merge two workers' rows of a node: the sum of their budgets and counts, the worse of their assessments."""
    reasons = sorted({w for w in (*one["why"].split("; "), other["why"]) if w})
    return one | {
        "k": one["k"] + other["k"],
        "figure": round(one["figure"] + other["figure"], 2),
        "in_flight": one["in_flight"] + other["in_flight"],
        "trial": one["trial"] or other["trial"],
        "retry_s": max(one["retry_s"], other["retry_s"]),
        "bad": max(one["bad"], other["bad"]),
        "refused": one["refused"] + other["refused"],
        "wait_ms": max(one["wait_ms"], other["wait_ms"]),
        "why": "; ".join(reasons),
    }
