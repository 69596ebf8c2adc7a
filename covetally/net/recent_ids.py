"""Ids of requests that were taken of late."""

from __future__ import annotations


class RecentIds:
    """The ids of requests taken within the longest deadline, or twice that.

    Guards against a second request under the id of one that is open, whose answers and effects servers could
    take for the same. It does harm to a client that sends an id again, which the protocol rules out.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._turn_at = 0.0
        self._new: set[bytes] = set()
        self._old: set[bytes] = set()

    def claim(self, name: bytes, now: float) -> bool:
        """Whether the id has not been seen of late; from now on it has."""
        if now >= self._turn_at:
            self._old = self._new if now < self._turn_at + self._span_s else set()
            self._new = set()
            self._turn_at = now + self._span_s
        if name in self._new or name in self._old:
            return False
        self._new.add(name)
        return True
