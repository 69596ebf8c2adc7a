"""The agent killed at every commit of a drain order, before and after each: `python -m benchmarks.crashes
[--jobs 4]`.

Three real sidecars, one restarted after the other; the agent ends itself (SIGKILL) at the n-th commit that
holds the order, and another goes on from its store, for n = 1, 2, ... until a run has no further commit. Wrong
is: an order that was promised and is gone, one that does not end, a sidecar that was not restarted, or twice,
two out at once, a permit left open. Exit status 1 if anything was.
"""

from __future__ import annotations

import asyncio
import sys

import click

from benchmarks.report import progress, show
from covetally.rig.crashes import every_commit


@click.command()
@click.option("--jobs", default=4, show_default=True, help="Fleets at a time.")
@click.option("--json", "as_json", is_flag=True)
def main(jobs: int, as_json: bool) -> None:
    """Print how many commits there were and what was wrong after which."""
    rows: dict[str, object] = {}
    broken = 0
    for when in ("before", "after"):
        found = asyncio.run(every_commit(when, jobs))
        wrong = {number: crash.broken for number, crash in found.items() if crash.broken}
        progress(f"{when}: {wrong}")
        broken += len(wrong)
        rows[when] = {"commits": sum(crash.died for crash in found.values()), "wrong": wrong}
    show(f"a drain order under an agent killed at each commit, {broken} went wrong", rows, as_json)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
