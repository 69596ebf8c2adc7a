"""Applies server list updates, maintains what is derived from the list, and decides when to subscribe."""

from __future__ import annotations

from zlib import crc32

from covetally.interface import SECOND, ServerEntry, ServerListUpdate, Subscribe
from covetally.policy.state import BalancerState
from covetally.policy.constants import HIGH_TRAFFIC_REQUESTS
from covetally.policy.server import Server
from covetally.policy.dispatch import dispatch_queue

RING_POINTS = 16  # hash ring points per server, so that no server owns far more keys than another
# Mean delay before discovery is asked, in ns. Twice the longest delay (1.8 of the mean) and an unanswered call
# fit into the 6 s after which an update counts as received. The delay is random, so that many sidecars do not ask
# at once.
MEAN_SUBSCRIBE_DELAY = 600_000_000
# A start is listed within seconds, or later during an outage of discovery; see `local_start_time`.
MAX_START_DELAY_NS = 60 * SECOND


def apply_update(state: BalancerState, now: int, event: ServerListUpdate) -> None:
    """Apply a server list update, then dispatch queued calls."""
    if event.scope == "FAILED":
        subscribe(state)
        return
    if event.scope == "SAVED" and state.settings.must_subscribe:
        subscribe(state)  # drains count as known to an instance even before it subscribes
    if event.scope != "INCREMENTAL":
        listed = {entry.server for entry in event.entries}
        for name, server in list(state.servers.items()):
            if name not in listed:
                server.up, server.removed = False, True
                state.update_available(server)
                state.remove_if_done(server)
    for entry in event.entries:
        apply_entry(state, now, entry)
    state.has_full_list = state.has_full_list or event.scope == "FULL"
    rebuild_indexes(state, now)
    dispatch_queue(state, now)


def local_start_time(now: int, listed: int, just_listed: bool) -> int:
    """Return when a server started, on this sidecar's clock, given its listed start time (0: long ago).

    The wall clocks of the machines may differ by an hour in either direction, and this process read its own at
    its start. A start time in the future, or a newly listed one that is long past, shows that the clocks
    disagree. The server then counts as started now, which is never too early. Entries in a process's first list
    count as new only if they differ from the list of the process before it. The cost is a needless slow start of
    a server that is listed late.
    """
    if listed > now or (just_listed and 0 < listed < now - MAX_START_DELAY_NS):
        return now
    return listed


def apply_entry(state: BalancerState, now: int, entry: ServerEntry) -> None:
    """Add or update one server from its list entry."""
    server = state.servers.get(entry.server)
    if server is None:
        server = state.servers[entry.server] = Server(entry, state.step_size)
    server.zone, server.kind, server.cell = entry.zone, entry.kind, entry.cell
    if entry.started_ns != server.listed_start:
        restarted = server.listed_start >= 0
        if restarted:
            server.reset()  # what was learned of the old process does not apply to the new one
        server.listed_start = entry.started_ns
        just_listed = state.has_full_list or restarted
        server.started = max(server.started, local_start_time(now, entry.started_ns, just_listed))
    server.up = entry.lifecycle == "up"
    server.removed = entry.lifecycle == "removed"
    state.update_available(server)
    state.remove_if_done(server)


def rebuild_indexes(state: BalancerState, now: int) -> None:
    """Rebuild what is derived from the list. Runs on list updates only, never per request."""
    state.up = sorted((s for s in state.servers.values() if s.up), key=lambda s: s.name)
    state.groups = {}
    for server in state.up:
        state.groups.setdefault(-1 - server.zone, []).append(server)
        state.groups.setdefault(server.cell, []).append(server)
    if state.settings.key_affinity:
        # All sidecars use the same hash, so a key maps to the same servers everywhere without any messages.
        state.ring = sorted(
            ((crc32(f"{s.name}#{i}".encode()), s) for s in state.up for i in range(RING_POINTS)),
            key=lambda point: (point[0], point[1].name),
        )
    index = state.settings.index
    state.subset = sorted(state.up, key=lambda s: (crc32(f"{index}/{s.name}".encode()), s.name))
    state.by_hash = {crc32(s.name.encode()): s for s in state.up}
    state.live_count = sum(1 for s in state.up if s.steps)
    state.high_traffic = state.recent_requests > HIGH_TRAFFIC_REQUESTS * len(state.up)


def subscribe(state: BalancerState) -> None:
    """Subscribe after a random delay."""
    mean = min(MEAN_SUBSCRIBE_DELAY, state.settings.invariants.subscribe_within_ns // 4)
    state.actions.append(Subscribe(int(mean * (0.2 + 1.6 * state.random()))))
