"""One account of the memory that peers make this process hold. No I/O.

Whatever a peer can make grow is charged here before it is held, and released when it is freed. If a charge does
not fit, room is made by closing what holds much and gives little; if there is none, the charge is refused.
Nothing waits for memory: holders that wait for each other would keep it for ever.

    kind         what is charged                                              may take
    -----------  -----------------------------------------------------------  -----------------------------------
    CONNECTION   open connections to clients and servers                      the whole account
    INCOMPLETE   requests that are being received, and input not yet parsed   INCOMPLETE_SHARE, and what operators
                                                                              allow
    REQUEST      accepted requests, with the copy that is being sent          REQUEST_SHARE
    RESPONSE     responses that are being received                            the whole account
    UNSENT       responses that clients have not taken yet                    the whole account
    IDS          ids of recent requests                                       IDS_SHARE
    LIST         server lists that are being received and parsed              the whole account

A holder of at most SMALL_BYTES may always use the whole account, so that large requests do not keep usual ones
out.
"""

from __future__ import annotations

import asyncio
import enum
import logging
from collections import Counter
from collections.abc import Callable

log = logging.getLogger(__name__)

# Of a connection: socket, stream, parser, timers, entries in tables, and a request that takes no more than this.
CONNECTION_BYTES = 5 * 1024
SMALL_REQUEST_BYTES = 1024
CHARGE_STEP_BYTES = 1024  # charged ahead, so that input in small pieces is not charged piece by piece
FIELD_BYTES = 320  # of a header field as objects, beside its own bytes
SMALL_BYTES = CONNECTION_BYTES + 8 * 1024
INCOMPLETE_SHARE = 0.5
REQUEST_SHARE = 0.75
IDS_SHARE = 0.125
# Of the memory that the process does not need at rest. The remainder is for copies of the message at hand, and
# for memory that is free but in pieces.
ACCOUNT_SHARE = 0.6
MIN_ACCOUNT_BYTES = 1024 * 1024
LOG_INTERVAL_S = 1.0


class MemoryKind(enum.Enum):
    """The kinds in the table at the head of this module. Operators see the value."""

    CONNECTION = "connections"
    INCOMPLETE = "incomplete_requests"
    REQUEST = "requests"
    RESPONSE = "responses"
    UNSENT = "unsent_responses"
    IDS = "recent_ids"
    LIST = "server_lists"


class MemoryExhausted(Exception):
    """There is no memory left for what a peer wants this process to hold."""


def account_bytes(limit: int, at_rest: int) -> int:
    """The size of the account of a process that may take `limit` bytes, and takes `at_rest` without any peer."""
    return max(MIN_ACCOUNT_BYTES, int((limit - at_rest) * ACCOUNT_SHARE))


class MemoryAccount:
    """What all peers together make this process hold, in bytes."""

    def __init__(self, size: int, incomplete_limit: int) -> None:
        self.held: Counter[MemoryKind] = Counter()
        self.used = 0
        self.peak = 0
        self.recent_peak = 0  # since memory was last given back to the system
        self.refusals: Counter[MemoryKind] = Counter()
        self.reclaimed = 0  # connections that were closed to make room
        # Closes one connection to make room for a holder of this size, which is not closed itself; returns
        # whether there was one to close.
        self.reclaim: Callable[[MemoryReservation, MemoryKind, int], bool] = _reclaim_nothing
        self._logged_at = -LOG_INTERVAL_S
        self.resize(size, incomplete_limit)

    def resize(self, size: int, incomplete_limit: int) -> None:
        """Change the size of the account. What is held stays; nothing new is admitted until it fits."""
        self.size = size
        self._limits = {
            MemoryKind.INCOMPLETE: min(incomplete_limit, int(size * INCOMPLETE_SHARE)),
            MemoryKind.REQUEST: int(size * REQUEST_SHARE),
            MemoryKind.IDS: int(size * IDS_SHARE),
        }

    def has_room(self, growth: int) -> bool:
        """Whether `growth` more bytes fit."""
        return self.used + growth <= self.size

    def kind_has_room(self, kind: MemoryKind, growth: int) -> bool:
        """Whether large holders of this kind may hold `growth` more bytes together with all others of it."""
        limit = self._limits.get(kind)
        return limit is None or self.held[kind] + growth <= limit

    def make_room(self, requester: MemoryReservation, kind: MemoryKind, size: int) -> bool:
        """Close or reject one connection, so that a holder can have `size` bytes; returns whether there was one.
        More than one may be needed."""
        if not self.reclaim(requester, kind, size):
            return False
        self.reclaimed += 1
        return True

    def refuse(self, kind: MemoryKind) -> None:
        """Count a refusal, and log what the account holds."""
        self.refusals[kind] += 1
        now = asyncio.get_running_loop().time()
        if now >= self._logged_at + LOG_INTERVAL_S:
            self._logged_at = now
            log.info("no memory for %s: %s", kind.value, self.describe())

    def describe(self) -> str:
        """What is held and what was refused, in words for the log."""
        held = ", ".join(f"{kind.value} {size // 1024}" for kind, size in self.held.items() if size)
        refused = ", ".join(f"{kind.value} {count}" for kind, count in self.refusals.items())
        return (
            f"{self.used // 1024} of {self.size // 1024} KiB held ({held or 'nothing'}), at most "
            f"{self.peak // 1024}; refused since the start: {refused or 'nothing'}; "
            f"{self.reclaimed} connections closed to make room"
        )

    def table(self) -> dict[str, object]:
        """What is held by kind, the most that was held, and the refusals by kind, for operators. In bytes."""
        return {
            "size": self.size,
            "held": {kind.value: size for kind, size in self.held.items() if size},
            "peak": self.peak,
            "refused": {kind.value: count for kind, count in self.refusals.items()},
            "reclaimed": self.reclaimed,
        }


def _reclaim_nothing(requester: MemoryReservation, kind: MemoryKind, size: int) -> bool:
    return False


class MemoryReservation:
    """What one holder, such as a connection, has charged to an account."""

    __slots__ = ("_account", "kind", "size")

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.kind = MemoryKind.CONNECTION
        self.size = 0

    def resize(self, kind: MemoryKind, size: int) -> None:
        """Hold `size` bytes of this kind in place of what was held before. Raises MemoryExhausted, and changes
        nothing, if they do not fit."""
        account, growth = self._account, size - self.size
        if growth > 0 and (size > SMALL_BYTES or account.used + growth > account.size):
            self._make_room(kind, size)
        account.held[self.kind] -= self.size
        account.held[kind] += size
        self.kind, self.size = kind, size
        account.used += growth
        if account.used > account.recent_peak:
            account.recent_peak = account.used
            account.peak = max(account.peak, account.used)

    def _make_room(self, kind: MemoryKind, size: int) -> None:
        account, growth = self._account, size - self.size
        kind_growth = growth if kind is self.kind else size
        while True:
            kind_full = size > SMALL_BYTES and not account.kind_has_room(kind, kind_growth)
            if account.has_room(growth) and not kind_full:
                return
            # Room is made at the cost of incomplete requests, which is of no use to another kind that is full.
            useless = kind_full and kind is not MemoryKind.INCOMPLETE
            if useless or not account.make_room(self, kind, size):
                account.refuse(kind)
                raise MemoryExhausted

    def release(self) -> None:
        """Hold nothing."""
        self._account.held[self.kind] -= self.size
        self._account.used -= self.size
        self.size = 0
