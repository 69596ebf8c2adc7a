"""Follows a Eureka registry: asks its addresses, in order, and gives what they list as reads. Decides nothing."""

from __future__ import annotations

import asyncio
import codecs
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote

from covetally.membership.eureka import instance_parser
from covetally.membership.eureka.answer_parser import Damaged, JsonReader, XmlReader
from covetally.membership.eureka.address_selector import Registries
from covetally.membership.eureka.registry_view import View
from covetally.membership.http import FAILURES, Answer, Http, Refused
from covetally.membership.model import Read
from covetally.net.clock import Clock
from covetally.operator.url import Url

log = logging.getLogger(__name__)

FULL_EVERY = 120  # deltas between full reads: the hash does not see every lost change
MISFITS = 3  # equal full reads in a row with a hash that does not fit them, until they are taken all the same
NAMELESS = 20  # entries without an id that are told of, at most


@dataclass(frozen=True, slots=True)
class Config:
    """Where and how to ask. `by` is app, vip or all; with all, deltas are asked for and `name` is picked out of
    what all list. `most` is the bound of one answer, in bytes."""

    addresses: tuple[Url, ...]
    name: str
    by: str = "app"
    poll_s: float = 5.0
    timeout_s: float = 3.0
    form: str = "json"
    most: int = 32 * 1024 * 1024
    authorization: bytes = b""
    keys: instance_parser.Keys = field(default_factory=instance_parser.Keys)


class Eureka:
    """One registry of several addresses as a source of nodes."""

    name = "eureka"

    def __init__(self, config: Config, clock: Clock, on_read: Callable[[Read], None]) -> None:
        self._config, self._clock, self._on_read = config, clock, on_read
        self._urls = {str(url): url for url in config.addresses}
        self._registries = Registries(tuple(self._urls))
        self._http = Http(config.most, config.authorization)
        self._app = "" if config.by == "vip" else config.name.upper()
        self._view: View | None = None
        self._deltas = 0  # since the last full read
        self._misfits = 0
        self._said: tuple[str, str | None] = ("", None)  # the last full read's list, as a hash, and its own hash
        self._task: asyncio.Task[None] | None = None
        self._failing = ""
        self._nameless: list[str] = []
        self.counts = dict.fromkeys(("full", "delta", "witness", "misfits", "failures", "bytes", "not_listed"), 0)

    def start(self) -> None:
        """Ask from now on."""
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(_report)

    def stop(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()

    def table(self) -> dict[str, Any]:
        """For operators."""
        return {
            "source": self.name, "by": self._config.by, "name": self._config.name,
            "out_s": self._registries.table(self._clock.now()), "failing": self._failing,
            "counts": self.counts | {"calls": self._http.calls, "connections": self._http.connections},
            "nameless": list(self._nameless),
        }  # fmt: skip

    # --- asking -----------------------------------------------------------------------------------

    async def _run(self) -> None:
        try:
            while True:
                began = self._clock.now()
                await self._round()
                pause_s = self._config.poll_s * random.uniform(0.9, 1.1)
                await asyncio.sleep(max(0.01, pause_s - (self._clock.now() - began) / 1e9))
        finally:
            await self._http.close()

    async def _round(self) -> None:
        """Ask until one address answers or all that are not in quarantine have failed."""
        for _ in self._urls:
            now = self._clock.now()
            if not self._registries.any_ready(now):
                return
            address = self._registries.pick(now)
            view = View(self._app, address)
            try:
                async with asyncio.timeout(self._config.timeout_s):
                    read = await self._ask(address, view)
            except (*FAILURES, Damaged) as error:
                await self._failed(address, error)
                if view.read().members:
                    self._on_read(view.read(clean=False))  # what came ahead of the trouble is true
                continue
            if self._failing:
                log.info("registry %s answers", address)
            self._failing = ""
            self._registries.answered(address)
            self._on_read(read)
            return

    async def _failed(self, address: str, error: Exception) -> None:
        await self._http.close()
        self._view = None
        self.counts["failures"] += 1
        self._registries.failed(self._clock.now(), address, random.random())
        text = f"{address}: {type(error).__name__}: {error}"[:300]
        if text != self._failing:
            log.warning("registry %s", text)
        self._failing = text

    async def _ask(self, address: str, fresh: View) -> Read:
        view = self._view
        if self._config.by == "all" and view is not None and view.teller == address and self._deltas < FULL_EVERY:
            if await self._delta(address, view):
                self._deltas += 1
                return view.read()
            self.counts["misfits"] += 1
            log.warning("registry %s: its delta does not fit its hash: reading all of it", address)
        hash_ = await self._full(self._http, address, fresh, view)
        fresh.revision = (view.revision if view is not None else 0) + 1
        self._view, self._deltas = fresh, 0
        clean = self._config.by != "all" or fresh.fits(hash_)
        said = (fresh.hash(), hash_)
        self._misfits = 0 if clean else self._misfits + 1 if said == self._said else 1
        self._said = said
        if not clean:
            self._view = None  # no delta on top of it
            self.counts["misfits"] += 1
            log.warning("registry %s: lists %s and says %s", address, fresh.hash()[:200], str(hash_)[:200])
        return fresh.read(clean=clean or self._misfits >= MISFITS)

    async def _delta(self, address: str, view: View) -> bool:
        """Bring the view up to date; False if that cannot be done."""
        instances: list[instance_parser.Instance] = []
        answer = await self._call(self._http, address, "/apps/delta")
        if answer.status != 200:  # a server may have deltas switched off
            await answer.drop()
            return False
        self.counts["delta"] += 1
        hash_ = await self._read(answer, instances.append, [])
        view.delta(instances)
        return view.fits(hash_)

    async def _full(self, http: Http, address: str, view: View, before: View | None) -> str | None:
        """Fill the view; the hash that was told with it."""
        config = self._config
        name = quote(config.name, "")
        path = {"app": f"/apps/{name}", "vip": f"/vips/{name}", "all": "/apps"}[config.by]
        answer = await self._call(http, address, path)
        self.counts["full"] += 1
        if answer.status == 404 and config.by != "all":
            await answer.drop()
            self.counts["not_listed"] += 1
            return None  # Eureka's word for a name that no instance has: an empty list
        if answer.status != 200:
            await answer.drop()
            raise Refused(answer.status, f"answered {answer.status}")
        date_ms = answer.date_ms()
        if date_ms is not None:
            view.offset_ns = self._clock.now() - date_ms * 1_000_000
        nameless: list[str] = []
        hash_ = await self._read(answer, lambda one: view.add(one, before), nameless)
        self._nameless = nameless
        return hash_

    async def _call(self, http: Http, address: str, path: str) -> Answer:
        accept = "application/json" if self._config.form == "json" else "application/xml"
        return await http.call("GET", self._urls[address], path, headers=(("accept", accept),))

    async def _read(
        self, answer: Answer, add: Callable[[instance_parser.Instance], None], nameless: list[str]
    ) -> str | None:
        """Read an answer slice by slice; the hash that it told."""
        keys, wanted = self._config.keys, self._app

        def take(app: str, raw: Any) -> None:
            try:
                add(instance_parser.read(raw, keys, app, wanted))
            except instance_parser.BadEntry as error:
                if len(nameless) < NAMELESS:
                    nameless.append(str(error))

        reader = JsonReader(take) if self._config.form == "json" else XmlReader(take)
        decoder = codecs.getincrementaldecoder("utf-8")("replace")
        async for piece in answer.body():
            self.counts["bytes"] += len(piece)
            reader.feed(decoder.decode(piece))
        reader.close()
        return reader.hash

    async def witness(self, besides: str) -> Read | None:
        """A full read of another address than `besides`; None if there is none that answers."""
        address = self._registries.pick(self._clock.now(), besides)
        if not address:
            return None
        view, http = View(self._app, address), Http(self._config.most, self._config.authorization)
        self.counts["witness"] += 1
        try:
            async with asyncio.timeout(self._config.timeout_s):
                hash_ = await self._full(http, address, view, None)
            return view.read(clean=self._config.by != "all" or view.fits(hash_))
        except (*FAILURES, Damaged):
            self._registries.failed(self._clock.now(), address, random.random())
            return None
        finally:
            await http.close()


def _report(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()):
        log.error("following the registry failed by a bug", exc_info=error)
