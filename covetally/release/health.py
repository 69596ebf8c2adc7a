"""The health of those that have a change beside that of those that do not have it yet, over the same time.

    changed                      others, the same time      verdict
    -------                      ---------------------      -------
    too few answers              -                          TOO_FEW: nothing is said
    as before                    -                          WELL
    worse than before            too few answers            WORSE: there is nothing to compare with
    worse than the others,       -                          WORSE, whether others are bad too or not: a change
    by more than chance                                     does not hide behind a storm
    worse than before, no        worse than before          EVERYWHERE: another cause than the change; one waits
    worse than the others
    worse than before, no        as before                  WELL: too little to be told from chance
    worse than the others

"Worse" is a share of bad answers higher by more than `max_worse`. "By more than chance" is that the lower end of
the 95 % interval for the difference of two shares (Newcombe 1998, method 10: Wilson's bounds of each, put
together) is above 0, and that those with the change are worse than all but one in twenty of the others taken
one by one.

Answers of one sidecar are not independent: in a storm it refuses all for seconds, until it finds a server again.
So the interval counts each group for as many answers as it has, divided by the variance inflation factor that the
others show over the same time (`clustering`). A statistics library would give the interval in one call, and weigh
60 MB in the agent.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from typing import NamedTuple

Z = 1.96  # 95 %
ALL_BUT = 0.05  # of the others, one by one, that may be as bad as those with the change


class Answers(NamedTuple):
    """Final answers in some time, and the bad ones (refused or failed) of them."""

    all: int = 0
    bad: int = 0

    @property
    def share(self) -> float:
        """Of bad ones; 0 without any."""
        return self.bad / self.all if self.all else 0.0

    def __add__(self, other: object) -> Answers:
        """Those of both."""
        if not isinstance(other, Answers):
            return NotImplemented
        return Answers(self.all + other.all, self.bad + other.bad)


class Verdict(enum.Enum):
    """See the table."""

    TOO_FEW = "too few answers"
    WELL = "well"
    WORSE = "worse"
    EVERYWHERE = "worse everywhere"


class Health(NamedTuple):
    """A verdict, and its figures for operators."""

    verdict: Verdict
    text: str


def clustering(series: Sequence[Sequence[Answers]]) -> float:
    """The variance inflation factor of bad answers: how many times larger the variance of their share is than
    that of as many independent ones; at least 1. Each item of `series` has one sidecar's answers in successive
    short times. Pearson's chi-square over its degrees of freedom (McCullagh and Nelder 1989, 4.5), of short
    times and of longer ones made of them, the worst of these: how long a sidecar's luck lasts is not known."""
    worst, merged = 1.0, 1
    longest = max((len(one) for one in series), default=0)
    while merged <= longest:
        worst = max(worst, _inflation([part for one in series for part in _merged(one, merged)]))
        merged *= 2
    return max(worst, _inflation([sum(one, Answers()) for one in series]))


def _merged(parts: Sequence[Answers], count: int) -> list[Answers]:
    """Each so many successive parts as one; what is left over at the end is left out."""
    return [sum(parts[at : at + count], Answers()) for at in range(0, len(parts) - count + 1, count)]


def _inflation(parts: Sequence[Answers]) -> float:
    """Pearson's chi-square of these against their common share, over its degrees of freedom."""
    parts = [part for part in parts if part.all]
    share = sum(parts, Answers()).share
    if len(parts) < 2 or not 0.0 < share < 1.0:
        return 1.0
    chi = sum((part.bad - part.all * share) ** 2 / (part.all * share * (1 - share)) for part in parts)
    return chi / (len(parts) - 1)


def judge(
    changed: Answers, without: Sequence[Answers], before: Answers, max_worse: float, min_answers: int,
    inflation: float = 1.0,
) -> Health:  # fmt: skip
    """Of those with a change, each of those without it over the same time, and those with it before it.
    `max_worse` is a share from 0 to 1; of fewer than `min_answers` nothing is made. `inflation` is what
    `clustering` gives for those without it."""
    least = max(1, min_answers)
    others = sum(without, Answers())
    text = f"refused and failed {changed.share:.1%} of {changed.all} answers"
    if changed.all < least:
        return Health(Verdict.TOO_FEW, text)
    usual = before.share if before.all >= least else 0.0
    fell = changed.share > usual + max_worse
    if others.all < least:
        return Health(Verdict.WORSE if fell else Verdict.WELL, f"{text}, {usual:.1%} before")
    text += f", {others.share:.1%} where it is not, {usual:.1%} before"
    alone = sorted(one.share for one in without if one.all >= least)
    worst = alone[math.ceil((1 - ALL_BUT) * len(alone)) - 1] if alone else 0.0
    worse = changed.share > max(others.share + max_worse, worst)
    if worse and least_difference(changed, others, inflation) > 0:
        return Health(Verdict.WORSE, text)
    if fell and others.share > usual + max_worse:
        return Health(Verdict.EVERYWHERE, f"{text}: another cause than this change")
    return Health(Verdict.WELL, text)


def wilson(answers: Answers, inflation: float = 1.0) -> tuple[float, float]:
    """Wilson's score interval for the share (1927), of answers whose variance is inflated so."""
    n, p = answers.all / inflation, answers.share
    if not n:
        return 0.0, 1.0
    middle = p + Z * Z / (2 * n)
    half = Z * math.sqrt(p * (1 - p) / n + Z * Z / (4 * n * n))
    return max(0.0, (middle - half) / (1 + Z * Z / n)), min(1.0, (middle + half) / (1 + Z * Z / n))


def least_difference(a: Answers, b: Answers, inflation: float = 1.0) -> float:
    """The lower end of the interval for a's share less b's."""
    low, high = wilson(a, inflation)[0], wilson(b, inflation)[1]
    return a.share - b.share - math.hypot(a.share - low, high - b.share)
