"""Parses an instance in Eureka's format into a member. No I/O.

Source: Netflix Eureka wiki, "Eureka REST operations", and the output of its server's encoders: ports are written
as {"$": 8080, "@enabled": "true"}, numbers and booleans as strings, and empty sections are left out.
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
OVERRIDES = ("OUT_OF_SERVICE", "DOWN")  # overrides that take precedence over the status UP
MAX_TEXT_LENGTH = 255  # of an id, a zone or another text value


class InvalidInstance(DamagedError):
    """The registry's entry for an instance cannot be used; the message gives the reason."""

    code = "registry-entry"
    remedy = "Correct that instance in the registry; the other instances are used."


@dataclass(frozen=True, slots=True)
class MetadataKeys:
    """The names of the metadata keys for values that have no field in Eureka."""

    zone: str = "zone"
    kind: str = "machineType"
    cell: str = "cell"
    weight: str = "weight"
    drain: str = "drain"
    started: str = "startedAtMs"


@dataclass(frozen=True, slots=True)
class Instance:
    """The parts of an instance that are needed to follow the registry.

    `member` is None if the instance cannot be used, and `reason` is why. `status` is the registry's own name of
    the status, for its hash.
    """

    app: str
    id: str
    status: str
    action: str
    updated: int
    member: Member | None
    reason: str = ""
    up_since: int = field(default=0, compare=False)  # ms, the registry's clock


def parse(raw: Mapping[str, Any], metadata_keys: MetadataKeys, app: str = "", wanted: str = "") -> Instance:
    """Parses an instance from decoded JSON, or from XML converted to the same form.

    Raises InvalidInstance if it has no id. Instances of applications other than `wanted` are parsed only as far
    as the hash needs them.
    """
    app = _text(raw.get("app")) or app
    # Without an id the host name identifies an instance, as in Eureka's own clients.
    name = _text(raw.get("instanceId")) or _text(raw.get("hostName"))
    if not name:
        raise InvalidInstance(f"an instance of {app or 'no application'} has no id")
    status = _text(raw.get("status")).upper() or "UP"
    lease = _section(raw.get("leaseInfo"))
    member, reason = None, ""
    if not wanted or app.upper() == wanted:
        try:
            member = _member(raw, metadata_keys, name, status, lease)
        except InvalidInstance as error:
            reason = str(error)
    return Instance(
        app.upper(), name, status, _text(raw.get("actionType")).upper(),
        _timestamp(raw.get("lastUpdatedTimestamp")),
        member, reason, _timestamp(lease.get("serviceUpTimestamp")),
    )  # fmt: skip


def _member(
    raw: Mapping[str, Any], metadata_keys: MetadataKeys, name: str, status: str, lease: Mapping[str, Any]
) -> Member:
    if status not in STATES:
        raise InvalidInstance(f"status {status[:40]!r}")
    override = _text(raw.get("overriddenstatus") or raw.get("overriddenStatus")).upper()
    source_state = override if status == "UP" and override in OVERRIDES else status
    metadata = _section(raw.get("metadata"))
    state = STATES[source_state]
    if state == UP and _flag(metadata.get(metadata_keys.drain)):
        state, source_state = LEAVING, "drain"
    zone = _text(metadata.get(metadata_keys.zone))
    if not zone:
        center = _section(_section(raw.get("dataCenterInfo")).get("metadata"))
        zone = _text(center.get("availability-zone"))
    return Member(
        id=name,
        address=(_host(raw), _port(raw)),
        state=state,
        source_state=source_state,
        zone=zone,
        kind=_text(metadata.get(metadata_keys.kind)),
        cell=int(_number(metadata.get(metadata_keys.cell), metadata_keys.cell, 0, 1_000_000)),
        weight=_number(metadata.get(metadata_keys.weight), metadata_keys.weight, 1.0, 1_000_000),
        dirty=_timestamp(raw.get("lastDirtyTimestamp")),
        updated=_timestamp(raw.get("lastUpdatedTimestamp")),
        registered=_timestamp(lease.get("registrationTimestamp")),
        boot=_timestamp(metadata.get(metadata_keys.started)),
    )


def _host(raw: Mapping[str, Any]) -> str:
    """The IP address to connect to. Names are not resolved, so hostName is used only if it is an IP address."""
    found: IPv4Address | IPv6Address | None = None
    for key in ("ipAddr", "hostName"):
        try:
            found = ip_address(_text(raw.get(key)))
            break
        except ValueError:
            continue
    if found is None:
        raise InvalidInstance(f"no address: ipAddr {_text(raw.get('ipAddr'))[:60]!r}")
    if found.is_unspecified or found.is_multicast or getattr(found, "scope_id", None):
        raise InvalidInstance(f"not an address to connect to: {found}")
    return str(found)


def _port(raw: Mapping[str, Any]) -> int:
    text, enabled = _port_of(raw.get("port"))
    if not enabled:
        only = " (a secure one is; nodes are called over plain HTTP)"
        raise InvalidInstance(
            f"its plain port is not enabled{only if _port_of(raw.get('securePort'))[1] else ''}"
        )
    if not (text.isascii() and text.isdigit() and 0 < int(text[:9]) < 65536):
        raise InvalidInstance(f"port {text[:20]!r}")
    return int(text)


def _port_of(value: Any) -> tuple[str, bool]:
    """A port's number, and whether it is enabled; an absent one is not."""
    if isinstance(value, Mapping):
        return _text(value.get("$")), _flag(value.get("@enabled", "true"))
    text = _text(value)
    return text, bool(text)


def _section(value: Any) -> Mapping[str, Any]:
    return value if isinstance(value, Mapping) else {}


def _text(value: Any) -> str:
    if isinstance(value, str):
        return value.strip() if len(value) <= MAX_TEXT_LENGTH else ""
    return str(value) if isinstance(value, int) and not isinstance(value, bool) and abs(value) < 1 << 63 else ""


def _flag(value: Any) -> bool:
    return value is True or (isinstance(value, str) and value.strip().lower() == "true")


def _timestamp(value: Any) -> int:
    """A time in ms, 0 if it is absent or invalid."""
    text = _text(value)
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 15 else 0


def _number(value: Any, key: str, default: float, maximum: float) -> float:
    text = str(value) if isinstance(value, float) else _text(value)
    if not text:
        return default
    try:
        number = float(text)
    except ValueError:
        raise InvalidInstance(f"metadata {key} = {text[:40]!r}") from None
    if not (math.isfinite(number) and 0 <= number <= maximum):
        raise InvalidInstance(f"metadata {key} = {text[:40]!r}")
    return number
