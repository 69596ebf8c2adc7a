"""The timer of the gossip transport goes on whatever a participant does."""

from __future__ import annotations

import asyncio

from covetally.gossip import Topic
from covetally.gossip.transport import ERROR_PAUSE_NS, GossipTransport, TransportCallbacks
from covetally.interface import SECOND
from tests.virtual_time import run_in_virtual_time

INTERVAL_NS = SECOND // 2


class Ticking:
    """A participant that is due twice a second, and raises in some of its ticks before it sets the next time."""

    def __init__(self, failing: range) -> None:
        self._failing, self.due, self.ticks = failing, 0, []

    def tick(self, now):
        self.ticks.append(now)
        if len(self.ticks) in self._failing:
            raise RuntimeError("a bug")
        self.due = now + INTERVAL_NS
        return ()

    def events(self, now):
        return ()

    def leave(self, now):
        return ()


def test_a_tick_that_fails_stops_neither_the_timer_nor_the_other_participants(caplog):
    """After one exception the sidecar sent nothing until a datagram of another came."""

    async def main():
        loop = asyncio.get_running_loop()
        callbacks = TransportCallbacks(
            lambda: int(loop.time() * SECOND), lambda peer, data: None, lambda event: None
        )
        failing, other = Ticking(range(3, 5)), Ticking(range(0))
        transport = GossipTransport(callbacks, {Topic.OVERLOAD: failing, Topic.CAPS: other})
        transport.start()
        await asyncio.sleep(10.0)
        transport.stop()
        pauses = [later - earlier for earlier, later in zip(failing.ticks, failing.ticks[1:], strict=False)]
        assert min(pauses[2:4]) >= ERROR_PAUSE_NS, "no tight loop while it fails"
        assert len(failing.ticks) > 15 and len(other.ticks) > 15

    run_in_virtual_time(main())
    assert caplog.text.count("a tick of Ticking failed") == 2
