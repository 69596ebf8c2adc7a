"""The one order of all requests: which is shed before which, the same at every sidecar, from its head alone.

    place      who stands there
    -----      ----------------
    0 to 2     first tries of tenants within their share: the request's rank times its class's scale
    2 to 3     first tries beyond their tenant's share: 2 and the rank
    3 to 4     retries: 3 and the rank

A class's scale is between 1 (worthiest) and 2 (least worth, repeatable), so at any line the least class is let
in at half the rate of the best at least: none starves so that another is whole. A rank is drawn from the
request's id by a hash, so all sidecars draw the line through the same requests. Only settings go into a place,
nothing learned: what one sidecar has learned others have not.
"""

from __future__ import annotations

from zlib import crc32

from covetally.interface import RequestClass, Settings

FIRST, SHARES, RETRIES = 2.0, 3.0, 4.0  # ends of the three bands
FINAL = 1.25  # worth of a class that may not be repeated: its client cannot simply ask again


def rank(name: bytes | str) -> float:
    """From 0 to 1, by the request's id."""
    data = name.encode() if isinstance(name, str) else name
    # CRC-32 of ids that count up differs in few bits: multiplied by an odd number (Knuth, TAOCP 6.4) it spreads.
    return (crc32(data) * 2654435761 % 2**32) / 2**32


def _value(cls: RequestClass) -> float:
    return max(cls.worth, 0.0) * (FINAL if cls.repeat == "single_shot" else 1.0)


class Order:
    """The order under some settings."""

    def __init__(self, settings: Settings) -> None:
        best = max((_value(c) for c in settings.classes), default=0.0) or 1.0
        raw = [2.0 - _value(c) / best for c in settings.classes]
        least = max(raw, default=2.0)
        # The last of the classes ends the band, or the line would move through nobody for a while.
        self.scales = tuple(max(1.0, scale * FIRST / least) for scale in raw)
        self._marks = settings.marks_retry

    def place(self, cls: int, rank_: float, within: float, retry: bool) -> float:
        """A request's place. `within` is the part of its tenant's requests that its share covers, from 0 to 1."""
        if retry and self._marks:
            return SHARES + rank_
        if rank_ >= within:
            return FIRST + rank_
        scale = self.scales[cls] if 0 <= cls < len(self.scales) else FIRST
        # Of a tenant that is over its share the covered part is spread over the whole band again.
        return rank_ / within * scale
