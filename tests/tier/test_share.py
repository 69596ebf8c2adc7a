"""One member's part of a limit, step by step: the edges of its times, giving back, asking seldom, changes."""

from __future__ import annotations

import pytest

from covetally.tier.limits import KEEP, LOWER, SPARE, Grant, Rule, Share, Want
from covetally.tier.members import SECOND

RULE = Rule("x", 90.0, 3)
NOW = 100 * SECOND


def borrower(amount: float = 20.0) -> Share:
    """A member that has borrowed so much of member 1, asked for at NOW."""
    share = Share(RULE, 0, 0)
    want = share.tick(NOW, 60.0)
    share.granted(NOW + 1, 1, Grant(want.seq, amount))
    assert share.borrowed(NOW + 1) == amount
    return share


def test_what_is_borrowed_counts_until_its_lapse_and_not_at_it():
    share, lapse = borrower(), NOW + RULE.lease_ns
    assert share.usable(NOW + 1) == (50.0, lapse, 30.0)
    assert share.borrowed(lapse - 1) == 20.0 and share.borrowed(lapse) == 0.0
    assert share.usable(lapse) == (30.0, lapse + RULE.lease_ns, 30.0)


def test_what_is_lent_is_left_alone_until_its_end_and_not_at_it():
    lender = Share(RULE, 0, 0)
    assert lender.want(NOW, 2, 9, Want(5, 1.0, 10.0)) == Grant(5, 10.0)
    end = NOW + RULE.fence_ns
    assert lender.own(end - 1) == 20.0 and lender.lent(end - 1) == 10.0
    assert lender.own(end) == 30.0 and lender.lent(end) == 0.0
    assert lender.want(end, 2, 9, Want(4, 1.0, 10.0)) == Grant(4, 10.0)  # that loan is over and forgotten


def test_after_a_start_a_member_uses_what_it_keeps_and_lends_nothing():
    share = Share(RULE, NOW, 0)
    assert share.own(NOW + RULE.fence_ns - 1) == KEEP * 30.0
    assert share.want(NOW + RULE.fence_ns - 1, 1, 1, Want(1, 1.0, 5.0)) is None
    assert share.own(NOW + RULE.fence_ns) == 30.0
    assert share.want(NOW + RULE.fence_ns, 1, 1, Want(1, 1.0, 5.0)) == Grant(1, 5.0)


def test_a_lender_adds_to_a_loan_and_lends_three_quarters_at_most():
    lender = Share(RULE, 0, 0)
    assert lender.want(NOW, 2, 9, Want(5, 1.0, 10.0)).amount == 10.0
    assert lender.want(NOW, 2, 9, Want(5, 1.0, 10.0)) is None  # the same again
    assert lender.want(NOW, 2, 9, Want(6, 1.0, 5.0)).amount == 15.0
    assert lender.want(NOW, 1, 9, Want(1, 1.0, 100.0)).amount == 7.5
    assert lender.own(NOW) == KEEP * 30.0
    assert lender.want(NOW, 2, 9, Want(7, 0.5, 0.0)).amount == 7.5  # it has given back half
    assert lender.lent_out == 3


def test_a_borrower_that_needs_less_lowers_first_and_tells_then():
    share = borrower()
    demand = (30.0 + 20.0 * LOWER) / SPARE
    assert share.tick(NOW + SECOND, demand + 0.1) is None  # within its headroom
    want = share.tick(NOW + SECOND, demand - 0.5)
    assert want.each == 0.0 and want.keep < LOWER
    assert share.borrowed(NOW + SECOND) == pytest.approx(20.0 * want.keep)
    share.granted(NOW + SECOND, 2, Grant(want.seq - 1, 5.0))  # for a Want before it lowered
    assert share.borrowed(NOW + SECOND) == pytest.approx(20.0 * want.keep)
    share.granted(NOW + SECOND, 1, Grant(want.seq, 20.0))  # a lender that did not lower
    assert share.borrowed(NOW + SECOND) == 20.0


def test_a_borrower_that_needs_nothing_gives_all_back():
    share = borrower()
    want = share.tick(NOW + SECOND, 0.0)
    assert (want.keep, want.each) == (0.0, 0.0) and share.borrowed(NOW + SECOND) == 0.0
    assert share.tick(NOW + 2 * SECOND, 0.0) is None


def test_a_loan_is_renewed_when_half_its_time_is_left():
    share = borrower()
    half = NOW + RULE.lease_ns // 2
    assert share.tick(half, 40.0) is None
    want = share.tick(half + 1, 40.0)
    assert (want.keep, want.each) == (1.0, 0.0)
    share.granted(half + 2, 1, Grant(want.seq, 20.0))
    assert share.usable(half + 2).until_ns == half + 1 + RULE.lease_ns


def test_a_grant_after_its_lease_is_none():
    share = Share(RULE, 0, 0)
    want = share.tick(NOW, 60.0)
    share.granted(NOW + RULE.lease_ns, 1, Grant(want.seq, 20.0))
    assert share.borrowed(NOW + RULE.lease_ns) == 0.0
    share.granted(NOW + RULE.lease_ns - 1, 1, Grant(want.seq, 20.0))
    assert share.borrowed(NOW + RULE.lease_ns - 1) == 20.0


def test_who_gets_nothing_asks_more_and_more_seldom_and_at_once_when_it_needs_much_more():
    share, asked = Share(RULE, 0, 0), []
    for step in range(80):
        now = NOW + step * SECOND // 4
        if share.tick(now, 60.0) is not None:
            asked.append((now - NOW) / SECOND)
    gaps = [b - a for a, b in zip(asked, asked[1:], strict=False)]
    assert gaps[:4] == [0.25, 0.25, 0.5, 1.0] and set(gaps[4:]) == {2.0}, gaps
    share.tick(now + 2 * SECOND, 60.0)
    assert share.tick(now + 2 * SECOND + SECOND // 4, 59.0) is None
    assert share.tick(now + 2 * SECOND + SECOND // 4, 200.0) is not None


def test_another_lease_begins_as_after_a_start_and_a_smaller_part_holds_at_once():
    share = borrower()
    share.change(NOW + 2, Rule("x", 45.0, 3))
    assert share.usable(NOW + 2).amount == pytest.approx(15.0 + 10.0)
    share.change(NOW + 3, Rule("x", 90.0, 3))
    assert share.usable(NOW + 3).amount == pytest.approx(30.0 + 10.0)  # what was scaled down stays so
    longer = Rule("x", 90.0, 3, lease_ns=9 * SECOND)
    share.change(NOW + 4, longer)
    assert share.own(NOW + 4 + longer.fence_ns - 1) == KEEP * 30.0
    assert share.own(NOW + 4 + longer.fence_ns) == 30.0
