"""The repeat window or the time limit of an attempt ends before its request is written to the server."""

from __future__ import annotations

import asyncio
import time

import pytest

from covetally.interface import AttemptStatus, Submit
from covetally.net import reuse_guard, sidecar
from tests.crossings.test_leaving import slow_to_accept
from tests.loopback import respond_ok, sidecar_harness, read_message, request, wait_until
from tests.support import MS, BalancerHarness, settings

CLASSES = [
    {
        "name": "book", "onTimeNs": 2_500 * MS, "hardLimitNs": 2_500 * MS, "repeat": "guarded", "group": "all",
        "windowNs": 400 * MS, "credit": 1.0,
    },
]  # fmt: skip
LIMITS = {"maxAttempts": 4, "connectTimeoutNs": 2_000 * MS}


def submits(harness: BalancerHarness, actions) -> list[Submit]:
    return [action for action in actions if isinstance(action, Submit)]


def test_repeat_of_a_guarded_request_has_a_latest_start_time():
    harness = BalancerHarness(settings(limits={"maxAttempts": 4}), servers=4)
    for cls, guarded in ((2, True), (0, False)):
        tid = harness.accept(cls)
        sent_ns = harness.now
        assert harness.history[tid][0][1] == sent_ns
        harness.advance(50 * MS)
        (again,) = submits(harness, harness.answer(tid, 0, AttemptStatus.RESET))
        assert again.begin_by_ns == (sent_ns + 400 * MS if guarded else 0)
        harness.answer(tid, 1)


def test_guarded_repeat_is_not_sent_if_its_connection_is_established_after_the_window():
    """The window was checked when the repeat was submitted, but its request was written once the connection was
    established, however late."""

    async def main():
        async def cut(server, got, reader, writer):
            here.update_servers(here.servers)  # adds the slow server
            writer.close()

        async with sidecar_harness(cut, respond_ok, limits=LIMITS, classes=CLASSES) as here:
            here.update_servers({"s0": here.servers["s0"]})
            async with slow_to_accept(here, "s1", listed=False) as got:
                more = "Idempotency-Key: k1\r\n"
                response = asyncio.create_task(here.status(request("r1", "book", b"x", "2.5", more)))
                await wait_until(lambda: here.servers["s0"].requests)
                await wait_until(lambda: here.upstream.connections)
                await asyncio.sleep(0.5)
                assert here.upstream.connections == 1, (
                    "the repeat has to be the only connection, and not established yet"
                )
            assert not any(got)
            assert await response == 503, (
                "the repeat never ran, and all servers know the key, so the request may be refused"
            )

    asyncio.run(main())


def test_attempt_whose_time_is_over_before_its_connection_is_usable_is_not_written(monkeypatch):
    """A late event loop wrote the request all the same, with a negative time limit for the server."""
    monkeypatch.setattr(reuse_guard, "CALM_IDLE_S", 0.05)
    monkeypatch.setattr(sidecar, "SWEEP_S", 9.0)  # else the timer wheel would run first and end the attempt

    async def main():
        async with sidecar_harness(respond_ok) as here:
            reader, writer = await here.connect()
            writer.write(request("one"))
            await read_message(reader)
            writer.write(request("two", expires="0.2"))
            await wait_until(lambda: here.sidecar._calls)
            time.sleep(0.4)
            assert (await read_message(reader)).split()[1] in (b"502", b"503")
            assert len(here.servers["s0"].requests) == 1
            writer.close()

    asyncio.run(main())


def test_request_moves_at_once_if_its_server_drains_while_the_connection_is_established():
    """The request waited for the connection and for the end of the drain grace, and could be sent after the grace
    if this sidecar had received the update late. A drain must not count against the server either."""

    async def main():
        async with sidecar_harness(respond_ok, respond_ok, limits=LIMITS) as here:
            slow, other = here.servers["s0"], here.servers["s1"]
            here.update_servers({"s0": slow})
            async with slow_to_accept(here, "s0", listed=False) as got:
                here.update_servers({"s0": slow})
                response = asyncio.create_task(here.exchange(request("r1")))
                await wait_until(lambda: here.upstream.connections)
                here.update_servers({"s1": other}, "INCREMENTAL")
                here.update_servers({"s0": slow}, "INCREMENTAL", "draining")
                assert (await response).endswith(b"for r1")
                assert here.balancer.state.servers["s0"].connect_failures == 0
            assert not any(got)

    asyncio.run(main())


@pytest.mark.parametrize("expires_s", [0.02, 0.06, 0.9])
def test_attempts_pass_on_no_more_time_than_remains(expires_s):
    """Two attempts: the first fails after a pause, and the event loop is blocked before the second is written."""
    seen: list[tuple[float, float]] = []  # when each request arrived, and the time limit that it carried

    async def block_then_reset(server, got, reader, writer):
        header = next(line for line in got.split(b"\r\n") if line.startswith(b"x-expires-in"))
        seen.append((time.monotonic(), float(header.partition(b":")[2])))
        await asyncio.sleep(expires_s / 4)
        time.sleep(expires_s / 8)  # blocks the event loop, which the sidecar shares
        writer.transport.abort()

    async def main():
        limit = int(expires_s * 1000) * MS
        classes = [{"name": "look", "onTimeNs": limit, "hardLimitNs": limit, "repeat": "free"}]
        async with sidecar_harness(block_then_reset, block_then_reset, classes=classes) as here:
            started = time.monotonic()
            await here.status(request("r1", expires=f"{expires_s:.3f}"))
            assert seen
            for arrived, limit_s in seen:
                assert 0 < limit_s <= started + expires_s - arrived + 0.05

    asyncio.run(main())
