"""Starts a sidecar's workers, distributes their shares, and represents them to the agent as one instance.

The supervisor binds the address and keeps the listener open; the workers inherit it. All workers therefore accept
from one queue, and a connection that is still in the queue survives the exit of any worker. The supervisor itself
accepts no connections.
"""

from __future__ import annotations

import asyncio
import errno
import itertools
import logging
import os
import signal
import socket
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from covetally.configuration import NO_ROSTER, Configuration
from covetally.control.status import RecentLog
from covetally.control.protocol import Message
from covetally.loop_monitor import LoopMonitor
from covetally.net.config import ConfigError
from covetally.net.listener import create_listener
from covetally.process import create_manager
from covetally.signals import SignalHandlers
from covetally.workers import merge
from covetally.workers.channel import Channel
from covetally.workers.shared_ids import SharedIds
from covetally.workers.worker_pool import (
    DEFAULT_HANG_TIMEOUT_S, Action, End, Kill, Share, Start, State, WorkerPool,
)  # fmt: skip

if TYPE_CHECKING:
    from covetally.operator.schema import Values

log = logging.getLogger("covetally")

BIND_TIMEOUT_S = 3.0  # after a supervisor was killed, its workers keep the address in use for a moment
ASK_TIMEOUT_S = 2.0  # a worker that does not reply within this time is left out
SHUTDOWN_MARGIN_S = 1.0  # added to a worker's own drain time


@dataclass(slots=True, eq=False)
class _Child:
    """The process of a worker."""

    slot: int
    process: asyncio.subprocess.Process
    channel: Channel
    heartbeat: dict[str, Any] = field(default_factory=dict)  # the last one received


class Supervisor:
    """Runs a sidecar of several workers. Implements `Instance` of control/instance.py."""

    def __init__(self, configuration: Configuration, operator: str | None) -> None:
        self.configuration, self._operator = configuration, operator
        self.manager = create_manager(self)
        self._pool = WorkerPool(
            self._configured_count(), self._hang_timeout_s(), configuration.shutdown.closed_s + SHUTDOWN_MARGIN_S
        )
        self._children: dict[int, _Child] = {}
        self.exited = merge.ExitedTotals()
        self._drained = False  # an operator's order: clients have to leave, at once or within a time
        self._stop = asyncio.Event()
        self._all_exited = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._replies: dict[int, asyncio.Future[Any]] = {}
        self._ask_ids = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ready = False
        self._monitor = LoopMonitor()
        self._listener: socket.socket
        self._ids = SharedIds.create()

    def _configured_count(self) -> int:
        return int(self.configuration.values["workers.count"])

    def _hang_timeout_s(self) -> float:
        return float(self.configuration.values.get("workers.hang_s", DEFAULT_HANG_TIMEOUT_S))

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # --- start and shutdown ---------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until asked to end, then wait until every worker has drained."""
        config = self.configuration.config
        logging.getLogger().setLevel(config.log_level.upper())
        self._monitor.start()
        signals = SignalHandlers()
        for number in (signal.SIGTERM, signal.SIGINT):
            signals.on(number, self._stop.set)
        signals.on(signal.SIGHUP, self.reload)
        signals.on(signal.SIGUSR2, self.replace_workers)
        self._listener = await self._bind()
        if self.manager is not None:
            self.manager.restore_orders()
        self._do(self._pool.tick(self._now))
        if self.manager is not None:
            self.manager.start()
        await self._stop.wait()
        log.info("%s drains", config.name)
        if self.manager is not None:
            self.manager.announce_shutdown()
        self._do(self._pool.shut_down(self._now))
        self._listener.close()  # the workers close their own copies when they drain
        await self._all_exited.wait()
        if self.manager is not None:
            await self.manager.stop()
        self._monitor.stop()
        log.info("%s ends", config.name)

    async def _bind(self) -> socket.socket:
        config, deadline = self.configuration.config, self._now + BIND_TIMEOUT_S
        while True:
            try:
                return create_listener(config.listen, config.backlog)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or self._now >= deadline:
                    raise ConfigError(f"listen: {error}") from None
            await asyncio.sleep(0.05)

    def replace_workers(self) -> None:
        """Replace each worker by a new one, one after the other."""
        log.info("%s: replacing the workers one by one", self.configuration.config.name)
        self._do(self._pool.replace_all(self._now))

    # --- the workers ----------------------------------------------------------------------------

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            child = self._children.get(action.worker_id)
            match action:
                case Start(worker_id, slot):
                    self._spawn(worker_id, slot)
                case End() if child is not None:
                    child.channel.send("end", whole=self._pool.shutting_down)
                case Kill(_, reason) if child is not None:
                    log.error("worker %d (pid %d) %s: killed", child.slot, child.process.pid, reason)
                    child.process.kill()
                case Share(_, slot, count) if child is not None:
                    child.channel.send("share", place=slot, count=count)
        self._set_timer()
        if self._pool.shutting_down and not self._pool.workers:
            self._all_exited.set()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        deadline = self._pool.next_deadline()
        if deadline is not None:
            when = max(deadline, self._now + 0.001)
            self._timer = asyncio.get_running_loop().call_at(when, lambda: self._do(self._pool.tick(self._now)))

    def _spawn(self, worker_id: int, slot: int) -> None:
        task = asyncio.create_task(self._run_worker(worker_id, slot))
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._on_task_done(worker_id, task))

    def _on_task_done(self, worker_id: int, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log.error("unexpected error in the supervision of a worker: the worker is lost", exc_info=error)
            child = self._children.pop(worker_id, None)
            if child is not None and child.process.returncode is None:
                child.process.kill()
            self._do(self._pool.on_exit(self._now, worker_id))

    async def _run_worker(self, worker_id: int, slot: int) -> None:
        """Start a worker's process and wait until it has exited."""
        ours, theirs = socket.socketpair()
        arguments = [str(theirs.fileno()), str(self._listener.fileno()), str(self._ids)]
        if self._operator is not None:
            arguments.append(self._operator)
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "covetally.workers.member", *arguments,
                pass_fds=(theirs.fileno(), self._listener.fileno(), self._ids),
            )  # fmt: skip
        except OSError as error:
            log.error("cannot start a worker: %s", error)
            ours.close()
            self._do(self._pool.on_exit(self._now, worker_id))
            return
        finally:
            theirs.close()
        ours.setblocking(False)
        channel = Channel(lambda message: self._on_message(worker_id, message), lambda: None)
        self._children[worker_id] = child = _Child(slot, process, channel)
        await channel.open(ours)
        channel.send(
            "begin", place=slot, count=self._pool.count, values=self.configuration.managed,
            drained=self._drained, order=self.manager.orders.roster.value if self.manager is not None else "",
        )  # fmt: skip
        if self._pool.shutting_down:
            channel.send("end", whole=True)
        status = await process.wait()
        channel.close()
        self.exited.add(self._children.pop(worker_id).heartbeat)
        worker = self._pool.workers.get(worker_id)
        if worker is None or worker.state is not State.ENDING or status:
            log.error("worker %d (pid %d) ended with status %d", child.slot, process.pid, status)
        self._do(self._pool.on_exit(self._now, worker_id))

    def _on_message(self, worker_id: int, message: Message) -> None:
        child = self._children.get(worker_id)
        if child is None:
            return
        match message["t"]:
            case "up":
                log.info("worker %d (pid %d) is up", child.slot, child.process.pid)
                if not self._ready:
                    self._ready = True
                    address = self._listener.getsockname()
                    log.info("%s ready at %s:%d", self.configuration.config.name, *address)
                self._do(self._pool.on_ready(self._now, worker_id))
            case "alive":
                child.heartbeat = message["beat"]
                self._pool.on_heartbeat(self._now, worker_id)
            case "reply":
                reply = self._replies.get(message["id"])
                if reply is not None and not reply.done():
                    reply.set_result(message["data"])

    def _broadcast(self, t: str, **more: object) -> None:
        for child in self._children.values():
            child.channel.send(t, **more)

    async def ask(self, what: str) -> dict[int, Any]:
        """Return the serving workers' replies by slot, without those that do not reply in time."""
        replies: dict[int, asyncio.Future[Any]] = {}
        for worker_id, child in self._children.items():
            worker = self._pool.workers.get(worker_id)
            if worker is not None and worker is self._pool.serving_worker(worker.slot):
                ask_id = next(self._ask_ids)
                replies[child.slot] = self._replies[ask_id] = asyncio.get_running_loop().create_future()
                child.channel.send("ask", id=ask_id, what=what)
        if replies:
            await asyncio.wait(replies.values(), timeout=ASK_TIMEOUT_S)
        self._replies = {n: f for n, f in self._replies.items() if f not in replies.values()}
        return {slot: f.result() for slot, f in sorted(replies.items()) if f.done()}

    # --- configuration changes ------------------------------------------------------------------

    def reload(self) -> None:
        """Read the configuration files again. An invalid configuration changes nothing, here or in any worker."""
        if self.configuration.reload():
            self._broadcast("reload")
            self._resize()
            log.info("%s has reloaded its configuration", self.configuration.config.name)

    def _resize(self) -> None:
        self._pool.hang_timeout_s = self._hang_timeout_s()
        self._do(self._pool.resize(self._now, self._configured_count()))

    # --- interface for management (see control/instance.py) -------------------------------------

    @property
    def state(self) -> str:
        """The state of the sidecar: serving, draining or drained, by the last heartbeats of the workers."""
        if self.shutting_down or not self._drained:
            return "draining" if self.shutting_down else "serving"
        states = [child.heartbeat.get("state") for child in self._children.values() if child.heartbeat]
        return "drained" if states and all(state == "drained" for state in states) else "draining"

    @property
    def shutting_down(self) -> bool:
        """Whether it has been asked to end."""
        return self._stop.is_set()

    def status_source(self) -> SupervisorStatus:
        """Return the source of its heartbeats, snapshots and logs."""
        return SupervisorStatus(self)

    def apply_managed(self, values: Values) -> None:
        """Apply the settings of the agent. Raises ConfigError and changes nothing if they cannot be used."""
        self.configuration.manage(values)
        self._broadcast("manage", values=values)
        self._resize()

    def drain(self, within_s: float | None) -> None:
        """Ask clients to leave, and close their connections within this time; None: as soon as possible."""
        self._drained = True
        self._broadcast("drain", within_s=within_s)

    def resume(self) -> None:
        """Accept clients again."""
        self._drained = False
        self._broadcast("resume")

    def start_drained(self) -> None:
        """Reject clients from the start until `resume`."""
        self._drained = True

    def begin_shutdown(self) -> None:
        """Drain and exit."""
        self._stop.set()

    def order_roster(self, what: str) -> str:
        """Pass an order to the roster of each worker; return an empty string, or why there is no roster."""
        if self.configuration.values.get("roster.source", "off") == "off":
            return NO_ROSTER
        self._broadcast("order", what=what)
        return ""

    async def roster_table(self) -> dict[str, Any]:
        """Return the first worker's view of the server list, and how many workers have a different one."""
        tables = await self.ask("roster")
        if not tables:
            return {"level": "unknown", "why": "no worker answers", "nodes": []}
        first, *others = tables.values()
        differ = sum(1 for table in others if _node_states(table) != _node_states(first))
        return first | ({"why": f"{first['why']}; {differ} workers have a different list"} if differ else {})

    def heartbeats(self) -> list[dict[str, Any]]:
        """Return the last heartbeat of each worker."""
        return [child.heartbeat for child in self._children.values() if child.heartbeat]

    def workers(self) -> list[dict[str, Any]]:
        """Return each worker's slot, pid and state, and the load that it reported last."""
        return [
            {"place": child.slot, "pid": child.process.pid, "state": self._pool.workers[worker_id].state.value,
             "open": child.heartbeat.get("open", 0), "lag_ms": child.heartbeat.get("lag_ms", 0.0)}
            for worker_id, child in sorted(self._children.items()) if worker_id in self._pool.workers
        ]  # fmt: skip

    @property
    def unexpected_exits(self) -> int:
        """The number of workers that exited without having been asked to."""
        return self._pool.unexpected_exits


def _node_states(table: dict[str, Any]) -> set[tuple[str, str]]:
    return {(str(node.get("node")), str(node.get("state"))) for node in table.get("nodes", [])}


class SupervisorStatus:
    """Reports the status of a sidecar of several workers (implements `StatusSource` of control/instance.py)."""

    def __init__(self, supervisor: Supervisor) -> None:
        self._supervisor = supervisor
        self.recent_log = RecentLog()
        self.started = time.time()

    def start(self) -> None:
        """Start keeping recent log lines."""
        logging.getLogger().addHandler(self.recent_log)

    def stop(self) -> None:
        """Stop keeping recent log lines."""
        logging.getLogger().removeHandler(self.recent_log)

    def heartbeat(self) -> dict[str, Any]:
        """Return the content of a heartbeat."""
        supervisor = self._supervisor
        return merge.merge_heartbeats(supervisor.exited, supervisor.heartbeats(), supervisor.state) | {
            "workers": supervisor.workers(), "deaths": supervisor.unexpected_exits,
        }  # fmt: skip

    async def snapshot(self) -> dict[str, Any]:
        """Return the full status, with a fresh snapshot of each worker."""
        merged = merge.merge_snapshots(await self._supervisor.ask("snapshot"))
        errors = sorted([*merged["errors"], *self.recent_log.errors], key=lambda line: line["at"])[-20:]
        own = {"pid": os.getpid(), "started": self.started, "errors": errors}
        heartbeat = self.heartbeat()
        return heartbeat | merged | own | {"workers": merged.get("workers") or heartbeat["workers"]}

    async def logs(self) -> list[dict[str, Any]]:
        """Return the last log lines of the supervisor and its workers, oldest first."""
        parts = await self._supervisor.ask("logs")
        lines = [line for part in parts.values() for line in part] + list(self.recent_log.lines)
        return sorted(lines, key=lambda line: line["at"])[-100:]
