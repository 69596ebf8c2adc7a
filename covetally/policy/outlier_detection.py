"""What failures cost a server, a zone or a class on a server, and what the tier says of them."""

from __future__ import annotations

from covetally.interface import NOT_EXECUTED, ServerUnresponsive, TierWarning
from covetally.policy.state import BalancerState
from covetally.policy.calls import Attempt, Call
from covetally.policy.constants import (
    CONNECT_FAILED,
    ERROR,
    FULL,
    GAIN,
    LONE,
    MUTE,
    RESET,
    UNUSABLE_RESPONSE,
    STEPS,
    TIMEOUT,
)
from covetally.policy.server import Server
from covetally.policy.estimates import slow_start_share

DEAD = 3  # failed connections in a row that show a dead process to a sidecar with many calls for each server
STREAK = 0.6  # failure average past which spoilt answers convict: three in a row
SHUN = 0.25  # failure average of a class on one server past which that server may be shunned for it
TASTE = 1 / 32  # share of such calls that a shunned server gets all the same, to show that it is well again
CUT = 0.6  # failure average past which a zone counts as cut off: three failed connections in a row


def clear(state: BalancerState, now: int, attempt: Attempt) -> None:
    """A served call speaks for its server."""
    server, number = attempt.server, attempt.cls
    for fails, gain in ((server.class_failures, GAIN / 2), (state.class_failures, GAIN / 16)):
        if share := fails.get(number, 0.0):
            fails[number] = share - share * gain
    server.failure_ratio *= 1.0 - GAIN
    if state.zone_failures.get(server.zone):
        set_zone_failures(state, server.zone, 0.0)
    state.failure_ratio -= state.failure_ratio * GAIN / 16
    if attempt.trial:
        if not server.steps:
            state.live_count += server.up
        server.steps = min(server.steps + 1, state.max_steps)
        server.backoff = server.retry_at = 0
    if server.step_size < server.max_step_size:
        server.step_size = min(server.max_step_size, server.step_size + GAIN / 8)
    if server.connect_failures:
        if server.connect_failures >= (DEAD if state.high_traffic else 1):
            # Connections failed and now work: it restarted before the list says so; treat it as cold.
            server.started = max(server.started, now)
        server.connect_failures = 0


def blame(state: BalancerState, now: int, attempt: Attempt, how: int) -> None:
    """A failure may cost its server steps, or all of them."""
    server, number = attempt.server, attempt.cls
    if how not in NOT_EXECUTED and how != UNUSABLE_RESPONSE:  # which may come from any server: see "spoilt" below
        for fails, gain in ((server.class_failures, GAIN / 2), (state.class_failures, GAIN / 16)):
            share = fails.get(number, 0.0)
            fails[number] = share + (1.0 - share) * gain
    if how != TIMEOUT:
        server.failure_ratio += (1.0 - server.failure_ratio) * GAIN
        state.failure_ratio += (1.0 - state.failure_ratio) * GAIN / 16
    before = server.steps
    lone = how not in (TIMEOUT, FULL) and is_lone(state, server)
    if attempt.trial and not (lone and before):
        server.backoff = min(max(2 * server.backoff, state.horizon), 8 * state.horizon)
        back_off(state, now, server)
    elif how in (CONNECT_FAILED, RESET) and before:
        if not lone or how == CONNECT_FAILED:  # which takes the last step only where few are out
            server.steps = max(int(lone or not may_convict(state)), server.steps // 2)
    elif (
        how == UNUSABLE_RESPONSE and before and not lone and server.failure_ratio > STREAK and may_convict(state)
    ):
        # Exception "spoilt": one bad answer may come from any server; a streak of them is this server's.
        server.steps = 0
    if how == FULL:
        server.step_size = max(1.0 / STEPS, server.step_size * 0.7)
    if how == ERROR and server.steps and not lone and may_convict(state):
        # Exception "conviction": failing servers answer fast, look idle and would draw all traffic.
        server.steps = 0
    if how == CONNECT_FAILED or (how == TIMEOUT and only_silent(state, server.zone, attempt.sent)):
        # Exception "cut zone": when a link is cut, learning it server by server costs a call for each.
        set_zone_failures(state, server.zone, state.zone_failures.get(server.zone, 0.0) * (1.0 - GAIN) + GAIN)
    server.connect_failures += how == CONNECT_FAILED
    if before and not server.steps:
        state.live_count -= server.up
        if not attempt.trial:
            server.backoff = max(server.backoff, state.horizon)
            back_off(state, now, server)


def only_silent(state: BalancerState, zone: int, since: int) -> bool:
    """Whether nothing sent to a zone since then was answered, and something sent elsewhere was. On kept
    connections a cut link shows as time-outs; where all zones are slow together it is none."""
    if state.high_traffic or state.zone_answered_at.get(zone, 0) > since:
        return False
    return any(at > since for other, at in state.zone_answered_at.items() if other != zone)


def is_zone_cut(state: BalancerState, now: int, zone: int) -> bool:
    """Whether a zone counts as cut off: calls to it failed, or the first of some calls there has waited for
    half an aim and none was answered, while a call sent elsewhere since was."""
    if state.zone_failures.get(zone, 0.0) > CUT or (zone in state.warned_zones and now < state.warnings_until):
        return True
    unheard = state.zone_unanswered.get(zone, ())
    if len(unheard) < MUTE or now - unheard[0] < state.wait_memory // 8:
        return False
    return only_silent(state, zone, unheard[0])


def set_zone_failures(state: BalancerState, zone: int, share: float) -> None:
    state.zone_failures[zone] = share
    state.zone_alert = any(share > CUT for share in state.zone_failures.values()) or any(
        len(sent) == MUTE for sent in state.zone_unanswered.values()
    )
    state.zone_alert = state.zone_alert or bool(state.warned_servers or state.warned_zones)


def warn(state: BalancerState, now: int, event: TierWarning) -> None:
    """Exception "warned": what many sidecars found is a reason to try elsewhere first, and to leave the trial
    to the one whose turn it is. It is no verdict: nothing learned here changes, it ends by itself, and where
    there is nowhere else to go such a server is called as any other.
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
    return (
        bool(server.warned_classes)
        and now < state.warnings_until
        and (-1 in server.warned_classes or cls in server.warned_classes)
    )


def back_off(state: BalancerState, now: int, server: Server) -> None:
    server.probed_at = now  # its turns count from here
    server.retry_at = now + int(server.backoff * (0.75 + 0.5 * state.random()))


def suspect(state: BalancerState, now: int, event: ServerUnresponsive) -> None:
    """Exception "suspect": no new work but trials, as after a conviction, for a server said to be hung."""
    server = state.servers.get(event.server)
    if server is None or not server.up or not server.steps or not may_convict(state):
        return
    server.steps = 0
    state.live_count -= 1
    server.backoff = max(server.backoff, state.horizon)
    back_off(state, now, server)
    state.update_available(server)


def is_lone(state: BalancerState, server: Server) -> bool:
    """Exception "lone failure": no verdict on a failure that may be chance, where more calls soon tell.

    Connections and answers may break under healthy servers all the time. Where each of those costs a
    server its steps, k never grows back. So a sidecar with many calls for each server waits for failures
    beyond what all servers show; one with few calls cannot, and takes the first failure for a verdict.
    """
    return state.high_traffic and server.failure_ratio <= LONE + 2.0 * min(state.failure_ratio, 0.2)


def may_convict(state: BalancerState) -> bool:
    """When most servers look bad the cause is shared, and convicting more only costs capacity."""
    return 2 * state.live_count > len(state.up)


def shuns(state: BalancerState, server: Server, call: Call) -> bool:
    """Exception "shunned class": the server fails this call's class, and others serve it well.

    Guards against servers that are well but for one kind of request, which the other kinds' answers hide
    from every verdict on the server as a whole. It ought to catch whatever one class needs and one server
    lacks, be it time-outs, errors or resets. Where all servers fail a class about alike, none is
    shunned for it. It could do harm where a class is rare and its failures are chance: it then meets
    fewer servers for a while.
    """
    fails = server.class_failures.get(call.number, 0.0)
    if fails <= SHUN or fails <= 2.0 * state.class_failures[call.number] or not state.high_traffic:
        return False
    return state.random() >= TASTE


def why_less(state: BalancerState, server: Server, now: int) -> str:
    """Why a server gets less than its share, empty if it does not."""
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
