"""Random, overlapping faults over a few dozen real processes: `python -m benchmarks.soak [--seeds 10]`.

See covetally/rig/soak.py. Exit status 1 if a rule or an invariant was broken on any seed.
"""

from __future__ import annotations

import asyncio
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import click

from benchmarks.report import progress, show
from covetally.rig.soak import Soak, SoakReport, SoakShape


def one(seed: int, shape: SoakShape) -> SoakReport:
    """Play one seed."""
    return asyncio.run(Soak(seed, shape).play())


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--jobs", default=2, show_default=True, help="Seeds at a time.")
@click.option("--seconds", default=20.0, show_default=True, help="Of faults, for each seed.")
@click.option("--instances", default=12, show_default=True)
@click.option("--nodes", default=8, show_default=True)
@click.option("--system-faults/--no-system-faults", default=True, show_default=True)
@click.option("--keep", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(
    seeds: int, first: int, jobs: int, seconds: float, instances: int, nodes: int, system_faults: bool,
    keep: Path, as_json: bool,
) -> None:  # fmt: skip
    """Print what each seed showed."""
    shape = SoakShape(nodes, instances, seconds, system_faults)
    rows: dict[str, dict[str, object]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        waits = [pool.submit(one, seed, shape) for seed in range(first, first + seeds)]
        for done in as_completed(waits):
            report = done.result()
            for name, text in report.logs.items():
                keep.mkdir(exist_ok=True)
                (keep / f"soak-{report.seed}-{name}.log").write_text(text)
            rows[f"seed {report.seed}"] = report.table()
            lines = "".join(f"\n    {line}" for line in report.broken[:12])
            progress(f"seed {report.seed}: {report.table()}{lines}")
    broken = sum(bool(row["broken"]) for row in rows.values())
    show(f"{len(rows)} seeds of overlapping faults, {broken} broke a rule or an invariant", rows, as_json)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
