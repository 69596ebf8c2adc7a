"""Which client's connection is closed when room is needed for another. No I/O of its own.

1. one that has had its last answer and lingers
2. the oldest that has said nothing yet, once it has had the moment that a request takes to come
3. the one that has been idle between requests for longest
4. one that takes long to send a request
never: one whose request was taken, or whose bytes wait unread
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from covetally.net.client_connection import ClientConnection

# A client is given so long from its connection on to send, before it may be closed for others, which wait in the
# listener's backlog meanwhile. The time that it has waited there itself counts: a crowd holds others up once.
NEWCOMER_S = 0.05
HALF_SENT_OLD_S = 0.3  # a request that takes longer to come makes room for others when there is none


class EvictionOrder:
    """The connections with no request taken, each group in the order of coming. Times are the loop's, in s."""

    def __init__(self) -> None:
        self.fresh: dict[ClientConnection, None] = {}  # never finished a request
        self.idle: dict[ClientConnection, None] = {}  # between two requests
        self.lingering: dict[ClientConnection, None] = {}  # had a last answer, and may send on

    def discard(self, client: ClientConnection) -> None:
        """It is closed, or has a request under way: it must not be closed for others."""
        self.fresh.pop(client, None)
        self.idle.pop(client, None)
        self.lingering.pop(client, None)

    def choose(self, now: float) -> ClientConnection | None:
        """The connection to close; None if there is none to be closed now."""
        for client in self.lingering:
            return client
        newcomer = self._newcomer()
        if newcomer is not None:
            return newcomer if newcomer.started_at <= now - NEWCOMER_S else None
        resting = next((client for client in self.idle if client.silent()), None)
        return resting or next(self._slow(now - HALF_SENT_OLD_S), None)

    def due(self) -> float | None:
        """When the connection may be closed that `choose` spares for having just come; None if there is none."""
        newcomer = self._newcomer()
        return newcomer.started_at + NEWCOMER_S if newcomer is not None else None

    def _newcomer(self) -> ClientConnection | None:
        return next((client for client in self.fresh if client.silent()), None)

    def _slow(self, before: float) -> Iterator[ClientConnection]:
        for group in (self.fresh, self.idle):
            yield from (client for client in group if client.request_started and client.started_at < before)
