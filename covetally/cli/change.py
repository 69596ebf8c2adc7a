"""Commands that change what instances have or do: apply, set, unset, restart, resume, forget."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from covetally.cli import client
from covetally.cli.client import ALL_TOOK, BAD_INPUT, SOME_DID_NOT, Failure, Target
from covetally.cli.look import show_changes
from covetally.cli.rollouts import finish
from covetally.cli.shared import REASON, SELECTOR, connected, planned, quoted, show_json
from covetally.operator import check, schema


def _read_pairs(pairs: tuple[str, ...]) -> dict[str, Any]:
    """KEY=VALUE as the schema wants it: a word where a word is meant, else as TOML would read it."""
    values: dict[str, Any] = {}
    for pair in pairs:
        key, equals, text = pair.partition("=")
        if not equals:
            raise Failure(f"{pair}: has to be KEY=VALUE", BAD_INPUT)
        found = schema.find(key)
        plain = found is not None and found.kind not in ("whole", "number", "switch")
        try:
            values[key] = text if plain else json.loads(text)
        except ValueError:
            values[key] = text
    return values


def _checked(values: dict[str, Any]) -> dict[str, Any]:
    try:
        return check.validate(values, managed=True)
    except check.OperatorError as error:
        table = {"error": "bad_input", "problems": [p.as_dict() for p in error.problems]}
        raise Failure("\n".join(map(str, error.problems)), BAD_INPUT, table) from None


def changing(command: Callable[..., Any]) -> Callable[..., Any]:
    """Options of every command that makes a revision."""
    options = [
        SELECTOR, REASON, planned,
        click.option("--parent", type=int, help="The revision that this is made on; default: the head now."),
        click.option("--on-overlap", type=click.Choice(["refuse", "queue", "supersede"]), default="refuse",
                     show_default=True, help="If a rollout to the same instances runs."),
        click.option("--restart", is_flag=True, help="Restart instances that need it to take this."),
        click.option("--dry-run", is_flag=True,
                     help="Ask all of them: who would change, what, who needs a restart, who would refuse."),
        click.option("--anyway", is_flag=True, help="Without asking first whether they would take it."),
        click.option("--wait/--no-wait", default=True, help="Follow the rollout to its end.", show_default=True),
        connected,
    ]  # fmt: skip
    for option in reversed(options):
        command = option(command)
    return command


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@changing
def apply(file: Path, **more: Any) -> None:
    """Make FILE, in the form of the operators' file, the settings of the selected instances."""
    try:
        values = check.read(file)
    except check.OperatorError as error:
        raise Failure("\n".join(map(str, error.problems)), BAD_INPUT) from None
    _change({"put": _checked(values)}, **more)


@click.command("set")
@click.argument("pairs", nargs=-1, required=True, metavar="KEY=VALUE...")
@changing
def set_(pairs: tuple[str, ...], **more: Any) -> None:
    """Change settings of the selected instances, as in limits.max_attempts=3."""
    _change({"set": _checked(_read_pairs(pairs))}, **more)


@click.command()
@click.argument("keys", nargs=-1, required=True, metavar="KEY...")
@changing
def unset(keys: tuple[str, ...], **more: Any) -> None:
    """Take settings away: what the instances' own files say holds again."""
    _change({"unset": list(keys)}, **more)


def _change(
    what: dict[str, Any], where: Target, selector: str, reason: str, plan: dict[str, Any], parent: int | None,
    on_overlap: str, restart: bool, dry_run: bool, anyway: bool, wait: bool, as_json: bool,
) -> None:  # fmt: skip
    if parent is None:
        parent = client.call(where, "GET", "/v1/status")["head"]
    plan = plan | ({"restart": True} if restart else {})
    body = what | {
        "parent": parent, "selector": selector, "reason": reason, "plan": plan, "overlap": on_overlap,
        "dry_run": dry_run, "anyway": anyway,
    }  # fmt: skip
    done = client.call(where, "POST", "/v1/revisions", body)
    if dry_run:
        refused = done["asked"]["refused"]
        if as_json:
            show_json(done)
            raise SystemExit(SOME_DID_NOT if refused else ALL_TOOK)
        show_changes(done["changes"])
        for item in done["would"]:
            restarts = f"; needs a restart for {', '.join(item['restart'])}" if item["restart"] else ""
            away = "" if item["connected"] else " (not connected)"
            click.echo(f"{item['name']}{away}: {', '.join(item['keys'])}{restarts}")
        for name, why in done["asked"]["unknown"].items():
            click.echo(f"{name} was not asked: {why}")
        for name, why in refused.items():
            click.echo(f"{name} would refuse it: {why}")
        count = len(done["would"])
        click.echo(f"{count} instances would change, {len(refused)} would refuse; nothing was changed")
        raise SystemExit(SOME_DID_NOT if refused else ALL_TOOK)
    if not as_json:
        click.echo(f"revision {done['revision']}, rollout {done['rollout']['number']}")
    finish(where, done["rollout"], wait, as_json, {"revision": done["revision"], "changes": done["changes"]})


@click.command()
@SELECTOR
@REASON
@planned
@click.option("--dry-run", is_flag=True, help="Say who would be restarted.")
@click.option("--wait/--no-wait", default=True, show_default=True, help="Follow it to its end.")
@connected
def restart(
    where: Target, selector: str, reason: str, plan: dict[str, Any], dry_run: bool, wait: bool, as_json: bool
) -> None:
    """Restart instances in good order, at most so many at a time."""
    body = {"selector": selector, "reason": reason, "plan": plan, "dry_run": dry_run}
    done = client.call(where, "POST", "/v1/restart", body)
    if dry_run:
        if as_json:
            show_json(done)
        else:
            for item in done["would"]:
                click.echo(item["name"] + ("" if item["connected"] else " (not connected)"))
        return
    finish(where, done["rollout"], wait, as_json, {})


def _order(what: str) -> click.Command:
    @click.command(what)
    @SELECTOR
    @REASON
    @connected
    def command(where: Target, selector: str, reason: str, as_json: bool) -> None:
        body = {"selector": selector, "reason": reason}
        found = client.call(where, "POST", f"/v1/{what}", body)["instances"]
        if as_json:
            show_json({"instances": found})
        else:
            for item in found:
                click.echo(f"{item['name']}: {'done' if item['done'] else item['error']}")
        sys.exit(ALL_TOOK if all(item["done"] for item in found) else SOME_DID_NOT)

    command.help = {
        "resume": "Let drained instances be ready again.",
    }[what]
    return command


resume = _order("resume")


@click.command()
@click.argument("name")
@connected
def forget(where: Target, name: str, as_json: bool) -> None:
    """Forget an instance that is away for good."""
    client.call(where, "DELETE", f"/v1/instances/{quoted(name)}")
    show_json({"forgotten": name}) if as_json else click.echo(f"{name} is forgotten")
