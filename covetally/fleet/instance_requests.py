"""Sends queries and operators' orders to instances over their links, and matches the answers to them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from covetally.control.orders import STATE_ORDERS, RosterMode
from covetally.control.protocol import Message
from covetally.fleet.orders import Command, DesiredOrders
from covetally.fleet.errors import AgentRefusedError
from covetally.fleet.registry import Instance
from covetally.fleet.steady_clock import SteadyClock

log = logging.getLogger(__name__)

MAX_CONCURRENT_QUERIES = 100
ANSWER_TIMEOUT_S = 5.0
PING_TIMEOUT_S = 2.0


class InstanceRequests:
    """The queries and orders that are waiting for an answer.

    `restarter` restarts a supervised instance; it returns False if the agent supervises none of that name.
    """

    def __init__(self, instances: Mapping[str, Instance], orders: DesiredOrders, clock: SteadyClock) -> None:
        self.instances = instances
        self._orders, self._clock = orders, clock
        self._restoring: set[str] = set()  # instances to which the desired orders are being sent again
        self.restarter: Callable[[str], bool] = lambda name: False
        # by message id: the instance, and the future for its answer
        self._waiting: dict[int, tuple[str, asyncio.Future[Message]]] = {}
        self._last_id = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def receive_answer(self, name: str, message: Message) -> None:
        """Complete the request that a message of an instance answers; ignores answers that nobody waits for."""
        expected, future = self._waiting.get(message["id"], ("", None))
        if expected == name and future is not None and not future.done():
            future.set_result(message)

    async def request(self, instance: Instance, message: Message, timeout_s: float = ANSWER_TIMEOUT_S) -> Message:
        """Send a message to an instance and return its answer.

        Raises AgentRefusedError if the instance is not connected or does not answer in time.
        """
        if instance.link is None:
            raise AgentRefusedError("unreachable", f"{instance.name} is not connected")
        message_id = self._last_id = self._last_id + 1
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._waiting[message_id] = (instance.name, future)
        try:
            instance.link.send(message | {"id": message_id})
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise AgentRefusedError("unreachable", f"{instance.name} did not answer in time") from None
        finally:
            del self._waiting[message_id]

    async def do(self, instance: Instance, command: Command) -> dict[str, Any]:
        """Send an operator's command to an instance; returns its name, whether it did it, and the error if not.

        A command that changes the instance's state is stored first, so that an instance that is not connected
        receives it when it connects.
        """
        is_state = command.action in STATE_ORDERS
        try:
            error = await (self._order(instance, command) if is_state else self._send_once(instance, command))
        except AgentRefusedError as refused:
            error = f"{refused}: the order is stored and is sent when it connects" if is_state else str(refused)
        return {"name": instance.name, "done": not error, "error": error}

    async def step(self, name: str, what: str, epoch: int) -> str:
        """See `drains.AgentOperations`."""
        instance = self.instances[name]
        if what == "restart" and self.restarter(name):
            return ""
        before = self._orders.desired(name)
        try:
            if what in STATE_ORDERS:
                return await self._order(instance, Command(what, why="a drain order"), epoch=epoch)
            return await self._told(instance, what, epoch=epoch)
        except AgentRefusedError as error:
            if what == "restart":
                return "" if not instance.connected else str(error)
            # Withdraw the permit: the stored order would otherwise reach the instance when it reconnects, and
            # it would leave service then although nothing checks the floors for it any more.
            self._orders.revert(name, self._orders.desired(name), before, self._clock.now())
            return str(error)

    async def _order(self, instance: Instance, command: Command, **more: Any) -> str:
        """Store a command that changes the state and send it; returns what `_told` returns.

        The stored state is reverted if the instance refuses the command.
        """
        name, before = instance.name, self._orders.desired(instance.name)
        desired = self._orders.record(name, command, self._clock.now())
        problem = await self._told(instance, command.action, orders=desired.as_dict(), **more)
        if problem:
            self._orders.revert(name, desired, before, self._clock.now())
        return problem

    async def _send_once(self, instance: Instance, command: Command) -> str:
        """Send a command that is not stored as a state; returns what `_told` returns.

        `believe` accepts the server list at once, so it also ends a hold.
        """
        problem = await self._told(instance, command.action)
        is_held = self._orders.desired(instance.name).roster is RosterMode.HOLD
        if not problem and command.action == "believe" and is_held:
            return await self._order(instance, replace(command, action="auto"))
        return problem

    def restore(self, instance: Instance, reported: int) -> None:
        """Send an instance its desired orders again if those that it reported have a lower revision."""
        desired, name = self._orders.desired(instance.name), instance.name
        if reported >= desired.revision or name in self._restoring or instance.link is None:
            return
        self._restoring.add(name)
        task = asyncio.get_running_loop().create_task(self._restore(instance))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restore(self, instance: Instance) -> None:
        try:
            desired = self._orders.desired(instance.name)
            # Versions without orders understand the action only.
            action = "drain" if desired.draining else "resume"
            await self._told(instance, action, orders=desired.as_dict())
        except AgentRefusedError as error:
            log.warning("cannot send %s its desired orders: %s", instance.name, error)
        finally:
            self._restoring.discard(instance.name)

    async def _told(self, instance: Instance, action: str, **more: Any) -> str:
        """Order an instance to do an action, with `more` as further fields of the message.

        Returns the reason why the instance refuses, or an empty string. Raises AgentRefusedError as `request`
        does.
        """
        answer = await self.request(instance, {"t": "do", "what": action} | more)
        instance.state = str(answer.get("state", instance.state))
        return str(answer.get("error", ""))

    async def silent(self, names: list[str]) -> set[str]:
        """See `drains.AgentOperations`."""

        async def answers_ping(name: str) -> bool:
            try:
                await self.request(self.instances[name], {"t": "ask", "what": "ping"}, PING_TIMEOUT_S)
            except AgentRefusedError:
                return False
            return True

        answers = await asyncio.gather(*(answers_ping(name) for name in names))
        return {name for name, answered in zip(names, answers, strict=True) if not answered}

    async def overload_levels(self, names: list[str]) -> list[int]:
        """See `drains.AgentOperations`."""
        tables = await asyncio.gather(*(self.answer_of(name, "overload") for name in names))
        return [table["rung"] for table in tables if isinstance(table.get("rung"), int)]

    async def ask(self, name: str, what: str, **more: Any) -> Any:
        """Query an instance, for example for its snapshot or its logs.

        Raises AgentRefusedError if the instance is unknown, does not answer, or answers with an error.
        """
        instance = self.instances.get(name)
        if instance is None:
            raise AgentRefusedError("unknown", f"there is no instance {name}")
        answer = await self.request(instance, {"t": "ask", "what": what} | more)
        if answer.get("error"):
            raise AgentRefusedError("unknown", str(answer["error"]))
        return answer.get("data")

    async def answer_of(self, name: str, what: str, **more: Any) -> Any:
        """Query an instance as `ask` does, but return {"error": reason} instead of raising AgentRefusedError."""
        instance = self.instances.get(name)
        if instance is None or not instance.connected:
            return {"error": "not connected"}
        try:
            return await self.ask(name, what, **more)
        except AgentRefusedError as error:
            return {"error": str(error)}

    async def ask_all(self, instances: list[Instance], what: str) -> dict[str, Any]:
        """Query all of `instances`; returns the answer of each by name, or {"error": reason} in its place."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

        async def query(instance: Instance) -> Any:
            async with limit:
                return await self.answer_of(instance.name, what)

        return dict(zip([i.name for i in instances], await asyncio.gather(*map(query, instances)), strict=True))
