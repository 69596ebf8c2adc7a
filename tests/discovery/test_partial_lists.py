"""Incomplete answers of several open calls: an older one never takes back what a newer one has brought."""

from __future__ import annotations

import asyncio

import pytest

from covetally.interface import ServerEntry
from covetally.net.clock import Clock
from covetally.net.partial_lists import ListOrigin, PartialLists
from covetally.net.server_list import ListUpdate
from tests.discovery.test_watch import full_list
from tests.discovery.watching_sidecar import WatchingSidecar
from tests.loopback import ScriptedServer, response, wait_until

ADDRESS = ("127.0.0.1", 1)


def listed(name: str, lifecycle: str = "up"):
    return ServerEntry(name, lifecycle=lifecycle), ADDRESS


@pytest.mark.parametrize("ending", ["cut", "whole"])
def test_an_older_answer_of_a_kept_call_does_not_take_a_drain_back(ending):
    """A slow answer from before a drain made the server active again after a later call had brought the drain."""

    async def main():
        states: list[tuple[str, bool]] = []
        newer_cut = asyncio.Event()
        older = response(full_list(5, "active", "active", "active"))
        newer = response(full_list(6, "leaving", "active", "active"))

        async def discover(server, got, reader, writer):
            number = len(server.requests)
            if number == 1:  # its answer is late, and has nothing of the drain
                await newer_cut.wait()
                await asyncio.sleep(0.1)
                writer.write(older if ending == "whole" else older[:-3])
                await asyncio.sleep(0.1)
                writer.close()
            elif number == 2:
                writer.write(newer[:-3])
                await writer.drain()
                writer.close()
                newer_cut.set()
            else:
                await asyncio.Event().wait()

        server = ScriptedServer(discover)
        await server.start()
        sidecar = WatchingSidecar(True, Clock(), server.address, 3)
        apply = sidecar.discovery.on_update

        def record(update):
            apply(update)
            states.append(("full" if update.full else "partial", sidecar.uses("s0")))

        sidecar.discovery.on_update = record
        async with asyncio.timeout(5.0):
            await wait_until(lambda: ("partial", False) in states)
            (kept,) = sidecar.discovery._kept
            await wait_until(lambda: kept not in sidecar.discovery._kept)
            await asyncio.sleep(0.05)
        sidecar.discovery.stop()
        server.stop()
        drained = states.index(("partial", False))
        assert not any(used for _, used in states[drained:]), states
        assert ending == "cut" or ("full", False) in states, "the older list is used for the other servers"

    asyncio.run(main())


def test_a_call_that_started_earlier_may_bring_a_higher_version():
    lists = PartialLists()
    assert lists.take_newer(ListOrigin(2.0, 5), [listed("a")])
    assert lists.take_newer(ListOrigin(1.0, 6), [listed("a", "draining")]) == [listed("a", "draining")]
    assert lists.take_newer(ListOrigin(2.0, 5), [listed("a")]) == [listed("a")], "the later call is not older"


def test_versions_that_begin_anew_are_used():
    lists = PartialLists()
    lists.take_newer(ListOrigin(1.0, 900), [listed("a", "draining")])
    assert lists.take_newer(ListOrigin(2.0, 3), [listed("a")]) == [listed("a")]
    update = ListUpdate(4, True, [listed("a", "draining")])
    assert lists.complete(ListOrigin(3.0, 4), update) == update


def test_entries_without_a_version_are_ordered_by_the_start_of_their_calls():
    lists = PartialLists()
    lists.take_newer(ListOrigin(2.0, None), [listed("a", "draining")])
    assert lists.take_newer(ListOrigin(1.0, 7), [listed("a")]) == []
    assert lists.take_newer(ListOrigin(1.0, None), [listed("a"), listed("b")]) == [listed("b")]


def test_a_complete_answer_takes_over_newer_entries_and_ends_older_ones():
    lists = PartialLists()
    lists.take_newer(ListOrigin(2.0, 6), [listed("a", "draining"), listed("c")])
    whole = lists.complete(ListOrigin(1.0, 5), ListUpdate(5, True, [listed("a"), listed("b")]))
    assert whole == ListUpdate(5, True, [listed("a", "draining"), listed("b"), listed("c")])
    changes = lists.complete(ListOrigin(1.0, 5), ListUpdate(5, False, [listed("b")]))
    assert changes == ListUpdate(5, False, [listed("b")])
    later = ListUpdate(6, True, [listed("a")])
    assert lists.complete(ListOrigin(3.0, 6), later) == later
    assert lists.complete(ListOrigin(1.0, 5), later) == later, "nothing is left"
