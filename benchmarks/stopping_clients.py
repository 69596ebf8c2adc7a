"""Clients that stop in the middle of a request, on real processes: `python -m benchmarks.stopping_clients`.

See covetally/rig/stopping.py. Exit status 1 if a request was lost, or a client that stopped waited too long, on
any seed.
"""

from __future__ import annotations

import asyncio
import sys
from concurrent.futures import ProcessPoolExecutor

import click

from benchmarks.report import progress, show
from covetally.rig.stopping import Report, StoppingPlan, play


def play_one(plan: StoppingPlan) -> Report:
    """Play one plan."""
    return asyncio.run(play(plan))


@click.command()
@click.option("--seeds", default=20, show_default=True)
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--jobs", default=1, show_default=True, help="Seeds at a time.")
@click.option("--json", "as_json", is_flag=True)
def main(seeds: int, first: int, jobs: int, as_json: bool) -> None:
    """Print what each seed showed."""
    plans = [StoppingPlan.draw(seed) for seed in range(first, first + seeds)]
    rows: dict[str, dict[str, object]] = {}
    broken = 0
    with ProcessPoolExecutor(jobs) as pool:
        for plan, report in zip(plans, pool.map(play_one, plans), strict=True):
            rows[f"seed {plan.seed}"] = report.table()
            progress(f"{plan}: {report.table()}")
            for text in report.broken()[:5]:
                progress(f"  broken: {text}")
            broken += bool(report.broken())
    show(f"{len(rows)} seeds of clients that stop, {broken} broken", rows, as_json)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
