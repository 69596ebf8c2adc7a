"""An agent with a fault: it counts every sidecar with an open link as in service, without probing it."""

from __future__ import annotations

from covetally.cli.main import main
from covetally.fleet.drains import Drains

Drains._is_unresponsive = lambda self, instance: False  # type: ignore[method-assign]

if __name__ == "__main__":
    main()
