"""The state that operators have ordered for one sidecar, with a revision number. No I/O.

The agent numbers all orders of its fleet in one sequence, so of two states of one sidecar the higher revision is
the later one. A state is always sent and applied as a whole, so that late, duplicate and reordered messages are
harmless.
"""

from __future__ import annotations

import enum
from dataclasses import asdict, dataclass, replace
from typing import Any


class RosterMode(enum.Enum):
    """How the roster treats nodes that are missing from the list."""

    AUTO = "auto"  # they are removed once evidence or a timeout confirms it
    HOLD = "hold"  # they are kept


@dataclass(frozen=True, slots=True)
class Orders:
    """The ordered state. `within_s` is the duration of a drain in seconds; None: as short as possible."""

    revision: int = 0  # 0: no order has been given
    draining: bool = False
    within_s: float | None = None
    roster: RosterMode = RosterMode.AUTO

    def with_order(self, order: str, revision: int, within_s: float | None = None) -> Orders:
        """Return the state after one more order. Raises ValueError for an unknown order."""
        match order:
            case "drain":
                return replace(self, revision=revision, draining=True, within_s=within_s)
            case "resume":
                return replace(self, revision=revision, draining=False, within_s=None)
            case "hold" | "auto":
                return replace(self, revision=revision, roster=RosterMode(order))
        raise ValueError(f"unknown order: {order:.40}")

    def as_dict(self) -> dict[str, Any]:
        """Return the state as a JSON object, for messages and files."""
        return asdict(self) | {"roster": self.roster.value}


NO_ORDERS = Orders()
STATE_ORDERS = ("drain", "resume", "hold", "auto")  # they change the state; other orders are one-time actions


def from_dict(document: Any) -> Orders:
    """Parse the result of `Orders.as_dict`. Raises ValueError if it is not valid."""
    try:
        revision, draining, within_s = document["revision"], document["draining"], document["within_s"]
        if type(revision) is not int or revision < 0 or type(draining) is not bool:
            raise ValueError(f"invalid orders: {document!r:.100}")
        if within_s is not None and (type(within_s) not in (int, float) or not 0 <= within_s < 1e9):
            raise ValueError(f"invalid within_s: {within_s!r:.40}")
        return Orders(revision, draining, within_s, RosterMode(document["roster"]))
    except (KeyError, TypeError) as error:
        raise ValueError(f"invalid orders: {type(error).__name__}: {error}") from None
