"""The protocol between a sidecar and its agent: frames, messages, versions.

The sidecar connects; the agent listens. A frame is a length of four bytes (unsigned, big endian) followed by
that many bytes of JSON: one object whose member "t" is the message type. The first frame of the sidecar is a
hello with the protocol versions that it supports. The agent answers with welcome and the version it chose, or
with deny and a reason, and then closes the connection. Unknown types and members are ignored, so either side
may be the newer one. A known type with a missing member, or one of the wrong type, closes the connection.
Either side may close it at any time.

    sidecar: hello, beat, ack, answer, bye          agent: welcome, deny, seen, apply, ask, do

docs/design/fleet.md lists each message with its members.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from covetally.errors import DamagedError

VERSIONS = (1,)
MAX_FRAME = 1024 * 1024
HANDSHAKE_TIMEOUT_S = 5.0  # for the hello and for its answer; a slower connection is closed

Message = dict[str, Any]

_MEMBERS: dict[str, dict[str, type | tuple[type, ...]]] = {
    "hello": {
        "versions": list, "name": str, "boot": str, "pid": int, "version": str, "labels": dict,
        "revision": int, "digest": str, "values": dict,
    },
    "beat": {"digest": str, "pending": str, "counts": dict, "state": str},
    "ack": {"revision": int, "digest": str, "outcome": str, "held": str},
    "answer": {"id": int},
    "bye": {"reason": str},
    "welcome": {"version": int},
    "deny": {"reason": str},
    "seen": {},
    "apply": {"revision": int, "digest": str, "values": dict},
    "ask": {"id": int, "what": str},
    "do": {"id": int, "what": str},
}  # fmt: skip


class ProtocolError(DamagedError):
    """The peer sent something that is not valid in this protocol; the message names it."""

    code = "control-protocol"
    remedy = "Check that agent and sidecar run versions that are compatible with each other."


def encode(message: Message, limit: int = MAX_FRAME) -> bytes:
    """Return the message as one frame. Raises ProtocolError if it is longer than `limit`."""
    body = json.dumps(message, separators=(",", ":")).encode()
    if len(body) > limit:
        raise ProtocolError(f"frame of {len(body)} bytes is over the limit")
    return len(body).to_bytes(4, "big") + body


class Decoder:
    """Splits a byte stream into messages."""

    def __init__(self, limit: int = MAX_FRAME) -> None:
        self._limit = limit
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that are complete now. Raises ProtocolError on invalid data."""
        self._buffer += data
        messages = []
        while len(self._buffer) >= 4:
            size = int.from_bytes(self._buffer[:4], "big")
            if size > self._limit:
                raise ProtocolError(f"frame of {size} bytes, at most {self._limit}")
            if len(self._buffer) < 4 + size:
                break
            messages.append(_parse(bytes(self._buffer[4 : 4 + size])))
            del self._buffer[: 4 + size]
        return messages


def _parse(body: bytes) -> Message:
    try:
        message = json.loads(body)
    except (ValueError, RecursionError):
        raise ProtocolError(f"invalid JSON: {body[:60]!r}") from None
    if not isinstance(message, dict) or not isinstance(message.get("t"), str):
        raise ProtocolError(f"not a message: {body[:60]!r}")
    for name, expected in _MEMBERS.get(message["t"], {}).items():
        value = message.get(name)
        if not isinstance(value, expected) or (expected is int and isinstance(value, bool)):
            raise ProtocolError(f"{message['t']}.{name} has the wrong type: {value!r:.60}")
    return message


def pick_version(offered: list[Any]) -> int:
    """Return the highest version that both sides support. Raises ProtocolError if there is none."""
    common = {v for v in offered if isinstance(v, int)} & set(VERSIONS)
    if not common:
        raise ProtocolError(f"no common protocol version: offered {offered!r:.60}, supported {list(VERSIONS)}")
    return max(common)


def digest(values: Mapping[str, Any]) -> str:
    """Return 32 hexadecimal digits that identify a set of settings, whatever the order of its keys."""
    text = json.dumps(values, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return hashlib.sha256(text.encode()).hexdigest()[:32]
