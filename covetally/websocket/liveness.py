"""Liveness checks of one WebSocket: when to ping a side and when to give it up. Performs no I/O; the time is an
argument, in seconds of any monotonic clock.

Each side, client and node, is checked on its own:

    last frame less than ping_s ago                    nothing
    silent for ping_s (plus up to a quarter)           PING, unless reading from it is paused
    silent for another pong_s                          STALLED: gone, hung, or not reading
    has not taken pending output for slow_s            SLOW
    no message in either direction for idle_s          IDLE
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

CLIENT, NODE = 0, 1  # the sides of a socket
PING_JITTER = 0.25  # as a fraction of ping_s; sockets that opened together must not all be pinged together


class LivenessEvent(enum.Enum):
    """What a check found about a side."""

    PING = "ping"
    STALLED = "stalled"
    SLOW = "slow"
    IDLE = "idle"


@dataclass(frozen=True, slots=True)
class LivenessTimeouts:
    """The timeouts of a socket in seconds; idle_s = 0 disables the idle timeout."""

    ping_s: float
    pong_s: float
    slow_s: float
    idle_s: float


@dataclass(slots=True)
class _SideState:
    last_frame_at: float
    ping_sent_at: float = 0.0  # time of the unanswered ping; 0: none
    paused: bool = False  # this side is not being read, so its silence means nothing
    blocked_since: float = 0.0  # since when it has taken none of its pending output; 0: nothing is pending


@dataclass(slots=True)
class Liveness:
    """Liveness state of one socket. `jitter`, from 0 to 1, spreads the pings of many sockets over time."""

    timeouts: LivenessTimeouts
    jitter: float
    now: float
    message_at: float = 0.0
    sides: tuple[_SideState, _SideState] = field(init=False)
    _ping_s: float = 0.0

    def __post_init__(self) -> None:
        self.sides = (_SideState(self.now), _SideState(self.now))
        self.message_at = self.now
        self._ping_s = self.timeouts.ping_s * (1.0 + PING_JITTER * self.jitter)

    def record_input(self, side: int, now: float, message: bool) -> None:
        """Record input from a side; `message`: it contained a frame other than a control frame."""
        state = self.sides[side]
        state.last_frame_at, state.ping_sent_at = now, 0.0
        if message:
            self.message_at = now

    def set_reading(self, side: int, now: float, reading: bool) -> None:
        """Record that reading from a side resumes, or pauses because the other side does not take its output."""
        state = self.sides[side]
        state.paused, state.last_frame_at, state.ping_sent_at = not reading, now, 0.0

    def record_output(self, side: int, now: float, pending: bool) -> None:
        """Record that a side has taken output or that output has begun to queue; `pending`: some is left."""
        self.sides[side].blocked_since = now if pending else 0.0

    def check(self, now: float) -> list[tuple[int, LivenessEvent]]:
        """Return the events that are due. The caller must send a ping for each PING: it counts as sent."""
        timeouts = self.timeouts
        events: list[tuple[int, LivenessEvent]] = []
        for side, state in enumerate(self.sides):
            if state.blocked_since and now >= state.blocked_since + timeouts.slow_s:
                events.append((side, LivenessEvent.SLOW))
            if state.paused:
                continue
            if state.ping_sent_at:
                if now >= state.ping_sent_at + timeouts.pong_s:
                    events.append((side, LivenessEvent.STALLED))
            elif now >= state.last_frame_at + self._ping_s:
                state.ping_sent_at = now
                events.append((side, LivenessEvent.PING))
        if timeouts.idle_s and now >= self.message_at + timeouts.idle_s:
            events.append((CLIENT, LivenessEvent.IDLE))
        return events

    def next_check_at(self, now: float) -> float:
        """Return when the next check is due if nothing happens until then."""
        timeouts = self.timeouts
        earliest = now + self._ping_s
        for state in self.sides:
            if state.blocked_since:
                earliest = min(earliest, state.blocked_since + timeouts.slow_s)
            if not state.paused:
                at = (
                    state.ping_sent_at + timeouts.pong_s
                    if state.ping_sent_at
                    else state.last_frame_at + self._ping_s
                )
                earliest = min(earliest, at)
        if timeouts.idle_s:
            earliest = min(earliest, self.message_at + timeouts.idle_s)
        return max(earliest, now)

    def silent_s(self, now: float) -> float:
        """Return the longest silence, in seconds, of the sides that are being read."""
        return max((now - state.last_frame_at for state in self.sides if not state.paused), default=0.0)
