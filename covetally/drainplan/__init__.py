"""Which sidecars and nodes go out, in which order and together with whom, so that no floor is broken. No I/O."""

from covetally.drainplan.fleet_state import Account, Entry, State
from covetally.drainplan.errors import FloorError, PodError
from covetally.drainplan.plan import Order, Wave, plan
from covetally.drainplan.units import Floors, Kind, Unit

__all__ = [
    "Account", "Entry", "FloorError", "Floors", "Kind", "Order", "PodError", "State", "Unit", "Wave", "plan",
]  # fmt: skip
