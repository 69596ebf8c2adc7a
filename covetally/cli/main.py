"""The `cindersail` command: its subcommands and exit codes."""

from __future__ import annotations

import json
import sys
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import click

from covetally.cli import drain, fleet, freeze, roster, tier
from covetally.operator import check as operator_check

BAD_INPUT = 2


def _version() -> str:
    """The version of the installed package."""
    try:
        return version("covetally")
    except PackageNotFoundError:  # run from a checkout that is not installed
        return "unknown"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="cindersail")
def main() -> None:
    """Operate cindersail sidecars.

    Exit status: 0 success, 1 a check failed or some instances failed or refused, 2 invalid input, 3 conflict,
    4 agent unreachable, 5 not allowed.
    """


for _command in (*fleet.COMMANDS, roster.roster, tier.tier, freeze.freeze, drain.drain, drain.outages):
    main.add_command(_command)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(file: Path, as_json: bool) -> None:
    """Check an operators' FILE and list every problem in it."""
    problems: list[operator_check.Problem] = []
    values: operator_check.Values = {}
    try:
        values = operator_check.read(file)
    except operator_check.OperatorError as error:
        problems = error.problems
    if as_json:
        report = {"file": str(file), "settings": values, "problems": [p.as_dict() for p in problems]}
        click.echo(json.dumps(report, indent=2))
    else:
        for problem in problems:
            click.echo(f"{file}: {problem}", err=True)
        if not problems:
            click.echo(f"{file}: {len(values)} settings, all of them will do")
    sys.exit(BAD_INPUT if problems else 0)


@main.command()
@click.option("--seconds", type=click.FloatRange(8, 3600), help="Duration in seconds.  [29; managed: 600]")
@click.option("--nodes", type=click.IntRange(1, 60), default=6, show_default=True, help="Ledger nodes.")
@click.option("--instances", type=click.IntRange(1, 60), default=3, show_default=True, help="Sidecars.")
@click.option("--rate", type=click.FloatRange(1, 2000), default=200.0, show_default=True, help="Requests/s.")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the schedule and the nodes.")
@click.option("--managed", is_flag=True, help="Run under an agent, to try the other commands.")
@click.option("--registry", is_flag=True, help="As --managed, with the nodes in a Eureka registry.")
@click.option("--tier", "peers", is_flag=True, help="As --managed, with a limit that the sidecars share.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON; progress goes to stderr.")
def demo(
    seconds: float | None, nodes: int, instances: int, rate: float, seed: int, managed: bool, registry: bool,
    peers: bool, as_json: bool,
) -> None:  # fmt: skip
    """Run nodes, sidecars and clients on this machine with injected faults, and check the results.

    Exit status 0: every request had exactly one final response and no rule was violated; 1: otherwise.
    """
    from covetally.rig.demo import play, play_managed
    from covetally.rig.world import Shape

    shape = Shape(nodes=nodes, instances=instances, seed=seed, peers=peers)
    if managed or registry or peers:
        sys.exit(play_managed(shape, seconds or 600.0, rate, registry))
    sys.exit(play(shape, seconds or 29.0, rate, as_json))


@main.command("audit-check")
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
def audit_check(file: Path) -> None:
    """Verify the chain of lines in an agent's audit log FILE; exit status 1 if it is broken."""
    from covetally.fleet.audit import verify

    broken_lines = verify(file)
    for line in broken_lines:
        click.echo(line, err=True)
    click.echo(f"{file}: {len(broken_lines)} lines are not in order" if broken_lines else f"{file}: in order")
    sys.exit(1 if broken_lines else 0)


_COMPLETION_SCRIPTS = {
    "bash": 'eval "$(_CINDERSAIL_COMPLETE=bash_source cindersail)"',
    "zsh": 'eval "$(_CINDERSAIL_COMPLETE=zsh_source cindersail)"',
    "fish": "_CINDERSAIL_COMPLETE=fish_source cindersail | source",
}


@main.command()
@click.argument("shell", type=click.Choice(sorted(_COMPLETION_SCRIPTS)))
def completion(shell: str) -> None:
    """Print the line that enables completion, for the start-up file of SHELL."""
    click.echo(_COMPLETION_SCRIPTS[shell])


if __name__ == "__main__":
    main(prog_name="cindersail")
