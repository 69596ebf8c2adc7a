"""Run every measurement, one after the other."""

from __future__ import annotations

import subprocess
import sys

ALL = (
    "rollout", "reconnect", "control", "roster", "path", "overload", "crowd", "workers",
    "tier", "limits", "verdicts", "sidecars", "faults", "preflight",
)  # fmt: skip


def main() -> int:
    """Exit status 1 if one of them fails."""
    failed = 0
    for name in ALL:
        print(f"--- {name}", flush=True)
        words = [sys.executable, "-m", f"benchmarks.{name}", *sys.argv[1:]]
        failed += subprocess.run(words, check=False).returncode != 0
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
