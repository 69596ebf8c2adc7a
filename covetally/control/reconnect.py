"""The delay before a sidecar reconnects to its agent. No I/O: randomness and time are passed in."""

from __future__ import annotations

STABLE_S = 10.0  # a connection that lasts this long resets the backoff


class ReconnectBackoff:
    """Exponential backoff from `min_s` to `max_s` seconds; each delay is drawn from the upper half of its range.

    It prevents thousands of sidecars that lost the same agent from reconnecting at the same moment, and a
    connection that breaks right after it opens from being retried in a tight loop. The cost: if the agent is back
    at once and the sidecar drew a long delay, it stays unmanaged for that time, but keeps serving.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self.min_s, self.max_s = min_s, max_s
        self._failures = 0

    def next_delay(self, chance: float) -> float:
        """Return the seconds until the next attempt; `chance` is uniform in [0, 1)."""
        longest = min(self.max_s, self.min_s * 2.0 ** min(self._failures, 40))
        self._failures += 1
        return longest * (0.5 + 0.5 * chance)

    def record_uptime(self, seconds: float) -> None:
        """Record how long a connection lasted; a stable one resets the backoff."""
        if seconds >= STABLE_S:
            self._failures = 0
