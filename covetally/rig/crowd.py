"""Clients that want connections of one tenant at chosen instances, and what is open as the kernel has it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from covetally.rig.world import World

ESTABLISHED = 1  # first byte of TCP_INFO


def _get(name: str, tenant: str) -> bytes:
    return (
        f"GET /api?sid=k HTTP/1.1\r\nHost: app\r\nX-Trace-Id: {name}\r\nX-Qos: module-lookup\r\n"
        f"X-Customer: {tenant}\r\nX-Expires-In: 1.000\r\n\r\n"
    ).encode()


class Crowd:
    """Clients of one tenant that want so many connections at each instance, and keep them open and busy. `open`
    is what is seen from outside: connections on which a request was served and that nobody has closed."""

    def __init__(self, world: World, tenant: str, cap: int, pause_s: float = 0.05) -> None:
        self._world, self._tenant, self._cap, self._pause_s = world, tenant, cap, pause_s
        self.wanted = dict.fromkeys(world.instances, 0)
        self._served: dict[int, tuple[str, socket.socket]] = {}
        self.most = 0
        self.over = 0
        self.stopped: set[str] = set()  # what these hold counts as allowed, by the bound of LAPSES
        self.unanswered = 0
        self.refused = 0
        self._serial = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.ended = False

    async def run(self) -> None:
        """Keep as many clients at each instance as are wanted there, until `ended`."""
        running = dict.fromkeys(self.wanted, 0)

        async def one(instance: str) -> None:
            running[instance] += 1
            try:
                await self._client(instance, lambda: running[instance] <= self.wanted[instance])
            finally:
                running[instance] -= 1

        while not self.ended:
            for instance, wanted in self.wanted.items():
                for _ in range(wanted - running[instance]):
                    task = asyncio.create_task(one(instance))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(0.02)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _client(self, instance: str, stays: Callable[[], bool]) -> None:
        self._serial += 1
        number, turn = self._serial, 0
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*self._world.instances[instance].address)
            try:
                while stays() and not self.ended:
                    turn += 1
                    writer.write(_get(f"k{number}-{turn}", self._tenant))
                    status = await self._answer(reader)
                    if status == 200:
                        self._served[number] = (instance, writer.get_extra_info("socket"))
                        self._watch()
                    elif status == 0:
                        # Closed at rest, which may cross a request; anything else would be a loss.
                        self.unanswered += turn == 1
                        return
                    else:
                        self.refused += 1
                        await asyncio.sleep(0.1)
                        return
                    await asyncio.sleep(self._pause_s)
            finally:
                self._served.pop(number, None)
                writer.close()

    async def _answer(self, reader: asyncio.StreamReader) -> int:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        if b"connection: close" in head.lower():
            return 503 if head.split()[1] != b"200" else 200
        return int(head.split()[1])

    @property
    def served(self) -> dict[int, str]:
        """Connections that were served on and that nobody has closed, as the kernel has them, and where."""
        return {
            number: where for number, (where, sock) in self._served.items()
            if sock.fileno() >= 0 and sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == ESTABLISHED
        }  # fmt: skip

    def _watch(self) -> None:
        running = sum(where not in self.stopped for where in self.served.values())
        self.most = max(self.most, running)
        self.over = max(self.over, running - self._cap)
