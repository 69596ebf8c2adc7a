"""Fleet-wide load shedding: one priority order of requests and one admission threshold. Does no I/O."""

from covetally.overload.threshold import Threshold, Transition
from covetally.overload.member import Member, Policy
from covetally.overload.priorities import Priorities, rank

__all__ = ["Member", "Policy", "Priorities", "Threshold", "Transition", "rank"]
