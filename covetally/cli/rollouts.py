"""The `cindersail rollout` commands, and the progress display of every command that starts a rollout."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import click
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn

from covetally.cli import client
from covetally.cli.client import ALL_SUCCEEDED, SOME_FAILED, Target
from covetally.cli.shared import REASON, console, print_table, show_json, with_agent_options


@click.group()
def rollout() -> None:
    """Show and control rollouts."""


@rollout.command("status")
@click.argument("number", type=int, required=False)
@with_agent_options
def rollout_status(target: Target, number: int | None, as_json: bool) -> None:
    """Show one rollout, or list all known rollouts."""
    if number is None:
        response = client.call(target, "GET", "/v1/rollouts")
        if as_json:
            show_json(response)
            return
        rows = [
            (item["number"], item["revision"], item["selector"] or "all", item["author"], item["phase"],
             _format_counts(item), item["why"] or item["reason"])
            for item in response["rollouts"]
        ]  # fmt: skip
        print_table(("rollout", "revision", "for", "by", "phase", "states", "why"), rows)
        return
    item = client.call(target, "GET", f"/v1/rollouts/{number}")
    show_json(item) if as_json else _show_rollout(item)


@rollout.command("watch")
@click.argument("number", type=int)
@click.option(
    "--patience", type=float, default=60.0, show_default=True, help="Seconds to wait for an unreachable agent."
)
@with_agent_options
def rollout_watch(target: Target, number: int, patience: float, as_json: bool) -> None:
    """Show the progress of rollout NUMBER until it ends."""
    item = _follow(target, number, as_json, patience)
    _report(item, as_json, {})


def _add_control_command(action: str, help_text: str) -> None:
    """Adds the command that sends one action, such as pause, for a rollout."""

    @rollout.command(action, help=help_text)
    @click.argument("number", type=int)
    @REASON
    @with_agent_options
    def command(target: Target, number: int, reason: str, as_json: bool) -> None:
        item = client.call(target, "POST", f"/v1/rollouts/{number}/{action}", {"reason": reason})["rollout"]
        show_json(item) if as_json else click.echo(f"rollout {number}: {item['phase']}")


_add_control_command("pause", "Pause a rollout: no more instances are changed until it is resumed.")
_add_control_command("resume", "Resume a paused rollout.")
_add_control_command("abort", "Stop a rollout: changed instances stay changed, the others are listed.")
_add_control_command("undo", "Restore the previous settings everywhere, by a new revision.")


def finish(target: Target, item: dict[str, Any], wait: bool, as_json: bool, extra: dict[str, Any]) -> None:
    """Reports a rollout that was just started; with `wait`, follows it and exits with its status.

    `extra` is added to the JSON output.
    """
    if not wait:
        text = f"rollout {item['number']}: {item['phase']}"
        show_json(extra | {"rollout": item}) if as_json else click.echo(text)
        return
    last = _follow(target, item["number"], as_json, 60.0)
    _report(last, as_json, extra, undone_is_success=False)  # an undone change did not take effect


def _follow(target: Target, number: int, quiet: bool, patience_s: float) -> dict[str, Any]:
    """Shows a rollout's progress until it ends: a bar on a terminal, otherwise a line per change.

    Returns the last state of the rollout.
    """

    async def run() -> dict[str, Any]:
        status_column = TextColumn("{task.fields[s]}")
        columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), status_column)
        bar = Progress(*columns, console=console, transient=True, disable=quiet or not console.is_terminal)
        last_line, item = "", {}
        with bar:
            task = bar.add_task(f"rollout {number}", total=1, s="")
            async for item in client.follow(target, number, patience_s):
                unfinished = sum(item["counts"].get(state, 0) for state in ("pending", "sent", "restarting"))
                finished = item["members"] - unfinished
                line = f"{item['phase']}, wave {item['wave']} of {item['waves']}: {_format_counts(item)}"
                bar.update(task, total=item["members"], completed=finished, s=line)
                if line != last_line and not quiet and not console.is_terminal:
                    click.echo(f"rollout {number}: {line}")
                last_line = line
        return item

    return asyncio.run(run())


def _format_counts(item: dict[str, Any]) -> str:
    """The number of instances in each state."""
    return ", ".join(f"{count} {state}" for state, count in sorted(item["counts"].items())) or "nobody"


def _show_rollout(item: dict[str, Any]) -> None:
    """Prints the state of a rollout and the instances that it did not change."""
    click.echo(
        f"rollout {item['number']} of revision {item['revision']} by {item['author']} for "
        f"{item['selector'] or 'all'}: {item['phase']} after {item['spent']} s"
    )
    if item["why"]:
        click.echo(f"because: {item['why']}")
    click.echo(_format_counts(item))
    for member in item["missing"]:
        detail = f": {member['detail']}" if member["detail"] else ""
        click.echo(f"  {member['name']} {member['state']}{detail}")


def _report(item: dict[str, Any], as_json: bool, extra: dict[str, Any], undone_is_success: bool = True) -> None:
    """Prints the result of a rollout and exits with its status."""
    if as_json:
        show_json(extra | {"rollout": item})
    else:
        _show_rollout(item)
        if item["phase"] == "paused":
            click.echo(f"It stands still: `cindersail rollout resume|undo|abort {item['number']}`.")
    succeeded = item["phase"] == "done" or (
        undone_is_success and item["phase"] == "undone" and not item["missing"]
    )
    sys.exit(ALL_SUCCEEDED if succeeded else SOME_FAILED)
