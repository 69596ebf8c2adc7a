"""What the operators' file says of WebSockets, and what it takes."""

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
    """What holds for upgrades of a path and all below it. `cls` and `tenant` are places in the settings, -1 where
    the request has to tell."""

    path: str
    cls: int
    tenant: int
    handshake_ns: int
    idle_s: float


@dataclass(frozen=True, slots=True)
class Plan:
    """All of it. Bytes, frames a second, seconds."""

    bounds: PolicyConfig
    per_node: int
    patience: LivenessTimeouts
    max_frame: int
    max_message: int
    frames_per_s: float
    buffer: int
    close_s: float
    routes: tuple[Route, ...]  # the longest path first; the last one fits any

    def route(self, target: str) -> Route:
        """The route of a request's path."""
        path = target.partition("?")[0]
        for route in self.routes:
            if path.startswith(route.path) and path[len(route.path) : len(route.path) + 1] in ("", "/"):
                return route
        return self.routes[-1]


def plan(values: Mapping[str, Value], settings: Settings) -> Plan | None:
    """The plan, None where no sockets are wanted; OperatorError where it does not fit the platform's settings."""
    if "websocket.sockets" not in values:
        return None

    def number(name: str, default: float) -> float:
        return float(values.get(f"websocket.{name}", default))

    sockets = int(values["websocket.sockets"])
    idle_s, deadline_ns = number("idle_s", 0.0), max(c.deadline_ns for c in settings.classes)
    routes = [Route("", _place(values, "websocket.class", settings), -1, deadline_ns, idle_s)]
    for name in {key.split(".", 1)[1].rpartition(".")[0] for key in values if key.startswith("upgrades.")}:
        head = f"upgrades.{name}"
        if f"{head}.path" not in values:
            raise OperatorError([Problem(f"{head}.path", None, "is missing", "set it, or leave the route out")])
        routes.append(Route(
            str(values[f"{head}.path"]).rstrip("/"),
            _place(values, f"{head}.class", settings) if f"{head}.class" in values else routes[0].cls,
            _place(values, f"{head}.tenant", settings),
            int(float(values.get(f"{head}.handshake_ms", deadline_ns / 1e6)) * SECOND / 1000),
            float(values.get(f"{head}.idle_s", idle_s)),
        ))  # fmt: skip
    routes.sort(key=lambda route: -len(route.path))
    return Plan(
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


def _place(values: Mapping[str, Value], key: str, settings: Settings) -> int:
    """The place of the class or tenant that a key names; -1 where it names none."""
    if key not in values:
        return -1
    many = settings.tenants if key.endswith("tenant") else settings.classes
    names = [one.name for one in many]
    if values[key] not in names:
        what = "tenant" if key.endswith("tenant") else "class"
        known = f"it has {', '.join(sorted(names))}" if names else "it has none"
        raise OperatorError([Problem(key, values[key], f"this sidecar has no such {what}", known)])
    return names.index(str(values[key]))
