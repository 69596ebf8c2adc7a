"""The process that starts a sidecar's workers, tells them what they share, and is one instance to the agent.

It binds the address and keeps the listener open; the workers inherit it. So the queue of connections that nobody
has let in yet is one for all, and what is in it survives any worker. It takes no request itself.
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
from covetally.control.gauges import Ring
from covetally.control.protocol import Message
from covetally.loop_monitor import LoopMonitor
from covetally.net.config import ConfigError
from covetally.net.frontend import create_listener
from covetally.process import manager_of
from covetally.signals import SignalHandlers
from covetally.workers import merge
from covetally.workers.channel import Channel
from covetally.workers.claims import SharedIds
from covetally.workers.crew import HANG_S, Crew, End, Kill, Order, Share, Start, State

if TYPE_CHECKING:
    from covetally.operator.schema import Values

log = logging.getLogger("covetally")

ADDRESS_S = 3.0  # the workers of a supervisor that was killed hold the address for a moment
ANSWER_S = 2.0  # a worker that does not answer a question so long is left out
END_SPARE_S = 1.0  # beyond a worker's own drain


@dataclass(slots=True, eq=False)
class _Child:
    """A worker's process."""

    place: int
    process: asyncio.subprocess.Process
    channel: Channel
    beat: dict[str, Any] = field(default_factory=dict)  # the last that it told


class Supervisor:
    """One sidecar of several workers, from its configuration to its end. Management has it for one Instance."""

    def __init__(self, configuration: Configuration, operator: str | None) -> None:
        self.configuration, self._operator = configuration, operator
        self.manager = manager_of(self)
        self._crew = Crew(self._count(), self._hang_s(), configuration.shutdown.closed_s + END_SPARE_S)
        self._children: dict[int, _Child] = {}
        self.tally = merge.Tally()
        self._drained = False  # by an operator's order, from now on or in time
        self._stop = asyncio.Event()
        self._idle = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._asked: dict[int, asyncio.Future[Any]] = {}
        self._serial = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ready = False
        self._monitor = LoopMonitor()
        self._listener: socket.socket
        self._ids = SharedIds.create()

    def _count(self) -> int:
        return int(self.configuration.values["workers.count"])

    def _hang_s(self) -> float:
        return float(self.configuration.values.get("workers.hang_s", HANG_S))

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # --- the life of it -------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until told to end, then let every worker drain."""
        config = self.configuration.config
        logging.getLogger().setLevel(config.log_level.upper())
        self._monitor.start()
        signals = SignalHandlers()
        for number in (signal.SIGTERM, signal.SIGINT):
            signals.on(number, self._stop.set)
        signals.on(signal.SIGHUP, self.reload)
        signals.on(signal.SIGUSR2, self.replace)
        self._listener = await self._bound()
        if self.manager is not None:
            self.manager.restore_orders()
        self._do(self._crew.tick(self._now))
        if self.manager is not None:
            self.manager.start()
        await self._stop.wait()
        log.info("%s drains", config.name)
        if self.manager is not None:
            self.manager.goodbye()
        self._do(self._crew.end(self._now))
        self._listener.close()  # the workers have theirs, and close them in time
        await self._idle.wait()
        if self.manager is not None:
            await self.manager.stop()
        self._monitor.stop()
        log.info("%s ends", config.name)

    async def _bound(self) -> socket.socket:
        config, until = self.configuration.config, self._now + ADDRESS_S
        while True:
            try:
                return create_listener(config.listen, config.backlog)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or self._now >= until:
                    raise ConfigError(f"listen: {error}") from None
            await asyncio.sleep(0.05)

    def replace(self) -> None:
        """Let each worker make way for a new one, in turn."""
        log.info("%s: the workers are replaced in turn", self.configuration.config.name)
        self._do(self._crew.replace(self._now))

    # --- the workers ----------------------------------------------------------------------------

    def _do(self, orders: list[Order]) -> None:
        for order in orders:
            child = self._children.get(order.number)
            match order:
                case Start(number, place):
                    self._spawn(number, place)
                case End() if child is not None:
                    child.channel.send("end", whole=self._crew.ending)
                case Kill(number, why) if child is not None:
                    log.error("worker %d (pid %d) %s: killed", child.place, child.process.pid, why)
                    child.process.kill()
                case Share(number, place, count) if child is not None:
                    child.channel.send("share", place=place, count=count)
        self._wait()
        if self._crew.ending and not self._crew.workers:
            self._idle.set()

    def _wait(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self._crew.due()
        if due is not None:
            at = max(due, self._now + 0.001)
            self._timer = asyncio.get_running_loop().call_at(at, lambda: self._do(self._crew.tick(self._now)))

    def _spawn(self, number: int, place: int) -> None:
        task = asyncio.create_task(self._live(number, place))
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._lived(number, task))

    def _lived(self, number: int, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log.error("a worker was lost by a bug", exc_info=error)
            child = self._children.pop(number, None)
            if child is not None and child.process.returncode is None:
                child.process.kill()
            self._do(self._crew.gone(self._now, number))

    async def _live(self, number: int, place: int) -> None:
        """A worker's life."""
        ours, theirs = socket.socketpair()
        words = [str(theirs.fileno()), str(self._listener.fileno()), str(self._ids)]
        if self._operator is not None:
            words.append(self._operator)
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "covetally.workers.member", *words,
                pass_fds=(theirs.fileno(), self._listener.fileno(), self._ids),
            )  # fmt: skip
        except OSError as error:
            log.error("no worker could be started: %s", error)
            ours.close()
            self._do(self._crew.gone(self._now, number))
            return
        finally:
            theirs.close()
        ours.setblocking(False)
        channel = Channel(lambda message: self._heard(number, message), lambda: None)
        self._children[number] = child = _Child(place, process, channel)
        await channel.open(ours)
        channel.send(
            "begin", place=place, count=self._crew.count, values=self.configuration.managed,
            drained=self._drained, order=self.manager.orders.roster.value if self.manager is not None else "",
        )  # fmt: skip
        if self._crew.ending:
            channel.send("end", whole=True)
        status = await process.wait()
        channel.close()
        self.tally.book(self._children.pop(number).beat)
        worker = self._crew.workers.get(number)
        if worker is None or worker.state is not State.ENDING or status:
            log.error("worker %d (pid %d) ended with status %d", child.place, process.pid, status)
        self._do(self._crew.gone(self._now, number))

    def _heard(self, number: int, message: Message) -> None:
        child = self._children.get(number)
        if child is None:
            return
        match message["t"]:
            case "up":
                log.info("worker %d (pid %d) is up", child.place, child.process.pid)
                if not self._ready:
                    self._ready = True
                    address = self._listener.getsockname()
                    log.info("%s ready at %s:%d", self.configuration.config.name, *address)
                self._do(self._crew.ready(self._now, number))
            case "alive":
                child.beat = message["beat"]
                self._crew.heard(self._now, number)
            case "reply":
                asked = self._asked.get(message["id"])
                if asked is not None and not asked.done():
                    asked.set_result(message["data"])

    def _tell(self, t: str, **more: object) -> None:
        for child in self._children.values():
            child.channel.send(t, **more)

    async def ask(self, what: str) -> dict[int, Any]:
        """What the workers answer, by place; one that does not answer in time is left out."""
        waiting: dict[int, asyncio.Future[Any]] = {}
        for number, child in self._children.items():
            worker = self._crew.workers.get(number)
            if worker is not None and worker is self._crew.serving(worker.place):
                question = next(self._serial)
                waiting[child.place] = self._asked[question] = asyncio.get_running_loop().create_future()
                child.channel.send("ask", id=question, what=what)
        if waiting:
            await asyncio.wait(waiting.values(), timeout=ANSWER_S)
        self._asked = {n: f for n, f in self._asked.items() if f not in waiting.values()}
        return {place: f.result() for place, f in sorted(waiting.items()) if f.done()}

    # --- changes under way ----------------------------------------------------------------------

    def reload(self) -> None:
        """Read the files again; a bad configuration changes nothing, here or in any worker."""
        if self.configuration.reload():
            self._tell("reload")
            self._resize()
            log.info("%s has taken up its configuration anew", self.configuration.config.name)

    def _resize(self) -> None:
        self._crew.hang_s = self._hang_s()
        self._do(self._crew.resize(self._now, self._count()))

    # --- what management asks for (see control/instance.py) -------------------------------------

    @property
    def state(self) -> str:
        """serving, draining or drained: the last that the workers have told."""
        if self.ending or not self._drained:
            return "draining" if self.ending else "serving"
        told = [child.beat.get("state") for child in self._children.values() if child.beat]
        return "drained" if told and all(state == "drained" for state in told) else "draining"

    @property
    def ending(self) -> bool:
        """Whether it has been told to end."""
        return self._stop.is_set()

    def gauges(self) -> CrewGauges:
        """What tells of it."""
        return CrewGauges(self)

    def manage(self, values: Values) -> None:
        """Take up what the agent has set; ConfigError, and nothing changed, if it cannot be used."""
        self.configuration.manage(values)
        self._tell("manage", values=values)
        self._resize()

    def drain(self, within_s: float | None) -> None:
        """Tell clients to stay away, and hold none of them after so many seconds."""
        self._drained = True
        self._tell("drain", within_s=within_s)

    def resume(self) -> None:
        """Let clients come back."""
        self._drained = False
        self._tell("resume")

    def start_drained(self) -> None:
        """Refuse clients from the start on, until `resume`."""
        self._drained = True

    def end(self) -> None:
        """Drain and end."""
        self._stop.set()

    def order(self, what: str) -> str:
        """An order to the roster of each worker."""
        if self.configuration.values.get("roster.source", "off") == "off":
            return NO_ROSTER
        self._tell("order", what=what)
        return ""

    async def roster_table(self) -> dict[str, Any]:
        """What the workers believe of the list of nodes: the first one's table, and whether others differ."""
        tables = await self.ask("roster")
        if not tables:
            return {"level": "unknown", "why": "no worker answers", "nodes": []}
        first, *others = tables.values()
        differ = sum(1 for table in others if _names(table) != _names(first))
        return first | ({"why": f"{first['why']}; {differ} workers hold another list"} if differ else {})

    def beats(self) -> list[dict[str, Any]]:
        """The last that each worker told."""
        return [child.beat for child in self._children.values() if child.beat]

    def workers(self) -> list[dict[str, Any]]:
        """Each worker's place, process, state and last words."""
        return [
            {"place": child.place, "pid": child.process.pid, "state": self._crew.workers[number].state.value,
             "open": child.beat.get("open", 0), "lag_ms": child.beat.get("lag_ms", 0.0)}
            for number, child in sorted(self._children.items()) if number in self._crew.workers
        ]  # fmt: skip

    @property
    def deaths(self) -> int:
        """Workers that ended without having been told to."""
        return self._crew.deaths


def _names(table: dict[str, Any]) -> set[tuple[str, str]]:
    return {(str(node.get("node")), str(node.get("state"))) for node in table.get("nodes", [])}


class CrewGauges:
    """What a sidecar of several workers tells of itself (see `Told` in control/instance.py)."""

    def __init__(self, supervisor: Supervisor) -> None:
        self._supervisor = supervisor
        self.ring = Ring()
        self.started = time.time()

    def start(self) -> None:
        """Begin to keep the log's last lines."""
        logging.getLogger().addHandler(self.ring)

    def stop(self) -> None:
        """Keep no more."""
        logging.getLogger().removeHandler(self.ring)

    def beat(self) -> dict[str, Any]:
        """What goes with every heartbeat."""
        one = self._supervisor
        return merge.beat(one.tally, one.beats(), one.state) | {"workers": one.workers(), "deaths": one.deaths}

    async def snapshot(self) -> dict[str, Any]:
        """All there is to tell, asked of each worker now."""
        found = merge.snapshot(await self._supervisor.ask("snapshot"))
        errors = sorted([*found["errors"], *self.ring.errors], key=lambda line: line["at"])[-20:]
        mine = {"pid": os.getpid(), "started": self.started, "errors": errors}
        beat = self.beat()
        return beat | found | mine | {"workers": found.get("workers") or beat["workers"]}

    async def logs(self) -> list[dict[str, Any]]:
        """The last log lines of all."""
        parts = await self._supervisor.ask("logs")
        lines = [line for part in parts.values() for line in part] + list(self.ring.lines)
        return sorted(lines, key=lambda line: line["at"])[-100:]
