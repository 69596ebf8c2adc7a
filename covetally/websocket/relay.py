"""One open socket: relays frames between its two connections and closes both.

    OPEN       forwards frames in both directions                       -> CLOSING, ENDED
    CLOSING    has sent a close frame to one side or both, and waits
               up to close_s for theirs                                 -> ENDED
    ENDED      both connections are closed; on_ended is called once

A close frame of one side is forwarded to the other, and so is the answer to it, so code and reason are theirs. If
the sidecar closes the socket itself (a drain, or a side that is lost, slow, silent or at fault), it sends a close
frame to both sides, each with the code that applies to it. A close frame can only be inserted between two frames:
if a long frame is cut in the middle, its receiver gets a reset, so that the part cannot pass for the whole.
"""

from __future__ import annotations

import asyncio
import enum
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple

from covetally.net.timer_wheel import Timer, TimerWheel
from covetally.websocket.frames import (
    GOING_AWAY,
    INTERNAL_ERROR,
    PING,
    POLICY_VIOLATION,
    TRY_AGAIN_LATER,
    FrameParser,
    Limits,
    ParsedFrames,
    ProtocolViolation,
    encode_close,
    encode_control,
)
from covetally.websocket.liveness import CLIENT, NODE, Liveness, LivenessEvent, LivenessTimeouts

RECEIVE_BYTES = 64 * 1024  # bytes of one read
PING_PREFIX = b"cs"  # the payload of pings of this sidecar starts with it
RATE_BURST_S = 2.0  # burst of the frame rate limit, in seconds of that rate
# Causes that are logged as warnings.
FAULT_CAUSES = frozenset(
    (
        "slow client",
        "slow node",
        "stalled node",
        "client at fault",
        "node at fault",
        "client too fast",
        "node too fast",
        "cut in a frame",
    )
)
_receive_buffer = memoryview(bytearray(RECEIVE_BYTES))  # shared: filled and emptied within one callback
_LINGER_RESET = struct.pack("ii", 1, 0)  # struct linger: on, 0 s, so that close() sends a reset


class State(enum.Enum):
    """The state of a relay; see the module docstring."""

    OPEN = "open"
    CLOSING = "closing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """The settings of a socket, in bytes, frames per second and seconds."""

    limits: Limits
    frames_per_s: float
    buffer: int  # bytes that may be queued for a side before reading from the other pauses
    close_s: float
    timeouts: LivenessTimeouts


class _Side:
    """The state of one of the two connections."""

    __slots__ = (
        "close_received", "close_sent", "closed", "fd", "frame_count", "index", "parser", "pending_frame",
        "queue", "queued_bytes", "reading", "sock", "tokens", "tokens_at", "writing",
    )  # fmt: skip

    def __init__(self, index: int, sock: socket.socket, limits: Limits, tokens: float, now: float) -> None:
        self.index, self.sock, self.fd = index, sock, sock.fileno()
        self.parser = FrameParser(index == CLIENT, limits)  # for its input
        self.queue: deque[bytes] = deque()  # output that is waiting to be sent
        self.queued_bytes = 0  # bytes in `queue`
        self.reading = self.writing = False
        self.closed = False
        self.pending_frame = b""  # a frame of the sidecar that waits for the end of a long frame
        self.close_sent: int | None = None  # code of the close frame sent to it
        self.close_received: int | None = None  # code of the close frame received from it
        self.tokens, self.tokens_at = tokens, now
        self.frame_count = 0  # frames received from it


class RelayResult(NamedTuple):
    """The cause of a socket's end, and the close codes sent to and received from each side (None: none)."""

    cause: str
    codes_sent: tuple[int | None, int | None]
    codes_received: tuple[int | None, int | None]


class Relay:
    """Relays one socket. `on_ended` is called once, never from within `__init__` or `close`; `on_unresponsive` is
    called if the node is silent for too long."""

    __slots__ = (
        "_closing_deadline", "_config", "_liveness", "_loop", "_on_ended", "_on_unresponsive", "_timer",
        "_timer_at", "_wheel", "cause", "id", "node", "sides", "state", "tenant",
    )  # fmt: skip

    def __init__(
        self, id: int, node: str, tenant: str, client: tuple[socket.socket, bytes],
        server: tuple[socket.socket, bytes], config: RelayConfig, wheel: TimerWheel, jitter: float,
        on_ended: Callable[[Relay, RelayResult], None], on_unresponsive: Callable[[Relay], None],
    ) -> None:  # fmt: skip
        self.id, self.node, self.tenant = id, node, tenant
        self._loop = asyncio.get_running_loop()
        self._config, self._wheel = config, wheel
        self._on_ended, self._on_unresponsive = on_ended, on_unresponsive
        self.state, self.cause = State.OPEN, ""
        now = self._loop.time()
        self._liveness = Liveness(config.timeouts, jitter, now)
        burst = config.frames_per_s * RATE_BURST_S
        self.sides = (
            _Side(CLIENT, client[0], config.limits, burst, now), _Side(NODE, server[0], config.limits, burst, now)
        )  # fmt: skip
        self._closing_deadline = 0.0
        self._timer: Timer | None = None
        self._timer_at = 0.0
        for side, early in zip(self.sides, (client[1], server[1]), strict=True):
            side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, config.buffer)
            self._set_reading(side, True)
            if early:  # sent right after the handshake
                self._loop.call_soon(self._on_early_input, side, early)
        self._schedule_check()

    # --- time -----------------------------------------------------------------------------------

    def _schedule_check(self) -> None:
        """Schedule the timer for the next check; a timer that fires too early is scheduled again."""
        if self.state is State.ENDED:
            return
        at = self._closing_deadline or self._liveness.next_check_at(self._loop.time())
        if self._timer is not None:
            if self._timer_at <= at:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._wheel.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        """Run the checks that are due, or end a closing handshake that takes too long."""
        self._timer = None
        now = self._loop.time()
        if self.state is State.CLOSING:
            if now >= self._closing_deadline:
                self._finish()
            else:
                self._schedule_check()
            return
        for index, event in self._liveness.check(now):
            if self.state is not State.OPEN:
                return
            self._handle_event(index, event)
        self._schedule_check()

    def _handle_event(self, index: int, event: LivenessEvent) -> None:
        """Send the ping, or close the socket, that a liveness event requires."""
        side = self.sides[index]
        if event is LivenessEvent.PING:
            payload = PING_PREFIX + os.urandom(6)
            side.parser.own_pings.add(payload)
            self._insert_frame(side, encode_control(PING, payload, index == NODE))
        elif event is LivenessEvent.IDLE:
            self.close("idle", GOING_AWAY, GOING_AWAY, "nothing was said for too long")
        elif event is LivenessEvent.SLOW:
            if index == CLIENT:
                self.close("slow client", POLICY_VIOLATION, GOING_AWAY, "too slow a reader")
            else:
                self.close("slow node", TRY_AGAIN_LATER, POLICY_VIOLATION, "too slow a reader")
        elif index == CLIENT:
            self.close("silent client", GOING_AWAY, GOING_AWAY, "no sign of life")
        else:
            self._on_unresponsive(self)
            self.close("stalled node", INTERNAL_ERROR, GOING_AWAY, "the node is silent")

    # --- reading --------------------------------------------------------------------------------

    def _set_reading(self, side: _Side, reading: bool) -> None:
        """Resume or pause reading from a side."""
        if side.reading != reading and not side.closed:
            side.reading = reading
            if reading:
                callback = self._readable_client if side.index == CLIENT else self._readable_node
                self._loop.add_reader(side.fd, callback)
            else:
                self._loop.remove_reader(side.fd)

    def _readable_client(self) -> None:
        self._readable(self.sides[CLIENT])

    def _readable_node(self) -> None:
        self._readable(self.sides[NODE])

    def _readable(self, side: _Side) -> None:
        try:
            count = side.sock.recv_into(_receive_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if count:
            self._on_input(side, bytes(_receive_buffer[:count]))
        else:
            self._on_disconnect(side)

    def _on_early_input(self, side: _Side, data: bytes) -> None:
        if self.state is not State.ENDED:
            self._on_input(side, data)

    def _on_input(self, side: _Side, data: bytes) -> None:
        """Parse input from a side and forward it to the other side."""
        other = self.sides[1 - side.index]
        try:
            parsed = side.parser.feed(data)
        except ProtocolViolation as violation:
            self._forward(side, other, violation.parsed)
            if side.index == CLIENT:
                self.close("client at fault", violation.code, GOING_AWAY, violation.reason)
            else:
                self.close("node at fault", INTERNAL_ERROR, violation.code, violation.reason)
            return
        self._liveness.record_input(side.index, self._loop.time(), parsed.messages > 0)
        if parsed.frames and self._config.frames_per_s and not self._within_rate(side, parsed.frames):
            self.close(f"{'client' if side.index == CLIENT else 'node'} too fast",
                       *((POLICY_VIOLATION, GOING_AWAY) if side.index == CLIENT
                         else (INTERNAL_ERROR, POLICY_VIOLATION)),
                       "too many frames a second")  # fmt: skip
            return
        self._forward(side, other, parsed)
        if parsed.close is not None and self.state is not State.ENDED:
            self._on_close_frame(side, other, parsed.close[0])

    def _forward(self, side: _Side, other: _Side, parsed: ParsedFrames) -> None:
        """Forward parsed input; pauses reading if too much output is queued for the other side."""
        side.frame_count += parsed.frames
        if other.close_sent is not None or other.closed:
            return  # nothing may follow a close frame
        for chunk in parsed.forward:
            self._send(other, chunk)
        if other.pending_frame and side.parser.at_frame_boundary:
            frame, other.pending_frame = other.pending_frame, b""
            self._send(other, frame)
        if other.queued_bytes > self._config.buffer and side.reading:
            self._set_reading(side, False)
            self._liveness.set_reading(side.index, self._loop.time(), False)

    def _within_rate(self, side: _Side, frames: int) -> bool:
        """Return whether a side keeps to the frame rate limit (a token bucket)."""
        now, rate = self._loop.time(), self._config.frames_per_s
        side.tokens = min(rate * RATE_BURST_S, side.tokens + (now - side.tokens_at) * rate) - frames
        side.tokens_at = now
        return side.tokens >= 0

    # --- writing --------------------------------------------------------------------------------

    def _send(self, side: _Side, data: bytes) -> None:
        """Send data to a side; what its socket does not take is queued."""
        if side.closed:
            return
        if not side.queued_bytes:
            try:
                count = side.sock.send(data)
            except (BlockingIOError, InterruptedError):
                count = 0
            except OSError:
                self._on_disconnect(side)
                return
            if count == len(data):
                return
            data = data[count:]
            self._liveness.record_output(side.index, self._loop.time(), True)
            callback = self._writable_client if side.index == CLIENT else self._writable_node
            self._loop.add_writer(side.fd, callback)
            side.writing = True
            self._schedule_check()
        side.queue.append(data)
        side.queued_bytes += len(data)

    def _insert_frame(self, side: _Side, frame: bytes) -> None:
        """Send a frame of the sidecar now, or after the long frame that is being forwarded."""
        if self.sides[1 - side.index].parser.at_frame_boundary:
            self._send(side, frame)
        else:
            side.pending_frame += frame

    def _writable_client(self) -> None:
        self._writable(self.sides[CLIENT])

    def _writable_node(self) -> None:
        self._writable(self.sides[NODE])

    def _writable(self, side: _Side) -> None:
        """Send queued output; resumes reading from the other side once enough has been sent."""
        try:
            while side.queue:
                chunk = side.queue[0]
                count = side.sock.send(chunk)
                side.queued_bytes -= count
                if count < len(chunk):
                    side.queue[0] = chunk[count:]
                    break
                side.queue.popleft()
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._on_disconnect(side)
            return
        now = self._loop.time()
        self._liveness.record_output(side.index, now, bool(side.queue))
        if not side.queue:
            self._loop.remove_writer(side.fd)
            side.writing = False
        other = self.sides[1 - side.index]
        if side.queued_bytes <= self._config.buffer // 2 and not other.reading and not other.closed:
            self._set_reading(other, True)
            self._liveness.set_reading(other.index, now, True)
        if self.state is State.CLOSING:
            self._close_finished_sides()

    # --- closing --------------------------------------------------------------------------------

    def close(self, cause: str, client_code: int, node_code: int, reason: str) -> None:
        """Close the socket: send a close frame to each side that can still get one. Does nothing if it is
        closing already."""
        if self.state is not State.OPEN:
            return
        self._start_closing(cause)
        for side, code in zip(self.sides, (client_code, node_code), strict=True):
            self._insert_close(side, code, reason)
        self._close_finished_sides()

    def _insert_close(self, side: _Side, code: int, reason: str) -> None:
        """Send a close frame to a side unless it has got one."""
        if side.close_sent is None and not side.closed:
            self._insert_frame(side, encode_close(code, reason, side.index == NODE))
            side.close_sent = code

    def _start_closing(self, cause: str) -> None:
        """Enter CLOSING and schedule its deadline."""
        self.state, self.cause = State.CLOSING, cause
        self._closing_deadline = self._loop.time() + self._config.close_s
        self._schedule_check()

    def _on_close_frame(self, side: _Side, other: _Side, code: int) -> None:
        """Handle the close frame of a side; it has been forwarded unless the other side had got one already."""
        side.close_received = code
        if other.close_sent is None:
            other.close_sent = code
        if self.state is State.OPEN:
            self._start_closing(f"closed by the {'client' if side.index == CLIENT else 'node'}")
        self._close_finished_sides()

    def _close_finished_sides(self) -> None:
        """Close each connection whose closing handshake is complete. The server closes first (RFC 6455, 7.1.1):
        towards the client that is this sidecar. Towards the node it is the node, whose connection is therefore
        closed here only after the client's."""
        if self.state is not State.CLOSING:
            return
        client, node = self.sides
        for side, other in ((client, node), (node, client)):
            if other.close_sent is not None:  # input is dropped; unread input would turn the close into a reset
                self._set_reading(side, True)
        if not client.closed and self._close_delivered(client) and client.close_received is not None:
            self._close_connection(client)
        if not node.closed and client.closed and self._close_delivered(node) and node.close_received is not None:
            self._close_connection(node)
        if client.closed and node.closed:
            self._finish()

    def _close_delivered(self, side: _Side) -> bool:
        """Return whether the whole close frame of a side has been sent."""
        return side.close_sent is not None and not side.queued_bytes and not side.pending_frame

    def _on_disconnect(self, side: _Side) -> None:
        """Handle the end or failure of a side's connection."""
        if side.closed:
            return
        between_frames = side.parser.at_frame_boundary and not side.parser.buffered_bytes
        self._close_connection(side)
        if self.state is State.ENDED:
            return
        other = self.sides[1 - side.index]
        if not side.parser.at_frame_boundary and not other.closed and other.close_sent is None:
            # A frame was cut in the middle of forwarding: an inserted frame would be read as part of its payload.
            self._start_closing("cut in a frame" if self.state is State.OPEN else self.cause)
            self._close_connection(other, reset=True)
            self._finish()
            return
        if self.state is State.OPEN:
            if side.index == CLIENT:
                self.close("client lost", GOING_AWAY, GOING_AWAY, "the client is gone")
            else:
                reason = "the node is gone" if between_frames else "the node is gone, in the middle of a frame"
                self.close("node lost", INTERNAL_ERROR, GOING_AWAY, reason)
        elif other.close_sent is None:  # the other side has not got a close frame yet
            self._insert_close(
                other, INTERNAL_ERROR if side.index == NODE else GOING_AWAY, "the other side is gone"
            )
        self._close_finished_sides()

    def _close_connection(self, side: _Side, reset: bool = False) -> None:
        """Close the connection of a side."""
        if side.closed:
            return
        side.closed = True
        if side.reading:
            self._loop.remove_reader(side.fd)
        if side.writing:
            self._loop.remove_writer(side.fd)
        side.reading = side.writing = False
        side.queue.clear()
        side.queued_bytes, side.pending_frame = 0, b""
        if reset:
            with suppress(OSError):
                side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        side.sock.close()

    def abort(self, cause: str) -> None:
        """Close both connections immediately."""
        if self.state is not State.ENDED:
            self.cause = self.cause or cause
            self._finish()

    def _finish(self) -> None:
        """Close both connections and schedule the on_ended callback."""
        if self.state is State.ENDED:
            return
        self.state = State.ENDED
        if self._timer is not None:
            self._timer.cancel()
        for side in self.sides:
            # A side that was sent its whole close frame gets an orderly close, any other side a reset.
            self._close_connection(side, reset=not self._close_delivered(side))
        client, node = self.sides
        result = RelayResult(
            self.cause, (client.close_sent, node.close_sent), (client.close_received, node.close_received)
        )
        self._loop.call_soon(self._on_ended, self, result)

    def send_handshake_response(self, data: bytes) -> None:
        """Send the handshake response to the client."""
        self._send(self.sides[CLIENT], data)

    @property
    def last_node_frame_at(self) -> float:
        """The event loop's time of the node's last frame."""
        return self._liveness.sides[NODE].last_frame_at

    def silent_s(self) -> float:
        """Return the longer silence of the two sides, in seconds."""
        return self._liveness.silent_s(self._loop.time())
