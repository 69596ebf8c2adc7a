"""Chooses the client connection to close when room is needed for a new one. No I/O.

In this order:
1. a connection that lingers after its last response
2. the oldest connection that has sent nothing yet, once its grace period for a first request is over
3. the connection that stopped in the middle of a request for longest, once nothing has arrived for STALLED_S
4. the connection that has been idle between requests for longest, unless a connection of 2 is still in its grace
   period
5. the connection whose request arrives most slowly, of those that take longer than SLOW_REQUEST_S, or than
   LONG_REQUEST_S if the request still arrives at MIN_RATE or more
Never a connection whose request was accepted, or one with unread input.

Clients that stop in the middle of a request, and clients that keep it alive with a byte now and then, hold a
connection for these times at most while others need it. A client on a slow path goes on sending more than they
do, so it is chosen after them.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from itertools import chain
from typing import TYPE_CHECKING

from covetally.net.memory import MemoryKind, MemoryReservation

if TYPE_CHECKING:
    from covetally.net.client_connection import ClientConnection

# How long a new connection is kept for its first request before it may be evicted; others wait in the listener's
# backlog meanwhile. The time that it waited there itself counts, so a burst of connections delays others only
# once.
FIRST_REQUEST_GRACE_S = 0.05
STALLED_S = 0.1  # a partial request to which nothing was added for so long may be evicted,
SLOW_REQUEST_S = 0.3  # one that takes longer than this to arrive,
LONG_REQUEST_S = 0.6  # and one that takes longer than this at a rate that a slow path has
MIN_RATE = 500.0  # bytes per second: a lower rate is that of a client that only keeps its connection alive


class EvictionOrder:
    """The connections without an accepted request, each group ordered by age. Times are seconds on the event
    loop's clock."""

    def __init__(self) -> None:
        self.fresh: dict[ClientConnection, None] = {}  # have not completed a first request
        self.idle: dict[ClientConnection, None] = {}  # between two requests
        self.lingering: dict[ClientConnection, None] = {}  # had their last response; the client may still send
        # Those of `fresh` and `idle` that have sent a part of a request, by the time of the last part.
        self._receiving: dict[ClientConnection, None] = {}

    def discard(self, client: ClientConnection) -> None:
        """Remove a connection that is closed or has a request in progress, so that it is not evicted."""
        self.fresh.pop(client, None)
        self.idle.pop(client, None)
        self.lingering.pop(client, None)
        self._receiving.pop(client, None)

    def on_part(self, client: ClientConnection) -> None:
        """Record that a further part of a request has arrived on a connection of `fresh` or `idle`."""
        self._receiving.pop(client, None)
        self._receiving[client] = None

    def choose(self, now: float) -> ClientConnection | None:
        """The connection to close; None if none may be closed now."""
        for client in self.lingering:
            return client
        silent = self._oldest_silent()
        if silent is not None and silent.started_at <= now - FIRST_REQUEST_GRACE_S:
            return silent
        stalled = next(self._stalled(now - STALLED_S), None)
        if stalled is not None:
            return stalled
        if silent is not None:
            return None
        idle = next((client for client in self.idle if client.silent()), None)
        return idle or min(self._slow(now), key=lambda client: client.receive_rate(now), default=None)

    def choose_for_memory(
        self, requester: MemoryReservation, kind: MemoryKind, size: int
    ) -> ClientConnection | None:
        """The connection to reject because memory is needed for a holder that will have `size` bytes: the one
        whose incomplete request holds most. For another incomplete request it has to hold more than that one."""
        held = (
            client
            for client in chain(self.fresh, self.idle)
            if client.memory.kind is MemoryKind.INCOMPLETE and client.memory is not requester
        )
        largest = max(held, key=lambda client: client.memory.size, default=None)
        if largest is None or (kind is MemoryKind.INCOMPLETE and largest.memory.size <= size):
            return None
        return largest

    def next_at(self, now: float) -> float:
        """When the next connection may be evicted if nothing arrives, or a time in the past if one has unread
        input; infinite if there is none."""
        silent = self._oldest_silent()
        grace_ends_at = silent.started_at + FIRST_REQUEST_GRACE_S if silent is not None else math.inf
        first = next(iter(self._receiving), None)
        stalled_at = first.last_input_at + STALLED_S if first is not None else math.inf
        slow_at = min((_slow_at(client, now) for client in self._receiving), default=math.inf)
        return min(grace_ends_at, stalled_at, slow_at)

    def _oldest_silent(self) -> ClientConnection | None:
        return next((client for client in self.fresh if client.silent()), None)

    def _stalled(self, since: float) -> Iterator[ClientConnection]:
        for client in self._receiving:
            if client.last_input_at > since:
                return
            if not client.has_unread_input():
                yield client

    def _slow(self, now: float) -> Iterator[ClientConnection]:
        for client in self._receiving:
            if _slow_at(client, now) <= now and not client.has_unread_input():
                yield client


def _slow_at(client: ClientConnection, now: float) -> float:
    """When a partial request counts as slow, by its rate until `now`."""
    return client.started_at + (SLOW_REQUEST_S if client.receive_rate(now) < MIN_RATE else LONG_REQUEST_S)
