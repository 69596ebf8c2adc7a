"""Servers that misbehave: what they say is nobody else's answer, and only who is to blame is blamed."""

from __future__ import annotations

import asyncio
import errno
import socket

import httptools
import pytest

from covetally.interface import ServerListUpdate, ServerEntry, AttemptStatus, AttemptEnded
from covetally.net import upstream
from covetally.net.http_message import End, MessageParser, ResponseHead
from covetally.policy.pick import is_better
from tests.loopback import response, respond_ok, sidecar_harness, read_message, request, trace_ids, wait_until
from tests.support import MS, BalancerHarness, settings

SPOILT = {
    "noise": b"\x8e\xfb\x00\xff\r\n\r\n\r\n",
    "no colon": b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nab",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    "two framings": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nab",
    "an encoding within chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "another protocol": b"HTTP/1.1 101 Over\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nab",
    "another version": b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nab",
    "negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nab",
    "3 GB": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 200_000,
    "long chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"8000\r\n"
    + b"x" * 0x8000
    + b"\r\n"
    + b"9000\r\n"
    + b"x" * 0x9000
    + b"\r\n",
    "endless head": b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 40_000,
    "1xx without end": b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100,
}


@pytest.mark.parametrize("name", SPOILT)
def test_a_spoilt_answer_fails_and_convicts_nobody(name):
    async def spoil(server, got, reader, writer):
        writer.write(SPOILT[name])
        await reader.read()

    async def main():
        async with sidecar_harness(spoil) as here:
            here.balancer.state.retry_tokens = 0.0  # no further attempt
            assert await here.status(request(cls="pay")) == 502
            server = here.balancer.state.servers["s0"]
            assert (server.steps, server.inflight) == (1, 0)
            here.servers["s0"].script = respond_ok
            assert (await here.exchange(request("next"))).endswith(b"for next")
            assert here.upstream._open == 1, "the spoilt connection is gone"

    asyncio.run(main())


def test_a_streak_of_spoilt_answers_is_the_server_s_own():
    harness = BalancerHarness(servers=1)
    server = harness.server("s0")
    harness.balancer.state.recent_requests = 1e6
    for spoilt in range(3):
        assert server.steps == 1, f"convicted after {spoilt}"
        harness.answer(harness.accept(cls=1), 0, status=308, latency=20_000_000)
    assert server.steps == 0


def test_servers_at_k_zero_come_back_where_aims_are_shorter_than_the_connect_timeout():
    """No call had the time to spare that a trial asked for, so none was ever sent and all stayed out."""
    limits = {"maxAttempts": 4, "connectTimeoutNs": 400 * MS}
    for dead in ({"s0"}, {"s0", "s1"}):
        harness = BalancerHarness(settings(limits=limits), servers=2)
        for name in dead:
            harness.server(name).steps = 0
        harness.balancer.state.live_count = 2 - len(dead)
        for _ in range(300):
            tid = harness.accept()
            if harness.history[tid] and (tid, 0) in harness.outstanding:
                harness.answer(tid, 0, latency=20 * MS)
            harness.advance(10 * MS)
        assert all(harness.server(name).steps for name in dead)


@pytest.mark.parametrize("how", [301, 305])
def test_with_many_calls_a_lone_failure_is_no_verdict_and_some_in_a_row_are(how):
    harness = BalancerHarness(servers=1)
    server = harness.server("s0")
    harness.balancer.state.recent_requests = 1e6
    harness.answer(harness.accept(cls=1), 0, status=how)
    assert server.steps == 1
    harness.answer(harness.accept(cls=1), 0, status=how)
    assert server.steps == 0


@pytest.mark.parametrize("failures, cold", [(1, False), (3, True)])
def test_with_many_calls_a_lone_failed_connection_is_no_restart(failures, cold):
    """Servers whose connections fail now and then were taken for cold, and got next to nothing."""
    harness = BalancerHarness(servers=1)
    server = harness.server("s0")
    harness.balancer.state.recent_requests = 1e6
    for how in [304] * failures + [100]:
        server.steps, harness.balancer.state.live_count = 1, 1
        harness.balancer.state.update_available(server)
        harness.balancer.state.zone_failures.clear()  # else its zone gets only trials
        harness.balancer.state.retry_tokens = 0.0  # no further attempt
        harness.answer(harness.accept(cls=1), 0, status=how, latency=20 * MS)
    assert (server.started == harness.now) is cold


@pytest.mark.parametrize("lost, taught", [(1, False), (3, True)])
def test_with_many_calls_a_lone_time_out_tells_of_no_queue(lost, taught):
    harness = BalancerHarness(servers=1)
    harness.balancer.state.recent_requests = 1e6
    for _ in range(lost):
        tid = harness.accept(cls=1)
        if harness.history[tid]:
            harness.answer(tid, 0, status=303, latency=300 * MS)
    assert (harness.server("s0").wait > 0) is taught


def test_with_many_calls_a_server_expected_in_time_goes_before_a_less_loaded_one_that_is_not():
    harness = BalancerHarness(servers=2)
    slow, quick = harness.server("s1"), harness.server("s0")
    for many in (False, True):
        harness.balancer.state.high_traffic = many
        assert is_better(harness.balancer.state, quick, 20.0 * MS, slow, 400.0 * MS, 300 * MS)
        quick.inflight = 2
        assert is_better(harness.balancer.state, quick, 20.0 * MS, slow, 400.0 * MS, 300 * MS) is many
        quick.inflight = 0


def test_with_few_calls_the_first_failure_is_a_verdict():
    harness = BalancerHarness(servers=1)
    harness.answer(harness.accept(cls=1), 0, status=305)
    assert harness.server("s0").steps == 0


def test_failures_that_all_servers_show_do_not_shrink_budgets():
    harness = BalancerHarness(servers=3)
    harness.balancer.state.recent_requests = 1e6
    for server in harness.balancer.state.servers.values():
        server.steps = 6
    for turn in range(400):
        tid = harness.accept(cls=1)
        harness.answer(tid, 0, status=305 if turn % 9 in (3, 5) else 100, latency=20 * MS)
    assert min(s.steps for s in harness.balancer.state.servers.values()) >= 3


def test_the_first_budget_is_a_sidecar_s_part_of_what_a_server_can_do():
    for replicas, budget in ((1, 4), (2, 2), (100, 1)):
        server = BalancerHarness(settings(replicasOfMe=replicas), servers=1).server("s0")
        assert server.budget == budget


@pytest.mark.parametrize("extra", [b"noise", response(b"stale")])
def test_what_comes_behind_an_answer_is_nobody_s(extra):
    async def more(server, got, reader, writer):
        await respond_ok(server, got, reader, writer)
        writer.write(extra)

    async def main():
        new = trace_ids()
        async with sidecar_harness(more) as here:
            for _ in range(10):
                trace = new()
                assert (await here.exchange(request(trace))).endswith(b"for " + trace.encode())
            assert here.servers["s0"].connections == 10, "each connection is of no further use"

    asyncio.run(main())


def test_a_second_copy_that_comes_a_little_later_is_not_the_next_answer(monkeypatch):
    monkeypatch.setattr(upstream, "SETTLE_S", 0.3)

    async def late(server, got, reader, writer):
        await respond_ok(server, got, reader, writer)
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(response(b"stale"))

    async def main():
        async with sidecar_harness(late) as here:
            reader, writer = await here.connect()
            for trace in ("a", "b", "c"):
                writer.write(request(trace))
                assert (await read_message(reader)).endswith(b"for " + trace.encode())

    asyncio.run(main())


async def break_next(server, got, reader, writer):
    """Answer, and drop the connection at the first byte of the next request."""
    await respond_ok(server, got, reader, writer)
    await writer.drain()
    await reader.read(1)
    writer.transport.abort()


def test_while_kept_connections_break_the_last_byte_waits_for_a_sign(monkeypatch):
    monkeypatch.setattr(upstream, "WARY_HOLD_BACK_S", 5.0)  # it ends with the sign

    async def main():
        async with sidecar_harness(break_next) as here:
            assert await here.status(request("a")) == 200
            here.upstream._wary_until = asyncio.get_running_loop().time() + 60.0
            for trace in ("b", "c"):
                assert (await here.exchange(request(trace, cls="pay"))).endswith(b"for " + trace.encode())
            assert here.servers["s0"].connections == 3, "the same attempt went on a new connection"

    asyncio.run(main())


def test_small_pieces_go_out_at_once_on_both_sides():
    """A last byte held back waited for the peer's delayed acknowledgement."""

    async def main():
        async with sidecar_harness(respond_ok) as here:
            reader, writer = await here.connect()
            writer.write(request("a"))
            await read_message(reader)
            (client,) = here.frontend._clients
            (rested,) = here.upstream._servers["s0"].idle
            for stream in (client.stream, rested):
                assert stream.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            writer.close()

    asyncio.run(main())


def test_a_kept_connection_that_breaks_makes_wary(monkeypatch):
    async def main():
        async with sidecar_harness(break_next) as here:
            assert await here.status(request("a")) == 200
            assert here.upstream.hold_back_s(0.0) == 0.0
            assert await here.status(request("b", cls="pay")) in (200, 502)
            assert here.upstream.hold_back_s(0.0) == upstream.WARY_HOLD_BACK_S

    asyncio.run(main())


def test_1xx_answers_ahead_are_passed_over():
    async def early(server, got, reader, writer):
        writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 3)
        await respond_ok(server, got, reader, writer)

    async def main():
        async with sidecar_harness(early) as here:
            assert (await here.exchange(request("t"))).endswith(b"for t")

    asyncio.run(main())


def test_a_request_that_servers_turn_away_as_bad_is_no_verdict_on_them():
    async def turn_away(server, got, reader, writer):
        writer.write(response(b"", b"400 Bad Request"))

    async def main():
        async with sidecar_harness(turn_away, turn_away) as here:
            assert await here.status(request(cls="look")) == 502
            assert sum(len(s.requests) for s in here.servers.values()) == 1
            assert all(s.steps == 1 and not s.inflight for s in here.balancer.state.servers.values())

    asyncio.run(main())


def test_a_lack_of_own_sockets_is_no_verdict_on_servers():
    async def main():
        release = asyncio.Event()

        async def wait(server, got, reader, writer):
            await release.wait()
            await respond_ok(server, got, reader, writer)

        async with sidecar_harness(wait, wait, sockets=1) as here:
            reader, writer = await here.connect()
            writer.write(request("one"))
            await wait_until(lambda: any(s.requests for s in here.servers.values()))
            assert await here.status(request("two")) == 503
            assert all(s.steps == 1 for s in here.balancer.state.servers.values())
            release.set()
            assert (await read_message(reader)).endswith(b"for one")

    asyncio.run(main())


def test_a_socket_that_cannot_be_made_holds_no_place(monkeypatch):
    """Places were lost one by one while there were no descriptors, and in the end no server could be reached."""

    async def main():
        async with sidecar_harness(respond_ok, sockets=2) as here:
            reader, writer = await here.connect()

            def none(*_):
                raise OSError(errno.EMFILE, "no descriptor left")

            with monkeypatch.context() as patch:
                patch.setattr(socket, "socket", none)
                for trace in ("a", "b", "c"):
                    writer.write(request(trace, cls="pay"))
                    assert b" 503 " in await read_message(reader), "it never ran"
            assert here.upstream._open == 0
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "load",
    [
        {"queue": 1.0, "qps": 1e-320},
        {"queue": 1e300, "qps": 1e-9},
        {"queue": 5.0, "qps": 0.0, "latency_ms": 1e308},
    ],
)
def test_an_absurd_report_stays_in_no_mean(load):
    harness = BalancerHarness(servers=2)
    harness.answer(harness.accept(), 0, latency=20_000_000, **load)
    for _ in range(5):
        harness.answer(harness.accept(), 0, latency=20_000_000)
    assert max(harness.balancer.state.mean_waits) < 1e9
    assert all(s.wait < 1e9 for s in harness.balancer.state.servers.values())


def test_servers_that_are_gone_leave_nothing_behind():
    async def main():
        new = trace_ids()
        async with sidecar_harness(respond_ok) as here:
            server = here.servers["s0"]
            for turn in range(30):
                here.update_servers({f"n{turn}": server})  # a new id at the address of one that has gone
                assert await here.status(request(new())) == 200
            assert set(here.balancer.state.servers) == {"n29"}
            assert set(here.upstream._servers) == {"n29"}
            assert here.upstream._open == 1
            assert not here.balancer.state.attempts
            assert not here.balancer.state.calls
            assert not here.sidecar._calls

    asyncio.run(main())


def test_a_server_that_is_gone_is_kept_until_its_last_outcome():
    harness = BalancerHarness(servers=2)
    tid = harness.accept()
    name = harness.sends(tid)[0]
    harness.feed(ServerListUpdate("INCREMENTAL", (ServerEntry(name, lifecycle="removed"),)))
    assert name in harness.balancer.state.servers
    harness.feed(AttemptEnded(tid, AttemptStatus.CANCELLED, 1, name, 0, True, {}))
    assert name not in harness.balancer.state.servers


def test_a_connection_that_lacks_the_end_of_a_request_carries_no_other(monkeypatch):
    """The server turned it away before its last byte was written: the next one would be read as its rest."""
    monkeypatch.setattr(upstream, "WARY_HOLD_BACK_S", 5.0)  # it ends with the sign

    async def turn_away_early(server, got, reader, writer):
        await respond_ok(server, got, reader, writer)
        await writer.drain()
        await reader.read(1)
        writer.write(response(b"", b"503 Full", b"X-Never-Ran: 1"))

    async def main():
        async with sidecar_harness(turn_away_early) as here:
            assert await here.status(request("a")) == 200
            here.upstream._wary_until = asyncio.get_running_loop().time() + 60.0
            assert (await here.exchange(request("b", cls="pay"))).endswith(b"for b")
            server = here.servers["s0"]
            assert (server.connections, len(server.requests)) == (2, 2)
            assert here.upstream._open == 1, "the first one is closed"

    asyncio.run(main())


def test_answers_read_in_one_piece_or_in_many_are_the_same():
    whole = b"HTTP/1.1 103 Early\r\n\r\n" + response(b"abcdef", b"200 OK", b"X-A:", b"X-B:  b ")
    for size in (1, 7, len(whole)):
        reader = MessageParser(httptools.HttpResponseParser)
        for at in range(0, len(whole), size):
            reader.feed(whole[at : at + size])
        early, head, *parts, end = reader.parts
        assert (early, end) == (ResponseHead(103, [], {}), End.MESSAGE)
        assert head.status == 200
        assert head.headers[1:] == [(b"x-a", b""), (b"x-b", b"b")]
        assert b"".join(parts) == b"abcdef"
        assert not reader.surplus


def test_failed_connections_do_not_take_most_servers_out():
    """Where a third of all connections comes up too late, a sidecar with few calls had every server in backoff by
    turns and refused what most of them would have served. Past half of them the cause is shared."""

    async def main():
        new = trace_ids()
        async with sidecar_harness(
            respond_ok, respond_ok, respond_ok, respond_ok, limits={"maxAttempts": 4, "retryAfter": True}
        ) as here:
            state = here.balancer.state
            dead, well = (here.servers["s0"], here.servers["s1"]), (here.servers["s2"], here.servers["s3"])
            for server in dead:
                server.stop()
            while state.live_count > 2:
                assert await here.status(request(new())) == 200
            assert {s.name for s in state.up if not s.steps} == {"s0", "s1"}, "a failure is a verdict on these"
            for server in well:
                server.stop()
                here.upstream._close_idle(here.upstream._servers["s2" if server is well[0] else "s3"])
            assert await here.status(request(new())) == 503
            for server in well:
                server._server = await asyncio.start_server(server._serve, *server.address)
            assert [await here.status(request(new())) for _ in range(6)] == [200] * 6

    asyncio.run(main())
