"""Clients that make one sidecar process hold much memory, beside usual clients, and the memory that it takes.

What is owed is in `PressureReport.broken`: the process stays under the limit of its settings, it gives the memory
back once such clients have gone, usual clients are answered, and the others are answered or closed in time.
"""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import asdict, dataclass, field
from pathlib import Path

from covetally.rig.child import Child, Row
from covetally.rig.memory_clients import KINDS, ClientsSpec
from covetally.rig.usual_clients import Address, UsualReport, send_usual
from covetally.rig.world import InstanceProcess, Shape, World

USUAL_CLIENTS = 6
CLIENT_PROCESSES = 3
OWED_WITHIN_S = 3.0  # from connecting, a client that stops is owed an error or a close
QUIET_S = 1.0  # before the first burst, in which the memory at rest is measured
SAMPLE_S = 0.02
GIVEN_BACK_AFTER_S = 10.0  # from the end of the last burst
GIVEN_BACK_MB = 4.0  # the most that may be held by then beyond the memory at rest

EVENTS = ("none", "reload", "terminate")


@dataclass(frozen=True, slots=True)
class PressurePlan:
    """What the clients send, and when. `kinds` are taken in turn; times are in seconds."""

    kinds: tuple[str, ...]
    clients: int = 400
    memory_mb: int = 32
    sockets: int = 1024
    step_s: float = 0.0  # between the first connections of two clients
    burst_s: float = 4.0  # how long the clients of a burst come again once they were refused
    bursts: int = 1
    event: str = "none"  # in the middle of the last burst: SIGHUP, or SIGTERM
    seed: int = 1

    @classmethod
    def draw(cls, seed: int) -> PressurePlan:
        """Draw a plan."""
        draw = random.Random(seed)
        return cls(
            kinds=tuple(draw.sample(sorted(KINDS), draw.choice((1, 2, 4, len(KINDS))))),
            clients=draw.choice((100, 400, 400, 1000)),
            memory_mb=draw.choice((32, 32, 64, 96, 192)),
            sockets=draw.choice((256, 1024, 1024)),
            step_s=draw.choice((0.0, 0.0, 0.005)),
            bursts=draw.choice((1, 2, 3)),
            event=draw.choice(("none", "none", "reload", "terminate")),
            seed=seed,
        )

    @property
    def length_s(self) -> float:
        """From the start of the first burst to the end of the last."""
        return self.bursts * self.burst_s + (self.bursts - 1) * QUIET_S


@dataclass
class PressureReport(UsualReport):
    """What one play showed. Memory is in MB (PSS of the process)."""

    limit_mb: float = 0.0
    rest_mb: float = 0.0
    peaks_mb: list[float] = field(default_factory=list)  # of each burst
    after_mb: float = 0.0  # some time after the last burst; 0 if the process was told to end
    largest_resident_mb: float = 0.0  # of the whole play, shared pages included
    waits_s: list[float] = field(default_factory=list)  # of clients that stopped, until an error or a close
    ended: bool = False  # the process ended by itself
    violations: list[str] = field(default_factory=list)
    log: str = ""

    def broken(self) -> list[str]:
        """What was owed and not kept, in words."""
        found = super().broken()
        late = [wait for wait in self.waits_s if wait > OWED_WITHIN_S]
        found += [f"a client that stopped waited {wait:.2f} s" for wait in late]
        found += [
            f"{peak:.1f} MB with a limit of {self.limit_mb}" for peak in self.peaks_mb if peak > self.limit_mb
        ]
        if self.after_mb > self.rest_mb + GIVEN_BACK_MB:
            found.append(f"{self.after_mb:.1f} MB afterwards, {self.rest_mb:.1f} at rest")
        if self.ended:
            found.append("the process ended by itself")
        return found + self.violations

    def table(self) -> dict[str, object]:
        """The figures, for a person."""
        return {
            "rest_mb": round(self.rest_mb, 1), "peaks_mb": [round(peak, 1) for peak in self.peaks_mb],
            "after_mb": round(self.after_mb, 1), "resident_mb": round(self.largest_resident_mb, 1),
            "statuses": dict(self.statuses), "p99_ms": self.p99_ms(),
            "unanswered": len(self.unanswered), "closed": len(self.closed),
            "stopped": len(self.waits_s), "longest_s": round(max(self.waits_s, default=0.0), 2),
        }  # fmt: skip


class MemorySampler:
    """Samples the memory of a process, in MB. Pages that are shared count by their share (PSS)."""

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")
        self.peak_mb = 0.0

    def now_mb(self) -> float:
        """The memory that it takes now; 0 once it has ended."""
        return self._kib("smaps_rollup", "Pss") / 1024

    def largest_resident_mb(self) -> float:
        """The largest resident memory since its start."""
        return self._kib("status", "VmHWM") / 1024

    def _kib(self, name: str, key: str) -> int:
        try:
            lines = (self._folder / name).read_text().splitlines()
        except OSError:
            return 0
        return next((int(line.split()[1]) for line in lines if line.startswith(f"{key}:")), 0)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.peak_mb = max(self.peak_mb, self.now_mb())
            await asyncio.sleep(SAMPLE_S)


async def _signal_halfway(plan: PressurePlan, instance: InstanceProcess) -> None:
    await asyncio.sleep(plan.burst_s / 2)
    if plan.event == "none" or not instance.running:
        return
    assert instance.process is not None
    instance.process.send_signal(signal.SIGHUP if plan.event == "reload" else signal.SIGTERM)


class _PressingClients:
    """The processes of clients that make the sidecar hold memory."""

    def __init__(self, plan: PressurePlan, address: Address, report: PressureReport) -> None:
        self._report = report
        self._done = asyncio.Queue[Row]()
        self._children = []
        for first in range(CLIENT_PROCESSES):
            numbers = tuple(range(first, plan.clients, CLIENT_PROCESSES))
            spec = ClientsSpec(address, plan.kinds, numbers, plan.step_s, plan.burst_s)
            self._children.append(Child("covetally.rig.memory_clients", asdict(spec), self._done.put_nowait))

    async def start(self) -> None:
        """Start the processes; nothing connects yet."""
        await asyncio.gather(*(child.start() for child in self._children))

    async def play_burst(self, burst: int) -> None:
        """Let all clients connect, and return once they have gone."""
        for child in self._children:
            child.command(burst=burst)
        for _ in self._children:
            row = await self._done.get()
            self._report.waits_s += row[2]

    async def stop(self) -> None:
        """End the processes."""
        await asyncio.gather(*(child.kill() for child in self._children))


async def play(plan: PressurePlan) -> PressureReport:
    """Play a plan with one sidecar process as it ships; returns what was seen."""
    report = PressureReport(limit_mb=float(plan.memory_mb))
    shape = Shape(nodes=6, instances=1, memory_mb=plan.memory_mb, sockets=plan.sockets, seed=plan.seed)
    async with World(shape) as world:
        await world.start_instances()
        instance = world.instances["a0"]
        assert instance.process is not None
        sampler = MemorySampler(instance.process.pid)
        clients = _PressingClients(plan, instance.address, report)
        await clients.start()
        ends = plan.event == "terminate"
        usual_s = QUIET_S + plan.length_s
        usual = [
            asyncio.create_task(send_usual(instance.address, number, usual_s, ends, report))
            for number in range(USUAL_CLIENTS)
        ]
        await asyncio.sleep(QUIET_S)
        report.rest_mb = sampler.now_mb()
        sampling = asyncio.create_task(sampler.run())
        for burst in range(plan.bursts):
            sampler.peak_mb = 0.0
            last = burst == plan.bursts - 1
            signalling = asyncio.create_task(_signal_halfway(plan, instance)) if last else None
            await clients.play_burst(burst)
            if signalling is not None:
                await signalling
            report.peaks_mb.append(sampler.peak_mb)
            report.largest_resident_mb = max(report.largest_resident_mb, sampler.largest_resident_mb())
            await asyncio.sleep(0.0 if last else QUIET_S)
        await clients.stop()
        await asyncio.gather(*usual)
        sampling.cancel()
        if not ends:
            await asyncio.sleep(GIVEN_BACK_AFTER_S)
            report.after_mb = sampler.now_mb()
            report.ended = not instance.running
        report.log = instance.log
        report.violations = [line for line in report.log.splitlines() if " ERROR " in line or "Traceback" in line]
    return report
