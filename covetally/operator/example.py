"""Generates the commented example of the operator settings file, deploy/operator.toml, from the schema."""

from __future__ import annotations

from covetally.operator.schema import KEYS, Key

_SAMPLES = {
    "limits.client_connections": "512",
    "limits.server_connections": "400",
    "limits.body_memory_kib": "12288",
    "limits.max_attempts": "4",
    "limits.connect_timeout_ms": "150",
    "limits.max_retry_after_ms": "1200",
    "classes.*.aim_ms": "300",
    "classes.*.deadline_ms": "1000",
    "discovery.address": '"10.2.0.1:8500"',
    "workers.count": "4",
    "tier.mode": '"on"',
    "tier.rate_per_s.*": "300",
    "tier.in_flight.*": "40",
    "overload.mode": '"on"',
    "overload.pin": '"most:own-shares:600"',
    "caps.client.*": "200",
    "caps.node.*": "60",
    "caps.mode": '"never"',
    "process.listen": '"10.0.0.4:3000"',
    "control.agent": '"unix:/run/cindersail/instances.sock"',
    "control.name": '"n3"',
    "roster.file": '"/etc/cindersail/nodes.toml"',
    "roster.keep": '"/var/lib/cindersail/n3.roster"',
    "roster.check_path": '"/ping"',
    "eureka.addresses": '"http://10.2.0.7:8761/eureka, http://10.2.0.8:8761/eureka"',
    "eureka.name": '"LEDGER"',
    "eureka.credentials_file": '"/etc/cindersail/eureka"',
    "register.app": '"LEDGER"',
    "register.address": '"10.0.0.4:3000"',
    "register.id": '"n3"',
    "register.vip": '"ledger"',
    "register.zone": '"milano-lambrate"',
    "control.labels.*": '"milano-lambrate"',
    "control.token_file": '"/etc/cindersail/token"',
    "control.keep": '"/var/lib/cindersail/n3.json"',
}
_WILDCARD_EXAMPLES = {"classes": "module-lookup", "control.labels": "zone"}
_WILDCARD_EXAMPLES |= {"tier.rate_per_s": "officina-brescia", "tier.in_flight": "officina-brescia"}
_WILDCARD_EXAMPLES |= {"caps.client": "officina-brescia", "caps.node": "officina-brescia"}

HEADER = """\
# The operator settings file: additions to the platform's configuration, and replacements of its values.
# Pass it with `--operator FILE` or COVETALLY_OPERATOR=FILE; check it with `cindersail check FILE`.
# Every key is listed with its meaning and its default, and is commented out: a sidecar runs with this file as
# it does without one. (now): changes take effect while the sidecar runs. (restart): at the next start.
"""


def text() -> str:
    """Return the content of the file."""
    parts, section = [HEADER], ""
    for key in KEYS:
        table, name = _table_and_name(key)
        if table != section:
            parts.append(f"\n# [{table}]\n")
            section = table
        value = _example_value(key)
        when = "now" if key.live else "restart"
        scope = "" if key.managed else ", this file only"
        parts.append(f"# {key.description}; default: {key.default} ({when}{scope})\n# {name} = {value}\n")
    return "".join(parts)


def _table_and_name(key: Key) -> tuple[str, str]:
    """Return the table and the name within it, with an example in place of the wildcard."""
    table, _, name = key.name.rpartition(".")
    table = table.replace("*", _WILDCARD_EXAMPLES["classes"])
    return table, _WILDCARD_EXAMPLES[table] if name == "*" else name


def _example_value(key: Key) -> str:
    if key.name in _SAMPLES:
        return _SAMPLES[key.name]
    return f'"{key.default}"' if key.kind in ("word", "name", "path") else key.default


if __name__ == "__main__":
    print(text(), end="")
