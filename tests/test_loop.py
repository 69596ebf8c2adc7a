"""The event loop of a sidecar: socket callbacks run, whatever else happens in the same iteration."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections.abc import Callable, Coroutine

import pytest

from covetally.net.loop import Loop
from tests.loopback import respond_ok, sidecar_harness, request


def run(main: Callable[[], Coroutine]) -> None:
    async def timed() -> None:
        async with asyncio.timeout(20):
            await main()

    with asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(timed())


def pair() -> tuple[socket.socket, socket.socket]:
    one, other = socket.socketpair()
    one.setblocking(False)
    other.setblocking(False)
    return one, other


def test_read_and_write_callbacks_are_called_and_removed_independently():
    async def main():
        loop = asyncio.get_running_loop()
        one, other = pair()
        read, room = asyncio.Event(), asyncio.Event()
        loop.add_reader(one, lambda *args: (one.recv(9), args == ("a", 1) and read.set()), "a", 1)
        loop.add_writer(one.fileno(), room.set)
        await room.wait()
        assert loop.remove_writer(one.fileno())
        assert not loop.remove_writer(one.fileno())
        room.clear()
        other.send(b"x")
        await read.wait()
        assert not room.is_set()
        assert loop.remove_reader(one)
        read.clear()
        other.send(b"y")
        await asyncio.sleep(0.02)
        assert not read.is_set()
        assert one.recv(9) == b"y"
        one.close()
        other.close()

    run(main)


def test_event_of_a_closed_descriptor_is_not_delivered_to_a_new_socket_with_its_number():
    async def main():
        loop = asyncio.get_running_loop()
        pairs = [pair() for _ in range(2)]
        called, wrong = [], []
        extra: list[socket.socket] = []

        def on_first_event(mine: int) -> None:
            """The first callback to run closes the other descriptor and lets a new socket take its number."""
            called.append(mine)
            pairs[mine][0].recv(9)
            other = pairs[1 - mine][0]
            number = other.fileno()
            loop.remove_reader(number)
            other.close()
            extra.extend(pair())
            assert number in [sock.fileno() for sock in extra], "the descriptor number was not reused"
            loop.add_reader(number, lambda: wrong.append(number))
            loop.call_soon(done.set)

        done = asyncio.Event()
        for number in range(2):
            loop.add_reader(pairs[number][0], lambda number=number: on_first_event(number))
        for number in range(2):
            pairs[number][1].send(b"x")
        await done.wait()
        await asyncio.sleep(0.01)
        assert len(called) == 1
        assert wrong == []
        for sock in (*extra, *(s for both in pairs for s in both)):
            sock.close()

    run(main)


def test_failing_callback_does_not_keep_others_from_running(caplog):
    async def main():
        loop = asyncio.get_running_loop()
        (bad, _one), (good, _other) = pair(), pair()
        called = asyncio.Event()

        def fail() -> None:
            bad.recv(9)
            raise ValueError("a bug")

        loop.add_reader(bad, fail)
        loop.add_reader(good, lambda: (good.recv(9), called.set()))
        _one.send(b"x")
        _other.send(b"x")
        await called.wait()

    run(main)
    assert "unhandled exception in a socket callback" in caplog.text


def test_transports_signals_and_closed_descriptors_work_as_in_asyncio():
    async def main():
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(lambda r, w: (w.write(b"hello"), w.close()), "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        assert await reader.read() == b"hello"
        writer.close()
        server.close()
        with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, listener.getsockname())
            await loop.sock_sendall(sock, b"x" * 10)
            peer, _ = listener.accept()
            peer.send(b"word")
            assert await loop.sock_recv(sock, 9) == b"word"
            peer.close()
        received = asyncio.Event()
        loop.add_signal_handler(signal.SIGUSR1, received.set)
        os.kill(os.getpid(), signal.SIGUSR1)
        await received.wait()
        one, other = pair()
        number = one.fileno()
        loop.add_reader(one, lambda: None)
        one.close()  # the kernel removes it from epoll; the loop must cope with that
        assert loop.remove_reader(number)
        other.close()

    run(main)


@pytest.mark.parametrize("many", [1, 40])
def test_sidecar_serves_requests_on_this_loop(many):
    async def main():
        async with sidecar_harness(respond_ok, respond_ok, clients=64, sockets=64) as here:
            got = await asyncio.gather(*(here.status(request(f"t{n}")) for n in range(many)))
            assert got == [200] * many

    run(main)
