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

MAX_CLOCK_DRIFT = 0.01  # by so much at most a clock runs faster or slower than another
RESERVED_FRACTION = 0.25  # of its own part, which a member never lends
HEADROOM = 1.25  # times its demand that a member wants to have
FIRST_RETRY_DELAY_NS = 250_000_000  # after a Want that brought nothing, then doubled, to half a lease
RETURN_THRESHOLD = 0.9  # a borrower gives back when it needs less than this share of what it borrowed
MIN_LOAN_FRACTION = 1e-3  # of its own part: loans smaller than this are not worth a datagram


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
    def quota(self) -> float:
        """Each member's part."""
        return self.amount / self.members

    @property
    def hold_ns(self) -> int:
        """How long a lender leaves alone what it lent, after it last granted it."""
        return math.ceil(self.lease_ns * (1.0 + MAX_CLOCK_DRIFT)) + self.linger_ns


class LeaseRequest(NamedTuple):
    """A borrower's word to all; see the table."""

    sequence: int
    keep_fraction: float
    additional: float


class Grant(NamedTuple):
    """A lender's answer; see the table."""

    sequence: int
    amount: float


@dataclass(slots=True)
class _GrantedLoan:
    amount: float
    sequence: int
    expires_at: int


@dataclass(slots=True)
class _BorrowedLoan:
    amount: float
    sequence: int
    expires_at: int


class UsableQuota(NamedTuple):
    """What this member may use: `amount` until `until_ns`, and `then` after that, if it hears nothing else."""

    amount: float
    until_ns: int
    fallback: float


class MemberQuota:
    """One member's part of one limit. `life` is its member's: the numbers of its Wants begin with it, so that a
    Grant which was on its way to the life before is none of this one's."""

    def __init__(self, rule: Rule, now: int, boot_id: int) -> None:
        self.rule = rule
        self.hold_until = now + rule.hold_ns
        self.demand = 0.0  # what it could use, of late
        self.loan_count = self.request_count = 0  # counters
        self._lent: dict[tuple[int, int], _GrantedLoan] = {}  # by borrower and its life
        self._borrowed: dict[int, _BorrowedLoan] = {}  # by lender
        self._seq = boot_id << 32
        self._sent: dict[int, int] = {}  # when each Want was sent that may still be answered
        self._last_reduction = 0  # the last Want that lowered what is borrowed
        self._unfilled = 0  # Wants in a row that were not filled
        self._retry_delay_ns = self._next_request_at = 0  # who gets nothing asks more and more seldom
        self._previous_borrowed = self._previous_shortfall = 0.0  # at the last Want

    # --- what may be used -----------------------------------------------------------------------

    def retained(self, now: int) -> float:
        """Of its own part, what it has not lent; little after a start."""
        if now < self.hold_until:
            return RESERVED_FRACTION * self.rule.quota
        return self.rule.quota - sum(lent.amount for lent in self._lent.values() if now < lent.expires_at)

    def borrowed(self, now: int) -> float:
        """What it may use of others' parts."""
        return sum(b.amount for b in self._borrowed.values() if now < b.expires_at)

    def usable(self, now: int) -> UsableQuota:
        """What it may use from now on."""
        retained = self.retained(now)
        expirations = [b.expires_at for b in self._borrowed.values() if now < b.expires_at]
        return UsableQuota(
            retained + self.borrowed(now), min(expirations, default=now + self.rule.lease_ns), retained
        )

    def lent(self, now: int) -> float:
        """What others may be using of its part."""
        return sum(lent.amount for lent in self._lent.values() if now < lent.expires_at)

    # --- events ---------------------------------------------------------------------------------

    def update_rule(self, now: int, rule: Rule) -> None:
        """The limit has another amount, or the tier another size. Loans run on. Where it lends on other terms, it
        begins as after a start."""
        if rule.hold_ns != self.rule.hold_ns:
            self.hold_until = now + max(rule.hold_ns, self.rule.hold_ns)
        if rule.quota < self.rule.quota:
            scale = rule.quota / self.rule.quota
            for borrowed in self._borrowed.values():
                borrowed.amount *= scale  # its lenders take the same turn
            self._last_reduction = self._seq + 1
        self.rule = rule

    def tick(self, now: int, demand: float) -> LeaseRequest | None:
        """Time has passed; `demand` is what this member could use. What to ask of all, if anything."""
        self.demand = max(0.0, demand)
        rule = self.rule
        for key in [key for key, lent in self._lent.items() if now >= lent.expires_at]:
            del self._lent[key]
        for lender in [n for n, b in self._borrowed.items() if now >= b.expires_at]:
            del self._borrowed[lender]
        for sequence in [sequence for sequence, sent in self._sent.items() if now - sent >= rule.lease_ns]:
            del self._sent[sequence]
        target, retained, borrowed = self.demand * HEADROOM, self.retained(now), self.borrowed(now)
        shortfall = target - retained - borrowed
        keep_fraction = 1.0
        if borrowed > 0 and shortfall < -MIN_LOAN_FRACTION * rule.quota:
            keep_fraction = max(0.0, (target - retained) / borrowed)
        renew = any(b.expires_at - now < rule.lease_ns // 2 for b in self._borrowed.values())
        reduce = keep_fraction < RETURN_THRESHOLD
        if shortfall <= MIN_LOAN_FRACTION * rule.quota:
            self._unfilled = self._retry_delay_ns = 0
            if not (renew or reduce):
                return None
            shortfall = 0.0
        elif borrowed > self._previous_borrowed or shortfall > 2 * self._previous_shortfall:
            self._retry_delay_ns = 0
        elif not renew and now < self._next_request_at:
            return None
        else:
            self._retry_delay_ns = min(max(2 * self._retry_delay_ns, FIRST_RETRY_DELAY_NS), rule.lease_ns // 2)
        self._previous_borrowed, self._previous_shortfall, self._next_request_at = (
            borrowed,
            shortfall,
            now + self._retry_delay_ns,
        )
        self._seq += 1
        self._sent[self._seq] = now
        if reduce:
            for b in self._borrowed.values():
                b.amount *= keep_fraction
            if keep_fraction == 0.0:
                self._borrowed.clear()
            self._last_reduction = self._seq
        else:
            keep_fraction = 1.0
        additional = min(shortfall, shortfall * 2.0**self._unfilled / max(1, rule.members - 1))
        self._unfilled = min(self._unfilled + 1, 32) if shortfall else 0
        self.request_count += 1
        return LeaseRequest(self._seq, keep_fraction, additional)

    def handle_request(self, now: int, borrower: int, boot_id: int, request: LeaseRequest) -> Grant | None:
        """Another member asks. What it is granted, if anything."""
        rule = self.rule
        if (
            not (0.0 <= request.keep_fraction <= 1.0 and 0.0 <= request.additional < math.inf)
            or now < self.hold_until
        ):
            return None
        lent = self._lent.get((borrower, boot_id))
        if lent is not None and now >= lent.expires_at:
            lent = None
        if lent is not None and request.sequence <= lent.sequence:
            return None
        amount = lent.amount * request.keep_fraction if lent is not None else 0.0
        lent_to_others = self.lent(now) - (lent.amount if lent is not None else 0.0)
        if lent is not None:
            lent.amount, lent.sequence = amount, request.sequence
        # What it may lend to this one: what it does not need itself, and never the part it keeps.
        lendable = (
            min((1.0 - RESERVED_FRACTION) * rule.quota, rule.quota - self.demand * HEADROOM) - lent_to_others
        )
        if amount > lendable and amount > 0.0:
            return None  # it needs its own: the loan runs out
        extra = min(request.additional, lendable - amount)
        if extra > MIN_LOAN_FRACTION * rule.quota:
            amount += extra
            self.loan_count += 1
        if amount <= 0.0:
            return None
        self._lent[borrower, boot_id] = _GrantedLoan(amount, request.sequence, now + rule.hold_ns)
        return Grant(request.sequence, amount)

    def handle_grant(self, now: int, lender: int, grant: Grant) -> None:
        """A member has answered a Want of this life's."""
        sent = self._sent.get(grant.sequence)
        known = self._borrowed.get(lender)
        if sent is None or now - sent >= self.rule.lease_ns or grant.sequence < self._last_reduction:
            return
        if not 0.0 < grant.amount <= (1.0 - RESERVED_FRACTION) * self.rule.quota * 1.000001:
            return  # nobody lends more: of a liar no more is believed than it could have lent
        if known is not None and (grant.sequence <= known.sequence or grant.amount < known.amount * 0.999999):
            return
        self._borrowed[lender] = _BorrowedLoan(grant.amount, grant.sequence, sent + self.rule.lease_ns)
