"""The fraction of a tenant's requests that its share of the fleet's service covers.

A tenant with an allowance may make that many requests a second over the whole fleet; any other may make its share
of all requests. Only some members send their counts at a time, so a rate is the mean of the samples times the
number of members. Rates are averaged over some seconds, and a tenant may exceed its share by a tenth.
"""

from __future__ import annotations

from collections.abc import Sequence

from covetally.interface import SECOND, Settings
from covetally.overload.load import WINDOW_NS, WINDOWS, LoadSample

WINDOW_S = WINDOWS * WINDOW_NS / SECOND
TOLERANCE = 1.1
GAIN = 0.1  # of one update; there are four a second
MIN_RATE = 1.0  # requests a second below which no tenant is over its share


class TenantShares:
    """The request rates of all tenants over the whole fleet."""

    def __init__(self, settings: Settings) -> None:
        self._tenants = settings.tenants
        total = sum(t.share for t in settings.tenants) or 1.0
        self._share = [t.share / total for t in settings.tenants]
        self._allowance = [t.allowance_per_s for t in settings.tenants]
        self.rates = [0.0] * len(settings.tenants)

    def update(self, samples: Sequence[LoadSample], size: int) -> None:
        """Update the rates from samples of some of `size` members, this one included."""
        if not samples:
            return
        sums = [0.0] * len(self.rates)
        for sample in samples:
            for tenant, requests in sample.tenants:
                if tenant < len(sums):
                    sums[tenant] += requests
        for tenant, requests in enumerate(sums):
            rate = requests * size / len(samples) / WINDOW_S
            self.rates[tenant] += (rate - self.rates[tenant]) * GAIN

    def covered_fraction(self, tenant: int) -> float:
        """Return the fraction of a tenant's requests that its share covers; 1 for a tenant without settings."""
        if not 0 <= tenant < len(self.rates):
            return 1.0
        rate, total = self.rates[tenant], sum(self.rates)
        if rate < MIN_RATE:
            return 1.0
        allowed = self._allowance[tenant] or self._share[tenant] * total
        return min(1.0, TOLERANCE * allowed / rate)
