"""Tests of the sidecar process: signals, reloads, and invalid configurations."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from covetally.__main__ import operator_file
from tests.loopback import (
    TEST_TIMEOUT_S,
    ScriptedServer,
    response,
    respond_ok,
    read_message,
    request,
    trace_ids,
    wait_until,
)
from tests.support import MS

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "classes": [
        {"name": "look", "onTimeNs": 300 * MS, "hardLimitNs": 1_000 * MS, "repeat": "free", "credit": 1.0}
    ],
    "failureDomains": ["a"],
    "limits": {"maxAttempts": 2},
}


def address_of(server: ScriptedServer) -> str:
    host, port = server.address
    return f"{host}:{port}"


def server_list(server: ScriptedServer) -> bytes:
    item = {"instanceId": "s0", "hostPort": address_of(server), "zone": "a", "lifecycle": "active"}
    return json.dumps({"generation": 5, "reset": True, "instances": [item]}).encode()


def discovery_script(listed: ScriptedServer):
    """Return the script of a discovery service that lists one server and never answers a watch."""

    async def script(server, head, reader, writer):
        if b"index=" in head.split(b"\r\n")[0]:
            await reader.read()
        else:
            writer.write(response(server_list(listed)))

    return script


class Process:
    """A sidecar process with its own configuration file and log."""

    def __init__(self, folder: Path, config: dict[str, Any], arguments: tuple[str, ...] = ()) -> None:
        self.path = folder / "config.json"
        self.arguments = arguments
        self.config = config
        self.log = folder / "log"
        self._process: asyncio.subprocess.Process

    def write_config(self, **changes: Any) -> None:
        self.config |= changes
        self.path.write_text(json.dumps(self.config))

    async def start(self) -> None:
        with self.log.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "covetally",
                *self.arguments,
                cwd=ROOT,
                stderr=log,
                env=os.environ | {"EDGE_CONFIG": str(self.path)},
            )
        await wait_until(lambda: b"ready at" in self.log.read_bytes() or self._process.returncode is not None)

    @property
    def running(self) -> bool:
        return self._process.returncode is None

    def signal(self, number: int) -> None:
        self._process.send_signal(number)

    async def end(self) -> int:
        with contextlib.suppress(ProcessLookupError):
            self._process.terminate()
        return await self._process.wait()

    async def exchange(self, data: bytes) -> bytes:
        ready = self.log.read_bytes().partition(b"ready at ")[2].split()[0].decode()
        host, _, port = ready.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        try:
            return await read_message(reader)
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def running(folder: Path, operator: str | None = None):
    """Yield a sidecar process, the servers of two discovery services (old and new), and these services."""
    old, new = ScriptedServer(respond_ok), ScriptedServer(respond_ok)
    for server in (old, new):
        await server.start()
    services = [ScriptedServer(discovery_script(old)), ScriptedServer(discovery_script(new))]
    for server in services:
        await server.start()
    config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": address_of(services[0]),
        "settings": SETTINGS,
    }
    arguments: tuple[str, ...] = ()
    if operator is not None:
        (folder / "operator.toml").write_text(operator)
        arguments = ("--operator", str(folder / "operator.toml"))
    process = Process(folder, config, arguments)
    process.write_config()
    await process.start()
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield process, old, new, services
    finally:
        await process.end()
        for server in (old, new, *services):
            server.stop()


def test_sighup_switches_to_the_discovery_service_of_the_changed_file(tmp_path):
    async def main():
        async with running(tmp_path) as (process, old, new, services):
            await wait_until(lambda: len(services[0].requests) == 2)
            assert (await process.exchange(request("a"))).endswith(b"for a")
            assert len(old.requests) == 1
            process.write_config(discovery=address_of(services[1]))
            process.signal(signal.SIGHUP)
            await wait_until(lambda: len(services[1].requests) == 2)
            assert (await process.exchange(request("b"))).endswith(b"for b")
            assert len(new.requests) == 1, "the new server list is in force"
            assert process.running
            assert await process.end() == 0

    asyncio.run(main())


@pytest.mark.parametrize("text", ["{", "[]", json.dumps({"discovery": "nowhere"})])
def test_an_invalid_configuration_on_sighup_changes_nothing(tmp_path, text):
    async def main():
        async with running(tmp_path) as (process, old, _, services):
            await wait_until(lambda: len(services[0].requests) == 2)
            process.path.write_text(text)
            process.signal(signal.SIGHUP)
            await wait_until(lambda: b"the old configuration stays" in process.log.read_bytes())
            assert b"Traceback" not in process.log.read_bytes()
            assert (await process.exchange(request("a"))).endswith(b"for a")
            assert len(old.requests) == 1

    asyncio.run(main())


def failed_start(folder: Path, changes: dict[str, Any], *arguments: str) -> str:
    """Start a sidecar that has to exit with status 2 and one line on stderr, and return that line."""
    path = folder / "config.json"
    config = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS} | changes
    path.write_text(json.dumps(config))
    completed = subprocess.run(
        [sys.executable, "-m", "covetally", *arguments],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 2
    (line,) = completed.stderr.splitlines()
    return line


@pytest.mark.parametrize(
    "key, changes",
    [
        ("discovery", {"discovery": "localhost:80"}),
        ("listen", {"listen": "127.0.0.1"}),
        ("limits.sockets", {"limits": {"sockets": 3}}),
        ("limits.memory_mb", {"limits": {"memory_mb": "lots"}}),
        ("settings.classes", {"settings": {}}),
        ("peers[0]", {"peers": ["x"]}),
        ("settings.classes[0].name", {"settings": {"classes": [{"hardLimitNs": 10**9}]}}),
        ("settings.classes[0].hardLimitNs", {"settings": {"classes": [{"name": "a", "hardLimitNs": -1}]}}),
        ("settings.limits.connIdleNs", {"settings": SETTINGS | {"limits": {"connIdleNs": -5}}}),
        ("settings.invariants.coldFrom", {"settings": SETTINGS | {"invariants": {"coldFrom": float("nan")}}}),
        ("settings.prices.handshake", {"settings": SETTINGS | {"prices": {"handshake": float("inf")}}}),
    ],
)
def test_an_invalid_configuration_at_the_start_is_reported_in_one_line_with_the_key(tmp_path, key, changes):
    line = failed_start(tmp_path, changes)
    assert key in line


def test_an_address_in_use_is_reported_in_one_line_with_the_key(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = "{}:{}".format(*taken.getsockname())
        assert "listen: " in failed_start(tmp_path, {"listen": address})


UNREADABLE_CONFIGURATIONS = {
    "absent": None, "empty": "", "cut": "{", "a list": "[]", "deep": "[" * 200_000, "bytes": "\udcff",
}  # fmt: skip


@pytest.mark.parametrize("text", UNREADABLE_CONFIGURATIONS.values(), ids=UNREADABLE_CONFIGURATIONS)
def test_an_unreadable_configuration_is_reported_in_one_line_with_its_variable(tmp_path, text):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text, errors="surrogateescape")
    for variables in ({"EDGE_CONFIG": str(path)}, {}):
        env = {k: v for k, v in os.environ.items() if k != "EDGE_CONFIG"} | variables
        completed = subprocess.run(
            [sys.executable, "-m", "covetally"], cwd=ROOT, env=env, capture_output=True, text=True,
            timeout=TEST_TIMEOUT_S, check=False,
        )  # fmt: skip
        assert completed.returncode == 2
        (line,) = completed.stderr.splitlines()
        assert "EDGE_CONFIG: " in line


def test_the_operators_file_overrides_the_platforms_and_is_reloaded_on_sighup(tmp_path):
    """The class's deadline decides whether the sidecar waits for a node that takes 0.25 s."""

    async def slow(server, head, reader, writer):
        await asyncio.sleep(0.25)
        await respond_ok(server, head, reader, writer)

    async def main():
        async with running(tmp_path, "[classes.look]\ndeadline_ms = 150\n") as (process, old, _, services):
            await wait_until(lambda: len(services[0].requests) == 2)
            old.script = slow
            assert not (await process.exchange(request("a", expires="0.9"))).startswith(b"HTTP/1.1 200")
            (tmp_path / "operator.toml").write_text("[classes.look]\ndeadline_ms = 'x'\n[nothing]\nx = 1\n")
            process.signal(signal.SIGHUP)
            await wait_until(lambda: b"the old configuration stays" in process.log.read_bytes())
            assert b"nothing.x" in process.log.read_bytes() and b"deadline_ms" in process.log.read_bytes()
            (tmp_path / "operator.toml").write_text("[process]\nbacklog = 64\n")
            process.signal(signal.SIGHUP)
            await wait_until(lambda: b"backlog has changed, which takes a restart" in process.log.read_bytes())
            next_id = trace_ids()
            while not (await process.exchange(request(next_id(), expires="0.9"))).startswith(b"HTTP/1.1 200"):
                await asyncio.sleep(0.05)  # a node that timed out gets only probes at first
            assert b"Traceback" not in process.log.read_bytes()

    asyncio.run(main())


@pytest.mark.parametrize(
    "arguments, reason",
    [
        (["--operator", "no/such/file"], "cannot be read"),
        (["--operator"], "usage: covetally [--operator FILE]"),
        (["--operater", "x"], "usage: covetally [--operator FILE]"),
    ],
)
def test_a_failed_start_is_reported_in_one_line(tmp_path, arguments, reason):
    assert reason in failed_start(tmp_path, {}, *arguments)


def test_the_operators_file_is_named_by_the_environment_or_by_the_argument_which_has_precedence(monkeypatch):
    monkeypatch.setenv("COVETALLY_OPERATOR", "/from/env")
    assert operator_file([]) == "/from/env"
    assert operator_file(["--operator", "/from/argument"]) == "/from/argument"
    monkeypatch.delenv("COVETALLY_OPERATOR")
    assert operator_file([]) is None


def test_without_an_operators_file_no_optional_module_is_imported(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}))
    code = (
        "import asyncio, os, sys\nfrom covetally.process import Process, Configuration\n"
        "async def main(): Process(Configuration(os.environ, None))\nasyncio.run(main())\n"
        "print([m for m in sys.modules if m.startswith('covetally.') and m.split('.')[1] not in"
        " ('net', 'policy', 'interface', 'errors', 'process', 'configuration', 'signals', 'loop_monitor')],"
        " 'tomllib' in sys.modules)"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == "[] False"
