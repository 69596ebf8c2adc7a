"""`cindersail roster`: what each sidecar believes of the list of nodes, and why; and an operator's word on it."""

from __future__ import annotations

from collections import Counter
from typing import Any

import click

from covetally.cli import client
from covetally.cli.client import ALL_TOOK, SOME_DID_NOT, Target
from covetally.cli.shared import REASON, SELECTOR, connected, console, print_table, show_json


@click.group()
def roster() -> None:
    """Where the list of nodes comes from, what is believed of it, and since when."""


def disagreements(tables: dict[str, dict[str, Any]]) -> dict[str, str]:
    """The instances whose nodes or their states differ from what most have, and how."""
    lists = {
        name: {f"{n['node']} {n['state']}" for n in table["nodes"]}
        for name, table in tables.items()
        if "nodes" in table
    }
    if not lists:
        return {}
    most = set(Counter(frozenset(found) for found in lists.values()).most_common(1)[0][0])
    differ = {}
    for name, found in lists.items():
        words = [f"+{x}" for x in sorted(found - most)] + [f"-{x}" for x in sorted(most - found)]
        if words:
            differ[name] = ", ".join(words[:8]) + (f" and {len(words) - 8} more" if len(words) > 8 else "")
    return differ


@roster.command()
@click.argument("name", required=False)
@SELECTOR
@connected
def show(where: Target, name: str | None, selector: str, as_json: bool) -> None:
    """Show the rosters of all selected instances and where they differ, or all of one instance's NAME."""
    found = client.instances(where, "/v1/rosters", name, selector)
    differ = disagreements(found)
    if as_json:
        show_json({"instances": found, "differ": differ})
        return
    if name:
        _one(found[name])
        return
    rows = []
    for instance, table in found.items():
        if "error" in table:
            rows.append((instance, "?", "", "", "", table["error"]))
            continue
        held = sum(1 for n in table["nodes"] if n.get("held_s") is not None)
        rows.append((
            instance, table["level"], table.get("source", "platform"), len(table["nodes"]), held,
            "; ".join(filter(None, (table["why"], differ.get(instance, "")))),
        ))  # fmt: skip
    print_table(("instance", "level", "source", "nodes", "held", "note"), rows)
    console.print(f"{len(found)} instances, {len(differ)} differ from what most have")


def _one(table: dict[str, Any]) -> None:
    if "error" in table:
        raise client.Failure(table["error"], client.UNREACHABLE)
    since = f" for {table['for_s']} s" if "for_s" in table else ""
    console.print(f"level: {table['level']}{since}{': ' if table['why'] else ''}{table['why']}")
    if "for_s" not in table:
        print_table(("node", "address", "state"), [(n["node"], n["address"], n["state"]) for n in table["nodes"]])
        return
    console.print(f"believed: {table['source']} {table['teller']}, revision {table['revision']}, "
                  f"read {table['read_s']} s ago; mode {table['mode']}")  # fmt: skip
    rows = []
    for n in table["nodes"]:
        note = []
        if n["held_s"] is not None:
            note.append(f"missing for {n['held_s']} s, held")
        if n["contested_s"] is not None:
            note.append(f"{n['contested']}, not believed for {n['contested_s']} s")
        if n["node"] in table["silent"]:
            note.append(f"registered but not answering for {table['silent'][n['node']]} s")
        rows.append((n["node"], n["address"], n["state"], n["word"], "; ".join(note)))
    print_table(("node", "address", "state", "its word", "note"), rows)
    for key, head in (("waiting", "listed again on old evidence"), ("bad", "cannot be used"),
                      ("shared", "passed over, for the same address")):  # fmt: skip
        for node, what in table[key].items():
            console.print(f"{head}: {node}: {what}")
    for source in table["sources"]:
        failing = source["failing"] or "well"
        counts = ", ".join(f"{k} {v}" for k, v in source["counts"].items())
        console.print(f"source {source['source']}: {failing}; {counts}")
    if table["differs"] is not None:
        lines = [f"{kind}: {x}" for kind, found in table["differs"].items() for x in found]
        console.print("compared: " + ("; ".join(lines[:20]) or "no difference"))
    if table["checks"]:
        console.print(f"checks: {table['checks']}")


def _order(word: str, text: str) -> click.Command:
    @roster.command(word, help=text)
    @SELECTOR
    @REASON
    @connected
    def command(where: Target, selector: str, reason: str, as_json: bool) -> None:
        body = {"selector": selector, "reason": reason}
        found = client.call(where, "POST", f"/v1/{word}", body)["instances"]
        if as_json:
            show_json({"instances": found})
        else:
            print_table(("instance", "done", "why not"), [(i["name"], i["done"], i["error"]) for i in found])
        raise SystemExit(ALL_TOOK if all(i["done"] for i in found) else SOME_DID_NOT)

    return command


believe = _order("believe", "Believe at once what is held against the source's word now.")
hold = _order("hold", "Hold every node that goes missing from now on, until 'auto'; marks are honoured.")
auto = _order("auto", "Neither: doubts end by evidence and by time.")
