"""Which of a registry's addresses is asked next: in order of preference, with quarantine and return. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_NS, LONGEST_NS = 1_000_000_000, 10_000_000_000


@dataclass(slots=True)
class _Standing:
    """How an address has fared: out until then, after so long a pause."""

    until: int = 0
    pause: int = 0


class Registries:
    """The addresses, the most preferred first. Each failure doubles a quarantine, an answer ends it."""

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self.addresses = addresses
        self._standing = {address: _Standing() for address in addresses}

    def pick(self, now: int, besides: str = "") -> str:
        """The most preferred one that is out of quarantine, else the one that is soonest; empty if there is none.

        One that comes out of quarantine is asked before those that it is preferred to: that is its return."""
        there = [a for a in self.addresses if a != besides]
        for address in there:
            if self._standing[address].until <= now:
                return address
        return min(there, key=lambda a: self._standing[a].until, default="")

    def any_ready(self, now: int) -> bool:
        """Whether an address is out of quarantine."""
        return any(s.until <= now for s in self._standing.values())

    def answered(self, address: str) -> None:
        """It gave a whole answer."""
        self._standing[address] = _Standing()

    def failed(self, now: int, address: str, chance: float) -> None:
        """It gave none. `chance`, from 0 to 1, keeps a crowd of sidecars from returning in one moment."""
        standing = self._standing[address]
        standing.pause = min(max(2 * standing.pause, FIRST_NS), LONGEST_NS)
        standing.until = now + int(standing.pause * (0.75 + 0.5 * chance))

    def table(self, now: int) -> dict[str, float]:
        """For operators: for how many seconds each is still out, 0 for one that is not."""
        return {a: round(max(0, s.until - now) / 1e9, 1) for a, s in self._standing.items()}
