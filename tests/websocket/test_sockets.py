"""Tests of upgrades through a whole sidecar in this process, with real sockets, scripted nodes and clients that
encode frames themselves."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import random
from contextlib import asynccontextmanager

import pytest

from covetally.interface import Settings
from covetally.websocket.hub import Hub
from covetally.websocket.liveness import LivenessTimeouts
from covetally.websocket.policy import PolicyConfig
from covetally.websocket.settings import WebSocketConfig, Route
from tests.loopback import response, respond_ok, sidecar_harness, request
from tests.websocket.test_frames import frame

TEST_TIMEOUT_S = 8.0
KEY = "dGhlIHNhbXBsZSBub25jZQ=="
CLOSE_PAYLOAD = b"\x03\xe8done"


def run(main) -> None:
    async def timed():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await main()

    asyncio.run(timed())


def accept_response(key: str = KEY, more: str = "") -> bytes:
    proof = base64.b64encode(hashlib.sha1((key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11").encode()).digest())
    return (
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        f"Sec-WebSocket-Accept: {proof.decode()}\r\n{more}\r\n"
    ).encode()


def handshake_request(more: str = "", early: bytes = b"") -> bytes:
    return (
        "GET /live HTTP/1.1\r\nHost: app\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nX-Qos: look\r\n"
        f"Sec-WebSocket-Key: {KEY}\r\nSec-WebSocket-Version: 13\r\n{more}\r\n"
    ).encode() + early


async def echo(server, got, reader, writer) -> None:
    """Run a node that accepts the handshake and echoes each message and close frame."""
    writer.write(accept_response())
    await writer.drain()
    await echo_frames(reader, writer)


async def echo_frames(reader, writer) -> None:
    while True:
        opcode, payload = await read_frame(reader)
        if opcode == 9:
            writer.write(frame(10, payload, masked=False))
        elif opcode != 10:
            writer.write(frame(opcode, payload, masked=False))
        await writer.drain()
        if opcode == 8:
            raise ConnectionResetError("done")


async def read_frame(reader) -> tuple[int, bytes]:
    first, second = await reader.readexactly(2)
    size = second & 127
    if size > 125:
        size = int.from_bytes(await reader.readexactly(2 if size == 126 else 8), "big")
    mask = await reader.readexactly(4) if second & 128 else b"\0\0\0\0"
    payload = await reader.readexactly(size)
    return first & 15, bytes(b ^ mask[i % 4] for i, b in enumerate(payload))


@asynccontextmanager
async def running_hub(*scripts, **changes):
    async with sidecar_harness(*scripts, clients=64, sockets=64) as here:
        config: Settings = here.balancer.state.settings
        policy = {"sockets": 40, "per_tenant": 40, "drain_s": 0.5, "max_reconnect_delay_s": 2.0}
        timeouts = {"ping_s": 30.0, "pong_s": 10.0, "slow_s": 10.0, "idle_s": 0.0}
        for known in (policy, timeouts):
            known.update({k: v for k, v in changes.items() if k in known})
        hub_config = WebSocketConfig(
            PolicyConfig(**policy), 0, LivenessTimeouts(**timeouts), 1 << 20, 1 << 22, 1000.0, 65536, 1.0,
            (Route("", -1, -1, 10**12, timeouts["idle_s"]),),
        )  # fmt: skip
        here.hub = here.frontend.upgrades = Hub(hub_config, config, here.sidecar, 1)
        here.hub.update_nodes(dict.fromkeys(here.servers, "up"), True)
        yield here


async def open_socket(here, data: bytes = b""):
    reader, writer = await here.connect()
    writer.write(data or handshake_request())
    head = await reader.readuntil(b"\r\n\r\n")
    assert b" 101 " in head[:20], head
    return reader, writer


async def wait_until(check) -> None:
    while not check():
        await asyncio.sleep(0.005)


def test_messages_pings_and_close_frames_are_forwarded_in_both_directions():
    async def main():
        async with running_hub(echo) as here:
            reader, writer = await open_socket(here)
            assert here.balancer.state.servers["s0"].upgraded == 1
            rng = random.Random(1)
            for size in (0, 5, 125, 126, 20_000, 70_000):
                body = rng.randbytes(size)
                writer.write(frame(2, body))
                assert await read_frame(reader) == (2, body)
            writer.write(frame(9, b"ping"))
            assert await read_frame(reader) == (10, b"ping")
            writer.write(frame(8, CLOSE_PAYLOAD))
            assert await read_frame(reader) == (8, CLOSE_PAYLOAD)
            assert await reader.read() == b""
            await wait_until(lambda: not here.hub.count)
            assert here.hub.ended == {"closed by the client": 1}
            assert here.balancer.state.servers["s0"].upgraded == 0
            assert here.upstream.connections == 0
            writer.close()

    run(main)


def test_input_in_single_bytes_and_right_after_the_handshake_keeps_its_order():
    async def early_sender(server, got, reader, writer):
        writer.write(accept_response() + frame(1, b"node first", masked=False))
        await echo_frames(reader, writer)

    async def main():
        async with running_hub(early_sender) as here:
            reader, writer = await open_socket(here, handshake_request(early=frame(1, b"client first")))
            assert await read_frame(reader) == (1, b"node first")
            assert await read_frame(reader) == (1, b"client first")
            for byte in frame(1, b"slowly") + frame(8, CLOSE_PAYLOAD):
                writer.write(bytes([byte]))
                await writer.drain()
            assert await read_frame(reader) == (1, b"slowly")
            assert await read_frame(reader) == (8, CLOSE_PAYLOAD)
            writer.close()

    run(main)


@pytest.mark.parametrize("status,got,want", [
    (b"200 OK", response(b"page"), 502), (b"302", response(b"", b"302 Found", b"Location: /x"), 502),
    (b"403", response(b"no", b"403 Forbidden"), 403), (b"500", response(b"", b"500 Oops"), 503),
    (b"503", response(b"", b"503 Busy", b"X-Never-Ran: 1"), 503),
    (b"101", accept_response("AAAAAAAAAAAAAAAAAAAAAA=="), 503),
    (b"extra", accept_response(more="Sec-WebSocket-Extensions: x-odd\r\n"), 503),
    (b"half", accept_response()[:40], 503),
])  # fmt: skip
def test_each_handshake_response_of_a_node_has_its_status(status, got, want):
    async def node(server, _, reader, writer):
        writer.write(got)
        await writer.drain()
        if status == b"half":
            raise ConnectionResetError("as asked")

    async def main():
        async with running_hub(node) as here:
            answered = await here.status(handshake_request("X-Expires-In: 0.4\r\n"))
            assert answered == want
            await wait_until(lambda: not here.sidecar.open_requests)
            assert here.hub.policy.counts() == {"nodes": {}, "tenants": {}}
            assert here.hub.count == 0

    run(main)


def test_a_handshake_that_a_full_node_refuses_is_retried_on_another_node():
    async def full(server, _, reader, writer):
        writer.write(response(b"", b"503 Busy", b"X-Never-Ran: 1"))

    async def main():
        async with running_hub(full, echo) as here:
            streams = [await open_socket(here) for _ in range(6)]
            assert here.balancer.state.servers["s1"].upgraded == 6
            for _, writer in streams:
                writer.close()

    run(main)


def test_limits_refuse_handshakes_and_plain_requests_are_still_served():
    async def main():
        async with running_hub(echo, respond_ok, sockets=2) as here:
            here.update_servers({"s0": here.servers["s0"]})
            here.hub.update_nodes({"s0": "up"}, True)
            streams = [await open_socket(here) for _ in range(2)]
            got = await here.exchange(handshake_request())
            assert b" 503 " in got[:20] and b"retry-after" in got
            streams[0][1].close()
            await wait_until(lambda: here.hub.count == 1)
            streams.append(await open_socket(here))
            here.update_servers(here.servers)
            here.update_servers({"s0": here.servers["s0"]}, "INCREMENTAL", "removed")
            assert await here.status(request("plain")) == 200
            for _, writer in streams:
                writer.close()

    run(main)


def test_a_drain_closes_each_socket_with_1012_and_a_reconnect_delay():
    async def main():
        async with running_hub(echo, echo) as here:
            streams = [await open_socket(here) for _ in range(12)]
            before = here.balancer.state.servers["s0"].upgraded
            assert 0 < before < 12, "each node has about half of the sockets"
            here.update_servers({"s0": here.servers["s0"]}, "INCREMENTAL", "leaving")
            here.hub.update_nodes({"s0": "leaving"}, False)
            closed = 0
            for reader, writer in streams:
                read = asyncio.create_task(read_frame(reader))
                done, _ = await asyncio.wait({read}, timeout=0.8)
                if done:
                    opcode, payload = read.result()
                    assert (opcode, payload[:2]) == (8, b"\x03\xf4")
                    assert b"come back in" in payload
                    writer.write(frame(8, payload[:2]))
                    closed += 1
                else:
                    read.cancel()
            assert closed == before
            await wait_until(lambda: here.hub.count == 12 - before)
            assert here.hub.ended == {"drain": before}
            assert (await open_socket(here)) and here.balancer.state.servers["s0"].upgraded == 0
            for _, writer in streams:
                writer.close()

    run(main)


def test_a_silent_node_is_detected_and_its_client_gets_1011():
    async def silent(server, _, reader, writer):
        writer.write(accept_response())
        await asyncio.sleep(TEST_TIMEOUT_S)

    async def main():
        async with running_hub(silent, ping_s=0.1, pong_s=0.2) as here:
            reader, writer = await open_socket(here)
            opcode, payload = await read_frame(reader)
            while opcode == 9:  # the sidecar pings its client too
                writer.write(frame(10, payload))
                opcode, payload = await read_frame(reader)
            assert (opcode, payload[:2]) == (8, b"\x03\xf3")
            writer.write(frame(8, payload[:2]))
            await wait_until(lambda: not here.hub.count)
            assert here.hub.ended == {"stalled node": 1}
            writer.close()

    run(main)


def test_the_client_of_a_node_that_dies_gets_a_close_frame():
    async def main():
        async with running_hub(echo) as here:
            reader, writer = await open_socket(here)
            here.servers["s0"].stop()
            assert (await read_frame(reader))[1][:2] == b"\x03\xf3"
            writer.write(frame(8, b"\x03\xf3"))
            await wait_until(lambda: not here.hub.count)
            assert here.hub.ended == {"node lost": 1}
            writer.close()

    run(main)


def test_a_client_at_fault_gets_1002_and_its_node_1001():
    seen: list[bytes] = []

    async def node(server, _, reader, writer):
        writer.write(accept_response())
        opcode = 0
        while opcode != 8:
            opcode, payload = await read_frame(reader)
        seen.append(payload[:2])
        writer.write(frame(8, payload[:2], masked=False))

    async def main():
        async with running_hub(node) as here:
            reader, writer = await open_socket(here)
            writer.write(frame(1, b"fine") + frame(1, b"no mask", masked=False))
            assert (await read_frame(reader))[1][:2] == b"\x03\xea"
            writer.write(frame(8, b"\x03\xea"))
            assert await reader.read() == b""
            await wait_until(lambda: not here.hub.count)
            assert seen == [b"\x03\xe9"]
            writer.close()

    run(main)


def test_a_shutdown_closes_all_sockets_in_time_even_those_that_never_answer():
    async def main():
        async with running_hub(echo, echo) as here:
            streams = [await open_socket(here) for _ in range(10)]
            ending = asyncio.create_task(here.hub.drain(2.0))
            got = [await read_frame(reader) for reader, _ in streams]
            assert {payload[:2] for _, payload in got} == {b"\x03\xe9"}
            assert b" 503 " in (await here.exchange(handshake_request()))[:20]
            await ending
            await wait_until(lambda: not here.hub.count)
            for _, writer in streams:
                writer.close()

    run(main)


def test_without_a_hub_an_upgrade_header_is_ignored():
    async def main():
        async with sidecar_harness(respond_ok) as here:
            got = await here.exchange(handshake_request("X-Trace-Id: t1\r\nX-Expires-In: 0.9\r\n"))
            assert b" 200 " in got[:20]

    run(main)
