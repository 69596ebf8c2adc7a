"""The sidecar's end of management: keeps a link to the agent and carries out what comes over it.

Management must never cost service: whatever goes wrong here is logged and the sidecar serves on with what it has.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import random
import secrets
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import TYPE_CHECKING, Any

from covetally.control import keep, taking
from covetally.control.keep import Kept
from covetally.control.orders import WORDS, Orders, RosterMode, from_table
from covetally.control.protocol import HELLO_S, VERSIONS, Decoder, Message, ProtocolError, digest, encode
from covetally.control.redial import Redial
from covetally.control.taking import Held, Step
from covetally.net.config import ConfigError

if TYPE_CHECKING:
    from covetally.control.instance import Instance, Told

log = logging.getLogger(__name__)

SILENT_BEATS = 3  # an agent that has not answered so many heartbeats, and SILENT_S, is not there
SILENT_S = 2.0
KEEP_AGAIN_S = 2.0  # until what the disk did not take is written again
MAX_UNSENT = 4 * 1024 * 1024  # an agent that does not read is not there either


class Manager:
    """Created with the process, started when it serves."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._own = own = instance.configuration.file_settings
        self.name = str(own.get("control.name", instance.configuration.platform.name))
        self._labels = {
            k.removeprefix("control.labels."): v for k, v in own.items() if k.startswith("control.labels.")
        }
        self._boot = secrets.token_hex(8)
        self._epoch = 0  # the highest of any order to go out; this process's memory only
        self._path = Path(str(own["control.keep"])) if "control.keep" in own else None
        kept = self._recall()
        self._memory = taking.start(kept.memory)
        self.orders = kept.orders  # what an operator wants of this sidecar, as far as it is known here
        self._redial = Redial(0.5, 30.0)
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._proving: asyncio.TimerHandle | None = None
        self._writing = asyncio.Lock()
        self._told_down = False
        self._cannot_keep = False  # the disk did not take what was last to be kept of a trial
        self.gauges: Told

    # --- before and after -----------------------------------------------------------------------

    def _recall(self) -> Kept:
        if self._path is None:
            return Kept()
        try:
            return keep.read(self._path)
        except ValueError as error:
            log.error("control.keep: %s: %s: nothing managed is in force", self._path, error)
            return Kept()

    def at_start(self) -> dict[str, Any]:
        """The managed settings to start with. The memory is written first: if they kill the process before it
        has proven them, the next one must know."""
        if self._path is not None and self._memory.trial is not None:
            try:
                keep.write(self._path, Kept(self._memory, self.orders))
            except OSError as error:
                log.error("control.keep: %s: starting without what is on trial", error)
                self._memory = taking.unusable(self._memory, f"control.keep cannot be written: {error}")
        return dict(self._memory.in_force.values)

    def unusable(self, reason: str) -> dict[str, Any]:
        """The settings of `at_start` cannot be used; returns what to start with instead."""
        log.error("revision %d cannot be used any more: %s", self._memory.in_force.revision, reason)
        self._memory = taking.unusable(self._memory, reason)
        return dict(self._memory.in_force.values)

    def restore_orders(self) -> None:
        """Put what was ordered of the process before this one in force, before a request is taken."""
        if self.orders.draining:
            self._instance.start_drained()
        if self.orders.roster is RosterMode.AUTO:
            return
        if reason := self._instance.order(self.orders.roster.value):
            log.error("the order %s of the roster cannot hold: %s", self.orders.roster.value, reason)

    def start(self) -> None:
        """The sidecar serves: look for the agent."""
        self.gauges = self._instance.gauges()
        self.gauges.start()
        if self._memory.trial is not None:
            self._prove_later()
        elif self._memory.failed is not None:
            self._prove_later(0.0)  # what failed is kept as such
        self._task = asyncio.create_task(self._run())

    def goodbye(self) -> None:
        """The sidecar drains and will end."""
        self._send({"t": "bye", "reason": "ends"})

    async def stop(self) -> None:
        """End the link. A process that ends in good order has proven its revision."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self.gauges.stop()
        if self._proving is not None:
            self._proving.cancel()
            await self._proven()

    # --- the link -------------------------------------------------------------------------------

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            values = self._instance.configuration.values
            self._redial.least = float(values.get("control.redial_min_s", 0.5))
            self._redial.most = float(values.get("control.redial_max_s", 30.0))
            start = loop.time()
            try:
                await self._link()
            except (OSError, ProtocolError, TimeoutError) as error:
                if not self._told_down:  # once for each time it goes
                    log.warning("no agent: %s: %s", type(error).__name__, error)
                self._told_down = True
            except Exception:  # a bug here costs management, never service
                log.exception("the link to the agent failed by a bug")
            self._redial.stood(loop.time() - start)
            await asyncio.sleep(self._redial.pause(random.random()))

    async def _link(self) -> None:
        async with asyncio.timeout(HELLO_S):
            reader, writer = await self._dial()
        decoder, beats = Decoder(), None
        try:
            self._writer = writer
            self._send(self._hello())
            async with asyncio.timeout(HELLO_S):
                messages = await self._read(reader, decoder)
            first = messages.pop(0)
            if first["t"] == "deny":
                raise ProtocolError(f"the agent denies: {first['reason']:.200}")
            if first["t"] != "welcome" or first["version"] not in VERSIONS:
                raise ProtocolError(f"the agent answers {first!r:.200}")
            log.info("managed as %s by the agent at %s", self.name, self._own["control.agent"])
            if "orders" in first and (problem := await self._take_orders(first["orders"])):
                log.error("orders of the agent: %s", problem)
            self._told_down = False
            beats = asyncio.create_task(self._beat())
            while True:
                for message in messages:
                    await self._handle(message)
                silence_s = SILENT_BEATS * self._heartbeat_s() + SILENT_S
                try:
                    async with asyncio.timeout(silence_s):
                        messages = await self._read(reader, decoder)
                except TimeoutError:
                    raise ProtocolError(f"nothing from the agent for {silence_s:g} s") from None
        finally:
            self._writer = None
            if beats is not None:
                beats.cancel()
            writer.transport.abort()

    async def _dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        agent = str(self._own["control.agent"])
        kind, _, where = agent.partition(":")
        if kind == "unix":
            return await asyncio.open_unix_connection(where)
        host, _, port = where.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _read(self, reader: asyncio.StreamReader, decoder: Decoder) -> list[Message]:
        while True:
            data = await reader.read(65536)
            if not data:
                raise ConnectionResetError("the agent closed the link")
            messages = decoder.feed(data)
            if messages:
                return messages

    def _send(self, message: Message) -> None:
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT:
            writer.transport.abort()
            return
        writer.write(encode(message))

    def _hello(self) -> Message:
        now, memory = self._memory.in_force, self._memory
        return {
            "t": "hello", "versions": list(VERSIONS), "name": self.name, "boot": self._boot, "pid": os.getpid(),
            "version": _version(), "labels": self._labels, "started": self.gauges.started,
            "revision": now.revision, "digest": now.digest, "values": dict(now.values),
            "pending": memory.pending.digest if memory.pending else "",
            "failed": memory.failed.digest if memory.failed else "", "reason": memory.reason,
            "may_restart": bool(self._own.get("control.may_restart", False)),
            "epoch": self._epoch, "keeps": self._path is not None, "orders": self.orders.table(),
            "token": self._token(), "beat": self._beat_message(),
        }  # fmt: skip

    def _token(self) -> str:
        path = self._own.get("control.token_file")
        if path is None:
            return ""
        try:
            return Path(str(path)).read_text(encoding="utf-8").partition("\n")[0].strip()
        except (OSError, ValueError) as error:
            log.error("control.token_file: %s", error)
            return ""

    # --- what it tells --------------------------------------------------------------------------

    def _heartbeat_s(self) -> float:
        return float(self._instance.configuration.values.get("control.heartbeat_s", 5.0))

    def _beat_message(self) -> Message:
        memory = self._memory
        pending = memory.pending.digest if memory.pending else ""
        ours = {"digest": memory.in_force.digest, "pending": pending, "orders": self.orders.revision}
        return {"t": "beat"} | ours | self.gauges.beat()

    async def _beat(self) -> None:
        while True:
            # Not all at once, however many sidecars came to the agent in one moment.
            await asyncio.sleep(self._heartbeat_s() * random.uniform(0.9, 1.1))
            self._send(self._beat_message())

    # --- what it takes --------------------------------------------------------------------------

    async def _handle(self, message: Message) -> None:
        match message["t"]:
            case "apply":
                self._send(await self._offered(message))
            case "ask":
                self._send({"t": "answer", "id": message["id"]} | await self._asked(message))
            case "do":
                problem = self._behind(message) or await self._done(message)
                self._send({"t": "answer", "id": message["id"], "error": problem, "state": self._instance.state})

    async def _asked(self, message: Message) -> dict[str, Any]:
        what = message["what"]
        if what == "snapshot":
            now, memory = self._memory.in_force, self._memory
            managed = {
                "revision": now.revision, "digest": now.digest, "values": dict(now.values),
                "on_trial": memory.trial is not None, "settings": self._instance.configuration.values,
                "pending": dict(memory.pending.values) if memory.pending else None, "failed": memory.reason,
            }  # fmt: skip
            return {"data": await self.gauges.snapshot() | {"managed": managed}}
        if what == "roster":
            return {"data": await self._instance.roster_table()}
        if what == "would":
            values = message.get("values")
            if not isinstance(values, dict):
                return {"error": "would it take what?"}
            problems, restart = self._check(Held(0, digest(values), values))
            return {"data": {"problems": problems, "restart": restart}}
        if what == "overload":
            return {"data": await self._instance.overload_table()}
        if what == "caps":
            return {"data": await self._instance.caps_table()}
        if what == "tier":
            return {"data": await self._instance.tier_table()}
        if what == "ping":
            return {}
        if what == "logs":
            return {"data": await self.gauges.logs()}
        return {"error": f"nothing is known as {what:.40}"}

    def _behind(self, message: Message) -> str:
        """Why an order is refused: another agent has gone on since the one that gives it. Empty if it is not."""
        epoch = message.get("epoch")
        if not isinstance(epoch, int):
            return ""
        if epoch < self._epoch:
            return f"epoch {self._epoch} is known here, and this order is of {epoch}: another agent has gone on"
        self._epoch = epoch
        return ""

    async def _done(self, message: Message) -> str:
        """Carry out an order; empty, or why not."""
        what = message["what"]
        if what in WORDS:  # also while it ends: the process after it is to have it
            if "orders" in message:
                return await self._take_orders(message["orders"])
            return await self._adopt_orders(self.orders.ordered(what, self.orders.revision))
        if self._instance.ending:
            return "" if what == "restart" else "the sidecar is ending"
        return self._do_once(what)

    def _do_once(self, what: str) -> str:
        """Carry out what is no state; empty, or why not."""
        instance = self._instance
        match what:
            case "believe":
                if reason := instance.order(what):
                    return reason
            case "restart":
                if not self._own.get("control.may_restart", False):
                    return "control.may_restart is not set: nothing would start this sidecar again"
                log.info("%s restarts at the agent's word", self.name)
                instance.end()
            case _:
                return f"nothing is known as {what:.40}"
        log.info("%s: %s at the agent's word", self.name, what)
        return ""

    # --- what an operator has ordered -----------------------------------------------------------

    async def _take_orders(self, table: Any) -> str:
        """Take up the state that the agent wants; empty, or why not. What is older than what is held is late."""
        try:
            wanted = from_table(table)
        except ValueError as error:
            return str(error)
        if wanted.revision < self.orders.revision:
            return f"orders of revision {self.orders.revision} are held here, and these are of {wanted.revision}"
        return await self._adopt_orders(wanted)

    async def _adopt_orders(self, wanted: Orders) -> str:
        """Keep a state, then put it in force: what cannot be kept is not acknowledged. Empty, or why not."""
        before = self.orders
        if wanted == before:
            return ""
        if wanted.roster is not before.roster:
            reason = self._instance.order(wanted.roster.value)
            if reason and wanted.roster is not RosterMode.AUTO:  # without a roster there is nothing to undo
                return reason
        self.orders = wanted
        try:
            await self._keep()
        except OSError as error:
            self.orders = before
            self._instance.order(before.roster.value)
            return f"control.keep cannot be written: {error}"
        if wanted.draining:
            self._instance.drain(wanted.within_s)
        elif before.draining:
            self._instance.resume()
        log.info("%s: orders of revision %d: draining %s, roster %s", self.name, wanted.revision,
                 wanted.draining, wanted.roster.value)  # fmt: skip
        return ""

    async def _offered(self, message: Message) -> Message:
        offered = Held(message["revision"], message["digest"], message["values"])
        problems, restart = self._check(offered)
        before = self._memory
        memory, step, reply = taking.offer(before, offered, problems, restart)
        if step is not Step.NOTHING:
            try:
                self._memory = memory
                await self._keep()
                if step is Step.APPLY:
                    self._instance.manage(dict(offered.values))
                    self._prove_later()
            except (OSError, ConfigError) as error:
                self._memory = before
                refusal = {"key": "control.keep", "value": None, "reason": str(error), "remedy": ""}
                reply = taking.Reply("refused", offered, (refusal,))
        log.info("revision %d: %s", offered.revision, reply.outcome)
        return {
            "t": "ack", "revision": offered.revision, "digest": offered.digest, "outcome": reply.outcome,
            "errors": list(reply.errors), "keys": list(reply.keys), "held": self._memory.in_force.digest,
            "keeps": self._path is not None,
        }  # fmt: skip

    def _check(self, offered: Held) -> tuple[list[dict[str, Any]], list[str]]:
        """What is wrong with an offer here, and what of it would take a restart."""
        from covetally.operator import check

        try:
            values = check.checked(offered.values, managed=True)
            self._instance.configuration.check_managed(values)
        except check.OperatorError as error:
            return [p.table() for p in error.problems], []
        if digest(values) != offered.digest:
            return [{"key": "digest", "value": None, "reason": "is not of these settings", "remedy": ""}], []
        own = self._own
        return [], check.restart_keys(own | dict(self._memory.in_force.values), own | values)

    async def _keep(self) -> None:
        if self._path is not None:
            async with self._writing:
                await asyncio.to_thread(keep.write, self._path, Kept(self._memory, self.orders))

    def _prove_later(self, after_s: float = taking.PROVE_S) -> None:
        if self._proving is not None:
            self._proving.cancel()
        loop = asyncio.get_running_loop()
        self._proving = loop.call_later(after_s, lambda: loop.create_task(self._proven()))

    async def _proven(self) -> None:
        """The revision on trial is good. Until that is kept a crash would count against it: it is tried again."""
        self._proving = None
        self._memory = taking.proven(self._memory)
        try:
            await self._keep()
        except OSError as error:
            if not self._cannot_keep:
                log.error("control.keep: %s: make room on the disk or mend it", error)
            self._cannot_keep = True
            self._prove_later(KEEP_AGAIN_S)
        else:
            self._cannot_keep = False


def _version() -> str:
    try:
        return version("covetally")
    except PackageNotFoundError:
        return "unknown"
