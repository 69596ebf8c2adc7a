"""A relay between two sides of a TCP or Unix connection that breaks in every way that a network does."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
from pathlib import Path

Address = tuple[str, int] | Path


class Fault(enum.Enum):
    """What the relay does with connections, new and open ones alike."""

    NONE = "none"
    CUT = "cut"  # open ones are reset, new ones are reset as they come
    REFUSE = "refuse"  # open ones are reset, new ones are refused: nobody listens (TCP only)
    STALL = "stall"  # bytes are neither read nor passed on; they go on when the fault ends
    DELAY = "delay"  # each read is passed on later by `delay_s`
    BLACK_HOLE = "black hole"  # bytes are read and vanish, in both directions, and so does the end
    HALF_CLOSE = "half close"  # towards the client, the sending side is closed; the other way goes on


class Relay:
    """Listens on a loopback port, or on a Unix socket, and passes all on to `target`."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.address: Address
        self.delay_s = 0.0
        self.cut_after: int | None = None  # bytes towards the client after which a connection is reset
        self.passed = 0  # bytes passed on in all, both ways
        self._fault = Fault.NONE
        self._changed = asyncio.Event()
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server
        self._refuses = False

    async def start(self, listen: Path | None = None) -> Address:
        """Begin to accept; returns where."""
        if listen is not None:
            self._server = await asyncio.start_unix_server(self._serve, listen)
            self.address = listen
        else:
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self.address = self._server.sockets[0].getsockname()[:2]
        return self.address

    async def stop(self) -> None:
        """Reset every connection and accept no more."""
        self._server.close()
        self.set(Fault.CUT)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def open(self) -> int:
        """How many connections are relayed now."""
        return len(self._pairs)

    def set(self, fault: Fault, delay_s: float = 0.0) -> None:
        """From now on behave so."""
        self._fault, self.delay_s = fault, delay_s
        self._changed.set()
        self._changed = asyncio.Event()
        if fault is Fault.REFUSE:
            self._refuses = True
            self._server.close()
        elif self._refuses and fault is not Fault.CUT:
            self._refuses = False
            task = asyncio.get_running_loop().create_task(self._listen_again())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        for client, server in list(self._pairs):
            if fault in (Fault.CUT, Fault.REFUSE):
                _reset(client)
                _reset(server)
            elif fault is Fault.HALF_CLOSE and client.can_write_eof():
                with contextlib.suppress(OSError, RuntimeError):
                    client.write_eof()

    async def _listen_again(self) -> None:
        assert isinstance(self.address, tuple)
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        other: asyncio.StreamWriter | None = None
        try:
            while self._fault in (Fault.STALL, Fault.BLACK_HOLE):  # up in the kernel, and then nothing
                await self._changed.wait()
            if self._fault is Fault.CUT:
                return
            if isinstance(self.target, Path):
                back, other = await asyncio.open_unix_connection(self.target)
            else:
                back, other = await asyncio.open_connection(*self.target)
            pair = (writer, other)
            self._pairs.add(pair)
            try:
                await asyncio.gather(self._pump(reader, other, False), self._pump(back, writer, True))
            finally:
                self._pairs.discard(pair)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            _reset(writer)
            if other is not None:
                _reset(other)

    async def _pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, to_client: bool) -> None:
        count = 0
        while True:
            data = await source.read(65536)
            if self._fault is Fault.DELAY:
                await asyncio.sleep(self.delay_s)
            while self._fault is Fault.STALL:
                await self._changed.wait()
            if self._fault is Fault.BLACK_HOLE:
                if not data:
                    await self._changed.wait()
                continue
            if not data:
                break
            if to_client and self.cut_after is not None and count + len(data) >= self.cut_after:
                sink.write(data[: self.cut_after - count])
                await sink.drain()
                raise ConnectionResetError("cut after so many bytes, as asked")
            if to_client and self._fault is Fault.HALF_CLOSE:
                continue
            count += len(data)
            self.passed += len(data)
            sink.write(data)
            await sink.drain()
        with contextlib.suppress(OSError, RuntimeError):
            sink.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.family == socket.AF_INET:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
