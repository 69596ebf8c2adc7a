"""The platform's discovery as a source of nodes: combines its incremental updates into a list."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from covetally.interface import Settings
from covetally.membership.model import LEAVING, UP, Member, Snapshot
from covetally.net.discovery import Discovery
from covetally.net.server_list import ListUpdate

LIFECYCLE_STATES = {"up": (UP, "active"), "draining": (LEAVING, "leaving")}


class PlatformSource:
    """The list that results from the updates of `Discovery` since it was last asked for the full list."""

    name = "platform"

    def __init__(self, settings: Settings, discovery: Discovery, on_snapshot: Callable[[Snapshot], None]) -> None:
        self._settings, self._discovery, self._on_snapshot = settings, discovery, on_snapshot
        self._members: dict[str, Member] = {}
        self._received_full = False
        self._update_count = 0

    def start(self) -> None:
        """Starts watching, beginning with the full list."""
        self._discovery.on_update = self.apply_update
        self._discovery.restart()

    def stop(self) -> None:
        """Stops watching."""
        self._discovery.stop()

    def apply_update(self, update: ListUpdate) -> None:
        """Applies one answer of discovery."""
        members = {} if update.full else dict(self._members)
        zones, kinds = self._settings.zones, self._settings.kinds
        for entry, address in update.entries:
            if entry.lifecycle == "removed":
                members.pop(entry.server, None)
                continue
            state, source_state = LIFECYCLE_STATES[entry.lifecycle]
            members[entry.server] = Member(
                entry.server, address, state, source_state,
                _name_at(zones, entry.zone), _name_at(kinds, entry.kind),
                entry.cell, entry.weight, boot=entry.started_ns // 1_000_000, started_ns=entry.started_ns,
            )  # fmt: skip
        self._members, self._received_full, self._update_count = (
            members,
            self._received_full or update.full,
            self._update_count + 1,
        )
        self._on_snapshot(
            Snapshot(self.name, self.name, members, f"{self.name} #{self._update_count}", self._received_full)
        )

    def table(self) -> dict[str, Any]:
        """The state of the source as a table for operators."""
        return {"source": self.name, "failing": "", "counts": {"news": self._update_count}}

    async def read_other_address(self, excluding: str) -> Snapshot | None:
        """None: the platform has no second address."""
        return None


def _name_at(names: tuple[str, ...], index: int) -> str:
    return names[index] if index < len(names) else ""
