"""What operators have ordered of each instance: desired state, kept in the store, compared with what is reported.

an order is given        written with the next revision, then sent; acknowledged once it is written
the instance refuses     what was ordered before is desired again, under a further revision
the instance is away     the order is kept, and goes with the welcome when it comes
it reports a lower       it is sent the state again
it reports a higher      the store was lost or put back: its state is desired from now on
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

KEPT = "orders"


@dataclass(frozen=True, slots=True)
class Command:
    """What an operator says to an instance: a word of `control.orders.WORDS` or one that is done once, and for a
    drain how many seconds it may take."""

    word: str
    who: str = "agent"
    why: str = ""
    within_s: float | None = None


@dataclass(frozen=True, slots=True)
class Ordered:
    """The state that is wanted of an instance, who ordered it, when (Unix time in seconds) and why."""

    state: Orders
    who: str
    at: float
    why: str = ""

    def table(self) -> dict[str, Any]:
        """For the store and the API."""
        return self.state.as_dict() | {"who": self.who, "at": self.at, "why": self.why}


class OrderBook:
    """The orders of all instances by name."""

    def __init__(self, store: Store) -> None:
        self._store = store
        kept = json.loads(store.get(KEPT) or "{}")
        self._ordered = {
            name: Ordered(orders.from_dict(row), str(row["who"]), float(row["at"]), str(row["why"]))
            for name, row in kept.items()
        }
        self._highest = max((ordered.state.revision for ordered in self._ordered.values()), default=0)

    def of(self, name: str) -> Orders:
        """What is wanted of an instance."""
        ordered = self._ordered.get(name)
        return ordered.state if ordered is not None else NO_ORDERS

    def table(self, name: str) -> dict[str, Any]:
        """The same for operators; empty where nothing was ever ordered."""
        ordered = self._ordered.get(name)
        return ordered.table() if ordered is not None else {}

    def order(self, name: str, command: Command, at: float) -> Orders:
        """One more order, on disk when this returns; CannotKeepError, and nothing changed, if it cannot be."""
        state = self.of(name).with_order(command.word, self._highest + 1, command.within_s)
        self._write({name: Ordered(state, command.who, at, command.why)})
        return state

    def withdraw(self, name: str, refused: Orders, before: Orders, at: float) -> None:
        """An instance has refused a state: what was wanted before is wanted again, unless another was since."""
        if self.of(name) == refused:
            again = replace(before, revision=self._highest + 1)
            self._write({name: Ordered(again, "agent", at, f"revision {refused.revision} was refused")})

    def reported(self, name: str, table: Any, at: float) -> None:
        """What an instance says that it holds, when it comes."""
        if not isinstance(table, Mapping):
            return  # of a version that keeps no orders
        try:
            state = orders.from_dict(table)
        except ValueError as error:
            log.warning("%s: %s", name, error)
            return
        if state.revision > self.of(name).revision:
            log.warning("%s holds orders of revision %d, which the store lacks", name, state.revision)
            self._write({name: Ordered(state, "agent", at, "as the instance reports")})

    def forget(self, name: str) -> None:
        """Nothing is wanted of an instance any more."""
        if name in self._ordered:
            left = {other: ordered for other, ordered in self._ordered.items() if other != name}
            self._keep(left)

    def _write(self, changed: Mapping[str, Ordered]) -> None:
        self._keep(self._ordered | dict(changed))
        highest = (ordered.state.revision for ordered in changed.values())
        self._highest = max(self._highest, *highest)

    def _keep(self, ordered: dict[str, Ordered]) -> None:
        text = json.dumps({name: one.table() for name, one in ordered.items()})
        with self._store.transaction():
            self._store.set(KEPT, text)
        self._ordered = ordered
