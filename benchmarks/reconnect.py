"""Thousands of instances on one agent, played by light clients over real sockets: what a rollout to all takes,
what the agent needs while nothing happens, and what it costs when all come back at once after a kill -9."""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import time

from benchmarks.report import cpu_s, progress, rss_mib, show
from covetally.rig.managed import Managed
from covetally.rig.world import Shape

WORKERS = 4
QUIET_S = 10.0
PATIENCE_S = 120.0


class Crowd:
    """The light clients' processes, and what they print."""

    def __init__(self) -> None:
        self.back: list[float] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._readers: list[asyncio.Task[None]] = []

    async def start(self, path: str, count: int, silent: int = 0) -> None:
        for worker in range(WORKERS):
            first = count * worker // WORKERS
            more = count * (worker + 1) // WORKERS - first
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "benchmarks.lightweight", path, str(first), str(more), str(worker),
                str(silent),
                stdout=asyncio.subprocess.PIPE,
            )  # fmt: skip
            self._processes.append(process)
            self._readers.append(asyncio.create_task(self._read(process)))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.back.append(json.loads(line))

    async def stop(self) -> None:
        for process in self._processes:
            process.kill()
            await process.wait()
        await asyncio.gather(*self._readers)


async def _until_connected(world: Managed, count: int) -> float:
    start = time.monotonic()
    while (await world.get("/v1/status"))["connected"] < count:
        if time.monotonic() - start > PATIENCE_S:
            raise TimeoutError("not all came")
        await asyncio.sleep(0.05)
    return time.monotonic() - start


async def measure(count: int) -> dict[str, object]:
    """The figures for so many instances."""
    async with Managed(Shape(nodes=1, instances=0)) as world:
        await world.start_agent()
        crowd = Crowd()
        try:
            await crowd.start(str(world.state / "instances.sock"), count)
            up_s = await _until_connected(world, count)
            progress(f"{count} connected after {up_s:.1f} s")
            assert world.agent is not None
            pid, before = world.agent.pid, cpu_s(world.agent.pid)
            await asyncio.sleep(QUIET_S)
            quiet = (cpu_s(pid) - before) / QUIET_S
            before, start = cpu_s(pid), time.monotonic()
            plan = ("--canary", "1", "--shares", "1", "--soak", "0", "--max-out", "200")
            code, out, err = await world.command("set", "limits.max_attempts=3", *plan)
            rollout_s, rollout_cpu = time.monotonic() - start, cpu_s(pid) - before
            if code != 0:
                raise RuntimeError(out[-2000:] + err[-2000:])
            memory = rss_mib(pid)
            progress(f"rollout to all: {rollout_s:.2f} s")
            crowd.back.clear()
            await world.kill_agent()
            await asyncio.sleep(2.0)
            start = time.monotonic()
            await world.start_agent()
            pid = world.agent.pid
            await _until_connected(world, count)
            back_s, back_cpu = time.monotonic() - start, cpu_s(pid)
            await asyncio.sleep(0.5)
            waits = sorted(crowd.back)
            return {
                "rollout to all, s": round(rollout_s, 2),
                "agent's CPU for it, s": round(rollout_cpu, 2),
                "agent's CPU at rest, share of a core": round(quiet, 3),
                "agent's memory, MiB": round(memory, 1),
                "all back after its start, s": round(back_s, 2),
                "agent's CPU until then, s": round(back_cpu, 2),
                "a link's time away, median and longest, s": (
                    f"{statistics.median(waits):.1f} {waits[-1]:.1f} ({len(waits)} of {count})"
                ),
            }
        finally:
            await crowd.stop()


def main() -> int:
    """Exit status 1 if the rollout did not reach all or not all came back."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="*", default=[500, 1000, 2000, 5000])
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows: dict[str, object] = {}
    for count in options.instances:
        for key, value in asyncio.run(measure(count)).items():
            rows[f"{count}: {key}"] = value
    show("reconnect", rows, options.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
