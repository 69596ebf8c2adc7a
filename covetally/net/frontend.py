"""The application's side: the listener, who is let in and who goes to make room, whose turn it is, the drain."""

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
from covetally.net.eviction import NEWCOMER_S, EvictionOrder
from covetally.net.request_validation import RequestValidator
from covetally.net.recent_ids import RecentIds
from covetally.net.invariants import Invariant
from covetally.net.seams import Claims, Gate, Upgrades
from covetally.net.shutdown_times import times_within
from covetally.net.sidecar import Sidecar
from covetally.net.stream import tcp_info
from covetally.net.system_errors import NEXT_ACCEPT
from covetally.net.read_scheduler import ReadScheduler

log = logging.getLogger(__name__)

ACCEPT_BURST = 1 / 16  # of the connections let in at a time: those put out for them close only afterwards
ACCEPT_PAUSE_S = 0.02  # when the process or the machine has no descriptor left
REGISTER_TRIES = 50  # of watching a connection that was accepted, ACCEPT_PAUSE_S apart
RECEIVE_BUFFER = 64 * 1024  # kernel's, for each connection: what lies there unread is already taken
REST_SHARE = 1 / 4  # of the connections may rest between requests at a time
LOOKS = 8  # at so many resting connections at a time, for one that may be closed


def create_listener(address: tuple[str, int], backlog: int = 4096) -> socket.socket:
    """A listener; OSError if the address cannot be had. What is set here holds for each of its connections."""
    listener = socket.create_server(address, backlog=backlog)
    listener.setblocking(False)
    try:
        # A large one would let requests count as taken that nobody has read.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        # Without it the kernel keeps a last small piece back until what went before is acknowledged, which the
        # peer may put off by 40 ms.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        listener.close()
        raise
    return listener


class AcceptResult(enum.Enum):
    """What a look at the listener came to."""

    ACCEPTED = enum.auto()  # one connection was taken from it, and there may be more
    NONE_WAITING = enum.auto()
    NO_ROOM = enum.auto()  # there may be some, and none can be had now
    FAILED = enum.auto()  # the next may be had: one connection is gone, or the system call failed for a moment


ACCEPTED, NONE_WAITING, NO_ROOM, FAILED = AcceptResult


class Frontend:
    """Lets clients in under a budget of descriptors and sees each connection through."""

    def __init__(self, settings: Settings, sidecar: Sidecar, limit: int, body_memory: int) -> None:
        self.sidecar = sidecar
        self.wheel = sidecar.wheel
        self.budget = BodyBudget(body_memory)
        self.drain_stage = DrainStage()
        self._drain_timer: asyncio.TimerHandle | None = None  # for the next stage of a drain by order
        self.closed: Counter[CloseReason] = Counter()  # connections, by why
        self.gate: Gate | None = None  # caps on tenants' connections, where there are any
        self.retune(settings, limit, body_memory)
        self._clients: dict[ClientConnection, None] = {}
        self._order = EvictionOrder()
        self.on_busy = self._order.discard  # see `ConnectionManager`
        self._room_timer: asyncio.TimerHandle | None = None  # when a newcomer may be closed for the next one
        self._ids = RecentIds(max(c.deadline_ns for c in settings.classes) / SECOND)
        self._listener: socket.socket
        self._claims: Claims | None = None
        self._accepting = False
        self._drained = asyncio.Event()
        self.shed_requests = 0  # requests refused at a glance, unread
        self.upgrades: Upgrades | None = None
        self.read_scheduler = ReadScheduler(sidecar)

    def retune(self, settings: Settings, limit: int, body_memory: int) -> None:
        """Keep to these from here on. Connections beyond a lower limit go as they fall idle, none before."""
        self.request_validator = RequestValidator(settings)
        self._longest_s = max(cls.deadline_ns for cls in settings.classes) / SECOND
        self.refusal_ns = settings.limits.max_retry_after_ns if settings.limits.retry_after else 0
        self.budget.resize(body_memory)
        self._limit = limit
        self._rest_limit = max(1, int(limit * REST_SHARE))
        self._burst = max(8, int(limit * ACCEPT_BURST))

    @property
    def connections(self) -> int:
        """How many clients are connected."""
        return len(self._clients)

    # --- letting in -----------------------------------------------------------------------------

    def start_accepting(self, listener: socket.socket, claims: Claims | None = None) -> tuple[str, int]:
        """Begin to accept at a listener; `claims` knows the ids that others beside this one have open. Returns
        the address."""
        self._listener, self._claims = listener, claims
        self._resume()
        return listener.getsockname()

    def _resume(self) -> None:
        if self._accepting or self._listener.fileno() < 0:
            return
        loop = asyncio.get_running_loop()
        try:
            loop.add_reader(self._listener, self._accept)
        except OSError as error:
            log.warning("cannot wait for connections: %s", error)
            loop.call_later(ACCEPT_PAUSE_S, self._resume)
        else:
            self._accepting = True

    def _pause(self) -> None:
        self._accepting = False
        asyncio.get_running_loop().remove_reader(self._listener)

    def _accept(self) -> None:
        for turn in range(self._burst):
            if turn and len(self._clients) >= self._limit:
                return  # nobody is put out before it is known that somebody waits
            if self._accept_one() in (NONE_WAITING, NO_ROOM):
                return

    def _accept_one(self) -> AcceptResult:
        """Let one connection in, if there is one and room for it."""
        if len(self._clients) >= self._limit and not self._evict():
            self._pause()  # the first request to end makes room, or the first newcomer whose moment is over
            self._resume_for_newcomers()
            return NO_ROOM
        try:
            sock, _ = self._listener.accept()
        except BlockingIOError:
            return NONE_WAITING
        except OSError as error:
            if error.errno in NEXT_ACCEPT:
                return FAILED
            # The listener stays readable: without a pause the loop would spin on it and serve nobody.
            log.warning("cannot accept: %s", error)
            self._evict()
            self._pause()
            asyncio.get_running_loop().call_later(ACCEPT_PAUSE_S, self._resume)
            return NO_ROOM
        up, waited_ns = tcp_info(sock)
        if not up:
            # Guards against a full backlog of clients that gave up while they waited: to read and answer what
            # they sent, which nobody will see, would make those wait who are still there. It ought to catch
            # any crowd that connects and leaves. It does harm to a client that closes its side for writing
            # and still waits for an answer, which the protocol takes for gone as well.
            sock.close()
            return ACCEPTED
        sock.setblocking(False)
        self._begin(sock, waited_ns / SECOND, REGISTER_TRIES)
        return ACCEPTED

    def _begin(self, sock: socket.socket, waited_s: float, tries: int) -> None:
        """See an accepted connection through, which waited so long in the backlog.

        Where the system cannot watch it now, it is tried again shortly: the machine has taken it, and its client
        may have sent a request already.
        """
        try:
            client = ClientConnection(self, sock)
            client.started_at -= waited_s
        except OSError as error:
            log.warning("cannot watch a connection: %s", error)
            if tries > 0:
                asyncio.get_running_loop().call_later(ACCEPT_PAUSE_S, self._begin, sock, waited_s, tries - 1)
            else:
                sock.close()
            return
        self._order.fresh[client] = self._clients[client] = None

    def _resume_for_newcomers(self) -> None:
        """Accept again once the oldest newcomer has had its moment to send."""
        due = self._order.due()
        if self._room_timer is not None:
            self._room_timer.cancel()
            self._room_timer = None
        if due is not None:
            self._room_timer = asyncio.get_running_loop().call_at(due, self._resume)

    def _evict(self) -> bool:
        """Make room by one connection; whether there was one to close (see `EvictionOrder`)."""
        client = self._order.choose(asyncio.get_running_loop().time())
        if client is not None:
            client.close(CloseReason.MADE_ROOM)
        return client is not None

    def on_closed(self, client: ClientConnection, reason: CloseReason | None) -> None:
        """Its connection is closed (see `ConnectionManager`)."""
        if reason is not None:
            self.closed[reason] += 1
            log.debug("connection closed: %s; its last request: %s", reason.value, client.trace_id)
        if self.gate is not None:
            self.gate.ended(client)
        self._clients.pop(client, None)
        self.on_busy(client)
        if not self._clients:
            self._drained.set()
        self._resume()

    # --- what connections tell ------------------------------------------------------------------

    def on_idle(self, client: ClientConnection) -> None:
        """It has no request under way any more: last in the order of those that rest.

        Of more than may rest, the one that has rested longest is closed. Guards against clients that ask once
        and keep their connection: they may hold as many as whoever is beside us lets them, and then nobody
        gets a connection until some have rested for as long as they may. It ought to catch any pool that is
        larger than its traffic. It costs clients that use more connections in turn than may rest a new one
        now and then; a request that crosses the close is theirs to send again, as the protocol has it.
        """
        if client not in self._clients:
            return
        idle = self._order.idle
        idle[client] = None
        if len(idle) > self._rest_limit or len(self._clients) > self._limit:
            longest = next((c for c in islice(idle, LOOKS) if c.silent()), None)
            if longest is not None:
                longest.close(CloseReason.IDLE_LIMIT)
        self._resume()

    def on_lingering(self, client: ClientConnection) -> None:
        """It has had its last answer: it goes first when room is needed.

        Guards against clients that leave the closing to us and keep their side open: each would hold a place
        for as long as a closing connection is read from.
        """
        self.on_busy(client)
        if client in self._clients:
            self._order.lingering[client] = None
            self._resume()

    def claim(self, trace_id: bytes) -> bool:
        """Whether this is a new request's id."""
        if not self._ids.claim(trace_id, asyncio.get_running_loop().time()):
            return False
        return self._claims is None or self._claims.claim(trace_id)

    def release(self, trace_id: bytes) -> None:
        """The request of that id is over."""
        if self._claims is not None:
            self._claims.release(trace_id)

    # --- the end --------------------------------------------------------------------------------

    @property
    def state(self) -> str:
        """serving, draining or drained."""
        return self.drain_stage.shown

    def start_drain(self, within_s: float | None = None) -> None:
        """Tell clients to stay away, and hold none of their connections and requests after so many seconds, the
        longest deadline and a margin at least (see `DrainStage`)."""
        if self.drain_stage.drain(asyncio.get_running_loop().time(), within_s, self._longest_s):
            self._close_silent_but_newcomers()
            self._await_stage()

    def start_drained(self) -> None:
        """Refuse whatever comes from the beginning on, until `resume`."""
        self.drain_stage.restore()

    def resume(self) -> None:
        """Serve again."""
        if self.drain_stage.resume():
            self._await_stage()

    def _await_stage(self) -> None:
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None
        log.info("%s, with %d connections", self.state, len(self._clients))
        due = self.drain_stage.due()
        if due is not None:
            self._drain_timer = asyncio.get_running_loop().call_at(due, self._next_stage)

    def _next_stage(self) -> None:
        if self.drain_stage.advance(asyncio.get_running_loop().time()):
            self._close_silent_but_newcomers()
            if self.drain_stage.stage is Stage.DRAINED:
                self._close_all_but_newcomers()
        self._await_stage()

    def _close_silent_but_newcomers(self) -> None:
        """Close who has sent nothing of a request. Whoever has just come is given a moment: a first request that
        crosses a close is lost, where one on a resting connection is sent again."""
        now = asyncio.get_running_loop().time()
        newcomers = [client for client in self._order.fresh if client.started_at > now - NEWCOMER_S]
        for client in newcomers:
            client.expect_request_within(NEWCOMER_S)
        self._close_silent(self._order.fresh.keys() - newcomers, self._order.idle)

    def _close_all_but_newcomers(self) -> None:
        """Close what has outlasted a drain: half a request, an answer that is not taken. Whoever has just come is
        refused like all that come later."""
        for client in list(self._clients):
            if client in self._order.fresh:
                client.reject_incomplete_request()
            else:
                client.close(CloseReason.SHUTDOWN)

    async def shut_down(self, within_s: float, accept: bool = True) -> None:
        """Finish what was taken, and close all connections within this time. New connections go on coming for a
        while and are served too, unless others accept at the same address and go on."""
        began = asyncio.get_running_loop().time()
        times = times_within(within_s)
        answered_by, closed_by = began + times.answered_s, began + times.closed_s
        self.drain_stage.end()
        if self._drain_timer is not None:
            self._drain_timer.cancel()
        self.sidecar.end_by(answered_by)
        # Early: a request that crosses this is sent anew and finds the listener open. Not those that have just
        # come: their first request is on its way.
        self._close_silent(self._order.idle)
        if accept:
            await asyncio.sleep(times.accepting_s)
            await self._accept_backlog(answered_by)
        self._pause()
        self._listener.close()
        self._log_held("the listener is closed")
        await self._all_closed(began + times.accepting_s + IN_FLIGHT_TIMEOUT_S)
        # Who has begun to send may end it: once its last byte is written, an answer is owed.
        self._close_silent(self._order.fresh, self._order.idle)
        await self._all_closed(answered_by)
        self._close_silent(self._order.fresh, self._order.idle)
        self._log_held("whoever has not sent a whole request is turned away")
        for client in list(self._clients):
            client.reject_incomplete_request()
        await self._all_closed(closed_by)
        self._cut_off()

    def _log_held(self, stage: str) -> None:
        """What is still connected, by what each connection is at."""
        if self._clients:
            held = Counter(client.phase.name.lower() for client in self._clients)
            log.info("drain: %s: %s", stage, ", ".join(f"{count} {name}" for name, count in held.items()))

    async def _accept_backlog(self, until: float) -> None:
        """Let in what waits in the backlog, as others make room: this machine has taken it."""
        loop = asyncio.get_running_loop()
        while (found := self._accept_one()) is not NONE_WAITING and loop.time() < until:
            # Always a turn of the loop: an accept that goes on failing must not keep it from what it owes.
            await asyncio.sleep(0 if found is ACCEPTED else ACCEPT_PAUSE_S)

    async def _all_closed(self, until: float) -> None:
        """Wait until no client is connected, but not past that time on the loop's clock."""
        if not self._clients:
            return
        self._drained.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until):
                await self._drained.wait()

    def _cut_off(self) -> None:
        """Close whatever is still connected."""
        if self._clients:
            log.warning("drain: %d connections cut off", len(self._clients))
        for client in list(self._clients):
            if client.awaiting_response:
                name = client.trace_id.decode("latin-1")
                self.sidecar.violations.report(Invariant.ENDED_OWING, name, "no answer when the process ended")
            client.close(CloseReason.SHUTDOWN, reset=client not in self._order.lingering)

    def _close_silent(self, *groups: Iterable[ClientConnection]) -> None:
        """Close who has sent nothing of a request."""
        for client in [client for group in groups for client in group]:
            if client.silent():
                client.close(CloseReason.SHUTDOWN)
