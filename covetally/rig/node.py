"""A ledger node: does what its plan says, and tells what arrived, what it declined, and what ran.

    python -m covetally.rig.node SPEC      # SPEC is JSON, see `Spec`; rows out, commands in (see child.py)

Rows: ["up", port], then for each attempt ["arrived", id, first byte, last byte, work, class, sid, connection],
and ["declined", id, at] or ["ran", id, at], times in ns on CLOCK_MONOTONIC, ["dropped", id, at] for a keyed
repeat that it knew, ["unanswered", id, at] when a connection ends before its answer is written, and
["duplicated", id, at] or ["crossed", id, at] for each piece of a second answer: the latter if another request
was on the connection by then.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from functools import partial
from typing import Any
from urllib.parse import parse_qs

from covetally.rig.child import Row, emit, obey
from covetally.rig.surplus_answer import pieces
from covetally.rig.wire import Message, Wire, answer

MS = 1_000_000
NEVER_RAN = {"X-Never-Ran": "1"}


@dataclass(slots=True)
class Mood:
    """How the node behaves from now on. Shares are of the requests that arrive, from 0 to 1; `only` names a
    class that the shares are limited to. Sent as a command: {"mood": {"fail_fast": 0.6}}."""

    slow: float = 1.0  # service times are so many times longer
    fail_fast: float = 0.0  # 500 at once
    stall: float = 0.0  # taken, never answered
    stall_mid: float = 0.0  # run, then half of an answer, then nothing
    spoil: float = 0.0  # run, then noise in place of an answer
    reset: float = 0.0  # run, then the connection is reset
    turn_away: float = 0.0  # 503 with X-Never-Ran
    duplicate: float = 0.0  # answered, and again later, whatever the connection carries by then
    duplicate_ms: tuple[float, float] = (2.0, 20.0)  # from the answer to its duplicate
    duplicate_kinds: tuple[str, ...] = ("whole",)  # see `surplus_answer.KINDS`
    read_late_ms: float = 0.0  # a request is taken so much later than its last byte came, at most
    draining: bool = False  # turns new requests away, finishes what it has
    deaf: bool = False  # takes connections, reads nothing more
    only: str = ""


@dataclass(slots=True)
class Spec:
    """A node. Service times are drawn from a log-normal law around `work_ms` of the class."""

    name: str
    work_ms: dict[str, float]
    slots: int = 4
    queue: int = 60
    spread: float = 0.4  # sigma of the log-normal law
    cold_from: float = 0.25
    cold_ms: int = 0  # 0: starts warm
    window_ms: int = 2500  # for so long a keyed request is remembered
    keyed: tuple[str, ...] = ()
    connections: int = 4096
    idle_s: float = 30.0
    reports: bool = True
    port: int = 0
    seed: int = 1
    mood: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class _Job:
    """A request that waits or runs."""

    wire: Wire
    message: Message
    id: str
    cls: str
    work_ns: int
    expires_ns: int
    timer: asyncio.TimerHandle | None = None
    gone: bool = False


class Node:
    """One node; `tell` gets its rows."""

    def __init__(self, spec: Spec, tell: Callable[[Row], None]) -> None:
        self.spec = spec
        self.mood = Mood(**spec.mood)
        self._tell = tell
        self._random = random.Random(f"{spec.seed}:{spec.name}")
        self._born_ns = time.monotonic_ns()
        self._wires: set[Wire] = set()
        self._busy: dict[Wire, _Job] = {}
        self._queue: deque[_Job] = deque()
        self._running = 0
        self._opened_count = 0
        self._keys: dict[str, int] = {}
        self._recent: deque[tuple[float, float, bool]] = deque(maxlen=64)  # when, seconds taken, an error
        self._server: asyncio.Server

    async def start(self) -> int:
        """Listen; returns the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._connected, "127.0.0.1", self.spec.port, backlog=1024)
        return self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Reset everything, as a process that dies does."""
        self._server.close()
        for wire in list(self._wires):
            wire.reset()

    def change(self, mood: dict[str, Any]) -> None:
        """Behave so from now on: what is not named goes back to its default."""
        self.mood = Mood(**mood)
        for wire in self._wires:
            (wire.transport.pause_reading if self.mood.deaf else wire.transport.resume_reading)()

    def warmth(self) -> float:
        """The share of its speed that it has now."""
        if not self.spec.cold_ms:
            return 1.0
        age_ms = (time.monotonic_ns() - self._born_ns) / MS
        return min(1.0, self.spec.cold_from + (1.0 - self.spec.cold_from) * age_ms / self.spec.cold_ms)

    # --- connections ----------------------------------------------------------------------------

    def _connected(self) -> Wire:
        return Wire(self._received, self._ended, self._opened)

    def _opened(self, wire: Wire) -> None:
        if len(self._wires) >= self.spec.connections:
            wire.reset()
            return
        self._wires.add(wire)
        self._opened_count += 1
        wire.number = self._opened_count
        if self.mood.deaf:
            wire.transport.pause_reading()

    def _ended(self, wire: Wire, error: Exception | None) -> None:
        self._wires.discard(wire)
        job = self._busy.pop(wire, None)
        if job is not None:
            job.gone = True  # a queued one is skipped, a running one runs on
            self._tell(["unanswered", job.id, time.monotonic_ns()])

    def _received(self, wire: Wire, message: Message) -> None:
        method, target = message.first[0], message.first[1]
        path, _, query = target.partition(b"?")
        if path in (b"/ping", b"/_load"):
            body = self._report().encode() if path == b"/_load" else b"pong"
            wire.write(answer(503 if self.mood.draining else 200, body))
            return
        name = message.header(b"x-trace-id")
        if not name:
            wire.write(answer(404))
            return
        cls = message.header(b"x-qos")
        mean_ms = self.spec.work_ms.get(cls)
        if method not in (b"GET", b"POST") or mean_ms is None or wire in self._busy:
            wire.write(answer(400, headers={"Connection": "close"}))
            wire.close()
            return
        work_ns = int(mean_ms * MS * self._random.lognormvariate(-(self.spec.spread**2) / 2, self.spec.spread))
        sid = parse_qs(query.decode("latin-1")).get("sid", [""])[0]
        self._tell(["arrived", name, message.began_ns, message.ended_ns, work_ns, cls, sid, wire.number])
        try:
            expires_s = float(message.header(b"x-expires-in"))
        except ValueError:
            expires_s = 60.0
        job = _Job(wire, message, name, cls, work_ns, message.ended_ns + int(expires_s * 1e9))
        self._busy[wire] = job
        if self.mood.read_late_ms:
            late_s = self._random.uniform(0.0, self.mood.read_late_ms) / 1000
            asyncio.get_running_loop().call_later(late_s, self._admit, job)
        else:
            self._admit(job)

    # --- requests -------------------------------------------------------------------------------

    def _admit(self, job: _Job) -> None:
        mood = self.mood
        if mood.draining or len(self._queue) >= self.spec.queue or self._hits(mood.turn_away, job):
            self._decline(job)
        elif self._hits(mood.fail_fast, job):
            self._tell(["ran", job.id, time.monotonic_ns()])  # an error promises nothing
            self._finish(job, answer(500, b"failed", self._headers(error=True)))
        elif self._repeat(job):
            self._tell(["dropped", job.id, time.monotonic_ns()])
            self._tell(["ran", job.id, time.monotonic_ns()])
            self._finish(job, answer(200, self._body(job), self._headers()))
        elif self._hits(mood.stall, job):
            self._tell(["ran", job.id, time.monotonic_ns()])
        elif self._running < self.spec.slots:
            self._run(job)
        else:
            self._queue.append(job)

    def _hits(self, share: float, job: _Job) -> bool:
        return share > 0 and self.mood.only in ("", job.cls) and self._random.random() < share

    def _repeat(self, job: _Job) -> bool:
        """Whether this is a keyed request that ran here within its window; it counts as run from now on."""
        key = job.message.header(b"idempotency-key")
        if job.cls not in self.spec.keyed or not key:
            return False
        now = time.monotonic_ns()
        ran_ns = self._keys.get(key)
        if ran_ns is not None and now < ran_ns + self.spec.window_ms * MS:
            return True
        self._keys[key] = now
        while len(self._keys) > 20_000:  # the oldest; their windows are long over at any rate a rig plays
            del self._keys[next(iter(self._keys))]
        return False

    def _decline(self, job: _Job) -> None:
        self._tell(["declined", job.id, time.monotonic_ns()])
        self._finish(job, answer(503, b"", self._headers(error=True) | NEVER_RAN))

    def _run(self, job: _Job) -> None:
        self._running += 1
        self._tell(["ran", job.id, time.monotonic_ns()])
        took_s = job.work_ns / 1e9 * self.mood.slow / self.warmth()
        self._recent.append((time.monotonic(), took_s, False))
        job.timer = asyncio.get_running_loop().call_later(took_s, self._ran, job)

    def _ran(self, job: _Job) -> None:
        self._running -= 1
        mood, whole = self.mood, answer(200, self._body(job), self._headers())
        if self._hits(mood.stall_mid, job):
            job.wire.write(whole[: len(whole) - len(self._body(job)) // 2])
        elif self._hits(mood.spoil, job):
            self._finish(job, b"\x00\xffHTTP nonsense\r\n\r\n" + self._random.randbytes(64))
        elif self._hits(mood.reset, job):
            self._busy.pop(job.wire, None)
            job.wire.reset()
        else:
            self._finish(job, whole)
        while self._queue and self._running < self.spec.slots:
            waiting = self._queue.popleft()
            if waiting.gone:
                continue
            if time.monotonic_ns() >= waiting.expires_ns:
                self._decline(waiting)
            else:
                self._run(waiting)

    def _finish(self, job: _Job, data: bytes) -> None:
        if self._busy.get(job.wire) is job:
            del self._busy[job.wire]
            job.wire.write(data)
            if self._hits(self.mood.duplicate, job):
                self._plan_duplicate(job, data)

    def _plan_duplicate(self, job: _Job, data: bytes) -> None:
        """Write the answer again, in one of the forms that the mood names."""
        low_ms, high_ms = self.mood.duplicate_ms
        loop = asyncio.get_running_loop()
        latest = loop.time() + high_ms / 1000
        at = loop.time() + self._random.uniform(low_ms, high_ms) / 1000
        for piece in pieces(self._random, self._random.choice(self.mood.duplicate_kinds), data):
            loop.call_at(at, self._write_duplicate, job, piece, latest)
            at = self._random.uniform(at, latest)

    def _write_duplicate(self, job: _Job, data: bytes, latest: float) -> None:
        """Write a piece, unless this process is so late that the mood's bound would not hold."""
        if job.wire.ended or asyncio.get_running_loop().time() > latest:
            return
        job.wire.write(data)
        crossed = job.wire in self._busy
        self._tell(["crossed" if crossed else "duplicated", job.id, time.monotonic_ns()])

    def _body(self, job: _Job) -> bytes:
        return json.dumps({"node": self.spec.name, "for": job.id}).encode()

    def _headers(self, error: bool = False) -> dict[str, str]:
        if error:
            self._recent.append((time.monotonic(), 0.0, True))
        return {"Endpoint-Load-Metrics": self._report()} if self.spec.reports else {}

    def _report(self) -> str:
        """A load report over the last answers, as the public protocol words it."""
        now = time.monotonic()
        recent = [(took, bad) for at, took, bad in self._recent if at > now - 2.0]
        good = [took for took, bad in recent if not bad]
        mean_ms = 1000 * sum(good) / len(good) if good else 0.0
        rates = len(good) / 2.0, (len(recent) - len(good)) / 2.0
        queue = len(self._queue)
        return f"TEXT eps={rates[1]:.1f}, latency_ms={mean_ms:.1f}, qps={rates[0]:.1f}, queue={queue}"


def spec_from(raw: dict[str, Any]) -> Spec:
    """A spec from its JSON; TypeError on a key that it has not got."""
    known = {f.name for f in fields(Spec)}
    if unknown := raw.keys() - known:
        raise TypeError(f"a node has no {', '.join(sorted(unknown))}")
    return Spec(**raw)


async def _main(spec: Spec) -> None:
    node = Node(spec, emit)
    emit(["up", await node.start()])

    def command(words: dict[str, Any]) -> None:
        if "mood" in words:
            node.change(words["mood"])

    await obey(command)


if __name__ == "__main__":
    asyncio.run(partial(_main, spec_from(json.loads(sys.argv[1])))())
