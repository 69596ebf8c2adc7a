"""What the shell knows of one server: where it listens, its idle connections, and what is being written to it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from covetally.interface import How
from covetally.net.clock import Clock
from covetally.net.config import Address
from covetally.net.outcome import Load
from covetally.net.stream import Stream
from covetally.net.timer_wheel import Timer, TimerWheel


class UnsentAttempt(Protocol):
    """An attempt that is not wholly written yet."""

    def on_server_draining(self) -> None:
        """Its server wants nothing new any more."""


@dataclass(slots=True, eq=False)
class Server:
    """A server's address, its idle connections (newest last) and what is being written to it."""

    address: Address
    started_ns: int = 0
    incarnation: int = 0  # counts the processes seen behind this name
    draining: bool = False  # it drains or has gone: nothing new is written to it
    idle: dict[Stream, float] = field(default_factory=dict)  # and since when, on the loop's clock
    idle_timer: Timer | None = None  # closes what has rested its time
    unsent: set[UnsentAttempt] = field(default_factory=set)
    local_failures: int = 0  # dials in a row that failed for a lack of this machine's, and
    local_failures_since: float = 0.0  # the first of them, on the loop's clock


class ConnectionPool(Protocol):
    """Who has the connections to all servers."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    wheel: TimerWheel
    connect_timeout_s: float

    def take_idle(self, server: Server) -> tuple[Stream, float, float] | None:
        """An idle connection, for how long it rested, and for how long it has to settle yet."""

    def add_idle(self, server: Server, stream: Stream) -> None:
        """Take the connection of a finished exchange to rest."""

    def reserve_connection(self) -> bool:
        """A place for a new connection; False if there is none."""

    def release_connection(self) -> None:
        """A connection has gone, or did not come up."""

    def classify_connect_error(self, server: Server, error: int | None) -> How:
        """What a dial that failed at once with this errno proves: MOOT where it says nothing of the server."""

    def record_connected(self, server: Server) -> None:
        """A connection to it has come up."""

    def record_broken_idle(self) -> None:
        """A kept connection broke when it was used again."""

    def last_byte_delay_s(self, rest_s: float) -> float:
        """How long the last byte of a request waits on a connection that rested so long."""

    def parse_load_report(self, text: bytes) -> Load:
        """A load report, empty if it cannot be read."""
