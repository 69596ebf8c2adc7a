"""The state of one server as seen by the connection pool, and the interface of the pool."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from covetally.interface import AttemptStatus
from covetally.net.clock import Clock
from covetally.net.config import Address
from covetally.net.outcome import Load
from covetally.net.stream import Stream
from covetally.net.timer_wheel import Timer, TimerWheel


class UnsentAttempt(Protocol):
    """An attempt whose request is not completely written yet."""

    def on_server_draining(self) -> None:
        """Called when the server accepts no new requests any more."""


@dataclass(slots=True, eq=False)
class Server:
    """A server's address, its idle connections (most recently used last) and its unsent attempts."""

    address: Address
    started_ns: int = 0
    incarnation: int = 0  # counts the processes seen behind this name
    draining: bool = False  # it drains or was removed: no new request is written to it
    idle: dict[Stream, float] = field(default_factory=dict)  # with the time they became idle, on the loop's clock
    idle_timer: Timer | None = None  # closes connections that were idle for too long
    unsent: set[UnsentAttempt] = field(default_factory=set)
    local_failures: int = 0  # consecutive connects that failed for lack of a resource on this machine
    local_failures_since: float = 0.0  # the time of the first of them, on the loop's clock


class ConnectionPool(Protocol):
    """Manages the connections to all servers."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    wheel: TimerWheel
    connect_timeout_s: float

    def take_idle(self, server: Server) -> tuple[Stream, float, float] | None:
        """Take an idle connection out of the pool; returns it with the time that it was idle and the time until
        it may be used."""

    def add_idle(self, server: Server, stream: Stream) -> None:
        """Add the connection of a finished exchange to the idle pool."""

    def reserve_connection(self) -> bool:
        """Reserve one of the limited number of connections; returns False if none is left."""

    def release_connection(self) -> None:
        """Release a reserved connection that was closed or not established."""

    def classify_connect_error(self, server: Server, error: int | None) -> AttemptStatus:
        """Return the outcome for a connect that failed at once with this errno: NOT_SENT if the error does not
        indicate a fault of the server."""

    def record_connected(self, server: Server) -> None:
        """Record that a connection to the server was established."""

    def record_broken_idle(self) -> None:
        """Record that an idle connection broke when it was reused."""

    def last_byte_delay_s(self, idle_s: float) -> float:
        """Return how long the last byte of a request is held back on a connection that was idle for `idle_s`."""

    def parse_load_report(self, text: bytes) -> Load:
        """Parse a load report; returns an empty one if it is malformed."""
