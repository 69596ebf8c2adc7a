"""Tests that a sidecar of several workers is one instance to its agent."""

from __future__ import annotations

import asyncio

from tests.control.test_manager import managed

WORKERS = "\n[workers]\ncount = 2\n"


async def heartbeat_with(agent, reader, count: int) -> dict:
    """Return the first heartbeat that lists exactly `count` workers, all serving."""
    while True:
        heartbeat = await agent.read(reader, "beat")
        if [w["state"] for w in heartbeat["workers"]] == ["serving"] * count:
            return heartbeat


async def ask(agent, reader, writer, what: str) -> dict:
    agent.send(writer, t="ask", id=7, what=what)
    return (await agent.read(reader, "answer"))["data"]


def test_an_agent_changes_the_number_of_workers_and_their_settings():
    async def main():
        async with managed(WORKERS) as (_, agent):
            reader, writer, hello = await agent.accept()
            assert hello["name"] == "a0"
            await heartbeat_with(agent, reader, 2)
            values = {"workers.count": 3, "limits.client_connections": 30}
            assert (await agent.apply(reader, writer, 1, values))["outcome"] == "took"
            heartbeat = await heartbeat_with(agent, reader, 3)
            assert sorted(w["place"] for w in heartbeat["workers"]) == [0, 1, 2]
            snapshot = await ask(agent, reader, writer, "snapshot")
            assert snapshot["limits"]["client_connections"][1] == 30, "the shares add up to the whole"
            assert len(snapshot["workers"]) == 3 and len({w["pid"] for w in snapshot["workers"]}) == 3
            assert {n["node"] for n in snapshot["nodes"]} == {"n0", "n1"}
            assert (await ask(agent, reader, writer, "roster"))["level"] == "direct"
            assert any("is up" in line["text"] for line in await ask(agent, reader, writer, "logs"))
            assert (await agent.apply(reader, writer, 2, {"workers.count": 1}))["outcome"] == "took"
            heartbeat = await heartbeat_with(agent, reader, 1)
            assert heartbeat["deaths"] == 0
            ack = await agent.apply(reader, writer, 3, {"workers.count": 0})
            assert (ack["outcome"], ack["errors"][0]["key"]) == ("refused", "workers.count")

    asyncio.run(main())


def test_a_sidecar_without_a_supervisor_refuses_a_number_of_workers():
    async def main():
        async with managed() as (_, agent):
            reader, writer, _ = await agent.accept()
            ack = await agent.apply(reader, writer, 1, {"workers.count": 2})
            assert (ack["outcome"], ack["errors"][0]["key"]) == ("refused", "workers.count")
            assert "supervisor" in ack["errors"][0]["reason"]

    asyncio.run(main())
