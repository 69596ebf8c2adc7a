"""Nodes, discovery and sidecars as real processes on loopback, and the account of what they do."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from covetally.rig import site
from covetally.rig.account import MS, Account, NodePlace
from covetally.rig.child import Child, Row
from covetally.rig.datagrams import Datagrams
from covetally.rig.relay import Relay
from covetally.rig.system_faults import FaultSchedule
from covetally.rig.node import Spec

_worlds = itertools.count()
START_S = 30.0
STOP_S = 10.0


@dataclass(frozen=True, slots=True)
class Shape:
    """How large a world is, and how its nodes are made."""

    nodes: int = 6
    instances: int = 3
    slots: int = 4
    queue: int = 60
    work_scale: float = 1.0
    cold_from: float = 0.25
    cold_ms: int = 8000
    seed: int = 1
    memory_mb: int = 96
    sockets: int = 512
    links: bool = False  # whether each instance reaches each node, and discovery, by a relay of its own
    peers: bool = False  # whether the sidecars may talk to each other, over `World.datagrams`


@dataclass(slots=True)
class NodeProcess:
    """A node and its entry in discovery's list."""

    child: Child
    spec: Spec
    entry: dict[str, Any]
    number: int
    seen: Counter[str] = field(default_factory=Counter)  # rows by kind
    connections: set[int] = field(default_factory=set)  # the numbers of those that carried a request


@dataclass(slots=True)
class InstanceProcess:
    """A sidecar; its address outlives its process."""

    name: str
    address: tuple[str, int]
    folder: Path
    config: dict[str, Any]
    arguments: tuple[str, ...] = ()
    faults: FaultSchedule | None = None  # in its system calls, from its next start on
    process: asyncio.subprocess.Process | None = None
    killed: bool = False  # on purpose, and not started again since

    @property
    def running(self) -> bool:
        """Whether its process has not ended."""
        return self.process is not None and self.process.returncode is None

    @property
    def log(self) -> str:
        """What it has logged."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""


def addresses(count: int) -> list[tuple[str, int]]:
    """Loopback addresses that no other process's rig uses, the same over restarts: no port is drawn from the
    range that outgoing connections use, where another could take it while a sidecar is down."""
    pid, world = os.getpid(), next(_worlds)
    base = f"127.{16 + pid // 250 % 200}.{1 + pid % 250}"
    return [(f"{base}.{1 + i % 250}", 3000 + world % 500 * 40 + i // 250) for i in range(count)]


class World:
    """Processes and their account. Use as an async context manager: on leaving, all of them have ended."""

    def __init__(self, shape: Shape | None = None) -> None:
        self.shape = shape or Shape()
        self.account = Account(site.rules())
        self.nodes: dict[str, NodeProcess] = {}
        self.instances: dict[str, InstanceProcess] = {}
        self.discovery: Child
        self.datagrams: Datagrams | None = None
        self.links: dict[tuple[str, str], Relay] = {}  # by instance and node, or "discovery"
        self._folder = tempfile.TemporaryDirectory(prefix="cindersail-")
        self.folder = Path(self._folder.name)
        self.on_moved: dict[str, asyncio.Future[int]] = {}

    async def __aenter__(self) -> World:
        try:
            async with asyncio.timeout(START_S + self.shape.instances * 0.2):
                await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stop()

    async def _start(self) -> None:
        shape = self.shape
        names = [f"a{i}" for i in range(shape.instances)]
        if shape.peers:
            self.datagrams = Datagrams(1 + os.getpid() % 250, shape.seed)
            self.datagrams.start()
        self.discovery = Child("covetally.rig.discovery", {"instances": names}, self._discovery_row)
        up = await self.discovery.start()
        await asyncio.gather(*(self.add_node(f"n{i}", i) for i in range(shape.nodes)))
        self.nodes = dict(sorted(self.nodes.items(), key=lambda item: item[1].number))
        for i, (name, address) in enumerate(zip(names, addresses(len(names)), strict=True)):
            folder = self.folder / name
            folder.mkdir()
            config = {
                "name": name,
                "listen": f"{address[0]}:{address[1]}",
                "discovery": f"127.0.0.1:{up[1][name]}",
                "seed": f"{shape.seed * 1000 + i:x}",
                "limits": {"cores": 1.0, "memory_mb": shape.memory_mb, "sockets": shape.sockets},
                "settings": site.settings(i, shape.instances, shape.cold_from, shape.cold_ms),
            }
            if shape.links:
                config["discovery"] = await self._link(name, up[1][name])
            if self.datagrams is not None:
                config |= self.datagrams.configure(i, len(names))
                config["settings"]["limits"]["peers"] = True
            self.instances[name] = InstanceProcess(name, address, folder, config)

    async def _link(self, name: str, discovery: int) -> str:
        """Relays from an instance to discovery and to all nodes; where it is to ask for the list."""
        for node in self.nodes.values():
            host, _, port = node.entry["hostPort"].rpartition(":")
            self.links[name, node.entry["instanceId"]] = Relay((host, int(port)))
        self.links[name, "discovery"] = Relay(("127.0.0.1", discovery))
        mine = {to: relay for (instance, to), relay in self.links.items() if instance == name}
        at = {to: "{}:{}".format(*await relay.start()) for to, relay in mine.items()}
        self.discovery.command(hosts={name: at})
        return at["discovery"]

    async def start_instances(self) -> None:
        """Start every sidecar and wait until all are ready."""
        await asyncio.gather(*(self.start_instance(name) for name in self.instances))

    async def _stop(self) -> None:
        await asyncio.gather(*(self.stop_instance(name) for name in self.instances))
        children = [node.child for node in self.nodes.values()]
        if hasattr(self, "discovery"):
            children.append(self.discovery)
        await asyncio.gather(*(child.kill() for child in children))
        if self.datagrams is not None:
            self.datagrams.stop()
        await asyncio.gather(*(relay.stop() for relay in self.links.values()))
        self._folder.cleanup()

    # --- nodes ----------------------------------------------------------------------------------

    async def add_node(self, name: str, number: int, cold: bool = False) -> None:
        """Start a node and tell discovery of it; one of that name that ran before is followed by it."""
        shape = self.shape
        spec = Spec(
            name=name,
            work_ms=site.work_ms(shape.work_scale),
            slots=shape.slots,
            queue=shape.queue,
            cold_from=shape.cold_from,
            cold_ms=shape.cold_ms if cold else 0,
            window_ms=site.WINDOW_MS,
            keyed=site.KEYED,
            seed=shape.seed,
        )
        child = Child("covetally.rig.node", asdict(spec), lambda row: self._node_row(name, row))
        zone, cell = site.ZONES[number % len(site.ZONES)], number // site.CELL_SIZE
        self.account.place(name, NodePlace(zone, cell, shape.slots, shape.cold_from, shape.cold_ms * MS))
        port = (await child.start())[1]
        if cold:
            self.account.started(name, time.monotonic_ns())
        entry = {
            "instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": zone, "machineType": site.KIND,
            "cell": cell, "lifecycle": "active", "weight": 1.0,
            "startedAtMs": time.time_ns() // MS if cold else 0,
        }  # fmt: skip
        seen = self.nodes[name].seen if name in self.nodes else Counter()
        self.nodes[name] = NodeProcess(child, spec, entry, number, seen)
        for (_, to), relay in self.links.items():
            if to == name:
                relay.target = ("127.0.0.1", port)
        self.discovery.command(set=entry)

    async def kill_node(self, name: str) -> None:
        """SIGKILL; discovery says nothing of it."""
        await self.nodes[name].child.kill()

    async def revive_node(self, name: str) -> None:
        """The same id, a new process at a new address, cold."""
        await self.add_node(name, self.nodes[name].number, cold=True)

    def mood(self, name: str, **mood: Any) -> None:
        """Let a node behave so (see `rig.node.Mood`)."""
        self.nodes[name].child.command(mood=mood)

    def lifecycle(self, name: str, lifecycle: str) -> None:
        """Tell discovery of a node's lifecycle: active or leaving."""
        entry = self.nodes[name].entry
        entry["lifecycle"] = lifecycle
        self.discovery.command(set=entry)

    def _node_row(self, name: str, row: Row) -> None:
        self.nodes[name].seen[row[0]] += 1
        if row[0] == "arrived":
            self.nodes[name].connections.add(row[7])
        self.account.node_row(name, row)

    def _discovery_row(self, row: Row) -> None:
        if row[0] == "told":
            self.account.told_row(row[1], row[2], [tuple(entry) for entry in row[3]])
        elif row[0] == "moved" and row[1] in self.on_moved:
            self.on_moved.pop(row[1]).set_result(row[2])

    async def move_discovery(self, name: str) -> int:
        """Give an instance's discovery a new port; the old one's connections end. The instance learns of it
        from its configuration only."""
        moved = self.on_moved[name] = asyncio.get_running_loop().create_future()
        self.discovery.command(move=name)
        return await moved

    # --- instances ------------------------------------------------------------------------------

    def command_line(self, name: str) -> tuple[list[str], dict[str, str]]:
        """How an instance is started: arguments and environment. Its configuration is written."""
        instance = self.instances[name]
        path = instance.folder / "config.json"
        path.write_text(json.dumps(instance.config))
        env = {"EDGE_CONFIG": str(path)}
        launcher: list[str] = []
        if instance.faults is not None:
            launcher = ["covetally.rig.fault_launcher"]
            env["RIG_FAULTS"] = instance.faults.text()
        return [sys.executable, "-m", *launcher, "covetally", *instance.arguments], env

    async def start_instance(self, name: str) -> None:
        """Start it and wait until it takes requests; RuntimeError with its log if it ends instead."""
        instance = self.instances[name]
        instance.killed = False
        command, env = self.command_line(name)
        with (instance.folder / "log").open("ab") as log:
            instance.process = await asyncio.create_subprocess_exec(
                *command, env=os.environ | env, stdout=log, stderr=log
            )
        await self.ready(name)

    async def ready(self, name: str) -> None:
        """Until it takes requests."""
        instance = self.instances[name]
        while True:
            try:
                reader, writer = await asyncio.open_connection(*instance.address)
            except OSError:
                if instance.process is not None and instance.process.returncode is not None:
                    raise RuntimeError(f"{name} ended: {instance.log[-2000:]}") from None
                await asyncio.sleep(0.02)
                continue
            writer.write(b"GET /_health HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n")
            line = b""
            with contextlib.suppress(ConnectionError):
                line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return
            await asyncio.sleep(0.02)

    def alive(self, name: str) -> bool:
        """Whether an instance was not killed on purpose: one that ends by itself has lost what it held."""
        return not self.instances[name].killed

    def kill_instance(self, name: str) -> None:
        """SIGKILL."""
        process = self.instances[name].process
        if process is not None and process.returncode is None:
            self.instances[name].killed = True
            process.kill()

    async def stop_instance(self, name: str) -> int | None:
        """SIGTERM, then SIGKILL where that does not end it; its exit status."""
        process = self.instances[name].process
        if process is None:
            return None
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)  # it may have been stopped on purpose
            process.terminate()
            try:
                async with asyncio.timeout(STOP_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
        return await process.wait()
