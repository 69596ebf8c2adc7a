"""The resident memory of this process: its size, and giving back what is free."""

from __future__ import annotations

import gc
import logging
import os
import time
from collections.abc import Callable

from covetally.net.memory import MemoryAccount

ASSUMED_BYTES = 24 * 1024 * 1024  # where the system does not tell
GIVE_BACK_BYTES = 1024 * 1024  # released by peers since the last time
GIVE_BACK_INTERVAL_S = 1.0
log = logging.getLogger(__name__)


def resident_bytes() -> int:
    """Return the resident memory of this process, pages shared with other processes included."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):  # not Linux
        return ASSUMED_BYTES


class FreeMemory:
    """Gives the memory that peers no longer hold back to the system.

    Python keeps some freed objects of each type for later use, and each of them holds the arena that it is in; a
    full collection drops them. The C library keeps freed memory unless it is at the end of its heap, where one
    small block holds all below it.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._checked_at = 0.0
        self._trim: Callable[[int], int] | None = None

    def check(self) -> None:
        """Give memory back if much was released since the last time. To be called now and then."""
        account, now = self._account, time.monotonic()
        if account.recent_peak - account.used < GIVE_BACK_BYTES or now < self._checked_at + GIVE_BACK_INTERVAL_S:
            return
        self._checked_at = now
        gc.collect()
        account.recent_peak = account.used
        if self._trim is None:
            try:
                self._trim = _load_malloc_trim()
            except OSError as error:  # such as a lack of descriptors
                log.warning("cannot give memory back yet: %s", error)
                return
        self._trim(0)


def _load_malloc_trim() -> Callable[[int], int]:
    """Return malloc_trim(3), or a function without effect if there is none. Raises OSError if the C library
    cannot be loaded now."""
    try:
        import ctypes  # only now: most processes never need it

        return ctypes.CDLL(None).malloc_trim
    except (ImportError, AttributeError):
        log.info("this system's C library cannot give memory back")
        return lambda padding: 0
