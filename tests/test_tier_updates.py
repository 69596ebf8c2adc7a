"""Tier warnings, tenant quotas, and rule two at the end of the repeat window."""

from __future__ import annotations

from dataclasses import replace

import pytest

from covetally.interface import QuotaUpdate, Refuse, ServerEntry, ServerListUpdate, TierWarning
from tests.support import MS, START, BalancerHarness, settings

SECOND = 1_000 * MS
TENANTS = [{"name": "x", "share": 0.5}, {"name": "y", "share": 0.5}]


def served(harness: BalancerHarness, count: int, cls: int = 0) -> list[str]:
    """Serve calls one after the other; return the servers that they were sent to."""
    where = []
    for _ in range(count):
        tid = harness.accept(cls)
        where += harness.sends(tid)
        harness.now += 5 * MS
        if (tid, 0) in harness.outstanding:
            harness.answer(tid, 0)
    return where


def test_an_avoided_server_gets_no_calls_until_the_warning_expires():
    harness = BalancerHarness(servers=4)
    harness.feed(TierWarning(START + SECOND, servers=(("s1", -1),)))
    assert "s1" not in served(harness, 100)
    harness.now = START + 2 * SECOND
    assert "s1" in served(harness, 100)


def test_a_new_warning_replaces_the_last_one():
    harness = BalancerHarness(servers=4)
    harness.feed(TierWarning(START + 9 * SECOND, servers=(("s1", -1), ("s2", -1))))
    harness.feed(TierWarning(START + 9 * SECOND, servers=(("s2", -1),)))
    where = served(harness, 100)
    assert "s1" in where and "s2" not in where


def test_a_server_avoided_for_one_class_serves_the_others():
    harness = BalancerHarness(servers=4)
    harness.feed(TierWarning(START + 9 * SECOND, servers=(("s1", 1),)))
    assert "s1" not in served(harness, 60, cls=1)
    assert "s1" in served(harness, 60, cls=0)


def test_a_sidecar_with_the_probe_assigned_sends_one_call():
    harness = BalancerHarness(servers=4)
    harness.feed(TierWarning(START + 9 * SECOND, servers=(("s1", -1),), probes=("s1",)))
    assert served(harness, 100).count("s1") == 1


def test_avoided_servers_are_called_if_there_are_no_others():
    harness = BalancerHarness(servers=2)
    harness.feed(TierWarning(START + 9 * SECOND, servers=(("s0", -1), ("s1", -1))))
    assert len(served(harness, 20)) == 20


def test_an_avoided_zone_gets_probes_at_most():
    harness = BalancerHarness(servers=6)
    harness.feed(TierWarning(START + 9 * SECOND, zones=(1,)))
    where = served(harness, 200)
    assert sum(int(name[1:]) % 2 for name in where) <= 0.15 * len(where)


def test_a_restarted_server_is_cold():
    harness = BalancerHarness(servers=4)
    before = served(harness, 200).count("s1")
    harness.feed(TierWarning(harness.now + SECOND, restarted=(("s1", harness.now),)))
    assert served(harness, 200).count("s1") < before / 2


# --- quotas --------------------------------------------------------------------------------------


def limited(**more) -> BalancerHarness:
    return BalancerHarness(settings(projects=TENANTS, **more), servers=6)


def admitted(harness: BalancerHarness, seconds: float, per_s: float, tenant: int = 0) -> int:
    """Send calls at a steady rate, each served at once; return how many were admitted."""
    count, admitted_calls = int(seconds * per_s), 0
    for _ in range(count):
        tid = harness.accept(tenant=tenant)
        if sends := len(harness.sends(tid)):
            admitted_calls += sends
            harness.answer(tid, 0)
        harness.now += int(SECOND / per_s)
    return admitted_calls


def test_a_rate_admits_its_amount_and_refuses_the_rest_with_a_hold_off():
    harness = limited()
    harness.feed(QuotaUpdate(0, False, 10.0, harness.now + 60 * SECOND, 10.0))
    assert 95 <= admitted(harness, 10, 50) <= 100
    refusals = [a for _ in range(3) for a in harness.feed_accept() if isinstance(a, Refuse)]  # of tenant 0
    assert len(refusals) >= 2 and all(0 < a.hold_off_ns <= 1_000 * MS for a in refusals)
    assert admitted(harness, 2, 50, tenant=1) == 100


def test_a_lent_quota_expires_by_the_balancers_clock():
    harness = limited()
    harness.feed(QuotaUpdate(0, False, 40.0, harness.now + SECOND, 5.0))
    assert 30 <= admitted(harness, 1, 100) <= 40
    harness.now += 3 * SECOND  # the process was stopped, or no more updates came
    assert admitted(harness, 4, 100) <= 5 * 7 + 5


def test_tokens_saved_under_a_larger_quota_are_discarded():
    harness = limited()
    harness.feed(QuotaUpdate(0, False, 100.0, harness.now + 60 * SECOND, 100.0))
    harness.now += 5 * SECOND
    harness.feed(QuotaUpdate(0, False, 2.0, harness.now + 60 * SECOND, 2.0))
    assert admitted(harness, 1, 50) <= 4


def test_calls_in_flight_are_limited_and_an_answer_admits_the_next():
    harness = limited()
    harness.feed(QuotaUpdate(0, True, 2.7, harness.now + 60 * SECOND, 1.0))
    tids = [harness.accept(tenant=0) for _ in range(4)]
    assert [len(harness.sends(t)) for t in tids] == [1, 1, 0, 0]
    harness.answer(tids[0], 0)
    assert harness.sends(harness.accept(tenant=0))
    assert harness.balancer.demand() == {(0, True): 3}
    harness.feed(QuotaUpdate(0, True, None))
    assert harness.sends(harness.accept(tenant=0)) and harness.balancer.demand() == {}


def test_a_quota_of_zero_admits_no_calls():
    harness = limited()
    harness.feed(QuotaUpdate(0, False, 0.0, harness.now + 60 * SECOND, 0.0))
    assert admitted(harness, 3, 20) == 0
    assert harness.balancer.demand() == {(0, False): 60}


# --- rule two at the end of the window -----------------------------------------------------------

GUARDED, ZONED, CELLED = 2, 3, 4
WINDOW = 400 * MS


@pytest.mark.parametrize("cls", [GUARDED, ZONED, CELLED])
@pytest.mark.parametrize(("after", "retried"), [(WINDOW - 1, True), (WINDOW, False), (WINDOW + 1, False)])
def test_a_guarded_call_is_retried_within_its_window_and_not_at_its_end(cls, after, retried):
    """The aims are longer than the window here, so that only the window ends the call."""
    config = settings()
    classes = tuple(replace(c, aim_ns=900 * MS) for c in config.classes)
    harness = BalancerHarness(replace(config, classes=classes), servers=16)
    tid = harness.accept(cls, ttl=950 * MS)
    first = harness.sends(tid)[0]
    harness.now += after
    harness.answer(tid, 0, status=305)
    sends = harness.sends(tid)
    assert (len(sends) == 2) is retried
    if retried:
        entry, other = harness.entries[first], harness.entries[sends[1]]
        if cls == ZONED:
            assert other.zone == entry.zone
        if cls == CELLED:
            assert other.cell == entry.cell
    else:  # it may have run, so a retry by the client is harmless only if all servers are one group
        assert harness.final_answers[tid] == ("refused" if cls == GUARDED else "failed")


def test_a_guarded_call_is_not_sent_outside_its_group():
    harness = BalancerHarness(servers=0)
    entries = (
        ServerEntry("s0", zone=0, cell=0),
        ServerEntry("s1", zone=1, cell=1),
        ServerEntry("s2", zone=1, cell=2),
    )
    harness.feed(ServerListUpdate("FULL", entries))
    for cls in (ZONED, CELLED):
        for _ in range(30):
            tid = harness.accept(cls)
            first = harness.sends(tid)[:1]
            if not first:  # all servers are in backoff: the call is queued and ends in time
                harness.advance(5_000 * MS)
                assert tid in harness.final_answers
                continue
            harness.answer(tid, 0, status=305)
            if first == ["s0"]:
                assert harness.sends(tid)[1:] in ([], ["s0"])
            if (tid, 1) in harness.outstanding:
                harness.answer(tid, 1)
            harness.now += 600 * MS
