"""The `cindersail agent` command, which runs the agent."""

from __future__ import annotations

import asyncio
import logging
import sys
from pathlib import Path

import click

from covetally.cli import client
from covetally.cli.client import BAD_INPUT, Failure


def _parse_address(text: str | None, option: str) -> tuple[str, int] | None:
    """Parses HOST:PORT; raises Failure that names `option` if `text` is malformed."""
    if text is None:
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise Failure(f"{option} {text}: has to be HOST:PORT", BAD_INPUT)
    return host, int(port)


@click.command()
@click.option(
    "--state",
    type=click.Path(path_type=Path),
    default=client.default_state_directory,
    help="Directory for the agent's state.",
)
@click.option("--listen", metavar="HOST:PORT", help="Also accept operators over TCP; needs --tokens.")
@click.option("--listen-instances", metavar="HOST:PORT", help="Also accept instances over TCP; needs --tokens.")
@click.option("--tokens", type=click.Path(path_type=Path), help="File with lines of NAME RIGHT TOKEN.")
@click.option(
    "--supervise",
    type=click.Path(path_type=Path),
    help="File of instances to start and keep running.",
)
@click.option("--stop-instances", is_flag=True, help="Stop the supervised instances when the agent stops.")
@click.option(
    "--recover",
    "recover_s",
    type=click.FloatRange(0, 3600),
    default=10.0,
    show_default=True,
    help="With a new store, seconds to wait for instances to report their settings.",
)
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def agent(
    state: Path, listen: str | None, listen_instances: str | None, tokens: Path | None, supervise: Path | None,
    stop_instances: bool, recover_s: float, log_level: str,
) -> None:  # fmt: skip
    """Run the agent to which the instances and the other commands connect."""
    from covetally.fleet import serve

    options = serve.Options(
        state=state.absolute(),
        operators=_parse_address(listen, "--listen"),
        instances=_parse_address(listen_instances, "--listen-instances"),
        tokens=tokens,
        supervise=supervise,
        stop_instances=stop_instances,
        recover_s=recover_s,
    )
    log_format = "%(asctime)s %(levelname)s %(message)s"
    logging.basicConfig(format=log_format, level=log_level.upper(), stream=sys.stderr)
    try:
        asyncio.run(serve.run(options))
    except serve.StartError as error:
        raise Failure(str(error), BAD_INPUT) from None
