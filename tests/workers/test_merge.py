"""What workers tell made into one, and the parts of budgets they have, on paper."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace

import pytest

from covetally.workers import merge
from covetally.workers.claims import SharedIds
from tests.support import MS, BalancerHarness, settings


def beat(served: int, shed: int, lag: float = 0.0) -> dict:
    return {"counts": {"look": [served, 0, 0, 0]}, "shed": shed, "open": 1, "lag_ms": lag, "state": "serving"}


def test_totals_do_not_fall_when_a_worker_goes():
    gone = merge.Tally()
    first = merge.beat(gone, [beat(5, 1), beat(7, 2, 30.0)], "serving")
    assert first["counts"] == {"look": [12, 0, 0, 0]}
    assert (first["shed"], first["open"], first["lag_ms"]) == (3, 2, 30.0)
    gone.book(beat(7, 2))
    after = merge.beat(gone, [beat(5, 1), beat(0, 0)], "serving")
    assert (after["counts"], after["shed"]) == (first["counts"], first["shed"])


def node(name: str, k: int, why: str, **more) -> dict:
    return {
        "node": name, "up": True, "k": k, "figure": 0.5, "in_flight": 1, "age_s": None, "trial": False,
        "retry_s": 0.0, "bad": 0.1 * k, "refused": 0, "wait_ms": float(k), "why": why,
    } | more  # fmt: skip


def part(*nodes: dict, pid: int = 1) -> dict:
    return beat(1, 0) | {
        "pid": pid, "memory_kib": 100, "listen": "127.0.0.1:1", "classes": {}, "nodes": list(nodes),
        "limits": {"client_connections": [1, 10], "max_attempts": 4}, "errors": [{"at": pid, "text": "x"}],
        "violations": {"overdue": pid}, "closed": {"idle": pid, f"of {pid}": 1},
    }  # fmt: skip


def test_a_snapshot_adds_what_is_shared_and_tells_the_worse_verdict():
    one = part(node("a", 1, ""), node("b", 1, ""), pid=2)
    other = part(node("a", 3, "cold"), node("c", 1, "leaving"), pid=1)
    whole = merge.snapshot({0: one, 1: other})
    assert whole["limits"] == {"client_connections": [2, 20], "max_attempts": 4}
    assert whole["memory_kib"] == 200
    found = {n["node"]: n for n in whole["nodes"]}
    assert set(found) == {"a", "b", "c"}
    a = found["a"]
    assert (a["k"], a["figure"], a["in_flight"], a["wait_ms"], a["why"]) == (4, 1.0, 2, 3.0, "cold")
    assert [w["pid"] for w in whole["workers"]] == [2, 1]
    assert [e["at"] for e in whole["errors"]] == [1, 2]
    assert whole["violations"] == {"overdue": 3}
    assert whole["closed"] == {"idle": 3, "of 1": 1, "of 2": 1}
    assert merge.snapshot({})["nodes"] == []


@pytest.mark.parametrize("count", [2, 3, 4, 8])
def test_workers_together_have_the_budget_of_one_sidecar_but_one_call_each_at_the_least(count):
    config = settings(replicasOfMe=1)
    whole = BalancerHarness(config, servers=1).server("s0")
    parts = [
        BalancerHarness(replace(config, budget_share=1.0 / count), servers=1).server("s0") for _ in range(count)
    ]
    for k in range(1, 20):
        for server in (whole, *parts):
            server.steps = min(k, BalancerHarness(config).balancer.state.max_steps)
        assert sum(p.budget for p in parts) <= max(whole.budget, count)


def test_a_worker_takes_another_part_under_way_and_keeps_what_it_learned():
    config = settings(replicasOfMe=1)
    harness = BalancerHarness(replace(config, budget_share=0.5), servers=2)
    server = harness.server("s0")
    server.step_size *= 0.7  # it was full once
    harness.balancer.reconfigure(replace(config, budget_share=0.25))
    assert (server.max_step_size, server.step_size, server.budget) == (1.0, pytest.approx(0.7), 1)
    harness.balancer.reconfigure(config)
    assert (server.max_step_size, server.budget) == (4.0, 2)
    for _ in range(3):
        harness.answer(harness.accept(), 0, latency=20 * MS)


def test_a_claim_is_one_process_s_and_ends_with_it():
    file = SharedIds.create()
    mine = SharedIds(file)
    code = (
        "import sys; from covetally.workers.claims import SharedIds; ids = SharedIds(int(sys.argv[1]))\n"
        "print([ids.claim(b'a'), ids.claim(b'b')], flush=True); sys.stdin.readline()"
    )
    command = [sys.executable, "-c", code, str(file)]
    assert mine.claim(b"a")
    other = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, pass_fds=(file,))
    assert other.stdout.readline() == b"[False, True]\n"
    assert not mine.claim(b"b")
    other.kill()
    other.communicate()
    assert mine.claim(b"b"), "whoever had it is dead"
    mine.release(b"a")
    again = subprocess.run(command, input=b"\n", capture_output=True, pass_fds=(file,), timeout=30)
    assert again.stdout == b"[True, False]\n"
    os.close(file)
