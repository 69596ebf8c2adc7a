"""`cindersail agent`: the agent's own command."""

from __future__ import annotations

import asyncio
import logging
import sys
from pathlib import Path

import click

from covetally.cli import client
from covetally.cli.client import BAD_INPUT, Failure


def _address(text: str | None, option: str) -> tuple[str, int] | None:
    if text is None:
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise Failure(f"{option} {text}: has to be HOST:PORT", BAD_INPUT)
    return host, int(port)


@click.command()
@click.option("--state", type=click.Path(path_type=Path), default=client.default_state, help="Its folder.")
@click.option("--listen", metavar="HOST:PORT", help="Operators over TCP too; needs --tokens.")
@click.option("--listen-instances", metavar="HOST:PORT", help="Instances over TCP too; needs --tokens.")
@click.option("--tokens", type=click.Path(path_type=Path), help="Lines of NAME RIGHT TOKEN.")
@click.option("--supervise", type=click.Path(path_type=Path), help="Instances to start and keep running.")
@click.option("--stop-instances", is_flag=True, help="At the end stop the supervised instances too.")
@click.option(
    "--recover",
    "recover_s",
    type=click.FloatRange(0, 3600),
    default=10.0,
    show_default=True,
    help="With a new store, listen so long for what instances have.",
)
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def agent(
    state: Path, listen: str | None, listen_instances: str | None, tokens: Path | None, supervise: Path | None,
    stop_instances: bool, recover_s: float, log_level: str,
) -> None:  # fmt: skip
    """Run the agent that the instances dial and the other commands speak to."""
    from covetally.fleet import serve

    options = serve.Options(
        state=state.absolute(),
        operators=_address(listen, "--listen"),
        instances=_address(listen_instances, "--listen-instances"),
        tokens=tokens,
        supervise=supervise,
        stop_instances=stop_instances,
        recover_s=recover_s,
    )
    form = "%(asctime)s %(levelname)s %(message)s"
    logging.basicConfig(format=form, level=log_level.upper(), stream=sys.stderr)
    try:
        asyncio.run(serve.run(options))
    except serve.StartError as error:
        raise Failure(str(error), BAD_INPUT) from None
