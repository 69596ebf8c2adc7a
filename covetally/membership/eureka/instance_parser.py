"""One instance as Eureka lists it, made a member. No I/O.

Source: Netflix Eureka wiki, "Eureka REST operations", and the forms that its server's encoders write: ports as
{"$": 8080, "@enabled": "true"}, numbers and switches as strings, sections left out where empty.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from ipaddress import IPv4Address, IPv6Address, ip_address
from typing import Any

from covetally.errors import DamagedError
from covetally.membership.model import DOWN, LEAVING, STARTING, UP, Member

STATES = {
    "UP": UP, "STARTING": STARTING, "DOWN": DOWN, "OUT_OF_SERVICE": LEAVING, "UNKNOWN": DOWN,
}  # fmt: skip
MARKS = ("OUT_OF_SERVICE", "DOWN")  # an override that says so holds over whatever the status says
MAX_WORD = 255  # of an id, a zone and the like


class BadEntry(DamagedError):
    """An entry that cannot be used; the message says why."""

    code = "registry-entry"
    remedy = "Correct that instance in the registry; the others count."


@dataclass(frozen=True, slots=True)
class Keys:
    """The names of the metadata that say what Eureka has no field for."""

    zone: str = "zone"
    kind: str = "machineType"
    cell: str = "cell"
    weight: str = "weight"
    drain: str = "drain"
    started: str = "startedAtMs"


@dataclass(frozen=True, slots=True)
class Instance:
    """What of an entry is needed to follow the registry: `member` is None where it cannot be used, and `why`
    says why not. `status` is in the registry's own words, for its hash."""

    app: str
    id: str
    status: str
    action: str
    updated: int
    member: Member | None
    why: str = ""
    up_since: int = field(default=0, compare=False)  # ms, the registry's clock


def read(raw: Mapping[str, Any], keys: Keys, app: str = "", wanted: str = "") -> Instance:
    """An instance from its decoded JSON, or from XML brought into the same form; BadEntry if nobody could say
    which instance is meant. Those of other applications than `wanted` are read for the hash only."""
    app = _text(raw.get("app")) or app
    # An entry without an id is known by its host's name, as Eureka's own clients know it.
    name = _text(raw.get("instanceId")) or _text(raw.get("hostName"))
    if not name:
        raise BadEntry(f"an entry of {app or 'no application'} without an id")
    status = _text(raw.get("status")).upper() or "UP"
    lease = _section(raw.get("leaseInfo"))
    member, why = None, ""
    if not wanted or app.upper() == wanted:
        try:
            member = _member(raw, keys, name, status, lease)
        except BadEntry as error:
            why = str(error)
    return Instance(
        app.upper(), name, status, _text(raw.get("actionType")).upper(), _stamp(raw.get("lastUpdatedTimestamp")),
        member, why, _stamp(lease.get("serviceUpTimestamp")),
    )  # fmt: skip


def _member(raw: Mapping[str, Any], keys: Keys, name: str, status: str, lease: Mapping[str, Any]) -> Member:
    if status not in STATES:
        raise BadEntry(f"status {status[:40]!r}")
    override = _text(raw.get("overriddenstatus") or raw.get("overriddenStatus")).upper()
    word = override if status == "UP" and override in MARKS else status
    metadata = _section(raw.get("metadata"))
    state = STATES[word]
    if state == UP and _switch(metadata.get(keys.drain)):
        state, word = LEAVING, "drain"
    zone = _text(metadata.get(keys.zone))
    if not zone:
        center = _section(_section(raw.get("dataCenterInfo")).get("metadata"))
        zone = _text(center.get("availability-zone"))
    return Member(
        id=name,
        address=(_host(raw), _port(raw)),
        state=state,
        word=word,
        zone=zone,
        kind=_text(metadata.get(keys.kind)),
        cell=int(_number(metadata.get(keys.cell), keys.cell, 0, 1_000_000)),
        weight=_number(metadata.get(keys.weight), keys.weight, 1.0, 1_000_000),
        dirty=_stamp(raw.get("lastDirtyTimestamp")),
        updated=_stamp(raw.get("lastUpdatedTimestamp")),
        registered=_stamp(lease.get("registrationTimestamp")),
        boot=_stamp(metadata.get(keys.started)),
    )


def _host(raw: Mapping[str, Any]) -> str:
    """The address to connect to. There is no DNS, so a host's name serves only where it is an address itself."""
    found: IPv4Address | IPv6Address | None = None
    for key in ("ipAddr", "hostName"):
        try:
            found = ip_address(_text(raw.get(key)))
            break
        except ValueError:
            continue
    if found is None:
        raise BadEntry(f"no address: ipAddr {_text(raw.get('ipAddr'))[:60]!r}")
    if found.is_unspecified or found.is_multicast or getattr(found, "scope_id", None):
        raise BadEntry(f"not an address to connect to: {found}")
    return str(found)


def _port(raw: Mapping[str, Any]) -> int:
    text, enabled = _port_of(raw.get("port"))
    if not enabled:
        only = " (a secure one is; nodes are spoken to in plain HTTP)"
        raise BadEntry(f"its plain port is not enabled{only if _port_of(raw.get('securePort'))[1] else ''}")
    if not (text.isascii() and text.isdigit() and 0 < int(text[:9]) < 65536):
        raise BadEntry(f"port {text[:20]!r}")
    return int(text)


def _port_of(value: Any) -> tuple[str, bool]:
    """A port's number and whether it is enabled; absent is not."""
    if isinstance(value, Mapping):
        return _text(value.get("$")), _switch(value.get("@enabled", "true"))
    text = _text(value)
    return text, bool(text)


def _section(value: Any) -> Mapping[str, Any]:
    return value if isinstance(value, Mapping) else {}


def _text(value: Any) -> str:
    if isinstance(value, str):
        return value.strip() if len(value) <= MAX_WORD else ""
    return str(value) if isinstance(value, int) and not isinstance(value, bool) and abs(value) < 1 << 63 else ""


def _switch(value: Any) -> bool:
    return value is True or (isinstance(value, str) and value.strip().lower() == "true")


def _stamp(value: Any) -> int:
    """A time in ms; 0 where there is none that can be read."""
    text = _text(value)
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 15 else 0


def _number(value: Any, key: str, default: float, most: float) -> float:
    text = str(value) if isinstance(value, float) else _text(value)
    if not text:
        return default
    try:
        number = float(text)
    except ValueError:
        raise BadEntry(f"metadata {key} = {text[:40]!r}") from None
    if not (math.isfinite(number) and 0 <= number <= most):
        raise BadEntry(f"metadata {key} = {text[:40]!r}")
    return number
