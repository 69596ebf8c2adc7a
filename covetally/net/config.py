"""Reads and checks the platform's configuration of a sidecar."""

from __future__ import annotations

import json
import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from covetally.errors import ConfigurationError
from covetally.interface import Settings, SettingsError
from covetally.net.http_message import split_address

Address = tuple[str, int]

# Fractions of the descriptors. A tenth is left for everything else and for bursts.
CLIENT_FRACTION = 0.5
UPSTREAM_FRACTION = 0.4
BODY_FRACTION = 1 / 8  # of the memory limit, for requests that are being received


class ConfigError(ConfigurationError):
    """The configuration cannot be used; the message names the key."""

    code = "platform-configuration"
    remedy = "Correct the named key in the file that EDGE_CONFIG names, and start again."


@dataclass(frozen=True, slots=True)
class Config:
    """The checked configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory: int  # bytes
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known: Any  # a server list to start with, in discovery's format; None: there is none
    settings: Settings
    load_fields: frozenset[str]  # the names of the fields in load reports
    client_connections: int
    server_connections: int
    body_memory: int  # bytes that requests may take while they are received
    backlog: int = 4096  # many clients may connect at once and wait here until they are accepted
    log_level: str = "info"


def load(env: Mapping[str, str]) -> Config:
    """Read the file that EDGE_CONFIG names. Other variables supply keys that the file lacks."""
    path = env.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG: not set; it has to name the configuration file (JSON)")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"EDGE_CONFIG: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("EDGE_CONFIG: not a JSON object")
    for key in ("name", "listen", "discovery"):
        raw.setdefault(key, env.get(f"EDGE_{key.upper()}"))
    try:
        settings = Settings.parse(raw.get("settings"))
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    sockets = _limit(raw, "sockets", 64, 1024)
    memory = _limit(raw, "memory_mb", 8, 192) * 1024 * 1024
    return Config(
        name=str(raw["name"] or "sidecar"),
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        seed=_seed(raw),
        sockets=sockets,
        memory=memory,
        peer_listen=_address(raw, "peer_listen") if raw.get("peer_listen") else None,
        peers=_peers(raw),
        peers_all=_address(raw, "peers_all") if raw.get("peers_all") else None,
        known=raw.get("known"),
        settings=settings,
        load_fields=_load_fields(raw["settings"].get("reporting")),
        client_connections=int(sockets * CLIENT_FRACTION),
        server_connections=int(sockets * UPSTREAM_FRACTION),
        body_memory=int(memory * BODY_FRACTION),
    )


def _address(raw: dict[str, Any], key: str) -> Address:
    return _parse_address(raw.get(key), key)


def _parse_address(value: Any, key: str) -> Address:
    try:
        return split_address(value)
    except (AttributeError, ValueError):
        raise ConfigError(f"{key}: not an address of the form a.b.c.d:port: {value!r}") from None


def _peers(raw: dict[str, Any]) -> tuple[Address, ...]:
    peers = raw.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigError("peers: not a list of addresses")
    return tuple(_parse_address(value, f"peers[{i}]") for i, value in enumerate(peers))


def _load_fields(reporting: Any) -> frozenset[str]:
    columns = reporting.get("columns") if isinstance(reporting, dict) else None
    if not isinstance(columns, list):
        return frozenset()
    return frozenset(name for name in columns if isinstance(name, str))


def _seed(raw: dict[str, Any]) -> int:
    value = raw.get("seed")
    if value is None:
        return secrets.randbits(64)
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: not hexadecimal: {value!r}") from None


def _limit(raw: dict[str, Any], name: str, minimum: int, default: int) -> int:
    limits = raw.get("limits")
    value = limits.get(name, default) if isinstance(limits, dict) else default
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise ConfigError(f"limits.{name}: not an integer of at least {minimum}: {value!r}")
    return value
