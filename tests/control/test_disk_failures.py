"""State files on a failing disk, and processes that are killed during a write."""

from __future__ import annotations

import asyncio
import errno
import os
import subprocess
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import pytest

from covetally.control import manager, state_file
from covetally.control.orders import Orders
from covetally.control.protocol import digest
from covetally.control.revisions import Revision, RevisionState
from covetally.membership import persistence
from covetally.operator import files
from covetally.rig.account import SECOND
from covetally.rig.managed import Managed
from covetally.rig.system_faults import Fault, FaultSchedule
from covetally.rig.world import Shape, World
from tests.loopback import TEST_TIMEOUT_S, wait_until
from tests.test_process import ROOT

OLD, NEW = b"old" * 1000, b"new" * 2000
# Replaces a file, and exits at its N-th system call, after half of the data if that call is a write.
WRITER_THAT_EXITS = """
import os, sys
from pathlib import Path
from covetally.operator import files
count, at = 0, int(sys.argv[2])

def exiting(real, partial):
    def call(*args):
        global count
        count += 1
        if count == at:
            partial(*args)
            os._exit(9)
        return real(*args)
    return call

class File:
    def __init__(self, path): self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    def __enter__(self): return self
    def __exit__(self, *_): os.close(self.fd)
    def flush(self): pass
    def fileno(self): return self.fd
    write = exiting(lambda self, data: os.write(self.fd, data),
                  lambda self, data: os.write(self.fd, data[: len(data) // 2]))

Path.open = exiting(lambda self, mode: File(self), lambda self, mode: File(self))
os.fsync = exiting(os.fsync, lambda fd: None)
os.replace = exiting(os.replace, lambda *paths: None)
files.replace(Path(sys.argv[1]), b"new" * 2000)
"""


@pytest.mark.parametrize("number", range(1, 7))
def test_a_process_killed_at_any_call_leaves_the_old_or_the_new_file(tmp_path, number):
    path = tmp_path / "kept"
    path.write_bytes(OLD)
    done = subprocess.run(
        [sys.executable, "-c", WRITER_THAT_EXITS, str(path), str(number)], cwd=ROOT, check=False
    )
    assert done.returncode == (9 if number <= 5 else 0), "there have to be five calls"
    assert path.read_bytes() == (OLD if number <= 4 else NEW)
    files.replace(path, NEW)
    assert path.read_bytes() == NEW, "a leftover temporary file prevented a later write"


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS])
@pytest.mark.parametrize("call", ["open", "fsync", "replace"])
def test_a_failed_write_raises_and_keeps_the_old_file(tmp_path, monkeypatch, call, number):
    path = tmp_path / "kept"
    path.write_bytes(OLD)

    def fail(*_):
        raise OSError(number, os.strerror(number))

    with monkeypatch.context() as patched, pytest.raises(OSError) as caught:
        patched.setattr(Path if call == "open" else os, call, fail)
        files.replace(path, NEW)
    assert caught.value.errno == number and path.read_bytes() == OLD
    files.replace(path, NEW)
    assert path.read_bytes() == NEW


def test_an_order_that_cannot_be_saved_is_refused_and_succeeds_once_the_disk_has_recovered():
    begin_s, end_s = 3.0, 7.0  # of the fault, after the test cluster was created

    async def main():
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), Managed(Shape(nodes=1, instances=1)) as world:
            start_ns = time.monotonic_ns()
            span = (start_ns + int(begin_s * SECOND), start_ns + int(end_s * SECOND))
            world.instances["a0"].faults = FaultSchedule((Fault("fsync", "ENOSPC", *span),))
            path = world.instances["a0"].folder / "keep.json"
            await world.start_agent()
            await world.start_instances()
            await world.connected()
            await asyncio.sleep(max(0.0, (span[0] - time.monotonic_ns()) / SECOND) + 0.1)
            code, out, _ = await world.command("drain")
            assert code == 1 and "control.keep cannot be written" in out, out
            (shown,) = (await world.get("/v1/instances"))["instances"]
            assert shown["state"] == "serving" and not shown["orders"]["draining"]
            assert not path.exists() or not state_file.read(path).orders.draining
            await asyncio.sleep(max(0.0, (span[1] - time.monotonic_ns()) / SECOND) + 0.1)
            assert (await world.command("drain"))[0] == 0
            assert state_file.read(path).orders.draining

    asyncio.run(main())


def test_a_trial_accepted_while_the_disk_fails_is_saved_once_the_disk_has_recovered(
    tmp_path, monkeypatch, caplog
):
    """The failed save was logged but not retried, so that a later crash was blamed on a good revision."""
    path, write_file, failures = tmp_path / "keep.json", state_file.write, [True, True]

    def write(*args):
        if failures and failures.pop():
            raise OSError(errno.ENOSPC, "no space left")
        write_file(*args)

    async def main():
        own = {"control.agent": "unix:none", "control.keep": str(path)}
        platform = SimpleNamespace(name="a0")
        instance = SimpleNamespace(configuration=SimpleNamespace(file_settings=own, platform=platform))
        managed = manager.Manager(instance)
        monkeypatch.setattr(state_file, "write", write)
        monkeypatch.setattr(manager, "SAVE_RETRY_S", 0.02)
        managed._revisions = RevisionState(trial=Revision(1, digest({}), {}))
        await managed._accept_trial()
        await wait_until(path.exists)
        assert state_file.read(path).revision_state.good.revision == 1
        assert caplog.text.count("make room on the disk") == 1

    asyncio.run(main())


def test_an_order_during_shutdown_is_saved_for_the_next_process(tmp_path):
    """The order was refused, and the agent dropped it from the desired state."""
    path = tmp_path / "keep.json"
    own = {"control.agent": "unix:none", "control.keep": str(path)}
    configuration = SimpleNamespace(file_settings=own, platform=SimpleNamespace(name="a0"))
    instance = SimpleNamespace(configuration=configuration, shutting_down=True, drain=lambda within_s: None)
    table = Orders(3, draining=True).as_dict()
    assert asyncio.run(manager.Manager(instance)._carry_out({"what": "drain", "orders": table})) == ""
    assert manager.Manager(instance).orders == Orders(3, draining=True)
    late = {"what": "resume", "orders": Orders(2).as_dict()}
    assert "revision 3 are in force" in asyncio.run(manager.Manager(instance)._carry_out(late))


def test_a_roster_that_changes_while_the_disk_fails_is_saved_once_the_disk_has_recovered():
    end_s = 4.0  # of the fault, after the test cluster was created

    async def main():
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), World(Shape(nodes=2, instances=1)) as world:
            end_ns = time.monotonic_ns() + int(end_s * SECOND)
            instance = world.instances["a0"]
            kept, operator = instance.folder / "roster.json", instance.folder / "operator.toml"
            operator.write_text(f'[roster]\nsource = "platform"\nkeep = "{kept}"\n')
            instance.arguments = ("--operator", str(operator))
            instance.faults = FaultSchedule((Fault("fsync", "EIO", 0, end_ns),))
            await world.start_instances()
            await asyncio.sleep(max(0.0, (end_ns - time.monotonic_ns()) / SECOND) - 0.5)
            assert not kept.exists() and "roster.keep" in instance.log
            await wait_until(kept.exists)
            members, _ = persistence.load(kept)
            assert sorted(member.id for member in members) == ["n0", "n1"]
            assert instance.log.count("make room on the disk") == 1

    asyncio.run(main())
