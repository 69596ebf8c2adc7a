"""What the sharpened standing test asks for, held without the bench: real sidecars, the rig's discovery and
nodes.

The table of the list's clock is in docs/design/list.md; each row here has the latest moment at which nothing
new may go to a node that began to drain, counted from what the row names.
"""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass

import pytest

from covetally.net import asking
from covetally.rig.account import SECOND
from covetally.rig.discovery import STYLES
from covetally.rig.load import Load, Plan
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.world import Shape, World
from tests.loopback import TEST_TIMEOUT_S, wait_until

SLACK_S = 1.0  # for a loaded machine, on top of each row's time
RATE, MUST_ASK_S = 60, 10.0


@dataclass(frozen=True)
class Row:
    """A way in which the news is hindered: `before_s` goes by in the fault before the node begins to drain,
    `after_s` after it until the fault ends, and `told_s` after that end the news counts as told."""

    name: str
    pushed: bool
    told_s: float
    before_s: float = 0.0
    after_s: float = 0.0


WATCH = asking.noticed_s(asking.call(True, True, False))
LOOK = asking.noticed_s(asking.call(True, True, True))
ROWS = [
    Row("drop", True, asking.SILENCE_S),
    Row("503", True, 0.0, 0.3, 0.3),
    Row("reset", True, 0.0, 0.3, 0.3),
    Row("cut", True, 0.0, 0.0, 0.3),
    Row("indented", True, 0.0),
    Row("pieces", True, 0.3),
    Row("outage", True, 0.0, WATCH + 0.5, 0.4),
    Row("sighup", True, 4.0),
    Row("restart", True, 0.0),
    Row("end", True, 0.0, 0.3, 0.3),
    Row("brief", True, 0.0),
    Row("drop", False, asking.SILENCE_S),
    # Refused for so long that the pauses between calls are as long as they get.
    Row("503", False, asking.SILENCE_S, 4.0, 0.3),
    Row("end", False, asking.SILENCE_S, 0.3, 0.3),
    Row("brief", False, 0.0),
    Row("cut", False, asking.SILENCE_S, 0.0, 0.3),
    Row("indented", False, 0.0),
    Row("outage", False, asking.SILENCE_S, WATCH + 0.5, 0.4),
    Row("restart", False, asking.SILENCE_S),
]


def test_every_row_is_held_by_arithmetic():
    """From the fall into silence until a new call is out, and after an outage until the agent is looked at."""
    assert asking.SILENCE_S - WATCH > 2.0
    assert LOOK < asking.GRACE_S
    first = asking.call(True, False, False)
    assert asking.noticed_s(first) < 4.0, "after SIGHUP"
    assert asking.noticed_s(asking.call(False, True, False)) == WATCH, "what all sidecars ask is watched alike"


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{'pushed' if row.pushed else 'asked'}-{row.name}")
def test_a_node_that_drains_gets_nothing_new_once_it_counts_as_told(row):
    async def main():
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), World(Shape(nodes=4, instances=1)) as world:
            instance = world.instances["a0"]
            if not row.pushed:
                instance.config["settings"]["discovery"] = "subscribe"
                instance.config["settings"]["invariants"]["mustAskInNs"] = int(MUST_ASK_S * SECOND)
            await world.start_instances()
            rest_s = row.before_s + row.after_s + row.told_s + asking.GRACE_S + SLACK_S
            plan = Plan(LOAD_CLASSES, TENANTS, ("a0",), rate=RATE, seconds=rest_s + 2.5, seed=5)
            load = Load(world.account, {"a0": instance.address}, plan, world.alive)
            played = asyncio.create_task(load.play(plan.draw()))
            await wait_until(lambda: all(node.seen["arrived"] for node in world.nodes.values()))
            counts_ns = await hinder(world, row)
            await played
            late_ns = counts_ns + int((row.told_s + asking.GRACE_S + SLACK_S) * SECOND)
            sent = [a for arrivals in world.account.arrivals.values() for a in arrivals]
            assert any(a.node != "n1" and a.began_ns > late_ns - SECOND for a in sent), "load to the end"
            assert [a for a in sent if a.node == "n1" and a.began_ns > late_ns] == []
            assert world.account.judge().breaks == ()

    asyncio.run(main())


async def hinder(world: World, row: Row) -> int:
    """Bring the row about while n1 begins to drain; from when its time counts."""
    style = set(STYLES) & {row.name}
    if style:
        world.discovery.command(style=row.name)
    if row.name == "outage":
        world.discovery.command(silent=True)
    if row.name == "drop":
        await asyncio.sleep(0.1)  # a watch stands open
        world.discovery.command(drop=True)
    if row.name == "sighup":
        port = await world.move_discovery("a0")
        world.instances["a0"].config["discovery"] = f"127.0.0.1:{port}"
        world.command_line("a0")
    if row.name == "restart":
        world.kill_instance("a0")
        await world.instances["a0"].process.wait()
    await asyncio.sleep(row.before_s)
    world.lifecycle("n1", "leaving")
    if row.name == "restart":
        await world.start_instance("a0")
    elif row.name == "sighup":
        world.instances["a0"].process.send_signal(signal.SIGHUP)
    await asyncio.sleep(row.after_s)
    if row.name == "outage":
        world.discovery.command(drop=True)  # calls that wait are not answered at the return: they fell silent
        world.discovery.command(silent=False)
    elif row.after_s:
        world.discovery.command(style="")
    return time.monotonic_ns()


# --- after SIGTERM ------------------------------------------------------------------------------


def get(name: str) -> bytes:
    return (
        f"GET /api?sid=k HTTP/1.1\r\nHost: app\r\nX-Trace-Id: {name}\r\nX-Qos: module-lookup\r\n"
        f"X-Customer: officina-brescia\r\nX-Expires-In: 1.000\r\n\r\n"
    ).encode()


class Client:
    """Asks on one connection for as long as it stays open, and anew on others while they can be had."""

    def __init__(self, number: int, address: tuple[str, int], pause_s: float) -> None:
        self._number, self._address, self._pause_s = number, address, pause_s
        self.statuses: list[int] = []
        self.unanswered: list[str] = []

    async def ask_on(self) -> None:
        reader = writer = None
        turn = 0
        while True:
            turn += 1
            name = f"c{self._number}-{turn}"
            for again in (False, True):  # once more where the close crossed it, as the protocol has it
                if writer is None:
                    try:
                        reader, writer = await asyncio.open_connection(*self._address)
                    except OSError:
                        return  # nobody takes it
                    fresh = True
                else:
                    fresh = False
                writer.write(get(name))
                status, closes = await self._answer(reader)
                if not status or closes:
                    writer.close()
                    writer = None
                if status:
                    self.statuses.append(status)
                    break
                if fresh or again:
                    self.unanswered.append(name)
                    break
            await asyncio.sleep(self._pause_s)

    async def _answer(self, reader: asyncio.StreamReader) -> tuple[int, bool]:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, True
        return int(head.split()[1]), b"connection: close" in head.lower()


def test_after_sigterm_whoever_sends_on_what_stays_open_has_an_answer():
    """Clients without a pause and with long ones, so that requests cross the closes; one that is slow to send."""

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S), World(Shape(nodes=3, instances=1)) as world:
            await world.start_instances()
            address = world.instances["a0"].address
            clients = [Client(i, address, pause_s=(0.0, 0.003, 0.05, 0.4)[i % 4]) for i in range(24)]
            asking_ = [asyncio.create_task(client.ask_on()) for client in clients]
            await wait_until(lambda: all(len(client.statuses) > 1 for client in clients))
            reader, writer = await asyncio.open_connection(*address)
            begun = get("slow")
            writer.write(begun[:-9])
            await asyncio.sleep(0.05)
            world.instances["a0"].process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1.0)  # past the time in which new connections come
            writer.write(begun[-9:])
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.split()[1] == b"200", head
            await asyncio.gather(*asking_)
            writer.close()
            assert await world.instances["a0"].process.wait() == 0
            assert [client.unanswered for client in clients if client.unanswered] == []
            assert {status for client in clients for status in client.statuses} <= {200, 503}
            assert "cut off" not in world.instances["a0"].log

    asyncio.run(main())
