"""The client connections of each capped tenant at this sidecar: which count, which rest, which have to go. No
I/O: a connection is told to close, or to close after its answer."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from covetally.caps.member import CLIENT, RESTS_NS, Cap, Use
from covetally.interface import SECOND

WANTED_NS = SECOND // 2  # a refusal counts as a connection wanted for so long


class Connection(Protocol):
    """A client's connection, as the frontend has it."""

    surplus: bool  # it is closed after the answer that it is owed

    def silent(self) -> bool:
        """Whether nothing of a request has come."""

    def evict(self) -> None:
        """Close at once, because its tenant may hold fewer connections."""


class Gate:
    """`usable` tells how many connections of a capped tenant may be open now; None where it has no cap."""

    def __init__(self, now: Callable[[], int], usable: Callable[[int], int | None], come_back_ns: int) -> None:
        self._now, self._usable, self._come_back_ns = now, usable, come_back_ns
        self._of: dict[Connection, int] = {}  # the tenant of each connection that counts
        self._resting: dict[int, dict[Connection, int]] = {}  # by tenant, the longest first
        self._refused: dict[int, deque[int]] = {}
        self.refused = 0
        self.closed = 0

    def admit(self, connection: Connection, tenant: int) -> int:
        """A request has come on a connection: 0 if it may be served, else after how many ns its client may come
        back. Whatever this sidecar may not hold any more goes first."""
        most = self._usable(tenant)
        known = self._of.get(connection)
        if known is not None:
            self._resting.get(known, {}).pop(connection, None)
            if known != tenant:
                self.ended(connection)  # it belongs to whoever it serves now
                known = None
        if most is None:
            return 0
        self.shed(tenant, most)
        if known is not None:
            # One too many, and not resting: it was asked for back while this request was on its way.
            return 0 if not connection.surplus else self._refuse(tenant)
        open_ = self._count(tenant)
        if open_ >= most and not (most and self._close_resting(tenant, 1, self._now() - RESTS_NS)):
            return self._refuse(tenant)
        self._of[connection] = tenant
        return 0

    def shed(self, tenant: int, most: int) -> None:
        """Close what is beyond `most`: what rests, the longest first; the others after their answers."""
        over = self._count(tenant) - most
        if over <= 0:
            return
        over -= self._close_resting(tenant, over)
        for connection, of in self._of.items():
            if over <= 0:
                break
            if of == tenant:
                connection.surplus = True
                over -= 1

    def idle(self, connection: Connection) -> None:
        """It has no request under way any more."""
        tenant = self._of.get(connection)
        if tenant is not None:
            self._resting.setdefault(tenant, {})[connection] = self._now()

    def ended(self, connection: Connection) -> None:
        """It is closed."""
        tenant = self._of.pop(connection, None)
        if tenant is not None:
            self._resting.get(tenant, {}).pop(connection, None)

    def look(self, now: int, cap: Cap) -> Use:
        """What is used of a cap on client connections; closes what may not be held any more."""
        assert cap.kind == CLIENT
        tenant = cap.tenant
        most = self._usable(tenant)
        if most is not None:
            self.shed(tenant, most)
        refused = self._refused.get(tenant, deque())
        while refused and now - refused[0] >= WANTED_NS:
            refused.popleft()
        rested = [since for since in self._resting.get(tenant, {}).values() if now - since >= RESTS_NS]
        return Use(self._count(tenant), len(refused), len(rested), now - rested[0] if rested else 0)

    def _count(self, tenant: int) -> int:
        return sum(of == tenant for of in self._of.values())

    def _close_resting(self, tenant: int, count: int, before: int | None = None) -> int:
        closed = 0
        for connection, since in list(self._resting.get(tenant, {}).items()):
            if closed >= count or (before is not None and since > before):
                break
            if connection.silent():  # else a request is on its way: it is served
                connection.evict()
                closed += 1
                self.ended(connection)
        self.closed += closed
        return closed

    def _refuse(self, tenant: int) -> int:
        self.refused += 1
        self._refused.setdefault(tenant, deque(maxlen=4096)).append(self._now())
        return self._come_back_ns
