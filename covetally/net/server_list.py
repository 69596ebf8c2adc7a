"""Parses server lists in the platform's format: full answers, and the valid part of truncated ones. No I/O."""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

from covetally.errors import DamagedError
from covetally.interface import ServerEntry, Settings
from covetally.net.config import Address
from covetally.net.http_message import split_address

LIFECYCLES = {"active": "up", "leaving": "draining", "left": "removed"}

_PREAMBLE = re.compile(r'\s*\{\s*(?:"(?:generation|reset)"\s*:\s*(?:\d+|true|false)\s*,\s*)*"instances"\s*:\s*\[')
_GENERATION = re.compile(r'"generation"\s*:\s*(\d+)')
_COMMA = re.compile(r"\s*,?\s*")


class ListError(DamagedError):
    """A server list is invalid or too long."""

    code = "list"
    remedy = (
        "Check discovery; the entries before the first invalid one are used, and the list is requested again."
    )


class ListUpdate(NamedTuple):
    """One answer of discovery: the full list if `full` is set, else the changes since an earlier version.
    `generation` is the version of the list."""

    generation: int
    full: bool
    entries: list[tuple[ServerEntry, Address]]


def parse_list(settings: Settings, raw: Any) -> ListUpdate:
    """Convert a decoded answer of discovery; raises ListError if any part of it is malformed."""
    try:
        generation, full, items = raw["generation"], raw["reset"], raw["instances"]
        if not isinstance(generation, int) or not isinstance(full, bool) or not isinstance(items, list):
            raise ListError("generation, reset or instances has the wrong type")
        return ListUpdate(generation, full, [_entry(settings, item) for item in items])
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"{type(error).__name__}: {error}") from None


def _entry(settings: Settings, item: dict[str, Any]) -> tuple[ServerEntry, Address]:
    name = item["instanceId"]
    if not isinstance(name, str) or not name:
        raise ListError(f"instanceId is not a non-empty string: {name!r}")
    entry = ServerEntry(
        server=name,
        zone=_index(settings.zones, item.get("zone")),
        kind=_index(settings.kinds, item.get("machineType")),
        cell=int(item.get("cell") or 0),
        lifecycle=LIFECYCLES[item["lifecycle"]],
        weight=float(item.get("weight", 1.0)),
        started_ns=int(item.get("startedAtMs") or 0) * 1_000_000,
    )
    return entry, split_address(item["hostPort"])


def _index(names: tuple[str, ...], name: Any) -> int:
    """Return the index of a name; unknown names share the index after the last one."""
    return names.index(name) if name in names else len(names)


def parse_generation(text: str) -> int | None:
    """Return the version in front of the entries of a possibly truncated answer; None if there is none."""
    found = _GENERATION.search(text.partition('"instances"')[0])
    return int(found[1]) if found else None


def parse_partial_list(settings: Settings, text: str) -> list[tuple[ServerEntry, Address]]:
    """Return the entries that were received completely in a truncated answer; each of them is valid."""
    entries = []
    start = _PREAMBLE.match(text)
    at = start.end() if start else len(text)
    decoder = json.JSONDecoder()
    while at < len(text):
        try:
            item, at = decoder.raw_decode(text, at)
            entries.append(_entry(settings, item))
        except (ListError, KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError):
            break
        at = _COMMA.match(text, at).end()
    return entries
