"""covetally: the decisions of a sidecar balancer for service-to-service calls."""

from covetally.interface import Settings
from covetally.balance import Balancer

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
