"""Settings, events and actions of the balancer. All times are whole nanoseconds on one clock.

`Settings.parse` reads the settings object that an instance receives at its start. Every optional key that is
absent gets its default here, so the code in `covetally/policy` never meets a missing key.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

SECOND = 1_000_000_000


class AttemptStatus(enum.IntEnum):
    """How an attempt ended."""

    OK = 100
    ERROR = 301
    FULL = 302  # the server had no capacity and rejected the request without running it
    TIMEOUT = 303
    CONNECT_FAILED = 304
    RESET = 305
    CANCELLED = 306
    NOT_SENT = 307
    UNUSABLE_RESPONSE = 308  # only from real sockets: the response cannot be used, so the attempt may have run


NOT_EXECUTED = frozenset({AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT})
"""Statuses that prove that the attempt had no effect."""


class SettingsError(ValueError):
    """The settings object cannot be used; the message names the key."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: what an answer is worth, when it is on time, and how it may be retried.

    `repeat` is `free` (may run any number of times), `guarded` (the servers of a `group`, which is `all`, `zone`
    or `cell`, recognise a repeat for `window_ns`) or `single_shot` (must not run twice). `aim_stretch` adds that
    multiple of the request's expected service time to the aim.
    """

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
    """What the site permits: attempts, hedging, peer messages, retry hints and connection limits."""

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
    """Parameters of the four rules that a sidecar has to keep.

    A server that has just started has the share `slow_start_floor` of its capacity, and all of it after
    `slow_start_ns`; it fails when more than `overload_multiple` times its capacity arrives in
    `overload_window_ns`.
    """

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
    """The settings of one instance.

    `zone` is the instance's own zone and `index` its index among the `replicas` sidecars of the tier; `kinds` are
    the types of servers. Queued calls are finished two `period_ns` before their deadline. `prices` are the costs
    of a cross-zone call and of a new connection, as shares of the aim.
    """

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
    budget_share: float = 1.0  # of one sidecar's budgets, where several worker processes share them
    max_upgraded_per_server: int = 0  # upgraded connections from this sidecar to one server; 0: no limit

    @classmethod
    def parse(cls, raw: Any) -> Settings:
        """Build settings from the decoded settings object; raise SettingsError if it cannot be used."""
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
    """Typed access to one JSON object; keeps the object's path for error messages."""

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"{path} is not an object")
        self._raw, self._path = raw, path

    def _get(self, key: str, types: tuple[type, ...], default: Any) -> Any:
        value = self._raw.get(key)
        if value is None:
            return default
        if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise SettingsError(f"{self._path}.{key} has a value of the wrong type: {value!r}")
        return value

    def int(self, key: str, default: int) -> int:
        return int(self.number(key, default))

    def number(self, key: str, default: float) -> float:
        """Return a finite number of at least 0: no setting has a meaning below 0."""
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


# --- Events: inputs of the balancer -------------------------------------------------------------


class ServerEntry(NamedTuple):
    """One entry of a server list."""

    server: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    lifecycle: str = "up"
    weight: float = 1.0
    started_ns: int = 0


class ServerListUpdate(NamedTuple):
    """An update of the server list. `scope` is INCREMENTAL, FULL, SAVED (a stored copy) or FAILED (no list)."""

    scope: str
    entries: tuple[ServerEntry, ...] = ()


class RequestReceived(NamedTuple):
    """A client's request; exactly one final answer is owed.

    Its last byte reached this machine `age_ns` ago and has waited for this process since. `ttl_ns` counts from
    now. `admitted` says that `Balancer.overload_hold_off` has already admitted it despite that wait.
    """

    tid: str
    cls: int
    ttl_ns: int
    cost_ns: int = 0
    tenant: int = 0
    key: str = ""
    retry: bool = False
    age_ns: int = 0
    admitted: bool = False
    upgrade: bool = False  # if served, its connection stays open for another protocol: see `UpgradedConnections`
    priority: float = 0.0  # rank in the fleet's common order, larger is shed first: see `AdmissionThreshold`


class AttemptEnded(NamedTuple):
    """The one result of an attempt.

    `load` is the server's load report, empty if none came. `latency_ns` is the time of the server and the
    network, `local_ns` the time that passed in this process on top of it. `closed` says that the request has been
    answered or its client has left. `unconfirmed` says that another server than the one on the list may have got
    it: a new one at the same address.
    """

    tid: str
    status: int
    latency_ns: int
    server: str
    attempt: int
    closed: bool
    load: Mapping[str, float] = {}
    local_ns: int = 0
    unconfirmed: bool = False


class ResponseStarted(NamedTuple):
    """A streamed response has started; the request cannot be retried any more."""

    tid: str


class ClientDisconnected(NamedTuple):
    """The client left; no answer is owed any more."""

    tid: str


class UpgradedConnections(NamedTuple):
    """The number of open upgraded connections to a server changed by `change`.

    Each of them comes from a request that was served and whose connection now carries another protocol.
    """

    server: str
    change: int


class PeerMessage(NamedTuple):
    """A message from another sidecar of this tier."""

    blob: bytes


class TimerFired(NamedTuple):
    """A timer set with `SetTimer` is due."""

    tag: int


class ServerUnresponsive(NamedTuple):
    """A listed server does not respond, according to evidence other than attempts, such as health checks."""

    server: str


class TierWarning(NamedTuple):
    """The tier's joint view of failing servers and zones. It holds until `until_ns` and replaces the last one.

    `servers` lists the servers to avoid, each with a class, or -1 for all classes; `probes` names those whose
    single probe is assigned to this sidecar; `restarted` lists the servers that have a new process, with the time
    of it.
    """

    until_ns: int
    servers: tuple[tuple[str, int], ...] = ()
    zones: tuple[int, ...] = ()
    probes: tuple[str, ...] = ()
    restarted: tuple[tuple[str, int], ...] = ()


class QuotaUpdate(NamedTuple):
    """This sidecar's quota of a limit on a tenant's requests, per second or in flight.

    It is `amount` until `until_ns` and `fallback` afterwards. An `amount` of None removes the limit.
    """

    tenant: int
    in_flight: bool
    amount: float | None
    until_ns: int = 0
    fallback: float = 0.0
    burst_s: float = 1.0


class AdmissionThreshold(NamedTuple):
    """The fleet's admission threshold, in force until `until_ns`.

    A request whose priority is at or above `threshold` is refused, with a random hold-off between half of
    `hold_off_ns` and all of it. The other fields bound what all sidecars spend together: a request earns
    `retries_per_request` retries, of which `max_saved_retries` can be saved up; two probes of a server, and two
    new connections to it, are at least `probe_interval_ns` and `connect_interval_ns` apart (0: no bound).
    """

    until_ns: int = 0
    threshold: float = 0.0
    hold_off_ns: int = 0
    retries_per_request: float = 0.0
    max_saved_retries: float = 0.0
    probe_interval_ns: int = 0
    connect_interval_ns: int = 0


class Shutdown(NamedTuple):
    """The process is shutting down: every open request is answered by `end_ns`, even if its deadline is later.

    Requests that arrive afterwards already have this limit in their `ttl_ns`.
    """

    end_ns: int


Event = (
    ServerListUpdate | RequestReceived | AttemptEnded | ResponseStarted | ClientDisconnected | PeerMessage
    | TimerFired | ServerUnresponsive | UpgradedConnections | TierWarning | QuotaUpdate | AdmissionThreshold
    | Shutdown
)  # fmt: skip


# --- Actions: outputs of the balancer -----------------------------------------------------------


class Submit(NamedTuple):
    """Start the next attempt of a request and give it up at `abandon_ns`.

    If `begin_by_ns` is not 0, the attempt must not be sent after it, however long its connection takes to come
    up: a repeat is harmless only until then. With `confirmed_only` it must not be sent unless it is certain that
    the process at the server's address is the one on the list: a repeat is harmless only in a group of servers.
    """

    tid: str
    server: str
    abandon_ns: int
    begin_by_ns: int = 0
    confirmed_only: bool = False


class Refuse(NamedTuple):
    """Final answer: the request was refused, and retrying it is harmless."""

    tid: str
    hold_off_ns: int


class Fail(NamedTuple):
    """Final answer: the request failed and may have had an effect."""

    tid: str


class CancelAttempt(NamedTuple):
    """Stop waiting for one attempt."""

    tid: str
    attempt: int


class Subscribe(NamedTuple):
    """Subscribe to the server list and its changes at discovery in `delay_ns`, unless a subscription is open by
    then. Whoever carries this out knows whether one is open, and reports its end with the scope FAILED."""

    delay_ns: int


class SendToPeer(NamedTuple):
    """Send a short message to the peer with this index."""

    peer: int
    blob: bytes


class SetTimer(NamedTuple):
    """Request a `TimerFired` event after `delay_ns`."""

    delay_ns: int
    tag: int


Action = Submit | Refuse | Fail | CancelAttempt | Subscribe | SendToPeer | SetTimer


# --- Status for operators -----------------------------------------------------------------------


class ServerStatus(NamedTuple):
    """The balancer's view of one server, for operators.

    Times are in ns. `steps` times `step_size` is the budget of calls in flight. `age_ns` is -1 if no start time
    is known, `next_probe_ns` the time until a probe is due, `failure_ratio` the moving average of failed
    attempts. `reason` says why the server gets less than its share, and is empty if it does not.
    """

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
