"""A TOML file as a source of nodes. It is read again when it changes.

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
from covetally.membership.model import STATES, UP, Member, Snapshot
from covetally.membership.polling import repeat

log = logging.getLogger(__name__)

MAX_FILE_BYTES = 8 * 1024 * 1024
POLL_S = 1.0
KEY_TYPES = {
    "id": str, "address": str, "state": str, "zone": str, "machine_type": str, "cell": int,
    "weight": (int, float), "started_ms": int,
}  # fmt: skip


class NodeFileError(DamagedError):
    """The node file cannot be used. The message is one line and names the key."""

    code = "roster-file"
    remedy = "Correct the named key in the node file; the last good list stays in use."


def parse_nodes(text: str) -> dict[str, Member]:
    """The nodes in a file's text.

    Raises NodeFileError if any part of it is invalid: an editing mistake must not apply half of the file.
    """
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise NodeFileError(str(error)) from None
    if unknown := sorted(document.keys() - {"node"}):
        raise NodeFileError(f"{unknown[0]}: no such key; there is [[node]]")
    tables = document.get("node", [])
    if not isinstance(tables, list):
        raise NodeFileError("node: must be [[node]], once for each node")
    members: dict[str, Member] = {}
    for number, table in enumerate(tables):
        member = _member(f"node[{number}]", table)
        if member.id in members:
            raise NodeFileError(f"node[{number}].id = {member.id!r}: is listed twice")
        members[member.id] = member
    return members


def _member(location: str, table: Any) -> Member:
    if not isinstance(table, dict):
        raise NodeFileError(f"{location}: must be a table")
    for key, value in table.items():
        if key not in KEY_TYPES:
            raise NodeFileError(f"{location}.{key}: no such key; there are {', '.join(KEY_TYPES)}")
        if not isinstance(value, KEY_TYPES[key]) or isinstance(value, bool):
            raise NodeFileError(f"{location}.{key} = {value!r}: has the wrong type")
    for key in ("id", "address"):
        if not table.get(key):
            raise NodeFileError(f"{location}.{key}: is missing")
    state = table.get("state", UP)
    if state not in STATES:
        raise NodeFileError(f"{location}.state = {state!r}: must be one of {', '.join(STATES)}")
    host, _, port = table["address"].rpartition(":")
    try:
        address = (str(ip_address(host.removeprefix("[").removesuffix("]"))), int(port))
        if not 0 < address[1] < 65536:
            raise ValueError
    except ValueError:
        raise NodeFileError(f"{location}.address = {table['address']!r}: must be A.B.C.D:PORT") from None
    cell, weight, boot = table.get("cell", 0), float(table.get("weight", 1.0)), table.get("started_ms", 0)
    if cell < 0 or boot < 0 or not 0 <= weight <= 1_000_000:
        raise NodeFileError(f"{location}: cell, weight and started_ms must not be below 0")
    return Member(
        table["id"], address, state, state, table.get("zone", ""), table.get("machine_type", ""), cell, weight,
        boot=boot, started_ns=boot * 1_000_000 if boot else -1,
    )  # fmt: skip


def load_nodes(path: str) -> dict[str, Member]:
    """The nodes in a file; NodeFileError if it cannot be used."""
    try:
        with Path(path).open("rb") as source:
            data = source.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise NodeFileError(f"over {MAX_FILE_BYTES} bytes")
        return parse_nodes(data.decode())
    except (OSError, UnicodeDecodeError) as error:
        raise NodeFileError(str(error)) from None


class FileSource:
    """Checks the file for changes once a second. If it becomes unusable, logs that and keeps the last nodes."""

    name = "file"

    def __init__(self, path: str, on_snapshot: Callable[[Snapshot], None]) -> None:
        self._path, self._on_snapshot = path, on_snapshot
        self._version: Any = None
        self._reads = 0
        self._failing = ""
        self._members: dict[str, Member] | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts polling; the file is read at once."""
        self.poll()
        self._task = asyncio.create_task(repeat("reading the node file", self._poll_after_pause, POLL_S))

    def stop(self) -> None:
        """Stops polling."""
        if self._task is not None:
            self._task.cancel()

    async def _poll_after_pause(self) -> float:
        await asyncio.sleep(POLL_S)
        self.poll()
        return 0.0

    def poll(self) -> None:
        """Reads the file if it has changed, and reports its nodes as a new snapshot even if it has not."""
        try:
            status = os.stat(self._path)
            version = (status.st_mtime_ns, status.st_size, status.st_ino)
            if version != self._version:
                self._version, self._members = version, load_nodes(self._path)
                self._reads += 1
            self._failing = ""
        except (OSError, NodeFileError) as error:
            if str(error) != self._failing:
                log.error("roster.file: %s: %s: the previous list stays in use", self._path, error)
            self._failing = str(error)
            return
        if self._members is not None:
            self._on_snapshot(Snapshot(self.name, self._path, self._members, f"{self._path} #{self._reads}"))

    def table(self) -> dict[str, Any]:
        """The state of the source as a table for operators."""
        counts = {"reads": self._reads}
        return {"source": self.name, "path": self._path, "failing": self._failing, "counts": counts}

    async def read_other_address(self, excluding: str) -> Snapshot | None:
        """None: a file has no second address."""
        return None
