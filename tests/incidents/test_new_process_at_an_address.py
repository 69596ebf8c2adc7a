"""A new server at the address of one that has died is not taken for it, though the list does not tell yet.

Keyed requests that may have run are repeated only within a group of servers, here a cell: the new server is of
another one.
"""

from __future__ import annotations

import asyncio

import pytest

from covetally.interface import AttemptStatus, ServerEntry, ServerListUpdate
from covetally.net.server import DOUBT_S
from tests.loopback import ScriptedServer, request, respond_ok, sidecar_harness, wait_until
from tests.support import MS, BalancerHarness, request_class

KEYED = "Idempotency-Key: k\r\n"
CELLED = request_class("celled", "guarded", group="cell", windowNs=900 * MS)
CLASSES = {"classes": [request_class("look", "free"), CELLED]}


async def reset(server, received, reader, writer):
    writer.transport.abort()


def listed(harness, *names: str, scope: str = "FULL", cell: int = 0, started_ns: int = 0) -> None:
    """Tell the sidecar of these servers."""
    entries = [
        (ServerEntry(name, cell=cell, started_ns=started_ns), harness.servers[name].address) for name in names
    ]
    harness.upstream.update(entries, scope == "FULL")
    harness.sidecar.update_servers(ServerListUpdate(scope, tuple(entry for entry, _ in entries)))


async def replace(harness, name: str, script, refused: bool = False) -> ScriptedServer:
    """End a server, and start another one at its address."""
    old = harness.servers[name]
    old.stop()
    await old._server.wait_closed()
    await wait_until(lambda: not harness.upstream._servers[name].idle)
    if refused:
        await harness.status(request("refused", cls="celled", more=KEYED))
    new = ScriptedServer(script)
    new._server = await asyncio.start_server(new._serve, *old.address)
    new.address = old.address
    return new


def ids(server: ScriptedServer) -> set[bytes]:
    """The ids of the requests that a server has got."""
    lines = (line for received in server.requests for line in received.split(b"\r\n"))
    return {line.partition(b": ")[2] for line in lines if line.lower().startswith(b"x-trace-id")}


def ask(number: int) -> bytes:
    return request(f"k{number}", cls="celled", more=KEYED)


async def warm_up(harness) -> None:
    """Let the sidecar open a connection to each server."""
    while not all(server.requests for server in harness.servers.values()):
        await harness.status(request(f"w{len(harness.servers['s0'].requests)}-{harness.sidecar._accepted}"))


@pytest.mark.parametrize("new_script, old_script", [(respond_ok, reset), (reset, respond_ok)])
def test_a_keyed_request_does_not_run_at_a_cells_server_and_at_a_new_one(new_script, old_script):
    """What was connected after the end of the old process was taken for it."""

    async def main():
        async with sidecar_harness(respond_ok, respond_ok, more=CLASSES) as harness:
            await warm_up(harness)
            new = await replace(harness, "s0", new_script)
            harness.servers["s1"].script = old_script
            for first in range(0, 30, 3):
                await asyncio.gather(*(harness.status(ask(first + number)) for number in range(3)))
            both = ids(new) & ids(harness.servers["s1"])
            assert not [name for name in both if name.startswith(b"k")]
            assert ids(new if new_script is reset else harness.servers["s1"])
            new.stop()

    asyncio.run(main())


def test_a_new_process_that_the_list_names_is_used_like_any_other():
    async def main():
        async with sidecar_harness(respond_ok, reset, more=CLASSES) as harness:
            harness.servers["s1"].script = respond_ok
            await warm_up(harness)
            new = await replace(harness, "s0", respond_ok)
            harness.servers["s1"].script = reset
            server = harness.upstream._servers["s0"]
            assert server.doubted(harness.upstream.loop.time())
            listed(harness, "s0", scope="INCREMENTAL", started_ns=1)
            assert not server.doubted(harness.upstream.loop.time())
            statuses = [await harness.status(ask(number)) for number in range(10)]
            assert 200 in statuses and ids(new)
            new.stop()

    asyncio.run(main())


def test_a_connection_that_ends_beside_others_is_no_sign_of_a_new_process():
    async def main():
        async with sidecar_harness(respond_ok, more=CLASSES) as harness:
            await asyncio.gather(*(harness.status(request(f"a{number}")) for number in range(6)))
            server, now = harness.upstream._servers["s0"], harness.upstream.loop.time()
            first, *others = list(server.established)
            assert others
            server.on_ended(first, now)
            assert not server.doubted(now)
            for connection in others:
                server.on_ended(connection, now)
            assert server.doubted(now) and not server.doubted(now + DOUBT_S)
            assert server.confirmed(first, now + 1.0), "it was made before"

    asyncio.run(main())


def test_the_policy_does_not_repeat_what_an_unconfirmed_server_may_have_executed():
    for unconfirmed in (False, True):
        harness = BalancerHarness(servers=4)
        tid = harness.accept(cls=4)
        harness.answer(tid, 0, AttemptStatus.RESET, unconfirmed=unconfirmed)
        assert len(harness.sends(tid)) == (1 if unconfirmed else 2)
