"""Records a SIGHUP that arrives before the event loop can handle signals.

The default action of SIGHUP ends the process, and a start takes tenths of a second: a platform that sends SIGHUP
to all sidecars after a change of the configuration also reaches those that are just starting.
"""

from __future__ import annotations

import signal

_received: list[int] = []


def record_sighup() -> None:
    """Install a signal handler that records SIGHUP."""
    signal.signal(signal.SIGHUP, lambda number, _frame: _received.append(number))


def sighup_received() -> bool:
    """Whether a SIGHUP has arrived since `record_sighup` was called."""
    return bool(_received)
