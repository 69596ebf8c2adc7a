"""The end of a sidecar: SIGKILL may come the longest deadline, counted as 3 s at most, and 0.7 s after SIGTERM.

Whatever was read by then has its answer, and the process has ended by itself. Real processes: the nodes hang, and
clients behave in all the ways that the operators' terms name.
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

COUNTED_S, GRACE_S = 3.0, 0.7  # of the longest deadline, and after it: SIGKILL comes no sooner
LONGEST_S = [0.2, 0.3, 1.0, 2.5, 3.0, 5.0, 10.0]
REPEATS = ["free", "single_shot", "guarded"]


def kill_after_s(longest_s: float) -> float:
    """How long after SIGTERM a SIGKILL may come."""
    return min(longest_s, COUNTED_S) + GRACE_S


def encode_request(name: str, cls: str, expires_s: float) -> bytes:
    """A request whole; its class tells whether it may be repeated."""
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
    """One connection, and when each of its requests was written and answered."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    answered: list[int] = field(default_factory=list)  # statuses
    unanswered: list[str] = field(default_factory=list)
    answered_at: float = 0.0  # the last of them

    async def exchange(self, name: str, data: bytes) -> bool:
        """Send one request; whether an answer came and the connection lets another follow."""
        self.writer.write(data)
        return await self.read_response(name)

    async def read_response(self, name: str) -> bool:
        """Await the answer; see `exchange`."""
        try:
            got = await read_message(self.reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.unanswered.append(name)
            return False
        self.answered_at = time.monotonic()
        self.answered.append(int(got.split()[1]))
        return b"connection: close" not in got.lower()


class ShutdownRun:
    """One sidecar before hung nodes, that is told to end and killed as early as it may be."""

    def __init__(self, world: World, longest_s: float) -> None:
        self.world, self.longest_s = world, longest_s
        self.instance: InstanceProcess = world.instances["a0"]
        self.ended_s: float | None = None  # after SIGTERM, if it ended by itself

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(*self.instance.address))

    async def terminate(self, number: signal.Signals = signal.SIGTERM) -> None:
        """SIGTERM, and SIGKILL at the earliest moment; returns when the process is gone."""
        process = self.instance.process
        assert process is not None
        process.send_signal(number)
        began = time.monotonic()
        try:
            async with asyncio.timeout(kill_after_s(self.longest_s)):
                await process.wait()
            self.ended_s = time.monotonic() - began
        except TimeoutError:
            process.kill()
            await process.wait()

    def check(self, clients: list[Client]) -> None:
        """All was answered, and it ended by itself, in order."""
        assert [client.unanswered for client in clients if client.unanswered] == []
        assert self.ended_s is not None, f"SIGKILL found it running: {self.instance.log}"
        assert self.instance.process is not None
        assert self.instance.process.returncode == 0, self.instance.log
        assert "; 0 violations" in self.instance.log
        assert "Traceback" not in self.instance.log


@asynccontextmanager
async def sidecar_with_hung_nodes(
    longest_s: float, faults: FaultSchedule | None = None
) -> AsyncIterator[ShutdownRun]:
    """A sidecar whose nodes all hang, with a class of each kind at this deadline, and aims as late as that."""
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


async def keep_asking(it: ShutdownRun, after_s: float, clients: list[Client]) -> None:
    """A client that connects so long after SIGTERM, and asks again at once for as long as it may."""
    await asyncio.sleep(after_s)
    client = await it.connect()
    clients.append(client)
    turn = 0
    while await client.exchange(f"{after_s}-{turn}", encode_request(f"{after_s}-{turn}", "free", it.longest_s)):
        turn += 1


async def take_before_and_after(longest_s: float) -> None:
    """Requests of each kind that were taken before SIGTERM, and clients that come up to 0.4 s after it."""
    async with sidecar_with_hung_nodes(longest_s) as it:
        clients = [await it.connect() for _ in REPEATS]
        asked = [
            asyncio.create_task(client.exchange(repeat, encode_request(repeat, repeat, longest_s)))
            for repeat, client in zip(REPEATS, clients, strict=True)
        ]
        await asyncio.sleep(min(0.05, longest_s / 4))
        asked += [asyncio.create_task(keep_asking(it, number * 0.04, clients)) for number in range(11)]
        await it.terminate()
        await asyncio.gather(*asked)
        it.check(clients)


async def send_slowly(longest_s: float) -> None:
    """Clients that are slow to send, some until shortly before SIGKILL, one for good, one that never speaks."""
    async with sidecar_with_hung_nodes(longest_s) as it:
        shares = [0.1, 0.3, 0.5, 0.7, 0.8, 0.9]  # of the time until SIGKILL
        clients = [await it.connect() for _ in shares]
        whole = [encode_request(f"slow{number}", "single_shot", longest_s) for number in range(len(shares))]
        for client, data in zip(clients, whole, strict=True):
            client.writer.write(data[:-9])
        stuck, silent = await it.connect(), await it.connect()
        stuck.writer.write(whole[0][:40])
        await asyncio.sleep(0.05)

        async def finish(number: int, share: float) -> None:
            client = clients[number]
            await asyncio.sleep(share * kill_after_s(longest_s))
            if client.reader.at_eof() or client.reader.exception() is not None:
                return  # closed before it was a request: nothing is owed
            client.writer.write(whole[number][-9:])
            await client.read_response(f"slow{number}")

        finishing = [asyncio.create_task(finish(number, share)) for number, share in enumerate(shares)]
        await it.terminate()
        await asyncio.gather(*finishing)
        with contextlib.suppress(ConnectionError):
            assert b" 200 " not in await stuck.reader.read()
        assert await silent.reader.read() == b""
        it.check(clients)


async def for_each_deadline(play: Callable[[float], Awaitable[None]]) -> None:
    """The same at each longest deadline, side by side; a failure names the deadline."""
    results = await asyncio.gather(*(play(longest_s) for longest_s in LONGEST_S), return_exceptions=True)
    failed = {
        longest_s: result for longest_s, result in zip(LONGEST_S, results, strict=True)
        if isinstance(result, BaseException)
    }  # fmt: skip
    assert not failed, "".join(f"\nat {longest_s} s: {error!r:.1500}" for longest_s, error in failed.items())


def test_what_is_taken_before_and_after_sigterm_is_answered_before_sigkill():
    asyncio.run(for_each_deadline(take_before_and_after))


def test_a_request_that_is_being_sent_at_sigterm_is_answered_once_its_last_byte_has_come():
    asyncio.run(for_each_deadline(send_slowly))


@pytest.mark.parametrize("how", ["ECONNABORTED", "ENFILE", "ENOBUFS", "EHOSTUNREACH"])
def test_an_accept_that_fails_from_sigterm_on_does_not_keep_the_process_from_its_end(how):
    """The loop over the backlog called accept again at once, for as long as it failed, and gave no turn away."""
    begin_s = 2.0  # after the sidecar's start

    async def main():
        begin_ns = time.monotonic_ns() + int(begin_s * SECOND)
        async with sidecar_with_hung_nodes(1.0, FaultSchedule((Fault("accept", how, begin_ns),))) as it:
            clients = [await it.connect() for _ in range(3)]
            await asyncio.sleep((begin_ns - time.monotonic_ns()) / SECOND)
            asked_at = time.monotonic()
            asked = [
                asyncio.create_task(client.exchange(f"r{number}", encode_request(f"r{number}", "free", 1.0)))
                for number, client in enumerate(clients)
            ]
            await asyncio.sleep(0.02)
            await it.terminate()
            await asyncio.gather(*asked)
            it.check(clients)
            assert max(client.answered_at for client in clients) < asked_at + 1.2, "at their deadline"

    asyncio.run(main())
