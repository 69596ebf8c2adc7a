"""Keeps the latest message of each sender for a limited time.

Reordered, repeated and lost messages do no harm: within one incarnation of a sender the higher sequence number
wins. Between two incarnations the higher number wins too, because numbers start at the sender's monotonic clock
in ms (`first_sequence`), which only a reboot sets back. An incarnation with a lower number is accepted once
nothing has been received from the other for INCARNATION_TIMEOUT_NS. Incarnations are random and have no order of
their own: ordered by them alone, a delayed message of a process that has ended would shut out the running one.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from covetally.gossip.frame import Message

T = TypeVar("T")
INCARNATION_TIMEOUT_NS = 15_000_000_000  # longer than any datagram is in transit


def first_sequence(now: int) -> int:
    """Return the sequence number that an incarnation starts with, from its clock in ns.

    An incarnation must send fewer than 1,000 messages a second, or its numbers overtake the clock in ms that its
    successor starts with.
    """
    return now // 1_000_000 % 2**31


def is_newer_incarnation(sequence: int, known_sequence: int, silent_ns: int) -> bool:
    """Return whether an unknown incarnation that sends `sequence` follows the known one.

    `known_sequence` is the last number of the known incarnation, `silent_ns` the time since it was received.
    """
    return sequence > known_sequence or silent_ns >= INCARNATION_TIMEOUT_NS


@dataclass(slots=True)
class ReceivedMessage(Generic[T]):
    """The decoded content of a sender's latest message, and when it was received on the local clock in ns."""

    incarnation: int
    sequence: int
    received_at: int
    content: T


class LatestMessages(Generic[T]):
    """The latest message of every other sender. Times are in ns on one monotonic clock."""

    def __init__(self, me: int, lifetime_ns: int) -> None:
        self.me, self.lifetime_ns = me, lifetime_ns
        self._received: dict[int, ReceivedMessage[T]] = {}

    def record(self, now: int, message: Message, content: T) -> bool:
        """Store a message and return True, or return False if it is an own, repeated or outdated one."""
        if message.sender == self.me:
            return False
        known = self._received.get(message.sender)
        if known is not None:
            if message.incarnation == known.incarnation and message.sequence <= known.sequence:
                return False
            if message.incarnation != known.incarnation and not is_newer_incarnation(
                message.sequence, known.sequence, now - known.received_at
            ):
                return False
        self._received[message.sender] = ReceivedMessage(message.incarnation, message.sequence, now, content)
        return True

    def unexpired(self, now: int) -> Iterator[tuple[int, T, int]]:
        """Yield sender, content and time of receipt of each message that is younger than `lifetime_ns`."""
        for sender, received in self._received.items():
            if now - received.received_at < self.lifetime_ns:
                yield sender, received.content, received.received_at

    def resize(self, size: int) -> None:
        """Forget the senders that are no longer in a list of `size` peers."""
        for sender in [sender for sender in self._received if sender >= size]:
            del self._received[sender]
