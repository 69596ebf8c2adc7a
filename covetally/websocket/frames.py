"""Incremental parser for the frames of one direction of a WebSocket (RFC 6455, section 5). Performs no I/O.

Input is forwarded byte for byte, without unmasking data frames. Frames of up to MAX_BUFFERED_FRAME bytes are
forwarded whole, so that the sidecar can insert a frame of its own between any two of them. A longer frame is
forwarded in parts as they arrive, and until it ends no frame can be inserted.

    START       waiting for a whole frame header                -> PAYLOAD, STREAMING, CLOSED
    PAYLOAD     buffering a frame until it is whole             -> START, CLOSED
    STREAMING   forwarding a longer frame as it arrives         -> START
    CLOSED      after a close frame or a violation: the input is dropped, since nothing may follow (5.5.1)
"""

from __future__ import annotations

import os
import struct
from dataclasses import dataclass, field
from typing import NoReturn

MAX_BUFFERED_FRAME = 16 * 1024  # bytes of payload; longer frames are not buffered
MAX_CONTROL_PAYLOAD = 125  # bytes (section 5.5)

CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG = 0x0, 0x1, 0x2, 0x8, 0x9, 0xA
_DATA, _CONTROL = (CONTINUATION, TEXT, BINARY), (CLOSE, PING, PONG)
_FIN, _RSV, _RSV1, _OPCODE, _MASK = 0x80, 0x70, 0x40, 0x0F, 0x80

GOING_AWAY, PROTOCOL_ERROR, INVALID_PAYLOAD, POLICY_VIOLATION, MESSAGE_TOO_BIG = 1001, 1002, 1007, 1008, 1009
INTERNAL_ERROR, SERVICE_RESTART, TRY_AGAIN_LATER = 1011, 1012, 1013
NO_STATUS_RECEIVED, ABNORMAL_CLOSURE = 1005, 1006  # never sent (section 7.4.1)


class ProtocolViolation(Exception):
    """The input violates the protocol or a limit. `code` is the close code for the sender (section 7.4.1), and
    `parsed` holds what preceded the violation and is still to be forwarded."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code, self.reason = code, reason
        self.parsed = ParsedFrames()


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one direction. `frame` and `message` are bytes of payload as sent, compressed or not. `rsv1`:
    an extension allows RSV1 on the first frame of a message (RFC 7692). `rsv`: an extension unknown to this
    module was agreed on, so any reserved bit is allowed."""

    frame: int
    message: int
    rsv1: bool = False
    rsv: bool = False


@dataclass(slots=True)
class ParsedFrames:
    """The result of parsing one chunk of input. `forward` holds the bytes to forward, including control frames.
    It ends with a whole frame unless a longer one is streaming. The other fields count and decode the frames."""

    forward: list[bytes] = field(default_factory=list)
    frames: int = 0
    messages: int = 0  # data frames, including continuation frames
    pings: int = 0
    pongs: list[bytes] = field(default_factory=list)
    close: tuple[int, str] | None = None  # code (NO_STATUS_RECEIVED if there is none) and reason


class FrameParser:
    """Parser for one direction. `masked`: it is the client's, whose frames are masked (section 5.1). A pong whose
    payload is in `own_pings` answers a ping of this sidecar: it is reported and not forwarded."""

    __slots__ = (
        "_buffer", "_in_message", "_limits", "_masked", "_message_bytes", "_remaining", "closed", "own_pings",
    )  # fmt: skip

    def __init__(self, masked: bool, limits: Limits) -> None:
        self._masked, self._limits = masked, limits
        self._buffer = b""  # an incomplete header or an incomplete frame
        self._remaining = 0  # bytes of the streaming frame that are still to come
        self._in_message = False  # between the first and the last frame of a fragmented message
        self._message_bytes = 0  # payload bytes of that message so far
        self.closed = False
        self.own_pings: set[bytes] = set()

    @property
    def at_frame_boundary(self) -> bool:
        """Whether the forwarded bytes end with a whole frame, so that another may be inserted."""
        return not self._remaining

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes of an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> ParsedFrames:
        """Parse a chunk of any size. Raises ProtocolViolation on invalid input; later input is dropped."""
        parsed = ParsedFrames()
        if self.closed:
            return parsed
        position, forward_from = 0, 0  # `forward_from`: start of the bytes not yet in `parsed.forward`
        if self._remaining:
            position = min(self._remaining, len(data))
            self._remaining -= position
            if self._remaining:
                parsed.forward.append(data)
                return parsed
        elif self._buffer:
            data = self._buffer + data
            self._buffer = b""
        size = len(data)
        while position < size:
            try:
                header = self._parse_header(data, position, size)
            except ProtocolViolation as violation:
                self._fail(violation, parsed, data[forward_from:position])
            if header is None:
                break  # incomplete header
            first, begin, length = header
            end = begin + length
            if end > size:
                if length <= MAX_BUFFERED_FRAME:
                    break
                self._count_frame(first, length, parsed)
                self._remaining = end - size
                parsed.forward.append(data[forward_from:])
                return parsed
            if first & 0x08:
                try:
                    is_own = self._parse_control(first, data, begin, end, parsed)
                except ProtocolViolation as violation:
                    self._fail(violation, parsed, data[forward_from:position])
                if is_own:
                    if forward_from < position:
                        parsed.forward.append(data[forward_from:position])
                    forward_from = end
                if self.closed:
                    position = end
                    break
            self._count_frame(first, length, parsed)
            position = end
        if forward_from < position:
            parsed.forward.append(data[forward_from:position] if forward_from or position < size else data)
        if not self.closed:
            self._buffer = data[position:]
        return parsed

    def _parse_header(self, data: bytes, position: int, size: int) -> tuple[int, int, int] | None:
        """Return the first byte, the payload's start and its length; None if the header is incomplete. Raises
        ProtocolViolation as soon as the received part of the header is invalid."""
        first = data[position]
        opcode = first & _OPCODE
        if opcode not in _DATA and opcode not in _CONTROL:
            raise ProtocolViolation(PROTOCOL_ERROR, f"opcode {opcode:#x}")
        rsv, limits = first & _RSV, self._limits
        rsv1_allowed = limits.rsv1 and opcode in (TEXT, BINARY)
        if rsv and not (limits.rsv or (rsv == _RSV1 and rsv1_allowed)):
            raise ProtocolViolation(PROTOCOL_ERROR, "a reserved bit that was not agreed on")
        if opcode in _CONTROL:
            if not first & _FIN:
                raise ProtocolViolation(PROTOCOL_ERROR, "a fragmented control frame")
        elif (opcode == CONTINUATION) != self._in_message:
            raise ProtocolViolation(
                PROTOCOL_ERROR, "a message within a message" if self._in_message else "nothing to continue"
            )
        if position + 1 >= size:
            return None
        second = data[position + 1]
        if bool(second & _MASK) != self._masked:
            raise ProtocolViolation(
                PROTOCOL_ERROR, "a frame without a mask" if self._masked else "a frame with a mask"
            )
        length, begin = second & 0x7F, position + 2
        if opcode in _CONTROL and length > MAX_CONTROL_PAYLOAD:
            raise ProtocolViolation(PROTOCOL_ERROR, "a control frame of over 125 bytes")
        if length == 126:
            if begin + 2 > size:
                return None
            length = int.from_bytes(data[begin : begin + 2], "big")
            begin += 2
            if length < 126:
                raise ProtocolViolation(PROTOCOL_ERROR, "a length that is not the shortest form")
        elif length == 127:
            if begin + 8 > size:
                return None
            length = int.from_bytes(data[begin : begin + 8], "big")
            begin += 8
            if length < 65536 or length >> 63:
                raise ProtocolViolation(PROTOCOL_ERROR, "a length that is not the shortest form, or none")
        if opcode in _DATA:
            if length > limits.frame:
                raise ProtocolViolation(MESSAGE_TOO_BIG, f"a frame of over {limits.frame} bytes")
            if self._message_bytes + length > limits.message:
                raise ProtocolViolation(MESSAGE_TOO_BIG, f"a message of over {limits.message} bytes")
        if self._masked:
            begin += 4
        return (first, begin, length) if begin <= size else None

    def _count_frame(self, first: int, length: int, parsed: ParsedFrames) -> None:
        """Update the counts and the state of the message for a frame."""
        parsed.frames += 1
        if not first & 0x08:
            parsed.messages += 1
            self._in_message = not first & _FIN
            self._message_bytes = self._message_bytes + length if self._in_message else 0

    def _fail(self, violation: ProtocolViolation, parsed: ParsedFrames, preceding: bytes) -> NoReturn:
        """Raise a violation with what preceded it."""
        if preceding:
            parsed.forward.append(preceding)
        violation.parsed = parsed
        self.closed = True
        raise violation

    def _parse_control(self, first: int, data: bytes, begin: int, end: int, parsed: ParsedFrames) -> bool:
        """Parse a whole control frame; return whether it is meant for this sidecar only."""
        opcode = first & _OPCODE
        if opcode == PING:
            parsed.pings += 1
            return False
        payload = apply_mask(data[begin:end], data[begin - 4 : begin]) if self._masked else data[begin:end]
        if opcode == PONG:
            parsed.pongs.append(payload)
            if payload in self.own_pings:
                self.own_pings.discard(payload)
                return True
            return False
        parsed.close = parse_close(payload)
        self.closed = True
        return False


def apply_mask(payload: bytes, mask: bytes) -> bytes:
    """Mask or unmask a short payload (section 5.3)."""
    size = len(payload)
    repeated_mask = (mask * (size // 4 + 1))[:size]
    return (int.from_bytes(payload, "big") ^ int.from_bytes(repeated_mask, "big")).to_bytes(size, "big")


def parse_close(payload: bytes) -> tuple[int, str]:
    """Return the code and reason of a close frame (5.5.1, 7.4); raises ProtocolViolation if they are invalid."""
    if not payload:
        return NO_STATUS_RECEIVED, ""
    if len(payload) == 1:
        raise ProtocolViolation(PROTOCOL_ERROR, "half a close code")
    code = int.from_bytes(payload[:2], "big")
    if not (
        3000 <= code < 5000 or (1000 <= code <= 1014 and code not in (1004, NO_STATUS_RECEIVED, ABNORMAL_CLOSURE))
    ):
        raise ProtocolViolation(PROTOCOL_ERROR, f"close code {code}")
    try:
        return code, payload[2:].decode()
    except UnicodeDecodeError:
        raise ProtocolViolation(INVALID_PAYLOAD, "a close reason that is not UTF-8") from None


def encode_control(opcode: int, payload: bytes, masked: bool) -> bytes:
    """Encode a control frame; `masked` towards a node."""
    if not masked:
        return struct.pack("!BB", _FIN | opcode, len(payload)) + payload
    mask = os.urandom(4)
    return struct.pack("!BB", _FIN | opcode, _MASK | len(payload)) + mask + apply_mask(payload, mask)


def encode_close(code: int, reason: str, masked: bool) -> bytes:
    """Encode a close frame; the reason is truncated to what fits."""
    encoded_reason = reason.encode()[: MAX_CONTROL_PAYLOAD - 2].decode(errors="ignore").encode()
    return encode_control(CLOSE, struct.pack("!H", code) + encoded_reason, masked)
