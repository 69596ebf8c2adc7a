"""The load client: an open loop over a schedule that is drawn ahead, with clients' retries and deadlines.

It asks when its schedule says, however the answers come: a slow sidecar is not asked less. Each copy of the
application has its own sidecar, so a request and its retries go to one instance.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from itertools import count

from covetally.rig.account import Account, Ask
from covetally.rig.wire import Message, Wire, request

Address = tuple[str, int]
PERSIST_S = 0.005  # a client that asks on and on rests so long: also where nobody listens
WAIT_OVER_S = 1.5  # a client waits so much longer than its time: then the answer is missing, not late


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A class as clients ask it. `share` is of all requests."""

    name: str
    share: float
    repeat: str  # free, guarded or single_shot
    deadline_ms: int
    body: int = 200  # bytes, where it has one


@dataclass(frozen=True, slots=True)
class Planned:
    """One first try of the schedule, `at_s` after its start."""

    at_s: float
    cls: LoadClass
    tenant: str
    key: str
    instance: str


@dataclass(frozen=True, slots=True)
class Plan:
    """What to ask: `rate` requests a second over all instances, split evenly."""

    classes: tuple[LoadClass, ...]
    tenants: dict[str, float]
    instances: tuple[str, ...]
    rate: float
    seconds: float
    seed: int = 1
    keys: int = 2000
    retries: int = 2
    honour: float = 0.9  # share of clients that keep to Retry-After

    def draw(self) -> list[Planned]:
        """The schedule: a Poisson process, keys by Zipf's law. The same for the same plan."""
        rng = random.Random(self.seed)
        names = list(self.tenants)
        weights = [1.0 / (rank + 1) for rank in range(self.keys)]
        keys = rng.choices(range(self.keys), weights, k=int(self.rate * self.seconds * 1.2) + 50)
        planned, at_s = [], 0.0
        shares = [c.share for c in self.classes]
        for key in keys:
            at_s += rng.expovariate(self.rate)
            if at_s >= self.seconds:
                break
            cls = rng.choices(self.classes, shares)[0]
            tenant = rng.choices(names, list(self.tenants.values()))[0]
            planned.append(Planned(at_s, cls, tenant, f"m{key}", rng.choice(self.instances)))
        return planned


class _Pool:
    """Connections to one instance, one request at a time on each."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle: list[Wire] = []

    async def connect(self) -> Wire:
        loop = asyncio.get_running_loop()
        _, wire = await loop.create_connection(lambda: Wire(_no_message, _no_end), *self.address)
        return wire

    def take(self) -> Wire | None:
        while self.idle:
            wire = self.idle.pop()
            if not wire.ended:
                return wire
        return None


def _no_message(wire: Wire, message: Message) -> None:
    wire.reset()  # an answer that nobody asked for


def _no_end(wire: Wire, error: Exception | None) -> None:
    pass


class Load:
    """Plays a schedule against instances and books all of it."""

    def __init__(
        self,
        account: Account,
        addresses: dict[str, Address],
        plan: Plan,
        alive: Callable[[str], bool] = lambda instance: True,
    ) -> None:
        self._account = account
        self._alive = alive  # whether an instance runs: what a killed one held is its client's
        self._plan = plan
        self._pools = {name: _Pool(address) for name, address in addresses.items()}
        self._random = random.Random(plan.seed + 1)
        self._ids: Iterator[int] = count()
        self._tasks: set[asyncio.Task[None]] = set()
        self.in_flight = dict.fromkeys(addresses, 0)
        self.asked = 0
        self.late_s = 0.0  # the most that this process itself asked late

    def move(self, instance: str, address: Address) -> None:
        """An instance listens elsewhere from now on."""
        self._pools[instance] = _Pool(address)

    async def play(self, schedule: Sequence[Planned]) -> None:
        """Ask all of it and wait for every answer or its absence."""
        loop = asyncio.get_running_loop()
        start = loop.time() + 0.05
        for planned in schedule:
            wait_s = start + planned.at_s - loop.time()
            if wait_s > 0.0005:
                await asyncio.sleep(wait_s)
            self.late_s = max(self.late_s, loop.time() - start - planned.at_s)
            task = asyncio.create_task(self._chain(planned, next(self._ids)))
            self._tasks.add(task)
            task.add_done_callback(self._done)
        while self._tasks:
            await asyncio.wait(self._tasks)
        for pool in self._pools.values():
            for wire in pool.idle:
                wire.close()

    async def persist(self, instance: str, until: float) -> None:
        """One more client, which asks again as soon as it has its answer, on its connection for as long as that
        stays open and else on a new one, until a moment on the loop's clock."""
        loop = asyncio.get_running_loop()
        names, shares = list(self._plan.tenants), list(self._plan.tenants.values())
        while loop.time() < until:
            cls = self._random.choice(self._plan.classes)
            tenant = self._random.choices(names, shares)[0]
            key = f"m{self._random.randrange(self._plan.keys)}"
            await self._chain(Planned(0.0, cls, tenant, key, instance), next(self._ids))
            await asyncio.sleep(PERSIST_S)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise RuntimeError("the load client failed by a bug") from task.exception()

    async def _chain(self, planned: Planned, origin: int) -> None:
        """A first try and what its client does after it, until its time is up."""
        loop = asyncio.get_running_loop()
        end = loop.time() + planned.cls.deadline_ms / 1000
        idem = f"{self._plan.seed:x}-{origin:x}"
        for turn in range(self._plan.retries + 1):
            ask = Ask(
                id=f"{self._plan.seed:x}-{origin:x}-{turn}",
                origin=origin,
                cls=planned.cls.name,
                tenant=planned.tenant,
                instance=planned.instance,
                key=planned.key,
                due_ns=time.monotonic_ns(),
                expires_ns=time.monotonic_ns() + int((end - loop.time()) * 1e9),
            )
            self._account.ask(ask)
            self.asked += 1
            pause_s = await self._ask(ask, planned.cls, idem, turn)
            if pause_s is None or loop.time() + pause_s >= end - 0.02:
                return
            await asyncio.sleep(pause_s)

    async def _ask(self, ask: Ask, cls: LoadClass, idem: str, turn: int) -> float | None:
        """Ask once; how long to wait before asking again, None if it must not or need not."""
        self.in_flight[ask.instance] += 1
        try:
            got = await self._exchange(ask, cls, idem, turn)
        finally:
            self.in_flight[ask.instance] -= 1
        backoff_s = self._random.uniform(0.02, 0.1) * 2**turn
        if not ask.taken:
            return backoff_s
        if got is None or got.status not in (429, 503):
            again = cls.repeat == "free" and (got is None or got.status != 200)
            return backoff_s if again else None
        text = got.header(b"retry-after")
        honoured = float(text) if text and self._random.random() < self._plan.honour else 0.0
        return max(backoff_s, honoured)

    async def _exchange(self, ask: Ask, cls: LoadClass, idem: str, turn: int) -> Message | None:
        """The answer, None if there was none; the ask is booked either way."""
        pool = self._pools[ask.instance]
        wire = pool.take()
        reused = wire is not None
        while True:
            if wire is None:
                try:
                    wire = await pool.connect()
                except OSError:
                    return None  # nobody took it
            ask.first_on_connection = not reused
            got = await self._send(wire, ask, cls, idem, turn)
            if got is not None and got.keeps_open and not wire.ended:
                wire.on_message, wire.on_end = _no_message, _no_end
                pool.idle.append(wire)
            else:
                wire.reset()
            crossed = got is None and reused and ask.ended == "cut" and self._alive(ask.instance)
            if not crossed:
                return got
            # The sidecar closed it while it rested, and this request crossed that: once more on a new one.
            wire, reused, ask.taken, ask.ended = None, False, False, ""
            ask.resent_ns = time.monotonic_ns()

    async def _send(self, wire: Wire, ask: Ask, cls: LoadClass, idem: str, turn: int) -> Message | None:
        end: asyncio.Future[Message | None] = asyncio.get_running_loop().create_future()

        def message(_: Wire, got: Message) -> None:
            fits = got.status != 200 or _names(got.body) == ask.id
            ask.answers.append((got.ended_ns, got.status, fits))
            if not end.done():
                end.set_result(got)

        def ended(_: Wire, error: Exception | None) -> None:
            if not end.done():
                ask.ended = "cut" if self._alive(ask.instance) else "killed"
                end.set_result(None)

        wire.on_message, wire.on_end = message, ended
        if wire.ended:
            ask.ended = "cut"
            return None
        left_s = (ask.expires_ns - time.monotonic_ns()) / 1e9
        headers = {
            "Host": "app.svc", "X-Trace-Id": ask.id, "X-Qos": cls.name, "X-Customer": ask.tenant,
            "X-Expires-In": f"{max(left_s, 0.001):.3f}",
        }  # fmt: skip
        if turn:
            headers["X-Second-Try"] = "1"
        if cls.repeat == "guarded":
            headers["Idempotency-Key"] = idem
        method = "GET" if cls.repeat == "free" else "POST"
        body = b"" if method == "GET" else b"x" * cls.body
        wire.write(request(method, f"/api?sid={ask.key}", headers, body))
        ask.taken = True
        try:
            async with asyncio.timeout(left_s + WAIT_OVER_S):
                return await end
        except TimeoutError:
            ask.ended = "unanswered" if self._alive(ask.instance) else "killed"
            return None


def _names(body: bytes) -> str:
    """The request that a node made this answer for."""
    try:
        return json.loads(body)["for"]
    except (ValueError, KeyError, TypeError):
        return ""
