"""SIGHUP before there is a loop to hear it. Its default ends a process, and a start takes tenths of a second:
a platform that tells all sidecars of a new configuration also tells those that are just coming up."""

from __future__ import annotations

import signal

_told: list[int] = []


def record_sighup() -> None:
    """From here on a SIGHUP is kept until somebody asks for it."""
    signal.signal(signal.SIGHUP, lambda number, _frame: _told.append(number))


def sighup_received() -> bool:
    """Whether one has come since `record_sighup`."""
    return bool(_told)
