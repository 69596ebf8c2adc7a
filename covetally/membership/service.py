"""Connects the sources to the membership view, and passes its updates to the balancer and the connections.

This module decides nothing: `membership_view` decides which nodes exist, `unresponsive` which of them do not
answer, and the balancer which of them get requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from covetally.interface import AttemptStatus, ServerEntry, ServerStatus, Settings
from covetally.membership import persistence
from covetally.membership.membership_view import COMMANDS, MembershipView, differences
from covetally.membership.active_checks import ActiveChecks
from covetally.membership.eureka.client import EurekaSource
from covetally.membership.file import FileSource
from covetally.membership.unresponsive import UnresponsiveNodes
from covetally.membership.model import LEAVING, UP, Address, Member, MemberUpdate, Snapshot
from covetally.membership.platform import PlatformSource
from covetally.membership.settings import MembershipConfig
from covetally.net.clock import Clock
from covetally.net.discovery import Discovery
from covetally.net.server_list import ListUpdate
from covetally.operator import files

log = logging.getLogger(__name__)

INITIAL_WAIT_S = 3.0
SAVE_RETRY_S = 2.0  # between attempts to save the list after a disk error
TICK_S = 0.5  # how often held nodes, the status and unsaved changes are checked
RESPONSIVE_STATUSES = (AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.FULL, AttemptStatus.UNUSABLE_RESPONSE)


class Source(Protocol):
    """A source of nodes. It passes each snapshot to the callback that it was created with."""

    name: str

    def start(self) -> None:
        """Starts reading."""

    def stop(self) -> None:
        """Stops reading."""

    def table(self) -> dict[str, Any]:
        """The state of the source as a table for operators."""

    async def read_other_address(self, excluding: str) -> Snapshot | None:
        """Reads an address other than `excluding`; None if there is none or it does not answer."""


@dataclass(frozen=True, slots=True)
class MembershipDependencies:
    """What the service needs from its sidecar.

    `apply_updates` passes changes to the connections and the balancer, `server_statuses` returns the balancer's
    status of each server, and `report_unresponsive` tells the balancer that a server does not answer.
    """

    clock: Clock
    discovery: Discovery
    apply_updates: Callable[[list[tuple[ServerEntry, Address]]], None]
    server_statuses: Callable[[], list[ServerStatus]]
    report_unresponsive: Callable[[str], None]


class MembershipService:
    """Maintains one sidecar's list of nodes from `start` to `stop`."""

    def __init__(
        self, config: MembershipConfig, settings: Settings, dependencies: MembershipDependencies
    ) -> None:
        self._config, self._settings, self._dependencies = config, settings, dependencies
        self._view = MembershipView(config.view, dependencies.clock.now())
        self._unresponsive = UnresponsiveNodes()
        self._source: Source
        self._compare_source: Source | None = None
        self._differences: dict[str, list[str]] | None = None
        self._checks: ActiveChecks | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._confirmation: asyncio.Task[None] | None = None
        self._save_task: asyncio.Task[None] | None = None
        self._unsaved = False
        self._save_not_before = 0.0  # on the event loop's clock; set after a disk error
        self._save_failed = False
        self._status = ""
        self._logged_unresponsive: set[str] = set()
        self._running = False

    # --- start and stop ---------------------------------------------------------------------------

    def adopt_platform_list(self, listed: list[tuple[str, Address]], up: set[str]) -> None:
        """Takes over the platform's list that is in use: nodes that the new source lacks are then doubted."""
        members = [Member(name, address, UP if name in up else LEAVING) for name, address in listed]
        self._view.restore(self._dependencies.clock.now(), members, "the platform's list")

    def restore(self, known: ListUpdate) -> None:
        """Loads the last known nodes when the process starts.

        They come from the saved file or, where the platform is the source, from the list that it had saved.
        """
        if self._config.save_path is not None:
            try:
                members, revision = persistence.load(self._config.save_path)
            except ValueError as error:
                log.error("roster.keep: %s: %s: starting without it", self._config.save_path, error)
                members, revision = [], ""
            if members:
                log.info("the kept roster has %d nodes of revision %s", len(members), revision)
                self._publish(self._view.restore(self._dependencies.clock.now(), members, revision))
                return
        if self._config.source == PlatformSource.name and known.entries:
            started = {entry.server: entry.started_ns for entry, _ in known.entries}
            snapshots: list[Snapshot] = []
            PlatformSource(self._settings, self._dependencies.discovery, snapshots.append).apply_update(
                known._replace(full=True)
            )
            updates = self._view.restore(
                self._dependencies.clock.now(), snapshots[0].members.values(), "the platform's known"
            )
            self._publish([MemberUpdate(u.member, u.lifecycle, started[u.member.id]) for u in updates])

    @property
    def uses_platform(self) -> bool:
        """Whether the platform's discovery is the active or the compared source."""
        return PlatformSource.name in (self._config.source, self._config.compare)

    def start(self) -> None:
        """Starts reading the sources."""
        self._running = True
        self._open()
        self._tick()

    async def wait_for_nodes(self) -> None:
        """Waits for the first nodes, at most INITIAL_WAIT_S: a source that is down must not block the start."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(INITIAL_WAIT_S):
                while not self._view.nodes:
                    await asyncio.sleep(0.01)

    def stop(self) -> None:
        """Stops reading the sources. The balancer and the connections keep the last list."""
        self._running = False
        self._close()
        for task in (self._timer, self._confirmation):
            if task is not None:
                task.cancel()

    async def flush(self) -> None:
        """Waits until the latest list has been saved."""
        if self._save_task is not None:
            await self._save_task
        if self._unsaved:
            self._unsaved = False
            await self._save()

    def apply_settings(self, config: MembershipConfig, settings: Settings) -> None:
        """Applies changed settings. The list stays as it is until the new source reports something else."""
        self._settings = settings
        if config == self._config:
            return
        log.info("the roster comes from %s", config.source)
        self._close()
        self._config = config
        self._view.config = config.view
        if self._running:
            self._open()

    def _open(self) -> None:
        self._source = self._create_source(self._config.source, self._on_snapshot)
        if self._config.compare != "none":
            self._compare_source = self._create_source(self._config.compare, self._compare)
        for source in (self._source, self._compare_source):
            if source is not None:
                source.start()
        if self._config.check_path:
            self._checks = ActiveChecks(self._config, self._settings, self._addresses, self._on_check)
            self._checks.start()

    def _close(self) -> None:
        for part in (self._source, self._compare_source, self._checks):
            if part is not None:
                part.stop()
        self._compare_source = self._checks = self._differences = None

    def _create_source(self, name: str, on_snapshot: Callable[[Snapshot], None]) -> Source:
        config, dependencies = self._config, self._dependencies
        if name == EurekaSource.name:
            assert config.eureka is not None
            return EurekaSource(config.eureka, dependencies.clock, on_snapshot)
        if name == FileSource.name:
            return FileSource(config.file, on_snapshot)
        return PlatformSource(self._settings, dependencies.discovery, on_snapshot)

    # --- input ------------------------------------------------------------------------------------

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        self._publish(self._view.apply_snapshot(self._dependencies.clock.now(), snapshot))
        self._request_confirmation()

    def _request_confirmation(self) -> None:
        """Reads another address of the source if nodes are held and no such read is running."""
        if self._view.held_nodes() and self._confirmation is None and self._running:
            self._confirmation = asyncio.create_task(self._query_other_address())

    async def _query_other_address(self) -> None:
        try:
            snapshot = await self._source.read_other_address(self._view.endpoint)
            if snapshot is not None:
                self._publish(self._view.confirm_removals(self._dependencies.clock.now(), snapshot))
        finally:
            self._confirmation = None

    def _compare(self, snapshot: Snapshot) -> None:
        differing = differences(self._view.current_updates(), snapshot)
        if differing != self._differences:
            found = {name: lines[:10] for name, lines in differing.items() if lines}
            log.warning("%s differs from %s: %s", snapshot.source, self._config.source, found or "no longer")
        self._differences = differing

    def record_outcome(self, server: str, status: AttemptStatus) -> None:
        """Records the outcome of an attempt, which shows whether its server answers."""
        if status in RESPONSIVE_STATUSES:
            self._unresponsive.record_answer(server)
        elif status is AttemptStatus.TIMEOUT and self._unresponsive.record_timeout(
            self._dependencies.clock.now(), server
        ):
            self._dependencies.report_unresponsive(server)

    def _on_check(self, server: str, answered: bool) -> None:
        if self._unresponsive.record_check(self._dependencies.clock.now(), server, answered):
            self._dependencies.report_unresponsive(server)

    def apply_command(self, command: str) -> str:
        """Applies an operator's command (believe, hold or auto); returns the error, empty if there is none."""
        if command not in COMMANDS:
            return f"unknown command {command:.40}"
        self._publish(self._view.apply_command(self._dependencies.clock.now(), command))
        log.info("roster: %s, ordered by an operator", command)
        return ""

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        now, view = self._dependencies.clock.now(), self._view
        if view.held_nodes():
            unreachable = [
                s.server for s in self._dependencies.server_statuses() if s.connect_failures and not s.steps
            ]
            self._publish([*view.remove_unreachable(now, unreachable), *view.tick(now)])
            self._request_confirmation()
        status = view.status(now)
        if status.name != self._status:
            log.log(
                logging.INFO if status.name in ("fresh", "none") else logging.WARNING,
                "roster %s: %s", status.name, status.reason or f"{len(view.nodes)} nodes",
            )  # fmt: skip
            self._status = status.name
        unresponsive = set(self._unresponsive.unresponsive(now))
        for name in sorted(unresponsive - self._logged_unresponsive):
            log.warning("%s is registered but not answering", name)
        self._logged_unresponsive = unresponsive
        if (
            self._unsaved
            and self._save_task is None
            and asyncio.get_running_loop().time() >= self._save_not_before
        ):
            self._unsaved = False
            self._save_task = asyncio.create_task(self._save())

    # --- output -----------------------------------------------------------------------------------

    def _publish(self, updates: list[MemberUpdate]) -> None:
        if not updates:
            return
        zones, kinds = self._settings.zones, self._settings.kinds
        entries = [
            (
                ServerEntry(
                    u.member.id, _index_of(zones, u.member.zone), _index_of(kinds, u.member.kind), u.member.cell,
                    u.lifecycle, u.member.weight, u.started_ns,
                ),
                u.member.address,
            )
            for u in updates
        ]  # fmt: skip
        self._dependencies.apply_updates(entries)
        self._unresponsive.retain(self._view.nodes)
        self._unsaved = self._config.save_path is not None

    def _addresses(self) -> dict[str, Address]:
        nodes = self._view.nodes.items()
        return {name: node.member.address for name, node in nodes if node.member.state == UP}

    async def _save(self) -> None:
        view, path = self._view, self._config.save_path
        try:
            if path is not None and view.nodes:
                members = [node.member for node in view.nodes.values()]
                data = persistence.encode(members, view.revision)
                await asyncio.to_thread(files.replace, path, data)
        except OSError as error:
            if not self._save_failed:
                log.error("roster.keep: %s: %s: make room on the disk or repair it", path, error)
            self._save_failed = self._unsaved = True
            self._save_not_before = asyncio.get_running_loop().time() + SAVE_RETRY_S
        else:
            self._save_failed = False
        finally:
            self._save_task = None

    def heartbeat_summary(self) -> dict[str, Any]:
        """The summary that is sent with every heartbeat."""
        status = self._view.status(self._dependencies.clock.now())
        return {"level": status.name, "why": status.reason, "nodes": len(self._view.nodes)}

    def table(self) -> dict[str, Any]:
        """The view, the sources and the unresponsive nodes as a table for operators."""
        now = self._dependencies.clock.now()
        table = self._view.table(now)
        table["sources"] = [s.table() for s in (self._source, self._compare_source) if s is not None]
        table["differs"] = self._differences
        table["silent"] = {
            name: round(ns / 1e9, 1) for name, ns in sorted(self._unresponsive.unresponsive(now).items())
        }
        table["checks"] = self._checks.table() if self._checks is not None else None
        return table


def _index_of(names: tuple[str, ...], name: str) -> int:
    return names.index(name) if name in names else len(names)
