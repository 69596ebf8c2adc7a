"""The design's steps, each exception, and each failure found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from covetally.interface import Accept, Directory, Fail, Heard, Response, Signal
from covetally.policy.pick import draw_key
from covetally.policy.estimates import mean_wait, ramp
from tests.support import MS, Paper, fleet, settings


def test_an_instance_that_must_ask_asks_within_the_time_it_is_deemed_told():
    """The first wish to ask was lost at start, and drains were missed."""
    config = settings(discovery="subscribe")
    paper = Paper(config)
    paper.advance(config.invariants.must_ask_in_ns // 2)
    assert paper.asks == 1
    paper.feed(Directory("FAILED"))
    paper.advance(config.invariants.must_ask_in_ns)
    assert paper.asks == 2
    paper.feed(Directory("INCREMENTAL", fleet(1)))
    paper.advance(4 * config.invariants.must_ask_in_ns)
    assert paper.asks == 2, "a subscription that stands is not renewed"


# --- the design's steps -------------------------------------------------------------------------


def load_up(paper: Paper, count: int, **more) -> list[str]:
    return [paper.accept(**more) for _ in range(count)]


def test_the_less_loaded_of_two_takes_the_call():
    paper = Paper(servers=2)
    load_up(paper, 2)
    assert sorted(server for server, _, _ in paper.out.values()) == ["s0", "s1"]


def test_a_tie_goes_to_the_server_expected_to_answer_sooner():
    paper = Paper(servers=2)
    for _ in range(6):
        for tid in load_up(paper, 2):
            slow = paper.sends(tid) == ["s1"]
            paper.answer(tid, 0, lag=150 * MS if slow else 20 * MS)
    wins = 0
    for _ in range(20):
        tid = paper.accept()
        wins += paper.sends(tid) == ["s0"]
        paper.answer(tid, 0, lag=20 * MS if paper.sends(tid) == ["s0"] else 150 * MS)
    assert wins >= 15


def test_calls_are_held_when_all_budgets_are_full_and_go_in_order():
    paper = Paper(servers=2)
    load_up(paper, 20)
    waiting = [tid for tid in paper.owed if not paper.history[tid]]
    assert waiting, "20 calls on two servers must not all be out"
    assert all(s.inflight <= s.budget + s.trial for s in paper.balancer.book.servers.values())
    paper.advance(10 * MS)
    for key in [k for k, (server, _, _) in sorted(paper.out.items()) if server == "s0"]:
        paper.answer(*key)
    assert paper.history[waiting[0]], "room goes to the call that waited longest"
    assert not paper.history[waiting[-1]]


def test_one_trial_is_out_at_a_time_and_its_success_raises_k():
    paper = Paper(servers=1)
    load_up(paper, 6)
    server = paper.server("s0")
    assert server.trial
    assert server.inflight == server.budget + 1
    trial = [key for key, a in paper.balancer.book.attempts.items() if a.trial]
    assert len(trial) == 1
    paper.answer(*trial[0])
    assert server.k == 2
    assert server.backoff == 0


def test_a_failed_trial_doubles_the_backoff_and_leaves_k():
    paper = Paper(servers=1)
    load_up(paper, 6)
    server = paper.server("s0")
    waits = []
    for _ in range(2):
        trial = next(key for key, a in paper.balancer.book.attempts.items() if a.trial)
        paper.answer(*trial, how=302)
        waits.append(server.backoff)
        assert server.k == 1
        assert not server.trial
        server.retry_at = 0
        paper.accept()
    assert waits[1] == 2 * waits[0]


def test_a_refusal_lowers_the_concurrency_figure_and_answers_raise_it():
    paper = Paper(servers=1)
    before = paper.server("s0").figure
    paper.answer(paper.accept(), 0, how=302)
    lowered = paper.server("s0").figure
    assert lowered < before
    for _ in range(40):
        tid = paper.accept()
        if (tid, 0) in paper.out:  # else shed, as it may be right after a failure
            paper.answer(tid, 0, lag=20 * MS)
        paper.advance(50 * MS)
    assert paper.server("s0").figure > lowered


def test_connection_failures_lower_k_and_k_zero_is_skipped():
    paper = Paper(servers=2)
    tid = paper.accept()
    dead = paper.sends(tid)[0]
    paper.answer(tid, 0, how=304)
    assert paper.server(dead).k == 0
    assert len(paper.sends(tid)) == 2, "a call that never ran is picked again"
    assert all(dead not in paper.sends(t) for t in load_up(paper, 3))


def test_all_servers_at_k_zero_in_backoff_means_refusal_with_retry_after():
    paper = Paper(servers=1)
    paper.answer(paper.accept(), 0, how=304)
    actions = paper.feed_accept()
    assert type(actions[0]).__name__ == "Refuse"
    assert actions[0].hold_off_ns > 0


def test_a_withdrawn_or_unsent_attempt_is_no_verdict():
    for how in (306, 307):
        paper = Paper(servers=1)
        paper.answer(paper.accept(), 0, how=how)
        server = paper.server("s0")
        assert (server.k, server.bad, server.trial) == (1, 0.0, False)
        assert server.inflight == len(paper.out)


# --- cold servers (rule four) -------------------------------------------------------------------


def test_a_cold_server_draws_no_more_than_its_worst_case_ramp():
    paper = Paper(servers=8)
    inv = paper.config.invariants
    paper.feed(Directory("INCREMENTAL", fleet(1, started_ns=paper.now)))
    for age_share in (0.0, 0.5):
        paper.advance(int(inv.cold_ns * age_share))
        hits = calls = 0
        for _ in range(1500):
            tid = paper.accept()
            hits += paper.sends(tid) == ["s0"]
            calls += 1
            paper.answer(tid, 0, lag=20 * MS)
        warmth = inv.cold_from + (1 - inv.cold_from) * age_share
        # "s0" may win every draw it is in, so twice its part of the draws is the most it can get.
        assert hits / calls <= 2 / 8 * warmth


def test_a_server_that_answers_after_failed_connections_counts_as_cold():
    """It restarted before the list said so."""
    paper = Paper(servers=2)
    server = paper.server("s0")
    server.refused, server.k = 1, 1
    while True:
        tid = paper.accept()
        name = paper.sends(tid)[0]
        paper.answer(tid, 0, lag=20 * MS)
        if name == "s0":
            break
    assert server.started == paper.now
    assert ramp(paper.balancer.book, server, paper.now) < 0.5


def test_a_restart_forgets_the_old_process():
    paper = Paper(servers=1)
    paper.answer(paper.accept(), 0, how=304)
    assert paper.server("s0").k == 0
    paper.feed(Directory("INCREMENTAL", fleet(1, started_ns=paper.now)))
    assert paper.server("s0").k == 1


# --- exceptions and failures found --------------------------------------------------------------


def test_a_failing_server_is_convicted_unless_most_look_bad():
    paper = Paper(servers=8)
    for _ in range(60):
        tid = paper.accept(cls=1)
        if paper.history[tid] and (tid, 0) in paper.out:
            paper.answer(tid, 0, how=301, lag=2 * MS)
    convicted = [s for s in paper.balancer.book.servers.values() if s.k == 0]
    assert 1 <= len(convicted) <= 5, "a shared cause must not empty the fleet"


def test_a_client_retry_past_its_first_aim_is_refused_unsent():
    """In a burst each request was worked up to three times, twice of them for nothing."""
    paper = Paper(config=settings(clients={"marksRetry": True}))
    tid = paper.accept(cls=0, key="k1")
    paper.advance(310 * MS)
    assert paper.finals[tid] in ("refused", "failed")
    again = paper.accept(cls=0, key="k1", retry=True)
    assert paper.finals[again] == "refused"
    assert not paper.sends(again)
    other = paper.accept(cls=0, key="k2", retry=True)
    assert paper.sends(other), "a retry that matches nothing remembered is served"


def test_shedding_stops_when_news_stops():
    """The mean wait never faded: after a burst most calls were refused though the servers were idle."""
    paper = Paper()
    for _ in range(40):
        tid = paper.accept()
        if (tid, 0) in paper.out:
            paper.answer(tid, 0, lag=250 * MS, queue=90.0, qps=100.0, latency_ms=40.0)
    shed = sum(not paper.sends(paper.accept()) for _ in range(20))
    assert shed >= 10
    paper.advance(30_000 * MS)
    assert sum(not paper.sends(paper.accept()) for _ in range(4)) <= 1


def test_timeouts_teach_a_quiet_sidecar_to_shed():
    """A shared slowdown brought time-outs without reports, and 71% of attempts went on to time out."""
    paper = Paper()
    for _ in range(12):
        paper.accept()
        paper.advance(400 * MS)
    assert mean_wait(paper.balancer.book, paper.now) > 50 * MS


def test_a_cut_zone_costs_a_few_calls_not_one_for_each_server():
    paper = Paper(servers=24)
    failed = 0
    for _ in range(120):
        tid = paper.accept()
        go = 0
        while (tid, go) in paper.out:
            cut = paper.entries[paper.sends(tid)[go]].zone == 1
            failed += cut
            paper.answer(tid, go, how=304 if cut else 100, lag=20 * MS)
            go += 1
        paper.advance(20 * MS)
    assert failed <= 3 + 120 * 0.1 + 2


def test_a_heavy_call_looks_for_a_fast_server():
    config = settings(classes=[{"name": "run", "onTimeNs": 1_000 * MS, "hardLimitNs": 5_000 * MS}])
    paper = Paper(config, servers=0)
    paper.feed(Directory("SAVED", tuple(e._replace(kind=i // 4) for i, e in enumerate(fleet(8)))))
    for _ in range(200):
        tid = paper.accept(cost_ns=50 * MS)
        if paper.sends(tid):
            fast = paper.entries[paper.sends(tid)[0]].kind == 0
            paper.answer(tid, 0, lag=25 * MS if fast else 150 * MS)
    paper.advance(500 * MS)
    fast = 0
    for _ in range(20):
        tid = paper.accept(cost_ns=300 * MS)
        if paper.sends(tid):
            fast += paper.entries[paper.sends(tid)[0]].kind == 0
            paper.answer(tid, 0, lag=150 * MS)
    assert fast >= 15


def test_a_warm_key_meets_the_same_servers_from_every_sidecar():
    homes = set()
    for index in range(6):
        paper = Paper(settings(familyInfo={"warmKeys": True}, index=index), servers=12, seed=index)
        homes.add(paper.sends(paper.accept(key="k:one"))[0])
    assert len(homes) <= 2


def connections(paper: Paper, queue: float, calls: int = 120) -> int:
    """How many are opened for calls of ever new keys, at a rate at which one is hardly ever in use."""
    opened, wanted = 0, dict.fromkeys(paper.entries, 0)
    for number in range(calls):
        tid = paper.accept(key=f"k:{number}")
        (server,) = paper.sends(tid)
        known = paper.balancer.book.servers[server]
        opened += known.joined == paper.now and known.peak == known.inflight
        wanted[server] += 1
        paper.advance(MS)
        paper.answer(tid, 0, lag=MS, queue=queue, qps=100.0)
        paper.advance(19 * MS)
    assert max(wanted.values()) < calls / 2, "not all go to one"
    return opened


def test_new_keys_go_by_open_connections_first_while_queues_are_short_and_else_to_their_own_servers():
    """It was the largest source of new connections over a fleet of quiet sidecars."""
    config = settings(familyInfo={"warmKeys": True})
    few, many = (connections(Paper(config, servers=60, seed=3), queue) for queue in (0.0, 10.0))
    assert few <= 0.6 * many, (few, many)


def test_a_key_goes_by_an_open_connection_only_where_its_server_has_room():
    paper = Paper(settings(familyInfo={"warmKeys": True}), servers=30, seed=4)
    book, tid = paper.balancer.book, paper.accept(key="k:0")
    (name,) = paper.sends(tid)
    server, call = book.servers[name], book.calls[tid]
    assert server.slot < 0, "its budget is one"
    server.peak = 2  # as if one more connection were open
    found = 0
    for number in range(200):
        call.event = call.event._replace(key=f"k:{number}")
        home = draw_key(book, paper.now + book.conn_idle + 1, call, 0, 0.0)  # by then it has been closed
        assert draw_key(book, paper.now, call, 0, 0.0) is home
        server.slot = 0
        found += draw_key(book, paper.now, call, 0, 0.0) is server is not home
        server.slot = -1
    assert found > 0


HOUR = 3_600_000 * MS


def late_paper() -> Paper:
    """One without servers, late enough for starts an hour ago."""
    paper = Paper(servers=0)
    paper.now = 10 * HOUR
    return paper


@pytest.mark.parametrize("off", [-HOUR, -5_000 * MS, 0, 5_000 * MS, HOUR], ids=lambda off: f"{off // MS} ms")
def test_a_server_that_just_started_is_in_slow_start_whatever_the_clocks_say(off):
    """Its start is told by another machine's wall clock, and this one's may have been stepped before the start of
    this process: by an hour ahead, a server that had just started passed for warm."""
    paper = late_paper()
    paper.feed(Directory("FULL", fleet(4)))
    paper.advance(1_000 * MS)
    paper.feed(Directory("INCREMENTAL", fleet(1, started_ns=paper.now - 500 * MS + off)))
    age = paper.now - paper.server("s0").started
    assert 0 <= age <= 6_000 * MS
    assert paper.server("s1").started == 0, "the others are as they were"


def test_a_start_that_a_clock_put_back_tells_of_is_a_restart():
    """Only a later start counted as one."""
    paper = late_paper()
    paper.feed(Directory("FULL", fleet(1, started_ns=paper.now - 60 * MS)))
    paper.server("s0").bad = 0.9
    paper.feed(Directory("INCREMENTAL", fleet(1, started_ns=paper.now - HOUR)))
    assert paper.server("s0").bad == 0.0 and paper.server("s0").started == paper.now


def test_a_restart_since_the_list_of_the_process_before_is_a_slow_start_under_a_clock_that_is_ahead():
    """A process whose own clock is an hour ahead took a server that had just started for warm."""
    paper = late_paper()
    paper.feed(Directory("SAVED", fleet(2)))
    paper.feed(Directory("FULL", (*fleet(1, started_ns=paper.now - HOUR), *fleet(2)[1:])))
    assert paper.server("s0").started == paper.now and paper.server("s1").started == 0


def test_what_a_first_list_tells_of_starts_long_ago_is_believed():
    paper = late_paper()
    for scope in ("SAVED", "FULL"):
        paper.feed(Directory(scope, fleet(1, started_ns=paper.now - HOUR)))
        assert paper.server("s0").started == paper.now - HOUR


def test_drain_stops_sends_at_once():
    paper = Paper(servers=2)
    paper.feed(Directory("INCREMENTAL", fleet(1, lifecycle="draining")))
    assert {s for t in load_up(paper, 3) for s in paper.sends(t)} <= {"s1"}


def test_all_calls_are_answered_by_the_end_of_the_process():
    """Held ones are refused in time, and what is out is waited for no longer than that."""
    paper = Paper(servers=1)
    calls = [paper.accept(cls=number % 3, ttl=900 * MS) for number in range(40)]
    assert [t for t in calls if not paper.sends(t) and t in paper.owed], "some are held"
    assert [t for t in calls if paper.sends(t) and t in paper.owed], "and some are out"
    paper.end_by(paper.now + 100 * MS)
    paper.advance(100 * MS)
    assert not paper.owed


def test_without_servers_a_call_waits_for_a_list_and_is_answered_in_time():
    paper = Paper(servers=0)
    waits, lost = paper.accept(), paper.accept(cls=1, ttl=200 * MS)
    paper.advance(195 * MS)
    assert paper.finals[lost] == "refused"
    paper.feed(Directory("FULL", fleet(2)))
    assert paper.sends(waits)


def test_odd_reports_and_unknown_classes_do_no_harm():
    paper = Paper()
    for load in ({"queue": -5.0}, {"qps": 0.0, "queue": 3.0}, {"latency_ms": -1.0}, {"util": 9e9}):
        paper.answer(paper.accept(), 0, lag=20 * MS, **load)
    assert paper.sends(paper.accept(cls=0))


def test_without_reports_served_calls_end_the_wait_a_timeout_taught():
    """It was refreshed by every answer and never faded."""
    paper = Paper(servers=1)
    paper.accept()
    paper.advance(310 * MS)
    taught = paper.server("s0").wait
    assert taught > 0
    for _ in range(12):
        tid = paper.accept()
        if (tid, 0) in paper.out:
            paper.answer(tid, 0, lag=20 * MS, util=0.3)
        paper.advance(300 * MS)
    assert paper.server("s0").wait < taught / 2


def test_a_rumour_reaches_a_peer_that_knows_the_server_and_nobody_without_leave():
    crowd = {"replicasOfMe": 60, "index": 5}
    open_site = settings(limits={"maxAttempts": 2, "peers": True}, **crowd)
    told = []
    paper = Paper(open_site, servers=2)
    tid = paper.accept()
    told = [a for a in paper.answer(tid, 0, lag=40 * MS, queue=9.0, qps=100.0) if isinstance(a, Signal)]
    assert told
    assert all(0 <= a.peer < 60 and a.peer != 5 and len(a.blob) <= 16 for a in told)
    other = Paper(open_site, servers=2)
    other.feed(Heard(told[0].blob))
    assert other.server(paper.sends(tid)[0]).wait == 90 * MS
    for odd in (b"", b"\x00" * 8, b"x" * 200):
        other.feed(Heard(odd))
    closed = Paper(settings(**crowd), servers=2)
    assert not [a for a in closed.answer(closed.accept(), 0, queue=9.0) if isinstance(a, Signal)]


def test_timeouts_count_against_the_kind_of_server():
    """Slow kinds were judged by the few calls they answered in time, and kept drawing half of all calls."""
    paper = Paper(settings(kinds=["quick", "slow"]), servers=0)
    paper.feed(Directory("SAVED", tuple(e._replace(kind=i // 3) for i, e in enumerate(fleet(6)))))
    for _ in range(30):
        tid = paper.accept(cls=1)
        if paper.sends(tid) and paper.entries[paper.sends(tid)[0]].kind == 0:
            paper.answer(tid, 0, lag=30 * MS)
        else:
            paper.advance(320 * MS)
    kinds = paper.balancer.book.by_kind
    assert kinds[1] > 2 * kinds[0]


def test_a_call_of_an_unknown_class_is_never_repeated():
    paper = Paper()
    event = Accept("00000000000000ff", 99, 800 * MS)
    sent = paper.balancer.handle(paper.now, event)[0]
    after = paper.balancer.handle(paper.now, Response(event.tid, 301, 5 * MS, sent.server, 0, False, {}))
    assert after == [Fail(event.tid)]


@pytest.mark.parametrize("failing, shunned", [(1, True), (4, False)])
def test_servers_that_fail_one_class_only_are_shunned_for_it_until_they_are_well(failing, shunned):
    """Their other answers are good, which hid those failures from each verdict on the server."""
    paper = Paper(settings(clients={"marksRetry": True}), servers=4)

    def share(turns: int, well: bool) -> float:
        """Of the last half of the calls of class 0, the share that s0 got; class 1 is always served."""
        met = []
        for turn in range(turns):
            paper.balancer.book.heard = 1e6
            for cls in (0, 1):
                tid = paper.accept(cls=cls)
                if (tid, 0) not in paper.out:
                    continue  # shed
                name = paper.out[tid, 0][0]
                fails = not well and not cls and int(name[1:]) < failing
                paper.balancer.book.tokens = 0.0  # no further attempt
                paper.advance(MS)
                paper.answer(tid, 0, how=303 if fails and turn % 2 else 100, lag=20 * MS)
                if not cls and 2 * turn > turns:
                    met.append(name == "s0")
        return sum(met) / len(met)

    assert (share(600, well=False) < 0.1) is shunned
    assert share(2000, well=True) > 0.1


# --- other figures under way ----------------------------------------------------------------------


def test_other_figures_hold_for_new_calls_and_leave_what_was_learned_and_open_calls_alone():
    paper = Paper(servers=4)
    old = paper.accept(cls=0, ttl=900 * MS)
    paper.server("s0").k = 3
    shorter = tuple(replace(c, aim_ns=150 * MS, deadline_ns=250 * MS) for c in paper.config.classes)
    paper.balancer.retune(replace(paper.config, classes=shorter))
    new = paper.accept(cls=0, ttl=250 * MS)
    abandon = {tid: at for (tid, _), (_, _, at) in paper.out.items()}
    assert abandon[old] == paper.now + 300 * MS
    assert abandon[new] == paper.now + 150 * MS
    assert paper.server("s0").k == 3


def test_what_is_believed_can_be_read_with_its_reason():
    paper = Paper(servers=5)
    now, of = paper.now, paper.server
    of("s0").k, of("s0").retry_at = 0, now + 70 * MS
    of("s1").k = 0
    of("s2").started = now - MS
    of("s3").inflight = of("s3").budget
    why = {b.server: b.why for b in paper.balancer.beliefs(now)}
    assert why == {
        "s0": "in backoff", "s1": "due for a trial", "s2": "cold", "s3": "at budget", "s4": "",
    }  # fmt: skip
    first = paper.balancer.beliefs(now)[0]
    assert (first.k, first.retry_ns, first.age_ns) == (0, 70 * MS, -1)
    before = paper.balancer.book.rng.getstate()
    paper.balancer.beliefs(now)
    assert paper.balancer.book.rng.getstate() == before, "to look changes no draw"
