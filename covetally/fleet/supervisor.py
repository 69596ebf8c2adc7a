"""Starts instances, starts them again, ends them in good order, and takes over those that outlived an agent.

The file that names them is TOML, one [[instance]] each with `name`, `command` (a list), and where wanted `env` (a
table), `folder` (where it runs), `log` (a file) and `stop_s` (from SIGTERM to SIGKILL).
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
from covetally.fleet.store import Store

log = logging.getLogger(__name__)

LOOK_S = 0.1


class SuperviseError(ConfigurationError, ValueError):
    """The file cannot be used; the message names the instance and the key."""

    code = "supervise-file"
    remedy = "Correct the named entry of the file that --supervise names."


@dataclass(frozen=True, slots=True)
class Program:
    """What to run."""

    name: str
    command: tuple[str, ...]
    env: dict[str, str]
    folder: str | None = None
    log: str | None = None
    stop_s: float = 10.0


def read(path: Path) -> list[Program]:
    """The programs of a file; SuperviseError if any of it will not do."""
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SuperviseError(f"{path}: {error}") from None
    found: dict[str, Program] = {}
    items = document.get("instance")
    if not isinstance(items, list) or document.keys() != {"instance"}:
        raise SuperviseError(f"{path}: has to hold [[instance]] tables and nothing else")
    for number, item in enumerate(items, 1):
        try:
            program = _program(item)
        except (KeyError, TypeError, ValueError) as error:
            raise SuperviseError(f"{path}: instance {number}: {error}") from None
        if program.name in found:
            raise SuperviseError(f"{path}: instance {number}: {program.name} stands twice")
        found[program.name] = program
    return list(found.values())


def _program(item: dict[str, Any]) -> Program:
    unknown = item.keys() - {"name", "command", "env", "folder", "log", "stop_s"}
    if unknown:
        raise ValueError(f"no such key: {sorted(unknown)[0]}")
    command, env = item.get("command"), item.get("env", {})
    if not isinstance(item.get("name"), str) or not item["name"]:
        raise ValueError("name has to be a word")
    if not isinstance(command, list) or not command or not all(isinstance(x, str) for x in command):
        raise ValueError("command has to be a list of words")
    if not isinstance(env, dict) or not all(isinstance(x, str) for x in env.values()):
        raise ValueError("env has to be a table of words")
    for key in ("folder", "log"):
        if not isinstance(item.get(key, ""), str):
            raise ValueError(f"{key} has to be a path")
    stop_s = item.get("stop_s", 10.0)
    if not isinstance(stop_s, int | float) or isinstance(stop_s, bool) or not 0 < stop_s <= 600:
        raise ValueError("stop_s has to be a number above 0, at most 600")
    return Program(item["name"], tuple(command), env, item.get("folder"), item.get("log"), float(stop_s))


def _born(pid: int) -> int:
    """When a process started, in ticks since the machine did (proc(5), /proc/PID/stat, field 22); 0 if there is
    none. With the pid it names one process for good."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0
    parts = text.rpartition(")")[2].split()
    return 0 if parts[0] == "Z" else int(parts[19])


@dataclass(slots=True)
class _Kept:
    program: Program
    restart_policy: RestartPolicy = field(default_factory=RestartPolicy)
    process: subprocess.Popen[bytes] | None = None  # None: it outlived the agent that started it
    pid: int = 0
    born: int = 0
    kill_at: float = 0.0


class Supervisor:
    """All supervised processes. `tell` hears of crash loops."""

    def __init__(self, store: Store, programs: list[Program], tell: Callable[[str, str], None]) -> None:
        self._store, self._tell = store, tell
        self._kept = {p.name: _Kept(p) for p in programs}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Take over what still runs, and start the rest."""
        for name, (pid, born) in self._store.processes().items():
            kept = self._kept.get(name)
            if kept is not None and pid and _born(pid) == born:
                log.info("%s runs on as pid %d", name, pid)
                kept.pid, kept.born = pid, born
                kept.restart_policy.record_start(time.monotonic())
        self._task = asyncio.create_task(self._run())

    def restart(self, name: str) -> bool:
        """End an instance in good order and start it again; False if it is not supervised here."""
        kept = self._kept.get(name)
        if kept is None:
            return False
        if kept.restart_policy.state == "running":
            kept.restart_policy.plan_restart()
            self._signal(kept, signal.SIGTERM)
            kept.kill_at = time.monotonic() + kept.program.stop_s
        return True

    def table(self) -> list[dict[str, Any]]:
        """Each process: its state, pid, crashes at its start in a row, and how it ended last."""
        return [
            {
                "name": name, "state": "crash loop" if k.restart_policy.crash_looping else k.restart_policy.state,
                "pid": k.pid,
                "crashes": k.restart_policy.startup_crashes, "last": k.restart_policy.last_exit,
            }
            for name, k in sorted(self._kept.items())
        ]  # fmt: skip

    async def stop(self, processes_too: bool) -> None:
        """Look after nothing more; with `processes_too` end them all in good order first."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if not processes_too:
            return
        running = [k for k in self._kept.values() if k.restart_policy.state == "running"]
        for kept in running:
            kept.restart_policy.stop()
            self._signal(kept, signal.SIGTERM)
        end = time.monotonic() + max((k.program.stop_s for k in running), default=0.0)
        while time.monotonic() < end and any(self._alive(k) for k in running):
            await asyncio.sleep(LOOK_S)
        for kept in running:
            if self._alive(kept):
                self._signal(kept, signal.SIGKILL)

    async def _run(self) -> None:
        while True:
            now = time.monotonic()
            for kept in self._kept.values():
                try:
                    self._look(kept, now)
                except OSError as error:
                    log.error("%s: %s", kept.program.name, error)
            await asyncio.sleep(LOOK_S)

    def _look(self, kept: _Kept, now: float) -> None:
        restart_policy = kept.restart_policy
        if restart_policy.state == "running":
            if not self._alive(kept):
                code = kept.process.returncode if kept.process is not None else None
                how = "ended" if code is None else f"status {code}" if code >= 0 else f"signal {-code}"
                was = restart_policy.crash_looping
                restart_policy.record_exit(now, how)
                kept.pid, kept.process, kept.kill_at = 0, None, 0.0
                log.info("%s: %s", kept.program.name, how)
                if restart_policy.crash_looping and not was:
                    self._tell(
                        kept.program.name,
                        f"crash loop: {how}, {restart_policy.startup_crashes} times in a row at its start",
                    )
            elif kept.kill_at and now >= kept.kill_at:
                kept.kill_at = 0.0
                self._signal(kept, signal.SIGKILL)
        if restart_policy.should_start(now):
            self._start(kept, now)

    def _start(self, kept: _Kept, now: float) -> None:
        program = kept.program
        try:
            output = open(program.log, "ab") if program.log else subprocess.DEVNULL  # noqa: SIM115
        except OSError as error:
            kept.restart_policy.record_start(now)
            kept.restart_policy.record_exit(now, f"log: {error}")
            return
        try:
            kept.process = subprocess.Popen(
                program.command,
                env=os.environ | program.env,
                cwd=program.folder,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,  # it is to outlive this agent
            )
        except OSError as error:
            kept.restart_policy.record_start(now)
            kept.restart_policy.record_exit(now, str(error))
            return
        finally:
            if not isinstance(output, int):
                output.close()
        kept.pid, kept.born = kept.process.pid, _born(kept.process.pid)
        kept.restart_policy.record_start(now)
        self._store.save_process(program.name, kept.pid, kept.born)

    def _alive(self, kept: _Kept) -> bool:
        if kept.process is not None:
            return kept.process.poll() is None
        return kept.pid != 0 and _born(kept.pid) == kept.born

    def _signal(self, kept: _Kept, number: signal.Signals) -> None:
        # Only the process that was started: the pid may be another's by now.
        if kept.pid and self._alive(kept):
            with contextlib.suppress(ProcessLookupError):
                os.kill(kept.pid, number)
