"""The agent's files on a disk that refuses: what is acknowledged is kept, and what cannot be kept is not."""

from __future__ import annotations

import errno
import os
import sqlite3

import pytest

from covetally.fleet import audit
from covetally.fleet.store import CannotKeepError, Store


def fill(store: Store, pages: int) -> None:
    """Let the store grow by so many pages and no more: a full disk, as SQLite knows it."""
    (now,) = store._db.execute("PRAGMA page_count").fetchone()
    store._db.execute(f"PRAGMA max_page_count={now + pages}")


def test_what_a_full_disk_does_not_take_is_refused_and_the_next_that_fits_is_kept(tmp_path):
    store = Store(tmp_path / "db")
    with store.transaction():
        store.set("before", "kept")
    fill(store, 0)
    with pytest.raises(CannotKeepError) as caught, store.transaction():
        store.set("half", "1")
        store.set("large", "x" * 1_000_000)
    assert "Make room on the disk" in caught.value.as_line()
    fill(store, 1_000)
    with store.transaction():
        store.set("after", "kept")
    store.close()
    again = Store(tmp_path / "db")
    assert [again.get(key) for key in ("before", "half", "large", "after")] == ["kept", "", "", "kept"]


def test_a_commit_that_fails_leaves_no_transaction_open(tmp_path):
    """All that followed passed for a part of it: acknowledged, and never committed."""
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
    again = Store(tmp_path / "db")
    assert (again.get("lost"), again.get("kept")) == ("", "1")


@pytest.mark.parametrize("how", ["half", "ENOSPC", "EIO", "fsync"])
def test_an_act_whose_line_the_disk_refuses_is_written_with_the_next(tmp_path, monkeypatch, caplog, how):
    """Half a line stayed in the file, and the caller was told that what had been done had failed."""
    path = tmp_path / "audit.log"
    log = audit.Audit(path)
    log.write("mara", "first")
    real_write, real_fsync, sick = os.write, os.fsync, [True]

    def write(fd, data):
        if sick and how == "half":
            half = real_write(fd, data[: len(data) // 2]) if len(data) > 40 else 0
            if half:
                return half
        if sick and how != "fsync":
            raise OSError(getattr(errno, how, errno.ENOSPC), "refused")
        return real_write(fd, data)

    def fsync(fd):
        if sick and how == "fsync":
            raise OSError(errno.EIO, "refused")
        real_fsync(fd)

    monkeypatch.setattr(os, "write", write)
    monkeypatch.setattr(os, "fsync", fsync)
    for turn in range(3):
        log.write("mara", f"act {turn}")
    assert audit.verify(path) == [] and [entry["what"] for entry in log.tail(9)] == ["first"]
    assert caplog.text.count("make room on the disk") == 1
    sick.clear()
    log.write("mara", "last")
    log.close()
    assert audit.verify(path) == []
    assert [entry["what"] for entry in audit.Audit(path).tail(9)] == ["last", "act 2", "act 1", "act 0", "first"]
