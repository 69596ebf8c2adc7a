"""This sidecar's part of a limit that a whole tier holds together."""

from __future__ import annotations

from covetally.interface import QuotaUpdate


class Quota:
    """This sidecar's part of a limit on a tenant's calls. A rate is saved up for `burst_s`, and for one call at
    least; what is saved begins with nothing, so that parts that change hands are not used twice."""

    __slots__ = ("asked", "at", "told", "tokens")

    def __init__(self, told: QuotaUpdate, now: int) -> None:
        self.told, self.at, self.tokens = told, now, 0.0
        self.asked = 0  # calls that came, or most in flight at a time with the refused, since `demand` was read

    def amount(self, now: int) -> float:
        """What may be used now: a part that was lent has lapsed by this clock, whatever else was heard."""
        told = self.told
        return (told.amount or 0.0) if now < told.until_ns else told.fallback

    def refill(self, now: int) -> None:
        """Save up what has come in, to what may be saved."""
        told, end = self.told, max(self.at, min(now, self.told.until_ns))
        came = (end - self.at) * (told.amount or 0.0) + (now - end) * told.fallback
        self.tokens = min(self.tokens + came / 1e9, max(1.0, self.amount(now) * told.burst_s))
        self.at = now

    def admits(self, now: int, open_: int) -> bool:
        """Whether one more call may come, where `open_` are in flight with it."""
        if self.told.in_flight:
            self.asked = max(self.asked, open_)
            return open_ <= self.amount(now)
        self.asked += 1
        self.refill(now)
        return self.tokens >= 1.0

    def wait(self, now: int) -> int:
        """When the next call's part of a rate has come in, in ns."""
        return int((1.0 - self.tokens) / max(1e-3, self.amount(now)) * 1e9) + 1
