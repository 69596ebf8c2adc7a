"""The configuration of one sidecar: three layers, each of which overrides the one before.

The layers are the platform's configuration, the operators' file, and the settings of an agent. The package
`covetally.operator` is imported only if there are operators' settings.
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
    from covetally.membership.settings import MembershipConfig
    from covetally.operator.schema import Values
    from covetally.overload.settings import OverloadConfig as Overload
    from covetally.tier.settings import TierConfig as Tier

log = logging.getLogger("covetally")

# A change of these takes effect only after a restart.
RESTART_ONLY = ("name", "listen", "peer_listen", "sockets", "load_fields", "backlog")
assert set(RESTART_ONLY) <= {f.name for f in fields(Config)}
NO_ROSTER = "roster.source is not set: the platform's list is applied directly"


class SavedSettings(Protocol):
    """The agent's settings that were saved by the previous process."""

    def initial_values(self) -> Values:
        """Return the settings to start with."""

    def reject_initial(self, reason: str) -> Values:
        """Report that the settings cannot be used, and return those to start with instead."""


class Scope(Protocol):
    """Derives the configuration of one process from that of the whole sidecar."""

    def derive_config(self, whole: Config) -> Config:
        """Return the configuration of this process."""

    def derive_settings(self, values: Values) -> Values:
        """Return the operators' settings that apply to this process."""


class WholeSidecar:
    """The scope of a process that is the whole sidecar: everything applies unchanged."""

    def derive_config(self, whole: Config) -> Config:
        """Return the configuration of this process."""
        return whole

    def derive_settings(self, values: Values) -> Values:
        """Return the operators' settings that apply to this process."""
        return values


class Configuration:
    """The three layers, and `config`, which results from them.

    The constructor raises ConfigError if the layers cannot be used; later, an invalid layer changes nothing.
    `scope` derives the share of this process, if it is a worker.
    """

    def __init__(self, env: Mapping[str, str], operator: str | None, scope: Scope | None = None) -> None:
        self._env, self._operator, self._scope = env, operator, scope or WholeSidecar()
        self.platform = load(env)
        self.file_settings = self._read_operator()
        self.managed: Values = {}
        self.config = self._build_config(self.platform, self.file_settings, {})

    def restore_managed(self, saved: SavedSettings) -> None:
        """Start with the agent's saved settings. Unusable ones must not prevent the sidecar from starting."""
        self.managed = saved.initial_values()
        while self.managed:
            try:
                self.config = self._build_config(self.platform, self.file_settings, self.managed)
                return
            except ConfigError as error:
                self.managed = saved.reject_initial(str(error))

    @property
    def values(self) -> Values:
        """The operators' settings in force: those of the file, overridden by the agent's."""
        return self.file_settings | self.managed

    @property
    def membership(self) -> MembershipConfig | None:
        """The membership settings; None if the platform's server list is applied directly."""
        return _membership(self.values)

    @property
    def tier(self) -> Tier | None:
        """The tier settings; None if this sidecar takes no part in a tier."""
        return _tier(self.config, self.values)

    @property
    def overload(self) -> Overload | None:
        """The settings of the fleet's overload threshold; None if this sidecar takes no part in it."""
        return _overload(self.config, self.values)

    @property
    def caps(self) -> Caps | None:
        """The connection caps of tenants; None if there are none."""
        return _caps(self.config, self.values)

    @property
    def shutdown(self) -> ShutdownTimes:
        """The time limits of a shutdown.

        They follow from the platform's deadlines, without the operators' changes: an open call may have been
        accepted before its class's deadline was changed.
        """
        return shutdown_times(max(c.deadline_ns for c in self.platform.settings.classes) / SECOND)

    def reload(self) -> bool:
        """Read both files again. Return False and change nothing if they cannot be used."""
        try:
            self._reread()
        except ConfigError as error:
            log.error("reload: %s: the old configuration stays", error)
            return False
        return True

    def _reread(self) -> None:
        platform, file_settings = load(self._env), self._keep_restart_only(self._read_operator())
        if platform.settings != self.platform.settings:
            log.warning("reload: settings has changed, which takes a restart")
            platform = replace(platform, settings=self.platform.settings)
        config = self._build_config(platform, file_settings, self.managed)
        self.platform, self.file_settings = platform, file_settings
        self._set_config(config)

    def manage(self, managed: Values) -> None:
        """Replace the agent's settings. Raises ConfigError and changes nothing if they cannot be used."""
        config = self._build_config(self.platform, self.file_settings, managed)
        self.managed = managed
        self._set_config(config)

    def update_scope(self) -> None:
        """Apply a change of what `scope` derives from the same layers."""
        self._set_config(self._build_config(self.platform, self.file_settings, self.managed))

    def check_managed(self, managed: Values) -> None:
        """Raise OperatorError if the agent's settings cannot be used here. Changes nothing."""
        from covetally.operator import check

        if "workers.count" in managed and "workers.count" not in self.file_settings:
            reason = "needs a supervisor, which this sidecar has only if its own file sets workers.count"
            raise check.OperatorError([check.Problem("workers.count", managed["workers.count"], reason)])
        self._apply_settings(self.platform, self.file_settings | managed)

    def _read_operator(self) -> Values:
        if self._operator is None:
            return {}
        from covetally.operator import check

        try:
            return self._scope.derive_settings(check.read(self._operator))
        except check.OperatorError as error:
            raise ConfigError(f"{self._operator}: {error}") from None

    def _build_config(self, platform: Config, file_settings: Values, managed: Values) -> Config:
        """Return the configuration that results from the layers. Raises ConfigError if it cannot be used."""
        if not file_settings and not managed:
            return self._scope.derive_config(platform)
        from covetally.operator import check

        try:
            return self._apply_settings(platform, file_settings | managed)
        except check.OperatorError as error:
            raise ConfigError(str(error)) from None

    def _apply_settings(self, platform: Config, values: Values) -> Config:
        """Apply operators' settings to the platform's configuration. Raises OperatorError if they are invalid."""
        from covetally.operator import overrides

        config = self._scope.derive_config(replace(platform, **overrides.config_overrides(platform, values)))
        _membership(values)
        _tier(config, values)
        _overload(config, values)
        _caps(config, values)
        return config

    def _keep_restart_only(self, file_settings: Values) -> Values:
        """Return the reread operators' settings, but with the current values of those that need a restart."""
        for name in {*self.file_settings, *file_settings}:
            restart = name.startswith("control.") and _needs_restart(name)
            restart = restart or (
                name == "workers.count" and (name in file_settings) != (name in self.file_settings)
            )
            if restart and file_settings.get(name) != self.file_settings.get(name):
                log.warning("reload: %s has changed, which takes a restart", name)
                file_settings = {k: v for k, v in file_settings.items() if k != name}
                if name in self.file_settings:
                    file_settings[name] = self.file_settings[name]
        return file_settings

    def _set_config(self, config: Config) -> None:
        for name in RESTART_ONLY:
            if getattr(config, name) != getattr(self.config, name):
                log.warning("reload: %s has changed, which takes a restart", name)
        kept = {name: getattr(self.config, name) for name in RESTART_ONLY}
        self.config = replace(config, **kept, seed=self.config.seed, known=self.config.known)
        logging.getLogger().setLevel(self.config.log_level.upper())


def _membership(values: Values) -> MembershipConfig | None:
    """Return `Configuration.membership`. Raises OperatorError if the settings are inconsistent."""
    if values.get("roster.source", "off") == "off" and "register.app" not in values:
        return None
    from covetally.membership import settings

    settings.read_authorization(values)  # a registration alone needs it too
    return settings.membership_config(values) if settings.is_enabled(values) else None


def _tier(config: Config, values: Values) -> Tier | None:
    """Return `Configuration.tier`. Raises OperatorError if the settings are inconsistent.

    A tenant limit enables the tier by itself.
    """
    if not values:
        return None
    from covetally.operator import check, schema

    requesting = sorted(
        n for n in values if n.startswith((schema.TIER_RATE_PREFIX, schema.TIER_IN_FLIGHT_PREFIX))
    )
    if values.get("tier.mode") == "on":
        requesting.append("tier.mode")
    if not requesting:
        return None
    if values.get("tier.mode") == "off":
        reason, remedy = "is off by tier.mode", "tier.mode = 'on'"
        raise check.OperatorError([check.Problem(requesting[0], values[requesting[0]], reason, remedy)])
    _require_peers(config, requesting[0], values)
    from covetally.tier import settings

    return settings.tier_config(config.settings, len(config.peers), values)


def _overload(config: Config, values: Values) -> Overload | None:
    """Return `Configuration.overload`. Raises OperatorError if the settings are inconsistent."""
    if values.get("overload.mode", "off") == "off":
        return None
    _require_peers(config, "overload.mode", values)
    from covetally.overload import settings

    return settings.overload_config(config.settings, len(config.peers), values)


def _caps(config: Config, values: Values) -> Caps | None:
    """Return `Configuration.caps`. Raises OperatorError if the settings are inconsistent."""
    requesting = sorted(name for name in values if name.startswith(("caps.client.", "caps.node.")))
    if not requesting:
        return None
    _require_peers(config, requesting[0], values)
    from covetally.caps import settings

    return settings.plan(config.settings, len(config.peers), values)


def _require_peers(config: Config, name: str, values: Values) -> None:
    """Raise OperatorError if the platform does not provide the peers that this key needs."""
    if not (config.settings.limits.peers and config.peers and config.peer_listen is not None):
        from covetally.operator import check

        remedy = "the platform has to allow peers and to configure peer_listen and the addresses of all sidecars"
        raise check.OperatorError([check.Problem(name, values[name], "needs peers", remedy)])


def _needs_restart(name: str) -> bool:
    from covetally.operator import schema

    key = schema.find(name)
    return key is not None and not key.live
