"""The event loop of a sidecar: asyncio's own, with cheaper dispatch of socket events.

asyncio keeps a handle and a selector key for each watched socket, and passes each event through its queue. On
the request path, where each client and each server may mean a new connection, that is a notable part of the cost
of a request. This loop's `add_reader` and `add_writer` keep a socket's callbacks in one small object, and the
callbacks run as soon as the kernel reports an event. Transports, signals, timers and everything else are
asyncio's. Any other event loop works as well: nothing in the sidecar depends on this one.
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
CREATE_TRIES, CREATE_PAUSE_S = 50, 0.1  # at the start of a process, while the system lacks resources


class _Watch:
    """The callbacks of one descriptor."""

    __slots__ = ("on_read", "on_write")

    def __init__(self) -> None:
        self.on_read: Callback | None = None
        self.on_write: Callback | None = None


class _Poller(selectors.EpollSelector):
    """asyncio's selector, extended by descriptors whose callbacks are called directly."""

    def __init__(self) -> None:
        super().__init__()
        self._poll: select.epoll = self._selector  # type: ignore[attr-defined]
        self._keys: dict[int, selectors.SelectorKey] = self._fd_to_key  # type: ignore[attr-defined]
        self._watches: dict[int, _Watch] = {}
        self._stale: dict[int, _Watch] = {}  # the kernel still reports more events of these than are needed

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout:  # rounded up to ms as in asyncio, else the loop would spin while a timer is nearly due
            timeout = max(0, math.ceil(timeout * 1e3) * 1e-3)
        watches, keys = self._watches, self._keys
        if self._stale:
            self._narrow_stale()
        try:
            events = self._poll.poll(timeout, len(watches) + len(keys) or 1)
        except InterruptedError:
            return []
        ready, watched = [], []
        for fd, event in events:
            if (watch := watches.get(fd)) is not None:
                # Keeps the object instead of the descriptor: a callback may close another descriptor, and its
                # number may be reused for a socket that has no event.
                watched.append((watch, event))
            elif (key := keys.get(fd)) is not None:
                mask = (selectors.EVENT_WRITE if event & ~IN else 0) | (
                    selectors.EVENT_READ if event & ~OUT else 0
                )
                ready.append((key, mask & key.events))
        for watch, event in watched:
            if event & ~OUT and watch.on_read is not None:
                self._run(watch.on_read)
            if event & ~IN and watch.on_write is not None:
                self._run(watch.on_write)
        return ready

    @staticmethod
    def _run(callback: Callback) -> None:
        try:
            callback()
        except Exception:  # a bug affects only the connection at hand, not the process
            log.exception("unhandled exception in a socket callback")

    def _narrow(self, fd: int, watch: _Watch) -> None:
        """Reduce the events that the kernel reports for a descriptor.

        If the kernel has no memory for the change, it is repeated before the next poll; until then surplus events
        are ignored.
        """
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
        """Set the callbacks of a descriptor; None keeps the current one."""
        watch = self._watches.get(fd)
        if watch is None:
            self._poll.register(fd, (IN if read else 0) | (OUT if write else 0))
            watch = self._watches[fd] = _Watch()
            watch.on_read, watch.on_write = read, write
            return
        read, write = read or watch.on_read, write or watch.on_write
        self._poll.modify(fd, (IN if read else 0) | (OUT if write else 0))
        watch.on_read, watch.on_write = read, write  # only after the kernel has accepted the change

    def unwatch(self, fd: int, read: bool) -> bool:
        """Remove the read callback of a descriptor, or else its write callback; returns whether it had one."""
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
            with suppress(OSError):  # the descriptor was closed before, so the kernel has removed it already
                self._poll.unregister(fd)
        return True


class Loop(asyncio.SelectorEventLoop):
    """asyncio's event loop on a `_Poller`."""

    def __init__(self) -> None:
        self._poller = _Poller()
        self._signal_handlers: dict[int, Any] = {}  # `close` needs it even if the next line raises
        super().__init__(self._poller)

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:
        """As in asyncio, except that an exception in the callback is logged and not passed to the exception
        handler."""
        number = fd if type(fd) is int else fd.fileno()
        self._poller.watch(number, _without_args(callback, args), None)

    def remove_reader(self, fd: Any) -> bool:
        """As in asyncio, which also calls it for its own descriptors."""
        number = fd if type(fd) is int else fd.fileno()
        return self._poller.unwatch(number, read=True) or super().remove_reader(fd)

    def add_writer(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:
        """As in asyncio, except that an exception in the callback is logged and not passed to the exception
        handler."""
        number = fd if type(fd) is int else fd.fileno()
        self._poller.watch(number, None, _without_args(callback, args))

    def remove_writer(self, fd: Any) -> bool:
        """As in asyncio, which also calls it for its own descriptors."""
        number = fd if type(fd) is int else fd.fileno()
        return self._poller.unwatch(number, read=False) or super().remove_writer(fd)


def _without_args(callback: Callable[..., Any], args: tuple[Any, ...]) -> Callback:
    return (lambda: callback(*args)) if args else callback


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run the main coroutine of a process on a `Loop` until it returns."""
    with asyncio.Runner(loop_factory=_create_loop) as runner:
        runner.run(main)


def _create_loop() -> Loop:
    """Create an event loop; retries for a while if the system has no descriptors or memory."""
    for _ in range(CREATE_TRIES):
        try:
            return Loop()
        except OSError as error:
            log.warning("cannot create an event loop yet: %s", error)
            time.sleep(CREATE_PAUSE_S)
    return Loop()
