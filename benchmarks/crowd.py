"""Clients that connect and leave, so many a second, beside some that stay: what the staying ones get, what it
costs, and whether memory and descriptors come back."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys

from benchmarks.path import CLIENT_CORES, WARM_S, Place, pin, words
from benchmarks.report import progress, rss_mib, show

STAYING = 300.0  # requests/s on kept connections
SETTLE_S = 3.0  # past the time for which a request may take to come


def _descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


async def measure(rate: float, seconds: float) -> dict[str, object]:
    """The figures."""
    rows: dict[str, object] = {}
    async with Place(4) as place:
        one = await place.sidecar()
        pid = one.process.pid
        await one.ask(STAYING, WARM_S, 15)
        alone = await one.ask(STAYING, seconds, 48, clients=1)
        rows[f"{STAYING:g}/s on kept connections, alone"] = words(alone)
        before = (_descriptors(pid), rss_mib(pid))
        leaver = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.quick", "leave", "{}:{}".format(*one.address), str(rate),
            str(seconds + 1.0), stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        pin(leaver.pid, CLIENT_CORES[1])
        await asyncio.sleep(0.5)
        beside = await one.ask(STAYING, seconds, 48, clients=1)
        left = json.loads((await leaver.communicate())[0])
        rows[f"beside {left['rate']}/s that connect and leave"] = words(beside)
        rows["connections that could not be made"] = f"{left['failed']} of {left['left']}"
        await asyncio.sleep(SETTLE_S)
        after = await one.ask(STAYING, seconds, 48, clients=1)
        rows["alone again"] = words(after)
        rows["descriptors and MiB before, after"] = (
            f"{before[0]}, {before[1]:.1f}; {_descriptors(pid)}, {rss_mib(pid):.1f}"
        )
        for name, row in rows.items():
            progress(f"{name}: {row}")
        await one.end()
    return rows


def main() -> int:
    """Exit status 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=5000.0, help="connections/s that leave again")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    show("crowd", asyncio.run(measure(options.rate, options.seconds)), options.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
