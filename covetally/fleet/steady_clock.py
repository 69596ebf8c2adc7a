"""Unix time for spans that an agent promises: freezes, permits, drain orders.

A wall clock may be stepped by an hour while the agent runs or is down. Within one boot of the machine the
monotonic clock goes on over restarts of the agent, so time goes on by it and a step changes nothing. After a
reboot there is only the wall clock; it is believed as long as it does not go back behind what was kept: then a
promise lasts longer than was said, which harms nobody.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def boot_id() -> str:
    """The id of this boot of the machine; empty where there is none (not Linux)."""
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except OSError:
        return ""


class SteadyClock:
    """Unix seconds that never go back and go on at the monotonic clock's pace. `kept` is what `text` gave an
    agent before, empty for none."""

    def __init__(
        self,
        kept: str = "",
        boot: str | None = None,
        wall: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._boot = boot_id() if boot is None else boot
        self._monotonic = monotonic
        before = json.loads(kept) if kept else {}
        if self._boot and before.get("boot") == self._boot:
            self._base = float(before["base"])
        else:
            self._base = max(wall(), float(before.get("at", 0.0))) - monotonic()

    def now(self) -> float:
        """Unix seconds."""
        return self._base + self._monotonic()

    def to_json(self) -> str:
        """What `__init__` takes. To be kept whenever a promise is."""
        return json.dumps({"boot": self._boot, "base": self._base, "at": self.now()})
