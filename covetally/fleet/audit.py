"""Who did what, and when: one line of JSON for each act, in a file that is only ever appended to.

Each line holds the digest of the line before, so that a line that is changed or taken out shows. What the disk
does not take waits in memory and is written before the next act: an act that was done is never reported as failed
because its line could not be written.
"""

from __future__ import annotations

import hashlib
import json
import logging
import os
import time
from pathlib import Path
from typing import Any

FIRST = "0" * 32
log = logging.getLogger(__name__)


def _digest(line: str) -> str:
    return hashlib.sha256(line.encode()).hexdigest()[:32]


class Audit:
    """The log. A last line that was cut off by a crash is closed, not repaired: `verify` names it."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file = os.open(path, os.O_RDWR | os.O_APPEND | os.O_CREAT, 0o600)
        data = path.read_bytes()
        if data and not data.endswith(b"\n"):
            os.write(self._file, b"\n")
        lines = data.decode(errors="replace").splitlines()
        self._last = _digest(lines[-1]) if lines else FIRST
        self._waiting: list[bytes] = []  # lines that are not on disk yet, in order

    def write(self, who: str, what: str, **details: Any) -> None:
        """Append an act; it is on disk on return, or waits for the disk."""
        entry = {"at": round(time.time(), 3), "who": who, "what": what, **details, "before": self._last}
        line = json.dumps(entry, separators=(",", ":"))
        self._last = _digest(line)
        failed_before = bool(self._waiting)
        self._waiting.append(line.encode() + b"\n")
        try:
            self._flush()
        except OSError as error:
            if not failed_before:
                text = "%s: %s: make room on the disk or mend it; acts wait in memory until then"
                log.error(text, self._path, error)
        else:
            if failed_before:
                log.info("%s is written again, with all that had waited", self._path)

    def _flush(self) -> None:
        """Write what waits. OSError, and the file as it was, if not all of it can be written and synced."""
        size = os.fstat(self._file).st_size
        data = b"".join(self._waiting)
        try:
            while data:
                data = data[os.write(self._file, data) :]
            os.fsync(self._file)
        except OSError:
            os.ftruncate(self._file, size)
            raise
        self._waiting.clear()

    def tail(self, count: int) -> list[dict[str, Any]]:
        """The last acts, the newest first."""
        lines = self._path.read_text(errors="replace").splitlines()[-count:]
        return [entry for line in reversed(lines) if (entry := _read(line)) is not None]

    def close(self) -> None:
        """Close the file; what waits is tried once more."""
        try:
            self._flush()
        except OSError as error:
            log.error("%s: %s: %d acts are lost", self._path, error, len(self._waiting))
        os.close(self._file)


def _read(line: str) -> dict[str, Any] | None:
    try:
        entry = json.loads(line)
    except ValueError:
        return None
    return entry if isinstance(entry, dict) else None


def verify(path: Path) -> list[str]:
    """What is wrong with a log: empty if every line follows from the one before."""
    wrong, last = [], FIRST
    for number, line in enumerate(path.read_text(errors="replace").splitlines(), 1):
        entry = _read(line)
        if entry is None:
            wrong.append(f"line {number}: cannot be read")
        elif entry.get("before") != last:
            wrong.append(f"line {number}: does not follow from the line before")
        last = _digest(line)
    return wrong
