"""What being managed costs a sidecar: CPU a request with control off, on and idle, and asked for a snapshot every
second, against one with control off. The two run side by side on one core, 8 kept connections asking each as fast
as it answers, so that the moods of the machine fall on both alike. Off against off shows the noise; with --before
TREE the sidecar of another checkout is compared too."""

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

CONNECTIONS = 8
WARM_S = 1.0


def _ran_s(pid: int) -> float:
    """CPU time of a process to the nanosecond, in seconds (Linux, /proc/PID/schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def _pin(pid: int, cores: set[int]) -> None:
    if len(os.sched_getaffinity(0)) > max(cores):
        os.sched_setaffinity(pid, cores)


async def _snapshots(world: Managed, name: str) -> None:
    while True:
        await asyncio.sleep(1.0)
        await world.get(f"/v1/instances/{name}")


async def turn(kind: str, seconds: float, before: Path | None, first: bool) -> dict[str, float]:
    """One turn: a sidecar of a kind and one with control off, beside each other."""
    async with Managed(Shape(nodes=4, instances=2, slots=64, work_scale=0.01), control="") as world:
        names = ["a0", "a1"] if first else ["a1", "a0"]
        for name, what in zip(names, (kind, "off"), strict=True):
            if what in ("off", "before"):
                world.instances[name].arguments = ()
            if what == "before":
                os.environ["PYTHONPATH"] = str(before)
            elif what != "off":
                await world.start_agent()
            try:
                await world.start_instance(name)
            finally:
                os.environ.pop("PYTHONPATH", None)
        pids = {name: world.instances[name].process.pid for name in names}  # type: ignore[union-attr]
        for pid in pids.values():
            _pin(pid, {2})
        for number, node in enumerate(world.nodes.values()):
            _pin(node.child.pid, {3 + number % 2})
        asking = asyncio.create_task(_snapshots(world, names[0])) if kind == "snapshots" else None
        await asyncio.sleep(WARM_S)
        ran = {name: _ran_s(pid) for name, pid in pids.items()}
        askers = []
        for number, name in enumerate(names):
            host, port = world.instances[name].address
            asker = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "benchmarks.asker", host, str(port), str(CONNECTIONS), str(seconds),
                stdout=asyncio.subprocess.PIPE,
            )  # fmt: skip
            _pin(asker.pid, {5 + number})
            askers.append(asker)
        outs = [json.loads((await asker.communicate())[0]) for asker in askers]
        used = [(_ran_s(pids[name]) - ran[name]) / out["answers"] for name, out in zip(names, outs, strict=True)]
        if asking is not None:
            asking.cancel()
        return {
            "ratio": used[0] / used[1],
            "cpu_us": used[0] * 1e6,
            "bad": sum(out["bad"] for out in outs),
            "rss": rss_mib(pids[names[0]]),
        }


async def idle(seconds: float) -> dict[str, float]:
    """A managed sidecar that nobody asks anything: CPU and bytes a minute for management alone."""
    async with Managed(Shape(nodes=4, instances=1), relayed=("a0",), control="") as world:
        await world.start_agent()
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
        for kind in kinds:
            got = await turn(kind, seconds, before, number % 2 == 0)
            found[kind].append(got)
            progress(f"turn {number + 1} of {turns}, {kind}: {got['cpu_us']:.1f} us, {got['ratio'] - 1:+.2%}")
    rows: dict[str, object] = {}
    for kind in kinds:
        middle = {key: statistics.median(x[key] for x in found[kind]) for key in found[kind][0]}
        spread = ", ".join(f"{x['ratio'] - 1:+.1%}" for x in found[kind])
        rows[f"{kind} against off"] = (
            f"{middle['ratio'] - 1:+.2%} CPU a request ({spread}); {middle['cpu_us']:.0f} us, "
            f"{1e6 / middle['cpu_us']:.0f} requests/s on a whole core, {middle['rss']:.1f} MiB, "
            f"bad {middle['bad']:.0f}"
        )
    rest = await idle(30.0)
    rows["managed and not asked"] = (
        f"{rest['cpu_ms_a_minute']:.0f} ms CPU and {rest['bytes_a_minute']:.0f} bytes a minute"
    )
    return rows


def main() -> int:
    """Exit status 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--turns", type=int, default=6)
    parser.add_argument("--before", type=Path)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    show("control", asyncio.run(measure(options.seconds, options.turns, options.before)), options.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
