"""What a request costs on its way through one sidecar: CPU, times and where the CPU goes, beside a bare byte
relay and, with --before TREE, beside the sidecar of another checkout. One sidecar on one core; nodes and clients
on others."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.report import progress, rss_mib, show
from covetally.rig import site
from covetally.rig.child import Child

SIDECAR_CORE, NODE_CORES, CLIENT_CORES = 2, (3, 4), (5, 6, 7)
WARM_S = 1.0
NEW_RATE = 600.0  # requests/s on new connections, of each of two sidecars on one core
PARTS_SHOWN = 16


def pin(pid: int, *cores: int) -> None:
    """Keep a process on these cores, where the machine has them."""
    if (os.cpu_count() or 1) > max(cores):
        os.sched_setaffinity(pid, cores)


def cpu_s(pid: int) -> float:
    """CPU time of a process so far, s."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def _times(pid: int) -> tuple[float, float]:
    """User and system time of a process, s. The kernel counts ticks of 10 ms; its total is exact to the ns."""
    parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(parts[11]), int(parts[12])
    total = cpu_s(pid)
    share = user / max(1, user + system)
    return total * share, total * (1 - share)


async def _start(*words: str, **more: Any) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        *words, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, **more
    )


class Place:
    """Nodes, discovery, and a folder."""

    def __init__(self, nodes: int) -> None:
        self._nodes = nodes
        self._processes: list[asyncio.subprocess.Process] = []
        self._folder = tempfile.TemporaryDirectory(prefix="cindersail-")
        self.folder = Path(self._folder.name)
        self.ports: list[int] = []
        self._discovery: Child
        self._serial = 0

    async def __aenter__(self) -> Place:
        for number, core in enumerate(NODE_CORES):
            count = self._nodes // 2 + (self._nodes % 2 if number else 0)
            process = await _start(sys.executable, "-m", "benchmarks.quick", "nodes", str(count))
            pin(process.pid, core)
            self._processes.append(process)
            assert process.stdout is not None
            self.ports += json.loads(await process.stdout.readline())
        names = [f"s{i}" for i in range(200)]
        self._discovery = Child("covetally.rig.discovery", {"instances": names}, lambda row: None)
        self._discovery_ports = (await self._discovery.start())[1]
        for number, port in enumerate(self.ports):
            self._discovery.command(set={
                "instanceId": f"n{number}", "hostPort": f"127.0.0.1:{port}", "zone": site.ZONES[0],
                "machineType": site.KIND, "cell": number // 4, "lifecycle": "active", "weight": 1.0,
                "startedAtMs": 0,
            })  # fmt: skip
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        await self._discovery.kill()
        self._folder.cleanup()

    async def sidecar(
        self, tree: Path | None = None, out: Path | None = None, arguments: tuple[str, ...] = ()
    ) -> Sidecar:
        """A sidecar of this checkout or another; with `out` under the profiler."""
        name = f"s{self._serial}"
        self._serial += 1
        address = ("127.0.0.1", 21_000 + os.getpid() % 4000 + self._serial)
        config = {
            "name": name, "listen": f"127.0.0.1:{address[1]}",
            "discovery": f"127.0.0.1:{self._discovery_ports[name]}", "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": site.settings(0, 1, 1.0, 1),
        }  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        module = ["benchmarks.sampled", str(out)] if out is not None else ["covetally"]
        env = os.environ | {"EDGE_CONFIG": str(path)}
        log = self.folder / f"{name}.log"
        words = (*module, *arguments)
        with log.open("wb") as file:
            process = await _start(sys.executable, "-m", *words, env=env, cwd=tree or Path.cwd(), stderr=file)
        self._processes.append(process)
        pin(process.pid, SIDECAR_CORE)
        await _ready(address)
        return Sidecar(process, address, tree, log)

    async def relay(self) -> Sidecar:
        """A bare relay to one node, in the sidecar's place."""
        target = f"127.0.0.1:{self.ports[0]}"
        process = await _start(sys.executable, "-m", "benchmarks.quick", "relay", target)
        pin(process.pid, SIDECAR_CORE)
        self._processes.append(process)
        assert process.stdout is not None
        port = json.loads(await process.stdout.readline())[0]
        return Sidecar(process, ("127.0.0.1", port), None, None)


async def _ready(address: tuple[str, int]) -> None:
    async with asyncio.timeout(20):
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)


class Sidecar:
    """What is measured."""

    def __init__(
        self, process: asyncio.subprocess.Process, address: tuple[str, int], tree: Path | None, log: Path | None
    ) -> None:
        self.process, self.address, self.tree, self.log = process, address, tree, log

    async def ask(
        self,
        rate: float,
        seconds: float,
        connections: int,
        method: str = "GET",
        kind: str = "kept",
        clients: int = 3,
    ) -> dict[str, float]:
        """Ask it, by client processes of their own; what it cost and how it fared."""
        clients = min(clients, connections)
        before = _times(self.process.pid)
        where = "{}:{}".format(*self.address)
        words = ["-m", "benchmarks.quick", "ask", where, str(rate / clients), str(seconds),
                 str(connections // clients), method, kind]  # fmt: skip
        askers = []
        for number in range(clients):
            asker = await _start(sys.executable, *words)
            pin(asker.pid, CLIENT_CORES[number % len(CLIENT_CORES)])
            askers.append(asker)
        rows = [json.loads((await asker.communicate())[0]) for asker in askers]
        after = _times(self.process.pid)
        asked = max(1, sum(row["asked"] for row in rows))
        seen: dict[str, int] = {}
        for row in rows:
            for how, count in row["seen"].items():
                seen[how] = seen.get(how, 0) + count
        user, system = ((b - a) / asked * 1e6 for a, b in zip(before, after, strict=True))
        return {
            "rate": asked / seconds, "us": user + system, "user": user, "system": system,
            "core": (user + system) * asked / seconds / 1e6,
            "p50": max(row["p50"] for row in rows), "p99": max(row["p99"] for row in rows),
            "p999": max(row["p999"] for row in rows),
            "in_time": sum(row["in_time"] for row in rows) / asked,
            "refused": seen.get("refused", 0) / asked,
            "other": (asked - seen.get("served", 0) - seen.get("refused", 0)) / asked,
            "rss": rss_mib(self.process.pid), "late": max(row["late_ms"] for row in rows),
        }  # fmt: skip

    async def end(self) -> None:
        """SIGTERM, and until it has ended."""
        self.process.terminate()
        await self.process.wait()


def words(got: dict[str, float]) -> str:
    """One line of figures."""
    return (
        f"{got['rate']:.0f}/s  {got['us']:.0f} us ({got['user']:.0f} user, {got['system']:.0f} system), "
        f"{got['core']:.0%} of a core; p50 {got['p50']:.1f}, p99 {got['p99']:.1f}, p99.9 {got['p999']:.1f} ms; "
        f"in time {got['in_time']:.2%}, refused {got['refused']:.2%}, other {got['other']:.2%}; "
        f"{got['rss']:.0f} MiB"
    )


async def measure(rates: list[float], seconds: float, before: Path | None, turns: int) -> dict[str, object]:
    """The figures."""
    rows: dict[str, object] = {}
    trees: dict[str, Path | None] = {"": None} | ({"before: ": before} if before is not None else {})
    for nodes in (4, 67):
        async with Place(nodes) as place:
            for turn in range(turns):
                relay = await place.relay()
                bare = await relay.ask(0, seconds, 16, kind="burst", clients=2)
                await relay.end()
                rows[f"{nodes} nodes, bare relay, 16 kept as fast as answered, turn {turn + 1}"] = words(bare)
                # Both at once on the one core: the machine's moods fall on both alike.
                several = {label: await place.sidecar(tree) for label, tree in trees.items()}
                for one in several.values():
                    await one.ask(300, WARM_S, 15)
                found = await asyncio.gather(
                    *(one.ask(0, seconds, 16, kind="burst", clients=1) for one in several.values())
                )
                for label, got in zip(several, found, strict=True):
                    rows[f"{nodes} nodes, {label}16 kept as fast as answered, turn {turn + 1}"] = (
                        f"{words(got)}; {got['us'] / bare['us']:.1f} times the relay"
                    )
                    progress(f"{nodes} nodes, {label}turn {turn + 1}: {got['us']:.0f} us, relay {bare['us']:.0f}")
                    await several[label].end()
                await _new_connections(place, trees, seconds, f"{nodes} nodes, turn {turn + 1}, ", rows)
            for label, tree in trees.items():
                one = await place.sidecar(tree)
                await one.ask(300, WARM_S, 15)
                kinds = (("GET", "kept", rates), ("POST", "kept", rates[:2]), ("GET", "new", rates[:2]))
                for method, kind, some in kinds:
                    for rate in some:
                        got = await one.ask(rate, seconds, 96, method, kind)
                        rows[f"{nodes} nodes, {label}{method}, {kind}, {rate:g}/s"] = words(got)
                        progress(f"{nodes} nodes, {label}{method}, {kind}, {rate:g}/s: {words(got)}")
                await one.end()
    return rows


async def _new_connections(
    place: Place, trees: dict[str, Path | None], seconds: float, where: str, rows: dict[str, object]
) -> None:
    """What a request on a connection of its own costs: all trees at once, at a rate that each can carry."""
    several = {label: await place.sidecar(tree) for label, tree in trees.items()}
    for one in several.values():
        await one.ask(300, WARM_S, 15)
    found = await asyncio.gather(
        *(one.ask(NEW_RATE, seconds, 96, kind="new", clients=1) for one in several.values())
    )
    for label, got in zip(several, found, strict=True):
        rows[f"{where}{label}a new connection for each, {NEW_RATE:g}/s"] = words(got)
        progress(f"{where}{label}new connections: {words(got)}")
        await several[label].end()


async def breakdown(seconds: float, nodes: int) -> dict[str, object]:
    """Where the CPU goes, by samples, with 16 kept connections."""
    rows: dict[str, object] = {}
    async with Place(nodes) as place:
        out = place.folder / "profile.json"
        one = await place.sidecar(out=out)
        await one.ask(300, WARM_S, 15)
        one.process.send_signal(signal.SIGUSR2)
        got = await one.ask(0, seconds, 16, kind="burst", clients=2)
        await one.end()
        found = json.loads(out.read_text())
    total = sum(found["parts"].values())
    rows["under the profiler"] = words(got)
    for part, count in list(found["parts"].items())[:PARTS_SHOWN]:
        rows[f"part: {part}"] = f"{count / total:6.1%}  {got['us'] * count / total:5.1f} us"
    for line, count in list(found["functions"].items())[:24]:
        rows[f"function: {line}"] = f"{count / total:6.1%}"
    return rows


def main() -> int:
    """Exit status 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", default="300,1500,3000,4000,5000,6000", help="requests/s, with commas")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--before", type=Path, help="another checkout, measured beside this one")
    parser.add_argument("--breakdown", action="store_true", help="only where the CPU goes")
    parser.add_argument("--nodes", type=int, default=4, help="for --breakdown")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if options.breakdown:
        rows = asyncio.run(breakdown(options.seconds, options.nodes))
    else:
        rates = [float(x) for x in options.rates.split(",")]
        rows = asyncio.run(measure(rates, options.seconds, options.before, options.turns))
    show("path", rows, options.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
