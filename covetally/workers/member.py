"""A worker's side: one sidecar process that has a share of the whole.

    python -m covetally.workers.member CHANNEL LISTENER IDS [OPERATORS' FILE]

The numbers are descriptors that it inherits. It is started by the supervisor only. When the supervisor is gone it
drains and ends, and closes the listener first: whatever starts the sidecar again finds the address free.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import sys
from dataclasses import replace
from typing import TYPE_CHECKING

from covetally.configuration import Configuration
from covetally.control.gauges import Gauges
from covetally.control.protocol import Message
from covetally.logs import set_up
from covetally.net.config import Config, ConfigError
from covetally.net.loop import run
from covetally.process import Process
from covetally.workers.channel import Channel
from covetally.workers.claims import SharedIds
from covetally.workers.crew import HANG_S, part

if TYPE_CHECKING:
    from covetally.operator.schema import Values

log = logging.getLogger("covetally")

BEATS = 10  # in the time after which a worker that says nothing is held to hang


class Member:
    """Place, count, and what is shared with the others."""

    def __init__(self, listener: socket.socket, claims: SharedIds) -> None:
        self.listener, self.claims = listener, claims
        self.place, self.count = 0, 1
        self.alone = False  # it ends, and the others go on

    @property
    def first(self) -> bool:
        """Whether it does what only one of all may do: a registration, the kept roster, the peers' address."""
        return self.place == 0

    def config(self, whole: Config) -> Config:
        """This worker's share of the whole sidecar's configuration."""
        place, count = self.place, self.count
        return replace(
            whole,
            name=f"{whole.name}/{place}",
            seed=whole.seed + place,
            client_connections=part(whole.client_connections, place, count),
            server_connections=part(whole.server_connections, place, count),
            body_memory=part(whole.body_memory, place, count),
            peer_listen=whole.peer_listen if self.first else None,
            settings=replace(whole.settings, budget_share=1.0 / count),
        )

    def own(self, values: Values) -> Values:
        """The operators' settings as they hold here."""
        kept = {n: v for n, v in values.items() if self.first or not n.startswith(("register.", "tier."))}
        if "roster.keep" in kept and not self.first:
            kept["roster.keep"] = f"{kept['roster.keep']}.{self.place}"
        return kept


class Worker:
    """The process of a member and its channel."""

    def __init__(self, member: Member, operator: str | None) -> None:
        self._member, self._operator = member, operator
        self._channel = Channel(self._heard, self._orphaned)
        self._begun: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._early: list[Message] = []
        self._process: Process | None = None
        self._gauges: Gauges
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, channel: socket.socket) -> None:
        """Serve until told to end; ConfigError if it cannot."""
        await self._channel.open(channel)
        first = await self._begun
        member = self._member
        member.place, member.count = first["place"], first["count"]
        configuration = Configuration(os.environ, self._operator, member)
        if first["values"]:
            configuration.manage(first["values"])
        self._process = process = Process(configuration, member)
        self._gauges = process.gauges()
        process.on_ready = self._up
        if first["drained"]:
            process.start_drained()
        if first["order"] == "hold":
            self._early.append({"t": "order", "what": first["order"]})
        await process.run()

    def _up(self) -> None:
        self._gauges.start()
        self._channel.send("up", pid=os.getpid())
        self._beat()
        for message in self._early:
            self._carry_out(message)

    def _beat(self) -> None:
        assert self._process is not None
        self._channel.send("alive", beat=self._gauges.beat())
        every_s = float(self._process.values.get("workers.hang_s", HANG_S)) / BEATS
        asyncio.get_running_loop().call_later(every_s, self._beat)

    def _orphaned(self) -> None:
        log.error("the supervisor is gone: this worker drains and ends")
        if self._process is None:
            os._exit(1)  # nothing was taken yet
        self._process.end()

    def _heard(self, message: Message) -> None:
        if not self._begun.done():
            self._begun.set_result(message)
        elif self._process is None or not self._process.serving:
            self._early.append(message)
        else:
            self._carry_out(message)

    def _carry_out(self, message: Message) -> None:
        process, member = self._process, self._member
        assert process is not None
        match message["t"]:
            case "share":
                member.place, member.count = message["place"], message["count"]
                process.reshape()
            case "manage":
                try:
                    process.manage(message["values"])
                except ConfigError as error:  # the supervisor has checked it: the file has changed in between
                    log.error("%s: the old configuration stays", error)
            case "reload":
                process.reload()
            case "drain":
                process.drain(message["within_s"])
            case "resume":
                process.resume()
            case "order":
                process.order(message["what"])
            case "end":
                member.alone = not message["whole"]
                process.end()
            case "ask":
                task = asyncio.create_task(self._answer(message["id"], message["what"]))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _answer(self, number: int, what: str) -> None:
        assert self._process is not None
        if what == "snapshot":
            data: object = await self._gauges.snapshot()
        elif what == "roster":
            data = await self._process.roster_table()
        else:
            data = await self._gauges.logs()
        self._channel.send("reply", id=number, data=data)


async def _run(words: list[str]) -> None:
    channel, listener, ids = (int(word) for word in words[:3])
    member = Member(socket.socket(fileno=listener), SharedIds(ids))
    member.listener.setblocking(False)
    operator = words[3] if len(words) > 3 else None
    await Worker(member, operator).run(socket.socket(fileno=channel))


def main() -> int:
    """Exit status: 0 after an end in good order, 2 if it cannot be configured."""
    set_up()
    try:
        run(_run(sys.argv[1:]))
    except ConfigError as error:
        log.error("%s", error)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
