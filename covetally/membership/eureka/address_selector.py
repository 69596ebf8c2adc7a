"""Selects the registry address to read next, in order of preference and with backoff after failures. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

INITIAL_BACKOFF_NS, MAX_BACKOFF_NS = 1_000_000_000, 10_000_000_000


@dataclass(slots=True)
class _Backoff:
    """The backoff of an address: until when it is avoided, and the last delay; 0 after an answer."""

    until: int = 0
    delay: int = 0


class AddressSelector:
    """The addresses, most preferred first. Each failure doubles an address's backoff, an answer ends it."""

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self.addresses = addresses
        self._backoffs = {address: _Backoff() for address in addresses}

    def select(self, now: int, excluding: str = "") -> str:
        """The most preferred address not in backoff, else the one whose backoff ends first; empty if none.

        An address whose backoff ends is selected again before the less preferred ones.
        """
        candidates = [a for a in self.addresses if a != excluding]
        for address in candidates:
            if self._backoffs[address].until <= now:
                return address
        return min(candidates, key=lambda a: self._backoffs[a].until, default="")

    def has_available(self, now: int) -> bool:
        """Whether any address is not in backoff."""
        return any(backoff.until <= now for backoff in self._backoffs.values())

    def record_answer(self, address: str) -> None:
        """The address gave a complete answer."""
        self._backoffs[address] = _Backoff()

    def record_failure(self, now: int, address: str, jitter: float) -> None:
        """The address failed. `jitter`, from 0 to 1, keeps many sidecars from returning at the same moment."""
        backoff = self._backoffs[address]
        backoff.delay = min(max(2 * backoff.delay, INITIAL_BACKOFF_NS), MAX_BACKOFF_NS)
        backoff.until = now + int(backoff.delay * (0.75 + 0.5 * jitter))

    def table(self, now: int) -> dict[str, float]:
        """For operators: the remaining backoff of each address in seconds, 0 if there is none."""
        return {
            address: round(max(0, backoff.until - now) / 1e9, 1) for address, backoff in self._backoffs.items()
        }
