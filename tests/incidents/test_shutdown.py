"""The shutdown of a sidecar: SIGKILL may come 0.7 s plus the longest deadline, of which at most 3 s count, after
SIGTERM.

By then every accepted request has a response, and the process has exited. With real processes: the nodes hang,
and the clients behave in all the ways that the operators' terms of use name.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from covetally.rig.account import SECOND
from covetally.rig.system_faults import Fault, FaultSchedule
from covetally.rig.world import InstanceProcess, Shape, World
from tests.loopback import TEST_TIMEOUT_S, read_message

# SIGKILL comes no sooner than min(longest deadline, MAX_DEADLINE_S) + GRACE_S after SIGTERM.
MAX_DEADLINE_S, GRACE_S = 3.0, 0.7
LONGEST_DEADLINES_S = [0.2, 0.3, 1.0, 2.5, 3.0, 5.0, 10.0]
REPEATS = ["free", "single_shot", "guarded"]


def kill_after_s(longest_s: float) -> float:
    """The shortest time from SIGTERM to SIGKILL."""
    return min(longest_s, MAX_DEADLINE_S) + GRACE_S


def encode_request(name: str, cls: str, expires_s: float) -> bytes:
    """Encode a complete request of a class that is named after its repeat mode."""
    method = "GET" if cls == "free" else "POST"
    lines = [
        f"{method} /api?sid=k HTTP/1.1", "Host: app", f"X-Trace-Id: {name}", f"X-Qos: {cls}",
        f"X-Expires-In: {expires_s:.3f}",
    ]  # fmt: skip
    if cls == "guarded":
        lines.append(f"Idempotency-Key: {name}")
    if method == "POST":
        lines.append("Content-Length: 0")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@dataclass
class Client:
    """One connection, the statuses of its responses, and the requests that got none."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    statuses: list[int] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)
    answered_at: float = 0.0  # time of the last response

    async def exchange(self, name: str, data: bytes) -> bool:
        """Send one request; returns whether it got a response and the connection stays open for another."""
        self.writer.write(data)
        return await self.read_response(name)

    async def read_response(self, name: str) -> bool:
        """Wait for the response; see `exchange`."""
        try:
            response = await read_message(self.reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.unanswered.append(name)
            return False
        self.answered_at = time.monotonic()
        self.statuses.append(int(response.split()[1]))
        return b"connection: close" not in response.lower()


class ShutdownRun:
    """A sidecar in front of hung nodes that gets SIGTERM, and SIGKILL at the earliest time allowed."""

    def __init__(self, world: World, longest_s: float) -> None:
        self.world, self.longest_s = world, longest_s
        self.instance: InstanceProcess = world.instances["a0"]
        self.ended_s: float | None = None  # time from SIGTERM to the exit; None if it was killed

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(*self.instance.address))

    async def terminate(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Send SIGTERM, and SIGKILL at the earliest time allowed; returns when the process is gone."""
        process = self.instance.process
        assert process is not None
        process.send_signal(number)
        signalled_at = time.monotonic()
        try:
            async with asyncio.timeout(kill_after_s(self.longest_s)):
                await process.wait()
            self.ended_s = time.monotonic() - signalled_at
        except TimeoutError:
            process.kill()
            await process.wait()

    def check(self, clients: list[Client]) -> None:
        """Assert that all requests were answered and that the process exited cleanly by itself."""
        assert [client.unanswered for client in clients if client.unanswered] == []
        assert self.ended_s is not None, f"still running at SIGKILL: {self.instance.log}"
        assert self.instance.process is not None
        assert self.instance.process.returncode == 0, self.instance.log
        assert "; 0 violations" in self.instance.log
        assert "Traceback" not in self.instance.log


@asynccontextmanager
async def sidecar_with_hung_nodes(
    longest_s: float, faults: FaultSchedule | None = None
) -> AsyncIterator[ShutdownRun]:
    """A sidecar whose nodes all hang, with a class for each repeat mode. Deadlines and aims are `longest_s`."""
    async with asyncio.timeout(2 * TEST_TIMEOUT_S), World(Shape(nodes=2, instances=1)) as world:
        limit = int(longest_s * SECOND)
        world.instances["a0"].config["settings"]["classes"] = [
            {"name": repeat, "onTimeNs": limit, "hardLimitNs": limit, "repeat": repeat, "windowNs": SECOND}
            for repeat in REPEATS
        ]
        world.instances["a0"].faults = faults
        await world.start_instances()
        for name in world.nodes:
            world.mood(name, deaf=True)
        yield ShutdownRun(world, longest_s)


async def send_continuously(run: ShutdownRun, after_s: float, clients: list[Client]) -> None:
    """A client that connects `after_s` after SIGTERM and sends one request after the other until the connection
    ends."""
    await asyncio.sleep(after_s)
    client = await run.connect()
    clients.append(client)
    number = 0
    while await client.exchange(
        f"{after_s}-{number}", encode_request(f"{after_s}-{number}", "free", run.longest_s)
    ):
        number += 1


async def play_requests_around_sigterm(longest_s: float) -> None:
    """Requests of each repeat mode accepted before SIGTERM, and clients that connect up to 0.4 s after it."""
    async with sidecar_with_hung_nodes(longest_s) as run:
        clients = [await run.connect() for _ in REPEATS]
        requests = [
            asyncio.create_task(client.exchange(repeat, encode_request(repeat, repeat, longest_s)))
            for repeat, client in zip(REPEATS, clients, strict=True)
        ]
        await asyncio.sleep(min(0.05, longest_s / 4))
        requests += [asyncio.create_task(send_continuously(run, number * 0.04, clients)) for number in range(11)]
        await run.terminate()
        await asyncio.gather(*requests)
        run.check(clients)


async def play_slow_senders(longest_s: float) -> None:
    """Clients that complete their request late, some shortly before SIGKILL; one never completes it, and one
    sends nothing."""
    async with sidecar_with_hung_nodes(longest_s) as run:
        shares = [0.1, 0.3, 0.5, 0.7, 0.8, 0.9]  # of the time from SIGTERM to SIGKILL
        clients = [await run.connect() for _ in shares]
        whole = [encode_request(f"slow{number}", "single_shot", longest_s) for number in range(len(shares))]
        for client, data in zip(clients, whole, strict=True):
            client.writer.write(data[:-9])
        stuck, silent = await run.connect(), await run.connect()
        stuck.writer.write(whole[0][:40])
        await asyncio.sleep(0.05)

        async def finish(number: int, share: float) -> None:
            client = clients[number]
            await asyncio.sleep(share * kill_after_s(longest_s))
            if client.reader.at_eof() or client.reader.exception() is not None:
                return  # closed before the request was complete: no response is owed
            client.writer.write(whole[number][-9:])
            await client.read_response(f"slow{number}")

        finishing = [asyncio.create_task(finish(number, share)) for number, share in enumerate(shares)]
        await run.terminate()
        await asyncio.gather(*finishing)
        with contextlib.suppress(ConnectionError):
            assert b" 200 " not in await stuck.reader.read()
        assert await silent.reader.read() == b""
        run.check(clients)


async def for_each_deadline(scenario: Callable[[float], Awaitable[None]]) -> None:
    """Run the same scenario for each longest deadline in parallel; a failure names the deadline."""
    results = await asyncio.gather(
        *(scenario(longest_s) for longest_s in LONGEST_DEADLINES_S), return_exceptions=True
    )
    failed = {
        longest_s: result for longest_s, result in zip(LONGEST_DEADLINES_S, results, strict=True)
        if isinstance(result, BaseException)
    }  # fmt: skip
    assert not failed, "".join(f"\nat {longest_s} s: {error!r:.1500}" for longest_s, error in failed.items())


def test_requests_accepted_around_sigterm_are_answered_before_sigkill():
    asyncio.run(for_each_deadline(play_requests_around_sigterm))


def test_a_request_being_sent_at_sigterm_is_answered_once_it_is_complete():
    asyncio.run(for_each_deadline(play_slow_senders))


@pytest.mark.parametrize("how", ["ECONNABORTED", "ENFILE", "ENOBUFS", "EHOSTUNREACH"])
def test_failing_accepts_after_sigterm_do_not_block_the_shutdown(how):
    """The loop over the backlog retried a failing accept at once, without yielding to the event loop."""
    begin_s = 2.0  # after the start of the sidecar

    async def main():
        begin_ns = time.monotonic_ns() + int(begin_s * SECOND)
        async with sidecar_with_hung_nodes(1.0, FaultSchedule((Fault("accept", how, begin_ns),))) as run:
            clients = [await run.connect() for _ in range(3)]
            await asyncio.sleep((begin_ns - time.monotonic_ns()) / SECOND)
            sent_at = time.monotonic()
            requests = [
                asyncio.create_task(client.exchange(f"r{number}", encode_request(f"r{number}", "free", 1.0)))
                for number, client in enumerate(clients)
            ]
            await asyncio.sleep(0.02)
            await run.terminate()
            await asyncio.gather(*requests)
            run.check(clients)
            assert max(client.answered_at for client in clients) < sent_at + 1.2, "at their deadline"

    asyncio.run(main())
