"""The timer wheel of the request path, and an upper limit for the function calls that a request costs."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.net.timer_wheel import SLOT_WIDTH_S, TimerWheel
from tests.loopback import respond_ok, sidecar_harness, read_message, request

PAUSE_S = 0.005  # between two requests
MAX_CALLS = 128  # of functions of this program per request on reused connections; 122.1 when it was chosen


@given(delays=st.lists(st.tuples(st.floats(0, 0.03), st.booleans()), min_size=1, max_size=40))
@settings(max_examples=15, deadline=None, derandomize=True)
def test_timers_fire_once_and_never_early_or_after_cancel(delays):
    async def main():
        wheel, loop, fired = TimerWheel(), asyncio.get_running_loop(), []
        start = loop.time()
        timers = [
            wheel.call_at(start + delay, lambda n=n: fired.append((n, loop.time())))
            for n, (delay, _) in enumerate(delays)
        ]
        for timer, (_, cancelled) in zip(timers, delays, strict=True):
            if cancelled:
                timer.cancel()
                timer.cancel()
        expected = {n for n, (_, cancelled) in enumerate(delays) if not cancelled}
        async with asyncio.timeout(10):
            while {n for n, _ in fired} < expected:
                await asyncio.sleep(0.001)
        await asyncio.sleep(2 * SLOT_WIDTH_S)
        assert sorted(n for n, _ in fired) == sorted(expected)
        assert all(at >= start + delays[n][0] for n, at in fired)
        slots = [int((start + delays[n][0]) / SLOT_WIDTH_S) for n, _ in fired]
        assert slots == sorted(slots), "timers did not fire in the order of their slots"

    asyncio.run(main())


def test_failing_timer_does_not_keep_others_from_firing():
    async def main():
        reported, fired, loop = [], asyncio.Event(), asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context["message"]))
        wheel, now = TimerWheel(), loop.time()
        wheel.call_at(now, lambda: 1 // 0)
        wheel.call_at(now, fired.set)
        async with asyncio.timeout(10):
            await fired.wait()
        assert reported == ["unhandled exception in a timer callback"]

    asyncio.run(main())


def test_timers_can_be_set_and_cancelled_in_a_timer_callback():
    async def main():
        wheel, loop, fired, done = TimerWheel(), asyncio.get_running_loop(), [], asyncio.Event()
        now = loop.time()
        later = wheel.call_at(now, lambda: fired.append("cancelled"))

        def first() -> None:
            other.cancel()
            wheel.call_at(loop.time(), lambda: (fired.append("again"), done.set()))

        wheel.call_at(now, first)
        other = wheel.call_at(now, lambda: fired.append("never"))
        later.cancel()
        async with asyncio.timeout(10):
            await done.wait()
        assert fired == ["again"]

    asyncio.run(main())


def test_request_costs_no_more_function_calls_than_allowed():
    async def main():
        async with sidecar_harness(respond_ok, respond_ok, respond_ok, respond_ok) as here:
            reader, writer = await here.connect()

            async def ask(first: int, count: int) -> None:
                for number in range(first, first + count):
                    writer.write(request(f"t{number}"))
                    assert b" 200 " in (await read_message(reader))[:20]
                    await asyncio.sleep(PAUSE_S)

            # So many connections that one of each server was always idle long enough to be reused at once.
            await asyncio.gather(*(here.exchange(request(f"w{number}")) for number in range(20)))
            await ask(0, 50)
            calls: Counter[str] = Counter()

            def count(frame, event, _):
                name = frame.f_code.co_filename
                if event == "call" and "/covetally/" in name:
                    calls[f"{name.rpartition('/')[2]}:{frame.f_code.co_name}"] += 1

            sys.setprofile(count)
            try:
                await ask(50, 200)
            finally:
                sys.setprofile(None)
            writer.close()
            each = sum(calls.values()) / 200
            assert 30 < each <= MAX_CALLS, (each, calls.most_common(40))

    asyncio.run(main())
