"""The interface through which a client connection reaches the component that accepted it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from covetally.net.close_reason import CloseReason
from covetally.net.drain_stage import DrainStage
from covetally.net.memory import MemoryAccount
from covetally.net.request_validation import RequestValidator
from covetally.net.extensions import ConnectionLimiter, UpgradeHandler
from covetally.net.sidecar import Sidecar
from covetally.net.read_scheduler import ReadScheduler
from covetally.net.timer_wheel import TimerWheel

if TYPE_CHECKING:
    from covetally.net.client_connection import ClientConnection


class ConnectionManager(Protocol):
    """Accepts client connections, and decides which of them is closed when there are too many."""

    sidecar: Sidecar
    wheel: TimerWheel
    memory: MemoryAccount
    request_validator: RequestValidator
    gate: ConnectionLimiter | None
    upgrades: UpgradeHandler | None
    drain_stage: DrainStage
    read_scheduler: ReadScheduler
    shed_requests: int
    refusal_ns: int  # the retry-after time of requests refused during a drain; 0: none is sent

    @property
    def state(self) -> str:
        """The drain stage as shown to operators: serving, draining or drained."""

    def on_busy(self, client: ClientConnection) -> None:
        """A request was received: the connection must not be evicted."""

    def on_partial_request(self, client: ClientConnection) -> None:
        """A part of a request was received, and the rest is awaited."""

    def on_idle(self, client: ClientConnection) -> None:
        """The connection has no request in progress any more."""

    def on_lingering(self, client: ClientConnection) -> None:
        """The last response on the connection was written."""

    def on_closed(self, client: ClientConnection, reason: CloseReason | None) -> None:
        """The connection was closed, or handed over to another protocol (`reason` is None)."""

    def claim(self, trace_id: bytes) -> bool:
        """Register a request id as open; returns False if it is already in use."""

    def release(self, trace_id: bytes) -> None:
        """The request with this id has finished."""
