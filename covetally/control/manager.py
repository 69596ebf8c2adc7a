"""The sidecar's side of management: keeps a connection to the agent and handles the messages of the agent.

Management must never affect the request path: any failure here is logged, and the sidecar keeps serving with the
settings that it has.
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

from covetally.control import revisions, state_file
from covetally.control.state_file import SavedState
from covetally.control.orders import STATE_ORDERS, Orders, RosterMode, from_dict
from covetally.control.protocol import (
    HANDSHAKE_TIMEOUT_S,
    VERSIONS,
    Decoder,
    Message,
    ProtocolError,
    digest,
    encode,
)
from covetally.control.reconnect import ReconnectBackoff
from covetally.control.revisions import Action, Revision
from covetally.net.config import ConfigError

if TYPE_CHECKING:
    from covetally.control.instance import Instance, StatusSource

log = logging.getLogger(__name__)

MAX_MISSED_HEARTBEATS = 3
SILENCE_MARGIN_S = 2.0  # in addition to that many heartbeats, until a silent agent counts as lost
SAVE_RETRY_S = 2.0  # until a failed write of the state file is retried
MAX_UNSENT_BYTES = 4 * 1024 * 1024  # an agent with more unread data than this counts as lost


class Manager:
    """Manages one instance for its agent. Created with the process, started once the instance serves."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._own = own = instance.configuration.file_settings
        self.name = str(own.get("control.name", instance.configuration.platform.name))
        self._labels = {
            k.removeprefix("control.labels."): v for k, v in own.items() if k.startswith("control.labels.")
        }
        self._boot_id = secrets.token_hex(8)
        self._highest_epoch = 0  # of any action so far; not saved across restarts
        self._state_path = Path(str(own["control.keep"])) if "control.keep" in own else None
        saved = self._load_state()
        self._revisions = revisions.on_start(saved.revision_state)
        self.orders = saved.orders  # the latest state that operators ordered, as far as it is known here
        self._backoff = ReconnectBackoff(0.5, 30.0)
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._trial_timer: asyncio.TimerHandle | None = None
        self._save_lock = asyncio.Lock()
        self._disconnect_logged = False
        self._save_failed = False  # whether the last save of an accepted trial failed
        self.status_source: StatusSource

    # --- start and stop -------------------------------------------------------------------------

    def _load_state(self) -> SavedState:
        if self._state_path is None:
            return SavedState()
        try:
            return state_file.read(self._state_path)
        except ValueError as error:
            log.error("control.keep: %s: %s: nothing managed is in force", self._state_path, error)
            return SavedState()

    def initial_values(self) -> dict[str, Any]:
        """Return the managed settings to start with. Saves the state first: if they crash the process during
        their trial, the next process has to know."""
        if self._state_path is not None and self._revisions.trial is not None:
            try:
                state_file.write(self._state_path, SavedState(self._revisions, self.orders))
            except OSError as error:
                log.error("control.keep: %s: starting without the revision on trial", error)
                self._revisions = revisions.reject_in_force(
                    self._revisions, f"control.keep cannot be written: {error}"
                )
        return dict(self._revisions.in_force.values)

    def reject_initial(self, reason: str) -> dict[str, Any]:
        """Reject the settings of `initial_values`, which cannot be used. Return the settings to start with
        instead."""
        log.error("revision %d cannot be used any longer: %s", self._revisions.in_force.revision, reason)
        self._revisions = revisions.reject_in_force(self._revisions, reason)
        return dict(self._revisions.in_force.values)

    def restore_orders(self) -> None:
        """Apply the orders given to the previous process, before the first request is accepted."""
        if self.orders.draining:
            self._instance.start_drained()
        if self.orders.roster is RosterMode.AUTO:
            return
        if reason := self._instance.order_roster(self.orders.roster.value):
            log.error("the order %s to the roster cannot be restored: %s", self.orders.roster.value, reason)

    def start(self) -> None:
        """Start to report and to connect to the agent. The instance has to serve already."""
        self.status_source = self._instance.status_source()
        self.status_source.start()
        if self._revisions.trial is not None:
            self._schedule_acceptance()
        elif self._revisions.failed is not None:
            self._schedule_acceptance(0.0)  # saves the failed revision
        self._task = asyncio.create_task(self._run())

    def announce_shutdown(self) -> None:
        """Tell the agent that the sidecar drains and will exit."""
        self._send({"t": "bye", "reason": "ends"})

    async def stop(self) -> None:
        """Close the connection. A normal shutdown accepts the revision on trial."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self.status_source.stop()
        if self._trial_timer is not None:
            self._trial_timer.cancel()
            await self._accept_trial()

    # --- connection -----------------------------------------------------------------------------

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            values = self._instance.configuration.values
            self._backoff.min_s = float(values.get("control.redial_min_s", 0.5))
            self._backoff.max_s = float(values.get("control.redial_max_s", 30.0))
            start = loop.time()
            try:
                await self._run_connection()
            except (OSError, ProtocolError, TimeoutError) as error:
                if not self._disconnect_logged:  # once per loss
                    log.warning("no connection to the agent: %s: %s", type(error).__name__, error)
                self._disconnect_logged = True
            except Exception:  # a bug must not stop the sidecar from serving
                log.exception("unhandled exception in the connection to the agent")
            self._backoff.record_uptime(loop.time() - start)
            await asyncio.sleep(self._backoff.next_delay(random.random()))

    async def _run_connection(self) -> None:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await self._connect()
        decoder, heartbeat_task = Decoder(), None
        try:
            self._writer = writer
            self._send(self._hello_message())
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                messages = await self._read_messages(reader, decoder)
            first = messages.pop(0)
            if first["t"] == "deny":
                raise ProtocolError(f"the agent rejected this sidecar: {first['reason']:.200}")
            if first["t"] != "welcome" or first["version"] not in VERSIONS:
                raise ProtocolError(f"unexpected answer of the agent: {first!r:.200}")
            log.info("managed as %s by the agent at %s", self.name, self._own["control.agent"])
            if "orders" in first and (problem := await self._receive_orders(first["orders"])):
                log.error("cannot apply the orders of the agent: %s", problem)
            self._disconnect_logged = False
            heartbeat_task = asyncio.create_task(self._send_heartbeats())
            while True:
                for message in messages:
                    await self._handle(message)
                silence_s = MAX_MISSED_HEARTBEATS * self._heartbeat_s() + SILENCE_MARGIN_S
                try:
                    async with asyncio.timeout(silence_s):
                        messages = await self._read_messages(reader, decoder)
                except TimeoutError:
                    raise ProtocolError(f"the agent has sent nothing for {silence_s:g} s") from None
        finally:
            self._writer = None
            if heartbeat_task is not None:
                heartbeat_task.cancel()
            writer.transport.abort()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        agent = str(self._own["control.agent"])
        kind, _, where = agent.partition(":")
        if kind == "unix":
            return await asyncio.open_unix_connection(where)
        host, _, port = where.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _read_messages(self, reader: asyncio.StreamReader, decoder: Decoder) -> list[Message]:
        while True:
            data = await reader.read(65536)
            if not data:
                raise ConnectionResetError("the agent closed the connection")
            messages = decoder.feed(data)
            if messages:
                return messages

    def _send(self, message: Message) -> None:
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            writer.transport.abort()
            return
        writer.write(encode(message))

    def _hello_message(self) -> Message:
        current, state = self._revisions.in_force, self._revisions
        return {
            "t": "hello", "versions": list(VERSIONS), "name": self.name, "boot": self._boot_id,
            "pid": os.getpid(), "version": _version(), "labels": self._labels,
            "started": self.status_source.started,
            "revision": current.revision, "digest": current.digest, "values": dict(current.values),
            "pending": state.pending.digest if state.pending else "",
            "failed": state.failed.digest if state.failed else "", "reason": state.reason,
            "may_restart": bool(self._own.get("control.may_restart", False)),
            "epoch": self._highest_epoch, "keeps": self._state_path is not None, "orders": self.orders.as_dict(),
            "token": self._token(), "beat": self._heartbeat_message(),
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

    # --- heartbeats -----------------------------------------------------------------------------

    def _heartbeat_s(self) -> float:
        return float(self._instance.configuration.values.get("control.heartbeat_s", 5.0))

    def _heartbeat_message(self) -> Message:
        state = self._revisions
        pending = state.pending.digest if state.pending else ""
        own_state = {"digest": state.in_force.digest, "pending": pending, "orders": self.orders.revision}
        return {"t": "beat"} | own_state | self.status_source.heartbeat()

    async def _send_heartbeats(self) -> None:
        while True:
            # Jitter, so that sidecars that connected at the same moment do not report at the same moment.
            await asyncio.sleep(self._heartbeat_s() * random.uniform(0.9, 1.1))
            self._send(self._heartbeat_message())

    # --- messages of the agent ------------------------------------------------------------------

    async def _handle(self, message: Message) -> None:
        match message["t"]:
            case "apply":
                self._send(await self._handle_offer(message))
            case "ask":
                self._send({"t": "answer", "id": message["id"]} | await self._answer_question(message))
            case "do":
                problem = self._check_epoch(message) or await self._carry_out(message)
                self._send({"t": "answer", "id": message["id"], "error": problem, "state": self._instance.state})

    async def _answer_question(self, message: Message) -> dict[str, Any]:
        question = message["what"]
        if question == "snapshot":
            current, state = self._revisions.in_force, self._revisions
            managed = {
                "revision": current.revision, "digest": current.digest, "values": dict(current.values),
                "on_trial": state.trial is not None, "settings": self._instance.configuration.values,
                "pending": dict(state.pending.values) if state.pending else None, "failed": state.reason,
            }  # fmt: skip
            return {"data": await self.status_source.snapshot() | {"managed": managed}}
        if question == "roster":
            return {"data": await self._instance.roster_table()}
        if question == "would":
            values = message.get("values")
            if not isinstance(values, dict):
                return {"error": "values is missing or not an object"}
            problems, restart = self._check_offer(Revision(0, digest(values), values))
            return {"data": {"problems": problems, "restart": restart}}
        if question == "overload":
            return {"data": await self._instance.overload_table()}
        if question == "caps":
            return {"data": await self._instance.caps_table()}
        if question == "tier":
            return {"data": await self._instance.tier_table()}
        if question == "ping":
            return {}
        if question == "logs":
            return {"data": await self.status_source.logs()}
        return {"error": f"unknown question: {question:.40}"}

    def _check_epoch(self, message: Message) -> str:
        """Return why an order is refused, else an empty string: an agent with a higher epoch has taken over."""
        epoch = message.get("epoch")
        if not isinstance(epoch, int):
            return ""
        if epoch < self._highest_epoch:
            return (
                f"epoch {self._highest_epoch} is known, but this order has {epoch}: another agent has taken over"
            )
        self._highest_epoch = epoch
        return ""

    async def _carry_out(self, message: Message) -> str:
        """Carry out an order. Return why it failed, else an empty string."""
        order = message["what"]
        if order in STATE_ORDERS:  # also during shutdown: saved for the next process
            if "orders" in message:
                return await self._receive_orders(message["orders"])
            return await self._apply_orders(self.orders.with_order(order, self.orders.revision))
        if self._instance.shutting_down:
            return "" if order == "restart" else "the sidecar is shutting down"
        return self._run_action(order)

    def _run_action(self, action: str) -> str:
        """Carry out a one-time action. Return why it failed, else an empty string."""
        instance = self._instance
        match action:
            case "believe":
                if reason := instance.order_roster(action):
                    return reason
            case "restart":
                if not self._own.get("control.may_restart", False):
                    return "control.may_restart is not set: nothing would restart this sidecar"
                log.info("%s: restarting as ordered by the agent", self.name)
                instance.begin_shutdown()
            case _:
                return f"unknown action: {action:.40}"
        log.info("%s: %s as ordered by the agent", self.name, action)
        return ""

    # --- orders of operators --------------------------------------------------------------------

    async def _receive_orders(self, document: Any) -> str:
        """Apply the state that the agent sends, unless it is older than the current one. Return why it failed,
        else an empty string."""
        try:
            wanted = from_dict(document)
        except ValueError as error:
            return str(error)
        if wanted.revision < self.orders.revision:
            return f"orders of revision {self.orders.revision} are in force, but these are of {wanted.revision}"
        return await self._apply_orders(wanted)

    async def _apply_orders(self, wanted: Orders) -> str:
        """Save a state, then apply it: a state that cannot be saved is not acknowledged. Return why it failed,
        else an empty string."""
        previous = self.orders
        if wanted == previous:
            return ""
        if wanted.roster is not previous.roster:
            reason = self._instance.order_roster(wanted.roster.value)
            if reason and wanted.roster is not RosterMode.AUTO:  # without a roster, auto is in effect anyway
                return reason
        self.orders = wanted
        try:
            await self._save()
        except OSError as error:
            self.orders = previous
            self._instance.order_roster(previous.roster.value)
            return f"control.keep cannot be written: {error}"
        if wanted.draining:
            self._instance.drain(wanted.within_s)
        elif previous.draining:
            self._instance.resume()
        log.info("%s: orders of revision %d: draining %s, roster %s", self.name, wanted.revision,
                 wanted.draining, wanted.roster.value)  # fmt: skip
        return ""

    async def _handle_offer(self, message: Message) -> Message:
        offered = Revision(message["revision"], message["digest"], message["values"])
        problems, restart = self._check_offer(offered)
        previous = self._revisions
        state, action, result = revisions.offer(previous, offered, problems, restart)
        if action is not Action.NONE:
            try:
                self._revisions = state
                await self._save()
                if action is Action.APPLY:
                    self._instance.apply_managed(dict(offered.values))
                    self._schedule_acceptance()
            except (OSError, ConfigError) as error:
                self._revisions = previous
                refusal = {"key": "control.keep", "value": None, "reason": str(error), "remedy": ""}
                result = revisions.OfferResult("refused", offered, (refusal,))
        log.info("revision %d: %s", offered.revision, result.outcome)
        return {
            "t": "ack", "revision": offered.revision, "digest": offered.digest, "outcome": result.outcome,
            "errors": list(result.errors), "keys": list(result.keys), "held": self._revisions.in_force.digest,
            "keeps": self._state_path is not None,
        }  # fmt: skip

    def _check_offer(self, offered: Revision) -> tuple[list[dict[str, Any]], list[str]]:
        """Return the problems of an offer on this sidecar, and the changed keys that need a restart."""
        from covetally.operator import check

        try:
            values = check.validate(offered.values, managed=True)
            self._instance.configuration.check_managed(values)
        except check.OperatorError as error:
            return [p.as_dict() for p in error.problems], []
        if digest(values) != offered.digest:
            return [{"key": "digest", "value": None, "reason": "does not match the settings", "remedy": ""}], []
        own = self._own
        return [], check.restart_keys(own | dict(self._revisions.in_force.values), own | values)

    async def _save(self) -> None:
        if self._state_path is not None:
            async with self._save_lock:
                await asyncio.to_thread(
                    state_file.write, self._state_path, SavedState(self._revisions, self.orders)
                )

    def _schedule_acceptance(self, after_s: float = revisions.TRIAL_S) -> None:
        if self._trial_timer is not None:
            self._trial_timer.cancel()
        loop = asyncio.get_running_loop()
        self._trial_timer = loop.call_later(after_s, lambda: loop.create_task(self._accept_trial()))

    async def _accept_trial(self) -> None:
        """Accept the revision on trial. Until this is saved, a crash would be blamed on it, so the save is
        retried."""
        self._trial_timer = None
        self._revisions = revisions.accept_trial(self._revisions)
        try:
            await self._save()
        except OSError as error:
            if not self._save_failed:
                log.error("control.keep: %s: make room on the disk or repair it", error)
            self._save_failed = True
            self._schedule_acceptance(SAVE_RETRY_S)
        else:
            self._save_failed = False


def _version() -> str:
    try:
        return version("covetally")
    except PackageNotFoundError:
        return "unknown"
