"""Exception "limit": what this sidecar may use of limits that the tier holds together."""

from __future__ import annotations

from covetally.interface import QuotaUpdate
from covetally.policy.quota import Quota
from covetally.policy.state import BalancerState


def over_limit(state: BalancerState, now: int, tenant: int) -> int:
    """Exception "limit": 0 if the tenant may have one more call here, of what the tier holds together; else
    when to come back. Every limit counts the call, so that what is wanted of each is known."""
    limits = state.quotas.get(tenant)
    if not limits:
        return 0
    open_ = sum(1 for c in state.calls.values() if c.event.tenant == tenant)
    full = [limit for limit in limits if not limit.admits(now, open_)]
    if not full:
        for limit in limits:
            limit.tokens -= not limit.told.in_flight
        return 0
    # A call in flight ends within about an aim; a rate tells when.
    return max(state.wait_memory // 4 if limit.told.in_flight else limit.wait(now) for limit in full)


def allot(state: BalancerState, now: int, event: QuotaUpdate) -> None:
    limits = state.quotas.setdefault(event.tenant, [])
    known = next((limit for limit in limits if limit.told.in_flight == event.in_flight), None)
    if known is not None:
        known.refill(now)
        known.told = event
        known.refill(now)  # what was saved up of a larger part is not kept
        if event.amount is None:
            limits.remove(known)
    elif event.amount is not None:
        limits.append(Quota(event, now))
    if not limits:
        del state.quotas[event.tenant]


def demand(state: BalancerState) -> dict[tuple[int, bool], int]:
    """By tenant and kind of limit: calls that came, or the most that were in flight or wanted to be, since
    this was last read."""
    found = {}
    for tenant, limits in state.quotas.items():
        for limit in limits:
            found[tenant, limit.told.in_flight] = limit.asked
            limit.asked = 0
    return found
