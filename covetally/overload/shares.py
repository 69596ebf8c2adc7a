"""Which part of a tenant's requests its share of the fleet's service covers, from what members say they were
asked.

A tenant with an allowance has that many requests a second over the whole fleet; else its share of all that is
asked. Words are a sample of the members, so a rate is the mean of those heard times how many there are; what is
used is averaged over some seconds, and a tenth over is let pass.
"""

from __future__ import annotations

from collections.abc import Sequence

from covetally.interface import SECOND, Settings
from covetally.overload.load import WINDOW_NS, WINDOWS, Seen

WINDOW_S = WINDOWS * WINDOW_NS / SECOND
OVER = 1.1
GAIN = 0.1  # of one look, four of which make a second
FEW = 1.0  # requests a second below which nobody is over its share


class Shares:
    """What tenants use of the fleet."""

    def __init__(self, settings: Settings) -> None:
        self._tenants = settings.tenants
        total = sum(t.share for t in settings.tenants) or 1.0
        self._share = [t.share / total for t in settings.tenants]
        self._allowed = [t.allowance_per_s for t in settings.tenants]
        self.rates = [0.0] * len(settings.tenants)

    def look(self, seen: Sequence[Seen], size: int) -> None:
        """What members, this one among them, were asked in the last half second."""
        if not seen:
            return
        sums = [0.0] * len(self.rates)
        for one in seen:
            for tenant, asked in one.tenants:
                if tenant < len(sums):
                    sums[tenant] += asked
        for tenant, asked in enumerate(sums):
            rate = asked * size / len(seen) / WINDOW_S
            self.rates[tenant] += (rate - self.rates[tenant]) * GAIN

    def within(self, tenant: int) -> float:
        """The part of a tenant's requests that its share covers; 1 for tenants that nobody has named."""
        if not 0 <= tenant < len(self.rates):
            return 1.0
        rate, total = self.rates[tenant], sum(self.rates)
        if rate < FEW:
            return 1.0
        allowed = self._allowed[tenant] or self._share[tenant] * total
        return min(1.0, OVER * allowed / rate)
