"""The event loop of a sidecar: asyncio's own, with a cheaper way from a socket's news to whoever wants it.

asyncio makes a handle and a key for each socket that is watched, and puts each piece of news through its queue.
On the request path, where each client and each server may be a new connection, that is a part of what a request
costs. Here `add_reader` and `add_writer` keep a socket's callbacks in one small object, and they are called as
the kernel tells of it. Transports, signals, timers and all else are asyncio's. Any other loop does as well:
nothing in the sidecar asks which one it runs on.
"""

from __future__ import annotations

import asyncio
import logging
import math
import select
import selectors
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

log = logging.getLogger(__name__)

IN, OUT = select.EPOLLIN, select.EPOLLOUT
Callback = Callable[[], None]
MAKE_TRIES, MAKE_PAUSE_S = 50, 0.1  # of a start, while the system has nothing to give


class _Watch:
    """What one descriptor's news is for."""

    __slots__ = ("on_read", "on_write")

    def __init__(self) -> None:
        self.on_read: Callback | None = None
        self.on_write: Callback | None = None


class _Poller(selectors.EpollSelector):
    """asyncio's selector, and beside it the descriptors whose news is told at once."""

    def __init__(self) -> None:
        super().__init__()
        self._poll: select.epoll = self._selector  # type: ignore[attr-defined]
        self._keys: dict[int, selectors.SelectorKey] = self._fd_to_key  # type: ignore[attr-defined]
        self._watches: dict[int, _Watch] = {}
        self._stale: dict[int, _Watch] = {}  # the kernel still tells more of these than is wanted

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout:  # as asyncio has it: rounded up to ms, or a timer that is nearly due would be spun for
            timeout = max(0, math.ceil(timeout * 1e3) * 1e-3)
        watches, keys = self._watches, self._keys
        if self._stale:
            self._narrow_stale()
        try:
            news = self._poll.poll(timeout, len(watches) + len(keys) or 1)
        except InterruptedError:
            return []
        ready, told = [], []
        for fd, event in news:
            if (watch := watches.get(fd)) is not None:
                # By the object and not by the number: while one callback runs another descriptor may be closed,
                # and its number come to stand for a socket of which nothing has been told.
                told.append((watch, event))
            elif (key := keys.get(fd)) is not None:
                wanted = (selectors.EVENT_WRITE if event & ~IN else 0) | (
                    selectors.EVENT_READ if event & ~OUT else 0
                )
                ready.append((key, wanted & key.events))
        for watch, event in told:
            if event & ~OUT and watch.on_read is not None:
                self._tell(watch.on_read)
            if event & ~IN and watch.on_write is not None:
                self._tell(watch.on_write)
        return ready

    @staticmethod
    def _tell(callback: Callback) -> None:
        try:
            callback()
        except Exception:  # a bug costs the connection at hand, never the process
            log.exception("the news of a socket failed by a bug")

    def _narrow(self, fd: int, watch: _Watch) -> None:
        """Tell the kernel that less is wanted. Where it has no memory for that now, it is told before the next
        look: until then its news is passed over."""
        try:
            self._poll.modify(fd, IN if watch.on_read else OUT)
        except OSError:
            self._stale[fd] = watch

    def _narrow_stale(self) -> None:
        stale, self._stale = self._stale, {}
        for fd, watch in stale.items():
            if self._watches.get(fd) is watch and not (watch.on_read and watch.on_write):
                self._narrow(fd, watch)

    def watch(self, fd: int, read: Callback | None, write: Callback | None) -> None:
        """Tell these of a descriptor's news from here on; None leaves what there is."""
        watch = self._watches.get(fd)
        if watch is None:
            self._poll.register(fd, (IN if read else 0) | (OUT if write else 0))
            watch = self._watches[fd] = _Watch()
            watch.on_read, watch.on_write = read, write
            return
        read, write = read or watch.on_read, write or watch.on_write
        self._poll.modify(fd, (IN if read else 0) | (OUT if write else 0))
        watch.on_read, watch.on_write = read, write  # only once the kernel knows

    def unwatch(self, fd: int, read: bool) -> bool:
        """Tell nobody any more of what can be read there, or else of room; whether anybody was told of it."""
        watch = self._watches.get(fd)
        if watch is None or (watch.on_read if read else watch.on_write) is None:
            return False
        if read:
            watch.on_read = None
        else:
            watch.on_write = None
        if watch.on_read or watch.on_write:
            self._narrow(fd, watch)
        else:
            del self._watches[fd]
            with suppress(OSError):  # it was closed before: the kernel has forgotten it by itself
                self._poll.unregister(fd)
        return True


class Loop(asyncio.SelectorEventLoop):
    """asyncio's loop on such a poller."""

    def __init__(self) -> None:
        self._poller = _Poller()
        self._signal_handlers: dict[int, Any] = {}  # asked for by `close` also where the next line fails
        super().__init__(self._poller)

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:
        """As asyncio's, but for what a callback raises: it is logged, and not the exception handler's."""
        number = fd if type(fd) is int else fd.fileno()
        self._poller.watch(number, _bare(callback, args), None)

    def remove_reader(self, fd: Any) -> bool:
        """As asyncio's, which calls it for its own descriptors too."""
        number = fd if type(fd) is int else fd.fileno()
        return self._poller.unwatch(number, read=True) or super().remove_reader(fd)

    def add_writer(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:
        """As asyncio's, but for what a callback raises: it is logged, and not the exception handler's."""
        number = fd if type(fd) is int else fd.fileno()
        self._poller.watch(number, None, _bare(callback, args))

    def remove_writer(self, fd: Any) -> bool:
        """As asyncio's, which calls it for its own descriptors too."""
        number = fd if type(fd) is int else fd.fileno()
        return self._poller.unwatch(number, read=False) or super().remove_writer(fd)


def _bare(callback: Callable[..., Any], args: tuple[Any, ...]) -> Callback:
    return (lambda: callback(*args)) if args else callback


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a process's one coroutine to its end, on such a loop."""
    with asyncio.Runner(loop_factory=_made) as runner:
        runner.run(main)


def _made() -> Loop:
    """A loop, also where the system has no descriptor or memory to give for a moment."""
    for _ in range(MAKE_TRIES):
        try:
            return Loop()
        except OSError as error:
            log.warning("cannot make an event loop yet: %s", error)
            time.sleep(MAKE_PAUSE_S)
    return Loop()
