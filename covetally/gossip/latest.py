"""The newest word of each sender, for as long as it counts.

Order, repeats and losses do not matter: of one life the higher number holds. Of two lives the one with the higher
number holds, too: numbers begin at the sender's monotonic clock in ms (`first_number`), which only a reboot sets
back; a life with a lower number is taken once nothing was heard of the other for OLD_NS. Random lives alone could
not be put in order, and a late word of a life that had ended would have shut out the one that runs.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from covetally.gossip.frame import Word

T = TypeVar("T")
OLD_NS = 15_000_000_000  # longer than any datagram is on its way


def first_number(now: int) -> int:
    """With which number a life's words begin, from its clock in ns. Fewer than 1,000 a second may follow."""
    return now // 1_000_000 % 2**31


def is_newer(number: int, known: int, silent_ns: int) -> bool:
    """Whether another life that says this number is newer than one whose last number is known."""
    return number > known or silent_ns >= OLD_NS


@dataclass(slots=True)
class Told(Generic[T]):
    """What a sender said, and when by this clock."""

    life: int
    number: int
    at: int
    what: T


class Newest(Generic[T]):
    """What all others have said of late. Times in ns on one monotonic clock."""

    def __init__(self, me: int, counts_ns: int) -> None:
        self.me, self.counts_ns = me, counts_ns
        self._told: dict[int, Told[T]] = {}

    def heard(self, now: int, word: Word, what: T) -> bool:
        """Whether the word is news."""
        if word.sender == self.me:
            return False
        known = self._told.get(word.sender)
        if known is not None:
            if word.life == known.life and word.number <= known.number:
                return False
            if word.life != known.life and not is_newer(word.number, known.number, now - known.at):
                return False
        self._told[word.sender] = Told(word.life, word.number, now, what)
        return True

    def fresh(self, now: int) -> Iterator[tuple[int, T, int]]:
        """Senders, what they said, and when it was heard, as far as it still counts."""
        for sender, told in self._told.items():
            if now - told.at < self.counts_ns:
                yield sender, told.what, told.at

    def resize(self, size: int) -> None:
        """There are so many senders from here on."""
        for sender in [sender for sender in self._told if sender >= size]:
            del self._told[sender]
