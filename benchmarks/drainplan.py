"""Drain orders against the exact optimum: `python -m benchmarks.drainplan [--seeds 1000]`. Needs `pip install
ortools==9.15.6755`.

Drawn instances of 3 to 40 units, sidecars and nodes, zones, pods, floors by zone, fleet and after a loss: the
order's time over the optimum that CP-SAT proves (or, where it proves none in --limit s, over its best bound).
Then 200 nodes and 1,200 sidecars: time over the lower bound, and how long planning takes.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import replace

import click

from benchmarks.report import progress, show
from covetally.drainplan import FleetState, FloorError, Floors, Kind, PodError, Unit, WavePlan, plan
from covetally.drainplan.fleet_state import floor_violations

SCALE = 100  # CP-SAT counts in whole numbers


def draw(seed: int) -> FleetState:
    """An instance whose units may all go, each alone."""
    rng = random.Random(seed)
    zones = "abc"[: rng.randint(1, 3)]
    units: dict[str, Unit] = {}
    for number in range(rng.randint(3, 40)):
        kind = rng.choice((Kind.SIDECAR, Kind.SIDECAR, Kind.NODE))
        pod = f"p{number // 6}" if kind is Kind.NODE and rng.random() < 0.5 else ""
        name = f"u{number}"
        capacity = float(rng.choice((1, 1, 2, 3)))
        units[name] = Unit(
            name, rng.choice(zones), kind, capacity, pod, rng.choice((5.0, 10.0)), rng.choice((10.0, 20.0, 60.0)),
            rng.choice((0.0, 30.0)) if kind is Kind.NODE else 0.0,
        )  # fmt: skip
    pods = Counter(unit.pod for unit in units.values())
    units = {name: replace(unit, pod=unit.pod if pods[unit.pod] > 1 else "") for name, unit in units.items()}
    account = FleetState(units, Floors())
    for name in units:
        account.observe(0.0, name, True)
    capacity_of = account.capacity(1.0)
    floors = {key: max(0.0, have - max(3.0, have * rng.uniform(0.15, 0.6))) for key, have in capacity_of.items()}
    fleet, after = {}, {}
    for kind in Kind:
        parts = [have for (other, _), have in capacity_of.items() if other is kind]
        if parts and rng.random() < 0.4:
            fleet[kind] = max(0.0, sum(parts) - max(3.0, sum(parts) * rng.uniform(0.2, 0.6)))
        if len(parts) > 1 and rng.random() < 0.3:
            after[kind] = max(0.0, (sum(parts) - max(parts)) * rng.uniform(0.2, 0.7))
    account.floors = Floors(floors, fleet, after)
    return account


def optimum(account: FleetState, order: WavePlan, limit_s: float) -> tuple[float, bool]:
    """The least time of any order, and whether that is proven; else a bound below it."""
    from ortools.sat.python import cp_model

    model = cp_model.CpModel()
    names, waves = list(account.units), range(len(order.waves))
    units = account.units
    goes = {(n, w): model.NewBoolVar(f"{n}-{w}") for n in names for w in waves}
    longest = int(max(unit.outage_s for unit in units.values()))
    takes = [model.NewIntVar(0, longest, f"t{w}") for w in waves]
    for name in names:
        model.AddExactlyOne(goes[name, w] for w in waves)
    capacity, floors = account.capacity(1.0), account.floors
    for w in waves:
        for name in names:
            model.Add(takes[w] >= int(units[name].outage_s) * goes[name, w])
        if w:
            model.Add(takes[w - 1] >= takes[w])

        def out(keys, w=w):
            return sum(
                int(u.capacity * SCALE) * goes[u.name, w] for u in units.values() if (u.kind, u.zone) in keys
            )  # fmt: skip

        for key, have in capacity.items():
            model.Add(out({key}) <= int((have - floors.zones.get(key, 0.0)) * SCALE + 1e-6))
        for kind in Kind:
            keys = {key for key in capacity if key[0] is kind}
            total = sum(capacity[key] for key in keys)
            if kind in floors.fleet:
                model.Add(out(keys) <= int((total - floors.fleet[kind]) * SCALE + 1e-6))
            if kind in floors.after_loss:
                for lost in keys:
                    others = keys - {lost}
                    room = sum(capacity[key] for key in others) - floors.after_loss[kind]
                    model.Add(out(others) <= int(room * SCALE + 1e-6))
        for pod in {u.pod for u in units.values() if u.pod}:
            members = [u.name for u in units.values() if u.pod == pod]
            model.Add(sum(goes[name, w] for name in members) <= len(members) - 1)
    model.Minimize(sum(takes))
    solver = cp_model.CpSolver()
    solver.parameters.max_time_in_seconds = limit_s
    solver.parameters.num_workers = 4
    status = solver.Solve(model)
    if status == cp_model.OPTIMAL:
        return solver.ObjectiveValue(), True
    return max(solver.BestObjectiveBound(), order.bound_s), False


def large() -> FleetState:
    """200 nodes and 1,200 sidecars in three zones."""
    rng = random.Random(7)
    units = {}
    for i in range(200):
        capacity = float(rng.choice((1, 2)))
        units[f"n{i}"] = Unit(f"n{i}", "abc"[i % 3], Kind.NODE, capacity, f"p{i // 6}", 5, 20, 30)
    for i in range(1200):
        units[f"s{i}"] = Unit(f"s{i}", "abc"[i % 3], Kind.SIDECAR, 1.0, "", 5, float(rng.choice((10, 12))))
    account = FleetState(units, Floors())
    for name in units:
        account.observe(0.0, name, True)
    have = account.capacity(1.0)
    account.floors = Floors({key: 0.9 * amount for key, amount in have.items()}, {}, {Kind.NODE: 120.0})
    return account


@click.command()
@click.option("--seeds", default=1000, show_default=True)
@click.option("--limit", "limit_s", default=5.0, show_default=True, help="Seconds for each optimum.")
@click.option("--json", "as_json", is_flag=True)
def main(seeds: int, limit_s: float, as_json: bool) -> None:
    """Print the worst and the mean; exit status 1 if any order breaks a floor."""
    ratios, unproven, refused, slowest, broken = [], 0, 0, 0.0, 0
    for seed in range(seeds):
        account = draw(seed)
        began = time.perf_counter()
        try:
            order = plan(account, account.units, 1.0)
        except (FloorError, PodError):
            refused += 1
            continue
        slowest = max(slowest, time.perf_counter() - began)
        broken += any(floor_violations(wave.remaining, account.floors) for wave in order.waves)
        best, proven = order.seconds, True
        if order.seconds > order.bound_s:
            best, proven = optimum(account, order, limit_s)
        ratios.append(order.seconds / best)
        unproven += not proven
        if seed % 100 == 99:
            progress(f"{seed + 1}: worst {max(ratios):.3f}")
    account = large()
    began = time.perf_counter()
    order = plan(account, account.units, 1.0)
    rows = {
        "drawn, planned, refused": (seeds, len(ratios), refused),
        "over the optimum: worst, mean": (round(max(ratios), 3), round(sum(ratios) / len(ratios), 4)),
        "at the optimum": f"{100 * sum(r < 1 + 1e-9 for r in ratios) / len(ratios):.1f} %",
        "over 10 %": sum(r > 1.1 for r in ratios),
        "optimum not proven (held against its bound)": unproven,
        "slowest plan, s": round(slowest, 3),
        "floors broken by a wave": broken,
        "200 nodes, 1,200 sidecars: waves, s, bound": (len(order.waves), order.seconds, order.bound_s),
        "over the bound": round(order.seconds / order.bound_s, 3),
        "planned in s": round(time.perf_counter() - began, 3),
    }
    show("drain orders", rows, as_json)
    raise SystemExit(int(broken > 0))


if __name__ == "__main__":
    main()
