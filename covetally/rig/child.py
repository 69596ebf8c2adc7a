"""A stand-in as a process of its own: rows of JSON out on standard output, commands of JSON in on standard
input. It ends when its standard input does, so no stand-in outlives the program that started it."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any

Row = list[Any]
MAX_ROW = 16 * 1024 * 1024


def emit(row: Row) -> None:
    """Write one row at once: what a process saw must be known even if it is killed right after."""
    data = (json.dumps(row, separators=(",", ":")) + "\n").encode()
    while data:
        data = data[os.write(1, data) :]


async def obey(command: Callable[[dict[str, Any]], Awaitable[None] | None]) -> None:
    """Carry out commands until standard input ends. One that cannot be understood ends the process: the two
    sides are of one version, so it is a mistake in the rig."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        done = command(json.loads(line))
        if done is not None:
            await done


class Child:
    """The other end: starts the process, sends commands, passes its rows on."""

    def __init__(self, module: str, spec: dict[str, Any], on_row: Callable[[Row], None]) -> None:
        self._module, self._spec, self._on_row = module, spec, on_row
        self._process: asyncio.subprocess.Process
        self._reader: asyncio.Task[None]
        self._first: asyncio.Future[Row]

    async def start(self) -> Row:
        """Start it and return its first row, which tells where it listens; RuntimeError if it ends instead."""
        self._first = asyncio.get_running_loop().create_future()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", self._module, json.dumps(self._spec),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=MAX_ROW,
        )  # fmt: skip
        self._reader = asyncio.create_task(self._read())
        return await self._first

    async def _read(self) -> None:
        assert self._process.stdout is not None
        while line := await self._process.stdout.readline():
            if not line.endswith(b"\n"):
                break  # cut off by a kill
            row = json.loads(line)
            if self._first.done():
                self._on_row(row)
            else:
                self._first.set_result(row)
        if not self._first.done():
            self._first.set_exception(RuntimeError(f"{self._module} ended before it was ready"))

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process.returncode is None

    def command(self, **words: Any) -> None:
        """Send a command; nothing happens if the process is gone."""
        if self.running and self._process.stdin is not None:
            self._process.stdin.write((json.dumps(words) + "\n").encode())

    async def kill(self) -> None:
        """SIGKILL, and all rows that it wrote read."""
        if self.running:
            self._process.kill()
        await self.wait()

    async def stop(self) -> None:
        """Let it end by itself, by the end of its standard input."""
        if self.running and self._process.stdin is not None:
            self._process.stdin.close()
        await self.wait()

    async def wait(self) -> None:
        """Until it has ended and its rows are read."""
        await self._process.wait()
        await self._reader
