"""An agent that is killed (SIGKILL, by itself) at one of its commits: CRASH_AT=n,before or n,after, counted from
the first that holds what CRASH_FROM names: `rollouts:N` a rollout past number N, or `drains` a drain order."""

from __future__ import annotations

import os
import signal
from collections.abc import Iterator
from contextlib import contextmanager

from covetally.cli.main import main
from covetally.fleet import drains
from covetally.fleet.store import Store

_number, _, _when = os.environ.get("CRASH_AT", "0,after").partition(",")
_left = int(_number)
_kind, _, _base = os.environ.get("CRASH_FROM", "drains").partition(":")
_plain = Store.transaction


def _counts(store: Store) -> bool:
    if _kind == "drains":
        return '"run": ""' not in (store.get(drains.STORE_KEY) or '"run": ""')
    rows = store._db.execute("SELECT count(*) FROM rollouts WHERE number > ?", (int(_base),))
    return bool(rows.fetchone()[0])


def _die() -> None:
    os.kill(os.getpid(), signal.SIGKILL)


@contextmanager
def _transaction(self: Store) -> Iterator[None]:
    global _left
    inside = self._db.in_transaction
    with _plain(self):
        yield
        if inside:
            return
        counts = _counts(self)
        _left -= counts
        if counts and _left == 0 and _when == "before":
            _die()
    if counts and _left == 0:
        _die()


if __name__ == "__main__":
    Store.transaction = _transaction  # type: ignore[method-assign]
    drains.LISTEN_S = float(os.environ.get("CRASH_LISTENS_S", drains.LISTEN_S))
    main(prog_name="cindersail")
