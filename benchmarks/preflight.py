"""Asking thousands of light clients whether they would take a change: `python -m benchmarks.preflight`.

For all that answer, and where one in a hundred is silent: seconds from the call to its answer, and the agent's
CPU. Silence costs its five seconds once, not once for each.
"""

from __future__ import annotations

import asyncio
import time

import click

from benchmarks.reconnect import Crowd, _until_connected
from benchmarks.report import cpu_s, progress, show
from covetally.cli import client
from covetally.rig.managed import Managed
from covetally.rig.world import Shape


async def measure(count: int, silent: int) -> dict[str, object]:
    """One world; every `silent`th client answers nothing, with 0 none."""
    async with Managed(Shape(nodes=1, instances=0)) as world:
        await world.start_agent()
        assert world.agent is not None
        crowd = Crowd()
        try:
            await crowd.start(str(world.state / "instances.sock"), count, silent)
            await _until_connected(world, count)
            cpu, start = cpu_s(world.agent.pid), time.monotonic()
            body = {"parent": 0, "set": {"limits.max_attempts": 3}, "dry_run": True}
            async with client.connect(client.Target(world.agent_address, "")) as c:
                found = (await c.call("POST", "/v1/revisions", body))["asked"]
            return {
                "answered_s": round(time.monotonic() - start, 2),
                "agent_cpu_s": round(cpu_s(world.agent.pid) - cpu, 2),
                "would": found["would"], "unknown": len(found["unknown"]),
            }  # fmt: skip
        finally:
            await crowd.stop()


@click.command()
@click.option("--count", default=5000, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(count: int, as_json: bool) -> None:
    """Print the time for all, and with one in a hundred silent."""
    rows = {}
    for name, silent in (("all answer", 0), ("one in 100 silent", 100)):
        rows[f"{count} clients, {name}"] = asyncio.run(measure(count, silent))
        progress(f"{name}: {rows[f'{count} clients, {name}']}")
    show("asking before a change", rows, as_json)


if __name__ == "__main__":
    main()
