"""What all sidecars send to cold nodes beside what makes one fall: `python -m benchmarks.cold [--seeds 3]`.

Real balancers in virtual time (covetally/lab/cold.py): 20 nodes of which some start cold at a tenth of their
speed, at 70 % load, with 200 and with 1,200 sidecars; and the same with the ramp taken out, to show what it is
for.
"""

from __future__ import annotations

from unittest import mock

import click

from benchmarks.report import progress, show
from covetally.lab.cold import play
from covetally.policy import pick


@click.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(seeds: int, as_json: bool) -> None:
    """Print the worst window of each case; exit status 1 if a node fell."""
    rows, fell = {}, False
    for ramp in (True, False):
        for sidecars in (200, 1200):
            for cold in (1, 4, 12, 20):
                name = f"{sidecars} sidecars, {cold} of 20 cold" + ("" if ramp else ", no ramp")
                progress(name)
                with mock.patch.object(
                    pick, "slow_start_share", pick.slow_start_share if ramp else lambda *_: 1.0
                ):
                    plays = (play(sidecars, 20, cold, 0.7, s)[0] for s in range(seeds))
                    found = max(plays, key=lambda f: f.load_ratio)
                fell = fell or (ramp and found.load_ratio >= 1.0)
                rows[name] = (
                    f"{found.received:.0f} of {found.capacity:.0f} at {found.at_s} s: {found.load_ratio:.2f}"
                )
    show("cold nodes, worst window", rows, as_json)
    raise SystemExit(int(fell))


if __name__ == "__main__":
    main()
