"""Supervised processes are started again whatever the agent's store does."""

from __future__ import annotations

import asyncio
import os
import signal
import sqlite3
import sys
from contextlib import asynccontextmanager

from covetally.fleet.restart_policy import CRASH_LOOP_LENGTH
from covetally.fleet.store import Store
from covetally.fleet.supervisor import Program, Supervisor
from tests.loopback import wait_until

TEST_TIMEOUT_S = 20.0
SLEEP = (sys.executable, "-c", "import time; time.sleep(60)")


class RefusingDatabase:
    """A database whose writes of processes fail while `refusing`."""

    def __init__(self, database) -> None:
        self._database, self.refusing = database, False

    def __getattr__(self, name):
        return getattr(self._database, name)

    def execute(self, text, *rest):
        if self.refusing and "processes" in text and not text.startswith("SELECT"):
            raise sqlite3.OperationalError("database or disk is full")
        return self._database.execute(text, *rest)


def pids(supervisor: Supervisor) -> dict[str, int]:
    """The running processes by name."""
    return {row["name"]: row["pid"] for row in supervisor.as_dict() if row["state"] == "running" and row["pid"]}


def saved_pids(store: Store) -> dict[str, int]:
    return {name: pid for name, (pid, _) in store.processes().items()}


@asynccontextmanager
async def supervising(store: Store, on_crash_loop=lambda name, text: None):
    """Supervises two processes that sleep."""
    supervisor = Supervisor(store, [Program(name, SLEEP, {}) for name in "ab"], on_crash_loop)
    supervisor.start()
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await wait_until(lambda: len(pids(supervisor)) == 2)
            yield supervisor
    finally:
        await supervisor.stop(stop_processes=True)
        store.close()


def test_a_process_is_started_again_while_the_disk_refuses(tmp_path, caplog):
    """A full disk at the moment of a start ended the supervision of all processes for good."""

    async def main():
        store = Store(tmp_path / "db")
        store._db = database = RefusingDatabase(store._db)
        async with supervising(store) as supervisor:
            await wait_until(lambda: saved_pids(store) == pids(supervisor))
            database.refusing = True
            for name in "ab":
                before = pids(supervisor)[name]
                os.kill(before, signal.SIGKILL)
                await wait_until(lambda: pids(supervisor).get(name, before) != before)  # noqa: B023
            assert saved_pids(store) != pids(supervisor)
            assert caplog.text.count("Make room on the disk") == 2, "once for each process"
            database.refusing = False
            await wait_until(lambda: saved_pids(store) == pids(supervisor))

    asyncio.run(main())


def test_a_report_that_fails_does_not_end_the_supervision(tmp_path):
    """An exception while one process was checked ended the supervision of all processes for good."""

    async def main():
        reported = []

        def fail(name, text):
            reported.append(name)
            raise RuntimeError("a bug")

        async with supervising(Store(tmp_path / "db"), fail) as supervisor:
            supervisor._supervised["a"].restart_policy.startup_crashes = CRASH_LOOP_LENGTH - 1
            for name in "ab":
                before = pids(supervisor)[name]
                os.kill(before, signal.SIGKILL)
                if name == "a":
                    await wait_until(lambda: reported)
            await wait_until(lambda: pids(supervisor).get("b", before) != before)
            assert reported == ["a"]

    asyncio.run(main())
