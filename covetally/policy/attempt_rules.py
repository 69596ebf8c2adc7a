"""Rules one and two: the only place that sends, refuses or fails."""

from __future__ import annotations

from covetally.interface import RequestReceived, Fail, Refuse, RequestClass, Submit
from covetally.policy.state import BalancerState
from covetally.policy.calls import Attempt, Call, Odds
from covetally.policy.constants import MUTE
from covetally.policy.server import Server


def may_go(state: BalancerState, now: int, call: Call, server: Server) -> bool:
    """Whether the class and the limits allow a further attempt on this server."""
    cls = call.cls
    if not server.up or call.begun or now >= call.deadline:
        return False
    if call.attempts >= state.settings.limits.max_attempts:
        return False
    if call.out and not state.settings.limits.hedging:
        return False
    if cls.repeat == "free":
        return True
    if call.out and cls.repeat != "guarded":
        return False
    ran_on, ran_at = call.ran_on, call.ran_at
    if ran_on is None:
        return not call.out  # no second copy of what is not free before the first is known to have run
    if cls.repeat != "guarded" or now >= ran_at + cls.window_ns:
        return False
    if cls.group == "zone":
        return server.zone == ran_on.zone
    return cls.group == "all" or (cls.group == "cell" and server.cell == ran_on.cell)


def may_refuse(state: BalancerState, call: Call) -> bool:
    """Whether telling the client that a retry is harmless would be true."""
    if call.cls.repeat == "free" or (call.ran_on is None and not call.out):
        return True
    return call.cls.repeat == "guarded" and call.cls.group == "all"


def send(
    state: BalancerState, now: int, call: Call, server: Server, trial: bool, odds: Odds | None = None
) -> None:
    if server.inflight >= server.connections or now - server.last_used > state.conn_idle:
        server.connections, server.connected_at = server.inflight + 1, now
    state.attempts[call.tid, call.attempts] = Attempt(
        server, trial, now, call.size, call.number, call.aim_at, odds
    )
    if not state.high_traffic and len(unheard := state.zone_unanswered.setdefault(server.zone, [])) < MUTE:
        unheard.append(now)
        state.zone_alert = state.zone_alert or len(unheard) == MUTE
    call.attempts += 1
    call.out += 1
    call.tried.append(server)
    server.inflight += 1
    server.last_used = now
    if trial:
        server.probing, server.probed_at = True, now
    state.update_available(server)
    abandon_at = call.deadline
    if now < call.aim_at < abandon_at and not call.cls.late_worth > 0:
        abandon_at = call.aim_at
    by = call.ran_at + call.cls.window_ns if call.ran_on and call.cls.repeat == "guarded" else 0
    state.actions.append(Submit(call.tid, server.name, abandon_at, by))


def finish(state: BalancerState, now: int, call: Call, hold_off: int) -> None:
    """Give the final answer: a refusal where that promise is true, else a failure."""
    del state.calls[call.tid]
    remember(state, call)
    if may_refuse(state, call):
        limits = state.settings.limits
        hold_off = min(hold_off, limits.max_retry_after_ns) if limits.retry_after else 0
        state.actions.append(Refuse(call.tid, hold_off))
    else:
        state.actions.append(Fail(call.tid))


def remember(state: BalancerState, call: Call) -> None:
    if len(state.unserved) >= 512:  # the oldest belong to clients that gave up long ago
        for look in list(state.unserved)[:256]:
            del state.unserved[look]
    state.unserved[call.look] = call.first


def first_try(state: BalancerState, now: int, event: RequestReceived, cls: RequestClass) -> int:
    """When the client first asked for what may be a retry: new ids, but the looks of a call that ended
    unserved."""
    first = state.unserved.pop((event.cls, event.tenant, event.key, event.cost_ns), now)
    return first if now - first < cls.deadline_ns else now
