"""Plans and tracks drain orders: which sidecars and nodes are taken out together, under capacity floors.

Does no I/O.
"""

from covetally.drainplan.fleet_state import FleetState, UnitState, UnitStatus
from covetally.drainplan.errors import FloorError, PodError
from covetally.drainplan.plan import Wave, WavePlan, plan
from covetally.drainplan.units import Floors, Kind, Unit

__all__ = [
    "FleetState", "FloorError", "Floors", "Kind", "PodError", "Unit", "UnitState", "UnitStatus",
    "Wave", "WavePlan", "plan",
]  # fmt: skip
