"""The listening socket: when it is watched for waiting connections, and what became of an accept.

    state     meaning                                                     next state
    --------  ----------------------------------------------------------  ----------------------------------
    WATCHING  `on_ready` is called while connections wait                 PAUSED, CLOSED
    PAUSED    connections wait in the backlog, until `resume` is called   WATCHING, CLOSED
              or a timer fires, whichever comes first
    CLOSED    no more connections are accepted                            none

`pause` is the only way into PAUSED and needs the time of its end, so there is no pause without one.
"""

from __future__ import annotations

import asyncio
import enum
import logging
import socket
from collections.abc import Callable

from covetally.net.system_errors import RETRY_ACCEPT_ERRORS

log = logging.getLogger(__name__)

ACCEPT_PAUSE_S = 0.02  # before the next accept if the process or the machine is out of file descriptors
RECEIVE_BUFFER = 64 * 1024  # of the kernel, for each connection; unread requests in it already count as accepted


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


class Listener:
    """A listening socket that is watched by the running event loop. Times are seconds on the loop's clock."""

    def __init__(self, sock: socket.socket, on_ready: Callable[[], None]) -> None:
        self._sock = sock
        self._on_ready = on_ready
        self._loop = asyncio.get_running_loop()
        self._watching = False
        self._timer: asyncio.TimerHandle | None = None  # ends a pause
        self.resume()

    @property
    def address(self) -> tuple[str, int]:
        """The address of the socket."""
        return self._sock.getsockname()

    @property
    def closed(self) -> bool:
        """Whether the socket is closed."""
        return self._sock.fileno() < 0

    def accept(self) -> socket.socket | AcceptResult:
        """Accept one connection; returns its socket, or why there is none."""
        try:
            return self._sock.accept()[0]
        except BlockingIOError:
            return AcceptResult.NONE_WAITING
        except OSError as error:
            if error.errno in RETRY_ACCEPT_ERRORS:
                return AcceptResult.FAILED
            log.warning("cannot accept: %s", error)
            return AcceptResult.NO_ROOM

    def resume(self) -> None:
        """Watch the socket again, or retry shortly if the system has no resources for that."""
        if self._watching or self.closed:
            return
        self._cancel_timer()
        try:
            self._loop.add_reader(self._sock, self._on_ready)
        except OSError as error:
            log.warning("cannot register the listener: %s", error)
            self._timer = self._loop.call_later(ACCEPT_PAUSE_S, self.resume)
        else:
            self._watching = True

    def pause(self, until: float) -> None:
        """Leave waiting connections in the backlog until then at most."""
        if self.closed:
            return
        self._cancel_timer()
        self._timer = self._loop.call_at(until, self.resume)
        if self._watching:
            self._watching = False
            self._loop.remove_reader(self._sock)

    def stalled(self) -> bool:
        """Whether the socket is neither watched nor closed, and nothing is scheduled that will change it."""
        return not (self._watching or self.closed or self._timer is not None)

    def close(self) -> None:
        """Close the socket. The kernel resets connections that wait in the backlog."""
        self._cancel_timer()
        if self._watching:
            self._watching = False
            self._loop.remove_reader(self._sock)
        self._sock.close()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
