"""Clients that make a sidecar hold much memory, on real processes: `python -m benchmarks.memory_pressure`.

See covetally/rig/memory_pressure.py. Exit status 1 if something that was owed was not kept on any seed.
"""

from __future__ import annotations

import asyncio
import sys

import click

from benchmarks.report import progress, show
from covetally.rig.memory_clients import KINDS, KINDS_AT_SPEED
from covetally.rig.memory_pressure import EVENTS, PressurePlan, play


@click.command()
@click.option("--seeds", default=20, show_default=True, help="Drawn plays.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice(sorted(KINDS | KINDS_AT_SPEED)),
    help="Plays this, nothing drawn.",
)
@click.option("--clients", default=400, show_default=True)
@click.option("--memory", "memory", default=(32,), multiple=True, show_default=True, help="Limits in MB.")
@click.option("--sockets", default=1024, show_default=True)
@click.option("--event", default="none", type=click.Choice(EVENTS), show_default=True)
@click.option("--bursts", default=1, show_default=True)
@click.option("--apart", is_flag=True, help="Each kind in a play of its own.")
@click.option("--json", "as_json", is_flag=True)
def main(
    seeds: int, first: int, kinds: tuple[str, ...], clients: int, memory: tuple[int, ...], sockets: int,
    event: str, bursts: int, apart: bool, as_json: bool,
) -> None:  # fmt: skip
    """Print what each play showed."""
    groups = [(kind,) for kind in kinds or KINDS] if apart else [kinds]
    plans = [PressurePlan.draw(seed) for seed in range(first, first + seeds)]
    if kinds or apart:
        plans = [
            PressurePlan(group, clients, limit, sockets, event=event, bursts=bursts)
            for group in groups
            for limit in memory
        ]
    rows: dict[str, dict[str, object]] = {}
    broken = 0
    for number, plan in enumerate(plans):
        report = asyncio.run(play(plan))
        rows[f"play {number}, seed {plan.seed}"] = report.table()
        progress(f"{plan}: {report.table()}")
        for text in report.broken()[:5]:
            progress(f"  broken: {text}")
        broken += bool(report.broken())
    show(f"{len(rows)} plays of clients that make a sidecar hold memory, {broken} broken", rows, as_json)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
