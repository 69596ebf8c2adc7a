"""Who is there, measured: `python -m benchmarks.tier [--sizes 10,60,200] [--seeds 3]`.

The real decision modules and the real wire format on a network of paper, in one process: no sockets, no CPU
share. For each size and share of lost datagrams: seconds until 99 % of the members believe a killed one gone,
running members that anybody believed gone a minute later, datagrams and bytes that a member sends a second.
Beside it what heartbeats to `peers_all` would cost: each member's 18 bytes go to all others once a second.
"""

from __future__ import annotations

import time

import click

from benchmarks.report import progress, show
from covetally.lab.tier import MembershipSimulation
from covetally.tier.swim import SECOND, State
from covetally.tier.wire import HEADER


def play(size: int, seed: int, lost: float) -> dict[str, float]:
    """One member dies after the tier has met."""
    tier = MembershipSimulation(size, seed, lost)
    tier.run(3 * size + 10)
    began, sent, octets, cpu = tier.now, sum(tier.sent.values()), tier.bytes, time.process_time()
    tier.kill(0)
    found = tier.run(180, lambda: tier.count_views(0, State.GONE) >= 0.99 * (size - 1))
    tier.run(60)
    passed = (tier.now - began) / SECOND
    return {
        "gone_s": found,
        "wrongly_gone": tier.count_false_removals(),
        "datagrams_per_s": (sum(tier.sent.values()) - sent) / passed / size,
        "bytes_per_s": (tier.bytes - octets) / passed / size,
        "cpu_us_per_s": (time.process_time() - cpu) / passed / size * 1e6,
    }


@click.command()
@click.option("--sizes", default="10,60,200", show_default=True)
@click.option("--lost", default="0,0.1,0.5", show_default=True, help="shares of datagrams that never arrive")
@click.option("--seeds", default=3, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(sizes: str, lost: str, seeds: int, as_json: bool) -> None:
    """Print the worst of the seeds for each size and share of lost datagrams."""
    rows = {}
    for size in map(int, sizes.split(",")):
        for share in map(float, lost.split(",")):
            plays = [play(size, seed, share) for seed in range(1, seeds + 1)]
            row = {key: round(max(p[key] for p in plays), 1) for key in plays[0]}
            rows[f"{size} members, {share:.0%} lost"] = row | {"heartbeats_bytes_per_s": HEADER.size * (size - 1)}
            progress(f"{size} members, {share:.0%} lost: {row}")
    show(f"who is there, the worst of {seeds} seeds", rows, as_json)


if __name__ == "__main__":
    main()
