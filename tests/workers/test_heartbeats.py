"""The heartbeats of a worker, by whose absence its supervisor takes it for hung."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from covetally.workers.member import HEARTBEATS_PER_HANG_TIMEOUT, WorkerProcess
from covetally.workers.worker_pool import DEFAULT_HANG_TIMEOUT_S
from tests.virtual_time import run_in_virtual_time


def test_a_heartbeat_that_fails_is_followed_by_the_next():
    """No other followed, and the worker was killed as hung while it served."""

    async def main():
        sent = []

        class Gauges:
            calls = 0

            def heartbeat(self):
                self.calls += 1
                if self.calls == 3:
                    raise RuntimeError("a bug")
                return {}

        worker = WorkerProcess(SimpleNamespace(), None)
        worker._process = SimpleNamespace(values={})
        worker._gauges = Gauges()
        worker._channel = SimpleNamespace(send=lambda t, **more: sent.append(t))
        worker._send_heartbeat()
        await asyncio.sleep(DEFAULT_HANG_TIMEOUT_S)
        assert sent.count("alive") >= HEARTBEATS_PER_HANG_TIMEOUT - 1

    run_in_virtual_time(main())
