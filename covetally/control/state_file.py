"""The file that keeps a sidecar's revisions and orders across restarts (`control.keep`)."""

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
    """The content of the file."""

    revision_state: RevisionState = RevisionState()
    orders: Orders = NO_ORDERS


def read(path: Path) -> SavedState:
    """Return the saved state, an empty one if there is no file. Raises ValueError if the file cannot be used."""
    data = files.read(path, MAX_FILE_BYTES)
    if data is None:
        return SavedState()
    document = json.loads(data)
    revision_state = revisions.from_dict(document)
    # Files of versions that did not save orders lack this key.
    return SavedState(revision_state, orders.from_dict(document["orders"]) if "orders" in document else NO_ORDERS)


def write(path: Path, state: SavedState) -> None:
    """Replace the file atomically, also if the machine stops meanwhile. Raises OSError if that fails."""
    document = revisions.to_dict(state.revision_state) | {"orders": state.orders.as_dict()}
    files.replace(path, json.dumps(document, indent=1).encode())
