"""The design's steps, each exception, and each failure found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from covetally.interface import RequestReceived, ServerListUpdate, Fail, PeerMessage, AttemptEnded, SendToPeer
from covetally.policy.pick import draw_by_key
from covetally.policy.estimates import mean_wait, slow_start_share
from tests.support import MS, BalancerHarness, fleet, settings


def test_an_instance_that_must_ask_asks_within_the_time_it_is_deemed_told():
    """The first wish to ask was lost at start, and drains were missed."""
    config = settings(discovery="subscribe")
    harness = BalancerHarness(config)
    harness.advance(config.invariants.subscribe_within_ns // 2)
    assert harness.subscriptions == 1
    harness.feed(ServerListUpdate("FAILED"))
    harness.advance(config.invariants.subscribe_within_ns)
    assert harness.subscriptions == 2
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1)))
    harness.advance(4 * config.invariants.subscribe_within_ns)
    assert harness.subscriptions == 2, "a subscription that stands is not renewed"


# --- the design's steps -------------------------------------------------------------------------


def load_up(harness: BalancerHarness, count: int, **more) -> list[str]:
    return [harness.accept(**more) for _ in range(count)]


def test_the_less_loaded_of_two_takes_the_call():
    harness = BalancerHarness(servers=2)
    load_up(harness, 2)
    assert sorted(server for server, _, _ in harness.outstanding.values()) == ["s0", "s1"]


def test_a_tie_goes_to_the_server_expected_to_answer_sooner():
    harness = BalancerHarness(servers=2)
    for _ in range(6):
        for tid in load_up(harness, 2):
            slow = harness.sends(tid) == ["s1"]
            harness.answer(tid, 0, latency=150 * MS if slow else 20 * MS)
    wins = 0
    for _ in range(20):
        tid = harness.accept()
        wins += harness.sends(tid) == ["s0"]
        harness.answer(tid, 0, latency=20 * MS if harness.sends(tid) == ["s0"] else 150 * MS)
    assert wins >= 15


def test_calls_are_held_when_all_budgets_are_full_and_go_in_order():
    harness = BalancerHarness(servers=2)
    load_up(harness, 20)
    waiting = [tid for tid in harness.owed if not harness.history[tid]]
    assert waiting, "20 calls on two servers must not all be out"
    assert all(s.inflight <= s.budget + s.probing for s in harness.balancer.state.servers.values())
    harness.advance(10 * MS)
    for key in [k for k, (server, _, _) in sorted(harness.outstanding.items()) if server == "s0"]:
        harness.answer(*key)
    assert harness.history[waiting[0]], "room goes to the call that waited longest"
    assert not harness.history[waiting[-1]]


def test_one_trial_is_out_at_a_time_and_its_success_raises_k():
    harness = BalancerHarness(servers=1)
    load_up(harness, 6)
    server = harness.server("s0")
    assert server.probing
    assert server.inflight == server.budget + 1
    trial = [key for key, a in harness.balancer.state.attempts.items() if a.probe]
    assert len(trial) == 1
    harness.answer(*trial[0])
    assert server.steps == 2
    assert server.backoff == 0


def test_a_failed_trial_doubles_the_backoff_and_leaves_k():
    harness = BalancerHarness(servers=1)
    load_up(harness, 6)
    server = harness.server("s0")
    waits = []
    for _ in range(2):
        trial = next(key for key, a in harness.balancer.state.attempts.items() if a.probe)
        harness.answer(*trial, status=302)
        waits.append(server.backoff)
        assert server.steps == 1
        assert not server.probing
        server.retry_at = 0
        harness.accept()
    assert waits[1] == 2 * waits[0]


def test_a_refusal_lowers_the_concurrency_figure_and_answers_raise_it():
    harness = BalancerHarness(servers=1)
    before = harness.server("s0").step_size
    harness.answer(harness.accept(), 0, status=302)
    lowered = harness.server("s0").step_size
    assert lowered < before
    for _ in range(40):
        tid = harness.accept()
        if (tid, 0) in harness.outstanding:  # else shed, as it may be right after a failure
            harness.answer(tid, 0, latency=20 * MS)
        harness.advance(50 * MS)
    assert harness.server("s0").step_size > lowered


def test_connection_failures_lower_k_and_k_zero_is_skipped():
    harness = BalancerHarness(servers=2)
    tid = harness.accept()
    dead = harness.sends(tid)[0]
    harness.answer(tid, 0, status=304)
    assert harness.server(dead).k == 0
    assert len(harness.sends(tid)) == 2, "a call that never ran is picked again"
    assert all(dead not in harness.sends(t) for t in load_up(harness, 3))


def test_all_servers_at_k_zero_in_backoff_means_refusal_with_retry_after():
    harness = BalancerHarness(servers=1)
    harness.answer(harness.accept(), 0, status=304)
    actions = harness.feed_accept()
    assert type(actions[0]).__name__ == "Refuse"
    assert actions[0].hold_off_ns > 0


def test_a_withdrawn_or_unsent_attempt_is_no_verdict():
    for how in (306, 307):
        harness = BalancerHarness(servers=1)
        harness.answer(harness.accept(), 0, status=how)
        server = harness.server("s0")
        assert (server.steps, server.failure_ratio, server.probing) == (1, 0.0, False)
        assert server.inflight == len(harness.outstanding)


# --- cold servers (rule four) -------------------------------------------------------------------


def test_a_cold_server_draws_no_more_than_its_worst_case_ramp():
    harness = BalancerHarness(servers=8)
    inv = harness.config.invariants
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1, started_ns=harness.now)))
    for age_share in (0.0, 0.5):
        harness.advance(int(inv.slow_start_ns * age_share))
        hits = calls = 0
        for _ in range(1500):
            tid = harness.accept()
            hits += harness.sends(tid) == ["s0"]
            calls += 1
            harness.answer(tid, 0, latency=20 * MS)
        warmth = inv.slow_start_floor + (1 - inv.slow_start_floor) * age_share
        # "s0" may win every draw it is in, so twice its part of the draws is the most it can get.
        assert hits / calls <= 2 / 8 * warmth


def test_a_server_that_answers_after_failed_connections_counts_as_cold():
    """It restarted before the list said so."""
    harness = BalancerHarness(servers=2)
    server = harness.server("s0")
    server.connect_failures, server.steps = 1, 1
    while True:
        tid = harness.accept()
        name = harness.sends(tid)[0]
        harness.answer(tid, 0, latency=20 * MS)
        if name == "s0":
            break
    assert server.started == harness.now
    assert slow_start_share(harness.balancer.state, server, harness.now) < 0.5


def test_a_restart_forgets_the_old_process():
    harness = BalancerHarness(servers=1)
    harness.answer(harness.accept(), 0, status=304)
    assert harness.server("s0").steps == 0
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1, started_ns=harness.now)))
    assert harness.server("s0").steps == 1


# --- exceptions and failures found --------------------------------------------------------------


def test_a_failing_server_is_convicted_unless_most_look_bad():
    harness = BalancerHarness(servers=8)
    for _ in range(60):
        tid = harness.accept(cls=1)
        if harness.history[tid] and (tid, 0) in harness.outstanding:
            harness.answer(tid, 0, status=301, latency=2 * MS)
    convicted = [s for s in harness.balancer.state.servers.values() if s.steps == 0]
    assert 1 <= len(convicted) <= 5, "a shared cause must not empty the fleet"


def test_a_client_retry_past_its_first_aim_is_refused_unsent():
    """In a burst each request was worked up to three times, twice of them for nothing."""
    harness = BalancerHarness(config=settings(clients={"marksRetry": True}))
    tid = harness.accept(cls=0, key="k1")
    harness.advance(310 * MS)
    assert harness.final_answers[tid] in ("refused", "failed")
    again = harness.accept(cls=0, key="k1", retry=True)
    assert harness.final_answers[again] == "refused"
    assert not harness.sends(again)
    other = harness.accept(cls=0, key="k2", retry=True)
    assert harness.sends(other), "a retry that matches nothing remembered is served"


def test_shedding_stops_when_news_stops():
    """The mean wait never faded: after a burst most calls were refused though the servers were idle."""
    harness = BalancerHarness()
    for _ in range(40):
        tid = harness.accept()
        if (tid, 0) in harness.outstanding:
            harness.answer(tid, 0, latency=250 * MS, queue=90.0, qps=100.0, latency_ms=40.0)
    shed = sum(not harness.sends(harness.accept()) for _ in range(20))
    assert shed >= 10
    harness.advance(30_000 * MS)
    assert sum(not harness.sends(harness.accept()) for _ in range(4)) <= 1


def test_timeouts_teach_a_quiet_sidecar_to_shed():
    """A shared slowdown brought time-outs without reports, and 71% of attempts went on to time out."""
    harness = BalancerHarness()
    for _ in range(12):
        harness.accept()
        harness.advance(400 * MS)
    assert mean_wait(harness.balancer.state, harness.now) > 50 * MS


def test_a_cut_zone_costs_a_few_calls_not_one_for_each_server():
    harness = BalancerHarness(servers=24)
    failed = 0
    for _ in range(120):
        tid = harness.accept()
        go = 0
        while (tid, go) in harness.outstanding:
            cut = harness.entries[harness.sends(tid)[go]].zone == 1
            failed += cut
            harness.answer(tid, go, status=304 if cut else 100, latency=20 * MS)
            go += 1
        harness.advance(20 * MS)
    assert failed <= 3 + 120 * 0.1 + 2


def test_a_heavy_call_looks_for_a_fast_server():
    config = settings(classes=[{"name": "run", "onTimeNs": 1_000 * MS, "hardLimitNs": 5_000 * MS}])
    harness = BalancerHarness(config, servers=0)
    harness.feed(ServerListUpdate("SAVED", tuple(e._replace(kind=i // 4) for i, e in enumerate(fleet(8)))))
    for _ in range(200):
        tid = harness.accept(cost_ns=50 * MS)
        if harness.sends(tid):
            fast = harness.entries[harness.sends(tid)[0]].kind == 0
            harness.answer(tid, 0, latency=25 * MS if fast else 150 * MS)
    harness.advance(500 * MS)
    fast = 0
    for _ in range(20):
        tid = harness.accept(cost_ns=300 * MS)
        if harness.sends(tid):
            fast += harness.entries[harness.sends(tid)[0]].kind == 0
            harness.answer(tid, 0, latency=150 * MS)
    assert fast >= 15


def test_a_warm_key_meets_the_same_servers_from_every_sidecar():
    homes = set()
    for index in range(6):
        harness = BalancerHarness(settings(familyInfo={"warmKeys": True}, index=index), servers=12, seed=index)
        homes.add(harness.sends(harness.accept(key="k:one"))[0])
    assert len(homes) <= 2


def connections(harness: BalancerHarness, queue: float, calls: int = 120) -> int:
    """How many are opened for calls of ever new keys, at a rate at which one is hardly ever in use."""
    opened, wanted = 0, dict.fromkeys(harness.entries, 0)
    for number in range(calls):
        tid = harness.accept(key=f"k:{number}")
        (server,) = harness.sends(tid)
        known = harness.balancer.state.servers[server]
        opened += known.connected_at == harness.now and known.connections == known.inflight
        wanted[server] += 1
        harness.advance(MS)
        harness.answer(tid, 0, latency=MS, queue=queue, qps=100.0)
        harness.advance(19 * MS)
    assert max(wanted.values()) < calls / 2, "not all go to one"
    return opened


def test_new_keys_go_by_open_connections_first_while_queues_are_short_and_else_to_their_own_servers():
    """It was the largest source of new connections over a fleet of quiet sidecars."""
    config = settings(familyInfo={"warmKeys": True})
    few, many = (connections(BalancerHarness(config, servers=60, seed=3), queue) for queue in (0.0, 10.0))
    assert few <= 0.6 * many, (few, many)


def test_a_key_goes_by_an_open_connection_only_where_its_server_has_room():
    harness = BalancerHarness(settings(familyInfo={"warmKeys": True}), servers=30, seed=4)
    book, tid = harness.balancer.state, harness.accept(key="k:0")
    (name,) = harness.sends(tid)
    server, call = book.servers[name], book.calls[tid]
    assert server.available_index < 0, "its budget is one"
    server.connections = 2  # as if one more connection were open
    found = 0
    for number in range(200):
        call.event = call.event._replace(key=f"k:{number}")
        home = draw_by_key(book, harness.now + book.conn_idle + 1, call, 0, 0.0)  # by then it has been closed
        assert draw_by_key(book, harness.now, call, 0, 0.0) is home
        server.available_index = 0
        found += draw_by_key(book, harness.now, call, 0, 0.0) is server is not home
        server.available_index = -1
    assert found > 0


HOUR = 3_600_000 * MS


def late_paper() -> BalancerHarness:
    """One without servers, late enough for starts an hour ago."""
    harness = BalancerHarness(servers=0)
    harness.now = 10 * HOUR
    return harness


@pytest.mark.parametrize("off", [-HOUR, -5_000 * MS, 0, 5_000 * MS, HOUR], ids=lambda off: f"{off // MS} ms")
def test_a_server_that_just_started_is_in_slow_start_whatever_the_clocks_say(off):
    """Its start is told by another machine's wall clock, and this one's may have been stepped before the start of
    this process: by an hour ahead, a server that had just started passed for warm."""
    harness = late_paper()
    harness.feed(ServerListUpdate("FULL", fleet(4)))
    harness.advance(1_000 * MS)
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1, started_ns=harness.now - 500 * MS + off)))
    age = harness.now - harness.server("s0").started
    assert 0 <= age <= 6_000 * MS
    assert harness.server("s1").started == 0, "the others are as they were"


def test_a_start_that_a_clock_put_back_tells_of_is_a_restart():
    """Only a later start counted as one."""
    harness = late_paper()
    harness.feed(ServerListUpdate("FULL", fleet(1, started_ns=harness.now - 60 * MS)))
    harness.server("s0").failure_ratio = 0.9
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1, started_ns=harness.now - HOUR)))
    assert harness.server("s0").failure_ratio == 0.0 and harness.server("s0").started == harness.now


def test_a_restart_since_the_list_of_the_process_before_is_a_slow_start_under_a_clock_that_is_ahead():
    """A process whose own clock is an hour ahead took a server that had just started for warm."""
    harness = late_paper()
    harness.feed(ServerListUpdate("SAVED", fleet(2)))
    harness.feed(ServerListUpdate("FULL", (*fleet(1, started_ns=harness.now - HOUR), *fleet(2)[1:])))
    assert harness.server("s0").started == harness.now and harness.server("s1").started == 0


def test_what_a_first_list_tells_of_starts_long_ago_is_believed():
    harness = late_paper()
    for scope in ("SAVED", "FULL"):
        harness.feed(ServerListUpdate(scope, fleet(1, started_ns=harness.now - HOUR)))
        assert harness.server("s0").started == harness.now - HOUR


def test_drain_stops_sends_at_once():
    harness = BalancerHarness(servers=2)
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1, lifecycle="draining")))
    assert {s for t in load_up(harness, 3) for s in harness.sends(t)} <= {"s1"}


def test_all_calls_are_answered_by_the_end_of_the_process():
    """Held ones are refused in time, and what is out is waited for no longer than that."""
    harness = BalancerHarness(servers=1)
    calls = [harness.accept(cls=number % 3, ttl=900 * MS) for number in range(40)]
    assert [t for t in calls if not harness.sends(t) and t in harness.owed], "some are held"
    assert [t for t in calls if harness.sends(t) and t in harness.owed], "and some are out"
    harness.end_by(harness.now + 100 * MS)
    harness.advance(100 * MS)
    assert not harness.owed


def test_without_servers_a_call_waits_for_a_list_and_is_answered_in_time():
    harness = BalancerHarness(servers=0)
    waits, lost = harness.accept(), harness.accept(cls=1, ttl=200 * MS)
    harness.advance(195 * MS)
    assert harness.final_answers[lost] == "refused"
    harness.feed(ServerListUpdate("FULL", fleet(2)))
    assert harness.sends(waits)


def test_odd_reports_and_unknown_classes_do_no_harm():
    harness = BalancerHarness()
    for load in ({"queue": -5.0}, {"qps": 0.0, "queue": 3.0}, {"latency_ms": -1.0}, {"util": 9e9}):
        harness.answer(harness.accept(), 0, latency=20 * MS, **load)
    assert harness.sends(harness.accept(cls=0))


def test_without_reports_served_calls_end_the_wait_a_timeout_taught():
    """It was refreshed by every answer and never faded."""
    harness = BalancerHarness(servers=1)
    harness.accept()
    harness.advance(310 * MS)
    taught = harness.server("s0").wait
    assert taught > 0
    for _ in range(12):
        tid = harness.accept()
        if (tid, 0) in harness.outstanding:
            harness.answer(tid, 0, latency=20 * MS, util=0.3)
        harness.advance(300 * MS)
    assert harness.server("s0").wait < taught / 2


def test_a_rumour_reaches_a_peer_that_knows_the_server_and_nobody_without_leave():
    crowd = {"replicasOfMe": 60, "index": 5}
    open_site = settings(limits={"maxAttempts": 2, "peers": True}, **crowd)
    told = []
    harness = BalancerHarness(open_site, servers=2)
    tid = harness.accept()
    told = [a for a in harness.answer(tid, 0, latency=40 * MS, queue=9.0, qps=100.0) if isinstance(a, SendToPeer)]
    assert told
    assert all(0 <= a.peer < 60 and a.peer != 5 and len(a.blob) <= 16 for a in told)
    other = BalancerHarness(open_site, servers=2)
    other.feed(PeerMessage(told[0].blob))
    assert other.server(harness.sends(tid)[0]).wait == 90 * MS
    for odd in (b"", b"\x00" * 8, b"x" * 200):
        other.feed(PeerMessage(odd))
    closed = BalancerHarness(settings(**crowd), servers=2)
    assert not [a for a in closed.answer(closed.accept(), 0, queue=9.0) if isinstance(a, SendToPeer)]


def test_timeouts_count_against_the_kind_of_server():
    """Slow kinds were judged by the few calls they answered in time, and kept drawing half of all calls."""
    harness = BalancerHarness(settings(kinds=["quick", "slow"]), servers=0)
    harness.feed(ServerListUpdate("SAVED", tuple(e._replace(kind=i // 3) for i, e in enumerate(fleet(6)))))
    for _ in range(30):
        tid = harness.accept(cls=1)
        if harness.sends(tid) and harness.entries[harness.sends(tid)[0]].kind == 0:
            harness.answer(tid, 0, latency=30 * MS)
        else:
            harness.advance(320 * MS)
    kinds = harness.balancer.state.ratio_by_kind
    assert kinds[1] > 2 * kinds[0]


def test_a_call_of_an_unknown_class_is_never_repeated():
    harness = BalancerHarness()
    event = RequestReceived("00000000000000ff", 99, 800 * MS)
    sent = harness.balancer.handle(harness.now, event)[0]
    after = harness.balancer.handle(harness.now, AttemptEnded(event.tid, 301, 5 * MS, sent.server, 0, False, {}))
    assert after == [Fail(event.tid)]


@pytest.mark.parametrize("failing, shunned", [(1, True), (4, False)])
def test_servers_that_fail_one_class_only_are_shunned_for_it_until_they_are_well(failing, shunned):
    """Their other answers are good, which hid those failures from each verdict on the server."""
    harness = BalancerHarness(settings(clients={"marksRetry": True}), servers=4)

    def share(turns: int, well: bool) -> float:
        """Of the last half of the calls of class 0, the share that s0 got; class 1 is always served."""
        met = []
        for turn in range(turns):
            harness.balancer.state.recent_requests = 1e6
            for cls in (0, 1):
                tid = harness.accept(cls=cls)
                if (tid, 0) not in harness.outstanding:
                    continue  # shed
                name = harness.outstanding[tid, 0][0]
                fails = not well and not cls and int(name[1:]) < failing
                harness.balancer.state.retry_tokens = 0.0  # no further attempt
                harness.advance(MS)
                harness.answer(tid, 0, status=303 if fails and turn % 2 else 100, latency=20 * MS)
                if not cls and 2 * turn > turns:
                    met.append(name == "s0")
        return sum(met) / len(met)

    assert (share(600, well=False) < 0.1) is shunned
    assert share(2000, well=True) > 0.1


# --- other figures under way ----------------------------------------------------------------------


def test_other_figures_hold_for_new_calls_and_leave_what_was_learned_and_open_calls_alone():
    harness = BalancerHarness(servers=4)
    old = harness.accept(cls=0, ttl=900 * MS)
    harness.server("s0").steps = 3
    shorter = tuple(replace(c, aim_ns=150 * MS, deadline_ns=250 * MS) for c in harness.config.classes)
    harness.balancer.reconfigure(replace(harness.config, classes=shorter))
    new = harness.accept(cls=0, ttl=250 * MS)
    abandon = {tid: at for (tid, _), (_, _, at) in harness.outstanding.items()}
    assert abandon[old] == harness.now + 300 * MS
    assert abandon[new] == harness.now + 150 * MS
    assert harness.server("s0").steps == 3


def test_what_is_believed_can_be_read_with_its_reason():
    harness = BalancerHarness(servers=5)
    now, of = harness.now, harness.server
    of("s0").k, of("s0").retry_at = 0, now + 70 * MS
    of("s1").k = 0
    of("s2").started = now - MS
    of("s3").inflight = of("s3").budget
    why = {b.server: b.why for b in harness.balancer.server_statuses(now)}
    assert why == {
        "s0": "in backoff", "s1": "due for a trial", "s2": "cold", "s3": "at budget", "s4": "",
    }  # fmt: skip
    first = harness.balancer.server_statuses(now)[0]
    assert (first.steps, first.retry_ns, first.age_ns) == (0, 70 * MS, -1)
    before = harness.balancer.state.rng.getstate()
    harness.balancer.server_statuses(now)
    assert harness.balancer.state.rng.getstate() == before, "to look changes no draw"
