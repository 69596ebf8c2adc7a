"""Decides when discovery is called and how long a call may take. Arithmetic only, no I/O; docs/design/list.md has
the same rules as a table.

The platform counts a sidecar as notified of a change at the following times:

- A call that falls silent has to be followed by another. A change that the silent call missed counts as notified
  `NOTIFIED_AFTER_SILENCE_S` after the call fell silent, or `NOTIFIED_AFTER_WAIT_S` after the end of the wait that
  the call asked for, whichever is later.
- Whatever failed in between, a change counts as notified `NOTIFIED_AFTER_SILENCE_S` after discovery had it and
  could be reached.
- Where lists are pushed, the agent runs on this machine, and what it has counts as notified immediately after an
  outage and at the start of this process. A sidecar that has had no answer from it therefore tries again within
  the drain grace.
- Where lists are polled, discovery is one service shared by all sidecars, and it may process calls in turn. A
  call after a failed one therefore gets a long timeout and asks for no wait, and the policy draws the pauses
  between failed calls (`MEAN_SUBSCRIBE_DELAY` in covetally/policy/server_list.py).
"""

from __future__ import annotations

from typing import NamedTuple

# Defined by the platform's documentation.
NOTIFIED_AFTER_SILENCE_S, NOTIFIED_AFTER_WAIT_S = 6.0, 2.0
DRAIN_GRACE_S = 0.5  # between a drain counting as notified and the last moment at which new requests may be sent

LONG_POLL_MS = 2000  # wait of a watch; short, because a silent watch is detected only after the wait
WAIT_MARGIN_S = 1.0  # a call may take this much longer than the wait that it asked for
MAX_RETRY_PAUSE_S = 0.1  # between failed calls, where lists are pushed
POLLED_PAUSE_S = 1.0  # where they are polled, unless the policy asks for another
PUSHED_TIMEOUT_S = 0.25  # a working agent on this machine has answered by then
# Upper limits for the timeout and the pause, as fractions of the drain grace.
TIMEOUT_GRACE_FRACTION, PAUSE_GRACE_FRACTION = 0.4, 0.15
MIN_PUSHED_TIMEOUT_S, MIN_RETRY_PAUSE_S = 0.1, 0.02  # a process short of CPU needs at least this much
# A call that timed out may still be answered. It stays open for this long, where lists are pushed and where they
# are polled. At most MAX_KEPT_CALLS are kept, and their starts lie at least keep_open_s / MAX_KEPT_CALLS apart.
KEEP_OPEN_PUSHED_S, KEEP_OPEN_POLLED_S = 4.0, 8.0
MAX_KEPT_CALLS = 2
POLLED_TIMEOUT_S = 2.5  # by then a shared discovery has answered, or has failed a call that was queued too long


class CallTiming(NamedTuple):
    """The timing of one call: `wait_ms` is the wait that it asks for (-1: the full list at once), and after
    `timeout_s` the next call is due."""

    wait_ms: int
    timeout_s: float


def next_call(pushed: bool, known: bool, failing: bool, grace_s: float = DRAIN_GRACE_S) -> CallTiming:
    """Return the timing of the next call. `known` says that a version of the list is known, `failing` that the
    previous call failed."""
    if failing or not known:
        timeout_s = max(MIN_PUSHED_TIMEOUT_S, min(PUSHED_TIMEOUT_S, TIMEOUT_GRACE_FRACTION * grace_s))
        return CallTiming(0 if known else -1, timeout_s if pushed else POLLED_TIMEOUT_S)
    return CallTiming(LONG_POLL_MS, LONG_POLL_MS / 1000 + WAIT_MARGIN_S)


def keep_open_s(pushed: bool, timing: CallTiming) -> float:
    """Return how long after its start an unanswered call is closed; always longer than its timeout.

    Guards against an agent, or a network path to it, whose every answer takes longer than a call's timeout: if
    each call were closed at its timeout, no answer would ever be received. Two calls are kept so that one of them
    started no longer ago than half of this time: a call that was open when discovery came back after an outage
    may never be answered.
    """
    return (KEEP_OPEN_PUSHED_S if pushed else KEEP_OPEN_POLLED_S) + max(0, timing.wait_ms) / 1000


def retry_pause_s(grace_s: float = DRAIN_GRACE_S) -> float:
    """Return the pause between two failed calls where lists are pushed."""
    return max(MIN_RETRY_PAUSE_S, min(MAX_RETRY_PAUSE_S, PAUSE_GRACE_FRACTION * grace_s))


def longest_pause_s(must_call_s: float) -> float:
    """Return the longest pause before a call where lists are polled. `must_call_s` is the time after which a
    sidecar that has not called counts as notified."""
    return min(must_call_s, NOTIFIED_AFTER_SILENCE_S - POLLED_TIMEOUT_S)


def detection_s(timing: CallTiming, grace_s: float = DRAIN_GRACE_S) -> float:
    """Return the longest time between a call falling silent and the start of the next one."""
    return timing.timeout_s + retry_pause_s(grace_s)
