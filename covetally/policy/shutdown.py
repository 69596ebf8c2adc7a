"""Shutdown of the process: no call is open past its end."""

from __future__ import annotations

from covetally.policy.state import BalancerState
from covetally.policy.dispatch import dispatch_queue, queue_deadline


def apply_shutdown(state: BalancerState, now: int, end: int) -> None:
    """Move the deadline of every open call to `end`, in ns, if it is later.

    Calls with pending attempts end with these, which the caller abandons by then. Queued calls are checked again,
    since one that had time to wait may have none left.
    """
    for call in state.calls.values():
        call.deadline = min(call.deadline, end)
        call.aim_at = min(call.aim_at, end)
    for call in state.queue:
        call.queue_until = queue_deadline(state, call)
    dispatch_queue(state, now)
