"""Servers that are replaced at their addresses, on real processes: `python -m benchmarks.replaced_server`.

See covetally/rig/replaced_server.py. Exit status 1 if a rule was broken on any seed.
"""

from __future__ import annotations

import asyncio
import sys

import click

from benchmarks.report import progress, show
from covetally.rig.replaced_server import ReplacementPlan, play


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option(
    "--told-after", default=4.0, show_default=True, help="Seconds from a server's end to the list's update."
)
@click.option("--json", "as_json", is_flag=True)
def main(seeds: int, first: int, told_after: float, as_json: bool) -> None:
    """Print what each seed showed."""
    rows: dict[str, dict[str, object]] = {}
    broken = 0
    for seed in range(first, first + seeds):
        report = asyncio.run(play(ReplacementPlan(seed=seed, told_after_s=told_after)))
        rows[f"seed {seed}"] = report.table()
        progress(f"seed {seed}: {report.table()}")
        for found in report.verdict.breaks[:3]:
            progress(f"  broken: {found}")
        broken += not report.verdict.kept
    show(f"{len(rows)} seeds of replaced servers, {broken} broke a rule", rows, as_json)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
