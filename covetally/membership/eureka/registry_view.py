"""The state of a registry built from full reads and deltas, verified with Eureka's hash. No I/O.

The hash is the number of instances per status over all applications ("DOWN_1_UP_12_"). Every delta repeats the
changes of the last few minutes, so applying a change twice must have no effect. Within one delta the latest
change of an instance counts, whatever the order. A view that does not match the hash is replaced by a full read.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from covetally.membership.eureka.instance_parser import Instance
from covetally.membership.model import Member, Snapshot

_InstanceStates = dict[tuple[str, str], tuple[str, int]]  # (application, id): status, lastUpdatedTimestamp


class RegistryView:
    """The instances listed by one registry address: members for those of `app`, only the status for others.

    An empty `app` stands for all applications. `clock_offset_ns` converts the registry's time to this sidecar's
    clock; it is None if the registry sent no time.
    """

    def __init__(self, app: str, endpoint: str = "", clock_offset_ns: int | None = None) -> None:
        self.app = app.upper()
        self.endpoint = endpoint
        self.clock_offset_ns = clock_offset_ns
        self.revision = 0
        self._states: _InstanceStates = {}
        self._counts: Counter[str] = Counter()
        self._members: dict[str, Member] = {}
        self._invalid: dict[str, str] = {}

    def add(self, instance: Instance, previous: RegistryView | None = None) -> None:
        """Adds an instance of a full read; a member that equals the one in `previous` is taken from there."""
        key = (instance.app, instance.id)
        known = self._states.get(key)
        if known is not None:
            self._counts[known[0]] -= 1
        self._states[key] = (instance.status, instance.updated)
        self._counts[instance.status] += 1
        if self.app and instance.app != self.app:
            return
        if instance.member is None:
            self._invalid[instance.id] = instance.reason
            self._members.pop(instance.id, None)
            return
        self._invalid.pop(instance.id, None)
        known_member = (previous or self)._members.get(instance.id)
        unchanged = known_member == instance.member
        self._members[instance.id] = (
            known_member if unchanged and known_member is not None else self._with_start_time(instance)
        )

    def apply_delta(self, instances: Iterable[Instance]) -> bool:
        """Applies the changes of a delta; returns whether the view changed."""
        latest: dict[tuple[str, str], Instance] = {}
        for instance in instances:
            newest = latest.get((instance.app, instance.id))
            if newest is None or instance.updated >= newest.updated:
                latest[instance.app, instance.id] = instance
        changed = False
        self._members, self._invalid = (
            dict(self._members),
            dict(self._invalid),
        )  # earlier snapshots must not change
        for key, instance in latest.items():
            known = self._states.get(key)
            if known is not None and instance.updated < known[1]:
                continue
            if instance.action == "DELETED":
                changed |= self._remove(key)
                continue
            unchanged = instance.member is None or self._members.get(instance.id) == instance.member
            if unchanged and known == (instance.status, instance.updated):
                continue
            self.add(instance)
            changed = True
        self.revision += changed
        return changed

    def _remove(self, key: tuple[str, str]) -> bool:
        known = self._states.pop(key, None)
        if known is None:
            return False
        self._counts[known[0]] -= 1
        if not self.app or key[0] == self.app:
            self._members.pop(key[1], None)
            self._invalid.pop(key[1], None)
        return True

    def matches_hash(self, reported_hash: str | None) -> bool:
        """Whether the view matches the reported hash, or no hash was reported."""
        return reported_hash is None or reported_hash == self.hash()

    def hash(self) -> str:
        """The view's hash as Eureka computes it."""
        return "".join(f"{status}_{count}_" for status, count in sorted(self._counts.items()) if count)

    def snapshot(self, complete: bool = True) -> Snapshot:
        """The view as a snapshot for the membership view."""
        return Snapshot(
            "eureka", self.endpoint, self._members, f"{self.endpoint} #{self.revision}", complete, self._invalid
        )

    def _with_start_time(self, instance: Instance) -> Member:
        """The member with its start time on this sidecar's clock.

        The registry takes the time of its answer and of the node's change to UP from the same clock. A start time
        that the node itself reports is from the node's clock, but it is the best estimate available.
        """
        assert instance.member is not None
        start_ms = instance.member.boot or instance.up_since
        if self.clock_offset_ns is None or not start_ms:
            return instance.member
        return replace(instance.member, started_ns=max(0, start_ms * 1_000_000 + self.clock_offset_ns))
