"""HTTP/1.1 messages: incremental parsing with httptools, and encoding. No I/O."""

from __future__ import annotations

import enum
import re
import socket
from array import array
from collections import deque
from ipaddress import IPv4Address
from itertools import accumulate, pairwise
from typing import Any, NamedTuple

import httptools

from covetally.net.memory import FIELD_BYTES

MAX_HEAD = 16 * 1024  # heads usually have a few hundred bytes; a larger one only wastes memory
MAX_FIELDS = 100  # header fields of a head: each costs far more memory and time than its bytes
MAX_BODY = 64 * 1024  # the limit of the protocol, for requests and responses

BODILESS_STATUS = (204, 304)

MERGED_RESPONSES = "a second response begins inside the head of a response"
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d")

Headers = list[tuple[bytes, bytes]]
Fields = dict[bytes, bytes]

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade expect content-length".split()
)
_HOP_BY_HOP_EXCEPT_LENGTH = HOP_BY_HOP - {b"content-length"}


class Broken(ConnectionError):
    """The connection was lost, or received something invalid, in the middle of a message."""


class Malformed(Exception):
    """The input is not a valid HTTP/1.1 message. For a request, `status` and `headers` make up the response to
    it."""

    def __init__(self, reason: str, status: int = 400, headers: Headers | None = None) -> None:
        super().__init__(reason)
        self.status, self.headers = status, headers or []

    def copy(self) -> Malformed:
        """The same error without the traceback, whose frames refer to the parser and its input."""
        return Malformed(str(self), self.status, self.headers)


class RequestHead(NamedTuple):
    """The head of a request, with header names in lower case. `fields` maps each name to its last value."""

    method: bytes
    target: bytes
    headers: Headers
    fields: Fields


class ResponseHead(NamedTuple):
    """The head of a response, final or interim (status below 200). `fields` as in RequestHead."""

    status: int
    headers: Headers
    fields: Fields


class End(enum.Enum):
    """The last part of a message, or of the input."""

    MESSAGE = "message"  # the message is complete
    CONNECTION = "connection"  # the peer closed the connection between two messages


MessagePart = RequestHead | ResponseHead | bytes | End


class SwitchedConnection(NamedTuple):
    """A connection to a server that has switched to another protocol. The receiver of this object owns the
    socket. `leading_bytes` arrived behind the head of the response."""

    sock: socket.socket
    leading_bytes: bytes
    name: str = ""


class HttpResponse(NamedTuple):
    """A complete response for a client; one with status 101 comes with the server's connection."""

    status: int
    headers: Headers
    body: bytes = b""
    switched: SwitchedConnection | None = None


def end_to_end(headers: Headers, fields: Fields) -> Headers:
    """The headers without the hop-by-hop ones and without the framing, which belong to a single connection."""
    if _HOP_BY_HOP_EXCEPT_LENGTH.isdisjoint(fields):  # true of nearly all messages
        if b"content-length" not in fields:
            return headers
        return [pair for pair in headers if pair[0] != b"content-length"]
    kept = [pair for pair in headers if pair[0] not in HOP_BY_HOP]
    connection = [value for name, value in headers if name == b"connection"]
    nominated = {name.strip().lower() for name in b",".join(connection).split(b",")}
    return [pair for pair in kept if pair[0] not in nominated]


def headers_bytes(headers: Headers) -> int:
    """The bytes of memory that parsed headers take."""
    size = FIELD_BYTES * len(headers)
    for name, value in headers:
        size += len(name) + len(value)
    return size


def check_length(fields: Fields) -> bool:
    """Return whether the head of a response tells where the response ends; without that, it ends with its
    connection (RFC 9112, section 6.3). Raises Malformed if the length is beyond the limit."""
    length = fields.get(b"content-length")
    if length is None:
        return b"transfer-encoding" in fields
    if int(length) > MAX_BODY:
        raise Malformed("response body too long")
    return True


def contains_status_line(text: bytes) -> bool:
    """Whether a response begins inside this text, as where a part of one is followed by another."""
    return b"HTTP/1." in text and STATUS_LINE.search(text) is not None


def split_address(address: str) -> tuple[str, int]:
    """Host and port of an address `a.b.c.d:port`; ValueError if it is invalid. Host names are invalid, since
    there is no DNS."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()) or int(port) >= 65536:
        raise ValueError(f"not an address: {address!r}")
    return str(IPv4Address(host)), int(port)


def encode(start_line: bytes, headers: Headers, body: bytes) -> bytes:
    """The bytes of a message: start line, headers and body. The headers must include the length of the body.

    The headers are not validated: they have to come from a parsed message or from this program.
    """
    lines = [name + b": " + value for name, value in headers]
    return b"\r\n".join([start_line, *lines, b"", body])


def append_part(body: bytes | bytearray, part: bytes) -> bytes | bytearray:
    """Append a part to a body. A single part, the usual case, is not copied."""
    if not body:
        return part
    if type(body) is bytes:
        body = bytearray(body)
    body += part
    return body


ParserType = type[httptools.HttpRequestParser] | type[httptools.HttpResponseParser]


class MessageParser:
    """Splits the input of one connection into message parts, one message at a time.

    In addition to the checks of httptools, this guards against endless heads, against HTTP versions that delimit
    messages differently, and against taking bytes behind a message for a part of it.
    """

    def __init__(self, parser_type: ParserType) -> None:
        self.parts: deque[MessagePart] = deque()
        self.error: Malformed | None = None  # a copy of it is to be raised after the parts
        self.surplus = False  # bytes have arrived behind the message
        self.leftover = b""  # those bytes, if the message requests or confirms a change of protocol
        self._parser: Any = parser_type(self)
        self._parses_requests = parser_type is httptools.HttpRequestParser
        self._bytes_since_part = 0  # bytes fed since the last part
        self._clear_packed()
        self.start_message()

    def start_message(self) -> None:
        """Prepare for the next message."""
        self._target = b""
        self._reason = b""
        self._headers: Headers = []
        if self._lengths:
            self._clear_packed()
        self.started = self.complete = False
        self.persistent = True  # the peer allows the connection to be kept for another message
        self._interim = False
        self._ends_with_connection = False  # the head of a response was received, and it has no length

    @property
    def held(self) -> int:
        """The bytes of memory that an incomplete head takes."""
        return len(self._packed) + len(self._lengths) * self._lengths.itemsize + self._bytes_since_part

    def release(self) -> None:
        """Drop the httptools parser and everything that was parsed, after the last input. The httptools parser
        references this object, and without the reference cycle both are freed at once."""
        self._parser = self.error = None
        self.parts.clear()
        self._headers = []
        self._clear_packed()
        self._target = self._reason = self.leftover = b""

    def feed(self, data: bytes) -> None:
        """Parse bytes. The results are appended to `parts`; an error after them is stored in `error`."""
        if self.complete or self.error is not None:
            self.surplus = True
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:  # the parser stops here
            if not self._parses_requests:
                self.error = Malformed("a response in another protocol")
            self.persistent = False
            self.leftover = data[upgrade.args[0] :]
            self.surplus = bool(self.leftover)
        except httptools.HttpParserCallbackError as error:
            if not isinstance(error.__context__, Malformed):
                raise
            self.error = error.__context__.copy()
        except httptools.HttpParserError as error:
            self.surplus = self.complete
            if not self.complete:
                self.error = Malformed(str(error))
        self._bytes_since_part = 0 if self.parts else self._bytes_since_part + len(data)
        if self._headers:
            self._pack_headers()
        if self._bytes_since_part > MAX_HEAD and self.error is None:
            self.error = Malformed("message head too long", 431)

    def _clear_packed(self) -> None:
        self._packed = bytearray()  # names and values of the earlier headers of an incomplete head
        self._lengths = array("I")  # of each of them
        self._fields_left = MAX_FIELDS  # that may be in `_headers`

    def _pack_headers(self) -> None:
        """Turn the headers of an incomplete head into one block of bytes, which takes much less memory."""
        texts = [text for header in self._headers for text in header]
        self._packed += b"".join(texts)
        self._lengths.extend(map(len, texts))
        self._fields_left -= len(self._headers)
        self._headers = []

    def _unpack_headers(self) -> Headers:
        packed, ends = bytes(self._packed), list(accumulate(self._lengths, initial=0))
        texts = [packed[start:end] for start, end in pairwise(ends)]
        self._clear_packed()
        return list(zip(texts[::2], texts[1::2], strict=True))

    def end(self) -> End:
        """The final part after the peer has closed its side (FIN); Malformed if that is inside a message.

        A body without a length ends here. The peer closes its side in order after the last byte, while a process
        that dies or a network that fails resets the connection, and a reset never leads here. A peer that closes
        in order in the middle of its body cannot be told from one that has sent all of it.
        """
        if self._ends_with_connection:
            self._ends_with_connection, self.complete, self.persistent = False, True, False
            return End.MESSAGE
        if self.started and not self.complete:
            raise Malformed("connection closed inside a message")
        return End.CONNECTION

    # --- callbacks of httptools -----------------------------------------------------------------

    def on_message_begin(self) -> None:
        if self.complete:
            self.surplus = True
        self.started = True

    def on_url(self, part: bytes) -> None:
        if not self.surplus:
            self._target += part

    def on_status(self, part: bytes) -> None:
        self._reason += part
        if b"HTTP/1." in self._reason and not self.surplus:
            raise Malformed(MERGED_RESPONSES)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.surplus:
            if len(self._headers) >= self._fields_left:
                raise Malformed("too many header fields", 431)
            self._headers.append((name.lower(), value.strip()))
            if b"HTTP/1." in value and not self._parses_requests and contains_status_line(value):
                raise Malformed(MERGED_RESPONSES)

    def on_headers_complete(self) -> None:
        if self.surplus:
            return
        headers, self._headers = self._headers, []
        if self._lengths:
            headers = self._unpack_headers() + headers
        fields, parser = dict(headers), self._parser
        version = parser.get_http_version()
        if version != "1.1":
            if version != "1.0":
                raise Malformed("unsupported HTTP version", 505)
            self.persistent = False
        if b"connection" in fields or b"transfer-encoding" in fields:
            self._check_connection_headers(headers)
        if self._parses_requests:
            self.parts.append(RequestHead(parser.get_method(), self._target, headers, fields))
        else:
            status = parser.get_status_code()
            self._interim = status < 200
            framed = b"content-length" in fields or b"transfer-encoding" in fields
            self._ends_with_connection = not (framed or self._interim or status in BODILESS_STATUS)
            self.parts.append(ResponseHead(status, headers, fields))

    def _check_connection_headers(self, headers: Headers) -> None:
        for name, value in headers:
            if name == b"transfer-encoding" and value.lower() != b"chunked":
                raise Malformed("unsupported transfer encoding", 501)
            if name == b"connection" and b"close" in value.lower():
                self.persistent = False

    def on_body(self, part: bytes) -> None:
        if not self.surplus:
            self.parts.append(part)

    def on_message_complete(self) -> None:
        if self.surplus:
            return
        if self._interim:
            self.start_message()
        else:
            self.complete = True
            self.parts.append(End.MESSAGE)
