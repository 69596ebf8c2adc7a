"""A call's way: sent, held in order, tried again, ended."""

from __future__ import annotations

from bisect import bisect

from covetally.interface import Defer
from covetally.policy.state import Book
from covetally.policy.calls import Call
from covetally.policy.constants import RATIOS, SAFE
from covetally.policy.pick import choose, holds_more, trial_due
from covetally.policy.attempt_rules import finish, may_go, send
from covetally.policy.load_shedding import hopeless
from covetally.policy.estimates import mean_own


def last_moment(b: Book, call: Call) -> int:
    """When holding a call further earns nothing; always before its client's time is up."""
    last = call.deadline - 2 * b.settings.period_ns
    if call.cls.late_worth > 0:
        return last
    return min(last, call.aim_at - int(call.size * b.stretch / 2))


def go(b: Book, now: int, call: Call) -> bool:
    """Send the call or end it; False if it has to wait."""
    if b.up and not b.live and not any(trial_due(b, s, now) for s in b.up):
        # Every server is at k = 0 in trial or backoff: nothing can take it soon.
        finish(b, now, call, until_trial(b, now))
        return True
    server, trial, expect = choose(b, now, call)
    if server is None:
        if call.event.upgrade and not any(holds_more(b, s) for s in b.up):
            # Nobody knows when one of them ends: to hold the call would be to answer it late.
            finish(b, now, call, b.settings.limits.max_retry_after_ns)
            return True
        return False
    if not may_go(b, now, call, server):
        finish(b, now, call, come_back(b, now, call))
        return True
    odds = None
    if b.many:
        expect -= server.bad * call.cls.aim_ns  # a risk to be avoided in the pick, but no time it takes
    ratio = 0.0 if trial else (expect + mean_own(b, now)) / max(1, call.aim_at - now)
    if ratio > SAFE:
        odds = b.odds[bisect(RATIOS, ratio)]
        if hopeless(b, ratio, odds):
            finish(b, now, call, b.settings.limits.max_retry_after_ns)
            return True
    send(b, now, call, server, trial, odds)
    return True


def until_trial(b: Book, now: int) -> int:
    """When a server is due for its next trial; where one is out, that takes about an aim to tell."""
    return min((b.settle // 4 if s.trial else max(0, s.retry_at - now) for s in b.up), default=0)


def come_back(b: Book, now: int, call: Call) -> int:
    """How long a client should wait: not at all if it could still be served in time, else the longest.

    Guards against retries for which nothing can be earned any more, but which cost as much as others.
    """
    in_time = call.cls.late_worth > 0 or now + call.size * b.stretch < call.aim_at
    return 0 if in_time else b.settings.limits.max_retry_after_ns


def try_again(b: Book, now: int, call: Call) -> None:
    """After a failed attempt: another one if class, time and retry budget allow, else the end."""
    limit = call.deadline if call.cls.late_worth > 0 else call.aim_at
    if b.tokens >= 1.0 and now + call.size * b.stretch / 2 < limit:
        server, trial, _ = choose(b, now, call)
        if server is not None and may_go(b, now, call, server):
            b.tokens -= 1.0
            send(b, now, call, server, trial)
            return
    finish(b, now, call, come_back(b, now, call))


def hold(b: Book, now: int, call: Call) -> None:
    call.give_up = last_moment(b, call)
    b.held.append(call)
    arm(b, now)


def arm(b: Book, now: int) -> None:
    if b.held and b.alarm_at <= now:
        b.alarm_at = now + b.pace
        b.acts.append(Defer(b.pace, 1))


def pump(b: Book, now: int) -> None:
    """Let held calls go in arrival order; end those whose time has run out."""
    held = b.held
    if not held:
        return
    for call in [c for c in held if now + b.pace >= c.give_up]:
        held.remove(call)
        finish(b, now, call, b.settings.limits.max_retry_after_ns)
    while held and go(b, now, held[0]):
        held.popleft()
    arm(b, now)
