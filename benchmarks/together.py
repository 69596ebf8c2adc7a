"""Drawn schedules on a managed fleet of real sidecars, a drain order, a storm and a cap at its limit under way
at once: `python -m benchmarks.together [--seeds 50] [--first 0] [--jobs 3] [--keep DIR] [FILE ...]`.

Datagrams are cut, lost, late, twice; sidecars are killed and stopped, the agent is killed up to three times;
demand for connections moves. What holds is checked from outside (rig/together.py): connections open beside the
cap, who is out by plan beside the floors, the four rules, and that the order comes to its end. Whatever fails
is named, with its schedule and history written to --keep; a FILE is played in place of a drawn schedule.
"""

from __future__ import annotations

import asyncio
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import click

from benchmarks.report import progress, show
from covetally.rig.schedule import Schedule, load, save
from covetally.rig.together import Found, play, schedule_of


def one(schedule: Schedule, seed: int, keep: Path) -> Found:
    """Play it; what failed is kept."""
    found, faults = asyncio.run(play(schedule, seed))
    if found.broken:
        keep.mkdir(exist_ok=True)
        save(schedule, keep / f"together-{seed}.jsonl")
        faults.save(keep / f"together-{seed}.history")
    return found


@click.command()
@click.option("--seeds", default=50, show_default=True)
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--jobs", default=3, show_default=True, help="Fleets at a time.")
@click.option("--keep", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
@click.option("--json", "as_json", is_flag=True)
@click.argument("files", nargs=-1, type=click.Path(path_type=Path, exists=True))
def main(seeds: int, first: int, jobs: int, keep: Path, as_json: bool, files: tuple[Path, ...]) -> None:
    """Print what each schedule showed; exit status 1 if a bound or a rule was broken."""
    plays = [(str(path), load(path), first) for path in files]
    plays = plays or [(f"seed {n}", schedule_of(n), n) for n in range(first, first + seeds)]
    rows: dict[str, dict[str, object]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        waits = {pool.submit(one, schedule, seed, keep): name for name, schedule, seed in plays}
        for done in as_completed(waits):
            found, name = done.result(), waits[done]
            rows[name] = found.table()
            progress(f"{name}: {rows[name]}" + "".join(f"\n    {line}" for line in found.broken[:5]))
    broken = sum(bool(row["broken"]) for row in rows.values())
    show(f"real fleets under {len(rows)} schedules of faults, {broken} broke a bound or a rule", rows, as_json)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
