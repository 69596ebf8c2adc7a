"""A drawn schedule of faults over a managed fleet in which a drain order, a storm and a cap at its limit go on
at once, and checkers over what was seen from outside: clients' sockets, health answers, the account.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import time
from dataclasses import dataclass, field
from typing import Any

from covetally.rig.crowd import Crowd
from covetally.rig.faults import Faults
from covetally.rig.managed import AgentError, Managed
from covetally.rig.orders import Watch, phase, pids, until_phase
from covetally.rig.schedule import Schedule, Step, draw
from covetally.rig.storm import Storm
from covetally.rig.storm import play as play_storm
from covetally.rig.world import Shape

SIZE, CAP, TENANT = 6, 12, "officina-brescia"
CONTROL = (
    'heartbeat_s = 0.5\n[overload]\nmode = "on"\n[caps]\nlease_s = 1.5\n[caps.client]\n'
    f"{TENANT} = {CAP}\nunknown-workshops = 4\n"
)
ORDER = ("--floor", "each=50%", "--return-s", "3", "--drain-s", "1")
FLOOR = 1  # in each of three zones of two
STORM = Storm(calm=50.0, high=300.0, before_s=5.0, high_s=10.0, after_s=6.0)  # nodes can do 175 a second
FAULTY_S = 18.0
KNOWN_S = 4.0  # by then it is known that a sidecar is out: three heartbeats, a second, and the permit's way
ENDS_S = 60.0  # from the last fault until the order has come to its end


class Supervised(Faults):
    """Faults of processes that an agent starts, and starts again: signals go to whom the agent knows."""

    def __init__(self, world: Managed) -> None:
        super().__init__(world)
        self._managed = world
        self.faulty: dict[str, float] = {}  # killed or stopped and not seen to serve since: from when
        self.hurt: set[str] = set()  # killed or stopped at any time
        self.stopped: dict[str, int] = {}

    async def do(self, step: Step) -> None:
        """As in a world, but for processes. `start` is the agent's part."""
        if step.do not in ("kill", "stop", "go_on", "start"):
            await super().do(step)
            return
        self.say("step", at_s=step.at, do=step.do, members=step.members)
        if step.do == "start":
            return
        names = [f"a{n}" for n in step.members]
        found = await self._pids() if step.do in ("kill", "stop") else {}
        for name in names:
            pid = self.stopped.pop(name, 0) or found.get(name, 0)
            if not pid:
                continue
            with contextlib.suppress(ProcessLookupError):
                if step.do == "go_on":
                    os.kill(pid, signal.SIGCONT)
                    continue
                self.hurt.add(name)
                self.faulty.setdefault(name, time.monotonic())
                if step.do == "kill":
                    self._managed.instances[name].killed = True  # what it held is its clients'
                    os.kill(pid, signal.SIGKILL)
                else:
                    os.kill(pid, signal.SIGSTOP)
                    self.stopped[name] = pid

    async def _pids(self) -> dict[str, int]:
        with contextlib.suppress(OSError, AgentError):
            return await pids(self._managed)
        return {}

    def go_on(self) -> None:
        """Whoever is still stopped."""
        for pid in self.stopped.values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGCONT)
        self.stopped.clear()


@dataclass(slots=True)
class Found:
    """What a play showed. `broken` is one line for each bound or rule that did not hold."""

    broken: list[str] = field(default_factory=list)
    asked: int = 0
    cap_most: int = 0
    least: dict[str, int] = field(default_factory=dict)
    order: str = ""
    agent_kills: int = 0

    def table(self) -> dict[str, Any]:
        """For reports."""
        return {
            "asked": self.asked, "open_most": self.cap_most, "least_ready": dict(self.least),
            "order": self.order, "agent_kills": self.agent_kills, "broken": len(self.broken),
        }  # fmt: skip


def schedule_of(seed: int) -> Schedule:
    """What is drawn for a seed: every fault of rig/schedule.py, and demand for connections that moves."""
    return draw(seed, SIZE, FAULTY_S * 1.5, float(CAP))


async def play(schedule: Schedule, seed: int) -> tuple[Found, Faults]:
    """One schedule over a fleet of its own."""
    found, rng = Found(), random.Random(seed)
    shape = Shape(nodes=4, instances=SIZE, peers=True, work_scale=2.0, seed=seed)
    async with Managed(shape, control=CONTROL) as world:
        await world.start_supervised()
        await asyncio.sleep(6.0)  # homes leave alone what a life before may have lent; a new agent listens
        faults = Supervised(world)
        watch, crowd = Watch(world), Crowd(world, TENANT, CAP, pause_s=0.1)
        watch.faulty = faults.faulty
        crowd.stopped = set()
        tasks = [asyncio.create_task(watch.run()), asyncio.create_task(crowd.run())]
        tasks.append(asyncio.create_task(_follow(schedule, crowd, faults)))
        code, _, err = await world.command("drain", "start", "-m", "under faults", *ORDER)
        assert code == 0, err
        storm = asyncio.create_task(play_storm(world, STORM, seed))
        kills = asyncio.create_task(_kill_agent(world, rng, found))
        await faults.play(schedule)
        faults.go_on()
        await kills
        await storm
        try:
            async with asyncio.timeout(ENDS_S):
                await until_phase(world, "done", "halted")
                found.order = await phase(world)
        except TimeoutError:
            order = (await world.get("/v1/drains"))["order"]
            found.order = f"{order['phase']}: {order['reason']}"
            found.broken.append(f"{ENDS_S:g} s after the last fault the order is {found.order}")
        watch.ended = crowd.ended = True
        for task in tasks[2:]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        verdict = world.account.judge()
        found.asked, found.cap_most, found.least = verdict.asked, crowd.most, dict(watch.least)
        if crowd.over > 0:
            found.broken.append(f"cap: {crowd.most} open of {CAP}")
        found.broken += watch.broken(FLOOR, KNOWN_S)
        breaks = [b for b in verdict.breaks if b.rule != "lost" or b.instance not in faults.hurt]
        found.broken += [str(b) for b in breaks[:20]]
        faults.say("found", **found.table(), lines=found.broken)
    return found, faults


async def _follow(schedule: Schedule, crowd: Crowd, faults: Supervised) -> None:
    """Demand as the schedule has it; who is stopped may go on holding what it holds, and a moment longer."""
    crowd.wanted.update(dict.fromkeys(("a0", "a2"), CAP))
    begin, steps = time.monotonic(), [step for step in schedule if step.do == "demand"]
    until: dict[str, float] = {}
    while True:
        now = time.monotonic()
        until |= dict.fromkeys(faults.stopped, now + 1.0)
        crowd.stopped = {name for name, end in until.items() if now < end}
        while steps and now - begin >= steps[0].at:
            step = steps.pop(0)
            crowd.wanted.update({f"a{n}": round(step.amount) for n in step.members})
        await asyncio.sleep(0.02)


async def _kill_agent(world: Managed, rng: random.Random, found: Found) -> None:
    """Up to three times, at drawn moments; it starts again at once."""
    for _ in range(rng.randrange(4)):
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        await world.kill_agent()
        await world.start_supervisor()
        found.agent_kills += 1
