"""One member of a tier: membership, reports, outlier detection and limits. No I/O.

Datagrams and the time go in, and datagrams come out. The transport sends those, and calls `tick` again at `due`.

The load that a member causes is bounded, whatever it receives. It sends at most `Timing.replies_per_s` replies
a second. All members together send at most `GOSSIP_PER_S` broadcasts a second, with bursts of up to
`GOSSIP_BURST` from each. A member reads at most `MAX_RECEIVED_PER_S` datagrams a second from one sender.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple
from zlib import crc32

from covetally.interface import AttemptStatus
from covetally.tier.token_bucket import TokenBucket
from covetally.tier.reports import ReportStore
from covetally.tier.limits import Grant, LeaseRequest, MemberQuota, Rule, UsableQuota
from covetally.tier.swim import SECOND, LeasePayload, Membership, Message, MessageKind, Outgoing, Timing
from covetally.tier.outlier_detection import Ejections, OutlierDetector
from covetally.tier.wire import MalformedDatagramError, decode, encode

ALL_PEERS = -1
GOSSIP_PER_S = 20.0  # broadcasts by all members together
GOSSIP_BURST = 3.0  # broadcasts that a member may send at once after a pause
MAX_RECEIVED_PER_S = 200.0  # datagrams read from one sender
LEASE_CHECK_INTERVAL_NS = SECOND // 4  # how often limits are checked
EXPIRY_INTERVAL_NS = 5 * SECOND  # how often expired reports are dropped


class Datagram(NamedTuple):
    """Bytes to send to a peer; ALL_PEERS means all peers."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class MemberConfig:
    """Configuration of a member at its start.

    `zones` has the names of the zones in the order of the settings, and `zone` is the index of the member's own.
    `rules` are those of the shared limits.
    """

    zones: tuple[str, ...] = ()
    zone: int = 0
    rules: tuple[Rule, ...] = ()
    timing: Timing = Timing()
    outlier_detection: bool = True


class TierMember:
    """One member of a tier, with its membership view, reports, outlier detector and quotas."""

    def __init__(self, index: int, size: int, boot_id: int, seed: int, now: int, config: MemberConfig) -> None:
        self.index, self.config = index, config
        # Datagrams dropped because they could not be decoded, or because their sender sent too many.
        self.malformed_count = self.rate_limited_count = 0
        self._random = random.Random(seed)
        self.membership = Membership(index, size, boot_id, self._random.getrandbits(64), now, config.timing)
        self.reports = ReportStore(index, config.zone % 256)
        self.outlier_detector = OutlierDetector(
            self.reports, config.zones, self._random.random, self.membership.present_members
        )
        self.quotas = {crc32(rule.name.encode()): MemberQuota(rule, now, boot_id) for rule in config.rules}
        self._gossip_bucket = TokenBucket(GOSSIP_PER_S / size, GOSSIP_BURST, now)
        self._receive_buckets: dict[int, TokenBucket] = {}
        self._gossip_pending = False
        self._next_lease_check, self._next_expiry = now, now + EXPIRY_INTERVAL_NS
        self._has_left = False
        self.due = now

    # --- events ---------------------------------------------------------------------------------

    def tick(self, now: int, demand: dict[str, float] | None = None) -> list[Datagram]:
        """Do what is due; return the datagrams to send. `demand` is what could be used of each limit, by name."""
        if self._has_left:
            return []
        datagrams = self._encode_all(now, self.membership.tick(now))
        if self.quotas and now >= self._next_lease_check:
            self._next_lease_check = now + LEASE_CHECK_INTERVAL_NS
            for limit_id, quota in self.quotas.items():
                request = quota.tick(now, (demand or {}).get(quota.rule.name, 0.0))
                if request is not None:
                    lease = LeasePayload(limit_id, request.sequence, request.keep_fraction, request.additional)
                    datagrams.append(
                        Datagram(
                            ALL_PEERS, encode(self.membership.compose(MessageKind.LEASE_REQUEST, lease=lease))
                        )
                    )
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_NS
            self.reports.expire(now)
        return datagrams + self._evaluate(now)

    def receive(self, now: int, sender: int, data: bytes) -> list[Datagram]:
        """Handle a datagram from the address of member `sender`; return the datagrams to send."""
        if self._has_left:
            return []
        bucket = self._receive_buckets.get(sender)
        if bucket is None:
            bucket = self._receive_buckets[sender] = TokenBucket(MAX_RECEIVED_PER_S, MAX_RECEIVED_PER_S, now)
        if not bucket.take(now):
            self.rate_limited_count += 1
            return []
        try:
            message = decode(data)
        except MalformedDatagramError:
            self.malformed_count += 1
            return []
        if message.sender != sender:
            self.malformed_count += 1
            return []
        datagrams = self._encode_all(now, self.membership.receive(now, message))
        if sender == self.index or message.target >= self.membership.size:
            return datagrams
        if message.lease is not None:
            datagrams += self._handle_lease(now, message, message.lease)
        if new_reports := self.reports.receive(
            now, sender, message.boot_id, message.incarnation, message.reports
        ):
            self.outlier_detector.record_reports(new_reports)
            datagrams += self._evaluate(now)
        return datagrams

    def record_attempt(self, now: int, server: str, status: AttemptStatus, cls: int, sent: int) -> None:
        """Record how one of this sidecar's own attempts ended, and when it was sent."""
        if self._has_left or not self.config.outlier_detection:
            return
        self.outlier_detector.record_attempt(now, server, status, cls, sent)
        due = self.outlier_detector.next_due()
        if due is not None and due < self.due:
            self.due = max(now, due)

    def update_servers(self, servers: dict[str, int]) -> None:
        """Adopt the server list: the zone of each server, by name."""
        self.outlier_detector.update_servers(servers)

    def resize(self, now: int, size: int, rules: Iterable[Rule]) -> None:
        """Adopt another length of the list of peers, or other limits."""
        if size != self.membership.size:
            self.membership.resize(now, size)
            self._gossip_bucket.rate_per_s = GOSSIP_PER_S / size
            for number in [n for n in self._receive_buckets if n >= size]:
                del self._receive_buckets[number]
                self.reports.forget(number)
        rules_by_id = {crc32(rule.name.encode()): rule for rule in rules}
        self.quotas = {limit_id: quota for limit_id, quota in self.quotas.items() if limit_id in rules_by_id}
        for limit_id, rule in rules_by_id.items():
            if limit_id not in self.quotas:
                self.quotas[limit_id] = MemberQuota(rule, now, self.membership.boot_id)
            elif self.quotas[limit_id].rule != rule:
                self.quotas[limit_id].update_rule(now, rule)

    def leave(self, now: int) -> list[Datagram]:
        """Announce that this member leaves. It handles no events after that."""
        datagrams = self._encode_all(now, self.membership.leave(now))
        self._has_left = True
        return datagrams

    # --- results --------------------------------------------------------------------------------

    def ejections(self) -> Ejections:
        """The servers and zones for the balancer to avoid."""
        return self.outlier_detector.ejections()

    def usable(self, now: int) -> dict[str, UsableQuota]:
        """What this member may use of each limit, by name."""
        return {quota.rule.name: quota.usable(now) for quota in self.quotas.values()}

    def table(self, now: int) -> dict[str, Any]:
        """The state of this member, as shown to operators."""
        return {
            "member": self.index,
            "life": f"{self.membership.boot_id:08x}",
            "incarnation": self.membership.incarnation,
            "doubt": self.membership.local_health_score,
            "twins": self.membership.duplicate_count,
            "members": [
                {
                    "member": view.member, "state": view.state.name.lower(),
                    "for_s": round((now - view.since_ns) / SECOND, 1), "incarnation": view.incarnation,
                    "life": f"{view.boot_id:08x}", "accused_by": list(view.reporters),
                }
                for view in self.membership.views()
            ],
            "limits": [self._limit_row(now, quota) for quota in self.quotas.values()],
            "verdicts": [
                {
                    "of": row.subject, "class": row.cls, "avoided": row.ejected,
                    "accused_by": list(row.reporters), "well_for": list(row.healthy_reporters),
                    "age_s": round(row.age_ns / SECOND, 1), "tried_by": row.probed_by,
                    "trial_in_s": round(row.next_probe_in_ns / SECOND, 1),
                }
                for row in self.outlier_detector.status_rows(now)
            ],
            "counts": {
                "garbage": self.malformed_count + self.membership.invalid_count,
                "flooded": self.rate_limited_count,
                "verdicts": self.outlier_detector.ejection_count, "trials": self.outlier_detector.probe_count,
            },
        }  # fmt: skip

    def _limit_row(self, now: int, quota: MemberQuota) -> dict[str, Any]:
        rule = quota.rule
        return {
            "limit": rule.name, "amount": rule.amount, "in_flight": rule.in_flight,
            "own": round(rule.quota, 6), "usable": round(quota.usable(now).amount, 6),
            "borrowed": round(quota.borrowed(now), 6), "lent": round(quota.lent(now), 6),
            "demand": round(quota.demand, 3), "asked": quota.request_count, "loans": quota.loan_count,
            "young": now < quota.hold_until,
        }  # fmt: skip

    # --- internals ------------------------------------------------------------------------------

    def _evaluate(self, now: int) -> list[Datagram]:
        """Run the outlier detector, and broadcast new reports within the rate limit. Sets `due`."""
        datagrams = []
        if self.config.outlier_detection and (self.outlier_detector.tick(now) or self._gossip_pending):
            self._gossip_pending = not self._gossip_bucket.take(now)
            if not self._gossip_pending:
                datagrams.append(
                    Datagram(
                        ALL_PEERS, encode(self.membership.compose(MessageKind.GOSSIP, self.reports.unsent(now)))
                    )
                )
        due = [self.membership.due]
        if (at := self.outlier_detector.next_due()) is not None and self.config.outlier_detection:
            due.append(max(at, now + SECOND // 100))
        if self._gossip_pending:
            due.append(now + SECOND // 10)
        if self.quotas:
            due.append(self._next_lease_check)
        self.due = min(due)
        return datagrams

    def _handle_lease(self, now: int, message: Message, lease: LeasePayload) -> list[Datagram]:
        quota = self.quotas.get(lease.limit_id)
        if quota is None:
            return []
        if message.kind is MessageKind.LEASE_GRANT:
            if message.target == self.index:
                quota.handle_grant(now, message.sender, Grant(lease.sequence, lease.amount))
            return []
        grant = quota.handle_request(
            now, message.sender, message.boot_id, LeaseRequest(lease.sequence, lease.keep_fraction, lease.amount)
        )
        if grant is None:
            return []
        reply = self.membership.compose(
            MessageKind.LEASE_GRANT, lease=LeasePayload(lease.limit_id, grant.sequence, 1.0, grant.amount)
        )
        return [Datagram(message.sender, encode(reply._replace(target=message.sender)))]

    def _encode_all(self, now: int, outgoing: list[Outgoing]) -> list[Datagram]:
        """Encode messages, each with a digest of this member's reports."""
        reports = self.reports.digest(now) if outgoing and self.config.outlier_detection else ()
        return [Datagram(peer, encode(message._replace(reports=reports))) for peer, message in outgoing]
