"""Compares instances that have a change with those that do not have it yet, over the same time.

The first row that applies gives the status:

    with the change                  without it, same time    status
    ---------------                  ---------------------    ------
    too few answers                  any                      TOO_FEW: nothing is concluded
    worse than before                too few answers          WORSE: there is nothing to compare with
    not worse than before            too few answers          HEALTHY
    worse than without it, by more   any                      WORSE, even if those without it are worse than
    than chance                                               before: an overload does not hide a bad change
    worse than before                worse than before        WORSE_EVERYWHERE: another cause than the change;
                                                              the rollout waits
    anything else                    any                      HEALTHY: a difference may be chance

"Too few" is fewer than `min_answers`. "Worse" means that the share of bad answers is higher by more than
`max_worse`; a time before with too few answers counts as one without bad answers. "By more than chance" means
that the lower end of the 95 % interval for the difference of the two shares is above 0 (Newcombe 1998, method 10,
which combines Wilson's bounds of each share), and that those with the change have a higher share than all but one
in twenty of the others, taken one by one.

The answers of one sidecar are not independent: in an overload it refuses all requests for seconds, until it finds
a server again. So the interval divides each number of answers by the variance inflation factor that the others
show over the same time (`variance_inflation`). The interval is calculated here because a statistics library would
add 60 MB to the agent.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from typing import NamedTuple

Z = 1.96  # for 95 %
TOLERATED_OUTLIERS = 0.05  # share of the others that, one by one, may be at least as bad as those with the change


class AnswerCounts(NamedTuple):
    """The number of final answers in some time, and how many of them were bad (refused or failed)."""

    total: int = 0
    bad: int = 0

    @property
    def share(self) -> float:
        """The share of bad answers; 0 without any answers."""
        return self.bad / self.total if self.total else 0.0

    def __add__(self, other: object) -> AnswerCounts:
        """Return the counts of both together."""
        if not isinstance(other, AnswerCounts):
            return NotImplemented
        return AnswerCounts(self.total + other.total, self.bad + other.bad)


class HealthStatus(enum.Enum):
    """Status of the instances with a change; the module's table describes each."""

    TOO_FEW = "too few answers"
    HEALTHY = "well"
    WORSE = "worse"
    WORSE_EVERYWHERE = "worse everywhere"


class HealthResult(NamedTuple):
    """A status, and the shares it is based on as a text for operators."""

    status: HealthStatus
    text: str


def variance_inflation(series: Sequence[Sequence[AnswerCounts]]) -> float:
    """Return how many times larger the variance of the share of bad answers is than with independent answers.

    The result is at least 1. Each item of `series` has one sidecar's answers in successive short intervals. The
    factor is Pearson's chi-square over its degrees of freedom (McCullagh and Nelder 1989, 4.5). It is calculated
    for these intervals and for longer ones that are made of them, and the largest counts, since it is not known
    how long a sidecar stays in a good or bad phase.
    """
    largest, merged = 1.0, 1
    longest = max((len(one) for one in series), default=0)
    while merged <= longest:
        largest = max(largest, _inflation([part for one in series for part in _merge(one, merged)]))
        merged *= 2
    return max(largest, _inflation([sum(one, AnswerCounts()) for one in series]))


def _merge(parts: Sequence[AnswerCounts], count: int) -> list[AnswerCounts]:
    """Return the sums of each `count` successive parts, without an incomplete group at the end."""
    return [sum(parts[at : at + count], AnswerCounts()) for at in range(0, len(parts) - count + 1, count)]


def _inflation(parts: Sequence[AnswerCounts]) -> float:
    """Return Pearson's chi-square of the parts against their common share, over its degrees of freedom."""
    parts = [part for part in parts if part.total]
    share = sum(parts, AnswerCounts()).share
    if len(parts) < 2 or not 0.0 < share < 1.0:
        return 1.0
    chi = sum((part.bad - part.total * share) ** 2 / (part.total * share * (1 - share)) for part in parts)
    return chi / (len(parts) - 1)


def compare_health(
    changed: AnswerCounts, unchanged: Sequence[AnswerCounts], before: AnswerCounts, max_worse: float,
    min_answers: int, inflation: float = 1.0,
) -> HealthResult:  # fmt: skip
    """Return the status of the instances with a change.

    `unchanged` has the counts of each instance without it over the same time, and `before` those of the changed
    ones before the change. `max_worse` is a share from 0 to 1, and `inflation` is the `variance_inflation` of the
    instances without the change.
    """
    least = max(1, min_answers)
    others = sum(unchanged, AnswerCounts())
    text = f"refused and failed {changed.share:.1%} of {changed.total} answers"
    if changed.total < least:
        return HealthResult(HealthStatus.TOO_FEW, text)
    usual = before.share if before.total >= least else 0.0
    worse_than_before = changed.share > usual + max_worse
    if others.total < least:
        return HealthResult(
            HealthStatus.WORSE if worse_than_before else HealthStatus.HEALTHY, f"{text}, {usual:.1%} before"
        )
    text += f", {others.share:.1%} without the change, {usual:.1%} before"
    single_shares = sorted(one.share for one in unchanged if one.total >= least)
    tolerated = (
        single_shares[math.ceil((1 - TOLERATED_OUTLIERS) * len(single_shares)) - 1] if single_shares else 0.0
    )
    worse_than_others = changed.share > max(others.share + max_worse, tolerated)
    if worse_than_others and difference_lower_bound(changed, others, inflation) > 0:
        return HealthResult(HealthStatus.WORSE, text)
    if worse_than_before and others.share > usual + max_worse:
        return HealthResult(HealthStatus.WORSE_EVERYWHERE, f"{text}: another cause than this change")
    return HealthResult(HealthStatus.HEALTHY, text)


def wilson_interval(answers: AnswerCounts, inflation: float = 1.0) -> tuple[float, float]:
    """Return Wilson's score interval (1927) for the share of bad answers, with its variance inflated."""
    n, p = answers.total / inflation, answers.share
    if not n:
        return 0.0, 1.0
    middle = p + Z * Z / (2 * n)
    half = Z * math.sqrt(p * (1 - p) / n + Z * Z / (4 * n * n))
    return max(0.0, (middle - half) / (1 + Z * Z / n)), min(1.0, (middle + half) / (1 + Z * Z / n))


def difference_lower_bound(a: AnswerCounts, b: AnswerCounts, inflation: float = 1.0) -> float:
    """Return the lower end of the interval for the share of `a` minus that of `b`."""
    low, high = wilson_interval(a, inflation)[0], wilson_interval(b, inflation)[1]
    return a.share - b.share - math.hypot(a.share - low, high - b.share)
