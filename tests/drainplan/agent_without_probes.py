"""An agent that takes every sidecar whose link is up to be in, as one did before it asked them: planted."""

from __future__ import annotations

from covetally.cli.main import main
from covetally.fleet.drains import Drains

Drains._is_dumb = lambda self, instance: False  # type: ignore[method-assign]

if __name__ == "__main__":
    main()
