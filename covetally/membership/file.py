"""A file as a source of nodes: TOML, read again when it changes.

[[node]]
id = "n1"
address = "10.1.0.18:3000"      # an IPv6 address in brackets
state = "up"                    # up, leaving, starting, down
zone = "milano-lambrate"        # and machine_type, cell, weight, started_ms: all optional
"""

from __future__ import annotations

import asyncio
import logging
import os
import tomllib
from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from covetally.errors import DamagedError
from covetally.membership.model import STATES, UP, Member, Read

log = logging.getLogger(__name__)

MAX_FILE = 8 * 1024 * 1024
LOOK_S = 1.0
KINDS = {
    "id": str, "address": str, "state": str, "zone": str, "machine_type": str, "cell": int,
    "weight": (int, float), "started_ms": int,
}  # fmt: skip


class FileError(DamagedError):
    """The file cannot be used; the message is one line that names the key."""

    code = "roster-file"
    remedy = "Correct the named line of the file of nodes; the last good list stays in force."


def read_nodes(text: str) -> dict[str, Member]:
    """The nodes that a file's text lists; FileError if any of it is wrong: a file is written by hand, and half of
    it must not count."""
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise FileError(str(error)) from None
    if unknown := sorted(document.keys() - {"node"}):
        raise FileError(f"{unknown[0]}: no such key; there is [[node]]")
    tables = document.get("node", [])
    if not isinstance(tables, list):
        raise FileError("node: has to be [[node]], once for each node")
    members: dict[str, Member] = {}
    for number, table in enumerate(tables):
        member = _member(f"node[{number}]", table)
        if member.id in members:
            raise FileError(f"node[{number}].id = {member.id!r}: is there twice")
        members[member.id] = member
    return members


def _member(place: str, table: Any) -> Member:
    if not isinstance(table, dict):
        raise FileError(f"{place}: has to be a table")
    for key, value in table.items():
        if key not in KINDS:
            raise FileError(f"{place}.{key}: no such key; there are {', '.join(KINDS)}")
        if not isinstance(value, KINDS[key]) or isinstance(value, bool):
            raise FileError(f"{place}.{key} = {value!r}: of the wrong type")
    for key in ("id", "address"):
        if not table.get(key):
            raise FileError(f"{place}.{key}: is missing")
    state = table.get("state", UP)
    if state not in STATES:
        raise FileError(f"{place}.state = {state!r}: has to be one of {', '.join(STATES)}")
    host, _, port = table["address"].rpartition(":")
    try:
        address = (str(ip_address(host.removeprefix("[").removesuffix("]"))), int(port))
        if not 0 < address[1] < 65536:
            raise ValueError
    except ValueError:
        raise FileError(f"{place}.address = {table['address']!r}: has to be A.B.C.D:PORT") from None
    cell, weight, boot = table.get("cell", 0), float(table.get("weight", 1.0)), table.get("started_ms", 0)
    if cell < 0 or boot < 0 or not 0 <= weight <= 1_000_000:
        raise FileError(f"{place}: cell, weight and started_ms must not be below 0")
    return Member(
        table["id"], address, state, state, table.get("zone", ""), table.get("machine_type", ""), cell, weight,
        boot=boot, started_ns=boot * 1_000_000 if boot else -1,
    )  # fmt: skip


def load(path: str) -> dict[str, Member]:
    """The nodes in a file; FileError if it cannot be used."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE + 1)
        if len(data) > MAX_FILE:
            raise FileError(f"over {MAX_FILE} bytes")
        return read_nodes(data.decode())
    except (OSError, UnicodeDecodeError) as error:
        raise FileError(str(error)) from None


class File:
    """Looks at the file once a second. One that cannot be used is logged, and what it said before holds."""

    name = "file"

    def __init__(self, path: str, on_read: Callable[[Read], None]) -> None:
        self._path, self._on_read = path, on_read
        self._mark: Any = None
        self._reads = 0
        self._failing = ""
        self._members: dict[str, Member] | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Look from now on; the first look is taken at once."""
        self.look()
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Look no more."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            self.look()

    def look(self) -> None:
        """Read the file if it has changed; what it says counts as said anew each time."""
        try:
            status = os.stat(self._path)
            mark = (status.st_mtime_ns, status.st_size, status.st_ino)
            if mark != self._mark:
                self._mark, self._members = mark, load(self._path)
                self._reads += 1
            self._failing = ""
        except (OSError, FileError) as error:
            if str(error) != self._failing:
                log.error("roster.file: %s: %s: what it said before holds", self._path, error)
            self._failing = str(error)
            return
        if self._members is not None:
            self._on_read(Read(self.name, self._path, self._members, f"{self._path} #{self._reads}"))

    def table(self) -> dict[str, Any]:
        """For operators."""
        counts = {"reads": self._reads}
        return {"source": self.name, "path": self._path, "failing": self._failing, "counts": counts}

    async def witness(self, besides: str) -> Read | None:
        """A file has no second address."""
        return None
