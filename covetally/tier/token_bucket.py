"""A token bucket, which limits how often a member replies, broadcasts, and reads from one sender."""

from __future__ import annotations

SECOND = 1_000_000_000


class TokenBucket:
    """Refills at `rate_per_s`, holds at most `capacity` tokens, and starts full. Times are in ns."""

    __slots__ = ("updated_at", "tokens", "capacity", "rate_per_s")

    def __init__(self, rate_per_s: float, capacity: float, now: int) -> None:
        self.rate_per_s, self.capacity, self.tokens, self.updated_at = rate_per_s, capacity, float(capacity), now

    def take(self, now: int) -> bool:
        """Take one token; False if there is none."""
        self.tokens = min(self.capacity, self.tokens + (now - self.updated_at) * self.rate_per_s / SECOND)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
