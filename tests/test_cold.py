"""Cold servers, queues and client timeouts, as one sidecar sees them when many servers are new at once."""

from __future__ import annotations

import pytest

from covetally.policy.calls import Call
from covetally.interface import RequestReceived, ServerListUpdate
from covetally.policy.estimates import expected_time, mean_wait
from covetally.policy.outlier_detection import is_zone_cut, set_zone_failures
from tests.support import MS, BalancerHarness, fleet, settings

REPORTS = {"how": "answers", "columns": ["latency_ms", "qps", "queue"]}


WARMTH = 0.2 + 0.8 * 0.3  # least capacity share of a server after three tenths of its slow start


def answer_with_report(harness: BalancerHarness, tid: str, wait_ms: float, work_ms: float) -> None:
    """Answer a call in time, with a load report that shows a queue of so many ms."""
    harness.answer(tid, 0, latency=100 * MS, queue=wait_ms / 50, qps=20.0, latency_ms=wait_ms + work_ms)


def half_cold(servers: int = 8) -> tuple[BalancerHarness, set[str]]:
    """Return a fleet in which every second server is three tenths into its slow start, and the names of these."""
    harness = BalancerHarness(settings(replicasOfMe=200, reporting=REPORTS), servers=0)
    started_ns = harness.now - 3_000 * MS
    entries = [e._replace(started_ns=started_ns) if i % 2 else e for i, e in enumerate(fleet(servers))]
    harness.feed(ServerListUpdate("SAVED", tuple(entries)))
    return harness, {entry.server for entry in entries if entry.started_ns}


def test_a_new_server_is_not_assumed_to_have_the_queues_of_warm_ones():
    """Guards against new servers that got too few calls: when six in ten nodes were replaced, the new ones had a
    third of the capacity and got 1.4 % of the calls. They were assumed to have the queues of the warm ones, and
    to need six times as long.
    """
    harness = BalancerHarness(settings(replicasOfMe=200, reporting=REPORTS))
    while harness.now < 15_000 * MS:
        tid = harness.accept()
        if harness.sends(tid):
            answer_with_report(harness, tid, 250.0, 60.0)
        harness.now += 50 * MS
    old = harness.server(next(iter(harness.entries)))
    started_ns = harness.now - 3_000 * MS
    added = [entry._replace(server=f"new{entry.server}", started_ns=started_ns) for entry in fleet(6)]
    harness.feed(ServerListUpdate("INCREMENTAL", tuple(added)))
    size = harness.balancer.state.mean_size
    call = Call(
        RequestReceived("f" * 16, 0, 800 * MS), harness.config.classes[0], 0, harness.now, harness.now, size
    )
    mean = mean_wait(harness.balancer.state, harness.now)
    new = [
        expected_time(harness.balancer.state, harness.server(f"news{i}"), call, harness.now, mean)
        for i in range(6)
    ]
    known = expected_time(harness.balancer.state, old, call, harness.now, mean)
    assert max(new) < known, "a cold server without a queue answers sooner than a warm one with a long queue"
    assert max(new) == pytest.approx(60 * MS / WARMTH, rel=0.35)


def test_cold_servers_stay_within_rule_four_while_warm_ones_have_queues():
    harness, cold = half_cold()
    sent = []
    for _ in range(400):
        tid = harness.accept()
        if harness.sends(tid):
            sent.append(harness.sends(tid)[0])
            answer_with_report(harness, tid, 0.0 if sent[-1] in cold else 250.0, 60.0)
        harness.now += 2 * MS
    share = sum(server in cold for server in sent) / len(sent)
    assert share > 0.2
    assert share / (1 - share) < 2.0 * WARMTH, "each gets no more than twice its share"


def test_service_times_of_cold_servers_do_not_raise_the_estimate_for_warm_ones():
    harness, cold = half_cold()
    for _ in range(60):
        tid = harness.accept()
        if harness.sends(tid):
            harness.answer(tid, 0, latency=int(60 * MS / (WARMTH if harness.sends(tid)[0] in cold else 1.0)))
    assert harness.balancer.state.service_ratio * harness.balancer.state.mean_size == pytest.approx(
        60 * MS, rel=0.25
    )


def test_a_reported_queue_is_not_counted_twice():
    """A reported `latency_ms` runs from arrival to answer: 122 ms without a queue, 909 ms with one of 32 in one
    run."""
    harness = BalancerHarness(settings(reporting=REPORTS), servers=1)
    for _ in range(40):
        tid = harness.accept()
        if harness.sends(tid):
            harness.answer(tid, 0, latency=360 * MS, queue=6.0, qps=20.0, latency_ms=360.0)
        harness.now += 100 * MS
    server = harness.server("s0")
    balancer = harness.balancer
    assert server.wait == pytest.approx(300 * MS)
    assert server.service_ratio * balancer.state.mean_size == pytest.approx(90 * MS, rel=0.4), (
        "the wait was counted as work"
    )
    assert balancer.state.service_ratio * balancer.state.mean_size == pytest.approx(90 * MS, rel=0.4)


def test_calls_that_time_out_in_a_queue_do_not_make_it_look_short():
    """A timeout shows only the beginning of a wait. When it counted as the whole, waits were estimated at 60 ms
    in a fleet where half of all calls timed out at 380 ms.
    """
    harness = BalancerHarness(settings(replicasOfMe=200), servers=8)
    estimated = 0.0
    for _ in range(60):
        tid = harness.accept(ttl=150 * MS)
        harness.now += 20 * MS
        if harness.sends(tid):
            harness.now += 130 * MS
            harness.answer(tid, 0, status=303, latency=150 * MS)
            estimated = max(estimated, mean_wait(harness.balancer.state, harness.now))
    seen = 150 * MS - harness.config.classes[0].aim_ns / 4  # the initial service time is a quarter of the aim
    assert estimated > seen, "each timeout shows at least this wait, and that it was longer"


def test_a_call_is_not_sent_if_its_client_will_have_left_before_the_answer():
    """Guards against sending calls of clients with a short timeout to queues that only fit the aim."""
    long_timeout = BalancerHarness(settings(replicasOfMe=200), servers=8)
    short_timeout = BalancerHarness(settings(replicasOfMe=200), servers=8)
    for harness, ttl in ((long_timeout, 800 * MS), (short_timeout, 120 * MS)):
        harness.balancer.state.mean_waits = [100.0 * MS, 0.0]
        harness.sent = 0
        for _ in range(60):
            harness.balancer.state.mean_waits_at = [harness.now, harness.now]
            tid = harness.accept(ttl=ttl)
            harness.sent += bool(harness.sends(tid))
            if harness.sends(tid):
                harness.answer(tid, 0, status=306, latency=0)
    assert long_timeout.sent == 60
    assert short_timeout.sent < 15, "an answer is expected after 175 ms, when the client has left"


def test_the_aim_ends_with_the_timeout_of_the_client():
    harness = BalancerHarness()
    tid = harness.accept(ttl=90 * MS)
    assert harness.outstanding[tid, 0][2] == harness.now + 90 * MS
    assert harness.balancer.state.calls[tid].aim_at == harness.now + 90 * MS


def sends_by_zone(answered: tuple[int, ...], calls: int = 60) -> dict[int, int]:
    """Return the calls sent by zone once only the zones in `answered` respond."""
    harness = BalancerHarness(settings(replicasOfMe=200, familyInfo={"warmKeys": True}), servers=60)
    sent = {0: 0, 1: 0}
    due: list[tuple[int, str]] = []
    for i in range(calls + 40):
        tid = harness.accept(key=f"k{i}")
        if harness.sends(tid):
            zone = harness.entries[harness.sends(tid)[0]].zone
            sent[zone] += i >= 40  # the first calls are all answered, so that both zones are known to respond
            if i < 40 or zone in answered:
                due.append((harness.now + 40 * MS, tid))
        harness.advance(50 * MS)
        for at, ready in list(due):
            if at <= harness.now:
                due.remove((at, ready))
                if (ready, 0) in harness.outstanding:
                    harness.answer(ready, 0, latency=40 * MS)
    return sent


def test_a_zone_that_goes_silent_behind_open_connections_costs_a_few_calls():
    """Guards against learning of a cut zone server by server: only failed connections showed a cut, so each
    sidecar had 12 to 25 timeouts of a whole aim.
    """
    sent = sends_by_zone(answered=(0,))
    assert sent[0] >= 40
    assert sent[1] <= 12, "calls for half an aim until the cut shows, and probes after that"


def test_no_zone_counts_as_cut_off_if_no_zone_answers():
    sent = sends_by_zone(answered=())
    assert min(sent.values()) * 4 > max(sent.values())


def test_a_silent_zone_is_used_again_after_its_first_answer():
    harness = BalancerHarness(settings(replicasOfMe=200), servers=12)
    balancer = harness.balancer
    balancer.state.zone_answered_at[0] = harness.now + 1
    balancer.state.unanswered[1] = [harness.now - 1_000 * MS] * 3
    set_zone_failures(balancer.state, 1, 0.0)
    assert is_zone_cut(balancer.state, harness.now, 1)
    assert not is_zone_cut(balancer.state, harness.now, 0)
    balancer.state.unanswered.clear()
    tid = next(
        t for t in iter(harness.accept, None) if harness.sends(t) and harness.sends(t)[0] in ("s1", "s3", "s5")
    )
    balancer.state.unanswered[1] = [harness.now - 1_000 * MS] * 3
    harness.answer(tid, 0, latency=20 * MS)
    assert not is_zone_cut(balancer.state, harness.now, 1)
    assert not balancer.state.zone_alert
