"""One member's part in the fleet's line, put together: requests, outcomes and words in; a line and words out."""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any

from covetally.interface import SECOND, Line as Told, Response, Settings
from covetally.overload import backoff, levels
from covetally.overload.threshold import FALLS, Line, Vote
from covetally.overload.priorities import Order, rank
from covetally.overload.pins import Pin
from covetally.overload.load import WINDOW_NS, Pressure
from covetally.overload.shares import Shares
from covetally.overload.budgets import RETRIES, gap_ns, saved
from covetally.overload.messages import Echo, LineWord, decode, encode
from covetally.words import Newest, Part, Word, first_number
from covetally.words.shell import ALL, Send

COUNTS_NS = 3 * SECOND // 2  # a word counts for so long
SPEAKERS = 16  # members that speak in one look, of all
QUIET = 8  # while all is well, so many times fewer
LATE_NS = 3 * SECOND // 5  # words that take longer one way tell of a load that was: better alone than by them
DELAY_NS = 10 * SECOND  # what was measured of that counts so long
LASTS_NS = 2 * SECOND  # what the balancer is told counts for so long: if this stops, it ends


@dataclass(frozen=True, slots=True)
class Policy:
    """What operators want of it. `trials_per_s` and `connections_per_s` are of all sidecars together, at one
    node; 0: no bound."""

    trials_per_s: float = 8.0
    connections_per_s: float = 0.0


class Member:
    """Its number `me` of `size`; `life` random at each start. Times in ns on one monotonic clock."""

    def __init__(
        self, me: int, size: int, life: int, seed: int, now: int, settings: Settings, policy: Policy
    ) -> None:
        self.me, self.size, self.life, self.policy = me, size, life, policy
        self._random = random.Random(seed).random
        self._settings = settings
        self._order = Order(settings)
        self._aims = [c.aim_ns for c in settings.classes]
        self.pressure = Pressure(settings, now)
        self.shares = Shares(settings)
        self.line = Line(now, size)
        self.pin: Pin | None = None
        self.lapsed: Pin | None = None  # the last pin, once its time was over
        self.refused: Counter[tuple[int, str]] = Counter()  # by class and rung's name
        self.garbage = 0
        self._words: Newest[LineWord] = Newest(me, COUNTS_NS)
        self._number = first_number(now)
        self._told_at = now
        self._sent: deque[tuple[int, int]] = deque(maxlen=64)  # numbers of own words, and when they were said
        self.delay_ns = 0  # of words, one way, as echoes tell
        self._delay_at = 0
        self._last = (0, 0, now - COUNTS_NS)  # whose word was heard last: sender, number, when
        self.due = now + WINDOW_NS

    # --- requests -------------------------------------------------------------------------------

    def place(self, name: bytes | str, cls: int, tenant: int, retry: bool) -> float:
        """A request's place in the one order; it counts as asked."""
        place = self._order.place(cls, rank(name), self.shares.within(tenant), retry)
        let_in = place < levels.place(self.line.rung)
        self.pressure.asked(tenant, let_in)
        if not let_in:
            self.refused[cls, levels.name(self.line.rung)] += 1
        return place

    def ended(self, served: bool) -> None:
        """A request has its answer."""
        self.pressure.ended(served)

    def outcome(self, event: Response, cls: int) -> None:
        """An attempt has ended."""
        aim = self._aims[cls] if 0 <= cls < len(self._aims) else self._aims[0]
        self.pressure.outcome(event, event.lag_ns > aim)

    # --- words ----------------------------------------------------------------------------------

    def heard(self, now: int, word: Word) -> list[Send]:
        """A member's word; BadWord if its body is none."""
        if word.sender < self.size:
            said = decode(word.body)
            if self._words.heard(now, word, said):
                self._last = (word.sender, word.number % 65536, now)
                if said.echo is not None and said.echo.sender == self.me:
                    self._measure(now, said.echo)
        return []

    def _measure(self, now: int, echo: Echo) -> None:
        """An own word has come back: half of the time that passed is its way."""
        at = next((at for number, at in self._sent if number % 65536 == echo.number), None)
        if at is not None:
            way = max(0, now - at - echo.held_ns) // 2
            self.delay_ns += (way - self.delay_ns) // 2 if self._delay_at else way
            self._delay_at = now

    def tick(self, now: int) -> list[Send]:
        """Time has passed: what to say to all, if anything. Next at `due`."""
        if now < self.due:
            return []
        self.due = now + WINDOW_NS
        self.pressure.turn(now)
        own = self.pressure.seen()
        words = [(word, at) for _, word, at in self._words.fresh(now)]
        if self.delay_ns > LATE_NS and now - self._delay_at < DELAY_NS:
            words = []
        least, most = self._bounds(now)
        votes = [Vote(word.rung, word.seen, at) for word, at in words]
        self.line.look(now, own, votes, least, most)
        self.shares.look([own, *(word.seen for word, _ in words)], self.size)
        well = self.line.rung == levels.OPEN and self.line.load < FALLS and own.ratio < FALLS
        if self._random() >= SPEAKERS / self.size / (QUIET if well else 1):
            return []
        self._number += 1
        self._sent.append((self._number, now))
        echo = Echo(*self._last[:2], now - self._last[2]) if now - self._last[2] < COUNTS_NS else None
        body = encode(LineWord(self.line.rung, self.line.rung if self.pin else -1, own, echo))
        return [Send(ALL, Word(Part.LINE, self.me, self.life, self._number, body))]

    def _bounds(self, now: int) -> tuple[int, int]:
        pin = self.pin
        if pin is not None and now >= pin.until_ns:
            self.pin, self.lapsed, pin = None, pin, None
        return (pin.least, pin.most) if pin is not None else (levels.OPEN, levels.LAST)

    def leave(self, now: int) -> list[Send]:
        """Nothing is owed to anybody: words lapse."""
        return []

    def told(self, now: int) -> list[Told]:
        """What the balancer is told: once a look."""
        if now < self._told_at:
            return []
        self._told_at = self.due
        rung = self.line.rung
        return [Told(
            now + LASTS_NS, levels.place(rung),
            backoff.hold_off_ns(rung, self._settings.limits.max_retry_after_ns),
            RETRIES * levels.retries_left(rung), saved(self.size),
            gap_ns(self.size, self.policy.trials_per_s), gap_ns(self.size, self.policy.connections_per_s),
        )]  # fmt: skip

    def resize(self, size: int) -> None:
        """The list of peers has changed."""
        self.size = self.line.size = size
        self._words.resize(size)

    def table(self, now: int) -> dict[str, Any]:
        """For operators: which step holds, since when, why, what it refused."""
        line = self.line
        return {
            "rung": line.rung, "step": levels.name(line.rung), "for_s": round((now - line.since) / SECOND, 1),
            "why": line.step.value, "load": round(line.load, 2), "voters": line.voters,
            "heard": sum(1 for _ in self._words.fresh(now)),
            "pin": self.pin.text if self.pin else "", "pin_for_s": self._left(now),
            "lapsed": self.lapsed.text if self.lapsed else "",
            "refused": {f"{self._name(cls)}: {step}": n for (cls, step), n in sorted(self.refused.items())},
            "delay_ms": self.delay_ns // 1_000_000, "garbage": self.garbage,
        }  # fmt: skip

    def _left(self, now: int) -> float:
        return round(max(0, self.pin.until_ns - now) / SECOND, 1) if self.pin else 0.0

    def _name(self, cls: int) -> str:
        classes = self._settings.classes
        return classes[cls].name if 0 <= cls < len(classes) else "unknown"
