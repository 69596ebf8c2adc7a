"""The interface between management and a sidecar: one process, or a supervisor with its workers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from covetally.configuration import Configuration


class StatusSource(Protocol):
    """The status of an instance, collected between `start` and `stop`."""

    started: float  # Unix time in seconds

    def start(self) -> None:
        """Start collecting."""

    def stop(self) -> None:
        """Stop collecting."""

    def heartbeat(self) -> dict[str, Any]:
        """Return the content of a heartbeat."""

    async def snapshot(self) -> dict[str, Any]:
        """Return the full status."""

    async def logs(self) -> list[dict[str, Any]]:
        """Return the last log lines, oldest first."""


class Instance(Protocol):
    """A sidecar under management."""

    configuration: Configuration

    @property
    def state(self) -> str:
        """`serving`, `draining` or `drained`."""

    @property
    def shutting_down(self) -> bool:
        """Whether its shutdown has begun."""

    def status_source(self) -> StatusSource:
        """Return a new status source that is not started."""

    def apply_managed(self, values: dict[str, Any]) -> None:
        """Apply the settings of an agent. Raises ConfigError and changes nothing if they cannot be used."""

    def drain(self, within_s: float | None) -> None:
        """Ask clients to leave, and close their connections within `within_s` seconds, but not in less than the
        longest deadline plus a margin; None: as soon as possible."""

    def resume(self) -> None:
        """Accept clients again."""

    def start_drained(self) -> None:
        """Refuse clients from the start of the process until `resume`."""

    def begin_shutdown(self) -> None:
        """Start to drain; the process exits afterwards."""

    def order_roster(self, order: str) -> str:
        """Give the roster an order: `believe`, `hold` or `auto`. Return why it was refused, else an empty
        string."""

    async def roster_table(self) -> dict[str, Any]:
        """Return the accepted list of nodes and the reasons behind it."""

    async def overload_table(self) -> dict[str, Any]:
        """Return the state of the fleet-wide admission threshold on this sidecar."""

    async def caps_table(self) -> dict[str, Any]:
        """Return the state of the tenants' connection caps on this sidecar."""

    async def tier_table(self) -> dict[str, Any]:
        """Return what is known about the other sidecars of the tier."""
