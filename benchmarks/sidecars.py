"""What the tier costs real sidecars: `python -m benchmarks.sidecars [--sizes 12,60,200] [--seconds 20]`.

So many sidecar processes, idle, with six nodes, with the tier off and on; datagrams by `rig/datagrams.py`. CPU
and resident memory of a sidecar's own process, from /proc.
"""

from __future__ import annotations

import asyncio

import click

from benchmarks.report import cpu_s, progress, rss_mib, show
from covetally.rig.world import Shape, World

ON = "[tier]\nmode = 'on'\n"


async def play(size: int, on: bool, seconds: float) -> dict[str, float]:
    """One world of so many sidecars."""
    async with World(Shape(nodes=6, instances=size, peers=True)) as world:
        for instance in world.instances.values():
            (instance.folder / "operator.toml").write_text(ON if on else "")
            instance.arguments = ("--operator", str(instance.folder / "operator.toml"))
        for name in world.instances:
            await world.start_instance(name)
        assert world.datagrams is not None
        await asyncio.sleep(10)  # they meet
        pids = [i.process.pid for i in world.instances.values() if i.process is not None]
        before = {pid: cpu_s(pid) for pid in pids}
        datagrams, octets = world.datagrams.passed.total(), world.datagrams.octets.total()
        await asyncio.sleep(seconds)
        cpu = [(cpu_s(pid) - before[pid]) / seconds * 1e6 for pid in pids]
        return {
            "cpu_us_per_s": round(sum(cpu) / size), "most_cpu_us_per_s": round(max(cpu)),
            "memory_kib": round(sum(rss_mib(pid) for pid in pids) / size * 1024),
            "datagrams_per_s": round((world.datagrams.passed.total() - datagrams) / seconds / size, 2),
            "bytes_per_s": round((world.datagrams.octets.total() - octets) / seconds / size, 1),
        }  # fmt: skip


@click.command()
@click.option("--sizes", default="12,60,200", show_default=True)
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(sizes: str, seconds: float, as_json: bool) -> None:
    """Print what a sidecar uses with the tier off and on."""
    rows = {}
    for size in map(int, sizes.split(",")):
        for on in (False, True):
            name = f"{size} sidecars, tier {'on' if on else 'off'}"
            rows[name] = asyncio.run(play(size, on, seconds))
            progress(f"{name}: {rows[name]}")
    show("what the tier costs a sidecar", rows, as_json)


if __name__ == "__main__":
    main()
