"""One sidecar's part in all caps: for each cap a lease holder and an owner, and the messages between members.

The input is the usage of each cap; the output is the number of usable units, events for the balancer and gossip
messages.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from covetally.caps.lease_holder import LeaseHolder, LeaseRequest
from covetally.caps.messages import CapsMessage, MessageKind, decode, encode
from covetally.caps.owner import Grant, Owner, Recall, ReceivedRequest
from covetally.caps.rule import Mode, Rule
from covetally.interface import SECOND, QuotaUpdate
from covetally.gossip import LatestMessages, Message, Topic, first_sequence
from covetally.gossip.transport import BROADCAST, Outgoing

TICK_NS = SECOND // 20
IDLE_TICK_NS = SECOND // 4  # between ticks while no unit is held, lent or wanted
QUERY_INTERVAL_NS = SECOND
CLIENT, NODE = "client", "node"
MAX_SEPARATE_QUERIES = 4  # more members than this are queried by one broadcast
MS10, MS100 = SECOND // 100, SECOND // 10
MIN_IDLE_NS = SECOND // 2  # a connection counts as idle after this time without a request


class Usage(NamedTuple):
    """Usage of a cap at this sidecar.

    `in_use` connections are open and `wanted` more are needed. Of the open ones `idle` have been idle for
    MIN_IDLE_NS or more, the longest of them for `idle_ns`.
    """

    in_use: int = 0
    wanted: int = 0
    idle: int = 0
    idle_ns: int = 0


@dataclass(frozen=True, slots=True)
class Cap:
    """A cap on the connections of a tenant; `kind` is CLIENT or NODE.

    `tenant` is an index; -1 stands for all tenants together that the platform does not name.
    """

    rule: Rule
    kind: str
    tenant: int


@dataclass(slots=True)
class _CapState:
    """One cap at this sidecar: its lease holder, its owner and its latest usage."""

    cap: Cap
    holder: LeaseHolder
    owner: Owner
    usage: Usage = field(default_factory=Usage)
    notified: int = -1  # usable units and their expiry, as of the last event for the balancer


class CapsMember:
    """All caps at one sidecar, as a gossip participant. Times are in ns on one monotonic clock.

    `measure` returns the usage of a cap.
    """

    def __init__(
        self, me: int, incarnation: int, now: int, caps: Iterable[Cap], measure: Callable[[int, Cap], Usage]
    ) -> None:
        self.me, self.incarnation = me, incarnation
        self._measure = measure
        self._states: dict[int, _CapState] = {}  # by the wire id of the cap
        self._received: LatestMessages[None] = LatestMessages(me, 0)
        self._sequence = first_sequence(now)
        self._queried_at = now - QUERY_INTERVAL_NS
        self._left = False
        self.due = now
        self.update_caps(now, caps)

    def update_caps(self, now: int, caps: Iterable[Cap]) -> None:
        """Replace the configured caps; state is kept for those that stay, even if their rule changes."""
        wanted = {cap.rule.wire_id: cap for cap in caps}
        for wire_id in [wire_id for wire_id in self._states if wire_id not in wanted]:
            del self._states[wire_id]
        for wire_id, cap in wanted.items():
            state = self._states.get(wire_id)
            if state is None:
                # Numbers start at the clock, so that no grant to a previous incarnation answers a new request.
                first = first_sequence(now)
                holder, owner = LeaseHolder(cap.rule, self.me, now, first), Owner(cap.rule, self.me, now)
                self._states[wire_id] = _CapState(cap, holder, owner)
            elif state.cap != cap:
                state.cap, state.notified = cap, -1
                state.holder.update_rule(now, cap.rule)
                state.owner.update_rule(now, cap.rule)
        self.due = now

    def usable(self, now: int, wire_id: int) -> int:
        """Return how many units of a cap may be used now; without such a cap there is no limit."""
        state = self._states.get(wire_id)
        return state.holder.usable(now) if state is not None else 2**31

    # --- gossip participant ---------------------------------------------------------------------

    def tick(self, now: int) -> list[Outgoing]:
        """Measure usage, run the holders and owners, and query silent members; returns the messages to send."""
        if now < self.due or self._left:
            return []
        out: list[Outgoing] = []
        busy = False
        for state in self._states.values():
            state.usage = usage = self._measure(now, state.cap)
            state.holder.needed = usage.in_use + usage.wanted
            out += self._request_messages(now, state, state.holder.tick(now, usage.in_use, usage.idle))
            out += self._answer_messages(now, state, state.owner.tick(now))
            busy = busy or state.holder.needed > 0 or state.holder.held(now) > 0 or state.owner.lent > 0
        if now - self._queried_at >= QUERY_INTERVAL_NS:
            self._queried_at = now
            for wire_id, state in self._states.items():
                if not state.owner.units:
                    continue
                silent = state.owner.members_to_query(now)
                for member in (BROADCAST,) if len(silent) > MAX_SEPARATE_QUERIES else silent:
                    out.append(
                        self._message(member, CapsMessage(MessageKind.QUERY, wire_id, 0, self.incarnation))
                    )
        self.due = now + (TICK_NS if busy else IDLE_TICK_NS)
        return out

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Process a message of another member; raises MalformedMessageError if its body is invalid."""
        received = decode(message.body)
        state = self._states.get(received.wire_id)
        if state is None or self._left or message.sender >= state.cap.rule.members:
            return []
        out: list[Outgoing] = []
        if received.kind is MessageKind.REQUEST:
            request = ReceivedRequest(
                received.number, received.units, received.detail, received.idle, received.idle_time * MS100
            )
            out = self._answer_messages(
                now, state, state.owner.handle_request(now, message.sender, message.incarnation, request)
            )
        elif not self._received.record(now, message, None) and received.kind is not MessageKind.GRANT:
            return []
        elif received.kind is MessageKind.GRANT:
            retry_delay_ns = received.detail * MS10
            state.holder.handle_grant(now, message.sender, received.number, received.units, retry_delay_ns)
        elif received.kind is MessageKind.RECALL:
            state.usage = self._measure(now, state.cap)
            out = self._request_messages(
                now, state,
                self._handle_recall(now, state, message.sender, received.units, bool(received.detail)),
            )  # fmt: skip
        elif received.kind is MessageKind.QUERY:
            out = self._request_messages(now, state, state.holder.handle_query(now, message.sender))
        if received.kind in (MessageKind.GRANT, MessageKind.RECALL):
            self.due = min(self.due, now + TICK_NS // 4)
        return out

    def leave(self, now: int) -> list[Outgoing]:
        """Return all units that this sidecar holds, because it stops; what it owns stays lent."""
        out: list[Outgoing] = []
        for state in self._states.values():
            out += self._request_messages(now, state, state.holder.return_all(now))
        self._left = True
        return out

    def events(self, now: int) -> list[QuotaUpdate]:
        """Return the usable units of the caps on node connections, as quotas, where they have changed."""
        out = []
        for state in self._states.values():
            if state.cap.kind != NODE:
                continue
            usable = state.holder.usable(now)
            until = state.holder.expires_at(now) or now + 2**62
            if (usable, until) != state.notified:
                state.notified = (usable, until)
                out.append(QuotaUpdate(state.cap.tenant, True, float(usable), until, 0.0))
        return out

    # --- internals ------------------------------------------------------------------------------

    def _request_messages(self, now: int, state: _CapState, requests: list[LeaseRequest]) -> list[Outgoing]:
        """Return messages for the holder's requests; requests to the local owner are handled at once."""
        out: list[Outgoing] = []
        usage = state.usage
        for request in requests:
            if request.owner == self.me:
                own = ReceivedRequest(request.number, request.held, request.wanted, usage.idle, usage.idle_ns)
                out += self._answer_messages(
                    now, state, state.owner.handle_request(now, self.me, self.incarnation, own)
                )
                continue
            values = (request.held, request.wanted, usage.idle, usage.idle_ns // MS100)
            out.append(self._message(request.owner, CapsMessage(
                MessageKind.REQUEST, state.cap.rule.wire_id, request.number, 0, *values
            )))  # fmt: skip
        return out

    def _handle_recall(
        self, now: int, state: _CapState, owner: int, count: int, busy: bool
    ) -> list[LeaseRequest]:
        # The owner may believe units idle that are in use by now: these are returned only for a lowered cap.
        usage = state.usage
        return state.holder.handle_recall(now, owner, count, usage.in_use, usage.in_use if busy else usage.idle)

    def _answer_messages(self, now: int, state: _CapState, answers: list[Grant | Recall]) -> list[Outgoing]:
        """Return messages for the owner's answers; answers to the local holder are handled at once."""
        out: list[Outgoing] = []
        wire_id = state.cap.rule.wire_id
        for answer in answers:
            if isinstance(answer, Grant):
                if answer.holder == self.me:
                    state.holder.handle_grant(now, self.me, answer.number, answer.lent, answer.retry_delay_ns)
                else:
                    values = (answer.lent, answer.retry_delay_ns // MS10)
                    out.append(self._message(answer.holder, CapsMessage(
                        MessageKind.GRANT, wire_id, answer.number, self.incarnation, *values
                    )))  # fmt: skip
            elif answer.holder == self.me:
                out += self._request_messages(
                    now, state, self._handle_recall(now, state, self.me, answer.count, answer.busy)
                )
            else:
                out.append(self._message(answer.holder, CapsMessage(
                    MessageKind.RECALL, wire_id, 0, self.incarnation, answer.count, answer.busy
                )))  # fmt: skip
        return out

    def _message(self, to: int, body: CapsMessage) -> Outgoing:
        self._sequence += 1
        return Outgoing(to, Message(Topic.CAPS, self.me, self.incarnation, self._sequence, encode(body)))

    def table(self, now: int) -> dict[str, Any]:
        """Return the current state of all caps for operators."""
        return {
            state.cap.rule.name: {
                "cap": state.cap.rule.amount, "mode": state.cap.rule.mode.value,
                "usable": state.holder.usable(now), "in_use": state.usage.in_use,
                "wanted": state.usage.wanted, "resting": state.usage.idle,
                "holder": state.holder.table(now), "home": state.owner.table(now) if state.owner.units else {},
            }
            for state in self._states.values()
        }  # fmt: skip


def max_open(rule: Rule, held_by_stopped: int) -> int:
    """Return the most connections that may be open at any moment: the cap, and in LAPSES mode also those that
    stopped members held when they were stopped."""
    return rule.amount + (held_by_stopped if rule.mode is Mode.LAPSES else 0)
