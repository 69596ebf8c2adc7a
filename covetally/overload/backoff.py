"""When a client that was refused by the line may come back.

The end of a storm must be no second one: times are spread by half, and grow with how far the line is up, since
what waits to come back grows with it. The settings' longest time bounds them.
"""

from __future__ import annotations

from covetally.overload import levels

LEAST = 0.5  # of the longest time, at the first rung


def hold_off_ns(rung: int, longest_ns: int) -> int:
    """The longest of the spread times; the balancer draws between half of it and all."""
    if rung <= levels.OPEN:
        return 0
    return int(longest_ns * min(1.0, LEAST + rung / 12))
