"""The Eureka source over sockets, against the test registry with each of its faults."""

from __future__ import annotations

import asyncio

import pytest

from covetally.membership.http import HttpClient
from covetally.membership.membership_view import MembershipView
from covetally.membership.model import LEAVING, UP, ViewConfig
from covetally.operator.url import Url, split_url
from covetally.rig.eureka import instance
from tests.loopback import response
from tests.membership.registry_harness import followed_registry, node, run


@pytest.mark.parametrize("scope", ["app", "vip", "all"])
@pytest.mark.parametrize("format", ["json", "xml"])
@pytest.mark.parametrize("count", [1, 4])
def test_all_nodes_are_read_in_every_format_and_scope(scope, format, count):
    async def main():
        async with followed_registry(count) as harness:
            harness.registry.fill(3)
            harness.follow(scope=scope, format=format)
            snapshot = await harness.next_snapshot()
            assert sorted(snapshot.members) == [f"n{i}" for i in range(count)] and snapshot.complete
            assert all(m.state == UP and m.started_ns > 0 for m in snapshot.members.values())

    run(main)


@pytest.mark.parametrize("scope", ["app", "vip", "all"])
def test_overrides_removals_and_additions_are_followed(scope):
    async def main():
        async with followed_registry(4) as harness:
            harness.follow(scope=scope)
            await harness.next_snapshot()
            registry, key = harness.registry, ("LEDGER", "n1")
            registry.change(lambda peer: peer.mark(key, "OUT_OF_SERVICE"))
            snapshot = await harness.next_snapshot(lambda snapshot: snapshot.members["n1"].state == LEAVING)
            assert snapshot.members["n1"].source_state == "OUT_OF_SERVICE"
            registry.change(lambda peer: peer.unmark(key))
            await harness.next_snapshot(lambda snapshot: snapshot.members["n1"].state == UP)
            registry.change(lambda peer: peer.cancel(key))
            await harness.next_snapshot(lambda snapshot: "n1" not in snapshot.members)
            registry.change(lambda peer: peer.register(node(9)))
            await harness.next_snapshot(lambda snapshot: "n9" in snapshot.members)
            if scope == "all":
                assert harness.client.counts["full"] == 1 and harness.client.counts["delta"] > 3
            for i in (0, 2, 3, 9):
                registry.change(lambda peer, i=i: peer.cancel(("LEDGER", f"n{i}")))
            snapshot = await harness.next_snapshot(lambda snapshot: not snapshot.members)
            assert snapshot.complete, "a name without instances is an empty list, not a failure"

    run(main)


@pytest.mark.parametrize("how", ["lost", "twice", "reversed"])
def test_lost_reordered_or_repeated_deltas_end_in_the_correct_list(how):
    async def main():
        async with followed_registry(4) as harness:
            harness.follow(scope="all")
            await harness.next_snapshot()
            harness.fault(delta=how)
            registry, key = harness.registry, ("LEDGER", "n1")
            for step in range(6):
                registry.change(lambda peer, s=step: peer.unmark(key) if s % 2 else peer.mark(key, "DOWN"))
            registry.change(lambda peer: peer.cancel(("LEDGER", "n2")))
            snapshot = await harness.next_snapshot(lambda snapshot: "n2" not in snapshot.members)
            assert snapshot.members["n1"].state == UP and sorted(snapshot.members) == ["n0", "n1", "n3"]
            assert (harness.client.counts["full"] > 1) == (how == "lost")

    run(main)


def test_a_wrong_hash_forces_full_reads_and_equal_reads_in_a_row_are_accepted():
    async def main():
        async with followed_registry(4) as harness:
            harness.follow(scope="all")
            await harness.next_snapshot()
            harness.fault(hash="UP_99_")
            assert not (await harness.next_snapshot(lambda snapshot: not snapshot.complete)).complete
            snapshot = await harness.next_snapshot(lambda snapshot: snapshot.complete)
            assert len(snapshot.members) == 4 and harness.client.counts["misfits"] >= 3
            harness.fault(hash="UP_4_", only=["n1"], reads=2)
            assert not (await harness.next_snapshot(lambda snapshot: len(snapshot.members) == 1)).complete
            assert len((await harness.next_snapshot(lambda snapshot: snapshot.complete)).members) == 4

    run(main)


def test_full_reads_are_used_where_deltas_are_disabled():
    async def main():
        async with followed_registry(2) as harness:
            client = harness.follow(scope="all")
            await harness.next_snapshot()
            harness.fault(delta="off")
            for _ in range(3):
                assert (await harness.next_snapshot()).complete
            assert client.counts["full"] >= 3 and client.counts["failures"] == 0

    run(main)


@pytest.mark.parametrize(
    ("fault", "message"),
    [
        ({"status": 503}, "503"),
        ({"silent": True}, "TimeoutError"),
        ({"slow": 200}, "TimeoutError"),
        ({"truncate": 0.6}, "Malformed"),
        ({"body": "<html>not this</html>"}, "InvalidAnswer"),
        ({"body": '{"applications": {"application": [{"name"'}, "InvalidAnswer"),
        ({"redirect": "http://ledger.example.org/eureka/apps"}, "redirected"),
        ({"redirect": "/eureka/apps"}, "more than 3"),
    ],
)
def test_a_failing_peer_is_replaced_by_the_next_until_it_recovers(fault, message, caplog):
    async def main():
        async with followed_registry(4, peers=2) as harness:
            client = harness.follow(timeout_s=0.3)
            first = await harness.next_snapshot()
            assert first.endpoint == harness.urls[0]
            harness.fault(**fault)
            snapshot = await harness.next_snapshot(lambda snapshot: snapshot.endpoint == harness.urls[1])
            assert snapshot.complete and len(snapshot.members) == 4
            assert client.counts["failures"] >= 1
            harness.fault()
            await harness.next_snapshot(lambda snapshot: snapshot.endpoint == harness.urls[0])
            assert client.table()["failing"] == ""
            caplog.clear()
            harness.fault(1, status=500)
            harness.fault(**fault)
            # The table names the last failure, which may be the other peer's a moment later; the log has both.
            while not any(harness.urls[0] in line and message in line for line in caplog.messages):
                await asyncio.sleep(0.01)
            assert client.table()["failing"].startswith(tuple(harness.urls))

    run(main)


def test_a_truncated_answer_applies_what_it_lists_and_removes_nothing():
    async def main():
        async with followed_registry(40) as harness:
            harness.follow(timeout_s=0.5)
            first = await harness.next_snapshot()
            view = MembershipView(ViewConfig(), 1)
            view.apply_snapshot(1, first)
            harness.registry.change(lambda peer: peer.mark(("LEDGER", "n0"), "OUT_OF_SERVICE"))
            harness.fault(truncate=0.7)
            part = await harness.next_snapshot(lambda snapshot: not snapshot.complete)
            assert 0 < len(part.members) < 40 and part.members["n0"].state == LEAVING
            updates = view.apply_snapshot(2, part)
            assert [t.lifecycle for t in updates] == ["draining"] and len(view.nodes) == 40

    run(main)


def test_credentials_are_not_sent_to_a_redirect_to_another_origin():
    async def main():
        async with followed_registry(2, peers=2, user="u:p") as harness:
            harness.fault(redirect=f"{harness.urls[1]}/apps/LEDGER")
            client = harness.follow(authorization=b"Basic dTpw")
            snapshot = await harness.next_snapshot()
            assert snapshot.endpoint == harness.urls[1], (
                "the other origin was asked without credentials and answered 401"
            )
            assert client.counts["failures"] >= 1

    run(main)


def test_a_redirect_within_one_origin_is_followed():
    async def main():
        async with followed_registry(2) as harness:
            harness.fault(redirect="/eureka/v2/apps/LEDGER", reads=1)
            harness.follow()
            assert len((await harness.next_snapshot()).members) == 2 and harness.client.counts["failures"] == 0

    run(main)


def test_invalid_instances_are_named_and_valid_ones_are_used():
    async def main():
        async with followed_registry(3) as harness:
            harness.fault(
                junk=[
                    instance("LEDGER", "noport", "127.0.0.1", 0),
                    instance("LEDGER", "name", "ledger.example.org", 80),
                    instance("LEDGER", "", "", 80),
                    instance("LEDGER", "six", "::1", 80),
                    {"app": "LEDGER"},
                ]
            )
            harness.follow()
            snapshot = await harness.next_snapshot()
            assert sorted(snapshot.members) == ["n0", "n1", "n2", "six"]
            assert sorted(snapshot.invalid) == ["name", "noport"] and snapshot.complete
            assert len(harness.client.table()["nameless"]) == 2

    run(main)


def test_an_answer_over_the_size_limit_is_not_read_to_its_end():
    async def main():
        async with followed_registry(200) as harness:
            client = harness.follow(max_bytes=50_000)
            part = await harness.next_snapshot()
            assert not part.complete and 0 < len(part.members) < 200
            assert client.counts["bytes"] < 200_000 and "over 50000" in client.table()["failing"]

    run(main)


def test_the_other_address_is_read_when_peers_disagree():
    async def main():
        async with followed_registry(4, peers=2) as harness:
            for i in (2, 3):
                harness.registry.change(lambda peer, i=i: peer.cancel(("LEDGER", f"n{i}")), 0, alone=True)
            client = harness.follow()
            snapshot = await harness.next_snapshot()
            assert sorted(snapshot.members) == ["n0", "n1"]
            other = await client.read_other_address(snapshot.endpoint)
            assert other is not None and other.endpoint == harness.urls[1] and len(other.members) == 4
            harness.fault(1, status=500)
            assert await client.read_other_address(snapshot.endpoint) is None

    run(main)


def test_a_late_copy_of_an_answer_is_not_read_as_the_answer_to_the_next_call():
    async def answer_twice(reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            copy = response(head.split()[1])
            writer.write(copy)
            asyncio.get_running_loop().call_later(0.01, writer.write, copy)

    async def read(client: HttpClient, url: Url, path: str) -> bytes:
        return b"".join([chunk async for chunk in (await client.call("GET", url, path)).body()])

    async def main():
        server = await asyncio.start_server(answer_twice, "127.0.0.1", 0)
        url = split_url(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")
        client = HttpClient(1000)
        for path in ("/one", "/two", "/three"):
            assert await read(client, url, path) == path.encode()
        assert client.connections == 3, "none was free of surplus bytes"
        await client.close()
        server.close()

    asyncio.run(main())


def test_one_connection_is_reused_for_many_reads():
    async def main():
        async with followed_registry(2) as harness:
            client = harness.follow()
            for _ in range(10):
                await harness.next_snapshot()
            counts = client.table()["counts"]
            assert counts["connections"] == 1 and counts["calls"] >= 10

    run(main)
