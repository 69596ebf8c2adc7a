"""What a request, an outcome and a timer set off."""

from __future__ import annotations

from dataclasses import replace

from covetally.interface import RequestReceived, NOT_EXECUTED, AttemptEnded, Subscribe
from covetally.policy.state import BalancerState
from covetally.policy.calls import Call
from covetally.policy.constants import (
    CANCELLED,
    ERROR,
    FULL,
    GAIN,
    NOT_SENT,
    MUTE,
    OK,
    PLENTY,
    RETRY_RATIO,
    UNUSABLE_RESPONSE,
    TIMEOUT,
)
from covetally.policy.tenant_limits import over_limit
from covetally.policy.attempt_rules import finish, first_try
from covetally.policy.load_shedding import overload_hold_off
from covetally.policy.estimates import learn, mean_own, spread
from covetally.policy.outlier_detection import blame, clear, set_zone_failures
from covetally.policy.dispatch import go, hold, pump, try_again

ANSWERS = (OK, ERROR, FULL, UNUSABLE_RESPONSE)
NO_VERDICT = (CANCELLED, NOT_SENT)  # withdrawn or never sent
MOST_TOKENS, MOST_TRIALS = 2.0 / RETRY_RATIO, 2.0  # how many of each may be saved up
TRIAL_RATIO = 0.1  # trials of servers at k = 0 earned by one request


def accept(state: BalancerState, now: int, event: RequestReceived) -> None:
    number, classes = event.cls, state.settings.classes
    if 0 <= number < len(classes):
        cls = classes[number]
    else:
        number, cls = 0, replace(classes[0], repeat="single_shot")  # repeating may be harmful
    size = float(event.cost_ns) or state.class_service_ns[number]
    came = now - event.age_ns
    again = event.retry if state.settings.clients_mark_retries else event.key or event.cost_ns
    call = Call(event, cls, number, now, first_try(state, came, event, cls) if again else came, size)
    state.calls[event.tid] = call
    state.mean_size += (size - state.mean_size) * GAIN / 16
    count(state, now, event.key if state.settings.key_affinity else "")
    if event.priority >= state.admission.threshold and now < state.admission.until_ns:
        # Exception "line": the fleet sheds what stands there in the one order of requests.
        finish(state, now, call, int(state.admission.hold_off_ns * (0.5 + 0.5 * state.random())))
    elif state.quotas and (over := over_limit(state, now, event.tenant)):
        finish(state, now, call, over)
    elif now >= call.aim_at and not cls.late_worth:
        # Exception "late retry": its first try's aim has passed; work for it would earn nothing.
        finish(state, now, call, state.settings.limits.max_retry_after_ns)
    elif (
        not event.admitted and (state.shedding or event.age_ns > state.queue_age_limit)
        and (hold_off := overload_hold_off(state, now, event.age_ns, False))
    ):  # fmt: skip
        finish(state, now, call, hold_off)
    elif state.queue:
        hold(state, now, call)  # arrival order: nobody overtakes a waiting call
        pump(state, now)
    elif not go(state, now, call):
        hold(state, now, call)


def count(state: BalancerState, now: int, key: str) -> None:
    state.recent_requests += 1.0 - state.recent_requests * min(
        1.0, (now - state.recent_requests_at) / (4 * state.horizon)
    )
    state.recent_requests_at = now
    state.high_traffic = state.recent_requests > PLENTY * len(state.up)
    held = now < state.admission.until_ns
    most = state.admission.max_saved_retries if held else MOST_TOKENS
    if state.retry_tokens < most:
        state.retry_tokens = min(
            state.retry_tokens + (state.admission.retries_per_request if held else RETRY_RATIO), most
        )
    if state.probe_tokens < MOST_TRIALS:
        state.probe_tokens = min(state.probe_tokens + TRIAL_RATIO, MOST_TRIALS)
    if key:
        state.key_counts[key] = state.key_counts.get(key, 0) + 1
        state.key_total += 1
        if state.key_total >= 4096:  # halve, so that yesterday's hot keys cool down
            state.key_counts = {k: n // 2 for k, n in state.key_counts.items() if n > 1}
            state.key_total = sum(state.key_counts.values())


def alarm(state: BalancerState, now: int) -> None:
    if state.settings.must_subscribe and not state.subscribed and now >= state.subscribe_at:
        state.subscribe_at = now + state.settings.invariants.subscribe_within_ns // 2
        state.actions.append(Subscribe())
    if state.queue and now >= state.timer_at:
        state.timer_at = 0
        pump(state, now)


def outcome(state: BalancerState, now: int, event: AttemptEnded) -> None:
    attempt = state.attempts.pop((event.tid, event.attempt), None)
    if attempt is None:
        return
    server, how = attempt.server, event.status
    server.inflight -= 1
    server.last_used = now
    own = mean_own(state, now)
    state.local_delay, state.local_delay_at = own + (event.local_ns - own) * GAIN / 4, now
    learn(state, now, attempt, event)
    if attempt.odds is not None and how not in NO_VERDICT:
        attempt.odds.note(now, how == OK and now <= attempt.aim_at, 4 * state.horizon)
    if state.settings.limits.peers and how in (OK, TIMEOUT):
        spread(state, server)
    if attempt.trial:
        server.probing = False
    if how in ANSWERS:
        state.zone_answered_at[server.zone] = max(state.zone_answered_at.get(server.zone, 0), attempt.sent)
        if len(state.zone_unanswered.pop(server.zone, ())) == MUTE:
            set_zone_failures(state, server.zone, state.zone_failures.get(server.zone, 0.0))
    if how == OK:
        clear(state, now, attempt)
    elif how not in NO_VERDICT:
        blame(state, now, attempt, how)
    state.update_available(server)
    if server.removed:
        state.remove_if_done(server)
    call = state.calls.get(event.tid)
    if call is not None:
        call.out -= 1
        if event.closed:
            drop(state, event.tid)
        else:
            if how not in NOT_EXECUTED and call.ran_on is None:
                call.ran_on, call.ran_at = server, attempt.sent
            if not call.out and not call.begun:
                try_again(state, now, call)
    if state.queue:
        pump(state, now)


def drop(state: BalancerState, tid: str) -> None:
    call = state.calls.pop(tid, None)
    if call is not None and not call.out and call in state.queue:
        state.queue.remove(call)
