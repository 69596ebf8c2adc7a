"""Exception "tenant limit": this sidecar's quotas of the limits that the tier shares."""

from __future__ import annotations

from covetally.interface import QuotaUpdate
from covetally.policy.quota import Quota
from covetally.policy.state import BalancerState


def limit_hold_off(state: BalancerState, now: int, tenant: int) -> int:
    """Return 0 if the tenant may have one more call here, else after how many ns its client should retry.

    Every quota of the tenant counts the call, so that the demand for each is known.
    """
    quotas = state.quotas.get(tenant)
    if not quotas:
        return 0
    in_flight = sum(1 for c in state.calls.values() if c.event.tenant == tenant)
    used_up = [quota for quota in quotas if not quota.admits(now, in_flight)]
    if not used_up:
        for quota in quotas:
            quota.tokens -= not quota.update.in_flight
        return 0
    # A call in flight ends within about one aim; a rate knows when it has earned the next call.
    return max(state.wait_memory // 4 if quota.update.in_flight else quota.time_to_next(now) for quota in used_up)


def apply_quota(state: BalancerState, now: int, event: QuotaUpdate) -> None:
    """Add, change or remove one of a tenant's quotas."""
    quotas = state.quotas.setdefault(event.tenant, [])
    known = next((quota for quota in quotas if quota.update.in_flight == event.in_flight), None)
    if known is not None:
        known.refill(now)
        known.update = event
        known.refill(now)  # limits the saved tokens to the bucket of the new quota
        if event.amount is None:
            quotas.remove(known)
    elif event.amount is not None:
        quotas.append(Quota(event, now))
    if not quotas:
        del state.quotas[event.tenant]


def demand(state: BalancerState) -> dict[tuple[int, bool], int]:
    """Return the demand since the last call of this function, by tenant and whether the limit is on calls in
    flight.

    It is the number of calls that came or, for limits on calls in flight, the most that were or wanted to be in
    flight.
    """
    found = {}
    for tenant, quotas in state.quotas.items():
        for quota in quotas:
            found[tenant, quota.update.in_flight] = quota.demand
            quota.demand = 0
    return found
