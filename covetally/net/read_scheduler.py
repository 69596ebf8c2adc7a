"""Schedules the reading of client connections, so that new requests do not delay responses of servers.

This matters when the event loop runs late and finds the input of many connections at once.
"""

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

READ_AT_ONCE_NS = 6_000_000  # input that has waited for less is read at once,
READ_SLICE_S = 0.01  # all other input in slices of this time, with a poll of the sockets after each


class ReadScheduler:
    """A queue of connections with waiting input, in order of arrival."""

    def __init__(self, sidecar: Sidecar) -> None:
        self._sidecar = sidecar
        self._queue: dict[ClientConnection, None] = {}
        self._scheduled = False  # the next slice

    def may_read_now(self, client: ClientConnection) -> bool:
        """Whether the client's input may be read now; if not, `read_input` is called when its turn comes.

        Guards against an event loop that runs late and reads all waiting input before it polls the sockets again:
        each response of a server would wait behind hundreds of new requests and be late. So waiting input is read
        for READ_SLICE_S between two polls, in order of arrival; under overload the newest is read as well, since
        the oldest will be refused. Costs a request that waited one more iteration of the event loop.
        """
        if not self._queue and time.monotonic_ns() - client.stream.received_at < READ_AT_ONCE_NS:
            return True
        if client not in self._queue:
            self._queue[client] = None
            self._schedule()
        return False

    def discard(self, client: ClientConnection) -> None:
        """Forget a connection that is closed."""
        self._queue.pop(client, None)

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._read_slice)

    def _read_slice(self) -> None:
        self._scheduled = False
        loop, queue = asyncio.get_running_loop(), self._queue
        start = at = loop.time()
        balance = 0.0  # time spent on the newest connections, minus that spent on the oldest
        while queue and at < start + READ_SLICE_S:
            newest = balance <= 0.0 and self._sidecar.shedding and self._newest_first()
            client = next(reversed(queue)) if newest else next(iter(queue))
            del queue[client]
            try:
                client.read_input()
            except Exception:  # a bug closes this connection and must not stop the others from being read
                log.exception("a connection failed by a bug")
                client.close(CloseReason.BUG)
            now = loop.time()
            balance += now - at if newest else at - now
            at = now
        if queue:
            self._schedule()

    def _newest_first(self) -> bool:
        """Under overload, whether to read the newest connection before the oldest one is refused.

        Refusals alone can use up all the time, so both get an equal share, as long as the newest request need not
        be refused and the oldest has not waited for a whole aim: that one is owed an answer first.
        """
        now, max_wait_ns = time.monotonic_ns(), self._sidecar.max_wait_ns
        oldest, newest = next(iter(self._queue)), next(reversed(self._queue))
        return now - newest.stream.received_at < max_wait_ns and now - oldest.stream.received_at < 4 * max_wait_ns
