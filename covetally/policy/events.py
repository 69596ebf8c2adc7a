"""Handlers of requests, timers and attempt results."""

from __future__ import annotations

from dataclasses import replace

from covetally.interface import NOT_EXECUTED, AttemptEnded, RequestReceived
from covetally.policy.state import BalancerState
from covetally.policy.calls import Call
from covetally.policy.constants import (
    CANCELLED,
    ERROR,
    FULL,
    GAIN,
    HIGH_TRAFFIC_REQUESTS,
    NOT_SENT,
    OK,
    RETRY_RATIO,
    SILENT_ZONE_CALLS,
    TIMEOUT,
    UNUSABLE_RESPONSE,
)
from covetally.policy.tenant_limits import limit_hold_off
from covetally.policy.attempt_rules import finish, first_asked_at
from covetally.policy.load_shedding import overload_hold_off
from covetally.policy.estimates import mean_local_delay, record_response, report_to_peers
from covetally.policy.outlier_detection import record_failure, record_success, set_zone_failures
from covetally.policy.dispatch import add_queue_timer, dispatch, dispatch_queue, enqueue, retry_or_finish

ANSWERED = (OK, ERROR, FULL, UNUSABLE_RESPONSE)
NO_EVIDENCE = (CANCELLED, NOT_SENT)  # statuses that say nothing about the server
MAX_RETRY_TOKENS, MAX_PROBE_TOKENS = 2.0 / RETRY_RATIO, 2.0  # how many of each can be saved up
PROBE_RATIO = 0.1  # probes of ejected servers earned by one request


def on_request(state: BalancerState, now: int, event: RequestReceived) -> None:
    """Refuse, dispatch or queue a new request."""
    number, classes = event.cls, state.settings.classes
    if 0 <= number < len(classes):
        cls = classes[number]
    else:
        number, cls = 0, replace(classes[0], repeat="single_shot")  # unknown class: a repeat may do harm
    size = float(event.cost_ns) or state.class_service_ns[number]
    arrived_at = now - event.age_ns
    maybe_retry = event.retry if state.settings.clients_mark_retries else event.key or event.cost_ns
    call = Call(
        event,
        cls,
        number,
        now,
        first_asked_at(state, arrived_at, event, cls) if maybe_retry else arrived_at,
        size,
    )
    state.calls[event.tid] = call
    state.mean_size += (size - state.mean_size) * GAIN / 16
    count_request(state, now, event.key if state.settings.key_affinity else "")
    if event.priority >= state.admission.threshold and now < state.admission.until_ns:
        # Exception "admission threshold": the fleet sheds all requests from this priority on.
        finish(state, now, call, int(state.admission.hold_off_ns * (0.5 + 0.5 * state.random())))
    elif state.quotas and (hold_off := limit_hold_off(state, now, event.tenant)):
        finish(state, now, call, hold_off)
    elif now >= call.aim_at and not cls.late_worth:
        # Exception "late retry": the aim of the client's first try has passed, so an answer would earn nothing.
        finish(state, now, call, state.settings.limits.max_retry_after_ns)
    elif (
        not event.admitted and (state.shedding or event.age_ns > state.queue_age_limit)
        and (hold_off := overload_hold_off(state, now, event.age_ns, False))
    ):  # fmt: skip
        finish(state, now, call, hold_off)
    elif state.queue:
        enqueue(state, now, call)  # in arrival order: no call overtakes one that waits
        dispatch_queue(state, now)
    elif not dispatch(state, now, call):
        enqueue(state, now, call)


def count_request(state: BalancerState, now: int, key: str) -> None:
    """Update the request rate, the retry and probe tokens, and the frequency of the key."""
    state.recent_requests += 1.0 - state.recent_requests * min(
        1.0, (now - state.recent_requests_at) / (4 * state.horizon)
    )
    state.recent_requests_at = now
    state.high_traffic = state.recent_requests > HIGH_TRAFFIC_REQUESTS * len(state.up)
    in_force = now < state.admission.until_ns
    most = state.admission.max_saved_retries if in_force else MAX_RETRY_TOKENS
    if state.retry_tokens < most:
        state.retry_tokens = min(
            state.retry_tokens + (state.admission.retries_per_request if in_force else RETRY_RATIO), most
        )
    if state.probe_tokens < MAX_PROBE_TOKENS:
        state.probe_tokens = min(state.probe_tokens + PROBE_RATIO, MAX_PROBE_TOKENS)
    if key:
        state.key_counts[key] = state.key_counts.get(key, 0) + 1
        state.key_total += 1
        if state.key_total >= 4096:  # halve all counts, so that keys that are no longer hot lose their weight
            state.key_counts = {k: n // 2 for k, n in state.key_counts.items() if n > 1}
            state.key_total = sum(state.key_counts.values())


def on_timer(state: BalancerState, now: int) -> None:
    """Dispatch queued calls if that is due. Rounding may let a timer fire early: if it was the only one, another
    follows."""
    state.pending_timers = max(0, state.pending_timers - 1)
    if not state.queue:
        return
    if now >= state.timer_at:
        state.timer_at = 0
        dispatch_queue(state, now)
    elif not state.pending_timers:
        add_queue_timer(state, state.timer_at - now)


def on_attempt_ended(state: BalancerState, now: int, event: AttemptEnded) -> None:
    """Learn from the result of an attempt, then retry or finish its call if needed."""
    attempt = state.attempts.pop((event.tid, event.attempt), None)
    if attempt is None:
        return
    server, status = attempt.server, event.status
    server.inflight -= 1
    server.last_used = now
    delay = mean_local_delay(state, now)
    state.local_delay, state.local_delay_at = delay + (event.local_ns - delay) * GAIN / 4, now
    record_response(state, now, attempt, event)
    if attempt.stats is not None and status not in NO_EVIDENCE:
        attempt.stats.record(now, status == OK and now <= attempt.aim_at, 4 * state.horizon)
    if state.settings.limits.peers and status in (OK, TIMEOUT):
        report_to_peers(state, server)
    if attempt.probe:
        server.probing = False
    if status in ANSWERED:
        state.zone_answered_at[server.zone] = max(state.zone_answered_at.get(server.zone, 0), attempt.sent_at)
        if len(state.unanswered.pop(server.zone, ())) == SILENT_ZONE_CALLS:
            set_zone_failures(state, server.zone, state.zone_failures.get(server.zone, 0.0))
    if status == OK:
        record_success(state, now, attempt)
    elif status not in NO_EVIDENCE:
        record_failure(state, now, attempt, status)
    state.update_available(server)
    if server.removed:
        state.remove_if_done(server)
    call = state.calls.get(event.tid)
    if call is not None:
        call.outstanding -= 1
        if event.closed:
            drop_call(state, event.tid)
        else:
            if status not in NOT_EXECUTED and call.executed_on is None:
                call.executed_on, call.executed_at = server, attempt.sent_at
            if status not in NOT_EXECUTED and event.unconfirmed:
                call.executed_unconfirmed = True
            if not call.outstanding and not call.response_started:
                retry_or_finish(state, now, call)
    if state.queue:
        dispatch_queue(state, now)


def drop_call(state: BalancerState, tid: str) -> None:
    """Forget a call that is owed no answer any more."""
    call = state.calls.pop(tid, None)
    if call is not None and not call.outstanding and call in state.queue:
        state.queue.remove(call)
