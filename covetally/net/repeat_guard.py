"""The last check before a request is repeated, independent of the decision that asked for it.

The decision module has the same rule in `policy/attempt_rules.py`. It stands here a second time on purpose: a bug
there must not run an effect twice. This check knows only what was submitted and how it ended.
"""

from __future__ import annotations

from covetally.interface import RequestClass


def may_repeat(cls: RequestClass, out: int, ran_at_ns: int, now_ns: int) -> bool:
    """Whether a further attempt can do no harm: `out` attempts have no outcome yet, and the first that may have
    run began at `ran_at_ns` (0: none), both times on the sidecar's clock."""
    if cls.repeat == "free":
        return True
    if not ran_at_ns:
        return not out
    return cls.repeat == "guarded" and now_ns < ran_at_ns + cls.window_ns
