"""Goodput against offered load: one sidecar on a part of a core, asked at a share of what it can carry up to ten
times that. The part is made by busy processes beside it on its core. With --before TREE another checkout too."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from pathlib import Path

from benchmarks.path import SIDECAR_CORE, WARM_S, Place, Sidecar, words
from benchmarks.report import progress, show

TIMES = (0.5, 1.0, 2.0, 5.0, 10.0)
CONNECTIONS = 384  # of 512 that the sidecar lets in: its clients leave it some room
PAUSE_S = 1.5  # between two loads: queues and beliefs settle


async def _busy(count: int) -> list[asyncio.subprocess.Process]:
    """Processes that take their share of the sidecar's core."""
    found = []
    for _ in range(count):
        process = await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        os.sched_setaffinity(process.pid, {SIDECAR_CORE})
        found.append(process)
    return found


Curve = dict[float, dict[str, float]]


async def curve(place: Place, tree: Path | None, capacity: float, seconds: float) -> Curve:
    """What one sidecar makes of each load."""
    one: Sidecar = await place.sidecar(tree)
    await one.ask(min(200.0, capacity / 4), WARM_S, 15)
    found = {}
    for times in TIMES:
        found[times] = await one.ask(times * capacity, seconds, CONNECTIONS)
        await asyncio.sleep(PAUSE_S)
    await one.end()
    return found


async def _capacity(place: Place, tree: Path | None) -> float:
    """What it carries with 16 connections, requests/s."""
    one = await place.sidecar(tree)
    got = await one.ask(0, 3.0, 16, kind="burst", clients=2)
    await one.end()
    return got["rate"]


async def measure(before: Path | None, neighbours: int, seconds: float) -> dict[str, object]:
    """The figures."""
    rows: dict[str, object] = {}
    trees = {"before": before, "now": None} if before is not None else {"now": None}
    async with Place(4) as place:
        busy = await _busy(neighbours)
        try:
            for label, tree in trees.items():
                capacity = await _capacity(place, tree)
                rows[f"{label}, capacity"] = f"{capacity:.0f}/s, {neighbours} neighbours on the core"
                progress(f"{label}: {rows[f'{label}, capacity']}")
                found = await curve(place, tree, capacity, seconds)
                best = max(g["in_time"] * g["rate"] for g in found.values())
                for times, one in found.items():
                    good = one["in_time"] * one["rate"]
                    text = f"{good:.0f}/s in time, {good / best:.0%} of its best; {words(one)}"
                    rows[f"{label}, {times:g} times"] = text
                    progress(f"{label}, {times:g} times: {text}")
        finally:
            for process in busy:
                process.kill()
                await process.wait()
    return rows


def main() -> int:
    """Exit status 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path)
    parser.add_argument("--neighbours", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    show("overload", asyncio.run(measure(options.before, options.neighbours, options.seconds)), options.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
