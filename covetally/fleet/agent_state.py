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
from covetally.fleet.rollout_record import RolloutRecord
from covetally.fleet.store import CannotKeepError, Store

SETTLED = "settled"


class AgentState:
    """What changes here counts as written once a transaction that has it is on disk, and not before."""

    def __init__(self, store: Store, instances: Mapping[str, Instance], changed: Callable[[int], None]) -> None:
        self._store, self._instances = store, instances
        self._changed = changed  # is told of each rollout that was written
        self.rollouts: dict[int, RolloutRecord] = {}  # by number
        self.pending_actions: list[
            tuple[RolloutRecord, Any]
        ] = []  # actions of rollouts that nobody has looked at yet
        self.unsaved_instances: set[str] = set()  # instances that the store lacks
        self.default_revision = self._saved_default_revision = int(
            store.get(SETTLED, "0")
        )  # the revision for whoever is in no rollout

    def save(self, now: float) -> None:
        """Write what the store lacks, `now` on the clock of rollouts; CannotKeepError if it cannot be."""
        with self._store.transaction():
            for running in self.rollouts.values():
                head, members = rollout.to_rows(running.rollout, now)
                head["queued"] = running.queued
                if members or _without_time(head) != _without_time(running.row.head):
                    self._store.save_rollout(replace(running.row, head=head), members)
                    self._store.on_commit(partial(self._rollout_saved, running, head))
            rows = {
                name: self._instances[name].row() for name in self.unsaved_instances if name in self._instances
            }
            if rows:
                self._store.save_instances(rows)
            if self.default_revision != self._saved_default_revision:
                self._store.set(SETTLED, str(self.default_revision))
            self._store.on_commit(self._instances_saved)

    def _rollout_saved(self, running: RolloutRecord, head: dict[str, Any]) -> None:
        running.row.head = head
        running.rollout.unsaved_members.clear()
        self._changed(running.rollout.number)

    def _instances_saved(self) -> None:
        self.unsaved_instances.clear()
        self._saved_default_revision = self.default_revision

    @contextlib.contextmanager
    def transaction(self, *touched: RolloutRecord) -> Iterator[None]:
        """A transaction of the store, and of the rollouts that it touches.

        CannotKeepError where the disk does not take it: nothing of it was done here either.
        """
        before = [
            (running, replace(running, row=replace(running.row)), copy.deepcopy(running.rollout))
            for running in touched
        ]
        known, todo = dict(self.rollouts), list(self.pending_actions)
        try:
            with self._store.transaction():
                yield
        except CannotKeepError:
            self.rollouts, self.pending_actions = known, todo
            for running, old, its_rollout in before:
                running.rollout, running.row = its_rollout, old.row
                running.queued, running.undo_requested = old.queued, old.undo_requested
            raise


def _without_time(head: Mapping[str, Any]) -> dict[str, Any]:
    """A rollout's row without the time that it has spent, which passes by itself."""
    return {key: value for key, value in head.items() if key != "spent"}
