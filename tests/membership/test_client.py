"""The client over sockets, against the stand-in with every fault that it has."""

from __future__ import annotations

import asyncio

import pytest

from covetally.membership.membership_view import Believer
from covetally.membership.model import LEAVING, UP, Rule
from covetally.rig.eureka import instance
from tests.membership.registry_harness import followed, node, run


@pytest.mark.parametrize("by", ["app", "vip", "all"])
@pytest.mark.parametrize("form", ["json", "xml"])
@pytest.mark.parametrize("count", [1, 4])
def test_all_nodes_in_every_form(by, form, count):
    async def main():
        async with followed(count) as here:
            here.registry.fill(3)
            here.follow(by=by, form=form)
            read = await here.read()
            assert sorted(read.members) == [f"n{i}" for i in range(count)] and read.clean
            assert all(m.state == UP and m.started_ns > 0 for m in read.members.values())

    run(main)


@pytest.mark.parametrize("by", ["app", "vip", "all"])
def test_marks_removals_and_additions_are_followed(by):
    async def main():
        async with followed(4) as here:
            here.follow(by=by)
            await here.read()
            registry, key = here.registry, ("LEDGER", "n1")
            registry.change(lambda peer: peer.mark(key, "OUT_OF_SERVICE"))
            read = await here.read(lambda r: r.members["n1"].state == LEAVING)
            assert read.members["n1"].word == "OUT_OF_SERVICE"
            registry.change(lambda peer: peer.unmark(key))
            await here.read(lambda r: r.members["n1"].state == UP)
            registry.change(lambda peer: peer.cancel(key))
            await here.read(lambda r: "n1" not in r.members)
            registry.change(lambda peer: peer.register(node(9)))
            await here.read(lambda r: "n9" in r.members)
            if by == "all":
                assert here.client.counts["full"] == 1 and here.client.counts["delta"] > 3
            for i in (0, 2, 3, 9):
                registry.change(lambda peer, i=i: peer.cancel(("LEDGER", f"n{i}")))
            read = await here.read(lambda r: not r.members)
            assert read.clean, "a name that nobody has is an empty list, not a failure"

    run(main)


@pytest.mark.parametrize("how", ["lost", "twice", "reversed"])
def test_a_delta_that_is_lost_reordered_or_there_twice_ends_at_the_truth(how):
    async def main():
        async with followed(4) as here:
            here.follow(by="all")
            await here.read()
            here.fault(delta=how)
            registry, key = here.registry, ("LEDGER", "n1")
            for step in range(6):
                registry.change(lambda peer, s=step: peer.unmark(key) if s % 2 else peer.mark(key, "DOWN"))
            registry.change(lambda peer: peer.cancel(("LEDGER", "n2")))
            read = await here.read(lambda r: "n2" not in r.members)
            assert read.members["n1"].state == UP and sorted(read.members) == ["n0", "n1", "n3"]
            assert (here.client.counts["full"] > 1) == (how == "lost")

    run(main)


def test_a_wrong_hash_forces_full_reads_and_is_overruled_by_what_stays():
    async def main():
        async with followed(4) as here:
            here.follow(by="all")
            await here.read()
            here.fault(hash="UP_99_")
            assert not (await here.read(lambda r: not r.clean)).clean
            read = await here.read(lambda r: r.clean)
            assert len(read.members) == 4 and here.client.counts["misfits"] >= 3
            here.fault(hash="UP_4_", only=["n1"], reads=2)
            assert not (await here.read(lambda r: len(r.members) == 1)).clean
            assert len((await here.read(lambda r: r.clean)).members) == 4

    run(main)


def test_where_deltas_are_switched_off_all_is_read():
    async def main():
        async with followed(2) as here:
            client = here.follow(by="all")
            await here.read()
            here.fault(delta="off")
            for _ in range(3):
                assert (await here.read()).clean
            assert client.counts["full"] >= 3 and client.counts["failures"] == 0

    run(main)


@pytest.mark.parametrize(
    ("fault", "says"),
    [
        ({"status": 503}, "503"),
        ({"silent": True}, "TimeoutError"),
        ({"slow": 200}, "TimeoutError"),
        ({"truncate": 0.6}, "Malformed"),
        ({"body": "<html>not this</html>"}, "Damaged"),
        ({"body": '{"applications": {"application": [{"name"'}, "Damaged"),
        ({"redirect": "http://ledger.example.org/eureka/apps"}, "redirected"),
        ({"redirect": "/eureka/apps"}, "more than 3"),
    ],
)
def test_a_peer_in_trouble_is_left_for_the_next_and_returned_to(fault, says):
    async def main():
        async with followed(4, peers=2) as here:
            client = here.follow(timeout_s=0.3)
            first = await here.read()
            assert first.teller == here.urls[0]
            here.fault(**fault)
            read = await here.read(lambda r: r.teller == here.urls[1])
            assert read.clean and len(read.members) == 4
            assert client.counts["failures"] >= 1
            here.fault()
            await here.read(lambda r: r.teller == here.urls[0])
            assert client.table()["failing"] == ""
            here.fault(1, status=500)
            here.fault(**fault)
            while says not in client.table()["failing"]:
                await asyncio.sleep(0.01)

    run(main)


def test_what_came_ahead_of_a_cut_is_told_and_nothing_is_missed_by_it():
    async def main():
        async with followed(40) as here:
            here.follow(timeout_s=0.5)
            first = await here.read()
            believer = Believer(Rule(), 1)
            believer.read(1, first)
            here.registry.change(lambda peer: peer.mark(("LEDGER", "n0"), "OUT_OF_SERVICE"))
            here.fault(truncate=0.7)
            part = await here.read(lambda r: not r.clean)
            assert 0 < len(part.members) < 40 and part.members["n0"].state == LEAVING
            told = believer.read(2, part)
            assert [t.lifecycle for t in told] == ["draining"] and len(believer.nodes) == 40

    run(main)


def test_redirects_are_followed_and_credentials_stay_where_they_belong():
    async def main():
        async with followed(2, peers=2, user="u:p") as here:
            here.fault(redirect=f"{here.urls[1]}/apps/LEDGER")
            client = here.follow(authorization=b"Basic dTpw")
            read = await here.read()
            assert read.teller == here.urls[1], "the other place was asked without them and said 401"
            assert client.counts["failures"] >= 1

    run(main)


def test_a_redirect_within_one_place_is_followed():
    async def main():
        async with followed(2) as here:
            here.fault(redirect="/eureka/v2/apps/LEDGER", reads=1)
            here.follow()
            assert len((await here.read()).members) == 2 and here.client.counts["failures"] == 0

    run(main)


def test_bad_entries_among_good_ones_are_named_and_the_good_ones_count():
    async def main():
        async with followed(3) as here:
            here.fault(
                junk=[
                    instance("LEDGER", "noport", "127.0.0.1", 0),
                    instance("LEDGER", "name", "ledger.example.org", 80),
                    instance("LEDGER", "", "", 80),
                    instance("LEDGER", "six", "::1", 80),
                    {"app": "LEDGER"},
                ]
            )
            here.follow()
            read = await here.read()
            assert sorted(read.members) == ["n0", "n1", "n2", "six"]
            assert sorted(read.bad) == ["name", "noport"] and read.clean
            assert len(here.client.table()["nameless"]) == 2

    run(main)


def test_an_answer_past_its_bound_is_not_read_to_its_end():
    async def main():
        async with followed(200) as here:
            client = here.follow(most=50_000)
            part = await here.read()
            assert not part.clean and 0 < len(part.members) < 200
            assert client.counts["bytes"] < 200_000 and "over 50000" in client.table()["failing"]

    run(main)


def test_two_peers_that_disagree_and_the_second_asked_as_a_witness():
    async def main():
        async with followed(4, peers=2) as here:
            for i in (2, 3):
                here.registry.change(lambda peer, i=i: peer.cancel(("LEDGER", f"n{i}")), 0, alone=True)
            client = here.follow()
            read = await here.read()
            assert sorted(read.members) == ["n0", "n1"]
            other = await client.witness(read.teller)
            assert other is not None and other.teller == here.urls[1] and len(other.members) == 4
            here.fault(1, status=500)
            assert await client.witness(read.teller) is None

    run(main)


def test_one_connection_is_kept_for_many_reads():
    async def main():
        async with followed(2) as here:
            client = here.follow()
            for _ in range(10):
                await here.read()
            counts = client.table()["counts"]
            assert counts["connections"] == 1 and counts["calls"] >= 10

    run(main)
