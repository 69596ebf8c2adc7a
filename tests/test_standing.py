"""The deadlines of drains and of a process's shutdown, tested with real sidecars, the rig's discovery and nodes.

Each row below is a fault between discovery and the sidecar, with the latest time at which new requests may still
be sent to a node that has started to drain. docs/design/list.md explains the deadlines.
"""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass

import pytest

from covetally.net import discovery_schedule
from covetally.rig.account import SECOND
from covetally.rig.discovery import STYLES
from covetally.rig.load import Load, Plan
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.world import Shape, World
from tests.loopback import TEST_TIMEOUT_S, wait_until

MARGIN_S = 1.0  # for a loaded machine, on top of each row's deadline
RATE, MUST_ASK_S = 60, 10.0


@dataclass(frozen=True)
class Row:
    """A fault that delays an update of the server list.

    The fault lasts for `before_s` before the node starts to drain and for `after_s` after that. The drain counts
    as notified `notified_s` after the end of the fault.
    """

    name: str
    pushed: bool
    notified_s: float
    before_s: float = 0.0
    after_s: float = 0.0


WATCH_DETECTION_S = discovery_schedule.detection_s(discovery_schedule.next_call(True, True, False))
RETRY_DETECTION_S = discovery_schedule.detection_s(discovery_schedule.next_call(True, True, True))
ROWS = [
    Row("drop", True, discovery_schedule.NOTIFIED_AFTER_SILENCE_S),
    Row("503", True, 0.0, 0.3, 0.3),
    Row("reset", True, 0.0, 0.3, 0.3),
    Row("cut", True, 0.0, 0.0, 0.3),
    Row("indented", True, 0.0),
    Row("pieces", True, 0.3),
    Row("outage", True, 0.0, WATCH_DETECTION_S + 0.5, 0.4),
    Row("sighup", True, 4.0),
    Row("restart", True, 0.0),
    Row("end", True, 0.0, 0.3, 0.3),
    Row("brief", True, 0.0),
    Row("drop", False, discovery_schedule.NOTIFIED_AFTER_SILENCE_S),
    # Refused for long enough that the pauses between calls reach their maximum.
    Row("503", False, discovery_schedule.NOTIFIED_AFTER_SILENCE_S, 4.0, 0.3),
    Row("end", False, discovery_schedule.NOTIFIED_AFTER_SILENCE_S, 0.3, 0.3),
    Row("brief", False, 0.0),
    Row("cut", False, discovery_schedule.NOTIFIED_AFTER_SILENCE_S, 0.0, 0.3),
    Row("indented", False, 0.0),
    Row("outage", False, discovery_schedule.NOTIFIED_AFTER_SILENCE_S, WATCH_DETECTION_S + 0.5, 0.4),
    Row("restart", False, discovery_schedule.NOTIFIED_AFTER_SILENCE_S),
]


def test_schedule_leaves_enough_time_to_meet_every_deadline():
    """Checks the time from a call falling silent to the next call, and from an outage to the next call."""
    assert discovery_schedule.NOTIFIED_AFTER_SILENCE_S - WATCH_DETECTION_S > 2.0
    assert RETRY_DETECTION_S < discovery_schedule.DRAIN_GRACE_S
    first = discovery_schedule.next_call(True, False, False)
    assert discovery_schedule.detection_s(first) < 4.0, "after SIGHUP"
    assert (
        discovery_schedule.detection_s(discovery_schedule.next_call(False, True, False)) == WATCH_DETECTION_S
    ), "watches have the same timing where lists are polled"


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{'pushed' if row.pushed else 'polled'}-{row.name}")
def test_draining_node_gets_no_new_requests_after_the_deadline(row):
    async def main():
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), World(Shape(nodes=4, instances=1)) as world:
            instance = world.instances["a0"]
            if not row.pushed:
                instance.config["settings"]["discovery"] = "subscribe"
                instance.config["settings"]["invariants"]["mustAskInNs"] = int(MUST_ASK_S * SECOND)
            await world.start_instances()
            duration_s = row.before_s + row.after_s + row.notified_s + discovery_schedule.DRAIN_GRACE_S + MARGIN_S
            plan = Plan(LOAD_CLASSES, TENANTS, ("a0",), rate=RATE, seconds=duration_s + 2.5, seed=5)
            load = Load(world.account, {"a0": instance.address}, plan, world.alive)
            played = asyncio.create_task(load.play(plan.draw()))
            await wait_until(lambda: all(node.seen["arrived"] for node in world.nodes.values()))
            fault_end_ns = await apply_fault(world, row)
            await played
            deadline_ns = fault_end_ns + int(
                (row.notified_s + discovery_schedule.DRAIN_GRACE_S + MARGIN_S) * SECOND
            )
            sent = [a for arrivals in world.account.arrivals.values() for a in arrivals]
            assert any(a.node != "n1" and a.began_ns > deadline_ns - SECOND for a in sent), (
                "no load until the end"
            )
            assert [a for a in sent if a.node == "n1" and a.began_ns > deadline_ns] == []
            assert world.account.judge().breaks == ()

    asyncio.run(main())


async def apply_fault(world: World, row: Row) -> int:
    """Applies the row's fault while n1 starts to drain; returns the end of the fault, from which the deadline is
    counted."""
    style = set(STYLES) & {row.name}
    if style:
        world.discovery.command(style=row.name)
    if row.name == "outage":
        world.discovery.command(silent=True)
    if row.name == "drop":
        await asyncio.sleep(0.1)  # until a watch is open
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
        world.discovery.command(drop=True)  # open calls are never answered, also not after the outage
        world.discovery.command(silent=False)
    elif row.after_s:
        world.discovery.command(style="")
    return time.monotonic_ns()


# --- after SIGTERM ------------------------------------------------------------------------------


def get_request(name: str) -> bytes:
    return (
        f"GET /api?sid=k HTTP/1.1\r\nHost: app\r\nX-Trace-Id: {name}\r\nX-Qos: module-lookup\r\n"
        f"X-Customer: officina-brescia\r\nX-Expires-In: 1.000\r\n\r\n"
    ).encode()


class Client:
    """Sends requests on one connection for as long as it stays open, and on new ones while they are accepted."""

    def __init__(self, number: int, address: tuple[str, int], pause_s: float) -> None:
        self._number, self._address, self._pause_s = number, address, pause_s
        self.statuses: list[int] = []
        self.unanswered: list[str] = []

    async def send_requests(self) -> None:
        reader = writer = None
        count = 0
        while True:
            count += 1
            name = f"c{self._number}-{count}"
            for is_retry in (False, True):  # the protocol allows one retry if a close crossed the request
                if writer is None:
                    try:
                        reader, writer = await asyncio.open_connection(*self._address)
                    except OSError:
                        return  # no process accepts connections
                    fresh = True
                else:
                    fresh = False
                writer.write(get_request(name))
                status, closes = await self._read_response(reader)
                if not status or closes:
                    writer.close()
                    writer = None
                if status:
                    self.statuses.append(status)
                    break
                if fresh or is_retry:
                    self.unanswered.append(name)
                    break
            await asyncio.sleep(self._pause_s)

    async def _read_response(self, reader: asyncio.StreamReader) -> tuple[int, bool]:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, True
        return int(head.split()[1]), b"connection: close" in head.lower()


def test_after_sigterm_requests_on_open_connections_are_answered():
    """Clients send with and without pauses, so that some requests cross a close; one client is slow to send."""

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S), World(Shape(nodes=3, instances=1)) as world:
            await world.start_instances()
            address = world.instances["a0"].address
            clients = [Client(i, address, pause_s=(0.0, 0.003, 0.05, 0.4)[i % 4]) for i in range(24)]
            sending = [asyncio.create_task(client.send_requests()) for client in clients]
            await wait_until(lambda: all(len(client.statuses) > 1 for client in clients))
            reader, writer = await asyncio.open_connection(*address)
            slow_request = get_request("slow")
            writer.write(slow_request[:-9])
            await asyncio.sleep(0.05)
            world.instances["a0"].process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1.0)  # until new connections are no longer accepted
            writer.write(slow_request[-9:])
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.split()[1] == b"200", head
            await asyncio.gather(*sending)
            writer.close()
            assert await world.instances["a0"].process.wait() == 0
            assert [client.unanswered for client in clients if client.unanswered] == []
            assert {status for client in clients for status in client.statuses} <= {200, 503}
            assert "cut off" not in world.instances["a0"].log

    asyncio.run(main())
