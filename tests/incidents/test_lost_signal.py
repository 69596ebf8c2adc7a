"""A signal is handled even if the write that wakes the event loop fails.

CPython's signal handler writes one byte to the loop's socket pair and ignores a failure of that write.
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


async def check_shutdown(number: signal.Signals, busy: bool) -> None:
    """Check that a process shuts down on this signal, with open requests (`busy`) or idle."""
    async with sidecar_with_hung_nodes(LONGEST_S, LOST_WAKEUP) as run:
        clients = [await run.connect() for _ in range(3)] if busy else []
        exchanges = [
            asyncio.create_task(client.exchange(f"r{i}", encode_request(f"r{i}", "free", LONGEST_S)))
            for i, client in enumerate(clients)
        ]
        await asyncio.sleep(0.05 if busy else 1.0)
        await run.terminate(number)
        await asyncio.gather(*exchanges)
        run.check(clients)


async def check_reload() -> None:
    """Check that a process reloads its configuration on SIGHUP."""
    async with sidecar_with_hung_nodes(LONGEST_S, LOST_WAKEUP) as run:
        path = run.instance.folder / "config.json"
        config = json.loads(path.read_text())
        config["discovery"] = f"127.0.0.1:{await run.world.move_discovery('a0')}"
        path.write_text(json.dumps(config))
        assert run.instance.process is not None
        run.instance.process.send_signal(signal.SIGHUP)
        deadline = time.monotonic() + RELOAD_S
        while "has reloaded its configuration" not in run.instance.log:
            assert time.monotonic() < deadline, "SIGHUP was not handled"
            await asyncio.sleep(0.02)


def test_signals_are_handled_even_if_the_write_that_wakes_the_loop_fails():
    async def main():
        shutdowns = [
            check_shutdown(number, busy) for number in (signal.SIGTERM, signal.SIGINT) for busy in (True, False)
        ]
        results = await asyncio.gather(*shutdowns, check_reload(), return_exceptions=True)
        failed = [repr(result)[:300] for result in results if isinstance(result, BaseException)]
        assert not failed, "\n".join(failed)

    asyncio.run(main())
