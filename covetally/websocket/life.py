"""When one socket is to be looked at, asked for a sign of life, or given up. No I/O: time is an argument, seconds
on any clock that does not go back.

For each side on its own, client and node:

    heard of within ping_s                          nothing
    silent for ping_s (and up to a quarter more)    a ping, unless what comes is not being read
    silent for pong_s after that                    STALLED: gone, hung, or not reading
    bytes for it that it does not take for slow_s   SLOW
    no message either way for idle_s                IDLE
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

CLIENT, NODE = 0, 1  # the sides of a socket
JITTER = 0.25  # of ping_s: sockets that opened together must not all be asked together


class Verdict(enum.Enum):
    """What to do about a side."""

    PING = "ping"
    STALLED = "stalled"
    SLOW = "slow"
    IDLE = "idle"


@dataclass(frozen=True, slots=True)
class Patience:
    """The times, in seconds; 0 for idle_s: for ever."""

    ping_s: float
    pong_s: float
    slow_s: float
    idle_s: float


@dataclass(slots=True)
class _Side:
    heard_at: float
    asked_at: float = 0.0  # a ping without an answer so far; 0: none
    deaf: bool = False  # what it sends is not being read: it cannot be heard
    stuck_at: float = 0.0  # since when it has taken nothing of what waits for it; 0: nothing waits


@dataclass(slots=True)
class Life:
    """One socket's. `luck` from 0 to 1 spreads the pings of many."""

    patience: Patience
    luck: float
    now: float
    message_at: float = 0.0
    sides: tuple[_Side, _Side] = field(init=False)
    _ping_s: float = 0.0

    def __post_init__(self) -> None:
        self.sides = (_Side(self.now), _Side(self.now))
        self.message_at = self.now
        self._ping_s = self.patience.ping_s * (1.0 + JITTER * self.luck)

    def heard(self, side: int, now: float, message: bool) -> None:
        """Something whole has come from a side: a frame, and if `message` one that is no control frame."""
        one = self.sides[side]
        one.heard_at, one.asked_at = now, 0.0
        if message:
            self.message_at = now

    def read(self, side: int, now: float, reading: bool) -> None:
        """From now on what a side sends is read, or is not because the other takes nothing."""
        one = self.sides[side]
        one.deaf, one.heard_at, one.asked_at = not reading, now, 0.0

    def waits(self, side: int, now: float, waiting: bool) -> None:
        """A side has taken some of what waits for it, all of it, or something has begun to wait."""
        self.sides[side].stuck_at = now if waiting else 0.0

    def look(self, now: float) -> list[tuple[int, Verdict]]:
        """What is to be done now. A ping that is told of counts as sent."""
        patience = self.patience
        found: list[tuple[int, Verdict]] = []
        for number, one in enumerate(self.sides):
            if one.stuck_at and now >= one.stuck_at + patience.slow_s:
                found.append((number, Verdict.SLOW))
            if one.deaf:
                continue
            if one.asked_at:
                if now >= one.asked_at + patience.pong_s:
                    found.append((number, Verdict.STALLED))
            elif now >= one.heard_at + self._ping_s:
                one.asked_at = now
                found.append((number, Verdict.PING))
        if patience.idle_s and now >= self.message_at + patience.idle_s:
            found.append((CLIENT, Verdict.IDLE))
        return found

    def next(self, now: float) -> float:
        """When to look again, if nothing happens until then."""
        patience = self.patience
        again = now + self._ping_s
        for one in self.sides:
            if one.stuck_at:
                again = min(again, one.stuck_at + patience.slow_s)
            if not one.deaf:
                at = one.asked_at + patience.pong_s if one.asked_at else one.heard_at + self._ping_s
                again = min(again, at)
        if patience.idle_s:
            again = min(again, self.message_at + patience.idle_s)
        return max(again, now)

    def silent_s(self, now: float) -> float:
        """For how long the quieter side has said nothing, of those that are read."""
        return max((now - one.heard_at for one in self.sides if not one.deaf), default=0.0)
