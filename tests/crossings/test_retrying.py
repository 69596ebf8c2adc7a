"""A further attempt meets its window's end, or its own time's, on the way to its server."""

from __future__ import annotations

import asyncio
import time

import pytest

from covetally.interface import AttemptStatus, Submit
from covetally.net import sidecar, upstream
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


def test_a_keyed_repeat_says_by_when_it_has_to_begin():
    harness = BalancerHarness(settings(limits={"maxAttempts": 4}), servers=4)
    for cls, guarded in ((2, True), (0, False)):
        tid = harness.accept(cls)
        sent_ns = harness.now
        assert harness.history[tid][0][1] == sent_ns
        harness.advance(50 * MS)
        (again,) = submits(harness, harness.answer(tid, 0, AttemptStatus.RESET))
        assert again.begin_by_ns == (sent_ns + 400 * MS if guarded else 0)
        harness.answer(tid, 1)


def test_a_keyed_repeat_whose_connection_comes_up_past_its_window_is_not_begun():
    """Its window was looked at when it was submitted, and its request written whenever the connection was up."""

    async def main():
        async def cut(server, got, reader, writer):
            here.update_servers(here.servers)  # only now the slow one is there
            writer.close()

        async with sidecar_harness(cut, respond_ok, limits=LIMITS, classes=CLASSES) as here:
            here.update_servers({"s0": here.servers["s0"]})
            async with slow_to_accept(here, "s1", listed=False) as got:
                more = "Idempotency-Key: k1\r\n"
                asks = asyncio.create_task(here.status(request("r1", "book", b"x", "2.5", more)))
                await wait_until(lambda: here.servers["s0"].requests)
                await wait_until(lambda: here.upstream.connections)
                await asyncio.sleep(0.5)
                assert here.upstream.connections == 1, "the repeat's, still coming up"
            assert not any(got)
            assert await asks == 503, "a repeat that was not begun leaves the refusal true: all know the key"

    asyncio.run(main())


def test_an_attempt_whose_time_is_up_when_its_connection_is_fit_is_not_written(monkeypatch):
    """A late loop wrote it all the same, and told its server a time below nothing."""
    monkeypatch.setattr(upstream, "SETTLE_S", 0.05)
    monkeypatch.setattr(sidecar, "SWEEP_S", 9.0)  # it would bring the timers forward in which its time is up

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


def test_a_request_whose_server_drains_while_its_connection_comes_up_goes_elsewhere_at_once():
    """It waited for the connection, and for the end of the drain's grace; that it went past this hung on how late
    the news was known here. And nothing is held against a server for its drain."""

    async def main():
        async with sidecar_harness(respond_ok, respond_ok, limits=LIMITS) as here:
            slow, other = here.servers["s0"], here.servers["s1"]
            here.update_servers({"s0": slow})
            async with slow_to_accept(here, "s0", listed=False) as got:
                here.update_servers({"s0": slow})
                asks = asyncio.create_task(here.exchange(request("r1")))
                await wait_until(lambda: here.upstream.connections)
                here.update_servers({"s1": other}, "INCREMENTAL")
                here.update_servers({"s0": slow}, "INCREMENTAL", "draining")
                assert (await asks).endswith(b"for r1")
                assert here.balancer.state.servers["s0"].connect_failures == 0
            assert not any(got)

    asyncio.run(main())


@pytest.mark.parametrize("expires_s", [0.02, 0.06, 0.9])
def test_each_attempt_passes_on_no_more_time_than_is_left(expires_s):
    """Two attempts with a pause before the first one's end; the loop is late before the second one is written."""
    seen: list[tuple[float, float]] = []  # when it arrived, and the time that it was told

    async def late_then_cut(server, got, reader, writer):
        told = next(line for line in got.split(b"\r\n") if line.startswith(b"x-expires-in"))
        seen.append((time.monotonic(), float(told.partition(b":")[2])))
        await asyncio.sleep(expires_s / 4)
        time.sleep(expires_s / 8)  # the same loop has the sidecar
        writer.transport.abort()

    async def main():
        limit = int(expires_s * 1000) * MS
        classes = [{"name": "look", "onTimeNs": limit, "hardLimitNs": limit, "repeat": "free"}]
        async with sidecar_harness(late_then_cut, late_then_cut, classes=classes) as here:
            begun = time.monotonic()
            await here.status(request("r1", expires=f"{expires_s:.3f}"))
            assert seen
            for arrived, told_s in seen:
                assert 0 < told_s <= begun + expires_s - arrived + 0.05

    asyncio.run(main())
