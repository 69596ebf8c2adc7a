"""Reading and atomically replacing files that have to survive a restart."""

from __future__ import annotations

import os
from pathlib import Path


def read(path: Path, max_bytes: int) -> bytes | None:
    """Return the content of a file, or None if it does not exist. Raises ValueError if it cannot be read or is
    longer than `max_bytes`."""
    try:
        with path.open("rb") as file:
            data = file.read(max_bytes + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise ValueError(str(error)) from None
    if len(data) > max_bytes:
        raise ValueError(f"longer than {max_bytes} bytes")
    return data


def replace(path: Path, data: bytes) -> None:
    """Replace the content of a file atomically, also if the machine stops meanwhile. Raises OSError if it
    fails."""
    temporary = path.with_name(f"{path.name}.new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    directory = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)
