"""A registry as this sidecar follows it: full reads and deltas, held together by Eureka's hash. No I/O.

The hash is the number of instances by status, over all applications ("DOWN_1_UP_12_"). A delta holds the changes
of the last few minutes, each time anew, so applying one twice must change nothing; within one answer the youngest
change of an instance counts, whatever the order. A hash that does not fit forces a full read.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from covetally.membership.eureka.instance_parser import Instance
from covetally.membership.model import Member, Read

_Seen = dict[tuple[str, str], tuple[str, int]]  # (application, id): status, lastUpdatedTimestamp


class View:
    """All instances of one registry address; those of `app` whole. An empty `app` means all that are told.

    `offset_ns` brings the registry's time to this sidecar's; None where it told none.
    """

    def __init__(self, app: str, teller: str = "", offset_ns: int | None = None) -> None:
        self.app = app.upper()
        self.teller = teller
        self.offset_ns = offset_ns
        self.revision = 0
        self._seen: _Seen = {}
        self._counts: Counter[str] = Counter()
        self._members: dict[str, Member] = {}
        self._bad: dict[str, str] = {}

    def add(self, one: Instance, before: View | None = None) -> None:
        """One more of a full read; what is unchanged since `before` is taken from there."""
        key = (one.app, one.id)
        known = self._seen.get(key)
        if known is not None:
            self._counts[known[0]] -= 1
        self._seen[key] = (one.status, one.updated)
        self._counts[one.status] += 1
        if self.app and one.app != self.app:
            return
        if one.member is None:
            self._bad[one.id] = one.why
            self._members.pop(one.id, None)
            return
        self._bad.pop(one.id, None)
        known_member = (before or self)._members.get(one.id)
        same = known_member == one.member
        self._members[one.id] = known_member if same and known_member is not None else self._dated(one)

    def delta(self, instances: Iterable[Instance]) -> bool:
        """What changed since; whether anything did."""
        youngest: dict[tuple[str, str], Instance] = {}
        for one in instances:
            other = youngest.get((one.app, one.id))
            if other is None or one.updated >= other.updated:
                youngest[one.app, one.id] = one
        changed = False
        self._members, self._bad = dict(self._members), dict(self._bad)  # what was read must stay as it was
        for key, one in youngest.items():
            known = self._seen.get(key)
            if known is not None and one.updated < known[1]:
                continue
            if one.action == "DELETED":
                changed |= self._remove(key)
                continue
            same = one.member is None or self._members.get(one.id) == one.member
            if same and known == (one.status, one.updated):
                continue
            self.add(one)
            changed = True
        self.revision += changed
        return changed

    def _remove(self, key: tuple[str, str]) -> bool:
        known = self._seen.pop(key, None)
        if known is None:
            return False
        self._counts[known[0]] -= 1
        if not self.app or key[0] == self.app:
            self._members.pop(key[1], None)
            self._bad.pop(key[1], None)
        return True

    def fits(self, told: str | None) -> bool:
        """Whether the hash that was told is this view's. Where none was told, nothing speaks against it."""
        return told is None or told == self.hash()

    def hash(self) -> str:
        """Eureka's hash of this view."""
        return "".join(f"{status}_{count}_" for status, count in sorted(self._counts.items()) if count)

    def read(self, clean: bool = True) -> Read:
        """What the believing module is told."""
        return Read("eureka", self.teller, self._members, f"{self.teller} #{self.revision}", clean, self._bad)

    def _dated(self, one: Instance) -> Member:
        """The member with its start on this sidecar's clock.

        The registry's time of the answer and of the node's coming up are of one clock. A start that the node
        names itself is by the node's clock, the best there is.
        """
        assert one.member is not None
        start_ms = one.member.boot or one.up_since
        if self.offset_ns is None or not start_ms:
            return one.member
        return replace(one.member, started_ns=max(0, start_ms * 1_000_000 + self.offset_ns))
