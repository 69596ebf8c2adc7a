"""The ids of recently accepted requests."""

from __future__ import annotations


class RecentIds:
    """The ids of requests accepted within the last `span_s` to twice that, where `span_s` is the longest
    deadline.

    Guards against a request with the id of another one in progress: servers could mix up their responses and
    effects. Harms clients that reuse an id, which the protocol forbids.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._rotate_at = 0.0
        self._new: set[bytes] = set()
        self._old: set[bytes] = set()

    def claim(self, trace_id: bytes, now: float) -> bool:
        """Record an id; returns False if it was already recorded recently."""
        if now >= self._rotate_at:
            self._old = self._new if now < self._rotate_at + self._span_s else set()
            self._new = set()
            self._rotate_at = now + self._span_s
        if trace_id in self._new or trace_id in self._old:
            return False
        self._new.add(trace_id)
        return True
