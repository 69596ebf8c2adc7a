"""The list of servers: what is told of it, what is derived from it, when to ask."""

from __future__ import annotations

from zlib import crc32

from covetally.interface import SECOND, SetTimer, ServerListUpdate, ServerEntry
from covetally.policy.state import BalancerState
from covetally.policy.constants import PLENTY
from covetally.policy.server import Server
from covetally.policy.dispatch import pump

VNODES = 16  # ring points of a server, so that no server owns far more keys than another
# ns, mean pause before discovery is asked: twice the longest (1.8 of it) and a call without an answer fit into
# the 6 s after which news counts as told. Drawn, so that a crowd does not ask as one.
MEAN_SUBSCRIBE_DELAY = 600_000_000
LONGEST_NEWS = 60 * SECOND  # ns: a start is told within seconds; an outage of discovery may take longer


def apply_update(state: BalancerState, now: int, event: ServerListUpdate) -> None:
    if event.scope == "FAILED":
        state.subscribed = False
        ask_later(state, now)
        return
    if event.scope == "SAVED":
        if state.settings.must_subscribe:  # who does not ask is deemed told of drains all the same
            ask_later(state, now)
    else:
        state.subscribed = state.settings.must_subscribe
    if event.scope != "INCREMENTAL":
        listed = {entry.server for entry in event.entries}
        for name, server in list(state.servers.items()):
            if name not in listed:
                server.up, server.removed = False, True
                state.update_available(server)
                state.remove_if_done(server)
    for entry in event.entries:
        enter(state, now, entry)
    state.has_full_list = state.has_full_list or event.scope == "FULL"
    relist(state, now)
    pump(state, now)


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


def enter(state: BalancerState, now: int, entry: ServerEntry) -> None:
    """One line of a list."""
    server = state.servers.get(entry.server)
    if server is None:
        server = state.servers[entry.server] = Server(entry, state.step_size)
    server.zone, server.kind, server.cell = entry.zone, entry.kind, entry.cell
    if entry.started_ns != server.listed_start:
        restarted = server.listed_start >= 0
        if restarted:
            server.reset()  # verdicts on the old process say nothing of the new one
        server.listed_start = entry.started_ns
        just_told = state.has_full_list or restarted
        server.started = max(server.started, start_of(now, entry.started_ns, just_told))
    server.up = entry.lifecycle == "up"
    server.removed = entry.lifecycle == "removed"
    state.update_available(server)
    state.remove_if_done(server)


def relist(state: BalancerState, now: int) -> None:
    """Rebuild what is derived from the list. Happens on list news only, never for a request."""
    state.up = sorted((s for s in state.servers.values() if s.up), key=lambda s: s.name)
    state.groups = {}
    for server in state.up:
        state.groups.setdefault(-1 - server.zone, []).append(server)
        state.groups.setdefault(server.cell, []).append(server)
    if state.settings.key_affinity:
        # All sidecars hash alike: a key meets the same servers from everywhere without a word exchanged.
        state.ring = sorted(
            ((crc32(f"{s.name}#{i}".encode()), s) for s in state.up for i in range(VNODES)),
            key=lambda point: (point[0], point[1].name),
        )
    mine = state.settings.index
    state.subset = sorted(state.up, key=lambda s: (crc32(f"{mine}/{s.name}".encode()), s.name))
    state.by_hash = {crc32(s.name.encode()): s for s in state.up}
    state.live_count = sum(1 for s in state.up if s.steps)
    state.high_traffic = state.recent_requests > PLENTY * len(state.up)


def ask_later(state: BalancerState, now: int) -> None:
    mean = min(MEAN_SUBSCRIBE_DELAY, state.settings.invariants.subscribe_within_ns // 4)
    pause = int(mean * (0.2 + 1.6 * state.random()))
    state.subscribe_at = now + pause
    state.actions.append(SetTimer(pause, 0))
