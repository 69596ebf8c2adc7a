"""The stand-ins do what they are told, over real sockets, so that what a test brings about really happens."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
from contextlib import asynccontextmanager

import pytest

from covetally.rig.datagrams import Datagrams
from covetally.rig.discovery import Discovery
from covetally.rig.load import Load, Plan
from covetally.rig.node import Node, Spec, spec_from
from covetally.rig.relay import Fault, Relay
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.wire import WireError, request, take_message
from covetally.rig.world import Shape, World

WAIT_S = 20.0


def run(main) -> None:
    async def timed():
        async with asyncio.timeout(WAIT_S):
            await main()

    asyncio.run(timed())


def ask(name: str = "r", cls: str = "look", key: str = "", expires: str = "2") -> bytes:
    headers = {"Host": "x", "X-Trace-Id": name, "X-Qos": cls, "X-Expires-In": expires}
    if key:
        headers["Idempotency-Key"] = key
    return request("POST" if key else "GET", "/api?sid=k", headers)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].split()[0])
    return int(head.split()[1]), await reader.readexactly(length)


@asynccontextmanager
async def node(**changes):
    rows = []
    spec = Spec(**({"name": "n", "work_ms": {"look": 5.0, "book": 5.0}, "keyed": ("book",)} | changes))
    here = Node(spec, rows.append)
    port = await here.start()
    try:
        yield here, port, rows
    finally:
        here.stop()


def test_a_node_serves_and_tells_each_attempt():
    async def main():
        async with node() as (_, port, rows):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(ask("r1"))
            status, body = await read_answer(reader)
            assert (status, json.loads(body)) == (200, {"node": "n", "for": "r1"})
            assert [row[0] for row in rows] == ["arrived", "ran"]
            assert rows[0][2] <= rows[0][3] <= rows[1][2]
            writer.close()

    run(main)


def test_a_keyed_repeat_is_dropped_within_its_window_and_runs_after_it():
    async def main():
        async with node(window_ms=200) as (_, port, rows):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for name in ("r1", "r2"):
                writer.write(ask(name, "book", "k1"))
                assert (await read_answer(reader))[0] == 200
            assert ["dropped", "r2"] in [row[:2] for row in rows]
            await asyncio.sleep(0.25)
            writer.write(ask("r3", "book", "k1"))
            await read_answer(reader)
            assert ["dropped", "r3"] not in [row[:2] for row in rows]
            writer.close()

    run(main)


@pytest.mark.parametrize(
    "mood, first",
    [
        ({"fail_fast": 1.0}, b"HTTP/1.1 500"),
        ({"draining": True}, b"HTTP/1.1 503"),
        ({"spoil": 1.0}, b"\x00\xffHTTP nonse"),
        ({"reset": 1.0}, b""),
        ({"stall": 1.0}, None),
        ({"deaf": True}, None),
    ],
)
def test_a_node_s_moods_are_seen_on_the_wire(mood, first):
    async def main():
        async with node(mood=mood) as (_, port, rows):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(ask())
            try:
                got = await asyncio.wait_for(reader.read(12), 0.3)
            except TimeoutError:
                got = None
            except ConnectionError:
                got = b""
            assert got == first
            declined = [row[0] for row in rows if row[0] == "declined"]
            assert declined == (["declined"] if "draining" in mood else [])
            writer.close()

    run(main)


def test_half_an_answer_and_then_nothing():
    async def main():
        async with node(mood={"stall_mid": 1.0}) as (_, port, _rows):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(ask())
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(read_answer(reader), 0.3)
            writer.close()

    run(main)


def test_a_full_queue_and_a_time_that_is_over_are_declined():
    async def main():
        async with node(slots=1, queue=1, work_ms={"look": 150.0}, spread=0.0) as (_, port, rows):
            pairs = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
            for i, (_, writer) in enumerate(pairs):
                writer.write(ask(f"r{i}", expires="0.05" if i == 1 else "2"))
                while len([row for row in rows if row[0] == "arrived"]) <= i:
                    await asyncio.sleep(0.005)
            assert (await read_answer(pairs[2][0]))[0] == 503, "the queue is full"
            assert (await read_answer(pairs[0][0]))[0] == 200
            assert (await read_answer(pairs[1][0]))[0] == 503, "its time was over in the queue"
            for _, writer in pairs:
                writer.close()

    run(main)


def test_a_cold_node_is_slow():
    async def main():
        async with node(cold_ms=60_000, cold_from=0.1) as (here, _, _rows):
            assert here.warmth() < 0.12

    run(main)


def test_a_spec_with_a_key_that_does_not_exist_is_refused():
    with pytest.raises(TypeError, match="slotz"):
        spec_from({"name": "n", "work_ms": {}, "slotz": 3})


@pytest.mark.parametrize(
    "text",
    [
        b"\r\n\r\n",
        b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"x" * 70_000,
    ],
)
def test_what_is_no_message_is_an_error(text):
    with pytest.raises(WireError):
        take_message(bytearray(text), 0)


def test_a_chunked_message_is_read_in_any_cut():
    text = b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\nrest"
    for cut in range(len(text) - 4):
        buffer = bytearray(text[:cut])
        got = take_message(buffer, 0)
        if got is None:
            buffer += text[cut:]
            got = take_message(buffer, 0)
        else:
            buffer += text[cut:]
        assert got is not None and got.body == b"abcde"
        assert buffer == b"rest"


async def _discovery_call(address, query: str = "") -> dict:
    reader, writer = await asyncio.open_connection("127.0.0.1", address)
    writer.write(request("GET", "/catalog/members" + query, {"Host": "x"}))
    body = (await read_answer(reader))[1]
    writer.close()
    return json.loads(body)


def test_discovery_gives_the_list_and_then_what_changes_and_tells_when():
    async def main():
        rows = []
        discovery = Discovery(rows.append)
        port = await discovery.listen("a0")
        discovery.set({"instanceId": "n0", "hostPort": "127.0.0.1:1", "lifecycle": "active"})
        first = await _discovery_call(port)
        assert first["reset"] and [e["instanceId"] for e in first["instances"]] == ["n0"]
        watch = asyncio.create_task(_discovery_call(port, f"?index={first['generation']}&wait=5000"))
        await asyncio.sleep(0.05)
        assert not watch.done()
        discovery.set({"instanceId": "n0", "lifecycle": "leaving"})
        second = await watch
        assert not second["reset"] and second["instances"][0]["lifecycle"] == "leaving"
        discovery.remove("n0")
        third = await _discovery_call(port, f"?index={second['generation']}&wait=5000")
        assert third["instances"][0]["lifecycle"] == "left"
        empty = await _discovery_call(port, f"?index={third['generation']}&wait=10")
        assert empty["instances"] == []
        assert [row[:2] for row in rows] == [["told", "a0"]] * 4
        assert [row[3] for row in rows] == [
            [["n0", "active", 0]], [["n0", "leaving", 0]], [["n0", "left", 0]], [],
        ]  # fmt: skip

    run(main)


@asynccontextmanager
async def relayed():
    """An echo server behind a relay."""

    async def echo(reader, writer):
        try:
            while data := await reader.read(1024):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    relay = Relay(server.sockets[0].getsockname()[:2])
    await relay.start()
    reader, writer = await asyncio.open_connection(*relay.address)
    writer.write(b"one")
    assert await reader.readexactly(3) == b"one"
    try:
        yield relay, reader, writer
    finally:
        writer.close()
        await relay.stop()
        server.close()


async def _quiet(reader, seconds: float = 0.15) -> bool:
    try:
        await asyncio.wait_for(reader.read(1), seconds)
    except TimeoutError:
        return True
    return False


def test_a_relay_cuts_stalls_delays_loses_and_closes_half():
    async def main():
        loop = asyncio.get_running_loop()
        async with relayed() as (relay, reader, writer):
            relay.set(Fault.STALL)
            writer.write(b"two")
            assert await _quiet(reader)
            relay.set(Fault.DELAY, 0.1)
            assert await reader.readexactly(3) == b"two", "what was stalled goes on"
            start = loop.time()
            writer.write(b"three")
            assert await reader.readexactly(5) == b"three"
            assert loop.time() - start > 0.15, "a tenth of a second each way"
            relay.set(Fault.BLACK_HOLE)
            writer.write(b"lost")
            assert await _quiet(reader)
            relay.set(Fault.NONE)
            writer.write(b"here")
            assert await reader.readexactly(4) == b"here", "what was lost stays lost"
            relay.set(Fault.HALF_CLOSE)
            assert await reader.read() == b""
        async with relayed() as (relay, reader, writer):
            relay.set(Fault.CUT)
            with pytest.raises(ConnectionError):
                await reader.readexactly(1)
        async with relayed() as (relay, reader, writer):
            relay.cut_after = 5
            writer.write(b"abcdefgh")
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)) as cut:
                await reader.readexactly(8)
            if isinstance(cut.value, asyncio.IncompleteReadError):
                assert cut.value.partial == b"ab"

    run(main)


def test_the_schedule_is_drawn_ahead_and_the_same_each_time():
    plan = Plan(LOAD_CLASSES, TENANTS, ("a0", "a1"), rate=200, seconds=5, seed=4)
    schedule = plan.draw()
    assert schedule == plan.draw()
    assert 800 < len(schedule) < 1200
    assert {p.cls.name for p in schedule} == {c.name for c in LOAD_CLASSES}
    assert {p.instance for p in schedule} == {"a0", "a1"}
    assert all(a.at_s < b.at_s for a, b in zip(schedule, schedule[1:], strict=False))


def test_a_world_in_trouble_keeps_the_rules_and_every_request_has_its_answer():
    """The whole of it as processes: a node dies and comes back cold, one drains, one fails fast."""

    async def main():
        async with World(Shape(nodes=4, instances=2, cold_ms=3000)) as world:
            await world.start_instances()
            plan = Plan(LOAD_CLASSES, TENANTS, tuple(world.instances), rate=100, seconds=5, seed=3)
            load = Load(world.account, {n: i.address for n, i in world.instances.items()}, plan, world.alive)
            played = asyncio.create_task(load.play(plan.draw()))
            await asyncio.sleep(0.8)
            await world.kill_node("n0")
            world.lifecycle("n1", "leaving")
            await asyncio.sleep(1.0)
            await world.revive_node("n0")
            world.mood("n2", fail_fast=0.5)
            await asyncio.sleep(1.0)
            world.mood("n2")
            world.lifecycle("n1", "active")
            await played
            verdict = world.account.judge()
            assert verdict.breaks == ()
            assert verdict.taken == verdict.asked > 400
            assert verdict.served + verdict.refused + verdict.failed == verdict.taken
            assert verdict.served > 0.8 * verdict.taken
            assert world.account.starts.keys() == {"n0"}
            assert all(node.seen["arrived"] for node in world.nodes.values())
            for instance in world.instances:
                assert await world.stop_instance(instance) == 0

    asyncio.run(main())


def test_an_instance_that_is_killed_is_booked_so_and_its_clients_are_not_taken_while_it_is_away():
    async def main():
        async with World(Shape(nodes=2, instances=1)) as world:
            await world.start_instances()
            plan = Plan(LOAD_CLASSES, TENANTS, ("a0",), rate=80, seconds=2.5, seed=3)
            load = Load(world.account, {"a0": world.instances["a0"].address}, plan, world.alive)
            played = asyncio.create_task(load.play(plan.draw()))
            await asyncio.sleep(0.7)
            world.kill_instance("a0")
            await asyncio.sleep(0.4)
            await world.start_instance("a0")
            await played
            verdict = world.account.judge()
            assert verdict.breaks == ()
            assert verdict.not_taken > 0
            assert any(ask.ended == "killed" for ask in world.account.asks.values())

    asyncio.run(main())


def test_discovery_moves_and_an_instance_that_is_told_of_it_by_sighup_follows():
    async def main():
        async with World(Shape(nodes=2, instances=1)) as world:
            await world.start_instances()
            port = await world.move_discovery("a0")
            instance = world.instances["a0"]
            instance.config["discovery"] = f"127.0.0.1:{port}"
            world.command_line("a0")  # writes the configuration
            instance.process.send_signal(signal.SIGHUP)
            before = len(world.account.told["a0", "n1"])
            world.lifecycle("n1", "leaving")
            while [entry[1] for entry in world.account.told["a0", "n1"][before:]][-1:] != ["leaving"]:
                await asyncio.sleep(0.02)
            assert instance.running

    run(main)


def test_members_can_listen_whatever_ports_the_kernel_gives_to_others():
    """Another process's network had the port beside this one's on all addresses: a sidecar did not start."""
    net = Datagrams(1 + os.getpid() % 250, 1)
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
        socket.socket(type=socket.SOCK_DGRAM) as member,
    ):
        with contextlib.suppress(OSError):  # taken already, by another such network
            other.bind(("0.0.0.0", net.port + 1))
        host, _, port = net.listen_address(0).rpartition(":")
        member.bind((host, int(port)))
    net._sock.close()
