"""The input and the result of an attempt."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from covetally.interface import AttemptStatus
from covetally.net.http_message import HttpResponse, Headers, ResponseHead

Load = Mapping[str, float]
NO_LOAD: Load = {}


class Switch(Protocol):
    """A client's request to switch its connection to another protocol."""

    def check(self, head: ResponseHead) -> None:
        """Raise Malformed if a 101 response does not answer the request."""


def encode_head(method: bytes, target: bytes, headers: Headers) -> bytes:
    """The start line and the headers of a request as they are forwarded, without those that depend on the attempt
    and on the body. One block of bytes takes much less memory than the headers as objects."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [name + b": " + value for name, value in headers if name != b"x-expires-in"]
    lines.append(b"")
    return b"\r\n".join(lines)


class Request(NamedTuple):
    """A client's request as it is forwarded to a server: its head by `encode_head`, and the body unchanged."""

    method: bytes
    head: bytes
    body: bytes
    switch: Switch | None = None

    def encode(self, expires_s: float) -> bytes:
        """Return the bytes for an attempt that is given up after `expires_s`."""
        expires = b"x-expires-in: %.3f\r\n" % expires_s
        length = b"content-length: %d\r\n" % len(self.body) if self.body or self.method != b"GET" else b""
        return b"".join((self.head, expires, length, b"\r\n", self.body))


class AttemptLimits(NamedTuple):
    """The conditions under which an attempt may start and continue.

    The attempt is given up at `abandon_ns`. It does not start after `begin_by_ns` (0: no such limit), nor once
    `client_connected` returns False, nor with `confirmed_only` where the server is not confirmed to be the one on
    the list (see `Server`).
    """

    abandon_ns: int
    client_connected: Callable[[], bool]
    begin_by_ns: int = 0
    confirmed_only: bool = False


class Outcome(NamedTuple):
    """The result of an attempt.

    `response` is present if it settles the request. `latency_ns` is the time that the server took to respond; the
    time that the response waited in this process is not included.
    """

    status: AttemptStatus
    load: Load
    response: HttpResponse | None = None
    latency_ns: int = 0
