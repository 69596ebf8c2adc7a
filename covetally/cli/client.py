"""Calls to the agent, and what becomes of them: an answer, or one of the command's exit codes."""

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

ALL_TOOK, SOME_DID_NOT, BAD_INPUT, CONFLICT, UNREACHABLE, DENIED = range(6)
CODES = {
    "bad_input": BAD_INPUT, "unknown": BAD_INPUT, "refused": SOME_DID_NOT, "denied": DENIED,
    "conflict": CONFLICT, "busy": CONFLICT, "unreachable": UNREACHABLE, "recovering": UNREACHABLE,
}  # fmt: skip
CALL_S = 30.0


class Failure(click.ClickException):
    """A call that did not do what was asked: a text for people, all of it for machines, and the exit status."""

    def __init__(self, text: str, code: int, table: dict[str, Any] | None = None) -> None:
        super().__init__(text)
        self.exit_code = code
        self.table = table or {"error": "failed", "text": text}

    def show(self, file: Any = None) -> None:
        """Say it on standard error; with --json on standard output, as JSON."""
        context = click.get_current_context(silent=True)
        if context is not None and context.params.get("as_json"):
            click.echo(json.dumps(self.table, indent=2))
        else:
            click.echo(f"cindersail: {self.message}", err=True)


def default_state() -> Path:
    """Where an agent keeps its state if it is not told: the user's own folder for such (XDG base directories)."""
    base = os.environ.get("XDG_STATE_HOME") or Path.home() / ".local/state"
    return Path(base) / "cindersail"


def default_agent() -> str:
    """The agent that is meant if none is named."""
    return f"unix:{default_state() / 'operators.sock'}"


@dataclass(frozen=True, slots=True)
class Target:
    """Which agent, and as whom."""

    agent: str
    token: str = ""

    @property
    def base(self) -> str:
        """What paths are put behind."""
        return "http://agent" if self.agent.startswith("unix:") else self.agent.rstrip("/")


def target(agent: str, token_file: Path | None) -> Target:
    """Checked; Failure if the words are no agent or the file cannot be read."""
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
    """Calls to one agent, within `connect`."""

    def __init__(self, where: Target, session: aiohttp.ClientSession) -> None:
        self._where, self._session = where, session

    async def call(self, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
        """The answer; Failure if there is none or it is an error."""
        try:
            async with self._session.request(method, self._where.base + path, json=body) as answer:
                status, text = answer.status, await answer.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            text = (
                f"no agent at {self._where.agent}: {error or type(error).__name__}. Is `cindersail agent` "
                "running? Name another with --agent or CINDERSAIL_AGENT."
            )
            raise Failure(text, UNREACHABLE) from None
        try:
            table = json.loads(text)
        except ValueError:
            table = None
        if not isinstance(table, dict):
            raise Failure(f"{self._where.agent} answered {status} and no JSON: no agent?", UNREACHABLE)
        if status >= 400:
            code = CODES.get(table.get("error", ""), SOME_DID_NOT)
            if status in (401, 403):
                code = DENIED
            raise Failure(_explain(table), code, table)
        return table

    @asynccontextmanager
    async def news(self) -> AsyncIterator[AsyncIterator[dict[str, Any]]]:
        """What the agent tells as it happens; ends when the agent does."""

        async def read() -> AsyncIterator[dict[str, Any]]:
            async for message in socket:
                if message.type == aiohttp.WSMsgType.TEXT:
                    yield json.loads(message.data)

        async with self._session.ws_connect(self._where.base + "/v1/watch") as socket:
            yield read()


def _explain(table: dict[str, Any]) -> str:
    """An error of the agent with what to do next."""
    text, kind = str(table.get("text", "failed")), table.get("error")
    if kind == "conflict" and table.get("changes"):
        lines = [f"  {c['key']} ({c['selector'] or 'all'}): {c['old']} -> {c['new']}" for c in table["changes"]]
        text += "\nWhat came in between:\n" + "\n".join(lines[:20])
        text += "\nSee `cindersail history`, then ask again: the command will start from the new head."
    if kind == "busy":
        text += "\n--on-overlap queue waits for it, --on-overlap supersede takes over what it has not reached."
    return text


@asynccontextmanager
async def connect(where: Target) -> AsyncIterator[Client]:
    """A client that speaks a version that the agent speaks too."""
    headers = {"Authorization": f"Bearer {where.token}"} if where.token else {}
    connector = None
    if where.agent.startswith("unix:"):
        connector = aiohttp.UnixConnector(where.agent.removeprefix("unix:"))
    timeout = aiohttp.ClientTimeout(total=CALL_S, connect=5.0)
    async with aiohttp.ClientSession(connector=connector, headers=headers, timeout=timeout) as session:
        client = Client(where, session)
        versions = (await client.call("GET", "/versions")).get("versions", [])
        if 1 not in versions:
            text = f"the agent speaks versions {versions}, this command 1: update one of them"
            raise Failure(text, UNREACHABLE)
        yield client


def instances(where: Target, path: str, name: str | None, selector: str) -> dict[str, Any]:
    """What the selected instances, or the one of this name, answer to a call for all of them."""
    query = f"name={name}" if name else selector
    found = call(where, "GET", f"{path}?selector={quote(query, safe='')}")["instances"]
    if name and name not in found:
        raise Failure(f"there is no instance {name}", BAD_INPUT)
    return found


def call(where: Target, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
    """One call. An agent whose store is new and that still listens for what instances have is waited for."""

    async def once() -> dict[str, Any]:
        async with connect(where) as client:
            try:
                return await client.call(method, path, body)
            except Failure as error:
                if error.table.get("error") != "recovering":
                    raise
                click.echo(f"{error.message}; waiting", err=True)
                await asyncio.sleep(float(error.table.get("retry_s", 1.0)) + 0.2)
                return await client.call(method, path, body)

    return asyncio.run(once())


async def follow(where: Target, number: int, patience_s: float) -> AsyncIterator[dict[str, Any]]:
    """A rollout's table each time it has changed, to its end. An agent that is away is waited for `patience_s`
    long: a rollout goes on when the agent is back."""
    loop = asyncio.get_running_loop()
    seen = loop.time()
    while True:
        try:
            async with connect(where) as client, client.news() as news:
                while True:
                    table = await client.call("GET", f"/v1/rollouts/{number}")
                    seen = loop.time()
                    yield table
                    if ended(table):
                        return
                    with suppress(TimeoutError):
                        async with asyncio.timeout(1.0):
                            async for item in news:
                                if item.get("rollout", {}).get("number") == number:
                                    break
                            else:
                                raise ConnectionResetError
        except (Failure, aiohttp.ClientError, OSError) as error:
            if isinstance(error, Failure) and error.exit_code != UNREACHABLE:
                raise
            if loop.time() - seen > patience_s:
                text = f"the agent went away while rollout {number} ran; it goes on when the agent is back"
                raise Failure(text, UNREACHABLE) from None
            await asyncio.sleep(0.3)


def ended(table: dict[str, Any]) -> bool:
    """Whether a rollout is over, or stands still until an operator says more."""
    return table["phase"] not in ("running", "soaking", "undoing", "queued")
