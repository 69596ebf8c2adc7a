"""A world whose sidecars read their nodes from a Eureka registry, the stand-in of `rig/eureka.py`."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from covetally.rig import site
from covetally.rig.account import Verdict
from covetally.rig.child import Child, Row
from covetally.rig.eureka import instance
from covetally.rig.load import Load, Plan
from covetally.rig.managed import Managed
from covetally.rig.world import Shape

APP = "LEDGER"
LONG_MS = 3_600_000  # a warm node says that it started so long ago


class Registered(Managed):
    """Nodes are registered with leases that do not run out; `managed` dials an agent too."""

    def __init__(
        self, shape: Shape | None = None, peers: int = 1, managed: bool = False, more: str = "", **spec: Any
    ) -> None:
        super().__init__(shape)
        self.peers, self.managed, self._spec, self._more = peers, managed, spec, more
        self.registry: Child
        self.ports: dict[str, list[int]] = {}
        self.counts: asyncio.Future[Row] | None = None
        self._dirty = 0

    async def _start(self) -> None:
        names = [f"a{i}" for i in range(self.shape.instances)] + ["other"]
        spec = {"instances": names, "peers": self.peers} | self._spec
        self.registry = Child("covetally.rig.eureka", spec, self._registry_row)
        self.ports = (await self.registry.start())[1]
        await super()._start()

    async def _stop(self) -> None:
        await super()._stop()
        if hasattr(self, "registry"):
            await self.registry.kill()

    async def _dial_by(self, name: str, number: int) -> None:
        if self.managed:
            await super()._dial_by(name, number)
        self.write_operator(name, self._more)

    def addresses_of(self, name: str) -> str:
        """The registry's addresses as an instance is told them."""
        return ", ".join(f"http://127.0.0.1:{port}/eureka" for port in self.ports[name])

    def write_operator(self, name: str, more: str = "", source: str = "eureka") -> Path:
        """The instance's operators' file: its roster from the registry, polled often."""
        inst = self.instances[name]
        path = inst.folder / "operator.toml"
        control = ""
        if self.managed and path.exists():
            control = path.read_text().partition("[roster]")[0]
        head = f'[roster]\nsource = "{source}"\n' if source else "[roster]\n"
        eureka = f'[eureka]\naddresses = "{self.addresses_of(name)}"\nname = "{APP}"\n'
        settings = {"poll_s": "0.1", "timeout_s": "2"}
        roster = ""
        for line in more.splitlines():
            key, _, value = line.partition(" = ")
            if key.startswith("roster."):
                roster += f"{key.removeprefix('roster.')} = {value}\n"
            else:
                settings[key] = value
        eureka += "".join(f"{key} = {value}\n" for key, value in settings.items())
        path.write_text(f"{control}{head}{roster}{eureka}")
        inst.arguments = ("--operator", str(path))
        return path

    # --- the registry -----------------------------------------------------------------------------

    def record(self, name: str, **more: Any) -> dict[str, Any]:
        """A node's record; each is newer than the one before."""
        entry = self.nodes[name].entry
        host, _, port = entry["hostPort"].rpartition(":")
        self._dirty = max(self._dirty + 1, time.time_ns() // 1_000_000)
        metadata = {
            "zone": entry["zone"], "cell": str(entry["cell"]), "machineType": entry["machineType"],
            "startedAtMs": str(entry["startedAtMs"] or self._dirty - LONG_MS),
        }  # fmt: skip
        record = {"metadata": metadata, "lastDirtyTimestamp": str(self._dirty)} | more
        return instance(APP, name, host, int(port), **record)

    async def add_node(self, name: str, number: int, cold: bool = False) -> None:
        """Start a node, and register it at once."""
        await super().add_node(name, number, cold)
        self.registry.command(register=self.record(name))

    def mark(self, name: str, status: str, **more: Any) -> None:
        """An operator's mark on a node in the registry; an empty one takes it off."""
        if status:
            self.registry.command(mark=[APP, name, status], **more)
        else:
            self.registry.command(unmark=[APP, name], **more)

    def cancel(self, *names: str, **more: Any) -> None:
        """Nodes are taken out of the registry; their processes live on."""
        self.registry.command(cancel=[APP, list(names)], **more)

    def fault(self, peer: int | None = None, **fault: Any) -> None:
        """Let a peer, or all, do wrong from now on; with nothing, all is well again."""
        self.registry.command(fault=fault, **({} if peer is None else {"peer": peer}))

    def _registry_row(self, row: Row) -> None:
        if row[0] == "told":
            self.account.told_row(row[1], row[2], [tuple(entry) for entry in row[3]])
        elif row[0] == "counts" and self.counts is not None:
            self.counts.set_result(row)

    async def registry_counts(self) -> tuple[dict[str, int], int]:
        """Calls by kind, and bytes answered, since its start."""
        self.counts = asyncio.get_running_loop().create_future()
        self.registry.command(count=True)
        row = await self.counts
        return row[1], row[2]

    # --- load -------------------------------------------------------------------------------------

    def load(self, rate: float, seconds: float, seed: int = 1) -> tuple[Load, asyncio.Task[None]]:
        """Ask all instances so many requests a second, booked in the account."""
        plan = Plan(site.LOAD_CLASSES, site.TENANTS, tuple(self.instances), rate, seconds, seed)
        addresses = {name: inst.address for name, inst in self.instances.items()}
        load = Load(self.account, addresses, plan, self.alive)
        return load, asyncio.create_task(load.play(plan.draw()))

    def judge(self) -> Verdict:
        """The account's verdict."""
        return self.account.judge()

    def sent(self, name: str) -> int:
        """Requests that have arrived at a node."""
        return self.nodes[name].seen["arrived"]

    async def logged(self, name: str, text: str) -> None:
        """Until an instance has logged this."""
        while text not in self.instances[name].log:
            await asyncio.sleep(0.02)
