"""The file in which a sidecar's memory outlives its process."""

from __future__ import annotations

import json
import os
from pathlib import Path

from covetally.control import taking
from covetally.control.taking import Memory

MAX_KEEP = 4 * 1024 * 1024


def read(path: Path) -> Memory:
    """The memory in the file, an empty one where there is no file; ValueError if it cannot be used."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_KEEP + 1)
    except FileNotFoundError:
        return Memory()
    except OSError as error:
        raise ValueError(str(error)) from None
    if len(data) > MAX_KEEP:
        raise ValueError(f"over {MAX_KEEP} bytes")
    return taking.from_table(json.loads(data))


def write(path: Path, memory: Memory) -> None:
    """Replace the file's content, wholly or not at all, also if the machine stops; OSError if it cannot be."""
    beside = path.with_name(path.name + ".new")
    with beside.open("wb") as file:
        file.write(json.dumps(taking.to_table(memory), indent=1).encode())
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
