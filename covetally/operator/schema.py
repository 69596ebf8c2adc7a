"""Every key of the operators' file, in one table.

A key's name is its path in the file, parts joined by dots; `*` stands for a part that is free, as a class's
name. A key that is absent leaves what the platform's configuration says.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from covetally.operator.url import split_url

Value = str | int | float | bool
Values = dict[str, Value]
"""Checked settings by dotted key. The canonical form: two documents that mean the same are equal."""

TIER_RATE_PREFIX, TIER_IN_FLIGHT_PREFIX = "tier.rate_per_s.", "tier.in_flight."  # before a workshop's name
CAPS_CLIENT_PREFIX, CAPS_NODE_PREFIX = "caps.client.", "caps.node."  # the same

_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
_ENDPOINT = re.compile(r"unix:/.+|tcp:\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_PIN = re.compile(r"(pin|most|least):[a-z0-9-]+:\d+(\.\d+)?")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@dataclass(frozen=True, slots=True)
class Key:
    """One setting. `kind` is whole, number, switch, word (one of `words`), name, address, endpoint,
    path, pin or urls.

    `live`: it takes effect while the sidecar runs; else a restart takes it up. `managed`: an agent may set it.
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
        """What a value has to be, in words."""
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
            "pin": "pin, most or least, a rung and seconds, as most:own-shares:600",
            "urls": "http://A.B.C.D:PORT/PATH, or several with commas between",
        }[self.kind]

    def accepts(self, value: Any) -> bool:
        """Whether a value is of this key's kind and within its bounds."""
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
    Key("log.level", "word", "what is logged", "info", choices=("debug", "info", "warning", "error")),
    Key("limits.client_connections", "whole", "connections that clients may hold",
        "half of the descriptors", 8, 100_000),
    Key("limits.server_connections", "whole", "connections to nodes",
        "four tenths of the descriptors", 4, 100_000),
    Key("limits.body_memory_kib", "whole", "memory for request bodies on their way in, all together",
        "an eighth of the memory", 64, 4_194_304),
    Key("limits.max_attempts", "whole", "attempts of one request, at most what the platform allows",
        minimum=1, maximum=100),
    Key("limits.connect_timeout_ms", "number", "how long a connection to a node may take to come up",
        minimum=1, maximum=60_000),
    Key("limits.max_retry_after_ms", "number", "the longest time to come back that a refusal names",
        minimum=0, maximum=600_000),
    Key("classes.*.aim_ms", "number", "an answer to this class counts within this time",
        minimum=1, maximum=600_000),
    Key("classes.*.deadline_ms", "number",
        "the longest that a request of this class is worked for, at most what the platform says",
        minimum=1, maximum=600_000),
    Key("discovery.address", "address", "where the list of nodes is asked for"),
    Key("roster.source", "word", "who lists the nodes; off: the platform, believed at once",
        "off", choices=("off", "platform", "eureka", "file")),
    Key("roster.compare", "word", "a second source that is only compared with the first",
        "none", choices=("none", "platform", "eureka", "file")),
    Key("roster.share", "number", "a read that lacks more of the nodes than this share is doubted",
        "0.25", 0, 1),
    Key("roster.hold_s", "number", "the longest that anything is held against the source's word",
        "30", 0, 86_400),
    Key("roster.file", "path", "the file of nodes, for the source file", "none"),
    Key("roster.keep", "path", "a file in which the last good roster outlives the process",
        "none", live=False, managed=False),
    Key("roster.check_path", "path",
        "each node is asked for this path now and then; any answer shows that it lives", "none"),
    Key("roster.checks_per_node_s", "number", "such checks of one node a second, by all sidecars together",
        "1", 0.001, 100),
    Key("eureka.addresses", "urls", "the registry's addresses, the preferred first", "none"),
    Key("eureka.name", "name",
        "the application, or with read = vip the VIP, whose instances are the nodes", "none"),
    Key("eureka.read", "word", "what is asked for: one application, one VIP, or all of them with deltas",
        "app", choices=("app", "vip", "all")),
    Key("eureka.poll_s", "number", "how often it is asked", "5", 0.05, 3600),
    Key("eureka.timeout_s", "number", "how long one answer may take, all of it", "3", 0.05, 600),
    Key("eureka.format", "word", "what answers are asked for in; xml takes the extra 'eureka'", "json",
        choices=("json", "xml")),
    Key("eureka.max_mib", "whole", "the longest answer, unzipped", "32", 1, 1024),
    Key("eureka.credentials_file", "path", "a file whose first line is USER:PASSWORD", "none", managed=False),
    Key("eureka.metadata.zone", "name", "the metadata that names a node's zone", "zone"),
    Key("eureka.metadata.machine_type", "name", "its machine type", "machineType"),
    Key("eureka.metadata.cell", "name", "its cell, a whole number", "cell"),
    Key("eureka.metadata.weight", "name", "its weight", "weight"),
    Key("eureka.metadata.drain", "name", "whether it wants nothing new: true or false", "drain"),
    Key("eureka.metadata.started", "name", "when it started, ms since the epoch", "startedAtMs"),
    Key("register.app", "name", "the application that this sidecar, or a node beside it, is registered under",
        "none: nothing is registered", live=False),
    Key("register.address", "address", "where what is registered listens", "process.listen", live=False),
    Key("register.id", "name", "its id", "control.name", live=False),
    Key("register.vip", "name", "its VIP", "register.app", live=False),
    Key("register.zone", "name", "its zone, as metadata", "this sidecar's", live=False),
    Key("register.health_path", "path", "what it has to answer with 200 for its lease to be renewed",
        "/_health", live=False),
    Key("register.renew_s", "number", "how often the lease is renewed", "30", 0.1, 3600, live=False),
    Key("register.lease_s", "number", "how long the lease lasts without", "90", 0.3, 36_000, live=False),
    Key("tier.mode", "word", "whether the sidecars tell each other who is there and what they make of nodes",
        "off, on with a limit", choices=("on", "off")),
    Key("tier.lease_s", "number", "how long a sidecar may use what another has lent it of a limit", "4", 0.6, 60),
    Key("tier.delay_ms", "number", "the longest that a datagram takes between sidecars", "50", 0.1, 10_000),
    Key("tier.burst_s", "number", "how long a rate may be saved up, one call at least", "1", 0.01, 60),
    Key("tier.rate_per_s.*", "number", "calls a second that all sidecars together let a workshop have",
        "none", 0.001, 1_000_000),
    Key("tier.in_flight.*", "whole", "calls in flight that all sidecars together let a workshop have",
        "none", 1, 1_000_000),
    Key("overload.mode", "word", "whether the sidecars draw one line, past which requests are refused",
        "off", choices=("on", "off")),
    Key("overload.pin", "pin", "a hand on the line for a time: pin, most or least, a rung, seconds", "none"),
    Key("overload.trials_per_s", "number", "trials of one node a second, by all sidecars together; 0: no bound",
        "8", 0, 1000),
    Key("overload.connections_per_s", "number",
        "new connections to one node a second, by all sidecars together, where another will do; 0: no bound",
        "0", 0, 100_000),
    Key("caps.client.*", "whole", "client connections that all sidecars together let a workshop hold",
        "none", 0, 1_000_000),
    Key("caps.node.*", "whole", "connections to nodes that all sidecars together use for a workshop at a time",
        "none", 0, 1_000_000),
    Key("caps.mode", "word", "when a unit of a silent sidecar is lent again: after its lease, or never",
        "lapses", choices=("lapses", "never")),
    Key("caps.lease_s", "number", "how long a sidecar may use a unit without its home's word", "4", 1, 60),
    Key("process.listen", "address", "where clients connect", live=False),
    Key("process.backlog", "whole", "connections that may wait to be let in", "4096", 16, 65_535, live=False),
    Key("workers.count", "whole", "processes that share the work; one more starts and watches them",
        "none: one process", 1, 64),
    Key("workers.hang_s", "number", "a worker that says nothing for so long is killed and started again",
        "5", 0.5, 600),
    Key("control.agent", "endpoint", "the agent to dial; without it nothing manages this sidecar",
        "none", live=False, managed=False),
    Key("control.name", "name", "the name told to the agent", "the sidecar's name", live=False, managed=False),
    Key("control.token_file", "path", "a file whose first line is the token told to the agent",
        "none", live=False, managed=False),
    Key("control.keep", "path", "a file in which the last good revision outlives the process",
        "none", live=False, managed=False),
    Key("control.may_restart", "switch",
        "whether the agent may end this process: something has to start it again", "false",
        live=False, managed=False),
    Key("control.heartbeat_s", "number", "how often the agent is told of counters and health", "5", 0.2, 3600),
    Key("control.redial_min_s", "number", "first pause before the agent is dialled again", "0.5", 0.05, 600),
    Key("control.redial_max_s", "number", "longest pause before the agent is dialled again", "30", 0.05, 3600),
    Key("control.labels.*", "name", "a label that selectors can match, as zone = \"milano\"",
        "none", live=False, managed=False),
)  # fmt: skip

_BY_NAME = {key.name: key for key in KEYS}


def find(name: str) -> Key | None:
    """The key that a dotted name belongs to."""
    if name in _BY_NAME:
        return _BY_NAME[name]
    head, _, last = name.rpartition(".")
    for pattern in (f"{head}.*", f"{head.partition('.')[0]}.*.{last}"):
        # The free part may hold dots itself; every pattern has exactly one.
        key = _BY_NAME.get(pattern)
        if key is not None and _match_wildcard(key.name, name):
            return key
    return None


def _match_wildcard(pattern: str, name: str) -> str:
    """What stands in a name for the pattern's `*`, empty if it does not match."""
    before, _, after = pattern.partition("*")
    if len(name) <= len(before) + len(after) or not (name.startswith(before) and name.endswith(after)):
        return ""
    return name[len(before) : len(name) - len(after)]


def wildcard_part(key: Key, name: str) -> str:
    """The free part of a name that belongs to `key`: the class's name, the label's name."""
    return _match_wildcard(key.name, name)


def flatten(document: Mapping[str, Any], before: str = "") -> Iterator[tuple[str, Any]]:
    """The values of a nested document with their dotted names. An empty table is a name without a value."""
    for name, value in document.items():
        path = f"{before}{name}"
        if isinstance(value, dict):
            yield from flatten(value, path + ".")
        else:
            yield path, value
