"""Limits the client connections of each capped tenant at this sidecar. No I/O.

It counts the connections of a tenant, knows which are idle, and chooses the ones to close: idle ones at once,
others after their current response.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from covetally.caps.member import CLIENT, MIN_IDLE_NS, Cap, Usage
from covetally.interface import SECOND

REFUSAL_COUNTS_NS = SECOND // 2  # how long a refusal counts as a wanted connection


class Connection(Protocol):
    """A client connection of the frontend."""

    close_after_response: bool  # it is closed after the response to its current request

    def silent(self) -> bool:
        """Return whether no part of a request has been received."""

    def evict(self) -> None:
        """Close at once, because its tenant may hold fewer connections."""


class ConnectionLimiter:
    """Admits requests of capped tenants up to the number of connections that each may hold.

    `usable` returns how many connections of a tenant may be open now, or None for a tenant without a cap.
    `retry_after_ns` is when a refused client may come back.
    """

    def __init__(self, now: Callable[[], int], usable: Callable[[int], int | None], retry_after_ns: int) -> None:
        self._now, self._usable, self._retry_after_ns = now, usable, retry_after_ns
        self._tenants: dict[Connection, int] = {}  # the tenant of each counted connection
        self._idle_since: dict[int, dict[Connection, int]] = {}  # by tenant, the longest idle first
        self._refusals: dict[int, deque[int]] = {}  # by tenant, the times of refusals
        self.refused = 0
        self.evicted = 0

    def admit(self, connection: Connection, tenant: int) -> int:
        """Return 0 if a request on this connection may be served, else the ns until its client may come back.

        Connections beyond what this sidecar may hold now are closed first.
        """
        limit = self._usable(tenant)
        known = self._tenants.get(connection)
        if known is not None:
            self._idle_since.get(known, {}).pop(connection, None)
            if known != tenant:
                self.ended(connection)  # it counts for the tenant of its latest request
                known = None
        if limit is None:
            return 0
        self.close_surplus(tenant, limit)
        if known is not None:
            # Not idle, but surplus: its unit was recalled while this request was in transit.
            return 0 if not connection.close_after_response else self._refuse(tenant)
        open_ = self._count(tenant)
        if open_ >= limit and not (limit and self._close_idle(tenant, 1, self._now() - MIN_IDLE_NS)):
            return self._refuse(tenant)
        self._tenants[connection] = tenant
        return 0

    def close_surplus(self, tenant: int, limit: int) -> None:
        """Close connections beyond `limit`: the longest idle first, then others after their responses."""
        surplus = self._count(tenant) - limit
        if surplus <= 0:
            return
        surplus -= self._close_idle(tenant, surplus)
        for connection, counted_for in self._tenants.items():
            if surplus <= 0:
                break
            if counted_for == tenant:
                connection.close_after_response = True
                surplus -= 1

    def idle(self, connection: Connection) -> None:
        """Record that a connection has no request in progress."""
        tenant = self._tenants.get(connection)
        if tenant is not None:
            self._idle_since.setdefault(tenant, {})[connection] = self._now()

    def ended(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        tenant = self._tenants.pop(connection, None)
        if tenant is not None:
            self._idle_since.get(tenant, {}).pop(connection, None)

    def usage(self, now: int, cap: Cap) -> Usage:
        """Close the connections that may not be held any more, and return the usage of a client cap."""
        assert cap.kind == CLIENT
        tenant = cap.tenant
        limit = self._usable(tenant)
        if limit is not None:
            self.close_surplus(tenant, limit)
        refusals = self._refusals.get(tenant, deque())
        while refusals and now - refusals[0] >= REFUSAL_COUNTS_NS:
            refusals.popleft()
        idle = [since for since in self._idle_since.get(tenant, {}).values() if now - since >= MIN_IDLE_NS]
        return Usage(self._count(tenant), len(refusals), len(idle), now - idle[0] if idle else 0)

    def _count(self, tenant: int) -> int:
        return sum(counted_for == tenant for counted_for in self._tenants.values())

    def _close_idle(self, tenant: int, count: int, idle_before: int | None = None) -> int:
        """Close up to `count` idle connections, idle since `idle_before` if given; returns how many."""
        closed = 0
        for connection, since in list(self._idle_since.get(tenant, {}).items()):
            if closed >= count or (idle_before is not None and since > idle_before):
                break
            if connection.silent():  # otherwise a request is arriving, which is served
                connection.evict()
                closed += 1
                self.ended(connection)
        self.evicted += closed
        return closed

    def _refuse(self, tenant: int) -> int:
        self.refused += 1
        self._refusals.setdefault(tenant, deque(maxlen=4096)).append(self._now())
        return self._retry_after_ns
