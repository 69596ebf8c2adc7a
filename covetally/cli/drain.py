"""`cindersail drain` and `cindersail outages`: who goes out, in which order, under which floors; who is out and
why."""

from __future__ import annotations

import functools
import sys
from collections.abc import Callable
from typing import Any

import click

from covetally.cli import client
from covetally.cli.client import ALL_TOOK, BAD_INPUT, SOME_DID_NOT, Target
from covetally.cli.shared import REASON, SELECTOR, connected, console, print_table, show_json


@click.group(invoke_without_command=True)
@SELECTOR
@click.option(
    "--within",
    "within_s",
    type=click.FloatRange(0),
    metavar="S",
    help="Hold no connection and no request after so long.  [the longest deadline and 0.5 s]",
)
@REASON
@connected
def drain(where: Target, selector: str, within_s: float | None, reason: str, as_json: bool) -> None:
    """Let instances tell their clients to stay away, until `resume`; or, with a command, drain under floors.

    The order holds over restarts and crashes of the instances. A drained one refuses whoever comes.
    """
    if click.get_current_context().invoked_subcommand is not None:
        return
    body = {"selector": selector, "within_s": within_s, "reason": reason}
    found = client.call(where, "POST", "/v1/drain", body)["instances"]
    if as_json:
        show_json({"instances": found})
    else:
        for item in found:
            click.echo(f"{item['name']}: {'done' if item['done'] else item['error']}")
    sys.exit(ALL_TOOK if all(item["done"] for item in found) else SOME_DID_NOT)


def _floor(text: str) -> list[Any]:
    """[zone, figure, whether it is a share] of ZONE=N or ZONE=N%."""
    where, equals, figure = text.partition("=")
    try:
        share = figure.endswith("%")
        number = float(figure.removesuffix("%")) / (100 if share else 1)
    except ValueError:
        number = -1.0
    if not equals or not where or number < 0 or (figure.endswith("%") and number > 1):
        raise client.Failure(f"--floor {text}: has to be ZONE=N or ZONE=N%, ZONE a zone, each or all", BAD_INPUT)
    return [where, number, figure.endswith("%")]


def _ordered(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options of an order; the command gets `order`."""

    @click.option(
        "--what",
        type=click.Choice(["restart", "drain"]),
        default="restart",
        show_default=True,
        help="What is done to each; who is drained stays out until it is resumed.",
    )
    @click.option(
        "--floor",
        "floors",
        multiple=True,
        metavar="ZONE=N[%]",
        help="The least that stays in: of a zone, of each, or of all.  [each=50%]",
    )
    @click.option(
        "--after-loss",
        type=click.FloatRange(0),
        default=0.0,
        help="The least that stays in besides whichever zone is lost next.",
    )
    @click.option("--drain-s", type=click.FloatRange(0), default=5.0, show_default=True)
    @click.option("--return-s", type=click.FloatRange(0), default=10.0, show_default=True)
    @click.option(
        "--warm-s",
        type=click.FloatRange(0),
        default=0.0,
        show_default=True,
        help="Until one that is back counts whole.",
    )
    @functools.wraps(command)
    def wrapped(
        what: str,
        floors: tuple[str, ...],
        after_loss: float,
        drain_s: float,
        return_s: float,
        warm_s: float,
        **more: Any,
    ) -> Any:
        order = {
            "what": what, "floors": [_floor(text) for text in floors or ("each=50%",)], "after_loss": after_loss,
            "drain_s": drain_s, "return_s": return_s, "warm_s": warm_s,
        }  # fmt: skip
        return command(order=order, **more)

    return wrapped


@drain.command("plan")
@SELECTOR
@_ordered
@connected
def plan(where: Target, selector: str, order: dict[str, Any], as_json: bool) -> None:
    """Show the waves, their arithmetic, and what would shorten them. Nothing is begun."""
    found = client.call(where, "POST", "/v1/drains", order | {"selector": selector, "dry_run": True})["plan"]
    if as_json:
        show_json(found)
    else:
        click.echo("\n".join(found["text"]))


@drain.command("start")
@SELECTOR
@REASON
@_ordered
@connected
def start(where: Target, selector: str, reason: str, order: dict[str, Any], as_json: bool) -> None:
    """Begin an order; it goes on by itself, wave after wave, under its floors."""
    done = client.call(where, "POST", "/v1/drains", order | {"selector": selector, "reason": reason})
    _show(done, as_json)


@drain.command()
@connected
def status(where: Target, as_json: bool) -> None:
    """Show the order under way, or the last one."""
    _show(client.call(where, "GET", "/v1/drains"), as_json)


def _steered(what: str, text: str) -> None:
    @drain.command(what, help=text)
    @REASON
    @connected
    def command(where: Target, reason: str, as_json: bool) -> None:
        _show(client.call(where, "POST", f"/v1/drains/{what}", {"reason": reason}), as_json)


_steered("halt", "Nothing new from here on; who is out comes back.")
_steered("resume", "Go on with an order that was halted.")
_steered("back", "End it: who has not gone never goes, who is out comes back.")


def _show(table: dict[str, Any], as_json: bool) -> None:
    if as_json:
        show_json(table)
        return
    order = table["order"]
    if order is None:
        console.print("no order was given yet")
        return
    reason = f": {order['reason']}" if order["reason"] else ""
    console.print(f"order {order['number']} by {order['who']} is {order['phase']}{reason}")
    gone, left, out = len(order["gone"]), len(order["left"]), len(table["permits"])
    console.print(f"{gone} have gone, {left} have not yet, {out} are out by it")
    for unit, why in order["failed"].items():
        console.print(f"  {unit}: {why}")


@click.command()
@click.option("--write-off", metavar="NAME", help="Say that NAME, which is out by a permit, does not come back.")
@connected
def outages(where: Target, write_off: str | None, as_json: bool) -> None:
    """Show who is out, by plan or not, why and since when, beside the floors."""
    if write_off is not None:
        ended = client.call(where, "POST", f"/v1/drains/write-off/{write_off}")
        show_json(ended) if as_json else click.echo(f"{write_off}: {ended['ended']}")
        return
    table = client.call(where, "GET", "/v1/drains")
    if as_json:
        show_json({key: table[key] for key in ("out", "permits", "capacity", "floors", "epoch")})
        return
    now = table["now"]  # the agent's: this machine's clock may be another
    rows = []
    for one in table["out"]:
        lasts = round(now - one["since"]) if one["since"] else ""
        by_plan = "yes" if one["planned"] else ""
        rows.append((one["unit"], one["zone"], one["state"], lasts, by_plan, one["cause"]))
    print_table(("unit", "zone", "state", "for s", "by plan", "cause"), rows)
    for zone, capacity in sorted(table["capacity"].items()):
        floor = table["floors"].get(zone)
        beside = f", floor {floor:g}" if floor is not None else ""
        console.print(f"{zone or 'no zone'}: {capacity:g} in{beside}")
