"""What a Eureka roster costs and how fast it is: from a mark at the registry to the last request at the node,
polling against its cost, a registry of 10,000 instances read while requests wait, and mutated answers."""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import subprocess
import sys
import time
from typing import Any

from benchmarks.report import cpu_s, progress, show
from covetally.membership.membership_view import MembershipView
from covetally.membership.eureka.client import EurekaConfig, EurekaSource
from covetally.membership.model import ViewConfig
from covetally.net.clock import Clock
from covetally.operator.url import split_url
from covetally.rig.child import Child
from covetally.rig.eureka import instance
from covetally.rig.registered import Registered
from covetally.rig.world import Shape

MS = 1_000_000
OTHERS = 200  # instances of other applications in the registry that is polled


def _spread(values: list[float]) -> str:
    values = sorted(values)
    at = {q: values[min(len(values) - 1, int(len(values) * q))] for q in (0.5, 0.9, 0.99)}
    return f"p50 {at[0.5]:.1f}, p90 {at[0.9]:.1f}, p99 {at[0.99]:.1f}, most {values[-1]:.1f}"


async def marks(count: int) -> dict[str, object]:
    """From the registry's answer to the last first byte at the node, for each mark and sidecar."""
    late: list[float] = []
    async with Registered(Shape(nodes=6, instances=4, work_scale=0.2), more="poll_s = 0.2") as world:
        await world.start_instances()
        steps = (count + 3) // 4
        _, playing = world.load(400, steps * 1.1 + 1.0)
        await asyncio.sleep(0.5)
        marked: list[str] = []
        for step in range(steps):
            name = f"n{step % 6}"
            marked.append(name)
            world.mark(name, "OUT_OF_SERVICE")
            await asyncio.sleep(0.8)
            world.mark(name, "")
            await asyncio.sleep(0.3)
        await playing
        verdict = world.judge()
        account = world.account
        for (sidecar, node), updates in account.told.items():
            began = sorted(
                a.began_ns for found in account.arrivals.values() for a in found
                if a.node == node and a.id in account.asks and account.asks[a.id].instance == sidecar
            )  # fmt: skip
            for (at, lifecycle, _), (until, *_) in zip(
                updates, [*updates[1:], (at_end(updates), "", 0)], strict=True
            ):
                if lifecycle == "leaving":
                    after = [x for x in began if at <= x < until]
                    late.append((after[-1] - at) / MS if after else 0.0)
    return {
        f"{len(late)} marks, from the answer to the last send (ms)": _spread(late),
        "rules": "kept" if verdict.kept else f"BROKEN: {verdict.breaks[:3]}",
        "requests": f"{verdict.asked} asked, {verdict.served} served, {verdict.refused} refused",
    }


def at_end(updates: list[Any]) -> int:
    """Past all that was told."""
    return updates[-1][0] + 10**15


class _Registry:
    """A stand-in as a process of its own."""

    def __init__(self) -> None:
        self._counts: asyncio.Future[Any] | None = None
        self._child = Child("covetally.rig.eureka", {"instances": ["a"]}, self._row)

    async def start(self, nodes: int, others: int) -> str:
        port = (await self._child.start())[1]["a"][0]
        for i in range(nodes):
            record = instance("LEDGER", f"n{i}", "127.0.0.1", 10_000 + i, metadata={"zone": "a"})
            self._child.command(register=record)
        if others:
            self._child.command(fill=others)
        await self.counts()
        return f"http://127.0.0.1:{port}/eureka"

    def _row(self, row: list[Any]) -> None:
        if row[0] == "counts" and self._counts is not None:
            self._counts.set_result(row[1:])

    def command(self, **words: Any) -> None:
        """Pass a command on."""
        self._child.command(**words)

    async def counts(self) -> tuple[dict[str, int], int]:
        """Calls by kind, and bytes answered."""
        self._counts = asyncio.get_running_loop().create_future()
        self._child.command(count=True)
        return await self._counts

    async def stop(self) -> None:
        """End it."""
        await self._child.kill()

    @property
    def pid(self) -> int:
        """Its process."""
        return self._child.pid


async def polling(by: str, clients: int, poll_s: float, seconds: float, changes: bool) -> dict[str, object]:
    """So many followers of 67 nodes among OTHERS other instances: calls and bytes a minute for each."""
    registry = _Registry()
    url = split_url(await registry.start(67, OTHERS))
    reads = [0]

    def on_read(read: Any) -> None:
        reads[0] += read.complete

    config = EurekaConfig((url,), "LEDGER", scope=by, poll_s=poll_s, timeout_s=20.0)
    followers = [EurekaSource(config, Clock(), on_read) for _ in range(clients)]
    for number, follower in enumerate(followers):
        follower.start()
        if number % 20 == 19:
            await asyncio.sleep(poll_s / clients * 20)
    while reads[0] < clients:
        await asyncio.sleep(0.05)
    before, bytes_before = await registry.counts()
    at, mine, theirs = time.monotonic(), time.process_time(), cpu_s(registry.pid)
    end = at + seconds
    step = 0
    while time.monotonic() < end:
        await asyncio.sleep(1.0)
        if changes:
            registry.command(mark=["LEDGER", f"n{step % 67}", ("DOWN", "UP")[step // 67 % 2]])
            step += 1
    after, bytes_after = await registry.counts()
    spent_s, minutes = time.process_time() - mine, (time.monotonic() - at) / 60
    theirs = cpu_s(registry.pid) - theirs
    calls = after["GET"] - before["GET"]
    failures = sum(f.counts["failures"] for f in followers)
    for follower in followers:
        follower.stop()
    await asyncio.sleep(0)
    await registry.stop()
    return {
        f"{by}, {clients} sidecars, every {poll_s:g} s": (
            f"{calls / minutes / clients:.1f} calls and "
            f"{(bytes_after - bytes_before) / minutes / clients / 1024:.0f} KiB a minute each, "
            f"{spent_s / calls * 1e6:.0f} us CPU a read; the stand-in "
            f"{theirs / minutes / 0.6:.0f} % of a core; {failures} failures"
        )
    }


async def large(total: int, wanted: int, form: str) -> dict[str, object]:
    """One full read of a large registry: time, the longest stall of the loop, memory."""
    registry = _Registry()
    url = split_url(await registry.start(wanted, total - wanted))
    done, stalls = asyncio.Event(), [0.0]
    view, parts = MembershipView(ViewConfig(), 1), [0.0]

    def on_read(read: Any) -> None:
        began = time.perf_counter()
        updates = view.apply_snapshot(2, read)
        parts[0] = time.perf_counter() - began
        assert len(updates) == wanted and read.complete, (len(updates), read.complete)
        done.set()

    async def ticker() -> None:
        while True:
            began = time.perf_counter()
            await asyncio.sleep(0)
            stalls[0] = max(stalls[0], time.perf_counter() - began)

    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    config = EurekaConfig((url,), "LEDGER", scope="all", poll_s=3600, timeout_s=60.0, format=form)
    follower = EurekaSource(config, Clock(), on_read)
    ticking = asyncio.create_task(ticker())
    await asyncio.sleep(0.1)
    stalls[0] = 0.0
    began, cpu = time.perf_counter(), time.process_time()
    follower.start()
    await done.wait()
    took, used = time.perf_counter() - began, time.process_time() - cpu
    await asyncio.sleep(0)
    ticking.cancel()
    follower.stop()
    await asyncio.sleep(0)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    size = follower.counts["bytes"]
    await registry.stop()
    return {
        f"{total} instances, {wanted} of them nodes, {form}": (
            f"{size / 2**20:.1f} MiB in {took:.2f} s ({used:.2f} s CPU), longest stall {stalls[0] * 1000:.1f} ms "
            f"(believing {parts[0] * 1000:.1f} ms), peak memory +{peak / 1024:.1f} MiB"
        )
    }


def whole(total: int) -> dict[str, object]:
    """The way not taken, beside it: the same answer decoded in one piece."""
    from covetally.rig import eureka as standin

    records = [instance("LEDGER", f"n{i}", "127.0.0.1", 10_000 + i % 10_000) for i in range(total)]
    text = standin._json(records, "", "all", True)
    began = time.perf_counter()
    json.loads(text)
    stall_ms = (time.perf_counter() - began) * 1000
    return {f"{total} instances, json.loads in one piece": f"a stall of {stall_ms:.0f} ms"}


async def idle(poll_s: float, seconds: float) -> dict[str, object]:
    """A sidecar that nobody asks anything: CPU a minute for following 67 nodes."""
    async with Registered(Shape(nodes=2, instances=2), more=f"poll_s = {poll_s}") as world:
        for i in range(65):
            record = instance("LEDGER", f"x{i}", "127.0.0.1", 40_000 + i)
            world.registry.command(register=record)
        world.instances["a1"].arguments = ()
        await world.start_instances()
        pids = {name: inst.process.pid for name, inst in world.instances.items() if inst.process is not None}
        before = {name: cpu_s(pid) for name, pid in pids.items()}
        await asyncio.sleep(seconds)
        used = {name: (cpu_s(pid) - before[name]) * 1000 * 60 / seconds for name, pid in pids.items()}
    return {
        f"a sidecar at rest, 67 nodes, every {poll_s:g} s": (
            f"{used['a0']:.0f} ms CPU a minute, {used['a1']:.0f} without a roster of its own"
        )
    }


def apart(what: str, *arguments: object) -> dict[str, object]:
    """A part in a process of its own: memory peaks are for the whole life of one."""
    call = f"asyncio.run(r.{what}(*{arguments!r}))"
    code = f"import asyncio, json, benchmarks.roster as r; print(json.dumps({call}))"
    done = subprocess.run([sys.executable, "-c", code], stdout=subprocess.PIPE, check=True, timeout=300)
    return json.loads(done.stdout)


def measure(quick: bool) -> dict[str, object]:
    """The figures."""
    rows: dict[str, object] = {}
    for form in ("json", "xml"):
        rows |= apart("large", 10_000, 67, form)
        rows |= apart("large", 10_000, 10_000, form)
    rows |= whole(10_000)
    progress("large registries read")
    for by, clients, poll_s in (("app", 1, 5.0), ("all", 1, 5.0), ("app", 100, 5.0), ("all", 100, 5.0),
                                ("app", 1000, 30.0), ("all", 1000, 30.0), ("app", 1, 0.25)):  # fmt: skip
        rows |= apart("polling", by, clients, poll_s, 10.0 if quick else 20.0, True)
        progress(f"{by}, {clients}, {poll_s}")
    for poll_s in (5.0, 0.25):
        rows |= asyncio.run(idle(poll_s, 10.0 if quick else 30.0))
    rows |= asyncio.run(marks(40 if quick else 200))
    progress("marks")
    from tests.membership.test_eureka import fuzz

    rounds = 2000 if quick else 10_000
    rows[f"{rounds} mutated answers, seed 7"] = str(fuzz(7, rounds))
    return rows


def main() -> int:
    """Exit status 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    show("roster", measure(options.quick), options.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
