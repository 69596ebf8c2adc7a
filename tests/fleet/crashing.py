"""An agent that is killed at one of its commits: CRASH_AT=n,before or n,after, counted from a rollout on."""

from __future__ import annotations

import os
import signal
from contextlib import contextmanager

from covetally.cli.main import main
from covetally.fleet.store import Store

number, _, when = os.environ["CRASH_AT"].partition(",")
left = int(number)
plain = Store.transaction


def die() -> None:
    os.kill(os.getpid(), signal.SIGKILL)


@contextmanager
def transaction(self):
    global left
    inside = self._db.in_transaction
    with plain(self):
        yield
        if inside:
            return
        before = self._db.execute("SELECT count(*) FROM rollouts WHERE number > ?", (BASE,)).fetchone()[0]
        if before:
            left -= 1
        if before and left == 0 and when == "before":
            die()
    if before and left == 0:
        die()


BASE = int(os.environ["CRASH_BASE"])
Store.transaction = transaction

if __name__ == "__main__":
    main(prog_name="cindersail")
