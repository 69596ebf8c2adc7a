"""Drain orders seen from outside: who answers that it is ready, and how far an order is."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass

from covetally.rig.managed import AgentError, Managed


LOOK_S, ANSWERS_S = 0.05, 1.0
READY, OUT, SILENT = "ready", "out", "silent"


@dataclass(frozen=True, slots=True)
class Move:
    """An instance that went out though no fault had met it, and how the fleet stood then: who was out besides,
    since when, and whether by plan."""

    at: float
    name: str
    others: dict[str, tuple[float, bool]]


class Watch:
    """Who answers that it is ready, looked at over and over: the least seen of each zone, every move out."""

    def __init__(self, world: Managed) -> None:
        self._world = world
        self.zone = {name: "abc"[number % 3] for number, name in enumerate(world.instances)}
        self.least = dict.fromkeys("abc", 99)
        self.ended = False
        self.excused: set[str] = set()  # killed from outside: they count as in
        self.faulty: dict[str, float] = {}  # whom a fault met, and when; until they are seen to be ready again
        self.state = dict.fromkeys(self.zone, READY)
        self._since = dict.fromkeys(self.zone, time.monotonic())
        self._planned: set[str] = set()
        self.moves: list[Move] = []

    async def run(self) -> None:
        """Until `ended`."""
        await asyncio.gather(*(self._follow(name) for name in self.zone))

    async def _follow(self, name: str) -> None:
        while not self.ended:
            began = time.monotonic()
            self._saw(name, began, READY if name in self.excused else await self._look(name))
            await asyncio.sleep(LOOK_S)

    def _saw(self, name: str, began: float, state: str) -> None:
        if state == READY and began > self.faulty.get(name, 0.0):
            self.faulty.pop(name, None)
        if state != self.state[name]:
            self.state[name], self._since[name] = state, began
            if state == READY:
                self._planned.discard(name)
            elif state == OUT and name not in self.faulty and name not in self._planned:
                self._planned.add(name)
                self.moves.append(Move(began, name, self._others(name)))
        zone = self.zone[name]
        up = sum(self.state[other] == READY for other, of in self.zone.items() if of == zone)
        self.least[zone] = min(self.least[zone], up)

    def _others(self, name: str) -> dict[str, tuple[float, bool]]:
        return {
            other: (min(since, self.faulty.get(other, since)), other in self._planned)
            for other, since in self._since.items()
            if other != name and (self.state[other] != READY or other in self.faulty)
        }

    def broken(self, floor: int, known_s: float) -> list[str]:
        """Moves out by plan that left fewer than `floor` in their zone, where who was out by no plan had been
        so for `known_s` at least: nobody can know at once."""
        lines = []
        for move in self.moves:
            zone = self.zone[move.name]
            size = sum(other == zone for other in self.zone.values())
            out = {name: since for name, (since, planned) in move.others.items()
                   if self.zone[name] == zone and (planned or move.at - since >= known_s)}  # fmt: skip
            if size - 1 - len(out) < floor:
                ago = ", ".join(f"{name} out for {move.at - since:.1f} s" for name, since in out.items())
                lines.append(f"floor: {move.name} went out, {ago}")
        return lines

    async def _look(self, name: str) -> str:
        try:
            async with asyncio.timeout(ANSWERS_S):
                reader, writer = await asyncio.open_connection(*self._world.instances[name].address)
                try:
                    writer.write(b"GET /_health HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n")
                    return READY if b" 200 " in await reader.readline() else OUT
                finally:
                    writer.close()
        except TimeoutError:
            return SILENT
        except OSError:
            return OUT


async def pids(world: Managed) -> dict[str, int]:
    """The process of each instance, as the agent knows it."""
    return {item["name"]: item["pid"] for item in (await world.get("/v1/instances"))["instances"]}


async def phase(world: Managed) -> str:
    """Of the order; empty without one, or without an agent."""
    with contextlib.suppress(OSError, AgentError):
        order = (await world.get("/v1/drains"))["order"]
        return order["phase"] if order else ""
    return ""


async def until_phase(world: Managed, *wanted: str) -> None:
    """Until the order has come to one of these."""
    while await phase(world) not in wanted:
        await asyncio.sleep(0.1)
