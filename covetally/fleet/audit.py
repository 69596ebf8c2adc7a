"""The audit log: an append-only file with one JSON line for each action, saying who did what and when.

Each line holds the digest of the previous line, so that a changed or removed line is detected. A line that
cannot be written to disk is kept in memory and written before the next one: an action that was carried out is
never reported as failed because its audit line could not be written.
"""

from __future__ import annotations

import hashlib
import json
import logging
import os
import time
from pathlib import Path
from typing import Any

FIRST_DIGEST = "0" * 32  # stands for the previous line in the first line
log = logging.getLogger(__name__)


def _digest(line: str) -> str:
    return hashlib.sha256(line.encode()).hexdigest()[:32]


class Audit:
    """An open audit log. If a crash cut off the last line, the line is terminated but not repaired, and `verify`
    reports it."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file = os.open(path, os.O_RDWR | os.O_APPEND | os.O_CREAT, 0o600)
        data = path.read_bytes()
        if data and not data.endswith(b"\n"):
            os.write(self._file, b"\n")
        lines = data.decode(errors="replace").splitlines()
        self._last_digest = _digest(lines[-1]) if lines else FIRST_DIGEST
        self._unwritten: list[bytes] = []  # lines that are not on disk yet, in order

    def write(self, who: str, what: str, **details: Any) -> None:
        """Append an action. On return it is on disk, or kept in memory until the disk accepts it."""
        entry = {"at": round(time.time(), 3), "who": who, "what": what, **details, "before": self._last_digest}
        line = json.dumps(entry, separators=(",", ":"))
        self._last_digest = _digest(line)
        failed_before = bool(self._unwritten)
        self._unwritten.append(line.encode() + b"\n")
        try:
            self._flush()
        except OSError as error:
            if not failed_before:
                text = "%s: %s: make room on the disk or repair it; audit lines are kept in memory until then"
                log.error(text, self._path, error)
        else:
            if failed_before:
                log.info("%s can be written again; all pending audit lines are on disk", self._path)

    def _flush(self) -> None:
        """Write and sync the pending lines. If that fails, truncate the file to its previous size and raise
        OSError."""
        size = os.fstat(self._file).st_size
        data = b"".join(self._unwritten)
        try:
            while data:
                data = data[os.write(self._file, data) :]
            os.fsync(self._file)
        except OSError:
            os.ftruncate(self._file, size)
            raise
        self._unwritten.clear()

    def tail(self, count: int) -> list[dict[str, Any]]:
        """The last `count` actions, newest first."""
        lines = self._path.read_text(errors="replace").splitlines()[-count:]
        return [entry for line in reversed(lines) if (entry := _parse_line(line)) is not None]

    def close(self) -> None:
        """Try once more to write the pending lines, and close the file."""
        try:
            self._flush()
        except OSError as error:
            log.error("%s: %s: %d audit lines are lost", self._path, error, len(self._unwritten))
        os.close(self._file)


def _parse_line(line: str) -> dict[str, Any] | None:
    try:
        entry = json.loads(line)
    except ValueError:
        return None
    return entry if isinstance(entry, dict) else None


def verify(path: Path) -> list[str]:
    """Check the digest chain of a log and return the problems found, empty if there are none."""
    problems, previous_digest = [], FIRST_DIGEST
    for number, line in enumerate(path.read_text(errors="replace").splitlines(), 1):
        entry = _parse_line(line)
        if entry is None:
            problems.append(f"line {number}: cannot be read")
        elif entry.get("before") != previous_digest:
            problems.append(f"line {number}: does not follow from the line before")
        previous_digest = _digest(line)
    return problems
