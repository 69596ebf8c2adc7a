"""What is turned away: where this process is late, and where no answer could be in time."""

from __future__ import annotations

from covetally.policy.state import BalancerState
from covetally.policy.calls import Odds
from covetally.policy.constants import SAFE

DOUBT = 20.0  # late calls of a class of ratios that weigh as much as what is supposed without any


def overload_hold_off(state: BalancerState, now: int, age: int, retry: bool) -> int:
    """Whether a request that has waited here for `age` is let in: 0 if so, else after how many ns its client
    may come back. It need not have been read: nothing else of it counts.

    Exception "overload": more has come than this process can work through. Guards against a queue of
    requests that wait to be read, where each is served too late, its client asks again, and all work is
    wasted. A short burst is served whole. Once some have always waited for over a quarter of the shortest
    aim, for an aim, those are refused at once, which costs a fraction of serving them, and so is whoever asks
    again: the time told before was longer than the aim. The others are served; it ends when none waits so
    long any more. It ought to catch whatever makes this process slower than what comes: a smaller share of a
    core, dearer requests, crowds of connections. It could do harm where the ages are wrong.
    """
    late = age > state.queue_age_limit
    if late:
        if now - state.last_late_at > state.wait_memory // 4:  # an aim without one: the queue had gone
            state.late_since = now
        state.last_late_at = now
    elif not state.shedding:
        return 0
    state.shedding = state.last_late_at - state.late_since > state.wait_memory // 4 >= now - state.last_late_at
    if not state.shedding or not (late or retry):
        return 0
    return max(1, state.settings.limits.max_retry_after_ns)


def hopeless(state: BalancerState, ratio: float, odds: Odds) -> bool:
    """Exception "shedding": the best server found would answer about when the aim is over or later.

    What is supposed of such calls gives way to how they fared of late, where there were enough of them: a
    sidecar with much traffic soon knows how far its own expectations can be trusted. Random, so that a
    thousand sidecars with the same old news don't all stop and start together.
    """
    supposed = 0.5 - min(0.95, (ratio - SAFE) * 2.0) / 2.0
    hit = (odds.hits + DOUBT * supposed) / (odds.tries + DOUBT)
    return state.random() < min(0.95, 1.0 - 2.0 * hit)
