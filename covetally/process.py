"""Assembles one sidecar process: start, configuration changes and shutdown.

It is separate from `__main__`, which only reads the command line, so that optional parts and tests can import it.
Optional parts are imported only if the operators' settings enable them.
"""

from __future__ import annotations

import asyncio
import errno
import gc
import logging
import secrets
import signal
import socket
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from covetally.configuration import NO_ROSTER, Configuration
from covetally.interface import ServerListUpdate
from covetally.loop_monitor import LoopMonitor
from covetally.net import startup_signals
from covetally.net.clock import Clock
from covetally.net.config import ConfigError
from covetally.net.discovery import Discovery
from covetally.net.frontend import Frontend
from covetally.net.invariants import Invariant
from covetally.net.listener import create_listener
from covetally.net.memory import MemoryAccount, account_bytes
from covetally.net.peers import Peers
from covetally.net.extensions import Claims
from covetally.net.server_list import ListError, ListUpdate, parse_list
from covetally.net.sidecar import Sidecar
from covetally.net.system_errors import RESOURCE_ERRORS
from covetally.net.upstream import Upstream
from covetally.net.resident_memory import FreeMemory, resident_bytes
from covetally.signals import SignalHandlers

if TYPE_CHECKING:
    from covetally.control.status import ProcessStatus
    from covetally.control.instance import Instance
    from covetally.control.manager import Manager
    from covetally.membership.registration import Registrar
    from covetally.membership.service import MembershipService
    from covetally.membership.settings import MembershipConfig
    from covetally.operator.schema import Values
    from covetally.shared_decisions import SharedDecisions
    from covetally.tier.transport import TierTransport

TIER_MAGIC, TIER_MIN_BYTES = 0x54, 18  # see covetally/tier/wire.py
GOSSIP_MAGIC, GOSSIP_MIN_BYTES = 0x57, 13  # see covetally/gossip/frame.py
# Attempts to listen, by errno; other errors are not retried.
LISTEN_ATTEMPTS = dict.fromkeys(RESOURCE_ERRORS, 50) | {errno.EADDRINUSE: 10}
LISTEN_RETRY_DELAY_S = 0.1
log = logging.getLogger("covetally")


class Member(Protocol):
    """What a worker shares with the other workers at its address."""

    listener: socket.socket
    shared_ids: Claims
    others_continue: bool  # only this worker ends, not the whole sidecar


def create_manager(instance: Instance) -> Manager | None:
    """Create an instance's manager and restore the agent's saved settings; None if its file names no agent."""
    if "control.agent" not in instance.configuration.file_settings:
        return None
    from covetally.control.manager import Manager

    manager = Manager(instance)
    instance.configuration.restore_managed(manager)
    return manager


class Process:
    """One sidecar process, from its configuration to its end. `member` is set in a worker process."""

    def __init__(self, configuration: Configuration, member: Member | None = None) -> None:
        self.configuration = configuration
        self.member = member
        self.manager = create_manager(self) if member is None else None
        self.config = config = configuration.config
        self.stop = asyncio.Event()
        self.serving = False  # it accepts requests
        self.on_ready: Callable[[], None] | None = None
        self.roster: MembershipService | None = None
        self.tier: TierTransport | None = None
        self.shared_decisions: SharedDecisions | None = None
        self.registrar: Registrar | None = None
        self.monitor = LoopMonitor()
        self.clock = clock = Clock()
        settings = config.settings
        self._at_rest = resident_bytes()
        self.memory = MemoryAccount(account_bytes(config.memory, self._at_rest), config.body_memory)
        self.free_memory = FreeMemory(self.memory)
        self.upstream = Upstream(settings, config.load_fields, clock, config.server_connections, self.memory)
        self.peers = Peers(config.peers, config.peers_all)
        self.discovery = Discovery(settings, config.discovery, self.memory)
        self.sidecar = Sidecar(
            settings, config.seed, clock, self.upstream, self.peers.send, self.discovery.subscribe
        )
        self.frontend = Frontend(settings, self.sidecar, config.client_connections, self.memory)

    # --- interface for management (see control/instance.py) -------------------------------------

    @property
    def state(self) -> str:
        """The state of the process: serving, draining or drained."""
        return self.frontend.state

    @property
    def shutting_down(self) -> bool:
        """Whether it has been asked to end."""
        return self.stop.is_set()

    def status_source(self) -> ProcessStatus:
        """Return the source of its heartbeats, snapshots and logs."""
        from covetally.control.status import ProcessStatus

        return ProcessStatus(self)

    def drain(self, within_s: float | None) -> None:
        """Ask clients to leave, and close their connections within this time; None: as soon as possible."""
        self.frontend.start_drain(within_s)

    def resume(self) -> None:
        """Accept clients again."""
        self.frontend.resume()

    def start_drained(self) -> None:
        """Reject clients from the start until `resume`."""
        self.frontend.start_drained()

    def begin_shutdown(self) -> None:
        """Drain and exit."""
        self.stop.set()

    def order_roster(self, what: str) -> str:
        """Pass an order to the roster; return an empty string, or why there is no roster."""
        if self.roster is None:
            return NO_ROSTER
        self.roster.apply_command(what)
        return ""

    def apply_managed(self, managed: Values) -> None:
        """Replace the agent's settings. Raises ConfigError and changes nothing if they cannot be used."""
        self.configuration.manage(managed)
        self._apply_configuration()

    # --- start ----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until `stop` is set, then drain."""
        self.monitor.start()
        signals = SignalHandlers()
        for number in (signal.SIGTERM, signal.SIGINT):
            signals.on(number, partial(self._on_shutdown_signal, number))
        reload_requested = asyncio.Event()  # before the configuration can be reloaded
        signals.on(signal.SIGHUP, reload_requested.set)
        await self._start()
        signals.on(signal.SIGHUP, self.reload)
        if reload_requested.is_set() or startup_signals.sighup_received():
            self.reload()
        if self.manager is not None:
            self.manager.start()
        self.serving = True
        if self.on_ready is not None:
            self.on_ready()
        await self.stop.wait()
        await self._shut_down()

    def _on_shutdown_signal(self, number: signal.Signals) -> None:
        open_ = (self.frontend.connections, self.sidecar.open_requests)
        log.info("%s: %s: %d connections, %d open requests", self.config.name, number.name, *open_)
        self.stop.set()

    async def _start(self) -> None:
        config = self.config
        logging.getLogger().setLevel(config.log_level.upper())
        self.sidecar.tracing = log.isEnabledFor(logging.DEBUG)
        known = ListUpdate(0, True, [])
        if config.known is not None:
            try:
                known = parse_list(config.settings, config.known)
            except ListError as error:
                log.warning("known: cannot read the server list: %s", error)
        self.discovery.on_update = self._on_list_update
        self.discovery.on_failure = lambda: self.sidecar.update_servers(ServerListUpdate("FAILED"))
        self.peers.on_message = self._on_datagram
        if config.peer_listen is not None:
            await _bind("peer_listen", lambda: self.peers.listen(config.peer_listen))
        self._update_tier()
        self._update_shared_decisions()
        plan = self.configuration.membership
        if plan is None:
            self._apply_update(known, "SAVED")
        else:
            self.roster = self._create_membership(plan)
            self.roster.restore(known)
            self.roster.start()
            await self.roster.wait_for_nodes()
        if self.manager is not None:
            self.manager.restore_orders()
        if self.member is not None:
            self.address = self.frontend.start_accepting(self.member.listener, self.member.shared_ids)
        else:
            self.address = self.frontend.start_accepting(await self._open_listener())
        self.monitor.on_tick = self._check
        if self.roster is None:
            self.discovery.start()
        if "register.app" in self.values:
            from covetally.membership.registration import Registrar

            self.registrar = Registrar(self.values, config, self.address)
            self.registrar.start()
        self._at_rest = resident_bytes()
        self._resize_memory()
        gc.freeze()  # objects created at start live as long as the process: keep the collector from scanning them
        log.info("%s ready at %s:%d", config.name, *self.address)

    def _check(self) -> None:
        """Called several times a second."""
        self.frontend.check_listener()
        self.free_memory.check()
        self._check_watch()

    def _check_watch(self) -> None:
        """Report and end a stall of the watch of the server list."""
        stall = self.discovery.check()
        if not self.discovery.watching and self._uses_discovery:
            stall = "it was not started"
            self.discovery.start()
        if stall:
            self.sidecar.violations.report(Invariant.WATCH_STALLED, "-", stall)

    def _resize_memory(self) -> None:
        """Let peers take what the limit leaves beside the memory at rest."""
        config = self.config
        self.memory.resize(account_bytes(config.memory, self._at_rest), config.body_memory)

    async def _open_listener(self) -> socket.socket:
        """Return the listening socket. Raises ConfigError if it cannot be opened.

        It retries while the system lacks resources. It also retries, for a shorter time, while the address is in
        use: connections of the previous process may still occupy it if the system does not allow sharing it.
        """
        config = self.config
        attempts = 0
        while True:
            try:
                return create_listener(config.listen, config.backlog)
            except OSError as error:
                attempts += 1
                if attempts >= LISTEN_ATTEMPTS.get(error.errno or 0, 1):
                    raise ConfigError(f"listen: {error}") from None
                level = logging.WARNING if error.errno in RESOURCE_ERRORS else logging.DEBUG
                log.log(level, "cannot listen yet: %s", error)
            await asyncio.sleep(LISTEN_RETRY_DELAY_S)

    def _apply_update(self, update: ListUpdate, scope: str) -> None:
        # Upstream first: the balancer may send a request to a server as soon as it is notified of it.
        self.upstream.update(update.entries, update.full)
        self.sidecar.update_servers(ServerListUpdate(scope, tuple(entry for entry, _ in update.entries)))
        if self.tier is not None:
            self.tier.update_servers(self.sidecar.zones())

    # --- peers ----------------------------------------------------------------------------------

    def _on_datagram(self, sender: int, data: bytes) -> None:
        """Dispatch a datagram: the balancer's messages have 8 bytes, the others more and a magic number."""
        if self.tier is not None and len(data) > TIER_MIN_BYTES and data[0] == TIER_MAGIC:
            self.tier.receive(sender, data)
        elif self.shared_decisions is not None and len(data) >= GOSSIP_MIN_BYTES and data[0] == GOSSIP_MAGIC:
            self.shared_decisions.receive(sender, data)
        else:
            self.sidecar.receive_gossip(data)

    def _update_tier(self) -> None:
        """Join, leave or reconfigure the tier according to the configuration."""
        plan = self.configuration.tier
        if plan is None:
            if self.tier is not None:
                self.tier.stop()
                self.tier = self.sidecar.on_attempt = None
        elif self.tier is not None:
            self.tier.reconfigure(plan.size, plan.limits)
        else:
            from covetally.tier.transport import TierTransport, TransportCallbacks

            callbacks = TransportCallbacks(
                self.clock.now, self.peers.send, self.sidecar.handle_event, self.sidecar.demand
            )
            boot_id, seed = secrets.randbits(32), self.config.seed
            self.tier = TierTransport(plan.index, plan.size, boot_id, seed, plan.member, plan.limits, callbacks)
            self.sidecar.on_attempt = self.tier.record_attempt
            self.tier.update_servers(self.sidecar.zones())
            self.tier.start()

    def _update_shared_decisions(self) -> None:
        """Start or reconfigure the decisions that the sidecars share by gossip."""
        if self.shared_decisions is None:
            if self.configuration.overload is None and self.configuration.caps is None:
                return
            from covetally.shared_decisions import SharedDecisions

            self.shared_decisions = SharedDecisions(self.clock, self.peers.send, self.sidecar, self.frontend)
        self.shared_decisions.apply_configuration(self.configuration)

    async def overload_table(self) -> dict[str, Any]:
        """Return the state of the fleet's overload threshold here, for operators."""
        return (
            self.shared_decisions.overload_table()
            if self.shared_decisions is not None
            else {"off": "overload.mode is off here"}
        )

    async def caps_table(self) -> dict[str, Any]:
        """Return the state of the tenants' connection caps here, for operators."""
        return (
            self.shared_decisions.caps_table() if self.shared_decisions is not None else {"off": "no caps here"}
        )

    async def tier_table(self) -> dict[str, Any]:
        """Return this sidecar's view of its tier, for operators."""
        return self.tier.table() if self.tier is not None else {"off": "the tier is off here"}

    # --- server list ----------------------------------------------------------------------------

    def _create_membership(self, plan: MembershipConfig) -> MembershipService:
        from covetally.membership.service import MembershipDependencies, MembershipService

        dependencies = MembershipDependencies(
            self.clock, self.discovery,
            lambda entries: self._apply_update(ListUpdate(0, False, entries), "INCREMENTAL"),
            self.sidecar.server_statuses, self.sidecar.report_unresponsive,
        )  # fmt: skip
        roster = MembershipService(plan, self.config.settings, dependencies)
        self.sidecar.on_outcome = roster.record_outcome
        return roster

    def _update_list_source(self) -> None:
        """Switch to the configured source of the server list. The current list stays until its first update."""
        plan = self.configuration.membership
        if plan is not None and self.roster is not None:
            self.roster.apply_settings(plan, self.config.settings)
        elif plan is not None:
            self.discovery.stop()
            self.roster = self._create_membership(plan)
            self.roster.adopt_platform_list(
                self.upstream.addresses(),
                {status.server for status in self.sidecar.server_statuses() if status.up},
            )
            self.roster.start()
            if self.manager is not None:
                self.roster.apply_command(self.manager.orders.roster.value)
        elif self.roster is not None:
            self.roster.stop()
            self.roster = self.sidecar.on_outcome = None
            self.discovery.on_update = self._on_list_update
            self.discovery.restart()

    async def roster_table(self) -> dict[str, Any]:
        """Return the view of the server list and the reasons for it, for operators."""
        if self.roster is not None:
            return self.roster.table()
        up = {status.server for status in self.sidecar.server_statuses() if status.up}
        nodes = [
            {"node": name, "address": "{}:{}".format(*address), "state": "up" if name in up else "leaving"}
            for name, address in sorted(self.upstream.addresses())
        ]
        return {"level": "direct", "why": "the platform's list, applied directly", "nodes": nodes}

    def _on_list_update(self, update: ListUpdate) -> None:
        self._apply_update(update, "FULL" if update.full else "INCREMENTAL")

    @property
    def _uses_discovery(self) -> bool:
        return self.roster is None or self.roster.uses_platform

    async def _shut_down(self) -> None:
        log.info("%s drains", self.config.name)
        others_continue = self.member is not None and self.member.others_continue  # at the same address
        if self.registrar is not None:
            await self.registrar.stop(cancel=not others_continue)
        if self.manager is not None:
            self.manager.announce_shutdown()
        await self.frontend.shut_down(self.configuration.shutdown.closed_s, accept=not others_continue)
        self.monitor.stop()
        self.discovery.stop()
        if self.tier is not None:
            self.tier.stop()
        if self.shared_decisions is not None:
            self.shared_decisions.stop()
        if self.roster is not None:
            self.roster.stop()
            await self.roster.flush()
        if self.manager is not None:
            await self.manager.stop()
        closed = ", ".join(f"{reason.value} {count}" for reason, count in self.frontend.closed.items())
        log.info("%s: memory for peers: %s", self.config.name, self.memory.describe())
        violations = self.sidecar.violations.total
        log.info("%s ends: connections closed: %s; %d violations", self.config.name, closed or "none", violations)

    # --- configuration changes ------------------------------------------------------------------

    def reload(self) -> None:
        """Read the configuration files again. An invalid configuration changes nothing."""
        if self.configuration.reload():
            self._apply_configuration()
            log.info("%s has reloaded its configuration", self.config.name)

    def update_share(self) -> None:
        """Apply a change of this worker's share of the whole sidecar."""
        self.configuration.update_scope()
        self._apply_configuration()

    @property
    def values(self) -> Values:
        """The operators' settings in force."""
        return self.configuration.values

    def _apply_configuration(self) -> None:
        self.config = config = self.configuration.config
        self.discovery.set_address(config.discovery)
        self.peers.set_peers(config.peers, config.peers_all)
        self._update_tier()
        self._update_shared_decisions()
        self.sidecar.reconfigure(config.settings)
        self.sidecar.tracing = log.isEnabledFor(logging.DEBUG)
        self.upstream.reconfigure(config.settings, config.server_connections)
        self.frontend.retune(config.settings, config.client_connections)
        self._resize_memory()
        self._update_list_source()


async def _bind(key: str, listen: Callable) -> None:
    """Open a socket. Raises ConfigError with the configuration key if that fails."""
    try:
        await listen()
    except OSError as error:
        raise ConfigError(f"{key}: {error}") from None
