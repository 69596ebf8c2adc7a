"""Discovery fails, refuses or stays silent: the change is known here before it counts as told."""

from __future__ import annotations

import asyncio
import itertools
import json
import time

import pytest

from covetally.interface import ServerListUpdate
from covetally.net import asking
from covetally.net.discovery import Discovery
from covetally.net.server_list import ListUpdate
from covetally.policy.server_list import MEAN_SUBSCRIBE_DELAY
from tests.loopback import ScriptedServer, response, sidecar_harness, wait_until
from tests.support import MS, BalancerHarness, settings

LONGEST_S = 1.8 * MEAN_SUBSCRIBE_DELAY / 1e9


def members(generation: int, *lifecycles: str, whole: bool = True) -> bytes:
    instances = [
        {"instanceId": f"s{i}", "hostPort": f"127.0.0.1:{9 + i}", "lifecycle": state}
        for i, state in enumerate(lifecycles)
    ]
    return response(json.dumps({"generation": generation, "reset": whole, "instances": instances}).encode())


def test_the_time_until_news_is_told_has_room_for_what_may_fail_on_the_way():
    """Where lists are asked for: a silent call, the longest pause, a refused call, the longest pause."""
    silent = asking.call(False, True, True).within_s
    assert silent + 2 * LONGEST_S < asking.SILENCE_S
    watch = asking.call(False, True, False).within_s
    assert watch + LONGEST_S < asking.SILENCE_S, "and a watch that falls silent, then a refused call"


@pytest.mark.parametrize("must_ask_s", [2, 10, 120])
def test_failed_calls_come_again_in_time_and_not_in_step(must_ask_s):
    """The pause doubled with every failure up to nine tenths of `mustAskInNs`, whatever that was."""
    gaps = []
    for seed in range(8):
        invariants = {"mustAskInNs": must_ask_s * 1_000 * MS}
        harness = BalancerHarness(settings(discovery="subscribe", invariants=invariants), seed=seed)
        for _ in range(12):
            start, asks = harness.now, harness.subscriptions
            while harness.subscriptions == asks:
                harness.advance(10 * MS)
            gaps.append((harness.now - start) / 1e9)
            harness.feed(ServerListUpdate("FAILED"))
    assert max(gaps) <= LONGEST_S + 0.02
    assert len({round(gap, 2) for gap in gaps}) > 30, "drawn: a crowd does not come as one"


@pytest.mark.parametrize("failure", ["refused", "reset", "503"])
def test_a_drain_is_known_in_time_after_discovery_failed_for_long(failure):
    """With the longest pauses that may be drawn; mustAskInNs is ten seconds."""

    async def main():
        numbers = itertools.count(1)
        state = {"ok": True, "drains": False}

        async def discover(server, got, reader, writer):
            if not state["ok"]:
                if failure == "503":
                    writer.write(response(b"", b"503 Busy"))
                writer.close()
                return
            lifecycles = ("active", "leaving" if state["drains"] else "active")
            if b"wait=2000" in got:
                await asyncio.sleep(0.3)
            writer.write(members(next(numbers), *lifecycles))

        async with sidecar_harness(
            more={"discovery": "subscribe", "invariants": {"mustAskInNs": 10_000 * MS}}
        ) as here:
            server = ScriptedServer(discover)
            await server.start()
            told: list[tuple[float, ListUpdate]] = []
            discovery = Discovery(here.sidecar._balancer.state.settings, server.address)
            discovery.on_list = lambda news: (
                told.append((time.monotonic(), news)),
                here.sidecar.directory(ServerListUpdate("FULL", tuple(entry for entry, _ in news.entries))),
            )
            discovery.on_failure = lambda: here.sidecar.directory(ServerListUpdate("FAILED"))
            here.sidecar._subscribe = discovery.subscribe
            here.balancer.state.random = lambda: 0.999
            here.sidecar.directory(ServerListUpdate("FAILED"))
            await wait_until(lambda: told)
            state["ok"] = False
            if failure == "refused":
                server.stop()
            await asyncio.sleep(5.0)  # some failures: the pauses had grown
            if failure == "refused":
                again = ScriptedServer(discover)
                again._server = await asyncio.start_server(again._serve, *server.address)
                server = again
            state.update(ok=True, drains=True)
            back = time.monotonic()
            await wait_until(lambda: told[-1][0] > back)
            assert told[-1][0] - back < LONGEST_S + 0.5
            assert told[-1][1].entries[1][0].lifecycle == "draining"
            discovery.stop()
            server.stop()

    asyncio.run(main())


@pytest.mark.parametrize("grace_s", [0.1, 0.25, 0.5, 2.0])
def test_an_agent_that_was_silent_is_looked_at_again_within_the_drain_grace(grace_s):
    """Every 0.35 s came too late where the settings give a quarter of a second."""
    for known in (False, True):
        look = asking.call(True, known, True, grace_s)
        assert look == asking.call(True, False, True, grace_s)._replace(wait_ms=look.wait_ms)
        slack_s = 0.05  # the protocol's on each time limit
        assert asking.noticed_s(look, grace_s) <= grace_s + slack_s
    first = asking.call(True, False, False, grace_s)
    assert first == asking.call(True, False, True, grace_s), "the first one too"


def test_a_first_call_that_stays_silent_does_not_hide_the_agent_s_return():
    """A process that starts while the agent is silent has a call out at its return, which nobody answers."""

    async def main():
        state = {"silent": True}

        async def discover(server, got, reader, writer):
            if state["silent"]:
                await asyncio.Event().wait()
            writer.write(members(3, "active"))

        async with sidecar_harness(more={"invariants": {"drainGraceNs": 500 * MS}}) as here:
            server = ScriptedServer(discover)
            await server.start()
            told: list[float] = []
            discovery = Discovery(here.sidecar._balancer.state.settings, server.address)
            discovery.on_list = lambda news: told.append(time.monotonic())
            discovery.on_failure = lambda: None
            discovery.start()
            await wait_until(lambda: server.requests)
            state["silent"] = False
            back = time.monotonic()
            await wait_until(lambda: told)
            assert told[0] - back < 0.45
            discovery.stop()
            server.stop()

    asyncio.run(main())


def test_an_answer_that_comes_in_a_pause_between_calls_is_followed_by_one_watch_and_no_more():
    """The pause's end asked once more beside that watch, whose time then ran out with no call of its own."""

    async def main():
        state = {"calls": 0, "watching": 0, "most": 0}

        async def discover(server, got, reader, writer):
            state["calls"] += 1
            if state["calls"] == 1:
                await asyncio.sleep(0.6)  # longer than a look's patience; the calls beside it fail at once
                writer.write(members(3, "active"))
            elif b"wait=2000" not in got:
                writer.write(response(b"", b"503 Busy"))
            else:
                state["watching"] += 1
                state["most"] = max(state["most"], state["watching"])
                await asyncio.sleep(0.2)
                state["watching"] -= 1
                writer.write(members(3, whole=False))

        async with sidecar_harness(more={"invariants": {"drainGraceNs": 500 * MS}}) as here:
            server = ScriptedServer(discover)
            await server.start()
            told: list[ListUpdate] = []
            discovery = Discovery(here.sidecar._balancer.state.settings, server.address)
            discovery.on_list = told.append
            discovery.start()
            await wait_until(lambda: told)
            await asyncio.sleep(1.0)
            assert state["most"] == 1
            discovery.stop()
            server.stop()

    asyncio.run(main())
