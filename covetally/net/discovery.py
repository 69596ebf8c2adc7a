"""Keeps the server list up to date by calling discovery.

    state      meaning                                          next state
    -----      -------                                          ----------
    STOPPED    no watch is wanted                               CALLING by `start`, PAUSING by `subscribe`
    CALLING    the newest call is within its timeout            CALLING after an answer and after a first failure,
                                                                PAUSING after other failures
    PAUSING    a timer is set for the next call                 CALLING when it fires or another call is answered

`stop` leads to STOPPED from any state. CALLING and PAUSING each consist of a timer, which leads to the next state
whatever else happens; `check` guards this at run time. This module alone knows the state. Where lists are polled,
the balancer decides how long a pause is: it learns of each from `on_failure`, and calls `subscribe`.

In each state but STOPPED, calls that timed out may still be open in addition. The first complete answer of any
call is used, and all other calls are closed. An answer that takes longer than a call's timeout is therefore
received, however often that happens. What else such calls bring, such as entries of an incomplete answer, never
changes the state.
"""

from __future__ import annotations

import asyncio
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
from covetally.net.partial_lists import ListOrigin, PartialLists
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
LATE_TIMER_S = 0.25  # a timer that has not fired so long after it was due, though the loop runs, never will


@dataclass(slots=True, eq=False)
class _OpenCall:
    """A call that may still be answered. Times are seconds on the loop's clock."""

    call: DiscoveryCall
    timing: discovery_schedule.CallTiming
    started: float
    task: asyncio.Task[bytes]
    timer: asyncio.TimerHandle  # ends its timeout; after that, closes it
    used_entries: int = 0  # of an incomplete answer

    def origin(self, generation: int | None) -> ListOrigin:
        """Return the origin of what this call brings."""
        return ListOrigin(self.started, generation)


@dataclass(slots=True, eq=False)
class _Pause:
    """No call is within its timeout; the timer starts the next one."""

    timer: asyncio.TimerHandle


class Discovery:
    """Watches the server list. The last known list stays in use while discovery is down."""

    def __init__(self, settings: Settings, address: Address, memory: MemoryAccount) -> None:
        self._memory = memory
        self._pushed = not settings.must_subscribe
        self._settings = settings
        self._grace_s = settings.invariants.drain_grace_ns / 1e9
        self._longest_pause_s = discovery_schedule.longest_pause_s(settings.invariants.subscribe_within_ns / 1e9)
        self._address = address
        self._index: int | None = None  # the version of the known list
        self._update_lost = False  # an update could not be applied: the next call asks for the full list
        self._partial_lists = PartialLists()
        self._connection: AsyncConnection | None = None  # kept open between calls
        self._failing = False  # the newest call that ended or timed out has failed
        self._watch: _OpenCall | _Pause | None = None  # CALLING, PAUSING or STOPPED
        self._late_watch: _OpenCall | _Pause | None = None  # was overdue at the last check
        self._kept: list[_OpenCall] = []  # timed out, but may still be answered
        self._kept_started = float("-inf")  # when the call that was kept last started
        self.on_update: Callable[[ListUpdate], None]
        self.on_failure: Callable[[], None]

    # --- control --------------------------------------------------------------------------------

    @property
    def watching(self) -> bool:
        """Whether a watch is wanted: it has been started and not stopped."""
        return self._watch is not None

    def start(self) -> None:
        """Start the watch unless it has been started; it goes on until `stop`. Where lists are polled, the first
        call is delayed."""
        if self._watch is not None:
            return
        if self._pushed:
            self._call()
        else:
            self._pause(discovery_schedule.POLLED_PAUSE_S)

    def subscribe(self, delay_s: float) -> None:
        """Make the next call in `delay_s` seconds, at the request of the policy, unless a call is within its
        timeout. Has no effect where lists are pushed, and starts the watch where they are polled."""
        if not self._pushed and not isinstance(self._watch, _OpenCall):
            self._pause(min(delay_s, self._longest_pause_s))

    def stop(self) -> None:
        """End the watch."""
        self._close_calls()
        self._partial_lists.clear()
        self._set_watch(None)
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def restart(self) -> None:
        """Start a new watch, which begins with the full list."""
        self.stop()
        self._index, self._failing = None, False
        self._call()

    def set_address(self, address: Address) -> None:
        """Change discovery's address; pending answers from the old address are dropped.

        The version numbers of the two are unrelated, so the first call asks for the full list.
        """
        if address == self._address:
            return
        was_watching = self.watching
        self.stop()
        self._address, self._index, self._failing = address, None, False
        if was_watching:
            self._call()

    def check(self) -> str:
        """Return why no call would follow, empty in each state of the table above, and call if so.

        To be called regularly while the event loop runs. A timer may be late because the loop was held up; it is
        lost if it is still late at the next check.
        """
        watch, late_watch, self._late_watch = self._watch, self._late_watch, None
        if watch is None:
            return ""
        late_s = asyncio.get_running_loop().time() - watch.timer.when()
        if not watch.timer.cancelled() and late_s <= LATE_TIMER_S:
            return ""
        if watch is not late_watch:
            self._late_watch = watch
            return ""
        kind = "pause" if isinstance(watch, _Pause) else "call"
        self._close_calls()
        self._call()
        return f"a {kind} that was to end {late_s:.2f} s ago did not, its timer {watch.timer!r}"

    # --- calls ----------------------------------------------------------------------------------

    def _call(self) -> None:
        """Start the next call. No other call is within its timeout."""
        loop = asyncio.get_running_loop()
        if self._update_lost:
            self._index, self._update_lost = None, False
        timing = discovery_schedule.next_call(self._pushed, self._index is not None, self._failing, self._grace_s)
        target = PATH if timing.wait_ms < 0 else f"{PATH}?index={self._index}&wait={timing.wait_ms}"
        call = DiscoveryCall(self._address, target, self._take_connection(), self._memory)
        task = loop.create_task(call.run())
        timer = loop.call_later(timing.timeout_s, self._time_out)
        open_call = _OpenCall(call, timing, loop.time(), task, timer)
        self._set_watch(open_call)
        task.add_done_callback(partial(self._call_done, open_call))

    def _pause(self, delay_s: float) -> None:
        """Start the next call in `delay_s` seconds. No call is within its timeout."""
        self._set_watch(_Pause(asyncio.get_running_loop().call_later(delay_s, self._call)))

    def _set_watch(self, watch: _OpenCall | _Pause | None) -> None:
        """Enter the next state. The timer of a pause ends with it; that of a call may go on, see `_time_out`."""
        if isinstance(self._watch, _Pause):
            self._watch.timer.cancel()
        self._watch = watch

    def _take_connection(self) -> AsyncConnection | None:
        connection, self._connection = self._connection, None
        if connection is not None and connection.has_input():
            connection.close()
            return None
        return connection

    def _time_out(self) -> None:
        """Handle the timeout of the newest call. The call may stay open beside the next ones."""
        open_call = self._watch
        assert isinstance(open_call, _OpenCall)
        keep_s = discovery_schedule.keep_open_s(self._pushed, open_call.timing)
        if open_call.started - self._kept_started >= keep_s / discovery_schedule.MAX_KEPT_CALLS or not self._kept:
            self._kept.append(open_call)
            self._kept_started = open_call.started
            at = open_call.started + keep_s
            open_call.timer = asyncio.get_running_loop().call_at(at, self._give_up, open_call)
        else:
            self._close(open_call)
        self._call_again(f"no answer within {open_call.timing.timeout_s:.2f} s")
        self._use_partial_list(open_call)

    def _give_up(self, open_call: _OpenCall) -> None:
        """Close a kept call that has not been answered in time."""
        self._kept.remove(open_call)
        self._close(open_call)
        self._use_partial_list(open_call)

    def _close(self, open_call: _OpenCall) -> None:
        open_call.timer.cancel()
        open_call.task.cancel()
        open_call.call.close()

    def _close_calls(self) -> None:
        """Close all calls. The state has to be set next."""
        kept, self._kept, self._kept_started = self._kept, [], float("-inf")
        for each in kept:
            self._close(each)
        if isinstance(self._watch, _OpenCall):
            self._close(self._watch)

    def _call_done(self, open_call: _OpenCall, task: asyncio.Task[bytes]) -> None:
        """Handle the end of a call's task; calls that were closed here are ignored."""
        if task.cancelled():
            return
        if open_call is not self._watch and open_call not in self._kept:
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
        self._set_version(update)
        self._call()
        update = self._partial_lists.complete(open_call.origin(update.generation), update)
        if update.full or update.entries:
            self._apply(update)

    def _is_stale(self, open_call: _OpenCall, generation: int | None) -> bool:
        """Whether an answer is a late copy of an earlier call's answer on the same connection. Discovery numbers
        its versions anew only when it restarts, and then connections end."""
        if not open_call.call.reused or self._index is None or generation is None:
            return False
        return generation < self._index

    def _call_failed(self, open_call: _OpenCall, text: str) -> None:
        """Handle the failure of one call. Its connection may still be open, if the answer came whole."""
        open_call.call.close()
        if open_call is self._watch:
            self._call_again(text)
        else:
            self._kept.remove(open_call)
        self._use_partial_list(open_call)

    def _call_again(self, text: str) -> None:
        """After the newest call failed or timed out, call at once or begin a pause.

        The first failed call is repeated at once, because the server may have closed the kept connection.
        """
        first, self._failing = not self._failing, True
        if first:
            log.warning("discovery: %s", text)
            self._call()
        elif self._pushed:
            self._pause(discovery_schedule.retry_pause_s(self._grace_s))
        else:
            self._pause(discovery_schedule.POLLED_PAUSE_S)
            self.on_failure()

    def _use_partial_list(self, open_call: _OpenCall) -> None:
        """Apply the entries that were received completely in an incomplete answer: each of them is valid. Those
        that were applied before are not applied again."""
        text = open_call.call.received.decode("utf-8", "replace")
        entries = parse_partial_list(self._settings, text)
        entries, open_call.used_entries = entries[open_call.used_entries :], len(entries)
        generation = parse_generation(text)
        if self._is_stale(open_call, generation):
            return
        entries = self._partial_lists.take_newer(open_call.origin(generation), entries)
        if entries:
            self._apply(ListUpdate(generation or 0, False, entries))

    def _set_version(self, update: ListUpdate) -> None:
        """Set the version that the next call asks for changes from."""
        if self._index is not None and update.generation < self._index and not update.full:
            # A restarted discovery numbers its versions from the beginning, so changes relative to our version
            # mean nothing to it. The next call asks for the full list.
            log.warning("discovery went back from version %d to %d", self._index, update.generation)
            self._index = None
        else:
            self._index = update.generation

    def _apply(self, update: ListUpdate) -> None:
        """Pass an update on. If it cannot be applied, this is logged, and the next call gets the full list."""
        try:
            self.on_update(update)
        except Exception:
            log.exception("version %d of the server list cannot be applied", update.generation)
            self._update_lost = True


def _parsed(body: bytes) -> object:
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise ListError(str(error)) from None
