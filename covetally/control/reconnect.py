"""Decides how long to wait before the agent is dialled again. No I/O: chance and time are given."""

from __future__ import annotations

STABLE_S = 10.0  # a link that stood so long ends a row of failures


class ReconnectBackoff:
    """Pauses that double from `least` to `most` seconds, each drawn from its upper half.

    Guards against thousands of sidecars that lost one agent together and would all come back together, and
    against a link that comes up and breaks at once over and over. It does harm where the agent is back at once
    and the sidecar has drawn a long pause: it is unmanaged for that time, and serves on.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self.min_s, self.max_s = min_s, max_s
        self._row = 0

    def next_delay(self, chance: float) -> float:
        """Seconds until the next dial; `chance` is uniform in [0, 1)."""
        top = min(self.max_s, self.min_s * 2.0 ** min(self._row, 40))
        self._row += 1
        return top * (0.5 + 0.5 * chance)

    def record_uptime(self, seconds: float) -> None:
        """A link was up for so long."""
        if seconds >= STABLE_S:
            self._row = 0
