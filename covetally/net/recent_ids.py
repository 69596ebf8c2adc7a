"""The ids of recent requests, so that a request that is in progress or may have run is not run again. No I/O.

    ids of                                                    remembered for
    --------------------------------------------------------  ----------------------------------------------------
    all requests that were accepted                           the longest deadline, to twice that
    requests that may have run and are not free to repeat     MAY_HAVE_RUN_S, to twice that, while there is memory

Only a hash of each id is kept. What another process or an earlier one has accepted is not known here.
"""

from __future__ import annotations

from covetally.net.memory import MemoryAccount, MemoryExhausted, MemoryKind, MemoryReservation

# Long after every deadline: a client may come again, and a server or link that hangs may let a request run late.
MAY_HAVE_RUN_S = 60.0
ID_BYTES = 80  # of an entry in a set


class _RecentSet:
    """The numbers added within the last `span_s` to twice that. Times are seconds on any steady clock."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._rotate_at = 0.0
        self._new: set[int] = set()
        self._old: set[int] = set()

    def rotate_if_due(self, now: float) -> None:
        """Forget what is too old."""
        if now >= self._rotate_at:
            if now >= self._rotate_at + self._span_s:
                self._new = set()
            self.rotate()
            self._rotate_at = now + self._span_s

    def rotate(self) -> bool:
        """Forget the older ones; returns whether there were any."""
        forgotten = bool(self._old)
        self._old, self._new = self._new, set()
        return forgotten or bool(self._old)

    def add(self, number: int) -> None:
        """Add a number."""
        self._new.add(number)

    def __contains__(self, number: int) -> bool:
        return number in self._new or number in self._old

    def __len__(self) -> int:
        return len(self._new) + len(self._old)


class RecentIds:
    """The ids in the table at the head of this module. `longest_deadline_s` is the longest of all classes.

    Guards against a request with the id of another one: servers could mix up their responses, and the effect of
    one that may have run could happen twice. Harms clients that reuse an id, which the protocol forbids.
    """

    def __init__(self, longest_deadline_s: float, memory: MemoryAccount) -> None:
        self._accepted = _RecentSet(longest_deadline_s)
        self._may_have_run = _RecentSet(MAY_HAVE_RUN_S)
        self._memory = MemoryReservation(memory)

    def claim(self, trace_id: bytes, now: float) -> bool:
        """Record the id of an accepted request; returns False if it is one of those remembered. Raises
        MemoryExhausted."""
        number = hash(trace_id)
        self._accepted.rotate_if_due(now)
        self._may_have_run.rotate_if_due(now)
        if number in self._accepted or number in self._may_have_run:
            return False
        self._make_room()
        self._accepted.add(number)
        return True

    def remember(self, trace_id: bytes, now: float) -> None:
        """Record the id of a request that may have run and must not run again."""
        self._may_have_run.rotate_if_due(now)
        try:
            self._make_room()
        except MemoryExhausted:
            return  # it is still among the accepted ones, for as long as its attempts can last
        self._may_have_run.add(hash(trace_id))

    def _make_room(self) -> None:
        """Charge one more id. If there is no memory, the oldest ones are forgotten; each time counts as a
        refusal."""
        while True:
            try:
                size = (len(self._accepted) + len(self._may_have_run) + 1) * ID_BYTES
                self._memory.resize(MemoryKind.IDS, size)
                return
            except MemoryExhausted:
                if not self._may_have_run.rotate():
                    raise
