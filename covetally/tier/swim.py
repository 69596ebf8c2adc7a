"""Membership of a tier as seen by one of its sidecars. No I/O; times are ns on one monotonic clock.

This is SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey 2018) for slow
members. In each interval a member pings one other, in an order that reaches each once a round. One that does not
answer is pinged through some other members. One that does not answer those either is suspected; the suspicion is
gossiped to all, and the suspected member may refute it.

    state      entered by                                        left by
    -----      ----------                                        -------
    unknown    start, or a new entry in the list of peers        any valid update on the member
    alive      the member's own claim, direct or forwarded;      an unanswered ping or a failure report:
               a suspicion that too few members confirmed        suspected; the member's own claim: left
    suspected  an unanswered ping of this member's own, direct   its claim with a higher incarnation: alive; the
               and through others; a failure report (suspected   suspicion time: gone, if this member's own ping
               or gone) of another member                        failed or MIN_REPORTERS members reported it;
                                                                 twice the suspicion time: alive, otherwise
    gone       the suspicion time, as above                      its claim with a higher incarnation: alive
    left       the member's own claim, at its shutdown           the claim of a new process: alive

Updates on a member are ordered by its incarnation, which only that member raises, then by state. So reordered,
repeated and lost messages do no harm. Members report on others only to suspect them, and one reporter alone
never makes a member gone: a member that has not itself pinged the suspect in vain needs MIN_REPORTERS reports. A
process that starts without state under an index that was used before has a new boot ID, a random number. It
learns what is known of the earlier process, and takes a higher incarnation.

A member that is slow itself (stopped, or short of CPU) distrusts its own observations first. Pings that were open
while it was stopped are discarded. The fewer of its pings are answered, the longer its timeouts and suspicions.
"""

from __future__ import annotations

import enum
import math
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from covetally.tier.reports import Report
from covetally.tier.token_bucket import TokenBucket

SECOND = 1_000_000_000
MIN_REPORTERS = 2  # failure reports that suffice without an unanswered ping of this member's own
MAX_INCARNATION_JUMP = 64  # a third party's update may raise a known incarnation by at most this
MAX_LOCAL_HEALTH_SCORE = 8  # an unhealthy member stretches its timeouts up to 1 + this many times
RETRANSMIT_FACTOR = 3  # an update is sent this many times log2 of the tier's size


class State(enum.IntEnum):
    """The state of a member. Of updates with the same incarnation, the one with the higher value wins."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECTED = 2
    GONE = 3
    LEFT = 4


class MessageKind(enum.IntEnum):
    """The kind of a message."""

    PING = 1  # asks for an ACK
    ACK = 2  # answers a PING, or forwards the target's ACK for a PING_REQUEST
    PING_REQUEST = 3  # asks the receiver to ping `target` on the sender's behalf
    GOSSIP = 4  # only carries updates and reports
    LEASE_REQUEST = 5  # asks for a lease on a part of a limit, or its renewal
    LEASE_GRANT = 6  # grants the lease


class MemberUpdate(NamedTuple):
    """A member's state, as sent in messages.

    `reporter` is the member whose ping failed if the state is SUSPECTED or GONE, and the member itself otherwise.
    """

    member: int
    state: State
    incarnation: int
    boot_id: int
    reporter: int


class LeasePayload(NamedTuple):
    """The body of a LEASE_REQUEST or LEASE_GRANT; see `limits`.

    `limit_id` is the CRC-32 of the limit's name. `amount` is the total lent in a LEASE_GRANT, and what each
    member is asked to lend in addition in a LEASE_REQUEST.
    """

    limit_id: int
    sequence: int
    keep_fraction: float
    amount: float


class Message(NamedTuple):
    """The content of one datagram.

    An ACK returns the `sequence` of its PING. `target` is the member to ping in a PING_REQUEST, and the member
    that answered in an ACK. Other modules handle the sender's `reports` and `lease`.
    """

    kind: MessageKind
    sender: int
    boot_id: int
    incarnation: int
    sequence: int
    target: int
    updates: tuple[MemberUpdate, ...] = ()
    reports: tuple[Report, ...] = ()
    lease: LeasePayload | None = None


class Outgoing(NamedTuple):
    """A message to send to a peer; -1 means all peers."""

    peer: int
    message: Message


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals, timeouts and rates. Durations are in ns."""

    ping_interval_ns: int = SECOND  # each member pings one other
    ack_timeout_ns: int = SECOND // 5  # longer than the longest round trip between members
    indirect_pings: int = 3  # members asked to ping one that did not answer
    suspicion_intervals: float = 4.0  # suspicion time, in ping intervals per power of ten of the size
    max_updates: int = 8  # in one message
    replies_per_s: int = 20  # replies and pings on behalf of others, in total


@dataclass(slots=True)
class _Member:
    """What this member knows of another."""

    state: State = State.UNKNOWN
    incarnation: int = 0
    boot_id: int = 0
    since: int = 0
    reporters: set[int] = field(default_factory=set)


@dataclass(slots=True)
class _Ping:
    """A ping that has not been answered yet."""

    target: int
    indirect_at: int  # when to ping through others
    expires_at: int  # when to suspect the target
    requester: int = -1
    requester_sequence: int = 0
    indirect_sent: bool = False


class MemberView(NamedTuple):
    """The view of one member for operators and the other parts of the tier."""

    member: int
    state: State
    incarnation: int
    boot_id: int
    since_ns: int
    reporters: tuple[int, ...]


class Membership:
    """One member's membership view of its tier of `size` members, numbered from 0."""

    def __init__(
        self, index: int, size: int, boot_id: int, seed: int, now: int, timing: Timing | None = None
    ) -> None:
        self.index, self.boot_id, self.incarnation = index, boot_id, 1
        self.timing = timing or Timing()
        self.due = now  # when to call `tick` next
        self.duplicate_count = 0  # messages from another process with this member's index
        self.invalid_count = 0  # updates and messages that cannot be valid
        self.local_health_score = 0  # as in Lifeguard; 0 is healthy
        self._random = random.Random(seed)
        self._members = {n: _Member(since=now) for n in range(size)}
        self._members[index] = _Member(State.ALIVE, 1, boot_id, now)
        self._ping_order: list[int] = []
        self._pings: dict[int, _Ping] = {}
        self._sequence = 0
        self._next_ping_at = now
        self._transmissions: dict[int, int] = {index: 0}  # by member: how often its current update was sent
        # Limits replies in total, so that a peer that floods this member with pings gains nothing.
        self._reply_bucket = TokenBucket(self.timing.replies_per_s, self.timing.replies_per_s, now)
        self._last_tick = now
        self._has_left = False

    # --- state ----------------------------------------------------------------------------------

    def compose(
        self, kind: MessageKind, reports: tuple[Report, ...] = (), lease: LeasePayload | None = None
    ) -> Message:
        """A message without member updates, for the reports or lease of other modules."""
        return Message(kind, self.index, self.boot_id, self.incarnation, 0, self.index, (), reports, lease)

    @property
    def size(self) -> int:
        """The number of members, including this one."""
        return len(self._members)

    def views(self) -> list[MemberView]:
        """The view of each member, by index."""
        return [
            MemberView(n, m.state, m.incarnation, m.boot_id, m.since, tuple(sorted(m.reporters)))
            for n, m in sorted(self._members.items())
        ]

    def state(self, member: int) -> State:
        """The state of a member; UNKNOWN if it is not on the list."""
        known = self._members.get(member)
        return known.state if known else State.UNKNOWN

    def present_members(self) -> list[int]:
        """The members that are alive or suspected, including this one."""
        return [n for n, m in sorted(self._members.items()) if m.state in (State.ALIVE, State.SUSPECTED)]

    def suspicion_ns(self) -> int:
        """How long a member stays suspected before it is gone."""
        size_factor = max(1.0, math.log10(max(1, self.size)))
        return int(
            self.timing.suspicion_intervals
            * size_factor
            * self.timing.ping_interval_ns
            * (1 + self.local_health_score)
        )

    # --- events ---------------------------------------------------------------------------------

    def resize(self, now: int, size: int) -> None:
        """Adopt another length of the list of peers: drop the members past it, add new ones as unknown."""
        for number in [n for n in self._members if n >= size and n != self.index]:
            del self._members[number]
            self._transmissions.pop(number, None)
        for number in range(size):
            self._members.setdefault(number, _Member(since=now))
        self._ping_order = [n for n in self._ping_order if n < size]

    def leave(self, now: int) -> list[Outgoing]:
        """Announce to some members that this one leaves; they spread it."""
        self._has_left = True
        self.incarnation += 1
        self._set_state(now, self.index, State.LEFT, self.incarnation, self.boot_id, self.index)
        return [
            Outgoing(peer, self._message(MessageKind.GOSSIP))
            for peer in self._random_members(self.timing.indirect_pings)
        ]

    def tick(self, now: int) -> list[Outgoing]:
        """Send the next ping, handle unanswered ones, and end suspicions that are due."""
        if self._has_left or now < self.due:
            return []
        outgoing: list[Outgoing] = []
        if now - self._last_tick > 2 * self.timing.ping_interval_ns:
            # This process was paused: answers may have been missed, and refutations of suspicions too.
            self._degrade_local_health()
            self._pings.clear()
            for member in self._members.values():
                if member.state is State.SUSPECTED:
                    member.since = now
        self._last_tick = now
        for sequence, ping in list(self._pings.items()):
            if now >= ping.expires_at:
                del self._pings[sequence]
                if ping.requester < 0:
                    self._degrade_local_health()
                    self._suspect(now, ping.target)
            elif now >= ping.indirect_at and not ping.indirect_sent and ping.requester < 0:
                ping.indirect_sent = True
                helpers = self._random_members(self.timing.indirect_pings, exclude=ping.target)
                outgoing += [
                    Outgoing(peer, self._message(MessageKind.PING_REQUEST, sequence, ping.target))
                    for peer in helpers
                ]
        suspicion = self.suspicion_ns()
        for number, member in self._members.items():
            if member.state is not State.SUSPECTED or now - member.since < suspicion:
                continue
            if self.index in member.reporters or len(member.reporters) >= MIN_REPORTERS:
                self._set_state(now, number, State.GONE, member.incarnation, member.boot_id, self.index)
            elif now - member.since >= 2 * suspicion:  # too few members reported it in all that time
                self._clear_suspicion(now, number)
        if now >= self._next_ping_at:
            self._next_ping_at = max(
                self._next_ping_at + self.timing.ping_interval_ns, now + self.timing.ping_interval_ns // 2
            )
            if (target := self._next_target()) is not None:
                outgoing.append(self._ping(now, target))
        self.due = self._next_due(now)
        return outgoing

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Handle a message. The caller has checked that it comes from the address of its sender."""
        if self._has_left:
            return []
        sender = message.sender
        if sender == self.index:
            if message.boot_id != self.boot_id:
                self._record_duplicate(now, message.incarnation)
            return []
        if sender not in self._members or message.target not in self._members:
            self.invalid_count += 1
            return []
        replies = self._process_sender(now, message)
        for update in message.updates:
            self._process_update(now, update, sender)
        return replies + self._process_kind(now, message)

    def _process_kind(self, now: int, message: Message) -> list[Outgoing]:
        sender, sequence = message.sender, message.sequence
        if message.kind is MessageKind.PING:
            if not self._reply_bucket.take(now):
                return []
            return [Outgoing(sender, self._message(MessageKind.ACK, sequence, priority_member=sender))]
        if message.kind is MessageKind.PING_REQUEST:
            if message.target in (self.index, sender) or not self._reply_bucket.take(now):
                return []
            return [self._ping(now, message.target, sender, sequence)]
        ping = self._pings.get(sequence)
        if message.kind is not MessageKind.ACK or ping is None or ping.target != message.target:
            return []
        del self._pings[sequence]
        if ping.requester >= 0:
            if sender != ping.target:
                return []
            return [
                Outgoing(ping.requester, self._message(MessageKind.ACK, ping.requester_sequence, ping.target))
            ]
        self.local_health_score = max(0, self.local_health_score - 1)
        return []

    # --- updates --------------------------------------------------------------------------------

    def _process_sender(self, now: int, message: Message) -> list[Outgoing]:
        """Apply what the message says of its sender.

        If newer information contradicts it, such as that on an earlier process, the sender gets it in a reply and
        takes a higher incarnation.
        """
        sender = message.sender
        known = self._members[sender]
        claim = (message.incarnation, State.ALIVE)
        if message.incarnation > known.incarnation or known.state is State.UNKNOWN:
            left = any(r.member == sender and r.state is State.LEFT for r in message.updates)
            if not left:
                self._set_state(now, sender, State.ALIVE, message.incarnation, message.boot_id, sender)
        elif claim < (known.incarnation, known.state) or message.boot_id != known.boot_id:
            self._transmissions[sender] = 0
            if message.kind is not MessageKind.PING and self._reply_bucket.take(now):
                return [Outgoing(sender, self._message(MessageKind.GOSSIP, priority_member=sender))]
        return []

    def _process_update(self, now: int, update: MemberUpdate, sender: int) -> None:
        member, state, incarnation, boot_id, reporter = update
        known = self._members.get(member)
        if known is None or incarnation <= 0 or reporter not in self._members:
            self.invalid_count += 1
            return
        if member == self.index:
            if incarnation >= self.incarnation and (state is not State.ALIVE or boot_id != self.boot_id):
                self._refute(now, incarnation)
            return
        if state in (State.ALIVE, State.LEFT) and reporter != member:
            self.invalid_count += 1  # only the member itself can say that it is alive or has left
            return
        if incarnation > known.incarnation + MAX_INCARNATION_JUMP and member != sender:
            self.invalid_count += 1
            return
        if state is State.GONE and (incarnation, State.GONE) > (known.incarnation, known.state):
            # Another member's decision counts as a failure report: this member counts reporters itself.
            state = State.SUSPECTED
        if (incarnation, state) > (known.incarnation, known.state):
            self._set_state(now, member, state, incarnation, boot_id, reporter)
        elif (incarnation, state, known.state) == (known.incarnation, State.SUSPECTED, State.SUSPECTED):
            self._add_reporter(member, reporter)

    def _add_reporter(self, member: int, reporter: int) -> None:
        reporters = self._members[member].reporters
        if reporter not in reporters and (len(reporters) < MIN_REPORTERS or reporter == self.index):
            reporters.add(reporter)
            self._transmissions[member] = 0

    def _set_state(
        self, now: int, member: int, state: State, incarnation: int, boot_id: int, reporter: int
    ) -> None:
        known = self._members[member]
        if state is not known.state or incarnation != known.incarnation:
            known.since = now
        if state in (State.SUSPECTED, State.GONE):
            known.reporters = (known.reporters | {reporter}) if known.incarnation == incarnation else {reporter}
        else:
            known.reporters = set()
        known.state, known.incarnation, known.boot_id = state, incarnation, boot_id
        self._transmissions[member] = 0

    def _clear_suspicion(self, now: int, member: int) -> None:
        """End a suspicion that too few members have confirmed in time."""
        known = self._members[member]
        known.state, known.since, known.reporters = State.ALIVE, now, set()
        self._transmissions.pop(member, None)

    def _suspect(self, now: int, member: int) -> None:
        known = self._members.get(member)
        if known is None or known.state in (State.UNKNOWN, State.GONE, State.LEFT):
            return
        if known.state is State.SUSPECTED:
            self._add_reporter(member, self.index)
            return
        self._set_state(now, member, State.SUSPECTED, known.incarnation, known.boot_id, self.index)

    def _refute(self, now: int, incarnation: int) -> None:
        """Take a higher incarnation, to refute wrong or outdated information on this member."""
        self.incarnation = incarnation + 1
        self._set_state(now, self.index, State.ALIVE, self.incarnation, self.boot_id, self.index)
        self._degrade_local_health()

    def _record_duplicate(self, now: int, incarnation: int) -> None:
        """Count a message from another process with this member's index.

        Neither process can know which of the two is wanted, so the count is shown to operators.
        """
        self.duplicate_count += 1
        self.incarnation = max(self.incarnation, min(incarnation, self.incarnation + MAX_INCARNATION_JUMP))
        self._set_state(now, self.index, State.ALIVE, self.incarnation, self.boot_id, self.index)

    def _degrade_local_health(self) -> None:
        self.local_health_score = min(MAX_LOCAL_HEALTH_SCORE, self.local_health_score + 1)

    # --- messages -------------------------------------------------------------------------------

    def _message(
        self, kind: MessageKind, sequence: int = 0, target: int = -1, priority_member: int = -1
    ) -> Message:
        updates = self._select_updates(priority_member)
        target = self.index if target < 0 else target
        return Message(kind, self.index, self.boot_id, self.incarnation, sequence, target, updates)

    def _select_updates(self, priority_member: int = -1) -> tuple[MemberUpdate, ...]:
        """The updates sent least often so far; each is sent a number of times that grows with log2 of the size.

        A failure report on `priority_member` comes first, so that this member can refute it.
        """
        max_transmissions = RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(self.size + 1)))
        if priority_member >= 0 and self._members[priority_member].state > State.ALIVE:
            self._transmissions.setdefault(priority_member, 0)
        order = sorted(self._transmissions, key=lambda n: (n != priority_member, self._transmissions[n], n))[
            : self.timing.max_updates
        ]
        updates = []
        for member in order:
            known = self._members[member]
            self._transmissions[member] += 1
            if self._transmissions[member] > max_transmissions:
                del self._transmissions[member]
            if known.state is State.UNKNOWN:
                continue
            suspected = known.state in (State.SUSPECTED, State.GONE)
            reporter = self._random.choice(sorted(known.reporters)) if suspected and known.reporters else member
            updates.append(MemberUpdate(member, known.state, known.incarnation, known.boot_id, reporter))
        return tuple(updates)

    def _ping(self, now: int, target: int, requester: int = -1, requester_sequence: int = 0) -> Outgoing:
        self._sequence = self._sequence % 0xFFFF + 1
        timeout_ns = self.timing.ack_timeout_ns * (1 + self.local_health_score)
        expires_at = now + max(3 * timeout_ns, self.timing.ping_interval_ns)
        self._pings[self._sequence] = _Ping(target, now + timeout_ns, expires_at, requester, requester_sequence)
        self.due = min(self.due, now + timeout_ns)
        return Outgoing(target, self._message(MessageKind.PING, self._sequence, target, priority_member=target))

    def _next_target(self) -> int | None:
        """The next member to ping, once a round each; gone ones too, so that a healed partition is noticed."""
        if not self._ping_order:  # `resize` removes the members that it drops
            self._ping_order = [n for n in self._members if n != self.index]
            self._random.shuffle(self._ping_order)
        return self._ping_order.pop() if self._ping_order else None

    def _random_members(self, count: int, exclude: int = -1) -> list[int]:
        candidates = [
            n for n, m in self._members.items() if m.state is State.ALIVE and n not in (self.index, exclude)
        ]
        return self._random.sample(candidates, min(count, len(candidates)))

    def _next_due(self, now: int) -> int:
        times = [self._next_ping_at]
        times += [
            ping.expires_at if ping.indirect_sent or ping.requester >= 0 else ping.indirect_at
            for ping in self._pings.values()
        ]
        return max(now + 1, min(times))
