"""The schema of the operator settings file: every key, in one table.

The name of a key is its path in the file, joined by dots. `*` is a wildcard for one part of the name, such as the
name of a class. If a key is missing, the platform's configuration applies.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from covetally.operator.url import split_url

Value = str | int | float | bool
Values = dict[str, Value]
"""Validated settings by dotted key, in canonical form: equivalent documents compare equal."""

TIER_RATE_PREFIX, TIER_IN_FLIGHT_PREFIX = (
    "tier.rate_per_s.",
    "tier.in_flight.",
)  # followed by the name of a tenant
CAPS_CLIENT_PREFIX, CAPS_NODE_PREFIX = "caps.client.", "caps.node."  # likewise

_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
_ENDPOINT = re.compile(r"unix:/.+|tcp:\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_PIN = re.compile(r"(pin|most|least):[a-z0-9-]+:\d+(\.\d+)?")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@dataclass(frozen=True, slots=True)
class Key:
    """One setting. `kind` is whole, number, switch, word (one of `choices`), name, address, endpoint, path, pin
    or urls.

    `live`: a change takes effect while the sidecar runs, otherwise at the next start. `managed`: an agent may set
    it.
    """

    name: str
    kind: str
    description: str
    default: str = "the platform's"
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    live: bool = True
    managed: bool = True

    def describe_accepted(self) -> str:
        """Describe the accepted values, for error messages."""
        if self.kind == "word":
            return "one of " + ", ".join(self.choices)
        if self.kind in ("whole", "number"):
            what = "a whole number" if self.kind == "whole" else "a number"
            return f"{what} from {self.minimum:g} to {self.maximum:g}"
        return {
            "switch": "true or false",
            "name": "a name of letters, digits, '.', '_' or '-', at most 63",
            "address": "an address a.b.c.d:port",
            "endpoint": "unix:/PATH or tcp:a.b.c.d:port",
            "path": "a path that begins with /",
            "pin": "pin, most or least, a level and seconds, such as most:own-shares:600",
            "urls": "http://A.B.C.D:PORT/PATH, or several separated by commas",
        }[self.kind]

    def accepts(self, value: Any) -> bool:
        """Return whether a value is of the kind of this key and within its limits."""
        if self.kind in ("whole", "number"):
            kinds = int if self.kind == "whole" else (int, float)
            if not isinstance(value, kinds) or isinstance(value, bool):
                return False
            assert self.minimum is not None and self.maximum is not None
            return self.minimum <= value <= self.maximum
        if self.kind == "switch":
            return isinstance(value, bool)
        if not isinstance(value, str):
            return False
        if self.kind == "word":
            return value in self.choices
        if self.kind == "address":
            return _is_address(value)
        if self.kind == "endpoint":
            known = _ENDPOINT.fullmatch(value) is not None
            return known and (value.startswith("unix:") or _is_address(value.removeprefix("tcp:")))
        if self.kind == "urls":
            return _are_urls(value)
        if self.kind == "pin":
            return _PIN.fullmatch(value) is not None
        if self.kind == "path":
            return value.startswith("/") and "\0" not in value
        return _NAME.fullmatch(value) is not None


def _are_urls(text: str) -> bool:
    try:
        return len({split_url(part) for part in text.split(",")}) == text.count(",") + 1
    except ValueError:
        return False


def _is_address(text: str) -> bool:
    match = _ADDRESS.fullmatch(text)
    return match is not None and all(int(x) < 256 for x in match.groups()[:4]) and 0 < int(match[5]) < 65536


KEYS: tuple[Key, ...] = (
    Key("log.level", "word",
        "the least severe level that is logged", "info", choices=("debug", "info", "warning", "error")),
    Key("limits.client_connections", "whole", "the maximum number of client connections",
        "half of the descriptors", 8, 100_000),
    Key("limits.server_connections", "whole", "the maximum number of connections to nodes",
        "four tenths of the descriptors", 4, 100_000),
    Key("limits.body_memory_kib", "whole", "the memory for all requests that are being received",
        "an eighth of the memory", 64, 4_194_304),
    Key("limits.max_attempts", "whole",
        "the maximum number of attempts of one request, at most what the platform allows",
        minimum=1, maximum=100),
    Key("limits.connect_timeout_ms", "number", "the timeout for opening a connection to a node",
        minimum=1, maximum=60_000),
    Key("limits.max_retry_after_ms", "number", "the longest Retry-After that a refusal states",
        minimum=0, maximum=600_000),
    Key("classes.*.aim_ms", "number", "an answer to this class is on time within this time",
        minimum=1, maximum=600_000),
    Key("classes.*.deadline_ms", "number",
        "the deadline of requests of this class, at most the platform's",
        minimum=1, maximum=600_000),
    Key("discovery.address", "address", "the address of discovery, which serves the list of nodes"),
    Key("roster.source", "word", "the source of the list of nodes; off: the platform, applied at once",
        "off", choices=("off", "platform", "eureka", "file")),
    Key("roster.compare", "word", "a second source that is compared with the first, and not used",
        "none", choices=("none", "platform", "eureka", "file")),
    Key("roster.share", "number", "a read that lacks more than this share of the nodes is not applied at once",
        "0.25", 0, 1),
    Key("roster.hold_s", "number", "the longest time that the roster deviates from the source",
        "30", 0, 86_400),
    Key("roster.file", "path", "the file that lists the nodes, for the source file", "none"),
    Key("roster.keep", "path", "a file that keeps the last good roster across restarts",
        "none", live=False, managed=False),
    Key("roster.check_path", "path",
        "the path of periodic health checks of each node; any answer shows that the node is alive", "none"),
    Key("roster.checks_per_node_s", "number", "health checks of one node per second, by all sidecars together",
        "1", 0.001, 100),
    Key("eureka.addresses", "urls", "the addresses of the registry, the preferred one first", "none"),
    Key("eureka.name", "name",
        "the application, or with read = vip the VIP, whose instances are the nodes", "none"),
    Key("eureka.read", "word", "what is read: one application, one VIP, or all of them with deltas",
        "app", choices=("app", "vip", "all")),
    Key("eureka.poll_s", "number", "the polling interval", "5", 0.05, 3600),
    Key("eureka.timeout_s", "number", "the timeout for a complete answer", "3", 0.05, 600),
    Key("eureka.format", "word", "the format of the answers; xml needs the extra 'eureka'", "json",
        choices=("json", "xml")),
    Key("eureka.max_mib", "whole", "the maximum size of an answer after decompression", "32", 1, 1024),
    Key("eureka.credentials_file", "path", "a file whose first line is USER:PASSWORD", "none", managed=False),
    Key("eureka.metadata.zone", "name", "the metadata key of a node's zone", "zone"),
    Key("eureka.metadata.machine_type", "name", "the metadata key of its machine type", "machineType"),
    Key("eureka.metadata.cell", "name", "the metadata key of its cell, a whole number", "cell"),
    Key("eureka.metadata.weight", "name", "the metadata key of its weight", "weight"),
    Key("eureka.metadata.drain", "name",
        "the metadata key of whether it accepts no new requests: true or false", "drain"),
    Key("eureka.metadata.started", "name",
        "the metadata key of its start time, ms since the epoch", "startedAtMs"),
    Key("register.app", "name", "the application to register this sidecar, or a node next to it, under",
        "none: nothing is registered", live=False),
    Key("register.address", "address", "the address of the registered instance", "process.listen", live=False),
    Key("register.id", "name", "the id of the registered instance", "control.name", live=False),
    Key("register.vip", "name", "the VIP of the registered instance", "register.app", live=False),
    Key("register.zone", "name",
        "the zone of the registered instance, as metadata", "this sidecar's", live=False),
    Key("register.health_path", "path", "the path that has to answer with 200 for the lease to be renewed",
        "/_health", live=False),
    Key("register.renew_s", "number", "the interval between renewals of the lease", "30", 0.1, 3600, live=False),
    Key("register.lease_s", "number",
        "the duration of the lease without a renewal", "90", 0.3, 36_000, live=False),
    Key("tier.mode", "word", "whether the sidecars share their membership and their assessments of nodes",
        "off, on with a limit", choices=("on", "off")),
    Key("tier.lease_s", "number",
        "how long a sidecar may use a part of a limit that another one has lent to it", "4", 0.6, 60),
    Key("tier.delay_ms", "number", "the longest time that a datagram takes between sidecars", "50", 0.1, 10_000),
    Key("tier.burst_s", "number",
        "the time for which an unused rate accumulates, at least one call", "1", 0.01, 60),
    Key("tier.rate_per_s.*", "number",
        "the maximum number of calls of a tenant per second, for all sidecars together",
        "none", 0.001, 1_000_000),
    Key("tier.in_flight.*", "whole",
        "the maximum number of calls in flight of a tenant, for all sidecars together",
        "none", 1, 1_000_000),
    Key("overload.mode", "word", "whether the sidecars agree on one admission threshold",
        "off", choices=("on", "off")),
    Key("overload.pin", "pin",
        "a temporary manual setting of the admission threshold: pin, most or least, a level, seconds", "none"),
    Key("overload.trials_per_s", "number", "probes of one node per second, by all sidecars together; 0: no limit",
        "8", 0, 1000),
    Key("overload.connections_per_s", "number",
        "new connections to one node per second, by all sidecars together, if another is available; 0: no limit",
        "0", 0, 100_000),
    Key("caps.client.*", "whole",
        "the maximum number of client connections of a tenant, for all sidecars together",
        "none", 0, 1_000_000),
    Key("caps.node.*", "whole",
        "the maximum number of connections to nodes in use for a tenant, for all sidecars together",
        "none", 0, 1_000_000),
    Key("caps.mode", "word", "when a unit held by a silent sidecar is lent again: after its lease, or never",
        "lapses", choices=("lapses", "never")),
    Key("caps.lease_s", "number", "how long a sidecar may use a unit without a renewal by its owner", "4", 1, 60),
    Key("process.listen", "address", "the address that clients connect to", live=False),
    Key("process.backlog", "whole",
        "the maximum number of connections that wait to be accepted", "4096", 16, 65_535, live=False),
    Key("workers.count", "whole", "the number of worker processes; one more process supervises them",
        "none: one process", 1, 64),
    Key("workers.hang_s", "number", "a worker that is silent for this long is killed and restarted",
        "5", 0.5, 600),
    Key("control.agent", "endpoint", "the agent to connect to; without it this sidecar is not managed",
        "none", live=False, managed=False),
    Key("control.name", "name",
        "the name of this sidecar at the agent", "the sidecar's name", live=False, managed=False),
    Key("control.token_file", "path", "a file whose first line is the token for the agent",
        "none", live=False, managed=False),
    Key("control.keep", "path", "a file that keeps the last good revision across restarts",
        "none", live=False, managed=False),
    Key("control.may_restart", "switch",
        "whether the agent may stop this process; something has to restart it", "false",
        live=False, managed=False),
    Key("control.heartbeat_s", "number",
        "the interval between reports of counters and health to the agent", "5", 0.2, 3600),
    Key("control.redial_min_s", "number", "the first delay before reconnecting to the agent", "0.5", 0.05, 600),
    Key("control.redial_max_s", "number", "the longest delay before reconnecting to the agent", "30", 0.05, 3600),
    Key("control.labels.*", "name", "a label that selectors can match, such as zone = \"milano\"",
        "none", live=False, managed=False),
)  # fmt: skip

_BY_NAME = {key.name: key for key in KEYS}


def find(name: str) -> Key | None:
    """Return the key that a dotted name belongs to, or None."""
    if name in _BY_NAME:
        return _BY_NAME[name]
    head, _, last = name.rpartition(".")
    for pattern in (f"{head}.*", f"{head.partition('.')[0]}.*.{last}"):
        # The part matched by the wildcard may contain dots; every pattern has exactly one wildcard.
        key = _BY_NAME.get(pattern)
        if key is not None and _match_wildcard(key.name, name):
            return key
    return None


def _match_wildcard(pattern: str, name: str) -> str:
    """Return the part of a name that matches the wildcard of a pattern; empty if it does not match."""
    before, _, after = pattern.partition("*")
    if len(name) <= len(before) + len(after) or not (name.startswith(before) and name.endswith(after)):
        return ""
    return name[len(before) : len(name) - len(after)]


def wildcard_part(key: Key, name: str) -> str:
    """Return the part of a name that matches the wildcard of `key`, such as the name of a class or label."""
    return _match_wildcard(key.name, name)


def flatten(document: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the values of a nested document with their dotted names. Empty tables yield nothing."""
    for name, value in document.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            yield from flatten(value, path + ".")
        else:
            yield path, value
