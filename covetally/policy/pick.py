"""The pick: the less loaded of two random servers, and the trials of those that are out."""

from __future__ import annotations

from bisect import bisect
from zlib import crc32

from covetally.policy.state import Book
from covetally.policy.calls import Call
from covetally.policy.attempt_rules import may_go
from covetally.policy.server import Server
from covetally.policy.estimates import expected, mean_wait, ramp
from covetally.policy.outlier_detection import is_cut, is_warned, shuns

DRAWS = 12  # draws before a pick falls back on the set of servers under budget
KEY_LOOKS = 8  # points of the ring at which a key looks for an open connection
SUBSET = 4  # servers a silent sidecar draws from


def draw(b: Book, now: int, call: Call, turn: int, mean: float) -> Server | None:
    """One server from the source of draws: the group a repeat is bound to, key ring or own subset."""
    if call.ran_on is not None and call.cls.repeat == "guarded" and call.cls.group != "all":
        bound = call.ran_on
        members = b.groups.get(bound.cell if call.cls.group == "cell" else -1 - bound.zone)
        return members[int(b.random() * len(members))] if members else None
    if b.ring and call.event.key:
        return draw_key(b, now, call, turn, mean)
    if turn >= DRAWS // 2 and b.room:  # own servers are at budget: two of all with room
        return b.room[int(b.random() * len(b.room))]
    size = max(SUBSET, int(b.heard / 4)) + turn
    size = min(size, len(b.subset))
    return b.subset[int(b.random() * size)] if size else None


def draw_key(b: Book, now: int, call: Call, turn: int, mean: float) -> Server:
    """Exception "warm keys": the two candidates come from the key's place on the ring: the more servers the
    larger its share of the traffic, and first those with an open connection, a little further on."""
    count = b.keys.get(call.event.key, 1) - 1
    spread = 1.0 + 4.0 * len(b.up) * count / (b.keys_total + 8)
    step = turn + int(b.random() * spread)
    ring, at = b.ring, bisect(b.ring, (crc32(call.event.key.encode()),)) + step
    idle = turn < 2 and 8 * mean < call.cls.aim_ns
    for point in range(at, at + KEY_LOOKS * idle):
        server = ring[point % len(ring)][1]
        if server.inflight < server.peak and now - server.used <= b.conn_idle and server.slot >= 0:
            return server
    return ring[at % len(ring)][1]


def choose(b: Book, now: int, call: Call) -> tuple[Server | None, bool, float]:
    """The less loaded of two random servers; (server, is a trial, expected time)."""
    best: Server | None = None
    best_time = 0.0
    left = call.aim_at - now
    looks = 6 if call.size > 2.0 * b.size else 2
    drawn = 0
    mean, random, tried = mean_wait(b, now), b.random, call.tried
    subset, special = b.subset, call.ran_on is not None or bool(b.ring)
    joins = b.line.connect_gap_ns and now < b.line.until_ns
    least, most = max(SUBSET, int(b.heard / 4)), len(subset)
    if call.event.upgrade:
        return pick_holder(b, now, call, mean)
    for turn in range(DRAWS):
        if special or turn >= DRAWS // 2 or not most:
            server = draw(b, now, call, turn, mean)
            if server is None:
                return None, False, 0.0
        else:  # as `draw`, without the call
            size = least + turn
            server = subset[int(random() * (size if size < most else most))]
        if server is best or (tried and server in tried):
            continue
        if server.slot < 0 or b.cuts:
            warned = is_warned(b, now, server, call.number)
            if warned or not server.k or is_cut(b, now, server.zone):
                if may_probe(b, now, call, server, warned):
                    return server, True, 0.0
                continue
            if (server.fails and shuns(b, server, call)) or server.slot < 0:
                continue
        elif server.fails and shuns(b, server, call):
            continue
        if server.started > 0 and random() > ramp(b, server, now):
            continue
        opens = joins and (server.inflight >= server.peak or now - server.used > b.conn_idle)
        if opens and not has_turn(b, now, server, server.joined, connect=True):
            continue
        time = expected(b, server, call, now, mean)
        drawn += 1
        if best is None:
            best, best_time = server, time
        elif drawn > 2:
            # Exception "heavy call": few servers are fast and free enough for it, so look on for one.
            if time < best_time:
                best, best_time = server, time
        elif preferred(b, server, time, best, best_time, left):
            best, best_time = server, time
        if drawn >= 2 and (best_time <= left / 2 or drawn >= looks):
            break
    if best is None and b.room and call.ran_on is None:
        server = b.room[int(b.random() * len(b.room))]
        if server.started <= 0 or b.random() <= ramp(b, server, now):
            best, best_time = server, expected(b, server, call, now, mean)
    if best is None and not b.room and b.up:
        server = b.up[int(b.random() * len(b.up))]
        due = 0 < server.k < b.steps and trial_due(b, server, now)
        if due and may_go(b, now, call, server):
            return server, True, 0.0  # growth: calls wait at full budgets, so one passes as a trial
    return best, False, best_time


def pick_holder(b: Book, now: int, call: Call, mean: float) -> tuple[Server | None, bool, float]:
    """Exception "upgrade": the connection that a call becomes stays for hours, so the less loaded of two
    random servers is the one that holds fewer of those, and one that holds as many as it may is not drawn. It
    costs a look at all servers, which upgrades are few enough for."""
    able = [
        s for s in b.room
        if holds_more(b, s) and s not in call.tried and not is_cut(b, now, s.zone)
        and not is_warned(b, now, s, call.number)
        and (s.started <= 0 or b.random() <= ramp(b, s, now))
    ]  # fmt: skip
    if not able:
        trial = next((s for s in b.up if not s.k and may_probe(b, now, call, s, False)), None)
        return trial, trial is not None, 0.0
    two = [able[int(b.random() * len(able))] for _ in range(2)]
    best = min(two, key=lambda s: (s.held, s.inflight))
    return best, False, expected(b, best, call, now, mean)


def holds_more(b: Book, server: Server) -> bool:
    most = b.settings.held_per_server
    return not most or server.held + server.inflight < most


def preferred(b: Book, server: Server, time: float, best: Server, best_time: float, left: int) -> bool:
    """Whether a server drawn is to be preferred to the best so far."""
    if b.many and (time > left) != (best_time > left):
        # Exception "doomed pick": however few calls a slow server has, one more would be lost there. It
        # takes knowledge that is fresh, so it is for sidecars with many calls for each server.
        return time <= left
    return (server.inflight, time) < (best.inflight, best_time)


def may_probe(b: Book, now: int, call: Call, server: Server, warned: bool) -> bool:
    """A trial at k = 0. All sidecars together must not flood a server that comes back cold, nor may one
    sidecar spend every call on the dead half of a fleet that was cut in two. Where the tier avoids it, only
    the one whose turn it is tries, once."""
    if warned:
        if not server.turn or server.trial:
            return False
    elif not trial_due(b, server, now) or b.trials < 1.0 or not has_turn(b, now, server, server.tried):
        return False
    # A call that might die of a failed trial is spared while there is a server that would take it. But
    # aims may be shorter than the connect time-out: no call could spare that, and servers stayed out.
    spare = min(b.settings.limits.connect_timeout_ns, call.cls.aim_ns // 2)
    if b.live and call.aim_at - now - call.size * b.stretch < spare:
        return False
    if warned:
        server.turn = False
        return True
    if b.random() >= b.settings.invariants.cold_from:
        return False
    b.trials -= 1.0
    return True


def has_turn(b: Book, now: int, server: Server, last: int, connect: bool = False) -> bool:
    """Exception "turns": all sidecars together try a server, or open connections to it, only so often: each at
    moments of its own, which follow from both names. Where nothing else is left no turn is waited for."""
    line = b.line
    gap = line.connect_gap_ns if connect else line.trial_gap_ns
    if not gap or now >= line.until_ns or not b.live:
        return True
    phase = (server.phase ^ b.settings.index * 2654435761) % 2**32 * gap >> 32
    return (now + phase) // gap > (last + phase) // gap


def trial_due(b: Book, server: Server, now: int) -> bool:
    return not server.trial and now >= server.retry_at
