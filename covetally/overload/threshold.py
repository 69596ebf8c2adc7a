"""Where the fleet's line stands, as one member decides it from what all say.

    what it finds                                    what it does
    -------------                                    ------------
    fewer than VOTERS members say anything of load   goes back to the open line: today's behaviour
    others stand on other rungs                      takes the median of all, its own among them
    load of RISES or more                            takes what is served now for what nodes can do; up: to
                                                     "own shares" at once, then until what is let in is what they
                                                     can do, one rung at least, MOST_UP at most
    load below RISES                                 takes nodes to be able to do a little more; down, to where
                                                     they would be busy, by a single rung only with load below
                                                     FALLS and CALM_NS after it went up the two agree to within
                                                     a rung                   stays

Load is the weighted median of what members saw. A weight is the outcomes behind a word, at most WEIGHT times the
median one: so a liar, a lucky one or one with a bad link moves nothing alone, and a fifth of them together cannot
push the median past what honest ones say. A member with three requests counts for three. The median of rungs
keeps all on one; after a move only what is said of the time since then counts, so that many who decide alike do
not add up, and each move is judged by what it did.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from covetally.interface import SECOND
from covetally.overload import levels
from covetally.overload.load import WINDOW_NS, WINDOWS, Seen

VOTERS = 4
WEIGHT = 1.5
RISES, FALLS = 1.0, 0.5
SINCE_NS = WINDOWS * WINDOW_NS  # what was said so long after a move is of the line as it stands
STANDS_NS = SECOND  # to its own move, so that others whose looks come later find it there
CALM_NS = 2 * SECOND  # after it went up, until it comes down by a single rung
MOST_UP = 8  # rungs at one move
MORE = 1.01  # by so much nodes are taken to be able to do more, at each look
ENOUGH = 30.0  # outcomes behind the words, all together, for the line to go up: fewer are chance


class Step(enum.Enum):
    """What the last look did."""

    STAYS = "stays"
    UP = "up"
    DOWN = "down"
    JOINS = "joins the others"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class Vote:
    """What one member says of itself, and when it was heard."""

    rung: int
    seen: Seen
    at: int = 0


def weighted_median(pairs: Sequence[tuple[float, float]]) -> float:
    """The value at which half of the weight is reached; 0 without any."""
    total = sum(weight for _, weight in pairs)
    passed = 0.0
    for value, weight in sorted(pairs):
        passed += weight
        if 2 * passed >= total:
            return value
    return 0.0


def load_of(votes: Sequence[Vote]) -> tuple[float, float]:
    """What all together make of the load, and how many outcomes are behind it."""
    heavy = sorted(vote.seen.weight for vote in votes if vote.seen.weight)
    if not heavy:
        return 0.0, 0.0
    most = WEIGHT * heavy[(len(heavy) - 1) // 2]
    pairs = [(v.seen.ratio, min(v.seen.weight, most)) for v in votes if v.seen.weight]
    return weighted_median(pairs), sum(weight for _, weight in pairs)


class Line:
    """One member's line. Times in ns."""

    def __init__(self, now: int, size: int) -> None:
        self.size = size
        self.rung = levels.OPEN
        self.since = now  # it has stood on this rung
        self.step = Step.ALONE
        self.load = self.behind = 0.0
        self.voters = 0
        self.can_do = 0.0  # requests served in a window for each member, where nodes had queues; 0: never seen
        self._moved = self._decided = self._up_at = now - SECOND

    def look(
        self, now: int, own: Seen, others: Sequence[Vote], least: int = levels.OPEN, most: int = levels.LAST
    ) -> int:
        """Decide anew; the rung to stand on, between `least` and `most` as operators have it."""
        votes = [*others, Vote(self.rung, own, now)]
        self.voters = sum(1 for vote in votes if vote.seen.weight)
        if self.voters < min(VOTERS, self.size):
            self._stand(now, max(least, min(most, levels.OPEN)), Step.ALONE)
            return self.rung
        rungs = sorted(vote.rung for vote in votes)
        common = max(least, min(most, rungs[(len(rungs) - 1) // 2]))
        if common != self.rung and now - self._decided >= STANDS_NS:
            self._stand(now, common, Step.JOINS)
        votes = [vote for vote in votes if vote.at - self._moved >= SINCE_NS]
        if sum(1 for vote in votes if vote.seen.weight) < min(VOTERS, self.size):
            return self.rung
        self.load, self.behind = load_of(votes)
        self._learn(votes)
        target = max(least, min(most, self._target(now, votes)))
        if target != self.rung:
            self._up_at = now if target > self.rung else self._up_at
            self._stand(now, target, Step.UP if target > self.rung else Step.DOWN)
            self._decided = now
        elif common == self.rung:
            self.step = Step.STAYS
        return self.rung

    def _learn(self, votes: Sequence[Vote]) -> None:
        if self.load >= RISES:
            served = sum(vote.seen.served for vote in votes) / len(votes)
            self.can_do += (served - self.can_do) * (0.5 if self.can_do else 1.0)
        else:
            self.can_do *= MORE

    def _target(self, now: int, votes: Sequence[Vote]) -> int:
        rung = self.rung
        if self.load >= RISES:
            if self.behind < ENOUGH:
                return rung
            if rung < levels.OWN_SHARES:
                return levels.OWN_SHARES
            return min(levels.LAST, rung + max(1, min(MOST_UP, self._rungs(votes))))
        if rung == levels.OPEN:
            return rung
        rungs = self._rungs(votes)
        if rungs >= 0 or (rungs == -1 and (self.load >= FALLS or now - self._up_at < CALM_NS)):
            return rung
        target = rung + rungs
        # Who is beyond its share, and then retries, come back one after the other: how much that is nobody knows.
        return max(target, levels.OWN_SHARES if rung > levels.OWN_SHARES else rung - 1)

    def _rungs(self, votes: Sequence[Vote]) -> int:
        """How many rungs up what is let in would be what nodes can do; negative: down."""
        admitted = sum(vote.seen.admitted for vote in votes) / len(votes)
        return levels.rungs_for(self.can_do / admitted) if admitted else -levels.LAST

    def _stand(self, now: int, rung: int, step: Step) -> None:
        self.step = step
        if rung != self.rung:
            self.rung, self.since, self._moved = rung, now, now
