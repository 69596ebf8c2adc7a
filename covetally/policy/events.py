"""What a request, an outcome and a timer set off."""

from __future__ import annotations

from dataclasses import replace

from covetally.interface import Accept, NEVER_RAN, Response, Subscribe
from covetally.policy.state import Book
from covetally.policy.calls import Call
from covetally.policy.constants import (
    CANCELLED,
    ERROR,
    FULL,
    GAIN,
    MOOT,
    MUTE,
    OK,
    PLENTY,
    RETRY_RATIO,
    SPOILT,
    TIMEOUT,
)
from covetally.policy.tenant_limits import over_limit
from covetally.policy.attempt_rules import finish, first_try
from covetally.policy.load_shedding import glance
from covetally.policy.estimates import learn, mean_own, spread
from covetally.policy.outlier_detection import blame, clear, note_cut
from covetally.policy.dispatch import go, hold, pump, try_again

ANSWERS = (OK, ERROR, FULL, SPOILT)
NO_VERDICT = (CANCELLED, MOOT)  # withdrawn or never sent
MOST_TOKENS, MOST_TRIALS = 2.0 / RETRY_RATIO, 2.0  # how many of each may be saved up
TRIAL_RATIO = 0.1  # trials of servers at k = 0 earned by one request


def accept(b: Book, now: int, event: Accept) -> None:
    number, classes = event.cls, b.settings.classes
    if 0 <= number < len(classes):
        cls = classes[number]
    else:
        number, cls = 0, replace(classes[0], repeat="single_shot")  # repeating may be harmful
    size = float(event.cost_ns) or b.unit[number]
    came = now - event.age_ns
    again = event.retry if b.settings.marks_retry else event.key or event.cost_ns
    call = Call(event, cls, number, now, first_try(b, came, event, cls) if again else came, size)
    b.calls[event.tid] = call
    b.size += (size - b.size) * GAIN / 16
    count(b, now, event.key if b.settings.warm_keys else "")
    if event.place >= b.line.at and now < b.line.until_ns:
        # Exception "line": the fleet sheds what stands there in the one order of requests.
        finish(b, now, call, int(b.line.hold_off_ns * (0.5 + 0.5 * b.random())))
    elif b.allotted and (over := over_limit(b, now, event.tenant)):
        finish(b, now, call, over)
    elif now >= call.aim_at and not cls.late_worth:
        # Exception "late retry": its first try's aim has passed; work for it would earn nothing.
        finish(b, now, call, b.settings.limits.max_retry_after_ns)
    elif (
        not event.let_in and (b.shedding or event.age_ns > b.old)
        and (hold_off := glance(b, now, event.age_ns, False))
    ):  # fmt: skip
        finish(b, now, call, hold_off)
    elif b.held:
        hold(b, now, call)  # arrival order: nobody overtakes a waiting call
        pump(b, now)
    elif not go(b, now, call):
        hold(b, now, call)


def count(b: Book, now: int, key: str) -> None:
    b.heard += 1.0 - b.heard * min(1.0, (now - b.heard_at) / (4 * b.horizon))
    b.heard_at = now
    b.many = b.heard > PLENTY * len(b.up)
    held = now < b.line.until_ns
    most = b.line.saved if held else MOST_TOKENS
    if b.tokens < most:
        b.tokens = min(b.tokens + (b.line.retries if held else RETRY_RATIO), most)
    if b.trials < MOST_TRIALS:
        b.trials = min(b.trials + TRIAL_RATIO, MOST_TRIALS)
    if key:
        b.keys[key] = b.keys.get(key, 0) + 1
        b.keys_total += 1
        if b.keys_total >= 4096:  # halve, so that yesterday's hot keys cool down
            b.keys = {k: n // 2 for k, n in b.keys.items() if n > 1}
            b.keys_total = sum(b.keys.values())


def alarm(b: Book, now: int) -> None:
    if b.settings.must_ask and not b.watching and now >= b.asked_at:
        b.asked_at = now + b.settings.invariants.must_ask_in_ns // 2
        b.acts.append(Subscribe())
    if b.held and now >= b.alarm_at:
        b.alarm_at = 0
        pump(b, now)


def outcome(b: Book, now: int, event: Response) -> None:
    attempt = b.attempts.pop((event.tid, event.attempt), None)
    if attempt is None:
        return
    server, how = attempt.server, event.how
    server.inflight -= 1
    server.used = now
    own = mean_own(b, now)
    b.own, b.own_at = own + (event.own_ns - own) * GAIN / 4, now
    learn(b, now, attempt, event)
    if attempt.odds is not None and how not in NO_VERDICT:
        attempt.odds.note(now, how == OK and now <= attempt.aim_at, 4 * b.horizon)
    if b.settings.limits.peers and how in (OK, TIMEOUT):
        spread(b, server)
    if attempt.trial:
        server.trial = False
    if how in ANSWERS:
        b.spoke[server.zone] = max(b.spoke.get(server.zone, 0), attempt.sent)
        if len(b.unheard.pop(server.zone, ())) == MUTE:
            note_cut(b, server.zone, b.cut.get(server.zone, 0.0))
    if how == OK:
        clear(b, now, attempt)
    elif how not in NO_VERDICT:
        blame(b, now, attempt, how)
    b.refresh(server)
    if server.gone:
        b.forget(server)
    call = b.calls.get(event.tid)
    if call is not None:
        call.out -= 1
        if event.closed:
            drop(b, event.tid)
        else:
            if how not in NEVER_RAN and call.ran_on is None:
                call.ran_on, call.ran_at = server, attempt.sent
            if not call.out and not call.begun:
                try_again(b, now, call)
    if b.held:
        pump(b, now)


def drop(b: Book, tid: str) -> None:
    call = b.calls.pop(tid, None)
    if call is not None and not call.out and call in b.held:
        b.held.remove(call)
