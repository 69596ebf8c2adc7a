"""Starts a module of the program unchanged, with a schedule of faults in its system calls.

    RIG_FAULTS=SCHEDULE python -m covetally.rig.fault_launcher MODULE [ARGUMENT ...]

The faults are put into Python's own border to the system (`socket.socket`, `select.epoll`, `os`, `open`, the wall
clock): no preload, no rights. What the C library calls by itself is not reached, nor is a child process. SCHEDULE
is `FaultSchedule.text()`.
"""

from __future__ import annotations

import asyncio
import atexit
import builtins
import errno
import io
import json
import os
import runpy
import select
import selectors
import signal
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

from covetally.rig.system_faults import PAUSE, SHORT, WAKEUP, FaultSchedule, Injector

VARIABLE = "RIG_FAULTS"
_monotonic_ns, _sleep = time.monotonic_ns, time.sleep


class _Border:
    """Asks the injector before each call."""

    def __init__(self, injector: Injector) -> None:
        self._injector = injector

    def meet(self, call: str) -> bool:
        """OSError if the call is to fail; whether it is to be short."""
        now_ns = _monotonic_ns()
        pause = self._injector.next(PAUSE, now_ns)
        if pause is not None:
            _sleep(pause.step_s)
        fault = self._injector.next(call, now_ns)
        if fault is None:
            return False
        if fault.how == SHORT:
            return True
        number = getattr(errno, fault.how)
        raise OSError(number, f"{os.strerror(number)} (injected)")

    def off_ns(self) -> int:
        """By how much the wall clock is off."""
        return self._injector.clock_step_ns(_monotonic_ns())


def _patch_sockets(border: _Border) -> None:
    real = socket.socket

    class FaultySocket(real):  # type: ignore[misc, valid-type]
        """A socket whose calls may fail. A connection that was accepted is only made short: if it broke, whoever
        is at its other end would have to know that no answer can come."""

        __slots__ = ("accepted",)

        def meet(self, call: str) -> bool:
            """As the border's; only what stands for a network is reached, not the loop's own pipe."""
            return self.family == socket.AF_INET and border.meet(f"client_{call}" if self.accepted else call)

        def __init__(self, *args: Any, **more: Any) -> None:
            self.accepted = False
            if more.get("fileno") is None and (len(args) < 4 or args[3] is None):
                border.meet("socket")
            super().__init__(*args, **more)

        def accept(self) -> tuple[socket.socket, Any]:
            border.meet("accept")
            connection, address = super().accept()
            connection.accepted = True  # type: ignore[attr-defined]
            return connection, address

        def connect(self, address: Any) -> None:
            border.meet("connect")
            super().connect(address)

        def connect_ex(self, address: Any) -> int:
            try:
                border.meet("connect")
            except OSError as error:
                return error.errno or 0
            return super().connect_ex(address)

        def recv(self, size: int, flags: int = 0) -> bytes:
            short = self.meet("recv")
            return super().recv(min(1, size) if short else size, flags)

        def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
            short = self.meet("recv")
            return super().recv_into(buffer, 1 if short else nbytes, flags)

        def send(self, data: Any, flags: int = 0) -> int:
            short = self.meet("send")
            return super().send(memoryview(data)[:1] if short else data, flags)

        def setsockopt(self, *args: Any) -> None:
            border.meet("setsockopt")
            super().setsockopt(*args)

        def getsockopt(self, *args: Any) -> Any:
            border.meet("getsockopt")
            return super().getsockopt(*args)

    socket.socket = FaultySocket  # type: ignore[misc]


class _FaultyEpoll:
    """An epoll object whose calls may fail."""

    border: _Border

    def __init__(self) -> None:
        self._real = select.epoll()

    def poll(self, timeout: float | None = None, maxevents: int = -1) -> list[tuple[int, int]]:
        self.border.meet("epoll_wait")
        return self._real.poll(timeout, maxevents)

    def register(self, fd: int, eventmask: int) -> None:
        self.border.meet("epoll_ctl")
        self._real.register(fd, eventmask)

    def modify(self, fd: int, eventmask: int) -> None:
        self.border.meet("epoll_ctl")
        self._real.modify(fd, eventmask)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


def _patch_epoll(border: _Border) -> None:
    _FaultyEpoll.border = border
    selectors.EpollSelector._selector_cls = _FaultyEpoll  # type: ignore[attr-defined]


def _patch_clock(border: _Border) -> None:
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + border.off_ns() / 1e9  # type: ignore[assignment]
    time.time_ns = lambda: real_ns() + border.off_ns()  # type: ignore[assignment]


def _patch_wakeup() -> None:
    """Let each write fail by which a signal wakes the loop: CPython's goes to a pipe that is full, and asyncio's,
    whose failure asyncio ignores, is not made."""
    real = signal.set_wakeup_fd
    _, full = os.pipe()
    os.set_blocking(full, False)
    try:
        while os.write(full, bytes(4096)):
            pass
    except BlockingIOError:
        pass

    def set_wakeup_fd(fd: int, *, warn_on_full_buffer: bool = True) -> int:
        del warn_on_full_buffer
        return real(fd if fd < 0 else full, warn_on_full_buffer=False)

    signal.set_wakeup_fd = set_wakeup_fd  # type: ignore[assignment]
    asyncio.SelectorEventLoop._write_to_self = lambda loop: None  # type: ignore[attr-defined]


def _faulty(border: _Border, call: str, real: Callable[..., Any]) -> Callable[..., Any]:
    def meet(*args: Any, **more: Any) -> Any:
        border.meet(call)
        return real(*args, **more)

    return meet


def _patch_files(border: _Border) -> None:
    real_open = builtins.open

    def faulty_open(file: Any, mode: str = "r", *args: Any, **more: Any) -> Any:
        if not set(mode) & set("wax+"):
            return real_open(file, mode, *args, **more)
        border.meet("open")
        opened = real_open(file, mode, *args, **more)
        raw = getattr(opened, "buffer", opened)
        real_write = raw.write

        def write(data: Any) -> int:
            if border.meet("write"):
                real_write(memoryview(data)[: len(data) // 2])
                raise OSError(errno.ENOSPC, "half a write (injected)")
            return real_write(data)

        if isinstance(raw, io.BufferedWriter | io.BufferedRandom) and opened is raw:
            return _FaultyFile(opened, write)
        return _FaultyFile(opened, lambda data: write(data.encode()) if isinstance(data, str) else write(data))

    builtins.open = faulty_open  # type: ignore[assignment]
    for call, name in (("fsync", "fsync"), ("rename", "rename"), ("rename", "replace"), ("unlink", "unlink")):
        setattr(os, name, _faulty(border, call, getattr(os, name)))
    real_os_open, real_os_write = os.open, os.write

    def os_open(path: Any, flags: int, *args: Any, **more: Any) -> int:
        if flags & (os.O_WRONLY | os.O_RDWR):
            border.meet("open")
        return real_os_open(path, flags, *args, **more)

    def os_write(fd: int, data: Any) -> int:
        if border.meet("write"):
            return real_os_write(fd, memoryview(data)[: max(1, len(data) // 2)])
        return real_os_write(fd, data)

    os.open, os.write = os_open, os_write


class _FaultyFile:
    """A file whose writes may fail."""

    def __init__(self, opened: Any, write: Callable[[Any], int]) -> None:
        self._opened, self.write = opened, write

    def __enter__(self) -> _FaultyFile:
        return self

    def __exit__(self, *_: object) -> None:
        self._opened.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._opened, name)


def _report(injector: Injector) -> None:
    path = injector.schedule.report
    if path:
        text = json.dumps({"calls": injector.calls, "failed": injector.failed})
        fd = os.open(path, os.O_CREAT | os.O_RDWR | os.O_TRUNC, 0o600)
        os.write(fd, text.encode())


def main() -> None:
    """See the module's head."""
    schedule = FaultSchedule.read(os.environ.pop(VARIABLE))
    injector = Injector(schedule)
    border = _Border(injector)
    real_open, real_write = os.open, os.write

    def report() -> None:
        os.open, os.write = real_open, real_write
        _report(injector)

    atexit.register(report)
    module, *arguments = sys.argv[1:]
    sys.argv[:] = [module, *arguments]
    _patch_sockets(border)
    _patch_epoll(border)
    _patch_clock(border)
    if injector.has(WAKEUP):
        _patch_wakeup()
    _patch_files(border)
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
