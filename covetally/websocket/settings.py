"""The WebSocket settings of the operators' file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from covetally.interface import SECOND, Settings
from covetally.operator.check import OperatorError, Problem
from covetally.operator.schema import Value
from covetally.websocket.liveness import LivenessTimeouts
from covetally.websocket.policy import PolicyConfig

KIB = 1024


@dataclass(frozen=True, slots=True)
class Route:
    """The settings of upgrades of a path and all paths below it. `cls` and `tenant` are indices into the classes
    and tenants of the settings, or -1 if the request must name them."""

    path: str
    cls: int
    tenant: int
    handshake_ns: int
    idle_s: float


@dataclass(frozen=True, slots=True)
class WebSocketConfig:
    """The WebSocket settings of a sidecar, in bytes, frames per second and seconds."""

    policy: PolicyConfig
    per_node: int
    timeouts: LivenessTimeouts
    max_frame: int
    max_message: int
    frames_per_s: float
    buffer: int
    close_s: float
    routes: tuple[Route, ...]  # longest path first; the last one matches every path

    def route(self, target: str) -> Route:
        """Return the route of a request target."""
        path = target.partition("?")[0]
        for route in self.routes:
            if path.startswith(route.path) and path[len(route.path) : len(route.path) + 1] in ("", "/"):
                return route
        return self.routes[-1]


def websocket_config(values: Mapping[str, Value], settings: Settings) -> WebSocketConfig | None:
    """Return the configuration, None if WebSockets are off. Raises OperatorError if a value does not fit the
    platform's settings."""
    if "websocket.sockets" not in values:
        return None

    def number(name: str, default: float) -> float:
        return float(values.get(f"websocket.{name}", default))

    sockets = int(values["websocket.sockets"])
    idle_s, deadline_ns = number("idle_s", 0.0), max(c.deadline_ns for c in settings.classes)
    routes = [Route("", _index_of(values, "websocket.class", settings), -1, deadline_ns, idle_s)]
    for name in {key.split(".", 1)[1].rpartition(".")[0] for key in values if key.startswith("upgrades.")}:
        prefix = f"upgrades.{name}"
        if f"{prefix}.path" not in values:
            raise OperatorError([Problem(f"{prefix}.path", None, "is missing", "set it, or remove the route")])
        routes.append(Route(
            str(values[f"{prefix}.path"]).rstrip("/"),
            _index_of(values, f"{prefix}.class", settings) if f"{prefix}.class" in values else routes[0].cls,
            _index_of(values, f"{prefix}.tenant", settings),
            int(float(values.get(f"{prefix}.handshake_ms", deadline_ns / 1e6)) * SECOND / 1000),
            float(values.get(f"{prefix}.idle_s", idle_s)),
        ))  # fmt: skip
    routes.sort(key=lambda route: -len(route.path))
    return WebSocketConfig(
        PolicyConfig(
            sockets, int(number("per_tenant", sockets)), number("drain_s", 20.0), number("back_s", 10.0),
            number("rebalance_per_s", 0.0),
        ),
        int(number("per_node", 0)),
        LivenessTimeouts(number("ping_s", 20.0), number("pong_s", 10.0), number("slow_s", 10.0), idle_s),
        int(number("max_frame_kib", 1024)) * KIB,
        int(number("max_message_kib", 4096)) * KIB,
        number("frames_per_s", 1000.0),
        int(number("buffer_kib", 64)) * KIB,
        number("close_s", 3.0),
        tuple(routes),
    )  # fmt: skip


def _index_of(values: Mapping[str, Value], key: str, settings: Settings) -> int:
    """Return the index of the class or tenant that a key names, -1 if the key is not set."""
    if key not in values:
        return -1
    members = settings.tenants if key.endswith("tenant") else settings.classes
    names = [member.name for member in members]
    if values[key] not in names:
        kind = "tenant" if key.endswith("tenant") else "class"
        known = f"it has {', '.join(sorted(names))}" if names else "it has none"
        raise OperatorError([Problem(key, values[key], f"this sidecar has no such {kind}", known)])
    return names.index(str(values[key]))
