"""Which listed nodes do not answer, from this sidecar's own evidence. No I/O; times are ns on one clock.

    evidence                                         verdict
    --------                                         -------
    any answer, also an error or a refusal           it answers
    SILENT time-outs in a row with none between,     suspect: the balancer is told once, and its own trials bring
      over SPAN_NS at least                          the node back
    FAILED_CHECKS active checks in a row failed      the same
    a failed connection                              nothing: the balancer judges those itself

A node that is hung goes on renewing its lease, and its kernel goes on taking connections: neither the registry
nor a connection tells. Guards against exactly that; it ought to catch a stopped process, a dead-locked one and
one whose disk is gone. It could do harm with a node that is slow but serves: any answer ends the row, and the
balancer keeps half of its nodes whatever is told here.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass

SILENT = 3
SPAN_NS = 300_000_000
FAILED_CHECKS = 2


@dataclass(slots=True)
class _Row:
    """Time-outs or failed checks since the last answer."""

    timeouts: int = 0
    checks: int = 0
    since: int = 0
    told: bool = False


class Hung:
    """The nodes that a sidecar has waited for in vain. Only those that did not answer of late are kept."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}

    def answered(self, node: str) -> None:
        """It said something."""
        self._rows.pop(node, None)

    def timed_out(self, now: int, node: str) -> bool:
        """An attempt there was given up with nothing heard; whether the balancer is to be told now."""
        row = self._rows.setdefault(node, _Row(since=now))
        row.timeouts += 1
        return self._verdict(row, row.timeouts >= SILENT and now - row.since >= SPAN_NS)

    def checked(self, now: int, node: str, good: bool) -> bool:
        """An active check ended; whether the balancer is to be told now."""
        if good:
            self.answered(node)
            return False
        row = self._rows.setdefault(node, _Row(since=now))
        row.checks += 1
        return self._verdict(row, row.checks >= FAILED_CHECKS)

    @staticmethod
    def _verdict(row: _Row, suspect: bool) -> bool:
        # Once more with each further one: it may have come back by a trial, and be silent again.
        row.told = row.told or suspect
        return suspect

    def forget(self, listed: Collection[str]) -> None:
        """Only these are listed now."""
        self._rows = {name: row for name, row in self._rows.items() if name in listed}

    def silent(self, now: int) -> dict[str, int]:
        """The suspects, and for how many ns they have not answered."""
        return {name: now - row.since for name, row in self._rows.items() if row.told}


def schedule(nodes: list[str], replicas: int, per_node_s: float, index: int) -> Iterator[tuple[float, str]]:
    """Active checks without end: (how many seconds to wait, whom to check then).

    All sidecars of a tier together check each node `per_node_s` times a second, however many they are: each waits
    `replicas / per_node_s` between two checks of one node, and begins at its own place in that time.
    """
    if not nodes:
        return
    every_s = max(1, replicas) / per_node_s
    step_s = every_s / len(nodes)
    yield step_s * (index % max(1, replicas)) / max(1, replicas), nodes[0]
    at = 1
    while True:
        yield step_s, nodes[at % len(nodes)]
        at += 1
