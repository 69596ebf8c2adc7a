"""The orders of operators for each instance: desired state that is stored, and compared with what instances
report.

    event                                   action
    -----                                   ------
    an operator gives an order              it is stored under the next revision, acknowledged, and sent
    the instance refuses it                 the previous state becomes desired again, under a new revision
    the instance is not connected           the order is stored, and sent with the welcome when it connects
    the instance reports a lower revision   the desired state is sent again
    the instance reports a higher revision  the store was lost or restored from an older copy: the reported state
                                            becomes the desired state
"""

from __future__ import annotations

import json
import logging
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from covetally.control import orders
from covetally.control.orders import NO_ORDERS, Orders
from covetally.fleet.store import Store

log = logging.getLogger(__name__)

STORE_KEY = "orders"


@dataclass(frozen=True, slots=True)
class Command:
    """An operator's command to an instance. `action` is one of `control.orders.STATE_ORDERS`, which change the
    desired state, or a one-off action; `within_s` limits how many seconds a drain may take."""

    action: str
    who: str = "agent"
    why: str = ""
    within_s: float | None = None


@dataclass(frozen=True, slots=True)
class Ordered:
    """The desired state of an instance, with who ordered it, when (Unix time in seconds) and why."""

    state: Orders
    who: str
    at: float
    why: str = ""

    def as_dict(self) -> dict[str, Any]:
        """The order as a dictionary, for the store and the API."""
        return self.state.as_dict() | {"who": self.who, "at": self.at, "why": self.why}


class DesiredOrders:
    """The desired orders of all instances by name, saved in the store."""

    def __init__(self, store: Store) -> None:
        self._store = store
        rows = json.loads(store.get(STORE_KEY) or "{}")
        self._ordered = {
            name: Ordered(orders.from_dict(row), str(row["who"]), float(row["at"]), str(row["why"]))
            for name, row in rows.items()
        }
        self._highest = max((ordered.state.revision for ordered in self._ordered.values()), default=0)

    def desired(self, name: str) -> Orders:
        """The desired state of an instance; NO_ORDERS if none was ever ordered."""
        ordered = self._ordered.get(name)
        return ordered.state if ordered is not None else NO_ORDERS

    def as_dict(self, name: str) -> dict[str, Any]:
        """The desired state of an instance for operators; empty if none was ever ordered."""
        ordered = self._ordered.get(name)
        return ordered.as_dict() if ordered is not None else {}

    def record(self, name: str, command: Command, at: float) -> Orders:
        """Save a new order and return the resulting state. CannotKeepError, and no change, if the disk
        refuses."""
        state = self.desired(name).with_order(command.action, self._highest + 1, command.within_s)
        self._write({name: Ordered(state, command.who, at, command.why)})
        return state

    def revert(self, name: str, refused: Orders, before: Orders, at: float) -> None:
        """Restore the previous state after an instance refused one, unless it was ordered something else
        meanwhile."""
        if self.desired(name) == refused:
            restored = replace(before, revision=self._highest + 1)
            self._write({name: Ordered(restored, "agent", at, f"revision {refused.revision} was refused")})

    def reconcile(self, name: str, table: Any, at: float) -> None:
        """Compare the state that an instance reports on connecting with the desired state, and adopt it if
        newer."""
        if not isinstance(table, Mapping):
            return  # from a version that does not store orders
        try:
            state = orders.from_dict(table)
        except ValueError as error:
            log.warning("%s: %s", name, error)
            return
        if state.revision > self.desired(name).revision:
            log.warning(
                "%s reports orders of revision %d, which are missing from the store", name, state.revision
            )
            self._write({name: Ordered(state, "agent", at, "as the instance reports")})

    def forget(self, name: str) -> None:
        """Delete the orders of an instance."""
        if name in self._ordered:
            remaining = {other: ordered for other, ordered in self._ordered.items() if other != name}
            self._save(remaining)

    def _write(self, changed: Mapping[str, Ordered]) -> None:
        self._save(self._ordered | dict(changed))
        highest = (ordered.state.revision for ordered in changed.values())
        self._highest = max(self._highest, *highest)

    def _save(self, ordered: dict[str, Ordered]) -> None:
        text = json.dumps({name: each.as_dict() for name, each in ordered.items()})
        with self._store.transaction():
            self._store.set(STORE_KEY, text)
        self._ordered = ordered
