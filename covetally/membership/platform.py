"""The platform's discovery as a source of nodes: its news added up to a list."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from covetally.interface import Settings
from covetally.membership.model import LEAVING, UP, Member, Read
from covetally.net.discovery import Discovery
from covetally.net.server_list import ListUpdate

WORDS = {"up": (UP, "active"), "draining": (LEAVING, "leaving")}


class Platform:
    """What `Discovery` has told since it was asked for the whole list."""

    name = "platform"

    def __init__(self, settings: Settings, discovery: Discovery, on_read: Callable[[Read], None]) -> None:
        self._settings, self._discovery, self._on_read = settings, discovery, on_read
        self._members: dict[str, Member] = {}
        self._whole = False
        self._news = 0

    def start(self) -> None:
        """Watch from now on, beginning with the whole list."""
        self._discovery.on_list = self.learn
        self._discovery.again()

    def stop(self) -> None:
        """Watch no more."""
        self._discovery.stop()

    def learn(self, news: ListUpdate) -> None:
        """One answer of discovery."""
        members = {} if news.full else dict(self._members)
        zones, kinds = self._settings.zones, self._settings.kinds
        for entry, address in news.entries:
            if entry.lifecycle == "removed":
                members.pop(entry.server, None)
                continue
            state, word = WORDS[entry.lifecycle]
            members[entry.server] = Member(
                entry.server, address, state, word, _named(zones, entry.zone), _named(kinds, entry.kind),
                entry.cell, entry.weight, boot=entry.started_ns // 1_000_000, started_ns=entry.started_ns,
            )  # fmt: skip
        self._members, self._whole, self._news = members, self._whole or news.full, self._news + 1
        self._on_read(Read(self.name, self.name, members, f"{self.name} #{self._news}", self._whole))

    def table(self) -> dict[str, Any]:
        """For operators."""
        return {"source": self.name, "failing": "", "counts": {"news": self._news}}

    async def witness(self, besides: str) -> Read | None:
        """The platform has no second address."""
        return None


def _named(names: tuple[str, ...], index: int) -> str:
    return names[index] if index < len(names) else ""
