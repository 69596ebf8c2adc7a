"""What one sidecar runs with, read and read again: three layers, one over the other.

The platform's configuration, the operators' file over it, and over that what an agent has set. The operators'
part is imported where there is any.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import fields, replace
from typing import TYPE_CHECKING, Protocol

from covetally.interface import SECOND
from covetally.net.config import Config, ConfigError, load
from covetally.net.shutdown_times import ShutdownTimes, shutdown_times

if TYPE_CHECKING:
    from covetally.caps.settings import Plan as Caps
    from covetally.membership.settings import Plan
    from covetally.operator.schema import Values
    from covetally.overload.settings import OverloadConfig as Overload
    from covetally.tier.settings import Plan as Tier

log = logging.getLogger("covetally")

FIXED = ("name", "listen", "peer_listen", "sockets", "memory", "load_fields", "backlog")  # until a restart
assert set(FIXED) <= {f.name for f in fields(Config)}
NO_ROSTER = "roster.source is not set: the platform's list is believed at once"


class Memory(Protocol):
    """What an agent has set, as it outlived the process before."""

    def at_start(self) -> Values:
        """What to start with."""

    def unusable(self, reason: str) -> Values:
        """That cannot be used: what to start with instead."""


class Shape(Protocol):
    """What a process is to have of the configuration."""

    def config(self, whole: Config) -> Config:
        """The configuration as it holds here."""

    def own(self, values: Values) -> Values:
        """The operators' settings as they hold here."""


class Whole:
    """What a process is to have of the configuration where it is the whole sidecar: all of it."""

    def config(self, whole: Config) -> Config:
        """The configuration as it holds here."""
        return whole

    def own(self, values: Values) -> Values:
        """The operators' settings as they hold here."""
        return values


class Configuration:
    """The three layers and what they make, `config`. ConfigError at the start if they cannot be used; later a bad
    layer changes nothing. `shape` makes of the whole what this process is to have of it: a worker, its share."""

    def __init__(self, env: Mapping[str, str], operator: str | None, shape: Shape | None = None) -> None:
        self._env, self._operator, self._shape = env, operator, shape or Whole()
        self.platform = load(env)
        self.own = self._read_operator()
        self.managed: Values = {}
        self.config = self._effective(self.platform, self.own, {})

    def recall(self, memory: Memory) -> None:
        """Start with what an agent had set. It must not keep a sidecar from starting."""
        self.managed = memory.at_start()
        while self.managed:
            try:
                self.config = self._effective(self.platform, self.own, self.managed)
                return
            except ConfigError as error:
                self.managed = memory.unusable(str(error))

    @property
    def values(self) -> Values:
        """The operators' settings in force, the agent's over those of the file."""
        return self.own | self.managed

    @property
    def plan(self) -> Plan | None:
        """What the operators want of membership; None where the platform's list is believed at once."""
        return _plan(self.values)

    @property
    def tier(self) -> Tier | None:
        """How this sidecar takes part in its tier; None where it does not."""
        return _tier(self.config, self.values)

    @property
    def overload(self) -> Overload | None:
        """How this sidecar takes part in the fleet's overload line; None where it does not."""
        return _overload(self.config, self.values)

    @property
    def caps(self) -> Caps | None:
        """How this sidecar takes part in workshops' connection caps; None where there are none."""
        return _caps(self.config, self.values)

    @property
    def shutdown(self) -> ShutdownTimes:
        """How long the end of the process may take. By the platform's settings: a call may be older than a change
        of its class's deadline."""
        return shutdown_times(max(c.deadline_ns for c in self.platform.settings.classes) / SECOND)

    def reload(self) -> bool:
        """Read both files again; False, and nothing changed, if they cannot be used."""
        try:
            self._reread()
        except ConfigError as error:
            log.error("reload: %s: the old configuration stays", error)
            return False
        return True

    def _reread(self) -> None:
        platform, own = load(self._env), self._unmoved(self._read_operator())
        if platform.settings != self.platform.settings:
            log.warning("reload: settings has changed, which takes a restart")
            platform = replace(platform, settings=self.platform.settings)
        config = self._effective(platform, own, self.managed)
        self.platform, self.own = platform, own
        self._adopt(config)

    def manage(self, managed: Values) -> None:
        """Take up what the agent has set, in place of what it had; ConfigError, and nothing changed, if it cannot
        be used."""
        config = self._effective(self.platform, self.own, managed)
        self.managed = managed
        self._adopt(config)

    def reshape(self) -> None:
        """`shape` has changed what it makes of the same layers."""
        self._adopt(self._effective(self.platform, self.own, self.managed))

    def try_managed(self, managed: Values) -> None:
        """OperatorError if what the agent wants could not be used here; nothing changes."""
        from covetally.operator import check

        if "workers.count" in managed and "workers.count" not in self.own:
            reason = "takes a supervisor, which this sidecar has only if its own file names a number"
            raise check.OperatorError([check.Problem("workers.count", managed["workers.count"], reason)])
        self._made(self.platform, self.own | managed)

    def _read_operator(self) -> Values:
        if self._operator is None:
            return {}
        from covetally.operator import check

        try:
            return self._shape.own(check.read(self._operator))
        except check.OperatorError as error:
            raise ConfigError(f"{self._operator}: {error}") from None

    def _effective(self, platform: Config, own: Values, managed: Values) -> Config:
        """The configuration that these three make; ConfigError if it cannot be used."""
        if not own and not managed:
            return self._shape.config(platform)
        from covetally.operator import check

        try:
            return self._made(platform, own | managed)
        except check.OperatorError as error:
            raise ConfigError(str(error)) from None

    def _made(self, platform: Config, values: Values) -> Config:
        """As `_effective`, of the operators' settings together; OperatorError if it cannot be used."""
        from covetally.operator import tune

        config = self._shape.config(replace(platform, **tune.changes(platform, values)))
        _plan(values)
        _tier(config, values)
        _overload(config, values)
        _caps(config, values)
        return config

    def _unmoved(self, own: Values) -> Values:
        """The operators' file as it was read again, with how this sidecar is managed left as it was."""
        for name in {*self.own, *own}:
            fixed = name.startswith("control.") and _takes_restart(name)
            fixed = fixed or (name == "workers.count" and (name in own) != (name in self.own))
            if fixed and own.get(name) != self.own.get(name):
                log.warning("reload: %s has changed, which takes a restart", name)
                own = {k: v for k, v in own.items() if k != name}
                if name in self.own:
                    own[name] = self.own[name]
        return own

    def _adopt(self, config: Config) -> None:
        for name in FIXED:
            if getattr(config, name) != getattr(self.config, name):
                log.warning("reload: %s has changed, which takes a restart", name)
        fixed = {name: getattr(self.config, name) for name in FIXED}
        self.config = replace(config, **fixed, seed=self.config.seed, known=self.config.known)
        logging.getLogger().setLevel(self.config.log_level.upper())


def _plan(values: Values) -> Plan | None:
    """As `Configuration.plan`; OperatorError if it cannot be had."""
    if values.get("roster.source", "off") == "off" and "register.app" not in values:
        return None
    from covetally.membership import settings

    settings.authorization(values)  # a registration alone needs them too
    return settings.plan(values) if settings.wanted(values) else None


def _tier(config: Config, values: Values) -> Tier | None:
    """As `Configuration.tier`; OperatorError if it cannot be had. A limit asks for the tier by itself."""
    if not values:
        return None
    from covetally.operator import check, schema

    asking = sorted(n for n in values if n.startswith((schema.RATE, schema.IN_FLIGHT)))
    if values.get("tier.mode") == "on":
        asking.append("tier.mode")
    if not asking:
        return None
    if values.get("tier.mode") == "off":
        reason, remedy = "is off by tier.mode", "tier.mode = 'on'"
        raise check.OperatorError([check.Problem(asking[0], values[asking[0]], reason, remedy)])
    _needs_peers(config, asking[0], values)
    from covetally.tier import settings

    return settings.plan(config.settings, len(config.peers), values)


def _overload(config: Config, values: Values) -> Overload | None:
    """As `Configuration.overload`; OperatorError if it cannot be had."""
    if values.get("overload.mode", "off") == "off":
        return None
    _needs_peers(config, "overload.mode", values)
    from covetally.overload import settings

    return settings.overload_config(config.settings, len(config.peers), values)


def _caps(config: Config, values: Values) -> Caps | None:
    """As `Configuration.caps`; OperatorError if they cannot be had."""
    asking = sorted(name for name in values if name.startswith(("caps.client.", "caps.node.")))
    if not asking:
        return None
    _needs_peers(config, asking[0], values)
    from covetally.caps import settings

    return settings.plan(config.settings, len(config.peers), values)


def _needs_peers(config: Config, name: str, values: Values) -> None:
    """OperatorError where the platform has no peers for what this key asks for."""
    if not (config.settings.limits.peers and config.peers and config.peer_listen is not None):
        from covetally.operator import check

        remedy = "the platform has to allow them, and to list peer_listen and every sidecar"
        raise check.OperatorError([check.Problem(name, values[name], "needs peers", remedy)])


def _takes_restart(name: str) -> bool:
    from covetally.operator import schema

    key = schema.find(name)
    return key is not None and not key.live
