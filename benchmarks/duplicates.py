"""Second answers that come late, on real processes: `python -m benchmarks.duplicates [--seeds 20]`.

See covetally/rig/duplicates.py. With --none the same plays go without second answers, which shows what the
protection costs. Exit status 1 if a rule was broken on any seed.
"""

from __future__ import annotations

import asyncio
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import click

from benchmarks.report import progress, show
from covetally.rig.duplicates import DuplicatePlan, DuplicateReport, play


def one(plan: DuplicatePlan) -> DuplicateReport:
    """Play one plan."""
    return asyncio.run(play(plan))


@click.command()
@click.option("--seeds", default=20, show_default=True)
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--jobs", default=1, show_default=True, help="Seeds at a time.")
@click.option("--latest-ms", default=40.0, show_default=True, help="How late a second answer comes at most.")
@click.option("--plain", is_flag=True, help="The default plan in place of drawn ones.")
@click.option("--rate", default=0.0, help="Requests a second, in place of the plan's.")
@click.option("--nodes", default=0, help="Servers, in place of the plan's.")
@click.option("--none", "without", is_flag=True, help="Without second answers.")
@click.option("--keep", type=click.Path(path_type=Path), default=None, help="A folder for the sidecars' logs.")
@click.option("--json", "as_json", is_flag=True)
def main(
    seeds: int, first: int, jobs: int, latest_ms: float, plain: bool, rate: float, nodes: int, without: bool,
    keep: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Print what each seed showed."""
    plans = []
    for seed in range(first, first + seeds):
        plan = DuplicatePlan(seed=seed, latest_ms=latest_ms) if plain else DuplicatePlan.draw(seed, latest_ms)
        plan = replace(plan, rate=rate or plan.rate, nodes=nodes or plan.nodes)
        plans.append(plan.without_duplicates() if without else plan)
    rows: dict[str, dict[str, object]] = {}
    broken = 0
    with ProcessPoolExecutor(jobs) as pool:
        for report in pool.map(one, plans):
            plan = report.plan
            rows[f"seed {plan.seed}"] = report.table()
            broken += not report.verdict.kept
            progress(f"seed {plan.seed}, {plan.nodes} nodes, {plan.rate:.0f}/s: {report.table()}")
            if keep is not None:
                keep.mkdir(exist_ok=True)
                (keep / f"duplicates-{plan.seed}.log").write_text(report.log)
    show(f"{len(rows)} seeds of second answers, {broken} broke a rule", rows, as_json)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
