"""The pick: the less loaded of two random servers, and the trials of those that are out."""

from __future__ import annotations

from bisect import bisect
from zlib import crc32

from covetally.policy.state import BalancerState
from covetally.policy.calls import Call
from covetally.policy.attempt_rules import may_go
from covetally.policy.server import Server
from covetally.policy.estimates import expected_time, mean_wait, slow_start_share
from covetally.policy.outlier_detection import is_zone_cut, is_warned, shuns

DRAWS = 12  # draws before a pick falls back on the set of servers under budget
KEY_LOOKS = 8  # points of the ring at which a key looks for an open connection
SUBSET = 4  # servers a silent sidecar draws from


def draw(state: BalancerState, now: int, call: Call, turn: int, mean: float) -> Server | None:
    """One server from the source of draws: the group a repeat is bound to, key ring or own subset."""
    if call.ran_on is not None and call.cls.repeat == "guarded" and call.cls.group != "all":
        bound = call.ran_on
        members = state.groups.get(bound.cell if call.cls.group == "cell" else -1 - bound.zone)
        return members[int(state.random() * len(members))] if members else None
    if state.ring and call.event.key:
        return draw_by_key(state, now, call, turn, mean)
    if turn >= DRAWS // 2 and state.available:  # own servers are at budget: two of all with room
        return state.available[int(state.random() * len(state.available))]
    size = max(SUBSET, int(state.recent_requests / 4)) + turn
    size = min(size, len(state.subset))
    return state.subset[int(state.random() * size)] if size else None


def draw_by_key(state: BalancerState, now: int, call: Call, turn: int, mean: float) -> Server:
    """Exception "warm keys": the two candidates come from the key's place on the ring: the more servers the
    larger its share of the traffic, and first those with an open connection, a little further on."""
    count = state.key_counts.get(call.event.key, 1) - 1
    spread = 1.0 + 4.0 * len(state.up) * count / (state.key_total + 8)
    step = turn + int(state.random() * spread)
    ring, at = state.ring, bisect(state.ring, (crc32(call.event.key.encode()),)) + step
    idle = turn < 2 and 8 * mean < call.cls.aim_ns
    for point in range(at, at + KEY_LOOKS * idle):
        server = ring[point % len(ring)][1]
        if (
            server.inflight < server.connections
            and now - server.last_used <= state.conn_idle
            and server.available_index >= 0
        ):
            return server
    return ring[at % len(ring)][1]


def choose(state: BalancerState, now: int, call: Call) -> tuple[Server | None, bool, float]:
    """The less loaded of two random servers; (server, is a trial, expected time)."""
    best: Server | None = None
    best_time = 0.0
    left = call.aim_at - now
    looks = 6 if call.size > 2.0 * state.mean_size else 2
    drawn = 0
    mean, random, tried = mean_wait(state, now), state.random, call.tried
    subset, special = state.subset, call.ran_on is not None or bool(state.ring)
    joins = state.admission.connect_interval_ns and now < state.admission.until_ns
    least, most = max(SUBSET, int(state.recent_requests / 4)), len(subset)
    if call.event.upgrade:
        return pick_holder(state, now, call, mean)
    for turn in range(DRAWS):
        if special or turn >= DRAWS // 2 or not most:
            server = draw(state, now, call, turn, mean)
            if server is None:
                return None, False, 0.0
        else:  # as `draw`, without the call
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
            if (server.class_failures and shuns(state, server, call)) or server.available_index < 0:
                continue
        elif server.class_failures and shuns(state, server, call):
            continue
        if server.started > 0 and random() > slow_start_share(state, server, now):
            continue
        opens = joins and (server.inflight >= server.connections or now - server.last_used > state.conn_idle)
        if opens and not has_turn(state, now, server, server.connected_at, connect=True):
            continue
        time = expected_time(state, server, call, now, mean)
        drawn += 1
        if best is None:
            best, best_time = server, time
        elif drawn > 2:
            # Exception "heavy call": few servers are fast and free enough for it, so look on for one.
            if time < best_time:
                best, best_time = server, time
        elif is_better(state, server, time, best, best_time, left):
            best, best_time = server, time
        if drawn >= 2 and (best_time <= left / 2 or drawn >= looks):
            break
    if best is None and state.available and call.ran_on is None:
        server = state.available[int(state.random() * len(state.available))]
        if server.started <= 0 or state.random() <= slow_start_share(state, server, now):
            best, best_time = server, expected_time(state, server, call, now, mean)
    if best is None and not state.available and state.up:
        server = state.up[int(state.random() * len(state.up))]
        due = 0 < server.steps < state.max_steps and trial_due(state, server, now)
        if due and may_go(state, now, call, server):
            return server, True, 0.0  # growth: calls wait at full budgets, so one passes as a trial
    return best, False, best_time


def pick_holder(state: BalancerState, now: int, call: Call, mean: float) -> tuple[Server | None, bool, float]:
    """Exception "upgrade": the connection that a call becomes stays for hours, so the less loaded of two
    random servers is the one that holds fewer of those, and one that holds as many as it may is not drawn. It
    costs a look at all servers, which upgrades are few enough for."""
    able = [
        s for s in state.available
        if holds_more(state, s) and s not in call.tried and not is_zone_cut(state, now, s.zone)
        and not is_warned(state, now, s, call.number)
        and (s.started <= 0 or state.random() <= slow_start_share(state, s, now))
    ]  # fmt: skip
    if not able:
        trial = next((s for s in state.up if not s.steps and may_probe(state, now, call, s, False)), None)
        return trial, trial is not None, 0.0
    two = [able[int(state.random() * len(able))] for _ in range(2)]
    best = min(two, key=lambda s: (s.upgraded, s.inflight))
    return best, False, expected_time(state, best, call, now, mean)


def holds_more(state: BalancerState, server: Server) -> bool:
    most = state.settings.max_upgraded_per_server
    return not most or server.upgraded + server.inflight < most


def is_better(
    state: BalancerState, server: Server, time: float, best: Server, best_time: float, left: int
) -> bool:
    """Whether a server drawn is to be preferred to the best so far."""
    if state.high_traffic and (time > left) != (best_time > left):
        # Exception "doomed pick": however few calls a slow server has, one more would be lost there. It
        # takes knowledge that is fresh, so it is for sidecars with many calls for each server.
        return time <= left
    return (server.inflight, time) < (best.inflight, best_time)


def may_probe(state: BalancerState, now: int, call: Call, server: Server, warned: bool) -> bool:
    """A trial at k = 0. All sidecars together must not flood a server that comes back cold, nor may one
    sidecar spend every call on the dead half of a fleet that was cut in two. Where the tier avoids it, only
    the one whose turn it is tries, once."""
    if warned:
        if not server.probe_turn or server.probing:
            return False
    elif (
        not trial_due(state, server, now)
        or state.probe_tokens < 1.0
        or not has_turn(state, now, server, server.probed_at)
    ):
        return False
    # A call that might die of a failed trial is spared while there is a server that would take it. But
    # aims may be shorter than the connect time-out: no call could spare that, and servers stayed out.
    spare = min(state.settings.limits.connect_timeout_ns, call.cls.aim_ns // 2)
    if state.live_count and call.aim_at - now - call.size * state.service_ratio < spare:
        return False
    if warned:
        server.probe_turn = False
        return True
    if state.random() >= state.settings.invariants.slow_start_floor:
        return False
    state.probe_tokens -= 1.0
    return True


def has_turn(state: BalancerState, now: int, server: Server, last: int, connect: bool = False) -> bool:
    """Exception "turns": all sidecars together try a server, or open connections to it, only so often: each at
    moments of its own, which follow from both names. Where nothing else is left no turn is waited for."""
    line = state.admission
    gap = line.connect_interval_ns if connect else line.probe_interval_ns
    if not gap or now >= line.until_ns or not state.live_count:
        return True
    phase = (server.phase ^ state.settings.index * 2654435761) % 2**32 * gap >> 32
    return (now + phase) // gap > (last + phase) // gap


def trial_due(state: BalancerState, server: Server, now: int) -> bool:
    return not server.probing and now >= server.retry_at
