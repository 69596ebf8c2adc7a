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
CHARGED_AT_ONCE = 64  # ids


class _RecentSet:
    """The numbers added to `new` within the last `span_s` to twice that; those in `old` are forgotten first.
    Times are seconds on any steady clock."""

    __slots__ = ("_span_s", "new", "old", "rotate_at")

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self.rotate_at = 0.0
        self.new: set[int] = set()
        self.old: set[int] = set()

    def rotate(self, now: float) -> None:
        """Forget what is too old. Due at `rotate_at`."""
        self.old = self.new if now < self.rotate_at + self._span_s else set()
        self.new = set()
        self.rotate_at = now + self._span_s

    def forget_older(self) -> bool:
        """Forget the older ones, before their time; returns whether there were any to forget."""
        forgotten = bool(self.old or self.new)
        self.old, self.new = (set(), self.new) if self.old else (set(), set())
        return forgotten


class RecentIds:
    """The ids in the table at the head of this module. `longest_deadline_s` is the longest of all classes.

    Guards against a request with the id of another one: servers could mix up their responses, and the effect of
    one that may have run could happen twice. Harms clients that reuse an id, which the protocol forbids.
    """

    def __init__(self, longest_deadline_s: float, memory: MemoryAccount) -> None:
        self._accepted = _RecentSet(longest_deadline_s)
        self._may_have_run = _RecentSet(MAY_HAVE_RUN_S)
        self._memory = MemoryReservation(memory)
        self._charged = 0  # ids that may be added before the next charge

    def claim(self, trace_id: bytes, now: float) -> bool:
        """Record the id of an accepted request; returns False if it is one of those remembered. Raises
        MemoryExhausted."""
        number = hash(trace_id)
        accepted, may_have_run = self._accepted, self._may_have_run
        if now >= accepted.rotate_at or now >= may_have_run.rotate_at:
            self._rotate(now)
        if (
            number in accepted.new or number in accepted.old
            or number in may_have_run.new or number in may_have_run.old
        ):  # fmt: skip
            return False
        if not self._charged:
            self._charge()
        self._charged -= 1
        accepted.new.add(number)
        return True

    def remember(self, trace_id: bytes, now: float) -> None:
        """Record the id of a request that may have run and must not run again."""
        if now >= self._may_have_run.rotate_at:
            self._rotate(now)
        if not self._charged:
            try:
                self._charge()
            except MemoryExhausted:
                return  # it is still among the accepted ones, for as long as its attempts can last
        self._charged -= 1
        self._may_have_run.new.add(hash(trace_id))

    def _rotate(self, now: float) -> None:
        for recent in (self._accepted, self._may_have_run):
            if now >= recent.rotate_at:
                recent.rotate(now)
        self._charged = 0

    def _charge(self) -> None:
        """Charge the ids that are held, and some more. If there is no memory, the oldest ones of those that may
        have run are forgotten; each time counts as a refusal."""
        while True:
            count = sum(
                len(ids) for recent in (self._accepted, self._may_have_run) for ids in (recent.new, recent.old)
            )
            try:
                self._memory.resize(MemoryKind.IDS, (count + CHARGED_AT_ONCE) * ID_BYTES)
            except MemoryExhausted:
                if not self._may_have_run.forget_older():
                    raise
            else:
                self._charged = CHARGED_AT_ONCE
                return
