"""HTTP/1.1 messages: their parts as httptools finds them, and their bytes. No I/O is done here."""

from __future__ import annotations

import enum
import socket
from collections import deque
from ipaddress import IPv4Address
from typing import Any, NamedTuple

import httptools

MAX_HEAD = 16 * 1024  # heads are a few hundred bytes; past this a peer is only costing memory
MAX_BODY = 64 * 1024  # the protocol's limit, in both directions

Headers = list[tuple[bytes, bytes]]
Fields = dict[bytes, bytes]

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade expect content-length".split()
)
_NAMED = HOP_BY_HOP - {b"content-length"}


class Broken(ConnectionError):
    """The connection ended, or said what it must not, where the message should go on."""


class Malformed(Exception):
    """What came is no HTTP/1.1 message; `status` is the answer for it, where there is anybody to answer, and
    `headers` go with it."""

    def __init__(self, reason: str, status: int = 400, headers: Headers | None = None) -> None:
        super().__init__(reason)
        self.status, self.headers = status, headers or []


class RequestHead(NamedTuple):
    """The head of a request, header names in lower case. `fields` is `headers` by name, the last of each."""

    method: bytes
    target: bytes
    headers: Headers
    fields: Fields


class ResponseHead(NamedTuple):
    """The head of an answer, or with a status below 200 one of those ahead of it. `fields` as in RequestHead."""

    status: int
    headers: Headers
    fields: Fields


class End(enum.Enum):
    """What follows the last part of a body."""

    MESSAGE = "message"  # it is whole
    CONNECTION = "connection"  # there was none: the peer closed the connection between messages


MessagePart = RequestHead | ResponseHead | bytes | End


class SwitchedConnection(NamedTuple):
    """A connection to a node that changed its protocol: whoever gets it owns it. `early` came behind the head."""

    sock: socket.socket
    leading_bytes: bytes
    name: str = ""


class HttpResponse(NamedTuple):
    """A whole answer for a client; with a 101 goes the node's connection."""

    status: int
    headers: Headers
    body: bytes = b""
    switched: SwitchedConnection | None = None


def end_to_end(headers: Headers, fields: Fields) -> Headers:
    """The headers that are meant for the far end; framing is each connection's own."""
    if _NAMED.isdisjoint(fields):  # as nearly all: at most a length, and nothing for this hop by name
        if b"content-length" not in fields:
            return headers
        return [pair for pair in headers if pair[0] != b"content-length"]
    kept = [pair for pair in headers if pair[0] not in HOP_BY_HOP]
    named = [value for name, value in headers if name == b"connection"]
    more = {name.strip().lower() for name in b",".join(named).split(b",")}
    return [pair for pair in kept if pair[0] not in more]


def check_framing(fields: Fields) -> None:
    """Guards against answers whose end cannot be known, or is said to be where no answer's end can be.

    An answer that only the connection's end would end may have lost its tail on the way. Does harm to
    servers that answer 200 in the style of HTTP/1.0.
    """
    length = fields.get(b"content-length")
    if length is None:
        if b"transfer-encoding" not in fields:
            raise Malformed("an answer without a length")
    elif int(length) > MAX_BODY:
        raise Malformed("answer too long")


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `a.b.c.d:port`; ValueError if it is none. Names are none: there is no DNS."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()) or int(port) >= 65536:
        raise ValueError(f"not an address: {address!r}")
    return str(IPv4Address(host)), int(port)


def encode(first: bytes, headers: Headers, body: bytes) -> bytes:
    """The bytes of a message: its first line, headers and body, whose length the headers tell.

    Headers must come from a parsed message or be this program's own: nothing is looked at here.
    """
    lines = [name + b": " + value for name, value in headers]
    return b"\r\n".join([first, *lines, b"", body])


def append_part(body: bytes | bytearray, part: bytes) -> bytes | bytearray:
    """A body with one more part. Nearly all have one only, which is not copied."""
    if not body:
        return part
    if type(body) is bytes:
        body = bytearray(body)
    body += part
    return body


ParserType = type[httptools.HttpRequestParser] | type[httptools.HttpResponseParser]


class MessageParser:
    """The parts that httptools finds on one connection, one message at a time.

    Guards, besides what httptools finds wrong, against heads without end, against versions whose messages end
    in another way, and against taking what comes behind a message for a part of it.
    """

    def __init__(self, role: ParserType) -> None:
        self.parts: deque[MessagePart] = deque()
        self.error: Malformed | None = None  # to be told after the parts
        self.surplus = False  # more came behind the message
        self.rest = b""  # that, where the message asks for another protocol or agrees to one
        self._parser: Any = role(self)
        self._requests = role is httptools.HttpRequestParser
        self._since_part = 0  # bytes that made no part yet
        self.begin()

    def begin(self) -> None:
        """Be ready for the next message."""
        self._target = b""
        self._headers: Headers = []
        self.begun = self.whole = False
        self.persistent = True  # the peer lets the connection carry another message
        self._interim = False

    def release(self) -> None:
        """No more bytes will come. The parser holds this object: without it both go at once."""
        self._parser = None

    def feed(self, data: bytes) -> None:
        """Take bytes; what they hold is in `parts`, then in `error`."""
        if self.whole or self.error is not None:
            self.surplus = True
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:  # it is not taken up
            if not self._requests:
                self.error = Malformed("an answer in another protocol")
            self.persistent = False
            self.rest = data[upgrade.args[0] :]
            self.surplus = bool(self.rest)
        except httptools.HttpParserCallbackError as error:
            if not isinstance(error.__context__, Malformed):
                raise
            self.error = error.__context__
        except httptools.HttpParserError as error:
            self.surplus = self.whole
            if not self.whole:
                self.error = Malformed(str(error))
        self._since_part = 0 if self.parts else self._since_part + len(data)
        if self._since_part > MAX_HEAD and self.error is None:
            self.error = Malformed("a head without end", 431)

    def end(self) -> End:
        """The connection has ended."""
        if self.begun and not self.whole:
            raise Malformed("the connection ended inside a message")
        return End.CONNECTION

    # --- what httptools calls -------------------------------------------------------------------

    def on_message_begin(self) -> None:
        if self.whole:
            self.surplus = True
        self.begun = True

    def on_url(self, part: bytes) -> None:
        if not self.surplus:
            self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.surplus:
            self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        if self.surplus:
            return
        headers, self._headers = self._headers, []
        fields, parser = dict(headers), self._parser
        version = parser.get_http_version()
        if version != "1.1":
            if version != "1.0":
                raise Malformed("not HTTP/1.1", 505)
            self.persistent = False
        if b"connection" in fields or b"transfer-encoding" in fields:
            self._look_at_framing(headers)
        if self._requests:
            self.parts.append(RequestHead(parser.get_method(), self._target, headers, fields))
        else:
            status = parser.get_status_code()
            self._interim = status < 200
            self.parts.append(ResponseHead(status, headers, fields))

    def _look_at_framing(self, headers: Headers) -> None:
        for name, value in headers:
            if name == b"transfer-encoding" and value.lower() != b"chunked":
                raise Malformed("a transfer encoding that nobody here knows", 501)
            if name == b"connection" and b"close" in value.lower():
                self.persistent = False

    def on_body(self, part: bytes) -> None:
        if not self.surplus:
            self.parts.append(part)

    def on_message_complete(self) -> None:
        if self.surplus:
            return
        if self._interim:
            self.begin()
        else:
            self.whole = True
            self.parts.append(End.MESSAGE)
