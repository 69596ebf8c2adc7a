"""The protocol between a sidecar and its agent: frames, messages, versions.

The sidecar dials; the agent listens. A frame is four bytes of length (unsigned, big endian) and that many bytes
of JSON, one object with a member "t", its type. The sidecar's first frame is a hello with the versions that it
speaks; the agent answers welcome with the one it picked, or deny with a reason, and closes. Unknown types and
members are skipped, so that either side may be the newer one; a known type that lacks a member, or has one of the
wrong type, ends the link. Either side may end it at any time.

    sidecar: hello, beat, ack, answer, bye          agent: welcome, deny, seen, apply, ask, do

docs/design/fleet.md has each message with its members.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from covetally.errors import DamagedError

VERSIONS = (1,)
MAX_FRAME = 1024 * 1024
HANDSHAKE_TIMEOUT_S = 5.0  # a link that has not said hello, or got its answer, for so long is ended

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
    """The other side does not speak this protocol; the message says what came."""

    code = "control-protocol"
    remedy = "See that agent and sidecar are of versions that speak with each other."


def encode(message: Message, limit: int = MAX_FRAME) -> bytes:
    """One frame; ProtocolError if it would be over the limit."""
    body = json.dumps(message, separators=(",", ":")).encode()
    if len(body) > limit:
        raise ProtocolError(f"a frame of {len(body)} bytes")
    return len(body).to_bytes(4, "big") + body


class Decoder:
    """Bytes in, messages out."""

    def __init__(self, limit: int = MAX_FRAME) -> None:
        self._limit = limit
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole now; ProtocolError if what came can be none."""
        self._buffer += data
        messages = []
        while len(self._buffer) >= 4:
            size = int.from_bytes(self._buffer[:4], "big")
            if size > self._limit:
                raise ProtocolError(f"a frame of {size} bytes, at most {self._limit}")
            if len(self._buffer) < 4 + size:
                break
            messages.append(_read(bytes(self._buffer[4 : 4 + size])))
            del self._buffer[: 4 + size]
        return messages


def _read(body: bytes) -> Message:
    try:
        message = json.loads(body)
    except (ValueError, RecursionError):
        raise ProtocolError(f"no JSON: {body[:60]!r}") from None
    if not isinstance(message, dict) or not isinstance(message.get("t"), str):
        raise ProtocolError(f"no message: {body[:60]!r}")
    for name, kind in _MEMBERS.get(message["t"], {}).items():
        value = message.get(name)
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            raise ProtocolError(f"{message['t']}.{name} is {value!r:.60}")
    return message


def pick_version(offered: list[Any]) -> int:
    """The highest version that both sides speak; ProtocolError if there is none."""
    common = {v for v in offered if isinstance(v, int)} & set(VERSIONS)
    if not common:
        raise ProtocolError(f"no common version: you speak {offered!r:.60}, I speak {list(VERSIONS)}")
    return max(common)


def digest(values: Mapping[str, Any]) -> str:
    """What a set of settings is known by: 32 hexadecimal digits, the same for the same settings."""
    text = json.dumps(values, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return hashlib.sha256(text.encode()).hexdigest()[:32]
