"""Stand-ins for the cases: discovery, servers, clients, and the start of sidecars. Standard library only.

All of them write to one `Record`. Times are seconds on CLOCK_MONOTONIC.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from covetally.rig.site import KIND, ZONES, settings

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
DRAINED_S = 10.0  # after SIGTERM, before a sidecar is killed


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open(
            "w", encoding="utf-8", buffering=1
        )  # line by line: a run that is killed keeps its own
        self._began = time.monotonic()

    def write(self, who: str, what: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:9.4f} {who:<10} {what}\n")

    def close(self) -> None:
        self._file.close()


class Sidecar:
    """One sidecar process, started with the `run` line of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, discovery: str, config: dict[str, Any]) -> None:
        self.name, self._record = name, record
        self.port = free_port()
        listen = f"127.0.0.1:{self.port}"
        home = folder / name
        (home / "tmp").mkdir(parents=True)
        path = home / "config.json"
        path.write_text(json.dumps({"name": name, "listen": listen, "discovery": discovery} | config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = os.environ | {
            "EDGE_NAME": name, "EDGE_LISTEN": listen, "EDGE_DISCOVERY": discovery, "EDGE_CONFIG": str(path),
            "TMPDIR": str(home / "tmp"), "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        self.log = home / "log.txt"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log)
        record.write(name, f"started: {run}")

    async def ready(self) -> bool:
        """Whether GET /_health answers 200 within 30 s."""
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    self._record.write(self.name, "ready")
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False

    async def end(self) -> int | None:
        """SIGTERM, then SIGKILL if that is not enough; the exit status."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            deadline = time.monotonic() + DRAINED_S
            while self.process.poll() is None and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            if self.process.poll() is None:
                self.process.kill()
        status = self.process.wait()
        self._record.write(self.name, f"ended with status {status}")
        return status


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def sidecar_config(index: int, replicas: int) -> dict[str, Any]:
    """The configuration of a sidecar of a small deployment: settings as the rig words them, warm servers."""
    return {
        "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(index, replicas, 0.25, 1000),
    }


def entry(name: str, port: int, cell: int, zone: int, lifecycle: str = "active") -> dict[str, Any]:
    """An entry of discovery's list."""
    return {
        "instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": ZONES[zone % len(ZONES)],
        "machineType": KIND, "cell": cell, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
    }  # fmt: skip


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]] | None:
    """The first line, split, and the headers by lower-case name; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first.split(" "), {name.strip().lower(): value.strip() for name, _, value in pairs}


class Discovery:
    """Discovery, as an agent beside a sidecar: the whole list, and watches that end with the changes,
    or with the whole list if `whole` is set. Without `with_length` its answers end with their connection."""

    def __init__(self, record: Record, with_length: bool = True, whole: bool = False) -> None:
        self._record, self._with_length, self._whole = record, with_length, whole
        self.named: list[tuple[float, set[str]]] = []  # when a whole list was written, and whom it named
        self.generation = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def change(self, entry: dict[str, Any]) -> None:
        self.generation += 1
        self._changes.append((self.generation, entry))
        if entry["lifecycle"] == "left":
            self.entries.pop(entry["instanceId"], None)
        else:
            self.entries[entry["instanceId"]] = entry
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def leave_out(self, name: str) -> None:
        """Lists name this server no more: it drains or is gone."""
        self.change(self.entries[name] | {"lifecycle": "left"})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await self._answer_calls(reader, writer)
        writer.close()

    async def _answer_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (head := await read_head(reader)) is not None:
            path, _, query = head[0][1].partition("?")
            assert path == "/catalog/members", path
            fields = dict(pair.split("=") for pair in query.split("&")) if query else {}
            index = int(fields.get("index", -1))
            if index >= 0 and index >= self.generation:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), min(int(fields.get("wait", 0)), 60_000) / 1000)
            whole = index < 0 or (self._whole and index < self.generation)
            items = list(self.entries.values()) if whole else [e for g, e in self._changes if g > index]
            text = json.dumps({"generation": self.generation, "reset": whole, "instances": items}).encode()
            self._record.write("discovery", f"{query or 'whole list'}: version {self.generation}, {len(items)}")
            how = b"Content-Length: %d" % len(text) if self._with_length else b"Connection: close"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + how + b"\r\n\r\n" + text)
            await writer.drain()
            if not self._with_length:
                writer.close()  # nothing is unread: the end of the input, not a reset
                await writer.wait_closed()
            if whole:
                self.named.append((time.monotonic(), set(self.entries)))
            if not self._with_length:
                return


Work = Callable[["Exchange"], Awaitable[None]]


class Exchange:
    """One request at a server: `server` runs it and writes the answer."""

    def __init__(self, server: Server, writer: asyncio.StreamWriter, first: list[str], fields: dict) -> None:
        self.server, self.writer, self.fields = server, writer, fields
        self.method, self.target = first[0], first[1]
        self.id = fields.get("x-trace-id", "")
        self.cls = fields.get("x-qos", "")
        self.body = b""

    @property
    def answer_body(self) -> bytes:
        """The body that is made for this request alone."""
        return json.dumps({"for": self.id, "by": self.server.name}).encode()


class Server:
    """A sound server: reads a request, runs it once its last byte has come, answers 200. `on_head` and `answer`
    replace what it does when a head has come, and how it answers."""

    def __init__(self, record: Record, name: str, cell: int, zone: int, work_s: float = 0.03) -> None:
        self.record, self.name, self.cell, self.zone, self.work_s = record, name, cell, zone, work_s
        self.port = 0
        self.ran: list[tuple[str, str, float]] = []  # id, class, when
        self.heads: list[tuple[str, float]] = []  # id, when its head had come
        self.on_head: Callable[[Exchange], None] = lambda exchange: None
        self.answer: Work = self.answer_with_length

    async def start(self, receive_buffer: int = 0, segment: int = 0) -> None:
        """Listen; `receive_buffer` and `segment` are those of each connection, 0: as the system has them."""
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        if segment:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        sock.bind(("127.0.0.1", 0))
        sock.listen(1024)
        await asyncio.start_server(self._serve, sock=sock, limit=64 * 1024)
        self.port = sock.getsockname()[1]

    @property
    def entry(self) -> dict[str, Any]:
        return entry(self.name, self.port, self.cell, self.zone)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                exchange = Exchange(self, writer, *head)
                self.heads.append((exchange.id, time.monotonic()))
                self.on_head(exchange)
                length = int(exchange.fields.get("content-length", 0))
                exchange.body = await reader.readexactly(length)
                self.ran.append((exchange.id, exchange.cls, time.monotonic()))
                self.record.write(self.name, f"runs {exchange.id} {exchange.cls} of {length} bytes")
                await asyncio.sleep(self.work_s)
                await self.answer(exchange)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer_with_length(self, exchange: Exchange) -> None:
        body = exchange.answer_body
        exchange.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await exchange.writer.drain()
        self.record.write(self.name, f"answers {exchange.id}")


class Client:
    """An application beside one sidecar: one request at a time on a connection, connections kept. No retries."""

    def __init__(self, record: Record, sidecar: Sidecar, patience_s: float = 1.0) -> None:
        self._record, self._sidecar, self._patience_s = record, sidecar, patience_s
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answers: dict[str, int] = {}  # by id: the status, 0 for none
        self.bodies: dict[str, bytes] = {}
        self.unanswered: list[str] = []  # had neither an answer nor a close, `patience_s` after their time

    async def send(self, cls: str, expires_s: float, size: int = 0, key: bool = False, tenant: str = "") -> str:
        """Send one request, a POST if it has a body or a key, and wait for its answer; returns its id."""
        name = f"{random.getrandbits(64):016x}"
        method = "POST" if size or key else "GET"
        lines = [
            f"{method} /api?sid={random.getrandbits(32):08x} HTTP/1.1", "Host: app.svc", f"X-Trace-Id: {name}",
            f"X-Qos: {cls}", f"X-Expires-In: {expires_s:.3f}",
        ]  # fmt: skip
        lines += [f"X-Customer: {tenant}"] if tenant else []
        lines += [f"Idempotency-Key: {random.getrandbits(128):032x}"] if key else []
        lines += [f"Content-Length: {size}"] if method == "POST" else []
        data = "\r\n".join([*lines, "", ""]).encode() + b"x" * size
        self.answers[name] = 0
        again = True
        while again:
            again = False
            reused = bool(self._idle)
            if reused:
                reader, writer = self._idle.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._sidecar.port)
            self._record.write("client", f"sends {name} {cls} of {size} bytes to {self._sidecar.name}")
            try:
                writer.write(data)
                status, fields, body = await asyncio.wait_for(_read_answer(reader), expires_s + self._patience_s)
            except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
                self._record.write("client", f"no answer to {name}: {type(error).__name__}")
                writer.close()
                if isinstance(error, TimeoutError):
                    self.unanswered.append(name)
                again = reused and not isinstance(error, TimeoutError)  # it may have crossed a close: once more
                continue
            self.answers[name], self.bodies[name] = status, body
            self._record.write("client", f"gets {status} for {name}")
            if fields.get("connection", "") == "close":
                writer.close()
            else:
                self._idle.append((reader, writer))
        return name

    def close(self) -> None:
        for _, writer in self._idle:
            writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("the connection ended")
    return int(head[0][1]), head[1], await reader.readexactly(int(head[1]["content-length"]))


Play = Callable[[Record, Path], Awaitable[tuple[int, str]]]


def main(record_path: Path, play: Play, within_s: float = 110.0) -> None:
    """Play a case, write its record, say how it ended, and exit with its status."""
    record = Record(record_path)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        status, text = asyncio.run(_within(play(record, temporary), within_s))
    except Exception as error:  # whatever it is, the case did not run
        status, text = NOT_RUN, f"the case could not run: {type(error).__name__}: {error}"
    record.write("result", f"exit {status}: {text}")
    for log in sorted(temporary.glob("*/log.txt")):
        for line in log.read_text(errors="replace").splitlines()[-200:]:
            record.write("log", f"{log.parent.name}: {line}")
    record.close()
    shutil.rmtree(temporary, ignore_errors=True)
    print(f"exit {status}: {text}")
    sys.exit(status)


async def _within(play: Awaitable[tuple[int, str]], seconds: float) -> tuple[int, str]:
    return await asyncio.wait_for(play, seconds)
