"""Chooses the client connection to close when room is needed for a new one. No I/O.

In this order:
1. a connection that lingers after its last response
2. the oldest connection that has sent nothing yet, once its grace period for a first request is over;
   until then, nothing of 3 and 4 is closed either
3. the connection that has been idle between requests for longest
4. a connection that takes long to send a request
Never a connection whose request was accepted, or one with unread input.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from covetally.net.client_connection import ClientConnection

# How long a new connection is kept for its first request before it may be evicted; others wait in the listener's
# backlog meanwhile. The time that it waited there itself counts, so a burst of connections delays others only
# once.
FIRST_REQUEST_GRACE_S = 0.05
SLOW_REQUEST_S = 0.3  # a request that takes longer to arrive may be evicted


class EvictionOrder:
    """The connections without an accepted request, each group ordered by age. Times are seconds on the event
    loop's clock."""

    def __init__(self) -> None:
        self.fresh: dict[ClientConnection, None] = {}  # have not completed a first request
        self.idle: dict[ClientConnection, None] = {}  # between two requests
        self.lingering: dict[ClientConnection, None] = {}  # had their last response; the client may still send

    def discard(self, client: ClientConnection) -> None:
        """Remove a connection that is closed or has a request in progress, so that it is not evicted."""
        self.fresh.pop(client, None)
        self.idle.pop(client, None)
        self.lingering.pop(client, None)

    def choose(self, now: float) -> ClientConnection | None:
        """The connection to close; None if none may be closed now."""
        for client in self.lingering:
            return client
        silent = self._oldest_silent()
        if silent is not None:
            return silent if silent.started_at <= now - FIRST_REQUEST_GRACE_S else None
        idle = next((client for client in self.idle if client.silent()), None)
        return idle or next(self._slow(now - SLOW_REQUEST_S), None)

    def grace_ends_at(self) -> float | None:
        """When the grace period of the oldest silent new connection ends; None if there is no such connection."""
        silent = self._oldest_silent()
        return silent.started_at + FIRST_REQUEST_GRACE_S if silent is not None else None

    def _oldest_silent(self) -> ClientConnection | None:
        return next((client for client in self.fresh if client.silent()), None)

    def _slow(self, before: float) -> Iterator[ClientConnection]:
        for group in (self.fresh, self.idle):
            yield from (client for client in group if client.request_started and client.started_at < before)
