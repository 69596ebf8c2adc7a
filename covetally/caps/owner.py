"""The owner of some units of a cap: lends them to lease holders and queues those that want more. No I/O.

    event                        action
    -----                        ------
    newer request of the same    records `held` as what the holder has, since any earlier grant is void there;
    incarnation                  lends more if units are free; always answers with a grant
    older or repeated request    ignores it
    request of a newer           frees what the previous incarnation held, whose sockets ended with its process;
    incarnation                  then as above
    request of an older          ignores it
    incarnation
    nothing from a holder        LAPSES: frees what it lent one fence after the last grant;
                                 NEVER: the units stay lent, and the holder is queried
    own start, newly owned       LAPSES: lends nothing for one fence;
    units, change of the mode    NEVER: lends nothing until all other members have reported what they hold;
                                 both: holders renew what they already hold
    cap lowered                  recalls what is lent beyond it, from the longest idle holder first

Free units go to the holder that has waited longest. If nothing is free while somebody waits, units are recalled
from the holders whose connections have been idle longest. Grants tell holders when to ask again, so that all of
them together send at most REQUESTS_PER_S requests a second, whatever their number. Times are in ns on the
sidecar's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from covetally.caps.rule import Mode, Rule
from covetally.interface import SECOND
from covetally.gossip import is_newer_incarnation

REQUESTS_PER_S = 40.0
MIN_RETRY_DELAY_NS = SECOND // 4
RECALL_INTERVAL_NS = SECOND // 10  # between two recalls to one holder
WAIT_TIMEOUT_NS = 2 * SECOND  # how long a holder stays in the queue after its last request


class Grant(NamedTuple):
    """Answer to request `number`: `lent` units in all; more may be requested after `retry_delay_ns`."""

    holder: int
    number: int
    lent: int
    retry_delay_ns: int


class Recall(NamedTuple):
    """Asks a holder to return `count` units, idle ones first; with `busy`, units in use too if needed."""

    holder: int
    count: int
    busy: bool = False


class ReceivedRequest(NamedTuple):
    """A lease holder's request, as its owner receives it.

    The holder has `held` units of this owner and wants `wanted` more. Of its connections `idle` are idle, the
    longest of them for `idle_ns`.
    """

    number: int
    held: int
    wanted: int
    idle: int = 0
    idle_ns: int = 0


@dataclass(slots=True)
class _Holder:
    """What one incarnation of a member holds and wants of this owner, as of its last request."""

    incarnation: int
    number: int = -1
    lent: int = 0
    expires_at: int = 0
    wanted: int = 0
    requested_at: int = 0
    idle: int = 0
    idle_ns: int = 0
    recalled_at: int = 0


class Owner:
    """Lends the units of one cap that this member owns."""

    def __init__(self, rule: Rule, me: int, now: int) -> None:
        self.me, self.rule = me, rule
        self.units = rule.owned_units(me)
        self.superseded = 0  # requests of an incarnation that a newer one replaced, or of a second process
        self._holders: dict[int, _Holder] = {}
        self._fenced_until = now + rule.fence_ns
        self._unreported = set(range(rule.members)) - {me} if rule.mode is Mode.NEVER else set()

    def update_rule(self, now: int, rule: Rule) -> None:
        """Apply a changed cap or list of members.

        Units that this member did not own before are fenced as after a start: their previous owner may still have
        lent them.
        """
        more = rule.owned_units(self.me) > self.units and rule.members != self.rule.members
        if more or rule.mode is not self.rule.mode:
            self._fenced_until = now + rule.fence_ns
            self._unreported = set(range(rule.members)) - {self.me} if rule.mode is Mode.NEVER else set()
        self._unreported = {member for member in self._unreported if member < rule.members}
        self.rule, self.units = rule, rule.owned_units(self.me)

    @property
    def lent(self) -> int:
        """Units that holders have, or may have."""
        return sum(holder.lent for holder in self._holders.values())

    def free(self, now: int) -> int:
        """Return how many units may be lent now; negative if a lowered cap is exceeded."""
        if self._unreported or (self.rule.mode is Mode.LAPSES and now < self._fenced_until):
            return 0
        return self.units - self.lent

    def handle_request(
        self, now: int, sender: int, incarnation: int, request: ReceivedRequest
    ) -> list[Grant | Recall]:
        """Process a holder's request; the table above says what it does."""
        number, held, wanted, idle, idle_ns = request
        holder = self._find_holder(now, sender, incarnation, number)
        if holder is None or number <= holder.number:
            return []
        holder.number, holder.requested_at = number, now
        holder.wanted, holder.idle, holder.idle_ns = wanted, idle, idle_ns
        self._unreported.discard(sender)
        if self.rule.mode is Mode.LAPSES and now >= self._fenced_until and held > holder.lent:
            # The lease lapsed here and the units may have been lent again: the holder may not keep all of them.
            held = max(holder.lent, min(held, holder.lent + max(0, self.free(now))))
        holder.lent = held
        out: list[Grant | Recall] = [self._grant(now, sender, holder)]
        return out + self._serve_queue(now, exclude=sender)

    def tick(self, now: int) -> list[Grant | Recall]:
        """Expire leases, lend free units to holders that wait, and recall what exceeds the cap."""
        if self.rule.mode is Mode.LAPSES:
            for member, holder in self._holders.items():
                if holder.lent and now >= holder.expires_at and member != self.me:
                    holder.lent = 0
        return self._serve_queue(now) + self._recall_excess(now)

    def members_to_query(self, now: int) -> tuple[int, ...]:
        """Return the members that have to be asked what they hold of this owner; none in LAPSES mode.

        These are members that have not reported since this owner started, and holders that have been silent for a
        lease: a new incarnation of a holder does not know what its predecessor held.
        """
        if self.rule.mode is Mode.LAPSES:
            return ()
        silent = (m for m, h in self._holders.items() if h.lent and now - h.requested_at >= self.rule.lease_ns)
        return (*self._unreported, *(member for member in silent if member != self.me))

    # --- internals ------------------------------------------------------------------------------

    def _find_holder(self, now: int, sender: int, incarnation: int, number: int) -> _Holder | None:
        """Return the holder of this incarnation, new if need be; None if a known incarnation is newer."""
        holder = self._holders.get(sender)
        if holder is None or holder.incarnation != incarnation:
            if holder is not None and not is_newer_incarnation(number, holder.number, now - holder.requested_at):
                self.superseded += 1
                return None
            holder = self._holders[sender] = _Holder(incarnation)
        return holder

    def _grant(self, now: int, sender: int, holder: _Holder) -> Grant:
        granted = max(0, min(holder.wanted, self.free(now)))
        holder.lent += granted
        holder.wanted -= granted
        holder.expires_at = now + self.rule.fence_ns
        return Grant(sender, holder.number, holder.lent, self._retry_delay(now))

    def _retry_delay(self, now: int) -> int:
        waiting = sum(1 for h in self._holders.values() if h.wanted and now - h.requested_at < WAIT_TIMEOUT_NS)
        return max(MIN_RETRY_DELAY_NS, int(waiting / REQUESTS_PER_S * SECOND))

    def _serve_queue(self, now: int, exclude: int = -1) -> list[Grant | Recall]:
        """Lend free units to waiting holders, the longest wait first; recall idle units if none are free."""
        waiting = [
            (holder.requested_at, member, holder) for member, holder in self._holders.items()
            if holder.wanted and member != exclude and now - holder.requested_at < WAIT_TIMEOUT_NS
        ]  # fmt: skip
        out: list[Grant | Recall] = []
        for _, member, holder in sorted(waiting, key=lambda entry: entry[:2]):
            if self.free(now) <= 0:
                break
            out.append(self._grant(now, member, holder))
        missing = sum(
            h.wanted for h in self._holders.values() if h.wanted and now - h.requested_at < WAIT_TIMEOUT_NS
        )
        if missing and self.free(now) <= 0:
            out += self._recall(now, missing, only_idle=True)
        return out

    def _recall_excess(self, now: int) -> list[Grant | Recall]:
        excess = self.lent - self.units
        return self._recall(now, excess, only_idle=False) if excess > 0 else []

    def _recall(self, now: int, count: int, only_idle: bool) -> list[Grant | Recall]:
        """Recall up to `count` units, the longest idle first; units in use too unless `only_idle`."""
        out: list[Grant | Recall] = []
        holders = [
            (holder.idle_ns if holder.idle else -1, member, holder)
            for member, holder in self._holders.items()
            if holder.lent and (holder.idle or not only_idle) and now - holder.recalled_at >= RECALL_INTERVAL_NS
        ]  # fmt: skip
        for _, member, holder in sorted(holders, key=lambda entry: (-entry[0], entry[1])):
            if count <= 0:
                break
            recalled = min(count, holder.idle if only_idle else holder.lent)
            holder.recalled_at = now
            count -= recalled
            out.append(Recall(member, recalled, not only_idle))
        return out

    def table(self, now: int) -> dict[str, object]:
        """Return the current state for operators."""
        return {
            "units": self.units, "lent": self.lent, "free": max(0, self.free(now)),
            "to": {member: holder.lent for member, holder in self._holders.items() if holder.lent},
            "waiting": sum(
                1 for h in self._holders.values() if h.wanted and now - h.requested_at < WAIT_TIMEOUT_NS
            ),
            "waits_for": sorted(self._unreported)[:8],
            "fence_s": (
                round(max(0, self._fenced_until - now) / SECOND, 1) if self.rule.mode is Mode.LAPSES else 0.0
            ),
            "twins": self.superseded,
        }  # fmt: skip
