"""The agent's rollouts in memory, and which changes to rollouts and instances are not saved yet."""

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

DEFAULT_REVISION_KEY = "settled"


class AgentState:
    """The rollouts of the agent and its unsaved changes. A change counts as saved only once the transaction that
    contains it is committed to disk."""

    def __init__(self, store: Store, instances: Mapping[str, Instance], on_saved: Callable[[int], None]) -> None:
        self._store, self._instances = store, instances
        self._on_saved = on_saved  # called with the number of each rollout that was saved
        self.rollouts: dict[int, RolloutRecord] = {}  # by number
        # Actions of rollouts that the agent has not handled yet.
        self.pending_actions: list[tuple[RolloutRecord, Any]] = []
        self.unsaved_instances: set[str] = set()  # instances whose changes are not saved yet
        # The revision of instances that are in no rollout.
        self.default_revision = self._saved_default_revision = int(store.get(DEFAULT_REVISION_KEY, "0"))

    def save(self, now: float) -> None:
        """Save all unsaved changes; CannotKeepError if the disk refuses. `now` is the time on the clock of
        rollouts."""
        with self._store.transaction():
            for record in self.rollouts.values():
                head, members = rollout.to_rows(record.rollout, now)
                head["queued"] = record.queued
                if members or _without_time(head) != _without_time(record.row.head):
                    self._store.save_rollout(replace(record.row, head=head), members)
                    self._store.on_commit(partial(self._rollout_saved, record, head))
            rows = {
                name: self._instances[name].row() for name in self.unsaved_instances if name in self._instances
            }
            if rows:
                self._store.save_instances(rows)
            if self.default_revision != self._saved_default_revision:
                self._store.set(DEFAULT_REVISION_KEY, str(self.default_revision))
            self._store.on_commit(self._instances_saved)

    def _rollout_saved(self, record: RolloutRecord, head: dict[str, Any]) -> None:
        record.row.head = head
        record.rollout.unsaved_members.clear()
        self._on_saved(record.rollout.number)

    def _instances_saved(self) -> None:
        self.unsaved_instances.clear()
        self._saved_default_revision = self.default_revision

    @contextlib.contextmanager
    def transaction(self, *touched: RolloutRecord) -> Iterator[None]:
        """A transaction of the store that also covers the given rollouts in memory.

        If the disk refuses the commit, the rollouts, the list of rollouts and the pending actions are restored to
        their state before the transaction, and CannotKeepError is raised.
        """
        before = [
            (record, replace(record, row=replace(record.row)), copy.deepcopy(record.rollout))
            for record in touched
        ]
        rollouts, pending_actions = dict(self.rollouts), list(self.pending_actions)
        try:
            with self._store.transaction():
                yield
        except CannotKeepError:
            self.rollouts, self.pending_actions = rollouts, pending_actions
            for record, old, old_rollout in before:
                record.rollout, record.row = old_rollout, old.row
                record.queued, record.undo_requested = old.queued, old.undo_requested
            raise


def _without_time(head: Mapping[str, Any]) -> dict[str, Any]:
    """A rollout's row without its elapsed time, which changes without an event."""
    return {key: value for key, value in head.items() if key != "spent"}
