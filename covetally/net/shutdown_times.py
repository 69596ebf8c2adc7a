"""Computes how long the shutdown of a process may take. Arithmetic only, no I/O.

SIGKILL follows SIGTERM after at least the longest deadline of the deployment, capped at 3 s, plus 0.7 s (the
platform's protocol page, "Figures"). Clients open new connections for up to 0.4 s after SIGTERM, and they send
on every open connection until SIGKILL. Therefore every request is answered by `answered_s`, whatever its own
deadline, and the time until `closed_s` is for writing the answers and closing the connections. The remaining
0.2 s before SIGKILL are a margin for a process that is delayed.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_COUNTED_DEADLINE_S = 3.0
ACCEPTING_S = 0.45  # new connections arrive for up to 0.4 s
CLOSED_AFTER_S = 0.5  # after the counted deadline: 0.2 s before SIGKILL may come
CLOSING_S = 0.12  # for writing the last answers and for clients to read them


class ShutdownTimes(NamedTuple):
    """Spans in seconds from the signal that ends the process: until it stops accepting connections, until every
    request is answered, and until every connection is closed."""

    accepting_s: float
    answered_s: float
    closed_s: float


def shutdown_times(longest_deadline_s: float) -> ShutdownTimes:
    """Return the shutdown times for the longest deadline of any class."""
    return times_within(min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + CLOSED_AFTER_S)


def times_within(closed_s: float) -> ShutdownTimes:
    """Return the shutdown times for a shutdown that takes `closed_s` in total."""
    answered_s = max(0.0, closed_s - CLOSING_S)
    return ShutdownTimes(min(ACCEPTING_S, answered_s), answered_s, closed_s)
