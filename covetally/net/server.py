"""The state of one server as seen by the connection pool, and the interface of the pool."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from covetally.interface import AttemptStatus
from covetally.net.clock import Clock
from covetally.net.config import Address
from covetally.net.memory import MemoryAccount
from covetally.net.outcome import Load
from covetally.net.reuse_guard import ReuseGuard
from covetally.net.server_connection import ServerConnection
from covetally.net.timer_wheel import Timer, TimerWheel

DOUBT_S = 10.0  # the list tells of a change within 6 s of when discovery had it
MAX_WAITING = 3  # attempts at one server that wait for an idle connection; a further one opens a connection


class UnsentAttempt(Protocol):
    """An attempt whose request is not completely written yet."""

    def on_server_draining(self) -> None:
        """Called when the server accepts no new requests any more."""


class IdleConnection(NamedTuple):
    """A connection out of the pool, the time that it was idle and the time until it may be used, both in s."""

    connection: ServerConnection
    idle_s: float
    wait_s: float


@dataclass(slots=True, eq=False)
class Server:
    """A server's address, its connections (idle ones by their last use) and its unsent attempts.

    When all connections to a server have ended, or a new one was refused, its process may have died, and another
    server may have started at its address, before the list tells. What is connected from then on is not confirmed
    to be the server on the list, until the list names a new process or DOUBT_S have passed.
    """

    address: Address
    started_ns: int = 0
    incarnation: int = 0  # counts the processes seen behind this name
    draining: bool = False  # it drains or was removed: no new request is written to it
    idle: dict[ServerConnection, None] = field(default_factory=dict)
    established: set[ServerConnection] = field(default_factory=set)  # idle and in use
    doubted_from: float = 0.0  # connections made from then on are not confirmed,
    doubted_until: float = 0.0  # until this time; both on the loop's clock
    awaited_until: list[float] = field(default_factory=list)  # when attempts end their wait for idle connections
    idle_timer: Timer | None = None  # closes connections that were idle for too long
    unsent: set[UnsentAttempt] = field(default_factory=set)
    local_failures: int = 0  # consecutive connects that failed for lack of a resource on this machine
    local_failures_since: float = 0.0  # the time of the first of them, on the loop's clock

    def on_ended(self, connection: ServerConnection, now: float) -> None:
        """Record that the server has ended a connection, and not with a response."""
        self.established.discard(connection)
        if not self.established:
            self.doubt(now)

    def doubt(self, now: float) -> None:
        """Record a sign that the server's process has died."""
        if not self.doubted(now):
            self.doubted_from = now
        self.doubted_until = now + DOUBT_S

    def doubted(self, now: float) -> bool:
        """Whether a new connection is not confirmed to be to the server on the list."""
        return now < self.doubted_until

    def confirmed(self, connection: ServerConnection, now: float) -> bool:
        """Whether a connection is confirmed to be to the server on the list."""
        return not self.doubted(now) or connection.connected_at < self.doubted_from

    def on_new_process(self) -> None:
        """The list names a new process."""
        self.incarnation += 1
        self.doubted_until = 0.0

    def may_await(self, now: float, until: float) -> bool:
        """Whether one more attempt may wait until then for an idle connection; times are on the loop's clock."""
        self.awaited_until = [at for at in self.awaited_until if at > now]
        if len(self.awaited_until) >= MAX_WAITING:
            return False
        self.awaited_until.append(until)
        return True


class ConnectionPool(Protocol):
    """Manages the connections to all servers."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    wheel: TimerWheel
    connect_timeout_s: float
    guard: ReuseGuard
    memory: MemoryAccount

    def take_idle(self, server: Server) -> IdleConnection | None:
        """Take an idle connection out of the pool; None if there is none that may be used soon enough."""

    def add_idle(self, server: Server, connection: ServerConnection) -> None:
        """Add the connection of a finished exchange to the idle pool."""

    def record_surplus(self, connection: ServerConnection) -> None:
        """Record that a server sent bytes that belong to no request."""

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
