"""What a client's connection asks of whoever let it in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from covetally.net.budget import BodyBudget
from covetally.net.closing import CloseReason
from covetally.net.drain_stage import DrainStage
from covetally.net.heads import Heads
from covetally.net.extensions import Gate, UpgradeHandler
from covetally.net.sidecar import Sidecar
from covetally.net.turns import Turns
from covetally.net.timer_wheel import TimerWheel

if TYPE_CHECKING:
    from covetally.net.client import Client


class Host(Protocol):
    """Who let the connection in, and decides between it and others."""

    sidecar: Sidecar
    wheel: TimerWheel
    budget: BodyBudget
    heads: Heads
    gate: Gate | None
    upgrades: UpgradeHandler | None
    drain_stage: DrainStage
    turns: Turns
    shed: int
    refusal_ns: int  # after a refusal by order its client may come back no sooner

    @property
    def state(self) -> str:
        """serving, draining or drained."""

    def busy(self, client: Client) -> None:
        """It must not be closed to make room."""

    def idle(self, client: Client) -> None:
        """It has no request under way any more."""

    def lingers(self, client: Client) -> None:
        """It has had its last answer."""

    def ended(self, client: Client, reason: CloseReason | None) -> None:
        """It is closed, for this reason; None if its connection was given to another protocol."""

    def claim(self, trace_id: bytes) -> bool:
        """Whether this is a new request's id."""

    def release(self, trace_id: bytes) -> None:
        """The request of that id is over."""
