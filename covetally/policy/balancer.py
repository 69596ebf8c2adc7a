"""The decisions of one sidecar: events in, actions out. Both are defined in `covetally/interface.py`.

The ordinary path is the design's: each server has an in-flight budget of k steps times a learned
concurrency figure; a call goes to the less loaded of two random servers by own calls in flight, ties by
expected time to answer; servers at budget are redrawn; calls wait in order when all are full; a waiting
call may pass as the server's one trial, under a backoff shared by all trials there. Each departure is
marked "Exception" and listed in docs/design.md with the condition under which it acts.
"""

from __future__ import annotations

from covetally.interface import (
    Accept,
    Action,
    Alarm,
    Allotted,
    Begun,
    Belief,
    Directory,
    Ending,
    Event,
    Hangup,
    Heard,
    Held,
    Line,
    Response,
    Settings,
    Suspect,
    Warned,
)
from covetally.policy.state import Book
from covetally.policy.shutdown import end_by
from covetally.policy.events import accept, alarm, drop, outcome
from covetally.policy.tenant_limits import allot, demand
from covetally.policy.server_list import apply_update
from covetally.policy.attempt_rules import remember
from covetally.policy.load_shedding import glance
from covetally.policy.estimates import hear
from covetally.policy.outlier_detection import suspect, warn, why_less


class Balancer:
    """One sidecar's balancer: clock, seed and events in, actions out."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.book = Book(settings, seed, now)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now`; return the actions to carry out, in order."""
        b = self.book
        b.acts = []
        kind = type(event)
        if kind is Accept:
            accept(b, now, event)
        elif kind is Response:
            outcome(b, now, event)
        elif kind is Alarm:
            alarm(b, now)
        elif kind is Directory:
            apply_update(b, now, event)
        elif kind is Heard:
            hear(b, now, event)
        elif kind is Hangup:
            if event.tid in b.calls:
                remember(b, b.calls[event.tid])
            drop(b, event.tid)
        elif kind is Begun and event.tid in b.calls:
            b.calls[event.tid].begun = True
        elif kind is Suspect:
            suspect(b, now, event)
        elif kind is Held and (server := b.servers.get(event.server)) is not None:
            server.held = max(0, server.held + event.change)
        elif kind is Warned:
            warn(b, now, event)
        elif kind is Allotted:
            allot(b, now, event)
        elif kind is Line:
            b.line, b.tokens = event, min(b.tokens, event.saved)
        elif kind is Ending:
            end_by(b, now, event.end_ns)
        return b.acts

    def retune(self, settings: Settings) -> None:
        """Go on with other figures for the same classes. What was learned stays, as do open calls' deadlines."""
        self.book.retune(settings)

    @property
    def shedding(self) -> bool:
        """Whether requests that waited are refused, at a glance where that can be."""
        return self.book.shedding

    @property
    def old(self) -> int:
        """What has waited for longer is refused while it sheds, in ns."""
        return self.book.old

    def glance(self, now: int, age: int, retry: bool) -> int:
        """Whether a request that need not be read is let in: 0, or when its client may come back, in ns."""
        return glance(self.book, now, age, retry)

    def demand(self) -> dict[tuple[int, bool], int]:
        """By tenant and kind of limit, what was wanted since this was last read."""
        return demand(self.book)

    def beliefs(self, now: int) -> list[Belief]:
        """What is believed of each server on the list, for operators to read."""
        b = self.book
        return [
            Belief(
                s.name, s.up, s.k, s.figure, s.inflight, now - s.started if s.started > 0 else -1,
                s.trial, max(0, s.retry_at - now) if not s.k else 0, s.bad, s.refused, s.wait,
                why_less(b, s, now),
            )
            for s in b.servers.values()
        ]  # fmt: skip

    def zones(self) -> dict[str, int]:
        """The servers up, with the zone of each."""
        return {s.name: s.zone for s in self.book.up}
