"""The opening handshake (RFC 6455, section 4), as an intermediary sees it: what a client asks for, and whether
a node's answer to it will do. No I/O.

The client's key goes on to the node and the node's answer back, so what the two agree on is theirs. Both are
checked all the same: a client must not be told 101 for what no node agreed to, nor a node be asked for nothing.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import re
from dataclasses import dataclass

from covetally.net.http_message import Headers, Malformed, RequestHead, ResponseHead, end_to_end

GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
VERSION = b"13"
DEFLATE = b"permessage-deflate"
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+").fullmatch
_QUOTED = re.compile(rb'"(?:[^"\\]|\\.)*"')


class Refused(Malformed):
    """A handshake that will not do: the status for it (section 4.2.2) and what goes with it."""

    def __init__(self, status: int, reason: str, headers: Headers | None = None) -> None:
        super().__init__(reason, status, headers)


def _all(headers: Headers, name: bytes) -> list[bytes]:
    """The members of a header that is a list, over all its lines (RFC 9110, 5.6.1)."""
    whole = b",".join(value for key, value in headers if key == name)
    found, at = [], 0
    quoted = [match.span() for match in _QUOTED.finditer(whole)]
    for index in [i for i, c in enumerate(whole) if c == 0x2C] + [len(whole)]:
        if not any(a < index < b for a, b in quoted):
            found.append(whole[at:index].strip())
            at = index + 1
    return [member for member in found if member]


def _names(headers: Headers, name: bytes) -> list[bytes]:
    """The same without each member's parameters."""
    return [member.partition(b";")[0].strip() for member in _all(headers, name)]


def _tokens(headers: Headers, name: bytes) -> set[bytes]:
    return {member.lower() for member in _all(headers, name)}


def asks(head: RequestHead) -> bool:
    """Whether a request asks for a WebSocket, in whatever form."""
    return b"upgrade" in head.fields and b"websocket" in _tokens(head.headers, b"upgrade")


def accept(key: bytes) -> bytes:
    """What a node has to answer to this key (section 1.3)."""
    return base64.b64encode(hashlib.sha1(key + GUID, usedforsecurity=False).digest())


@dataclass(frozen=True, slots=True)
class Handshake:
    """What a client asks for."""

    key: bytes
    protocols: tuple[bytes, ...]
    extensions: tuple[bytes, ...]

    def check(self, head: ResponseHead) -> None:
        """Malformed if a 101 is not the answer to this (section 4.1): nothing of it reaches the client."""
        headers = head.headers
        if b"websocket" not in _tokens(headers, b"upgrade") or b"upgrade" not in _tokens(headers, b"connection"):
            raise Malformed("a 101 that is no WebSocket's")
        accepts = [value for name, value in headers if name == b"sec-websocket-accept"]
        if accepts != [accept(self.key)]:
            raise Malformed("a 101 for another key")
        if unasked := [x for x in _names(headers, b"sec-websocket-extensions") if x not in self.extensions]:
            raise Malformed(f"an extension that was not asked for: {unasked[0]!r}")
        chosen = _all(headers, b"sec-websocket-protocol")
        if len(chosen) > 1 or (chosen and chosen[0] not in self.protocols):
            raise Malformed(f"a sub-protocol that was not asked for: {chosen[0]!r}")

    @staticmethod
    def agreed(headers: Headers) -> tuple[bool, bool]:
        """What the extensions of a 101 let frames set: RSV1 on the first of a message, anything."""
        names = _names(headers, b"sec-websocket-extensions")
        return DEFLATE in names, any(name != DEFLATE for name in names)


def read(head: RequestHead) -> tuple[Handshake, Headers]:
    """What a client asks for and the headers for the node; Refused if it is not of the form of section 4.2.1."""
    headers, fields = head.headers, head.fields
    if head.method != b"GET":
        raise Refused(405, "a handshake that is no GET")
    if b"upgrade" not in _tokens(headers, b"connection"):
        raise Refused(400, "an Upgrade that Connection does not name")
    if b"transfer-encoding" in fields or fields.get(b"content-length", b"0") != b"0":
        raise Refused(400, "a handshake with a body")
    if b"host" not in fields:
        raise Refused(400, "no Host")
    versions = [value for name, value in headers if name == b"sec-websocket-version"]
    if versions != [VERSION]:
        raise Refused(426, "not version 13", [(b"sec-websocket-version", VERSION), (b"upgrade", b"websocket")])
    keys = [value for name, value in headers if name == b"sec-websocket-key"]
    if len(keys) != 1 or not _is_key(keys[0]):
        raise Refused(400, "Sec-WebSocket-Key is not 16 bytes in base64")
    protocols = _all(headers, b"sec-websocket-protocol")
    if len(set(protocols)) < len(protocols) or not all(map(_TOKEN, protocols)):
        raise Refused(400, "Sec-WebSocket-Protocol is no list of different names")
    extensions = _names(headers, b"sec-websocket-extensions")
    if not all(map(_TOKEN, extensions)):
        raise Refused(400, "Sec-WebSocket-Extensions is no list of names")
    passed = [pair for pair in end_to_end(headers, fields) if pair[0] != b"content-length"]
    passed += [(b"connection", b"Upgrade"), (b"upgrade", b"websocket")]
    return Handshake(keys[0], tuple(protocols), tuple(extensions)), passed


def _is_key(text: bytes) -> bool:
    try:
        return len(base64.b64decode(text, validate=True)) == 16
    except (binascii.Error, ValueError):
        return False
