"""A managed sidecar, as a real process, with a scripted agent that encodes its frames without the sidecar's
code."""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
import struct
from contextlib import asynccontextmanager

import pytest

from covetally.rig.world import Shape, World

TEST_TIMEOUT_S = 25.0


def digest(values) -> str:
    text = json.dumps(values, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


class Agent:
    """A scripted agent. It accepts connections and sends messages on request."""

    def __init__(self) -> None:
        self.connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.connected = asyncio.Event()
        self.answer: bytes | None = b'{"t":"welcome","version":1}'
        self.server: asyncio.Server

    async def start(self, path) -> None:
        self.server = await asyncio.start_unix_server(self._serve, path)

    async def _serve(self, reader, writer) -> None:
        self.connections.append((reader, writer))
        self.connected.set()

    async def accept(self):
        """Wait for the next connection, answer its hello, and return the streams and the hello."""
        await self.connected.wait()
        self.connected.clear()
        reader, writer = self.connections[-1]
        hello = await self.read(reader)
        if self.answer is not None:
            writer.write(struct.pack(">I", len(self.answer)) + self.answer)
        return reader, writer, hello

    async def read(self, reader, kind: str = "") -> dict:
        while True:
            (size,) = struct.unpack(">I", await reader.readexactly(4))
            message = json.loads(await reader.readexactly(size))
            if not kind or message["t"] == kind:
                return message

    def send(self, writer, **message) -> None:
        data = json.dumps(message).encode()
        writer.write(struct.pack(">I", len(data)) + data)

    async def apply(self, reader, writer, revision: int, values: dict) -> dict:
        self.send(writer, t="apply", revision=revision, digest=digest(values), values=values)
        return await self.read(reader, "ack")

    def close(self) -> None:
        self.server.close()
        for _, writer in self.connections:
            writer.close()


@asynccontextmanager
async def managed(extra: str = "", keep: bool = True, start: bool = True):
    async with asyncio.timeout(TEST_TIMEOUT_S), World(Shape(nodes=2, instances=1)) as world:
        instance = world.instances["a0"]
        agent = Agent()
        await agent.start(world.folder / "agent.sock")
        kept = f'keep = "{instance.folder}/keep.json"\n' if keep else ""
        (instance.folder / "operator.toml").write_text(
            f'[control]\nagent = "unix:{world.folder}/agent.sock"\n{kept}heartbeat_s = 0.2\n'
            f"redial_min_s = 0.05\nredial_max_s = 0.1\n{extra}\n"
        )
        instance.arguments = ("--operator", str(instance.folder / "operator.toml"))
        if start:
            await world.start_instance("a0")
        try:
            yield world, agent
        finally:
            agent.close()


async def health(world) -> int:
    reader, writer = await asyncio.open_connection(*world.instances["a0"].address)
    writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return int(line.split()[1])


def test_it_reports_its_identity_and_status():
    async def main():
        async with managed('[control.labels]\nzone = "milano"') as (world, agent):
            reader, writer, hello = await agent.accept()
            assert hello["t"] == "hello" and hello["versions"] == [1]
            assert (hello["name"], hello["labels"]) == ("a0", {"zone": "milano"})
            assert hello["pid"] == world.instances["a0"].process.pid
            assert (hello["revision"], hello["digest"]) == (0, digest({}))
            beat = await agent.read(reader, "beat")
            assert set(beat["counts"]) == {"module-lookup", "calib-update", "batch-checkin", "loan-transfer"}
            assert beat["state"] == "serving"
            agent.send(writer, t="ask", id=7, what="snapshot")
            answer = await agent.read(reader, "answer")
            assert answer["id"] == 7
            nodes = {n["node"]: n for n in answer["data"]["nodes"]}
            assert set(nodes) == {"n0", "n1"} and nodes["n0"]["k"] == 1
            assert answer["data"]["limits"]["client_connections"][1] == 256
            agent.send(writer, t="ask", id=8, what="logs")
            assert any("managed as a0" in x["text"] for x in (await agent.read(reader, "answer"))["data"])
            agent.send(writer, t="ask", id=9, what="nonsense")
            assert "nonsense" in (await agent.read(reader, "answer"))["error"]
            agent.send(writer, t="whatever", x=1)  # unknown messages of newer agents are ignored
            await agent.read(reader, "beat")

    asyncio.run(main())


def test_a_revision_is_applied_refused_or_pending_as_a_whole():
    async def main():
        async with managed() as (world, agent):
            reader, writer, _ = await agent.accept()
            ack = await agent.apply(reader, writer, 1, {"limits.max_attempts": 2, "log.level": "debug"})
            assert (ack["outcome"], ack["held"]) == ("took", ack["digest"])
            bad = {"limits.max_attempts": 99, "classes.nope.aim_ms": 5, "log.level": "error"}
            refused = await agent.apply(reader, writer, 2, bad)
            assert refused["outcome"] == "refused" and refused["held"] == ack["digest"]
            assert {e["key"] for e in refused["errors"]} == {"limits.max_attempts", "classes.nope.aim_ms"}
            assert all(e["reason"] for e in refused["errors"])
            own_key = await agent.apply(reader, writer, 3, {"control.agent": "unix:/tmp/x"})
            assert own_key["outcome"] == "refused", "an agent must not change its own connection"
            held = await agent.apply(reader, writer, 4, {"process.backlog": 77, "log.level": "error"})
            assert (held["outcome"], held["keys"]) == ("needs_restart", ["process.backlog"])
            assert held["held"] == ack["digest"], "the revision was partly applied"
            agent.send(writer, t="ask", id=1, what="snapshot")
            now = (await agent.read(reader, "answer"))["data"]["managed"]
            assert now["values"] == {"limits.max_attempts": 2, "log.level": "debug"}
            assert now["pending"] == {"process.backlog": 77, "log.level": "error"}
            agent.send(writer, t="apply", revision=5, digest=digest({"x": 1}), values={"log.level": "info"})
            assert (await agent.read(reader, "ack"))["outcome"] == "refused"
            old = await agent.apply(reader, writer, 0, {})
            assert old["outcome"] == "refused" and "older" in old["errors"][0]["reason"]

    asyncio.run(main())


def test_a_lost_ack_is_repeated_and_nothing_is_applied_twice():
    async def main():
        async with managed() as (world, agent):
            reader, writer, _ = await agent.accept()
            values = {"limits.max_attempts": 2}
            agent.send(writer, t="apply", revision=1, digest=digest(values), values=values)
            await agent.read(reader, "ack")
            writer.transport.abort()  # as if the ack was lost
            reader, writer, hello = await agent.accept()
            assert (hello["revision"], hello["digest"], hello["values"]) == (1, digest(values), values)
            assert (await agent.apply(reader, writer, 1, values))["outcome"] == "took"
            assert world.instances["a0"].log.count("revision 1: took") == 2
            assert json.loads((world.instances["a0"].folder / "keep.json").read_text())["good"]["revision"] == 0

    asyncio.run(main())


def test_it_keeps_serving_and_reconnects_whatever_the_agent_sends():
    async def main():
        async with managed() as (world, agent):
            replies = [
                b'{"t":"deny","reason":"not you"}', b'{"t":"welcome","version":9}', b"nonsense", b"[]", None,
                b'{"t":"welcome","version":1}',
            ]  # fmt: skip
            for reply in replies:
                agent.answer = reply
                reader, writer, hello = await agent.accept()
                assert hello["name"] == "a0"
                assert await health(world) == 200
                if reply is None:
                    writer.write(b"\xff\xff\xff\xff")
            await agent.read(reader, "beat")
            assert "Traceback" not in world.instances["a0"].log

    asyncio.run(main())


def test_it_reconnects_when_the_agent_becomes_silent():
    """The connection stays open but delivers nothing; without a timeout it would never be closed."""

    async def main():
        async with managed() as (world, agent):
            await agent.accept()
            _, _, hello = await agent.accept()
            assert hello["t"] == "hello"

    asyncio.run(main())


def test_drain_and_resume_change_its_health_check():
    async def main():
        async with managed() as (world, agent):
            reader, writer, _ = await agent.accept()
            agent.send(writer, t="do", id=1, what="drain")
            answer = await agent.read(reader, "answer")
            assert (answer["error"], answer["state"]) == ("", "draining")
            assert await health(world) == 503
            agent.send(writer, t="do", id=2, what="resume")
            assert (await agent.read(reader, "answer"))["state"] == "serving"
            assert await health(world) == 200
            agent.send(writer, t="do", id=3, what="restart")
            assert "may_restart" in (await agent.read(reader, "answer"))["error"]
            agent.send(writer, t="do", id=4, what="dance")
            assert "dance" in (await agent.read(reader, "answer"))["error"]

    asyncio.run(main())


def test_a_restart_order_sends_bye_exits_with_0_and_applies_the_pending_revision():
    async def main():
        async with managed("may_restart = true") as (world, agent):
            reader, writer, first = await agent.accept()
            values = {"process.backlog": 77}
            assert (await agent.apply(reader, writer, 3, values))["outcome"] == "needs_restart"
            agent.send(writer, t="do", id=1, what="restart")
            assert (await agent.read(reader, "bye"))["reason"] == "ends"
            assert await world.instances["a0"].process.wait() == 0
            await world.start_instance("a0")
            _, _, hello = await agent.accept()
            assert (hello["revision"], hello["digest"], hello["pending"]) == (3, digest(values), "")
            assert hello["boot"] != first["boot"]

    asyncio.run(main())


def test_a_revision_that_crashes_the_process_is_dropped_and_reported_at_the_next_start():
    async def main():
        async with managed() as (world, agent):
            reader, writer, _ = await agent.accept()
            values = {"limits.max_attempts": 2}
            assert (await agent.apply(reader, writer, 1, values))["outcome"] == "took"
            world.kill_instance("a0")
            await world.instances["a0"].process.wait()
            await world.start_instance("a0")
            _, _, hello = await agent.accept()
            assert (hello["revision"], hello["digest"]) == (0, digest({}))
            assert hello["failed"] == digest(values) and "ended soon" in hello["reason"]

    asyncio.run(main())


def test_a_revision_survives_a_normal_shutdown_and_a_start_without_an_agent():
    async def main():
        async with managed() as (world, agent):
            reader, writer, _ = await agent.accept()
            values = {"limits.max_attempts": 2}
            await agent.apply(reader, writer, 1, values)
            agent.close()
            assert await world.stop_instance("a0") == 0
            await world.start_instance("a0")
            assert json.loads((world.instances["a0"].folder / "keep.json").read_text())["good"]["revision"] == 1

    asyncio.run(main())


@pytest.mark.parametrize("text", ["{", json.dumps({"format": 1})])
def test_a_damaged_state_file_is_logged_and_the_sidecar_starts_with_its_own_settings(text):
    async def main():
        async with managed(start=False) as (world, agent):
            (world.instances["a0"].folder / "keep.json").write_text(text)
            await world.start_instance("a0")
            _, _, hello = await agent.accept()
            assert hello["digest"] == digest({})
            assert "nothing managed is in force" in world.instances["a0"].log

    asyncio.run(main())


def test_a_saved_revision_that_became_unusable_does_not_prevent_a_start():
    async def main():
        async with managed(start=False) as (world, agent):
            values = {"classes.gone.aim_ms": 5}
            held = {"revision": 4, "digest": digest(values), "values": values}
            table = {"format": 1, "good": held, "trial": None, "pending": None, "failed": None, "reason": ""}
            (world.instances["a0"].folder / "keep.json").write_text(json.dumps(table))
            await world.start_instance("a0")
            _, _, hello = await agent.accept()
            assert (hello["digest"], hello["failed"]) == (digest({}), digest(values))
            assert "no such class" in hello["reason"]

    asyncio.run(main())


def test_a_reload_keeps_the_settings_of_the_agent():
    async def main():
        async with managed() as (world, agent):
            reader, writer, _ = await agent.accept()
            await agent.apply(reader, writer, 1, {"limits.max_attempts": 2})
            world.instances["a0"].process.send_signal(signal.SIGHUP)
            while "reloaded its configuration" not in world.instances["a0"].log:
                await asyncio.sleep(0.02)
            agent.send(writer, t="ask", id=1, what="snapshot")
            assert (await agent.read(reader, "answer"))["data"]["limits"]["max_attempts"] == 2
            path = world.instances["a0"].folder / "operator.toml"
            path.write_text(path.read_text().replace("agent.sock", "other.sock") + 'name = "b"\n')
            world.instances["a0"].process.send_signal(signal.SIGHUP)
            while "control.agent has changed, which takes a restart" not in world.instances["a0"].log:
                await asyncio.sleep(0.02)
            assert "control.name has changed" in world.instances["a0"].log
            writer.transport.abort()
            _, _, hello = await agent.accept()
            assert hello["name"] == "a0", "it has to connect to the previous agent"

    asyncio.run(main())
