"""One member of a tier put together: who is there, facts, verdicts, limits. No I/O: datagrams and time in,
datagrams out. The shell sends what it returns and asks `tick` again at `due`.

However many ask, a member sends at most `Timing.replies_per_s` answers a second, and all members together send at
most `NEWS_PER_S` words to all a second, with a burst of NEWS_BURST each; of each sender a member reads at most
`HEARD_PER_S` datagrams a second.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple
from zlib import crc32

from covetally.interface import AttemptStatus
from covetally.tier.allowance import Allowance
from covetally.tier.facts import Facts
from covetally.tier.limits import Grant, Rule, Share, Usable, Want
from covetally.tier.members import SECOND, Kind, Loan, Members, Message, Send, Timing
from covetally.tier.verdicts import Advice, Verdicts
from covetally.tier.wire import Garbage, decode, encode

ALL_PEERS = -1
NEWS_PER_S = 20.0  # words to all, by the whole tier
NEWS_BURST = 3.0  # words that a member that was silent may send at once
HEARD_PER_S = 200.0  # datagrams read of one sender
LOANS_NS = SECOND // 4  # how often limits are looked at
AGING_NS = 5 * SECOND


class Datagram(NamedTuple):
    """Bytes for a peer, or with -1 for all."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Site:
    """What a member is told of its tier at its start. `zones` by their numbers in the settings; `rules` of the
    limits held."""

    zones: tuple[str, ...] = ()
    zone: int = 0
    rules: tuple[Rule, ...] = ()
    timing: Timing = Timing()
    verdicts: bool = True


class Node:
    """One member. Its numbers, and `Members`, are as there."""

    def __init__(self, me: int, size: int, life: int, seed: int, now: int, site: Site) -> None:
        self.me, self.site = me, site
        self.garbage = self.flooded = 0  # datagrams that were none of ours, or too many of one sender
        self._random = random.Random(seed)
        self.members = Members(me, size, life, self._random.getrandbits(64), now, site.timing)
        self.facts = Facts(me, site.zone % 256)
        self.verdicts = Verdicts(self.facts, site.zones, self._random.random, self.members.serving)
        self.shares = {crc32(rule.name.encode()): Share(rule, now, life) for rule in site.rules}
        self._news = Allowance(NEWS_PER_S / size, NEWS_BURST, now)
        self._heard: dict[int, Allowance] = {}
        self._told_late = False
        self._loans_at, self._aging_at = now, now + AGING_NS
        self._left = False
        self.due = now

    # --- events ---------------------------------------------------------------------------------

    def tick(self, now: int, demand: dict[str, float] | None = None) -> list[Datagram]:
        """Time has passed. `demand` is what could be used of each limit, by name."""
        if self._left:
            return []
        out = self._out(now, self.members.tick(now))
        if self.shares and now >= self._loans_at:
            self._loans_at = now + LOANS_NS
            for mark, share in self.shares.items():
                want = share.tick(now, (demand or {}).get(share.rule.name, 0.0))
                if want is not None:
                    loan = Loan(mark, want.seq, want.keep, want.each)
                    out.append(Datagram(ALL_PEERS, encode(self.members.word(Kind.WANT, loan=loan))))
        if now >= self._aging_at:
            self._aging_at = now + AGING_NS
            self.facts.age(now)
        return out + self._judge(now)

    def heard(self, now: int, sender: int, data: bytes) -> list[Datagram]:
        """A datagram has come from this member's address."""
        if self._left:
            return []
        allowance = self._heard.get(sender)
        if allowance is None:
            allowance = self._heard[sender] = Allowance(HEARD_PER_S, HEARD_PER_S, now)
        if not allowance.take(now):
            self.flooded += 1
            return []
        try:
            message = decode(data)
        except Garbage:
            self.garbage += 1
            return []
        if message.sender != sender:
            self.garbage += 1
            return []
        out = self._out(now, self.members.heard(now, message))
        if sender == self.me or message.target >= self.members.size:
            return out
        if message.loan is not None:
            out += self._loan(now, message, message.loan)
        if new := self.facts.heard(now, sender, message.life, message.incarnation, message.facts):
            self.verdicts.heard(new)
            out += self._judge(now)
        return out

    def outcome(self, now: int, server: str, how: AttemptStatus, cls: int, sent: int) -> None:
        """One of this member's own calls, sent then, has ended so."""
        if self._left or not self.site.verdicts:
            return
        self.verdicts.outcome(now, server, how, cls, sent)
        due = self.verdicts.due()
        if due is not None and due < self.due:
            self.due = max(now, due)

    def listed(self, nodes: dict[str, int]) -> None:
        """The list of nodes, with the zone of each."""
        self.verdicts.listed(nodes)

    def resize(self, now: int, size: int, rules: Iterable[Rule]) -> None:
        """The list of peers, or the limits, have changed."""
        if size != self.members.size:
            self.members.resize(now, size)
            self._news.per_s = NEWS_PER_S / size
            for number in [n for n in self._heard if n >= size]:
                del self._heard[number]
                self.facts.forget(number)
        wanted = {crc32(rule.name.encode()): rule for rule in rules}
        self.shares = {mark: share for mark, share in self.shares.items() if mark in wanted}
        for mark, rule in wanted.items():
            if mark not in self.shares:
                self.shares[mark] = Share(rule, now, self.members.life)
            elif self.shares[mark].rule != rule:
                self.shares[mark].change(now, rule)

    def leave(self, now: int) -> list[Datagram]:
        """This member ends. It lends nothing any more, and uses nothing."""
        out = self._out(now, self.members.leave(now))
        self._left = True
        return out

    # --- what comes of it -----------------------------------------------------------------------

    def advice(self) -> Advice:
        """What is told to the balancer of nodes and zones."""
        return self.verdicts.advice()

    def usable(self, now: int) -> dict[str, Usable]:
        """What may be used of each limit, by name."""
        return {share.rule.name: share.usable(now) for share in self.shares.values()}

    def table(self, now: int) -> dict[str, Any]:
        """All of it, for operators."""
        return {
            "member": self.me,
            "life": f"{self.members.life:08x}",
            "incarnation": self.members.incarnation,
            "doubt": self.members.doubt,
            "twins": self.members.twins,
            "members": [
                {
                    "member": v.member, "state": v.state.name.lower(),
                    "for_s": round((now - v.since_ns) / SECOND, 1), "incarnation": v.incarnation,
                    "life": f"{v.life:08x}", "accused_by": list(v.witnesses),
                }
                for v in self.members.views()
            ],
            "limits": [self._limit(now, share) for share in self.shares.values()],
            "verdicts": [
                {
                    "of": row.subject, "class": row.cls, "avoided": row.avoided,
                    "accused_by": list(row.witnesses), "well_for": list(row.well),
                    "age_s": round(row.age_ns / SECOND, 1), "tried_by": row.trial_of,
                    "trial_in_s": round(row.next_trial_ns / SECOND, 1),
                }
                for row in self.verdicts.rows(now)
            ],
            "counts": {
                "garbage": self.garbage + self.members.wrong, "flooded": self.flooded,
                "verdicts": self.verdicts.made, "trials": self.verdicts.trials,
            },
        }  # fmt: skip

    def _limit(self, now: int, share: Share) -> dict[str, Any]:
        rule = share.rule
        return {
            "limit": rule.name, "amount": rule.amount, "in_flight": rule.in_flight,
            "own": round(rule.own, 6), "usable": round(share.usable(now).amount, 6),
            "borrowed": round(share.borrowed(now), 6), "lent": round(share.lent(now), 6),
            "demand": round(share.demand, 3), "asked": share.asked, "loans": share.lent_out,
            "young": now < share.fence,
        }  # fmt: skip

    # --- parts ----------------------------------------------------------------------------------

    def _judge(self, now: int) -> list[Datagram]:
        """Look at the verdicts anew; news goes to all, as often as this member may speak."""
        out = []
        if self.site.verdicts and (self.verdicts.tick(now) or self._told_late):
            self._told_late = not self._news.take(now)
            if not self._told_late:
                out.append(Datagram(ALL_PEERS, encode(self.members.word(Kind.TELL, self.facts.news(now)))))
        due = [self.members.due]
        if (at := self.verdicts.due()) is not None and self.site.verdicts:
            due.append(max(at, now + SECOND // 100))
        if self._told_late:
            due.append(now + SECOND // 10)
        if self.shares:
            due.append(self._loans_at)
        self.due = min(due)
        return out

    def _loan(self, now: int, message: Message, loan: Loan) -> list[Datagram]:
        share = self.shares.get(loan.mark)
        if share is None:
            return []
        if message.kind is Kind.GRANT:
            if message.target == self.me:
                share.granted(now, message.sender, Grant(loan.seq, loan.amount))
            return []
        grant = share.want(now, message.sender, message.life, Want(loan.seq, loan.keep, loan.amount))
        if grant is None:
            return []
        back = self.members.word(Kind.GRANT, loan=Loan(loan.mark, grant.seq, 1.0, grant.amount))
        return [Datagram(message.sender, encode(back._replace(target=message.sender)))]

    def _out(self, now: int, sends: list[Send]) -> list[Datagram]:
        """With what this member has to say of nodes on every datagram that goes out anyhow."""
        facts = self.facts.digest(now) if sends and self.site.verdicts else ()
        return [Datagram(peer, encode(message._replace(facts=facts))) for peer, message in sends]
