"""A request that is owed an answer, its attempts, and how calls like it fared."""

from __future__ import annotations

from covetally.interface import RequestReceived, RequestClass
from covetally.policy.server import Server


class Call:
    """A request this sidecar owes an answer. What begins as the same for all is the class's until it changes."""

    out = 0  # attempts without an outcome
    attempts = 0
    ran_on: Server | None = None  # first server that may have run it
    ran_at = 0
    begun = False
    give_up = 0

    def __init__(
        self, event: RequestReceived, cls: RequestClass, number: int, now: int, first: int, size: float
    ) -> None:
        self.event, self.tid, self.cls, self.number, self.first = event, event.tid, cls, number, first
        self.deadline = now + event.ttl_ns
        aim_at = first + min(cls.aim_ns + int(cls.aim_stretch * size), cls.deadline_ns)
        self.aim_at = min(aim_at, self.deadline)  # whoever leaves before the aim has nothing of an answer in time
        if event.upgrade:
            self.aim_at = self.deadline  # a connection that stays is worth waiting for as long as its client does
        self.size = size
        self.tried: list[Server] = []

    @property
    def look(self) -> tuple[int, int, str, int]:
        """What a client's retry has in common with it."""
        event = self.event
        return event.cls, event.tenant, event.key, event.cost_ns


class Attempt:
    """One attempt whose outcome is due; it outlives its call."""

    __slots__ = ("server", "trial", "sent", "size", "cls", "aim_at", "odds")

    def __init__(
        self, server: Server, trial: bool, sent: int, size: float, cls: int, aim_at: int, odds: Odds | None
    ) -> None:
        self.server, self.trial, self.sent, self.size, self.cls = server, trial, sent, size, cls
        self.aim_at, self.odds = aim_at, odds


class Odds:
    """How calls fared of late that were expected to need about such a part of their time left."""

    __slots__ = ("hits", "tries", "at")

    def __init__(self, now: int) -> None:
        self.hits = self.tries = 0.0
        self.at = now

    def note(self, now: int, hit: bool, memory: int) -> None:
        kept = memory / (memory + max(0, now - self.at))
        self.hits, self.tries, self.at = self.hits * kept + hit, self.tries * kept + 1.0, now
