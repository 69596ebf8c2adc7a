"""What management needs of the sidecar that it manages, be it one process or a supervisor with its workers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from covetally.configuration import Configuration


class StatusSource(Protocol):
    """What an instance can tell of itself, between `start` and `stop`."""

    started: float  # s since the epoch

    def start(self) -> None:
        """Begin to count."""

    def stop(self) -> None:
        """Count no more."""

    def heartbeat(self) -> dict[str, Any]:
        """What goes with every heartbeat."""

    async def snapshot(self) -> dict[str, Any]:
        """All there is to tell."""

    async def logs(self) -> list[dict[str, Any]]:
        """The last log lines, oldest first."""


class Instance(Protocol):
    """A sidecar under management."""

    configuration: Configuration

    @property
    def state(self) -> str:
        """serving, draining or drained."""

    @property
    def shutting_down(self) -> bool:
        """Whether it has been told to end."""

    def status_source(self) -> StatusSource:
        """What tells of it, new and not started."""

    def apply_managed(self, values: dict[str, Any]) -> None:
        """Take up these settings; ConfigError, and nothing changed, if they cannot be used."""

    def drain(self, within_s: float | None) -> None:
        """Tell clients to stay away, and hold none of them after so many seconds; None: as soon as can be."""

    def resume(self) -> None:
        """Let clients come back."""

    def start_drained(self) -> None:
        """Refuse clients from the start of the process on, until `resume`."""

    def begin_shutdown(self) -> None:
        """Drain and end."""

    def order_roster(self, what: str) -> str:
        """An order to the roster: believe, hold or auto. Empty, or why not."""

    async def roster_table(self) -> dict[str, Any]:
        """What is believed of the list of nodes, and why."""

    async def overload_table(self) -> dict[str, Any]:
        """Where the fleet's overload line stands here."""

    async def caps_table(self) -> dict[str, Any]:
        """Workshops' connection caps as they stand here."""

    async def tier_table(self) -> dict[str, Any]:
        """What it knows of the other sidecars, and with them."""
