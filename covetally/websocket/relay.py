"""One open socket: two connections, what goes between them, and how they end.

    OPEN       frames go both ways as they come
    CLOSING    a close frame is on its way to one side or both; what is awaited is the other's, for close_s
    ENDED      both connections are closed, and it has been told once

A close that one side sends goes through to the other, and so does the answer to it: then neither the code nor
the reason is ours. What this sidecar says itself (a drain, a side that is lost, slow, silent or at fault) goes to
both, each with the code that fits it. A close frame can only be put between two frames; where a long one is cut
in the middle, whoever was getting it sees a reset, so that the part cannot pass for the whole.
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
    INTERNAL,
    PING,
    POLICY,
    TRY_LATER,
    Frames,
    Got,
    Limits,
    Violation,
    close,
    control,
)
from covetally.websocket.life import CLIENT, NODE, Life, Patience, Verdict

RECEIVE = 64 * 1024  # one read
OWN = b"cs"  # pings of ours begin so
RATE_BURST_S = 2.0  # frames of so many seconds may come at once
FAULTS = frozenset(
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
)  # what somebody should know of
_landing = memoryview(bytearray(RECEIVE))  # shared: filled and emptied within one callback
_RESET = struct.pack("ii", 1, 0)  # struct linger: on, for no time at all


class State(enum.Enum):
    """See the module's head."""

    OPEN = "open"
    CLOSING = "closing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Terms:
    """What holds for a socket. Bytes, frames a second, seconds."""

    limits: Limits
    frames_per_s: float
    buffer: int  # bytes that may wait for a side before the other is not read any more
    close_s: float
    patience: Patience


class _Side:
    """One of the two connections."""

    __slots__ = (
        "close_got", "close_sent", "fd", "frames", "got", "lost", "number", "out", "owed", "reading", "sock",
        "tokens", "tokens_at", "waiting", "writing",
    )  # fmt: skip

    def __init__(self, number: int, sock: socket.socket, limits: Limits, tokens: float, now: float) -> None:
        self.number, self.sock, self.fd = number, sock, sock.fileno()
        self.frames = Frames(number == CLIENT, limits)  # what it sends
        self.out: deque[bytes] = deque()  # what waits to be sent to it
        self.waiting = 0  # bytes of that
        self.reading = self.writing = False
        self.lost = False
        self.owed = b""  # a frame of ours that waits for the end of a long one
        self.close_sent: int | None = None  # a close frame has been put into what is sent to it,
        self.close_got: int | None = None  # and one has come from it
        self.tokens, self.tokens_at = tokens, now
        self.got = 0  # frames from it


class Ending(NamedTuple):
    """How a socket ended: why, and the close code that each side was sent and sent itself (None: none)."""

    why: str
    sent: tuple[int | None, int | None]
    got: tuple[int | None, int | None]


class Relay:
    """One socket. `ended` is told once, never from within `__init__` or `close`; `hung` when the node says
    nothing for too long."""

    __slots__ = (
        "_close_at", "_hung", "_life", "_look_at", "_loop", "_terms", "_timer", "_wheel", "ended", "id", "node",
        "sides", "state", "tenant", "why",
    )  # fmt: skip

    def __init__(
        self, id: int, node: str, tenant: str, client: tuple[socket.socket, bytes],
        server: tuple[socket.socket, bytes], terms: Terms, wheel: TimerWheel, luck: float,
        ended: Callable[[Relay, Ending], None], hung: Callable[[Relay], None],
    ) -> None:  # fmt: skip
        self.id, self.node, self.tenant = id, node, tenant
        self._loop = asyncio.get_running_loop()
        self._terms, self._wheel = terms, wheel
        self.ended, self._hung = ended, hung
        self.state, self.why = State.OPEN, ""
        now = self._loop.time()
        self._life = Life(terms.patience, luck, now)
        burst = terms.frames_per_s * RATE_BURST_S
        self.sides = (
            _Side(CLIENT, client[0], terms.limits, burst, now), _Side(NODE, server[0], terms.limits, burst, now)
        )  # fmt: skip
        self._close_at = 0.0
        self._timer: Timer | None = None
        self._look_at = 0.0
        for side, early in zip(self.sides, (client[1], server[1]), strict=True):
            side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, terms.buffer)
            self._read(side, True)
            if early:  # it came right behind the handshake
                self._loop.call_soon(self._early, side, early)
        self._wait()

    # --- time -----------------------------------------------------------------------------------

    def _wait(self) -> None:
        """Have a timer for whatever comes first; one that comes too early looks again."""
        if self.state is State.ENDED:
            return
        at = self._close_at or self._life.next(self._loop.time())
        if self._timer is not None:
            if self._look_at <= at:
                return
            self._timer.cancel()
        self._look_at = at
        self._timer = self._wheel.call_at(at, self._look)

    def _look(self) -> None:
        self._timer = None
        now = self._loop.time()
        if self.state is State.CLOSING:
            if now >= self._close_at:
                self._end()
            else:
                self._wait()
            return
        for number, verdict in self._life.look(now):
            if self.state is not State.OPEN:
                return
            self._judge(number, verdict)
        self._wait()

    def _judge(self, number: int, verdict: Verdict) -> None:
        side = self.sides[number]
        if verdict is Verdict.PING:
            payload = OWN + os.urandom(6)
            side.frames.own.add(payload)
            self._say(side, control(PING, payload, number == NODE))
        elif verdict is Verdict.IDLE:
            self.close("idle", GOING_AWAY, GOING_AWAY, "nothing was said for too long")
        elif verdict is Verdict.SLOW:
            if number == CLIENT:
                self.close("slow client", POLICY, GOING_AWAY, "too slow a reader")
            else:
                self.close("slow node", TRY_LATER, POLICY, "too slow a reader")
        elif number == CLIENT:
            self.close("silent client", GOING_AWAY, GOING_AWAY, "no sign of life")
        else:
            self._hung(self)
            self.close("stalled node", INTERNAL, GOING_AWAY, "the node is silent")

    # --- reading --------------------------------------------------------------------------------

    def _read(self, side: _Side, reading: bool) -> None:
        if side.reading != reading and not side.lost:
            side.reading = reading
            if reading:
                told = self._readable_client if side.number == CLIENT else self._readable_node
                self._loop.add_reader(side.fd, told)
            else:
                self._loop.remove_reader(side.fd)

    def _readable_client(self) -> None:
        self._readable(self.sides[CLIENT])

    def _readable_node(self) -> None:
        self._readable(self.sides[NODE])

    def _readable(self, side: _Side) -> None:
        try:
            count = side.sock.recv_into(_landing)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if count:
            self._take(side, bytes(_landing[:count]))
        else:
            self._lose(side)

    def _early(self, side: _Side, data: bytes) -> None:
        if self.state is not State.ENDED:
            self._take(side, data)

    def _take(self, side: _Side, data: bytes) -> None:
        """Bytes have come from a side: what of them is for the other goes on."""
        other = self.sides[1 - side.number]
        try:
            got = side.frames.feed(data)
        except Violation as violation:
            self._pass(side, other, violation.got)
            if side.number == CLIENT:
                self.close("client at fault", violation.code, GOING_AWAY, violation.reason)
            else:
                self.close("node at fault", INTERNAL, violation.code, violation.reason)
            return
        self._life.heard(side.number, self._loop.time(), got.messages > 0)
        if got.frames and self._terms.frames_per_s and not self._within_rate(side, got.frames):
            self.close(f"{'client' if side.number == CLIENT else 'node'} too fast",
                       *((POLICY, GOING_AWAY) if side.number == CLIENT else (INTERNAL, POLICY)),
                       "too many frames a second")  # fmt: skip
            return
        self._pass(side, other, got)
        if got.close is not None and self.state is not State.ENDED:
            self._closed_by(side, other, got.close[0])

    def _pass(self, side: _Side, other: _Side, got: Got) -> None:
        side.got += got.frames
        if other.close_sent is not None or other.lost:
            return  # it must not have anything after a close frame
        for piece in got.out:
            self._send(other, piece)
        if other.owed and side.frames.between:
            owed, other.owed = other.owed, b""
            self._send(other, owed)
        if other.waiting > self._terms.buffer and side.reading:
            self._read(side, False)
            self._life.read(side.number, self._loop.time(), False)

    def _within_rate(self, side: _Side, frames: int) -> bool:
        now, rate = self._loop.time(), self._terms.frames_per_s
        side.tokens = min(rate * RATE_BURST_S, side.tokens + (now - side.tokens_at) * rate) - frames
        side.tokens_at = now
        return side.tokens >= 0

    # --- writing --------------------------------------------------------------------------------

    def _send(self, side: _Side, data: bytes) -> None:
        if side.lost:
            return
        if not side.waiting:
            try:
                count = side.sock.send(data)
            except (BlockingIOError, InterruptedError):
                count = 0
            except OSError:
                self._lose(side)
                return
            if count == len(data):
                return
            data = data[count:]
            self._life.waits(side.number, self._loop.time(), True)
            told = self._writable_client if side.number == CLIENT else self._writable_node
            self._loop.add_writer(side.fd, told)
            side.writing = True
            self._wait()
        side.out.append(data)
        side.waiting += len(data)

    def _say(self, side: _Side, frame: bytes) -> None:
        """Put in a frame of ours: now, or at the end of a long one that is going through."""
        if self.sides[1 - side.number].frames.between:
            self._send(side, frame)
        else:
            side.owed += frame

    def _writable_client(self) -> None:
        self._writable(self.sides[CLIENT])

    def _writable_node(self) -> None:
        self._writable(self.sides[NODE])

    def _writable(self, side: _Side) -> None:
        try:
            while side.out:
                piece = side.out[0]
                count = side.sock.send(piece)
                side.waiting -= count
                if count < len(piece):
                    side.out[0] = piece[count:]
                    break
                side.out.popleft()
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._lose(side)
            return
        now = self._loop.time()
        self._life.waits(side.number, now, bool(side.out))
        if not side.out:
            self._loop.remove_writer(side.fd)
            side.writing = False
        other = self.sides[1 - side.number]
        if side.waiting <= self._terms.buffer // 2 and not other.reading and not other.lost:
            self._read(other, True)
            self._life.read(other.number, now, True)
        if self.state is State.CLOSING:
            self._settle()

    # --- the end --------------------------------------------------------------------------------

    def close(self, why: str, client_code: int, node_code: int, reason: str) -> None:
        """Close it from here: a close frame to each side that can still have one. Nothing happens if it is
        closing already."""
        if self.state is not State.OPEN:
            return
        self._begin_close(why)
        for side, code in zip(self.sides, (client_code, node_code), strict=True):
            self._say_close(side, code, reason)
        self._settle()

    def _say_close(self, side: _Side, code: int, reason: str) -> None:
        if side.close_sent is None and not side.lost:
            self._say(side, close(code, reason, side.number == NODE))
            side.close_sent = code

    def _begin_close(self, why: str) -> None:
        self.state, self.why = State.CLOSING, why
        self._close_at = self._loop.time() + self._terms.close_s
        self._wait()

    def _closed_by(self, side: _Side, other: _Side, code: int) -> None:
        """A side has sent its close frame, which has been passed on if the other had none yet."""
        side.close_got = code
        if other.close_sent is None:
            other.close_sent = code
        if self.state is State.OPEN:
            self._begin_close(f"closed by the {'client' if side.number == CLIENT else 'node'}")
        self._settle()

    def _settle(self) -> None:
        """End each connection whose part is done. Towards a client this is the server, which closes first (RFC
        6455, 7.1.1); a node closes first."""
        if self.state is not State.CLOSING:
            return
        client, node = self.sides
        for side, other in ((client, node), (node, client)):
            if other.close_sent is not None:  # what comes is dropped; unread it would make a reset of the end
                self._read(side, True)
        if not client.lost and self._said_all(client) and client.close_got is not None:
            self._drop(client)
        if not node.lost and client.lost and self._said_all(node) and node.close_got is not None:
            self._drop(node)
        if client.lost and node.lost:
            self._end()

    def _said_all(self, side: _Side) -> bool:
        return side.close_sent is not None and not side.waiting and not side.owed

    def _lose(self, side: _Side) -> None:
        """Its connection has ended or broken."""
        if side.lost:
            return
        whole = side.frames.between and not side.frames.held
        self._drop(side)
        if self.state is State.ENDED:
            return
        other = self.sides[1 - side.number]
        if not side.frames.between and not other.lost and other.close_sent is None:
            # In the middle of a frame that was going through: nothing that is put in now could be understood.
            self._begin_close("cut in a frame" if self.state is State.OPEN else self.why)
            self._drop(other, reset=True)
            self._end()
            return
        if self.state is State.OPEN:
            if side.number == CLIENT:
                self.close("client lost", GOING_AWAY, GOING_AWAY, "the client is gone")
            else:
                words = "the node is gone" if whole else "the node is gone, in the middle of a frame"
                self.close("node lost", INTERNAL, GOING_AWAY, words)
        elif other.close_sent is None:  # it was closing for the other, which has not been told
            self._say_close(other, INTERNAL if side.number == NODE else GOING_AWAY, "the other side is gone")
        self._settle()

    def _drop(self, side: _Side, reset: bool = False) -> None:
        """Close its connection."""
        if side.lost:
            return
        side.lost = True
        if side.reading:
            self._loop.remove_reader(side.fd)
        if side.writing:
            self._loop.remove_writer(side.fd)
        side.reading = side.writing = False
        side.out.clear()
        side.waiting, side.owed = 0, b""
        if reset:
            with suppress(OSError):
                side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        side.sock.close()

    def abort(self, why: str) -> None:
        """End both connections now."""
        if self.state is not State.ENDED:
            self.why = self.why or why
            self._end()

    def _end(self) -> None:
        if self.state is State.ENDED:
            return
        self.state = State.ENDED
        if self._timer is not None:
            self._timer.cancel()
        for side in self.sides:
            # A side that had its close frame whole has an end in good order; any other sees a reset.
            self._drop(side, reset=not self._said_all(side))
        client, node = self.sides
        ending = Ending(self.why, (client.close_sent, node.close_sent), (client.close_got, node.close_got))
        self._loop.call_soon(self.ended, self, ending)

    def greet(self, data: bytes) -> None:
        """What the client is told first."""
        self._send(self.sides[CLIENT], data)

    @property
    def node_heard_at(self) -> float:
        """When the node last sent something here, on the loop's clock."""
        return self._life.sides[NODE].heard_at

    def silent_s(self) -> float:
        """For how long the quieter side has said nothing."""
        return self._life.silent_s(self._loop.time())
