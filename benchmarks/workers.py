"""One sidecar of 1, 2 and 4 workers, each worker on a core of its own, nodes and clients on the others: how many
requests a second it answers on kept connections, and how evenly the connections fell."""

from __future__ import annotations

import argparse
import asyncio
import re
import sys

from benchmarks import path
from benchmarks.path import WARM_S, Place, Sidecar, cpu_s, pin
from benchmarks.report import progress, show

COUNTS = (1, 2, 4)
WORKER_CORES, NODE_CORES, CLIENT_CORES = (0, 1, 2, 3), (4, 5), (5, 6, 7)
CONNECTIONS = 96


async def _workers(one: Sidecar, count: int) -> list[int]:
    """The workers' pids, once all are up; each is put on its core."""
    assert one.log is not None
    async with asyncio.timeout(30):
        while True:
            found = re.findall(r"worker \d+ \(pid (\d+)\) is up", one.log.read_text())
            if len(found) == count:
                break
            await asyncio.sleep(0.05)
    pids = [int(pid) for pid in found]
    for pid, core in zip(pids, WORKER_CORES, strict=False):
        pin(pid, core)
    return pids


async def measure(seconds: float, turns: int) -> dict[str, object]:
    """The figures."""
    path.NODE_CORES, path.CLIENT_CORES = NODE_CORES, CLIENT_CORES
    rows: dict[str, object] = {}
    best: dict[int, float] = {}
    async with Place(4) as place:
        operator = place.folder / "operator.toml"
        for turn in range(turns):
            for count in COUNTS:
                operator.write_text(f"[workers]\ncount = {count}\n")
                one = await place.sidecar(arguments=("--operator", str(operator)))
                pids = await _workers(one, count)
                await one.ask(300, WARM_S, 15)
                before = [cpu_s(pid) for pid in pids]
                got = await one.ask(0, seconds, CONNECTIONS, kind="burst", clients=3)
                busy = [(cpu_s(pid) - was) / seconds for pid, was in zip(pids, before, strict=True)]
                await one.end()
                best[count] = max(best.get(count, 0.0), got["rate"])
                each_us = sum(busy) / got["rate"] * 1e6
                rows[f"{count} workers, turn {turn + 1}"] = text = (
                    f"{got['rate']:.0f}/s, {each_us:.0f} us a request, p50 {got['p50']:.1f}, "
                    f"p99 {got['p99']:.1f} ms, refused {got['refused']:.2%}, other {got['other']:.2%}; "
                    "workers' cores " + ", ".join(f"{share:.0%}" for share in busy)
                )
                progress(f"{count} workers: {text}")
        for count in COUNTS[1:]:
            rows[f"{count} workers over one, best of each"] = f"{best[count] / best[1]:.2f}"
    return rows


def main() -> int:
    """Exit status 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--turns", type=int, default=2)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    show("workers", asyncio.run(measure(options.seconds, options.turns)), options.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
