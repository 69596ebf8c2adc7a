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

from covetally.tier.allowance import Allowance
from covetally.tier.facts import Fact

SECOND = 1_000_000_000
WITNESSES = 2  # accusers who convict without an own call
LEAP = 64  # an incarnation is believed from hearsay up to so much over the one known
DOUBT = 8  # the most by which a member that doubts itself stretches its times
TOLD = 3  # a rumour is passed on so many times log2 of the tier's size


class State(enum.IntEnum):
    """What is believed of a member, in the order in which words of one incarnation outweigh each other."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECTED = 2
    GONE = 3
    LEFT = 4


class Kind(enum.IntEnum):
    """What a message is for."""

    ASK = 1  # are you there?
    ANSWER = 2  # I am
    ASK_FOR = 3  # ask `target` for me
    TELL = 4  # nothing but what it carries
    WANT = 5  # lend me of a limit
    GRANT = 6  # I do


class Rumour(NamedTuple):
    """What is said of a member. `witness` accuses where the state is suspected or gone, and is the member
    itself elsewhere."""

    member: int
    state: State
    incarnation: int
    life: int
    witness: int


class Loan(NamedTuple):
    """What a WANT or a GRANT says of the limit whose name has this mark; see `limits`. Of a GRANT, `amount` is
    all that is lent, of a WANT what each member is to lend more."""

    mark: int
    seq: int
    keep: float
    amount: float


class Message(NamedTuple):
    """One datagram. The sender's number, life and incarnation are its own word on itself. `number` is given back
    in the answer; `target` is whom an ASK_FOR is about, and in an answer the one who answered. The sender's own
    facts, and its word on a limit, are for other modules."""

    kind: Kind
    sender: int
    life: int
    incarnation: int
    number: int
    target: int
    rumours: tuple[Rumour, ...] = ()
    facts: tuple[Fact, ...] = ()
    loan: Loan | None = None


class Send(NamedTuple):
    """A message for a peer, or with -1 for all."""

    peer: int
    message: Message


@dataclass(frozen=True, slots=True)
class Timing:
    """How often and how long. Durations in ns."""

    period_ns: int = SECOND  # one call each
    answer_ns: int = SECOND // 5  # for an answer; the links' longest way there and back, and some
    through: int = 3  # members who ask once more for one that did not answer
    suspicion: float = 4.0  # periods of suspicion for each power of ten of the tier's size
    rumours: int = 8  # the most in one message
    replies_per_s: int = 20  # answers and errands for others, however many ask


@dataclass(slots=True)
class _Member:
    """What is believed of one member."""

    state: State = State.UNKNOWN
    incarnation: int = 0
    life: int = 0
    since: int = 0
    witnesses: set[int] = field(default_factory=set)


@dataclass(slots=True)
class _Call:
    """A call without an answer yet."""

    target: int
    due: int  # asked through others then
    end: int  # suspected then
    errand_for: int = -1
    errand_number: int = 0
    widened: bool = False


class View(NamedTuple):
    """What operators and the other parts of the tier see of a member."""

    member: int
    state: State
    incarnation: int
    life: int
    since_ns: int
    witnesses: tuple[int, ...]


class Members:
    """One member's view of its tier of `size`, numbered from 0."""

    def __init__(self, me: int, size: int, life: int, seed: int, now: int, timing: Timing | None = None) -> None:
        self.me, self.life, self.incarnation = me, life, 1
        self.timing = timing or Timing()
        self.due = now  # when `tick` wants to be called
        self.twins = 0  # times that another life spoke with this number while this one was up
        self.wrong = 0  # messages that cannot be true
        self.doubt = 0  # Lifeguard's local health: 0 is well
        self._random = random.Random(seed)
        self._members = {n: _Member(since=now) for n in range(size)}
        self._members[me] = _Member(State.ALIVE, 1, life, now)
        self._round: list[int] = []
        self._calls: dict[int, _Call] = {}
        self._number = 0
        self._next_call = now
        self._spread: dict[int, int] = {me: 0}  # member: how often its present word was passed on
        # A peer that asks ten thousand times a second is answered as often as any other needs to be.
        self._replies = Allowance(self.timing.replies_per_s, self.timing.replies_per_s, now)
        self._ticked = now
        self._left = False

    # --- what is known --------------------------------------------------------------------------

    def word(self, kind: Kind, facts: tuple[Fact, ...] = (), loan: Loan | None = None) -> Message:
        """A message for other modules' words, with nothing on who is there but this member's own word."""
        return Message(kind, self.me, self.life, self.incarnation, 0, self.me, (), facts, loan)

    @property
    def size(self) -> int:
        """Members of the tier, this one among them."""
        return len(self._members)

    def views(self) -> list[View]:
        """What is believed of each member, by number."""
        return [
            View(n, m.state, m.incarnation, m.life, m.since, tuple(sorted(m.witnesses)))
            for n, m in sorted(self._members.items())
        ]

    def state(self, member: int) -> State:
        """What is believed of a member; UNKNOWN of one that is not on the list."""
        known = self._members.get(member)
        return known.state if known else State.UNKNOWN

    def serving(self) -> list[int]:
        """The members that count as there: alive or only suspected, this one among them."""
        return [n for n, m in sorted(self._members.items()) if m.state in (State.ALIVE, State.SUSPECTED)]

    def suspicion_ns(self) -> int:
        """How long a member is suspected before it counts as gone."""
        powers = max(1.0, math.log10(max(1, self.size)))
        return int(self.timing.suspicion * powers * self.timing.period_ns * (1 + self.doubt))

    # --- events ---------------------------------------------------------------------------------

    def resize(self, now: int, size: int) -> None:
        """The list of peers has another length: members past it are forgotten, new ones are unknown."""
        for number in [n for n in self._members if n >= size and n != self.me]:
            del self._members[number]
            self._spread.pop(number, None)
        for number in range(size):
            self._members.setdefault(number, _Member(since=now))
        self._round = [n for n in self._round if n < size]

    def leave(self, now: int) -> list[Send]:
        """This member ends: some are told, and tell the others."""
        self._left = True
        self.incarnation += 1
        self._set(now, self.me, State.LEFT, self.incarnation, self.life, self.me)
        return [Send(peer, self._message(Kind.TELL)) for peer in self._others(self.timing.through)]

    def tick(self, now: int) -> list[Send]:
        """Time has passed: call the next one, widen or end what is not answered, end suspicions."""
        if self._left or now < self.due:
            return []
        sends: list[Send] = []
        if now - self._ticked > 2 * self.timing.period_ns:
            # It stood still: whatever was not answered meanwhile may have been, and suspicions ran on unheard.
            self._worse()
            self._calls.clear()
            for member in self._members.values():
                if member.state is State.SUSPECTED:
                    member.since = now
        self._ticked = now
        for number, call in list(self._calls.items()):
            if now >= call.end:
                del self._calls[number]
                if call.errand_for < 0:
                    self._worse()
                    self._accuse(now, call.target)
            elif now >= call.due and not call.widened and call.errand_for < 0:
                call.widened = True
                helpers = self._others(self.timing.through, but=call.target)
                sends += [Send(peer, self._message(Kind.ASK_FOR, number, call.target)) for peer in helpers]
        suspicion = self.suspicion_ns()
        for number, member in self._members.items():
            if member.state is not State.SUSPECTED or now - member.since < suspicion:
                continue
            if self.me in member.witnesses or len(member.witnesses) >= WITNESSES:
                self._set(now, number, State.GONE, member.incarnation, member.life, self.me)
            elif now - member.since >= 2 * suspicion:  # hearsay of one, and nobody else in all that time
                self._set_back(now, number)
        if now >= self._next_call:
            self._next_call = max(self._next_call + self.timing.period_ns, now + self.timing.period_ns // 2)
            if (target := self._next_target()) is not None:
                sends.append(self._ask(now, target))
        self.due = self._next_due(now)
        return sends

    def heard(self, now: int, message: Message) -> list[Send]:
        """A message has come. Whom it is from is the sender's word: the shell has checked its address."""
        if self._left:
            return []
        sender = message.sender
        if sender == self.me:
            if message.life != self.life:
                self._twin(now, message.incarnation)
            return []
        if sender not in self._members or message.target not in self._members:
            self.wrong += 1
            return []
        back = self._of_sender(now, message)
        for rumour in message.rumours:
            self._rumour(now, rumour, sender)
        return back + self._by_kind(now, message)

    def _by_kind(self, now: int, message: Message) -> list[Send]:
        sender, number = message.sender, message.number
        if message.kind is Kind.ASK:
            if not self._replies.take(now):
                return []
            return [Send(sender, self._message(Kind.ANSWER, number, first=sender))]
        if message.kind is Kind.ASK_FOR:
            if message.target in (self.me, sender) or not self._replies.take(now):
                return []
            return [self._ask(now, message.target, sender, number)]
        call = self._calls.get(number)
        if message.kind is not Kind.ANSWER or call is None or call.target != message.target:
            return []
        del self._calls[number]
        if call.errand_for >= 0:
            if sender != call.target:
                return []
            return [Send(call.errand_for, self._message(Kind.ANSWER, call.errand_number, call.target))]
        self.doubt = max(0, self.doubt - 1)
        return []

    # --- what is told ---------------------------------------------------------------------------

    def _of_sender(self, now: int, message: Message) -> list[Send]:
        """The sender's own word on itself. Where something of a life before outweighs it, it is told so and takes
        a higher incarnation."""
        sender = message.sender
        known = self._members[sender]
        word = (message.incarnation, State.ALIVE)
        if message.incarnation > known.incarnation or known.state is State.UNKNOWN:
            left = any(r.member == sender and r.state is State.LEFT for r in message.rumours)
            if not left:
                self._set(now, sender, State.ALIVE, message.incarnation, message.life, sender)
        elif word < (known.incarnation, known.state) or message.life != known.life:
            self._spread[sender] = 0
            if message.kind is not Kind.ASK and self._replies.take(now):
                return [Send(sender, self._message(Kind.TELL, first=sender))]
        return []

    def _rumour(self, now: int, rumour: Rumour, sender: int) -> None:
        member, state, incarnation, life, witness = rumour
        known = self._members.get(member)
        if known is None or incarnation <= 0 or witness not in self._members:
            self.wrong += 1
            return
        if member == self.me:
            if incarnation >= self.incarnation and (state is not State.ALIVE or life != self.life):
                self._contradict(now, incarnation)
            return
        if state in (State.ALIVE, State.LEFT) and witness != member:
            self.wrong += 1  # nobody says for another that it lives or has left
            return
        if incarnation > known.incarnation + LEAP and member != sender:
            self.wrong += 1
            return
        if state is State.GONE and (incarnation, State.GONE) > (known.incarnation, known.state):
            # Another's verdict is an accusation here: this member counts its witnesses itself.
            state = State.SUSPECTED
        if (incarnation, state) > (known.incarnation, known.state):
            self._set(now, member, state, incarnation, life, witness)
        elif (incarnation, state, known.state) == (known.incarnation, State.SUSPECTED, State.SUSPECTED):
            self._add_witness(member, witness)

    def _add_witness(self, member: int, witness: int) -> None:
        witnesses = self._members[member].witnesses
        if witness not in witnesses and (len(witnesses) < WITNESSES or witness == self.me):
            witnesses.add(witness)
            self._spread[member] = 0

    def _set(self, now: int, member: int, state: State, incarnation: int, life: int, witness: int) -> None:
        known = self._members[member]
        if state is not known.state or incarnation != known.incarnation:
            known.since = now
        if state in (State.SUSPECTED, State.GONE):
            known.witnesses = (known.witnesses | {witness}) if known.incarnation == incarnation else {witness}
        else:
            known.witnesses = set()
        known.state, known.incarnation, known.life = state, incarnation, life
        self._spread[member] = 0

    def _set_back(self, now: int, member: int) -> None:
        """A lone accusation has aged without another: it counts no more."""
        known = self._members[member]
        known.state, known.since, known.witnesses = State.ALIVE, now, set()
        self._spread.pop(member, None)

    def _accuse(self, now: int, member: int) -> None:
        known = self._members.get(member)
        if known is None or known.state in (State.UNKNOWN, State.GONE, State.LEFT):
            return
        if known.state is State.SUSPECTED:
            self._add_witness(member, self.me)
            return
        self._set(now, member, State.SUSPECTED, known.incarnation, known.life, self.me)

    def _contradict(self, now: int, incarnation: int) -> None:
        """Something is said of this member that is not so, or was so in a life before."""
        self.incarnation = incarnation + 1
        self._set(now, self.me, State.ALIVE, self.incarnation, self.life, self.me)
        self._worse()

    def _twin(self, now: int, incarnation: int) -> None:
        """Another process speaks with this number. Neither can know which one is wanted: operators are told."""
        self.twins += 1
        self.incarnation = max(self.incarnation, min(incarnation, self.incarnation + LEAP))
        self._set(now, self.me, State.ALIVE, self.incarnation, self.life, self.me)

    def _worse(self) -> None:
        self.doubt = min(DOUBT, self.doubt + 1)

    # --- messages -------------------------------------------------------------------------------

    def _message(self, kind: Kind, number: int = 0, target: int = -1, first: int = -1) -> Message:
        rumours = self._pick_rumours(first)
        target = self.me if target < 0 else target
        return Message(kind, self.me, self.life, self.incarnation, number, target, rumours)

    def _pick_rumours(self, first: int = -1) -> tuple[Rumour, ...]:
        """Those passed on least, each some times the logarithm of the size; before them what is held against
        `first`, so that it can contradict."""
        most = TOLD * max(1, math.ceil(math.log2(self.size + 1)))
        if first >= 0 and self._members[first].state > State.ALIVE:
            self._spread.setdefault(first, 0)
        order = sorted(self._spread, key=lambda n: (n != first, self._spread[n], n))[: self.timing.rumours]
        rumours = []
        for member in order:
            known = self._members[member]
            self._spread[member] += 1
            if self._spread[member] > most:
                del self._spread[member]
            if known.state is State.UNKNOWN:
                continue
            accused = known.state in (State.SUSPECTED, State.GONE)
            witness = self._random.choice(sorted(known.witnesses)) if accused and known.witnesses else member
            rumours.append(Rumour(member, known.state, known.incarnation, known.life, witness))
        return tuple(rumours)

    def _ask(self, now: int, target: int, errand_for: int = -1, errand_number: int = 0) -> Send:
        self._number = self._number % 0xFFFF + 1
        wait = self.timing.answer_ns * (1 + self.doubt)
        end = now + max(3 * wait, self.timing.period_ns)
        self._calls[self._number] = _Call(target, now + wait, end, errand_for, errand_number)
        self.due = min(self.due, now + wait)
        return Send(target, self._message(Kind.ASK, self._number, target, first=target))

    def _next_target(self) -> int | None:
        """The next to be called: each once a round, those that are out too, so that a healed cut shows."""
        if not self._round:  # `resize` takes out whom it forgets
            self._round = [n for n in self._members if n != self.me]
            self._random.shuffle(self._round)
        return self._round.pop() if self._round else None

    def _others(self, count: int, but: int = -1) -> list[int]:
        there = [n for n, m in self._members.items() if m.state is State.ALIVE and n not in (self.me, but)]
        return self._random.sample(there, min(count, len(there)))

    def _next_due(self, now: int) -> int:
        times = [self._next_call]
        times += [call.end if call.widened or call.errand_for >= 0 else call.due for call in self._calls.values()]
        return max(now + 1, min(times))
