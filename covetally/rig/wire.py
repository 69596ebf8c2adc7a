"""HTTP/1.1 messages (RFC 9112) over asyncio, as the stand-ins read and write them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MAX_HEAD = 64 * 1024
MAX_BODY = 1024 * 1024


class WireError(Exception):
    """What came is no message."""


@dataclass(frozen=True, slots=True)
class Message:
    """One request or answer.

    `began_ns` and `ended_ns` are when its first and last byte were read (CLOCK_MONOTONIC, ns).
    """

    first: tuple[bytes, bytes, bytes]
    headers: dict[bytes, bytes]
    body: bytes
    began_ns: int
    ended_ns: int

    def header(self, name: bytes) -> str:
        """A header's value by its name in lower case, empty if absent."""
        return self.headers.get(name, b"").decode("latin-1")

    @property
    def status(self) -> int:
        """An answer's status."""
        return int(self.first[1])

    @property
    def keeps_open(self) -> bool:
        """Whether the sender lets the connection carry another message (RFC 9112, 9.3)."""
        return self.headers.get(b"connection", b"").lower() != b"close"


def parse_head(text: bytes) -> tuple[tuple[bytes, bytes, bytes], dict[bytes, bytes]]:
    """Start line and headers of a head without its empty line; WireError if it is none."""
    lines = text.split(b"\r\n")
    words = lines[0].split(b" ", 2)
    if len(words) < 2:
        raise WireError(f"start line {lines[0][:80]!r}")
    headers: dict[bytes, bytes] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not name or name != name.strip():
            raise WireError(f"header line {line[:80]!r}")
        name = name.lower()
        if name in headers and name == b"content-length":
            raise WireError("two lengths")
        headers[name] = value.strip()
    return (words[0], words[1], words[2] if len(words) > 2 else b""), headers


def take_message(buffer: bytearray, began_ns: int) -> Message | None:
    """Cut the first whole message off the buffer; None if it is not whole, WireError if it is none."""
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        if len(buffer) > MAX_HEAD:
            raise WireError("head too long")
        return None
    first, headers = parse_head(bytes(buffer[:end]))
    start = end + 4
    if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
        if b"content-length" in headers:
            raise WireError("a length and chunks")
        taken = _take_chunks(buffer, start)
    else:
        text = headers.get(b"content-length", b"0")
        if not text.isdigit() or int(text) > MAX_BODY:
            raise WireError(f"length {text[:40]!r}")
        stop = start + int(text)
        taken = (bytes(buffer[start:stop]), stop) if len(buffer) >= stop else None
    if taken is None:
        return None
    body, stop = taken
    del buffer[:stop]
    return Message(first, headers, body, began_ns, time.monotonic_ns())


def _take_chunks(buffer: bytearray, at: int) -> tuple[bytes, int] | None:
    """A chunked body (RFC 9112, 7.1) without extensions' meaning or trailers: (body, where it ends)."""
    body = bytearray()
    while True:
        line = buffer.find(b"\r\n", at)
        if line < 0:
            return None
        try:
            size = int(bytes(buffer[at:line]).partition(b";")[0], 16)
        except ValueError:
            raise WireError("chunk size") from None
        if size < 0 or len(body) + size > MAX_BODY:
            raise WireError("chunk too long")
        at = line + 2
        if len(buffer) < at + size + 2:
            return None
        body += buffer[at : at + size]
        at += size + 2
        if size == 0:
            return bytes(body), at


def request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A request; a length is added where there is a body or the method is not GET."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """An answer with a length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Wire(asyncio.Protocol):
    """One connection: whole messages go to `on_message`, its end to `on_end` (an error, or None)."""

    def __init__(
        self,
        on_message: Callable[[Wire, Message], None],
        on_end: Callable[[Wire, Exception | None], None],
        on_open: Callable[[Wire], None] | None = None,
    ) -> None:
        self.on_message = on_message
        self.on_end = on_end
        self._on_open = on_open
        self.transport: Any = None
        self.ended = False
        self.number = 0  # for its owner's use
        self._buffer = bytearray()
        self._began_ns = 0

    @property
    def began(self) -> bool:
        """Whether part of a further message has come."""
        return bool(self._buffer)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        if not self._buffer:
            self._began_ns = time.monotonic_ns()
        self._buffer += data
        try:
            while self._buffer and (message := take_message(self._buffer, self._began_ns)):
                self._began_ns = message.ended_ns
                self.on_message(self, message)
        except WireError as error:
            self._end(error)
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(exc)

    def _end(self, error: Exception | None) -> None:
        if not self.ended:
            self.ended = True
            self.on_end(self, error)

    def write(self, data: bytes) -> None:
        """Queue bytes; nothing happens on a connection that has ended."""
        if not self.ended and self.transport is not None:
            self.transport.write(data)

    def close(self) -> None:
        """Close once what was written is out."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Close at once; unread bytes and unsent ones are dropped."""
        if self.transport is not None:
            self.transport.abort()
