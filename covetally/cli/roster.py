"""The `cindersail roster` commands, which show and control the node list that each sidecar uses."""

from __future__ import annotations

from collections import Counter
from typing import Any

import click

from covetally.cli import client
from covetally.cli.client import ALL_SUCCEEDED, SOME_FAILED, Target
from covetally.cli.shared import REASON, SELECTOR, console, print_table, show_json, with_agent_options


@click.group()
def roster() -> None:
    """Show and control the node list of each sidecar: its source, its nodes and its state."""


def disagreements(tables: dict[str, dict[str, Any]]) -> dict[str, str]:
    """Returns how the nodes and node states of each deviating instance differ from the most common list."""
    node_lists = {
        name: {f"{node['node']} {node['state']}" for node in table["nodes"]}
        for name, table in tables.items()
        if "nodes" in table
    }
    if not node_lists:
        return {}
    most_common = set(Counter(frozenset(nodes) for nodes in node_lists.values()).most_common(1)[0][0])
    differences = {}
    for name, nodes in node_lists.items():
        changes = [f"+{x}" for x in sorted(nodes - most_common)] + [f"-{x}" for x in sorted(most_common - nodes)]
        if changes:
            differences[name] = ", ".join(changes[:8]) + (
                f" and {len(changes) - 8} more" if len(changes) > 8 else ""
            )
    return differences


@roster.command()
@click.argument("name", required=False)
@SELECTOR
@with_agent_options
def show(target: Target, name: str | None, selector: str, as_json: bool) -> None:
    """Show the node lists of the selected instances and their differences, or the full list of instance NAME."""
    tables = client.instances(target, "/v1/rosters", name, selector)
    differences = disagreements(tables)
    if as_json:
        show_json({"instances": tables, "differ": differences})
        return
    if name:
        _print_instance(tables[name])
        return
    rows = []
    for instance, table in tables.items():
        if "error" in table:
            rows.append((instance, "?", "", "", "", table["error"]))
            continue
        held = sum(1 for node in table["nodes"] if node.get("held_s") is not None)
        rows.append((
            instance, table["level"], table.get("source", "platform"), len(table["nodes"]), held,
            "; ".join(filter(None, (table["why"], differences.get(instance, "")))),
        ))  # fmt: skip
    print_table(("instance", "level", "source", "nodes", "held", "note"), rows)
    console.print(f"{len(tables)} instances, {len(differences)} differ from what most have")


def _print_instance(table: dict[str, Any]) -> None:
    """Prints the node list of one instance with the state of its sources."""
    if "error" in table:
        raise client.Failure(table["error"], client.UNREACHABLE)
    since = f" for {table['for_s']} s" if "for_s" in table else ""
    console.print(f"level: {table['level']}{since}{': ' if table['why'] else ''}{table['why']}")
    if "for_s" not in table:
        print_table(("node", "address", "state"), [
            (node["node"], node["address"], node["state"]) for node in table["nodes"]
        ])  # fmt: skip
        return
    console.print(f"believed: {table['source']} {table['teller']}, revision {table['revision']}, "
                  f"read {table['read_s']} s ago; mode {table['mode']}")  # fmt: skip
    rows = []
    for node in table["nodes"]:
        note = []
        if node["held_s"] is not None:
            note.append(f"missing for {node['held_s']} s, held")
        if node["contested_s"] is not None:
            note.append(f"{node['contested']}, not believed for {node['contested_s']} s")
        if node["node"] in table["silent"]:
            note.append(f"registered but not answering for {table['silent'][node['node']]} s")
        rows.append((node["node"], node["address"], node["state"], node["word"], "; ".join(note)))
    print_table(("node", "address", "state", "its word", "note"), rows)
    for key, head in (("waiting", "listed again on old evidence"), ("bad", "cannot be used"),
                      ("shared", "passed over, for the same address")):  # fmt: skip
        for name, detail in table[key].items():
            console.print(f"{head}: {name}: {detail}")
    for source in table["sources"]:
        failing = source["failing"] or "well"
        counts = ", ".join(f"{k} {v}" for k, v in source["counts"].items())
        console.print(f"source {source['source']}: {failing}; {counts}")
    if table["differs"] is not None:
        lines = [f"{kind}: {x}" for kind, entries in table["differs"].items() for x in entries]
        console.print("compared: " + ("; ".join(lines[:20]) or "no difference"))
    if table["checks"]:
        console.print(f"checks: {table['checks']}")


def _order_command(action: str, help_text: str) -> click.Command:
    """Creates the command that sends one order about the node list to the selected instances."""

    @roster.command(action, help=help_text)
    @SELECTOR
    @REASON
    @with_agent_options
    def command(target: Target, selector: str, reason: str, as_json: bool) -> None:
        body = {"selector": selector, "reason": reason}
        results = client.call(target, "POST", f"/v1/{action}", body)["instances"]
        if as_json:
            show_json({"instances": results})
        else:
            print_table(("instance", "done", "why not"), [
                (result["name"], result["done"], result["error"]) for result in results
            ])  # fmt: skip
        raise SystemExit(ALL_SUCCEEDED if all(result["done"] for result in results) else SOME_FAILED)

    return command


believe = _order_command(
    "believe", "Accept the list of the source now, including the removals that are held back."
)
hold = _order_command(
    "hold", "Keep every node that goes missing from now on, until 'auto'; state changes still apply."
)
auto = _order_command("auto", "Return to automatic mode: missing nodes are removed by evidence or by timeout.")
