"""The priority of requests: the same order of load shedding at every sidecar, from a request's head alone.

    priority   requests
    --------   --------
    0 to 2     first tries of tenants within their share: the request's rank times the scale of its class
    2 to 3     first tries beyond their tenant's share: 2 + rank
    3 to 4     retries: 3 + rank

Requests with a higher number are refused first. The scale of a class is between 1 (the class with the most worth)
and 2 (the one with the least). So at any threshold the least class is admitted at no less than half the rate of
the best one, and no class is starved for another. The rank is a hash of the request's id, so that all sidecars
refuse the same requests. Apart from the request's head and its tenant's share, a priority depends on settings
only: other sidecars do not know what one of them has measured.
"""

from __future__ import annotations

from zlib import crc32

from covetally.interface import RequestClass, Settings

FIRST_TRIES_END, OVER_SHARE_END, RETRIES_END = 2.0, 3.0, 4.0  # upper ends of the three bands
SINGLE_SHOT_FACTOR = 1.25  # on the worth of a class that must not be repeated: its clients cannot ask again


def rank(name: bytes | str) -> float:
    """Return a number from 0 to 1 for a request's id."""
    data = name.encode() if isinstance(name, str) else name
    # CRC-32 values of consecutive ids differ in few bits; multiplying by an odd number (Knuth, TAOCP 6.4) spreads
    # them.
    return (crc32(data) * 2654435761 % 2**32) / 2**32


def _weighted_worth(cls: RequestClass) -> float:
    return max(cls.worth, 0.0) * (SINGLE_SHOT_FACTOR if cls.repeat == "single_shot" else 1.0)


class Priorities:
    """The priorities of requests under given settings."""

    def __init__(self, settings: Settings) -> None:
        best = max((_weighted_worth(c) for c in settings.classes), default=0.0) or 1.0
        raw = [2.0 - _weighted_worth(c) / best for c in settings.classes]
        least = max(raw, default=2.0)
        # The scale of the least class reaches the end of the band. Otherwise the first levels above "own shares"
        # would refuse no request.
        self.scales = tuple(max(1.0, scale * FIRST_TRIES_END / least) for scale in raw)
        self._marks_retry = settings.clients_mark_retries

    def priority_of(self, cls: int, rank_: float, covered: float, retry: bool) -> float:
        """Return a request's priority. `covered` is the fraction of its tenant's requests within the share."""
        if retry and self._marks_retry:
            return OVER_SHARE_END + rank_
        if rank_ >= covered:
            return FIRST_TRIES_END + rank_
        scale = self.scales[cls] if 0 <= cls < len(self.scales) else FIRST_TRIES_END
        # The covered part of a tenant over its share is spread over the whole band again.
        return rank_ / covered * scale
