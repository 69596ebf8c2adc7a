"""The agent's database: SQLite with a write-ahead log, synced at every commit (sqlite.org/wal.html).

Revisions are immutable. Changes that belong together are written in one transaction, and nothing is sent to an
instance before the transaction that records it is on disk.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from covetally.errors import CindersailError, DamagedError
from covetally.fleet import document
from covetally.fleet.document import Document

FORMAT = 1
MAX_CACHED_REVISIONS = 64  # revisions cached in memory
_SCHEMA = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE revisions (
    number INTEGER PRIMARY KEY, parent INTEGER NOT NULL, at REAL NOT NULL, author TEXT NOT NULL,
    reason TEXT NOT NULL, selector TEXT NOT NULL, digest TEXT NOT NULL, document TEXT NOT NULL);
CREATE TABLE rollouts (
    number INTEGER PRIMARY KEY, revision INTEGER NOT NULL, undo_revision INTEGER NOT NULL, selector TEXT NOT NULL,
    author TEXT NOT NULL, reason TEXT NOT NULL, at REAL NOT NULL, head TEXT NOT NULL, ended INTEGER NOT NULL);
CREATE TABLE members (
    rollout INTEGER NOT NULL, name TEXT NOT NULL, row TEXT NOT NULL, PRIMARY KEY (rollout, name)) WITHOUT ROWID;
CREATE TABLE instances (name TEXT PRIMARY KEY, row TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE processes (name TEXT PRIMARY KEY, pid INTEGER NOT NULL, born INTEGER NOT NULL) WITHOUT ROWID;
"""


class StoreError(DamagedError):
    """The agent's database cannot be used; the message names the file."""

    code = "store"
    remedy = "Move the named file elsewhere and restart the agent; it recovers the settings that sidecars report."


class CannotKeepError(CindersailError):
    """A write to the disk failed. The change was rolled back and is not acknowledged."""

    code = "cannot-keep"
    remedy = (
        "Make room on the disk or repair it, then send the request again; "
        "the agent continues with its saved state."
    )
    status = 503


@dataclass(frozen=True, slots=True)
class Revision:
    """A numbered, immutable version of the desired settings of the whole fleet. `at` is Unix time in seconds."""

    number: int
    parent: int
    at: float
    author: str
    reason: str
    selector: str
    digest: str
    document: Document

    def as_dict(self, whole: bool = False) -> dict[str, Any]:
        """The revision for the API; with `whole`, including its layers."""
        table = {
            "number": self.number, "parent": self.parent, "at": self.at, "author": self.author,
            "reason": self.reason, "selector": self.selector, "digest": self.digest,
        }  # fmt: skip
        return table | {"layers": self.document.as_dicts()} if whole else table


EMPTY_REVISION = Revision(0, 0, 0.0, "", "nothing is managed", "", Document().digest(), Document())


@dataclass(slots=True)
class RolloutRow:
    """A stored rollout. `head` is the first value that `rollout.to_rows` returns."""

    number: int
    revision: int
    undo_revision: int
    selector: str
    author: str
    reason: str
    at: float
    head: dict[str, Any]
    ended: bool


class Store:
    """The open database file. StoreError if it cannot be opened or has another format."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._cache: dict[int, Revision] = {}  # revisions are immutable, so entries stay valid
        self._on_commit: list[Callable[[], None]] = []
        try:
            self.new = not path.exists()
            self._db = sqlite3.connect(path, isolation_level=None)
            self._db.execute("PRAGMA journal_mode=WAL")
            self._db.execute("PRAGMA synchronous=FULL")
            if not self._db.execute("SELECT 1 FROM sqlite_master WHERE name='meta'").fetchone():
                self.new = True
                self._db.executescript(f"BEGIN;{_SCHEMA}INSERT INTO meta VALUES ('format', '{FORMAT}');COMMIT;")
            (found,) = self._db.execute("SELECT value FROM meta WHERE key='format'").fetchone()
        except (sqlite3.Error, TypeError) as error:
            raise StoreError(f"{path}: {error}") from None
        if found != str(FORMAT):
            raise StoreError(f"{path}: format {found}, but this agent reads format {FORMAT}")

    def close(self) -> None:
        """Close the database."""
        self._db.close()

    @contextmanager
    def transaction(self) -> Iterator[None]:
        """A transaction that is committed and synced to disk on exit, or rolled back on an exception. May be
        nested: only the outermost one commits. CannotKeepError if the disk refuses the commit."""
        if self._db.in_transaction:
            yield
            return
        try:
            self._db.execute("BEGIN IMMEDIATE")
            yield
            self._db.execute("COMMIT")
        except BaseException as error:
            self._on_commit.clear()
            self._roll_back()
            if isinstance(error, sqlite3.OperationalError):
                raise CannotKeepError(f"{self.path}: {error}") from None
            raise

        callbacks, self._on_commit = self._on_commit, []
        for callback in callbacks:
            callback()

    def on_commit(self, callback: Callable[[], None]) -> None:
        """Call `callback` once the current transaction is on disk, and never if it is rolled back."""
        self._on_commit.append(callback)

    def _roll_back(self) -> None:
        """Roll back the current transaction if it is still open. Some disk failures have already ended it. If
        one were left open, all later writes would become part of it and never be committed."""
        if self._db.in_transaction:
            self._db.execute("ROLLBACK")

    # --- meta -----------------------------------------------------------------------------------

    def get(self, key: str, default: str = "") -> str:
        """The value of a key, or `default`."""
        row = self._db.execute("SELECT value FROM meta WHERE key=?", (key,)).fetchone()
        return row[0] if row else default

    def set(self, key: str, value: str) -> None:
        """Set the value of a key."""
        self._db.execute("INSERT OR REPLACE INTO meta VALUES (?, ?)", (key, value))

    # --- revisions ------------------------------------------------------------------------------

    def add_revision(self, revision: Revision) -> None:
        """Insert a revision; its number must not exist yet."""
        self._db.execute(
            "INSERT INTO revisions VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
            (
                revision.number, revision.parent, revision.at, revision.author, revision.reason,
                revision.selector, revision.digest, revision.document.to_json(),
            ),
        )  # fmt: skip

    def head(self) -> Revision:
        """The newest revision, or EMPTY_REVISION."""
        return self._find_revision("ORDER BY number DESC LIMIT 1", ()) or EMPTY_REVISION

    def revision(self, number: int) -> Revision | None:
        """The revision with this number, if it exists; number 0 is EMPTY_REVISION."""
        if number == 0:
            return EMPTY_REVISION
        found = self._cache.get(number)
        if found is None and (found := self._find_revision("WHERE number=?", (number,))) is not None:
            while len(self._cache) >= MAX_CACHED_REVISIONS:
                del self._cache[next(iter(self._cache))]
            self._cache[number] = found
        return found

    def revisions(self, after: int = -1, limit: int = 1000) -> list[Revision]:
        """The revisions with a number above `after`, newest first."""
        where = "WHERE number>? ORDER BY number DESC LIMIT ?"
        return [
            _revision_from_row(row)
            for row in self._db.execute(f"SELECT * FROM revisions {where}", (after, limit))
        ]

    def _find_revision(self, where: str, values: tuple[Any, ...]) -> Revision | None:
        row = self._db.execute(f"SELECT * FROM revisions {where}", values).fetchone()
        return _revision_from_row(row) if row else None

    # --- rollouts -------------------------------------------------------------------------------

    def next_rollout(self) -> int:
        """The number for the next rollout."""
        (last,) = self._db.execute("SELECT coalesce(max(number), 0) FROM rollouts").fetchone()
        return last + 1

    def save_rollout(self, row: RolloutRow, members: dict[str, dict[str, Any]]) -> None:
        """Write a rollout and the given members of it, by name."""
        self._db.execute(
            "INSERT OR REPLACE INTO rollouts VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                row.number, row.revision, row.undo_revision, row.selector, row.author, row.reason, row.at,
                json.dumps(row.head), int(row.ended),
            ),
        )  # fmt: skip
        self._db.executemany(
            "INSERT OR REPLACE INTO members VALUES (?, ?, ?)",
            [(row.number, name, json.dumps(member)) for name, member in members.items()],
        )

    def rollouts(self, open_only: bool = False, limit: int = 100) -> list[RolloutRow]:
        """Stored rollouts, newest first."""
        where = "WHERE ended=0" if open_only else ""
        found = self._db.execute(f"SELECT * FROM rollouts {where} ORDER BY number DESC LIMIT ?", (limit,))
        return [RolloutRow(*row[:7], json.loads(row[7]), bool(row[8])) for row in found]

    def rollout(self, number: int) -> RolloutRow | None:
        """The stored rollout with this number, if it exists."""
        row = self._db.execute("SELECT * FROM rollouts WHERE number=?", (number,)).fetchone()
        return RolloutRow(*row[:7], json.loads(row[7]), bool(row[8])) if row else None

    def members(self, rollout: int) -> list[dict[str, Any]]:
        """The stored members of a rollout, ordered by name."""
        found = self._db.execute("SELECT row FROM members WHERE rollout=? ORDER BY name", (rollout,))
        return [json.loads(row[0]) for row in found]

    # --- instances ------------------------------------------------------------------------------

    def save_instances(self, rows: dict[str, dict[str, Any]]) -> None:
        """Write the rows of instances, by name."""
        self._db.executemany(
            "INSERT OR REPLACE INTO instances VALUES (?, ?)",
            [(name, json.dumps(row)) for name, row in rows.items()],
        )

    def forget_instance(self, name: str) -> None:
        """Delete the row of an instance."""
        self._db.execute("DELETE FROM instances WHERE name=?", (name,))

    def instances(self) -> dict[str, dict[str, Any]]:
        """The stored rows of all instances, by name."""
        found = self._db.execute("SELECT name, row FROM instances ORDER BY name")
        return {name: json.loads(row) for name, row in found}

    # --- supervised processes -------------------------------------------------------------------

    def save_process(self, name: str, pid: int, born: int) -> None:
        """Save a supervised process. Its pid and start time together identify it uniquely."""
        self._db.execute("INSERT OR REPLACE INTO processes VALUES (?, ?, ?)", (name, pid, born))

    def processes(self) -> dict[str, tuple[int, int]]:
        """The pid and start time of the last known process of each supervised instance."""
        return {n: (p, b) for n, p, b in self._db.execute("SELECT name, pid, born FROM processes")}


def _revision_from_row(row: tuple[Any, ...]) -> Revision:
    return Revision(*row[:7], document.from_dicts(json.loads(row[7])))
