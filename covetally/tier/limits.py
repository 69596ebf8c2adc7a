"""A limit that a whole tier holds together: one member's part of it. No I/O; times are ns on its own clock.

Each of the n members has a part of its own, amount / n, and lends of it what it does not need, for a time.
Escrow: whatever part of the limit there is has one user at any moment, so the parts in use add up to the amount
at most, whatever the network loses, delays, repeats, reorders, and wherever it is cut.

    a part                     who may use it
    ------                     --------------
    own                        its member, less what it has lent
    lent, till `end`           nobody here: `end` is lease (1 + DRIFT) + linger after the loan was last granted
    borrowed, till `lapse`     the borrower: `lapse` is one lease after it SENT what was granted
    own, after a start         KEEP of it for lease (1 + DRIFT) + linger: what a life before lent may still be
                               out, and no member ever lends more than the rest

A request is sent before it is granted, so every loan lapses before its lender begins again, with clocks that
agree on nothing but on how long a second is, to DRIFT. A member that was stopped finds by its own clock that a
loan has lapsed when it next looks, which is before it uses it. `linger` is for limits on calls in flight: the
longest that a call begun on a loan may last after it.

    message                        its meaning
    -------                        -----------
    Want(seq, keep, each)          the borrower has lowered what it borrowed to `keep` of it, asks for its
                                   renewal, and for `each` more from whoever has it
    Grant(seq, amount)             so much is lent in all, from when the Want with this number was sent

A borrower lowers first and tells then, and takes no Grant that is older than its last lowering, or for a life
before. A lender takes no
Want that is older than the last one it took from that life of that borrower.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

DRIFT = 0.01  # by so much at most a clock runs faster or slower than another
KEEP = 0.25  # of its own part, which a member never lends
SPARE = 1.25  # times its demand that a member wants to have
FIRST_PAUSE_NS = 250_000_000  # after a Want that brought nothing, then doubled, to half a lease
LOWER = 0.9  # a borrower gives back when it needs less than this share of what it borrowed
LEAST = 1e-3  # of its own part: loans smaller than this are not worth a datagram


@dataclass(frozen=True, slots=True)
class Rule:
    """A limit as configured. `amount` is in calls a second, or in calls in flight; `burst_s` is how long a rate
    may be saved up."""

    name: str
    amount: float
    members: int
    lease_ns: int = 4_000_000_000
    linger_ns: int = 0
    in_flight: bool = False
    burst_s: float = 1.0

    @property
    def own(self) -> float:
        """Each member's part."""
        return self.amount / self.members

    @property
    def fence_ns(self) -> int:
        """How long a lender leaves alone what it lent, after it last granted it."""
        return math.ceil(self.lease_ns * (1.0 + DRIFT)) + self.linger_ns


class Want(NamedTuple):
    """A borrower's word to all; see the table."""

    seq: int
    keep: float
    each: float


class Grant(NamedTuple):
    """A lender's answer; see the table."""

    seq: int
    amount: float


@dataclass(slots=True)
class _Lent:
    amount: float
    seq: int
    end: int


@dataclass(slots=True)
class _Borrowed:
    amount: float
    seq: int
    lapse: int


class Usable(NamedTuple):
    """What this member may use: `amount` until `until_ns`, and `then` after that, if it hears nothing else."""

    amount: float
    until_ns: int
    then: float


class Share:
    """One member's part of one limit. `life` is its member's: the numbers of its Wants begin with it, so that a
    Grant which was on its way to the life before is none of this one's."""

    def __init__(self, rule: Rule, now: int, life: int) -> None:
        self.rule = rule
        self.fence = now + rule.fence_ns
        self.demand = 0.0  # what it could use, of late
        self.lent_out = self.asked = 0  # counters
        self._lent: dict[tuple[int, int], _Lent] = {}  # by borrower and its life
        self._borrowed: dict[int, _Borrowed] = {}  # by lender
        self._seq = life << 32
        self._sent: dict[int, int] = {}  # when each Want was sent that may still be answered
        self._lowered = 0  # the last Want that lowered what is borrowed
        self._round = 0  # Wants in a row that were not filled
        self._pause = self._ask_at = 0  # who gets nothing asks more and more seldom
        self._had = self._needed = 0.0  # at the last Want

    # --- what may be used -----------------------------------------------------------------------

    def own(self, now: int) -> float:
        """Of its own part, what it has not lent; little after a start."""
        if now < self.fence:
            return KEEP * self.rule.own
        return self.rule.own - sum(lent.amount for lent in self._lent.values() if now < lent.end)

    def borrowed(self, now: int) -> float:
        """What it may use of others' parts."""
        return sum(b.amount for b in self._borrowed.values() if now < b.lapse)

    def usable(self, now: int) -> Usable:
        """What it may use from now on."""
        own = self.own(now)
        lapses = [b.lapse for b in self._borrowed.values() if now < b.lapse]
        return Usable(own + self.borrowed(now), min(lapses, default=now + self.rule.lease_ns), own)

    def lent(self, now: int) -> float:
        """What others may be using of its part."""
        return sum(lent.amount for lent in self._lent.values() if now < lent.end)

    # --- events ---------------------------------------------------------------------------------

    def change(self, now: int, rule: Rule) -> None:
        """The limit has another amount, or the tier another size. Loans run on. Where it lends on other terms, it
        begins as after a start."""
        if rule.fence_ns != self.rule.fence_ns:
            self.fence = now + max(rule.fence_ns, self.rule.fence_ns)
        if rule.own < self.rule.own:
            scale = rule.own / self.rule.own
            for borrowed in self._borrowed.values():
                borrowed.amount *= scale  # its lenders take the same turn
            self._lowered = self._seq + 1
        self.rule = rule

    def tick(self, now: int, demand: float) -> Want | None:
        """Time has passed; `demand` is what this member could use. What to ask of all, if anything."""
        self.demand = max(0.0, demand)
        rule = self.rule
        for key in [key for key, lent in self._lent.items() if now >= lent.end]:
            del self._lent[key]
        for lender in [n for n, b in self._borrowed.items() if now >= b.lapse]:
            del self._borrowed[lender]
        for seq in [seq for seq, sent in self._sent.items() if now - sent >= rule.lease_ns]:
            del self._sent[seq]
        wanted, own, borrowed = self.demand * SPARE, self.own(now), self.borrowed(now)
        need = wanted - own - borrowed
        keep = 1.0
        if borrowed > 0 and need < -LEAST * rule.own:
            keep = max(0.0, (wanted - own) / borrowed)
        renew = any(b.lapse - now < rule.lease_ns // 2 for b in self._borrowed.values())
        lower = keep < LOWER
        if need <= LEAST * rule.own:
            self._round = self._pause = 0
            if not (renew or lower):
                return None
            need = 0.0
        elif borrowed > self._had or need > 2 * self._needed:
            self._pause = 0
        elif not renew and now < self._ask_at:
            return None
        else:
            self._pause = min(max(2 * self._pause, FIRST_PAUSE_NS), rule.lease_ns // 2)
        self._had, self._needed, self._ask_at = borrowed, need, now + self._pause
        self._seq += 1
        self._sent[self._seq] = now
        if lower:
            for b in self._borrowed.values():
                b.amount *= keep
            if keep == 0.0:
                self._borrowed.clear()
            self._lowered = self._seq
        else:
            keep = 1.0
        each = min(need, need * 2.0**self._round / max(1, rule.members - 1))
        self._round = min(self._round + 1, 32) if need else 0
        self.asked += 1
        return Want(self._seq, keep, each)

    def want(self, now: int, borrower: int, life: int, want: Want) -> Grant | None:
        """Another member asks. What it is granted, if anything."""
        rule = self.rule
        if not (0.0 <= want.keep <= 1.0 and 0.0 <= want.each < math.inf) or now < self.fence:
            return None
        lent = self._lent.get((borrower, life))
        if lent is not None and now >= lent.end:
            lent = None
        if lent is not None and want.seq <= lent.seq:
            return None
        amount = lent.amount * want.keep if lent is not None else 0.0
        others = self.lent(now) - (lent.amount if lent is not None else 0.0)
        if lent is not None:
            lent.amount, lent.seq = amount, want.seq
        # What it may lend to this one: what it does not need itself, and never the part it keeps.
        most = min((1.0 - KEEP) * rule.own, rule.own - self.demand * SPARE) - others
        if amount > most and amount > 0.0:
            return None  # it needs its own: the loan runs out
        more = min(want.each, most - amount)
        if more > LEAST * rule.own:
            amount += more
            self.lent_out += 1
        if amount <= 0.0:
            return None
        self._lent[borrower, life] = _Lent(amount, want.seq, now + rule.fence_ns)
        return Grant(want.seq, amount)

    def granted(self, now: int, lender: int, grant: Grant) -> None:
        """A member has answered a Want of this life's."""
        sent = self._sent.get(grant.seq)
        known = self._borrowed.get(lender)
        if sent is None or now - sent >= self.rule.lease_ns or grant.seq < self._lowered:
            return
        if not 0.0 < grant.amount <= (1.0 - KEEP) * self.rule.own * 1.000001:
            return  # nobody lends more: of a liar no more is believed than it could have lent
        if known is not None and (grant.seq <= known.seq or grant.amount < known.amount * 0.999999):
            return
        self._borrowed[lender] = _Borrowed(grant.amount, grant.seq, sent + self.rule.lease_ns)
