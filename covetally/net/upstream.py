"""Connections to the servers: who listens where, what rests and for how long, how many there may be."""

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
from covetally.net.outcome import NO_LOAD, Bounds, Load, Outcome, Request
from covetally.net.server import Server
from covetally.net.stream import Stream, ignore_event
from covetally.net.system_errors import LOCAL_CONNECT

log = logging.getLogger(__name__)

IDLE_SHARE = 0.9  # of the servers' idle time: a request must not meet their close on its way
REST_AGED_S = 0.5  # a connection that rested so long may be dead without a sign
HOLD_BACK_S = 0.015  # the last byte waits so long on such a one: a round trip between data centres and some
WARY_S = 10.0  # connections are not trusted for so long after one broke when it was used again,
WARY_HOLD_BACK_S = 0.003  # and the last byte waits so long on each: about a round trip within a data centre
LOCAL_FAILURES = 3  # of this machine's in a row, at one server alone, count against it
SETTLE_S = 0.001  # a connection is used again no sooner: what comes right behind an answer must show first


class Upstream:
    """All servers by the name that the module uses; only here is it known where they listen."""

    def __init__(self, settings: Settings, load_fields: frozenset[str], clock: Clock, limit: int) -> None:
        self.loop = asyncio.get_running_loop()
        self._load_fields = load_fields
        self.clock = clock
        self.wheel = clock.wheel
        self._open = 0
        self._wary_until = 0.0
        self._came_up_at = 0.0  # when a connection last did
        self._servers: dict[str, Server] = {}
        self.retune(settings, limit)

    def retune(self, settings: Settings, limit: int) -> None:
        """Keep to these from here on."""
        self._limit = limit
        self._idle_s = settings.limits.conn_idle_ns / 1e9 * IDLE_SHARE
        self.connect_timeout_s = settings.limits.connect_timeout_ns / 1e9

    @property
    def connections(self) -> int:
        """How many connections to servers are open or coming up."""
        return self._open

    def roster(self) -> list[tuple[str, Address]]:
        """The servers that are listed, and where."""
        return [(name, server.address) for name, server in self._servers.items()]

    # --- the list -------------------------------------------------------------------------------

    def update(self, entries: list[tuple[ServerEntry, Address]], whole: bool) -> None:
        """An update of service discovery, with each server's address."""
        gone = self._servers.keys() - {entry.server for entry, _ in entries} if whole else set()
        for entry, address in entries:
            server = self._servers.setdefault(entry.server, Server(address, entry.started_ns))
            if (address, entry.started_ns) != (server.address, server.started_ns):
                # Another process listens there now: its predecessor's connections lead nowhere.
                server.address, server.started_ns = address, entry.started_ns
                server.epoch += 1
                self._close_idle(server)
            if entry.lifecycle == "removed":
                gone.add(entry.server)
            elif entry.lifecycle == "up":
                server.leaving = False
            else:
                self._leave(server)
        for name in gone:
            self._leave(self._servers.pop(name))  # an attempt under way still holds it, nothing else does

    def _leave(self, server: Server) -> None:
        """What is not written yet goes elsewhere. That it may have counted as told for a while already, and how
        long a connection would still take to come up, are no questions then."""
        self._close_idle(server)
        if not server.leaving:
            server.leaving = True
            for attempt in server.unsent:
                self.loop.call_soon(attempt.bar)  # the module has the same news by then

    # --- connections ----------------------------------------------------------------------------

    def _close_idle(self, server: Server) -> None:
        while server.idle:
            self._drop(server, next(iter(server.idle)))

    def _drop(self, server: Server, stream: Stream) -> None:
        """Close an idle connection."""
        del server.idle[stream]
        stream.on_input = ignore_event
        stream.abort()
        self._open -= 1

    def add_idle(self, server: Server, stream: Stream) -> None:
        """Take the connection of a finished exchange to rest, for less time than the server would."""
        now = self.loop.time()
        server.idle[stream] = now
        stream.on_flushed = ignore_event
        # Bytes that come now were asked for by nobody: they must never become the next request's answer.
        stream.on_input = partial(self._drop, server, stream)
        if server.sweep is None:
            server.sweep = self.wheel.call_at(now + self._idle_s, partial(self._swept, server))

    def _swept(self, server: Server) -> None:
        """Close what has rested its time, and come again for the next. One timer for all that rest there: one for
        each would be set and cancelled with every request."""
        server.sweep = None
        now = self.loop.time()
        while server.idle:
            stream, since = next(iter(server.idle.items()))
            if since + self._idle_s > now:
                server.sweep = self.wheel.call_at(since + self._idle_s, partial(self._swept, server))
                return
            self._drop(server, stream)

    def take_idle(self, server: Server) -> tuple[Stream, float, float] | None:
        """The connection in order that rested least of those that have settled, and for how long it did; where
        none has settled, the one that is nearest to it, and for how long it has to settle yet."""
        idle, now = server.idle, self.loop.time()
        while idle:
            settled_at = now - SETTLE_S
            stream = next(iter(idle))
            for other, since in reversed(idle.items()):
                if since <= settled_at:
                    stream = other
                    break
            since = idle[stream]
            if stream.has_input():
                self._drop(server, stream)
            else:
                del idle[stream]
                return stream, now - since, max(0.0, SETTLE_S - (now - since))
        return None

    def reserve(self) -> bool:
        """A place for a new connection; False if all are at work. The one that has rested longest makes room."""
        if self._open >= self._limit:
            holding = [server for server in self._servers.values() if server.idle]
            if not holding:
                return False
            oldest = min(holding, key=lambda server: next(iter(server.idle.values())))
            self._drop(oldest, next(iter(oldest.idle)))
        self._open += 1
        return True

    def release(self) -> None:
        """A connection has gone, or did not come up."""
        self._open -= 1

    def fault_of(self, server: Server, error: int | None) -> AttemptStatus:
        """What a dial that failed at once with this errno proves.

        A lack of this machine's own (descriptors, memory, ports, a route) says nothing of the server. Guards
        against a moment in which all dials fail here and every server is put into backoff for it. Where dials to
        one server go on failing so while others come up, the lack is on the way to that server, and counts."""
        if error not in LOCAL_CONNECT:
            return AttemptStatus.CONNECT_FAILED
        if not server.local_failures:
            server.local_since = self.loop.time()
        server.local_failures += 1
        alone = server.local_failures >= LOCAL_FAILURES and self._came_up_at > server.local_since
        return AttemptStatus.CONNECT_FAILED if alone else AttemptStatus.NOT_SENT

    def came_up(self, server: Server) -> None:
        """A connection to it has come up."""
        server.local_failures = 0
        self._came_up_at = self.loop.time()

    def broke(self) -> None:
        """A kept connection broke when it was used again: trust none of them for a while."""
        self._wary_until = self.loop.time() + WARY_S

    def hold_back_s(self, rest_s: float) -> float:
        """How long the last byte of a request waits for a sign that its kept connection is dead.

        Guards against connections that servers, or what stands between, drop without a word or a moment too
        late: such a one answers the first bytes with a reset, and as long as the last byte is not written,
        the request has not run and may go on another. It costs each request that time, so it is done on
        connections that rested long, and on all only while some have been seen to break.
        """
        if rest_s >= REST_AGED_S:
            return HOLD_BACK_S
        return WARY_HOLD_BACK_S if self.loop.time() < self._wary_until else 0.0

    # --- attempts -------------------------------------------------------------------------------

    def attempt(self, name: str, request: Request, bounds: Bounds, done: Callable[[Outcome], None]) -> Attempt:
        """Send the request once. `done` is told how it ended, once and never from within this call or `cancel`.
        Its connection is closed before any failure is told, so that the module never starts a second copy while
        the first is still out."""
        return Attempt(self, self._servers.get(name), request, bounds, done)

    def read_load(self, text: bytes) -> Load:
        """A load report, empty if it cannot be read."""
        load: dict[str, float] = {}
        form, _, pairs = text.decode("latin-1").partition(" ")
        for pair in pairs.split(","):
            name, equals, value = pair.strip().partition("=")
            try:
                number = float(value)
            except ValueError:
                number = math.nan
            if form != "TEXT" or not equals or not math.isfinite(number):
                log.warning("load report ignored: %.100r", text)
                return NO_LOAD
            if name in self._load_fields:
                load[name] = number
        return load
