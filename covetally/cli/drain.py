"""The `cindersail drain` and `cindersail outages` commands.

They drain or restart instances in waves that respect capacity floors, and show which units are out and why.
"""

from __future__ import annotations

import functools
import sys
from collections.abc import Callable
from typing import Any

import click

from covetally.cli import client
from covetally.cli.client import ALL_SUCCEEDED, BAD_INPUT, SOME_FAILED, Target
from covetally.cli.shared import REASON, SELECTOR, console, print_table, show_json, with_agent_options


@click.group(invoke_without_command=True)
@SELECTOR
@click.option(
    "--within",
    "within_s",
    type=click.FloatRange(0),
    metavar="S",
    help="Seconds until all requests have to be finished and connections closed.  [longest deadline + 0.5]",
)
@REASON
@with_agent_options
def drain(target: Target, selector: str, within_s: float | None, reason: str, as_json: bool) -> None:
    """Drain instances until `resume`; with a subcommand, drain or restart a fleet within capacity floors.

    Clients are notified to use other instances. Drained instances refuse new clients and stay drained when they
    restart or crash.
    """
    if click.get_current_context().invoked_subcommand is not None:
        return
    body = {"selector": selector, "within_s": within_s, "reason": reason}
    results = client.call(target, "POST", "/v1/drain", body)["instances"]
    if as_json:
        show_json({"instances": results})
    else:
        for item in results:
            click.echo(f"{item['name']}: {'done' if item['done'] else item['error']}")
    sys.exit(ALL_SUCCEEDED if all(item["done"] for item in results) else SOME_FAILED)


def _parse_floor(text: str) -> list[Any]:
    """Parses ZONE=N or ZONE=N% into [zone, number, whether the number is a share]."""
    zone, equals, amount = text.partition("=")
    try:
        is_share = amount.endswith("%")
        number = float(amount.removesuffix("%")) / (100 if is_share else 1)
    except ValueError:
        number = -1.0
    if not equals or not zone or number < 0 or (amount.endswith("%") and number > 1):
        raise client.Failure(f"--floor {text}: has to be ZONE=N or ZONE=N%, ZONE a zone, each or all", BAD_INPUT)
    return [zone, number, amount.endswith("%")]


def _with_order_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options of a drain order; the command receives them as `order`."""

    @click.option(
        "--what",
        type=click.Choice(["restart", "drain"]),
        default="restart",
        show_default=True,
        help="Operation on each instance; a drained instance stays out until it is resumed.",
    )
    @click.option(
        "--floor",
        "floors",
        multiple=True,
        metavar="ZONE=N[%]",
        help="Minimum capacity that stays in service, for one zone, each zone or all.  [each=50%]",
    )
    @click.option(
        "--after-loss",
        type=click.FloatRange(0),
        default=0.0,
        help="Minimum capacity that has to remain in service even if any one zone is lost.",
    )
    @click.option("--drain-s", type=click.FloatRange(0), default=5.0, show_default=True)
    @click.option("--return-s", type=click.FloatRange(0), default=10.0, show_default=True)
    @click.option(
        "--warm-s",
        type=click.FloatRange(0),
        default=0.0,
        show_default=True,
        help="Seconds until a returned instance counts as full capacity.",
    )
    @functools.wraps(command)
    def wrapped(
        what: str,
        floors: tuple[str, ...],
        after_loss: float,
        drain_s: float,
        return_s: float,
        warm_s: float,
        **options: Any,
    ) -> Any:
        order = {
            "what": what, "floors": [_parse_floor(text) for text in floors or ("each=50%",)],
            "after_loss": after_loss, "drain_s": drain_s, "return_s": return_s, "warm_s": warm_s,
        }  # fmt: skip
        return command(order=order, **options)

    return wrapped


@drain.command("plan")
@SELECTOR
@_with_order_options
@with_agent_options
def plan(target: Target, selector: str, order: dict[str, Any], as_json: bool) -> None:
    """Show the planned waves, their capacity calculation and what would shorten them; start nothing."""
    preview = client.call(target, "POST", "/v1/drains", order | {"selector": selector, "dry_run": True})["plan"]
    if as_json:
        show_json(preview)
    else:
        click.echo("\n".join(preview["text"]))


@drain.command("start")
@SELECTOR
@REASON
@_with_order_options
@with_agent_options
def start(target: Target, selector: str, reason: str, order: dict[str, Any], as_json: bool) -> None:
    """Start a drain order, which the agent runs wave by wave within its floors."""
    result = client.call(target, "POST", "/v1/drains", order | {"selector": selector, "reason": reason})
    _show(result, as_json)


@drain.command()
@with_agent_options
def status(target: Target, as_json: bool) -> None:
    """Show the current drain order, or the last one."""
    _show(client.call(target, "GET", "/v1/drains"), as_json)


def _add_control_command(action: str, help_text: str) -> None:
    """Adds the command that sends one action, such as halt, for the current order."""

    @drain.command(action, help=help_text)
    @REASON
    @with_agent_options
    def command(target: Target, reason: str, as_json: bool) -> None:
        _show(client.call(target, "POST", f"/v1/drains/{action}", {"reason": reason}), as_json)


_add_control_command("halt", "Halt the order: no more instances go out, those that are out return.")
_add_control_command("resume", "Resume a halted order.")
_add_control_command("back", "End the order: no more instances go out, those that are out return.")


def _show(table: dict[str, Any], as_json: bool) -> None:
    """Prints the state of the current drain order."""
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
    for unit, cause in order["failed"].items():
        console.print(f"  {unit}: {cause}")


@click.command()
@click.option(
    "--write-off", metavar="NAME", help="Declare that unit NAME, which is out by a permit, will not return."
)
@with_agent_options
def outages(target: Target, write_off: str | None, as_json: bool) -> None:
    """Show the units that are out, planned or not, with cause and duration, and capacity beside the floors."""
    if write_off is not None:
        result = client.call(target, "POST", f"/v1/drains/write-off/{write_off}")
        show_json(result) if as_json else click.echo(f"{write_off}: {result['ended']}")
        return
    table = client.call(target, "GET", "/v1/drains")
    if as_json:
        show_json({key: table[key] for key in ("out", "permits", "capacity", "floors", "epoch")})
        return
    now = table["now"]  # the agent's clock, which may differ from this machine's
    rows = []
    for outage in table["out"]:
        duration_s = round(now - outage["since"]) if outage["since"] else ""
        planned = "yes" if outage["planned"] else ""
        rows.append((outage["unit"], outage["zone"], outage["state"], duration_s, planned, outage["cause"]))
    print_table(("unit", "zone", "state", "for s", "by plan", "cause"), rows)
    for zone, capacity in sorted(table["capacity"].items()):
        floor = table["floors"].get(zone)
        floor_text = f", floor {floor:g}" if floor is not None else ""
        console.print(f"{zone or 'no zone'}: {capacity:g} in{floor_text}")
