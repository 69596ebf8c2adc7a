"""A soak: random, overlapping faults over real processes under load, judged by the four rules and the invariants.

Each seed draws a deployment (how long its deadlines are, how lists are had) and what goes wrong in it: nodes
that hang, die, slow down, drain; links that are cut; discovery that is silent or answers oddly; sidecars that are
killed, told to end by signals in a row and killed at the earliest moment that the terms allow, under clients that
use what stays open until then, told of a new configuration, held up; in half of the runs crowds of idle
connections; and in each sidecar system calls that fail and a wall clock that steps. The account judges what
clients and nodes saw, and the sidecars' own logs may have no violation and no traceback.
"""

from __future__ import annotations

import asyncio
import random
import re
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from covetally.rig.account import SECOND
from covetally.rig.discovery import STYLES
from covetally.rig.load import Load, Plan
from covetally.rig.relay import Fault as LinkFault
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.surplus_answer import KINDS
from covetally.rig.system_faults import SOCKET_CALLS, FaultSchedule, drawn
from covetally.rig.world import Shape, World

COUNTED_S, GRACE_S = 3.0, 0.7  # SIGKILL comes no sooner than the longest deadline, at most so much, and this
DEADLINE_SCALES = (0.3, 1.0, 1.0, 4.0)
RATE = 12.0  # requests a second at each sidecar
SETTLE_S = 3.0  # after the last fault, before the end
READY_S = 10.0
PERSISTENT = 4  # clients that ask on and on at a sidecar which is told to end
CROWD = 400  # idle connections at once; a sidecar of the rig has places for 256 clients
CROWD_SHARE = 0.5  # of the runs have crowds
# Signals in a row, the last of which is SIGTERM or follows it; a stopped process goes on shortly.
SERIES = (
    (signal.SIGTERM,), (signal.SIGTERM,), (signal.SIGTERM, signal.SIGTERM), (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP), (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT),
    (signal.SIGSTOP, signal.SIGTERM, signal.SIGCONT),
)  # fmt: skip
DUPLICATE_SHARE = 0.5  # of the nodes send answers a second time,
DUPLICATE_MS = (2.0, 40.0)  # so much later
BETWEEN_S = 0.03  # two signals of a series, at most
TROUBLE = re.compile(r"Traceback|violation [a-z]|by a bug|the module failed|unhandled exception")


@dataclass(frozen=True, slots=True)
class SoakShape:
    """How large a soak is."""

    nodes: int = 8
    instances: int = 12
    seconds: float = 20.0
    system_faults: bool = True


@dataclass(slots=True)
class SoakReport:
    """What a soak showed; `broken` has a line for each thing that did not hold."""

    seed: int
    scale: float = 1.0
    asked: int = 0
    in_time: int = 0
    events: dict[str, int] = field(default_factory=dict)
    duplicates: int = 0  # second answers, or pieces of them
    crossed: int = 0  # those that came while another request was on the connection
    ends: list[float] = field(default_factory=list)  # s from SIGTERM to the end of the process
    broken: list[str] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)  # whole, of the sidecars that logged trouble

    def table(self) -> dict[str, Any]:
        """For reports."""
        return {
            "deadlines": self.scale, "asked": self.asked, "in_time": self.in_time,
            "longest_end_s": round(max(self.ends, default=0.0), 2), "ends": len(self.ends),
            "faults": sum(self.events.values()), "duplicates": self.duplicates, "crossed": self.crossed,
            "broken": len(self.broken),
        }  # fmt: skip


class Soak:
    """One play of a seed."""

    def __init__(self, seed: int, shape: SoakShape) -> None:
        self._rng = random.Random(seed)
        self._shape = shape
        self._scale = self._rng.choice(DEADLINE_SCALES)
        self._pushed = self._rng.random() < 0.7
        self._crowds = self._rng.random() < CROWD_SHARE
        self._busy: set[str] = set()  # instances and nodes to which something is being done
        self._tasks: set[asyncio.Task[None]] = set()
        self._duplicates: dict[str, dict[str, Any]] = {}  # by node: what its mood has at all times
        self.report = SoakReport(seed, self._scale)

    async def play(self) -> SoakReport:
        """Play it and judge."""
        shape = Shape(nodes=self._shape.nodes, instances=self._shape.instances, links=True, seed=self.report.seed)
        async with World(shape) as world:
            self._world = world
            self._classes = self._scaled()
            self._configure()
            self._draw_duplicates()
            await world.start_instances()
            plan = Plan(
                self._classes, TENANTS, tuple(world.instances), RATE * self._shape.instances,
                self._shape.seconds + SETTLE_S, seed=self.report.seed,
            )  # fmt: skip
            addresses = {name: instance.address for name, instance in world.instances.items()}
            self._load = Load(world.account, addresses, plan, world.alive)
            load = asyncio.create_task(self._load.play(plan.draw()))
            await self._trouble()
            while self._tasks:
                await asyncio.wait(self._tasks)
            await load
            await self._end_all()
            self._judge()
        return self.report

    # --- the deployment -------------------------------------------------------------------------

    def _scaled(self) -> tuple[Any, ...]:
        return tuple(replace(cls, deadline_ms=int(cls.deadline_ms * self._scale)) for cls in LOAD_CLASSES)

    def _configure(self) -> None:
        rules = self._world.account.classes
        for name, rule in rules.items():
            rules[name] = replace(rule, aim_ns=int(rule.aim_ns * self._scale))
        for name, instance in self._world.instances.items():
            settings = instance.config["settings"]
            for cls in settings["classes"]:
                cls["hardLimitNs"] = int(cls["hardLimitNs"] * self._scale)
                cls["onTimeNs"] = int(cls["onTimeNs"] * self._scale)
            if not self._pushed:
                settings["discovery"] = "subscribe"
                settings["invariants"]["mustAskInNs"] = 10 * SECOND
            instance.arguments = ("--operator", str(self._operator_file()))
            instance.faults = self._system_faults(name)

    def _operator_file(self) -> Path:
        """An operators' file by which each attempt and answer is logged."""
        path = self._world.folder / "operator.toml"
        path.write_text('[log]\nlevel = "debug"\n')
        return path

    def _system_faults(self, name: str) -> FaultSchedule | None:
        if not self._shape.system_faults:
            return None
        seed = self._rng.getrandbits(32)
        return drawn(seed, time.monotonic_ns() + 2 * SECOND, self._shape.seconds, SOCKET_CALLS)

    @property
    def _kill_after_s(self) -> float:
        longest_s = max(cls.deadline_ms for cls in self._classes) / 1000
        return min(longest_s, COUNTED_S) + GRACE_S

    # --- what goes wrong ------------------------------------------------------------------------

    async def _trouble(self) -> None:
        events: list[Callable[[], Awaitable[None]]] = [
            self._end_instance, self._end_instance, self._end_instance, self._kill_instance, self._reload,
            self._hold_up, self._mood, self._mood, self._mood, self._kill_node, self._drain_node, self._discovery,
            self._link, self._link,
        ]  # fmt: skip
        if self._crowds:
            events += [self._crowd, self._crowd]
        end = time.monotonic() + self._shape.seconds
        while time.monotonic() < end:
            event = self._rng.choice(events)
            name = getattr(event, "__name__", "").strip("_")
            self.report.events[name] = self.report.events.get(name, 0) + 1
            task = asyncio.create_task(event())  # type: ignore[arg-type]
            self._tasks.add(task)
            task.add_done_callback(self._done)
            await asyncio.sleep(self._rng.expovariate(self._shape.instances / 6))

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.report.broken.append(f"a fault could not be brought about: {error!r}")

    def _free(self, names: list[str]) -> str:
        """One of these that nothing is done to, now taken; empty if there is none."""
        free = [name for name in names if name not in self._busy]
        name = self._rng.choice(free) if free else ""
        self._busy.add(name)
        return name

    async def _end_instance(self) -> None:
        """SIGTERM, and SIGKILL at the earliest moment."""
        name = self._free(list(self._world.instances))
        if not name:
            return
        await self._terminate(name)
        await self._start(name)

    async def _terminate(self, name: str) -> None:
        """Signals in a row, SIGTERM among them, under clients that ask on and on until SIGKILL may come."""
        process = self._world.instances[name].process
        assert process is not None
        until = asyncio.get_running_loop().time() + BETWEEN_S + self._kill_after_s
        clients = [asyncio.create_task(self._load.persist(name, until)) for _ in range(PERSISTENT)]
        await asyncio.sleep(self._rng.uniform(0.0, BETWEEN_S))
        told_at = await self._signal(process, self._rng.choice(SERIES))
        try:
            async with asyncio.timeout_at(told_at + self._kill_after_s):
                status = await process.wait()
            self.report.ends.append(asyncio.get_running_loop().time() - told_at)
            if status != 0:
                self.report.broken.append(f"{name} ended with {status} after SIGTERM")
        except TimeoutError:
            process.kill()
            await process.wait()
            self.report.broken.append(f"{name} was still there {self._kill_after_s:.1f} s after SIGTERM")
        await asyncio.gather(*clients)

    async def _signal(self, process: asyncio.subprocess.Process, series: tuple[signal.Signals, ...]) -> float:
        """Send them; when the first SIGTERM was sent, on the loop's clock."""
        told_at: list[float] = []
        for number in series:
            if process.returncode is not None:
                break
            process.send_signal(number)
            if number is signal.SIGTERM:
                told_at.append(asyncio.get_running_loop().time())
            await asyncio.sleep(self._rng.uniform(0.0, BETWEEN_S))
        return told_at[0]

    async def _crowd(self) -> None:
        """Idle connections that come at once, and go later."""
        name = self._rng.choice(list(self._world.instances))
        address = self._world.instances[name].address
        connecting = [asyncio.open_connection(*address) for _ in range(CROWD)]
        found = await asyncio.gather(*connecting, return_exceptions=True)
        await asyncio.sleep(self._rng.uniform(0.5, 2.0))
        for one in found:
            if not isinstance(one, BaseException):
                one[1].transport.abort()

    async def _start(self, name: str) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        try:
            async with asyncio.timeout(READY_S):
                await self._world.start_instance(name)
        except (TimeoutError, RuntimeError) as error:
            self.report.broken.append(f"{name} was not ready again: {str(error)[-400:]!r}")
        self._busy.discard(name)

    async def _kill_instance(self) -> None:
        name = self._free(list(self._world.instances))
        if name:
            self._world.kill_instance(name)
            process = self._world.instances[name].process
            assert process is not None
            await process.wait()
            await self._start(name)

    async def _reload(self) -> None:
        name = self._rng.choice(list(self._world.instances))
        if name not in self._busy:
            process = self._world.instances[name].process
            assert process is not None
            process.send_signal(signal.SIGHUP)

    async def _hold_up(self) -> None:
        name = self._free(list(self._world.instances))
        if not name:
            return
        process = self._world.instances[name].process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.02, 0.15))
        process.send_signal(signal.SIGCONT)
        self._busy.discard(name)

    async def _mood(self) -> None:
        name = self._free(list(self._world.nodes))
        if not name:
            return
        share = self._rng.choice((0.2, 1.0))
        kind = self._rng.choice(("slow", "fail_fast", "stall", "stall_mid", "spoil", "reset", "deaf"))
        value: Any = {"slow": 1.0 + 6 * share, "deaf": True}.get(kind, share)
        self._set_mood(name, **{kind: value})
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        self._set_mood(name)
        self._busy.discard(name)

    def _draw_duplicates(self) -> None:
        """Let some nodes send answers a second time, late. Drawn apart: a seed keeps its faults."""
        rng = random.Random(f"{self.report.seed}:duplicates")
        for name in self._world.nodes:
            if rng.random() < DUPLICATE_SHARE:
                self._duplicates[name] = {
                    "duplicate": rng.uniform(0.02, 0.2), "duplicate_ms": DUPLICATE_MS,
                    "duplicate_kinds": rng.sample(KINDS, rng.randint(1, len(KINDS))),
                    "read_late_ms": rng.choice((0.0, 15.0)), "turn_away": rng.choice((0.0, 0.04)),
                }  # fmt: skip
                self._set_mood(name)

    def _set_mood(self, name: str, **mood: Any) -> None:
        self._world.mood(name, **self._duplicates.get(name, {}), **mood)

    async def _kill_node(self) -> None:
        name = self._free(list(self._world.nodes))
        if name:
            await self._world.kill_node(name)
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            await self._world.revive_node(name)
            self._set_mood(name)
            self._busy.discard(name)

    async def _drain_node(self) -> None:
        name = self._free(list(self._world.nodes))
        if name:
            self._world.lifecycle(name, "leaving")
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            self._world.lifecycle(name, "active")
            self._busy.discard(name)

    async def _discovery(self) -> None:
        if "discovery" in self._busy:
            return
        self._busy.add("discovery")
        how = self._rng.choice(("drop", "silent", *[style for style in STYLES if style]))
        span_s = self._rng.uniform(0.3, 2.5)
        if how == "drop":
            self._world.discovery.command(drop=True)
        elif how == "silent":
            self._world.discovery.command(silent=True)
            await asyncio.sleep(span_s)
            self._world.discovery.command(silent=False)
        else:
            self._world.discovery.command(style=how)
            await asyncio.sleep(span_s)
            self._world.discovery.command(style="")
        self._busy.discard("discovery")

    async def _link(self) -> None:
        pairs = [pair for pair in self._world.links if pair[1] != "discovery"]
        link = self._world.links[self._rng.choice(pairs)]
        fault = self._rng.choice([f for f in LinkFault if f is not LinkFault.NONE])
        link.set(fault, self._rng.uniform(0.01, 0.3))
        await asyncio.sleep(self._rng.uniform(0.2, 2.0))
        link.set(LinkFault.NONE)

    # --- the verdict ----------------------------------------------------------------------------

    async def _end_all(self) -> None:
        running = [name for name, instance in self._world.instances.items() if instance.running]
        await asyncio.gather(*(self._terminate(name) for name in running))

    def _judge(self) -> None:
        verdict = self._world.account.judge()
        self.report.asked, self.report.in_time = verdict.asked, verdict.in_time
        self.report.duplicates = sum(node.seen["duplicated"] for node in self._world.nodes.values())
        self.report.crossed = sum(node.seen["crossed"] for node in self._world.nodes.values())
        self.report.broken += [f"{b.rule}: {b.instance} {b.id} {b.node}: {b.text}" for b in verdict.breaks]
        for name, instance in self._world.instances.items():
            found = [line for line in instance.log.splitlines() if TROUBLE.search(line)]
            self.report.broken += [f"{name}: {line:.300}" for line in found[:5]]
            if found or any(b.instance == name for b in verdict.breaks):
                self.report.logs[name] = instance.log
