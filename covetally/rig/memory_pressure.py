"""Clients that make one sidecar process hold much memory, beside usual clients, and the memory that it takes.

What is owed is in `PressureReport.broken`: the process stays under the limit of its settings, it gives the memory
back once such clients have gone, usual clients are answered, and the others are answered or closed in time.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from covetally.rig.usual_clients import Address, UsualReport, read_status, send_usual, usual_request
from covetally.rig.world import InstanceProcess, Shape, World

USUAL_CLIENTS = 6
OWED_WITHIN_S = 3.0  # from connecting, a client that stops is owed an error or a close
PATIENCE_S = 2 * OWED_WITHIN_S  # of such a client
QUIET_S = 1.0  # before the first burst, in which the memory at rest is measured
SAMPLE_S = 0.02
GIVEN_BACK_AFTER_S = 10.0  # from the end of the last burst
GIVEN_BACK_MB = 4.0  # the most that may be held by then beyond the memory at rest
REFUSED_PAUSE_S = 0.05  # after a connect that was refused
PIECE_S = 0.002  # between the pieces of a request
MANY = 15_000  # bytes of header fields
LONG_FIELD = 1_000  # bytes
PIECE = 1_500  # bytes
BODY, BODY_SENT = 65_000, 60_000  # bytes, of a body that stays incomplete

Pieces = Iterator[bytes]


def _post(name: str, length: int) -> bytes:
    return (
        f"POST /api?sid=5f3a HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {name}\r\nX-Qos: calib-update\r\n"
        f"X-Customer: officina-verona\r\nX-Expires-In: 1.500\r\nContent-Length: {length}\r\n"
    ).encode()


def _short_fields(names: tuple[bytes, ...]) -> bytes:
    lines, size = [], 0
    for name in itertools.cycle(names):
        lines.append(name + b":" + name + b"\r\n")
        size += len(lines[-1])
        if size >= MANY:
            return b"".join(lines)
    raise AssertionError


def _many_fields(name: str) -> Pieces:
    yield _post(name, 10) + _short_fields((b"a",))


def _varied_fields(name: str) -> Pieces:
    yield _post(name, 10) + _short_fields((b"a", b"bb", b"ccc"))


def _fields_in_pieces(name: str) -> Pieces:
    head = _post(name, 10) + _short_fields((b"a", b"bb", b"ccc"))
    for at in range(0, len(head), PIECE):
        yield head[at : at + PIECE]


def _long_fields(name: str) -> Pieces:
    fields = (b"x-%d: " % number + b"v" * LONG_FIELD + b"\r\n" for number in range(MANY // LONG_FIELD - 1))
    yield _post(name, 10) + b"".join(fields)


def _large_body(name: str) -> Pieces:
    yield _post(name, BODY) + b"\r\n" + b"x" * BODY_SENT


def _large_body_in_pieces(name: str) -> Pieces:
    yield _post(name, BODY) + b"\r\n"
    for _ in range(0, BODY_SENT, PIECE):
        yield b"x" * PIECE


def _small_body(name: str) -> Pieces:
    yield _post(name, BODY) + b"\r\n" + b"x" * 4_000


def _whole_head(name: str) -> Pieces:
    yield usual_request(name, {f"x-{number:x}": "v" for number in range(1_500)})


def _whole_long_head(name: str) -> Pieces:
    yield usual_request(name, {f"x-{number}": "v" * LONG_FIELD for number in range(MANY // LONG_FIELD - 1)})


def _whole_body(name: str) -> Pieces:
    yield _post(name, BODY_SENT) + b"\r\n" + b"x" * BODY_SENT


def _pipeline(name: str) -> Pieces:
    yield b"".join(usual_request(f"{name}-{number}") for number in range(400))


KINDS: dict[str, Callable[[str], Pieces]] = {
    "many_fields": _many_fields,
    "varied_fields": _varied_fields,
    "fields_in_pieces": _fields_in_pieces,
    "long_fields": _long_fields,
    "large_body": _large_body,
    "large_body_in_pieces": _large_body_in_pieces,
    "small_body": _small_body,
    "whole_head": _whole_head,
    "whole_long_head": _whole_long_head,
    "whole_body": _whole_body,
    "pipeline": _pipeline,
}
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
            "statuses": dict(self.statuses), "unanswered": len(self.unanswered), "closed": len(self.closed),
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


async def _hold(
    address: Address, pieces: Callable[[str], Pieces], name: str, report: PressureReport, until: float
) -> None:
    """Connect and send one request after the other, as long as they are served; those that stay incomplete wait
    for an error or a close."""
    started_at = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:  # the backlog is full, or the sidecar has ended
        await asyncio.sleep(REFUSED_PAUSE_S)
        return
    served = True
    try:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + PATIENCE_S) as timeout:
            for turn in itertools.count():
                for piece in pieces(f"{name}-{turn}"):
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(PIECE_S)
                status, kept = await read_status(reader)
                served = status == 200
                if not (served and kept) or time.monotonic() >= until:
                    break
                timeout.reschedule(asyncio.get_running_loop().time() + PATIENCE_S)
                started_at = time.monotonic()
    except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
        served = False
    finally:
        writer.close()
        if not served:
            report.waits_s.append(time.monotonic() - started_at)


async def _press(address: Address, number: int, plan: PressurePlan, burst: int, report: PressureReport) -> None:
    """Be one client of a burst: come again as soon as a connection has ended."""
    await asyncio.sleep(plan.step_s * number)
    until = time.monotonic() + plan.burst_s - min(plan.step_s * number, plan.burst_s)
    pieces = KINDS[plan.kinds[number % len(plan.kinds)]]
    for turn in itertools.count():
        await _hold(address, pieces, f"held{burst}-{number}-{turn}", report, until)
        if time.monotonic() >= until:
            return


async def _signal_halfway(plan: PressurePlan, instance: InstanceProcess) -> None:
    await asyncio.sleep(plan.burst_s / 2)
    if plan.event == "none" or not instance.running:
        return
    assert instance.process is not None
    instance.process.send_signal(signal.SIGHUP if plan.event == "reload" else signal.SIGTERM)


async def _play_burst(plan: PressurePlan, burst: int, instance: InstanceProcess, report: PressureReport) -> None:
    work: list[Awaitable[None]] = [
        _press(instance.address, number, plan, burst, report) for number in range(plan.clients)
    ]
    if burst == plan.bursts - 1:
        work.append(_signal_halfway(plan, instance))
    await asyncio.gather(*work)


async def play(plan: PressurePlan) -> PressureReport:
    """Play a plan with one sidecar process as it ships; returns what was seen."""
    report = PressureReport(limit_mb=float(plan.memory_mb))
    shape = Shape(nodes=6, instances=1, memory_mb=plan.memory_mb, sockets=plan.sockets, seed=plan.seed)
    async with World(shape) as world:
        await world.start_instances()
        instance = world.instances["a0"]
        assert instance.process is not None
        sampler = MemorySampler(instance.process.pid)
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
            await _play_burst(plan, burst, instance, report)
            report.peaks_mb.append(sampler.peak_mb)
            report.largest_resident_mb = max(report.largest_resident_mb, sampler.largest_resident_mb())
            await asyncio.sleep(QUIET_S if burst < plan.bursts - 1 else 0.0)
        await asyncio.gather(*usual)
        sampling.cancel()
        if not ends:
            await asyncio.sleep(GIVEN_BACK_AFTER_S)
            report.after_mb = sampler.now_mb()
            report.ended = not instance.running
        report.log = instance.log
        report.violations = [
            line for line in report.log.splitlines() if "violation" in line or "Traceback" in line
        ]
    return report
