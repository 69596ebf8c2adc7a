"""Ends that cross something: a connection in the backlog, bytes in the moment of a close, an early signal."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time

import pytest

from covetally.net import client_connection
from covetally.rig.world import Shape, World
from tests.loopback import (
    TEST_TIMEOUT_S,
    SidecarHarness,
    ScriptedServer,
    response,
    respond_ok,
    sidecar_harness,
    read_message,
    request,
    wait_until,
)
from tests.test_standing import get


BODY = b"y" * 60_000


async def large(
    server: ScriptedServer, got: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """The script of a server whose answers do not fit into small buffers."""
    writer.write(response(BODY))


async def slow_reader(
    here: SidecarHarness, receives: int, sends: int
) -> tuple[socket.socket, client_connection.ClientConnection]:
    """A client that has read nothing yet, and its connection there; both kernels' buffers, in bytes."""
    asks = socket.socket()
    asks.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receives)
    asks.connect(here.address)
    asks.setblocking(False)
    await wait_until(lambda: here.frontend._clients)
    (connection,) = here.frontend._clients
    connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, sends)
    return asks, connection


async def status_of(address: tuple[str, int], data: bytes) -> int:
    """The status of the answer to these bytes on a connection of their own; 0 if it ends without one."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return int((await read_message(reader)).split()[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    finally:
        writer.close()


def test_a_drain_lets_in_what_waits_in_the_backlog_though_there_is_no_room_yet():
    """Every place was taken when the listener closed, and what waited there was reset."""

    async def main():
        release = asyncio.Event()

        async def wait(server, got, reader, writer):
            await release.wait()
            await respond_ok(server, got, reader, writer)

        classes = [{"name": "look", "onTimeNs": 5 * 10**9, "hardLimitNs": 5 * 10**9, "repeat": "free"}]
        async with sidecar_harness(wait, wait, clients=2, classes=classes) as here:
            held = [await here.connect() for _ in range(2)]
            for number, (_, writer) in enumerate(held):
                writer.write(request(f"held{number}", expires="5"))
            await wait_until(lambda: here.sidecar.open == 2)
            waiting = asyncio.create_task(here.status(request("waits", expires="5")))
            await asyncio.sleep(0.05)
            assert here.frontend.connections == 2
            asyncio.get_running_loop().call_later(0.8, release.set)
            await here.frontend.shut_down(5.0)
            assert await waiting == 200
            for reader, writer in held:
                assert b" 200 " in await read_message(reader)
                writer.close()

    asyncio.run(main())


def test_nobody_is_put_out_while_nobody_waits_for_the_room():
    """With the last place taken the next look at the listener made room for a connection that had not come."""

    async def main():
        async with sidecar_harness(respond_ok, clients=3) as here:
            held = [await here.connect() for _ in range(3)]
            await wait_until(lambda: here.frontend.connections == 3)
            await asyncio.sleep(0.05)
            assert here.frontend.connections == 3
            for number, (reader, writer) in enumerate(held):
                writer.write(request(f"r{number}"))
                assert b" 200 " in await read_message(reader)
                writer.close()

    asyncio.run(main())


def test_making_room_does_not_destroy_a_last_answer_on_its_way():
    """A close over unread bytes resets the connection, and with it goes what the kernel has still to send."""

    async def main():
        async with sidecar_harness(large) as here:
            asks, connection = await slow_reader(here, receives=4096, sends=1024 * 1024)  # the rest waits
            asks.send(request("large", more="Connection: close\r\n"))
            await wait_until(lambda: here.frontend._eviction.lingering)
            asks.send(b"more")  # the loop has not run since
            assert here.frontend._evict()
            got = b""
            while piece := await asyncio.get_running_loop().sock_recv(asks, 65536):
                got += piece
            assert got.endswith(BODY)
            asks.close()

    asyncio.run(main())


def test_a_rest_that_is_over_does_not_end_over_a_request_in_the_kernel(monkeypatch):
    """The timer of a resting connection came up while a late loop had not read yet what had come."""
    monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.1)

    async def main():
        async with sidecar_harness(respond_ok) as here:
            asks = socket.create_connection(here.address)
            reader, writer = await asyncio.open_connection(sock=asks)
            writer.write(request("one"))
            await read_message(reader)
            time.sleep(0.2)  # the loop is late: the timer is due
            os.write(asks.fileno(), request("two"))
            (connection,) = here.frontend._clients
            connection._timer.call()  # and comes first
            assert (await read_message(reader)).endswith(b"for two")
            writer.close()

    asyncio.run(main())


def test_an_answer_that_is_being_written_when_the_drain_begins_is_the_last_on_its_connection():
    """It did not say so, and its connection rested for seconds, while the process waited for it to end."""

    async def main():
        async with sidecar_harness(large) as here:
            asks, connection = await slow_reader(here, receives=2048, sends=2048)
            asks.send(request("large"))
            await wait_until(lambda: connection._phase is client_connection.WRITING)
            draining = asyncio.create_task(here.frontend.shut_down(5.0))
            await asyncio.sleep(0.8)  # past both looks at what rests
            assert connection._phase is client_connection.WRITING, "its client is slow"
            got = b""
            while not got.endswith(BODY):
                got += await asyncio.get_running_loop().sock_recv(asks, 65536)
            read_at = time.monotonic()
            await draining
            assert time.monotonic() - read_at < 1.0
            asks.close()

    asyncio.run(main())


def test_a_sighup_during_the_start_is_kept_until_it_can_be_taken_up(tmp_path):
    """It ended the process: its handler came with the loop, a few tenths of a second after the start."""
    pipe = tmp_path / "config"
    os.mkfifo(pipe)
    config = {
        "name": "early", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "settings": {"classes": [{"name": "look", "hardLimitNs": 10**9, "repeat": "free"}]},
    }  # fmt: skip

    def write() -> None:  # blocks until the process reads it
        with open(pipe, "w", encoding="utf-8") as file:
            json.dump(config, file)

    async def main():
        async with asyncio.timeout(20):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "covetally", stderr=asyncio.subprocess.PIPE,
                env=os.environ | {"EDGE_CONFIG": str(pipe)},
            )  # fmt: skip
            reading = await asyncio.to_thread(open, pipe, "w", encoding="utf-8")  # it has begun to read
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            json.dump(config, reading)
            reading.close()
            assert process.stderr is not None
            log = b""
            async for line in process.stderr:
                log += line
                if b"early ready" in line:
                    await asyncio.to_thread(write)  # it reads its configuration again
                if b"taken up its configuration anew" in line:
                    break
            else:
                pytest.fail(f"it ended with {await process.wait()}: {log!r}")
            process.send_signal(signal.SIGTERM)
            await process.communicate()
            assert process.returncode == 0

    asyncio.run(main())


def test_a_drain_hears_further_signals_and_loses_nothing_by_them():
    """A second SIGTERM, and a SIGHUP before and after the first, with requests under way at slow nodes."""

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S), World(Shape(nodes=2, instances=1, work_scale=8.0)) as world:
            await world.start_instances()
            instance = world.instances["a0"]
            asks = [asyncio.create_task(status_of(instance.address, get(f"r{i}"))) for i in range(6)]
            await wait_until(lambda: sum(node.seen["arrived"] for node in world.nodes.values()) >= 2)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                instance.process.send_signal(number)
                await asyncio.sleep(0.02)
            late = await status_of(instance.address, get("late"))  # within the time in which new ones come
            assert late in (200, 503)
            assert set(await asyncio.gather(*asks)) <= {200, 503}
            assert await instance.process.wait() == 0
            assert "Traceback" not in instance.log and "cut off" not in instance.log

    asyncio.run(main())


def test_a_drain_with_all_nodes_hung_answers_each_request_by_its_time():
    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S), World(Shape(nodes=2, instances=1)) as world:
            await world.start_instances()
            instance = world.instances["a0"]
            for node in world.nodes.values():
                os.kill(node.child.pid, signal.SIGSTOP)
            asked = time.monotonic()
            asks = [asyncio.create_task(status_of(instance.address, get(f"r{i}"))) for i in range(6)]
            await asyncio.sleep(0.1)
            instance.process.send_signal(signal.SIGTERM)
            found = await asyncio.gather(*asks)
            assert time.monotonic() - asked < 1.6, "a second, and what a loaded machine takes"
            assert all(status >= 500 for status in found)
            assert await instance.process.wait() == 0
            for node in world.nodes.values():
                os.kill(node.child.pid, signal.SIGCONT)

    asyncio.run(main())


def test_idle_clients_fill_the_descriptors_while_discovery_is_down():
    """What the sidecar needs itself is not theirs: requests are served, and a drain is known at the return."""

    async def main():
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), World(Shape(nodes=3, instances=1, sockets=96)) as world:
            await world.start_instances()
            instance = world.instances["a0"]
            world.discovery.command(silent=True)
            idle = []
            for _ in range(150):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(instance.address)
                idle.append(sock)
            await asyncio.sleep(3.5)  # the watch is over, and new calls have failed
            assert [await status_of(instance.address, get(f"r{i}")) for i in range(20)] == [200] * 20
            world.lifecycle("n1", "leaving")
            world.discovery.command(silent=False)
            await asyncio.sleep(0.5)
            before = world.nodes["n1"].seen["arrived"]
            assert [await status_of(instance.address, get(f"s{i}")) for i in range(40)] == [200] * 40
            assert world.nodes["n1"].seen["arrived"] == before
            for sock in idle:
                sock.close()

    asyncio.run(main())
