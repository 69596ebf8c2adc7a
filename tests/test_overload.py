"""A sidecar short of CPU: its own delay is not its servers', and what came too late goes at once."""

from __future__ import annotations

import asyncio
import socket
import time

from covetally.interface import AttemptEnded, AttemptStatus, Refuse, RequestReceived
from tests.loopback import response, respond_ok, sidecar_harness, read_message, request, trace_ids, wait_until
from tests.support import MS, BalancerHarness, settings


def events(here, kind):
    """Every event of a kind that the module is told, as they come."""
    told, handle = [], here.balancer.handle

    def listen(now, event):
        if isinstance(event, kind):
            told.append(event)
        return handle(now, event)

    here.balancer.handle = listen
    return told


def outcomes(here):
    """Every outcome that the module is told, as they come."""
    return events(here, AttemptEnded)


def test_time_in_the_kernel_and_the_backlog_counts_as_the_request_s():
    async def main():
        async with sidecar_harness(respond_ok) as here:
            told = events(here, RequestReceived)
            with socket.create_connection(here.address) as client:
                client.sendall(request(expires="0.8"))
                time.sleep(0.3)  # the whole process stands still, its listener too
                client.setblocking(False)
                got = await asyncio.get_running_loop().sock_recv(client, 4096)
            assert got.startswith(b"HTTP/1.1 ")
            age, ttl = told[0].age_ns, told[0].ttl_ns
            assert age > 200 * MS and ttl <= 800 * MS - age

    asyncio.run(main())


def test_the_own_delay_is_not_taken_for_the_server_s():
    """The answer is there soon, but this process stands still before it gets to read it."""

    async def stand_still(server, got, reader, writer):
        writer.write(response(b"quick"))
        asyncio.get_running_loop().call_soon(time.sleep, 0.2)

    async def main():
        async with sidecar_harness(stand_still) as here:
            told = outcomes(here)
            assert await here.status(request(cls="pay", expires="5")) == 200
            assert told[0].status == AttemptStatus.OK
            assert told[0].latency_ns < 150 * MS < told[0].local_ns

    asyncio.run(main())


def test_an_answer_that_lies_unread_at_the_time_out_is_no_fault_of_the_server():
    async def stand_still(server, got, reader, writer):
        writer.write(response(b"in time"))
        time.sleep(0.5)  # past the aim, not the deadline

    async def main():
        async with sidecar_harness(stand_still) as here:
            told = outcomes(here)
            here.balancer.state.retry_tokens = 0.0  # no further attempt
            await here.status(request(cls="pay", expires="0.95"))
            await wait_until(lambda: told)
            assert told[0].status != AttemptStatus.TIMEOUT

    asyncio.run(main())


def test_a_connection_that_came_up_unnoticed_is_no_failed_one(monkeypatch):
    """The kernel has the connection up, but time ran out before this process came to look."""

    async def main():
        async with sidecar_harness(respond_ok) as here:
            told = outcomes(here)
            here.balancer.state.retry_tokens = 0.0
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(loop, "add_writer", lambda *_: None)  # as if the loop had no turn to spare for it
            await here.status(request(expires="0.3"))
            await wait_until(lambda: told)
            assert told[0].status == AttemptStatus.NOT_SENT
            assert here.balancer.state.servers["s0"].steps

    asyncio.run(main())


def test_a_server_that_says_nothing_is_still_a_time_out():
    async def silent(server, got, reader, writer):
        await reader.read()

    async def main():
        async with sidecar_harness(silent) as here:
            told = outcomes(here)
            here.balancer.state.retry_tokens = 0.0
            await here.status(request(expires="0.2"))
            await wait_until(lambda: told)
            assert told[0].status == AttemptStatus.TIMEOUT

    asyncio.run(main())


def test_under_a_standing_queue_requests_that_waited_are_refused_at_once_and_told_when_to_come():
    """Each turn this process stands still for longer than it needs to serve what has come meanwhile."""

    async def main():
        limits = {"retryAfter": True, "maxRetryAfterNs": 700 * MS}
        async with sidecar_harness(respond_ok, limits=limits, more={"clients": {"marksRetry": True}}) as here:
            trace = trace_ids()
            reader, writer = await here.connect()

            async def ask(**more):
                writer.write(request(trace(), **more))
                time.sleep(0.15)  # over a quarter of the aim
                return await read_message(reader)

            start = time.monotonic()
            assert (await ask()).startswith(b"HTTP/1.1 200")
            while not (got := await ask()).startswith(b"HTTP/1.1 503"):
                pass
            assert time.monotonic() - start > 0.3, "a burst is served"
            assert b"retry-after: 0.700" in got.lower()
            read = here.sidecar._accepted
            while here.frontend.shed_requests < 3:
                await ask()
            again = await ask(more="X-Second-Try: 1\r\n")
            assert again.startswith(b"HTTP/1.1 503"), "whoever comes again is refused"
            for more in ({"cls": "pay"}, {"more": "Connection: keep-alive\r\n"}):
                shed, taken = here.frontend.shed_requests, here.sidecar._accepted
                await ask(**more)
                assert (here.frontend.shed_requests, here.sidecar._accepted) == (shed, taken + 1), "read as ever"
            assert here.sidecar._accepted - read < 40, "some were refused unread"
            writer.write(request(trace()))
            assert (await read_message(reader)).startswith(b"HTTP/1.1 200"), "one read promptly is served"
            writer.close()

    asyncio.run(main())


def test_while_a_queue_stands_those_that_waited_long_are_refused_and_the_others_are_not():
    balancer = BalancerHarness(settings(limits={"retryAfter": True, "maxRetryAfterNs": 700 * MS})).balancer
    now, let_in = 5_000 * MS, []
    for _ in range(400):
        now += 2 * MS
        let_in.append(balancer.overload_hold_off(now, 100 * MS, False))
        assert not balancer.overload_hold_off(now, 70 * MS, False), "within a quarter of the aim"
    assert not any(let_in[:150]), "a burst"
    assert all(wait == 700 * MS for wait in let_in[-200:])
    assert balancer.overload_hold_off(now, 0, True) == 700 * MS, "whoever comes again"
    for _ in range(160):
        now += 2 * MS
        assert not balancer.overload_hold_off(now, 70 * MS, False)
    assert not balancer.shedding, "none has waited so long for an aim"
    assert not balancer.overload_hold_off(now, 100 * MS, True)


def test_a_silence_ends_the_shedding():
    balancer = BalancerHarness().balancer
    now = 5_000 * MS
    while not balancer.shedding:
        now += 2 * MS
        balancer.overload_hold_off(now, 100 * MS, False)
    assert not balancer.overload_hold_off(now + 5_000 * MS, 100 * MS, True)
    assert not balancer.shedding


def test_a_crowd_that_came_while_this_process_stood_still_does_not_keep_the_loop():
    """Between turns of READ_SLICE_S it looks at all else, servers' answers above all, whatever has come."""

    async def main():
        async with sidecar_harness(respond_ok, clients=200, sockets=200) as here:
            order, take, loop = [], here.sidecar.accept, asyncio.get_running_loop()

            def taking(*words):
                if not order:
                    loop.call_soon(order.append, "something else")
                order.append("a request")
                time.sleep(0.002)  # so that a turn holds but a few
                return take(*words)

            here.sidecar.accept = taking
            trace = trace_ids()
            streams = [await here.connect() for _ in range(60)]
            await wait_until(lambda: len(here.frontend._clients) == 60)
            for _, writer in streams:
                writer.write(request(trace(), expires="5"))
            time.sleep(0.03)  # all have lain in the kernel for longer than is prompt
            for reader, writer in streams:
                await read_message(reader)
                writer.close()
            assert order.index("something else") < 30, order

    asyncio.run(main())


def test_with_all_servers_out_and_a_trial_under_way_clients_are_told_when_to_come():
    """A refusal without a time draws the next try at once."""
    harness = BalancerHarness(settings(limits={"retryAfter": True, "maxRetryAfterNs": 700 * MS}), servers=1)
    server = harness.server("s0")
    server.steps, server.probing, harness.balancer.state.live_count = 0, True, 0
    told = harness.feed_accept()
    assert [type(action) for action in told] == [Refuse]
    assert told[0].hold_off_ns > 0


def test_requests_of_clients_that_have_left_are_not_passed_on():
    """They wait in the backlog, or on a kept connection, until this process has time: too late for them."""

    async def main():
        async with sidecar_harness(respond_ok) as here:
            kept = await here.connect()
            kept[1].write(request("kept"))
            await read_message(kept[0])
            taken = here.sidecar._accepted
            kept[1].write(request("left"))
            kept[1].get_extra_info("socket").shutdown(socket.SHUT_WR)
            for number in range(5):
                with socket.create_connection(here.address) as client:
                    client.sendall(request(f"gone{number}"))
            assert await here.status(request("after")) == 200
            await wait_until(lambda: not here.frontend._clients)
            assert here.sidecar._accepted == taken + 1
            assert len(here.servers["s0"].requests) == 2

    asyncio.run(main())


def test_a_lone_request_that_waited_is_no_queue():
    """A sidecar with little traffic, or one that has just begun, that stands still for once."""
    harness = BalancerHarness()
    harness.advance(5_000 * MS)
    for _ in range(3):
        tid = harness.accept(age_ns=100 * MS)
        assert (tid, 0) in harness.outstanding
        harness.answer(tid, 0)
        harness.advance(5_000 * MS)
