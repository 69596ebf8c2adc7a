"""Verdicts of a tier, measured: `python -m benchmarks.verdicts [--sizes 12,60,200] [--seeds 5]`.

The real modules and wire format in virtual time; each member calls 20 nodes a second, of 60 (or as many as there
are members, if fewer). One node dies: seconds and failed calls until 99 % of the members avoid it, together and
each alone (a member that learns alone avoids what failed it), and calls to it in the 15 s after. Then liars: the
share of nodes that a member which tells the truth avoids, over 10 s, where none is bad.
"""

from __future__ import annotations

import random
import time

import click

from benchmarks.report import progress, show
from covetally.lab.outlier_detection import OutlierSimulation

RATE = 20.0
HORIZON_S = 2.5  # of a sidecar that learns alone: the first pause before it tries again, then doubled to 8 times


def together(size: int, nodes: int, seed: int) -> dict[str, float]:
    """One node dies under a tier that tells."""
    calls = OutlierSimulation(size, nodes, seed, RATE)
    calls.run(5)
    calls.down = {"n4"}
    known = calls.run(60, lambda: calls.ejecting_share("n4") >= 0.99)
    failed = sum(count for (_, name), count in calls.failed.items() if name == "n4")
    sent, octets, cpu = sum(calls.tier.sent.values()), calls.tier.bytes, time.process_time()
    calls.run(15)
    after = sum(count for (_, name), count in calls.failed.items() if name == "n4") - failed
    others = {a.server for n in calls.tier.nodes for a in calls.ejections(n).servers} - {"n4"}
    return {
        "known_s": known, "failed": failed, "calls_after": after, "wrongly_avoided": len(others),
        "datagrams_per_s": (sum(calls.tier.sent.values()) - sent) / 15 / size,
        "bytes_per_s": (calls.tier.bytes - octets) / 15 / size,
        "cpu_us_per_s": (time.process_time() - cpu) / 15 / size * 1e6,
    }  # fmt: skip


def alone(size: int, nodes: int, seed: int) -> dict[str, float]:
    """The same where each learns for itself."""
    rng, failed, after, known = random.Random(seed), 0, 0, 0.0
    pause = [0.0] * size
    due = [0.0] * size
    found: set[int] = set()
    now = 0.0
    while not known or now < known + 15:
        now += rng.expovariate(RATE * size)
        member = rng.randrange(size)
        if now < due[member] or rng.randrange(nodes):
            continue
        failed += not known
        after += bool(known)
        pause[member] = min(max(2 * pause[member], HORIZON_S), 8 * HORIZON_S)
        due[member] = now + pause[member]
        found.add(member)
        if not known and len(found) >= 0.99 * size:
            known = now
    return {"known_s": known, "failed": failed, "calls_after": after}


def lied_to(size: int, nodes: int, seed: int, share: float) -> float:
    """The share of nodes that a member avoids for nothing."""
    calls = OutlierSimulation(size, nodes, seed, RATE)
    calls.run(3)
    liars = random.Random(seed).sample(range(size), max(1, round(share * size)))
    calls.false_reporters = {number: tuple(calls.zone_of) for number in liars}
    seen, looks = 0, 0
    for _ in range(20):
        calls.run(0.5)
        for number in calls.tier.nodes:
            if number not in calls.false_reporters:
                seen += len({a.server for a in calls.ejections(number).servers})
                looks += 1
    return seen / looks / nodes


@click.command()
@click.option("--sizes", default="12,60,200", show_default=True)
@click.option("--seeds", default=5, show_default=True)
@click.option("--liars", default="0.01,0.05,0.2", show_default=True, help="shares of liars, one at least")
@click.option("--json", "as_json", is_flag=True)
def main(sizes: str, seeds: int, liars: str, as_json: bool) -> None:
    """Print the worst of the seeds for each size."""
    rows = {}
    for size in map(int, sizes.split(",")):
        nodes = min(size, 60)
        for name, way in (("together", together), ("each alone", alone)):
            plays = [way(size, nodes, seed) for seed in range(1, seeds + 1)]
            rows[f"{size} members, {name}"] = {key: round(max(p[key] for p in plays), 2) for key in plays[0]}
            progress(f"{size} members, {name}: {rows[f'{size} members, {name}']}")
        for share in map(float, liars.split(",")):
            worst = max(lied_to(size, nodes, seed, share) for seed in range(1, seeds + 1))
            rows[f"{size} members, {share:.0%} liars"] = {"avoided_for_nothing_pct": round(100 * worst, 2)}
            progress(f"{size} members, {share:.0%} liars: {worst:.3%}")
    show(f"verdicts on nodes, the worst of {seeds} seeds", rows, as_json)


if __name__ == "__main__":
    main()
