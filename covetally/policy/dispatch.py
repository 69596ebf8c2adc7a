"""A call's way: sent, held in order, tried again, ended."""

from __future__ import annotations

from bisect import bisect

from covetally.interface import SetTimer
from covetally.policy.state import BalancerState
from covetally.policy.calls import Call
from covetally.policy.constants import RATIOS, SAFE
from covetally.policy.pick import choose, holds_more, trial_due
from covetally.policy.attempt_rules import finish, may_go, send
from covetally.policy.load_shedding import hopeless
from covetally.policy.estimates import mean_own


def last_moment(state: BalancerState, call: Call) -> int:
    """When holding a call further earns nothing; always before its client's time is up."""
    last = call.deadline - 2 * state.settings.period_ns
    if call.cls.late_worth > 0:
        return last
    return min(last, call.aim_at - int(call.size * state.service_ratio / 2))


def go(state: BalancerState, now: int, call: Call) -> bool:
    """Send the call or end it; False if it has to wait."""
    if state.up and not state.live_count and not any(trial_due(state, s, now) for s in state.up):
        # Every server is at k = 0 in trial or backoff: nothing can take it soon.
        finish(state, now, call, until_trial(state, now))
        return True
    server, trial, expect = choose(state, now, call)
    if server is None:
        if call.event.upgrade and not any(holds_more(state, s) for s in state.up):
            # Nobody knows when one of them ends: to hold the call would be to answer it late.
            finish(state, now, call, state.settings.limits.max_retry_after_ns)
            return True
        return False
    if not may_go(state, now, call, server):
        finish(state, now, call, come_back(state, now, call))
        return True
    odds = None
    if state.high_traffic:
        expect -= server.failure_ratio * call.cls.aim_ns  # a risk to be avoided in the pick, but no time it takes
    ratio = 0.0 if trial else (expect + mean_own(state, now)) / max(1, call.aim_at - now)
    if ratio > SAFE:
        odds = state.on_time_stats[bisect(RATIOS, ratio)]
        if hopeless(state, ratio, odds):
            finish(state, now, call, state.settings.limits.max_retry_after_ns)
            return True
    send(state, now, call, server, trial, odds)
    return True


def until_trial(state: BalancerState, now: int) -> int:
    """When a server is due for its next trial; where one is out, that takes about an aim to tell."""
    return min((state.wait_memory // 4 if s.probing else max(0, s.retry_at - now) for s in state.up), default=0)


def come_back(state: BalancerState, now: int, call: Call) -> int:
    """How long a client should wait: not at all if it could still be served in time, else the longest.

    Guards against retries for which nothing can be earned any more, but which cost as much as others.
    """
    in_time = call.cls.late_worth > 0 or now + call.size * state.service_ratio < call.aim_at
    return 0 if in_time else state.settings.limits.max_retry_after_ns


def try_again(state: BalancerState, now: int, call: Call) -> None:
    """After a failed attempt: another one if class, time and retry budget allow, else the end."""
    limit = call.deadline if call.cls.late_worth > 0 else call.aim_at
    if state.retry_tokens >= 1.0 and now + call.size * state.service_ratio / 2 < limit:
        server, trial, _ = choose(state, now, call)
        if server is not None and may_go(state, now, call, server):
            state.retry_tokens -= 1.0
            send(state, now, call, server, trial)
            return
    finish(state, now, call, come_back(state, now, call))


def hold(state: BalancerState, now: int, call: Call) -> None:
    call.give_up = last_moment(state, call)
    state.queue.append(call)
    arm(state, now)


def arm(state: BalancerState, now: int) -> None:
    if state.queue and state.timer_at <= now:
        state.timer_at = now + state.queue_check_ns
        state.actions.append(SetTimer(state.queue_check_ns, 1))


def pump(state: BalancerState, now: int) -> None:
    """Let held calls go in arrival order; end those whose time has run out."""
    held = state.queue
    if not held:
        return
    for call in [c for c in held if now + state.queue_check_ns >= c.give_up]:
        held.remove(call)
        finish(state, now, call, state.settings.limits.max_retry_after_ns)
    while held and go(state, now, held[0]):
        held.popleft()
    arm(state, now)
