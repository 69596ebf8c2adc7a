"""The admission levels of the fleet. Each has a threshold: requests of that priority or above it are refused.

Level 0 refuses nothing, level 1 refuses retries, level 2 also requests beyond their tenant's share. Each further
level admits a tenth less of the remaining requests than the one below it. Levels are whole numbers, so that all
sidecars can agree on the same one.
"""

from __future__ import annotations

import math

from covetally.overload.priorities import FIRST_TRIES_END, OVER_SHARE_END, RETRIES_END

OPEN, NO_RETRIES, OWN_SHARES = 0, 1, 2
STEP_FACTOR = 0.9
MAX_LEVEL = 24
NO_THRESHOLD = 1e9  # the threshold of the open level, above the priority of any request


def threshold_of(level: int) -> float:
    """Return the priority at and above which a level refuses requests."""
    if level <= OPEN:
        return NO_THRESHOLD
    if level == NO_RETRIES:
        return OVER_SHARE_END
    return FIRST_TRIES_END * STEP_FACTOR ** (min(level, MAX_LEVEL) - OWN_SHARES)


def level_name(level: int) -> str:
    """Return a level's name for operators."""
    if level <= OPEN:
        return "open"
    if level == NO_RETRIES:
        return "no retries"
    if level == OWN_SHARES:
        return "own shares"
    return f"{round(100 * threshold_of(level) / FIRST_TRIES_END)} % of first tries"


def levels_for_share(share: float) -> int:
    """Return how many levels higher this share of what is admitted now would be; negative for a share above 1."""
    return round(math.log(min(100.0, max(0.01, share))) / math.log(STEP_FACTOR))


def retry_budget_factor(level: int) -> float:
    """Return the factor on the retry budget at a level: no retries are earned at any level but the open one."""
    return 1.0 if level <= OPEN else 0.0


assert threshold_of(OWN_SHARES) == FIRST_TRIES_END < OVER_SHARE_END < RETRIES_END < NO_THRESHOLD
