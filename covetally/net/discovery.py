"""Keeps the server list up to date by calling discovery.

    state      meaning                                          next state
    -----      -------                                          ----------
    IDLE       no call is due                                   CALLING by `start` or `subscribe`
    CALLING    the newest call is open, within its timeout      CALLING after an answer and after a first failure,
                                                                PAUSING (pushed) or IDLE (polled) after others
    PAUSING    lists are pushed: the next call is due shortly   CALLING

`stop` leads to IDLE from any state. In each state, calls that timed out may still be open in addition. The first
complete answer of any call is used, and all other calls are closed. An answer that takes longer than a call's
timeout is therefore received, however often that happens.
"""

from __future__ import annotations

import asyncio
import enum
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from covetally.interface import Settings
from covetally.net import discovery_schedule
from covetally.net.config import Address
from covetally.net.discovery_call import DiscoveryCall
from covetally.net.http_message import Malformed
from covetally.net.memory import MemoryAccount
from covetally.net.server_list import (
    ListError,
    ListUpdate,
    parse_generation,
    parse_list,
    parse_partial_list,
)
from covetally.net.async_connection import AsyncConnection

log = logging.getLogger(__name__)

PATH = "/catalog/members"


class State(enum.Enum):
    """The states in the table at the head of this module."""

    IDLE = enum.auto()
    CALLING = enum.auto()
    PAUSING = enum.auto()


@dataclass(slots=True, eq=False)
class _OpenCall:
    """A call that may still be answered. Times are seconds on the loop's clock."""

    call: DiscoveryCall
    timing: discovery_schedule.CallTiming
    started: float
    task: asyncio.Task[bytes]
    timer: asyncio.TimerHandle  # ends its timeout; after that, closes it
    used_entries: int = 0  # of an incomplete answer


class Discovery:
    """Watches the server list. The last known list stays in use while discovery is down."""

    def __init__(self, settings: Settings, address: Address, memory: MemoryAccount) -> None:
        self._memory = memory
        self._pushed = not settings.must_subscribe
        self._settings = settings
        self._grace_s = settings.invariants.drain_grace_ns / 1e9
        self._address = address
        self._index: int | None = None  # the version of the known list
        self._connection: AsyncConnection | None = None  # kept open between calls
        self._failing = False  # the newest call that ended or timed out has failed
        self._state = State.IDLE
        self._newest: _OpenCall | None = None
        self._kept: list[_OpenCall] = []  # timed out, but may still be answered
        self._kept_started = float("-inf")  # when the call that was kept last started
        self._pause: asyncio.TimerHandle | None = None
        self.on_update: Callable[[ListUpdate], None]
        self.on_failure: Callable[[], None]

    # --- control --------------------------------------------------------------------------------

    def start(self) -> None:
        """Start the watch where lists are pushed; it goes on until `stop`."""
        if self._pushed and self._state is State.IDLE:
            self._call()

    def subscribe(self) -> None:
        """Start the watch where lists are polled, at the request of the policy; it goes on until calls fail.

        The first failed call is repeated at once, because the server may have closed the kept connection. After
        each further failure the policy decides when to call again.
        """
        if not self._pushed and self._state is State.IDLE:
            self._call()

    def stop(self) -> None:
        """End the watch."""
        self._state = State.IDLE
        self._close_calls()
        self._end_pause()
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def restart(self) -> None:
        """Start a new watch, which begins with the full list."""
        self.stop()
        self._index, self._failing = None, False
        self.start()
        self.subscribe()

    def set_address(self, address: Address) -> None:
        """Change discovery's address; pending answers from the old address are dropped.

        The version numbers of the two are unrelated, so the first call asks for the full list.
        """
        if address == self._address:
            return
        watching = self._state is not State.IDLE
        self.stop()
        self._address, self._index, self._failing = address, None, False
        if watching:
            self._call()

    # --- calls ----------------------------------------------------------------------------------

    def _call(self) -> None:
        """Start the next call. No other call is within its timeout."""
        assert self._newest is None
        loop = asyncio.get_running_loop()
        self._state = State.CALLING
        self._end_pause()
        timing = discovery_schedule.next_call(self._pushed, self._index is not None, self._failing, self._grace_s)
        target = PATH if timing.wait_ms < 0 else f"{PATH}?index={self._index}&wait={timing.wait_ms}"
        call = DiscoveryCall(self._address, target, self._take_connection(), self._memory)
        task = loop.create_task(call.run())
        timer = loop.call_later(timing.timeout_s, self._time_out)
        self._newest = open_call = _OpenCall(call, timing, loop.time(), task, timer)
        task.add_done_callback(partial(self._call_done, open_call))

    def _end_pause(self) -> None:
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None

    def _take_connection(self) -> AsyncConnection | None:
        connection, self._connection = self._connection, None
        if connection is not None and connection.has_input():
            connection.close()
            return None
        return connection

    def _time_out(self) -> None:
        """Handle the timeout of the newest call. The call may stay open beside the next ones."""
        open_call, self._newest = self._newest, None
        assert open_call is not None
        self._use_partial_list(open_call)
        keep_s = discovery_schedule.keep_open_s(self._pushed, open_call.timing)
        if open_call.started - self._kept_started >= keep_s / discovery_schedule.MAX_KEPT_CALLS or not self._kept:
            self._kept.append(open_call)
            self._kept_started = open_call.started
            at = open_call.started + keep_s
            open_call.timer = asyncio.get_running_loop().call_at(at, self._give_up, open_call)
        else:
            self._close(open_call)
        self._on_failed(f"no answer within {open_call.timing.timeout_s:.2f} s")

    def _give_up(self, open_call: _OpenCall) -> None:
        """Close a kept call that has not been answered in time."""
        self._kept.remove(open_call)
        self._use_partial_list(open_call)
        self._close(open_call)

    def _close(self, open_call: _OpenCall) -> None:
        open_call.timer.cancel()
        open_call.task.cancel()
        open_call.call.close()

    def _close_calls(self) -> None:
        open_calls = [*self._kept, self._newest] if self._newest is not None else self._kept
        self._kept, self._newest, self._kept_started = [], None, float("-inf")
        for each in open_calls:
            self._close(each)

    def _call_done(self, open_call: _OpenCall, task: asyncio.Task[bytes]) -> None:
        """Handle the end of a call's task; calls that were closed here are ignored."""
        if task.cancelled():
            return
        if open_call is not self._newest and open_call not in self._kept:
            task.exception()  # retrieved, so that asyncio does not log it
            return
        open_call.timer.cancel()
        try:
            update = parse_list(self._settings, _parsed(task.result()))
            if self._is_stale(open_call, update.generation):
                open_call.call.discard()
                raise ListError(f"version {update.generation} after {self._index}, on a reused connection")
        except (OSError, Malformed, ListError) as error:
            self._call_failed(open_call, f"{type(error).__name__}: {error}")
        except Exception as error:
            log.exception("unhandled exception in a call to discovery")
            self._call_failed(open_call, f"{type(error).__name__}: {error}")
        else:
            self._call_answered(open_call, update)

    # --- results --------------------------------------------------------------------------------

    def _call_answered(self, open_call: _OpenCall, update: ListUpdate) -> None:
        """Use the first complete answer, whichever call it belongs to, and start the next call at once."""
        connection = open_call.call.take_connection()
        self._close_calls()
        self._connection = connection
        if self._failing:
            took_s = asyncio.get_running_loop().time() - open_call.started
            log.info("discovery has recovered: answered after %.2f s", took_s)
        self._failing = False
        self._state = State.CALLING
        try:
            self._apply(update)
        finally:
            # Not if `_apply` has led to `stop` or `set_address`.
            if self._state is State.CALLING and self._newest is None:
                self._call()

    def _is_stale(self, open_call: _OpenCall, generation: int | None) -> bool:
        """Whether an answer is a late copy of an earlier call's answer on the same connection. Discovery numbers
        its versions anew only when it restarts, and then connections end."""
        if not open_call.call.reused or self._index is None or generation is None:
            return False
        return generation < self._index

    def _call_failed(self, open_call: _OpenCall, text: str) -> None:
        """Handle the failure of one call."""
        self._use_partial_list(open_call)
        if open_call is self._newest:
            self._newest = None
            self._on_failed(text)
        else:
            self._kept.remove(open_call)

    def _on_failed(self, text: str) -> None:
        """Decide what follows after the newest call failed or timed out."""
        first, self._failing = not self._failing, True
        if first:
            log.warning("discovery: %s", text)
            self._call()
        elif self._pushed:
            pause_s = discovery_schedule.retry_pause_s(self._grace_s)
            self._state = State.PAUSING
            self._pause = asyncio.get_running_loop().call_later(pause_s, self._call)
        else:
            self._state = State.IDLE
            self.on_failure()

    def _use_partial_list(self, open_call: _OpenCall) -> None:
        """Apply the entries that were received completely in an incomplete answer: each of them is valid. Those
        that were applied before are not applied again, since a later call may have brought newer ones."""
        text = open_call.call.received.decode("utf-8", "replace")
        entries = parse_partial_list(self._settings, text)
        entries, open_call.used_entries = entries[open_call.used_entries :], len(entries)
        if entries and not self._is_stale(open_call, parse_generation(text)):
            self.on_update(ListUpdate(0, False, entries))

    def _apply(self, update: ListUpdate) -> None:
        if self._index is not None and update.generation < self._index and not update.full:
            # A restarted discovery numbers its versions from the beginning, so changes relative to our version
            # mean nothing to it. The next call asks for the full list.
            log.warning("discovery went back from version %d to %d", self._index, update.generation)
            self._index = None
        else:
            self._index = update.generation
        if update.full or update.entries:
            self.on_update(update)


def _parsed(body: bytes) -> object:
    try:
        return json.loads(body)
    except ValueError as error:
        raise ListError(str(error)) from None
