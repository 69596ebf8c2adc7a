"""What an operator has ordered of a sidecar outlives its process.

Real processes: an agent that supervises its sidecars, the command, SIGKILL.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time

from covetally.rig.managed import QUICK, Managed
from covetally.rig.world import Shape
from tests.loopback import WAIT_S

PLATFORM_ROSTER = f'{QUICK}\n[roster]\nsource = "platform"'
WATCH_S = 1.5  # a sidecar that came back is looked at for so long


async def health(address: tuple[str, int]) -> int:
    """The status of the health check; 0 where nobody answers."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return 0
    try:
        writer.write(b"GET /_health HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
    except ConnectionError:
        return 0
    finally:
        writer.close()
    return int(line.split()[1]) if line else 0


async def instances(world: Managed) -> dict[str, dict]:
    """What the agent knows of each instance, by name."""
    return {item["name"]: item for item in (await world.get("/v1/instances"))["instances"]}


async def kill_and_watch(world: Managed, name: str) -> set[int]:
    """SIGKILL a sidecar; the statuses that its successor's health check gives, from the first one on."""
    os.kill((await instances(world))[name]["pid"], signal.SIGKILL)
    seen: set[int] = set()
    while (status := await health(world.instances[name].address)) == 0:
        await asyncio.sleep(0.005)
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        seen.add(status)
        await asyncio.sleep(0.01)
        status = await health(world.instances[name].address)
    return seen


def test_a_drain_and_a_hold_outlive_the_process_that_they_were_given_to():
    async def main():
        shape = Shape(nodes=1, instances=2)
        async with asyncio.timeout(2 * WAIT_S), Managed(shape, control=PLATFORM_ROSTER) as world:
            await world.start_supervised()
            assert (await world.command("drain", "-s", "name=a0"))[0] == 0
            assert (await world.command("roster", "hold", "-s", "name=a0"))[0] == 0
            assert await kill_and_watch(world, "a0") == {503}
            await world.connected()
            tables = (await world.table("roster", "show"))["instances"]
            assert {name: table["mode"] for name, table in tables.items()} == {"a0": "hold", "a1": "auto"}
            assert (await world.command("resume", "-s", "name=a0"))[0] == 0
            assert await health(world.instances["a0"].address) == 200
            assert await kill_and_watch(world, "a0") == {200}

    asyncio.run(main())
