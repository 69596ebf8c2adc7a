"""The run-time checks of the request path: an injected bug is stopped where possible, counted, and logged."""

from __future__ import annotations

import asyncio
import logging
import re
import time

import pytest

from covetally.interface import RequestClass
from covetally.net.close_reason import CloseReason
from covetally.net.repeat_guard import may_repeat
from covetally.net.shutdown_times import shutdown_times
from covetally.policy import dispatch
from tests.loopback import respond_ok, sidecar_harness, request, wait_until
from tests.support import MS


HELD_UP_S = 0.15  # as long as the platform may hold a process up


async def reset_connection(server, received, reader, writer) -> None:
    """The script of a server that receives each request and resets the connection."""
    writer.transport.abort()


def test_an_unsafe_retry_requested_by_the_balancer_is_not_started(monkeypatch, caplog):
    monkeypatch.setattr(dispatch, "may_attempt", lambda state, now, call, server: True)

    async def main():
        async with sidecar_harness(reset_connection, reset_connection) as harness:
            assert await harness.status(request("pays", "pay", b"x")) in (502, 503)
            received = [data for server in harness.servers.values() for data in server.requests]
            assert len(received) == 1
            assert set(harness.sidecar.violations.table()) == {"unsafe_repeat"}
            assert "request pays: attempt 1 at" in caplog.text

    asyncio.run(main())


def test_a_close_without_a_response_is_a_violation_unless_the_client_left():
    async def main():
        release = asyncio.Event()

        async def hang(server, received, reader, writer):
            await release.wait()

        async with sidecar_harness(hang) as harness:
            for reason in (CloseReason.CLIENT_LEFT, CloseReason.IDLE):
                status = asyncio.create_task(harness.status(request(reason.value)))
                await wait_until(lambda: harness.sidecar.open_requests == 1)
                (client,) = harness.frontend._clients
                client.close(reason)
                assert await status == 0
            assert harness.sidecar.violations.table() == {"closed_unanswered": 1}
            assert harness.frontend.closed == {CloseReason.CLIENT_LEFT: 1, CloseReason.IDLE: 1}
            release.set()

    asyncio.run(main())


@pytest.mark.parametrize("cls", ["look", "pay"])
def test_a_deadline_that_passes_while_the_event_loop_is_held_up_is_no_violation(cls):
    """The check of overdue requests fired before the timers of their attempts, which were due by then as well."""

    async def main():
        async def hang(server, received, reader, writer):
            await asyncio.sleep(1.0)

        async with sidecar_harness(hang) as harness:
            status = asyncio.create_task(harness.status(request("held", cls, expires="0.1")))
            await wait_until(lambda: harness.servers["s0"].requests)
            time.sleep(HELD_UP_S)
            assert await status in (502, 503)
            assert not harness.sidecar.violations.total

    asyncio.run(main())


def test_tracing_logs_each_attempt_and_each_response_with_the_request_id(caplog):
    async def main():
        async with sidecar_harness(respond_ok) as harness:
            harness.sidecar.tracing = True
            with caplog.at_level(logging.DEBUG):
                assert await harness.status(request("seen")) == 200
                await wait_until(lambda: not harness.frontend.connections)
        assert "request seen: attempt 0 at s0" in caplog.text
        ended = r"request seen: attempt 0 at s0 ended after [\d.]+ ms: OK, on connection \d+, 0 requests before"
        assert re.search(ended, caplog.text)
        assert "connection closed: client_left; its last request: b'seen'" in caplog.text

    asyncio.run(main())


@pytest.mark.parametrize(
    "repeat, outstanding, ran_ago_ms, allowed",
    [
        ("free", 1, 900, True),
        ("single_shot", 0, 0, True),
        ("single_shot", 1, 0, False),
        ("single_shot", 0, 1, False),
        ("guarded", 0, 0, True),
        ("guarded", 1, 0, False),
        ("guarded", 0, 399, True),
        ("guarded", 0, 400, False),
    ],
)
def test_may_repeat_follows_the_repeat_mode_of_the_class(repeat, outstanding, ran_ago_ms, allowed):
    cls = RequestClass("c", 300 * MS, 1_000 * MS, repeat=repeat, window_ns=400 * MS)
    now = 1_000_000 * MS
    assert may_repeat(cls, outstanding, now - ran_ago_ms * MS if ran_ago_ms else 0, now) is allowed


def test_the_shutdown_times_fit_before_sigkill_for_every_deadline():
    for longest_ms in (1, 50, 200, 1_000, 3_000, 5_000, 60_000):
        times = shutdown_times(longest_ms / 1000)
        assert 0 <= times.accepting_s <= times.answered_s < times.closed_s
        assert times.closed_s + 0.15 < min(longest_ms / 1000, 3.0) + 0.7, "with a margin for a delayed process"


def test_a_shutdown_cannot_be_undone_by_an_operator():
    """A worker that was ordered to serve again during its shutdown let clients keep their connections."""

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            connection = await harness.connect()
            shutdown = asyncio.create_task(harness.frontend.shut_down(2.0))
            await asyncio.sleep(0)
            harness.frontend.resume()
            connection[1].write(request("late"))
            assert b"connection: close" in (await connection[0].readuntil(b"\r\n\r\n")).lower()
            connection[1].close()
            await shutdown

    asyncio.run(main())
