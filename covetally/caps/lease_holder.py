"""One sidecar's leases on units of a cap: what each owner has lent, what is wanted, what expires when. No I/O.

A grant counts only if it answers the last request to that owner: any grant that is in transit when a request is
sent is void, and the owner takes `held` of that request as what is there. Units lapse one lease after the request
was SENT that the last grant answered, which is before the owner may lend them to another holder.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from covetally.caps.rule import Mode, Rule
from covetally.interface import SECOND

RETRY_NS = SECOND // 4  # first pause between requests to an owner that does not answer; doubles up to 2 s
MAX_OWNERS_AT_ONCE = 4  # owners asked for more units at a time
REQUEST_INTERVAL_NS = SECOND // 20  # until the next owners are asked
RECALL_TIMEOUT_NS = SECOND // 2  # an owner that still wants a unit back has repeated the recall by then
RETURN_DELAY_NS = SECOND // 4  # a unit that is not needed is returned after this time


class LeaseRequest(NamedTuple):
    """A request to the owner with index `owner`; the module `owner` says how it is processed."""

    owner: int
    number: int
    held: int
    wanted: int


@dataclass(slots=True)
class _Lease:
    """What one owner has lent to this sidecar."""

    number: int = 0  # of the last request
    held: int = 0
    sent_at: int = 0  # when the last request was sent
    requested: int = 0  # units wanted in it
    queued: int = 0  # of these, not granted yet: this holder is in the owner's queue for them
    answered: bool = True
    expires_at: int = 0
    retry_at: int = 0  # no more units are requested before
    unanswered: int = 0  # requests in a row without an answer
    recalled: int = 0  # units that the owner wants back and that are still in use
    recalled_at: int = 0


class LeaseHolder:
    """One sidecar's units of a cap, over all owners."""

    def __init__(self, rule: Rule, me: int, now: int, first_number: int = 0) -> None:
        self.rule, self.me = rule, me
        self.needed = 0  # units in use or wanted now
        self._first_number = first_number
        self._leases = {owner: _Lease(number=first_number) for owner in rule.owners()}
        self._order = self._request_order()
        self._requested_at = now
        self._surplus_since = now
        self._was_idle = False

    def _request_order(self) -> list[int]:
        """Return the owners in the order to ask them: itself first, then from a different start per member."""
        owners = list(self.rule.owners())
        turn = self.me % len(owners) if owners else 0
        order = owners[turn:] + owners[:turn]
        return sorted(order, key=lambda owner: owner != self.me)

    def update_rule(self, now: int, rule: Rule) -> None:
        """Apply a changed cap or list of members. Units keep their leases until these lapse or are recalled."""
        self.rule = rule
        for owner in rule.owners():
            self._leases.setdefault(owner, _Lease(number=self._first_number))
        self._order = self._request_order()

    def held(self, now: int) -> int:
        """Return how many units this sidecar has now."""
        return sum(lease.held for lease in self._leases.values() if self._is_valid(lease, now))

    def usable(self, now: int) -> int:
        """Return how many units may be used now: those held, without the recalled ones."""
        return self.held(now) - sum(min(lease.recalled, lease.held) for lease in self._leases.values())

    def _is_valid(self, lease: _Lease, now: int) -> bool:
        return self.rule.mode is Mode.NEVER or now < lease.expires_at

    def expires_at(self, now: int) -> int:
        """Return when the next lease expires; 0 if none does."""
        if self.rule.mode is Mode.NEVER:
            return 0
        return min(
            (lease.expires_at for lease in self._leases.values() if lease.held and now < lease.expires_at),
            default=0,
        )

    def tick(self, now: int, in_use: int, idle: int = 0) -> list[LeaseRequest]:
        """Renew leases, request the units that are needed and return those that are not.

        `in_use` connections are open, of which `idle` are idle. Owners are informed when connections become idle,
        since another holder may be waiting.
        """
        becomes_idle = idle > 0 and not self._was_idle
        self._was_idle = idle > 0
        if self.rule.mode is Mode.LAPSES:
            for lease in self._leases.values():
                if lease.held and now >= lease.expires_at:
                    lease.held = 0
        out: list[LeaseRequest] = []
        held = self.held(now)
        if self.needed >= held:
            self._surplus_since = now
        surplus = held - self.needed if now - self._surplus_since >= RETURN_DELAY_NS else 0
        for owner, lease in self._leases.items():
            if lease.recalled and now - lease.recalled_at >= RECALL_TIMEOUT_NS:
                lease.recalled = 0  # the idle connections are in use again, and nobody waits any more
            renew = lease.held and (becomes_idle or now - lease.sent_at >= self.rule.lease_ns // 2)
            # In the queue it would be lent units that others want, which stay unused here for RETURN_DELAY_NS.
            leave_queue = lease.queued and lease.answered and self.needed <= held
            retry = not lease.answered and now - lease.sent_at >= min(
                RETRY_NS << min(lease.unanswered, 3), 2 * SECOND
            )
            recalled = lease.held if owner not in self.rule.owners() else min(lease.recalled, lease.held)
            returned = max(min(surplus, lease.held), min(recalled, held - in_use), 0)
            if renew or retry or returned or leave_queue:
                lease.unanswered = lease.unanswered + 1 if retry else 0
                surplus -= returned
                held -= returned
                lease.held -= returned
                lease.recalled = max(0, lease.recalled - returned)
                out.append(self._request(now, owner, lease, 0))
        return out + self._request_missing(now)

    def _request_missing(self, now: int) -> list[LeaseRequest]:
        out: list[LeaseRequest] = []
        in_transit = sum(lease.requested for lease in self._leases.values() if not lease.answered)
        missing = self.needed - self.held(now) - in_transit
        if missing <= 0 or now - self._requested_at < REQUEST_INTERVAL_NS:
            return out
        self._requested_at = now
        # Owners that were asked longest ago come first: otherwise the same few would be asked over and over.
        for owner in sorted(self._order, key=lambda owner: self._leases[owner].sent_at):
            if missing <= 0 or len(out) >= MAX_OWNERS_AT_ONCE:
                break
            lease = self._leases[owner]
            if lease.recalled:
                continue
            if lease.answered and now >= lease.retry_at:
                wanted = min(missing, max(1, self.rule.owned_units(owner)))
                out.append(self._request(now, owner, lease, wanted))
                missing -= wanted
        return out

    def _request(self, now: int, owner: int, lease: _Lease, wanted: int) -> LeaseRequest:
        lease.number += 1
        lease.sent_at, lease.answered, lease.requested, lease.queued = now, False, wanted, wanted
        return LeaseRequest(owner, lease.number, lease.held, wanted)

    def handle_grant(self, now: int, owner: int, number: int, lent: int, retry_delay_ns: int) -> None:
        """Process an owner's answer to a request; ignored unless it answers the last one."""
        lease = self._leases.get(owner)
        if lease is None or number != lease.number or lent < 0:
            return
        # An owner in whose queue this sidecar is grants more later, under the number of the same request.
        lease.expires_at = lease.sent_at + self.rule.lease_ns
        lease.queued = max(0, lease.queued - max(0, lent - lease.held))
        lease.answered, lease.held, lease.unanswered = True, lent, 0
        lease.recalled = min(lease.recalled, lent)
        unmet = lease.requested > 0 and lent <= 0
        lease.retry_at = now + (retry_delay_ns if unmet or self.needed > self.held(now) else 0)

    def handle_recall(self, now: int, owner: int, count: int, in_use: int, closable: int) -> list[LeaseRequest]:
        """Process an owner's recall of `count` units.

        Unused units are returned at once. Beyond them as many units as `closable` connections may be closed are
        no longer usable; `tick` returns them once their connections have been closed.
        """
        lease = self._leases.get(owner)
        if lease is None or not lease.held:
            return []
        unused = max(0, self.held(now) - in_use)
        lease.recalled, lease.recalled_at = min(count, lease.held, unused + closable), now
        unused = min(unused, lease.recalled)
        if not unused:
            return []
        lease.held -= unused
        lease.recalled -= unused
        return [self._request(now, owner, lease, 0)]

    def handle_query(self, now: int, owner: int) -> list[LeaseRequest]:
        """Tell an owner what is held of its units."""
        lease = self._leases.get(owner)
        if lease is None:
            return [LeaseRequest(owner, self._first_number + 1, 0, 0)]
        return [self._request(now, owner, lease, 0)]

    def return_all(self, now: int) -> list[LeaseRequest]:
        """Return all units, because this sidecar is shutting down."""
        out = []
        for owner, lease in self._leases.items():
            if lease.held or not lease.answered:
                lease.held = 0
                out.append(self._request(now, owner, lease, 0))
        self.needed = 0
        return out

    def table(self, now: int) -> dict[str, object]:
        """Return the current state for operators."""
        return {
            "held": self.held(now),
            "needs": self.needed,
            "of": {owner: lease.held for owner, lease in self._leases.items() if lease.held},
        }
