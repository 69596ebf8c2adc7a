"""So much a second, some of which is saved up: how often a member answers, speaks to all, reads of one sender."""

from __future__ import annotations

SECOND = 1_000_000_000


class TokenBucket:
    """`per_s` tokens a second, `most` of them saved up; it begins full. Times are ns."""

    __slots__ = ("updated_at", "tokens", "capacity", "rate_per_s")

    def __init__(self, rate_per_s: float, capacity: float, now: int) -> None:
        self.rate_per_s, self.capacity, self.tokens, self.updated_at = rate_per_s, capacity, float(capacity), now

    def take(self, now: int) -> bool:
        """Whether there is one; it is gone then."""
        self.tokens = min(self.capacity, self.tokens + (now - self.updated_at) * self.rate_per_s / SECOND)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
