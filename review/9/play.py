"""Case 9: after an answer of discovery that is cut, the sidecar never asks for the list again.

Discovery is asked for lists. For some seconds it is crowded: it answers the open watch slowly and refuses the
calls that come meanwhile; then the slow answer fails by a reset. From then on discovery is well. A server
begins to drain, and discovery has the change and can be reached. Checked: nothing new at that server 6 s, the
drain grace and the slack later.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from stand_ins_2.client import Client
from stand_ins_2.discovery import Call, Discovery
from stand_ins_2.messages import answer
from stand_ins_2.play import TROUBLE, Record, Sidecar, loopback_host, run, site_settings
from stand_ins_2.server import Arrival, Server

CASE = Path(__file__).resolve().parent
SERVERS = 12
REQUESTS_PER_S = 25
DEADLINE_S = 1.0
QUIET_S = 3.0  # before the disruption
LATE_S = 0.5  # the crowded discovery begins to answer so long after the wait of the watch
ENTRY_S = 0.2  # and writes an entry of the list in this time
ENTRIES_BEFORE_RESET = 9
WELL_AGAIN_S = 2.0  # from the end of the disruption to the drain
AFTER_DRAIN_S = 48.0  # more than four times `mustAskInNs`
TOLD_AFTER_S = 6.0  # a change counts as told so long after discovery had it and could be reached, at the latest
DRAIN_GRACE_S, SLACK_S = 0.5, 0.05


class CrowdedDiscovery(Discovery):
    """Discovery that can be crowded: it works on one slow answer, and refuses what comes meanwhile."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record

    async def be_crowded(self) -> None:
        """Answer the open watch slowly and not to its end; refuse other calls until then."""
        while not self.waiting:
            await asyncio.sleep(0.01)
        watch = next(iter(self.waiting))
        self.waiting.pop(watch).cancel()
        self.on_call = self._refuse
        self._record.note("discovery is crowded: the open watch waits, other calls are refused")
        await asyncio.sleep(max(0.0, watch.at + watch.wait_ms / 1000 + LATE_S - time.monotonic()))
        await self._write_slowly(watch)
        watch.connection.reset()
        self.on_call = self.answer_or_wait
        self._record.note("the slow answer failed by a reset; discovery is well again")

    async def _write_slowly(self, watch: Call) -> None:
        whole = answer(200, self.whole_list(), {"Content-Type": "application/json"})
        pieces = whole.replace(b'{"instanceId"', b'\0{"instanceId"').split(b"\0")
        for piece in pieces[: 1 + ENTRIES_BEFORE_RESET]:
            watch.connection.write(piece)
            await asyncio.sleep(ENTRY_S)

    def _refuse(self, call: Call) -> None:
        self._record.note("discovery refuses a call with 503")
        call.connection.write(answer(503))


async def send_load(client: Client, seconds: float) -> None:
    """Send requests that are safe to repeat at a steady rate."""
    tasks = set()
    for _ in range(int(seconds * REQUESTS_PER_S)):
        task = asyncio.create_task(client.ask("module-lookup", DEADLINE_S, "free"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def drain_one(discovery: CrowdedDiscovery, servers: list[Server], record: Record) -> float:
    """The disruption, then a drain; returns since when discovery has it."""
    await asyncio.sleep(QUIET_S)
    if TROUBLE:
        await discovery.be_crowded()
    await asyncio.sleep(WELL_AGAIN_S)
    servers[0].lifecycle = "leaving"
    drained_at = time.monotonic()
    discovery.set(servers[0])
    record.note(f"discovery has it that {servers[0].name} drains (version {discovery.generation})")
    return drained_at


async def play(record: Record, folder: Path) -> bool:
    """Whether nothing new went to the server after its drain counted as told."""
    arrivals: list[Arrival] = []
    servers = [Server(f"s-{number:02}", arrivals, cell=number // 4) for number in range(SERVERS)]
    discovery = CrowdedDiscovery(record)
    for server in servers:
        await server.start()
    discovery.set(*servers)
    await discovery.start()
    sidecar = Sidecar(folder, loopback_host(), site_settings("subscribe"), discovery.address)
    try:
        await sidecar.start()
        client = Client(sidecar.address, "officina-brescia")
        drain = asyncio.create_task(drain_one(discovery, servers, record))
        longest_s = QUIET_S + 8.0 + WELL_AGAIN_S + AFTER_DRAIN_S
        await send_load(client, longest_s)
        drained_at = await drain
    finally:
        await sidecar.stop()
    return judge(record, discovery, client, arrivals, servers[0].name, drained_at)


def judge(
    record: Record, discovery: Discovery, client: Client, arrivals: list[Arrival], name: str, drained_at: float
) -> bool:
    """Write the account and return whether the rule held."""
    written_at = next((at for at, _ in discovery.told if at >= drained_at), None)
    told_at = min(drained_at + TOLD_AFTER_S, written_at if written_at is not None else drained_at + TOLD_AFTER_S)
    late = [a for a in arrivals if a.server == name and a.first_byte_at > told_at + DRAIN_GRACE_S + SLACK_S]
    for at, target in discovery.calls:
        record.note(f"discovery was asked: {target}", at)
    record.note(f"the drain counts as told at {told_at - drained_at:.2f} s after discovery had it", told_at)
    served = sum(asked.status == 200 for asked in client.asked)
    record.note(f"{len(client.asked)} requests, {served} served; {len(late)} sent to {name} too late")
    for arrival in late:
        record.note(f"{arrival.trace_id} came to {name}", arrival.first_byte_at)
    return not late


if __name__ == "__main__":
    run(CASE, CASE / "record.txt", play)
