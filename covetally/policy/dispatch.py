"""Dispatches calls to servers, queues them while no server is available, and retries failed attempts."""

from __future__ import annotations

from bisect import bisect

from covetally.interface import SetTimer
from covetally.policy.state import BalancerState
from covetally.policy.calls import Call
from covetally.policy.constants import SAFE_TIME_RATIO, TIME_RATIO_BOUNDS
from covetally.policy.pick import can_hold_upgrade, choose_server, is_probe_due
from covetally.policy.attempt_rules import finish, may_attempt, send_attempt
from covetally.policy.load_shedding import should_shed
from covetally.policy.estimates import mean_local_delay


QUEUE_TIMER = 1  # tag of the timers of this module
MIN_TIMER_DELAY = 1_000  # in ns; a shorter timer could fire early again and again


def queue_deadline(state: BalancerState, call: Call) -> int:
    """Return the time from which queueing a call earns nothing; it is always before the call's deadline."""
    last = call.deadline - 2 * state.settings.period_ns
    if call.cls.late_worth > 0:
        return last
    return min(last, call.aim_at - int(call.size * state.service_ratio / 2))


def dispatch(state: BalancerState, now: int, call: Call) -> bool:
    """Send the call or finish it; return False if it has to wait."""
    if state.up and not state.live_count and not any(is_probe_due(state, s, now) for s in state.up):
        # Every server is ejected, and in backoff or being probed: none can take the call soon.
        finish(state, now, call, time_to_next_probe(state, now))
        return True
    server, probe, expected = choose_server(state, now, call)
    if server is None:
        if call.event.upgrade and not any(can_hold_upgrade(state, s) for s in state.up):
            # Upgraded connections may last for hours, so a queued call would be answered late.
            finish(state, now, call, state.settings.limits.max_retry_after_ns)
            return True
        return False
    if not may_attempt(state, now, call, server):
        finish(state, now, call, retry_hold_off(state, now, call))
        return True
    stats = None
    if state.high_traffic:
        expected -= server.failure_ratio * call.cls.aim_ns  # the risk counts in the choice, but takes no time
    ratio = 0.0 if probe else (expected + mean_local_delay(state, now)) / max(1, call.aim_at - now)
    if ratio > SAFE_TIME_RATIO:
        stats = state.on_time_stats[bisect(TIME_RATIO_BOUNDS, ratio)]
        if should_shed(state, ratio, stats):
            finish(state, now, call, state.settings.limits.max_retry_after_ns)
            return True
    send_attempt(state, now, call, server, probe, stats)
    return True


def time_to_next_probe(state: BalancerState, now: int) -> int:
    """Return the time until a server can be probed; a pending probe is taken to end in about one aim."""
    return min((state.wait_memory // 4 if s.probing else max(0, s.retry_at - now) for s in state.up), default=0)


def retry_hold_off(state: BalancerState, now: int, call: Call) -> int:
    """Return how long the client should wait: 0 if a retry could still be served in time, else the maximum.

    Guards against retries that can earn nothing any more but cost as much as others.
    """
    in_time = call.cls.late_worth > 0 or now + call.size * state.service_ratio < call.aim_at
    return 0 if in_time else state.settings.limits.max_retry_after_ns


def retry_or_finish(state: BalancerState, now: int, call: Call) -> None:
    """After a failed attempt, send another if class, time and retry tokens allow it, else finish the call."""
    limit = call.deadline if call.cls.late_worth > 0 else call.aim_at
    if state.retry_tokens >= 1.0 and now + call.size * state.service_ratio / 2 < limit:
        server, probe, _ = choose_server(state, now, call)
        if server is not None and may_attempt(state, now, call, server):
            state.retry_tokens -= 1.0
            send_attempt(state, now, call, server, probe)
            return
    finish(state, now, call, retry_hold_off(state, now, call))


def enqueue(state: BalancerState, now: int, call: Call) -> None:
    """Append the call to the queue."""
    call.queue_until = queue_deadline(state, call)
    state.queue.append(call)
    set_queue_timer(state, now)


def set_queue_timer(state: BalancerState, now: int) -> None:
    """Set the timer of the next look at the queue, unless it is empty or a timer is pending."""
    if state.queue and state.timer_at <= now:
        state.timer_at = now + state.queue_check_ns
        add_queue_timer(state, state.queue_check_ns)


def add_queue_timer(state: BalancerState, delay: int) -> None:
    """Set a timer for a look at the queue."""
    state.pending_timers += 1
    state.actions.append(SetTimer(max(delay, MIN_TIMER_DELAY), QUEUE_TIMER))


def dispatch_queue(state: BalancerState, now: int) -> None:
    """Dispatch queued calls in arrival order, and finish those whose time in the queue is over."""
    queue = state.queue
    if not queue:
        return
    for call in [c for c in queue if now + state.queue_check_ns >= c.queue_until]:
        queue.remove(call)
        finish(state, now, call, state.settings.limits.max_retry_after_ns)
    while queue and dispatch(state, now, queue[0]):
        queue.popleft()
    set_queue_timer(state, now)
