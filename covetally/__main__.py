"""One sidecar process: configuration, signals, exit status."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

from covetally.interface import SECOND, Directory
from covetally.net.clock import Clock
from covetally.net.config import Config, ConfigError, load
from covetally.net.discovery import Discovery, ListError, News, read_list
from covetally.net.frontend import Frontend
from covetally.net.peers import Peers
from covetally.net.sidecar import Sidecar
from covetally.net.upstream import Upstream

log = logging.getLogger("covetally")

CLIENT_SHARE = 0.5  # of the descriptors; with upstream's, a tenth is left for everything else and for bursts
UPSTREAM_SHARE = 0.4
DRAIN_SPARE_S = 0.5  # SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM
LOG_BURST, LOG_PER_S = 50.0, 5.0


class RateLimit(logging.Filter):
    """Bounds the log: trouble that repeats a thousand times a second is told a few times."""

    def __init__(self) -> None:
        super().__init__()
        self._left = LOG_BURST
        self._at = 0.0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        self._left = min(LOG_BURST, self._left + (record.created - self._at) * LOG_PER_S)
        self._at = record.created
        if record.levelno != logging.INFO and self._left < 1.0:
            self._dropped += 1
            return False
        self._left -= 1.0
        if self._dropped:
            record.msg, self._dropped = f"{record.msg} ({self._dropped} lines dropped before this)", 0
        return True


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT, then drain."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    early = asyncio.Event()  # a reload asked for before there is anything to reload
    loop.add_signal_handler(signal.SIGHUP, early.set)
    clock, settings = Clock(), config.settings
    upstream = Upstream(settings, config.load_fields, clock, int(config.sockets * UPSTREAM_SHARE))
    peers = Peers(config.peers, config.peers_all)
    discovery = Discovery(settings, config.discovery)
    sidecar = Sidecar(settings, config.seed, clock, upstream, peers.send, discovery.subscribe)
    frontend = Frontend(settings, sidecar, int(config.sockets * CLIENT_SHARE), config.memory)

    def tell(news: News, scope: str) -> None:
        # Upstream first: the module may submit to a server in the same breath as it hears of it.
        upstream.told(news.entries, news.whole)
        sidecar.directory(Directory(scope, tuple(entry for entry, _ in news.entries)))

    try:
        known = read_list(settings, config.known)
    except ListError as error:
        log.warning("known: no usable list: %s", error)
        known = News(0, True, [])
    tell(known, "SAVED")
    discovery.on_list = lambda news: tell(news, "FULL" if news.whole else "INCREMENTAL")
    discovery.on_failure = lambda: sidecar.directory(Directory("FAILED"))
    peers.on_message = sidecar.heard
    if config.peer_listen is not None:
        try:
            await peers.listen(config.peer_listen)
        except OSError as error:
            raise ConfigError(f"peer_listen: {error}") from None
    try:
        address = frontend.listen(config.listen)
    except OSError as error:
        raise ConfigError(f"listen: {error}") from None
    discovery.start()
    gc.freeze()  # what start-up made lives as long as the process: no need to look at it again
    log.info("%s ready at %s:%d", config.name, *address)

    def reload() -> None:
        """Take up what may change while requests are under way; a bad configuration changes nothing."""
        try:
            new = load(os.environ)
        except ConfigError as error:
            log.error("reload: %s: the old configuration stays", error)
            return
        fixed = ("name", "listen", "peer_listen", "sockets", "memory", "settings", "load_fields")
        for key in fixed:
            if getattr(new, key) != getattr(config, key):
                log.warning("reload: %s has changed, which takes a restart", key)
        discovery.move(new.discovery)
        peers.move(new.peers, new.peers_all)
        log.info("%s has taken up its configuration anew", config.name)

    loop.add_signal_handler(signal.SIGHUP, reload)
    if early.is_set():
        reload()
    await stop.wait()
    log.info("%s drains", config.name)
    longest = max(c.deadline_ns for c in settings.classes)
    await frontend.drain(longest / SECOND + DRAIN_SPARE_S)
    discovery.stop()
    log.info("%s ends", config.name)


def main() -> int:
    """Entry point of `python -m covetally`."""
    logging.basicConfig(format="%(asctime)s %(levelname)s %(message)s", level=logging.INFO, stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimit())
    try:
        asyncio.run(serve(load(os.environ)))
    except ConfigError as error:
        print(f"covetally: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
