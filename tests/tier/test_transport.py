"""The timer of a tier member goes on whatever a tick does."""

from __future__ import annotations

import asyncio

from covetally.interface import SECOND
from covetally.tier.member import MemberConfig
from covetally.tier.transport import TierTransport, TransportCallbacks
from tests.virtual_time import run_in_virtual_time


def test_a_tick_that_fails_does_not_stop_the_timer(caplog):
    """After one exception the member sent nothing until a datagram of another came: the tier took it for dead."""

    async def main():
        loop = asyncio.get_running_loop()
        sent = []
        callbacks = TransportCallbacks(
            lambda: int(loop.time() * SECOND),
            lambda peer, data: sent.append(loop.time()),
            lambda event: None,
            dict,
        )
        transport = TierTransport(0, 3, 1, 1, MemberConfig(), (), callbacks)
        tick = transport.member.tick

        def fail_for_a_while(now, demand):
            if 5 * SECOND < now < 8 * SECOND:
                raise RuntimeError("a bug")
            return tick(now, demand)

        transport.member.tick = fail_for_a_while
        transport.start()
        await asyncio.sleep(30.0)
        assert sum(at > 9.0 for at in sent) > 10
        assert sum(at < 5.0 for at in sent) > 2
        transport.stop()

    run_in_virtual_time(main())
    assert 1 <= caplog.text.count("a tick of the tier failed") <= 4, "no tight loop while it fails"
