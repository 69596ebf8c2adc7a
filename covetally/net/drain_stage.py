"""What a sidecar tells its clients of itself, and how a drain by an operator's order comes to its end. No I/O.

    stage      connections and requests                                        -> next
    -----      ------------------------                                        -------
    SERVING    all are served                                                  DRAINING, ENDING
    DRAINING   all are served, each answer is the last on its connection,      REFUSING in time, SERVING, ENDING
               silent connections are closed, the health check answers 503
    REFUSING   new requests are refused, those taken before are answered       DRAINED in time, SERVING, ENDING
    DRAINED    none is held; whoever comes is refused and closed               SERVING, ENDING
    ENDING     as `Frontend.shut_down` has it: the process ends                    none

Whatever was taken before REFUSING has its answer by DRAINED: the time between the two is longer than any
request's deadline. An order that comes twice changes nothing, unless it gives less time.
"""

from __future__ import annotations

import enum

MARGIN_S = 0.5  # a drain takes the longest deadline and this, if no more time is given
ANSWERING_S = 0.1  # of that, for the last answers to be written


class Stage(enum.Enum):
    """See the module's head."""

    SERVING = "serving"
    DRAINING = "draining"
    REFUSING = "refusing"
    DRAINED = "drained"
    ENDING = "ending"


class DrainStage:
    """The stage and when it changes by itself. All times are seconds, moments on one monotonic clock."""

    def __init__(self) -> None:
        self._refuses_at = 0.0
        self._drained_at = 0.0
        self._enter(Stage.SERVING)

    def _enter(self, stage: Stage) -> None:
        self.stage = stage
        # Read with every request, so kept and not worked out each time.
        self.draining = stage is not Stage.SERVING  # clients are told to stay away
        self.refusing = stage in (Stage.REFUSING, Stage.DRAINED)  # new requests are refused, by an order

    @property
    def shown(self) -> str:
        """The stage for operators: serving, draining or drained."""
        return self.stage.value if self.stage in (Stage.SERVING, Stage.DRAINED) else Stage.DRAINING.value

    def drain(self, now: float, within_s: float | None, longest_s: float) -> bool:
        """An order to drain within so long, at least the longest deadline and MARGIN_S; whether it changes
        anything."""
        least_s = longest_s + MARGIN_S
        drained_at = now + max(within_s or least_s, least_s)
        if self.stage in (Stage.DRAINED, Stage.ENDING):
            return False
        if self.stage is not Stage.SERVING and drained_at >= self._drained_at:
            return False
        if self.stage is Stage.SERVING:
            self._enter(Stage.DRAINING)
        self._drained_at = drained_at
        self._refuses_at = drained_at - longest_s - ANSWERING_S
        return True

    def restore(self) -> None:
        """A process that starts under an order to drain holds nothing yet: it is drained from the beginning."""
        if self.stage is Stage.SERVING:
            self._enter(Stage.DRAINED)

    def resume(self) -> bool:
        """An order to serve again; whether it changes anything. An end is not taken back."""
        if self.stage in (Stage.SERVING, Stage.ENDING):
            return False
        self._enter(Stage.SERVING)
        return True

    def end(self) -> None:
        """The process ends."""
        self._enter(Stage.ENDING)

    def due(self) -> float | None:
        """When `advance` has something to do; None if never."""
        if self.stage is Stage.DRAINING:
            return self._refuses_at
        return self._drained_at if self.stage is Stage.REFUSING else None

    def advance(self, now: float) -> bool:
        """Go on to the next stage if its time has come; whether it had."""
        due = self.due()
        if due is None or now < due:
            return False
        self._enter(Stage.REFUSING if self.stage is Stage.DRAINING else Stage.DRAINED)
        return True
