"""The file in which the last good roster outlives the process, for installations with a disk that lasts.

One line of JSON with the SHA-256 of the rest, then the roster as JSON. It is replaced whole or not at all.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Sequence
from pathlib import Path

from covetally.membership.model import Member, from_table, to_table
from covetally.operator import files

FORMAT = 1
MAX_FILE = 32 * 1024 * 1024


def encode(members: Sequence[Member], revision: str) -> bytes:
    """The file's content."""
    body = json.dumps({"revision": revision, "nodes": [to_table(m) for m in members]}, indent=1).encode()
    head = {"format": FORMAT, "sha256": hashlib.sha256(body).hexdigest()}
    return json.dumps(head).encode() + b"\n" + body


def decode(data: bytes) -> tuple[list[Member], str]:
    """The roster and its revision; ValueError if the content is damaged or of another format."""
    line, _, body = data.partition(b"\n")
    try:
        head = json.loads(line)
        if head["format"] != FORMAT:
            raise ValueError(f"format {head['format']!r}, not {FORMAT}")
        if hashlib.sha256(body).hexdigest() != head["sha256"]:
            raise ValueError("its checksum does not fit: damaged or cut off")
        table = json.loads(body)
        return [from_table(node) for node in table["nodes"]], str(table["revision"])
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


def read(path: Path) -> tuple[list[Member], str]:
    """What the file holds, nothing where there is none; ValueError if it cannot be used."""
    data = files.read(path, MAX_FILE)
    return ([], "") if data is None else decode(data)
