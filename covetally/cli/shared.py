"""Options and output functions that the commands share."""

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


def with_agent_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds --agent, --token-file and --json; the command receives `target` and `as_json`."""

    @click.option(
        "--agent",
        envvar="CINDERSAIL_AGENT",
        default=client.default_agent_address,
        metavar="ADDRESS",
        help="unix:/PATH or http://HOST:PORT; default: this user's agent on this machine.",
    )
    @click.option(
        "--token-file",
        envvar="CINDERSAIL_TOKEN_FILE",
        metavar="FILE",
        type=click.Path(path_type=Path),
        help="File whose first line is the token sent to the agent.",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    @wraps(command)
    def wrapped(agent: str, token_file: Path | None, **options: Any) -> Any:
        return command(target=client.create_target(agent, token_file), **options)

    return wrapped  # fmt: skip


SELECTOR = click.option(
    "--selector",
    "-s",
    default="",
    metavar="TERMS",
    help="Select instances, as in zone=milano,name=a*|b1; default: all.",
)
REASON = click.option("--reason", "-m", default="", help="Reason, recorded in the history.")


def with_rollout_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options of a rollout's plan; the command receives them as `plan`."""

    @click.option("--canary", type=click.IntRange(0), help="Number of instances in the first wave.  [1]")
    @click.option(
        "--shares",
        metavar="A,B,...",
        help="Share of all instances after each next wave, as in 0.1,0.5,1.",
    )
    @click.option(
        "--max-out",
        type=click.IntRange(1),
        help="Maximum number in progress at once.  [50; restart: 1]",
    )
    @click.option("--soak", "soak_s", type=click.FloatRange(0), help="Seconds between waves.  [5; restart: 1]")
    @click.option(
        "--max-worse", type=click.FloatRange(0, 1), help="Maximum rise of the bad answers' share.  [0.05]"
    )
    @click.option(
        "--max-refused",
        type=click.IntRange(0),
        help="Maximum number of refusals; 0: no limit.  [0]",
    )
    @click.option("--deadline", "instance_s", type=click.FloatRange(0.1), help="Seconds for each instance.  [45]")
    @click.option("--within", "whole_s", type=click.FloatRange(1), help="Seconds for the whole rollout.  [3600]")
    @click.option("--on-trouble", type=click.Choice(["pause", "undo"]), help="Reaction to a problem.  [pause]")
    @wraps(command)
    def wrapped(shares: str | None, **options: Any) -> Any:
        keys = ("canary", "max_out", "soak_s", "max_worse", "max_refused", "instance_s", "whole_s", "on_trouble")
        plan = {key: value for key in keys if (value := options.pop(key)) is not None}
        if shares is not None:
            try:
                plan["shares"] = [float(x) for x in shares.split(",")]
            except ValueError:
                raise Failure(f"--shares {shares}: has to be numbers, as in 0.1,0.5,1", BAD_INPUT) from None
        return command(plan=plan, **options)

    return wrapped


def show_json(table: Any) -> None:
    """Prints indented JSON."""
    click.echo(json.dumps(table, indent=2))


def quoted(text: str) -> str:
    """Percent-encodes a path segment or query value, including slashes."""
    return quote(text, safe="")


def rich_table(heads: tuple[str, ...], rows: Sequence[tuple[Any, ...]]) -> Table:
    """Creates a table for a terminal."""
    table = Table(*heads)
    for row in rows:
        table.add_row(*map(str, row))
    return table


def print_table(heads: tuple[str, ...], rows: Sequence[tuple[Any, ...]]) -> None:
    """Prints a table on a terminal; otherwise plain aligned columns, which other programs can split."""
    if console.is_terminal:
        console.print(rich_table(heads, rows))
        return
    lines = [heads, *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def format_age(timestamp: float) -> str:
    """The age of a Unix timestamp in its largest unit; "never" for 0."""
    if not timestamp:
        return "never"
    age_s = max(0, time.time() - timestamp)
    for unit, size in (("d", 86400), ("h", 3600), ("min", 60)):
        if age_s >= size:
            return f"{age_s / size:.0f} {unit} ago"
    return f"{age_s:.0f} s ago"
