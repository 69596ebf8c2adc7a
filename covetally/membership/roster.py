"""Joins the sources to the believing module, and tells the balancer and the connections what is believed.

Nothing is decided here: `belief` says which nodes there are, `hung` who does not answer, the balancer who gets
work.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from covetally.interface import ServerStatus, ServerEntry, AttemptStatus, Settings
from covetally.membership import keep
from covetally.membership.belief import ORDERS, Believer, differences
from covetally.membership.checks import Checks
from covetally.membership.eureka.client import Eureka
from covetally.membership.file import File
from covetally.membership.hung import Hung
from covetally.membership.model import LEAVING, UP, Address, Member, Read, Told
from covetally.membership.platform import Platform
from covetally.membership.settings import Plan
from covetally.net.clock import Clock
from covetally.net.discovery import Discovery
from covetally.net.server_list import ListUpdate
from covetally.operator import files

log = logging.getLogger(__name__)

FIRST_S = 3.0
KEEP_AGAIN_S = 2.0  # until what the disk did not take is written again
LOOK_S = 0.5  # how often time and evidence are looked at
HEARD = (AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.FULL, AttemptStatus.UNUSABLE_RESPONSE)


class Source(Protocol):
    """What says which nodes there are; its reads go to the function it was made with."""

    name: str

    def start(self) -> None:
        """Ask from now on."""

    def stop(self) -> None:
        """Ask no more."""

    def table(self) -> dict[str, Any]:
        """For operators."""

    async def witness(self, besides: str) -> Read | None:
        """What another of its addresses lists, if it has one."""


@dataclass(frozen=True, slots=True)
class Parts:
    """What a sidecar lends to its roster: `tell` takes changes for the connections and the balancer, `beliefs`
    is what the balancer believes of each server, `suspect` tells it of one that does not answer."""

    clock: Clock
    discovery: Discovery
    tell: Callable[[list[tuple[ServerEntry, Address]]], None]
    beliefs: Callable[[], list[ServerStatus]]
    suspect: Callable[[str], None]


class Roster:
    """One sidecar's roster, from `start` to `stop`."""

    def __init__(self, plan: Plan, settings: Settings, parts: Parts) -> None:
        self._plan, self._settings, self._parts = plan, settings, parts
        self._believer = Believer(plan.rule, parts.clock.now())
        self._hung = Hung()
        self._source: Source
        self._other: Source | None = None
        self._differs: dict[str, list[str]] | None = None
        self._checks: Checks | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._asking: asyncio.Task[None] | None = None
        self._saving: asyncio.Task[None] | None = None
        self._unsaved = False
        self._save_from = 0.0  # on the loop's clock: no sooner, where the disk has just refused
        self._cannot_keep = False
        self._level = ""
        self._silent: set[str] = set()
        self._running = False

    # --- before and after -------------------------------------------------------------------------

    def begin(self, listed: list[tuple[str, Address]], up: set[str]) -> None:
        """Take over from the platform's list, which is in force: what a new source lacks of it is doubted."""
        members = [Member(name, address, UP if name in up else LEAVING) for name, address in listed]
        self._believer.kept(self._parts.clock.now(), members, "the platform's list")

    def recall(self, known: ListUpdate) -> None:
        """At the start of the process: the kept file, or else, where the platform is the source, what it knew."""
        if self._plan.keep is not None:
            try:
                members, revision = keep.read(self._plan.keep)
            except ValueError as error:
                log.error("roster.keep: %s: %s: starting without it", self._plan.keep, error)
                members, revision = [], ""
            if members:
                log.info("the kept roster has %d nodes of revision %s", len(members), revision)
                self._tell(self._believer.kept(self._parts.clock.now(), members, revision))
                return
        if self._plan.source == Platform.name and known.entries:
            started = {entry.server: entry.started_ns for entry, _ in known.entries}
            reads: list[Read] = []
            Platform(self._settings, self._parts.discovery, reads.append).learn(known._replace(full=True))
            told = self._believer.kept(self._parts.clock.now(), reads[0].members.values(), "the platform's known")
            self._tell([Told(t.member, t.lifecycle, started[t.member.id]) for t in told])

    @property
    def asks_platform(self) -> bool:
        """Whether the platform's discovery is one of the sources."""
        return Platform.name in (self._plan.source, self._plan.compare)

    def start(self) -> None:
        """Ask the sources from now on."""
        self._running = True
        self._open()
        self._look()

    async def first(self) -> None:
        """Until there is a roster to serve on; a source that is down is not waited for longer than FIRST_S."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_S):
                while not self._believer.nodes:
                    await asyncio.sleep(0.01)

    def stop(self) -> None:
        """Ask no more. What is believed stays with whoever was told."""
        self._running = False
        self._close()
        for task in (self._timer, self._asking):
            if task is not None:
                task.cancel()

    async def saved(self) -> None:
        """Until the last good roster is in its file."""
        if self._saving is not None:
            await self._saving
        if self._unsaved:
            self._unsaved = False
            await self._save()

    def retune(self, plan: Plan, settings: Settings) -> None:
        """Other settings under way. The roster stays as it is until the new source says otherwise."""
        self._settings = settings
        if plan == self._plan:
            return
        log.info("the roster comes from %s", plan.source)
        self._close()
        self._plan = plan
        self._believer.rule = plan.rule
        if self._running:
            self._open()

    def _open(self) -> None:
        self._source = self._made(self._plan.source, self._learn)
        if self._plan.compare != "none":
            self._other = self._made(self._plan.compare, self._compare)
        for source in (self._source, self._other):
            if source is not None:
                source.start()
        if self._plan.check_path:
            self._checks = Checks(self._plan, self._settings, self._addresses, self._checked)
            self._checks.start()

    def _close(self) -> None:
        for part in (self._source, self._other, self._checks):
            if part is not None:
                part.stop()
        self._other = self._checks = self._differs = None

    def _made(self, name: str, on_read: Callable[[Read], None]) -> Source:
        plan, parts = self._plan, self._parts
        if name == Eureka.name:
            assert plan.eureka is not None
            return Eureka(plan.eureka, parts.clock, on_read)
        if name == File.name:
            return File(plan.file, on_read)
        return Platform(self._settings, parts.discovery, on_read)

    # --- what comes in ----------------------------------------------------------------------------

    def _learn(self, read: Read) -> None:
        self._tell(self._believer.read(self._parts.clock.now(), read))
        self._doubt()

    def _doubt(self) -> None:
        """Where nodes are held, other evidence is sought at once."""
        if self._believer.held() and self._asking is None and self._running:
            self._asking = asyncio.create_task(self._ask_elsewhere())

    async def _ask_elsewhere(self) -> None:
        try:
            read = await self._source.witness(self._believer.teller)
            if read is not None:
                self._tell(self._believer.witness(self._parts.clock.now(), read))
        finally:
            self._asking = None

    def _compare(self, read: Read) -> None:
        differs = differences(self._believer.roster(), read)
        if differs != self._differs:
            found = {name: lines[:10] for name, lines in differs.items() if lines}
            log.warning("%s differs from %s: %s", read.source, self._plan.source, found or "no more")
        self._differs = differs

    def outcome(self, server: str, how: AttemptStatus) -> None:
        """An attempt has ended."""
        if how in HEARD:
            self._hung.answered(server)
        elif how is AttemptStatus.TIMEOUT and self._hung.timed_out(self._parts.clock.now(), server):
            self._parts.suspect(server)

    def _checked(self, server: str, good: bool) -> None:
        if self._hung.checked(self._parts.clock.now(), server, good):
            self._parts.suspect(server)

    def order(self, word: str) -> str:
        """An operator's word: believe, hold or auto; empty, or why it cannot be taken."""
        if word not in ORDERS:
            return f"nothing is known as {word:.40}"
        self._tell(self._believer.order(self._parts.clock.now(), word))
        log.info("roster: %s, at an operator's word", word)
        return ""

    def _look(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(LOOK_S, self._look)
        now, believer = self._parts.clock.now(), self._believer
        if believer.held():
            refusing = [b.server for b in self._parts.beliefs() if b.connect_failures and not b.steps]
            self._tell([*believer.evidence(now, refusing), *believer.tick(now)])
            self._doubt()
        level = believer.level(now)
        if level.word != self._level:
            log.log(
                logging.INFO if level.word in ("fresh", "none") else logging.WARNING,
                "roster %s: %s", level.word, level.why or f"{len(believer.nodes)} nodes",
            )  # fmt: skip
            self._level = level.word
        silent = set(self._hung.silent(now))
        for name in sorted(silent - self._silent):
            log.warning("%s is registered but not answering", name)
        self._silent = silent
        if self._unsaved and self._saving is None and asyncio.get_running_loop().time() >= self._save_from:
            self._unsaved = False
            self._saving = asyncio.create_task(self._save())

    # --- what goes out ----------------------------------------------------------------------------

    def _tell(self, told: list[Told]) -> None:
        if not told:
            return
        zones, kinds = self._settings.zones, self._settings.kinds
        entries = [
            (
                ServerEntry(
                    t.member.id, _index(zones, t.member.zone), _index(kinds, t.member.kind), t.member.cell,
                    t.lifecycle, t.member.weight, t.started_ns,
                ),
                t.member.address,
            )
            for t in told
        ]  # fmt: skip
        self._parts.tell(entries)
        self._hung.forget(self._believer.nodes)
        self._unsaved = self._plan.keep is not None

    def _addresses(self) -> dict[str, Address]:
        nodes = self._believer.nodes.items()
        return {name: node.member.address for name, node in nodes if node.member.state == UP}

    async def _save(self) -> None:
        believer, path = self._believer, self._plan.keep
        try:
            if path is not None and believer.nodes:
                members = [node.member for node in believer.nodes.values()]
                data = keep.encode(members, believer.revision)
                await asyncio.to_thread(files.replace, path, data)
        except OSError as error:
            if not self._cannot_keep:
                log.error("roster.keep: %s: %s: make room on the disk or mend it", path, error)
            self._cannot_keep = self._unsaved = True
            self._save_from = asyncio.get_running_loop().time() + KEEP_AGAIN_S
        else:
            self._cannot_keep = False
        finally:
            self._saving = None

    def brief(self) -> dict[str, Any]:
        """What goes with every heartbeat."""
        level = self._believer.level(self._parts.clock.now())
        return {"level": level.word, "why": level.why, "nodes": len(self._believer.nodes)}

    def table(self) -> dict[str, Any]:
        """All there is to tell, for operators."""
        now = self._parts.clock.now()
        table = self._believer.table(now)
        table["sources"] = [s.table() for s in (self._source, self._other) if s is not None]
        table["differs"] = self._differs
        table["silent"] = {name: round(ns / 1e9, 1) for name, ns in sorted(self._hung.silent(now).items())}
        table["checks"] = self._checks.table() if self._checks is not None else None
        return table


def _index(names: tuple[str, ...], name: str) -> int:
    return names.index(name) if name in names else len(names)
