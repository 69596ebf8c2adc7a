"""The `cindersail freeze` commands, which block planned changes, restarts and drains for a limited time."""

from __future__ import annotations

import click

from covetally.cli import client
from covetally.cli.client import Target
from covetally.cli.shared import REASON, SELECTOR, print_table, show_json, with_agent_options


@click.group()
def freeze() -> None:
    """Block changes, restarts and drains for a limited time. Undoing and aborting stay possible."""


@freeze.command()
@SELECTOR
@REASON
@click.option("--for", "for_s", type=click.FloatRange(1, 2_592_000), required=True, help="Duration in seconds.")
@click.option("--through", default="", help="An operator who is exempt from the freeze.")
@with_agent_options
def add(target: Target, selector: str, reason: str, for_s: float, through: str, as_json: bool) -> None:
    """Start a freeze for the selected instances, or for all."""
    body = {"selector": selector, "reason": reason, "for_s": for_s, "through": through}
    freeze_entry = client.call(target, "POST", "/v1/freezes", body)["freeze"]
    show_json(freeze_entry) if as_json else click.echo(freeze_entry["text"])


@freeze.command()
@click.argument("number", type=int)
@with_agent_options
def lift(target: Target, number: int, as_json: bool) -> None:
    """End freeze NUMBER before it expires."""
    freeze_entry = client.call(target, "DELETE", f"/v1/freezes/{number}")["freeze"]
    show_json(freeze_entry) if as_json else click.echo(f"freeze {number} is lifted")


@freeze.command("list")
@with_agent_options
def list_(target: Target, as_json: bool) -> None:
    """List active freezes, and those lifted or expired within the last day."""
    freezes = client.call(target, "GET", "/v1/freezes")["freezes"]
    if as_json:
        show_json({"freezes": freezes})
        return
    print_table(("freeze", "state", "of", "by", "reason", "lets through"), [
        (entry["number"], entry["state"], entry["selector"] or "all",
         entry["who"], entry["reason"], entry["through"])
        for entry in freezes
    ])  # fmt: skip
