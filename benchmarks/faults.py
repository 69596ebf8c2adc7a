"""Drawn schedules of faults on real sidecars: `python -m benchmarks.faults [--seeds 10] [--keep DIR] [FILE ...]`.

Five sidecars hold a workshop's rate while datagrams are cut one way or both, lost, late, twice, out of order, and
processes are killed, stopped, continued and started anew; the workshop's calls, at twice the rate, come where the
schedule says that the demand is. The checkers are those of `rig/faults.py` and the account's: the rate's bound,
and the four rules (a process that is stopped cannot answer meanwhile: what is lost there is not counted).
Whatever fails is named, with its schedule and history written to --keep; a FILE is played in place of a drawn
schedule.
"""

from __future__ import annotations

import asyncio
import random
import sys
from bisect import bisect_right
from pathlib import Path

import click

from benchmarks.report import progress, show
from covetally.rig.faults import Faults, admitted, over_rate
from covetally.rig.load import Load, Plan, Planned
from covetally.rig.schedule import Schedule, draw, load, save
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.world import Shape, World

SIZE, RATE, BURST_S, HELD_S, SECONDS = 5, 40.0, 1.0, 0.6, 24.0
TENANT = next(iter(TENANTS))
SETTINGS = f"[tier]\nlease_s = 2\nburst_s = {BURST_S}\n[tier.rate_per_s]\n{TENANT} = {RATE}\n"


def calls(schedule: Schedule, seed: int) -> list[Planned]:
    """The workshop's calls, at the members that have demand at the time; at any where none has."""
    rng, wanted = random.Random(seed), dict.fromkeys(range(SIZE), 0.0)
    times, where = [0.0], [tuple(range(SIZE))]
    for step in schedule:
        if step.do == "demand":
            wanted.update(dict.fromkeys(step.members, step.amount))
            times.append(step.at)
            where.append(tuple(n for n, amount in wanted.items() if amount) or tuple(range(SIZE)))
    at, planned = 0.0, []
    while (at := at + rng.expovariate(2 * RATE)) < SECONDS:
        member = rng.choice(where[bisect_right(times, at) - 1])
        planned.append(Planned(at, LOAD_CLASSES[0], TENANT, f"m{len(planned)}", f"a{member}"))
    return planned


async def play(schedule: Schedule, seed: int) -> tuple[dict[str, float], Faults]:
    """One schedule; what was found."""
    async with World(Shape(nodes=6, instances=SIZE, peers=True, seed=seed)) as world:
        for instance in world.instances.values():
            (instance.folder / "operator.toml").write_text(SETTINGS)
            instance.arguments = ("--operator", str(instance.folder / "operator.toml"))
        await world.start_instances()
        await asyncio.sleep(3)
        faults = Faults(world)
        plan = Plan(LOAD_CLASSES, {TENANT: 1.0}, tuple(world.instances), 1.0, 1.0, retries=0)
        client = Load(world.account, {n: i.address for n, i in world.instances.items()}, plan, world.alive)
        await asyncio.gather(client.play(calls(schedule, seed)), faults.play(schedule))
        stopped = {f"a{n}" for step in schedule if step.do == "stop" for n in step.members}
        verdict = world.account.judge()
        breaks = [b for b in verdict.breaks if b.rule != "lost" or b.instance not in stopped]
        times = admitted(world.account, TENANT)
        over, _ = over_rate(times, RATE, max(SIZE, RATE * BURST_S), HELD_S)
        faults.say("found", over=over, breaks=[str(b) for b in breaks[:20]])
        return {
            "asked": verdict.asked, "let_in": len(times), "over_by_calls": round(over, 1),
            "rules_broken": len(breaks),
        }, faults  # fmt: skip


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--keep", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
@click.option("--json", "as_json", is_flag=True)
@click.argument("files", nargs=-1, type=click.Path(path_type=Path, exists=True))
def main(seeds: int, keep: Path, as_json: bool, files: tuple[Path, ...]) -> None:
    """Print what each schedule showed; exit status 1 if a bound or a rule was broken."""
    rows, broken = {}, 0
    schedules = {str(path): (load(path), 1) for path in files}
    schedules = schedules or {f"seed {n}": (draw(n, SIZE, SECONDS, 2 * RATE), n) for n in range(seeds)}
    for name, (schedule, seed) in schedules.items():
        rows[name], faults = asyncio.run(play(schedule, seed))
        progress(f"{name}: {rows[name]}")
        if rows[name]["over_by_calls"] > 0 or rows[name]["rules_broken"]:
            broken += 1
            keep.mkdir(exist_ok=True)
            save(schedule, keep / f"faults-{seed}.jsonl")
            faults.save(keep / f"faults-{seed}.history")
    show(f"real sidecars under {len(rows)} schedules of faults, {broken} broke a bound or a rule", rows, as_json)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
