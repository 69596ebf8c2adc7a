"""The watch of the server list goes on whatever a call, an update or a change of the configuration does."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json

import pytest

from covetally.interface import ServerListUpdate
from covetally.net import discovery_call, discovery_schedule
from covetally.net.clock import Clock
from covetally.net.discovery import LATE_TIMER_S, Discovery
from covetally.net.discovery_call import PARSED_FACTOR
from tests.discovery.drawn_discovery import DrawnDiscovery
from tests.discovery.test_drawn_troubles import SERVERS, VirtualConnection
from tests.discovery.watching_sidecar import WatchingSidecar
from tests.loopback import ScriptedServer, response, wait_until
from tests.virtual_time import VirtualClock, run_in_virtual_time

KINDS = pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "polled"])
WATCH_S = discovery_schedule.LONG_POLL_MS / 1000
ENTRY_S = 0.2  # between the entries of a slow answer


def full_list(generation: int, *lifecycles: str) -> bytes:
    instances = [
        {"instanceId": f"s{number}", "hostPort": f"127.0.0.1:{9000 + number}", "lifecycle": lifecycle}
        for number, lifecycle in enumerate(lifecycles)
    ]
    return json.dumps({"generation": generation, "reset": True, "instances": instances}).encode()


@pytest.mark.parametrize("how", ["reset", "never ended"])
def test_entries_of_a_kept_answer_that_come_in_a_pause_do_not_end_the_watch(how):
    """A cut answer counted as an open watch, and discovery was never called again (review 9)."""

    async def main():
        state = {"crowded": False}
        calls_after: list[float] = []
        loop = asyncio.get_running_loop()

        async def answer_slowly(writer):
            state["crowded"] = True
            await asyncio.sleep(WATCH_S + 0.5)
            pieces = response(full_list(2, *["active"] * SERVERS)).split(b'{"instanceId"')
            writer.write(pieces[0])
            for piece in pieces[1:-1]:
                writer.write(b'{"instanceId"' + piece)
                await asyncio.sleep(ENTRY_S)
            if how == "reset":
                state["crowded"] = False
                writer.transport.abort()
            else:
                await asyncio.Event().wait()

        async def discover(server, got, reader, writer):
            number = len(server.requests)
            if number == 1:
                writer.write(response(full_list(1, *["active"] * SERVERS)))
            elif number == 2:
                await answer_slowly(writer)
            elif state["crowded"]:
                writer.write(response(b"", b"503 Busy"))
            else:
                calls_after.append(loop.time())
                writer.write(response(full_list(3, "leaving", *["active"] * (SERVERS - 1))))

        server = ScriptedServer(discover)
        await server.start()
        sidecar = WatchingSidecar(False, Clock(), server.address, SERVERS)
        async with asyncio.timeout(30.0):
            await wait_until(lambda: len(server.requests) > 2)
            (kept,) = sidecar.discovery._kept
            await wait_until(lambda: kept not in sidecar.discovery._kept)
            state["crowded"] = False
            ended = loop.time()
            async with asyncio.timeout(discovery_schedule.NOTIFIED_AFTER_SILENCE_S):
                await wait_until(lambda: calls_after and calls_after[-1] > ended and not sidecar.uses("s0"))
        sidecar.discovery.stop()
        server.stop()

    asyncio.run(main())


class VirtualWatch:
    """A sidecar that watches a discovery on a virtual clock, with a hook before each connection."""

    def __init__(self, monkeypatch, pushed: bool, trouble_end_s: float = 0.0, seed: int = 1) -> None:
        self.server = DrawnDiscovery(seed, 0.0, trouble_end_s)
        self.connect_errors_until_s = 0.0
        self.addresses: list[tuple[str, int]] = []
        monkeypatch.setattr(discovery_call.AsyncConnection, "connect", self._connect)
        self.sidecar = WatchingSidecar(pushed, VirtualClock(), ("127.0.0.1", 1), SERVERS, seed)
        self.discovery = self.sidecar.discovery

    async def _connect(self, address: tuple[str, int]) -> VirtualConnection:
        if self.server.now_s < self.connect_errors_until_s:
            raise OSError(errno.EMFILE, "no descriptors")
        self.addresses.append(address)
        return VirtualConnection(self.server)

    async def assert_notified(self, of: str = "s0") -> None:
        """A drain from now on is known in time."""
        self.server.set_lifecycle(of, "leaving")
        await asyncio.sleep(discovery_schedule.NOTIFIED_AFTER_SILENCE_S)
        assert not self.sidecar.uses(of)
        self.discovery.stop()


@KINDS
def test_a_list_that_cannot_be_applied_costs_that_list_and_not_the_watch(monkeypatch, pushed):
    """An exception while a list was applied left no call and no timer behind."""

    async def main():
        watch = VirtualWatch(monkeypatch, pushed, trouble_end_s=12.0)
        apply, failures = watch.discovery.on_update, []

        def fail_at_first(update):
            if watch.server.now_s < 12.0:
                failures.append(update)
                raise RuntimeError("cannot be applied")
            apply(update)

        watch.discovery.on_update = fail_at_first
        await asyncio.sleep(13.0)
        await watch.assert_notified()
        assert failures

    run_in_virtual_time(main())


@KINDS
def test_an_update_that_could_not_be_applied_is_made_up_for(monkeypatch, pushed):
    """Its changes were not asked for again, since its version counted as known."""

    async def main():
        watch = VirtualWatch(monkeypatch, pushed)
        await asyncio.sleep(3.0)
        apply = watch.discovery.on_update

        def fail_once(update):
            watch.discovery.on_update = apply
            raise RuntimeError("cannot be applied")

        watch.discovery.on_update = fail_once
        await watch.assert_notified()

    run_in_virtual_time(main())


@KINDS
def test_a_failing_balancer_does_not_end_the_watch(monkeypatch, pushed):
    """The balancer decides how long to pause; without its decision the next call is made all the same."""

    async def main():
        watch = VirtualWatch(monkeypatch, pushed, trouble_end_s=10.0)
        handle = watch.sidecar.sidecar._balancer.handle

        def fail_on_lists(now, event):
            if isinstance(event, ServerListUpdate) and watch.server.now_s < 10.0:
                raise ValueError("a bug")
            return handle(now, event)

        monkeypatch.setattr(watch.sidecar.sidecar._balancer, "handle", fail_on_lists)
        watch.server.restart_at_s = None
        await asyncio.sleep(10.0)
        await watch.assert_notified()

    run_in_virtual_time(main())


@KINDS
def test_connections_that_cannot_be_opened_do_not_end_the_watch(monkeypatch, pushed):
    """Idle clients may fill the descriptors while discovery is down."""

    async def main():
        watch = VirtualWatch(monkeypatch, pushed)
        watch.connect_errors_until_s = 8.0
        await asyncio.sleep(8.0)
        await watch.assert_notified()

    run_in_virtual_time(main())


@KINDS
def test_memory_that_refuses_lists_does_not_end_the_watch(monkeypatch, pushed):
    """Each list is refused after some of its entries, at the end of newest and of kept calls."""

    async def main():
        watch = VirtualWatch(monkeypatch, pushed, trouble_end_s=10.0)
        account = watch.discovery._memory
        size = account.size
        account.resize(1, 1)
        await asyncio.sleep(10.0)
        account.resize(size, size)
        await watch.assert_notified()
        assert account.used == 0

    run_in_virtual_time(main())


@pytest.mark.parametrize("body", [b'{"generation": 1, "instances": [{"instanceId": ', b"[" * 100_000])
def test_answers_that_are_no_lists_hold_neither_memory_nor_connections(body):
    """Each kept its connection and its share of the memory for good, until every list was refused."""

    async def main():
        ended = 0

        async def discover(server, got, reader, writer):
            writer.write(response(body))
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            nonlocal ended
            ended += 1

        server = ScriptedServer(discover)
        await server.start()
        sidecar = WatchingSidecar(True, Clock(), server.address, SERVERS)
        async with asyncio.timeout(10.0):
            await wait_until(lambda: len(server.requests) == 10)
            await wait_until(lambda: ended >= 9)
        assert sidecar.discovery._memory.used <= len(body) * PARSED_FACTOR
        sidecar.discovery.stop()
        server.stop()

    asyncio.run(main())


# --- changes of the address ------------------------------------------------------------------------


@KINDS
@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("moves", [("b",), ("b", "c", "d"), ("b", "a")])
def test_another_discovery_is_called_at_once_in_each_state(monkeypatch, pushed, seed, moves):
    """In a pause between failed calls, with kept calls open, several changes in a row, and back to the first."""

    async def main():
        watch = VirtualWatch(monkeypatch, pushed, trouble_end_s=8.0, seed=seed)
        addresses = {name: ("127.0.0.1", 1 + number) for number, name in enumerate("abcd")}
        await asyncio.sleep(0.35 * (seed + 1))
        for name in moves:
            watch.discovery.set_address(addresses[name])
        called_at_s = watch.server.now_s
        await asyncio.sleep(0.01)
        assert watch.addresses[-1] == addresses[moves[-1]]
        assert watch.server.call_times_s[-1] >= called_at_s
        await asyncio.sleep(8.0 - watch.server.now_s)
        await watch.assert_notified()

    run_in_virtual_time(main())


@KINDS
def test_a_stopped_watch_is_not_started_by_another_address(monkeypatch, pushed):
    async def main():
        watch = VirtualWatch(monkeypatch, pushed)
        await asyncio.sleep(3.0)
        watch.discovery.stop()
        calls = len(watch.server.call_times_s)
        watch.discovery.set_address(("127.0.0.1", 2))
        await asyncio.sleep(20.0)
        assert len(watch.server.call_times_s) == calls and not watch.discovery.watching
        watch.discovery.restart()
        await asyncio.sleep(1.0)
        assert watch.addresses[-1] == ("127.0.0.1", 2)
        await watch.assert_notified()

    run_in_virtual_time(main())


# --- the check at run time -------------------------------------------------------------------------


def lose_timer(discovery: Discovery) -> None:
    """Do what no code here does: cancel the timer of the present state."""
    discovery._watch.timer.cancel()


@KINDS
@pytest.mark.parametrize("trouble_end_s", [0.0, 12.0], ids=["in a call", "in trouble"])
def test_a_stalled_watch_is_reported_once_and_ended(monkeypatch, pushed, trouble_end_s):
    async def main():
        watch = VirtualWatch(monkeypatch, pushed, trouble_end_s)
        await asyncio.sleep(10.0)
        assert watch.discovery.check() == ""
        lose_timer(watch.discovery)
        found = [watch.discovery.check() for _ in range(4)]
        assert [bool(text) for text in found] == [False, True, False, False], found
        await asyncio.sleep(2.0)
        await watch.assert_notified()

    run_in_virtual_time(main())


@KINDS
def test_a_held_up_loop_is_no_stall(monkeypatch, pushed):
    """After a hold-up the check may run before the timers that are due."""

    async def main():
        watch = VirtualWatch(monkeypatch, pushed)
        loop = asyncio.get_running_loop()
        found = []
        for _ in range(30):
            await asyncio.sleep(0.37)
            loop._virtual.now += 3 * LATE_TIMER_S + WATCH_S
            found.append(watch.discovery.check())
        assert set(found) == {""}
        watch.discovery.stop()

    run_in_virtual_time(main())


@KINDS
@pytest.mark.parametrize("seed", range(20))
def test_no_stall_is_reported_in_drawn_troubles(monkeypatch, pushed, seed):
    async def main():
        watch = VirtualWatch(monkeypatch, pushed, trouble_end_s=12.0, seed=seed)
        for _ in range(200):
            await asyncio.sleep(0.1)
            assert watch.discovery.check() == ""
        watch.discovery.stop()

    run_in_virtual_time(main())
