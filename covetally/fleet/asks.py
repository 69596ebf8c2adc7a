"""What instances are asked, and told to do, over their links, and what they answer."""

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

ASKS_AT_ONCE = 100
ASK_S = 5.0
PING_S = 2.0


class Asks:
    """Questions under way. `restarter` restarts an instance, False if it supervises none of that name."""

    def __init__(self, instances: Mapping[str, Instance], orders: DesiredOrders, clock: SteadyClock) -> None:
        self.instances = instances
        self._orders, self._clock = orders, clock
        self._restoring: set[str] = set()  # instances that are being told again what is wanted of them
        self.restarter: Callable[[str], bool] = lambda name: False
        self._asked: dict[int, tuple[str, asyncio.Future[Message]]] = {}
        self._next = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def answered(self, name: str, message: Message) -> None:
        """An instance answers."""
        asked, future = self._asked.get(message["id"], ("", None))
        if asked == name and future is not None and not future.done():
            future.set_result(message)

    async def ask_link(self, instance: Instance, message: Message, within_s: float = ASK_S) -> Message:
        """What an instance answers to a message; AgentRefusedError if it is not connected, or does not answer in
        time."""
        if instance.link is None:
            raise AgentRefusedError("unreachable", f"{instance.name} is not connected")
        number = self._next = self._next + 1
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._asked[number] = (instance.name, future)
        try:
            instance.link.send(message | {"id": number})
            async with asyncio.timeout(within_s):
                return await future
        except TimeoutError:
            raise AgentRefusedError("unreachable", f"{instance.name} does not answer") from None
        finally:
            del self._asked[number]

    async def do(self, instance: Instance, command: Command) -> dict[str, Any]:
        """Have it do as an operator says; what it answered. What is a state is kept first, and holds for an
        instance that is away once it comes."""
        kept = command.action in STATE_ORDERS
        try:
            error = await (self._order(instance, command) if kept else self._once(instance, command))
        except AgentRefusedError as refused:
            error = f"{refused}: the order is kept, and holds when it comes" if kept else str(refused)
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
            # The permit is taken back: who was not told must not go out later, under no floor.
            self._orders.revert(name, self._orders.desired(name), before, self._clock.now())
            return str(error)

    async def _order(self, instance: Instance, command: Command, **more: Any) -> str:
        """Keep a state and tell it; as `_told`. What the instance refuses is not wanted any more."""
        name, before = instance.name, self._orders.desired(instance.name)
        wanted = self._orders.record(name, command, self._clock.now())
        problem = await self._told(instance, command.action, orders=wanted.as_dict(), **more)
        if problem:
            self._orders.revert(name, wanted, before, self._clock.now())
        return problem

    async def _once(self, instance: Instance, command: Command) -> str:
        """Tell an order that is no state; as `_told`. Belief at once ends a hold."""
        problem = await self._told(instance, command.action)
        held = self._orders.desired(instance.name).roster is RosterMode.HOLD
        if not problem and command.action == "believe" and held:
            return await self._order(instance, replace(command, action="auto"))
        return problem

    def restore(self, instance: Instance, reported: int) -> None:
        """Tell an instance again what is wanted of it, if it holds orders of a lower revision."""
        wanted, name = self._orders.desired(instance.name), instance.name
        if reported >= wanted.revision or name in self._restoring or instance.link is None:
            return
        self._restoring.add(name)
        task = asyncio.get_running_loop().create_task(self._restore(instance))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restore(self, instance: Instance) -> None:
        try:
            wanted = self._orders.desired(instance.name)
            word = "drain" if wanted.draining else "resume"  # all that a version without orders understands
            await self._told(instance, word, orders=wanted.as_dict())
        except AgentRefusedError as error:
            log.warning("%s was not told what is wanted of it: %s", instance.name, error)
        finally:
            self._restoring.discard(instance.name)

    async def _told(self, instance: Instance, what: str, **more: Any) -> str:
        """Its reason not to do it, or empty; AgentRefusedError as `ask_link`."""
        answer = await self.ask_link(instance, {"t": "do", "what": what} | more)
        instance.state = str(answer.get("state", instance.state))
        return str(answer.get("error", ""))

    async def silent(self, names: list[str]) -> set[str]:
        """See `drains.AgentOperations`."""

        async def one(name: str) -> bool:
            try:
                await self.ask_link(self.instances[name], {"t": "ask", "what": "ping"}, PING_S)
            except AgentRefusedError:
                return False
            return True

        answers = await asyncio.gather(*(one(name) for name in names))
        return {name for name, there in zip(names, answers, strict=True) if not there}

    async def overload_levels(self, names: list[str]) -> list[int]:
        """See `drains.AgentOperations`."""
        found = await asyncio.gather(*(self.answer_of(name, "overload") for name in names))
        return [table["rung"] for table in found if isinstance(table.get("rung"), int)]

    async def ask(self, name: str, what: str, **more: Any) -> Any:
        """Ask an instance for its snapshot or its logs; AgentRefusedError if it does not answer."""
        instance = self.instances.get(name)
        if instance is None:
            raise AgentRefusedError("unknown", f"there is no instance {name}")
        answer = await self.ask_link(instance, {"t": "ask", "what": what} | more)
        if answer.get("error"):
            raise AgentRefusedError("unknown", str(answer["error"]))
        return answer.get("data")

    async def answer_of(self, name: str, what: str, **more: Any) -> Any:
        """As `ask`; {"error": why there is no answer} in place of AgentRefusedError."""
        instance = self.instances.get(name)
        if instance is None or not instance.connected:
            return {"error": "not connected"}
        try:
            return await self.ask(name, what, **more)
        except AgentRefusedError as error:
            return {"error": str(error)}

    async def ask_all(self, found: list[Instance], what: str) -> dict[str, Any]:
        """Ask all of these; by name what each answered, or {"error": why it did not}."""
        turns = asyncio.Semaphore(ASKS_AT_ONCE)

        async def one(instance: Instance) -> Any:
            async with turns:
                return await self.answer_of(instance.name, what)

        return dict(zip([i.name for i in found], await asyncio.gather(*map(one, found)), strict=True))
