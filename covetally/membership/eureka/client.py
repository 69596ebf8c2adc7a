"""Polls a Eureka registry's addresses in order of preference and passes on what they list as snapshots."""

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
from covetally.membership.eureka.answer_parser import InvalidAnswer, JsonParser, XmlParser
from covetally.membership.eureka.address_selector import AddressSelector
from covetally.membership.eureka.registry_view import RegistryView
from covetally.membership.http import CALL_ERRORS, HttpClient, RegistryResponse, UnexpectedStatus
from covetally.membership.model import Snapshot
from covetally.membership.polling import repeat
from covetally.net.clock import Clock
from covetally.operator.url import Url

log = logging.getLogger(__name__)

DELTAS_PER_FULL_READ = 120  # then a full read, because the hash does not reveal every lost change
# This many equal full reads in a row that do not match their hash are accepted as complete.
MAX_HASH_MISMATCHES = 3
MAX_UNIDENTIFIED = 20  # instances without an id that are shown to operators


@dataclass(frozen=True, slots=True)
class EurekaConfig:
    """Where and how to read a registry.

    `scope` is app, vip or all. With all, the whole registry is read and then followed by deltas, and the
    instances of application `name` are selected from it. `max_bytes` limits the size of one answer.
    """

    addresses: tuple[Url, ...]
    name: str
    scope: str = "app"
    poll_s: float = 5.0
    timeout_s: float = 3.0
    format: str = "json"
    max_bytes: int = 32 * 1024 * 1024
    authorization: bytes = b""
    keys: instance_parser.MetadataKeys = field(default_factory=instance_parser.MetadataKeys)


class EurekaSource:
    """A Eureka registry with one or more addresses as a source of nodes."""

    name = "eureka"

    def __init__(self, config: EurekaConfig, clock: Clock, on_snapshot: Callable[[Snapshot], None]) -> None:
        self._config, self._clock, self._on_snapshot = config, clock, on_snapshot
        self._urls = {str(url): url for url in config.addresses}
        self._addresses = AddressSelector(tuple(self._urls))
        self._http = HttpClient(config.max_bytes, config.authorization)
        self._app = "" if config.scope == "vip" else config.name.upper()
        self._view: RegistryView | None = None
        self._deltas = 0  # since the last full read
        self._hash_mismatches = 0
        # Of the last full read: the hash of the instances it listed, and the hash it reported.
        self._last_full_hashes: tuple[str, str | None] = ("", None)
        self._task: asyncio.Task[None] | None = None
        self._failing = ""
        self._unidentified: list[str] = []
        self.counts = dict.fromkeys(("full", "delta", "witness", "misfits", "failures", "bytes", "not_listed"), 0)

    def start(self) -> None:
        """Starts polling."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stops polling."""
        if self._task is not None:
            self._task.cancel()

    def table(self) -> dict[str, Any]:
        """The state of the source as a table for operators."""
        return {
            "source": self.name, "by": self._config.scope, "name": self._config.name,
            "out_s": self._addresses.table(self._clock.now()), "failing": self._failing,
            "counts": self.counts | {"calls": self._http.calls, "connections": self._http.connections},
            "nameless": list(self._unidentified),
        }  # fmt: skip

    # --- polling ----------------------------------------------------------------------------------

    async def _run(self) -> None:
        try:
            await repeat("reading the registry", self._poll_once, self._config.poll_s)
        finally:
            await self._http.close()

    async def _poll_once(self) -> float:
        """Polls, and returns the pause until the next poll in seconds."""
        started_at = self._clock.now()
        try:
            await self._poll()
        except Exception:
            await self._http.close()  # its answer may be half read
            self._view = None
            raise
        pause_s = self._config.poll_s * random.uniform(0.9, 1.1)
        return max(0.01, pause_s - (self._clock.now() - started_at) / 1e9)

    async def _poll(self) -> None:
        """Reads the addresses in turn until one answers or all of them are in backoff."""
        for _ in self._urls:
            now = self._clock.now()
            if not self._addresses.has_available(now):
                return
            address = self._addresses.select(now)
            view = RegistryView(self._app, address)
            try:
                async with asyncio.timeout(self._config.timeout_s):
                    snapshot = await self._read_registry(address, view)
            except (*CALL_ERRORS, InvalidAnswer) as error:
                await self._record_failure(address, error)
                if view.snapshot().members:
                    self._on_snapshot(view.snapshot(complete=False))  # what was read before the failure is valid
                continue
            if self._failing:
                log.info("registry %s answers", address)
            self._failing = ""
            self._addresses.record_answer(address)
            self._on_snapshot(snapshot)
            return

    async def _record_failure(self, address: str, error: Exception) -> None:
        await self._http.close()
        self._view = None
        self.counts["failures"] += 1
        self._addresses.record_failure(self._clock.now(), address, random.random())
        text = f"{address}: {type(error).__name__}: {error}"[:300]
        if text != self._failing:
            log.warning("registry %s", text)
        self._failing = text

    async def _read_registry(self, address: str, new_view: RegistryView) -> Snapshot:
        view = self._view
        if (
            self._config.scope == "all"
            and view is not None
            and view.endpoint == address
            and self._deltas < DELTAS_PER_FULL_READ
        ):
            if await self._read_delta(address, view):
                self._deltas += 1
                return view.snapshot()
            self.counts["misfits"] += 1
            log.warning("registry %s: the delta does not match its hash; reading the full list", address)
        hash_ = await self._read_full(self._http, address, new_view, view)
        new_view.revision = (view.revision if view is not None else 0) + 1
        self._view, self._deltas = new_view, 0
        complete = self._config.scope != "all" or new_view.matches_hash(hash_)
        hashes = (new_view.hash(), hash_)
        self._hash_mismatches = (
            0 if complete else self._hash_mismatches + 1 if hashes == self._last_full_hashes else 1
        )
        self._last_full_hashes = hashes
        if not complete:
            self._view = None  # no delta can be applied to it
            self.counts["misfits"] += 1
            log.warning(
                "registry %s: its instances hash to %s, but it reports %s",
                address,
                new_view.hash()[:200],
                str(hash_)[:200],
            )
        return new_view.snapshot(complete=complete or self._hash_mismatches >= MAX_HASH_MISMATCHES)

    async def _read_delta(self, address: str, view: RegistryView) -> bool:
        """Updates the view with a delta; False if there is none or the result does not match its hash."""
        instances: list[instance_parser.Instance] = []
        response = await self._call(self._http, address, "/apps/delta")
        if response.status != 200:  # deltas may be disabled at the server
            await response.discard()
            return False
        self.counts["delta"] += 1
        hash_ = await self._parse(response, instances.append, [])
        view.apply_delta(instances)
        return view.matches_hash(hash_)

    async def _read_full(
        self, http: HttpClient, address: str, view: RegistryView, previous: RegistryView | None
    ) -> str | None:
        """Reads the full list into `view`; returns the hash that was reported with it."""
        config = self._config
        name = quote(config.name, "")
        path = {"app": f"/apps/{name}", "vip": f"/vips/{name}", "all": "/apps"}[config.scope]
        response = await self._call(http, address, path)
        self.counts["full"] += 1
        if response.status == 404 and config.scope != "all":
            await response.discard()
            self.counts["not_listed"] += 1
            return None  # Eureka answers 404 for a name without instances
        if response.status != 200:
            await response.discard()
            raise UnexpectedStatus(response.status, f"answered {response.status}")
        date_ms = response.date_ms()
        if date_ms is not None:
            view.clock_offset_ns = self._clock.now() - date_ms * 1_000_000
        unidentified: list[str] = []
        hash_ = await self._parse(response, lambda instance: view.add(instance, previous), unidentified)
        self._unidentified = unidentified
        return hash_

    async def _call(self, http: HttpClient, address: str, path: str) -> RegistryResponse:
        accept = "application/json" if self._config.format == "json" else "application/xml"
        return await http.call("GET", self._urls[address], path, headers=(("accept", accept),))

    async def _parse(
        self, response: RegistryResponse, add: Callable[[instance_parser.Instance], None], unidentified: list[str]
    ) -> str | None:
        """Parses an answer chunk by chunk and passes each instance to `add`; returns the reported hash."""
        keys, application = self._config.keys, self._app

        def on_instance(app: str, raw: Any) -> None:
            try:
                add(instance_parser.parse(raw, keys, app, application))
            except instance_parser.InvalidInstance as error:
                if len(unidentified) < MAX_UNIDENTIFIED:
                    unidentified.append(str(error))

        reader = JsonParser(on_instance) if self._config.format == "json" else XmlParser(on_instance)
        decoder = codecs.getincrementaldecoder("utf-8")("replace")
        async for chunk in response.body():
            self.counts["bytes"] += len(chunk)
            reader.feed(decoder.decode(chunk))
        reader.close()
        return reader.hash

    async def read_other_address(self, excluding: str) -> Snapshot | None:
        """A full read of an address other than `excluding`; None if there is none or it does not answer."""
        address = self._addresses.select(self._clock.now(), excluding)
        if not address:
            return None
        view, http = (
            RegistryView(self._app, address),
            HttpClient(self._config.max_bytes, self._config.authorization),
        )
        self.counts["witness"] += 1
        try:
            async with asyncio.timeout(self._config.timeout_s):
                hash_ = await self._read_full(http, address, view, None)
            return view.snapshot(complete=self._config.scope != "all" or view.matches_hash(hash_))
        except (*CALL_ERRORS, InvalidAnswer):
            self._addresses.record_failure(self._clock.now(), address, random.random())
            return None
        finally:
            await http.close()
