"""What all sidecars together may spend on more than first tries, by arithmetic, without a word.

Each of n members may make the n-th part: of R trials a second at one node, one in n / R seconds, at a moment that
follows from its name and the node's. So the sum is R a second whatever n is, and no two members need to agree
on a clock: moments are spread evenly by the hash. The same for new connections.
"""

from __future__ import annotations

from covetally.interface import SECOND

RETRIES = 0.2  # attempts beyond the first, for one request: what each sidecar earns today
SAVED = 200.0  # further attempts that the whole fleet may have saved up


def gap_ns(size: int, per_s: float) -> int:
    """How far apart one of `size` members' own are, so that all together make `per_s`; 0: no bound."""
    return int(size / per_s * SECOND) if per_s > 0 else 0


def saved(size: int) -> float:
    """The further attempts that one member may have saved up: one at least."""
    return max(1.0, min(10.0, SAVED / size))


def most_retries(requests: float, size: int) -> float:
    """The bound: further attempts of all members over a time in which `requests` came."""
    return RETRIES * requests + max(float(size), min(10.0 * size, SAVED))
