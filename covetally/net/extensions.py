"""Interfaces between the request path and the optional parts of a sidecar, and to other processes that serve the
same address."""

from __future__ import annotations

import socket
from typing import Any, NamedTuple, Protocol

from covetally.net.http_message import HttpResponse, Headers, RequestHead
from covetally.net.outcome import Switch
from covetally.net.sidecar import RequestInfo


class Upgrade(NamedTuple):
    """A request for another protocol as it is forwarded: the headers for the server, the request's attributes for
    the policy, its id, and the check of the server's response. `token` belongs to the handler that created it."""

    headers: Headers
    request_info: RequestInfo
    trace_id: bytes
    token: Any
    switch: Switch


class UpgradeHandler(Protocol):
    """Takes over connections whose clients ask for another protocol."""

    def wants(self, head: RequestHead) -> bool:
        """Return whether it handles a request that has an Upgrade header."""

    def begin(self, head: RequestHead) -> Upgrade:
        """Return the request to forward; raises Malformed if it must not be forwarded."""

    def admit(self, upgrade: Upgrade) -> HttpResponse | None:
        """Return None if a connection limit leaves room for the request, else the refusal."""

    def declined(self, upgrade: Upgrade, answer: HttpResponse | None) -> None:
        """Called when the request got another answer than 101, or None if its client has left."""

    def switched(self, upgrade: Upgrade, client: tuple[socket.socket, bytes], answer: HttpResponse) -> None:
        """Take over both connections after a server has agreed. `client` is the client's socket, with the bytes
        that the client sent early."""


class ConnectionLimiter(Protocol):
    """Limits tenants' connections (covetally/caps/connection_limiter.py)."""

    def admit(self, connection: Any, tenant: int) -> int:
        """Return 0 if a request on the connection may be served, else how many ns later its client may retry."""

    def idle(self, connection: Any) -> None:
        """Called when the connection has no request in progress any more."""

    def ended(self, connection: Any) -> None:
        """Called when the connection is closed."""


class Claims(Protocol):
    """The ids of requests that are open in any of the processes that serve one address."""

    def claim(self, trace_id: bytes) -> bool:
        """Claim an id for this process; returns False if another process has a request open under it."""

    def release(self, trace_id: bytes) -> None:
        """Release an id after its request is finished."""
