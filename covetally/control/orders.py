"""What an operator has ordered of one sidecar: a state with a revision, not a message. No I/O.

The agent numbers the orders of its whole fleet, so that of two states of one sidecar the higher revision is the
later one. A state is taken as a whole: late, doubled and crossed messages change nothing.
"""

from __future__ import annotations

import enum
from dataclasses import asdict, dataclass, replace
from typing import Any


class RosterMode(enum.Enum):
    """What is done with nodes that go missing from the list."""

    AUTO = "auto"  # doubts end by evidence and by time
    HOLD = "hold"  # they are kept


@dataclass(frozen=True, slots=True)
class Orders:
    """The state that is ordered. `within_s` is how many seconds a drain may take; None: as many as it needs."""

    revision: int = 0  # 0: nothing was ever ordered
    draining: bool = False
    within_s: float | None = None
    roster: RosterMode = RosterMode.AUTO

    def with_order(self, word: str, revision: int, within_s: float | None = None) -> Orders:
        """The state after one more order; ValueError if the word is none."""
        match word:
            case "drain":
                return replace(self, revision=revision, draining=True, within_s=within_s)
            case "resume":
                return replace(self, revision=revision, draining=False, within_s=None)
            case "hold" | "auto":
                return replace(self, revision=revision, roster=RosterMode(word))
        raise ValueError(f"no such order: {word:.40}")

    def as_dict(self) -> dict[str, Any]:
        """For the wire and for files."""
        return asdict(self) | {"roster": self.roster.value}


NO_ORDERS = Orders()
STATE_ORDERS = ("drain", "resume", "hold", "auto")  # the orders that are states; all others are done once


def from_dict(as_dict: Any) -> Orders:
    """What `Orders.table` made; ValueError if it is none."""
    try:
        revision, draining, within_s = as_dict["revision"], as_dict["draining"], as_dict["within_s"]
        if type(revision) is not int or revision < 0 or type(draining) is not bool:
            raise ValueError(f"no orders: {as_dict!r:.100}")
        if within_s is not None and (type(within_s) not in (int, float) or not 0 <= within_s < 1e9):
            raise ValueError(f"within_s is {within_s!r:.40}")
        return Orders(revision, draining, within_s, RosterMode(as_dict["roster"]))
    except (KeyError, TypeError) as error:
        raise ValueError(f"no orders: {type(error).__name__}: {error}") from None
