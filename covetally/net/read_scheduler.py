"""Whose turn it is to be read, where a loop is late: what has lain here takes turns with servers' answers."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from covetally.net.close_reason import CloseReason
from covetally.net.sidecar import Sidecar

if TYPE_CHECKING:
    from covetally.net.client_connection import ClientConnection

log = logging.getLogger(__name__)

READ_AT_ONCE_NS = 6_000_000  # what has lain here no longer is read at once,
READ_SLICE_S = 0.01  # and the rest for so long between two looks at the sockets


class ReadScheduler:
    """Connections whose bytes have lain here, in the order of their coming."""

    def __init__(self, sidecar: Sidecar) -> None:
        self._sidecar = sidecar
        self._waiting: dict[ClientConnection, None] = {}

    def may_read_now(self, client: ClientConnection) -> bool:
        """Whether a client's bytes are to be read now; else its `read_input` is called when its turn comes.

        Guards against a loop that is late and reads all that has come before it looks at the servers' answers:
        each of those waits behind hundreds of new requests, and comes too late in its turn. So what has lain here
        is read for READ_SLICE_S between two looks at the sockets, in order of its coming; under overload the
        newest too, since the oldest will be refused. It costs a request that waited a turn of the loop more.
        """
        if not self._waiting and time.monotonic_ns() - client.stream.received_at < READ_AT_ONCE_NS:
            return True
        if client not in self._waiting:
            self._waiting[client] = None
            if len(self._waiting) == 1:
                asyncio.get_running_loop().call_soon(self._take)
        return False

    def _take(self) -> None:
        loop, waiting = asyncio.get_running_loop(), self._waiting
        start = at = loop.time()
        ahead = 0.0  # time spent on the newest, less that on the oldest
        while waiting and at < start + READ_SLICE_S:
            newest = ahead <= 0.0 and self._sidecar.shedding and self._newest_first()
            client = next(reversed(waiting)) if newest else next(iter(waiting))
            del waiting[client]
            try:
                client.read_input()
            except Exception:  # a bug costs the connection at hand, and keeps no other from its turn
                log.exception("a connection failed by a bug")
                client.close(CloseReason.BUG)
            now = loop.time()
            ahead += now - at if newest else at - now
            at = now
        if waiting:
            loop.call_soon(self._take)

    def _newest_first(self) -> bool:
        """Under overload, whether the newest is served before the oldest is refused.

        Refusing alone can take all there is, so the two get the same time, as long as there is one that need not
        be refused and none has waited for an aim: that one is owed an answer first.
        """
        now, old_ns = time.monotonic_ns(), self._sidecar.old_ns
        oldest, newest = next(iter(self._waiting)), next(reversed(self._waiting))
        return now - newest.stream.received_at < old_ns and now - oldest.stream.received_at < 4 * old_ns
