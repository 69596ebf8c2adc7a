"""What an operator has ordered of a sidecar outlives its process.

Real processes: an agent that supervises its sidecars, the command, SIGKILL.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import time

from covetally.rig.managed import QUICK, Managed
from covetally.rig.site import LOAD_CLASSES
from covetally.rig.world import Shape
from tests.loopback import TEST_TIMEOUT_S, read_message
from tests.test_standing import get_request

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
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), Managed(shape, control=PLATFORM_ROSTER) as world:
            await world.start_supervised()
            assert (await world.command("drain", "-s", "name=a0"))[0] == 0
            assert (await world.command("roster", "hold", "-s", "name=a0"))[0] == 0
            assert await kill_and_watch(world, "a0") == {503}
            await world.connected()
            assert (await instances(world))["a0"]["state"] == "drained", "from its first word on"
            tables = (await world.table("roster", "show"))["instances"]
            assert {name: table["mode"] for name, table in tables.items()} == {"a0": "hold", "a1": "auto"}
            assert (await world.command("resume", "-s", "name=a0"))[0] == 0
            assert await health(world.instances["a0"].address) == 200
            assert await kill_and_watch(world, "a0") == {200}

    asyncio.run(main())


# --- the end of a drain ---------------------------------------------------------------------------

LONGEST_S = max(cls.deadline_ms for cls in LOAD_CLASSES) / 1000
MARGIN_S, SLACK_S = 0.5, 0.5  # of a drain beyond the longest deadline, and for a loaded machine


async def keep_asking(address: tuple[str, int], number: int, answers: list[bytes], missing: list[str]) -> None:
    """Ask on one connection for as long as it stays open, then on another, and so on, until cancelled. A request
    that crosses the close of a resting connection is sent once more on a new one, as the protocol has it."""
    turn = 0
    again = ""
    while True:
        reader, writer = await asyncio.open_connection(*address)
        with contextlib.closing(writer):
            fresh = True
            while True:
                turn += 1
                name, again = again or f"c{number}-{turn}", ""
                writer.write(get_request(name))
                try:
                    answers.append(await read_message(reader))
                except (asyncio.IncompleteReadError, ConnectionError):
                    if fresh:
                        missing.append(name)
                    else:
                        again = name
                    break
                if b"connection: close" in answers[-1].lower():
                    break
                fresh = False
                await asyncio.sleep(0.02)


def test_a_drain_ends_with_no_connection_and_no_request_and_newcomers_are_refused():
    async def main():
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), Managed(Shape(nodes=2, instances=1)) as world:
            await world.start_supervised()
            address = world.instances["a0"].address
            answers: list[bytes] = []
            missing: list[str] = []
            clients = [asyncio.create_task(keep_asking(address, i, answers, missing)) for i in range(6)]
            await asyncio.sleep(0.3)
            assert (await world.command("drain", "-s", "name=a0"))[0] == 0
            drained_by = time.monotonic() + LONGEST_S + MARGIN_S + SLACK_S
            while (await instances(world))["a0"]["state"] != "drained":
                assert time.monotonic() < drained_by, "the drain has no end"
                await asyncio.sleep(0.05)
            answers.clear()
            reader, _ = await asyncio.open_connection(*address)  # says nothing
            await asyncio.sleep(0.5)
            assert await health(address) == 503
            assert answers and all(b" 503 " in answer and b"retry-after" in answer.lower() for answer in answers)
            assert await reader.read() == b"", "a silent newcomer is not kept"
            assert (await world.command("resume", "-s", "name=a0"))[0] == 0
            answers.clear()
            await asyncio.sleep(0.5)
            assert any(b" 200 " in answer for answer in answers)
            for client in clients:
                client.cancel()
            assert missing == []

    asyncio.run(main())
