"""What being managed costs a sidecar: requests a second and CPU a request with control off, on and idle, and
asked for a snapshot every second. One sidecar on a core of its own, 16 kept connections that ask as fast as they
are answered. The kinds take turns, so that the moods of the machine fall on all of them. With --before TREE the
sidecar of another checkout takes turns too."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
from pathlib import Path

from benchmarks.report import cpu_s, progress, rss_mib, show
from covetally.rig.managed import Managed
from covetally.rig.world import Shape

CONNECTIONS, ASKERS = 16, 2
WARM_S = 1.0


def _pin(pid: int, cores: set[int]) -> None:
    if len(os.sched_getaffinity(0)) > max(cores):
        os.sched_setaffinity(pid, cores)


async def _snapshots(world: Managed) -> None:
    while True:
        await asyncio.sleep(1.0)
        await world.get("/v1/instances/a0")


async def turn(kind: str, seconds: float, before: Path | None) -> dict[str, float]:
    """One turn: a fresh sidecar of a kind."""
    async with Managed(Shape(nodes=4, instances=1, slots=64, work_scale=0.01), control="") as world:
        instance = world.instances["a0"]
        if kind in ("off", "before"):
            instance.arguments = ()
        else:
            await world.start_agent("--log-level", "warning")
        if kind == "before":
            os.environ["PYTHONPATH"] = str(before)
        try:
            await world.start_instance("a0")
        finally:
            os.environ.pop("PYTHONPATH", None)
        assert instance.process is not None
        pid = instance.process.pid
        _pin(pid, {2})
        for number, node in enumerate(world.nodes.values()):
            _pin(node.child.pid, {3 + number % 2})
        asking = asyncio.create_task(_snapshots(world)) if kind == "snapshots" else None
        await asyncio.sleep(WARM_S)
        host, port = instance.address
        start_cpu = cpu_s(pid)
        askers = []
        for number in range(ASKERS):
            asker = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "benchmarks.asker",
                host, str(port), str(CONNECTIONS // ASKERS), str(seconds),
                stdout=asyncio.subprocess.PIPE,
            )  # fmt: skip
            _pin(asker.pid, {5 + number})
            askers.append(asker)
        outs = [json.loads((await asker.communicate())[0]) for asker in askers]
        used = cpu_s(pid) - start_cpu
        if asking is not None:
            asking.cancel()
        answers = sum(out["answers"] for out in outs)
        return {
            "rate": answers / seconds,
            "cpu_us": used / answers * 1e6,
            "p99_ms": max(out["p99_ms"] for out in outs),
            "bad": sum(out["bad"] for out in outs),
            "rss": rss_mib(pid),
        }


async def idle(seconds: float) -> dict[str, float]:
    """A managed sidecar that nobody asks anything: CPU and bytes a minute for management alone."""
    async with Managed(Shape(nodes=4, instances=1), relayed=("a0",), control="") as world:
        await world.start_agent("--log-level", "warning")
        await world.start_instance("a0")
        await world.connected()
        process = world.instances["a0"].process
        assert process is not None
        relay = world.relays["a0"]
        cpu, passed = cpu_s(process.pid), relay.passed
        await asyncio.sleep(seconds)
        return {
            "cpu_ms_a_minute": (cpu_s(process.pid) - cpu) * 1000 * 60 / seconds,
            "bytes_a_minute": (relay.passed - passed) * 60 / seconds,
        }


async def measure(seconds: float, turns: int, before: Path | None) -> dict[str, object]:
    """The figures."""
    kinds = ["off", "idle", "snapshots"] + (["before"] if before is not None else [])
    found: dict[str, list[dict[str, float]]] = {kind: [] for kind in kinds}
    for number in range(turns):
        for kind in kinds if number % 2 == 0 else reversed(kinds):
            got = await turn(kind, seconds, before)
            found[kind].append(got)
            progress(f"turn {number + 1} of {turns}, {kind}: {got['rate']:.0f}/s, {got['cpu_us']:.1f} us")
    rows: dict[str, object] = {}
    base = statistics.median(x["cpu_us"] for x in found["off"])
    for kind in kinds:
        middle = {key: statistics.median(x[key] for x in found[kind]) for key in found[kind][0]}
        spread = [round(x["cpu_us"], 1) for x in found[kind]]
        rows[kind] = (
            f"{middle['rate']:.0f} requests/s, {middle['cpu_us']:.1f} us CPU a request "
            f"({middle['cpu_us'] / base - 1:+.1%} against off), p99 {middle['p99_ms']:.1f} ms, "
            f"{middle['rss']:.1f} MiB, bad {middle['bad']:.0f}; turns {spread}"
        )
    rest = await idle(30.0)
    rows["managed and not asked"] = (
        f"{rest['cpu_ms_a_minute']:.0f} ms CPU and {rest['bytes_a_minute']:.0f} bytes a minute"
    )
    return rows


def main() -> int:
    """Exit status 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--before", type=Path)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    show("control", asyncio.run(measure(options.seconds, options.turns, options.before)), options.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
