"""Orders the entries of incomplete answers of discovery. No I/O.

Several calls may be open at the same time, and each may bring some entries before it is cut or given up. An entry
is older than another of the same server if its call started earlier and its list has no higher version. Both are
needed: a call that started earlier may be answered later, and a restarted discovery numbers its versions anew,
but then the calls that started before the restart have ended.
"""

from __future__ import annotations

from dataclasses import dataclass

from covetally.interface import ServerEntry
from covetally.net.config import Address
from covetally.net.server_list import ListUpdate

ListedServer = tuple[ServerEntry, Address]


@dataclass(frozen=True, slots=True)
class ListOrigin:
    """Where entries come from: when their call started, in s on the loop's clock, and the version of their list
    (None: not known)."""

    started: float
    generation: int | None

    def is_older_than(self, other: ListOrigin) -> bool:
        """Whether what comes from here must not replace what comes from `other`."""
        if self.started >= other.started:
            return False
        if self.generation is None or other.generation is None:
            return True
        return self.generation <= other.generation


class PartialLists:
    """The entries of incomplete answers that have been used since the last complete one."""

    def __init__(self) -> None:
        self._used: dict[str, tuple[ListOrigin, ListedServer]] = {}

    def take_newer(self, origin: ListOrigin, entries: list[ListedServer]) -> list[ListedServer]:
        """Remember the entries of an incomplete answer and return those that are not older than known ones."""
        newer = []
        for listed in entries:
            name = listed[0].server
            used = self._used.get(name)
            if used is None or not origin.is_older_than(used[0]):
                self._used[name] = origin, listed
                newer.append(listed)
        return newer

    def complete(self, origin: ListOrigin, update: ListUpdate) -> ListUpdate:
        """Return a complete answer with the newer entries of incomplete ones in place of its own, and forget the
        others."""
        self._used = {name: used for name, used in self._used.items() if origin.is_older_than(used[0])}
        if not self._used:
            return update
        entries = {listed[0].server: listed for listed in update.entries}
        for name, (_, listed) in self._used.items():
            if update.full or name in entries:
                entries[name] = listed
        return update._replace(entries=list(entries.values()))

    def clear(self) -> None:
        """Forget all entries."""
        self._used = {}
