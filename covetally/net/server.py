"""What the shell knows of one server: where it listens, its idle connections, and what is being written to it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from covetally.interface import AttemptStatus
from covetally.net.clock import Clock
from covetally.net.config import Address
from covetally.net.outcome import Load
from covetally.net.stream import Stream
from covetally.net.wheel import Timer, Wheel


class Unsent(Protocol):
    """An attempt that is not wholly written yet."""

    def bar(self) -> None:
        """Its server wants nothing new any more."""


@dataclass(slots=True, eq=False)
class Server:
    """A server's address, its idle connections (newest last) and what is being written to it."""

    address: Address
    started_ns: int = 0
    epoch: int = 0  # counts the processes seen behind this name
    leaving: bool = False  # it drains or has gone: nothing new is written to it
    idle: dict[Stream, float] = field(default_factory=dict)  # and since when, on the loop's clock
    sweep: Timer | None = None  # closes what has rested its time
    unsent: set[Unsent] = field(default_factory=set)
    local_failures: int = 0  # dials in a row that failed for a lack of this machine's, and
    local_since: float = 0.0  # the first of them, on the loop's clock


class Owner(Protocol):
    """Who has the connections to all servers."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    wheel: Wheel
    connect_timeout_s: float

    def take_idle(self, server: Server) -> tuple[Stream, float, float] | None:
        """An idle connection, for how long it rested, and for how long it has to settle yet."""

    def add_idle(self, server: Server, stream: Stream) -> None:
        """Take the connection of a finished exchange to rest."""

    def reserve(self) -> bool:
        """A place for a new connection; False if there is none."""

    def release(self) -> None:
        """A connection has gone, or did not come up."""

    def fault_of(self, server: Server, error: int | None) -> AttemptStatus:
        """What a dial that failed at once with this errno proves: MOOT where it says nothing of the server."""

    def came_up(self, server: Server) -> None:
        """A connection to it has come up."""

    def broke(self) -> None:
        """A kept connection broke when it was used again."""

    def hold_back_s(self, rest_s: float) -> float:
        """How long the last byte of a request waits on a connection that rested so long."""

    def read_load(self, text: bytes) -> Load:
        """A load report, empty if it cannot be read."""
