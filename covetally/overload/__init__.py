"""Who sheds what, decided by the whole fleet: one order of requests, one line across it. No I/O."""

from covetally.overload.threshold import Line, Step
from covetally.overload.member import Member, Policy
from covetally.overload.priorities import Order, rank

__all__ = ["Line", "Member", "Order", "Policy", "Step", "rank"]
