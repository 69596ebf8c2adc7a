"""The `cindersail tier` commands, which show the state that sidecars share and where their views differ."""

from __future__ import annotations

from collections import Counter
from typing import Any

import click

from covetally.cli import client
from covetally.cli.client import Target
from covetally.cli.shared import SELECTOR, console, print_table, show_json, with_agent_options

InstanceTables = dict[str, dict[str, Any]]


@click.group()
def tier() -> None:
    """Show peers, shared limits and ejected nodes as each sidecar sees them."""


def deviating_members(tables: InstanceTables) -> dict[str, list[str]]:
    """Returns, for each deviating instance, the members whose state it sees differently from the majority."""
    votes: dict[int, Counter[str]] = {}
    for table in tables.values():
        for member in table.get("members", ()):
            votes.setdefault(member["member"], Counter())[member["state"]] += 1
    majority = {number: states.most_common(1)[0][0] for number, states in votes.items()}
    deviations = {}
    for name, table in tables.items():
        members_seen = table.get("members", ())
        states = [f"{m['member']} {m['state']}" for m in members_seen if m["state"] != majority[m["member"]]]
        if states:
            deviations[name] = states
    return deviations


def totals(tables: InstanceTables) -> list[dict[str, Any]]:
    """Returns, for each limit, the sums over all instances that answered, and the configured amounts.

    Instances that did not answer use at most the rest of the limit, which is the sum of their own quotas.
    """
    rows: dict[str, dict[str, Any]] = {}
    for table in tables.values():
        for limit in table.get("limits", ()):
            row = rows.setdefault(limit["limit"], {
                "limit": limit["limit"], "amounts": set(), "usable": 0.0, "lent": 0.0, "demand": 0.0,
                "sidecars": 0,
            })  # fmt: skip
            row["amounts"].add(limit["amount"])
            row["sidecars"] += 1
            for key in ("usable", "lent", "demand"):
                row[key] += limit[key]
    return [row | {"amounts": sorted(row["amounts"])} for row in rows.values()]


@tier.command()
@click.argument("name", required=False)
@SELECTOR
@with_agent_options
def members(target: Target, name: str | None, selector: str, as_json: bool) -> None:
    """Show the members as seen by all selected instances, or by one instance NAME."""
    found = client.instances(target, "/v1/tiers", name, selector)
    deviations = deviating_members(found)
    if as_json:
        show_json({"instances": found, "differ": deviations})
        return
    rows = []
    for instance, table in found.items():
        if "members" not in table:
            rows.append((instance, "", "", "", "", table.get("off") or table.get("error", "?")))
            continue
        states = Counter(member["state"] for member in table["members"])
        note = [f"sees {', '.join(deviations[instance][:6])}"] if instance in deviations else []
        note += [f"{table['twins']} words of another process with its number"] if table["twins"] else []
        rows.append((
            instance, table["member"], table["life"], states["alive"],
            ", ".join(f"{count} {state}" for state, count in states.items() if state != "alive"), "; ".join(note),
        ))  # fmt: skip
    print_table(("instance", "member", "life", "alive", "others", "note"), rows)
    if name and "members" in found[name]:
        print_table(("member", "state", "for s", "accused by"), [
            (member["member"], member["state"], member["for_s"], ", ".join(map(str, member["accused_by"])))
            for member in found[name]["members"]
        ])  # fmt: skip
    console.print(f"{len(found)} instances, {len(deviations)} differ from what most see")


@tier.command()
@click.argument("name", required=False)
@SELECTOR
@with_agent_options
def limits(target: Target, name: str | None, selector: str, as_json: bool) -> None:
    """Show the shared limits: what each sidecar may use, has borrowed and lent, and its demand."""
    found = client.instances(target, "/v1/tiers", name, selector)
    sums = totals(found)
    if as_json:
        show_json({"instances": found, "totals": sums})
        return
    rows = []
    for instance, table in found.items():
        for limit in table.get("limits", ()):
            rows.append((
                limit["limit"], instance,
                *(f"{limit[key]:.4g}" for key in ("own", "borrowed", "lent", "usable", "demand")),
                "just started" if limit["young"] else "",
            ))  # fmt: skip
    print_table(("limit", "instance", "own part", "borrowed", "lent", "usable", "wanted", "note"), rows)
    for row in sums:
        amounts = " or ".join(f"{amount:g}" for amount in row["amounts"])
        console.print(
            f"{row['limit']}: {row['usable']:.4g} usable at {row['sidecars']} sidecars, of {amounts}; "
            f"{row['demand']:.4g} wanted"
        )  # fmt: skip
        if len(row["amounts"]) > 1:
            console.print("  sidecars were told different amounts: each holds to its own part of its own")


@tier.command()
@click.argument("name", required=False)
@SELECTOR
@with_agent_options
def line(target: Target, name: str | None, selector: str, as_json: bool) -> None:
    """Show the fleet-wide admission threshold at each sidecar: its step, since when, why, and what it refused."""
    found = client.instances(target, "/v1/lines", name, selector)
    if as_json:
        show_json({"instances": found})
        return
    rows = []
    for instance, table in found.items():
        if "step" not in table:
            rows.append((instance, "", "", "", "", "", "", table.get("off") or table.get("error", "?")))
            continue
        refused = ", ".join(f"{kind} {count}" for kind, count in table["refused"].items())
        note = f"{table['pin']}, {table['pin_for_s']:g} s left" if table["pin"] else ""
        note = note or (f"{table['lapsed']} has lapsed" if table["lapsed"] else "")
        rows.append((
            instance, table["step"], table["for_s"], table["why"], table["load"], table["voters"], refused, note,
        ))  # fmt: skip
    print_table(("instance", "step", "for s", "why", "load", "voters", "refused", "an operator's hand"), rows)
    steps = Counter(table["step"] for table in found.values() if "step" in table)
    console.print("; ".join(f"{count} at {step}" for step, count in steps.most_common()) or "no line is drawn")


@tier.command()
@click.argument("name", required=False)
@SELECTOR
@with_agent_options
def caps(target: Target, name: str | None, selector: str, as_json: bool) -> None:
    """Show tenants' connection caps: units usable, in use and wanted, and what each owner has lent."""
    found = client.instances(target, "/v1/caps", name, selector)
    if as_json:
        show_json({"instances": found})
        return
    rows, sums = [], {}
    for instance, table in found.items():
        for cap, units in table.get("caps", {}).items():
            owner = units["home"]
            rows.append((
                cap, instance, units["usable"], units["in_use"], units["resting"], units["wanted"],
                f"{owner['lent']} of {owner['units']} lent" if owner else "",
                f"waits for {owner['waits_for']}" if owner and owner["waits_for"] else "",
            ))  # fmt: skip
            usable, in_use, amount, owned = sums.get(cap, (0, 0, units["cap"], 0))
            sums[cap] = (
                usable + units["usable"], in_use + units["in_use"], amount, owned + owner.get("units", 0),
            )  # fmt: skip
    print_table(("cap", "instance", "usable", "in use", "resting", "wanted", "home", "note"), rows)
    for cap, (usable, in_use, amount, owned) in sums.items():
        summary = f"{usable} usable at {len(found)} sidecars, {owned} of {amount} units at home"
        console.print(f"{cap}: {in_use} in use, {summary}")


@tier.command()
@click.argument("name", required=False)
@SELECTOR
@with_agent_options
def verdicts(target: Target, name: str | None, selector: str, as_json: bool) -> None:
    """Show which nodes and zones are reported or ejected, by whom, and the age of the oldest report."""
    found = client.instances(target, "/v1/tiers", name, selector)
    if as_json:
        show_json({"instances": found})
        return
    subjects: dict[tuple[str, int], list[tuple[str, dict[str, Any]]]] = {}
    for instance, table in found.items():
        for verdict in table.get("verdicts", ()):
            subjects.setdefault((verdict["of"], verdict["class"]), []).append((instance, verdict))
    rows = []
    for (subject, cls), entries in sorted(subjects.items()):
        reporters = sorted({n for _, v in entries for n in v["accused_by"]})
        healthy_for = sorted({n for _, v in entries for n in v["well_for"]})
        rows.append((
            subject, "all" if cls < 0 else cls, f"{sum(v['avoided'] for _, v in entries)} of {len(found)}",
            ", ".join(map(str, reporters)), ", ".join(map(str, healthy_for)), max(v["age_s"] for _, v in entries),
        ))  # fmt: skip
    print_table(("node or zone", "class", "avoided by", "accused by members", "well for members", "age s"), rows)
    if not rows:
        console.print("nothing is accused")
