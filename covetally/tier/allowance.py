"""So much a second, some of which is saved up: how often a member answers, speaks to all, reads of one sender."""

from __future__ import annotations

SECOND = 1_000_000_000


class Allowance:
    """`per_s` tokens a second, `most` of them saved up; it begins full. Times are ns."""

    __slots__ = ("at", "left", "most", "per_s")

    def __init__(self, per_s: float, most: float, now: int) -> None:
        self.per_s, self.most, self.left, self.at = per_s, most, float(most), now

    def take(self, now: int) -> bool:
        """Whether there is one; it is gone then."""
        self.left = min(self.most, self.left + (now - self.at) * self.per_s / SECOND)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
