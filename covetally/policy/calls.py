"""A request that is owed an answer, its attempts, and the on-time statistics of calls like it."""

from __future__ import annotations

from covetally.interface import RequestClass, RequestReceived
from covetally.policy.server import Server


class Call:
    """A request that this sidecar owes an answer.

    Fields with the same initial value in all calls are class attributes until they change.
    """

    outstanding = 0  # attempts without a result
    attempts = 0
    executed_on: Server | None = None  # the first server that may have executed it
    executed_at = 0
    executed_unconfirmed = False  # it may have been executed by a server other than the one on the list
    response_started = False
    queue_until = 0

    def __init__(
        self, event: RequestReceived, cls: RequestClass, number: int, now: int, first_at: int, size: float
    ) -> None:
        self.event, self.tid, self.cls, self.number, self.first_at = event, event.tid, cls, number, first_at
        self.deadline = now + event.ttl_ns
        aim_at = first_at + min(cls.aim_ns + int(cls.aim_stretch * size), cls.deadline_ns)
        self.aim_at = min(aim_at, self.deadline)  # an answer after the client has left is of no use
        if event.upgrade:
            self.aim_at = self.deadline  # a long-lived connection is worth waiting for up to the deadline
        self.size = size
        self.tried_servers: list[Server] = []

    @property
    def retry_signature(self) -> tuple[int, int, str, int]:
        """The fields that a client's retry has in common with this request."""
        event = self.event
        return event.cls, event.tenant, event.key, event.cost_ns


class Attempt:
    """An attempt whose result is pending; it may outlive its call."""

    __slots__ = ("server", "probe", "sent_at", "size", "cls", "aim_at", "stats")

    def __init__(
        self,
        server: Server,
        probe: bool,
        sent_at: int,
        size: float,
        cls: int,
        aim_at: int,
        stats: OnTimeStats | None,
    ) -> None:
        self.server, self.probe, self.sent_at, self.size, self.cls = server, probe, sent_at, size, cls
        self.aim_at, self.stats = aim_at, stats


class OnTimeStats:
    """How many recent calls were on time, of those with about the same ratio of expected time to time left.

    Both counts decay with time.
    """

    __slots__ = ("on_time", "total", "recorded_at")

    def __init__(self, now: int) -> None:
        self.on_time = self.total = 0.0
        self.recorded_at = now

    def record(self, now: int, on_time: bool, memory: int) -> None:
        """Add the result of one call; a count halves in about `memory` ns."""
        kept = memory / (memory + max(0, now - self.recorded_at))
        self.on_time, self.total, self.recorded_at = self.on_time * kept + on_time, self.total * kept + 1.0, now
