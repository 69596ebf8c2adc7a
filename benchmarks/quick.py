"""The two sides of a capacity measurement, cheap enough not to be what is measured.

    python -m benchmarks.quick nodes COUNT          # nodes that answer each request at once with 200 bytes
    python -m benchmarks.quick relay HOST:PORT      # a bare byte relay to one node, in plain asyncio
    python -m benchmarks.quick ask HOST:PORT RATE SECONDS CONNECTIONS METHOD KIND
    python -m benchmarks.quick leave HOST:PORT RATE SECONDS     # connects and leaves so often a second

The first two print the ports they listen at as JSON and run until their input ends. `ask` asks in an open loop
at RATE a second, at times drawn ahead; with KIND kept on CONNECTIONS connections, with new on one for each
request, with burst as fast as each of CONNECTIONS is answered. A request whose time comes while all connections
are busy waits for one, for PATIENCE_S as a pool of connections would have it, and is given up then ("no
connection"); its time counts from when it was due. `leave` goes, in turn, without a word, in the middle of a
request, after a whole one, and by a reset. Both print one row of JSON.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import socket
import struct
import sys
import time
from collections import Counter, deque
from typing import Any

BODY = b"x" * 200
AIM_S = 0.3  # an answer later than this is late: module-lookup's aim on the rig's site
EXPIRES_S = 1.0
PATIENCE_S = 0.1


class _Node(asyncio.Protocol):
    def connection_made(self, transport: Any) -> None:
        self._transport, self._buffer = transport, b""

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            head, length = self._buffer[:end], 0
            if not head.startswith(b"GET"):
                at = head.lower().find(b"content-length:")
                length = int(head[at + 15 :].split(b"\r\n", 1)[0])
            if len(self._buffer) < end + 4 + length:
                return
            self._buffer = self._buffer[end + 4 + length :]
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + BODY)


class _Relay(asyncio.Protocol):
    """Either side of a relayed connection."""

    def __init__(self, target: tuple[str, int] | None, other: _Relay | None = None) -> None:
        self._target, self.other, self._early = target, other, b""
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self._target is not None:
            asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        assert self._target is not None
        loop = asyncio.get_running_loop()
        _, self.other = await loop.create_connection(lambda: _Relay(None, self), *self._target)
        self.other.transport.write(self._early)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self._early += data
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class _Connection(asyncio.Protocol):
    def __init__(self, asker: _Asker) -> None:
        self._asker, self._buffer, self.due = asker, b"", 0.0
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        at = self._buffer.lower().find(b"content-length:")
        length = int(self._buffer[at + 15 : end + 2].split(b"\r\n", 1)[0])
        if len(self._buffer) < end + 4 + length:
            return
        status, closes = int(self._buffer[9:12]), b"connection: close" in self._buffer[:end].lower()
        self._buffer = b""
        due, self.due = self.due, 0.0
        self._asker.answered(self, due, status, closes)

    def connection_lost(self, exc: Exception | None) -> None:
        self._asker.lost(self)


class _Asker:
    def __init__(self, address: tuple[str, int], method: str, kind: str, connections: int) -> None:
        self.address, self.kind, self.connections = address, kind, connections
        self.method, self.body = method.encode(), b"y" * 2048 if method == "POST" else b""
        self.ids = itertools.count()
        self.free: list[_Connection] = []
        self.waiting: deque[float] = deque()
        self.open = 0
        self.took: list[float] = []
        self.seen: Counter[str] = Counter()
        self.until = 0.0
        self.left = 0

    def request(self) -> bytes:
        """The bytes of a request with a new id."""
        cls = b"module-lookup" if self.method == b"GET" else b"loan-transfer"
        length = b"Content-Length: %d\r\n" % len(self.body) if self.body else b""
        return (
            b"%s /api?sid=m1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %x-%x\r\nX-Qos: %s\r\n"
            b"X-Customer: officina-brescia\r\nX-Expires-In: %.3f\r\n%s\r\n%s"
            % (self.method, os.getpid(), next(self.ids), cls, EXPIRES_S, length, self.body)
        )

    def ask(self, due: float) -> None:
        """A request's time has come."""
        self.left += 1
        if self.kind == "kept" and self.free:
            self.send(self.free.pop(), due)
        elif self.open < self.connections:
            self.open += 1
            asyncio.get_running_loop().create_task(self.connect(due))
        else:
            self.waiting.append(due)

    async def connect(self, due: float) -> None:
        """Ask on a new connection."""
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: _Connection(self), *self.address
            )
        except OSError:
            self.open -= 1
            self.end("no connection")
            return
        self.send(connection, due)

    def send(self, connection: _Connection, due: float) -> None:
        """Write a request."""
        connection.due = due
        connection.transport.write(self.request())

    def answered(self, connection: _Connection, due: float, status: int, closes: bool) -> None:
        """A whole answer has come."""
        now = time.monotonic()
        if status == 200:
            self.took.append(now - due)
        self.end("served" if status == 200 else "refused" if status in (429, 503) else f"status {status}")
        if closes or self.kind == "new":
            connection.transport.close()
        elif self.kind == "burst":
            if now < self.until:
                self.left += 1
                self.send(connection, now)
        elif due := self.next_due():
            self.send(connection, due)
        else:
            self.free.append(connection)

    def lost(self, connection: _Connection) -> None:
        """Its connection has ended."""
        self.open -= 1
        if connection in self.free:
            self.free.remove(connection)
        if connection.due:
            self.end("cut")
        if self.open < self.connections and (due := self.next_due()):
            self.open += 1
            asyncio.get_running_loop().create_task(self.connect(due))
        elif self.kind == "burst" and time.monotonic() < self.until:
            self.ask(time.monotonic())

    def next_due(self) -> float:
        """When the next request that still waits for a connection was due; 0 if none does."""
        patient_from = time.monotonic() - PATIENCE_S
        while self.waiting:
            due = self.waiting.popleft()
            if due >= patient_from:
                return due
            self.end("no connection")
        return 0.0

    def end(self, how: str) -> None:
        """One request is over."""
        self.left -= 1
        self.seen[how] += 1


async def _ask(
    address: tuple[str, int], rate: float, seconds: float, connections: int, method: str, kind: str
) -> None:
    asker = _Asker(address, method, kind, connections)
    rng = random.Random(os.getpid())
    start = time.monotonic() + 0.05
    asker.until = start + seconds
    late = 0.0
    if kind == "burst":
        for _ in range(connections):
            asker.ask(time.monotonic())
        await asyncio.sleep(seconds)
    else:
        at = start
        while (at := at + rng.expovariate(rate)) < asker.until:
            if (pause := at - time.monotonic()) > 0.0002:
                await asyncio.sleep(pause)
            late = max(late, time.monotonic() - at)
            asker.ask(at)
    end = time.monotonic() + EXPIRES_S + 1.0
    if kind != "burst":
        await asyncio.sleep(PATIENCE_S)
        while asker.next_due():
            asker.end("no connection")
    while asker.left and time.monotonic() < end:
        await asyncio.sleep(0.02)
    took = sorted(asker.took)

    def at_share(q: float) -> float:
        return round(took[min(len(took) - 1, int(len(took) * q))] * 1000, 2) if took else 0.0

    asked = sum(asker.seen.values()) + asker.left
    print(json.dumps({
        "asked": asked, "open": asker.left, "seen": dict(asker.seen), "late_ms": round(late * 1000, 1),
        "in_time": sum(1 for x in took if x <= AIM_S), "p50": at_share(0.5), "p99": at_share(0.99),
        "p999": at_share(0.999),
    }))  # fmt: skip


def _leave(address: tuple[str, int], rate: float, seconds: float) -> None:
    whole = _Asker(address, "GET", "new", 1)
    reset = struct.pack("ii", 1, 0)
    start = time.monotonic()
    count = failed = 0
    while (now := time.monotonic()) < start + seconds:
        if count > (now - start) * rate:
            time.sleep(0.0005)
            continue
        sock = socket.socket()
        # An address of its own for each few: one has no more than 28,000 ports to come from.
        sock.bind((f"127.0.{1 + count % 200}.1", 0))
        sock.settimeout(1.0)
        try:
            sock.connect(address)
            if count % 4:
                sock.send(whole.request()[: 40 if count % 4 == 1 else None])
            if count % 4 == 3:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        except OSError:
            failed += 1
        sock.close()
        count += 1
    print(json.dumps({"left": count, "failed": failed, "rate": round(count / (time.monotonic() - start))}))


async def _serve(make: Any, count: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(make, "127.0.0.1", 0, backlog=4096) for _ in range(count)]
    print(json.dumps([s.sockets[0].getsockname()[1] for s in servers]), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def main() -> None:
    """See the module."""
    match sys.argv[1:]:
        case ["nodes", count]:
            asyncio.run(_serve(_Node, int(count)))
        case ["relay", target]:
            asyncio.run(_serve(lambda: _Relay(_address(target)), 1))
        case ["ask", where, rate, seconds, connections, method, kind]:
            asyncio.run(_ask(_address(where), float(rate), float(seconds), int(connections), method, kind))
        case ["leave", where, rate, seconds]:
            _leave(_address(where), float(rate), float(seconds))
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main()
