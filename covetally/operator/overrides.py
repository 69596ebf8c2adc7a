"""What checked settings change in a sidecar's configuration."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from covetally.interface import Settings
from covetally.operator.check import OperatorError, Problem, apply_settings, missing_requirements
from covetally.operator.schema import Value

_PLAIN = {
    "limits.client_connections": "client_connections",
    "limits.server_connections": "server_connections",
    "log.level": "log_level",
    "process.backlog": "backlog",
}
_ADDRESSES = {"discovery.address": "discovery", "process.listen": "listen"}


RESERVED_FRACTION = 0.05  # of the descriptors: the listener, discovery, the agent, files


class PlatformConfig(Protocol):
    """What of the platform's configuration the operators' settings are held against."""

    settings: Settings
    sockets: int
    client_connections: int
    server_connections: int


def config_overrides(platform: PlatformConfig, values: Mapping[str, Value]) -> dict[str, Any]:
    """The configuration's fields that the values replace, by name; OperatorError where they do not fit the
    platform's."""
    if problems := missing_requirements(values):
        raise OperatorError(problems)
    _check_descriptors(platform, values)
    changed: dict[str, Any] = {field: values[key] for key, field in _PLAIN.items() if key in values}
    for key, field in _ADDRESSES.items():
        if key in values:
            host, _, port = str(values[key]).rpartition(":")
            changed[field] = (host, int(port))
    if "limits.body_memory_kib" in values:
        changed["body_memory"] = int(values["limits.body_memory_kib"]) * 1024
    changed["settings"] = apply_settings(platform.settings, values)
    return changed


def _check_descriptors(platform: PlatformConfig, values: Mapping[str, Value]) -> None:
    """Connections of both kinds have to fit into the descriptors: past them neither side could be served."""
    clients, servers = "limits.client_connections", "limits.server_connections"
    wanted = int(values.get(clients, platform.client_connections))
    others = int(values.get(servers, platform.server_connections))
    most = int(platform.sockets * (1.0 - RESERVED_FRACTION))
    if wanted + others > most and (clients in values or servers in values):
        name = clients if clients in values else servers
        reason = f"with {others if name == clients else wanted} on the other side is more than fits"
        remedy = f"at most {most} together, of {platform.sockets} descriptors"
        raise OperatorError([Problem(name, values[name], reason, remedy)])
