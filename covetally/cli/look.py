"""Read-only commands: list, show, logs, diff, history, top."""

from __future__ import annotations

import json
import time
from typing import Any

import click
from rich.live import Live

from covetally.cli import client
from covetally.cli.client import Target
from covetally.cli.shared import (
    SELECTOR,
    console,
    format_age,
    print_table,
    quoted,
    rich_table,
    show_json,
    with_agent_options,
)
from covetally.fleet.document import difference, from_dicts


@click.command("list")
@SELECTOR
@with_agent_options
def list_(target: Target, selector: str, as_json: bool) -> None:
    """List instances with their state and revision, and why an instance lacks its assigned revision."""
    found = client.call(target, "GET", f"/v1/instances?selector={quoted(selector)}")
    if as_json:
        show_json(found)
        return
    rows = []
    for item in found["instances"]:
        revision = str(item["assigned"]) if item["in_step"] else f"{item['revision']}, not {item['assigned']}"
        labels = ",".join(f"{k}={v}" for k, v in sorted(item["labels"].items()))
        note = item["note"] or ("waits for a restart" if item["pending_restart"] else "")
        note = "; ".join(filter(None, (note, _describe_orders(item.get("orders", {})))))
        rows.append((
            item["name"], labels, item["state"], revision, item["answers"], item["bad"], item["lag_ms"],
            format_age(item["last_seen"]), note,
        ))  # fmt: skip
    heads = ("instance", "labels", "state", "revision", "answers", "bad", "lag ms", "seen", "note")
    print_table(heads, rows)
    away = sum(1 for item in found["instances"] if not item["connected"])
    console.print(f"{len(found['instances'])} instances, {away} not connected; head is revision {found['head']}")


def _describe_orders(orders: dict[str, Any]) -> str:
    """A short description of the orders in force for an instance, empty if there are none."""
    parts = []
    if orders.get("draining"):
        parts.append("drain")
    if orders.get("roster", "auto") != "auto":
        parts.append(f"roster {orders['roster']}")
    if not parts:
        return ""
    reason = f" ({orders['why']})" if orders["why"] else ""
    return f"ordered by {orders['who']} {format_age(orders['at'])}{reason}: {', '.join(parts)}"


@click.command()
@click.argument("name")
@with_agent_options
def show(target: Target, name: str, as_json: bool) -> None:
    """Show one instance: settings, limits, classes, and its view of each node."""
    found = client.call(target, "GET", f"/v1/instances/{quoted(name)}")
    if as_json:
        show_json(found)
        return
    console.print(f"{name}: {found['state']}, version {found['version']}, pid {found['pid']}, "
                  f"seen {format_age(found['last_seen'])}")  # fmt: skip
    assigned = found["wanted"]
    console.print(f"revision {found['revision']}, is to have {assigned['revision']}")
    for key, value in assigned["values"].items():
        console.print(f"  {key} = {json.dumps(value)}   ({assigned['origin'][key] or 'all'})")
    if found["note"]:
        console.print(f"note: {found['note']}")
    if description := _describe_orders(found.get("orders", {})):
        console.print(description)
    snapshot = found.get("snapshot")
    if snapshot is None:
        return
    counts = [(cls, *numbers) for cls, numbers in snapshot["counts"].items()]
    print_table(("class", "served", "refused", "failed", "left"), counts)
    if snapshot.get("shed"):
        console.print(f"{snapshot['shed']} requests refused unread, under overload")
    for name, count in snapshot.get("violations", {}).items():
        console.print(f"VIOLATION {name}: {count}, see its log")
    if snapshot.get("closed"):
        print_table(("connections closed", "count"), sorted(snapshot["closed"].items()))
    if "workers" in snapshot:
        console.print(f"{snapshot['deaths']} workers have ended without being told to")
        columns = ("place", "pid", "state", "open", "lag_ms", "clients", "memory_kib")
        rows = [tuple(worker.get(name, "") for name in columns) for worker in snapshot["workers"]]
        print_table(("worker", "pid", "state", "open", "lag ms", "clients", "KiB"), rows)
    limits = [
        (name, *(value if isinstance(value, list) else ("", value))) for name, value in snapshot["limits"].items()
    ]
    print_table(("limit", "used", "of"), limits)
    nodes = [
        (node["node"], node["k"], node["figure"], node["in_flight"], f"{node['bad']:.0%}", node["wait_ms"],
         node["why"])
        for node in snapshot["nodes"]
    ]  # fmt: skip
    print_table(("node", "k", "figure", "in flight", "bad", "wait ms", "why"), nodes)
    for error in snapshot["errors"][-5:]:
        console.print(f"{error['level']} {error['text']}")


@click.command()
@click.argument("name")
@with_agent_options
def logs(target: Target, name: str, as_json: bool) -> None:
    """Show the most recent log lines of an instance."""
    found = client.call(target, "GET", f"/v1/instances/{quoted(name)}/logs")
    if as_json:
        show_json(found)
        return
    for line in found["lines"]:
        when = time.strftime("%H:%M:%S", time.localtime(line["at"]))
        click.echo(f"{when} {line['level']} {line['text']}")


@click.command()
@click.argument("old", type=int, required=False)
@click.argument("new", type=int, required=False)
@with_agent_options
def diff(target: Target, old: int | None, new: int | None, as_json: bool) -> None:
    """Show the differences between two revisions; by default, the changes made by the head revision."""
    if new is None:
        new = client.call(target, "GET", "/v1/status")["head"] if old is None else old
        old = None
    after = client.call(target, "GET", f"/v1/revisions/{new}")
    before = client.call(target, "GET", f"/v1/revisions/{after['parent'] if old is None else old}")
    changes = difference(from_dicts(before["layers"]), from_dicts(after["layers"]))
    if as_json:
        show_json({"old": before["number"], "new": after["number"], "changes": changes})
        return
    show_changes(changes)


def show_changes(changes: list[dict[str, Any]]) -> None:
    """Prints each changed setting as a removed and an added line."""
    for change in changes:
        for sign, value in (("-", change["old"]), ("+", change["new"])):
            if value is not None:
                click.echo(f"{sign} {change['key']} = {json.dumps(value)}   ({change['selector'] or 'all'})")
    if not changes:
        click.echo("no difference")


@click.command()
@click.option("--acts", is_flag=True, help="Show every action in the audit log, not only revisions.")
@with_agent_options
def history(target: Target, acts: bool, as_json: bool) -> None:
    """Show the revisions with author, time and reason, newest first."""
    found = client.call(target, "GET", "/v1/audit" if acts else "/v1/revisions")
    if as_json:
        show_json(found)
        return
    rows: list[tuple[Any, ...]] = []
    for item in found["acts" if acts else "revisions"]:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(item["at"]))
        if acts:
            details = {key: value for key, value in item.items() if key not in ("at", "who", "what", "before")}
            rows.append((when, item["who"], item["what"], json.dumps(details)[:200]))
        else:
            rows.append((item["number"], when, item["author"], item["selector"] or "all", item["reason"]))
    print_table(("when", "who", "what", "details") if acts else ("revision", "when", "who", "for", "why"), rows)


@click.command()
@SELECTOR
@click.option(
    "--every", type=click.FloatRange(0.2, 60), default=2.0, show_default=True, help="Seconds between updates."
)
@click.option("--count", type=click.IntRange(0), default=0, help="Number of updates; 0: no limit.")
@with_agent_options
def top(target: Target, selector: str, every: float, count: int, as_json: bool) -> None:
    """Watch instances: responses per second, share of bad responses, lag; busiest first."""
    previous: dict[str, tuple[float, int, int]] = {}
    updates = 0

    def read_rates() -> list[dict[str, Any]]:
        found = client.call(target, "GET", f"/v1/instances?selector={quoted(selector)}")["instances"]
        now, rows = time.monotonic(), []
        for item in found:
            previous_at, answers, bad = previous.get(item["name"], (now, item["answers"], item["bad"]))
            elapsed_s = max(0.001, now - previous_at)
            new_answers, new_bad = max(0, item["answers"] - answers), max(0, item["bad"] - bad)
            previous[item["name"]] = (now, item["answers"], item["bad"])
            rows.append({"name": item["name"], "state": item["state"], "rate": round(new_answers / elapsed_s, 1),
                         "bad_share": round(new_bad / new_answers, 3) if new_answers else 0.0,
                         "open": item["open"], "lag_ms": item["lag_ms"]})  # fmt: skip
        return sorted(rows, key=lambda row: -row["rate"])

    heads = ("instance", "state", "answers/s", "bad", "open", "lag ms")

    def table_rows(rows: list[dict[str, Any]]) -> list[tuple[Any, ...]]:
        return [
            (row["name"], row["state"], row["rate"], f"{row['bad_share']:.1%}", row["open"], row["lag_ms"])
            for row in rows[:50]
        ]

    with Live(console=console, auto_refresh=False, transient=True) as screen:
        while True:
            rows = read_rates()
            if as_json:
                click.echo(json.dumps(rows))
            elif console.is_terminal:
                screen.update(rich_table(heads, table_rows(rows)), refresh=True)
            else:
                print_table(heads, table_rows(rows))
            updates += 1
            if count and updates >= count:
                return
            time.sleep(every)
