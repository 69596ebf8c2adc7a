"""The run-time guards of the request path: a planted bug is stopped where it can be, counted, and named."""

from __future__ import annotations

import asyncio
import logging

import pytest

from covetally.interface import RequestClass
from covetally.net.closing import CloseReason
from covetally.net.repeat_guard import may_repeat
from covetally.net.shutdown_times import shutdown_times
from covetally.policy import dispatch
from tests.loopback import fine, place, request, until
from tests.support import MS


async def cut(server, got, reader, writer) -> None:
    """The script of a server that runs each request and resets its connection."""
    writer.transport.abort()


def test_a_repeat_that_the_decisions_want_against_the_rule_does_not_begin(monkeypatch, caplog):
    monkeypatch.setattr(dispatch, "may_attempt", lambda state, now, call, server: True)

    async def main():
        async with place(cut, cut) as here:
            assert await here.status(request("pays", "pay", b"x")) in (502, 503)
            got = [data for server in here.servers.values() for data in server.got]
            assert len(got) == 1
            assert set(here.sidecar.violations.table()) == {"unsafe_repeat"}
            assert "request pays: attempt 1 at" in caplog.text

    asyncio.run(main())


def test_a_close_over_an_owed_answer_is_counted_unless_its_client_left():
    async def main():
        hold = asyncio.Event()

        async def wait(server, got, reader, writer):
            await hold.wait()

        async with place(wait) as here:
            for reason in (CloseReason.CLIENT_LEFT, CloseReason.IDLE):
                asks = asyncio.create_task(here.status(request(reason.value)))
                await until(lambda: here.sidecar.open == 1)
                (client,) = here.frontend._clients
                client.close(reason)
                assert await asks == 0
            assert here.sidecar.violations.table() == {"closed_unanswered": 1}
            assert here.frontend.closed == {CloseReason.CLIENT_LEFT: 1, CloseReason.IDLE: 1}
            hold.set()

    asyncio.run(main())


def test_each_attempt_and_each_answer_is_logged_with_the_id_where_that_is_asked_for(caplog):
    async def main():
        async with place(fine) as here:
            here.sidecar.tracing = True
            with caplog.at_level(logging.DEBUG):
                assert await here.status(request("seen")) == 200
                await until(lambda: not here.frontend.connections)
        assert "request seen: attempt 0 at s0" in caplog.text
        assert "request seen: attempt 0 ended: OK" in caplog.text
        assert "connection closed: client_left; its last request: b'seen'" in caplog.text

    asyncio.run(main())


@pytest.mark.parametrize(
    "repeat, out, ran_ago_ms, allowed",
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
def test_what_may_be_repeated(repeat, out, ran_ago_ms, allowed):
    cls = RequestClass("c", 300 * MS, 1_000 * MS, repeat=repeat, window_ns=400 * MS)
    now = 1_000_000 * MS
    assert may_repeat(cls, out, now - ran_ago_ms * MS if ran_ago_ms else 0, now) is allowed


def test_the_end_fits_into_the_time_before_sigkill_at_every_deadline():
    for longest_ms in (1, 50, 200, 1_000, 3_000, 5_000, 60_000):
        times = shutdown_times(longest_ms / 1000)
        assert 0 <= times.accepting_s <= times.answered_s < times.closed_s
        assert times.closed_s + 0.15 < min(longest_ms / 1000, 3.0) + 0.7, "with a process that is held up"


def test_an_end_cannot_be_taken_back_by_an_operator_s_word():
    """A worker that was told to serve again while it ended let clients keep their connections."""

    async def main():
        async with place(fine) as here:
            held = await here.connect()
            draining = asyncio.create_task(here.frontend.drain(2.0))
            await asyncio.sleep(0)
            here.frontend.resume()
            held[1].write(request("late"))
            assert b"connection: close" in (await held[0].readuntil(b"\r\n\r\n")).lower()
            held[1].close()
            await draining

    asyncio.run(main())
