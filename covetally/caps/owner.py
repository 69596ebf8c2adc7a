"""The home of some units of a cap: to whom they are lent, by whom they are wanted. No I/O; ns on its own clock.

    it hears                          it does
    --------                          -------
    ask, newer than the last one      takes `held` for what that holder has: any grant before it is void there;
    lends of that life                      more if there is any, and answers in any case an older ask
    nothing a word of another life            what the life before held is free: its sockets ended with its
    process nothing of a holder               LAPSES: frees what it lent one fence after the last grant; NEVER:
    keeps it lent its own start                     LAPSES: lends nothing for one fence; NEVER: until all others
    have said what they hold. Who holds something renews it meanwhile its cap lowered                   asks
    back what is lent beyond it, what rests longest first

Units that come free go to who has waited longest. Where nothing is free and somebody waits, the holder whose
connections rest longest is asked for one. Askers are told when to ask again, so that all of them together ask
ASKS_PER_S times a second at most, however many they are.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from covetally.caps.rule import Mode, Rule
from covetally.interface import SECOND
from covetally.gossip import is_newer_incarnation

ASKS_PER_S = 40.0
FIRST_PAUSE_NS = SECOND // 4
RECALL_NS = SECOND // 10  # between two recalls to one holder
WAITS_NS = 2 * SECOND  # an ask that was not met counts so long


class Grant(NamedTuple):
    """For a holder: `lent` in all, as of its ask with this number; who wants more asks again after `pause_ns`."""

    to: int
    number: int
    lent: int
    pause_ns: int


class Recall(NamedTuple):
    """To a holder: give so many back, resting ones first, and `busy` ones too where it has to be."""

    to: int
    count: int
    busy: bool = False


class Asked(NamedTuple):
    """What a holder says: its ask's number, units held of this home, wanted besides, and how many connections
    rest for how long."""

    number: int
    held: int
    wants: int
    resting: int = 0
    rested_ns: int = 0


@dataclass(slots=True)
class _Holder:
    """What one life of one member has of this home."""

    life: int
    number: int = -1
    lent: int = 0
    until: int = 0
    wants: int = 0
    asked: int = 0
    resting: int = 0
    rested_ns: int = 0
    recalled: int = 0


class Home:
    """Some units' home."""

    def __init__(self, rule: Rule, me: int, now: int) -> None:
        self.me, self.rule = me, rule
        self.units = rule.units(me)
        self.twins = 0  # asks of a life that another had followed, or of a second process with that number
        self._holders: dict[int, _Holder] = {}
        self._free_from = now + rule.fence_ns
        self._unheard = set(range(rule.members)) - {me} if rule.mode is Mode.NEVER else set()

    def change(self, now: int, rule: Rule) -> None:
        """The cap, or the list of members, is another. Units that were not at home here before are as after a
        start: whoever had them may still have lent them."""
        more = rule.units(self.me) > self.units and rule.members != self.rule.members
        if more or rule.mode is not self.rule.mode:
            self._free_from = now + rule.fence_ns
            self._unheard = set(range(rule.members)) - {self.me} if rule.mode is Mode.NEVER else set()
        self._unheard = {member for member in self._unheard if member < rule.members}
        self.rule, self.units = rule, rule.units(self.me)

    @property
    def lent(self) -> int:
        """Units that somebody has, or may have."""
        return sum(holder.lent for holder in self._holders.values())

    def free(self, now: int) -> int:
        """Units that may be lent now."""
        if self._unheard or (self.rule.mode is Mode.LAPSES and now < self._free_from):
            return 0
        return self.units - self.lent

    def ask(self, now: int, sender: int, life: int, ask: Asked) -> list[Grant | Recall]:
        """A holder's ask; see the table."""
        number, held, wants, resting, rested_ns = ask
        holder = self._of(now, sender, life, number)
        if holder is None or number <= holder.number:
            return []
        holder.number, holder.asked = number, now
        holder.wants, holder.resting, holder.rested_ns = wants, resting, rested_ns
        self._unheard.discard(sender)
        if self.rule.mode is Mode.LAPSES and now >= self._free_from and held > holder.lent:
            # It lapsed here and may have been lent again: what it says it has it may not have any more.
            held = max(holder.lent, min(held, holder.lent + max(0, self.free(now))))
        holder.lent = held
        out: list[Grant | Recall] = [self._grant(now, sender, holder)]
        return out + self._share(now, besides=sender)

    def tick(self, now: int) -> list[Grant | Recall]:
        """Time has passed."""
        if self.rule.mode is Mode.LAPSES:
            for member, holder in self._holders.items():
                if holder.lent and now >= holder.until and member != self.me:
                    holder.lent = 0
        return self._share(now) + self._excess(now)

    def unheard(self, now: int) -> tuple[int, ...]:
        """Members to be asked what they hold of this home: of whom nothing was heard since a start, and holders
        that are silent: another life of one knows nothing of what the one before held."""
        if self.rule.mode is Mode.LAPSES:
            return ()
        silent = (m for m, h in self._holders.items() if h.lent and now - h.asked >= self.rule.lease_ns)
        return (*self._unheard, *(member for member in silent if member != self.me))

    # --- parts ----------------------------------------------------------------------------------

    def _of(self, now: int, sender: int, life: int, number: int) -> _Holder | None:
        """The holder of this life; None if another one is newer."""
        holder = self._holders.get(sender)
        if holder is None or holder.life != life:
            if holder is not None and not is_newer_incarnation(number, holder.number, now - holder.asked):
                self.twins += 1
                return None
            holder = self._holders[sender] = _Holder(life)
        return holder

    def _grant(self, now: int, sender: int, holder: _Holder) -> Grant:
        give = max(0, min(holder.wants, self.free(now)))
        holder.lent += give
        holder.wants -= give
        holder.until = now + self.rule.fence_ns
        return Grant(sender, holder.number, holder.lent, self._pause(now))

    def _pause(self, now: int) -> int:
        waiting = sum(1 for h in self._holders.values() if h.wants and now - h.asked < WAITS_NS)
        return max(FIRST_PAUSE_NS, int(waiting / ASKS_PER_S * SECOND))

    def _share(self, now: int, besides: int = -1) -> list[Grant | Recall]:
        """What is free to who waits; where nothing is, one that rests is asked back."""
        waiting = [
            (holder.asked, member, holder) for member, holder in self._holders.items()
            if holder.wants and member != besides and now - holder.asked < WAITS_NS
        ]  # fmt: skip
        out: list[Grant | Recall] = []
        for _, member, holder in sorted(waiting, key=lambda w: w[:2]):
            if self.free(now) <= 0:
                break
            out.append(self._grant(now, member, holder))
        short = sum(h.wants for h in self._holders.values() if h.wants and now - h.asked < WAITS_NS)
        if short and self.free(now) <= 0:
            out += self._call_back(now, short, resting=True)
        return out

    def _excess(self, now: int) -> list[Grant | Recall]:
        over = self.lent - self.units
        return self._call_back(now, over, resting=False) if over > 0 else []

    def _call_back(self, now: int, count: int, resting: bool) -> list[Grant | Recall]:
        """Ask holders back, those whose connections rest longest first; busy ones only where they are `not
        resting` only."""
        out: list[Grant | Recall] = []
        holders = [
            (holder.rested_ns if holder.resting else -1, member, holder)
            for member, holder in self._holders.items()
            if holder.lent and (holder.resting or not resting) and now - holder.recalled >= RECALL_NS
        ]  # fmt: skip
        for _, member, holder in sorted(holders, key=lambda h: (-h[0], h[1])):
            if count <= 0:
                break
            back = min(count, holder.resting if resting else holder.lent)
            holder.recalled = now
            count -= back
            out.append(Recall(member, back, not resting))
        return out

    def table(self, now: int) -> dict[str, object]:
        """For operators."""
        return {
            "units": self.units, "lent": self.lent, "free": max(0, self.free(now)),
            "to": {member: holder.lent for member, holder in self._holders.items() if holder.lent},
            "waiting": sum(1 for h in self._holders.values() if h.wants and now - h.asked < WAITS_NS),
            "waits_for": sorted(self._unheard)[:8],
            "fence_s": round(max(0, self._free_from - now) / SECOND, 1) if self.rule.mode is Mode.LAPSES else 0.0,
            "twins": self.twins,
        }  # fmt: skip
