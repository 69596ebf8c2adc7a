"""What the members of a tier tell each other beside who is there. No I/O; times are ns on one monotonic clock.

Each fact has an owner, a counter and an age. It is told by its owner and by nobody else, so the sender's address
(the shell checks it) is all the proof it needs, and nobody can be made to have said what it did not. Of one owner
and one subject the higher counter holds, within one life of the owner; of two lives the one of the higher
incarnation. So order, repeats and losses of datagrams do not matter.

A fact counts for `LASTS_NS` after it was said. Clocks are not compared: it says how old it was when it was sent,
and what it was under way comes on top of that, unknown. So at its end it may be older than that by as long as its
datagram took.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

LASTS_NS = 10_000_000_000
AGE_NS = 50_000_000  # unit of the ages told: one byte holds 12.75 s
MOST = 64  # facts kept of one owner, the last ones said
DIGEST = 10  # facts in one datagram


class What(enum.IntEnum):
    """What a fact is about. Of those in one digest the lower numbers come first."""

    ZONE = 1  # `subject` is a zone: `word` FAILS or WELL, as seen from the zone `detail`
    NODE = 2  # `subject` is a node: `word` FAILS or WELL, for the class `detail` - 1, or with 0 for all
    TRIES = 3  # the owner makes the tier's one trial call to this node now
    BACK = 4  # this node's process had ended, and answers again since


class Word(enum.IntEnum):
    """What is said of the subject."""

    WELL = 0
    FAILS = 1  # no answer, or one that is a failure
    ENDED = 2  # no connection: its process is not there


class Fact(NamedTuple):
    """`subject` is the CRC-32 of a name; `zone` the owner's, by its number in the settings; `age_ns` how long ago
    it was said."""

    what: What
    subject: int
    counter: int
    word: Word
    detail: int
    zone: int
    age_ns: int = 0


class Said(NamedTuple):
    """A fact as it is kept: who said it, when by this member's clock."""

    owner: int
    fact: Fact
    at: int


Key = tuple[What, int, int]


class _Owner:
    """All that one life of one member has said."""

    __slots__ = ("facts", "incarnation", "life")

    def __init__(self, life: int, incarnation: int) -> None:
        self.life, self.incarnation = life, incarnation
        self.facts: dict[Key, Said] = {}


class Facts:
    """What is known, and what this member tells."""

    def __init__(self, me: int, zone: int) -> None:
        self.me, self.zone = me, zone
        self._counter = self._told = 0
        self._owners: dict[int, _Owner] = {me: _Owner(0, 0)}
        self._about: dict[tuple[What, int], dict[tuple[int, int], Said]] = {}

    def say(self, now: int, what: What, subject: int, word: Word, detail: int = 0) -> None:
        """A fact of this member's own, in place of what it said of the same before."""
        self._counter += 1
        fact = Fact(what, subject, self._counter, word, detail, self.zone)
        self._put(self._owners[self.me], self.me, fact, now)

    def digest(self, now: int) -> tuple[Fact, ...]:
        """This member's own facts for one datagram: zones before nodes, then the latest."""
        own = self._owners[self.me].facts
        self._age(now, own)
        said = sorted(own.values(), key=lambda s: (s.fact.what, -s.fact.counter))[:DIGEST]
        return tuple(s.fact._replace(age_ns=now - s.at) for s in said)

    def news(self, now: int) -> tuple[Fact, ...]:
        """This member's own facts that `news` has not given yet, for one word to all."""
        new = [fact for fact in self.digest(now) if fact.counter > self._told]
        self._told = self._counter
        return tuple(new)

    def heard(self, now: int, owner: int, life: int, incarnation: int, facts: tuple[Fact, ...]) -> list[Said]:
        """What a member has told; returns what of it is new."""
        if owner == self.me or not facts:
            return []
        known = self._owners.get(owner)
        if known is None or (life != known.life and incarnation > known.incarnation):
            if known is not None:
                self.forget(owner)
            known = self._owners[owner] = _Owner(life, incarnation)
        elif life != known.life:
            return []  # late words of a life before
        known.incarnation = max(known.incarnation, incarnation)
        new = []
        for fact in facts:
            before = known.facts.get((fact.what, fact.subject, fact.detail))
            if fact.age_ns < LASTS_NS and (before is None or fact.counter > before.fact.counter):
                new.append(self._put(known, owner, fact, now - fact.age_ns))
        return new

    def forget(self, owner: int) -> None:
        """An owner that is no member any more."""
        if (known := self._owners.pop(owner, None)) is not None:
            for key in list(known.facts):
                self._drop(known.facts, key)

    def about(self, now: int, what: What, subject: int) -> list[Said]:
        """What counts of a subject now, this member's own word with it."""
        return [s for s in self._about.get((what, subject), {}).values() if now - s.at < LASTS_NS]

    @property
    def any(self) -> bool:
        """Whether anything is kept."""
        return bool(self._about)

    def subjects(self, what: What) -> list[int]:
        """All that anything was said of."""
        return [subject for kind, subject in self._about if kind is what]

    def age(self, now: int) -> None:
        """Let go of what counts no more."""
        for known in self._owners.values():
            self._age(now, known.facts)

    def _age(self, now: int, facts: dict[Key, Said]) -> None:
        for key in [key for key, said in facts.items() if now - said.at >= LASTS_NS]:
            self._drop(facts, key)

    def _put(self, known: _Owner, owner: int, fact: Fact, at: int) -> Said:
        key = (fact.what, fact.subject, fact.detail)
        known.facts.pop(key, None)  # so that the last one said stands last
        if len(known.facts) >= MOST:
            self._drop(known.facts, next(iter(known.facts)))
        said = known.facts[key] = Said(owner, fact, at)
        self._about.setdefault((fact.what, fact.subject), {})[owner, fact.detail] = said
        return said

    def _drop(self, facts: dict[Key, Said], key: Key) -> None:
        said = facts.pop(key)
        about = self._about[said.fact.what, said.fact.subject]
        del about[said.owner, said.fact.detail]
        if not about:
            del self._about[said.fact.what, said.fact.subject]
