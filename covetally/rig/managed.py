"""An agent and the instances that it manages, as real processes, and faults between them."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

from covetally.rig.relay import Relay
from covetally.rig.wire import request, take_message
from covetally.rig.world import Shape, World

START_S = 20.0
QUICK = "heartbeat_s = 0.5"
COMMAND = "covetally.cli.main"


class AgentError(RuntimeError):
    """The agent ended, or its command failed in a way that the caller does not expect."""


class Managed(World):
    """A world whose instances dial an agent, by a relay each where `relayed` names them."""

    def __init__(self, shape: Shape | None = None, relayed: tuple[str, ...] = (), control: str = QUICK) -> None:
        super().__init__(shape)
        self.state = self.folder / "agent"
        self.state.mkdir()
        self.relays: dict[str, Relay] = {}
        self.agent: asyncio.subprocess.Process | None = None
        self._relayed, self._control = relayed, control

    @property
    def agent_address(self) -> str:
        """What the command is told with --agent."""
        return f"unix:{self.state / 'operators.sock'}"

    async def _start(self) -> None:
        await super()._start()
        for number, name in enumerate(self.instances):
            await self._dial_by(name, number)

    async def _dial_by(self, name: str, number: int) -> None:
        instance = self.instances[name]
        socket = self.state / "instances.sock"
        if name in self._relayed:
            self.relays[name] = Relay(socket)
            socket = instance.folder / "agent.sock"
            await self.relays[name].start(socket)
        zone = "abc"[number % 3]
        (instance.folder / "operator.toml").write_text(
            f'[control]\nagent = "unix:{socket}"\nkeep = "{instance.folder}/keep.json"\n'
            f"may_restart = true\nredial_min_s = 0.1\nredial_max_s = 0.5\n{self._control}\n"
            f'[control.labels]\nzone = "{zone}"\n'
        )
        instance.arguments = ("--operator", str(instance.folder / "operator.toml"))

    async def _stop(self) -> None:
        await self.end_agent()
        for relay in self.relays.values():
            await relay.stop()
        await super()._stop()

    # --- the agent ------------------------------------------------------------------------------

    async def start_agent(self, *options: str, module: str = COMMAND, env: Any = None) -> None:
        """Start it and wait until it is ready; AgentError with its log if it ends instead."""
        path = self.folder / "agent.log"
        before = path.stat().st_size if path.exists() else 0
        with path.open("ab") as log:
            self.agent = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, "agent", "--state", str(self.state), "--recover", "0", *options,
                stdout=log, stderr=log, env=os.environ | (env or {}),
            )  # fmt: skip
        async with asyncio.timeout(START_S):
            while b"agent ready" not in path.read_bytes()[before:]:
                if self.agent.returncode is not None:
                    raise AgentError(path.read_text()[-2000:])
                await asyncio.sleep(0.02)

    def supervise_file(self) -> Path:
        """Write what `cindersail agent --supervise` reads, for all instances."""
        path, parts = self.folder / "supervise.toml", []
        for name, instance in self.instances.items():
            command, env = self.command_line(name)
            parts.append(
                f"[[instance]]\nname = {json.dumps(name)}\ncommand = {json.dumps(command)}\n"
                f"log = {json.dumps(str(instance.folder / 'log'))}\n"
                f"env = {{ EDGE_CONFIG = {json.dumps(env['EDGE_CONFIG'])} }}\n"
            )
        path.write_text("\n".join(parts))
        return path

    async def start_supervisor(self, module: str = COMMAND, env: Any = None) -> None:
        """Start the agent with all instances in its care: it starts them, or finds them running."""
        supervise = ("--supervise", str(self.supervise_file()), "--stop-instances")
        await self.start_agent(*supervise, module=module, env=env)

    async def start_supervised(self, module: str = COMMAND) -> None:
        """Start the agent and let it start the instances; until all are connected."""
        await self.start_supervisor(module)
        await asyncio.gather(*(self.ready(name) for name in self.instances))
        await self.connected()

    async def end_agent(self) -> int:
        """SIGTERM; its exit status. What it supervises has ended too."""
        if self.agent is not None and self.agent.returncode is None:
            self.agent.terminate()
        return await self.agent_ended()

    async def kill_agent(self) -> None:
        """SIGKILL."""
        if self.agent is not None and self.agent.returncode is None:
            self.agent.kill()
        await self.agent_ended()

    async def agent_ended(self) -> int:
        """Until it has ended; its exit status."""
        return await self.agent.wait() if self.agent is not None else 0

    # --- the command ----------------------------------------------------------------------------

    async def command(self, *words: str, env: Any = None) -> tuple[int, str, str]:
        """Run `cindersail` with these words: (exit status, standard output, standard error)."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", COMMAND, *words,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"CINDERSAIL_AGENT": self.agent_address} | (env or {}),
        )  # fmt: skip
        out, err = await process.communicate()
        return process.returncode or 0, out.decode(), err.decode()

    async def table(self, *words: str) -> Any:
        """Run it with --json and read what it prints, whatever its exit status; AgentError if it is no JSON."""
        code, out, err = await self.command(*words, "--json")
        try:
            return json.loads(out)
        except ValueError:
            raise AgentError(f"{words}: status {code}: {out} {err}") from None

    async def connected(self, *names: str) -> None:
        """Until these instances, or else all, are connected to the agent."""
        wanted = set(names or self.instances)
        while True:
            found = (await self.get("/v1/instances"))["instances"]
            if wanted <= {item["name"] for item in found if item["connected"]}:
                return
            await asyncio.sleep(0.05)

    async def get(self, path: str) -> Any:
        """What the agent's API answers, by the rig's own HTTP."""
        reader, writer = await asyncio.open_unix_connection(self.state / "operators.sock")
        try:
            writer.write(request("GET", path, {"Host": "agent", "Connection": "close"}))
            buffer = bytearray(await reader.read())
            message = take_message(buffer, 0)
            if message is None:
                raise AgentError(f"{path}: no whole answer")
            return json.loads(message.body)
        finally:
            writer.close()

    def kept(self, name: str) -> dict[str, Any]:
        """What an instance's own file says that it holds."""
        path = Path(self.instances[name].folder / "keep.json")
        return json.loads(path.read_text()) if path.exists() else {}
