"""One member's part of a limit that all members of a tier share. No I/O; times are ns on the member's own clock.

Each of the n members has a quota, amount / n, and lends what it does not need of it for a time. As in escrow,
each part of the limit has one user at any moment. So the parts in use never add up to more than the amount,
whatever messages the network loses, delays, repeats or reorders, and however it is partitioned.

    a part                      who may use it
    ------                      --------------
    quota                       its member, less what it has lent
    lent, until its expiry      not the lender: for it, a loan expires lease x (1 + MAX_CLOCK_DRIFT) + linger
                                after it was last granted
    borrowed, until its expiry  the borrower: for it, a loan expires one lease after it SENT the request that was
                                granted
    quota, after a start        its member, but only RESERVED_FRACTION of it, for lease x (1 + MAX_CLOCK_DRIFT)
                                + linger: an earlier process may have lent all the rest

A request is sent before it is granted, so each loan expires at the borrower before the lender uses that part
again. The clocks need to agree only on the length of a second, to within MAX_CLOCK_DRIFT. A process that was
stopped checks its own clock before it uses a loan, and so notices that the loan has expired. `linger` is for
limits on calls in flight: the longest time that a call started on a loan may last after the loan.

    message                                             meaning
    -------                                             -------
    LeaseRequest(sequence, keep_fraction, additional)   the borrower has reduced each of its loans to
                                                        `keep_fraction` of it, asks for their renewal, and asks
                                                        each member that can spare it for `additional` more
    Grant(sequence, amount)                             `amount` is lent in total, counted from when the request
                                                        with this number was sent

A borrower first reduces its loans and then announces it. It accepts no Grant for a request from before its last
reduction, or for an earlier process. A lender accepts no LeaseRequest that is older than the last one that it
accepted from the same process of that borrower.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

MAX_CLOCK_DRIFT = 0.01  # the rates of two clocks differ by at most this fraction
RESERVED_FRACTION = 0.25  # of its quota, which a member never lends
HEADROOM = 1.25  # a member wants this many times its demand
FIRST_RETRY_DELAY_NS = 250_000_000  # after a request without effect; then doubled, up to half a lease
RETURN_THRESHOLD = 0.9  # a borrower returns the surplus when it needs less than this fraction of its loans
MIN_LOAN_FRACTION = 1e-3  # of the quota; smaller loans are not worth a datagram


@dataclass(frozen=True, slots=True)
class Rule:
    """A limit as configured.

    `amount` is in calls per second, or in calls in flight. `burst_s` is the time for which an unused rate
    accumulates.
    """

    name: str
    amount: float
    members: int
    lease_ns: int = 4_000_000_000
    linger_ns: int = 0
    in_flight: bool = False
    burst_s: float = 1.0

    @property
    def quota(self) -> float:
        """The quota of each member."""
        return self.amount / self.members

    @property
    def hold_ns(self) -> int:
        """How long a lender does not use what it lent, after it last granted the loan."""
        return math.ceil(self.lease_ns * (1.0 + MAX_CLOCK_DRIFT)) + self.linger_ns


class LeaseRequest(NamedTuple):
    """A borrower's message to all members; see the module docstring."""

    sequence: int
    keep_fraction: float
    additional: float


class Grant(NamedTuple):
    """A lender's answer; see the module docstring."""

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
    """What this member may use: `amount` until `until_ns`, and `fallback` from then on without a renewal."""

    amount: float
    until_ns: int
    fallback: float


class MemberQuota:
    """One member's part of one limit.

    The sequence numbers of its requests start from its boot ID, so that it does not accept a Grant that was meant
    for an earlier process of this member.
    """

    def __init__(self, rule: Rule, now: int, boot_id: int) -> None:
        self.rule = rule
        self.hold_until = now + rule.hold_ns
        self.demand = 0.0  # what this member could use, as of the last `tick`
        self.loan_count = self.request_count = 0  # counters of grants with new amounts, and of requests
        self._lent: dict[tuple[int, int], _GrantedLoan] = {}  # by borrower and its boot ID
        self._borrowed: dict[int, _BorrowedLoan] = {}  # by lender
        self._sequence = boot_id << 32
        self._sent: dict[int, int] = {}  # when each request that may still be answered was sent
        self._last_reduction = 0  # the last request that reduced the loans
        self._unfilled = 0  # consecutive requests that were not filled
        self._retry_delay_ns = self._next_request_at = 0  # backoff of requests that bring nothing
        self._previous_borrowed = self._previous_shortfall = 0.0  # at the last request

    # --- amounts --------------------------------------------------------------------------------

    def retained(self, now: int) -> float:
        """The quota less what is lent; only the reserved fraction for some time after a start."""
        if now < self.hold_until:
            return RESERVED_FRACTION * self.rule.quota
        return self.rule.quota - sum(lent.amount for lent in self._lent.values() if now < lent.expires_at)

    def borrowed(self, now: int) -> float:
        """What this member may use of the quotas of others."""
        return sum(b.amount for b in self._borrowed.values() if now < b.expires_at)

    def usable(self, now: int) -> UsableQuota:
        """What this member may use from now on."""
        retained = self.retained(now)
        expirations = [b.expires_at for b in self._borrowed.values() if now < b.expires_at]
        return UsableQuota(
            retained + self.borrowed(now), min(expirations, default=now + self.rule.lease_ns), retained
        )

    def lent(self, now: int) -> float:
        """What others may be using of the quota."""
        return sum(lent.amount for lent in self._lent.values() if now < lent.expires_at)

    # --- events ---------------------------------------------------------------------------------

    def update_rule(self, now: int, rule: Rule) -> None:
        """Adopt another amount, lease or number of members.

        Loans continue. If the hold time changes, this member acts as after a start.
        """
        if rule.hold_ns != self.rule.hold_ns:
            self.hold_until = now + max(rule.hold_ns, self.rule.hold_ns)
        if rule.quota < self.rule.quota:
            scale = rule.quota / self.rule.quota
            for borrowed in self._borrowed.values():
                borrowed.amount *= scale  # the lenders' quotas shrink in proportion
            self._last_reduction = self._sequence + 1
        self.rule = rule

    def tick(self, now: int, demand: float) -> LeaseRequest | None:
        """Expire loans; return the request to send to all members, if any.

        `demand` is what this member could use.
        """
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
        self._sequence += 1
        self._sent[self._sequence] = now
        if reduce:
            for b in self._borrowed.values():
                b.amount *= keep_fraction
            if keep_fraction == 0.0:
                self._borrowed.clear()
            self._last_reduction = self._sequence
        else:
            keep_fraction = 1.0
        additional = min(shortfall, shortfall * 2.0**self._unfilled / max(1, rule.members - 1))
        self._unfilled = min(self._unfilled + 1, 32) if shortfall else 0
        self.request_count += 1
        return LeaseRequest(self._sequence, keep_fraction, additional)

    def handle_request(self, now: int, borrower: int, boot_id: int, request: LeaseRequest) -> Grant | None:
        """Handle a request of another member; return the grant to send, if any."""
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
        # Lend only what this member does not need itself, and never the reserved fraction.
        lendable = (
            min((1.0 - RESERVED_FRACTION) * rule.quota, rule.quota - self.demand * HEADROOM) - lent_to_others
        )
        if amount > lendable and amount > 0.0:
            return None  # this member needs its quota: let the loan expire
        extra = min(request.additional, lendable - amount)
        if extra > MIN_LOAN_FRACTION * rule.quota:
            amount += extra
            self.loan_count += 1
        if amount <= 0.0:
            return None
        self._lent[borrower, boot_id] = _GrantedLoan(amount, request.sequence, now + rule.hold_ns)
        return Grant(request.sequence, amount)

    def handle_grant(self, now: int, lender: int, grant: Grant) -> None:
        """Handle a grant from another member."""
        sent = self._sent.get(grant.sequence)
        known = self._borrowed.get(lender)
        if sent is None or now - sent >= self.rule.lease_ns or grant.sequence < self._last_reduction:
            return
        if not 0.0 < grant.amount <= (1.0 - RESERVED_FRACTION) * self.rule.quota * 1.000001:
            return  # no member may lend more; ignore a false grant
        if known is not None and (grant.sequence <= known.sequence or grant.amount < known.amount * 0.999999):
            return
        self._borrowed[lender] = _BorrowedLoan(grant.amount, grant.sequence, sent + self.rule.lease_ns)
