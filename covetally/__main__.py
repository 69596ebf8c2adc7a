"""The command line of the sidecar: `python -m covetally [--operator FILE]`."""

from __future__ import annotations

import os
import sys

from covetally.net import startup_signals

startup_signals.record_sighup()  # before the slow imports, during which SIGHUP would end the process

from covetally.configuration import Configuration  # noqa: E402
from covetally.logs import configure_logging  # noqa: E402
from covetally.net.config import ConfigError  # noqa: E402
from covetally.net.loop import run  # noqa: E402
from covetally.process import Process  # noqa: E402


def operator_file(arguments: list[str]) -> str | None:
    """Return the path of the operators' file, from `--operator FILE` or COVETALLY_OPERATOR.

    Raises ConfigError on any other arguments.
    """
    match arguments:
        case []:
            return os.environ.get("COVETALLY_OPERATOR") or None
        case ["--operator", path]:
            return path
    raise ConfigError("usage: covetally [--operator FILE]")


async def serve(operator: str | None) -> None:
    """Run one sidecar until it is asked to end. Raises ConfigError if it cannot start."""
    configuration = Configuration(os.environ, operator)
    if "workers.count" in configuration.file_settings:
        from covetally.workers.supervisor import Supervisor

        await Supervisor(configuration, operator).run()
    else:
        await Process(configuration).run()


def main() -> int:
    """Run the sidecar and return its exit status: 0 after a drain, 2 if it cannot start."""
    configure_logging()
    try:
        run(serve(operator_file(sys.argv[1:])))
    except ConfigError as error:
        print(f"covetally: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
