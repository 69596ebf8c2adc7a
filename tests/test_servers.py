"""Servers that misbehave: an invalid answer reaches no client, and only servers at fault are ejected."""

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

INVALID_ANSWERS = {
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


@pytest.mark.parametrize("name", INVALID_ANSWERS)
def test_invalid_answer_fails_the_request_without_ejecting_the_server(name):
    async def answer_invalid(server, got, reader, writer):
        writer.write(INVALID_ANSWERS[name])
        await reader.read()

    async def main():
        async with sidecar_harness(answer_invalid) as here:
            here.balancer.state.retry_tokens = 0.0  # no further attempt
            assert await here.status(request(cls="pay")) == 502
            server = here.balancer.state.servers["s0"]
            assert (server.steps, server.inflight) == (1, 0)
            here.servers["s0"].script = respond_ok
            assert (await here.exchange(request("next"))).endswith(b"for next")
            assert here.upstream._open_count == 1, "the connection with the invalid answer was not closed"

    asyncio.run(main())


def test_consecutive_invalid_answers_eject_the_server():
    harness = BalancerHarness(servers=1)
    server = harness.server("s0")
    harness.balancer.state.recent_requests = 1e6
    for count in range(3):
        assert server.steps == 1, f"ejected after {count}"
        harness.answer(harness.accept(cls=1), 0, status=308, latency=20_000_000)
    assert server.steps == 0


def test_ejected_servers_recover_when_aims_are_shorter_than_the_connect_timeout():
    """Probes needed a call with time to spare. No call had any, so ejected servers were never probed."""
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
def test_with_many_calls_only_consecutive_failures_eject_a_server(how):
    harness = BalancerHarness(servers=1)
    server = harness.server("s0")
    harness.balancer.state.recent_requests = 1e6
    harness.answer(harness.accept(cls=1), 0, status=how)
    assert server.steps == 1
    harness.answer(harness.accept(cls=1), 0, status=how)
    assert server.steps == 0


@pytest.mark.parametrize("failures, cold", [(1, False), (3, True)])
def test_with_many_calls_a_single_failed_connection_does_not_count_as_a_restart(failures, cold):
    """Servers whose connections failed now and then were treated as cold, and got hardly any requests."""
    harness = BalancerHarness(servers=1)
    server = harness.server("s0")
    harness.balancer.state.recent_requests = 1e6
    for how in [304] * failures + [100]:
        server.steps, harness.balancer.state.live_count = 1, 1
        harness.balancer.state.update_available(server)
        harness.balancer.state.zone_failures.clear()  # else its zone gets only probes
        harness.balancer.state.retry_tokens = 0.0  # no further attempt
        harness.answer(harness.accept(cls=1), 0, status=how, latency=20 * MS)
    assert (server.started == harness.now) is cold


@pytest.mark.parametrize("lost, taught", [(1, False), (3, True)])
def test_with_many_calls_a_single_timeout_does_not_indicate_a_queue(lost, taught):
    harness = BalancerHarness(servers=1)
    harness.balancer.state.recent_requests = 1e6
    for _ in range(lost):
        tid = harness.accept(cls=1)
        if harness.history[tid]:
            harness.answer(tid, 0, status=303, latency=300 * MS)
    assert (harness.server("s0").wait > 0) is taught


def test_with_many_calls_a_server_expected_to_answer_in_time_is_preferred_over_a_less_loaded_late_one():
    harness = BalancerHarness(servers=2)
    slow, quick = harness.server("s1"), harness.server("s0")
    for many in (False, True):
        harness.balancer.state.high_traffic = many
        assert is_better(harness.balancer.state, quick, 20.0 * MS, slow, 400.0 * MS, 300 * MS)
        quick.inflight = 2
        assert is_better(harness.balancer.state, quick, 20.0 * MS, slow, 400.0 * MS, 300 * MS) is many
        quick.inflight = 0


def test_with_few_calls_the_first_failure_ejects_a_server():
    harness = BalancerHarness(servers=1)
    harness.answer(harness.accept(cls=1), 0, status=305)
    assert harness.server("s0").steps == 0


def test_failures_common_to_all_servers_do_not_shrink_budgets():
    harness = BalancerHarness(servers=3)
    harness.balancer.state.recent_requests = 1e6
    for server in harness.balancer.state.servers.values():
        server.steps = 6
    for turn in range(400):
        tid = harness.accept(cls=1)
        harness.answer(tid, 0, status=305 if turn % 9 in (3, 5) else 100, latency=20 * MS)
    assert min(s.steps for s in harness.balancer.state.servers.values()) >= 3


def test_initial_budget_is_the_sidecars_share_of_a_servers_capacity():
    for replicas, budget in ((1, 4), (2, 2), (100, 1)):
        server = BalancerHarness(settings(replicasOfMe=replicas), servers=1).server("s0")
        assert server.budget == budget


@pytest.mark.parametrize("extra", [b"noise", response(b"stale")])
def test_bytes_after_an_answer_are_not_read_as_the_next_answer(extra):
    async def send_extra(server, got, reader, writer):
        await respond_ok(server, got, reader, writer)
        writer.write(extra)

    async def main():
        new = trace_ids()
        async with sidecar_harness(send_extra) as here:
            for _ in range(10):
                trace = new()
                assert (await here.exchange(request(trace))).endswith(b"for " + trace.encode())
            assert here.servers["s0"].connections == 10, "a connection with surplus bytes was reused"

    asyncio.run(main())


def test_delayed_duplicate_answer_is_not_read_as_the_next_answer():
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
    """Answers, and resets the connection at the first byte of the next request."""
    await respond_ok(server, got, reader, writer)
    await writer.drain()
    await reader.read(1)
    writer.transport.abort()


def test_last_byte_is_held_back_while_idle_connections_break(monkeypatch):
    monkeypatch.setattr(upstream, "DISTRUST_LAST_BYTE_DELAY_S", 5.0)  # ended early by the reset

    async def main():
        async with sidecar_harness(break_next) as here:
            assert await here.status(request("a")) == 200
            here.upstream._distrust_until = asyncio.get_running_loop().time() + 60.0
            for trace in ("b", "c"):
                assert (await here.exchange(request(trace, cls="pay"))).endswith(b"for " + trace.encode())
            assert here.servers["s0"].connections == 3, "the attempt did not continue on a new connection"

    asyncio.run(main())


def test_tcp_nodelay_is_set_on_client_and_server_connections():
    """Without TCP_NODELAY a last byte that was held back also waited for the peer's delayed acknowledgement."""

    async def main():
        async with sidecar_harness(respond_ok) as here:
            reader, writer = await here.connect()
            writer.write(request("a"))
            await read_message(reader)
            (client,) = here.frontend._clients
            (idle,) = here.upstream._servers["s0"].idle
            for stream in (client.stream, idle):
                assert stream.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            writer.close()

    asyncio.run(main())


def test_broken_idle_connection_enables_the_last_byte_delay(monkeypatch):
    async def main():
        async with sidecar_harness(break_next) as here:
            assert await here.status(request("a")) == 200
            assert here.upstream.last_byte_delay_s(0.0) == 0.0
            assert await here.status(request("b", cls="pay")) in (200, 502)
            assert here.upstream.last_byte_delay_s(0.0) == upstream.DISTRUST_LAST_BYTE_DELAY_S

    asyncio.run(main())


def test_interim_1xx_answers_are_skipped():
    async def early(server, got, reader, writer):
        writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 3)
        await respond_ok(server, got, reader, writer)

    async def main():
        async with sidecar_harness(early) as here:
            assert (await here.exchange(request("t"))).endswith(b"for t")

    asyncio.run(main())


def test_rejecting_a_bad_request_does_not_count_against_the_server():
    async def turn_away(server, got, reader, writer):
        writer.write(response(b"", b"400 Bad Request"))

    async def main():
        async with sidecar_harness(turn_away, turn_away) as here:
            assert await here.status(request(cls="look")) == 502
            assert sum(len(s.requests) for s in here.servers.values()) == 1
            assert all(s.steps == 1 and not s.inflight for s in here.balancer.state.servers.values())

    asyncio.run(main())


def test_reaching_the_connection_limit_does_not_count_against_servers():
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


def test_failed_socket_creation_does_not_leak_a_reserved_connection(monkeypatch):
    """While there were no descriptors, each attempt leaked a reserved connection until none was left."""

    async def main():
        async with sidecar_harness(respond_ok, sockets=2) as here:
            reader, writer = await here.connect()

            def fail(*_):
                raise OSError(errno.EMFILE, "no descriptor left")

            with monkeypatch.context() as patch:
                patch.setattr(socket, "socket", fail)
                for trace in ("a", "b", "c"):
                    writer.write(request(trace, cls="pay"))
                    assert b" 503 " in await read_message(reader), (
                        "the request never ran, so the answer has to be a refusal"
                    )
            assert here.upstream._open_count == 0
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
def test_extreme_load_reports_do_not_distort_the_means(load):
    harness = BalancerHarness(servers=2)
    harness.answer(harness.accept(), 0, latency=20_000_000, **load)
    for _ in range(5):
        harness.answer(harness.accept(), 0, latency=20_000_000)
    assert max(harness.balancer.state.mean_waits) < 1e9
    assert all(s.wait < 1e9 for s in harness.balancer.state.servers.values())


def test_removed_servers_leave_no_state_behind():
    async def main():
        new = trace_ids()
        async with sidecar_harness(respond_ok) as here:
            server = here.servers["s0"]
            for turn in range(30):
                here.update_servers({f"n{turn}": server})  # a new id at the address of a removed one
                assert await here.status(request(new())) == 200
            assert set(here.balancer.state.servers) == {"n29"}
            assert set(here.upstream._servers) == {"n29"}
            assert here.upstream._open_count == 1
            assert not here.balancer.state.attempts
            assert not here.balancer.state.calls
            assert not here.sidecar._calls

    asyncio.run(main())


def test_removed_server_is_kept_until_its_last_outcome():
    harness = BalancerHarness(servers=2)
    tid = harness.accept()
    name = harness.sends(tid)[0]
    harness.feed(ServerListUpdate("INCREMENTAL", (ServerEntry(name, lifecycle="removed"),)))
    assert name in harness.balancer.state.servers
    harness.feed(AttemptEnded(tid, AttemptStatus.CANCELLED, 1, name, 0, True, {}))
    assert name not in harness.balancer.state.servers


def test_connection_with_an_unfinished_request_is_not_reused(monkeypatch):
    """If the server rejects a request before its last byte is written, it would read the next request on that
    connection as the end of the first one."""
    monkeypatch.setattr(upstream, "DISTRUST_LAST_BYTE_DELAY_S", 5.0)  # ended early by the reset

    async def turn_away_early(server, got, reader, writer):
        await respond_ok(server, got, reader, writer)
        await writer.drain()
        await reader.read(1)
        writer.write(response(b"", b"503 Full", b"X-Never-Ran: 1"))

    async def main():
        async with sidecar_harness(turn_away_early) as here:
            assert await here.status(request("a")) == 200
            here.upstream._distrust_until = asyncio.get_running_loop().time() + 60.0
            assert (await here.exchange(request("b", cls="pay"))).endswith(b"for b")
            server = here.servers["s0"]
            assert (server.connections, len(server.requests)) == (2, 2)
            assert here.upstream._open_count == 1, "the first connection was not closed"

    asyncio.run(main())


def test_answers_are_parsed_the_same_in_one_piece_and_in_many():
    whole = b"HTTP/1.1 103 Early\r\n\r\n" + response(b"abcdef", b"200 OK", b"X-A:", b"X-B:  b ")
    for size in (1, 7, len(whole)):
        reader = MessageParser(httptools.HttpResponseParser)
        for at in range(0, len(whole), size):
            reader.feed(whole[at : at + size])
        interim, head, *parts, end = reader.parts
        assert (interim, end) == (ResponseHead(103, [], {}), End.MESSAGE)
        assert head.status == 200
        assert head.headers[1:] == [(b"x-a", b""), (b"x-b", b"b")]
        assert b"".join(parts) == b"abcdef"
        assert not reader.surplus


def test_failed_connections_do_not_eject_most_servers():
    """When a third of all connections were established too late, a sidecar with few calls put every server into
    backoff in turn, and refused requests that most of them would have served. Once half of the servers are
    ejected, the cause is assumed to be shared."""

    async def main():
        new = trace_ids()
        async with sidecar_harness(
            respond_ok, respond_ok, respond_ok, respond_ok, limits={"maxAttempts": 4, "retryAfter": True}
        ) as here:
            state = here.balancer.state
            dead, healthy = (here.servers["s0"], here.servers["s1"]), (here.servers["s2"], here.servers["s3"])
            for server in dead:
                server.stop()
            while state.live_count > 2:
                assert await here.status(request(new())) == 200
            assert {s.name for s in state.up if not s.steps} == {"s0", "s1"}, (
                "each failure has to eject its server"
            )
            for server in healthy:
                server.stop()
                here.upstream._close_idle(here.upstream._servers["s2" if server is healthy[0] else "s3"])
            assert await here.status(request(new())) == 503
            for server in healthy:
                server._server = await asyncio.start_server(server._serve, *server.address)
            assert [await here.status(request(new())) for _ in range(6)] == [200] * 6

    asyncio.run(main())
