"""Commands that change the settings or the state of instances: apply, set, unset, restart, resume, forget."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from covetally.cli import client
from covetally.cli.client import ALL_SUCCEEDED, BAD_INPUT, SOME_FAILED, Failure, Target
from covetally.cli.look import show_changes
from covetally.cli.rollouts import finish
from covetally.cli.shared import REASON, SELECTOR, quoted, show_json, with_agent_options, with_rollout_options
from covetally.operator import check, schema


def _read_pairs(pairs: tuple[str, ...]) -> dict[str, Any]:
    """Parses KEY=VALUE pairs. Values of text settings stay text; others are parsed as JSON where possible."""
    values: dict[str, Any] = {}
    for pair in pairs:
        key, equals, text = pair.partition("=")
        if not equals:
            raise Failure(f"{pair}: has to be KEY=VALUE", BAD_INPUT)
        setting = schema.find(key)
        is_text = setting is not None and setting.kind not in ("whole", "number", "switch")
        try:
            values[key] = text if is_text else json.loads(text)
        except ValueError:
            values[key] = text
    return values


def _validate(values: dict[str, Any]) -> dict[str, Any]:
    """Returns the validated values; raises Failure that lists every problem."""
    try:
        return check.validate(values, managed=True)
    except check.OperatorError as error:
        table = {"error": "bad_input", "problems": [p.as_dict() for p in error.problems]}
        raise Failure("\n".join(map(str, error.problems)), BAD_INPUT, table) from None


def with_change_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options of every command that creates a revision."""
    options = [
        SELECTOR, REASON, with_rollout_options,
        click.option("--parent", type=int, help="Revision to base the change on; default: the head."),
        click.option("--on-overlap", type=click.Choice(["refuse", "queue", "supersede"]), default="refuse",
                     show_default=True, help="Reaction if a rollout to the same instances is running."),
        click.option("--restart", is_flag=True, help="Restart the instances that need it to apply the change."),
        click.option("--dry-run", is_flag=True,
                     help="Show which instances would change, need a restart or refuse."),
        click.option("--anyway", is_flag=True, help="Do not ask the instances first whether they accept it."),
        click.option("--wait/--no-wait", default=True, help="Follow the rollout to its end.", show_default=True),
        with_agent_options,
    ]  # fmt: skip
    for option in reversed(options):
        command = option(command)
    return command


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@with_change_options
def apply(file: Path, **options: Any) -> None:
    """Replace the settings of the selected instances by FILE, which has the format of the operators' file."""
    try:
        values = check.read(file)
    except check.OperatorError as error:
        raise Failure("\n".join(map(str, error.problems)), BAD_INPUT) from None
    _change({"put": _validate(values)}, **options)


@click.command("set")
@click.argument("pairs", nargs=-1, required=True, metavar="KEY=VALUE...")
@with_change_options
def set_(pairs: tuple[str, ...], **options: Any) -> None:
    """Change settings of the selected instances, as in limits.max_attempts=3."""
    _change({"set": _validate(_read_pairs(pairs))}, **options)


@click.command()
@click.argument("keys", nargs=-1, required=True, metavar="KEY...")
@with_change_options
def unset(keys: tuple[str, ...], **options: Any) -> None:
    """Remove settings; the values in the instances' own files apply again."""
    _change({"unset": list(keys)}, **options)


def _change(
    edit: dict[str, Any], target: Target, selector: str, reason: str, plan: dict[str, Any], parent: int | None,
    on_overlap: str, restart: bool, dry_run: bool, anyway: bool, wait: bool, as_json: bool,
) -> None:  # fmt: skip
    """Creates a revision and follows its rollout, or shows its effect with `dry_run`."""
    if parent is None:
        parent = client.call(target, "GET", "/v1/status")["head"]
    plan = plan | ({"restart": True} if restart else {})
    body = edit | {
        "parent": parent, "selector": selector, "reason": reason, "plan": plan, "overlap": on_overlap,
        "dry_run": dry_run, "anyway": anyway,
    }  # fmt: skip
    result = client.call(target, "POST", "/v1/revisions", body)
    if dry_run:
        refused = result["asked"]["refused"]
        if as_json:
            show_json(result)
            raise SystemExit(SOME_FAILED if refused else ALL_SUCCEEDED)
        show_changes(result["changes"])
        for item in result["would"]:
            restarts = f"; needs a restart for {', '.join(item['restart'])}" if item["restart"] else ""
            away = "" if item["connected"] else " (not connected)"
            click.echo(f"{item['name']}{away}: {', '.join(item['keys'])}{restarts}")
        for name, why in result["asked"]["unknown"].items():
            click.echo(f"{name} was not asked: {why}")
        for name, why in refused.items():
            click.echo(f"{name} would refuse it: {why}")
        count = len(result["would"])
        click.echo(f"{count} instances would change, {len(refused)} would refuse; nothing was changed")
        raise SystemExit(SOME_FAILED if refused else ALL_SUCCEEDED)
    if not as_json:
        click.echo(f"revision {result['revision']}, rollout {result['rollout']['number']}")
    finish(
        target, result["rollout"], wait, as_json, {"revision": result["revision"], "changes": result["changes"]}
    )


@click.command()
@SELECTOR
@REASON
@with_rollout_options
@click.option("--dry-run", is_flag=True, help="Show which instances would be restarted.")
@click.option("--wait/--no-wait", default=True, show_default=True, help="Follow the rollout to its end.")
@with_agent_options
def restart(
    target: Target, selector: str, reason: str, plan: dict[str, Any], dry_run: bool, wait: bool, as_json: bool
) -> None:
    """Restart instances gracefully, a limited number at a time."""
    body = {"selector": selector, "reason": reason, "plan": plan, "dry_run": dry_run}
    result = client.call(target, "POST", "/v1/restart", body)
    if dry_run:
        if as_json:
            show_json(result)
        else:
            for item in result["would"]:
                click.echo(item["name"] + ("" if item["connected"] else " (not connected)"))
        return
    finish(target, result["rollout"], wait, as_json, {})


def _order_command(action: str) -> click.Command:
    """Creates the command that sends one order to the selected instances."""

    @click.command(action)
    @SELECTOR
    @REASON
    @with_agent_options
    def command(target: Target, selector: str, reason: str, as_json: bool) -> None:
        body = {"selector": selector, "reason": reason}
        results = client.call(target, "POST", f"/v1/{action}", body)["instances"]
        if as_json:
            show_json({"instances": results})
        else:
            for item in results:
                click.echo(f"{item['name']}: {'done' if item['done'] else item['error']}")
        sys.exit(ALL_SUCCEEDED if all(item["done"] for item in results) else SOME_FAILED)

    command.help = {
        "resume": "Return drained instances to service.",
    }[action]
    return command


resume = _order_command("resume")


@click.command()
@click.argument("name")
@with_agent_options
def forget(target: Target, name: str, as_json: bool) -> None:
    """Remove an instance that will not return."""
    client.call(target, "DELETE", f"/v1/instances/{quoted(name)}")
    show_json({"forgotten": name}) if as_json else click.echo(f"{name} is forgotten")
