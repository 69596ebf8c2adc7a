"""Connection caps over a whole fleet, measured: `python -m benchmarks.caps [--seeds 100] [--sizes
12,60,200,1200]`.

The real modules and wire format in virtual time, clocks an hour apart and up to 0.4 % fast or slow. First
schedules of every fault in rig/schedule.py (4, 6 and 12 members, a cap of 20): connections over the bound at
any moment, and how many lay unused though wanted once all was well. Then for each size: a few members that want
all of a cap smaller than the fleet, all that want one each, and the demand moved to others at once; datagrams a
member, CPU of the decisions a member and second, and the same cap by escrow of equal parts (`tier.in_flight`)
in whole connections.
"""

from __future__ import annotations

import time
from pathlib import Path

import click

from benchmarks.report import progress, show
from covetally.caps import Mode, Rule
from covetally.lab.caps import CapSimulation
from covetally.rig.schedule import Step, draw, save, shrink

CAP = 20


def faults(mode: Mode, seeds: int, keep: Path | None) -> dict[str, object]:
    """The worst of drawn schedules."""
    over = unused = 0
    for seed in range(seeds):
        size = (4, 6, 12)[seed % 3]
        schedule = draw(seed, size, 25.0, float(CAP))
        found = CapSimulation(Rule("x", CAP, size, mode), seed).run(schedule, 30.0)
        over, unused = max(over, found.excess), max(unused, found.unused)
        if found.excess and keep is not None:
            rule = Rule("x", CAP, size, mode)
            fails = lambda s, rule=rule, seed=seed: CapSimulation(rule, seed).run(s, 30.0).excess > 0  # noqa: E731
            save(shrink(schedule, fails), keep / f"caps-{mode.value}-{seed}.jsonl")
    return {"plays": seeds, "most_over": over, "most_unused": unused, "cap": CAP}


def moves(mode: Mode, size: int) -> dict[str, object]:
    """Demand of a few, of all, and moved."""
    cap = max(CAP, size // 6)
    row: dict[str, object] = {"cap": cap}
    few, others = tuple(range(5)), tuple(range(size - 5, size))
    for name, who, each in (("few", few, float(cap)), ("all", tuple(range(size)), 1.0)):
        play = CapSimulation(Rule("x", cap, size, mode), 1)
        schedule = [Step(0.0, "demand", who, amount=each)]
        if name == "few":
            schedule += [Step(6.0, "demand", who), Step(6.0, "demand", others, amount=each)]
        began = time.process_time()
        found = play.run(tuple(schedule), 10.0)
        cpu = (time.process_time() - began) / (found_s(play) * size)
        row |= {
            f"{name}: in use at the end": sum(m.open for m in play.members),
            f"{name}: datagrams/s each": round(found.datagrams_per_s, 1),
            f"{name}: datagrams/s of the busiest": round(found.max_datagrams_per_s, 1),
            f"{name}: CPU us/s each": round(cpu * 1e6),
        }
        if name == "few":
            row["moved 90 % after s"] = found.shift_s
    row["whole by equal parts, all want"] = size * (cap // size)
    return row


def found_s(play: CapSimulation) -> float:
    """Seconds that a play took on its own clock."""
    return play.now / 1e9 - 1.0


@click.command()
@click.option("--seeds", default=100, show_default=True)
@click.option("--sizes", default="12,60,200,1200", show_default=True)
@click.option("--keep", type=click.Path(path_type=Path), default=None, help="Where failing schedules go, shrunk.")
@click.option("--json", "as_json", is_flag=True)
def main(seeds: int, sizes: str, keep: Path | None, as_json: bool) -> None:
    """Print all of it; exit status 1 if a cap was overstepped."""
    rows: dict[str, object] = {}
    broken = False
    for mode in Mode:
        progress(f"faults, {mode.value}")
        rows[f"faults, {mode.value}"] = row = faults(mode, seeds, keep)
        broken = broken or bool(row["most_over"])
    for size in map(int, sizes.split(",")):
        for mode in Mode if size <= 200 else (Mode.LAPSES,):
            progress(f"{size} members, {mode.value}")
            rows[f"{size} members, {mode.value}"] = moves(mode, size)
    show("caps", rows, as_json)
    raise SystemExit(int(broken))


if __name__ == "__main__":
    main()
