"""The server list: asked for, watched, and told to the module and to upstream."""

from __future__ import annotations

import asyncio
import json
import logging
import re
from collections.abc import Callable
from typing import Any, NamedTuple

from covetally.errors import DamagedError
from covetally.interface import Entry, Settings
from covetally.net import asking
from covetally.net.config import Address
from covetally.net.message import Broken, End, Malformed, ResponseHead, encode, split_address
from covetally.net.waiting import Waiting

log = logging.getLogger(__name__)

PATH = "/catalog/members"
MAX_LIST = 8 * 1024 * 1024
LIFECYCLES = {"active": "up", "leaving": "draining", "left": "removed"}

_PREAMBLE = re.compile(
    r'\s*\{\s*(?:"(?:generation|reset)"\s*:\s*(?:\d+|true|false)\s*,\s*)*"instances"\s*:\s*\['
)
_COMMA = re.compile(r"\s*,?\s*")


class ListError(DamagedError):
    """A list that cannot be used."""

    code = "list"
    remedy = "Look at discovery; what came whole counts, and the rest is asked again."


class ListUpdate(NamedTuple):
    """One answer of discovery."""

    generation: int
    whole: bool
    entries: list[tuple[Entry, Address]]


def read_list(settings: Settings, raw: Any) -> ListUpdate:
    """A list in discovery's form; ListError if any of it is malformed."""
    try:
        generation, whole, items = raw["generation"], raw["reset"], raw["instances"]
        if not isinstance(generation, int) or not isinstance(whole, bool) or not isinstance(items, list):
            raise ListError("generation, reset or instances of the wrong type")
        return ListUpdate(generation, whole, [_entry(settings, item) for item in items])
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"{type(error).__name__}: {error}") from None


def _entry(settings: Settings, item: dict[str, Any]) -> tuple[Entry, Address]:
    name = item["instanceId"]
    if not isinstance(name, str) or not name:
        raise ListError(f"instanceId {name!r}")
    entry = Entry(
        server=name,
        zone=_index(settings.zones, item.get("zone")),
        kind=_index(settings.kinds, item.get("machineType")),
        cell=int(item.get("cell") or 0),
        lifecycle=LIFECYCLES[item["lifecycle"]],
        weight=float(item.get("weight", 1.0)),
        started_ns=int(item.get("startedAtMs") or 0) * 1_000_000,
    )
    return entry, split_address(item["hostPort"])


def _index(names: tuple[str, ...], name: Any) -> int:
    return names.index(name) if name in names else len(names)


def salvage(settings: Settings, text: str) -> list[tuple[Entry, Address]]:
    """The entries that came whole in an answer that did not: each of them is true."""
    entries = []
    start = _PREAMBLE.match(text)
    at = start.end() if start else len(text)
    decoder = json.JSONDecoder()
    while at < len(text):
        try:
            item, at = decoder.raw_decode(text, at)
            entries.append(_entry(settings, item))
        except (ListError, KeyError, TypeError, ValueError, AttributeError, OverflowError):
            break
        at = _COMMA.match(text, at).end()
    return entries


class Discovery:
    """Keeps the list known. What it has learnt stays valid when discovery is down."""

    def __init__(self, settings: Settings, address: Address) -> None:
        self._settings = settings
        self._grace_s = settings.invariants.drain_grace_ns / 1e9
        self._address = address
        self._index: int | None = None
        self._stream: Waiting | None = None
        self._partial = bytearray()
        self._failing = False  # the last call
        self._task: asyncio.Task[None] | None = None
        self.on_list: Callable[[ListUpdate], None]
        self.on_failure: Callable[[], None]

    def start(self) -> None:
        """Where lists are pushed: watch for good."""
        if not self._settings.must_ask:
            self._run(self._watch())

    def subscribe(self) -> None:
        """Where lists are asked for, at the module's word: watch until a call fails. The first to fail is asked
        anew at once, since a kept connection may have been closed; each further one brings a pause.
        """
        if self._settings.must_ask and (self._task is None or self._task.done()):
            self._run(self._watch_once())

    def stop(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.close()
            self._stream = None

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
        self._address, self._index, self._failing = address, None, False
        watching = self._task is not None and not self._task.done()
        self.stop()
        if watching:
            self._run(self._watch_once() if self._settings.must_ask else self._watch())

    def _run(self, work: Any) -> None:
        self._task = asyncio.create_task(work)
        self._task.add_done_callback(_report)

    async def _watch(self) -> None:
        while True:
            if not await self._ask():
                await asyncio.sleep(asking.pause_s(self._grace_s))  # the first fresh call goes out at once

    async def _watch_once(self) -> None:
        while await self._ask():
            pass
        self.on_failure()

    async def _ask(self) -> bool:
        """One call; False where it failed and the one before had, too."""
        failed_before = self._failing
        try:
            self._learn(await self._call())
        except (OSError, Malformed, ListError) as error:
            self._failing = True
            self._salvage(error, silent=failed_before)
            return not failed_before
        self._failing = False
        if failed_before:
            log.info("discovery is back")
        return True

    def _salvage(self, error: Exception, silent: bool) -> None:
        """What came of an answer before it failed is true."""
        if not silent:
            log.warning("discovery: %s: %s", type(error).__name__, error)
        self._close()
        entries = salvage(self._settings, self._partial.decode("utf-8", "replace"))
        if entries:
            self.on_list(ListUpdate(0, False, entries))

    def _learn(self, news: ListUpdate) -> None:
        if self._index is not None and news.generation < self._index and not news.whole:
            # A discovery that started anew counts from below: changes since our version mean nothing to it.
            log.warning("discovery went back from version %d to %d", self._index, news.generation)
            self._index = None
        else:
            self._index = news.generation
        if news.whole or news.entries:
            self.on_list(news)

    async def _call(self) -> ListUpdate:
        """One call on the kept connection, or on a new one."""
        pushed = not self._settings.must_ask
        way = asking.call(pushed, self._index is not None, self._failing, self._grace_s)
        target = PATH if way.wait_ms < 0 else f"{PATH}?index={self._index}&wait={way.wait_ms}"
        self._partial.clear()
        async with asyncio.timeout(way.within_s):
            if self._stream is None or self._stream.disturbed():
                self._close()
                self._stream = await Waiting.connect(self._address)
            stream = self._stream
            host = f"{self._address[0]}:{self._address[1]}"
            first = f"GET {target} HTTP/1.1".encode()
            await stream.write(encode(first, [(b"host", host.encode())], b""))
            head = await stream.next_event()
            while isinstance(head, ResponseHead) and head.status < 200:
                head = await stream.next_event()
            if not isinstance(head, ResponseHead) or head.status != 200:
                raise Broken(f"answered {head.status if isinstance(head, ResponseHead) else 'nothing'}")
            while isinstance(event := await stream.next_event(), bytes):
                self._partial += event
                if len(self._partial) > MAX_LIST:
                    raise ListError("list too long")
            if event is not End.MESSAGE:
                raise Broken("ended inside an answer")
        if not stream.recycle():
            self._close()
        text = bytes(self._partial)
        self._partial.clear()
        try:
            return read_list(self._settings, json.loads(text))
        except ValueError as error:
            raise ListError(str(error)) from None

    def _close(self) -> None:
        if self._stream is not None:
            stream, self._stream = self._stream, None
            stream.close()


def _report(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()):
        log.error("the watch failed by a bug", exc_info=error)
