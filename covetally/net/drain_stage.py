"""The state machine for draining a sidecar by an operator's order, and for its shutdown. No I/O.

    stage     connections and requests                                       next stage
    --------  -------------------------------------------------------------  -------------------------------------
    SERVING   all are served                                                 DRAINING, DRAINED at start, ENDING
    DRAINING  all are served; each response is the last on its connection,   REFUSING in time, SERVING, ENDING
              silent connections are closed, the health check returns 503
    REFUSING  new requests are refused, those accepted before are completed  DRAINED in time, SERVING, ENDING
    DRAINED   none is left; new ones are refused and closed                  SERVING, ENDING
    ENDING    the process shuts down, see `Frontend.shut_down`               none

Every request accepted before REFUSING is completed by DRAINED, since the time between the two is longer than any
request deadline. A repeated order changes nothing, unless it leaves less time.
"""

from __future__ import annotations

import enum

MARGIN_S = 0.5  # a drain takes at least the longest deadline plus this
WRITE_MARGIN_S = 0.1  # the part of it for writing the last responses


class Stage(enum.Enum):
    """The stages of a drain; see the table at the head of this module."""

    SERVING = "serving"
    DRAINING = "draining"
    REFUSING = "refusing"
    DRAINED = "drained"
    ENDING = "ending"


class DrainStage:
    """The current stage, and the time of the next automatic change. All times are in seconds; points in time are
    on one monotonic clock."""

    def __init__(self) -> None:
        self._refuse_at = 0.0
        self._drained_at = 0.0
        self._enter(Stage.SERVING)

    def _enter(self, stage: Stage) -> None:
        self.stage = stage
        # Read for every request, so these are attributes instead of properties.
        self.draining = stage is not Stage.SERVING  # responses close their connections, the health check fails
        self.refusing = stage in (Stage.REFUSING, Stage.DRAINED)  # new requests are refused because of an order

    @property
    def public_name(self) -> str:
        """The stage as shown to operators: serving, draining or drained."""
        return self.stage.value if self.stage in (Stage.SERVING, Stage.DRAINED) else Stage.DRAINING.value

    def drain(self, now: float, within_s: float | None, longest_deadline_s: float) -> bool:
        """Process an order to drain within `within_s`, but not in less than the longest deadline plus MARGIN_S;
        returns whether it changes anything."""
        min_s = longest_deadline_s + MARGIN_S
        drained_at = now + max(within_s or min_s, min_s)
        if self.stage in (Stage.DRAINED, Stage.ENDING):
            return False
        if self.stage is not Stage.SERVING and drained_at >= self._drained_at:
            return False
        if self.stage is Stage.SERVING:
            self._enter(Stage.DRAINING)
        self._drained_at = drained_at
        self._refuse_at = drained_at - longest_deadline_s - WRITE_MARGIN_S
        return True

    def restore(self) -> None:
        """Start as DRAINED, in a process that starts under an order to drain: it has no connections yet."""
        if self.stage is Stage.SERVING:
            self._enter(Stage.DRAINED)

    def resume(self) -> bool:
        """Process an order to serve again; returns whether it changes anything. A shutdown is final."""
        if self.stage in (Stage.SERVING, Stage.ENDING):
            return False
        self._enter(Stage.SERVING)
        return True

    def start_shutdown(self) -> None:
        """Start the shutdown of the process."""
        self._enter(Stage.ENDING)

    def next_change_at(self) -> float | None:
        """When `advance` has to be called next; None if never."""
        if self.stage is Stage.DRAINING:
            return self._refuse_at
        return self._drained_at if self.stage is Stage.REFUSING else None

    def advance(self, now: float) -> bool:
        """Enter the next stage if it is due; returns whether it was."""
        change_at = self.next_change_at()
        if change_at is None or now < change_at:
            return False
        self._enter(Stage.REFUSING if self.stage is Stage.DRAINING else Stage.DRAINED)
        return True
