"""The end of the process: no call is waited for past it."""

from __future__ import annotations

from covetally.policy.state import BalancerState
from covetally.policy.dispatch import last_moment, pump


def end_by(state: BalancerState, now: int, end: int) -> None:
    """Move the deadline of every open call to `end`, in ns, where it is later.

    Calls whose attempts are out end with those, which the caller gives up by then. Held calls are looked at
    again: one that had time to wait may have none left.
    """
    for call in state.calls.values():
        call.deadline = min(call.deadline, end)
        call.aim_at = min(call.aim_at, end)
    for call in state.queue:
        call.give_up = last_moment(state, call)
    pump(state, now)
