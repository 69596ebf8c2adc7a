"""A configured cap, and which sidecars own its units: computed from names alone, the same at every sidecar.

The units of a cap are owned by those MAX_OWNERS of the listed sidecars that rendezvous hashing (Thaler and
Ravishankar 1998) ranks highest for its name, in equal parts. There are few owners so that a sidecar that wants
units has few to ask, whatever the size of the fleet. Ownership does not move when an owner is down: a sidecar
that has ended cannot be told from one that is cut off, and a second owner would lend the same units again.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from functools import lru_cache
from zlib import crc32

from covetally.interface import SECOND

MAX_OWNERS = 16
MAX_CLOCK_DRIFT = 0.01  # a clock runs faster or slower than another by at most this fraction


class Mode(enum.Enum):
    """When an owner may lend a unit again whose lease holder is silent."""

    LAPSES = "lapses"  # once the lease has lapsed: the cap is exceeded by at most what stopped sidecars hold
    NEVER = "never"  # once the holder has returned it or has restarted: the cap is never exceeded


@dataclass(frozen=True, slots=True)
class Rule:
    """A cap of `amount` units over `members` sidecars.

    `linger_ns` is the longest time that a request may still run on a connection whose unit has lapsed.
    """

    name: str
    amount: int
    members: int
    mode: Mode = Mode.LAPSES
    lease_ns: int = 4 * SECOND
    linger_ns: int = 4 * SECOND

    @property
    def wire_id(self) -> int:
        """The number that identifies the cap in messages."""
        return crc32(self.name.encode())

    @property
    def fence_ns(self) -> int:
        """How long after the last grant an owner may not lend the same units to anybody else."""
        return math.ceil(self.lease_ns * (1.0 + MAX_CLOCK_DRIFT)) + self.linger_ns

    def owners(self) -> tuple[int, ...]:
        """Return the indexes of the sidecars that own units of this cap."""
        return rank_owners(self.name, self.members)[: max(0, min(self.amount, MAX_OWNERS))]

    def owned_units(self, member: int) -> int:
        """Return how many units `member` owns."""
        owners = self.owners()
        if member not in owners:
            return 0
        share, remainder = divmod(self.amount, len(owners))
        return share + (owners.index(member) < remainder)


@lru_cache(maxsize=256)
def rank_owners(name: str, members: int) -> tuple[int, ...]:
    """Return the MAX_OWNERS members that rank highest by the hash of the cap's name and their index."""
    ranked = sorted(range(members), key=lambda member: (-_weight(name, member), member))
    return tuple(ranked[:MAX_OWNERS])


def _weight(name: str, member: int) -> int:
    mixed = crc32(f"{name}/{member}".encode())
    mixed ^= mixed >> 16
    return mixed * 0x45D9F3B % 2**32  # CRC-32 is linear: without this step, adjacent members would rank alike
