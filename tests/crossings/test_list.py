"""Discovery fails, refuses or stays silent: a change is still known here before it counts as notified."""

from __future__ import annotations

import asyncio
import itertools
import json
import time

import pytest

from covetally.interface import ServerListUpdate
from covetally.net import discovery_schedule
from covetally.net.discovery import Discovery
from covetally.net.server_list import ListUpdate
from covetally.policy.server_list import MEAN_SUBSCRIBE_DELAY
from tests.loopback import ScriptedServer, response, sidecar_harness, wait_until
from tests.support import MS, BalancerHarness, settings

MAX_PAUSE_S = 1.8 * MEAN_SUBSCRIBE_DELAY / 1e9


def members(generation: int, *lifecycles: str, whole: bool = True) -> bytes:
    instances = [
        {"instanceId": f"s{i}", "hostPort": f"127.0.0.1:{9 + i}", "lifecycle": state}
        for i, state in enumerate(lifecycles)
    ]
    return response(json.dumps({"generation": generation, "reset": whole, "instances": instances}).encode())


def test_notification_time_has_room_for_failed_calls():
    """Where lists are polled: a silent call, the longest pause, a refused call, the longest pause."""
    silent = discovery_schedule.next_call(False, True, True).timeout_s
    assert silent + 2 * MAX_PAUSE_S < discovery_schedule.NOTIFIED_AFTER_SILENCE_S
    watch = discovery_schedule.next_call(False, True, False).timeout_s
    assert watch + MAX_PAUSE_S < discovery_schedule.NOTIFIED_AFTER_SILENCE_S, (
        "no room for a silent watch and a refused call"
    )


@pytest.mark.parametrize("must_ask_s", [2, 10, 120])
def test_failed_calls_are_retried_in_time_and_with_jitter(must_ask_s):
    """The pause doubled with every failure, up to nine tenths of `mustAskInNs`, however long that was."""
    pauses = []
    for seed in range(8):
        invariants = {"mustAskInNs": must_ask_s * 1_000 * MS}
        harness = BalancerHarness(settings(discovery="subscribe", invariants=invariants), seed=seed)
        for _ in range(12):
            start, asks = harness.now, harness.subscriptions
            while harness.subscriptions == asks:
                harness.advance(10 * MS)
            pauses.append((harness.now - start) / 1e9)
            harness.feed(ServerListUpdate("FAILED"))
    assert max(pauses) <= MAX_PAUSE_S + 0.02
    assert len({round(pause, 2) for pause in pauses}) > 30, "without jitter, all sidecars call at the same time"


@pytest.mark.parametrize("failure", ["refused", "reset", "503"])
def test_drain_is_known_in_time_after_a_long_failure_of_discovery(failure):
    """The random pauses are at their maximum; mustAskInNs is ten seconds."""

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
            updates: list[tuple[float, ListUpdate]] = []
            discovery = Discovery(here.sidecar._balancer.state.settings, server.address, here.frontend.memory)
            discovery.on_update = lambda update: (
                updates.append((time.monotonic(), update)),
                here.sidecar.update_servers(
                    ServerListUpdate("FULL", tuple(entry for entry, _ in update.entries))
                ),
            )
            discovery.on_failure = lambda: here.sidecar.update_servers(ServerListUpdate("FAILED"))
            here.sidecar._subscribe = discovery.subscribe
            here.balancer.state.random = lambda: 0.999
            here.sidecar.update_servers(ServerListUpdate("FAILED"))
            await wait_until(lambda: updates)
            state["ok"] = False
            if failure == "refused":
                server.stop()
            await asyncio.sleep(5.0)  # enough failures for the pauses to have grown
            if failure == "refused":
                new_server = ScriptedServer(discover)
                new_server._server = await asyncio.start_server(new_server._serve, *server.address)
                server = new_server
            state.update(ok=True, drains=True)
            recovered = time.monotonic()
            await wait_until(lambda: updates[-1][0] > recovered)
            assert updates[-1][0] - recovered < MAX_PAUSE_S + 0.5
            assert updates[-1][1].entries[1][0].lifecycle == "draining"
            discovery.stop()
            server.stop()

    asyncio.run(main())


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("kind", ["complete", "version last", "truncated"])
def test_a_late_copy_of_an_older_list_does_not_take_a_drain_back(kind, whole):
    """The copy was read as the answer to the next call: the server that drains counted as active again."""

    async def main():
        older = members(5, "active", "active", whole=whole)
        if kind == "version last":
            fields = json.loads(older.partition(b"\r\n\r\n")[2])
            older = response(json.dumps(dict(reversed(fields.items()))).encode())
        answers = [members(5, "active", "active"), members(6, "active", "leaving", whole=whole)]
        seen: list[tuple[int, str]] = []

        async def discover(server, got, reader, writer):
            number = len(server.requests)
            if number <= len(answers):
                writer.write(answers[number - 1])
            elif server.connections == 1:
                writer.write(older[:-2] if kind == "truncated" else older)
                if kind == "truncated":
                    writer.close()
            else:
                await asyncio.sleep(0.05)
                writer.write(members(6, "active", "leaving", whole=whole))

        async with sidecar_harness() as here:
            server = ScriptedServer(discover)
            await server.start()
            discovery = Discovery(here.sidecar._balancer.state.settings, server.address, here.frontend.memory)
            discovery.on_update = lambda update: seen.extend(
                (update.generation, entry.lifecycle) for entry, _ in update.entries if entry.server == "s1"
            )
            discovery.on_failure = lambda: None
            discovery.start()
            await wait_until(lambda: server.connections == 2 and len(server.requests) >= 5)
            discovery.stop()
            server.stop()
        drains = [state for _, state in seen].index("draining")
        assert {state for _, state in seen[drains:]} == {"draining"}, seen

    asyncio.run(main())


@pytest.mark.parametrize("grace_s", [0.1, 0.25, 0.5, 2.0])
def test_silent_agent_is_called_again_within_the_drain_grace(grace_s):
    """A call every 0.35 s is too late for a drain grace of 0.25 s."""
    for known in (False, True):
        retry = discovery_schedule.next_call(True, known, True, grace_s)
        assert retry == discovery_schedule.next_call(True, False, True, grace_s)._replace(wait_ms=retry.wait_ms)
        tolerance_s = 0.05  # which the protocol grants on each time limit
        assert discovery_schedule.detection_s(retry, grace_s) <= grace_s + tolerance_s
    first = discovery_schedule.next_call(True, False, False, grace_s)
    assert first == discovery_schedule.next_call(True, False, True, grace_s), (
        "the first call has to be as quick as a retry"
    )


def test_unanswered_first_call_does_not_delay_the_recovery_from_an_outage():
    """A process that starts during an outage of the agent has an open call at its end that is never answered."""

    async def main():
        state = {"silent": True}

        async def discover(server, got, reader, writer):
            if state["silent"]:
                await asyncio.Event().wait()
            writer.write(members(3, "active"))

        async with sidecar_harness(more={"invariants": {"drainGraceNs": 500 * MS}}) as here:
            server = ScriptedServer(discover)
            await server.start()
            updates: list[float] = []
            discovery = Discovery(here.sidecar._balancer.state.settings, server.address, here.frontend.memory)
            discovery.on_update = lambda update: updates.append(time.monotonic())
            discovery.on_failure = lambda: None
            discovery.start()
            await wait_until(lambda: server.requests)
            state["silent"] = False
            recovered = time.monotonic()
            await wait_until(lambda: updates)
            assert updates[0] - recovered < 0.45
            discovery.stop()
            server.stop()

    asyncio.run(main())


def test_answer_during_a_pause_between_calls_starts_exactly_one_watch():
    """The end of the pause started a second call beside that watch. The watch's timeout then found no call."""

    async def main():
        state = {"calls": 0, "watching": 0, "most": 0}

        async def discover(server, got, reader, writer):
            state["calls"] += 1
            if state["calls"] == 1:
                await asyncio.sleep(0.6)  # longer than the first call's timeout; the other calls fail at once
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
            updates: list[ListUpdate] = []
            discovery = Discovery(here.sidecar._balancer.state.settings, server.address, here.frontend.memory)
            discovery.on_update = updates.append
            discovery.start()
            await wait_until(lambda: updates)
            await asyncio.sleep(1.0)
            assert state["most"] == 1
            discovery.stop()
            server.stop()

    asyncio.run(main())


@pytest.mark.parametrize("cut", [0, 2], ids=["whole", "truncated"])
def test_a_whole_list_that_ends_with_its_connection_removes_the_servers_that_it_leaves_out(cut):
    """Such a list counted as cut, so servers that it left out got work for good (review case 3)."""

    async def main():
        updates: list[ListUpdate] = []

        async def discover(server, got, reader, writer):
            text = members(7, "active").partition(b"\r\n\r\n")[2]
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text[: len(text) - cut])
            writer.close()

        async with sidecar_harness() as here:
            server = ScriptedServer(discover)
            await server.start()
            discovery = Discovery(here.sidecar._balancer.state.settings, server.address, here.frontend.memory)
            discovery.on_update = updates.append
            discovery.on_failure = lambda: None
            discovery.start()
            await wait_until(lambda: len(updates) >= 2)
            discovery.stop()
            server.stop()
        assert {update.full for update in updates} == {not cut}
        assert all([entry.server for entry, _ in update.entries] == ["s0"] for update in updates)

    asyncio.run(main())


def test_entries_of_a_cut_answer_are_not_applied_again_when_its_call_ends():
    """A call that was kept open ended after a later one had brought a drain, and took the drain back."""

    async def main():
        states: list[str] = []
        older = members(5, "active", "active")[:-2].replace(b"Content-Length: ", b"Content-Length: 9")
        newer = members(6, "active", "leaving")[:-2].replace(b"Content-Length: ", b"Content-Length: 9")

        async def discover(server, got, reader, writer):
            writer.write(older if server.connections == 1 else newer)
            await reader.read()

        async with sidecar_harness() as here:
            server = ScriptedServer(discover)
            await server.start()
            discovery = Discovery(here.sidecar._balancer.state.settings, server.address, here.frontend.memory)
            discovery.on_update = lambda update: states.extend(
                entry.lifecycle for entry, _ in update.entries if entry.server == "s1"
            )
            discovery.on_failure = lambda: None
            discovery.start()
            await wait_until(lambda: "draining" in states)
            (first,) = [call for call in discovery._kept if call.used_entries][:1]
            discovery._give_up(first)
            discovery.stop()
            server.stop()
        assert states[states.index("draining") :].count("up") == 0, states

    asyncio.run(main())
