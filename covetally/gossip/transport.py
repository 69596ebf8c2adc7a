"""Runs gossip participants on the event loop: one timer, outgoing datagrams, and events for the balancer.

All decisions are made by the participants.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from covetally.interface import SECOND, Event
from covetally.gossip.frame import MalformedMessageError, Message, Topic, decode, encode

BROADCAST = -1
ERROR_PAUSE_NS = SECOND  # after a tick that failed: its participant may be due still
log = logging.getLogger(__name__)


class Outgoing(NamedTuple):
    """A message to send to one peer, or to all peers if `peer` is BROADCAST."""

    peer: int
    message: Message


class Participant(Protocol):
    """Sends and receives the messages of one topic. Times are in ns on the sidecar's clock."""

    due: int  # when `tick` has to be called next

    def tick(self, now: int) -> Iterable[Outgoing]:
        """Do what is due by now and set `due` anew; returns the messages to send."""

    def receive(self, now: int, message: Message) -> Iterable[Outgoing]:
        """Process a message of this topic; raises MalformedMessageError if its body is invalid."""

    def events(self, now: int) -> Iterable[Event]:
        """Return the events that the balancer has to process now."""

    def leave(self, now: int) -> Iterable[Outgoing]:
        """Return the messages to send when this sidecar stops."""

    def table(self, now: int) -> dict[str, Any]:
        """Return the current state for operators."""


@dataclass(frozen=True, slots=True)
class TransportCallbacks:
    """What the transport calls: the sidecar's clock, its datagram socket and its balancer."""

    now: Callable[[], int]
    send: Callable[[int, bytes], None]
    apply_event: Callable[[Event], None]


class GossipTransport:
    """Carries messages between the participants of this sidecar and its peers."""

    def __init__(self, callbacks: TransportCallbacks, participants: Mapping[Topic, Participant]) -> None:
        self._callbacks, self.participants = callbacks, dict(participants)
        self.malformed = 0  # datagrams dropped: not a message, or sent under another peer's index
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0
        self._not_before = 0  # the next tick is no earlier

    def start(self) -> None:
        """Run the first tick, which starts the timer."""
        self._tick()

    def stop(self, leave: bool = True) -> None:
        """Stop the timer; `leave` also sends what the participants say when the sidecar itself stops."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._callbacks.now()
        for participant in self.participants.values() if leave else ():
            self._send(participant.leave(now))

    def receive(self, sender: int, data: bytes) -> None:
        """Process a datagram that came from the address of the peer with index `sender`."""
        now = self._callbacks.now()
        try:
            message = decode(data)
            participant = self.participants.get(message.topic)
            if message.sender != sender:
                raise MalformedMessageError(f"sender is {message.sender}, but the address is that of {sender}")
            if participant is None:
                return
            self._send(participant.receive(now, message))
        except MalformedMessageError:
            self.malformed += 1
            return
        self._apply_events(now, participant)
        self._set_timer()

    def tick_now(self) -> None:
        """Run the ticks that are due at once, after a participant has been reconfigured."""
        self._tick()

    def _tick(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._callbacks.now()
        for participant in self.participants.values():
            if now >= participant.due:
                self._tick_participant(now, participant)
        self._set_timer()

    def _tick_participant(self, now: int, participant: Participant) -> None:
        """Run one participant's tick. If it fails, the others and the timer go on."""
        try:
            self._send(participant.tick(now))
            self._apply_events(now, participant)
        except Exception:
            log.exception("a tick of %s failed", type(participant).__name__)
            self._not_before = now + ERROR_PAUSE_NS

    def _apply_events(self, now: int, participant: Participant) -> None:
        for event in participant.events(now):
            self._callbacks.apply_event(event)

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        for peer, message in outgoing:
            self._callbacks.send(peer, encode(message))

    def _set_timer(self) -> None:
        at = max(self._not_before, min(participant.due for participant in self.participants.values()))
        if self._timer is not None:
            if self._timer_at <= at:
                return
            self._timer.cancel()
        self._timer_at = at
        wait_s = max(0, at - self._callbacks.now()) / 1e9
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)
