"""What goes into an attempt and what comes of it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from covetally.interface import AttemptStatus
from covetally.net.http_message import HttpResponse, Headers, ResponseHead

Load = Mapping[str, float]
NO_LOAD: Load = {}


class Switch(Protocol):
    """What a client asked for that wants another protocol on its connection."""

    def check(self, head: ResponseHead) -> None:
        """Malformed if a 101 is not the answer to it."""


class Request(NamedTuple):
    """A client's request as it goes on to a server, its body unchanged."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    switch: Switch | None = None

    def encode(self, expires_s: float) -> bytes:
        """The bytes for an attempt that will be waited for so long."""
        lines = [b"%s %s HTTP/1.1" % (self.method, self.target)]
        lines += [name + b": " + value for name, value in self.headers if name != b"x-expires-in"]
        lines.append(b"x-expires-in: %.3f" % expires_s)
        if self.body or self.method != b"GET":
            lines.append(b"content-length: %d" % len(self.body))
        lines += (b"", self.body)
        return b"\r\n".join(lines)


class Bounds(NamedTuple):
    """What an attempt keeps to: it is given up at `abandon_ns`, not begun past `begin_by_ns` (0: no such bound),
    and not begun once its client has left, which `wanted` finds out."""

    abandon_ns: int
    wanted: Callable[[], bool]
    begin_by_ns: int = 0


class Outcome(NamedTuple):
    """How an attempt ended. `answer` is there if it settles the request; `lag_ns` is what the server took
    for it, without the time for which this process let it lie."""

    how: AttemptStatus
    load: Load
    answer: HttpResponse | None = None
    lag_ns: int = 0
