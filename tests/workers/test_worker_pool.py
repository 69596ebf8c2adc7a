"""Tests of the worker pool: single state transitions, and random sequences of process events."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.workers.worker_pool import (
    EARLY_EXIT_S, MAX_RESTART_DELAY_S, MIN_RESTART_DELAY_S, STARTUP_TIMEOUT_S, End, Kill, Share, Start, State,
    WorkerPool, share_of,
)  # fmt: skip


def new_pool(count: int = 2) -> WorkerPool:
    return WorkerPool(count, hang_timeout_s=10.0, shutdown_timeout_s=5.0)


def serving_pool(count: int = 2, now: float = 0.0) -> WorkerPool:
    pool = new_pool(count)
    started = [action.worker_id for action in pool.tick(now)]
    for worker_id in started:
        pool.on_ready(now, worker_id)
    return pool


def test_all_slots_are_filled_and_a_repeated_tick_does_nothing():
    pool = new_pool(3)
    assert pool.tick(0.0) == [Start(0, 0), Start(1, 1), Start(2, 2)]
    assert pool.tick(0.1) == []
    assert [pool.on_ready(1.0, n) for n in range(3)] == [[], [], []]
    assert [pool.serving_worker(slot).worker_id for slot in range(3)] == [0, 1, 2]


def test_a_worker_is_restarted_at_once_after_a_long_run_and_with_a_growing_delay_after_early_exits():
    pool = serving_pool(1)
    assert pool.on_exit(EARLY_EXIT_S, 0) == [Start(1, 0)], "it ran long enough for an immediate restart"
    now, delay = EARLY_EXIT_S, MIN_RESTART_DELAY_S
    for worker_id in range(1, 8):
        assert pool.on_exit(now, worker_id) == []
        assert pool.next_deadline() == now + delay
        assert pool.tick(now + delay - 0.01) == []
        now += delay
        assert pool.tick(now) == [Start(worker_id + 1, 0)]
        delay = min(MAX_RESTART_DELAY_S, 2 * delay)
    pool.on_ready(now, 8)
    assert pool.on_exit(now + EARLY_EXIT_S, 8) == [Start(9, 0)], "a long run resets the delay"
    assert pool.unexpected_exits == 9


def test_a_worker_without_heartbeats_is_killed_once_and_replaced_after_its_exit():
    pool = serving_pool(2)
    pool.on_heartbeat(9.0, 1)
    assert pool.next_deadline() == 10.0
    (kill,) = pool.tick(10.0)
    assert isinstance(kill, Kill) and kill.worker_id == 0 and "hangs" in kill.reason
    assert pool.tick(11.0) == []
    assert pool.on_exit(11.0, 0) == [Start(2, 0)]


@pytest.mark.parametrize("state", [State.STARTING, State.ENDING])
def test_a_worker_that_does_not_start_or_exit_in_time_is_killed(state):
    pool = new_pool(1) if state is State.STARTING else serving_pool(1)
    pool.tick(0.0)
    if state is State.ENDING:
        assert pool.shut_down(0.0) == [End(0)]
    limit = STARTUP_TIMEOUT_S if state is State.STARTING else pool.shutdown_timeout_s
    assert pool.next_deadline() == limit
    assert pool.tick(limit - 0.01) == []
    assert [type(action) for action in pool.tick(limit)] == [Kill]


def test_replacement_goes_slot_by_slot_and_ends_the_old_worker_once_the_new_one_serves():
    pool = serving_pool(2)
    assert pool.replace_all(1.0) == [Start(2, 0)]
    assert pool.tick(1.1) == []
    assert pool.on_ready(1.2, 2) == [End(0)], "the new worker serves"
    assert pool.tick(1.3) == [], "the other slot waits until the old worker has exited"
    assert pool.on_exit(1.4, 0) == [Start(3, 1)]
    assert pool.on_ready(1.5, 3) == [End(1)]
    assert pool.is_replacing() is False
    assert pool.on_exit(1.6, 1) == []
    assert pool.unexpected_exits == 0


def test_the_old_worker_keeps_serving_if_its_replacement_exits():
    pool = serving_pool(1)
    pool.replace_all(1.0)
    assert pool.on_exit(1.5, 1) == []
    assert pool.serving_worker(0).worker_id == 0
    assert pool.tick(1.5 + MIN_RESTART_DELAY_S) == [Start(2, 0)], "retried after the delay"
    assert pool.on_ready(3.0, 2) == [End(0)]


def test_a_resize_updates_the_shares_of_the_remaining_workers():
    pool = serving_pool(2)
    assert pool.resize(1.0, 3) == [Start(2, 2), Share(0, 0, 3), Share(1, 1, 3)]
    pool.on_ready(1.0, 2)
    assert pool.resize(2.0, 1) == [End(1), End(2), Share(0, 0, 1)]
    assert pool.on_exit(2.1, 1) == pool.on_exit(2.1, 2) == []
    assert pool.resize(3.0, 2) == [Start(3, 1), Share(0, 0, 2)]


def test_no_worker_is_started_during_shutdown():
    pool = serving_pool(2)
    pool.replace_all(1.0)
    assert pool.shut_down(1.1) == [End(0), End(1), End(2)]
    assert pool.on_exit(1.2, 0) == pool.on_exit(1.2, 1) == pool.on_exit(1.3, 2) == []
    assert pool.next_deadline() is None


@given(total=st.integers(0, 5000), count=st.integers(1, 64))
def test_the_shares_add_up_to_the_total(total, count):
    shares = [share_of(total, slot, count, minimum=0) for slot in range(count)]
    assert sum(shares) == total
    assert max(shares) - min(shares) <= 1
    assert all(share_of(total, slot, count) >= 1 for slot in range(count))


EVENTS = ["ready", "exit", "heartbeat", "wait", "resize", "replace", "end"]


@given(steps=st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 50)), max_size=60))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_all_slots_are_filled_after_any_sequence_of_events(steps):
    pool, now = new_pool(2), 0.0
    alive: dict[int, int] = {}  # slot by worker id
    asked_to_end: set[int] = set()
    killed: set[int] = set()

    def apply(actions) -> None:
        for action in actions:
            match action:
                case Start(worker_id, slot):
                    assert worker_id not in alive and not pool.shutting_down
                    active = [n for n, p in alive.items() if p == slot and n not in asked_to_end]
                    assert len(active) <= 1, "at most the worker that it replaces"
                    alive[worker_id] = slot
                case End(worker_id):
                    assert worker_id in alive and worker_id not in asked_to_end
                    asked_to_end.add(worker_id)
                case Kill(worker_id, reason):
                    assert worker_id in alive and reason and worker_id not in killed
                    killed.add(worker_id)
                case Share(worker_id, slot, count):
                    assert alive[worker_id] == slot < count == pool.count

    apply(pool.tick(now))
    for event, pick in steps:
        now += pick / 10
        worker_id = sorted(alive)[pick % len(alive)] if alive else -1
        match event:
            case "ready":
                apply(pool.on_ready(now, worker_id))
            case "heartbeat":
                pool.on_heartbeat(now, worker_id)
            case "exit" if alive:
                del alive[worker_id]
                apply(pool.on_exit(now, worker_id))
            case "resize":
                apply(pool.resize(now, 1 + pick % 4))
            case "replace":
                apply(pool.replace_all(now))
            case "end" if pick > 48:
                apply(pool.shut_down(now))
            case _:
                apply(pool.tick(now))
        assert set(pool.workers) == set(alive)
    for _ in range(200):  # no further failures
        now += 0.5
        for worker_id in sorted(alive):
            pool.on_heartbeat(now, worker_id)
        apply(pool.tick(now))
        for worker_id in asked_to_end | killed:
            if alive.pop(worker_id, None) is not None:
                apply(pool.on_exit(now, worker_id))
        for worker_id in sorted(alive):
            if pool.workers[worker_id].state is State.STARTING:
                apply(pool.on_ready(now, worker_id))
    if pool.shutting_down:
        assert not alive
    else:
        assert not pool.is_replacing()
        assert sorted(alive.values()) == list(range(pool.count))
        assert all(w.state is State.SERVING for w in pool.workers.values())
