"""What stands beside the request path, as that knows it: parts that an operator may ask for, and other processes
at the same address."""

from __future__ import annotations

import socket
from typing import Any, NamedTuple, Protocol

from covetally.net.http_message import HttpResponse, Headers, RequestHead
from covetally.net.outcome import Switch
from covetally.net.sidecar import Arrival


class Upgrade(NamedTuple):
    """A request for another protocol as it is to go on: headers for the server, what the module is told, its id,
    and what the answer has to be. `token` is for whoever made it."""

    headers: Headers
    arrival: Arrival
    trace_id: bytes
    token: Any
    switch: Switch


class Upgrades(Protocol):
    """Takes over connections whose clients want another protocol."""

    def wants(self, head: RequestHead) -> bool:
        """Whether a request with an Upgrade is one of those."""

    def begin(self, head: RequestHead) -> Upgrade:
        """How it is to go on; Malformed if it must not."""

    def admit(self, upgrade: Upgrade) -> HttpResponse | None:
        """Whether there is a place for it; else the refusal."""

    def declined(self, upgrade: Upgrade, answer: HttpResponse | None) -> None:
        """It has had another answer than 101, or its client has left (None)."""

    def switched(self, upgrade: Upgrade, client: tuple[socket.socket, bytes], answer: HttpResponse) -> None:
        """A server has agreed. Both connections are given away, with what came early on the client's."""


class Gate(Protocol):
    """What bounds tenants' connections (covetally/caps/connection_limiter.py)."""

    def admit(self, connection: Any, tenant: int) -> int:
        """0 if a request on it may be served, else after how many ns its client may come back."""

    def idle(self, connection: Any) -> None:
        """It has no request under way any more."""

    def ended(self, connection: Any) -> None:
        """It is closed."""


class Claims(Protocol):
    """The ids of requests that are open in any of several processes at one address."""

    def claim(self, trace_id: bytes) -> bool:
        """Whether no other process has it open; from now on this one has."""

    def release(self, trace_id: bytes) -> None:
        """It is not open here any more."""
