"""System calls that fail temporarily in a real process: no request is lost, no failure counts against a server,
and service recovers at once."""

from __future__ import annotations

import asyncio
import time

import pytest

from covetally.rig import nth_call
from covetally.rig.account import SECOND
from covetally.rig.load import Load, Plan
from covetally.rig.nth_call import Case
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.soak import Soak, SoakShape
from covetally.rig.system_faults import SHORT, Fault, FaultSchedule
from covetally.rig.world import Shape, World
from tests.loopback import TEST_TIMEOUT_S

# When the fault starts after the sidecar, how long it lasts, and how long service may take to recover from it.
FAULT_START_S, FAULT_S, RECOVERY_S = 1.5, 1.0, 0.3
RATE = 60.0

TEMPORARY_FAULTS = [
    ("connect", "EADDRNOTAVAIL"), ("connect", "ENETUNREACH"), ("connect", "ENOBUFS"), ("socket", "ENFILE"),
    ("socket", "ENOMEM"), ("epoll_ctl", "ENOSPC"), ("setsockopt", "ENOBUFS"), ("getsockopt", "ENOBUFS"),
]  # fmt: skip


async def run_load(world: World, faults: tuple[Fault, ...], seconds: float) -> None:
    """Starts one sidecar with these faults and puts load on it."""
    world.instances["a0"].faults = FaultSchedule(faults)
    await world.start_instances()
    plan = Plan(LOAD_CLASSES, TENANTS, ("a0",), RATE, seconds, seed=7, retries=0)
    load = Load(world.account, {"a0": world.instances["a0"].address}, plan, world.alive)
    await load.play(plan.draw())


@pytest.mark.parametrize("call, how", TEMPORARY_FAULTS)
def test_service_recovers_at_once_after_all_calls_failed_for_a_second(call, how):
    """Every server was put into backoff, and service was down for seconds."""

    async def main():
        begin_ns = time.monotonic_ns() + int((FAULT_START_S + 0.7) * SECOND)
        end_ns = begin_ns + int(FAULT_S * SECOND)
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), World(Shape(nodes=3, instances=1, slots=16)) as world:
            # Connections are kept only briefly, so that new ones are opened all the time.
            world.instances["a0"].config["settings"]["limits"]["connIdleNs"] = SECOND // 100
            fault = Fault(call, how, begin_ns, end_ns)
            await run_load(world, (fault,), FAULT_START_S + FAULT_S + 3.0)
            verdict = world.account.judge()
            assert verdict.breaks == ()
            later = [a for a in world.account.asks.values() if a.due_ns > end_ns + RECOVERY_S * SECOND]
            refused = [a for a in later if a.answers and a.answers[0][1] in (429, 503)]
            assert len(later) > RATE
            assert len(refused) <= 0.03 * len(later)
            soon = range(end_ns + int(RECOVERY_S * SECOND), end_ns + int((RECOVERY_S + 1.0) * SECOND))
            arrivals = [a for found in world.account.arrivals.values() for a in found]
            used = {arrival.node for arrival in arrivals if arrival.began_ns in soon}
            assert used == set(world.nodes), "a node was not used after the fault"
            assert "Traceback" not in world.instances["a0"].log
            assert "violation" not in world.instances["a0"].log.partition(" ends")[0]

    asyncio.run(main())


@pytest.mark.parametrize("call", ["recv", "send", "client_recv", "client_send"])
def test_short_reads_and_writes_change_nothing(call):
    async def main():
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), World(Shape(nodes=2, instances=1)) as world:
            await run_load(world, (Fault(call, SHORT),), 2.0)
            verdict = world.account.judge()
            assert verdict.breaks == ()
            assert verdict.served > 0.9 * verdict.asked
            assert "Traceback" not in world.instances["a0"].log

    asyncio.run(main())


SINGLE_FAULTS = [
    Case("epoll_ctl", "ENOMEM", 2), Case("accept", "ECONNABORTED", 3), Case("socket", "ENFILE", 4),
    Case("connect", "EADDRNOTAVAIL", 2), Case("send", "EPIPE", 5), Case("recv", "ETIMEDOUT", 6),
    Case("getsockopt", "ENOBUFS", 9), Case("epoll_wait", "EINTR", 20),
]  # fmt: skip


@pytest.mark.parametrize("case", SINGLE_FAULTS, ids=lambda case: f"{case.call}-{case.how}-{case.nth}")
def test_single_failed_call_breaks_no_rule(case):
    """A sample; `benchmarks.nth_call` runs every call, errno and position."""
    outcome = asyncio.run(nth_call.play(case))
    assert outcome.met and outcome.broken == ()


@pytest.mark.parametrize("seed", [3, 7, 13, 17])
def test_rules_and_invariants_hold_under_overlapping_faults(seed):
    """A short soak test; `benchmarks.soak` runs longer ones with more seeds."""
    report = asyncio.run(Soak(seed, SoakShape(nodes=4, instances=5, seconds=7.0)).play())
    assert report.broken == []
    assert report.asked > 300 and report.ends
