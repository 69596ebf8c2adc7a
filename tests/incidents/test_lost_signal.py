"""A signal holds though the write by which it wakes the event loop fails.

CPython's signal handler writes one byte to the loop and ignores whether that could be done.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time

from covetally.rig.system_faults import Fault, FaultSchedule
from tests.incidents.test_shutdown import encode_request, sidecar_with_hung_nodes

LOST_WAKEUP = FaultSchedule((Fault("wakeup", "EAGAIN"),))
LONGEST_S = 1.0
RELOAD_S = 2.0


async def end(number: signal.Signals, busy: bool) -> None:
    """A process that is told to end, with requests under way or with nothing to do."""
    async with sidecar_with_hung_nodes(LONGEST_S, LOST_WAKEUP) as it:
        clients = [await it.connect() for _ in range(3)] if busy else []
        asked = [
            asyncio.create_task(client.exchange(f"r{i}", encode_request(f"r{i}", "free", LONGEST_S)))
            for i, client in enumerate(clients)
        ]
        await asyncio.sleep(0.05 if busy else 1.0)
        await it.terminate(number)
        await asyncio.gather(*asked)
        it.check(clients)


async def reload() -> None:
    """A process that is told of a new configuration."""
    async with sidecar_with_hung_nodes(LONGEST_S, LOST_WAKEUP) as it:
        path = it.instance.folder / "config.json"
        config = json.loads(path.read_text())
        config["discovery"] = f"127.0.0.1:{await it.world.move_discovery('a0')}"
        path.write_text(json.dumps(config))
        assert it.instance.process is not None
        it.instance.process.send_signal(signal.SIGHUP)
        limit = time.monotonic() + RELOAD_S
        while "has taken up its configuration anew" not in it.instance.log:
            assert time.monotonic() < limit, "SIGHUP was not heard"
            await asyncio.sleep(0.02)


def test_a_signal_is_heard_though_the_write_that_wakes_the_loop_fails():
    async def main():
        ends = [end(number, busy) for number in (signal.SIGTERM, signal.SIGINT) for busy in (True, False)]
        results = await asyncio.gather(*ends, reload(), return_exceptions=True)
        failed = [repr(result)[:300] for result in results if isinstance(result, BaseException)]
        assert not failed, "\n".join(failed)

    asyncio.run(main())
