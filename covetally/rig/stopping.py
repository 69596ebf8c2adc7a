"""Clients that stop in the middle of a request, beside usual clients of one sidecar process.

Each usual client sends one request after the other and notes how each ended. Each client that stops notes how
long it waited for an error or a close. What is owed is in `Report.broken`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from dataclasses import dataclass, field

from covetally.rig.usual_clients import LATEST_S, Address, UsualReport, read_status, send_usual, usual_request
from covetally.rig.world import Shape, World

KINDS = ("head", "body", "drip", "kept", "silent")
USUAL_CLIENTS = 4
OWED_WITHIN_S = 3.0  # from connecting, a client that stops is owed an error or a close
BURST_AT_S = 0.5
DRIP_S = 0.05
SETTLE_S = 2.5  # from the last burst to the end of a play
HALF_HEAD = b"POST /api?sid=5f3a HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: "
HALF_BODY = b"%s\r\nX-Qos: loan-transfer\r\nX-Expires-In: 1.000\r\nContent-Length: 300\r\n\r\n" + b"x" * 100


@dataclass(frozen=True, slots=True)
class StoppingPlan:
    """Which clients stop, and when. `kinds` are taken in turn; times are in seconds."""

    kinds: tuple[str, ...] = ("head",)
    count: int = 150  # clients that stop in each burst
    step_s: float = 0.0  # between two of them
    bursts: int = 1
    burst_every_s: float = 3.0
    sockets: int = 256  # descriptors of the sidecar
    discovery_down: bool = False  # from the first burst on
    ends: bool = False  # the sidecar gets SIGTERM in the last burst
    seed: int = 0

    @classmethod
    def draw(cls, seed: int) -> StoppingPlan:
        """Draw a plan."""
        draw = random.Random(seed)
        return cls(
            kinds=tuple(draw.sample(KINDS, draw.randint(1, len(KINDS)))),
            count=draw.choice((100, 150, 250, 400)),
            step_s=draw.choice((0.0, 0.0, 0.01)),
            bursts=draw.randint(1, 3),
            burst_every_s=draw.choice((1.0, 3.0)),
            sockets=draw.choice((256, 256, 1024)),
            discovery_down=draw.random() < 0.3,
            ends=draw.random() < 0.3,
            seed=seed,
        )

    @property
    def length_s(self) -> float:
        """How long usual clients send."""
        return BURST_AT_S + (self.bursts - 1) * self.burst_every_s + self.count * self.step_s + SETTLE_S


@dataclass
class Report(UsualReport):
    """What the clients of one play saw."""

    waits_s: list[float] = field(default_factory=list)  # of clients that stopped, until an error or a close
    served: int = 0  # clients that stopped and were answered 200
    log: str = ""

    def broken(self) -> list[str]:
        """What was owed and not kept, in words."""
        late = [wait for wait in self.waits_s if wait > OWED_WITHIN_S]
        found = super().broken()
        found += [f"a client that stopped waited {wait:.2f} s" for wait in late]
        found += ["a client that stopped was answered 200"] * self.served
        return found

    def table(self) -> dict[str, object]:
        """The figures, for a person."""
        return {
            "statuses": dict(self.statuses), "unanswered": len(self.unanswered), "closed": len(self.closed),
            "stopped": len(self.waits_s), "longest_s": round(max(self.waits_s, default=0.0), 2),
            "served": self.served,
        }  # fmt: skip


async def _stop_halfway(address: Address, kind: str, number: int, delay_s: float, report: Report) -> None:
    """Connect, send a part of a request, and stay until the sidecar answers or closes."""
    await asyncio.sleep(delay_s)
    started_at = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(*address)
    except ConnectionError:
        return  # the sidecar has ended
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
        if kind == "kept":
            writer.write(usual_request(f"good{number}"))
            try:
                await asyncio.wait_for(read_status(reader), LATEST_S)
            except TimeoutError:
                report.unanswered.append(f"good{number}")
            started_at = time.monotonic()
        if kind != "silent":
            writer.write(HALF_HEAD)
        if kind == "body":
            writer.write(HALF_BODY % b"half%d" % number)
        received = asyncio.create_task(reader.read(64))
        while kind == "drip" and not received.done():
            writer.write(b"a")
            await asyncio.wait([received], timeout=DRIP_S)
        report.served += b" 200 " in await asyncio.wait_for(received, 2 * OWED_WITHIN_S)
    report.waits_s.append(time.monotonic() - started_at)
    writer.close()


async def play(plan: StoppingPlan) -> Report:
    """Play a plan with one sidecar process as it ships; returns what all clients saw."""
    report = Report()
    async with World(Shape(nodes=3, instances=1, sockets=plan.sockets, seed=plan.seed + 1)) as world:
        await world.start_instances()
        address = world.instances["a0"].address
        work = [send_usual(address, number, plan.length_s, plan.ends, report) for number in range(USUAL_CLIENTS)]
        for burst, client in itertools.product(range(plan.bursts), range(plan.count)):
            delay_s = BURST_AT_S + burst * plan.burst_every_s + client * plan.step_s
            kind = plan.kinds[client % len(plan.kinds)]
            work.append(_stop_halfway(address, kind, burst * plan.count + client, delay_s, report))
        if plan.discovery_down:
            work.append(_after(BURST_AT_S, world.discovery.kill))
        if plan.ends:
            work.append(_after(plan.length_s - SETTLE_S / 2, lambda: world.stop_instance("a0")))
        await asyncio.gather(*work)
        report.log = world.instances["a0"].log
    return report


async def _after(seconds: float, act) -> None:
    await asyncio.sleep(seconds)
    await act()
