"""The balancer's settings, events and actions. All times are whole nanoseconds on one clock.

`Settings.parse` reads the settings object as handed over at start; every absent optional key has a
default here, so the decisions in `covetally/policy` never meet a missing one.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

SECOND = 1_000_000_000


class AttemptStatus(enum.IntEnum):
    """Outcome of an attempt."""

    OK = 100
    ERROR = 301
    FULL = 302
    TIMEOUT = 303
    CONNECT_FAILED = 304
    RESET = 305
    CANCELLED = 306
    NOT_SENT = 307
    UNUSABLE_RESPONSE = (
        308  # the real sidecar's only: an answer came that cannot be used, so the attempt may have run
    )


NOT_EXECUTED = frozenset({AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT})
"""Outcomes that prove the attempt had no effect."""


class SettingsError(ValueError):
    """The settings object cannot be used; the message names the key."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request: what an answer is worth, by when, and how it may be repeated."""

    name: str
    aim_ns: int
    deadline_ns: int
    worth: float = 1.0
    late_worth: float = 0.0
    repeat: str = "single_shot"
    group: str = "all"
    window_ns: int = 0
    stream: bool = False
    aim_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits."""

    max_attempts: int = 1
    hedging: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    streams_per_conn: int = 1
    conn_idle_ns: int = 15 * SECOND
    connect_timeout_ns: int = SECOND // 4


@dataclass(frozen=True, slots=True)
class Invariants:
    """Figures of the four rules."""

    slow_start_floor: float = 0.1
    slow_start_ns: int = 30 * SECOND
    overload_multiple: float = 2.0
    overload_window_ns: int = SECOND
    drain_grace_ns: int = 0
    subscribe_within_ns: int = 10 * SECOND
    answer_grace_ns: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its share of the service."""

    name: str
    share: float = 1.0
    allowance_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start."""

    classes: tuple[RequestClass, ...]
    zones: tuple[str, ...] = ()
    zone: int = 0
    kinds: tuple[str, ...] = ()
    index: int = 0
    replicas: int = 1
    period_ns: int = 1_000_000
    must_subscribe: bool = False
    clients_mark_retries: bool = False
    key_affinity: bool = False
    over_share_worth: float = 1.0
    limits: Limits = field(default_factory=Limits)
    invariants: Invariants = field(default_factory=Invariants)
    prices: Mapping[str, float] = field(default_factory=dict)
    tenants: tuple[Tenant, ...] = ()
    budget_share: float = 1.0  # of one sidecar's budgets, where several processes share them
    max_upgraded_per_server: int = (
        0  # connections of another protocol that a server may hold for us; 0: any number
    )

    @classmethod
    def parse(cls, raw: Any) -> Settings:
        """Build settings from the decoded settings object; raise SettingsError on what is unusable."""
        root = _Reader(raw, "settings")
        classes = tuple(_request_class(item) for item in root.items("classes"))
        if not classes:
            raise SettingsError("settings.classes is empty or absent")
        return cls(
            classes=classes,
            zones=tuple(str(z) for z in root.list("failureDomains")),
            zone=root.int("zone", 0),
            kinds=tuple(str(k) for k in root.list("kinds")),
            index=root.int("index", 0),
            replicas=max(1, root.int("replicasOfMe", 1)),
            period_ns=max(1, root.int("periodNs", 1_000_000)),
            must_subscribe=root.text("discovery", "automatic") == "subscribe",
            clients_mark_retries=root.sub("clients").flag("marksRetry"),
            key_affinity=root.sub("familyInfo").flag("warmKeys"),
            over_share_worth=root.number("overShareWorth", 1.0),
            limits=_limits(root.sub("limits")),
            invariants=_invariants(root.sub("invariants")),
            prices=root.sub("prices").numbers(),
            tenants=tuple(
                Tenant(t.text("name", ""), t.number("share", 1.0), t.number("allowancePerS", 0.0))
                for t in root.items("projects")
            ),
        )


class _Reader:
    """Typed access to one JSON object, with its path for messages."""

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"{path} is not an object")
        self._raw, self._path = raw, path

    def _get(self, key: str, kinds: tuple[type, ...], default: Any) -> Any:
        value = self._raw.get(key)
        if value is None:
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise SettingsError(f"{self._path}.{key} has a value of the wrong type: {value!r}")
        return value

    def int(self, key: str, default: int) -> int:
        return int(self.number(key, default))

    def number(self, key: str, default: float) -> float:
        """A finite number of at least 0: no setting has a meaning below."""
        value = self._get(key, (int, float), default)
        if not 0 <= value < float("inf"):
            raise SettingsError(f"{self._path}.{key} has to be a finite number of at least 0: {value!r}")
        return value

    def text(self, key: str, default: str) -> str:
        return self._get(key, (str,), default)

    def flag(self, key: str, default: bool = False) -> bool:
        return bool(self._get(key, (bool, int), default))

    def list(self, key: str) -> list[Any]:
        return self._get(key, (list,), [])

    def sub(self, key: str) -> _Reader:
        return _Reader(self._get(key, (dict,), {}), f"{self._path}.{key}")

    def items(self, key: str) -> Iterable[_Reader]:
        return [_Reader(item, f"{self._path}.{key}[{i}]") for i, item in enumerate(self.list(key))]

    def numbers(self) -> dict[str, float]:
        return {key: self.number(key, 0.0) for key in self._raw}


def _request_class(item: _Reader) -> RequestClass:
    deadline, name = item.int("hardLimitNs", 0), item.text("name", "")
    if deadline <= 0:
        raise SettingsError(f"{item._path}.hardLimitNs must be above 0")
    if not name:
        raise SettingsError(f"{item._path}.name is empty or absent")
    return RequestClass(
        name=name,
        aim_ns=min(item.int("onTimeNs", deadline) or deadline, deadline),
        deadline_ns=deadline,
        worth=item.number("credit", 1.0),
        late_worth=item.number("lateWorth", 0.0),
        repeat=item.text("repeat", "single_shot"),
        group=item.text("group", "all"),
        window_ns=item.int("windowNs", 0),
        stream=item.flag("stream"),
        aim_stretch=item.number("aimStretch", 0.0),
    )


def _limits(item: _Reader) -> Limits:
    return Limits(
        max_attempts=max(1, item.int("maxAttempts", 1)),
        hedging=item.flag("secondCopies"),
        peers=item.flag("peers"),
        retry_after=item.flag("retryAfter"),
        max_retry_after_ns=item.int("maxRetryAfterNs", 0),
        streams_per_conn=max(1, item.int("streamsPerConn", 1)),
        conn_idle_ns=item.int("connIdleNs", 15 * SECOND),
        connect_timeout_ns=item.int("connectTimeoutNs", SECOND // 4),
    )


def _invariants(item: _Reader) -> Invariants:
    return Invariants(
        slow_start_floor=min(1.0, max(0.01, item.number("coldFrom", 0.1))),
        slow_start_ns=max(1, item.int("coldNs", 30 * SECOND)),
        overload_multiple=max(1.0, item.number("fallMultiple", 2.0)),
        overload_window_ns=item.int("fallNs", SECOND),
        drain_grace_ns=item.int("drainGraceNs", 0),
        subscribe_within_ns=max(SECOND, item.int("mustAskInNs", 10 * SECOND)),
        answer_grace_ns=item.int("graceToAnswerNs", 0),
    )


# --- Events: what the instance sees -------------------------------------------------------------


class ServerEntry(NamedTuple):
    """One line of a server list."""

    server: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    lifecycle: str = "up"
    weight: float = 1.0
    started_ns: int = 0


class ServerListUpdate(NamedTuple):
    """An update of the list of servers. `scope` is INCREMENTAL, FULL, SAVED or FAILED."""

    scope: str
    entries: tuple[ServerEntry, ...] = ()


class RequestReceived(NamedTuple):
    """A client's request; exactly one final answer is owed. Its last byte came to this machine `age_ns` ago:
    so long it had to wait for this process. `ttl_ns` counts from now. `let_in` tells that the module was asked
    about that wait already."""

    tid: str
    cls: int
    ttl_ns: int
    cost_ns: int = 0
    tenant: int = 0
    key: str = ""
    retry: bool = False
    age_ns: int = 0
    admitted: bool = False
    upgrade: bool = False  # its answer, if it is served, is a connection that stays: see `Held`
    priority: float = 0.0  # in the fleet's one order of requests: see `Line`


class AttemptEnded(NamedTuple):
    """The one outcome of an attempt. `load` is the server's report, empty if none came. `lag_ns` is the
    server's and the network's time, `own_ns` what passed in this process besides."""

    tid: str
    status: int
    latency_ns: int
    server: str
    attempt: int
    closed: bool
    load: Mapping[str, float] = {}
    local_ns: int = 0


class ResponseStarted(NamedTuple):
    """A streamed answer has started: the attempt now belongs to the client."""

    tid: str


class ClientDisconnected(NamedTuple):
    """The client left; nothing more is owed."""

    tid: str


class UpgradedConnections(NamedTuple):
    """Connections of another protocol, each of them a call that was served, stand at a server: `change` more than
    before, or fewer."""

    server: str
    change: int


class PeerMessage(NamedTuple):
    """A message from another sidecar of this tier."""

    blob: bytes


class TimerFired(NamedTuple):
    """A timer asked for by `Defer` has come due."""

    tag: int


class ServerUnresponsive(NamedTuple):
    """A server is listed, and its process does not answer, as other evidence than outcomes tells."""

    server: str


class TierWarning(NamedTuple):
    """What the sidecars of the tier together make of servers and zones, in force until `until_ns`, in place of
    what was told before. `servers` have a class each, or -1 for all; `turns` are those whose one trial call is
    this sidecar's; `back` have a new process since that time."""

    until_ns: int
    servers: tuple[tuple[str, int], ...] = ()
    zones: tuple[int, ...] = ()
    probes: tuple[str, ...] = ()
    restarted: tuple[tuple[str, int], ...] = ()


class QuotaUpdate(NamedTuple):
    """This sidecar's part of a limit on a tenant's calls: so many a second, or in flight, until `until_ns`, then
    `then`. With no `amount` the limit is no more."""

    tenant: int
    in_flight: bool
    amount: float | None
    until_ns: int = 0
    fallback: float = 0.0
    burst_s: float = 1.0


class AdmissionThreshold(NamedTuple):
    """Where the fleet's overload line stands, in force until `until_ns`: a request whose place is `at` or past
    it is refused, to come back after a time drawn up to `hold_off_ns`. Of what all sidecars may spend together:
    `retries` are earned by one request, `saved` at most of them kept; a trial of one server, and a new
    connection to it, are `probe_interval_ns` and `connect_interval_ns` apart, or more (0: no such bound)."""

    until_ns: int = 0
    threshold: float = 0.0
    hold_off_ns: int = 0
    retries_per_request: float = 0.0
    max_saved_retries: float = 0.0
    probe_interval_ns: int = 0
    connect_interval_ns: int = 0


class Shutdown(NamedTuple):
    """The process ends: every call that is open is answered by `end_ns`, whatever its deadline. Calls that come
    later have that in their `ttl_ns`."""

    end_ns: int


Event = (
    ServerListUpdate | RequestReceived | AttemptEnded | ResponseStarted | ClientDisconnected | PeerMessage
    | TimerFired | ServerUnresponsive | UpgradedConnections | TierWarning | QuotaUpdate | AdmissionThreshold
    | Shutdown
)  # fmt: skip


# --- Actions: what the instance wants done ------------------------------------------------------


class Submit(NamedTuple):
    """Start the next attempt for a request, given up at `abandon_ns` and not begun past `begin_by_ns`, where that
    is not 0: a repeat is harmless until then only, however long its connection takes to come up."""

    tid: str
    server: str
    abandon_ns: int
    begin_by_ns: int = 0


class Refuse(NamedTuple):
    """Final answer: declined, and trying again is harmless."""

    tid: str
    hold_off_ns: int


class Fail(NamedTuple):
    """Final answer: failed, with no promise about effects."""

    tid: str


class CancelAttempt(NamedTuple):
    """Stop waiting for one attempt."""

    tid: str
    attempt: int


class Subscribe(NamedTuple):
    """Ask discovery for the list and its changes from now on."""


class SendToPeer(NamedTuple):
    """Send a short message to the peer with this index."""

    peer: int
    blob: bytes


class SetTimer(NamedTuple):
    """Ask for an `Alarm` after `in_ns`."""

    delay_ns: int
    tag: int


Action = Submit | Refuse | Fail | CancelAttempt | Subscribe | SendToPeer | SetTimer


# --- What operators may read --------------------------------------------------------------------


class ServerStatus(NamedTuple):
    """What the module believes of one server. Times are ns; `age_ns` is -1 where no start was told, `retry_ns`
    is how long until a trial is due, `bad` the share of late outcomes that failed, `why` empty where the server
    gets its share."""

    server: str
    up: bool
    steps: int
    step_size: float
    inflight: int
    age_ns: int
    probing: bool
    next_probe_ns: int
    failure_ratio: float
    connect_failures: int
    wait_ns: float
    reason: str
