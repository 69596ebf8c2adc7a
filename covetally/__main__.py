"""One sidecar process: its command line, its log, its exit status."""

from __future__ import annotations

import os
import sys

from covetally.net import startup_signals

startup_signals.record_sighup()  # before the imports that take their time

from covetally.configuration import Configuration  # noqa: E402
from covetally.logs import set_up  # noqa: E402
from covetally.net.config import ConfigError  # noqa: E402
from covetally.net.loop import run  # noqa: E402
from covetally.process import Process  # noqa: E402


def operator_file(arguments: list[str]) -> str | None:
    """The operators' file, from `--operator FILE` or COVETALLY_OPERATOR; ConfigError on anything else."""
    match arguments:
        case []:
            return os.environ.get("COVETALLY_OPERATOR") or None
        case ["--operator", path]:
            return path
    raise ConfigError("usage: covetally [--operator FILE]")


async def serve(operator: str | None) -> None:
    """Run one sidecar until it is told to end; ConfigError if it cannot be started."""
    configuration = Configuration(os.environ, operator)
    if "workers.count" in configuration.own:
        from covetally.workers.supervisor import Supervisor

        await Supervisor(configuration, operator).run()
    else:
        await Process(configuration).run()


def main() -> int:
    """Entry point of `python -m covetally`."""
    set_up()
    try:
        run(serve(operator_file(sys.argv[1:])))
    except ConfigError as error:
        print(f"covetally: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
