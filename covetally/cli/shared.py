"""What commands have in common: options, tables, JSON."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from functools import wraps
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click
from rich.console import Console
from rich.table import Table

from covetally.cli import client
from covetally.cli.client import BAD_INPUT, Failure

console = Console(highlight=False, soft_wrap=True)


def connected(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds --agent, --token-file and --json; the command gets `where` and `as_json`."""

    @click.option(
        "--agent",
        envvar="CINDERSAIL_AGENT",
        default=client.default_agent,
        metavar="ADDRESS",
        help="unix:/PATH or http://HOST:PORT; default: the agent of this user on this machine.",
    )
    @click.option(
        "--token-file",
        envvar="CINDERSAIL_TOKEN_FILE",
        metavar="FILE",
        type=click.Path(path_type=Path),
        help="Its first line is the token told to the agent.",
    )
    @click.option("--json", "as_json", is_flag=True, help="For machines.")
    @wraps(command)
    def wrapped(agent: str, token_file: Path | None, **more: Any) -> Any:
        return command(where=client.target(agent, token_file), **more)

    return wrapped  # fmt: skip


SELECTOR = click.option(
    "--selector", "-s", default="", metavar="TERMS", help="As in zone=milano,name=a*|b1; default: all."
)
REASON = click.option("--reason", "-m", default="", help="Why; it stands in the history.")


def planned(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options of a rollout's plan; the command gets `plan`."""

    @click.option("--canary", type=click.IntRange(0), help="So many first, alone.  [1]")
    @click.option("--shares", metavar="A,B,...", help="Then shares of all, as in 0.1,0.5,1.")
    @click.option("--max-out", type=click.IntRange(1), help="At most so many on their way.  [50; restart: 1]")
    @click.option("--soak", "soak_s", type=click.FloatRange(0), help="Seconds between waves.  [5; restart: 1]")
    @click.option("--max-worse", type=click.FloatRange(0, 1), help="Bad answers may rise by this share.  [0.05]")
    @click.option("--max-refused", type=click.IntRange(0), help="More refusals are trouble; 0: never.  [0]")
    @click.option("--deadline", "instance_s", type=click.FloatRange(0.1), help="Of each instance, s.  [45]")
    @click.option("--within", "whole_s", type=click.FloatRange(1), help="Of the whole, s.  [3600]")
    @click.option("--on-trouble", type=click.Choice(["pause", "undo"]), help="[pause]")
    @wraps(command)
    def wrapped(shares: str | None, **more: Any) -> Any:
        keys = ("canary", "max_out", "soak_s", "max_worse", "max_refused", "instance_s", "whole_s", "on_trouble")
        plan = {key: value for key in keys if (value := more.pop(key)) is not None}
        if shares is not None:
            try:
                plan["shares"] = [float(x) for x in shares.split(",")]
            except ValueError:
                raise Failure(f"--shares {shares}: has to be numbers, as in 0.1,0.5,1", BAD_INPUT) from None
        return command(plan=plan, **more)

    return wrapped


def show_json(table: Any) -> None:
    """For machines."""
    click.echo(json.dumps(table, indent=2))


def quoted(text: str) -> str:
    return quote(text, safe="")


def rich_table(heads: tuple[str, ...], rows: Sequence[tuple[Any, ...]]) -> Table:
    """A table for a terminal."""
    table = Table(*heads)
    for row in rows:
        table.add_row(*map(str, row))
    return table


def print_table(heads: tuple[str, ...], rows: Sequence[tuple[Any, ...]]) -> None:
    """A table on a terminal; elsewhere plain lines in columns, for other programs to cut."""
    if console.is_terminal:
        console.print(rich_table(heads, rows))
        return
    lines = [heads, *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def ago(at: float) -> str:
    """A moment as people say it."""
    if not at:
        return "never"
    passed = max(0, time.time() - at)
    for unit, size in (("d", 86400), ("h", 3600), ("min", 60)):
        if passed >= size:
            return f"{passed / size:.0f} {unit} ago"
    return f"{passed:.0f} s ago"
