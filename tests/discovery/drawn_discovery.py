"""A discovery that answers, cuts, stalls, refuses, resets, answers late and restarts, all drawn from a seed."""

from __future__ import annotations

import asyncio
import enum
import json
import random
from typing import Protocol
from urllib.parse import parse_qs

SERVERS = 8
LATE_S = (1.0, 5.0)  # between the moment of an answer and its first byte
ENTRY_S = (0.02, 0.8)  # between two entries of an answer that is not completed
WEIGHT_EXPONENT = 3  # how unequal the shares of the behaviours are in one seed
RESTART_SHARE = 0.5  # of the seeds
FULL_LIST_SHARE = 0.5  # of the calls in trouble, which may be answered with the full list


class Behaviour(enum.Enum):
    """How a call is answered."""

    ANSWER = enum.auto()
    CUT = enum.auto()  # slowly, and reset before its end
    UNFINISHED = enum.auto()  # slowly, and then nothing more
    STALL = enum.auto()
    REFUSE = enum.auto()
    RESET = enum.auto()
    LATE = enum.auto()


class Exchange(Protocol):
    """One call, and the means to answer it."""

    def begin(self, status: int, length: int) -> None:
        """Send the head of the answer, whose body has `length` bytes."""

    def write_body(self, data: bytes) -> None:
        """Send a part of the body."""

    def end(self) -> None:
        """The body is complete."""

    def reset(self) -> None:
        """Reset the connection."""


class DrawnDiscovery:
    """Keeps the list of servers s0, s1, ... and answers each call as drawn while there is trouble."""

    def __init__(self, seed: int, trouble_begin_s: float, trouble_end_s: float) -> None:
        self._rng = random.Random(seed)
        self._trouble_begin_s, self._trouble_end_s = trouble_begin_s, trouble_end_s
        self.restart_at_s: float | None = None
        if self._rng.random() < RESTART_SHARE:
            self.restart_at_s = self._rng.uniform(trouble_begin_s, trouble_end_s)
        self._weights = [self._rng.random() ** WEIGHT_EXPONENT for _ in Behaviour]
        self.generation = 1000
        self.lifecycles = {f"s{number}": "active" for number in range(SERVERS)}
        self._changed_in = dict.fromkeys(self.lifecycles, self.generation)
        self._changed = asyncio.Event()
        self._open: set[Exchange] = set()
        self._started = asyncio.get_running_loop().time()
        self.call_times_s: list[float] = []

    @property
    def now_s(self) -> float:
        """The time since the start."""
        return asyncio.get_running_loop().time() - self._started

    def set_lifecycle(self, server: str, lifecycle: str) -> None:
        """Change a server's entry, and tell those who wait."""
        self.generation += 1
        self.lifecycles[server] = lifecycle
        self._changed_in[server] = self.generation
        self._changed.set()
        self._changed = asyncio.Event()

    def restart(self) -> None:
        """Reset all connections, and number the versions from the beginning."""
        self.generation = 1
        self._changed_in = dict.fromkeys(self.lifecycles, self.generation)
        for exchange in list(self._open):
            exchange.reset()

    async def answer(self, target: str, exchange: Exchange) -> None:
        """Answer one call, as drawn."""
        now_s = self.now_s
        self.call_times_s.append(now_s)
        in_trouble = self._trouble_begin_s <= now_s < self._trouble_end_s
        behaviour = self._rng.choices(list(Behaviour), self._weights)[0] if in_trouble else Behaviour.ANSWER
        self._open.add(exchange)
        try:
            await self._behave(behaviour, target, exchange, in_trouble)
        finally:
            self._open.discard(exchange)

    async def _behave(self, behaviour: Behaviour, target: str, exchange: Exchange, in_trouble: bool) -> None:
        match behaviour:
            case Behaviour.REFUSE:
                exchange.begin(503, 0)
                exchange.end()
                return
            case Behaviour.RESET:
                exchange.reset()
                return
            case Behaviour.STALL:
                await asyncio.Event().wait()
        query = parse_qs(target.partition("?")[2])
        index = int(query.get("index", ["-1"])[0])
        await self._wait_for_change(index, int(query.get("wait", ["0"])[0]) / 1000)
        full = self._is_full(index) or (in_trouble and self._rng.random() < FULL_LIST_SHARE)
        entries = self._encoded_entries(index, full)
        head = f'{{"generation":{self.generation},"reset":{json.dumps(full)},"instances":['.encode()
        length = len(head) + len(b",".join(entries)) + len(b"]}")
        if behaviour is Behaviour.LATE:
            await asyncio.sleep(self._rng.uniform(*LATE_S))
        exchange.begin(200, length)
        if behaviour in (Behaviour.CUT, Behaviour.UNFINISHED):
            await self._write_slowly(exchange, head, entries)
            if behaviour is Behaviour.UNFINISHED:
                await asyncio.Event().wait()
            exchange.reset()
            return
        exchange.write_body(head + b",".join(entries) + b"]}")
        exchange.end()

    async def _write_slowly(self, exchange: Exchange, head: bytes, entries: list[bytes]) -> None:
        exchange.write_body(head)
        for entry in entries[: self._rng.randrange(len(entries) + 1)]:
            exchange.write_body(entry + b",")
            await asyncio.sleep(self._rng.uniform(*ENTRY_S))

    def _is_full(self, index: int) -> bool:
        return index < 0 or index > self.generation

    def _encoded_entries(self, index: int, full: bool) -> list[bytes]:
        return [
            json.dumps(
                {"instanceId": name, "hostPort": f"127.0.0.1:{9000 + int(name[1:])}", "lifecycle": lifecycle}
            ).encode()
            for name, lifecycle in self.lifecycles.items()
            if full or self._changed_in[name] > index
        ]

    async def _wait_for_change(self, index: int, wait_s: float) -> None:
        if self._is_full(index) or max(self._changed_in.values()) > index:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            pass
