"""Commands that only look: list, show, logs, diff, history, top."""

from __future__ import annotations

import json
import time
from typing import Any

import click
from rich.live import Live

from covetally.cli import client
from covetally.cli.client import Target
from covetally.cli.shared import SELECTOR, ago, connected, console, print_table, quoted, rich_table, show_json
from covetally.fleet.document import difference, from_dicts


@click.command("list")
@SELECTOR
@connected
def list_(where: Target, selector: str, as_json: bool) -> None:
    """List instances: state, revision, and why one has not what it is to have."""
    found = client.call(where, "GET", f"/v1/instances?selector={quoted(selector)}")
    if as_json:
        show_json(found)
        return
    rows = []
    for item in found["instances"]:
        revision = str(item["assigned"]) if item["in_step"] else f"{item['revision']}, not {item['assigned']}"
        labels = ",".join(f"{k}={v}" for k, v in sorted(item["labels"].items()))
        note = item["note"] or ("waits for a restart" if item["pending_restart"] else "")
        note = "; ".join(filter(None, (note, _ordered(item.get("orders", {})))))
        rows.append((
            item["name"], labels, item["state"], revision, item["answers"], item["bad"], item["lag_ms"],
            ago(item["last_seen"]), note,
        ))  # fmt: skip
    heads = ("instance", "labels", "state", "revision", "answers", "bad", "lag ms", "seen", "note")
    print_table(heads, rows)
    away = sum(1 for item in found["instances"] if not item["connected"])
    console.print(f"{len(found['instances'])} instances, {away} not connected; head is revision {found['head']}")


def _ordered(orders: dict[str, Any]) -> str:
    """The orders in force for an instance, in a few words; empty where there are none."""
    words = []
    if orders.get("draining"):
        words.append("drain")
    if orders.get("roster", "auto") != "auto":
        words.append(f"roster {orders['roster']}")
    if not words:
        return ""
    why = f" ({orders['why']})" if orders["why"] else ""
    return f"ordered by {orders['who']} {ago(orders['at'])}{why}: {', '.join(words)}"


@click.command()
@click.argument("name")
@connected
def show(where: Target, name: str, as_json: bool) -> None:
    """Show one instance: settings, limits, classes, and what it believes of each node."""
    found = client.call(where, "GET", f"/v1/instances/{quoted(name)}")
    if as_json:
        show_json(found)
        return
    console.print(f"{name}: {found['state']}, version {found['version']}, pid {found['pid']}, "
                  f"seen {ago(found['last_seen'])}")  # fmt: skip
    wanted = found["wanted"]
    console.print(f"revision {found['revision']}, is to have {wanted['revision']}")
    for key, value in wanted["values"].items():
        console.print(f"  {key} = {json.dumps(value)}   ({wanted['origin'][key] or 'all'})")
    if found["note"]:
        console.print(f"note: {found['note']}")
    if ordered := _ordered(found.get("orders", {})):
        console.print(ordered)
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
        rows = [tuple(w.get(name, "") for name in columns) for w in snapshot["workers"]]
        print_table(("worker", "pid", "state", "open", "lag ms", "clients", "KiB"), rows)
    limits = [(k, *(v if isinstance(v, list) else ("", v))) for k, v in snapshot["limits"].items()]
    print_table(("limit", "used", "of"), limits)
    nodes = [
        (n["node"], n["k"], n["figure"], n["in_flight"], f"{n['bad']:.0%}", n["wait_ms"], n["why"])
        for n in snapshot["nodes"]
    ]
    print_table(("node", "k", "figure", "in flight", "bad", "wait ms", "why"), nodes)
    for error in snapshot["errors"][-5:]:
        console.print(f"{error['level']} {error['text']}")


@click.command()
@click.argument("name")
@connected
def logs(where: Target, name: str, as_json: bool) -> None:
    """Show an instance's last log lines."""
    found = client.call(where, "GET", f"/v1/instances/{quoted(name)}/logs")
    if as_json:
        show_json(found)
        return
    for line in found["lines"]:
        when = time.strftime("%H:%M:%S", time.localtime(line["at"]))
        click.echo(f"{when} {line['level']} {line['text']}")


@click.command()
@click.argument("old", type=int, required=False)
@click.argument("new", type=int, required=False)
@connected
def diff(where: Target, old: int | None, new: int | None, as_json: bool) -> None:
    """Show what differs between two revisions; by default, what the head changed."""
    if new is None:
        new = client.call(where, "GET", "/v1/status")["head"] if old is None else old
        old = None
    after = client.call(where, "GET", f"/v1/revisions/{new}")
    before = client.call(where, "GET", f"/v1/revisions/{after['parent'] if old is None else old}")
    changes = difference(from_dicts(before["layers"]), from_dicts(after["layers"]))
    if as_json:
        show_json({"old": before["number"], "new": after["number"], "changes": changes})
        return
    show_changes(changes)


def show_changes(changes: list[dict[str, Any]]) -> None:
    for change in changes:
        for sign, value in (("-", change["old"]), ("+", change["new"])):
            if value is not None:
                click.echo(f"{sign} {change['key']} = {json.dumps(value)}   ({change['selector'] or 'all'})")
    if not changes:
        click.echo("no difference")


@click.command()
@click.option("--acts", is_flag=True, help="Every act in the audit log, not only revisions.")
@connected
def history(where: Target, acts: bool, as_json: bool) -> None:
    """Show who changed what, when and why, the newest first."""
    found = client.call(where, "GET", "/v1/audit" if acts else "/v1/revisions")
    if as_json:
        show_json(found)
        return
    rows: list[tuple[Any, ...]] = []
    for item in found["acts" if acts else "revisions"]:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(item["at"]))
        if acts:
            more = {k: v for k, v in item.items() if k not in ("at", "who", "what", "before")}
            rows.append((when, item["who"], item["what"], json.dumps(more)[:200]))
        else:
            rows.append((item["number"], when, item["author"], item["selector"] or "all", item["reason"]))
    print_table(("when", "who", "what", "details") if acts else ("revision", "when", "who", "for", "why"), rows)


@click.command()
@SELECTOR
@click.option("--every", type=click.FloatRange(0.2, 60), default=2.0, show_default=True, help="Seconds.")
@click.option("--count", type=click.IntRange(0), default=0, help="Stop after so many looks; 0: never.")
@connected
def top(where: Target, selector: str, every: float, count: int, as_json: bool) -> None:
    """Watch instances: answers a second, bad share, lag, the busiest first."""
    before: dict[str, tuple[float, int, int]] = {}
    looks = 0

    def look() -> list[dict[str, Any]]:
        found = client.call(where, "GET", f"/v1/instances?selector={quoted(selector)}")["instances"]
        now, rows = time.monotonic(), []
        for item in found:
            at, answers, bad = before.get(item["name"], (now, item["answers"], item["bad"]))
            span = max(0.001, now - at)
            got, worse = max(0, item["answers"] - answers), max(0, item["bad"] - bad)
            before[item["name"]] = (now, item["answers"], item["bad"])
            rows.append({"name": item["name"], "state": item["state"], "rate": round(got / span, 1),
                         "bad_share": round(worse / got, 3) if got else 0.0, "open": item["open"],
                         "lag_ms": item["lag_ms"]})  # fmt: skip
        return sorted(rows, key=lambda row: -row["rate"])

    heads = ("instance", "state", "answers/s", "bad", "open", "lag ms")

    def lines(rows: list[dict[str, Any]]) -> list[tuple[Any, ...]]:
        return [
            (r["name"], r["state"], r["rate"], f"{r['bad_share']:.1%}", r["open"], r["lag_ms"]) for r in rows[:50]
        ]

    with Live(console=console, auto_refresh=False, transient=True) as screen:
        while True:
            rows = look()
            if as_json:
                click.echo(json.dumps(rows))
            elif console.is_terminal:
                screen.update(rich_table(heads, lines(rows)), refresh=True)
            else:
                print_table(heads, lines(rows))
            looks += 1
            if count and looks >= count:
                return
            time.sleep(every)
