"""Many servers new at once: what one sidecar knows by itself of cold ones, of queues, of clients' patience."""

from __future__ import annotations

import pytest

from covetally.policy.calls import Call
from covetally.interface import Accept, Directory
from covetally.policy.estimates import expected, mean_wait
from covetally.policy.outlier_detection import is_cut, note_cut
from tests.support import MS, Paper, fleet, settings

REPORTS = {"how": "answers", "columns": ["latency_ms", "qps", "queue"]}


WARMTH = 0.2 + 0.8 * 0.3  # the least of its capacity that a server has after three tenths of its time


def reported(paper: Paper, tid: str, wait_ms: float, work_ms: float) -> None:
    """Its server answers in time, and tells that it has a queue of so many ms."""
    paper.answer(tid, 0, lag=100 * MS, queue=wait_ms / 50, qps=20.0, latency_ms=wait_ms + work_ms)


def half_new(servers: int = 8) -> tuple[Paper, set[str]]:
    """A fleet of which every second server started three tenths of its warming time ago."""
    paper = Paper(settings(replicasOfMe=200, reporting=REPORTS), servers=0)
    born = paper.now - 3_000 * MS
    entries = [e._replace(started_ns=born) if i % 2 else e for i, e in enumerate(fleet(servers))]
    paper.feed(Directory("SAVED", tuple(entries)))
    return paper, {entry.server for entry in entries if entry.started_ns}


def test_a_new_server_is_not_taken_to_have_the_queues_of_the_others():
    """On a day that replaced six in ten nodes the new ones got 1.4 % of what was sent, with a third of the
    capacity: they were taken to have the warm ones' queues, and to need six times as long."""
    paper = Paper(settings(replicasOfMe=200, reporting=REPORTS))
    while paper.now < 15_000 * MS:
        tid = paper.accept()
        if paper.sends(tid):
            reported(paper, tid, 250.0, 60.0)
        paper.now += 50 * MS
    old = paper.server(next(iter(paper.entries)))
    born = paper.now - 3_000 * MS
    added = [entry._replace(server=f"new{entry.server}", started_ns=born) for entry in fleet(6)]
    paper.feed(Directory("INCREMENTAL", tuple(added)))
    size = paper.balancer.book.size
    call = Call(Accept("f" * 16, 0, 800 * MS), paper.config.classes[0], 0, paper.now, paper.now, size)
    mean = mean_wait(paper.balancer.book, paper.now)
    new = [expected(paper.balancer.book, paper.server(f"news{i}"), call, paper.now, mean) for i in range(6)]
    known = expected(paper.balancer.book, old, call, paper.now, mean)
    assert max(new) < known, "a cold server without a queue answers sooner than a warm one with a long queue"
    assert max(new) == pytest.approx(60 * MS / WARMTH, rel=0.35)


def test_cold_servers_get_no_more_than_rule_four_bears_when_the_warm_ones_have_queues():
    paper, cold = half_new()
    sent = []
    for _ in range(400):
        tid = paper.accept()
        if paper.sends(tid):
            sent.append(paper.sends(tid)[0])
            reported(paper, tid, 0.0 if sent[-1] in cold else 250.0, 60.0)
        paper.now += 2 * MS
    share = sum(server in cold for server in sent) / len(sent)
    assert share > 0.2
    assert share / (1 - share) < 2.0 * WARMTH, "each is sent no more than twice its part"


def test_what_a_cold_server_needs_is_not_taken_for_what_warm_ones_need():
    paper, cold = half_new()
    for _ in range(60):
        tid = paper.accept()
        if paper.sends(tid):
            paper.answer(tid, 0, lag=int(60 * MS / (WARMTH if paper.sends(tid)[0] in cold else 1.0)))
    assert paper.balancer.book.stretch * paper.balancer.book.size == pytest.approx(60 * MS, rel=0.25)


def test_a_queue_that_a_server_tells_is_not_counted_twice():
    """`latency_ms` is from arrival to answer: in one play 122 ms without a queue, 909 ms with one of 32."""
    paper = Paper(settings(reporting=REPORTS), servers=1)
    for _ in range(40):
        tid = paper.accept()
        if paper.sends(tid):
            paper.answer(tid, 0, lag=360 * MS, queue=6.0, qps=20.0, latency_ms=360.0)
        paper.now += 100 * MS
    server = paper.server("s0")
    balancer = paper.balancer
    assert server.wait == pytest.approx(300 * MS)
    assert server.stretch * balancer.book.size == pytest.approx(90 * MS, rel=0.4), "the wait was counted as work"
    assert balancer.book.stretch * balancer.book.size == pytest.approx(90 * MS, rel=0.4)


def test_calls_that_a_queue_kills_do_not_make_it_look_short():
    """What a time-out shows of a wait is its beginning; taken for the whole, a fleet where half of all calls
    timed out at 380 ms was believed to have waits of 60."""
    paper = Paper(settings(replicasOfMe=200), servers=8)
    believed = 0.0
    for _ in range(60):
        tid = paper.accept(ttl=150 * MS)
        paper.now += 20 * MS
        if paper.sends(tid):
            paper.now += 130 * MS
            paper.answer(tid, 0, how=303, lag=150 * MS)
            believed = max(believed, mean_wait(paper.balancer.book, paper.now))
    seen = 150 * MS - paper.config.classes[0].aim_ns / 4  # where work is taken for a quarter of the aim
    assert believed > seen, "each shows that much, and that it was longer"


def test_a_call_is_not_sent_where_it_would_be_answered_after_its_client_has_left():
    """Clients with less patience than the aim were sent to queues that only the aim could bear."""
    patient = Paper(settings(replicasOfMe=200), servers=8)
    hasty = Paper(settings(replicasOfMe=200), servers=8)
    for paper, ttl in ((patient, 800 * MS), (hasty, 120 * MS)):
        paper.balancer.book.waits = [100.0 * MS, 0.0]
        paper.sent = 0
        for _ in range(60):
            paper.balancer.book.waits_at = [paper.now, paper.now]
            tid = paper.accept(ttl=ttl)
            paper.sent += bool(paper.sends(tid))
            if paper.sends(tid):
                paper.answer(tid, 0, how=306, lag=0)
    assert patient.sent == 60
    assert hasty.sent < 15, "an answer is expected after 175 ms, and nobody is there to have it"


def test_the_aim_of_a_hasty_client_ends_with_its_patience():
    paper = Paper()
    tid = paper.accept(ttl=90 * MS)
    assert paper.out[tid, 0][2] == paper.now + 90 * MS
    assert paper.balancer.book.calls[tid].aim_at == paper.now + 90 * MS


def zones_apart(answered: tuple[int, ...], calls: int = 60) -> dict[int, int]:
    """A sidecar's sends by zone after a cut: calls to other zones than those answered get no word at all."""
    paper = Paper(settings(replicasOfMe=200, familyInfo={"warmKeys": True}), servers=60)
    sent = {0: 0, 1: 0}
    due: list[tuple[int, str]] = []
    for i in range(calls + 40):
        tid = paper.accept(key=f"k{i}")
        if paper.sends(tid):
            zone = paper.entries[paper.sends(tid)[0]].zone
            sent[zone] += i >= 40  # the first calls are all answered, and make it known to both zones
            if i < 40 or zone in answered:
                due.append((paper.now + 40 * MS, tid))
        paper.advance(50 * MS)
        for at, ready in list(due):
            if at <= paper.now:
                due.remove((at, ready))
                if (ready, 0) in paper.out:
                    paper.answer(ready, 0, lag=40 * MS)
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
    paper = Paper(settings(replicasOfMe=200), servers=12)
    balancer = paper.balancer
    balancer.book.spoke[0] = paper.now + 1
    balancer.book.unheard[1] = [paper.now - 1_000 * MS] * 3
    note_cut(balancer.book, 1, 0.0)
    assert is_cut(balancer.book, paper.now, 1)
    assert not is_cut(balancer.book, paper.now, 0)
    balancer.book.unheard.clear()
    tid = next(t for t in iter(paper.accept, None) if paper.sends(t) and paper.sends(t)[0] in ("s1", "s3", "s5"))
    balancer.book.unheard[1] = [paper.now - 1_000 * MS] * 3
    paper.answer(tid, 0, lag=20 * MS)
    assert not is_cut(balancer.book, paper.now, 1)
    assert not balancer.book.cuts
