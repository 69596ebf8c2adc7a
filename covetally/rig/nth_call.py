"""Fail the n-th call of a process, for every n: a short scenario, one errno after the other.

The scenario: a sidecar starts, has its list, serves requests on kept and new connections, one of which needs a
further attempt, takes up a new configuration, learns that a server drains, is told to end, and ends. It is played
once without faults to count the calls; then once for each call, errno and number, with just that call failing.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Iterator
from dataclasses import dataclass

from covetally.rig.load import Load, LoadClass, Plan
from covetally.rig.site import TENANTS
from covetally.rig.system_faults import ERRNOS, SOCKET_CALLS, Fault, FaultSchedule
from covetally.rig.world import Shape, World

CLASSES = (LoadClass("module-lookup", 0.7, "free", 1000), LoadClass("loan-transfer", 0.3, "single_shot", 1200))
END_S = 3.2  # the longest deadline of the site, 2.5 s, and 0.7 s


@dataclass(frozen=True, slots=True)
class Case:
    """Which call of a process fails, and how."""

    call: str
    how: str
    nth: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of the scenario: what was broken, empty if nothing; and how many calls there were."""

    broken: tuple[str, ...]
    calls: dict[str, int]
    met: bool = True  # the fault was met


async def play(case: Case | None) -> Outcome:
    """The scenario with this fault, or with none."""
    async with World(Shape(nodes=2, instances=1)) as world:
        instance = world.instances["a0"]
        report = world.folder / "calls.json"
        faults = (Fault(case.call, case.how, nth=case.nth),) if case is not None else ()
        instance.faults = FaultSchedule(faults, report=str(report))
        broken: list[str] = []
        try:
            async with asyncio.timeout(10.0):
                await world.start_instance("a0")
        except (TimeoutError, RuntimeError) as error:
            return Outcome((f"did not start: {str(error)[-300:]}",), {})
        await _serve(world)
        process = instance.process
        assert process is not None
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_S):
                status = await process.wait()
            broken += [f"ended with {status}"] if status else []
        except TimeoutError:
            broken.append(f"still there {END_S} s after SIGTERM")
        verdict = world.account.judge()
        broken += [f"{b.rule}: {b.text}" for b in verdict.breaks]
        broken += [line for line in instance.log.splitlines() if "Traceback" in line or "violation " in line]
        found = json.loads(report.read_text()) if report.exists() else {"calls": {}, "failed": {}}
        return Outcome(tuple(broken), found["calls"], bool(found["failed"]) or case is None)


async def _serve(world: World) -> None:
    """Some requests before and after a reload and the news of a drain; a node fails some: there are retries."""
    instance = world.instances["a0"]
    world.mood("n0", reset=0.2)
    for seed in (1, 2):
        plan = Plan(CLASSES, TENANTS, ("a0",), rate=40.0, seconds=0.3, seed=seed)
        load = Load(world.account, {"a0": instance.address}, plan, world.alive)
        await load.play(plan.draw())
        if seed == 1:
            assert instance.process is not None
            instance.process.send_signal(signal.SIGHUP)
            world.lifecycle("n1", "leaving")


def cases(calls: dict[str, int], stride: int = 1) -> Iterator[Case]:
    """Every call, errno and number; with a stride only each so many-th number, beginning with the first."""
    for call in SOCKET_CALLS:
        for how in ERRNOS[call]:
            for nth in range(1, calls.get(call, 0) + 1, stride):
                yield Case(call, how, nth)
