"""A drain order whose agent is killed at one of its commits, with real processes; what came of it."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from covetally.rig.managed import Managed
from covetally.rig.orders import Watch, pids, until_phase
from covetally.rig.world import Shape

AGENT = "covetally.rig.crashing"
LISTENS_S = 0.5
ENDS_S = 40.0
ORDER = ("--floor", "each=0", "--floor", "all=66%", "--return-s", "3", "--drain-s", "1")


@dataclass(slots=True)
class Crash:
    """Whether the agent came to that commit, and one line for each thing that is wrong after."""

    died: bool = False
    broken: list[str] = field(default_factory=list)


async def killed_at(commit: int, when: str, size: int = 3) -> Crash:
    """An order over `size` sidecars, one after the other; its agent is killed just before or after a commit,
    counted from the first that holds the order, and another one goes on."""
    crash, env = Crash(), {"CRASH_LISTENS_S": str(LISTENS_S)}
    async with Managed(Shape(nodes=1, instances=size)) as world:
        await world.start_supervisor(AGENT, env | {"CRASH_AT": f"{commit},{when}"})
        await asyncio.gather(*(world.ready(name) for name in world.instances))
        await world.connected()
        before = await pids(world)
        watch = Watch(world)
        looks = asyncio.create_task(watch.run())
        promised = (await world.command("drain", "start", *ORDER))[0] == 0
        ends = asyncio.create_task(until_phase(world, "done"))
        dies = asyncio.create_task(world.agent_ended())
        await asyncio.wait((ends, dies), timeout=ENDS_S, return_when=asyncio.FIRST_COMPLETED)
        await asyncio.sleep(0.5)  # or at a commit after that
        crash.died = dies.done()
        if crash.died:
            ends.cancel()
            await world.start_supervisor(AGENT, env)
            await world.connected()
            order = (await world.get("/v1/drains"))["order"]
            if order is None:
                if promised or commit > 1:
                    crash.broken.append("an order that was promised is gone")
            else:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(until_phase(world, "done"), ENDS_S)
        else:
            dies.cancel()
            ends.cancel()
        order = (await world.get("/v1/drains"))["order"]
        if order is not None and order["phase"] != "done":
            crash.broken.append(f"after {ENDS_S:g} s it is {order['phase']}: {order['reason']}")
        elif order is not None:
            await world.connected()
            after = await pids(world)
            crash.broken += [f"{name} was not restarted" for name in before if after[name] == before[name]]
            ends_of = {name: instance.log.count(" drains") for name, instance in world.instances.items()}
            crash.broken += [f"{name} went out {times} times" for name, times in ends_of.items() if times != 1]
            if (await world.get("/v1/drains"))["permits"]:
                crash.broken.append("a permit is left open")
        watch.ended = True
        await looks
        crash.broken += [f"{m.name} went out while {sorted(m.others)} were" for m in watch.moves if m.others]
    return crash


async def every_commit(when: str, jobs: int = 4) -> dict[int, Crash]:
    """`killed_at` for each commit in turn, until one is past the last."""
    found: dict[int, Crash] = {}
    while not found or all(crash.died for crash in found.values()):
        numbers = range(len(found) + 1, len(found) + 1 + jobs)
        crashes = await asyncio.gather(*(killed_at(number, when) for number in numbers))
        found |= dict(zip(numbers, crashes, strict=True))
    return found
