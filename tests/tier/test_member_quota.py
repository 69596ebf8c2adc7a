"""One member's quota of a limit: exact expiry times, returning loans, backoff, and changes of the limit."""

from __future__ import annotations

import pytest

from covetally.tier.limits import (
    HEADROOM,
    RESERVED_FRACTION,
    RETURN_THRESHOLD,
    Grant,
    LeaseRequest,
    MemberQuota,
    Rule,
)
from covetally.tier.swim import SECOND

RULE = Rule("x", 90.0, 3)
NOW = 100 * SECOND


def borrower(amount: float = 20.0) -> MemberQuota:
    """A member that borrowed `amount` from member 1 by a request sent at NOW."""
    quota = MemberQuota(RULE, 0, 0)
    request = quota.tick(NOW, 60.0)
    quota.handle_grant(NOW + 1, 1, Grant(request.sequence, amount))
    assert quota.borrowed(NOW + 1) == amount
    return quota


def test_a_borrowed_loan_is_usable_until_just_before_it_expires():
    quota, expires_at = borrower(), NOW + RULE.lease_ns
    assert quota.usable(NOW + 1) == (50.0, expires_at, 30.0)
    assert quota.borrowed(expires_at - 1) == 20.0 and quota.borrowed(expires_at) == 0.0
    assert quota.usable(expires_at) == (30.0, expires_at + RULE.lease_ns, 30.0)


def test_a_lender_does_not_use_what_it_lent_until_the_loan_expires():
    lender = MemberQuota(RULE, 0, 0)
    assert lender.handle_request(NOW, 2, 9, LeaseRequest(5, 1.0, 10.0)) == Grant(5, 10.0)
    end = NOW + RULE.hold_ns
    assert lender.retained(end - 1) == 20.0 and lender.lent(end - 1) == 10.0
    assert lender.retained(end) == 30.0 and lender.lent(end) == 0.0
    # That loan has expired and is forgotten.
    assert lender.handle_request(end, 2, 9, LeaseRequest(4, 1.0, 10.0)) == Grant(4, 10.0)


def test_after_a_start_a_member_uses_the_reserved_fraction_and_lends_nothing():
    quota = MemberQuota(RULE, NOW, 0)
    assert quota.retained(NOW + RULE.hold_ns - 1) == RESERVED_FRACTION * 30.0
    assert quota.handle_request(NOW + RULE.hold_ns - 1, 1, 1, LeaseRequest(1, 1.0, 5.0)) is None
    assert quota.retained(NOW + RULE.hold_ns) == 30.0
    assert quota.handle_request(NOW + RULE.hold_ns, 1, 1, LeaseRequest(1, 1.0, 5.0)) == Grant(1, 5.0)


def test_a_lender_increases_a_loan_and_lends_at_most_three_quarters():
    lender = MemberQuota(RULE, 0, 0)
    assert lender.handle_request(NOW, 2, 9, LeaseRequest(5, 1.0, 10.0)).amount == 10.0
    assert lender.handle_request(NOW, 2, 9, LeaseRequest(5, 1.0, 10.0)) is None  # a repeated request
    assert lender.handle_request(NOW, 2, 9, LeaseRequest(6, 1.0, 5.0)).amount == 15.0
    assert lender.handle_request(NOW, 1, 9, LeaseRequest(1, 1.0, 100.0)).amount == 7.5
    assert lender.retained(NOW) == RESERVED_FRACTION * 30.0
    assert lender.handle_request(NOW, 2, 9, LeaseRequest(7, 0.5, 0.0)).amount == 7.5  # the borrower returned half
    assert lender.loan_count == 3


def test_a_borrower_that_needs_less_reduces_its_loan_before_it_announces_that():
    quota = borrower()
    demand = (30.0 + 20.0 * RETURN_THRESHOLD) / HEADROOM
    assert quota.tick(NOW + SECOND, demand + 0.1) is None  # within its headroom
    request = quota.tick(NOW + SECOND, demand - 0.5)
    assert request.additional == 0.0 and request.keep_fraction < RETURN_THRESHOLD
    assert quota.borrowed(NOW + SECOND) == pytest.approx(20.0 * request.keep_fraction)
    # For a request from before the reduction.
    quota.handle_grant(NOW + SECOND, 2, Grant(request.sequence - 1, 5.0))
    assert quota.borrowed(NOW + SECOND) == pytest.approx(20.0 * request.keep_fraction)
    quota.handle_grant(NOW + SECOND, 1, Grant(request.sequence, 20.0))  # a lender that did not reduce its loan
    assert quota.borrowed(NOW + SECOND) == 20.0


def test_a_borrower_without_demand_returns_everything():
    quota = borrower()
    request = quota.tick(NOW + SECOND, 0.0)
    assert (request.keep_fraction, request.additional) == (0.0, 0.0) and quota.borrowed(NOW + SECOND) == 0.0
    assert quota.tick(NOW + 2 * SECOND, 0.0) is None


def test_a_loan_is_renewed_when_half_of_its_lease_is_left():
    quota = borrower()
    half = NOW + RULE.lease_ns // 2
    assert quota.tick(half, 40.0) is None
    request = quota.tick(half + 1, 40.0)
    assert (request.keep_fraction, request.additional) == (1.0, 0.0)
    quota.handle_grant(half + 2, 1, Grant(request.sequence, 20.0))
    assert quota.usable(half + 2).until_ns == half + 1 + RULE.lease_ns


def test_a_grant_received_after_its_lease_is_ignored():
    quota = MemberQuota(RULE, 0, 0)
    request = quota.tick(NOW, 60.0)
    quota.handle_grant(NOW + RULE.lease_ns, 1, Grant(request.sequence, 20.0))
    assert quota.borrowed(NOW + RULE.lease_ns) == 0.0
    quota.handle_grant(NOW + RULE.lease_ns - 1, 1, Grant(request.sequence, 20.0))
    assert quota.borrowed(NOW + RULE.lease_ns - 1) == 20.0


def test_unfilled_requests_back_off_and_a_much_higher_demand_is_requested_at_once():
    quota, requested_at = MemberQuota(RULE, 0, 0), []
    for step in range(80):
        now = NOW + step * SECOND // 4
        if quota.tick(now, 60.0) is not None:
            requested_at.append((now - NOW) / SECOND)
    gaps = [b - a for a, b in zip(requested_at, requested_at[1:], strict=False)]
    assert gaps[:4] == [0.25, 0.25, 0.5, 1.0] and set(gaps[4:]) == {2.0}, gaps
    quota.tick(now + 2 * SECOND, 60.0)
    assert quota.tick(now + 2 * SECOND + SECOND // 4, 59.0) is None
    assert quota.tick(now + 2 * SECOND + SECOND // 4, 200.0) is not None


def test_a_changed_lease_acts_like_a_start_and_a_smaller_quota_applies_at_once():
    quota = borrower()
    quota.update_rule(NOW + 2, Rule("x", 45.0, 3))
    assert quota.usable(NOW + 2).amount == pytest.approx(15.0 + 10.0)
    quota.update_rule(NOW + 3, Rule("x", 90.0, 3))
    assert quota.usable(NOW + 3).amount == pytest.approx(30.0 + 10.0)  # a reduced loan is not scaled up again
    longer = Rule("x", 90.0, 3, lease_ns=9 * SECOND)
    quota.update_rule(NOW + 4, longer)
    assert quota.retained(NOW + 4 + longer.hold_ns - 1) == RESERVED_FRACTION * 30.0
    assert quota.retained(NOW + 4 + longer.hold_ns) == 30.0
