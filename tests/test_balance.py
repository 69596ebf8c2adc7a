"""The balancer's ordinary path, its exceptions, and regressions."""

from __future__ import annotations

from dataclasses import replace

import pytest

from covetally.interface import AttemptEnded, Fail, PeerMessage, RequestReceived, SendToPeer, ServerListUpdate
from covetally.policy.pick import draw_by_key
from covetally.policy.estimates import mean_wait, slow_start_share
from tests.support import MS, BalancerHarness, fleet, settings


def test_an_instance_subscribes_within_the_time_after_which_updates_count_as_received():
    """Guards against losing the first subscription at start, after which drains were missed."""
    config = settings(discovery="subscribe")
    harness = BalancerHarness(config)
    harness.advance(config.invariants.subscribe_within_ns // 2)
    assert harness.subscriptions == 1
    harness.feed(ServerListUpdate("FAILED"))
    harness.advance(config.invariants.subscribe_within_ns)
    assert harness.subscriptions == 2
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1)))
    harness.advance(4 * config.invariants.subscribe_within_ns)
    assert harness.subscriptions == 2, "an active subscription is not renewed"


def test_a_timer_that_fires_early_leaves_no_call_waiting_past_its_deadline():
    """It was swallowed, and no other looked at the queue: a call waited until another event, or for good."""
    harness = BalancerHarness(servers=2)

    class EarlyTimers(list):
        """Timers that fire 1 ns before they are due, as a clock's rounding may have it."""

        def append(self, timer):
            super().append((timer[0] - 1, timer[1]))

    harness.timers = EarlyTimers()
    for _ in range(20):
        harness.accept(ttl=900 * MS)
    assert harness.balancer.state.queue
    harness.advance(290 * MS)  # an attempt ends no sooner than at the aim of its call
    assert harness.outstanding and not harness.balancer.state.queue
    assert len(harness.timers) <= 1, "early timers do not add up"


# --- ordinary path ------------------------------------------------------------------------------


def send_calls(harness: BalancerHarness, count: int, **more) -> list[str]:
    return [harness.accept(**more) for _ in range(count)]


def test_a_call_goes_to_the_less_loaded_of_two_servers():
    harness = BalancerHarness(servers=2)
    send_calls(harness, 2)
    assert sorted(server for server, _, _ in harness.outstanding.values()) == ["s0", "s1"]


def test_a_tie_goes_to_the_server_expected_to_answer_sooner():
    harness = BalancerHarness(servers=2)
    for _ in range(6):
        for tid in send_calls(harness, 2):
            slow = harness.sends(tid) == ["s1"]
            harness.answer(tid, 0, latency=150 * MS if slow else 20 * MS)
    fast_calls = 0
    for _ in range(20):
        tid = harness.accept()
        fast_calls += harness.sends(tid) == ["s0"]
        harness.answer(tid, 0, latency=20 * MS if harness.sends(tid) == ["s0"] else 150 * MS)
    assert fast_calls >= 15


def test_calls_are_queued_while_all_budgets_are_full_and_dispatched_in_order():
    harness = BalancerHarness(servers=2)
    send_calls(harness, 20)
    waiting = [tid for tid in harness.owed if not harness.history[tid]]
    assert waiting, "20 calls on two servers must not all be sent"
    assert all(s.inflight <= s.budget + s.probing for s in harness.balancer.state.servers.values())
    harness.advance(10 * MS)
    for key in [k for k, (server, _, _) in sorted(harness.outstanding.items()) if server == "s0"]:
        harness.answer(*key)
    assert harness.history[waiting[0]], "the call that has waited longest is sent first"
    assert not harness.history[waiting[-1]]


def test_a_server_has_one_probe_at_a_time_and_its_success_adds_a_step():
    harness = BalancerHarness(servers=1)
    send_calls(harness, 6)
    server = harness.server("s0")
    assert server.probing
    assert server.inflight == server.budget + 1
    probe = [key for key, a in harness.balancer.state.attempts.items() if a.probe]
    assert len(probe) == 1
    harness.answer(*probe[0])
    assert server.steps == 2
    assert server.backoff == 0


def test_a_failed_probe_doubles_the_backoff_and_keeps_the_steps():
    harness = BalancerHarness(servers=1)
    send_calls(harness, 6)
    server = harness.server("s0")
    waits = []
    for _ in range(2):
        probe = next(key for key, a in harness.balancer.state.attempts.items() if a.probe)
        harness.answer(*probe, status=302)
        waits.append(server.backoff)
        assert server.steps == 1
        assert not server.probing
        server.retry_at = 0
        harness.accept()
    assert waits[1] == 2 * waits[0]


def test_a_full_server_gets_a_smaller_step_size_and_answers_raise_it():
    harness = BalancerHarness(servers=1)
    before = harness.server("s0").step_size
    harness.answer(harness.accept(), 0, status=302)
    lowered = harness.server("s0").step_size
    assert lowered < before
    for _ in range(40):
        tid = harness.accept()
        if (tid, 0) in harness.outstanding:  # else it was shed, which may happen right after a failure
            harness.answer(tid, 0, latency=20 * MS)
        harness.advance(50 * MS)
    assert harness.server("s0").step_size > lowered


def test_connection_failures_take_steps_and_a_server_without_steps_is_skipped():
    harness = BalancerHarness(servers=2)
    tid = harness.accept()
    dead = harness.sends(tid)[0]
    harness.answer(tid, 0, status=304)
    assert harness.server(dead).steps == 0
    assert len(harness.sends(tid)) == 2, "a call that was not executed is retried"
    assert all(dead not in harness.sends(t) for t in send_calls(harness, 3))


def test_calls_are_refused_with_a_hold_off_while_all_servers_are_in_backoff():
    harness = BalancerHarness(servers=1)
    harness.answer(harness.accept(), 0, status=304)
    actions = harness.feed_accept()
    assert type(actions[0]).__name__ == "Refuse"
    assert actions[0].hold_off_ns > 0


def test_a_cancelled_or_unsent_attempt_does_not_count_against_the_server():
    for status in (306, 307):
        harness = BalancerHarness(servers=1)
        harness.answer(harness.accept(), 0, status=status)
        server = harness.server("s0")
        assert (server.steps, server.failure_ratio, server.probing) == (1, 0.0, False)
        assert server.inflight == len(harness.outstanding)


# --- slow start (rule four) --------------------------------------------------------------------


def test_a_cold_server_gets_no_more_calls_than_its_slow_start_share():
    harness = BalancerHarness(servers=8)
    inv = harness.config.invariants
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1, started_ns=harness.now)))
    for age_share in (0.0, 0.5):
        harness.advance(int(inv.slow_start_ns * age_share))
        cold_calls = calls = 0
        for _ in range(1500):
            tid = harness.accept()
            cold_calls += harness.sends(tid) == ["s0"]
            calls += 1
            harness.answer(tid, 0, latency=20 * MS)
        warmth = inv.slow_start_floor + (1 - inv.slow_start_floor) * age_share
        # "s0" may win each draw that it is in, so it gets at most twice its share of the draws.
        assert cold_calls / calls <= 2 / 8 * warmth


def test_a_server_that_answers_after_failed_connections_counts_as_cold():
    """The process restarted before the list shows it."""
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


def test_a_restart_discards_what_was_learned_of_the_old_process():
    harness = BalancerHarness(servers=1)
    harness.answer(harness.accept(), 0, status=304)
    assert harness.server("s0").steps == 0
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1, started_ns=harness.now)))
    assert harness.server("s0").steps == 1


# --- exceptions and regressions ----------------------------------------------------------------


def test_a_failing_server_is_ejected_unless_most_servers_fail():
    harness = BalancerHarness(servers=8)
    for _ in range(60):
        tid = harness.accept(cls=1)
        if harness.history[tid] and (tid, 0) in harness.outstanding:
            harness.answer(tid, 0, status=301, latency=2 * MS)
    ejected = [s for s in harness.balancer.state.servers.values() if s.steps == 0]
    assert 1 <= len(ejected) <= 5, "a shared cause must not eject the whole fleet"


def test_a_client_retry_after_the_aim_of_its_first_try_is_refused_unsent():
    """Guards against bursts in which each request was executed up to three times, two of them in vain."""
    harness = BalancerHarness(config=settings(clients={"marksRetry": True}))
    tid = harness.accept(cls=0, key="k1")
    harness.advance(310 * MS)
    assert harness.final_answers[tid] in ("refused", "failed")
    again = harness.accept(cls=0, key="k1", retry=True)
    assert harness.final_answers[again] == "refused"
    assert not harness.sends(again)
    other = harness.accept(cls=0, key="k2", retry=True)
    assert harness.sends(other), "a retry that matches no unserved request is served"


def test_shedding_stops_when_no_more_waits_are_reported():
    """Guards against a mean wait that never decayed: after a burst most calls were refused by idle servers."""
    harness = BalancerHarness()
    for _ in range(40):
        tid = harness.accept()
        if (tid, 0) in harness.outstanding:
            harness.answer(tid, 0, latency=250 * MS, queue=90.0, qps=100.0, latency_ms=40.0)
    shed = sum(not harness.sends(harness.accept()) for _ in range(20))
    assert shed >= 10
    harness.advance(30_000 * MS)
    assert sum(not harness.sends(harness.accept()) for _ in range(4)) <= 1


def test_timeouts_raise_the_mean_wait_of_a_sidecar_with_little_traffic():
    """Guards against a slowdown of all servers that showed only as timeouts without reports: 71% of attempts
    timed out."""
    harness = BalancerHarness()
    for _ in range(12):
        harness.accept()
        harness.advance(400 * MS)
    assert mean_wait(harness.balancer.state, harness.now) > 50 * MS


def test_a_cut_zone_costs_a_few_calls_and_not_one_per_server():
    harness = BalancerHarness(servers=24)
    failed = 0
    for _ in range(120):
        tid = harness.accept()
        attempt = 0
        while (tid, attempt) in harness.outstanding:
            cut = harness.entries[harness.sends(tid)[attempt]].zone == 1
            failed += cut
            harness.answer(tid, attempt, status=304 if cut else 100, latency=20 * MS)
            attempt += 1
        harness.advance(20 * MS)
    assert failed <= 3 + 120 * 0.1 + 2


def test_a_large_call_goes_to_a_fast_server():
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


def test_all_sidecars_send_a_key_to_the_same_servers():
    first_servers = set()
    for index in range(6):
        harness = BalancerHarness(settings(familyInfo={"warmKeys": True}, index=index), servers=12, seed=index)
        first_servers.add(harness.sends(harness.accept(key="k:one"))[0])
    assert len(first_servers) <= 2


def opened_connections(harness: BalancerHarness, queue: float, calls: int = 120) -> int:
    """Return how many connections are opened for calls with new keys, at a rate that rarely keeps one in use."""
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
    assert max(wanted.values()) < calls / 2, "no server gets half of the calls"
    return opened


def test_new_keys_prefer_open_connections_while_queues_are_short():
    """New keys were the largest source of new connections in a fleet of sidecars with little traffic."""
    config = settings(familyInfo={"warmKeys": True})
    few, many = (opened_connections(BalancerHarness(config, servers=60, seed=3), queue) for queue in (0.0, 10.0))
    assert few <= 0.6 * many, (few, many)


def test_a_key_prefers_an_open_connection_only_at_a_server_below_budget():
    harness = BalancerHarness(settings(familyInfo={"warmKeys": True}), servers=30, seed=4)
    state, tid = harness.balancer.state, harness.accept(key="k:0")
    (name,) = harness.sends(tid)
    server, call = state.servers[name], state.calls[tid]
    assert server.available_index < 0, "its budget is one"
    server.connections = 2  # as if one more connection were open
    found = 0
    for number in range(200):
        call.event = call.event._replace(key=f"k:{number}")
        # The connection is closed by then.
        key_server = draw_by_key(state, harness.now + state.conn_idle + 1, call, 0, 0.0)
        assert draw_by_key(state, harness.now, call, 0, 0.0) is key_server
        server.available_index = 0
        found += draw_by_key(state, harness.now, call, 0, 0.0) is server is not key_server
        server.available_index = -1
    assert found > 0


HOUR = 3_600_000 * MS


def late_harness() -> BalancerHarness:
    """Return a harness without servers, at a time that is late enough for starts an hour ago."""
    harness = BalancerHarness(servers=0)
    harness.now = 10 * HOUR
    return harness


@pytest.mark.parametrize("off", [-HOUR, -5_000 * MS, 0, 5_000 * MS, HOUR], ids=lambda off: f"{off // MS} ms")
def test_a_server_that_just_started_is_in_slow_start_even_if_clocks_disagree(off):
    """The start time is from another machine's wall clock, and this machine's clock may have been stepped before
    this process started. With a clock an hour ahead, a server that had just started counted as warm.
    """
    harness = late_harness()
    harness.feed(ServerListUpdate("FULL", fleet(4)))
    harness.advance(1_000 * MS)
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1, started_ns=harness.now - 500 * MS + off)))
    age = harness.now - harness.server("s0").started
    assert 0 <= age <= 6_000 * MS
    assert harness.server("s1").started == 0, "the other servers are unchanged"


def test_a_changed_start_time_is_a_restart_even_if_it_is_earlier():
    """Guards against clocks that were put back: only a later start time counted as a restart."""
    harness = late_harness()
    harness.feed(ServerListUpdate("FULL", fleet(1, started_ns=harness.now - 60 * MS)))
    harness.server("s0").failure_ratio = 0.9
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1, started_ns=harness.now - HOUR)))
    assert harness.server("s0").failure_ratio == 0.0 and harness.server("s0").started == harness.now


def test_a_restart_since_the_saved_list_starts_slow_start_even_if_the_clock_is_ahead():
    """Guards against a process whose clock was an hour ahead and that took a server just started for warm."""
    harness = late_harness()
    harness.feed(ServerListUpdate("SAVED", fleet(2)))
    harness.feed(ServerListUpdate("FULL", (*fleet(1, started_ns=harness.now - HOUR), *fleet(2)[1:])))
    assert harness.server("s0").started == harness.now and harness.server("s1").started == 0


def test_starts_long_ago_are_accepted_from_a_first_list():
    harness = late_harness()
    for scope in ("SAVED", "FULL"):
        harness.feed(ServerListUpdate(scope, fleet(1, started_ns=harness.now - HOUR)))
        assert harness.server("s0").started == harness.now - HOUR


def test_a_draining_server_gets_no_more_calls():
    harness = BalancerHarness(servers=2)
    harness.feed(ServerListUpdate("INCREMENTAL", fleet(1, lifecycle="draining")))
    assert {s for t in send_calls(harness, 3) for s in harness.sends(t)} <= {"s1"}


def test_all_calls_are_answered_by_the_end_of_a_shutdown():
    """Queued calls are refused in time, and pending attempts are not waited for any longer."""
    harness = BalancerHarness(servers=1)
    calls = [harness.accept(cls=number % 3, ttl=900 * MS) for number in range(40)]
    assert [t for t in calls if not harness.sends(t) and t in harness.owed], "some are queued"
    assert [t for t in calls if harness.sends(t) and t in harness.owed], "and some are sent"
    harness.shut_down(harness.now + 100 * MS)
    harness.advance(100 * MS)
    assert not harness.owed


def test_without_servers_a_call_waits_for_a_server_list_until_its_deadline():
    harness = BalancerHarness(servers=0)
    waiting, expired = harness.accept(), harness.accept(cls=1, ttl=200 * MS)
    harness.advance(195 * MS)
    assert harness.final_answers[expired] == "refused"
    harness.feed(ServerListUpdate("FULL", fleet(2)))
    assert harness.sends(waiting)


def test_invalid_load_reports_do_no_harm():
    harness = BalancerHarness()
    for load in ({"queue": -5.0}, {"qps": 0.0, "queue": 3.0}, {"latency_ms": -1.0}, {"util": 9e9}):
        harness.answer(harness.accept(), 0, latency=20 * MS, **load)
    assert harness.sends(harness.accept(cls=0))


def test_without_reports_served_calls_lower_the_wait_learned_from_a_timeout():
    """Guards against a wait that every answer refreshed, so that it never decayed."""
    harness = BalancerHarness(servers=1)
    harness.accept()
    harness.advance(310 * MS)
    learned = harness.server("s0").wait
    assert learned > 0
    for _ in range(12):
        tid = harness.accept()
        if (tid, 0) in harness.outstanding:
            harness.answer(tid, 0, latency=20 * MS, util=0.3)
        harness.advance(300 * MS)
    assert harness.server("s0").wait < learned / 2


def test_a_peer_report_updates_the_peer_and_is_sent_only_where_peers_are_permitted():
    many_sidecars = {"replicasOfMe": 60, "index": 5}
    with_peers = settings(limits={"maxAttempts": 2, "peers": True}, **many_sidecars)
    messages = []
    harness = BalancerHarness(with_peers, servers=2)
    tid = harness.accept()
    messages = [
        a for a in harness.answer(tid, 0, latency=40 * MS, queue=9.0, qps=100.0) if isinstance(a, SendToPeer)
    ]
    assert messages
    assert all(0 <= a.peer < 60 and a.peer != 5 and len(a.blob) <= 16 for a in messages)
    other = BalancerHarness(with_peers, servers=2)
    other.feed(PeerMessage(messages[0].blob))
    assert other.server(harness.sends(tid)[0]).wait == 90 * MS
    for invalid in (b"", b"\x00" * 8, b"x" * 200):
        other.feed(PeerMessage(invalid))
    without_peers = BalancerHarness(settings(**many_sidecars), servers=2)
    assert not [
        a for a in without_peers.answer(without_peers.accept(), 0, queue=9.0) if isinstance(a, SendToPeer)
    ]


def test_timeouts_count_for_the_kind_of_server():
    """Guards against slow kinds that were judged by their few calls in time and kept getting half of all
    calls."""
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


def test_a_call_of_an_unknown_class_is_never_retried():
    harness = BalancerHarness()
    event = RequestReceived("00000000000000ff", 99, 800 * MS)
    sent = harness.balancer.handle(harness.now, event)[0]
    after = harness.balancer.handle(harness.now, AttemptEnded(event.tid, 301, 5 * MS, sent.server, 0, False, {}))
    assert after == [Fail(event.tid)]


@pytest.mark.parametrize("failing, avoided", [(1, True), (4, False)])
def test_servers_that_fail_a_single_class_are_avoided_for_it_until_they_recover(failing, avoided):
    """The successes of other classes hid such failures from all detection on the server as a whole."""
    harness = BalancerHarness(settings(clients={"marksRetry": True}), servers=4)

    def share(turns: int, well: bool) -> float:
        """Return the share of s0 in the last half of the calls of class 0; class 1 is always served."""
        picked = []
        for turn in range(turns):
            harness.balancer.state.recent_requests = 1e6
            for cls in (0, 1):
                tid = harness.accept(cls=cls)
                if (tid, 0) not in harness.outstanding:
                    continue  # it was shed
                name = harness.outstanding[tid, 0][0]
                fails = not well and not cls and int(name[1:]) < failing
                harness.balancer.state.retry_tokens = 0.0  # no retry
                harness.advance(MS)
                harness.answer(tid, 0, status=303 if fails and turn % 2 else 100, latency=20 * MS)
                if not cls and 2 * turn > turns:
                    picked.append(name == "s0")
        return sum(picked) / len(picked)

    assert (share(600, well=False) < 0.1) is avoided
    assert share(2000, well=True) > 0.1


# --- changed settings, and status for operators -------------------------------------------------


def test_changed_settings_apply_to_new_calls_and_keep_open_calls_and_what_was_learned():
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


def test_server_statuses_have_reasons_and_reading_them_changes_no_state():
    harness = BalancerHarness(servers=5)
    now, server = harness.now, harness.server
    server("s0").steps, server("s0").retry_at = 0, now + 70 * MS
    server("s1").steps = 0
    server("s2").started = now - MS
    server("s3").inflight = server("s3").budget
    reasons = {s.server: s.reason for s in harness.balancer.server_statuses(now)}
    assert reasons == {
        "s0": "in backoff", "s1": "due for a trial", "s2": "cold", "s3": "at budget", "s4": "",
    }  # fmt: skip
    first = harness.balancer.server_statuses(now)[0]
    assert (first.steps, first.next_probe_ns, first.age_ns) == (0, 70 * MS, -1)
    before = harness.balancer.state.rng.getstate()
    harness.balancer.server_statuses(now)
    assert harness.balancer.state.rng.getstate() == before, "reading changes no random draw"
