"""Establishes one connection to a server."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from covetally.interface import AttemptStatus
from covetally.net.server import ConnectionPool, Server
from covetally.net.stream import create_tcp_socket, tcp_info
from covetally.net.timer_wheel import Timer


class Connector:
    """Establishes one connection, within the connect timeout of the pool.

    Calls `on_connected` once `sock` is connected, or `on_failed` with the status that the failure proves; one of
    them, once, possibly from within `start`, and none after `close`. The socket belongs to the connector until
    the owner drops it after `on_connected`, or calls `close`.
    """

    __slots__ = ("_on_connected", "_on_failed", "_pool", "_server", "_timer", "sock")

    def __init__(
        self, pool: ConnectionPool, server: Server, on_connected: Callable[[], None],
        on_failed: Callable[[AttemptStatus], None],
    ) -> None:  # fmt: skip
        self._pool, self._server = pool, server
        self._on_connected, self._on_failed = on_connected, on_failed
        self._timer: Timer | None = None
        self.sock: socket.socket | None = None

    def start(self) -> None:
        """Start to connect."""
        pool, address = self._pool, self._server.address
        if not pool.reserve_connection():
            self._on_failed(AttemptStatus.NOT_SENT)  # this does not indicate a fault of the server
            return
        try:
            self.sock = sock = create_tcp_socket(address)
        except OSError as failure:
            pool.release_connection()
            self._on_failed(pool.classify_connect_error(self._server, failure.errno))
            return
        error = sock.connect_ex(address)
        if error == errno.EINPROGRESS:
            self._await_result(sock)
        elif error:
            self._doubt_if_refused(error)
            self._on_failed(pool.classify_connect_error(self._server, error))
        else:
            self._on_connected()

    def established(self) -> bool:
        """Whether the kernel has established the connection, which the event loop may not know yet."""
        return self.sock is not None and tcp_info(self.sock)[0]

    def close(self) -> None:
        """Close the socket, if there is one, and release its place in the pool."""
        self._cancel_timer()
        if self.sock is not None:
            sock, self.sock = self.sock, None
            self._pool.loop.remove_writer(sock.fileno())
            sock.close()
            self._pool.release_connection()

    def _await_result(self, sock: socket.socket) -> None:
        pool = self._pool
        try:
            pool.loop.add_writer(sock.fileno(), self._on_result)
        except OSError as failure:
            self._on_failed(pool.classify_connect_error(self._server, failure.errno))
            return
        self._timer = pool.wheel.call_at(pool.loop.time() + pool.connect_timeout_s, self._time_out)

    def _on_result(self) -> None:
        """Handle the result of a connect: success or failure."""
        sock = self.sock
        assert sock is not None
        try:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:
            error = 0  # a failed connection shows when the request is written
        if error:
            self._doubt_if_refused(error)
            self._on_failed(AttemptStatus.CONNECT_FAILED)
            return
        self._pool.loop.remove_writer(sock.fileno())
        self._cancel_timer()
        self._on_connected()

    def _time_out(self) -> None:
        """Handle the connect timeout. A connection that the kernel has established is no fault of the server."""
        self._timer = None
        self._on_failed(AttemptStatus.NOT_SENT if self.established() else AttemptStatus.CONNECT_FAILED)

    def _doubt_if_refused(self, error: int) -> None:
        """A refused connect means that no process listens at the address."""
        if error == errno.ECONNREFUSED:
            self._server.doubt(self._pool.loop.time())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
