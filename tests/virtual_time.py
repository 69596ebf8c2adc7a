"""An event loop on a virtual clock: waiting takes no real time, and each run of a program is the same."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any

from covetally.net.clock import Clock


class _VirtualSelector(selectors.BaseSelector):
    """Watches no sockets; waiting moves the clock on. Raises RuntimeError on a wait that nothing would end."""

    def __init__(self) -> None:
        self.now = 0.0
        self._keys: dict[int, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = self._keys[number] = selectors.SelectorKey(fileobj, number, events, data)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._keys.pop(fileobj if isinstance(fileobj, int) else fileobj.fileno())

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is pending")
        self.now += timeout
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._keys


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock starts at 0 and moves only while all tasks wait. It watches no sockets."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


class VirtualClock(Clock):
    """The clock of a sidecar on the running loop."""

    def __init__(self) -> None:
        super().__init__()
        self._loop = asyncio.get_running_loop()

    def now(self) -> int:
        return self._offset + int(self._loop.time() * 1e9)


def run_in_virtual_time(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a new loop with a virtual clock, and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
