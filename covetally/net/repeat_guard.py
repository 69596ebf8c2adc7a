"""The last check before a request is repeated, independent of the policy that asked for the repeat.

The policy implements the same rule in `policy/attempt_rules.py`. It is implemented twice on purpose: a bug in the
policy must not run a request's effect twice. This check uses only which attempts were submitted, and which of
them may have run: those that the connections' own counts show as sent (`Sidecar._attempt_ended`), whatever their
outcome says, unless the server has rejected them.
"""

from __future__ import annotations

from covetally.interface import RequestClass


def may_repeat(cls: RequestClass, outstanding: int, ran_at_ns: int, now_ns: int) -> bool:
    """Return whether a further attempt is safe.

    `outstanding` is the number of attempts without an outcome, and `ran_at_ns` the start of the first attempt
    that may have run (0: none). Both times are on the sidecar's clock.
    """
    if cls.repeat == "free":
        return True
    if not ran_at_ns:
        return not outstanding
    return cls.repeat == "guarded" and now_ns < ran_at_ns + cls.window_ns
