"""The agent's store and audit log on a failing disk: acknowledged writes survive, failed writes leave no
trace."""

from __future__ import annotations

import errno
import os
import sqlite3

import pytest

from covetally.fleet import audit
from covetally.fleet.store import CannotKeepError, Store


def limit_growth(store: Store, pages: int) -> None:
    """Let the database grow by at most so many pages; SQLite then reports a full disk."""
    (now,) = store._db.execute("PRAGMA page_count").fetchone()
    store._db.execute(f"PRAGMA max_page_count={now + pages}")


def test_a_write_to_a_full_disk_fails_and_a_later_write_that_fits_succeeds(tmp_path):
    store = Store(tmp_path / "db")
    with store.transaction():
        store.set("before", "kept")
    limit_growth(store, 0)
    with pytest.raises(CannotKeepError) as caught, store.transaction():
        store.set("half", "1")
        store.set("large", "x" * 1_000_000)
    assert "Make room on the disk" in caught.value.as_line()
    limit_growth(store, 1_000)
    with store.transaction():
        store.set("after", "kept")
    store.close()
    reopened = Store(tmp_path / "db")
    assert [reopened.get(key) for key in ("before", "half", "large", "after")] == ["kept", "", "", "kept"]


def test_a_failed_commit_leaves_no_transaction_open(tmp_path):
    """With the transaction left open, all later writes became part of it: acknowledged, but never committed."""
    store = Store(tmp_path / "db")
    real = store._db

    class FailingCommit:
        fails = True

        def __getattr__(self, name):
            return getattr(real, name)

        def execute(self, text, *rest):
            if text == "COMMIT" and self.fails:
                raise sqlite3.OperationalError("disk I/O error")
            return real.execute(text, *rest)

    store._db = broken = FailingCommit()
    with pytest.raises(CannotKeepError), store.transaction():
        store.set("lost", "1")
    broken.fails = False
    with store.transaction():
        store.set("kept", "1")
    store.close()
    reopened = Store(tmp_path / "db")
    assert (reopened.get("lost"), reopened.get("kept")) == ("", "1")


@pytest.mark.parametrize("how", ["half", "ENOSPC", "EIO", "fsync"])
def test_an_audit_line_that_cannot_be_written_is_written_with_the_next_one(tmp_path, monkeypatch, caplog, how):
    """A partial line stayed in the file, and the caller got an error for an action that had been carried out."""
    path = tmp_path / "audit.log"
    log = audit.Audit(path)
    log.write("mara", "first")
    real_write, real_fsync, failing = os.write, os.fsync, [True]

    def write(fd, data):
        if failing and how == "half":
            half = real_write(fd, data[: len(data) // 2]) if len(data) > 40 else 0
            if half:
                return half
        if failing and how != "fsync":
            raise OSError(getattr(errno, how, errno.ENOSPC), "refused")
        return real_write(fd, data)

    def fsync(fd):
        if failing and how == "fsync":
            raise OSError(errno.EIO, "refused")
        real_fsync(fd)

    monkeypatch.setattr(os, "write", write)
    monkeypatch.setattr(os, "fsync", fsync)
    for turn in range(3):
        log.write("mara", f"act {turn}")
    assert audit.verify(path) == [] and [entry["what"] for entry in log.tail(9)] == ["first"]
    assert caplog.text.count("make room on the disk") == 1
    failing.clear()
    log.write("mara", "last")
    log.close()
    assert audit.verify(path) == []
    assert [entry["what"] for entry in audit.Audit(path).tail(9)] == ["last", "act 2", "act 1", "act 0", "first"]
