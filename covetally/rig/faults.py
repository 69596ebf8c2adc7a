"""Schedules of faults carried out on real sidecars, the history of what each of them said, and checkers over it.

A checker is given what was seen from outside: the clients' and nodes' rows in the account, and what the sidecars
told when they were asked. It knows nothing of how the sidecars decide.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from covetally.rig.account import SECOND, Account
from covetally.rig.relay import Fault
from covetally.rig.schedule import Schedule, Step
from covetally.rig.world import World

History = list[dict[str, Any]]


class Faults:
    """Plays schedules on a world's instances. Members are numbered as the instances stand."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._names = list(world.instances)
        self.history: History = []
        self.began = time.monotonic()

    def say(self, what: str, **more: Any) -> None:
        """Book something in the history."""
        self.history.append({"at": round(time.monotonic() - self.began, 3), "what": what} | more)

    async def play(self, schedule: Schedule) -> None:
        """Carry out the steps at their times from now on."""
        start = time.monotonic()
        for step in schedule:
            await asyncio.sleep(max(0.0, start + step.at - time.monotonic()))
            await self.do(step)

    async def do(self, step: Step) -> None:
        """One step, now. `demand` is the load client's, and is passed over."""
        self.say("step", **asdict(step))
        net = self._world.datagrams
        names = [self._names[n] for n in step.members]
        match step.do:
            case "link":
                assert net is not None
                net.set(step.members, step.to, step.link)
            case "heal":
                assert net is not None
                net.heal()
            case "kill":
                for name in names:
                    self._world.kill_instance(name)
            case "leave":
                await asyncio.gather(*(self._world.stop_instance(name) for name in names))
            case "stop" | "go_on":
                for name in names:
                    process = self._world.instances[name].process
                    if process is not None and process.returncode is None:
                        process.send_signal(signal.SIGSTOP if step.do == "stop" else signal.SIGCONT)
            case "start":
                for name in names:
                    process = self._world.instances[name].process
                    if process is not None:
                        await process.wait()
                await asyncio.gather(*(self._world.start_instance(name) for name in names))
            case "tcp":
                ends = [f"n{n}" for n in step.to] or ["discovery"]
                for link in ((name, end) for name in names for end in ends):
                    self._world.links[link].set(Fault(step.fault))
            case "demand":
                pass
            case _:
                raise ValueError(f"no such step: {step.do}")

    def save(self, path: Path) -> None:
        """One event a line."""
        path.write_text("".join(json.dumps(event) + "\n" for event in self.history))


def admitted(account: Account, tenant: str) -> list[int]:
    """When each request of a tenant first reached a node, in ns, in order."""
    return sorted(
        min(arrival.began_ns for arrival in arrivals)
        for name, arrivals in account.arrivals.items()
        if name in account.asks and account.asks[name].tenant == tenant
    )


def over_rate(times: list[int], per_s: float, burst: float, held_s: float) -> tuple[float, int]:
    """By how many calls a rate was overstepped in the worst stretch of time, and when that began: in any stretch
    w there may be per_s (w + held_s) + burst, where a call is held for `held_s` at most before it is sent."""
    worst, at = 0.0, 0
    for i, begin in enumerate(times):
        for j in range(i, len(times)):
            may = per_s * ((times[j] - begin) / SECOND + held_s) + burst
            if (over := j - i + 1 - may) > worst:
                worst, at = over, begin
    return worst, at


def most_at_once(account: Account, tenant: str) -> int:
    """The most calls of a tenant that nodes worked on at a time."""
    seen = [
        arrival for name, arrivals in account.arrivals.items() for arrival in arrivals
        if name in account.asks and account.asks[name].tenant == tenant
    ]  # fmt: skip
    begun, ended = sorted(a.began_ns for a in seen), sorted(a.ended_ns for a in seen)
    return max((i + 1 - bisect_left(ended, at + 1) for i, at in enumerate(begun)), default=0)


def agree(tables: Iterable[dict[str, Any]], states: dict[int, str]) -> list[str]:
    """Where sidecars see members otherwise than they are."""
    wrong = []
    for table in tables:
        for seen in table["members"]:
            if seen["member"] in states and seen["state"] != states[seen["member"]]:
                wrong.append(f"{table['member']} sees {seen['member']} {seen['state']}")
    return wrong
