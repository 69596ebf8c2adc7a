"""The ids of requests that are open in any worker of one sidecar.

A claim is a record lock (fcntl(2), F_SETLK) on one byte of a file in memory that all workers hold open, at the
place that the id hashes to. The kernel makes it atomic, keeps it to the process, and drops it when the process
ends, however that ends: no message is sent for it, and a worker that was killed leaves nothing behind. Locks may
lie beyond the end of a file, so the file stays empty.

Guards against two workers that take the same id at once, whose answers and effects servers could take for one
another's. It does harm if two ids of open requests hash alike, one chance in 4 * 10^18 for each pair: the second
is then turned away. Ids that are not open any more are each worker's own memory (`RecentIds`).
"""

from __future__ import annotations

import fcntl
import os
from hashlib import blake2b


class SharedIds:
    """This process's part of the claims; the file must be opened for writing, and not be opened again."""

    def __init__(self, file: int) -> None:
        self._file = file

    @staticmethod
    def create() -> int:
        """The file, to be inherited."""
        return os.memfd_create("cindersail-ids")

    def claim(self, trace_id: bytes) -> bool:
        """Whether no other process has it open; from now on this one has."""
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, _place(trace_id))
        except (BlockingIOError, PermissionError):
            return False
        return True

    def release(self, trace_id: bytes) -> None:
        """It is not open here any more."""
        fcntl.lockf(self._file, fcntl.LOCK_UN, 1, _place(trace_id))


def _place(trace_id: bytes) -> int:
    return int.from_bytes(blake2b(trace_id, digest_size=8).digest(), "big") >> 2
