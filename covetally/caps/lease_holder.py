"""One sidecar's units of a cap: what it has of each home, what it wants, when it has to be without. No I/O.

A grant counts only if it answers the last ask to that home: whatever is on its way when an ask goes out is
void, and the home takes `held` in that ask for what is there. A unit of a home lapses one lease after the ask
was SENT that the last grant answered, which is before the home may lend it again.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from covetally.caps.rule import Mode, Rule
from covetally.interface import SECOND

PAUSE_NS = SECOND // 4  # between asks to a home that does not answer
AT_ONCE = 4  # homes asked at a time for units that are wanted
NEXT_NS = SECOND // 20  # until the next ones are
OWED_NS = SECOND // 2  # a home that still wants a unit back has said so again by then
KEEPS_NS = SECOND // 4  # a unit that nothing needs is given back after so long


class Ask(NamedTuple):
    """For a home; see `home`."""

    to: int
    number: int
    held: int
    wants: int


@dataclass(slots=True)
class _Loan:
    """What one home has lent to this sidecar."""

    number: int = 0
    held: int = 0
    sent: int = 0  # when the last ask went out
    asked: int = 0  # units wanted in it
    waits: int = 0  # of these not granted yet: this holder stands in the home's queue for them
    answered: bool = True
    lapses: int = 0
    again: int = 0  # not asked for more before
    misses: int = 0  # asks in a row without an answer
    owed: int = 0  # asked back, and still in use
    owed_at: int = 0


class Holder:
    """One sidecar's units of a cap."""

    def __init__(self, rule: Rule, me: int, now: int, first: int = 0) -> None:
        self.rule, self.me = rule, me
        self.needs = 0  # units in use or wanted now
        self._first = first
        self._loans = {home: _Loan(number=first) for home in rule.homes()}
        self._order = self._turned()
        self._asked_at = now
        self._spare_from = now
        self._resting = False

    def _turned(self) -> list[int]:
        """Each member asks the homes from another one on."""
        found = list(self.rule.homes())
        turn = self.me % len(found) if found else 0
        order = found[turn:] + found[:turn]
        return sorted(order, key=lambda home: home != self.me)  # its own units first

    def change(self, now: int, rule: Rule) -> None:
        """The cap, or the list of members, is another. What was lent stays until it lapses or is asked back."""
        self.rule = rule
        for home in rule.homes():
            self._loans.setdefault(home, _Loan(number=self._first))
        self._order = self._turned()

    def held(self, now: int) -> int:
        """Units that are here now."""
        return sum(loan.held for loan in self._loans.values() if self._counts(loan, now))

    def usable(self, now: int) -> int:
        """Units that may be used now: without those that are asked back."""
        return self.held(now) - sum(min(loan.owed, loan.held) for loan in self._loans.values())

    def _counts(self, loan: _Loan, now: int) -> bool:
        return self.rule.mode is Mode.NEVER or now < loan.lapses

    def lapses_at(self, now: int) -> int:
        """When the next of them lapses; 0: none does."""
        if self.rule.mode is Mode.NEVER:
            return 0
        return min((loan.lapses for loan in self._loans.values() if loan.held and now < loan.lapses), default=0)

    def tick(self, now: int, in_use: int, resting: int = 0) -> list[Ask]:
        """Time has passed; `in_use` connections are open, of which some rest. Renews, asks for what it needs,
        gives back what it does not need any more, and tells homes when something begins to rest: somebody may
        wait."""
        begins = resting > 0 and not self._resting
        self._resting = resting > 0
        if self.rule.mode is Mode.LAPSES:
            for loan in self._loans.values():
                if loan.held and now >= loan.lapses:
                    loan.held = 0
        out: list[Ask] = []
        held = self.held(now)
        if self.needs >= held:
            self._spare_from = now
        spare = held - self.needs if now - self._spare_from >= KEEPS_NS else 0
        for home, loan in self._loans.items():
            if loan.owed and now - loan.owed_at >= OWED_NS:
                loan.owed = 0  # what rested is in use again, and nobody waits any more
            stale = loan.held and (begins or now - loan.sent >= self.rule.lease_ns // 2)
            # Else units that others want would come here first, and lie unused for KEEPS_NS.
            leaves = loan.waits and loan.answered and self.needs <= held
            retry = not loan.answered and now - loan.sent >= min(PAUSE_NS << min(loan.misses, 3), 2 * SECOND)
            owed = loan.held if home not in self.rule.homes() else min(loan.owed, loan.held)
            back = max(min(spare, loan.held), min(owed, held - in_use), 0)
            if stale or retry or back or leaves:
                loan.misses = loan.misses + 1 if retry else 0
                spare -= back
                held -= back
                loan.held -= back
                loan.owed = max(0, loan.owed - back)
                out.append(self._ask(now, home, loan, 0))
        return out + self._want(now)

    def _want(self, now: int) -> list[Ask]:
        out: list[Ask] = []
        on_way = sum(loan.asked for loan in self._loans.values() if not loan.answered)
        missing = self.needs - self.held(now) - on_way
        if missing <= 0 or now - self._asked_at < NEXT_NS:
            return out
        self._asked_at = now
        # Whom it has not asked for longest first: else the same few would be asked over and over.
        for home in sorted(self._order, key=lambda home: self._loans[home].sent):
            if missing <= 0 or len(out) >= AT_ONCE:
                break
            loan = self._loans[home]
            if loan.owed:
                continue
            if loan.answered and now >= loan.again:
                wants = min(missing, max(1, self.rule.units(home)))
                out.append(self._ask(now, home, loan, wants))
                missing -= wants
        return out

    def _ask(self, now: int, home: int, loan: _Loan, wants: int) -> Ask:
        loan.number += 1
        loan.sent, loan.answered, loan.asked, loan.waits = now, False, wants, wants
        return Ask(home, loan.number, loan.held, wants)

    def granted(self, now: int, home: int, number: int, lent: int, pause_ns: int) -> None:
        """A home's answer."""
        loan = self._loans.get(home)
        if loan is None or number != loan.number or lent < 0:
            return
        # A home whose queue this sidecar stands in grants more later, as of the same ask.
        loan.lapses = loan.sent + self.rule.lease_ns
        loan.waits = max(0, loan.waits - max(0, lent - loan.held))
        loan.answered, loan.held, loan.misses = True, lent, 0
        loan.owed = min(loan.owed, lent)
        unmet = loan.asked > 0 and lent <= 0
        loan.again = now + (pause_ns if unmet or self.needs > self.held(now) else 0)

    def recalled(self, now: int, home: int, count: int, in_use: int, closes: int) -> list[Ask]:
        """A home wants units back: what is unused goes at once; the rest, as far as `closes` connections may be
        closed for it, is not usable any more, and goes back by `tick` once they have been."""
        loan = self._loans.get(home)
        if loan is None or not loan.held:
            return []
        unused = max(0, self.held(now) - in_use)
        loan.owed, loan.owed_at = min(count, loan.held, unused + closes), now
        unused = min(unused, loan.owed)
        if not unused:
            return []
        loan.held -= unused
        loan.owed -= unused
        return [self._ask(now, home, loan, 0)]

    def queried(self, now: int, home: int) -> list[Ask]:
        """A home asks what is held of it."""
        loan = self._loans.get(home)
        if loan is None:
            return [Ask(home, self._first + 1, 0, 0)]
        return [self._ask(now, home, loan, 0)]

    def give_all(self, now: int) -> list[Ask]:
        """This sidecar ends: everything goes back."""
        out = []
        for home, loan in self._loans.items():
            if loan.held or not loan.answered:
                loan.held = 0
                out.append(self._ask(now, home, loan, 0))
        self.needs = 0
        return out

    def table(self, now: int) -> dict[str, object]:
        """For operators."""
        return {
            "held": self.held(now),
            "needs": self.needs,
            "of": {home: loan.held for home, loan in self._loans.items() if loan.held},
        }
