"""Shutdowns, drains and closes that coincide with something else: a connection in the backlog, bytes that arrive
at the moment of a close, an early signal."""

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
from tests.test_standing import get_request


BODY = b"y" * 60_000


async def respond_large(
    server: ScriptedServer, received: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """The script of a server whose responses do not fit into small buffers."""
    writer.write(response(BODY))


async def connect_slow_reader(
    harness: SidecarHarness, receive_buffer: int, send_buffer: int
) -> tuple[socket.socket, client_connection.ClientConnection]:
    """A client that has not read anything yet, and its connection in the sidecar. `receive_buffer` of the client
    and `send_buffer` of the sidecar are in bytes."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    client.connect(harness.address)
    client.setblocking(False)
    await wait_until(lambda: harness.frontend._clients)
    (connection,) = harness.frontend._clients
    connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
    return client, connection


async def status_of(address: tuple[str, int], data: bytes) -> int:
    """Send these bytes on a new connection; returns the status of the response, 0 if there is none."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return int((await read_message(reader)).split()[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    finally:
        writer.close()


def test_a_shutdown_accepts_connections_in_the_backlog_once_there_is_room():
    """All connections were in use when the listener was closed, and those in the backlog were reset."""

    async def main():
        release = asyncio.Event()

        async def respond_when_released(server, received, reader, writer):
            await release.wait()
            await respond_ok(server, received, reader, writer)

        classes = [{"name": "look", "onTimeNs": 5 * 10**9, "hardLimitNs": 5 * 10**9, "repeat": "free"}]
        async with sidecar_harness(
            respond_when_released, respond_when_released, clients=2, classes=classes
        ) as harness:
            busy = [await harness.connect() for _ in range(2)]
            for number, (_, writer) in enumerate(busy):
                writer.write(request(f"busy{number}", expires="5"))
            await wait_until(lambda: harness.sidecar.open_requests == 2)
            waiting = asyncio.create_task(harness.status(request("waits", expires="5")))
            await asyncio.sleep(0.05)
            assert harness.frontend.connections == 2
            asyncio.get_running_loop().call_later(0.8, release.set)
            await harness.frontend.shut_down(5.0)
            assert await waiting == 200
            for reader, writer in busy:
                assert b" 200 " in await read_message(reader)
                writer.close()

    asyncio.run(main())


def test_no_connection_is_evicted_while_none_waits():
    """When the limit was reached, the next accept evicted a connection although no new one was waiting."""

    async def main():
        async with sidecar_harness(respond_ok, clients=3) as harness:
            busy = [await harness.connect() for _ in range(3)]
            await wait_until(lambda: harness.frontend.connections == 3)
            await asyncio.sleep(0.05)
            assert harness.frontend.connections == 3
            for number, (reader, writer) in enumerate(busy):
                writer.write(request(f"r{number}"))
                assert b" 200 " in await read_message(reader)
                writer.close()

    asyncio.run(main())


def test_an_eviction_does_not_destroy_a_last_response_in_transit():
    """Closing a socket with unread bytes resets the connection, and the kernel drops what it has yet to send."""

    async def main():
        async with sidecar_harness(respond_large) as harness:
            # The send buffer takes the rest of the response.
            client, connection = await connect_slow_reader(harness, receive_buffer=4096, send_buffer=1024 * 1024)
            client.send(request("large", more="Connection: close\r\n"))
            await wait_until(lambda: harness.frontend._eviction.lingering)
            client.send(b"more")  # the event loop has not run since
            assert harness.frontend._evict()
            received = b""
            while chunk := await asyncio.get_running_loop().sock_recv(client, 65536):
                received += chunk
            assert received.endswith(BODY)
            client.close()

    asyncio.run(main())


def test_an_idle_timeout_does_not_close_over_an_unread_request(monkeypatch):
    """The idle timer of a connection fired before a late event loop had read the request that had arrived."""
    monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.1)

    async def main():
        async with sidecar_harness(respond_ok) as harness:
            sock = socket.create_connection(harness.address)
            reader, writer = await asyncio.open_connection(sock=sock)
            writer.write(request("one"))
            await read_message(reader)
            time.sleep(0.2)  # the event loop is late: the timer is due
            os.write(sock.fileno(), request("two"))
            (connection,) = harness.frontend._clients
            connection._timer.callback()  # and fires first
            assert (await read_message(reader)).endswith(b"for two")
            writer.close()

    asyncio.run(main())


def test_a_response_being_written_when_a_shutdown_begins_is_the_last_on_its_connection():
    """It did not announce the close, so its connection stayed idle for seconds, and the process waited for it."""

    async def main():
        async with sidecar_harness(respond_large) as harness:
            client, connection = await connect_slow_reader(harness, receive_buffer=2048, send_buffer=2048)
            client.send(request("large"))
            await wait_until(lambda: connection._phase is client_connection.WRITING)
            shutdown = asyncio.create_task(harness.frontend.shut_down(5.0))
            await asyncio.sleep(0.8)  # past both times at which idle connections are closed
            assert connection._phase is client_connection.WRITING, "its client reads slowly"
            received = b""
            while not received.endswith(BODY):
                received += await asyncio.get_running_loop().sock_recv(client, 65536)
            read_at = time.monotonic()
            await shutdown
            assert time.monotonic() - read_at < 1.0
            client.close()

    asyncio.run(main())


def test_a_sighup_during_the_start_is_handled_later(tmp_path):
    """It ended the process: the handler was installed with the event loop, tenths of a second after the start."""
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
            # Opening the pipe returns when the process has started to read it.
            reading = await asyncio.to_thread(open, pipe, "w", encoding="utf-8")
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            json.dump(config, reading)
            reading.close()
            assert process.stderr is not None
            log = b""
            async for line in process.stderr:
                log += line
                if b"early ready" in line:
                    await asyncio.to_thread(write)  # the process reads its configuration again
                if b"reloaded its configuration" in line:
                    break
            else:
                pytest.fail(f"the process ended with {await process.wait()}: {log!r}")
            process.send_signal(signal.SIGTERM)
            await process.communicate()
            assert process.returncode == 0

    asyncio.run(main())


def test_further_signals_during_a_shutdown_lose_no_request():
    """SIGHUPs around several SIGTERMs, with requests in progress at slow nodes."""

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S), World(Shape(nodes=2, instances=1, work_scale=8.0)) as world:
            await world.start_instances()
            instance = world.instances["a0"]
            requests = [asyncio.create_task(status_of(instance.address, get_request(f"r{i}"))) for i in range(6)]
            await wait_until(lambda: sum(node.seen["arrived"] for node in world.nodes.values()) >= 2)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                instance.process.send_signal(number)
                await asyncio.sleep(0.02)
            # New connections are still accepted now.
            late = await status_of(instance.address, get_request("late"))
            assert late in (200, 503)
            assert set(await asyncio.gather(*requests)) <= {200, 503}
            assert await instance.process.wait() == 0
            assert "Traceback" not in instance.log and "cut off" not in instance.log

    asyncio.run(main())


def test_a_shutdown_with_all_nodes_hung_answers_each_request_in_time():
    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S), World(Shape(nodes=2, instances=1)) as world:
            await world.start_instances()
            instance = world.instances["a0"]
            for node in world.nodes.values():
                os.kill(node.child.pid, signal.SIGSTOP)
            sent_at = time.monotonic()
            requests = [asyncio.create_task(status_of(instance.address, get_request(f"r{i}"))) for i in range(6)]
            await asyncio.sleep(0.1)
            instance.process.send_signal(signal.SIGTERM)
            statuses = await asyncio.gather(*requests)
            assert time.monotonic() - sent_at < 1.6, "one second, plus a margin for a loaded machine"
            assert all(status >= 500 for status in statuses)
            assert await instance.process.wait() == 0
            for node in world.nodes.values():
                os.kill(node.child.pid, signal.SIGCONT)

    asyncio.run(main())


def test_idle_clients_cannot_use_up_the_descriptors_for_discovery():
    """Idle clients fill their share of the descriptors while discovery is silent: requests are still served, and
    the drain of a node is noticed once discovery responds again."""

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
            await asyncio.sleep(3.5)  # the watch has timed out, and new calls have failed
            assert [await status_of(instance.address, get_request(f"r{i}")) for i in range(20)] == [200] * 20
            world.lifecycle("n1", "leaving")
            world.discovery.command(silent=False)
            await asyncio.sleep(0.5)
            before = world.nodes["n1"].seen["arrived"]
            assert [await status_of(instance.address, get_request(f"s{i}")) for i in range(40)] == [200] * 40
            assert world.nodes["n1"].seen["arrived"] == before
            for sock in idle:
                sock.close()

    asyncio.run(main())
