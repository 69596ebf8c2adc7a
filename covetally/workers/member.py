"""The worker process: a sidecar process that has a share of the limits of the whole sidecar.

    python -m covetally.workers.member CHANNEL LISTENER IDS [OPERATOR_FILE]

CHANNEL, LISTENER and IDS are the numbers of inherited descriptors. Only the supervisor starts workers. When the
supervisor exits, the worker closes the listener first, then drains and exits. A restarted sidecar can therefore
bind the address.
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
from covetally.control.status import ProcessStatus
from covetally.control.protocol import Message
from covetally.logs import configure_logging
from covetally.net.config import Config, ConfigError
from covetally.net.loop import run
from covetally.process import Process
from covetally.workers.channel import Channel
from covetally.workers.shared_ids import SharedIds
from covetally.workers.worker_pool import DEFAULT_HANG_TIMEOUT_S, share_of

if TYPE_CHECKING:
    from covetally.operator.schema import Values

log = logging.getLogger("covetally")

HEARTBEATS_PER_HANG_TIMEOUT = 10


class Member:
    """A worker's slot, the number of slots, and the resources that it shares with the other workers."""

    def __init__(self, listener: socket.socket, shared_ids: SharedIds) -> None:
        self.listener, self.shared_ids = listener, shared_ids
        self.slot, self.count = 0, 1
        self.others_continue = False  # only this worker ends, not the whole sidecar

    @property
    def is_first(self) -> bool:
        """Whether it has the tasks of only one worker: the registration, the tier and the peer address."""
        return self.slot == 0

    def derive_config(self, whole: Config) -> Config:
        """Return this worker's share of the whole sidecar's configuration."""
        slot, count = self.slot, self.count
        return replace(
            whole,
            name=f"{whole.name}/{slot}",
            seed=whole.seed + slot,
            client_connections=share_of(whole.client_connections, slot, count),
            server_connections=share_of(whole.server_connections, slot, count),
            memory=share_of(whole.memory, slot, count),
            body_memory=share_of(whole.body_memory, slot, count),
            peer_listen=whole.peer_listen if self.is_first else None,
            settings=replace(whole.settings, budget_share=1.0 / count),
        )

    def derive_settings(self, values: Values) -> Values:
        """Return the operators' settings that apply to this worker."""
        kept = {n: v for n, v in values.items() if self.is_first or not n.startswith(("register.", "tier."))}
        if "roster.keep" in kept and not self.is_first:
            kept["roster.keep"] = f"{kept['roster.keep']}.{self.slot}"
        return kept


class WorkerProcess:
    """Connects a sidecar process to its supervisor's channel."""

    def __init__(self, member: Member, operator: str | None) -> None:
        self._member, self._operator = member, operator
        self._channel = Channel(self._on_message, self._on_supervisor_exit)
        self._begin_message: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._deferred: list[Message] = []
        self._process: Process | None = None
        self._gauges: ProcessStatus
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, channel: socket.socket) -> None:
        """Serve until asked to end. Raises ConfigError if the configuration cannot be used."""
        await self._channel.open(channel)
        begin = await self._begin_message
        member = self._member
        member.slot, member.count = begin["place"], begin["count"]
        configuration = Configuration(os.environ, self._operator, member)
        if begin["values"]:
            configuration.manage(begin["values"])
        self._process = process = Process(configuration, member)
        self._gauges = process.status_source()
        process.on_ready = self._on_ready
        if begin["drained"]:
            process.start_drained()
        if begin["order"] == "hold":
            self._deferred.append({"t": "order", "what": begin["order"]})
        await process.run()

    def _on_ready(self) -> None:
        self._gauges.start()
        self._channel.send("up", pid=os.getpid())
        self._send_heartbeat()
        for message in self._deferred:
            self._apply(message)

    def _send_heartbeat(self) -> None:
        assert self._process is not None
        hang_timeout_s = float(self._process.values.get("workers.hang_s", DEFAULT_HANG_TIMEOUT_S))
        interval_s = hang_timeout_s / HEARTBEATS_PER_HANG_TIMEOUT
        asyncio.get_running_loop().call_later(interval_s, self._send_heartbeat)
        self._channel.send("alive", beat=self._gauges.heartbeat())

    def _on_supervisor_exit(self) -> None:
        log.error("the supervisor is gone: this worker drains and ends")
        if self._process is None:
            os._exit(1)  # it has not accepted anything yet
        self._process.begin_shutdown()

    def _on_message(self, message: Message) -> None:
        if not self._begin_message.done():
            self._begin_message.set_result(message)
        elif self._process is None or not self._process.serving:
            self._deferred.append(message)
        else:
            self._apply(message)

    def _apply(self, message: Message) -> None:
        process, member = self._process, self._member
        assert process is not None
        match message["t"]:
            case "share":
                member.slot, member.count = message["place"], message["count"]
                process.update_share()
            case "manage":
                try:
                    process.apply_managed(message["values"])
                except ConfigError as error:  # the file has changed since the supervisor checked the values
                    log.error("%s: the old configuration stays", error)
            case "reload":
                process.reload()
            case "drain":
                process.drain(message["within_s"])
            case "resume":
                process.resume()
            case "order":
                process.order_roster(message["what"])
            case "end":
                member.others_continue = not message["whole"]
                process.begin_shutdown()
            case "ask":
                task = asyncio.create_task(self._reply(message["id"], message["what"]))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _reply(self, ask_id: int, what: str) -> None:
        assert self._process is not None
        if what == "snapshot":
            data: object = await self._gauges.snapshot()
        elif what == "roster":
            data = await self._process.roster_table()
        else:
            data = await self._gauges.logs()
        self._channel.send("reply", id=ask_id, data=data)


async def _run(arguments: list[str]) -> None:
    channel, listener, ids = (int(argument) for argument in arguments[:3])
    member = Member(socket.socket(fileno=listener), SharedIds(ids))
    member.listener.setblocking(False)
    operator = arguments[3] if len(arguments) > 3 else None
    await WorkerProcess(member, operator).run(socket.socket(fileno=channel))


def main() -> int:
    """Run a worker and return its exit status: 0 after a drain, 2 if the configuration cannot be used."""
    configure_logging()
    try:
        run(_run(sys.argv[1:]))
    except ConfigError as error:
        log.error("%s", error)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
