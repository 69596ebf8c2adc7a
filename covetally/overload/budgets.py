"""Fleet-wide budgets for retries, probes and new connections, divided by arithmetic, without communication.

Each of n members may use the n-th part. Of R probes a second at one node it makes one in n / R seconds, at a
moment that is derived from its own name and the node's. So the sum is R a second for any n, and no two members
need synchronized clocks: the hash spreads the moments evenly. The same holds for new connections.
"""

from __future__ import annotations

from covetally.interface import SECOND

RETRIES_PER_REQUEST = 0.2  # the same ratio as each sidecar uses on its own
FLEET_SAVED_RETRIES = 200.0  # retries that the whole fleet may have saved up


def interval_ns(size: int, per_s: float) -> int:
    """Return the time between two uses by one of `size` members that together make `per_s`; 0: no limit."""
    return int(size / per_s * SECOND) if per_s > 0 else 0


def max_saved_retries(size: int) -> float:
    """Return how many retries one of `size` members may save up: from 1 to 10."""
    return max(1.0, min(10.0, FLEET_SAVED_RETRIES / size))


def max_retries(requests: float, size: int) -> float:
    """Return the upper limit of retries by all members in a time in which `requests` arrived."""
    return RETRIES_PER_REQUEST * requests + max(float(size), min(10.0 * size, FLEET_SAVED_RETRIES))
