"""The rollouts that the agent knows of, and what of them and of the instances its store lacks."""

from __future__ import annotations

import contextlib
import copy
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace
from functools import partial
from typing import Any

from covetally.fleet import rollout
from covetally.fleet.registry import Instance
from covetally.fleet.running import Running
from covetally.fleet.store import CannotKeepError, Store

SETTLED = "settled"


class Ledger:
    """What changes here counts as written once a transaction that has it is on disk, and not before."""

    def __init__(self, store: Store, instances: Mapping[str, Instance], changed: Callable[[int], None]) -> None:
        self._store, self._instances = store, instances
        self._changed = changed  # is told of each rollout that was written
        self.running: dict[int, Running] = {}  # by number
        self.todo: list[tuple[Running, Any]] = []  # actions of rollouts that nobody has looked at yet
        self.dirty: set[str] = set()  # instances that the store lacks
        self.settled = self._settled_kept = int(
            store.get(SETTLED, "0")
        )  # the revision for whoever is in no rollout

    def save(self, now: float) -> None:
        """Write what the store lacks, `now` on the clock of rollouts; CannotKeepError if it cannot be."""
        with self._store.transaction():
            for running in self.running.values():
                head, members = rollout.to_tables(running.rollout, now)
                head["queued"] = running.queued
                if members or _without_time(head) != _without_time(running.row.head):
                    self._store.save_rollout(replace(running.row, head=head), members)
                    self._store.on_commit(partial(self._rollout_saved, running, head))
            rows = {name: self._instances[name].row() for name in self.dirty if name in self._instances}
            if rows:
                self._store.save_instances(rows)
            if self.settled != self._settled_kept:
                self._store.set(SETTLED, str(self.settled))
            self._store.on_commit(self._instances_saved)

    def _rollout_saved(self, running: Running, head: dict[str, Any]) -> None:
        running.row.head = head
        running.rollout.dirty.clear()
        self._changed(running.rollout.number)

    def _instances_saved(self) -> None:
        self.dirty.clear()
        self._settled_kept = self.settled

    @contextlib.contextmanager
    def all_or_nothing(self, *touched: Running) -> Iterator[None]:
        """A transaction of the store, and of the rollouts that it touches.

        CannotKeepError where the disk does not take it: nothing of it was done here either.
        """
        before = [
            (running, replace(running, row=replace(running.row)), copy.deepcopy(running.rollout))
            for running in touched
        ]
        known, todo = dict(self.running), list(self.todo)
        try:
            with self._store.transaction():
                yield
        except CannotKeepError:
            self.running, self.todo = known, todo
            for running, old, its_rollout in before:
                running.rollout, running.row = its_rollout, old.row
                running.queued, running.undo_due = old.queued, old.undo_due
            raise


def _without_time(head: Mapping[str, Any]) -> dict[str, Any]:
    """A rollout's row without the time that it has spent, which passes by itself."""
    return {key: value for key, value in head.items() if key != "spent"}
