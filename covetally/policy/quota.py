"""This sidecar's quota of a limit that the whole tier shares."""

from __future__ import annotations

from covetally.interface import QuotaUpdate


class Quota:
    """This sidecar's quota of a limit on a tenant's calls, as a rate or as calls in flight.

    A rate is a token bucket that holds `burst_s` of it, and at least one call. The bucket starts empty, so that a
    quota that moves between sidecars is not used twice.
    """

    __slots__ = ("demand", "refilled_at", "update", "tokens")

    def __init__(self, update: QuotaUpdate, now: int) -> None:
        self.update, self.refilled_at, self.tokens = update, now, 0.0
        self.demand = 0  # since `demand` was last read: calls that came, or the most in flight with those refused

    def amount(self, now: int) -> float:
        """Return the usable amount. A lent part expires by this clock, whatever messages arrive."""
        update = self.update
        return (update.amount or 0.0) if now < update.until_ns else update.fallback

    def refill(self, now: int) -> None:
        """Add the tokens earned since the last refill, up to the size of the bucket."""
        update, end = self.update, max(self.refilled_at, min(now, self.update.until_ns))
        earned = (end - self.refilled_at) * (update.amount or 0.0) + (now - end) * update.fallback
        self.tokens = min(self.tokens + earned / 1e9, max(1.0, self.amount(now) * update.burst_s))
        self.refilled_at = now

    def admits(self, now: int, in_flight: int) -> bool:
        """Whether one more call is admitted; `in_flight` counts the tenant's open calls with this one."""
        if self.update.in_flight:
            self.demand = max(self.demand, in_flight)
            return in_flight <= self.amount(now)
        self.demand += 1
        self.refill(now)
        return self.tokens >= 1.0

    def time_to_next(self, now: int) -> int:
        """Return the time until a rate has earned the next call, in ns."""
        return int((1.0 - self.tokens) / max(1e-3, self.amount(now)) * 1e9) + 1
