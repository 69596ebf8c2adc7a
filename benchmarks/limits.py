"""Limits held by a tier, measured: `python -m benchmarks.limits [--seeds 200] [--sizes 6,12] [--keep DIR]`.

The real modules and wire format in virtual time, each seed one schedule of faults. For each kind of limit and
size: the highest overshoot at any moment, the most that lay unused once all was well again beside its bound,
datagrams a member sends a second. A schedule that goes over is shrunk and written to --keep. Then the ways
weighed, by the same schedules: a fixed split, and counters that are merged.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

from benchmarks.report import progress, show
from covetally.lab.limits import LimitResult, play
from covetally.lab.quota_models import fixed_split, merged_counters
from covetally.rig.schedule import draw, save, shrink
from covetally.tier.limits import Rule

SECONDS = 40.0


def rules(size: int) -> dict[str, Rule]:
    """The kinds of limits."""
    return {
        "calls/s": Rule("x", 100.0, size),
        "in flight": Rule("x", 60.0, size, linger_ns=2_000_000_000, in_flight=True),
    }


def row(plays: list[LimitResult]) -> dict[str, float]:
    """The worst of some plays, shares of the limit in %."""
    return {
        "plays": len(plays),
        "over_pct": round(100 * max(p.overshoot for p in plays), 4),
        "unused_pct": round(100 * max(p.waste for p in plays), 1),
        "its_bound_pct": round(100 * max(p.waste_bound for p in plays), 1),
        "past_its_bound": sum(p.waste > p.waste_bound + 0.01 for p in plays),
        "datagrams_per_s": round(max(p.datagrams_per_s for p in plays), 1),
    }


@click.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--sizes", default="6,12", show_default=True)
@click.option("--keep", type=click.Path(path_type=Path), default=None, help="Where failing schedules go.")
@click.option("--json", "as_json", is_flag=True)
def main(seeds: int, sizes: str, keep: Path | None, as_json: bool) -> None:
    """Print the worst of the seeds; exit status 1 if a limit was overstepped."""
    rows, broken = {}, 0
    for size in map(int, sizes.split(",")):
        for kind, rule in rules(size).items():
            plays = []
            for seed in range(seeds):
                schedule = draw(seed, size, SECONDS, rule.amount)
                found = play(schedule, seed, rule, SECONDS)
                plays.append(found)
                if found.overshoot > 1e-6:
                    broken += 1
                    least = shrink(schedule, lambda s, n=seed, r=rule: play(s, n, r, SECONDS).overshoot > 1e-6)
                    progress(f"seed {seed}, {kind}, {size} members: over by {found.overshoot:.3%}: {least}")
                    if keep is not None:
                        save(least, keep / f"limit-{size}-{seed}.jsonl")
            rows[f"{size} members, {kind}, escrow"] = row(plays)
            progress(f"{size} members, {kind}: {row(plays)}")
        rule = rules(size)["calls/s"]
        schedules = [draw(seed, size, SECONDS, rule.amount) for seed in range(seeds)]
        rows[f"{size} members, calls/s, fixed split"] = row([fixed_split(s, rule, SECONDS) for s in schedules])
        plays = [merged_counters(s, seed, rule, SECONDS) for seed, s in enumerate(schedules)]
        rows[f"{size} members, calls/s, merged counters"] = row(plays)
    show(f"limits under {seeds} schedules of faults, the worst of them", rows, as_json)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
