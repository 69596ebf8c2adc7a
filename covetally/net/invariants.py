"""Invariants of the request path, which are checked at run time; violations are counted.

A violation is a bug in this program and never the fault of a client, a server or the machine. It is logged with
the id of the request and counted by the name of the invariant. Where the check can still prevent harm, for
example by not starting an attempt, it does.

    name               checked in                 invariant
    -----------------  -------------------------  ---------------------------------------------------------------
    ATTEMPT_NOT_OWED   Sidecar._submit            an attempt starts only while its request is open
    UNSAFE_REPEAT      Sidecar._may_repeat        a request that may have run is repeated only as its class
                                                  allows: always, never, or within its window
    UNPROVEN           Sidecar._attempt_ended     an attempt whose last byte the kernel has taken is reported as
                                                  one that never ran only if its server said so
    CLOSED_UNANSWERED  ClientConnection.close     a connection that is owed a response is closed only if its
                                                  client has disconnected
    OVERDUE            Sidecar._answer_overdue    the balancer finishes every request by its deadline
    LISTENER_STALLED   Frontend.check_listener    the listener is watched, or a timer ends its pause
    ENDED_OWING        Frontend._close_remaining  no response is owed when the process ends
    WATCH_STALLED      Process._check_watch       while the server list is to be watched, a call to discovery is
                                                  within its timeout, or a timer is set for the next one
"""

from __future__ import annotations

import enum
import logging
from collections import Counter

log = logging.getLogger(__name__)


class Invariant(enum.Enum):
    """See the table at the head of this module. Operators see the value."""

    ATTEMPT_NOT_OWED = "attempt_not_owed"
    UNSAFE_REPEAT = "unsafe_repeat"
    UNPROVEN = "unproven"
    CLOSED_UNANSWERED = "closed_unanswered"
    OVERDUE = "overdue"
    LISTENER_STALLED = "listener_stalled"
    ENDED_OWING = "ended_owing"
    WATCH_STALLED = "watch_stalled"


class Violations:
    """Counts violations by invariant since the start of the process."""

    def __init__(self) -> None:
        self._counts: Counter[Invariant] = Counter()

    def report(self, invariant: Invariant, request_id: str, detail: str) -> None:
        """Count a violation, and log it with the id of the request."""
        self._counts[invariant] += 1
        log.error("violation %s: request %s: %s", invariant.value, request_id, detail)

    @property
    def total(self) -> int:
        """The number of violations."""
        return self._counts.total()

    def table(self) -> dict[str, int]:
        """The number of violations by invariant name, without those that were never violated."""
        return {invariant.value: count for invariant, count in self._counts.items()}
