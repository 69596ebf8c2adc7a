"""One sidecar process put together: its parts, a new configuration under way, its end.

A module beside `__main__`, which only reads the command line, so that the optional parts and the tests can name
it. The optional parts are imported where the operators' file asks for them, and nowhere else.
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
from covetally.net.frontend import Frontend, create_listener
from covetally.net.peers import Peers
from covetally.net.extensions import Claims
from covetally.net.server_list import ListError, ListUpdate, parse_list
from covetally.net.sidecar import Sidecar
from covetally.net.system_errors import RESOURCE_ERRORS
from covetally.net.upstream import Upstream
from covetally.signals import SignalHandlers

if TYPE_CHECKING:
    from covetally.control.gauges import Gauges
    from covetally.control.instance import Instance
    from covetally.control.manager import Manager
    from covetally.membership.register import Registrar
    from covetally.membership.roster import Roster
    from covetally.membership.settings import Plan
    from covetally.operator.schema import Values
    from covetally.shared_decisions import SharedDecisions
    from covetally.tier.shell import Shell

TIER_MARK, TIER_LEAST = 0x54, 18  # see covetally/tier/wire.py
WORD_MARK, WORD_LEAST = 0x57, 13  # see covetally/gossip/frame.py
LISTEN_TRIES = dict.fromkeys(RESOURCE_ERRORS, 50) | {
    errno.EADDRINUSE: 10
}  # by what failed; other errors are final
LISTEN_PAUSE_S = 0.1
log = logging.getLogger("covetally")


class Member(Protocol):
    """What a worker has in common with others at its address."""

    listener: socket.socket
    claims: Claims
    alone: bool  # it ends, and the others go on


def manager_of(instance: Instance) -> Manager | None:
    """What manages an instance, if its own file names an agent; what that had set is in force from here on."""
    if "control.agent" not in instance.configuration.own:
        return None
    from covetally.control.manager import Manager

    manager = Manager(instance)
    instance.configuration.recall(manager)
    return manager


class Process:
    """A sidecar from its configuration to its end. `member` is there in a worker: its share of the whole."""

    def __init__(self, configuration: Configuration, member: Member | None = None) -> None:
        self.configuration = configuration
        self.member = member
        self.manager = manager_of(self) if member is None else None
        self.config = config = configuration.config
        self.stop = asyncio.Event()
        self.serving = False  # it takes requests
        self.on_ready: Callable[[], None] | None = None
        self.roster: Roster | None = None
        self.tier: Shell | None = None
        self.shared_decisions: SharedDecisions | None = None
        self.registrar: Registrar | None = None
        self.monitor = LoopMonitor()
        self.clock = clock = Clock()
        settings = config.settings
        self.upstream = Upstream(settings, config.load_fields, clock, config.server_connections)
        self.peers = Peers(config.peers, config.peers_all)
        self.discovery = Discovery(settings, config.discovery)
        self.sidecar = Sidecar(settings, config.seed, clock, self.upstream, self.peers.send, self._subscribe)
        self.frontend = Frontend(settings, self.sidecar, config.client_connections, config.body_memory)

    # --- what management asks for (see control/instance.py) -------------------------------------

    @property
    def state(self) -> str:
        """serving, draining or drained."""
        return self.frontend.state

    @property
    def ending(self) -> bool:
        """Whether it has been told to end."""
        return self.stop.is_set()

    def gauges(self) -> Gauges:
        """What tells of it."""
        from covetally.control.gauges import Gauges

        return Gauges(self)

    def drain(self, within_s: float | None) -> None:
        """Tell clients to stay away, and hold none of them after so many seconds."""
        self.frontend.start_drain(within_s)

    def resume(self) -> None:
        """Let clients come back."""
        self.frontend.resume()

    def start_drained(self) -> None:
        """Refuse clients from the start on, until `resume`."""
        self.frontend.start_drained()

    def end(self) -> None:
        """Drain and end."""
        self.stop.set()

    def order(self, what: str) -> str:
        """An order to the roster; empty, or why not."""
        if self.roster is None:
            return NO_ROSTER
        self.roster.order(what)
        return ""

    def manage(self, managed: Values) -> None:
        """Take up what the agent has set, in place of what it had; ConfigError, and nothing changed, if this
        sidecar cannot use it."""
        self.configuration.manage(managed)
        self._adopt()

    # --- the life of it -------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until `stop` is set, then drain."""
        self.monitor.start()
        signals = SignalHandlers()
        for number in (signal.SIGTERM, signal.SIGINT):
            signals.on(number, partial(self._told_to_end, number))
        asked = asyncio.Event()  # a reload asked for before there is anything to reload
        signals.on(signal.SIGHUP, asked.set)
        await self._start()
        signals.on(signal.SIGHUP, self.reload)
        if asked.is_set() or startup_signals.sighup_received():
            self.reload()
        if self.manager is not None:
            self.manager.start()
        self.serving = True
        if self.on_ready is not None:
            self.on_ready()
        await self.stop.wait()
        await self._end()

    def _told_to_end(self, number: signal.Signals) -> None:
        open_ = (self.frontend.connections, self.sidecar.open_requests)
        log.info("%s: %s: %d connections, %d requests under way", self.config.name, number.name, *open_)
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
                log.warning("known: no usable list: %s", error)
        self.discovery.on_update = self._listed
        self.discovery.on_failure = lambda: self.sidecar.update_servers(ServerListUpdate("FAILED"))
        self.peers.on_message = self._datagram
        if config.peer_listen is not None:
            await _bind("peer_listen", lambda: self.peers.listen(config.peer_listen))
        self._retier()
        self._respeak()
        plan = self.configuration.plan
        if plan is None:
            self._apply_update(known, "SAVED")
        else:
            self.roster = self._made(plan)
            self.roster.recall(known)
            self.roster.start()
            await self.roster.first()
        if self.manager is not None:
            self.manager.restore_orders()
        if self.member is not None:
            self.address = self.frontend.start_accepting(self.member.listener, self.member.claims)
        else:
            self.address = self.frontend.start_accepting(await self._listener())
        if self.roster is None:
            self.discovery.start()
        if "register.app" in self.values:
            from covetally.membership.register import Registrar

            self.registrar = Registrar(self.values, config, self.address)
            self.registrar.start()
        gc.freeze()  # what start-up made lives as long as the process: no need to look at it again
        log.info("%s ready at %s:%d", config.name, *self.address)

    async def _listener(self) -> socket.socket:
        """Where clients connect; ConfigError where that cannot be had. What the system lacks for a moment is
        waited for, and for less time an address that is in use: by connections of the process before, where the
        system would not let this one share it."""
        config = self.config
        tries = 0
        while True:
            try:
                return create_listener(config.listen, config.backlog)
            except OSError as error:
                tries += 1
                if tries >= LISTEN_TRIES.get(error.errno or 0, 1):
                    raise ConfigError(f"listen: {error}") from None
                level = logging.WARNING if error.errno in RESOURCE_ERRORS else logging.DEBUG
                log.log(level, "cannot listen yet: %s", error)
            await asyncio.sleep(LISTEN_PAUSE_S)

    def _apply_update(self, news: ListUpdate, scope: str) -> None:
        # Upstream first: the module may submit to a server in the same breath as it hears of it.
        self.upstream.update(news.entries, news.full)
        self.sidecar.update_servers(ServerListUpdate(scope, tuple(entry for entry, _ in news.entries)))
        if self.tier is not None:
            self.tier.listed(self.sidecar.zones())

    # --- the tier -------------------------------------------------------------------------------

    def _datagram(self, sender: int, data: bytes) -> None:
        """The module's rumours have 8 bytes; the tier's messages begin with their mark and have more."""
        if self.tier is not None and len(data) > TIER_LEAST and data[0] == TIER_MARK:
            self.tier.heard(sender, data)
        elif self.shared_decisions is not None and len(data) >= WORD_LEAST and data[0] == WORD_MARK:
            self.shared_decisions.receive(sender, data)
        else:
            self.sidecar.receive_gossip(data)

    def _retier(self) -> None:
        """Take part in the tier as is wanted now."""
        plan = self.configuration.tier
        if plan is None:
            if self.tier is not None:
                self.tier.stop()
                self.tier = self.sidecar.on_attempt = None
        elif self.tier is not None:
            self.tier.change(plan.size, plan.held)
        else:
            from covetally.tier.shell import Parts, Shell

            parts = Parts(self.clock.now, self.peers.send, self.sidecar.handle_event, self.sidecar.demand)
            life, seed = secrets.randbits(32), self.config.seed
            self.tier = Shell(plan.me, plan.size, life, seed, plan.site, plan.held, parts)
            self.sidecar.on_attempt = self.tier.outcome
            self.tier.listed(self.sidecar.zones())
            self.tier.start()

    def _respeak(self) -> None:
        """Take part in what sidecars decide by words, as is wanted now."""
        if self.shared_decisions is None:
            if self.configuration.overload is None and self.configuration.caps is None:
                return
            from covetally.shared_decisions import SharedDecisions

            self.shared_decisions = SharedDecisions(self.clock, self.peers.send, self.sidecar, self.frontend)
        self.shared_decisions.apply_configuration(self.configuration)

    async def overload_table(self) -> dict[str, Any]:
        """Where the fleet's overload line stands here, for operators."""
        return (
            self.shared_decisions.overload_table()
            if self.shared_decisions is not None
            else {"off": "overload.mode is off here"}
        )

    async def caps_table(self) -> dict[str, Any]:
        """Workshops' connection caps as they stand here, for operators."""
        return (
            self.shared_decisions.caps_table() if self.shared_decisions is not None else {"off": "no caps here"}
        )

    async def tier_table(self) -> dict[str, Any]:
        """What this sidecar knows of its tier, for operators."""
        return self.tier.table() if self.tier is not None else {"off": "the tier is off here"}

    # --- where the list of nodes comes from -----------------------------------------------------

    def _made(self, plan: Plan) -> Roster:
        from covetally.membership.roster import Parts, Roster

        parts = Parts(
            self.clock, self.discovery,
            lambda entries: self._apply_update(ListUpdate(0, False, entries), "INCREMENTAL"),
            self.sidecar.server_statuses, self.sidecar.report_unresponsive,
        )  # fmt: skip
        roster = Roster(plan, self.config.settings, parts)
        self.sidecar.on_outcome = roster.outcome
        return roster

    def _rewire(self) -> None:
        """Serve from the source that is wanted now. The list in force stays until the new one says otherwise."""
        plan = self.configuration.plan
        if plan is not None and self.roster is not None:
            self.roster.retune(plan, self.config.settings)
        elif plan is not None:
            self.discovery.stop()
            self.roster = self._made(plan)
            self.roster.begin(
                self.upstream.addresses(), {b.server for b in self.sidecar.server_statuses() if b.up}
            )
            self.roster.start()
            if self.manager is not None:
                self.roster.order(self.manager.orders.roster.value)
        elif self.roster is not None:
            self.roster.stop()
            self.roster = self.sidecar.on_outcome = None
            self.discovery.on_update = self._listed
            self.discovery.restart()

    async def roster_table(self) -> dict[str, Any]:
        """What is believed of the list of nodes and why, for operators."""
        if self.roster is not None:
            return self.roster.table()
        up = {b.server for b in self.sidecar.server_statuses() if b.up}
        nodes = [
            {"node": name, "address": "{}:{}".format(*address), "state": "up" if name in up else "leaving"}
            for name, address in sorted(self.upstream.addresses())
        ]
        return {"level": "direct", "why": "the platform's list, believed at once", "nodes": nodes}

    def _listed(self, news: ListUpdate) -> None:
        self._apply_update(news, "FULL" if news.full else "INCREMENTAL")

    def _subscribe(self) -> None:
        if self.roster is None or self.roster.asks_platform:
            self.discovery.subscribe()

    async def _end(self) -> None:
        log.info("%s drains", self.config.name)
        alone = self.member is not None and self.member.alone  # others go on at the same address
        if self.registrar is not None:
            await self.registrar.stop(cancel=not alone)
        if self.manager is not None:
            self.manager.goodbye()
        await self.frontend.shut_down(self.configuration.shutdown.closed_s, accept=not alone)
        self.monitor.stop()
        self.discovery.stop()
        if self.tier is not None:
            self.tier.stop()
        if self.shared_decisions is not None:
            self.shared_decisions.stop()
        if self.roster is not None:
            self.roster.stop()
            await self.roster.saved()
        if self.manager is not None:
            await self.manager.stop()
        closed = ", ".join(f"{reason.value} {count}" for reason, count in self.frontend.closed.items())
        violations = self.sidecar.violations.total
        log.info("%s ends: connections closed: %s; %d violations", self.config.name, closed or "none", violations)

    # --- changes under way ----------------------------------------------------------------------

    def reload(self) -> None:
        """Take up what may change while requests are under way; a bad configuration changes nothing."""
        if self.configuration.reload():
            self._adopt()
            log.info("%s has taken up its configuration anew", self.config.name)

    def reshape(self) -> None:
        """This worker's share of the whole has changed."""
        self.configuration.reshape()
        self._adopt()

    @property
    def values(self) -> Values:
        """The operators' settings in force."""
        return self.configuration.values

    def _adopt(self) -> None:
        self.config = config = self.configuration.config
        self.discovery.set_address(config.discovery)
        self.peers.set_peers(config.peers, config.peers_all)
        self._retier()
        self._respeak()
        self.sidecar.reconfigure(config.settings)
        self.sidecar.tracing = log.isEnabledFor(logging.DEBUG)
        self.upstream.reconfigure(config.settings, config.server_connections)
        self.frontend.retune(config.settings, config.client_connections, config.body_memory)
        self._rewire()


async def _bind(key: str, listen: Callable) -> None:
    try:
        await listen()
    except OSError as error:
        raise ConfigError(f"{key}: {error}") from None
