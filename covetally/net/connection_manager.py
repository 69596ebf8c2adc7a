"""What a client's connection asks of whoever let it in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from covetally.net.budget import BodyBudget
from covetally.net.close_reason import CloseReason
from covetally.net.drain_stage import DrainStage
from covetally.net.request_validation import RequestValidator
from covetally.net.seams import Gate, Upgrades
from covetally.net.sidecar import Sidecar
from covetally.net.read_scheduler import ReadScheduler
from covetally.net.wheel import Wheel

if TYPE_CHECKING:
    from covetally.net.client_connection import ClientConnection


class ConnectionManager(Protocol):
    """Who let the connection in, and decides between it and others."""

    sidecar: Sidecar
    wheel: Wheel
    budget: BodyBudget
    request_validator: RequestValidator
    gate: Gate | None
    upgrades: Upgrades | None
    drain_stage: DrainStage
    read_scheduler: ReadScheduler
    shed_requests: int
    refusal_ns: int  # after a refusal by order its client may come back no sooner

    @property
    def state(self) -> str:
        """serving, draining or drained."""

    def on_busy(self, client: ClientConnection) -> None:
        """It must not be closed to make room."""

    def on_idle(self, client: ClientConnection) -> None:
        """It has no request under way any more."""

    def on_lingering(self, client: ClientConnection) -> None:
        """It has had its last answer."""

    def on_closed(self, client: ClientConnection, reason: CloseReason | None) -> None:
        """It is closed, for this reason; None if its connection was given to another protocol."""

    def claim(self, trace_id: bytes) -> bool:
        """Whether this is a new request's id."""

    def release(self, trace_id: bytes) -> None:
        """The request of that id is over."""
