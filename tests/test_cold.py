"""Many servers new at once: what one sidecar knows by itself of cold ones, of queues, of clients' patience."""

from __future__ import annotations

import pytest

from covetally.policy.calls import Call
from covetally.interface import RequestReceived, ServerListUpdate
from covetally.policy.estimates import expected_time, mean_wait
from covetally.policy.outlier_detection import is_zone_cut, set_zone_failures
from tests.support import MS, BalancerHarness, fleet, settings

REPORTS = {"how": "answers", "columns": ["latency_ms", "qps", "queue"]}


WARMTH = 0.2 + 0.8 * 0.3  # the least of its capacity that a server has after three tenths of its time


def reported(harness: BalancerHarness, tid: str, wait_ms: float, work_ms: float) -> None:
    """Its server answers in time, and tells that it has a queue of so many ms."""
    harness.answer(tid, 0, latency=100 * MS, queue=wait_ms / 50, qps=20.0, latency_ms=wait_ms + work_ms)


def half_new(servers: int = 8) -> tuple[BalancerHarness, set[str]]:
    """A fleet of which every second server started three tenths of its warming time ago."""
    harness = BalancerHarness(settings(replicasOfMe=200, reporting=REPORTS), servers=0)
    born = harness.now - 3_000 * MS
    entries = [e._replace(started_ns=born) if i % 2 else e for i, e in enumerate(fleet(servers))]
    harness.feed(ServerListUpdate("SAVED", tuple(entries)))
    return harness, {entry.server for entry in entries if entry.started_ns}


def test_a_new_server_is_not_taken_to_have_the_queues_of_the_others():
    """On a day that replaced six in ten nodes the new ones got 1.4 % of what was sent, with a third of the
    capacity: they were taken to have the warm ones' queues, and to need six times as long."""
    harness = BalancerHarness(settings(replicasOfMe=200, reporting=REPORTS))
    while harness.now < 15_000 * MS:
        tid = harness.accept()
        if harness.sends(tid):
            reported(harness, tid, 250.0, 60.0)
        harness.now += 50 * MS
    old = harness.server(next(iter(harness.entries)))
    born = harness.now - 3_000 * MS
    added = [entry._replace(server=f"new{entry.server}", started_ns=born) for entry in fleet(6)]
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


def test_cold_servers_get_no_more_than_rule_four_bears_when_the_warm_ones_have_queues():
    harness, cold = half_new()
    sent = []
    for _ in range(400):
        tid = harness.accept()
        if harness.sends(tid):
            sent.append(harness.sends(tid)[0])
            reported(harness, tid, 0.0 if sent[-1] in cold else 250.0, 60.0)
        harness.now += 2 * MS
    share = sum(server in cold for server in sent) / len(sent)
    assert share > 0.2
    assert share / (1 - share) < 2.0 * WARMTH, "each is sent no more than twice its part"


def test_what_a_cold_server_needs_is_not_taken_for_what_warm_ones_need():
    harness, cold = half_new()
    for _ in range(60):
        tid = harness.accept()
        if harness.sends(tid):
            harness.answer(tid, 0, latency=int(60 * MS / (WARMTH if harness.sends(tid)[0] in cold else 1.0)))
    assert harness.balancer.state.service_ratio * harness.balancer.state.mean_size == pytest.approx(
        60 * MS, rel=0.25
    )


def test_a_queue_that_a_server_tells_is_not_counted_twice():
    """`latency_ms` is from arrival to answer: in one play 122 ms without a queue, 909 ms with one of 32."""
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


def test_calls_that_a_queue_kills_do_not_make_it_look_short():
    """What a time-out shows of a wait is its beginning; taken for the whole, a fleet where half of all calls
    timed out at 380 ms was believed to have waits of 60."""
    harness = BalancerHarness(settings(replicasOfMe=200), servers=8)
    believed = 0.0
    for _ in range(60):
        tid = harness.accept(ttl=150 * MS)
        harness.now += 20 * MS
        if harness.sends(tid):
            harness.now += 130 * MS
            harness.answer(tid, 0, status=303, latency=150 * MS)
            believed = max(believed, mean_wait(harness.balancer.state, harness.now))
    seen = 150 * MS - harness.config.classes[0].aim_ns / 4  # where work is taken for a quarter of the aim
    assert believed > seen, "each shows that much, and that it was longer"


def test_a_call_is_not_sent_where_it_would_be_answered_after_its_client_has_left():
    """Clients with less patience than the aim were sent to queues that only the aim could bear."""
    patient = BalancerHarness(settings(replicasOfMe=200), servers=8)
    hasty = BalancerHarness(settings(replicasOfMe=200), servers=8)
    for harness, ttl in ((patient, 800 * MS), (hasty, 120 * MS)):
        harness.balancer.state.mean_waits = [100.0 * MS, 0.0]
        harness.sent = 0
        for _ in range(60):
            harness.balancer.state.mean_waits_at = [harness.now, harness.now]
            tid = harness.accept(ttl=ttl)
            harness.sent += bool(harness.sends(tid))
            if harness.sends(tid):
                harness.answer(tid, 0, status=306, latency=0)
    assert patient.sent == 60
    assert hasty.sent < 15, "an answer is expected after 175 ms, and nobody is there to have it"


def test_the_aim_of_a_hasty_client_ends_with_its_patience():
    harness = BalancerHarness()
    tid = harness.accept(ttl=90 * MS)
    assert harness.outstanding[tid, 0][2] == harness.now + 90 * MS
    assert harness.balancer.state.calls[tid].aim_at == harness.now + 90 * MS


def zones_apart(answered: tuple[int, ...], calls: int = 60) -> dict[int, int]:
    """A sidecar's sends by zone after a cut: calls to other zones than those answered get no word at all."""
    harness = BalancerHarness(settings(replicasOfMe=200, familyInfo={"warmKeys": True}), servers=60)
    sent = {0: 0, 1: 0}
    due: list[tuple[int, str]] = []
    for i in range(calls + 40):
        tid = harness.accept(key=f"k{i}")
        if harness.sends(tid):
            zone = harness.entries[harness.sends(tid)[0]].zone
            sent[zone] += i >= 40  # the first calls are all answered, and make it known to both zones
            if i < 40 or zone in answered:
                due.append((harness.now + 40 * MS, tid))
        harness.advance(50 * MS)
        for at, ready in list(due):
            if at <= harness.now:
                due.remove((at, ready))
                if (ready, 0) in harness.outstanding:
                    harness.answer(ready, 0, latency=40 * MS)
    return sent


def test_a_zone_that_falls_silent_behind_kept_connections_costs_a_few_calls():
    """On the day that cuts a zone off every server there cost every sidecar a whole aim: 12 to 25 time-outs each,
    since only connections that did not come up told of a cut."""
    sent = zones_apart(answered=(0,))
    assert sent[0] >= 40
    assert sent[1] <= 12, "half an aim until it shows, and trials after that"


def test_where_nothing_answers_no_zone_is_cut_off_for_it():
    sent = zones_apart(answered=())
    assert min(sent.values()) * 4 > max(sent.values())


def test_a_silent_zone_is_used_again_with_its_first_answer():
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
