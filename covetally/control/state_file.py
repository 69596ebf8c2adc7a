"""The file in which a sidecar's memory outlives its process: settings taken, and what was ordered of it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

from covetally.control import orders, revisions
from covetally.control.orders import NO_ORDERS, Orders
from covetally.control.revisions import RevisionState
from covetally.operator import files

MAX_FILE_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class SavedState:
    """What is in the file."""

    memory: RevisionState = RevisionState()
    orders: Orders = NO_ORDERS


def read(path: Path) -> SavedState:
    """What is kept, nothing where there is no file; ValueError if the file cannot be used."""
    data = files.read(path, MAX_FILE_BYTES)
    if data is None:
        return SavedState()
    table = json.loads(data)
    memory = revisions.from_dict(table)
    # A file of a version that kept no orders has none.
    return SavedState(memory, orders.from_dict(table["orders"]) if "orders" in table else NO_ORDERS)


def write(path: Path, kept: SavedState) -> None:
    """Replace the file's content, wholly or not at all, also if the machine stops; OSError if it cannot be."""
    table = revisions.to_dict(kept.memory) | {"orders": kept.orders.as_dict()}
    files.replace(path, json.dumps(table, indent=1).encode())
