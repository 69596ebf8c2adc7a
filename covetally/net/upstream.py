"""The pool of connections to all servers: addresses, idle connections and the limit on open connections."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from functools import partial

from covetally.interface import ServerEntry, AttemptStatus, Settings
from covetally.net.attempt import Attempt
from covetally.net.clock import Clock
from covetally.net.config import Address
from covetally.net.outcome import NO_LOAD, AttemptLimits, Load, Outcome, Request
from covetally.net.memory import (
    CONNECTION_BYTES,
    MemoryAccount,
    MemoryExhausted,
    MemoryKind,
    MemoryReservation,
)
from covetally.net.reuse_guard import ReuseGuard
from covetally.net.server import IdleConnection, Server
from covetally.net.server_connection import ServerConnection
from covetally.net.stream import ignore_event
from covetally.net.system_errors import LOCAL_CONNECT_ERRORS

log = logging.getLogger(__name__)

IDLE_FRACTION = 0.9  # of the servers' idle timeout, so that no request is sent while the server closes
LONG_IDLE_S = 0.5  # a connection that was idle for longer may be dead without a sign
LAST_BYTE_DELAY_S = 0.015  # on such a connection: a round trip between data centres, with a margin
DISTRUST_S = 10.0  # after an idle connection broke when it was reused, no idle connection is trusted for so long
DISTRUST_LAST_BYTE_DELAY_S = 0.003  # meanwhile, on every reused connection: a round trip within a data centre
LOCAL_FAILURE_LIMIT = 3  # local connect errors in a row, at one server only, after which they count against it


class Upstream:
    """The connection pool. It alone knows which address belongs to a server's name."""

    def __init__(
        self, settings: Settings, load_fields: frozenset[str], clock: Clock, limit: int, memory: MemoryAccount
    ) -> None:
        self.memory = memory
        self._connection_memory = MemoryReservation(memory)  # of all open connections
        self.loop = asyncio.get_running_loop()
        self._load_fields = load_fields
        self.clock = clock
        self.wheel = clock.wheel
        self.guard = ReuseGuard()
        self._open_count = 0
        self._distrust_until = 0.0
        self._connected_at = 0.0  # when the last connection was established
        self._servers: dict[str, Server] = {}
        self.reconfigure(settings, limit)

    def reconfigure(self, settings: Settings, limit: int) -> None:
        """Apply changed settings and the limit on open connections."""
        self._limit = limit
        self._idle_s = settings.limits.conn_idle_ns / 1e9 * IDLE_FRACTION
        self.connect_timeout_s = settings.limits.connect_timeout_ns / 1e9

    @property
    def connections(self) -> int:
        """The number of connections to servers that are open or being established."""
        return self._open_count

    def addresses(self) -> list[tuple[str, Address]]:
        """Return the names and addresses of the servers on the list."""
        return [(name, server.address) for name, server in self._servers.items()]

    # --- the server list ------------------------------------------------------------------------

    def update(self, entries: list[tuple[ServerEntry, Address]], full: bool) -> None:
        """Apply an update of the server list; `full` means that servers not in it were removed."""
        removed = self._servers.keys() - {entry.server for entry, _ in entries} if full else set()
        for entry, address in entries:
            server = self._servers.setdefault(entry.server, Server(address, entry.started_ns))
            if (address, entry.started_ns) != (server.address, server.started_ns):
                # A new process serves this name: connections to its predecessor are of no use.
                server.address, server.started_ns = address, entry.started_ns
                server.on_new_process()
                self._close_idle(server)
            if entry.lifecycle == "removed":
                removed.add(entry.server)
            elif entry.lifecycle == "up":
                server.draining = False
            else:
                self._drain(server)
        for name in removed:
            self._drain(self._servers.pop(name))  # only attempts in progress still refer to it

    def _drain(self, server: Server) -> None:
        """Send nothing new to a server.

        Attempts that are not completely written are ended, so that their requests go to other servers. This does
        not depend on when the drain counts as notified or how long a connection would still take to establish.
        """
        self._close_idle(server)
        if not server.draining:
            server.draining = True
            for attempt in server.unsent:
                self.loop.call_soon(attempt.on_server_draining)  # the policy has the same update by then

    # --- connections ----------------------------------------------------------------------------

    def _close_idle(self, server: Server) -> None:
        while server.idle:
            self._drop(server, next(iter(server.idle)))

    def _drop(self, server: Server, connection: ServerConnection) -> None:
        """Close an idle connection."""
        del server.idle[connection]
        server.established.discard(connection)
        connection.close()
        self.release_connection()

    def _on_idle_input(self, server: Server, connection: ServerConnection) -> None:
        """Handle input on an idle connection: its end, or bytes that belong to no request and must not be read as
        the next request's answer."""
        if connection.has_bytes():
            self.record_surplus(connection)
        else:
            server.on_ended(connection, self.loop.time())
        self._drop(server, connection)

    def record_surplus(self, connection: ServerConnection) -> None:
        """Record that a server sent bytes that belong to no request."""
        now = self.loop.time()
        lateness_s = now - connection.idle_since
        self.guard.on_surplus(lateness_s, now)
        required_s = self.guard.required_idle(now).after_ok_s
        log.warning(
            "surplus bytes on connection %d after %d requests, %.1f ms after its last answer: connections are "
            "idle for %.0f ms before they are reused",
            connection.number, connection.carried, lateness_s * 1000, required_s * 1000,
        )  # fmt: skip

    def add_idle(self, server: Server, connection: ServerConnection) -> None:
        """Add the connection of a finished exchange to the idle pool. It is closed before the server's own idle
        timeout."""
        server.idle[connection] = None
        connection.on_flushed = ignore_event
        connection.on_input = partial(self._on_idle_input, server, connection)
        if server.idle_timer is None:
            expires = connection.idle_since + self._idle_s
            server.idle_timer = self.wheel.call_at(expires, partial(self._close_expired, server))

    def _close_expired(self, server: Server) -> None:
        """Close connections that were idle for too long, and schedule the next check.

        There is one timer for all idle connections of a server, because a timer for each would be set and
        cancelled with every request.
        """
        server.idle_timer = None
        now = self.loop.time()
        while server.idle:
            oldest = next(iter(server.idle))
            expires = oldest.idle_since + self._idle_s
            if expires > now:
                server.idle_timer = self.wheel.call_at(expires, partial(self._close_expired, server))
                return
            self._drop(server, oldest)

    def take_idle(self, server: Server) -> IdleConnection | None:
        """Take an idle connection out of the pool; None if there is none that may be used soon enough.

        It is the one that is least in doubt and needs no long check: of those that may be used, the one that was
        idle longest below LONG_IDLE_S, else the most recent. If none may be used yet, it is the one that may be
        used first, unless that takes too long, others wait already, or the server may have closed it by then.
        """
        now, guard = self.loop.time(), self.guard
        required = guard.calm if now >= guard.cautious_until else guard.cautious  # inlined for speed
        while server.idle:
            best: ServerConnection | None = None
            wait_s = math.inf
            for connection in reversed(server.idle):
                idle_s = now - connection.idle_since
                if wait_s <= 0.0 and idle_s >= LONG_IDLE_S:
                    break
                missing_s = (
                    required.after_ok_s if connection.last_answer_ok else required.after_error_s
                ) - idle_s
                if missing_s <= 0.0:
                    best, wait_s = connection, 0.0
                elif (
                    missing_s <= wait_s and missing_s <= required.max_wait_s and idle_s + missing_s < self._idle_s
                ):
                    best, wait_s = connection, missing_s
            if best is None or (wait_s > 0.0 and not server.may_await(now, now + wait_s)):
                return None
            if not best.has_input():
                del server.idle[best]
                return IdleConnection(best, now - best.idle_since, wait_s)
            self._on_idle_input(server, best)
        return None

    def reserve_connection(self) -> bool:
        """Reserve one of the limited number of connections and its memory; returns False if all are in use. At
        the limit the connection that has been idle for the longest time is closed."""
        if self._open_count >= self._limit and not self._drop_oldest_idle():
            return False
        while not self._charge_connections(self._open_count + 1):
            if not self._drop_oldest_idle():
                return False
        self._open_count += 1
        return True

    def _drop_oldest_idle(self) -> bool:
        """Close the connection that has been idle for the longest time; returns whether there was one."""
        servers_with_idle = [server for server in self._servers.values() if server.idle]
        if not servers_with_idle:
            return False
        oldest = min(servers_with_idle, key=lambda server: next(iter(server.idle)).idle_since)
        self._drop(oldest, next(iter(oldest.idle)))
        return True

    def _charge_connections(self, count: int) -> bool:
        """Charge the memory of so many connections; returns whether it fits."""
        try:
            self._connection_memory.resize(MemoryKind.CONNECTION, count * CONNECTION_BYTES)
        except MemoryExhausted:
            return False
        return True

    def release_connection(self) -> None:
        """Release a reserved connection that was closed or not established."""
        self._open_count -= 1
        self._charge_connections(self._open_count)

    def classify_connect_error(self, server: Server, error: int | None) -> AttemptStatus:
        """Return the outcome for a connect that failed at once with this errno.

        A lack of resources on this machine (descriptors, memory, ports, a route) does not indicate a fault of the
        server. Otherwise every server would be put into backoff at a moment in which all connects fail here. If
        connects to one server keep failing in this way while others succeed, the cause is on the path to that
        server, and the failures count against it.
        """
        if error not in LOCAL_CONNECT_ERRORS:
            return AttemptStatus.CONNECT_FAILED
        if not server.local_failures:
            server.local_failures_since = self.loop.time()
        server.local_failures += 1
        only_here = (
            server.local_failures >= LOCAL_FAILURE_LIMIT and self._connected_at > server.local_failures_since
        )
        return AttemptStatus.CONNECT_FAILED if only_here else AttemptStatus.NOT_SENT

    def record_connected(self, server: Server) -> None:
        """Record that a connection to the server was established."""
        server.local_failures = 0
        self._connected_at = self.loop.time()

    def record_broken_idle(self) -> None:
        """Record that an idle connection broke when it was reused: none is trusted for DISTRUST_S."""
        self._distrust_until = self.loop.time() + DISTRUST_S

    def last_byte_delay_s(self, idle_s: float) -> float:
        """Return how long the last byte of a request is held back on a connection that was idle for `idle_s`.

        Guards against idle connections that servers or middleboxes drop silently, or close while a request is on
        its way. A dead connection answers the first bytes with a reset, and as long as the last byte is not
        written, the request has not run and may be sent on another connection. The delay adds to the latency of
        the request, so it applies only to connections that were idle for long, and to all reused connections only
        while some have recently been seen to break.
        """
        if idle_s >= LONG_IDLE_S:
            return LAST_BYTE_DELAY_S
        return DISTRUST_LAST_BYTE_DELAY_S if self.loop.time() < self._distrust_until else 0.0

    # --- attempts -------------------------------------------------------------------------------

    def attempt(
        self, name: str, request: Request, limits: AttemptLimits, done: Callable[[Outcome], None]
    ) -> Attempt:
        """Send the request once. `done` is called once with the outcome, but never from within this call or from
        within `cancel`.

        The connection is closed before a failure is reported, so that the policy never starts a second copy while
        the first may still run.
        """
        return Attempt(self, self._servers.get(name), request, limits, done)

    def parse_load_report(self, text: bytes) -> Load:
        """Parse a load report; returns an empty one if it is malformed."""
        load: dict[str, float] = {}
        form, _, pairs = text.decode("latin-1").partition(" ")
        for pair in pairs.split(","):
            name, equals, value = pair.strip().partition("=")
            try:
                number = float(value)
            except ValueError:
                number = math.nan
            if form != "TEXT" or not equals or not math.isfinite(number):
                log.warning("ignored a malformed load report: %.100r", text)
                return NO_LOAD
            if name in self._load_fields:
                load[name] = number
        return load
