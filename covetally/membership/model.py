"""The types that connect the sources to the membership view.

A source (the platform's discovery, a Eureka registry, a file, later a key-value registry) tracks the state of its
own protocol and passes all of it on as a `Snapshot` after each update. It does not decide what to apply.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

Address = tuple[str, int]

UP, LEAVING, STARTING, DOWN = "up", "leaving", "starting", "down"
STATES = (UP, LEAVING, STARTING, DOWN)
"""A `leaving` node finishes its requests, and its process lives on. After `starting` or `down` a node is cold."""


@dataclass(frozen=True, slots=True)
class Member:
    """One node as a source lists it. `source_state` is the source's own name for its state.

    Timestamps are in ms, 0 if unknown, and comparable only with those of the same clock: `dirty` (the last
    change of the node's own status) is by the node's clock and the same at every registry, `updated` and
    `registered` are by the clock of the registry that answered. `boot` is the start time that the node itself
    reports. `started_ns` is when it started on this sidecar's clock: 0 for long ago, -1 if the source cannot
    tell; it is not compared.
    """

    id: str
    address: Address
    state: str = UP
    source_state: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    dirty: int = 0
    updated: int = 0
    registered: int = 0
    boot: int = 0
    started_ns: int = field(default=-1, compare=False)

    def same_properties(self, other: Member) -> bool:
        """Whether everything that the balancer uses is equal; the other timestamps may differ."""
        return (
            self.address == other.address and self.state == other.state and self.zone == other.zone
            and self.kind == other.kind and self.cell == other.cell and self.weight == other.weight
            and self.boot == other.boot
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Everything that a source lists at one time.

    `endpoint` is the address of the source that answered. `invalid` maps the ids of unusable entries to the
    reason. If `complete` is false, part of the answer is missing: what it lists is valid, but a node that it
    lacks may exist.
    """

    source: str
    endpoint: str
    members: Mapping[str, Member]
    revision: str = ""
    complete: bool = True
    invalid: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A node's new state for the balancer and the connections; `lifecycle` is up, draining or removed."""

    member: Member
    lifecycle: str
    started_ns: int


@dataclass(frozen=True, slots=True)
class ViewConfig:
    """The parameters of the membership view.

    max_missing_share: a read that lacks more than this share of the nodes is doubted.
    hold_ns: the longest time for which the view may differ from its source.
    stale_ns: the list is shown as stale to operators after this time without a complete read.
    """

    max_missing_share: float = 0.25
    hold_ns: int = 30_000_000_000
    stale_ns: int = 30_000_000_000


def to_table(member: Member) -> dict[str, Any]:
    """The member as a table, for the saved file."""
    host, port = member.address
    return {
        "id": member.id, "host": host, "port": port, "state": member.state, "word": member.source_state,
        "zone": member.zone, "kind": member.kind, "cell": member.cell, "weight": member.weight,
        "dirty": member.dirty, "updated": member.updated, "registered": member.registered, "boot": member.boot,
    }  # fmt: skip


def from_table(table: Any) -> Member:
    """The member in a table; ValueError if the table does not describe one."""
    try:
        host, port, state = str(table["host"]), int(table["port"]), str(table["state"])
        member = Member(
            str(table["id"]), (host, port), state, str(table["word"]), str(table["zone"]), str(table["kind"]),
            int(table["cell"]), float(table["weight"]),
            *(int(table[name]) for name in ("dirty", "updated", "registered", "boot")),
        )  # fmt: skip
    except (KeyError, TypeError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
    if not member.id or state not in STATES or not 0 < port < 65536:
        raise ValueError(f"invalid entry {member.id!r:.60}")
    return member
