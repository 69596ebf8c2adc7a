"""The client side of the sidecar: listener, connection limits, eviction, drain and shutdown of client
connections."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import Counter
from collections.abc import Iterable
from itertools import islice

from covetally.interface import SECOND, Settings
from covetally.net.client_connection import IN_FLIGHT_TIMEOUT_S, ClientConnection, Phase
from covetally.net.close_reason import CloseReason
from covetally.net.drain_stage import DrainStage, Stage
from covetally.net.eviction import FIRST_REQUEST_GRACE_S, EvictionOrder
from covetally.net.request_validation import RequestValidator
from covetally.net.recent_ids import RecentIds
from covetally.net.invariants import Invariant
from covetally.net.memory import CONNECTION_BYTES, MemoryAccount, MemoryExhausted, MemoryKind, MemoryReservation
from covetally.net.listener import ACCEPT_PAUSE_S, AcceptResult, Listener
from covetally.net.extensions import Claims, ConnectionLimiter, UpgradeHandler
from covetally.net.shutdown_times import times_within
from covetally.net.sidecar import Sidecar
from covetally.net.stream import connection_age_s
from covetally.net.read_scheduler import ReadScheduler

log = logging.getLogger(__name__)

# Share of the connection limit that is accepted in one go: connections evicted for new ones close only
# afterwards.
ACCEPT_BURST = 1 / 16
REGISTER_ATTEMPTS = 50  # attempts to register an accepted socket with the event loop, ACCEPT_PAUSE_S apart
MAX_IDLE_SHARE = 1 / 4  # share of the connection limit that may be idle between requests
SLOW_READER_S = 0.5  # a client that leaves its response unread for this long may be closed if memory is needed
IDLE_CANDIDATES = 8  # idle connections examined for one that may be closed
# Between two looks for room while all connections are in use. The end of any of them is noticed at once.
MIN_ROOM_WAIT_S, MAX_ROOM_WAIT_S = 0.002, 0.1

ACCEPTED, NONE_WAITING, NO_ROOM, FAILED = AcceptResult


class Frontend:
    """Accepts client connections within a limit and manages them until they are closed. Implements
    `ConnectionManager`."""

    def __init__(self, settings: Settings, sidecar: Sidecar, limit: int, memory: MemoryAccount) -> None:
        self.sidecar = sidecar
        self.wheel = sidecar.wheel
        self.memory = memory
        memory.reclaim = self._reclaim_memory
        self._next_connection = MemoryReservation(memory)  # holds nothing; it asks for room
        self.drain_stage = DrainStage()
        self._drain_timer: asyncio.TimerHandle | None = None  # for the next stage of an operator's drain
        self.closed: Counter[CloseReason] = Counter()  # closed connections by reason
        self.gate: ConnectionLimiter | None = None  # enforces connection caps of tenants, if configured
        self.retune(settings, limit)
        self._clients: dict[ClientConnection, None] = {}
        self._eviction = EvictionOrder()
        self.on_busy = self._eviction.discard  # see `ConnectionManager.on_busy`
        self.on_partial_request = self._eviction.on_part  # see `ConnectionManager.on_partial_request`
        self._ids = RecentIds(self._longest_deadline_s, memory)
        sidecar.on_may_have_run = self.remember
        self._listener: Listener
        self._claims: Claims | None = None
        self._no_clients = asyncio.Event()
        self.shed_requests = 0  # requests refused without being parsed
        self.upgrades: UpgradeHandler | None = None
        self.read_scheduler = ReadScheduler(sidecar)

    def retune(self, settings: Settings, limit: int) -> None:
        """Apply new settings and the connection limit. If that is lowered, excess connections are closed once
        they are idle, not earlier."""
        self.request_validator = RequestValidator(settings)
        self._longest_deadline_s = max(cls.deadline_ns for cls in settings.classes) / SECOND
        self.refusal_ns = settings.limits.max_retry_after_ns if settings.limits.retry_after else 0
        self._limit = limit
        self._idle_limit = max(1, int(limit * MAX_IDLE_SHARE))
        self._accept_burst = max(8, int(limit * ACCEPT_BURST))

    @property
    def connections(self) -> int:
        """The number of client connections."""
        return len(self._clients)

    # --- accepting ------------------------------------------------------------------------------

    def start_accepting(self, listener: socket.socket, claims: Claims | None = None) -> tuple[str, int]:
        """Start to accept connections on a listener, and return its address. `claims` registers open request ids
        with the other processes that accept on the same address."""
        self._claims = claims
        self._listener = Listener(listener, self._accept)
        return self._listener.address

    def stop_accepting(self) -> None:
        """Close the listener."""
        self._listener.close()

    def check_listener(self) -> None:
        """Check at run time that the listener is watched or will be, and report a violation if not."""
        if self._listener.stalled():
            self.sidecar.violations.report(Invariant.LISTENER_STALLED, "-", "the listener was paused without end")
            self._listener.resume()

    def _has_room(self) -> bool:
        """Whether a further connection fits."""
        return len(self._clients) < self._limit and self.memory.has_room(CONNECTION_BYTES)

    def _make_room(self) -> bool:
        """Close or shrink one connection for a further one; returns whether there was one."""
        if len(self._clients) >= self._limit:
            return self._evict()
        return self.memory.make_room(self._next_connection, MemoryKind.CONNECTION, CONNECTION_BYTES)

    def _accept(self) -> None:
        for number in range(self._accept_burst):
            if number and not self._has_room():
                return  # evict only once the listener is known to have a connection waiting
            if self._accept_one() in (NONE_WAITING, NO_ROOM):
                return

    def _accept_one(self) -> AcceptResult:
        """Accept one connection, if one is waiting and there is room for it."""
        loop = asyncio.get_running_loop()
        while not self._has_room():
            if not self._make_room():
                now = loop.time()
                wait_s = min(max(self._eviction.next_at(now) - now, MIN_ROOM_WAIT_S), MAX_ROOM_WAIT_S)
                self._listener.pause(now + wait_s)
                return NO_ROOM
        accepted = self._listener.accept()
        if accepted is NO_ROOM:
            # The listener stays readable: without a pause the event loop would spin on it and serve nothing else.
            self._evict()
            self._listener.pause(loop.time() + ACCEPT_PAUSE_S)
        if isinstance(accepted, AcceptResult):
            return accepted
        self._admit(accepted)
        return ACCEPTED

    def _admit(self, sock: socket.socket) -> None:
        """Serve an accepted connection, if its client is still connected."""
        connected, age_s = connection_age_s(sock)
        if not connected:
            # Guards against a backlog full of clients that gave up while waiting: serving their requests would
            # delay the clients that are still connected. Catches any burst of clients that connect and leave.
            # Harms clients that half-close their connection and still wait for a response; the protocol treats
            # those as gone, too.
            sock.close()
            return
        sock.setblocking(False)
        self._start_connection(sock, asyncio.get_running_loop().time() - age_s, REGISTER_ATTEMPTS)

    def _start_connection(self, sock: socket.socket, connected_at: float, attempts_left: int) -> None:
        """Start to serve an accepted connection, whose time in the backlog counts.

        If the event loop cannot register the socket, this is retried after a pause: the kernel has accepted the
        connection, and its client may already have sent a request.
        """
        try:
            client = ClientConnection(self, sock, connected_at)
        except (OSError, MemoryExhausted) as error:
            log.warning("cannot register a connection: %s", error or "no memory left")
            if attempts_left > 0:
                asyncio.get_running_loop().call_later(
                    ACCEPT_PAUSE_S, self._start_connection, sock, connected_at, attempts_left - 1
                )
            else:
                sock.close()
            return
        self._eviction.fresh[client] = self._clients[client] = None

    def _evict(self) -> bool:
        """Close one connection to make room; returns whether there was one that may be closed (see
        `EvictionOrder`)."""
        client = self._eviction.choose(asyncio.get_running_loop().time())
        if client is not None:
            client.make_room()
        return client is not None

    def _reclaim_memory(self, requester: MemoryReservation, kind: MemoryKind, size: int) -> bool:
        """Free memory for another holder; returns whether there was something to free (see `EvictionOrder`)."""
        now = asyncio.get_running_loop().time()
        client = self._eviction.choose_for_memory(requester, kind, size)
        if client is not None and client.free_memory():
            return True
        if kind is MemoryKind.INCOMPLETE:
            return False
        for client in (*islice(self._eviction.lingering, 1), *islice(self._eviction.idle, IDLE_CANDIDATES)):
            if client.memory is not requester and (client.phase is Phase.LINGERING or client.silent()):
                client.close(CloseReason.MADE_ROOM)
                return True
        slow = self._slowest_reader(requester, now - SLOW_READER_S)
        if slow is not None:
            slow.close(CloseReason.SLOW_READER, reset=True)
        return slow is not None

    def _slowest_reader(self, requester: MemoryReservation, since: float) -> ClientConnection | None:
        """The client that has left its response unread for longest, and at least since then."""
        readers = [
            client
            for client in self._clients
            if client.memory.kind is MemoryKind.UNSENT and client.memory is not requester
        ]
        slowest = min(readers, key=lambda client: client.writing_since, default=None)
        return slowest if slowest is not None and slowest.writing_since <= since else None

    def on_closed(self, client: ClientConnection, reason: CloseReason | None) -> None:
        """Called when a connection is closed (see `ConnectionManager`)."""
        if reason is not None:
            self.closed[reason] += 1
            log.debug("connection closed: %s; its last request: %s", reason.value, client.trace_id)
        if self.gate is not None:
            self.gate.ended(client)
        self._clients.pop(client, None)
        self.read_scheduler.discard(client)
        self.on_busy(client)
        if not self._clients:
            self._no_clients.set()
        self._listener.resume()

    # --- events of connections ------------------------------------------------------------------

    def on_idle(self, client: ClientConnection) -> None:
        """Add a connection without a request in progress to the idle ones, as the most recent.

        If more connections are idle than allowed, the one that has been idle for longest is closed. Guards
        against clients that send one request and keep their connection: they could hold all connections, and no
        other client would get one until their idle timeouts. Catches any client pool that is larger than its
        traffic needs. Costs clients that rotate over more connections than may be idle a reconnect now and then;
        a request that crosses the close has to be sent again by the client, as the protocol says.
        """
        if client not in self._clients:
            return
        idle = self._eviction.idle
        idle[client] = None
        if len(idle) > self._idle_limit or len(self._clients) > self._limit:
            oldest = next((c for c in islice(idle, IDLE_CANDIDATES) if c.silent()), None)
            if oldest is not None:
                oldest.close(CloseReason.IDLE_LIMIT)
        self._listener.resume()

    def on_lingering(self, client: ClientConnection) -> None:
        """Make a connection that has had its last response the first to be evicted.

        Guards against clients that do not close their side: each would occupy a connection for the whole linger
        timeout.
        """
        self.on_busy(client)
        if client in self._clients:
            self._eviction.lingering[client] = None
            self._listener.resume()

    def claim(self, trace_id: bytes) -> bool:
        """Register a request id as open; returns False if it is already in use."""
        if not self._ids.claim(trace_id, asyncio.get_running_loop().time()):
            return False
        return self._claims is None or self._claims.claim(trace_id)

    def remember(self, trace_id: bytes) -> None:
        """Called when the request with this id may have run, and must not run again."""
        self._ids.remember(trace_id, asyncio.get_running_loop().time())

    def release(self, trace_id: bytes) -> None:
        """Called when the request with this id has finished."""
        if self._claims is not None:
            self._claims.release(trace_id)

    # --- drain and shutdown ---------------------------------------------------------------------

    @property
    def state(self) -> str:
        """The drain stage as shown to operators: serving, draining or drained."""
        return self.drain_stage.public_name

    def start_drain(self, within_s: float | None = None) -> None:
        """Start to drain, as ordered by an operator: no connection or request is left after `within_s` seconds.
        The drain takes at least the longest request deadline and a margin (see `DrainStage`)."""
        if self.drain_stage.drain(asyncio.get_running_loop().time(), within_s, self._longest_deadline_s):
            self._close_silent_except_new()
            self._schedule_next_stage()

    def start_drained(self) -> None:
        """Refuse all requests from the start, until `resume` is called."""
        self.drain_stage.restore()

    def resume(self) -> None:
        """Serve requests again after a drain."""
        if self.drain_stage.resume():
            self._schedule_next_stage()

    def _schedule_next_stage(self) -> None:
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None
        log.info("%s, with %d connections", self.state, len(self._clients))
        change_at = self.drain_stage.next_change_at()
        if change_at is not None:
            self._drain_timer = asyncio.get_running_loop().call_at(change_at, self._advance_stage)

    def _advance_stage(self) -> None:
        if self.drain_stage.advance(asyncio.get_running_loop().time()):
            self._close_silent_except_new()
            if self.drain_stage.stage is Stage.DRAINED:
                self._close_all_except_new()
        self._schedule_next_stage()

    def _close_silent_except_new(self) -> None:
        """Close all connections on which no request has started, except new ones in their grace period: clients
        retry a request that crosses the close of an idle connection, but not the first request on a new one."""
        now = asyncio.get_running_loop().time()
        in_grace = [client for client in self._eviction.fresh if client.started_at > now - FIRST_REQUEST_GRACE_S]
        for client in in_grace:
            client.expect_request_within(FIRST_REQUEST_GRACE_S)
        self._close_silent(self._eviction.fresh.keys() - in_grace, self._eviction.idle)

    def _close_all_except_new(self) -> None:
        """Close what is left at the end of a drain: connections with a partial request or with a response that
        the client does not read. New connections are refused like all later ones."""
        for client in list(self._clients):
            if client in self._eviction.fresh:
                client.reject_incomplete_request()
            else:
                client.close(CloseReason.SHUTDOWN)

    async def shut_down(self, within_s: float, accept: bool = True) -> None:
        """Finish the accepted requests and close all connections within `within_s` seconds. New connections are
        accepted and served for a while, unless other processes go on accepting at the same address
        (`accept=False`)."""
        began = asyncio.get_running_loop().time()
        times = times_within(within_s)
        answered_by, closed_by = began + times.answered_s, began + times.closed_s
        self.drain_stage.start_shutdown()
        if self._drain_timer is not None:
            self._drain_timer.cancel()
        self.sidecar.shut_down_by(answered_by)
        # Idle connections are closed early: a client whose request crosses the close retries it and finds the
        # listener open. New connections are kept, since their first request is on its way.
        self._close_silent(self._eviction.idle)
        if accept:
            await asyncio.sleep(times.accepting_s)
            await self._accept_backlog(answered_by)
        self.stop_accepting()
        self._log_open("the listener is closed")
        await self._wait_all_closed(began + times.accepting_s + IN_FLIGHT_TIMEOUT_S)
        # A request that has started may still be completed: once its last byte is written, a response is owed.
        self._close_silent(self._eviction.fresh, self._eviction.idle)
        await self._wait_all_closed(answered_by)
        self._close_silent(self._eviction.fresh, self._eviction.idle)
        self._log_open("incomplete requests are rejected")
        for client in list(self._clients):
            client.reject_incomplete_request()
        await self._wait_all_closed(closed_by)
        self._close_remaining()

    def _log_open(self, step: str) -> None:
        """Log the open connections by phase."""
        if self._clients:
            phases = Counter(client.phase.name.lower() for client in self._clients)
            log.info("drain: %s: %s", step, ", ".join(f"{count} {name}" for name, count in phases.items()))

    async def _accept_backlog(self, deadline: float) -> None:
        """Accept the connections that wait in the backlog, as room becomes free: the kernel has accepted them."""
        loop = asyncio.get_running_loop()
        while (result := self._accept_one()) is not NONE_WAITING and loop.time() < deadline:
            # Always yield to the event loop: an accept that keeps failing must not block the pending responses.
            await asyncio.sleep(0 if result is ACCEPTED else ACCEPT_PAUSE_S)

    async def _wait_all_closed(self, deadline: float) -> None:
        """Wait until no client is connected, or until this time on the event loop's clock."""
        if not self._clients:
            return
        self._no_clients.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await self._no_clients.wait()

    def _close_remaining(self) -> None:
        """Close all remaining connections."""
        if self._clients:
            log.warning("drain: %d connections cut off", len(self._clients))
        for client in list(self._clients):
            if client.awaiting_response:
                name = client.trace_id.decode("latin-1")
                self.sidecar.violations.report(Invariant.ENDED_OWING, name, "no answer when the process ended")
            client.close(CloseReason.SHUTDOWN, reset=client not in self._eviction.lingering)

    def _close_silent(self, *groups: Iterable[ClientConnection]) -> None:
        """Close the connections of these groups on which no request has started."""
        for client in [client for group in groups for client in group]:
            if client.silent():
                client.close(CloseReason.SHUTDOWN)
