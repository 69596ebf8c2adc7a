"""One member's part of a limit, step by step: the edges of its times, giving back, asking seldom, changes."""

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
    """A member that has borrowed so much of member 1, asked for at NOW."""
    quota = MemberQuota(RULE, 0, 0)
    request = quota.tick(NOW, 60.0)
    quota.handle_grant(NOW + 1, 1, Grant(request.sequence, amount))
    assert quota.borrowed(NOW + 1) == amount
    return quota


def test_what_is_borrowed_counts_until_its_lapse_and_not_at_it():
    quota, expires_at = borrower(), NOW + RULE.lease_ns
    assert quota.usable(NOW + 1) == (50.0, expires_at, 30.0)
    assert quota.borrowed(expires_at - 1) == 20.0 and quota.borrowed(expires_at) == 0.0
    assert quota.usable(expires_at) == (30.0, expires_at + RULE.lease_ns, 30.0)


def test_what_is_lent_is_left_alone_until_its_end_and_not_at_it():
    lender = MemberQuota(RULE, 0, 0)
    assert lender.handle_request(NOW, 2, 9, LeaseRequest(5, 1.0, 10.0)) == Grant(5, 10.0)
    end = NOW + RULE.hold_ns
    assert lender.retained(end - 1) == 20.0 and lender.lent(end - 1) == 10.0
    assert lender.retained(end) == 30.0 and lender.lent(end) == 0.0
    assert lender.handle_request(end, 2, 9, LeaseRequest(4, 1.0, 10.0)) == Grant(
        4, 10.0
    )  # that loan is over and forgotten


def test_after_a_start_a_member_uses_what_it_keeps_and_lends_nothing():
    quota = MemberQuota(RULE, NOW, 0)
    assert quota.retained(NOW + RULE.hold_ns - 1) == RESERVED_FRACTION * 30.0
    assert quota.handle_request(NOW + RULE.hold_ns - 1, 1, 1, LeaseRequest(1, 1.0, 5.0)) is None
    assert quota.retained(NOW + RULE.hold_ns) == 30.0
    assert quota.handle_request(NOW + RULE.hold_ns, 1, 1, LeaseRequest(1, 1.0, 5.0)) == Grant(1, 5.0)


def test_a_lender_adds_to_a_loan_and_lends_three_quarters_at_most():
    lender = MemberQuota(RULE, 0, 0)
    assert lender.handle_request(NOW, 2, 9, LeaseRequest(5, 1.0, 10.0)).amount == 10.0
    assert lender.handle_request(NOW, 2, 9, LeaseRequest(5, 1.0, 10.0)) is None  # the same again
    assert lender.handle_request(NOW, 2, 9, LeaseRequest(6, 1.0, 5.0)).amount == 15.0
    assert lender.handle_request(NOW, 1, 9, LeaseRequest(1, 1.0, 100.0)).amount == 7.5
    assert lender.retained(NOW) == RESERVED_FRACTION * 30.0
    assert lender.handle_request(NOW, 2, 9, LeaseRequest(7, 0.5, 0.0)).amount == 7.5  # it has given back half
    assert lender.loan_count == 3


def test_a_borrower_that_needs_less_lowers_first_and_tells_then():
    quota = borrower()
    demand = (30.0 + 20.0 * RETURN_THRESHOLD) / HEADROOM
    assert quota.tick(NOW + SECOND, demand + 0.1) is None  # within its headroom
    request = quota.tick(NOW + SECOND, demand - 0.5)
    assert request.additional == 0.0 and request.keep_fraction < RETURN_THRESHOLD
    assert quota.borrowed(NOW + SECOND) == pytest.approx(20.0 * request.keep_fraction)
    quota.handle_grant(NOW + SECOND, 2, Grant(request.sequence - 1, 5.0))  # for a Want before it lowered
    assert quota.borrowed(NOW + SECOND) == pytest.approx(20.0 * request.keep_fraction)
    quota.handle_grant(NOW + SECOND, 1, Grant(request.sequence, 20.0))  # a lender that did not lower
    assert quota.borrowed(NOW + SECOND) == 20.0


def test_a_borrower_that_needs_nothing_gives_all_back():
    quota = borrower()
    request = quota.tick(NOW + SECOND, 0.0)
    assert (request.keep_fraction, request.additional) == (0.0, 0.0) and quota.borrowed(NOW + SECOND) == 0.0
    assert quota.tick(NOW + 2 * SECOND, 0.0) is None


def test_a_loan_is_renewed_when_half_its_time_is_left():
    quota = borrower()
    half = NOW + RULE.lease_ns // 2
    assert quota.tick(half, 40.0) is None
    request = quota.tick(half + 1, 40.0)
    assert (request.keep_fraction, request.additional) == (1.0, 0.0)
    quota.handle_grant(half + 2, 1, Grant(request.sequence, 20.0))
    assert quota.usable(half + 2).until_ns == half + 1 + RULE.lease_ns


def test_a_grant_after_its_lease_is_none():
    quota = MemberQuota(RULE, 0, 0)
    request = quota.tick(NOW, 60.0)
    quota.handle_grant(NOW + RULE.lease_ns, 1, Grant(request.sequence, 20.0))
    assert quota.borrowed(NOW + RULE.lease_ns) == 0.0
    quota.handle_grant(NOW + RULE.lease_ns - 1, 1, Grant(request.sequence, 20.0))
    assert quota.borrowed(NOW + RULE.lease_ns - 1) == 20.0


def test_who_gets_nothing_asks_more_and_more_seldom_and_at_once_when_it_needs_much_more():
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


def test_another_lease_begins_as_after_a_start_and_a_smaller_part_holds_at_once():
    quota = borrower()
    quota.update_rule(NOW + 2, Rule("x", 45.0, 3))
    assert quota.usable(NOW + 2).amount == pytest.approx(15.0 + 10.0)
    quota.update_rule(NOW + 3, Rule("x", 90.0, 3))
    assert quota.usable(NOW + 3).amount == pytest.approx(30.0 + 10.0)  # what was scaled down stays so
    longer = Rule("x", 90.0, 3, lease_ns=9 * SECOND)
    quota.update_rule(NOW + 4, longer)
    assert quota.retained(NOW + 4 + longer.hold_ns - 1) == RESERVED_FRACTION * 30.0
    assert quota.retained(NOW + 4 + longer.hold_ns) == 30.0
