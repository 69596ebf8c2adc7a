"""The client side of the sidecar: listener, connection limits, eviction, drain and shutdown of client
connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import logging
import socket
from collections import Counter
from collections.abc import Iterable
from itertools import islice

from covetally.interface import SECOND, Settings
from covetally.net.budget import BodyBudget
from covetally.net.client_connection import IN_FLIGHT_TIMEOUT_S, ClientConnection
from covetally.net.close_reason import CloseReason
from covetally.net.drain_stage import DrainStage, Stage
from covetally.net.eviction import FIRST_REQUEST_GRACE_S, EvictionOrder
from covetally.net.request_validation import RequestValidator
from covetally.net.recent_ids import RecentIds
from covetally.net.invariants import Invariant
from covetally.net.extensions import Claims, ConnectionLimiter, UpgradeHandler
from covetally.net.shutdown_times import times_within
from covetally.net.sidecar import Sidecar
from covetally.net.stream import tcp_info
from covetally.net.system_errors import RETRY_ACCEPT_ERRORS
from covetally.net.read_scheduler import ReadScheduler

log = logging.getLogger(__name__)

# Share of the connection limit that is accepted in one go: connections evicted for new ones close only
# afterwards.
ACCEPT_BURST = 1 / 16
ACCEPT_PAUSE_S = 0.02  # before the next accept if the process or the machine is out of file descriptors
REGISTER_ATTEMPTS = 50  # attempts to register an accepted socket with the event loop, ACCEPT_PAUSE_S apart
RECEIVE_BUFFER = 64 * 1024  # of the kernel, for each connection; unread requests in it already count as accepted
MAX_IDLE_SHARE = 1 / 4  # share of the connection limit that may be idle between requests
IDLE_CANDIDATES = 8  # idle connections examined for one that may be closed


def create_listener(address: tuple[str, int], backlog: int = 4096) -> socket.socket:
    """Create a listening socket; OSError if the address is not available. Accepted connections inherit the socket
    options."""
    listener = socket.create_server(address, backlog=backlog)
    listener.setblocking(False)
    try:
        # With a large receive buffer, requests would count as accepted long before they are read.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        # Without TCP_NODELAY the kernel delays a last small segment until the previous data is acknowledged,
        # which the peer may put off by 40 ms.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        listener.close()
        raise
    return listener


class AcceptResult(enum.Enum):
    """The result of trying to accept one connection."""

    ACCEPTED = enum.auto()  # one was accepted, and more may be waiting
    NONE_WAITING = enum.auto()
    NO_ROOM = enum.auto()  # some may be waiting, but none can be accepted now
    FAILED = enum.auto()  # the next accept may succeed: one client has gone, or the call failed temporarily


ACCEPTED, NONE_WAITING, NO_ROOM, FAILED = AcceptResult


class Frontend:
    """Accepts client connections within a limit and manages them until they are closed. Implements
    `ConnectionManager`."""

    def __init__(self, settings: Settings, sidecar: Sidecar, limit: int, body_memory: int) -> None:
        self.sidecar = sidecar
        self.wheel = sidecar.wheel
        self.budget = BodyBudget(body_memory)
        self.drain_stage = DrainStage()
        self._drain_timer: asyncio.TimerHandle | None = None  # for the next stage of an operator's drain
        self.closed: Counter[CloseReason] = Counter()  # closed connections by reason
        self.gate: ConnectionLimiter | None = None  # enforces connection caps of tenants, if configured
        self.retune(settings, limit, body_memory)
        self._clients: dict[ClientConnection, None] = {}
        self._eviction = EvictionOrder()
        self.on_busy = self._eviction.discard  # see `ConnectionManager.on_busy`
        self._grace_timer: asyncio.TimerHandle | None = None  # fires when a new connection may be evicted
        self._ids = RecentIds(max(c.deadline_ns for c in settings.classes) / SECOND)
        self._listener: socket.socket
        self._claims: Claims | None = None
        self._accepting = False
        self._no_clients = asyncio.Event()
        self.shed_requests = 0  # requests refused without being parsed
        self.upgrades: UpgradeHandler | None = None
        self.read_scheduler = ReadScheduler(sidecar)

    def retune(self, settings: Settings, limit: int, body_memory: int) -> None:
        """Apply new settings and limits. If the connection limit is lowered, excess connections are closed once
        they are idle, not earlier."""
        self.request_validator = RequestValidator(settings)
        self._longest_deadline_s = max(cls.deadline_ns for cls in settings.classes) / SECOND
        self.refusal_ns = settings.limits.max_retry_after_ns if settings.limits.retry_after else 0
        self.budget.resize(body_memory)
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
        self._listener, self._claims = listener, claims
        self._resume_accepting()
        return listener.getsockname()

    def _resume_accepting(self) -> None:
        if self._accepting or self._listener.fileno() < 0:
            return
        loop = asyncio.get_running_loop()
        try:
            loop.add_reader(self._listener, self._accept)
        except OSError as error:
            log.warning("cannot register the listener: %s", error)
            loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)
        else:
            self._accepting = True

    def _pause_accepting(self) -> None:
        self._accepting = False
        asyncio.get_running_loop().remove_reader(self._listener)

    def _accept(self) -> None:
        for number in range(self._accept_burst):
            if number and len(self._clients) >= self._limit:
                return  # evict only once the listener is known to have a connection waiting
            if self._accept_one() in (NONE_WAITING, NO_ROOM):
                return

    def _accept_one(self) -> AcceptResult:
        """Accept one connection, if one is waiting and there is room for it."""
        if len(self._clients) >= self._limit and not self._evict():
            # Room is made by the next request that finishes, or when the grace period of a new connection ends.
            self._pause_accepting()
            self._resume_after_grace()
            return NO_ROOM
        try:
            sock, _ = self._listener.accept()
        except BlockingIOError:
            return NONE_WAITING
        except OSError as error:
            if error.errno in RETRY_ACCEPT_ERRORS:
                return FAILED
            # The listener stays readable: without a pause the event loop would spin on it and serve nothing else.
            log.warning("cannot accept: %s", error)
            self._evict()
            self._pause_accepting()
            asyncio.get_running_loop().call_later(ACCEPT_PAUSE_S, self._resume_accepting)
            return NO_ROOM
        connected, waited_ns = tcp_info(sock)
        if not connected:
            # Guards against a backlog full of clients that gave up while waiting: serving their requests would
            # delay the clients that are still connected. Catches any burst of clients that connect and leave.
            # Harms clients that half-close their connection and still wait for a response; the protocol treats
            # those as gone, too.
            sock.close()
            return ACCEPTED
        sock.setblocking(False)
        self._start_connection(sock, waited_ns / SECOND, REGISTER_ATTEMPTS)
        return ACCEPTED

    def _start_connection(self, sock: socket.socket, backlog_wait_s: float, attempts_left: int) -> None:
        """Start to serve an accepted connection that has waited in the backlog for `backlog_wait_s`.

        If the event loop cannot register the socket, this is retried after a pause: the kernel has accepted the
        connection, and its client may already have sent a request.
        """
        try:
            client = ClientConnection(self, sock)
            client.started_at -= backlog_wait_s
        except OSError as error:
            log.warning("cannot register a connection: %s", error)
            if attempts_left > 0:
                asyncio.get_running_loop().call_later(
                    ACCEPT_PAUSE_S, self._start_connection, sock, backlog_wait_s, attempts_left - 1
                )
            else:
                sock.close()
            return
        self._eviction.fresh[client] = self._clients[client] = None

    def _resume_after_grace(self) -> None:
        """Resume accepting when the grace period of the oldest silent new connection ends."""
        grace_ends_at = self._eviction.grace_ends_at()
        if self._grace_timer is not None:
            self._grace_timer.cancel()
            self._grace_timer = None
        if grace_ends_at is not None:
            self._grace_timer = asyncio.get_running_loop().call_at(grace_ends_at, self._resume_accepting)

    def _evict(self) -> bool:
        """Close one connection to make room; returns whether there was one that may be closed (see
        `EvictionOrder`)."""
        client = self._eviction.choose(asyncio.get_running_loop().time())
        if client is not None:
            client.close(CloseReason.MADE_ROOM)
        return client is not None

    def on_closed(self, client: ClientConnection, reason: CloseReason | None) -> None:
        """Called when a connection is closed (see `ConnectionManager`)."""
        if reason is not None:
            self.closed[reason] += 1
            log.debug("connection closed: %s; its last request: %s", reason.value, client.trace_id)
        if self.gate is not None:
            self.gate.ended(client)
        self._clients.pop(client, None)
        self.on_busy(client)
        if not self._clients:
            self._no_clients.set()
        self._resume_accepting()

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
        self._resume_accepting()

    def on_lingering(self, client: ClientConnection) -> None:
        """Make a connection that has had its last response the first to be evicted.

        Guards against clients that do not close their side: each would occupy a connection for the whole linger
        timeout.
        """
        self.on_busy(client)
        if client in self._clients:
            self._eviction.lingering[client] = None
            self._resume_accepting()

    def claim(self, trace_id: bytes) -> bool:
        """Register a request id as open; returns False if it is already in use."""
        if not self._ids.claim(trace_id, asyncio.get_running_loop().time()):
            return False
        return self._claims is None or self._claims.claim(trace_id)

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
        self._pause_accepting()
        self._listener.close()
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
