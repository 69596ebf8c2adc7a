"""Frames of one direction of a WebSocket (RFC 6455, section 5), found without touching their payload. No I/O.

What comes in goes out byte for byte. Whole frames are told apart, so that a frame of ours can always be put
between two of the peer's; one that is longer than HOLD streams through as it comes, and until it ends nothing can
be put in.

    START       a frame's header is awaited            -> PAYLOAD, START
    PAYLOAD     of a frame that is held until whole    -> START
    STREAMING   of one that goes through as it comes   -> START
    CLOSED      a close frame has come: what follows is dropped, since its sender must send nothing more (5.5.1)
"""

from __future__ import annotations

import os
import struct
from dataclasses import dataclass, field
from typing import NoReturn

HOLD = 16 * 1024  # bytes of a frame that are held until it is whole
MAX_CONTROL = 125

CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG = 0x0, 0x1, 0x2, 0x8, 0x9, 0xA
_DATA, _CONTROL = (CONTINUATION, TEXT, BINARY), (CLOSE, PING, PONG)
_FIN, _RSV, _RSV1, _OPCODE, _MASK = 0x80, 0x70, 0x40, 0x0F, 0x80

GOING_AWAY, PROTOCOL_ERROR, INVALID_DATA, POLICY, TOO_BIG = 1001, 1002, 1007, 1008, 1009
INTERNAL, RESTART, TRY_LATER = 1011, 1012, 1013
NO_CODE, BROKEN = 1005, 1006  # never on the wire


class Violation(Exception):
    """What came breaks the protocol, or a limit; `code` is the close code for who sent it (section 7.4.1), `got`
    what came before it and is to be passed on."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code, self.reason = code, reason
        self.got = Got()


@dataclass(frozen=True, slots=True)
class Limits:
    """What one direction may carry. `frame` and `message` are bytes of payload as they are on the wire;
    `rsv1` and `rsv` tell what an agreed extension may set: RSV1 on a message's first frame (RFC 7692), or, of an
    extension that is not known here, anything."""

    frame: int
    message: int
    rsv1: bool = False
    rsv: bool = False


@dataclass(slots=True)
class Got:
    """What a piece of the stream held. `out` are the bytes to pass on, in whole frames but for a frame that
    streams; control frames that are for the peer are among them. The rest tells what was seen."""

    out: list[bytes] = field(default_factory=list)
    frames: int = 0
    messages: int = 0  # frames that are no control frames
    pings: int = 0
    pongs: list[bytes] = field(default_factory=list)
    close: tuple[int, str] | None = None  # its code (NO_CODE if it has none) and reason


class Frames:
    """One direction. `masked`: it is the client's, whose frames are masked (section 5.1). A pong whose payload is
    in `own` answers a ping of ours: it is told and not passed on."""

    __slots__ = ("_buffer", "_left", "_limits", "_masked", "_message", "_open", "closed", "own")

    def __init__(self, masked: bool, limits: Limits) -> None:
        self._masked, self._limits = masked, limits
        self._buffer = b""  # a header that is not whole, or a frame that is held
        self._left = 0  # of a frame that streams
        self._open = False  # a fragmented message is under way
        self._message = 0  # bytes of it so far
        self.closed = False
        self.own: set[bytes] = set()

    @property
    def between(self) -> bool:
        """Whether what was passed on ended with a whole frame: another may be put in now."""
        return not self._left

    @property
    def held(self) -> int:
        """Bytes of a frame that is not whole."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Got:
        """Take bytes in any pieces; Violation, after which nothing more may be fed, on what must not come."""
        got = Got()
        if self.closed:
            return got
        at, start = 0, 0  # `start`: where what is to be passed on begins
        if self._left:
            at = min(self._left, len(data))
            self._left -= at
            if self._left:
                got.out.append(data)
                return got
        elif self._buffer:
            data = self._buffer + data
            self._buffer = b""
        size = len(data)
        while at < size:
            try:
                head = self._header(data, at, size)
            except Violation as violation:
                self._refuse(violation, got, data[start:at])
            if head is None:
                break  # not whole yet
            first, begin, length = head
            end = begin + length
            if end > size:
                if length <= HOLD:
                    break
                self._count(first, length, got)
                self._left = end - size
                got.out.append(data[start:])
                return got
            if first & 0x08:
                try:
                    mine = self._control(first, data, begin, end, got)
                except Violation as violation:
                    self._refuse(violation, got, data[start:at])
                if mine:
                    if start < at:
                        got.out.append(data[start:at])
                    start = end
                if self.closed:
                    at = end
                    break
            self._count(first, length, got)
            at = end
        if start < at:
            got.out.append(data[start:at] if start or at < size else data)
        if not self.closed:
            self._buffer = data[at:]
        return got

    def _header(self, data: bytes, at: int, size: int) -> tuple[int, int, int] | None:
        """First byte, where the payload begins and its length; None if the header is not whole. What is wrong
        with the part that is here is told at once."""
        first = data[at]
        opcode = first & _OPCODE
        if opcode not in _DATA and opcode not in _CONTROL:
            raise Violation(PROTOCOL_ERROR, f"opcode {opcode:#x}")
        rsv, limits = first & _RSV, self._limits
        may_rsv1 = limits.rsv1 and opcode in (TEXT, BINARY)
        if rsv and not (limits.rsv or (rsv == _RSV1 and may_rsv1)):
            raise Violation(PROTOCOL_ERROR, "a reserved bit that was not agreed on")
        if opcode in _CONTROL:
            if not first & _FIN:
                raise Violation(PROTOCOL_ERROR, "a fragmented control frame")
        elif (opcode == CONTINUATION) != self._open:
            raise Violation(PROTOCOL_ERROR, "a message within a message" if self._open else "nothing to continue")
        if at + 1 >= size:
            return None
        second = data[at + 1]
        if bool(second & _MASK) != self._masked:
            raise Violation(PROTOCOL_ERROR, "a frame without a mask" if self._masked else "a frame with a mask")
        length, begin = second & 0x7F, at + 2
        if opcode in _CONTROL and length > MAX_CONTROL:
            raise Violation(PROTOCOL_ERROR, "a control frame of over 125 bytes")
        if length == 126:
            if begin + 2 > size:
                return None
            length = int.from_bytes(data[begin : begin + 2], "big")
            begin += 2
            if length < 126:
                raise Violation(PROTOCOL_ERROR, "a length that is not the shortest form")
        elif length == 127:
            if begin + 8 > size:
                return None
            length = int.from_bytes(data[begin : begin + 8], "big")
            begin += 8
            if length < 65536 or length >> 63:
                raise Violation(PROTOCOL_ERROR, "a length that is not the shortest form, or none")
        if opcode in _DATA:
            if length > limits.frame:
                raise Violation(TOO_BIG, f"a frame of over {limits.frame} bytes")
            if self._message + length > limits.message:
                raise Violation(TOO_BIG, f"a message of over {limits.message} bytes")
        if self._masked:
            begin += 4
        return (first, begin, length) if begin <= size else None

    def _count(self, first: int, length: int, got: Got) -> None:
        got.frames += 1
        if not first & 0x08:
            got.messages += 1
            self._open = not first & _FIN
            self._message = self._message + length if self._open else 0

    def _refuse(self, violation: Violation, got: Got, before: bytes) -> NoReturn:
        if before:
            got.out.append(before)
        violation.got = got
        self.closed = True
        raise violation

    def _control(self, first: int, data: bytes, begin: int, end: int, got: Got) -> bool:
        """Look into a whole control frame; whether it was for this program alone."""
        opcode = first & _OPCODE
        if opcode == PING:
            got.pings += 1
            return False
        payload = unmasked(data[begin:end], data[begin - 4 : begin]) if self._masked else data[begin:end]
        if opcode == PONG:
            got.pongs.append(payload)
            if payload in self.own:
                self.own.discard(payload)
                return True
            return False
        got.close = parse_close(payload)
        self.closed = True
        return False


def unmasked(payload: bytes, mask: bytes) -> bytes:
    """A short payload with its mask taken off, or put on (section 5.3)."""
    size = len(payload)
    whole = (mask * (size // 4 + 1))[:size]
    return (int.from_bytes(payload, "big") ^ int.from_bytes(whole, "big")).to_bytes(size, "big")


def parse_close(payload: bytes) -> tuple[int, str]:
    """Code and reason of a close frame (sections 5.5.1 and 7.4); Violation if they are none."""
    if not payload:
        return NO_CODE, ""
    if len(payload) == 1:
        raise Violation(PROTOCOL_ERROR, "half a close code")
    code = int.from_bytes(payload[:2], "big")
    if not (3000 <= code < 5000 or (1000 <= code <= 1014 and code not in (1004, NO_CODE, BROKEN))):
        raise Violation(PROTOCOL_ERROR, f"close code {code}")
    try:
        return code, payload[2:].decode()
    except UnicodeDecodeError:
        raise Violation(INVALID_DATA, "a close reason that is not UTF-8") from None


def control(opcode: int, payload: bytes, masked: bool) -> bytes:
    """A control frame of ours; masked towards a node."""
    if not masked:
        return struct.pack("!BB", _FIN | opcode, len(payload)) + payload
    mask = os.urandom(4)
    return struct.pack("!BB", _FIN | opcode, _MASK | len(payload)) + mask + unmasked(payload, mask)


def close(code: int, reason: str, masked: bool) -> bytes:
    """A close frame of ours; the reason is cut to what fits."""
    words = reason.encode()[: MAX_CONTROL - 2].decode(errors="ignore").encode()
    return control(CLOSE, struct.pack("!H", code) + words, masked)
