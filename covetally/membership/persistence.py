"""The file that preserves the last good list of nodes across restarts, for installations with a persistent disk.

The first line is JSON with the SHA-256 of the rest, which is the list as JSON. The file is replaced atomically.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Sequence
from pathlib import Path

from covetally.membership.model import Member, from_table, to_table
from covetally.operator import files

FORMAT = 1
MAX_FILE_BYTES = 32 * 1024 * 1024


def encode(members: Sequence[Member], revision: str) -> bytes:
    """The file's content."""
    body = json.dumps({"revision": revision, "nodes": [to_table(m) for m in members]}, indent=1).encode()
    header = {"format": FORMAT, "sha256": hashlib.sha256(body).hexdigest()}
    return json.dumps(header).encode() + b"\n" + body


def decode(data: bytes) -> tuple[list[Member], str]:
    """The nodes and their revision; ValueError if the content is damaged or has another format."""
    header_line, _, body = data.partition(b"\n")
    try:
        header = json.loads(header_line)
        if header["format"] != FORMAT:
            raise ValueError(f"format {header['format']!r}, not {FORMAT}")
        if hashlib.sha256(body).hexdigest() != header["sha256"]:
            raise ValueError("the checksum does not match: damaged or truncated")
        table = json.loads(body)
        return [from_table(node) for node in table["nodes"]], str(table["revision"])
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


def load(path: Path) -> tuple[list[Member], str]:
    """The nodes and the revision in the file, empty if there is no file; ValueError if it cannot be used."""
    data = files.read(path, MAX_FILE_BYTES)
    return ([], "") if data is None else decode(data)
