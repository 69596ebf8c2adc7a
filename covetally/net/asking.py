"""When discovery is asked, and how long a call may take: arithmetic, no I/O (docs/design/list.md has it as a
table).

One clock holds for the list: a call that stays silent is followed by another, and what it missed counts as
told `SILENCE_S` after it fell silent, or `AFTER_WAIT_S` after the end of the wait that it asked for, if that is
later; whatever failed in between, a change counts as told `SILENCE_S` after discovery had it and was in reach.
Where lists are pushed the agent stands on this machine: after an outage, and from the start of this process, what
it has counts at once, so a sidecar that has not heard from it looks again within the drain grace. Where they are
asked for, discovery is one service for all, which works through calls in turn: a call after a failed one is
patient, and asks for no wait of its own, and the module draws the pauses between them (`ASK_GAP` in
covetally/policy/server_list.py).
"""

from __future__ import annotations

from typing import NamedTuple

SILENCE_S, AFTER_WAIT_S = 6.0, 2.0  # by the platform's pages
GRACE_S = 0.5  # after something counts as told, by the rule on drains

WAIT_MS = 2000  # a watch's wait: short, since one that falls silent is noticed only when it is over
SLACK_S = 1.0  # a call may take so much longer than its wait
RETRY_S = 0.1  # pause between calls that fail
LOOK_S = 0.25  # an agent on this machine has answered by then, or is silent
LOOK_SHARE, RETRY_SHARE = 0.4, 0.15  # a look and the pause after it take such parts of the drain grace at most,
LEAST_LOOK_S, LEAST_RETRY_S = 0.1, 0.02  # but never less than a process short of CPU needs
# A call that ran out of patience may still be answered: it stays open so long, beside those that follow it,
KEEP_LOOK_S, KEEP_TURN_S = 4.0, 8.0  # where lists are pushed, and where they are asked for,
MOST_KEPT = 2  # and so many are kept at a time, begun at least a life's part apart
TURN_S = 2.5  # a discovery that all sidecars ask has answered by then, or failed a call that waited too long


class Call(NamedTuple):
    """One call: `wait_ms` is asked for (-1: the whole list), and after `within_s` another one goes out."""

    wait_ms: int
    within_s: float


def call(pushed: bool, known: bool, failing: bool, grace_s: float = GRACE_S) -> Call:
    """The next call, where a version of the list is known or not, and the call before it failed or did not."""
    if failing or not known:
        look_s = max(LEAST_LOOK_S, min(LOOK_S, LOOK_SHARE * grace_s))
        return Call(0 if known else -1, look_s if pushed else TURN_S)
    return Call(WAIT_MS, WAIT_MS / 1000 + SLACK_S)


def keep_s(pushed: bool, of: Call) -> float:
    """How long after its beginning a call is closed that nobody has answered; always longer than its patience.

    Guards against an agent, or a way to it, that is slow by more than a call's patience each time: with every
    call broken off then, no answer would ever be heard. Two are kept so that one of them was begun no longer ago
    than half of that time: a call that was out when discovery came back may stay silent for good.
    """
    return (KEEP_LOOK_S if pushed else KEEP_TURN_S) + max(0, of.wait_ms) / 1000


def pause_s(grace_s: float = GRACE_S) -> float:
    """Between two calls that fail, where lists are pushed."""
    return max(LEAST_RETRY_S, min(RETRY_S, RETRY_SHARE * grace_s))


def noticed_s(way: Call, grace_s: float = GRACE_S) -> float:
    """How long after a call fell silent a new one has gone out, at the latest."""
    return way.within_s + pause_s(grace_s)
