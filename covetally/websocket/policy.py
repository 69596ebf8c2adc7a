"""Decides which sockets may open and when sockets are closed. Performs no I/O: the time, in seconds, and the
source of randomness are arguments. The balancer chooses the node of an upgrade, as of any request.

    admit           enforces the limits of this sidecar and of each tenant, counting sockets from the handshake on
    start_drain     a node drains or is off the server list: closes its sockets, spread over drain_s
    cancel_drain    the node is available again: keeps the sockets that are not closed yet
    move_sockets    an operator moves a node's sockets: like start_drain, but the node may get new ones
    shut_down       the process stops: closes all sockets, spread over part of the remaining time
    rebalance       some node has far fewer sockets than the mean: closes one of the fullest node, at most
                    rebalance_per_s a second

Clients whose sockets close together would also reconnect together, so each close frame names a random delay.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

SHUTDOWN_CLOSE_FRACTION = 0.7  # of the shutdown time; the rest is for the closing handshakes
# Times the mean: a node above the first gives up a socket if some node is below the second.
REBALANCE_FROM, REBALANCE_TO = 1.25, 0.75
# A node is reported as unresponsive if this many of its sockets (or all, if it has fewer) stall within
# STALL_WINDOW_S while none of its other sockets receives a frame.
MIN_STALLED_SOCKETS = 3
STALL_WINDOW_S = 30.0


@dataclass(frozen=True, slots=True)
class PolicyConfig:
    """The limits and rates of the policy: counts of sockets, seconds, sockets per second."""

    sockets: int
    per_tenant: int
    drain_s: float
    max_reconnect_delay_s: float  # upper bound of the delay that a close frame names
    rebalance_per_s: float = 0.0


class Close(NamedTuple):
    """A socket that must be closed now, and the reason: drain, gone, moved, rebalance or end."""

    id: int
    reason: str


@dataclass(slots=True)
class _Socket:
    node: str
    tenant: str
    due: float = 0.0  # when it must be closed; 0: not scheduled
    reason: str = ""


class Policy:
    """The limits and scheduled closes of all sockets of one sidecar."""

    def __init__(self, config: PolicyConfig, rng: random.Random) -> None:
        self.config = config
        self._rng = rng
        self._sockets: dict[int, _Socket] = {}
        self._tenant_counts: Counter[str] = Counter()  # including handshakes in progress
        self._count = 0  # including handshakes in progress
        self._sockets_by_node: dict[str, set[int]] = {}
        self._draining: dict[str, tuple[float, str]] = {}  # by when its sockets must be closed, and why
        self._shutdown_at = 0.0  # when all must be closed; 0: no shutdown
        self._available_nodes: set[str] = set()
        self._schedule: list[tuple[float, int]] = []  # a heap; an entry is valid if it equals its socket's `due`
        self._stalls: dict[str, list[float]] = {}
        self._rebalanced_at = 0.0

    # --- limits ---------------------------------------------------------------------------------

    def admit(self, tenant: str) -> str:
        """Count a new handshake and return "", or return the reason for a refusal: end, sockets or tenant."""
        if self._shutdown_at:
            return "end"
        if self._count >= self.config.sockets:
            return "sockets"
        if self._tenant_counts[tenant] >= self.config.per_tenant:
            return "tenant"
        self._count += 1
        self._tenant_counts[tenant] += 1
        return ""

    def release(self, tenant: str) -> None:
        """Release what admit counted: the handshake has failed or the socket has ended."""
        self._count -= 1
        self._tenant_counts[tenant] -= 1
        if not self._tenant_counts[tenant]:
            del self._tenant_counts[tenant]

    def reconnect_delay_s(self) -> float:
        """Return a random delay after which a client should reconnect."""
        return self.config.max_reconnect_delay_s * (0.1 + 0.9 * self._rng.random())

    def opened(self, now: float, id: int, node: str, tenant: str) -> None:
        """Add the socket of a successful handshake."""
        socket = self._sockets[id] = _Socket(node, tenant)
        self._sockets_by_node.setdefault(node, set()).add(id)
        if self._shutdown_at:
            self._schedule_within(now, id, socket, self._shutdown_at, "end")
        elif node in self._draining:  # the drain began during the handshake
            deadline, reason = self._draining[node]
            self._schedule_within(now, id, socket, deadline, reason)

    def ended(self, id: int) -> None:
        """Remove a socket that has ended."""
        socket = self._sockets.pop(id)
        self._sockets_by_node[socket.node].discard(id)
        if not self._sockets_by_node[socket.node]:
            del self._sockets_by_node[socket.node]
        self.release(socket.tenant)

    # --- closing --------------------------------------------------------------------------------

    def set_available_nodes(self, nodes: set[str]) -> None:
        """Set the nodes that may get new sockets."""
        self._available_nodes = nodes

    def start_drain(self, now: float, node: str, reason: str) -> None:
        """Close the sockets of a node that drains ("drain") or is off the server list ("gone")."""
        if node not in self._draining:
            self._draining[node] = (now + self.config.drain_s, reason)
            self._schedule_spread(now, self._sockets_by_node.get(node, set()), self.config.drain_s, reason)

    def cancel_drain(self, node: str) -> None:
        """Keep the sockets of a node that is available; does nothing if it was not draining."""
        if self._draining.pop(node, None) is None or self._shutdown_at:
            return
        for id in self._sockets_by_node.get(node, ()):
            self._sockets[id].due = 0.0

    def forget_node(self, node: str) -> None:
        """Drop the state of a node that is off the server list once it has no sockets."""
        if node not in self._sockets_by_node:
            self._draining.pop(node, None)

    def move_sockets(self, now: float, node: str) -> int:
        """Close a node's sockets on an operator's request; return how many it has."""
        ids = self._sockets_by_node.get(node, set())
        self._schedule_spread(now, {id for id in ids if not self._sockets[id].due}, self.config.drain_s, "moved")
        return len(ids)

    def shut_down(self, now: float, within_s: float) -> None:
        """Close all sockets, since the process stops within that time."""
        self._shutdown_at = now + within_s * SHUTDOWN_CLOSE_FRACTION
        self._schedule_spread(now, set(self._sockets), within_s * SHUTDOWN_CLOSE_FRACTION, "end")

    def _schedule_spread(self, now: float, ids: set[int], window_s: float, reason: str) -> None:
        """Schedule closes evenly over a window, in random order."""
        shuffled = sorted(ids)
        self._rng.shuffle(shuffled)
        for index, id in enumerate(shuffled):
            at = now + window_s * (index + self._rng.random()) / len(shuffled)
            self._schedule_at(id, self._sockets[id], at, reason)

    def _schedule_within(self, now: float, id: int, socket: _Socket, deadline: float, reason: str) -> None:
        """Schedule a close at a random time before a deadline."""
        self._schedule_at(id, socket, now + max(0.0, deadline - now) * self._rng.random(), reason)

    def _schedule_at(self, id: int, socket: _Socket, at: float, reason: str) -> None:
        """Schedule a close; it replaces an earlier one of the socket."""
        socket.due, socket.reason = max(at, 1e-9), reason
        heapq.heappush(self._schedule, (socket.due, id))

    def take_due(self, now: float) -> tuple[list[Close], float]:
        """Return the sockets that must be closed now, and when the next is due (0: none is scheduled)."""
        closes = []
        while self._schedule and self._schedule[0][0] <= now:
            at, id = heapq.heappop(self._schedule)
            socket = self._sockets.get(id)
            if socket is not None and socket.due == at:
                socket.due = 0.0
                closes.append(Close(id, socket.reason))
        return closes, self._schedule[0][0] if self._schedule else 0.0

    def rebalance(self, now: float) -> list[Close]:
        """Return at most one socket to move if that improves the balance; called a few times a second."""
        rate = self.config.rebalance_per_s
        if (
            not rate
            or self._shutdown_at
            or now < self._rebalanced_at + 1.0 / rate
            or len(self._available_nodes) < 2
        ):
            return []
        counts = {node: len(self._sockets_by_node.get(node, ())) for node in self._available_nodes}
        mean = sum(counts.values()) / len(counts)
        fullest = max(counts, key=lambda node: (counts[node], node))
        if (
            counts[fullest] <= REBALANCE_FROM * mean
            or min(counts.values()) >= REBALANCE_TO * mean
            or counts[fullest] < mean + 1
        ):
            return []
        self._rebalanced_at = now
        unscheduled = sorted(id for id in self._sockets_by_node[fullest] if not self._sockets[id].due)
        return [Close(self._rng.choice(unscheduled), "rebalance")] if unscheduled else []

    # --- nodes that stall -----------------------------------------------------------------------

    def record_stall(self, now: float, node: str, others_heard: bool) -> bool:
        """Record that a node was silent on a socket for too long; return whether to report it as unresponsive.
        `others_heard`: another socket has received frames from the node meanwhile."""
        if others_heard:
            self._stalls.pop(node, None)
            return False
        recent = [at for at in self._stalls.get(node, []) if at > now - STALL_WINDOW_S] + [now]
        self._stalls[node] = recent[-MIN_STALLED_SOCKETS:]
        return len(recent) >= min(MIN_STALLED_SOCKETS, len(self._sockets_by_node.get(node, ())) or 1)

    # --- status ---------------------------------------------------------------------------------

    def counts(self) -> dict[str, dict[str, int]]:
        """Return the sockets by node and by tenant; the latter include handshakes in progress."""
        return {
            "nodes": {node: len(ids) for node, ids in sorted(self._sockets_by_node.items())},
            "tenants": dict(sorted(self._tenant_counts.items())),
        }
