"""Rules one and two: exactly one final answer, and no repeat that could do harm.

Only this module sends attempts, refuses requests or fails them.
"""

from __future__ import annotations

from covetally.interface import Fail, Refuse, RequestClass, RequestReceived, Submit
from covetally.policy.state import BalancerState
from covetally.policy.calls import Attempt, Call, OnTimeStats
from covetally.policy.constants import SILENT_ZONE_CALLS
from covetally.policy.server import Server


def may_attempt(state: BalancerState, now: int, call: Call, server: Server) -> bool:
    """Whether the request's class and the limits allow an attempt on this server."""
    cls = call.cls
    if not server.up or call.response_started or now >= call.deadline:
        return False
    if call.attempts >= state.settings.limits.max_attempts:
        return False
    if call.outstanding and not state.settings.limits.hedging:
        return False
    if cls.repeat == "free":
        return True
    if call.outstanding and cls.repeat != "guarded":
        return False
    executed_on, executed_at = call.executed_on, call.executed_at
    if executed_on is None:
        return not call.outstanding  # only free classes are hedged before it is known what was executed where
    if cls.repeat != "guarded" or now >= executed_at + cls.window_ns:
        return False
    if call.executed_unconfirmed and cls.group != "all":
        return False  # the group of the server that may have executed it is not known
    if cls.group == "zone":
        return server.zone == executed_on.zone
    return cls.group == "all" or (cls.group == "cell" and server.cell == executed_on.cell)


def may_refuse(state: BalancerState, call: Call) -> bool:
    """Whether a refusal, which tells the client that a retry is harmless, would be true."""
    if call.cls.repeat == "free" or (call.executed_on is None and not call.outstanding):
        return True
    return call.cls.repeat == "guarded" and call.cls.group == "all"


def send_attempt(
    state: BalancerState, now: int, call: Call, server: Server, probe: bool, stats: OnTimeStats | None = None
) -> None:
    """Submit the next attempt of a call and record it."""
    if server.inflight >= server.connections or now - server.last_used > state.conn_idle:
        server.connections, server.connected_at = server.inflight + 1, now
    state.attempts[call.tid, call.attempts] = Attempt(
        server, probe, now, call.size, call.number, call.aim_at, stats
    )
    if not state.high_traffic and len(sent := state.unanswered.setdefault(server.zone, [])) < SILENT_ZONE_CALLS:
        sent.append(now)
        state.zone_alert = state.zone_alert or len(sent) == SILENT_ZONE_CALLS
    call.attempts += 1
    call.outstanding += 1
    call.tried_servers.append(server)
    server.inflight += 1
    server.last_used = now
    if probe:
        server.probing, server.probed_at = True, now
    state.update_available(server)
    abandon_at = call.deadline
    if now < call.aim_at < abandon_at and not call.cls.late_worth > 0:
        abandon_at = call.aim_at
    repeat = call.executed_on is not None and call.cls.repeat == "guarded"
    begin_by = call.executed_at + call.cls.window_ns if repeat else 0
    confirmed_only = repeat and call.cls.group != "all"
    state.actions.append(Submit(call.tid, server.name, abandon_at, begin_by, confirmed_only))


def finish(state: BalancerState, now: int, call: Call, hold_off: int) -> None:
    """Give the final answer: a refusal if its promise is true, else a failure."""
    del state.calls[call.tid]
    remember_unserved(state, call)
    if may_refuse(state, call):
        limits = state.settings.limits
        hold_off = min(hold_off, limits.max_retry_after_ns) if limits.retry_after else 0
        state.actions.append(Refuse(call.tid, hold_off))
    else:
        state.actions.append(Fail(call.tid))


def remember_unserved(state: BalancerState, call: Call) -> None:
    """Record when an unserved request first came, so that its client's retry can be recognised."""
    if len(state.unserved) >= 512:  # the clients of the oldest ones gave up long ago
        for signature in list(state.unserved)[:256]:
            del state.unserved[signature]
    state.unserved[call.retry_signature] = call.first_at


def first_asked_at(state: BalancerState, now: int, event: RequestReceived, cls: RequestClass) -> int:
    """Return when the client first sent the request, which may be a retry.

    A retry has a new id but the same signature as a call that ended unserved.
    """
    first = state.unserved.pop((event.cls, event.tenant, event.key, event.cost_ns), now)
    return first if now - first < cls.deadline_ns else now
