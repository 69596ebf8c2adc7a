"""Decides when an instance is registered, renewed or reported down. No I/O; times are s on one clock.

    registered as    health                     action
    -------------    ------                     ------
    nothing          healthy                    register as UP
    nothing          unhealthy, unresponsive    nothing: it was never healthy, so it is not offered to clients
    UP               healthy                    renew
    UP               unhealthy                  register as DOWN: it answers, but reports that it is not healthy
    DOWN             unhealthy                  renew
    DOWN             healthy                    register as UP
    UP, DOWN         unresponsive               nothing: the lease of a process that hangs must expire

If the registry answers a renewal with 404, it has lost the instance, and the instance is registered again.
"""

from __future__ import annotations

import enum

REGISTRATION_RETRY_S = 5.0  # between attempts to register, if renewals are further apart


class Health(enum.Enum):
    """The instance's answer to a health check: status 200, another status, or none."""

    HEALTHY = "good"
    UNHEALTHY = "bad"
    UNRESPONSIVE = "silent"


class Action(enum.Enum):
    """The next call to the registry."""

    NOTHING = "nothing"
    UP = "register as UP"
    DOWN = "register as DOWN"
    RENEW = "renew"


class Lease:
    """The registration of one instance, as last confirmed by the registry."""

    def __init__(self, renew_s: float) -> None:
        self._renew_s = renew_s
        self.status = ""  # UP, DOWN, or empty if it is not registered
        self.dirty_ms = 0  # when the instance last changed its own status
        self.health = Health.UNRESPONSIVE

    def next_action(self, health: Health) -> Action:
        """The action that follows from a health check."""
        self.health = health
        if health is Health.UNRESPONSIVE or (health is Health.UNHEALTHY and not self.status):
            return Action.NOTHING
        desired = "UP" if health is Health.HEALTHY else "DOWN"
        return Action.RENEW if self.status == desired else Action[desired]

    def record_response(self, action: Action, status: int) -> None:
        """Records the status with which the registry answered an action."""
        if action is Action.RENEW and status == 404:
            self.status = ""
        elif action in (Action.UP, Action.DOWN) and 200 <= status < 300:
            self.status = action.name

    def dirty_timestamp(self, action: Action, now_ms: int) -> int:
        """The lastDirtyTimestamp to send: it increases with every registration and never decreases."""
        if action is not Action.RENEW:
            self.dirty_ms = max(now_ms, self.dirty_ms + 1)
        return self.dirty_ms

    def pause_s(self) -> float:
        """The time until the next health check."""
        return self._renew_s if self.status else min(self._renew_s, REGISTRATION_RETRY_S)
