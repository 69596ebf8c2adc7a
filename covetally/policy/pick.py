"""Chooses a server for a call: the less loaded of two random servers, or an ejected one that is due for a
probe."""

from __future__ import annotations

from bisect import bisect
from zlib import crc32

from covetally.policy.state import BalancerState
from covetally.policy.calls import Call
from covetally.policy.attempt_rules import may_attempt
from covetally.policy.server import Server
from covetally.policy.estimates import expected_time, mean_wait, slow_start_share
from covetally.policy.outlier_detection import avoids_class, is_warned, is_zone_cut

MAX_DRAWS = 12  # draws before the choice falls back on the servers below budget
KEY_RING_LOOKUPS = 8  # ring points at which a key looks for an open connection
MIN_SUBSET = 4  # servers that a sidecar without traffic draws from


def draw_server(state: BalancerState, now: int, call: Call, turn: int, mean: float) -> Server | None:
    """Draw a server from the group that a repeat is bound to, from the key's ring, or from the own subset."""
    if call.executed_on is not None and call.cls.repeat == "guarded" and call.cls.group != "all":
        executed_on = call.executed_on
        members = state.groups.get(executed_on.cell if call.cls.group == "cell" else -1 - executed_on.zone)
        return members[int(state.random() * len(members))] if members else None
    if state.ring and call.event.key:
        return draw_by_key(state, now, call, turn, mean)
    if turn >= MAX_DRAWS // 2 and state.available:  # the own subset is at budget: draw from all servers below it
        return state.available[int(state.random() * len(state.available))]
    size = max(MIN_SUBSET, int(state.recent_requests / 4)) + turn
    size = min(size, len(state.subset))
    return state.subset[int(state.random() * size)] if size else None


def draw_by_key(state: BalancerState, now: int, call: Call, turn: int, mean: float) -> Server:
    """Exception "key affinity": draw from the ring points that follow the key's hash.

    The larger the key's share of the traffic, the more servers it is spread over. The first draws prefer a server
    with an open connection a little further along the ring.
    """
    count = state.key_counts.get(call.event.key, 1) - 1
    spread = 1.0 + 4.0 * len(state.up) * count / (state.key_total + 8)
    step = turn + int(state.random() * spread)
    ring, at = state.ring, bisect(state.ring, (crc32(call.event.key.encode()),)) + step
    prefer_open = turn < 2 and 8 * mean < call.cls.aim_ns
    for point in range(at, at + KEY_RING_LOOKUPS * prefer_open):
        server = ring[point % len(ring)][1]
        if (
            server.inflight < server.connections
            and now - server.last_used <= state.conn_idle
            and server.available_index >= 0
        ):
            return server
    return ring[at % len(ring)][1]


def choose_server(state: BalancerState, now: int, call: Call) -> tuple[Server | None, bool, float]:
    """Return the less loaded of two random servers, whether the call is a probe there, and its expected time.

    The server is None if the call has to wait.
    """
    best: Server | None = None
    best_time = 0.0
    left = call.aim_at - now
    wanted = 6 if call.size > 2.0 * state.mean_size else 2
    drawn = 0
    mean, random, tried = mean_wait(state, now), state.random, call.tried_servers
    subset, special = state.subset, call.executed_on is not None or bool(state.ring)
    limited = state.admission.connect_interval_ns and now < state.admission.until_ns
    least, most = max(MIN_SUBSET, int(state.recent_requests / 4)), len(subset)
    if call.event.upgrade:
        return choose_for_upgrade(state, now, call, mean)
    for turn in range(MAX_DRAWS):
        if special or turn >= MAX_DRAWS // 2 or not most:
            server = draw_server(state, now, call, turn, mean)
            if server is None:
                return None, False, 0.0
        else:  # `draw_server`, inlined for speed
            size = least + turn
            server = subset[int(random() * (size if size < most else most))]
        if server is best or (tried and server in tried):
            continue
        if server.available_index < 0 or state.zone_alert:
            warned = is_warned(state, now, server, call.number)
            if warned or not server.steps or is_zone_cut(state, now, server.zone):
                if may_probe(state, now, call, server, warned):
                    return server, True, 0.0
                continue
            if (server.class_failures and avoids_class(state, server, call)) or server.available_index < 0:
                continue
        elif server.class_failures and avoids_class(state, server, call):
            continue
        if server.started > 0 and random() > slow_start_share(state, server, now):
            continue
        opens = limited and (server.inflight >= server.connections or now - server.last_used > state.conn_idle)
        if opens and not has_turn(state, now, server, server.connected_at, connect=True):
            continue
        time = expected_time(state, server, call, now, mean)
        drawn += 1
        if best is None:
            best, best_time = server, time
        elif drawn > 2:
            # Exception "large call": few servers are fast and idle enough for it, so draw more of them.
            if time < best_time:
                best, best_time = server, time
        elif is_better(state, server, time, best, best_time, left):
            best, best_time = server, time
        if drawn >= 2 and (best_time <= left / 2 or drawn >= wanted):
            break
    if best is None and state.available and call.executed_on is None:
        server = state.available[int(state.random() * len(state.available))]
        if server.started <= 0 or state.random() <= slow_start_share(state, server, now):
            best, best_time = server, expected_time(state, server, call, now, mean)
    if best is None and not state.available and state.up:
        server = state.up[int(state.random() * len(state.up))]
        due = 0 < server.steps < state.max_steps and is_probe_due(state, server, now)
        if due and may_attempt(state, now, call, server):
            return server, True, 0.0  # all budgets are full, so one call probes whether the server can take more
    return best, False, best_time


def choose_for_upgrade(
    state: BalancerState, now: int, call: Call, mean: float
) -> tuple[Server | None, bool, float]:
    """Exception "upgrade": choose the one with fewer upgraded connections of two random servers below their
    limit.

    The connection that the call becomes may stay open for hours. This looks at all servers, which is acceptable
    because upgrades are rare.
    """
    eligible = [
        s for s in state.available
        if can_hold_upgrade(state, s) and s not in call.tried_servers and not is_zone_cut(state, now, s.zone)
        and not is_warned(state, now, s, call.number)
        and (s.started <= 0 or state.random() <= slow_start_share(state, s, now))
    ]  # fmt: skip
    if not eligible:
        probe = next((s for s in state.up if not s.steps and may_probe(state, now, call, s, False)), None)
        return probe, probe is not None, 0.0
    two = [eligible[int(state.random() * len(eligible))] for _ in range(2)]
    best = min(two, key=lambda s: (s.upgraded, s.inflight))
    return best, False, expected_time(state, best, call, now, mean)


def can_hold_upgrade(state: BalancerState, server: Server) -> bool:
    """Whether the server may get one more upgraded connection; every call in flight may become one."""
    most = state.settings.max_upgraded_per_server
    return not most or server.upgraded + server.inflight < most


def is_better(
    state: BalancerState, server: Server, time: float, best: Server, best_time: float, left: int
) -> bool:
    """Whether the drawn server is better than the best so far; `left` is the time left of the call's aim."""
    if state.high_traffic and (time > left) != (best_time > left):
        # Exception "late pick": a call sent to a slow server would be late there, however few calls it has. This
        # needs fresh estimates, so it applies with high traffic only.
        return time <= left
    return (server.inflight, time) < (best.inflight, best_time)


def may_probe(state: BalancerState, now: int, call: Call, server: Server, warned: bool) -> bool:
    """Whether this call may probe an ejected server or one that the tier warns of.

    Probes are random, so that all sidecars together do not flood a server that comes back cold, and take a token,
    so that one sidecar does not spend every call on the unreachable half of a partitioned fleet. A server that
    the tier warns of gets one probe, from the sidecar that it is assigned to.
    """
    if warned:
        if not server.probe_turn or server.probing:
            return False
    elif (
        not is_probe_due(state, server, now)
        or state.probe_tokens < 1.0
        or not has_turn(state, now, server, server.probed_at)
    ):
        return False
    # While another server could take the call, it must have time for a retry after a failed probe. The reserve is
    # bounded by the aim: where aims are shorter than the connect timeout, no call probed without that bound, and
    # servers stayed ejected.
    reserve = min(state.settings.limits.connect_timeout_ns, call.cls.aim_ns // 2)
    if state.live_count and call.aim_at - now - call.size * state.service_ratio < reserve:
        return False
    if warned:
        server.probe_turn = False
        return True
    if state.random() >= state.settings.invariants.slow_start_floor:
        return False
    state.probe_tokens -= 1.0
    return True


def has_turn(state: BalancerState, now: int, server: Server, last: int, connect: bool = False) -> bool:
    """Exception "time slots": whether this sidecar's time slot for a probe or a new connection has come.

    It limits how often all sidecars together probe a server, or open connections to it. Slots are one interval
    apart, with an offset that follows from the server's name and the sidecar's index. If no server is live, no
    slot is waited for.
    """
    admission = state.admission
    interval = admission.connect_interval_ns if connect else admission.probe_interval_ns
    if not interval or now >= admission.until_ns or not state.live_count:
        return True
    phase = (server.phase ^ state.settings.index * 2654435761) % 2**32 * interval >> 32
    return (now + phase) // interval > (last + phase) // interval


def is_probe_due(state: BalancerState, server: Server, now: int) -> bool:
    """Whether the server's backoff is over and no probe of it is pending."""
    return not server.probing and now >= server.retry_at
