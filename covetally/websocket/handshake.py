"""The opening handshake of a WebSocket (RFC 6455, section 4) as an intermediary handles it: parses the client's
request and validates the node's response. Performs no I/O.

The client's key is forwarded to the node and the node's response to the client, so client and node negotiate with
each other. Both messages are validated all the same: a client must not get a 101 that no node agreed to, and a
node must not get an invalid handshake.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import re
from dataclasses import dataclass

from covetally.net.http_message import Headers, Malformed, RequestHead, ResponseHead, end_to_end

ACCEPT_GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
VERSION = b"13"
PERMESSAGE_DEFLATE = b"permessage-deflate"
_match_token = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+").fullmatch
_QUOTED_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class HandshakeRejected(Malformed):
    """An invalid handshake request, with the status (section 4.2.2) and headers of the response to it."""

    def __init__(self, status: int, reason: str, headers: Headers | None = None) -> None:
        super().__init__(reason, status, headers)


def _list_members(headers: Headers, name: bytes) -> list[bytes]:
    """Return the members of a list header, over all its lines (RFC 9110, 5.6.1)."""
    joined = b",".join(value for key, value in headers if key == name)
    members, start = [], 0
    quoted = [match.span() for match in _QUOTED_STRING.finditer(joined)]
    for index in [i for i, c in enumerate(joined) if c == 0x2C] + [len(joined)]:
        if not any(a < index < b for a, b in quoted):
            members.append(joined[start:index].strip())
            start = index + 1
    return [member for member in members if member]


def _member_names(headers: Headers, name: bytes) -> list[bytes]:
    """Return the members of a list header without their parameters."""
    return [member.partition(b";")[0].strip() for member in _list_members(headers, name)]


def _lowercase_members(headers: Headers, name: bytes) -> set[bytes]:
    """Return the members of a list header in lower case."""
    return {member.lower() for member in _list_members(headers, name)}


def is_websocket_request(head: RequestHead) -> bool:
    """Return whether a request asks for a WebSocket; the handshake may still be invalid."""
    return b"upgrade" in head.fields and b"websocket" in _lowercase_members(head.headers, b"upgrade")


def accept_value(key: bytes) -> bytes:
    """Return the Sec-WebSocket-Accept value that answers a key (section 1.3)."""
    return base64.b64encode(hashlib.sha1(key + ACCEPT_GUID, usedforsecurity=False).digest())


@dataclass(frozen=True, slots=True)
class Handshake:
    """The key, sub-protocols and extensions that a client requested."""

    key: bytes
    protocols: tuple[bytes, ...]
    extensions: tuple[bytes, ...]

    def check(self, head: ResponseHead) -> None:
        """Raise Malformed if a 101 response does not answer this handshake (section 4.1); the client then gets
        nothing of it."""
        headers = head.headers
        if b"websocket" not in _lowercase_members(headers, b"upgrade") or b"upgrade" not in _lowercase_members(
            headers, b"connection"
        ):
            raise Malformed("101 response without the WebSocket upgrade headers")
        accepts = [value for name, value in headers if name == b"sec-websocket-accept"]
        if accepts != [accept_value(self.key)]:
            raise Malformed("101 response with a wrong Sec-WebSocket-Accept")
        if unrequested := [
            x for x in _member_names(headers, b"sec-websocket-extensions") if x not in self.extensions
        ]:
            raise Malformed(f"101 response with an extension that was not requested: {unrequested[0]!r}")
        chosen = _list_members(headers, b"sec-websocket-protocol")
        if len(chosen) > 1 or (chosen and chosen[0] not in self.protocols):
            raise Malformed(f"101 response with a sub-protocol that was not requested: {chosen[0]!r}")

    @staticmethod
    def allowed_reserved_bits(headers: Headers) -> tuple[bool, bool]:
        """Return which reserved bits the extensions of a 101 response allow: whether RSV1 on the first frame of a
        message, and whether any bit on any frame."""
        names = _member_names(headers, b"sec-websocket-extensions")
        return PERMESSAGE_DEFLATE in names, any(name != PERMESSAGE_DEFLATE for name in names)


def parse_request(head: RequestHead) -> tuple[Handshake, Headers]:
    """Return the handshake of a request and the headers to forward to the node; HandshakeRejected if it does not
    conform to section 4.2.1."""
    headers, fields = head.headers, head.fields
    if head.method != b"GET":
        raise HandshakeRejected(405, "a handshake that is no GET")
    if b"upgrade" not in _lowercase_members(headers, b"connection"):
        raise HandshakeRejected(400, "an Upgrade that Connection does not name")
    if b"transfer-encoding" in fields or fields.get(b"content-length", b"0") != b"0":
        raise HandshakeRejected(400, "a handshake with a body")
    if b"host" not in fields:
        raise HandshakeRejected(400, "no Host")
    versions = [value for name, value in headers if name == b"sec-websocket-version"]
    if versions != [VERSION]:
        raise HandshakeRejected(
            426, "not version 13", [(b"sec-websocket-version", VERSION), (b"upgrade", b"websocket")]
        )
    keys = [value for name, value in headers if name == b"sec-websocket-key"]
    if len(keys) != 1 or not _is_key(keys[0]):
        raise HandshakeRejected(400, "Sec-WebSocket-Key is not 16 bytes in base64")
    protocols = _list_members(headers, b"sec-websocket-protocol")
    if len(set(protocols)) < len(protocols) or not all(map(_match_token, protocols)):
        raise HandshakeRejected(400, "Sec-WebSocket-Protocol is no list of different names")
    extensions = _member_names(headers, b"sec-websocket-extensions")
    if not all(map(_match_token, extensions)):
        raise HandshakeRejected(400, "Sec-WebSocket-Extensions is no list of names")
    forwarded = [pair for pair in end_to_end(headers, fields) if pair[0] != b"content-length"]
    forwarded += [(b"connection", b"Upgrade"), (b"upgrade", b"websocket")]
    return Handshake(keys[0], tuple(protocols), tuple(extensions)), forwarded


def _is_key(text: bytes) -> bool:
    """Return whether a text is the base64 form of 16 bytes."""
    try:
        return len(base64.b64decode(text, validate=True)) == 16
    except (binascii.Error, ValueError):
        return False
