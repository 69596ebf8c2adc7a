"""The list of servers: what is told of it, what is derived from it, when to ask."""

from __future__ import annotations

from zlib import crc32

from covetally.interface import SECOND, Defer, Directory, Entry
from covetally.policy.state import Book
from covetally.policy.constants import PLENTY
from covetally.policy.server import Server
from covetally.policy.dispatch import pump

VNODES = 16  # ring points of a server, so that no server owns far more keys than another
# ns, mean pause before discovery is asked: twice the longest (1.8 of it) and a call without an answer fit into
# the 6 s after which news counts as told. Drawn, so that a crowd does not ask as one.
ASK_GAP = 600_000_000
LONGEST_NEWS = 60 * SECOND  # ns: a start is told within seconds; an outage of discovery may take longer


def apply_update(b: Book, now: int, event: Directory) -> None:
    if event.scope == "FAILED":
        b.watching = False
        ask_later(b, now)
        return
    if event.scope == "SAVED":
        if b.settings.must_ask:  # who does not ask is deemed told of drains all the same
            ask_later(b, now)
    else:
        b.watching = b.settings.must_ask
    if event.scope != "INCREMENTAL":
        listed = {entry.server for entry in event.entries}
        for name, server in list(b.servers.items()):
            if name not in listed:
                server.up, server.gone = False, True
                b.refresh(server)
                b.forget(server)
    for entry in event.entries:
        enter(b, now, entry)
    b.listed = b.listed or event.scope == "FULL"
    relist(b, now)
    pump(b, now)


def start_of(now: int, told: int, just_told: bool) -> int:
    """When a server started, on this sidecar's clock, by what the list tells of it (0: long ago).

    The wall clocks of the machines may be off by an hour, each way, and this one's was read at the process's
    start. A start that has not come yet, or one that the list has only now and that would be long over, shows
    that the clocks disagree: then the server counts as started now, which can only be too late. The first list of
    a process has only now what differs from the list of the process before it. It costs a server that was told of
    late a slow start that it did not need.
    """
    if told > now or (just_told and 0 < told < now - LONGEST_NEWS):
        return now
    return told


def enter(b: Book, now: int, entry: Entry) -> None:
    """One line of a list."""
    server = b.servers.get(entry.server)
    if server is None:
        server = b.servers[entry.server] = Server(entry, b.figure)
    server.zone, server.kind, server.cell = entry.zone, entry.kind, entry.cell
    if entry.started_ns != server.told_start:
        restarted = server.told_start >= 0
        if restarted:
            server.reset()  # verdicts on the old process say nothing of the new one
        server.told_start = entry.started_ns
        just_told = b.listed or restarted
        server.started = max(server.started, start_of(now, entry.started_ns, just_told))
    server.up = entry.lifecycle == "up"
    server.gone = entry.lifecycle == "removed"
    b.refresh(server)
    b.forget(server)


def relist(b: Book, now: int) -> None:
    """Rebuild what is derived from the list. Happens on list news only, never for a request."""
    b.up = sorted((s for s in b.servers.values() if s.up), key=lambda s: s.name)
    b.groups = {}
    for server in b.up:
        b.groups.setdefault(-1 - server.zone, []).append(server)
        b.groups.setdefault(server.cell, []).append(server)
    if b.settings.warm_keys:
        # All sidecars hash alike: a key meets the same servers from everywhere without a word exchanged.
        b.ring = sorted(
            ((crc32(f"{s.name}#{i}".encode()), s) for s in b.up for i in range(VNODES)),
            key=lambda point: (point[0], point[1].name),
        )
    mine = b.settings.index
    b.subset = sorted(b.up, key=lambda s: (crc32(f"{mine}/{s.name}".encode()), s.name))
    b.by_mark = {crc32(s.name.encode()): s for s in b.up}
    b.live = sum(1 for s in b.up if s.k)
    b.many = b.heard > PLENTY * len(b.up)


def ask_later(b: Book, now: int) -> None:
    mean = min(ASK_GAP, b.settings.invariants.must_ask_in_ns // 4)
    pause = int(mean * (0.2 + 1.6 * b.random()))
    b.asked_at = now + pause
    b.acts.append(Defer(pause, 0))
