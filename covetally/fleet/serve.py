"""The process of the agent, started by `cindersail agent`: assembles its parts and serves until it is stopped."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
import resource
import signal
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web

from covetally.errors import ConfigurationError
from covetally.fleet import api, supervisor
from covetally.fleet.agent import Agent
from covetally.fleet.audit import Audit
from covetally.fleet.links import Links
from covetally.fleet.store import Store, StoreError
from covetally.fleet.supervisor import Supervisor, SuperviseError
from covetally.fleet.tokens import TokenError, Tokens
from covetally.loop_monitor import LoopMonitor
from covetally.signals import SignalHandlers

log = logging.getLogger(__name__)

STORE_FILE, AUDIT_FILE, LOCK_FILE = "agent.db", "audit.log", "lock"
OPERATORS_SOCKET, INSTANCES_SOCKET = "operators.sock", "instances.sock"
SHUTDOWN_TIMEOUT_S = 2.0


class StartError(ConfigurationError):
    """The agent cannot start; the message gives the reason."""

    code = "agent-start"
    remedy = "Correct the named problem, and start the agent again."


@dataclass(frozen=True, slots=True)
class Options:
    """The options of `cindersail agent`. Addresses are (host, port) or None."""

    state: Path
    operators: tuple[str, int] | None = None
    instances: tuple[str, int] | None = None
    tokens: Path | None = None
    supervise: Path | None = None
    stop_instances: bool = False
    recover_s: float = 10.0


def _lock(state: Path) -> int:
    """Lock the state folder, so that no two agents make decisions on the same state; returns the descriptor."""
    descriptor = os.open(state / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        raise StartError(f"{state}: another agent runs on this folder") from None
    return descriptor


def _raise_descriptor_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        log.debug("limit of open files: %d, previously %d", hard, soft)


def _prepare(options: Options) -> tuple[Store, Audit, Tokens | None, list[supervisor.Program]]:
    tcp_address = options.operators or options.instances
    if tcp_address and options.tokens is None:
        raise StartError("--tokens is required to listen on a TCP address")
    try:
        options.state.mkdir(parents=True, exist_ok=True, mode=0o700)
        _lock(options.state)
        tokens = Tokens(options.tokens) if options.tokens is not None else None
        programs = supervisor.read(options.supervise) if options.supervise is not None else []
        return Store(options.state / STORE_FILE), Audit(options.state / AUDIT_FILE), tokens, programs
    except TokenError as error:
        raise StartError(f"{options.tokens}: {error}") from None
    except (OSError, StoreError, SuperviseError) as error:
        raise StartError(str(error)) from None


async def run(options: Options) -> None:
    """Run the agent until SIGTERM or SIGINT; raises StartError if it cannot start."""
    _raise_descriptor_limit()
    store, audit, tokens, programs = _prepare(options)
    agent = Agent(store, audit, tokens.admits if tokens is not None else None, options.recover_s)
    process_supervisor = Supervisor(store, programs, lambda name, text: audit.write("agent", text, instance=name))
    agent.instance_requests.restarter = process_supervisor.restart
    agent.supervised = process_supervisor.as_dict
    links = Links(agent)
    runner = web.AppRunner(
        api.application(agent, audit, tokens), access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    stop = asyncio.Event()
    monitor = LoopMonitor()
    monitor.start()
    signals = SignalHandlers()
    for number in (signal.SIGTERM, signal.SIGINT):
        signals.on(number, stop.set)
    try:
        agent.open()
        await _listen(options, links, runner)
        process_supervisor.start()
        log.info("agent ready, state in %s", options.state)
        await stop.wait()
    except OSError as error:
        raise StartError(str(error)) from None
    finally:
        monitor.stop()
        links.close()
        await process_supervisor.stop(options.stop_instances)
        await runner.cleanup()
        agent.close()
        store.close()
        audit.close()


async def _listen(options: Options, links: Links, runner: web.AppRunner) -> None:
    path = options.state / OPERATORS_SOCKET
    path.unlink(missing_ok=True)
    mask = os.umask(0o177)
    try:
        await web.UnixSite(runner, str(path)).start()
    finally:
        os.umask(mask)
    if options.operators is not None:
        await web.TCPSite(runner, *options.operators).start()
        log.info("operators at %s:%d", *runner.addresses[-1][:2])
    await links.listen_unix(options.state / INSTANCES_SOCKET)
    if options.instances is not None:
        port = await links.listen_tcp(*options.instances)
        log.info("instances at %s:%d", options.instances[0], port)
