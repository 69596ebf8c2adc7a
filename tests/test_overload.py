"""Tests of a sidecar short of CPU: its own delay is not held against servers, and late requests are rejected."""

from __future__ import annotations

import asyncio
import socket
import time

from covetally.interface import AttemptEnded, AttemptStatus, Refuse, RequestReceived
from tests.loopback import response, respond_ok, sidecar_harness, read_message, request, trace_ids, wait_until
from tests.support import MS, BalancerHarness, settings


def record_events(harness, kind):
    """Return a list to which each event of a kind that the balancer handles is appended."""
    recorded, handle = [], harness.balancer.handle

    def record(now, event):
        if isinstance(event, kind):
            recorded.append(event)
        return handle(now, event)

    harness.balancer.handle = record
    return recorded


def record_outcomes(harness):
    """Return a list to which the end of each attempt is appended."""
    return record_events(harness, AttemptEnded)


def test_time_in_the_kernel_and_the_backlog_counts_against_the_requests_deadline():
    async def main():
        async with sidecar_harness(respond_ok) as harness:
            received = record_events(harness, RequestReceived)
            with socket.create_connection(harness.address) as client:
                client.sendall(request(expires="0.8"))
                time.sleep(0.3)  # blocks the whole process, including its listener
                client.setblocking(False)
                reply = await asyncio.get_running_loop().sock_recv(client, 4096)
            assert reply.startswith(b"HTTP/1.1 ")
            age, ttl = received[0].age_ns, received[0].ttl_ns
            assert age > 200 * MS and ttl <= 800 * MS - age

    asyncio.run(main())


def test_the_sidecars_own_delay_is_not_attributed_to_the_server():
    """The response arrives soon, but this process is blocked before it can read it."""

    async def block_after_response(server, head, reader, writer):
        writer.write(response(b"quick"))
        asyncio.get_running_loop().call_soon(time.sleep, 0.2)

    async def main():
        async with sidecar_harness(block_after_response) as harness:
            outcomes = record_outcomes(harness)
            assert await harness.status(request(cls="pay", expires="5")) == 200
            assert outcomes[0].status == AttemptStatus.OK
            assert outcomes[0].latency_ns < 150 * MS < outcomes[0].local_ns

    asyncio.run(main())


def test_a_response_unread_at_the_timeout_is_no_server_failure():
    async def block_after_response(server, head, reader, writer):
        writer.write(response(b"in time"))
        time.sleep(0.5)  # past the aim, not the deadline

    async def main():
        async with sidecar_harness(block_after_response) as harness:
            outcomes = record_outcomes(harness)
            harness.balancer.state.retry_tokens = 0.0  # no further attempt
            await harness.status(request(cls="pay", expires="0.95"))
            await wait_until(lambda: outcomes)
            assert outcomes[0].status != AttemptStatus.TIMEOUT

    asyncio.run(main())


def test_a_connection_established_but_not_noticed_is_no_connect_failure(monkeypatch):
    """The kernel has established the connection, but the attempt times out before this process checks it."""

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            outcomes = record_outcomes(harness)
            harness.balancer.state.retry_tokens = 0.0
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(loop, "add_writer", lambda *_: None)  # as if the loop had no time for it
            await harness.status(request(expires="0.3"))
            await wait_until(lambda: outcomes)
            assert outcomes[0].status == AttemptStatus.NOT_SENT
            assert harness.balancer.state.servers["s0"].steps

    asyncio.run(main())


def test_a_silent_server_still_causes_a_timeout():
    async def silent(server, head, reader, writer):
        await reader.read()

    async def main():
        async with sidecar_harness(silent) as harness:
            outcomes = record_outcomes(harness)
            harness.balancer.state.retry_tokens = 0.0
            await harness.status(request(expires="0.2"))
            await wait_until(lambda: outcomes)
            assert outcomes[0].status == AttemptStatus.TIMEOUT

    asyncio.run(main())


def test_during_a_standing_queue_delayed_requests_are_rejected_at_once_with_a_retry_time():
    """Each exchange blocks this process for longer than it needs to serve the requests that have arrived."""

    async def main():
        limits = {"retryAfter": True, "maxRetryAfterNs": 700 * MS}
        async with sidecar_harness(respond_ok, limits=limits, more={"clients": {"marksRetry": True}}) as harness:
            trace = trace_ids()
            reader, writer = await harness.connect()

            async def exchange(**more):
                writer.write(request(trace(), **more))
                time.sleep(0.15)  # more than a quarter of the aim
                return await read_message(reader)

            start = time.monotonic()
            assert (await exchange()).startswith(b"HTTP/1.1 200")
            while not (reply := await exchange()).startswith(b"HTTP/1.1 503"):
                pass
            assert time.monotonic() - start > 0.3, "a burst is served"
            assert b"retry-after: 0.700" in reply.lower()
            accepted_before = harness.sidecar._accepted
            while harness.frontend.shed_requests < 3:
                await exchange()
            retry = await exchange(more="X-Second-Try: 1\r\n")
            assert retry.startswith(b"HTTP/1.1 503"), "retries are rejected"
            for more in ({"cls": "pay"}, {"more": "Connection: keep-alive\r\n"}):
                shed, accepted = harness.frontend.shed_requests, harness.sidecar._accepted
                await exchange(**more)
                assert (harness.frontend.shed_requests, harness.sidecar._accepted) == (shed, accepted + 1), (
                    "read as usual"
                )
            assert harness.sidecar._accepted - accepted_before < 40, "some were rejected unread"
            writer.write(request(trace()))
            assert (await read_message(reader)).startswith(b"HTTP/1.1 200"), (
                "a request that is read promptly is served"
            )
            writer.close()

    asyncio.run(main())


def test_during_a_standing_queue_only_requests_that_waited_long_are_rejected():
    balancer = BalancerHarness(settings(limits={"retryAfter": True, "maxRetryAfterNs": 700 * MS})).balancer
    now, hold_offs = 5_000 * MS, []
    for _ in range(400):
        now += 2 * MS
        hold_offs.append(balancer.overload_hold_off(now, 100 * MS, False))
        assert not balancer.overload_hold_off(now, 70 * MS, False), "within a quarter of the aim"
    assert not any(hold_offs[:150]), "a burst"
    assert all(wait == 700 * MS for wait in hold_offs[-200:])
    assert balancer.overload_hold_off(now, 0, True) == 700 * MS, "retries are rejected"
    for _ in range(160):
        now += 2 * MS
        assert not balancer.overload_hold_off(now, 70 * MS, False)
    assert not balancer.shedding, "no request has waited for long during the last aim"
    assert not balancer.overload_hold_off(now, 100 * MS, True)


def test_a_pause_without_requests_ends_the_shedding():
    balancer = BalancerHarness().balancer
    now = 5_000 * MS
    while not balancer.shedding:
        now += 2 * MS
        balancer.overload_hold_off(now, 100 * MS, False)
    assert not balancer.overload_hold_off(now + 5_000 * MS, 100 * MS, True)
    assert not balancer.shedding


def test_many_requests_after_a_stall_do_not_monopolize_the_loop():
    """After each READ_SLICE_S the loop handles other events, above all servers' responses, before it reads on."""

    async def main():
        async with sidecar_harness(respond_ok, clients=200, sockets=200) as harness:
            order, accept, loop = [], harness.sidecar.accept, asyncio.get_running_loop()

            def recording_accept(*arguments):
                if not order:
                    loop.call_soon(order.append, "something else")
                order.append("a request")
                time.sleep(0.002)  # so that a slice has room for only a few
                return accept(*arguments)

            harness.sidecar.accept = recording_accept
            trace = trace_ids()
            streams = [await harness.connect() for _ in range(60)]
            await wait_until(lambda: len(harness.frontend._clients) == 60)
            for _, writer in streams:
                writer.write(request(trace(), expires="5"))
            time.sleep(0.03)  # all have waited in the kernel for longer than counts as prompt
            for reader, writer in streams:
                await read_message(reader)
                writer.close()
            assert order.index("something else") < 30, order

    asyncio.run(main())


def test_a_refusal_has_a_retry_time_while_all_servers_are_ejected_and_one_is_probed():
    """A refusal without a retry time causes an immediate retry."""
    harness = BalancerHarness(settings(limits={"retryAfter": True, "maxRetryAfterNs": 700 * MS}), servers=1)
    server = harness.server("s0")
    server.steps, server.probing, harness.balancer.state.live_count = 0, True, 0
    actions = harness.feed_accept()
    assert [type(action) for action in actions] == [Refuse]
    assert actions[0].hold_off_ns > 0


def test_requests_of_clients_that_have_left_are_not_forwarded():
    """They wait in the backlog or on a keep-alive connection until this process reads them: too late for them."""

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            kept = await harness.connect()
            kept[1].write(request("kept"))
            await read_message(kept[0])
            accepted = harness.sidecar._accepted
            kept[1].write(request("left"))
            kept[1].get_extra_info("socket").shutdown(socket.SHUT_WR)
            for number in range(5):
                with socket.create_connection(harness.address) as client:
                    client.sendall(request(f"gone{number}"))
            assert await harness.status(request("after")) == 200
            await wait_until(lambda: not harness.frontend._clients)
            assert harness.sidecar._accepted == accepted + 1
            assert len(harness.servers["s0"].requests) == 2

    asyncio.run(main())


def test_an_isolated_delayed_request_is_no_standing_queue():
    """A sidecar with little traffic, or one that has just started, is blocked once."""
    harness = BalancerHarness()
    harness.advance(5_000 * MS)
    for _ in range(3):
        tid = harness.accept(age_ns=100 * MS)
        assert (tid, 0) in harness.outstanding
        harness.answer(tid, 0)
        harness.advance(5_000 * MS)
