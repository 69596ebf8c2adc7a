"""Discovery in the platform's protocol: the whole list, and watches on its changes.

    python -m covetally.rig.discovery SPEC     # SPEC {"instances": ["a0", ...]}; rows out, commands in

Each instance has a port of its own, so that the account knows what was told to whom, and when: the row
["told", instance, at, [[node, lifecycle, startedAtMs], ...]] is written with the answer.
Commands: {"set": entry}, {"remove": id}, {"silent": true}, {"move": instance}, {"garble": true}, {"drop": true},
{"style": one of STYLES}, {"late": seconds}: each answer is written so much later;
{"hosts": {instance: {node: address}}}: where an instance is told that nodes listen.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from covetally.rig.child import Row, emit, obey
from covetally.rig.wire import Message, Wire, answer

Entry = dict[str, Any]
# How calls are answered; see `Discovery._write`. With "brief" each answer is the whole list without the nodes
# that drain: what it does not name is gone.
STYLES = ("", "503", "reset", "end", "cut", "indented", "pieces", "brief")
PIECES, PIECE_S = 12, 0.02


class Discovery:
    """The list of nodes and whoever watches it; `tell` gets the rows."""

    def __init__(self, tell: Callable[[Row], None]) -> None:
        self._tell = tell
        self._generation = 1
        self._entries: dict[str, Entry] = {}
        self._changed: dict[str, int] = {}  # entry: the version in which it changed last
        self._left: dict[str, Entry] = {}
        self._waiting: dict[Wire, tuple[str, int, asyncio.TimerHandle]] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._wires: dict[Wire, str] = {}
        self.silent = False  # takes calls and answers none
        self.hosts: dict[str, dict[str, str]] = {}  # by instance and node, in place of the entry's hostPort
        self.garble = False  # answers with what is no list
        self.style = ""
        self.late_s = 0.0  # each answer is written so much later

    async def listen(self, instance: str) -> int:
        """Open an instance's port, in place of an earlier one, whose connections end; returns it."""
        old = self._servers.pop(instance, None)
        if old is not None:
            old.close()
            for wire in [w for w, name in self._wires.items() if name == instance]:
                wire.reset()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: self._connected(instance), "127.0.0.1", 0)
        self._servers[instance] = server
        return server.sockets[0].getsockname()[1]

    def _connected(self, instance: str) -> Wire:
        wire = Wire(self._asked, self._ended)
        self._wires[wire] = instance
        return wire

    def _ended(self, wire: Wire, error: Exception | None) -> None:
        self._wires.pop(wire, None)
        waiting = self._waiting.pop(wire, None)
        if waiting is not None:
            waiting[2].cancel()

    def set(self, entry: Entry) -> None:
        """An entry is new or has changed, in the protocol's words (instanceId, hostPort, lifecycle, ...)."""
        name = entry["instanceId"]
        self._left.pop(name, None)
        self._entries[name] = self._entries.get(name, {}) | entry
        self._news(name)

    def remove(self, name: str) -> None:
        """An entry has left."""
        entry = self._entries.pop(name, None)
        if entry is not None:
            self._left[name] = entry | {"lifecycle": "left"}
            self._news(name)

    def speak(self) -> None:
        """Answer whoever waited while it was silent."""
        self.silent = False
        for wire in list(self._waiting):
            self._answer_if_news(wire)

    def drop(self) -> None:
        """All calls that wait now stay silent for good; new ones are answered."""
        for _, _, timer in self._waiting.values():
            timer.cancel()
        self._waiting.clear()

    def _news(self, name: str) -> None:
        self._generation += 1
        self._changed[name] = self._generation
        for wire in list(self._waiting):
            self._answer_if_news(wire)

    def _asked(self, wire: Wire, message: Message) -> None:
        path, _, query = message.first[1].partition(b"?")
        if path != b"/catalog/members":
            wire.write(answer(404))
            return
        words = parse_qs(query.decode("latin-1"))
        index = int(words.get("index", ["-1"])[0])
        wait_s = min(60.0, int(words.get("wait", ["0"])[0]) / 1000)
        timer = asyncio.get_running_loop().call_later(wait_s, self._waited, wire)
        self._waiting[wire] = (self._wires[wire], index, timer)
        if index < 0 or index > self._generation:
            self._answer(wire, whole=True)
        else:
            self._answer_if_news(wire)

    def _waited(self, wire: Wire) -> None:
        self._answer(wire, whole=False)

    def _answer_if_news(self, wire: Wire) -> None:
        if any(version > self._waiting[wire][1] for version in self._changed.values()):
            self._answer(wire, whole=self._waiting[wire][1] < 0)

    def _answer(self, wire: Wire, whole: bool) -> None:
        if self.silent:
            return
        instance, index, timer = self._waiting.pop(wire)
        timer.cancel()
        if self.garble:
            wire.write(answer(200, b'{"generation": 1, "instances": [{"instanceId": '))
            return
        brief = self.style == "brief"
        whole = whole or brief
        every = [*self._entries.values()] if whole else [*self._entries.values(), *self._left.values()]
        told = every if whole else [e for e in every if self._changed[e["instanceId"]] > index]
        left_out = [e for e in told if brief and e["lifecycle"] == "leaving"]
        told = [e for e in told if e not in left_out]
        hosts = self.hosts.get(instance, {})
        there = [e | {"hostPort": hosts.get(e["instanceId"], e["hostPort"])} for e in told]
        body = {"generation": self._generation, "reset": whole, "instances": there}
        rows = [[e["instanceId"], e["lifecycle"], e.get("startedAtMs", 0)] for e in told]
        rows += [[e["instanceId"], "left", 0] for e in left_out]
        if self.late_s:
            asyncio.get_running_loop().call_later(self.late_s, self._deliver, wire, instance, body, rows)
        else:
            self._deliver(wire, instance, body, rows)

    def _deliver(self, wire: Wire, instance: str, body: dict[str, Any], rows: list[list[Any]]) -> None:
        """Write an answer, unless whoever asked has gone."""
        if not wire.ended and self._write(wire, body):
            self._tell(["told", instance, time.monotonic_ns(), rows])

    def _write(self, wire: Wire, body: dict[str, Any]) -> bool:
        """Answer in the style in force; whether the whole list was given."""
        text = json.dumps(body, indent=4 if self.style == "indented" else None).encode()
        whole = answer(200, text, {"Content-Type": "application/json"})
        loop = asyncio.get_running_loop()
        match self.style:
            case "503":
                wire.write(answer(503))
            case "reset":
                wire.reset()
            case "end":
                wire.close()
            case "cut":
                wire.write(whole[: -len(text) // 2 - 1])
                loop.call_later(PIECE_S, wire.reset)
            case "pieces":
                size = len(whole) // PIECES + 1
                for number in range(PIECES):
                    piece = whole[number * size : (number + 1) * size]
                    loop.call_later(PIECE_S * number, wire.write, piece)
            case _:
                wire.write(whole)
        return self.style not in ("503", "reset", "end", "cut")


async def _main(spec: dict[str, Any]) -> None:
    discovery = Discovery(emit)
    emit(["up", {name: await discovery.listen(name) for name in spec["instances"]}])

    async def command(words: dict[str, Any]) -> None:
        if "set" in words:
            discovery.set(words["set"])
        if "hosts" in words:
            discovery.hosts |= words["hosts"]
        if "remove" in words:
            discovery.remove(words["remove"])
        if "garble" in words:
            discovery.garble = words["garble"]
        if "style" in words:
            discovery.style = words["style"]
        if "late" in words:
            discovery.late_s = words["late"]
        if words.get("drop"):
            discovery.drop()
        if words.get("silent"):
            discovery.silent = True
        elif "silent" in words:
            discovery.speak()
        if "move" in words:
            emit(["moved", words["move"], await discovery.listen(words["move"])])

    await obey(command)


if __name__ == "__main__":
    asyncio.run(_main(json.loads(sys.argv[1])))
