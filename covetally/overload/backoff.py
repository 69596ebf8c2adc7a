"""The time after which a client whose request was shed may try again.

Clients must not all return at the end of an overload. So the times are drawn from a range, and grow with the
level, since more requests wait to return at a higher one. The settings' longest time limits them.
"""

from __future__ import annotations

from covetally.overload import levels

MIN_FRACTION = 0.5  # of the longest time; the first level has a twelfth more


def hold_off_ns(level: int, longest_ns: int) -> int:
    """Return the upper end of the range at a level; the balancer draws between half of it and all of it."""
    if level <= levels.OPEN:
        return 0
    return int(longest_ns * min(1.0, MIN_FRACTION + level / 12))
