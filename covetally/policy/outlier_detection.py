"""Outlier detection: what failures cost a server, a zone, or a class on a server, and the tier's warnings."""

from __future__ import annotations

from covetally.interface import NOT_EXECUTED, ServerUnresponsive, TierWarning
from covetally.policy.state import BalancerState
from covetally.policy.calls import Attempt, Call
from covetally.policy.constants import (
    CONNECT_FAILED,
    ERROR,
    FULL,
    GAIN,
    ISOLATED_FAILURE_RATIO,
    MAX_STEPS,
    RESET,
    SILENT_ZONE_CALLS,
    TIMEOUT,
    UNUSABLE_RESPONSE,
)
from covetally.policy.server import Server
from covetally.policy.estimates import slow_start_share

DEAD_CONNECT_FAILURES = 3  # consecutive failed connections that show a dead process, with high traffic
EJECT_FAILURE_RATIO = 0.6  # failure average above which unusable responses eject: three in a row
AVOID_CLASS_RATIO = 0.25  # failure average of a class on one server above which the server may be avoided for it
CLASS_PROBE_SHARE = 1 / 32  # share of such calls that an avoided server still gets, to show that it has recovered
ZONE_CUT_RATIO = 0.6  # failure average above which a zone counts as cut off: three failed connections in a row


def record_success(state: BalancerState, now: int, attempt: Attempt) -> None:
    """Lower the failure averages after a served call; a successful probe adds a concurrency step."""
    server, number = attempt.server, attempt.cls
    for failures, gain in ((server.class_failures, GAIN / 2), (state.class_failures, GAIN / 16)):
        if ratio := failures.get(number, 0.0):
            failures[number] = ratio - ratio * gain
    server.failure_ratio *= 1.0 - GAIN
    if state.zone_failures.get(server.zone):
        set_zone_failures(state, server.zone, 0.0)
    state.failure_ratio -= state.failure_ratio * GAIN / 16
    if attempt.probe:
        if not server.steps:
            state.live_count += server.up
        server.steps = min(server.steps + 1, state.max_steps)
        server.backoff = server.retry_at = 0
    if server.step_size < server.max_step_size:
        server.step_size = min(server.max_step_size, server.step_size + GAIN / 8)
    if server.connect_failures:
        if server.connect_failures >= (DEAD_CONNECT_FAILURES if state.high_traffic else 1):
            # Connections failed and work again: the process restarted before the list shows it, so it is cold.
            server.started = max(server.started, now)
        server.connect_failures = 0


def record_failure(state: BalancerState, now: int, attempt: Attempt, status: int) -> None:
    """Raise the failure averages; depending on the status, take steps from the server or eject it."""
    server, number = attempt.server, attempt.cls
    if status not in NOT_EXECUTED and status != UNUSABLE_RESPONSE:  # any server may send one; see below
        for failures, gain in ((server.class_failures, GAIN / 2), (state.class_failures, GAIN / 16)):
            ratio = failures.get(number, 0.0)
            failures[number] = ratio + (1.0 - ratio) * gain
    if status != TIMEOUT:
        server.failure_ratio += (1.0 - server.failure_ratio) * GAIN
        state.failure_ratio += (1.0 - state.failure_ratio) * GAIN / 16
    steps = server.steps
    isolated = status not in (TIMEOUT, FULL) and is_isolated_failure(state, server)
    if attempt.probe and not (isolated and steps):
        server.backoff = min(max(2 * server.backoff, state.horizon), 8 * state.horizon)
        start_backoff(state, now, server)
    elif status in (CONNECT_FAILED, RESET) and steps:
        if not isolated or status == CONNECT_FAILED:  # an isolated failure never takes the last step
            server.steps = max(int(isolated or not may_eject(state)), server.steps // 2)
    elif (
        status == UNUSABLE_RESPONSE
        and steps
        and not isolated
        and server.failure_ratio > EJECT_FAILURE_RATIO
        and may_eject(state)
    ):
        # Exception "unusable responses": any server may send one; a run of them is this server's fault.
        server.steps = 0
    if status == FULL:
        server.step_size = max(1.0 / MAX_STEPS, server.step_size * 0.7)
    if status == ERROR and server.steps and not isolated and may_eject(state):
        # Exception "ejection": failing servers answer fast, look idle and would attract all traffic.
        server.steps = 0
    if status == CONNECT_FAILED or (
        status == TIMEOUT and is_only_silent_zone(state, server.zone, attempt.sent_at)
    ):
        # Exception "cut zone": to learn of a broken link server by server would cost a call for each.
        set_zone_failures(state, server.zone, state.zone_failures.get(server.zone, 0.0) * (1.0 - GAIN) + GAIN)
    server.connect_failures += status == CONNECT_FAILED
    if steps and not server.steps:
        state.live_count -= server.up
        if not attempt.probe:
            server.backoff = max(server.backoff, state.horizon)
            start_backoff(state, now, server)


def is_only_silent_zone(state: BalancerState, zone: int, since: int) -> bool:
    """Whether no call sent to a zone since then got a response, but one sent to another zone did.

    On open connections a broken link shows as timeouts. If all zones time out together, the link is not the
    cause.
    """
    if state.high_traffic or state.zone_answered_at.get(zone, 0) > since:
        return False
    return any(at > since for other, at in state.zone_answered_at.items() if other != zone)


def is_zone_cut(state: BalancerState, now: int, zone: int) -> bool:
    """Whether a zone counts as cut off from this sidecar.

    It does if most recent calls to it failed, if the tier warns of it, or if the oldest of several unanswered
    calls there has waited for half an aim, while a call sent elsewhere since then got a response.
    """
    if state.zone_failures.get(zone, 0.0) > ZONE_CUT_RATIO or (
        zone in state.warned_zones and now < state.warnings_until
    ):
        return True
    sent = state.unanswered.get(zone, ())
    if len(sent) < SILENT_ZONE_CALLS or now - sent[0] < state.wait_memory // 8:
        return False
    return is_only_silent_zone(state, zone, sent[0])


def set_zone_failures(state: BalancerState, zone: int, ratio: float) -> None:
    """Set a zone's failure average and update `zone_alert`, which lets the common path skip `is_zone_cut`."""
    state.zone_failures[zone] = ratio
    state.zone_alert = any(ratio > ZONE_CUT_RATIO for ratio in state.zone_failures.values()) or any(
        len(sent) == SILENT_ZONE_CALLS for sent in state.unanswered.values()
    )
    state.zone_alert = state.zone_alert or bool(state.warned_servers or state.warned_zones)


def apply_warning(state: BalancerState, now: int, event: TierWarning) -> None:
    """Exception "tier warning": avoid the servers and zones that the tier warns of.

    What many sidecars observed is a reason to prefer other servers, and to leave the probe to the sidecar that it
    is assigned to. It is not an ejection: nothing learned here changes, the warning expires, and if there is no
    other server, such a server is called like any other.
    """
    for server in state.warned_servers:
        server.warned_classes, server.probe_turn = (), False
    state.warnings_until, state.warned_servers, state.warned_zones = event.until_ns, [], event.zones
    for name, cls in event.servers:
        if (server := state.servers.get(name)) is not None:
            server.warned_classes = (*server.warned_classes, cls)
            server.probe_turn = name in event.probes
            state.warned_servers.append(server)
    for name, since in event.restarted:
        if (server := state.servers.get(name)) is not None:
            server.started = max(server.started, since)
    set_zone_failures(state, state.settings.zone, state.zone_failures.get(state.settings.zone, 0.0))


def is_warned(state: BalancerState, now: int, server: Server, cls: int = -1) -> bool:
    """Whether a tier warning is in force for the server, and for this class or all classes."""
    return (
        bool(server.warned_classes)
        and now < state.warnings_until
        and (-1 in server.warned_classes or cls in server.warned_classes)
    )


def start_backoff(state: BalancerState, now: int, server: Server) -> None:
    """Schedule the next probe of a server after its backoff, with jitter."""
    server.probed_at = now  # its time slots count from here: see `has_turn`
    server.retry_at = now + int(server.backoff * (0.75 + 0.5 * state.random()))


def mark_unresponsive(state: BalancerState, now: int, event: ServerUnresponsive) -> None:
    """Exception "unresponsive server": a server reported as hung gets probes only, like an ejected one."""
    server = state.servers.get(event.server)
    if server is None or not server.up or not server.steps or not may_eject(state):
        return
    server.steps = 0
    state.live_count -= 1
    server.backoff = max(server.backoff, state.horizon)
    start_backoff(state, now, server)
    state.update_available(server)


def is_isolated_failure(state: BalancerState, server: Server) -> bool:
    """Exception "isolated failure": ignore a failure that may be chance if more calls will soon tell.

    Connections and responses of healthy servers may break at any time. If each such failure took a server's
    steps, they would never grow back. So a sidecar with high traffic waits for more failures than all servers
    show; one with little traffic cannot, and acts on the first.
    """
    return state.high_traffic and server.failure_ratio <= ISOLATED_FAILURE_RATIO + 2.0 * min(
        state.failure_ratio, 0.2
    )


def may_eject(state: BalancerState) -> bool:
    """Whether another server may be ejected.

    If most servers look bad they share a cause, and ejecting more would only cost capacity.
    """
    return 2 * state.live_count > len(state.up)


def avoids_class(state: BalancerState, server: Server, call: Call) -> bool:
    """Exception "avoided class": the server fails calls of this class that others serve well.

    Guards against servers that are healthy but for one kind of request. The successes of the other kinds hide
    this from all detection that looks at the server as a whole. It should cover anything that a class needs and
    one server lacks, whether that shows as timeouts, errors or resets. If all servers fail a class at similar
    rates, none is avoided for it. A rare class whose failures are chance gets fewer servers for a while.
    """
    failures = server.class_failures.get(call.number, 0.0)
    if (
        failures <= AVOID_CLASS_RATIO
        or failures <= 2.0 * state.class_failures[call.number]
        or not state.high_traffic
    ):
        return False
    return state.random() >= CLASS_PROBE_SHARE


def limiting_reason(state: BalancerState, server: Server, now: int) -> str:
    """Return why a server gets less than its share, or an empty string if it does not."""
    if not server.up:
        return "leaving"
    if not server.steps:
        return "on trial" if server.probing else "in backoff" if now < server.retry_at else "due for a trial"
    if is_zone_cut(state, now, server.zone):
        return "its zone is cut off"
    if is_warned(state, now, server):
        return "the tier's turn to try it" if server.probe_turn else "avoided by the tier"
    if slow_start_share(state, server, now) < 1.0:
        return "cold"
    return "at budget" if server.inflight >= server.budget else ""
