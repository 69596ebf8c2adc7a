"""Applies validated operator settings to the configuration of a sidecar."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from covetally.interface import Settings
from covetally.operator.check import OperatorError, Problem, apply_settings, missing_requirements
from covetally.operator.schema import Value

_FIELDS = {
    "limits.client_connections": "client_connections",
    "limits.server_connections": "server_connections",
    "log.level": "log_level",
    "process.backlog": "backlog",
}
_ADDRESSES = {"discovery.address": "discovery", "process.listen": "listen"}


RESERVED_FRACTION = 0.05  # of the file descriptors: for the listener, discovery, the agent and files


class PlatformConfig(Protocol):
    """The part of the platform's configuration that operator settings are checked against."""

    settings: Settings
    sockets: int
    client_connections: int
    server_connections: int


def config_overrides(platform: PlatformConfig, values: Mapping[str, Value]) -> dict[str, Any]:
    """Return the configuration fields that the values replace, by name. Raises OperatorError if a value conflicts
    with the platform's configuration."""
    if problems := missing_requirements(values):
        raise OperatorError(problems)
    _check_descriptors(platform, values)
    replaced: dict[str, Any] = {field: values[key] for key, field in _FIELDS.items() if key in values}
    for key, field in _ADDRESSES.items():
        if key in values:
            host, _, port = str(values[key]).rpartition(":")
            replaced[field] = (host, int(port))
    if "limits.body_memory_kib" in values:
        replaced["body_memory"] = int(values["limits.body_memory_kib"]) * 1024
    replaced["settings"] = apply_settings(platform.settings, values)
    return replaced


def _check_descriptors(platform: PlatformConfig, values: Mapping[str, Value]) -> None:
    """Check that client and server connections together fit into the file descriptors. Without free
    descriptors, no connection of either kind can be opened."""
    clients, servers = "limits.client_connections", "limits.server_connections"
    client_count = int(values.get(clients, platform.client_connections))
    server_count = int(values.get(servers, platform.server_connections))
    limit = int(platform.sockets * (1.0 - RESERVED_FRACTION))
    if client_count + server_count > limit and (clients in values or servers in values):
        name = clients if clients in values else servers
        reason = f"with {server_count if name == clients else client_count} on the other side is too many"
        remedy = f"at most {limit} together, of {platform.sockets} descriptors"
        raise OperatorError([Problem(name, values[name], reason, remedy)])
