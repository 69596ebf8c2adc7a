"""What several workers tell, made into what one sidecar tells. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

Beat = Mapping[str, Any]
Counts = dict[str, list[int]]


def add(total: Counts, counts: Mapping[str, list[int]]) -> None:
    """Add counts by class to a total."""
    for name, numbers in counts.items():
        have = total.setdefault(name, [0] * len(numbers))
        for place, number in enumerate(numbers):
            have[place] += number


class Tally:
    """What was counted by the workers that are gone: totals must not fall when one goes."""

    def __init__(self) -> None:
        self.counts: Counts = {}
        self.shed = 0

    def book(self, last: Beat) -> None:
        """A worker is gone; this is the last that it told."""
        add(self.counts, last.get("counts", {}))
        self.shed += last.get("shed", 0)


def beat(gone: Tally, alive: Iterable[Beat], state: str) -> dict[str, Any]:
    """One heartbeat of all workers."""
    counts: Counts = {}
    add(counts, gone.counts)
    shed, open_, lag = gone.shed, 0, 0.0
    rosters = []
    for one in alive:
        add(counts, one.get("counts", {}))
        shed += one.get("shed", 0)
        open_ += one.get("open", 0)
        lag = max(lag, one.get("lag_ms", 0.0))
        if "roster" in one:
            rosters.append(one["roster"])
    told = {"counts": counts, "shed": shed, "open": open_, "lag_ms": lag, "state": state}
    return told | ({"roster": rosters[0]} if rosters else {})


def snapshot(parts: Mapping[int, Mapping[str, Any]]) -> dict[str, Any]:
    """One snapshot of all workers' by place: sums where they share a whole, the worst where they differ."""
    if not parts:
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
    all_ = list(parts.values())
    nodes: dict[str, dict[str, Any]] = {}
    for part in all_:
        for node in part["nodes"]:
            have = nodes.get(node["node"])
            nodes[node["node"]] = dict(node) if have is None else _both(have, node)
    return {
        "memory_kib": sum(p["memory_kib"] for p in all_),
        "listen": all_[0]["listen"],
        "limits": _limits([p["limits"] for p in all_]),
        "classes": all_[0]["classes"],
        "violations": _summed(p["violations"] for p in all_),
        "closed": _summed(p["closed"] for p in all_),
        "nodes": list(nodes.values()),
        "errors": sorted((e for p in all_ for e in p["errors"]), key=lambda line: line["at"])[-20:],
        "workers": [
            {
                "place": place, "pid": p["pid"], "open": p["open"], "lag_ms": p["lag_ms"],
                "memory_kib": p["memory_kib"], "clients": p["limits"]["client_connections"][0],
                "counts": p["counts"], "state": p["state"],
            }
            for place, p in sorted(parts.items())
        ],
    }  # fmt: skip


def _summed(parts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Counts by name, of all workers together."""
    total: Counter[str] = Counter()
    for part in parts:
        total.update(part)
    return dict(total)


def _limits(limits: list[Mapping[str, Any]]) -> dict[str, Any]:
    return {
        name: [sum(column) for column in zip(*(one[name] for one in limits), strict=True)]
        if isinstance(value, list)
        else value
        for name, value in limits[0].items()
    }


def _both(one: dict[str, Any], other: Mapping[str, Any]) -> dict[str, Any]:
    """One node as two workers believe it to be: what they may send together, and the worse of their verdicts."""
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
