"""A storm, with the fleet's overload line and without: `python -m benchmarks.storm [--sizes 8,24] [--lab
200,1200]`.

Real sidecars over four nodes that can do some 350 requests a second: 250 first tries a second, then 625 for 20
s, then 250; clients ask again twice and mostly do not keep to Retry-After. `--lab`: the same with real
balancers and members in virtual time, nodes grown with the sidecars. Per second of the storm's settled part:
first tries in time, worth, asks, attempts at nodes, runs for nobody; each class's share in time; seconds until
97 % is in time after it.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Any

import click

from benchmarks.report import progress, show
from covetally.interface import Settings
from covetally.lab.fleet import ClassLoad, FleetSimulation, NodeShape
from covetally.lab.fleet import FleetConfig
from covetally.lab.overload import OverloadSimulation
from covetally.rig import site
from covetally.rig.storm import Storm, play
from covetally.rig.world import Shape, World

OPERATOR = '[overload]\nmode = "on"\n'
NODES = 4


async def real(size: int, on: bool, seed: int, storm: Storm) -> dict[str, Any]:
    """One play with processes."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        Path(file.name).write_text(OPERATOR)
        async with World(Shape(nodes=NODES, instances=size, peers=True, sockets=256)) as world:
            for instance in world.instances.values():
                instance.arguments = ("--operator", file.name) if on else ()
            await world.start_instances()
            found = await play(world, storm, seed)
            verdict = world.account.judge()
            first = [round(n / max(1, a), 2) for n, a in zip(found.in_time, found.asked, strict=True)]
            return found.table() | {"broken": len(verdict.breaks), "by_second": first}


def lab(size: int, on: bool, seed: int) -> dict[str, Any]:
    """The same in virtual time: the load and the nodes in the proportion of 24 sidecars to four nodes."""
    scale = size / 24
    settings = Settings.parse(site.settings(0, size, 0.25, 8000))
    work = site.work_ms()
    classes = tuple(ClassLoad(i, c.share, work[c.name]) for i, c in enumerate(site.LOAD_CLASSES))
    steps = ((0.0, 250 * scale), (6.0, 625 * scale), (26.0, 250 * scale))
    nodes = tuple(NodeShape(4, zone=i % 3) for i in range(round(NODES * scale)))
    fleet = FleetSimulation(
        FleetConfig(34.0, steps, classes, nodes, size, seed, retry_after_compliance=0.3), settings
    )
    lined = OverloadSimulation(fleet) if on else None
    books = fleet.run()

    def rate(what: str, begin: float = 12, end: float = 26) -> float:
        return round(books.total(what, begin, end) / (end - begin), 1)

    after = [(s, books.total("due_in_time", s, s + 1), books.total("asked", s, s + 1)) for s in range(26, 34)]
    bad = [second for second, good, asked in after if good < 0.97 * asked]
    row = {
        "can_do_s": round(16 / 0.0455 * scale, 1), "in_time_s": rate("in_time"), "worth_s": rate("worth"),
        "asks_s": rate("asks"), "attempts_s": rate("attempts"), "runs_s": rate("ran"),
        "for_nobody_s": rate("for_nobody"), "connections_s": rate("connections"),
        "by_class": {
            c.name: round(books.by_class[i, "in_time"] / max(1, books.by_class[i, "asked"]), 3)
            for i, c in enumerate(site.LOAD_CLASSES)
        },
        "back_s": float(max(bad) - 25) if bad else 0.0,
    }  # fmt: skip
    if lined is not None:
        samples = [near for at, near, _ in lined.samples if 8 <= at < 26]
        row["near_the_same_rung"] = round(sum(samples) / len(samples), 3)
        row["words_s_each"] = round(lined.sent / 34.0 / size, 2)
    return row


@click.command()
@click.option("--sizes", default="8,24", show_default=True, help="Real sidecars; empty: none.")
@click.option("--lab", "sizes_in_lab", default="", help="Sidecars in virtual time, as 60,200,1200.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(sizes: str, sizes_in_lab: str, seed: int, as_json: bool) -> None:
    """Print both arms of each size."""
    rows: dict[str, Any] = {}
    for size in map(int, filter(None, sizes.split(","))):
        for on in (False, True):
            progress(f"{size} sidecars, line {'on' if on else 'off'}")
            rows[f"{size} sidecars, line {'on' if on else 'off'}"] = asyncio.run(real(size, on, seed, Storm()))
    for size in map(int, filter(None, sizes_in_lab.split(","))):
        for on in (False, True):
            progress(f"lab: {size} sidecars, line {'on' if on else 'off'}")
            rows[f"lab, {size} sidecars, line {'on' if on else 'off'}"] = lab(size, on, seed)
    show("storm", rows, as_json)


if __name__ == "__main__":
    main()
