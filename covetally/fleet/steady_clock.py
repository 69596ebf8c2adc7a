"""A clock for durations that the agent guarantees: freezes, permits and drain orders. It reads in Unix seconds.

The wall clock may be stepped, say by an hour, while the agent is running or down. The monotonic clock continues
across agent restarts within one boot of the machine, so time is advanced by it and steps have no effect. After
a reboot only the wall clock is available. It is used unless it is behind the last saved time; the saved time is
used then. A duration may come out longer than requested in that case, which is harmless.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def boot_id() -> str:
    """The id of the machine's current boot; empty where the system has none (not Linux)."""
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except OSError:
        return ""


class SteadyClock:
    """A clock in Unix seconds that never goes back and advances with the monotonic clock. `saved` is the
    `to_json` of an earlier agent, empty if there was none."""

    def __init__(
        self,
        saved: str = "",
        boot: str | None = None,
        wall: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._boot = boot_id() if boot is None else boot
        self._monotonic = monotonic
        previous = json.loads(saved) if saved else {}
        if self._boot and previous.get("boot") == self._boot:
            self._base = float(previous["base"])
        else:
            self._base = max(wall(), float(previous.get("at", 0.0))) - monotonic()

    def now(self) -> float:
        """The current time in Unix seconds."""
        return self._base + self._monotonic()

    def to_json(self) -> str:
        """The state that `__init__` takes; save it whenever a time of this clock is saved."""
        return json.dumps({"boot": self._boot, "base": self._base, "at": self.now()})
