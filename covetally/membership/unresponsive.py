"""Detects listed nodes that do not answer to this sidecar. No I/O; times are ns on one clock.

    observation                                      result
    -----------                                      ------
    any answer, also an error or a refusal           the node answers
    MIN_TIMEOUTS timeouts without an answer between  unresponsive: reported to the balancer, whose probes bring it
      them, over at least MIN_SPAN_NS                back; each further timeout reports it again
    MIN_FAILED_CHECKS failed active checks without   the same
      an answer between them
    a failed connection                              nothing: the balancer handles those itself

A hung node keeps renewing its lease, and its kernel keeps accepting connections, so neither the registry nor a
connection reveals it. This detects a stopped or deadlocked process, or one whose disk is gone. It must not harm
a node that is slow but serves: any answer starts the count anew, and the balancer keeps half of its nodes
whatever is reported here.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass

MIN_TIMEOUTS = 3
MIN_SPAN_NS = 300_000_000
MIN_FAILED_CHECKS = 2


@dataclass(slots=True)
class _FailureRecord:
    """The timeouts and failed checks of a node since its last answer."""

    timeouts: int = 0
    failed_checks: int = 0
    since: int = 0
    reported: bool = False


class UnresponsiveNodes:
    """Counts timeouts and failed checks per node. Keeps records only of nodes that did not answer last time."""

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def record_answer(self, node: str) -> None:
        """Any answer of the node, also an error."""
        self._records.pop(node, None)

    def record_timeout(self, now: int, node: str) -> bool:
        """An attempt ended without an answer; returns whether to report the node to the balancer."""
        record = self._records.setdefault(node, _FailureRecord(since=now))
        record.timeouts += 1
        return self._mark_reported(record, record.timeouts >= MIN_TIMEOUTS and now - record.since >= MIN_SPAN_NS)

    def record_check(self, now: int, node: str, answered: bool) -> bool:
        """An active check ended; returns whether to report the node to the balancer."""
        if answered:
            self.record_answer(node)
            return False
        record = self._records.setdefault(node, _FailureRecord(since=now))
        record.failed_checks += 1
        return self._mark_reported(record, record.failed_checks >= MIN_FAILED_CHECKS)

    @staticmethod
    def _mark_reported(record: _FailureRecord, is_unresponsive: bool) -> bool:
        # Each further failure reports the node again: a probe may have brought it back in the meantime.
        record.reported = record.reported or is_unresponsive
        return is_unresponsive

    def retain(self, listed: Collection[str]) -> None:
        """Drops the records of nodes that are no longer listed."""
        self._records = {name: record for name, record in self._records.items() if name in listed}

    def unresponsive(self, now: int) -> dict[str, int]:
        """The unresponsive nodes, and for how many ns they have not answered."""
        return {name: now - record.since for name, record in self._records.items() if record.reported}


def check_schedule(nodes: list[str], replicas: int, per_node_s: float, index: int) -> Iterator[tuple[float, str]]:
    """Yields the active checks without end, as (seconds to wait, node to check then).

    All sidecars of a tier together check each node `per_node_s` times a second, however many they are: each
    sidecar waits `replicas / per_node_s` seconds between two checks of a node, and starts at its own offset in
    that period.
    """
    if not nodes:
        return
    period_s = max(1, replicas) / per_node_s
    step_s = period_s / len(nodes)
    yield step_s * (index % max(1, replicas)) / max(1, replicas), nodes[0]
    position = 1
    while True:
        yield step_s, nodes[position % len(nodes)]
        position += 1
