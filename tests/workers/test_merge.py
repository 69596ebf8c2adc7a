"""Tests of merged heartbeats and snapshots, of the workers' shares of budgets, and of shared ids."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace

import pytest

from covetally.workers import merge
from covetally.workers.shared_ids import SharedIds
from tests.support import MS, BalancerHarness, settings


def heartbeat(served: int, shed: int, lag: float = 0.0) -> dict:
    return {"counts": {"look": [served, 0, 0, 0]}, "shed": shed, "open": 1, "lag_ms": lag, "state": "serving"}


def test_totals_do_not_fall_when_a_worker_exits():
    exited = merge.ExitedTotals()
    first = merge.merge_heartbeats(exited, [heartbeat(5, 1), heartbeat(7, 2, 30.0)], "serving")
    assert first["counts"] == {"look": [12, 0, 0, 0]}
    assert (first["shed"], first["open"], first["lag_ms"]) == (3, 2, 30.0)
    exited.add(heartbeat(7, 2))
    after = merge.merge_heartbeats(exited, [heartbeat(5, 1), heartbeat(0, 0)], "serving")
    assert (after["counts"], after["shed"]) == (first["counts"], first["shed"])


def node_row(name: str, k: int, why: str, **more) -> dict:
    return {
        "node": name, "up": True, "k": k, "figure": 0.5, "in_flight": 1, "age_s": None, "trial": False,
        "retry_s": 0.0, "bad": 0.1 * k, "refused": 0, "wait_ms": float(k), "why": why,
    } | more  # fmt: skip


def worker_snapshot(*nodes: dict, pid: int = 1) -> dict:
    return heartbeat(1, 0) | {
        "pid": pid, "memory_kib": 100, "listen": "127.0.0.1:1", "classes": {}, "nodes": list(nodes),
        "limits": {"client_connections": [1, 10], "max_attempts": 4}, "errors": [{"at": pid, "text": "x"}],
        "violations": {"overdue": pid}, "closed": {"idle": pid, f"of {pid}": 1},
    }  # fmt: skip


def test_a_snapshot_sums_shared_limits_and_reports_the_worse_state_of_a_node():
    one = worker_snapshot(node_row("a", 1, ""), node_row("b", 1, ""), pid=2)
    other = worker_snapshot(node_row("a", 3, "cold"), node_row("c", 1, "leaving"), pid=1)
    merged = merge.merge_snapshots({0: one, 1: other})
    assert merged["limits"] == {"client_connections": [2, 20], "max_attempts": 4}
    assert merged["memory_kib"] == 200
    nodes = {n["node"]: n for n in merged["nodes"]}
    assert set(nodes) == {"a", "b", "c"}
    a = nodes["a"]
    assert (a["k"], a["figure"], a["in_flight"], a["wait_ms"], a["why"]) == (4, 1.0, 2, 3.0, "cold")
    assert [w["pid"] for w in merged["workers"]] == [2, 1]
    assert [e["at"] for e in merged["errors"]] == [1, 2]
    assert merged["violations"] == {"overdue": 3}
    assert merged["closed"] == {"idle": 3, "of 1": 1, "of 2": 1}
    assert merge.merge_snapshots({})["nodes"] == []


@pytest.mark.parametrize("count", [2, 3, 4, 8])
def test_the_budgets_of_all_workers_add_up_to_one_sidecars_or_one_call_each(count):
    config = settings(replicasOfMe=1)
    whole = BalancerHarness(config, servers=1).server("s0")
    shares = [
        BalancerHarness(replace(config, budget_share=1.0 / count), servers=1).server("s0") for _ in range(count)
    ]
    for steps in range(1, 20):
        for server in (whole, *shares):
            server.steps = min(steps, BalancerHarness(config).balancer.state.max_steps)
        assert sum(share.budget for share in shares) <= max(whole.budget, count)


def test_a_worker_keeps_its_learned_step_size_when_its_share_changes():
    config = settings(replicasOfMe=1)
    harness = BalancerHarness(replace(config, budget_share=0.5), servers=2)
    server = harness.server("s0")
    server.step_size *= 0.7  # reduced after an overload
    harness.balancer.reconfigure(replace(config, budget_share=0.25))
    assert (server.max_step_size, server.step_size, server.budget) == (1.0, pytest.approx(0.7), 1)
    harness.balancer.reconfigure(config)
    assert (server.max_step_size, server.budget) == (4.0, 2)
    for _ in range(3):
        harness.answer(harness.accept(), 0, latency=20 * MS)


def test_an_id_is_claimed_by_one_process_and_released_when_it_exits():
    file = SharedIds.create()
    ids = SharedIds(file)
    code = (
        "import sys; from covetally.workers.shared_ids import SharedIds; ids = SharedIds(int(sys.argv[1]))\n"
        "print([ids.claim(b'a'), ids.claim(b'b')], flush=True); sys.stdin.readline()"
    )
    command = [sys.executable, "-c", code, str(file)]
    assert ids.claim(b"a")
    other = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, pass_fds=(file,))
    assert other.stdout.readline() == b"[False, True]\n"
    assert not ids.claim(b"b")
    other.kill()
    other.communicate()
    assert ids.claim(b"b"), "the process that held it is dead"
    ids.release(b"a")
    again = subprocess.run(command, input=b"\n", capture_output=True, pass_fds=(file,), timeout=30)
    assert again.stdout == b"[True, False]\n"
    os.close(file)
