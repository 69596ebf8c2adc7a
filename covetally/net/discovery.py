"""The server list: asked for, watched, and told to the module and to upstream.

    state      what is open                                     -> next
    -----      ------------                                     -------
    IDLE       nothing is waited for                            ASKING by `start` or `subscribe`
    ASKING     the newest call, within its patience             ASKING with each answer and after a first failure,
                                                                PAUSING or IDLE after a further one
    PAUSING    lists are pushed: the next call is due shortly   ASKING

In each state calls that ran out of patience may be open beside it: the first whole answer of any call counts and
ends all others. So an answer that takes longer than a call's patience is heard, however often that happens.
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
from covetally.net import asking
from covetally.net.config import Address
from covetally.net.discovery_call import DiscoveryCall
from covetally.net.http_message import Malformed
from covetally.net.server_list import ListError, ListUpdate, read_list, salvage
from covetally.net.waiting import Waiting

log = logging.getLogger(__name__)

PATH = "/catalog/members"


class State(enum.Enum):
    """See the module's head."""

    IDLE = enum.auto()
    ASKING = enum.auto()
    PAUSING = enum.auto()


@dataclass(slots=True, eq=False)
class _OpenCall:
    """A call that may still be answered. Times are the loop's, in seconds."""

    call: DiscoveryCall
    terms: asking.Call
    began: float
    task: asyncio.Task[bytes]
    timer: asyncio.TimerHandle  # ends its patience, then its life


class Discovery:
    """Keeps the list known. What it has learnt stays valid when discovery is down."""

    def __init__(self, settings: Settings, address: Address) -> None:
        self._pushed = not settings.must_subscribe
        self._settings = settings
        self._grace_s = settings.invariants.drain_grace_ns / 1e9
        self._address = address
        self._index: int | None = None  # the version of the list that is known
        self._connection: Waiting | None = None  # kept between two calls
        self._failing = False  # the newest call that has ended, or ran out of patience
        self._state = State.IDLE
        self._newest: _OpenCall | None = None
        self._kept: list[_OpenCall] = []  # ran out of patience, and may still be answered
        self._kept_began = float("-inf")  # when the one that was kept last had begun
        self._pause: asyncio.TimerHandle | None = None
        self.on_list: Callable[[ListUpdate], None]
        self.on_failure: Callable[[], None]

    # --- what is wanted of it -------------------------------------------------------------------

    def start(self) -> None:
        """Where lists are pushed: watch for good."""
        if self._pushed and self._state is State.IDLE:
            self._ask()

    def subscribe(self) -> None:
        """Where lists are asked for, at the module's word: watch until a call fails. The first to fail is asked
        anew at once, since a kept connection may have been closed; each further one brings a pause.
        """
        if not self._pushed and self._state is State.IDLE:
            self._ask()

    def stop(self) -> None:
        """End the watch."""
        self._state = State.IDLE
        self._close_calls()
        self._end_pause()
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def again(self) -> None:
        """Watch anew, beginning with the whole list, whatever was told before."""
        self.stop()
        self._index, self._failing = None, False
        self.start()
        self.subscribe()

    def move(self, address: Address) -> None:
        """Discovery is at another address: what the old one still has to tell no longer counts.

        The new one numbers its versions its own way, so the first call asks for the whole list.
        """
        if address == self._address:
            return
        watching = self._state is not State.IDLE
        self.stop()
        self._address, self._index, self._failing = address, None, False
        if watching:
            self._ask()

    # --- calls ----------------------------------------------------------------------------------

    def _ask(self) -> None:
        """Send the next call; it is the only one within its patience."""
        assert self._newest is None
        loop = asyncio.get_running_loop()
        self._state = State.ASKING
        self._end_pause()
        terms = asking.call(self._pushed, self._index is not None, self._failing, self._grace_s)
        target = PATH if terms.wait_ms < 0 else f"{PATH}?index={self._index}&wait={terms.wait_ms}"
        call = DiscoveryCall(self._address, target, self._take_connection())
        task = loop.create_task(call.run())
        timer = loop.call_later(terms.within_s, self._out_of_patience)
        self._newest = found = _OpenCall(call, terms, loop.time(), task, timer)
        task.add_done_callback(partial(self._ended, found))

    def _end_pause(self) -> None:
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None

    def _take_connection(self) -> Waiting | None:
        connection, self._connection = self._connection, None
        if connection is not None and connection.has_input():
            connection.close()
            return None
        return connection

    def _out_of_patience(self) -> None:
        """The newest call is not waited for alone any longer; it may stay open beside those that follow."""
        found, self._newest = self._newest, None
        assert found is not None
        self._salvage(found)
        keep_s = asking.keep_s(self._pushed, found.terms)
        if found.began - self._kept_began >= keep_s / asking.MOST_KEPT or not self._kept:
            self._kept.append(found)
            self._kept_began = found.began
            at = found.began + keep_s
            found.timer = asyncio.get_running_loop().call_at(at, self._give_up, found)
        else:
            self._close(found)
        self._failed(f"no answer within {found.terms.within_s:.2f} s")

    def _give_up(self, found: _OpenCall) -> None:
        """A call that was kept beside others has had its time."""
        self._kept.remove(found)
        self._salvage(found)
        self._close(found)

    def _close(self, found: _OpenCall) -> None:
        found.timer.cancel()
        found.task.cancel()
        found.call.close()

    def _close_calls(self) -> None:
        found = [*self._kept, self._newest] if self._newest is not None else self._kept
        self._kept, self._newest, self._kept_began = [], None, float("-inf")
        for each in found:
            self._close(each)

    def _ended(self, found: _OpenCall, task: asyncio.Task[bytes]) -> None:
        """A call was answered, or failed; one that was closed here has no say."""
        if task.cancelled():
            return
        if found is not self._newest and found not in self._kept:
            task.exception()  # looked at, so that asyncio does not tell of it
            return
        found.timer.cancel()
        try:
            update = read_list(self._settings, _parsed(task.result()))
        except (OSError, Malformed, ListError) as error:
            self._broken(found, f"{type(error).__name__}: {error}")
        except Exception as error:
            log.exception("a call to discovery failed by a bug")
            self._broken(found, f"{type(error).__name__}: {error}")
        else:
            self._answered(found, update)

    # --- what comes of them ---------------------------------------------------------------------

    def _answered(self, found: _OpenCall, update: ListUpdate) -> None:
        """The first whole answer counts, whichever call it is to; the next watch follows at once."""
        connection = found.call.take_connection()
        self._close_calls()
        self._connection = connection
        if self._failing:
            took_s = asyncio.get_running_loop().time() - found.began
            log.info("discovery is back: an answer after %.2f s", took_s)
        self._failing = False
        self._state = State.ASKING
        try:
            self._learn(update)
        finally:
            if self._state is State.ASKING and self._newest is None:  # else it was stopped or moved meanwhile
                self._ask()

    def _broken(self, found: _OpenCall, text: str) -> None:
        """A call has failed."""
        self._salvage(found)
        if found is self._newest:
            self._newest = None
            self._failed(text)
        else:
            self._kept.remove(found)

    def _failed(self, text: str) -> None:
        """The newest call has failed or ran out of patience: what comes next."""
        first, self._failing = not self._failing, True
        if first:
            log.warning("discovery: %s", text)
            self._ask()
        elif self._pushed:
            pause_s = asking.pause_s(self._grace_s)
            self._state = State.PAUSING
            self._pause = asyncio.get_running_loop().call_later(pause_s, self._ask)
        else:
            self._state = State.IDLE
            self.on_failure()

    def _salvage(self, found: _OpenCall) -> None:
        """What came whole of an answer that is not is true."""
        entries = salvage(self._settings, found.call.received.decode("utf-8", "replace"))
        if entries:
            self.on_list(ListUpdate(0, False, entries))

    def _learn(self, update: ListUpdate) -> None:
        if self._index is not None and update.generation < self._index and not update.whole:
            # A discovery that started anew counts from below: changes since our version mean nothing to it.
            log.warning("discovery went back from version %d to %d", self._index, update.generation)
            self._index = None
        else:
            self._index = update.generation
        if update.whole or update.entries:
            self.on_list(update)


def _parsed(body: bytes) -> object:
    try:
        return json.loads(body)
    except ValueError as error:
        raise ListError(str(error)) from None
