"""The client of the agent's HTTP API, which maps errors to the exit codes of the command."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote

import aiohttp
import click

ALL_SUCCEEDED, SOME_FAILED, BAD_INPUT, CONFLICT, UNREACHABLE, DENIED = range(6)
EXIT_CODES = {
    "bad_input": BAD_INPUT, "unknown": BAD_INPUT, "refused": SOME_FAILED, "denied": DENIED,
    "conflict": CONFLICT, "busy": CONFLICT, "unreachable": UNREACHABLE, "recovering": UNREACHABLE,
}  # fmt: skip
CALL_TIMEOUT_S = 30.0


class Failure(click.ClickException):
    """A failed command: a message, the full error for JSON output, and the exit status."""

    def __init__(self, text: str, code: int, table: dict[str, Any] | None = None) -> None:
        super().__init__(text)
        self.exit_code = code
        self.table = table or {"error": "failed", "text": text}

    def show(self, file: Any = None) -> None:
        """Prints the error to standard error; with --json, as JSON to standard output."""
        context = click.get_current_context(silent=True)
        if context is not None and context.params.get("as_json"):
            click.echo(json.dumps(self.table, indent=2))
        else:
            click.echo(f"cindersail: {self.message}", err=True)


def default_state_directory() -> Path:
    """The default directory of an agent's state, in the user's state directory (XDG base directories)."""
    base = os.environ.get("XDG_STATE_HOME") or Path.home() / ".local/state"
    return Path(base) / "cindersail"


def default_agent_address() -> str:
    """The address of this user's agent, used if no --agent is given."""
    return f"unix:{default_state_directory() / 'operators.sock'}"


@dataclass(frozen=True, slots=True)
class Target:
    """The address of an agent, and the token that authenticates the caller."""

    agent: str
    token: str = ""

    @property
    def base(self) -> str:
        """The base URL to which request paths are appended."""
        return "http://agent" if self.agent.startswith("unix:") else self.agent.rstrip("/")


def create_target(agent: str, token_file: Path | None) -> Target:
    """Creates a target; raises Failure if the address is invalid or the token file cannot be read."""
    if not agent.startswith(("unix:/", "http://", "https://")):
        text = f"--agent {agent}: has to be unix:/PATH or http://HOST:PORT"
        raise Failure(text, BAD_INPUT)
    token = ""
    if token_file is not None:
        try:
            token = token_file.read_text().partition("\n")[0].strip()
        except (OSError, ValueError) as error:
            raise Failure(f"--token-file {token_file}: {error}", BAD_INPUT) from None
    return Target(agent, token)


class Client:
    """An open connection to one agent, created by `connect`."""

    def __init__(self, target: Target, session: aiohttp.ClientSession) -> None:
        self._target, self._session = target, session

    async def call(self, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
        """Returns the JSON response; raises Failure if the agent is unreachable or responds with an error."""
        try:
            async with self._session.request(method, self._target.base + path, json=body) as response:
                status, text = response.status, await response.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            text = (
                f"no agent at {self._target.agent}: {error or type(error).__name__}. Is `cindersail agent` "
                "running? Name another with --agent or CINDERSAIL_AGENT."
            )
            raise Failure(text, UNREACHABLE) from None
        try:
            table = json.loads(text)
        except ValueError:
            table = None
        if not isinstance(table, dict):
            raise Failure(f"{self._target.agent} answered {status} and no JSON: no agent?", UNREACHABLE)
        if status >= 400:
            code = EXIT_CODES.get(table.get("error", ""), SOME_FAILED)
            if status in (401, 403):
                code = DENIED
            raise Failure(_explain(table), code, table)
        return table

    @asynccontextmanager
    async def watch_events(self) -> AsyncIterator[AsyncIterator[dict[str, Any]]]:
        """Opens the agent's event stream, which ends when the agent closes it."""

        async def read_events() -> AsyncIterator[dict[str, Any]]:
            async for message in socket:
                if message.type == aiohttp.WSMsgType.TEXT:
                    yield json.loads(message.data)

        async with self._session.ws_connect(self._target.base + "/v1/watch") as socket:
            yield read_events()


def _explain(table: dict[str, Any]) -> str:
    """The message of an agent's error, with advice on the next step."""
    text, error_code = str(table.get("text", "failed")), table.get("error")
    if error_code == "conflict" and table.get("changes"):
        lines = [
            f"  {change['key']} ({change['selector'] or 'all'}): {change['old']} -> {change['new']}"
            for change in table["changes"]
        ]
        text += "\nWhat came in between:\n" + "\n".join(lines[:20])
        text += "\nSee `cindersail history`, then ask again: the command will start from the new head."
    if error_code == "busy":
        text += "\n--on-overlap queue waits for it, --on-overlap supersede takes over what it has not reached."
    return text


@asynccontextmanager
async def connect(target: Target) -> AsyncIterator[Client]:
    """Connects to an agent; raises Failure if it does not support version 1 of the API."""
    headers = {"Authorization": f"Bearer {target.token}"} if target.token else {}
    connector = None
    if target.agent.startswith("unix:"):
        connector = aiohttp.UnixConnector(target.agent.removeprefix("unix:"))
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, connect=5.0)
    async with aiohttp.ClientSession(connector=connector, headers=headers, timeout=timeout) as session:
        client = Client(target, session)
        versions = (await client.call("GET", "/versions")).get("versions", [])
        if 1 not in versions:
            text = f"the agent speaks versions {versions}, this command 1: update one of them"
            raise Failure(text, UNREACHABLE)
        yield client


def instances(target: Target, path: str, name: str | None, selector: str) -> dict[str, Any]:
    """Returns the responses at `path` by instance, for the named instance or for all selected ones."""
    query = f"name={name}" if name else selector
    responses = call(target, "GET", f"{path}?selector={quote(query, safe='')}")["instances"]
    if name and name not in responses:
        raise Failure(f"there is no instance {name}", BAD_INPUT)
    return responses


def call(target: Target, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
    """Makes one call; retries once if the agent is still recovering the settings from its instances."""

    async def once() -> dict[str, Any]:
        async with connect(target) as client:
            try:
                return await client.call(method, path, body)
            except Failure as error:
                if error.table.get("error") != "recovering":
                    raise
                click.echo(f"{error.message}; waiting", err=True)
                await asyncio.sleep(float(error.table.get("retry_s", 1.0)) + 0.2)
                return await client.call(method, path, body)

    return asyncio.run(once())


async def follow(target: Target, number: int, patience_s: float) -> AsyncIterator[dict[str, Any]]:
    """Yields the state of a rollout, on each event or at least every second, until it stops.

    Reconnects to an unreachable agent for up to `patience_s` seconds, as a rollout continues when the agent is
    back.
    """
    loop = asyncio.get_running_loop()
    last_response_at = loop.time()
    while True:
        try:
            async with connect(target) as client, client.watch_events() as events:
                while True:
                    table = await client.call("GET", f"/v1/rollouts/{number}")
                    last_response_at = loop.time()
                    yield table
                    if has_stopped(table):
                        return
                    with suppress(TimeoutError):
                        async with asyncio.timeout(1.0):
                            async for event in events:
                                if event.get("rollout", {}).get("number") == number:
                                    break
                            else:
                                raise ConnectionResetError
        except (Failure, aiohttp.ClientError, OSError) as error:
            if isinstance(error, Failure) and error.exit_code != UNREACHABLE:
                raise
            if loop.time() - last_response_at > patience_s:
                text = f"the agent went away while rollout {number} ran; it goes on when the agent is back"
                raise Failure(text, UNREACHABLE) from None
            await asyncio.sleep(0.3)


def has_stopped(table: dict[str, Any]) -> bool:
    """Whether a rollout has ended, or is paused until an operator decides."""
    return table["phase"] not in ("running", "soaking", "undoing", "queued")
