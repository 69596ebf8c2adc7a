"""A connection to a server, with what has to be remembered of the answers that it has carried."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from typing import NamedTuple

import httptools

from covetally.net.stream import Stream

_numbers = itertools.count(1)


class ConnectionUse(NamedTuple):
    """The connection of an attempt, for logs: its number in this process, the requests that it had carried
    before, and for how long it had been idle, in s."""

    number: int
    carried: int
    idle_s: float

    def __str__(self) -> str:
        return f"connection {self.number}, {self.carried} requests before, idle for {self.idle_s * 1000:.1f} ms"


class ServerConnection(Stream):
    """A stream to a server that is used for one request after the other."""

    __slots__ = ("answers", "carried", "connected_at", "idle_since", "last_answer_ok", "number")

    def __init__(self, sock: socket.socket, on_input: Callable[[], None], on_flushed: Callable[[], None]) -> None:
        super().__init__(httptools.HttpResponseParser, sock, on_input, on_flushed)
        self.number = next(_numbers)
        self.carried = 0  # requests that were completely answered
        self.connected_at = asyncio.get_running_loop().time()
        self.idle_since = 0.0  # when its last answer ended, on the loop's clock
        self.last_answer_ok = True  # the last answer was a 200
        # The last complete 200 responses by the hash of the body, and when each ended, on the loop's clock.
        self.answers: dict[int, float] = {}
