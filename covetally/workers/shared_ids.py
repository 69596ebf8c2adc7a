"""The ids of requests that are open in any worker of one sidecar.

A claimed id is a record lock (fcntl(2), F_SETLK) on one byte of an in-memory file that all workers hold open. The
offset of the byte is a hash of the id. The kernel makes the claim atomic, binds it to the process and releases it
when the process ends for any reason, so no messages are needed and a killed worker leaves no claims behind. Locks
may lie beyond the end of a file, so the file stays empty.

This prevents two workers from accepting the same id at the same time: servers could confuse the responses and
effects of the two requests. If the ids of two open requests have the same hash (one chance in 4 * 10^18 for each
pair), the second request is rejected. Each worker remembers its own recently closed ids (`RecentIds`).
"""

from __future__ import annotations

import fcntl
import os
from hashlib import blake2b


class SharedIds:
    """The ids that this process has claimed.

    The file must be open for writing. The process must not open it a second time: closing any descriptor of a
    file releases all record locks that the process holds on it.
    """

    def __init__(self, file: int) -> None:
        self._file = file

    @staticmethod
    def create() -> int:
        """Create the in-memory file and return its descriptor, for the workers to inherit."""
        return os.memfd_create("cindersail-ids")

    def claim(self, trace_id: bytes) -> bool:
        """Claim an id for this process; return False if another process holds it."""
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, _lock_offset(trace_id))
        except (BlockingIOError, PermissionError):
            return False
        return True

    def release(self, trace_id: bytes) -> None:
        """Release an id that this process has claimed."""
        fcntl.lockf(self._file, fcntl.LOCK_UN, 1, _lock_offset(trace_id))


def _lock_offset(trace_id: bytes) -> int:
    return int.from_bytes(blake2b(trace_id, digest_size=8).digest(), "big") >> 2
