"""Load shedding: refuses requests when this process is overloaded or no answer could be in time."""

from __future__ import annotations

from covetally.policy.state import BalancerState
from covetally.policy.calls import OnTimeStats
from covetally.policy.constants import SAFE_TIME_RATIO

PRIOR_WEIGHT = 20.0  # weight of the assumed on-time share, in recent calls of the same bucket


def overload_hold_off(state: BalancerState, now: int, age: int, retry: bool) -> int:
    """Return 0 if a request that has waited here for `age` is admitted, else its hold-off in ns.

    The request need not have been read, since nothing else of it counts.

    Exception "overload": more requests arrive than this process can handle. Guards against a queue of unread
    requests in which each is served too late, its client retries, and all work is wasted. Shedding starts when,
    for the duration of one aim, there are always requests that have waited for more than a quarter of the
    shortest aim. A short burst is thus served completely. Requests that waited that long are then refused at
    once, which costs a fraction of serving them, and so are retries, since the hold-off of their first refusal
    was longer than the aim. All other requests are served. Shedding ends when no request has waited that long for
    one aim.

    This should cover all causes that make this process slower than its input: a smaller share of a core, more
    expensive requests, many connections at once. Wrong ages would make it refuse requests needlessly.
    """
    late = age > state.queue_age_limit
    if late:
        if now - state.last_late_at > state.wait_memory // 4:  # one aim without a late request: a new run begins
            state.late_since = now
        state.last_late_at = now
    elif not state.shedding:
        return 0
    state.shedding = state.last_late_at - state.late_since > state.wait_memory // 4 >= now - state.last_late_at
    if not state.shedding or not (late or retry):
        return 0
    return max(1, state.settings.limits.max_retry_after_ns)


def should_shed(state: BalancerState, ratio: float, stats: OnTimeStats) -> bool:
    """Exception "shedding": the best server found would answer at about the end of the aim, or later.

    The assumed share of such calls that are on time gives way to the measured one as recent calls add up, so a
    sidecar with much traffic soon learns how far to trust its estimates. The decision is random, so that a
    thousand sidecars with the same outdated estimates do not stop and start together.
    """
    assumed = 0.5 - min(0.95, (ratio - SAFE_TIME_RATIO) * 2.0) / 2.0
    on_time = (stats.on_time + PRIOR_WEIGHT * assumed) / (stats.total + PRIOR_WEIGHT)
    return state.random() < min(0.95, 1.0 - 2.0 * on_time)
