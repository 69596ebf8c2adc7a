"""The fleet's admission level as one member decides it from the samples of all members.

    condition                           decision
    ---------                           --------
    fewer than MIN_VOTERS members have  the open level: each sidecar admits requests as without the others
    outcomes (fewer than all, in a
    smaller fleet)
    the median of all levels, the own   that median, from HOLD_NS after its own last change on
    one included, is another one
    load of RAISE_LOAD or more          the assumed capacity of the nodes moves to what they serve now. The level
                                        rises to "own shares" at once, and from there until what is admitted is
                                        the capacity: by one level at least, by MAX_RAISE at most. With fewer than
                                        MIN_OUTCOMES outcomes it stays
    load below RAISE_LOAD               the assumed capacity grows by CAPACITY_GROWTH. The level goes down
                                        until what is admitted is the capacity; by a single level only if the
                                        load is below LOWER_LOAD and it last went up COOLDOWN_NS ago or earlier.
                                        It stops at "own shares", and goes down one by one from there
    the same, and what is admitted is   no change
    within a level of the capacity

The load is the weighted median of the members' ratios. A sample's weight is its number of outcomes, at most
MAX_RELATIVE_WEIGHT times the median weight. So a single member that lies, is lucky or has a bad link changes
nothing, and even a fifth of all members cannot move the median beyond the values of the others. A member with few
requests has little weight. The median of levels keeps all members at the same one. After a change only samples of
the time since then count. So members that decide the same at once do not add up, and each change is judged by its
effect.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from covetally.interface import SECOND
from covetally.overload import levels
from covetally.overload.load import WINDOW_NS, WINDOWS, LoadSample

MIN_VOTERS = 4
MAX_RELATIVE_WEIGHT = 1.5
RAISE_LOAD, LOWER_LOAD = 1.0, 0.5
SETTLE_NS = WINDOWS * WINDOW_NS  # a sample received this long after a change shows the effect of that change
HOLD_NS = SECOND  # it keeps a level that it decided, so that others that evaluate later find it there
COOLDOWN_NS = 2 * SECOND  # after the level went up, until it goes down by a single level
MAX_RAISE = 8  # levels in one change
CAPACITY_GROWTH = 1.01  # factor on the assumed capacity at each evaluation below RAISE_LOAD
MIN_OUTCOMES = 30.0  # outcomes of all samples together for the level to go up: fewer may be chance


class Transition(enum.Enum):
    """What the last evaluation did to the level. Operators see the values."""

    UNCHANGED = "stays"
    RAISED = "up"
    LOWERED = "down"
    FOLLOWED = "joins the others"
    ISOLATED = "alone"


@dataclass(frozen=True, slots=True)
class Vote:
    """A member's level and load sample, and when they were received."""

    level: int
    sample: LoadSample
    at: int = 0


def weighted_median(pairs: Sequence[tuple[float, float]]) -> float:
    """Return the value at which half of the weight is reached; 0 without any pairs of value and weight."""
    total = sum(weight for _, weight in pairs)
    passed = 0.0
    for value, weight in sorted(pairs):
        passed += weight
        if 2 * passed >= total:
            return value
    return 0.0


def load_of(votes: Sequence[Vote]) -> tuple[float, float]:
    """Return the load that all votes together show, and the number of outcomes behind it."""
    weights = sorted(vote.sample.weight for vote in votes if vote.sample.weight)
    if not weights:
        return 0.0, 0.0
    limit = MAX_RELATIVE_WEIGHT * weights[(len(weights) - 1) // 2]
    pairs = [(v.sample.ratio, min(v.sample.weight, limit)) for v in votes if v.sample.weight]
    return weighted_median(pairs), sum(weight for _, weight in pairs)


class Threshold:
    """One member's view of the fleet's admission level. Times in ns."""

    def __init__(self, now: int, size: int) -> None:
        self.size = size
        self.level = levels.OPEN
        self.since = now  # when the level last changed
        self.transition = Transition.ISOLATED
        self.load = self.outcomes = 0.0
        self.voters = 0
        self.capacity = 0.0  # requests served in a window per member while nodes had queues; 0: not measured
        self._changed_at = self._decided_at = self._raised_at = now - SECOND

    def evaluate(
        self, now: int, own: LoadSample, others: Sequence[Vote],
        least: int = levels.OPEN, most: int = levels.MAX_LEVEL,
    ) -> int:  # fmt: skip
        """Decide the level anew and return it; operators keep it from `least` to `most`."""
        votes = [*others, Vote(self.level, own, now)]
        self.voters = sum(1 for vote in votes if vote.sample.weight)
        if self.voters < min(MIN_VOTERS, self.size):
            self._set_level(now, max(least, min(most, levels.OPEN)), Transition.ISOLATED)
            return self.level
        sorted_levels = sorted(vote.level for vote in votes)
        common = max(least, min(most, sorted_levels[(len(sorted_levels) - 1) // 2]))
        if common != self.level and now - self._decided_at >= HOLD_NS:
            self._set_level(now, common, Transition.FOLLOWED)
        votes = [vote for vote in votes if vote.at - self._changed_at >= SETTLE_NS]
        if sum(1 for vote in votes if vote.sample.weight) < min(MIN_VOTERS, self.size):
            return self.level
        self.load, self.outcomes = load_of(votes)
        self._update_capacity(votes)
        target = max(least, min(most, self._target_level(now, votes)))
        if target != self.level:
            self._raised_at = now if target > self.level else self._raised_at
            self._set_level(now, target, Transition.RAISED if target > self.level else Transition.LOWERED)
            self._decided_at = now
        elif common == self.level:
            self.transition = Transition.UNCHANGED
        return self.level

    def _update_capacity(self, votes: Sequence[Vote]) -> None:
        if self.load >= RAISE_LOAD:
            served = sum(vote.sample.served for vote in votes) / len(votes)
            self.capacity += (served - self.capacity) * (0.5 if self.capacity else 1.0)
        else:
            self.capacity *= CAPACITY_GROWTH

    def _target_level(self, now: int, votes: Sequence[Vote]) -> int:
        level = self.level
        if self.load >= RAISE_LOAD:
            if self.outcomes < MIN_OUTCOMES:
                return level
            if level < levels.OWN_SHARES:
                return levels.OWN_SHARES
            return min(levels.MAX_LEVEL, level + max(1, min(MAX_RAISE, self._levels_to_capacity(votes))))
        if level == levels.OPEN:
            return level
        change = self._levels_to_capacity(votes)
        if change >= 0 or (change == -1 and (self.load >= LOWER_LOAD or now - self._raised_at < COOLDOWN_NS)):
            return level
        target = level + change
        # Requests beyond their tenant's share come back first, and retries after them: how many either are is
        # unknown.
        return max(target, levels.OWN_SHARES if level > levels.OWN_SHARES else level - 1)

    def _levels_to_capacity(self, votes: Sequence[Vote]) -> int:
        """Return how many levels up what is admitted would equal the nodes' capacity; negative for down."""
        admitted = sum(vote.sample.admitted for vote in votes) / len(votes)
        return levels.levels_for_share(self.capacity / admitted) if admitted else -levels.MAX_LEVEL

    def _set_level(self, now: int, level: int, transition: Transition) -> None:
        self.transition = transition
        if level != self.level:
            self.level, self.since, self._changed_at = level, now, now
