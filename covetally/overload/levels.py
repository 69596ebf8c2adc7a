"""The rungs of the line, with names. Above a rung's place everything is refused.

Rung 0 refuses nobody, 1 retries, 2 whoever is beyond its tenant's share; from 3 on each lets in a tenth less of
the rest than the one below. Whole rungs, so that all sidecars can stand at the same one.
"""

from __future__ import annotations

import math

from covetally.overload.priorities import FIRST, RETRIES, SHARES

OPEN, NO_RETRIES, OWN_SHARES = 0, 1, 2
STEP = 0.9
LAST = 24
NEVER = 1e9  # place of the open line: nobody stands there


def place(rung: int) -> float:
    """Where the line stands on a rung."""
    if rung <= OPEN:
        return NEVER
    if rung == NO_RETRIES:
        return SHARES
    return FIRST * STEP ** (min(rung, LAST) - OWN_SHARES)


def name(rung: int) -> str:
    """For operators."""
    if rung <= OPEN:
        return "open"
    if rung == NO_RETRIES:
        return "no retries"
    if rung == OWN_SHARES:
        return "own shares"
    return f"{round(100 * place(rung) / FIRST)} % of first tries"


def rungs_for(share: float) -> int:
    """How many rungs up let in this share of what is let in now; of more than 1, how many down, below 0."""
    return round(math.log(min(100.0, max(0.01, share))) / math.log(STEP))


def retries_left(rung: int) -> float:
    """The share of what retries may cost that is left on a rung: none once the line is up."""
    return 1.0 if rung <= OPEN else 0.0


assert place(OWN_SHARES) == FIRST < SHARES < RETRIES < NEVER
