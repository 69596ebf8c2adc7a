"""Starts, restarts and stops instances, and adopts those still running when an agent is restarted.

The instances are listed in a TOML file. Each [[instance]] table has `name` and `command` (a list), and optionally
`env` (a table), `folder` (the working directory), `log` (a file) and `stop_s` (seconds from SIGTERM to SIGKILL).
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import subprocess
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from covetally.errors import ConfigurationError
from covetally.fleet.restart_policy import RestartPolicy
from covetally.fleet.store import CannotKeepError, Store

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1


class SuperviseError(ConfigurationError, ValueError):
    """The file of supervised instances cannot be used; the message names the instance and the key."""

    code = "supervise-file"
    remedy = "Correct the named entry in the file given to --supervise."


@dataclass(frozen=True, slots=True)
class Program:
    """One instance of the file: its command and how to run and stop it."""

    name: str
    command: tuple[str, ...]
    env: dict[str, str]
    folder: str | None = None
    log: str | None = None
    stop_s: float = 10.0


def read(path: Path) -> list[Program]:
    """Read the programs from a file; raises SuperviseError if any entry is invalid."""
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SuperviseError(f"{path}: {error}") from None
    programs: dict[str, Program] = {}
    items = document.get("instance")
    if not isinstance(items, list) or document.keys() != {"instance"}:
        raise SuperviseError(f"{path}: must contain [[instance]] tables and nothing else")
    for number, item in enumerate(items, 1):
        try:
            program = _parse_program(item)
        except (KeyError, TypeError, ValueError) as error:
            raise SuperviseError(f"{path}: instance {number}: {error}") from None
        if program.name in programs:
            raise SuperviseError(f"{path}: instance {number}: the name {program.name} is used twice")
        programs[program.name] = program
    return list(programs.values())


def _parse_program(item: dict[str, Any]) -> Program:
    unknown = item.keys() - {"name", "command", "env", "folder", "log", "stop_s"}
    if unknown:
        raise ValueError(f"no such key: {sorted(unknown)[0]}")
    command, env = item.get("command"), item.get("env", {})
    if not isinstance(item.get("name"), str) or not item["name"]:
        raise ValueError("name must be a non-empty string")
    if not isinstance(command, list) or not command or not all(isinstance(x, str) for x in command):
        raise ValueError("command must be a non-empty list of strings")
    if not isinstance(env, dict) or not all(isinstance(x, str) for x in env.values()):
        raise ValueError("env must be a table of strings")
    for key in ("folder", "log"):
        if not isinstance(item.get(key, ""), str):
            raise ValueError(f"{key} must be a path")
    stop_s = item.get("stop_s", 10.0)
    if not isinstance(stop_s, int | float) or isinstance(stop_s, bool) or not 0 < stop_s <= 600:
        raise ValueError("stop_s must be a number above 0 and at most 600")
    return Program(item["name"], tuple(command), env, item.get("folder"), item.get("log"), float(stop_s))


def _start_ticks(pid: int) -> int:
    """The start time of a process in clock ticks since boot (proc(5), /proc/PID/stat, field 22); 0 if it is not
    running. Together with the pid it identifies one process, because pids are reused."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0
    fields = text.rpartition(")")[2].split()
    return 0 if fields[0] == "Z" else int(fields[19])


@dataclass(slots=True)
class _SupervisedProcess:
    program: Program
    restart_policy: RestartPolicy = field(default_factory=RestartPolicy)
    process: subprocess.Popen[bytes] | None = None  # None: started by an earlier agent process
    pid: int = 0
    start_ticks: int = 0
    kill_at: float = 0.0
    saved: bool = True  # its pid is in the store, by which the next agent process finds it
    save_failed: bool = False  # the last write of it failed


class Supervisor:
    """Runs all supervised processes. `on_crash_loop` is called with the name of a process and a text."""

    def __init__(self, store: Store, programs: list[Program], on_crash_loop: Callable[[str, str], None]) -> None:
        self._store, self._on_crash_loop = store, on_crash_loop
        self._supervised = {p.name: _SupervisedProcess(p) for p in programs}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Adopt the processes that are still running, and start the others."""
        for name, (pid, start_ticks) in self._store.processes().items():
            supervised = self._supervised.get(name)
            if supervised is not None and pid and _start_ticks(pid) == start_ticks:
                log.info("%s is still running as pid %d", name, pid)
                supervised.pid, supervised.start_ticks = pid, start_ticks
                supervised.restart_policy.record_start(time.monotonic())
        self._task = asyncio.create_task(self._run())

    def restart(self, name: str) -> bool:
        """Stop an instance with SIGTERM and start it again; returns False if it is not supervised here."""
        supervised = self._supervised.get(name)
        if supervised is None:
            return False
        if supervised.restart_policy.state == "running":
            supervised.restart_policy.plan_restart()
            self._signal(supervised, signal.SIGTERM)
            supervised.kill_at = time.monotonic() + supervised.program.stop_s
        return True

    def as_dict(self) -> list[dict[str, Any]]:
        """The state, pid, consecutive crashes at startup and last exit of each process, as JSON data."""
        return [
            {
                "name": name,
                "state": "crash loop" if entry.restart_policy.crash_looping else entry.restart_policy.state,
                "pid": entry.pid,
                "crashes": entry.restart_policy.startup_crashes, "last": entry.restart_policy.last_exit,
            }
            for name, entry in sorted(self._supervised.items())
        ]  # fmt: skip

    async def stop(self, stop_processes: bool) -> None:
        """Stop supervising. With `stop_processes`, also send SIGTERM to all processes, and SIGKILL to those that
        are still alive after the longest `stop_s` of them."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if not stop_processes:
            return
        running = [entry for entry in self._supervised.values() if entry.restart_policy.state == "running"]
        for supervised in running:
            supervised.restart_policy.stop()
            self._signal(supervised, signal.SIGTERM)
        deadline = time.monotonic() + max((entry.program.stop_s for entry in running), default=0.0)
        while time.monotonic() < deadline and any(self._is_alive(entry) for entry in running):
            await asyncio.sleep(CHECK_INTERVAL_S)
        for supervised in running:
            if self._is_alive(supervised):
                self._signal(supervised, signal.SIGKILL)

    async def _run(self) -> None:
        while True:
            now = time.monotonic()
            for supervised in self._supervised.values():
                try:
                    self._check(supervised, now)
                except Exception:  # costs this check, and never the supervision
                    log.exception("%s: cannot be checked", supervised.program.name)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check(self, supervised: _SupervisedProcess, now: float) -> None:
        restart_policy = supervised.restart_policy
        if restart_policy.state == "running":
            if not self._is_alive(supervised):
                code = supervised.process.returncode if supervised.process is not None else None
                exit_text = "ended" if code is None else f"status {code}" if code >= 0 else f"signal {-code}"
                was_crash_looping = restart_policy.crash_looping
                restart_policy.record_exit(now, exit_text)
                supervised.pid, supervised.process, supervised.kill_at = 0, None, 0.0
                log.info("%s: %s", supervised.program.name, exit_text)
                if restart_policy.crash_looping and not was_crash_looping:
                    self._on_crash_loop(
                        supervised.program.name,
                        f"crash loop: {exit_text}, {restart_policy.startup_crashes} times in a row at its start",
                    )
            elif supervised.kill_at and now >= supervised.kill_at:
                supervised.kill_at = 0.0
                self._signal(supervised, signal.SIGKILL)
        if restart_policy.should_start(now):
            self._start(supervised, now)
        if not supervised.saved:
            self._save(supervised)

    def _start(self, supervised: _SupervisedProcess, now: float) -> None:
        program = supervised.program
        try:
            output = open(program.log, "ab") if program.log else subprocess.DEVNULL  # noqa: SIM115
        except OSError as error:
            supervised.restart_policy.record_start(now)
            supervised.restart_policy.record_exit(now, f"log: {error}")
            return
        try:
            supervised.process = subprocess.Popen(
                program.command,
                env=os.environ | program.env,
                cwd=program.folder,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,  # it has to survive a restart of this agent
            )
        except OSError as error:
            supervised.restart_policy.record_start(now)
            supervised.restart_policy.record_exit(now, str(error))
            return
        finally:
            if not isinstance(output, int):
                output.close()
        supervised.pid, supervised.start_ticks = supervised.process.pid, _start_ticks(supervised.process.pid)
        supervised.restart_policy.record_start(now)
        supervised.saved = False

    def _save(self, supervised: _SupervisedProcess) -> None:
        """Save a process that was started. If the disk refuses, the next check tries again."""
        name = supervised.program.name
        try:
            with self._store.transaction():
                self._store.save_process(name, supervised.pid, supervised.start_ticks)
        except CannotKeepError as error:
            if not supervised.save_failed:
                log.error("%s: pid %d: %s", name, supervised.pid, error.as_line())
            supervised.save_failed = True
            return
        supervised.saved, supervised.save_failed = True, False

    def _is_alive(self, supervised: _SupervisedProcess) -> bool:
        if supervised.process is not None:
            return supervised.process.poll() is None
        return supervised.pid != 0 and _start_ticks(supervised.pid) == supervised.start_ticks

    def _signal(self, supervised: _SupervisedProcess, number: signal.Signals) -> None:
        # Check first that it is the same process, since the pid may have been reused.
        if supervised.pid and self._is_alive(supervised):
            with contextlib.suppress(ProcessLookupError):
                os.kill(supervised.pid, number)
