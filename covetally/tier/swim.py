"""Which sidecars of a tier are there, as one of them sees it. No I/O; times are ns on one monotonic clock.

SWIM (Das, Gupta, Motivala 2002) with what Lifeguard (Dadgar, Phillips, Currey 2018) added for slow members:
each period a member asks one other, in an order that meets each once a round; who does not answer is asked
through some others; who does not answer those either is suspected, everybody is told, and the suspected one may
contradict.

    state      how a member comes into it                             how it leaves it
    -----      --------------------------                             ----------------
    unknown    at the start: it is on the list of peers              its own word: alive
    alive      its own word                                          its own word, or an accusation: suspected
    suspected  no answer to me nor through others, or an accusation  its own word, of a higher incarnation: alive
    gone       suspected all the time by WITNESSES others, or by     its own word, of a higher incarnation: alive
               this member's own unanswered call
    left       its own word, at its end                              a new life's word: alive

What is known of a member is ordered by its incarnation, which only the member raises, then by state: so order,
repeats and losses of messages do not matter. Nobody speaks for another but to accuse, and one accuser alone
convicts nobody: who has not called the accused in vain needs WITNESSES of them. A process that starts from
nothing under an old number has a new life, a random number; told what was said of the life before, it takes a
higher incarnation than that one had.

A member that is late itself (stopped, short of CPU) first doubts itself: calls that were out while it stood
still count for nothing, and the less its own calls are answered the longer it waits and the longer it suspects.
"""

from __future__ import annotations

import enum
import math
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from covetally.tier.token_bucket import TokenBucket
from covetally.tier.reports import Report

SECOND = 1_000_000_000
MIN_REPORTERS = 2  # accusers who convict without an own call
MAX_INCARNATION_JUMP = 64  # an incarnation is believed from hearsay up to so much over the one known
MAX_LOCAL_HEALTH_SCORE = 8  # the most by which a member that doubts itself stretches its times
RETRANSMIT_FACTOR = 3  # a rumour is passed on so many times log2 of the tier's size


class State(enum.IntEnum):
    """What is believed of a member, in the order in which words of one incarnation outweigh each other."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECTED = 2
    GONE = 3
    LEFT = 4


class MessageKind(enum.IntEnum):
    """What a message is for."""

    PING = 1  # are you there?
    ACK = 2  # I am
    PING_REQUEST = 3  # ask `target` for me
    GOSSIP = 4  # nothing but what it carries
    LEASE_REQUEST = 5  # lend me of a limit
    LEASE_GRANT = 6  # I do


class MemberUpdate(NamedTuple):
    """What is said of a member. `witness` accuses where the state is suspected or gone, and is the member
    itself elsewhere."""

    member: int
    state: State
    incarnation: int
    boot_id: int
    reporter: int


class LeasePayload(NamedTuple):
    """What a WANT or a GRANT says of the limit whose name has this mark; see `limits`. Of a GRANT, `amount` is
    all that is lent, of a WANT what each member is to lend more."""

    limit_id: int
    sequence: int
    keep_fraction: float
    amount: float


class Message(NamedTuple):
    """One datagram. The sender's number, life and incarnation are its own word on itself. `number` is given back
    in the answer; `target` is whom an ASK_FOR is about, and in an answer the one who answered. The sender's own
    facts, and its word on a limit, are for other modules."""

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
    """A message for a peer, or with -1 for all."""

    peer: int
    message: Message


@dataclass(frozen=True, slots=True)
class Timing:
    """How often and how long. Durations in ns."""

    ping_interval_ns: int = SECOND  # one call each
    ack_timeout_ns: int = SECOND // 5  # for an answer; the links' longest way there and back, and some
    indirect_pings: int = 3  # members who ask once more for one that did not answer
    suspicion_intervals: float = 4.0  # periods of suspicion for each power of ten of the tier's size
    max_updates: int = 8  # the most in one message
    replies_per_s: int = 20  # answers and errands for others, however many ask


@dataclass(slots=True)
class _Member:
    """What is believed of one member."""

    state: State = State.UNKNOWN
    incarnation: int = 0
    boot_id: int = 0
    since: int = 0
    reporters: set[int] = field(default_factory=set)


@dataclass(slots=True)
class _Ping:
    """A call without an answer yet."""

    target: int
    indirect_at: int  # asked through others then
    expires_at: int  # suspected then
    requester: int = -1
    requester_sequence: int = 0
    indirect_sent: bool = False


class MemberView(NamedTuple):
    """What operators and the other parts of the tier see of a member."""

    member: int
    state: State
    incarnation: int
    boot_id: int
    since_ns: int
    reporters: tuple[int, ...]


class Membership:
    """One member's view of its tier of `size`, numbered from 0."""

    def __init__(
        self, index: int, size: int, boot_id: int, seed: int, now: int, timing: Timing | None = None
    ) -> None:
        self.index, self.boot_id, self.incarnation = index, boot_id, 1
        self.timing = timing or Timing()
        self.due = now  # when `tick` wants to be called
        self.duplicate_count = 0  # times that another life spoke with this number while this one was up
        self.invalid_count = 0  # messages that cannot be true
        self.local_health_score = 0  # Lifeguard's local health: 0 is well
        self._random = random.Random(seed)
        self._members = {n: _Member(since=now) for n in range(size)}
        self._members[index] = _Member(State.ALIVE, 1, boot_id, now)
        self._ping_order: list[int] = []
        self._pings: dict[int, _Ping] = {}
        self._sequence = 0
        self._next_ping_at = now
        self._transmissions: dict[int, int] = {index: 0}  # member: how often its present word was passed on
        # A peer that asks ten thousand times a second is answered as often as any other needs to be.
        self._reply_bucket = TokenBucket(self.timing.replies_per_s, self.timing.replies_per_s, now)
        self._last_tick = now
        self._has_left = False

    # --- what is known --------------------------------------------------------------------------

    def compose(
        self, kind: MessageKind, reports: tuple[Report, ...] = (), lease: LeasePayload | None = None
    ) -> Message:
        """A message for other modules' words, with nothing on who is there but this member's own word."""
        return Message(kind, self.index, self.boot_id, self.incarnation, 0, self.index, (), reports, lease)

    @property
    def size(self) -> int:
        """Members of the tier, this one among them."""
        return len(self._members)

    def views(self) -> list[MemberView]:
        """What is believed of each member, by number."""
        return [
            MemberView(n, m.state, m.incarnation, m.boot_id, m.since, tuple(sorted(m.reporters)))
            for n, m in sorted(self._members.items())
        ]

    def state(self, member: int) -> State:
        """What is believed of a member; UNKNOWN of one that is not on the list."""
        known = self._members.get(member)
        return known.state if known else State.UNKNOWN

    def present_members(self) -> list[int]:
        """The members that count as there: alive or only suspected, this one among them."""
        return [n for n, m in sorted(self._members.items()) if m.state in (State.ALIVE, State.SUSPECTED)]

    def suspicion_ns(self) -> int:
        """How long a member is suspected before it counts as gone."""
        size_factor = max(1.0, math.log10(max(1, self.size)))
        return int(
            self.timing.suspicion_intervals
            * size_factor
            * self.timing.ping_interval_ns
            * (1 + self.local_health_score)
        )

    # --- events ---------------------------------------------------------------------------------

    def resize(self, now: int, size: int) -> None:
        """The list of peers has another length: members past it are forgotten, new ones are unknown."""
        for number in [n for n in self._members if n >= size and n != self.index]:
            del self._members[number]
            self._transmissions.pop(number, None)
        for number in range(size):
            self._members.setdefault(number, _Member(since=now))
        self._ping_order = [n for n in self._ping_order if n < size]

    def leave(self, now: int) -> list[Outgoing]:
        """This member ends: some are told, and tell the others."""
        self._has_left = True
        self.incarnation += 1
        self._set_state(now, self.index, State.LEFT, self.incarnation, self.boot_id, self.index)
        return [
            Outgoing(peer, self._message(MessageKind.GOSSIP))
            for peer in self._random_members(self.timing.indirect_pings)
        ]

    def tick(self, now: int) -> list[Outgoing]:
        """Time has passed: call the next one, widen or end what is not answered, end suspicions."""
        if self._has_left or now < self.due:
            return []
        sends: list[Outgoing] = []
        if now - self._last_tick > 2 * self.timing.ping_interval_ns:
            # It stood still: whatever was not answered meanwhile may have been, and suspicions ran on unheard.
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
                sends += [
                    Outgoing(peer, self._message(MessageKind.PING_REQUEST, sequence, ping.target))
                    for peer in helpers
                ]
        suspicion = self.suspicion_ns()
        for number, member in self._members.items():
            if member.state is not State.SUSPECTED or now - member.since < suspicion:
                continue
            if self.index in member.reporters or len(member.reporters) >= MIN_REPORTERS:
                self._set_state(now, number, State.GONE, member.incarnation, member.boot_id, self.index)
            elif now - member.since >= 2 * suspicion:  # hearsay of one, and nobody else in all that time
                self._clear_suspicion(now, number)
        if now >= self._next_ping_at:
            self._next_ping_at = max(
                self._next_ping_at + self.timing.ping_interval_ns, now + self.timing.ping_interval_ns // 2
            )
            if (target := self._next_target()) is not None:
                sends.append(self._ping(now, target))
        self.due = self._next_due(now)
        return sends

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """A message has come. Whom it is from is the sender's word: the shell has checked its address."""
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

    # --- what is told ---------------------------------------------------------------------------

    def _process_sender(self, now: int, message: Message) -> list[Outgoing]:
        """The sender's own word on itself. Where something of a life before outweighs it, it is told so and takes
        a higher incarnation."""
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
            self.invalid_count += 1  # nobody says for another that it lives or has left
            return
        if incarnation > known.incarnation + MAX_INCARNATION_JUMP and member != sender:
            self.invalid_count += 1
            return
        if state is State.GONE and (incarnation, State.GONE) > (known.incarnation, known.state):
            # Another's verdict is an accusation here: this member counts its witnesses itself.
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
        """A lone accusation has aged without another: it counts no more."""
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
        """Something is said of this member that is not so, or was so in a life before."""
        self.incarnation = incarnation + 1
        self._set_state(now, self.index, State.ALIVE, self.incarnation, self.boot_id, self.index)
        self._degrade_local_health()

    def _record_duplicate(self, now: int, incarnation: int) -> None:
        """Another process speaks with this number. Neither can know which one is wanted: operators are told."""
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
        """Those passed on least, each some times the logarithm of the size; before them what is held against
        `first`, so that it can contradict."""
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
        """The next to be called: each once a round, those that are out too, so that a healed cut shows."""
        if not self._ping_order:  # `resize` takes out whom it forgets
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
