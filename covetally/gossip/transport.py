"""Words on the event loop: one timer, what is sent, what the balancer is told. Decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from covetally.interface import Event
from covetally.gossip.frame import BadWord, Part, Word, decode, encode

ALL = -1


class Send(NamedTuple):
    """A word for a peer, or with -1 for all."""

    peer: int
    word: Word


class Speaker(Protocol):
    """What takes part in words: the overload line's member, the caps'. Times in ns on the sidecar's clock."""

    due: int

    def tick(self, now: int) -> Iterable[Send]:
        """Time has passed; next at `due`."""

    def heard(self, now: int, word: Word) -> Iterable[Send]:
        """A word of this part; BadWord if its body is none."""

    def told(self, now: int) -> Iterable[Event]:
        """What the balancer is to be told now."""

    def leave(self, now: int) -> Iterable[Send]:
        """This sidecar ends."""

    def table(self, now: int) -> dict[str, Any]:
        """For operators."""


@dataclass(frozen=True, slots=True)
class Parts:
    """What it works with: the sidecar's clock, its datagrams, its balancer."""

    now: Callable[[], int]
    send: Callable[[int, bytes], None]
    advise: Callable[[Event], None]


class Shell:
    """Carries out what speakers decide."""

    def __init__(self, parts: Parts, speakers: Mapping[Part, Speaker]) -> None:
        self._parts, self.speakers = parts, dict(speakers)
        self.garbage = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0

    def start(self) -> None:
        """From here on."""
        self._tick()

    def stop(self, leave: bool = True) -> None:
        """Say that this sidecar ends, if it does, and end."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._parts.now()
        for speaker in self.speakers.values() if leave else ():
            self._carry(speaker.leave(now))

    def heard(self, sender: int, data: bytes) -> None:
        """A datagram from a peer's address."""
        now = self._parts.now()
        try:
            word = decode(data)
            speaker = self.speakers.get(word.part)
            if word.sender != sender:
                raise BadWord(f"of {word.sender} from the address of {sender}")
            if speaker is None:
                return
            self._carry(speaker.heard(now, word))
        except BadWord:
            self.garbage += 1
            return
        self._advise(now, speaker)
        self._set_timer()

    def again(self) -> None:
        """Something has changed under a speaker: look at once."""
        self._tick()

    def _tick(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._parts.now()
        for speaker in self.speakers.values():
            if now >= speaker.due:
                self._carry(speaker.tick(now))
                self._advise(now, speaker)
        self._set_timer()

    def _advise(self, now: int, speaker: Speaker) -> None:
        for event in speaker.told(now):
            self._parts.advise(event)

    def _carry(self, sends: Iterable[Send]) -> None:
        for peer, word in sends:
            self._parts.send(peer, encode(word))

    def _set_timer(self) -> None:
        at = min(speaker.due for speaker in self.speakers.values())
        if self._timer is not None:
            if self._timer_at <= at:
                return
            self._timer.cancel()
        self._timer_at = at
        wait_s = max(0, at - self._parts.now()) / 1e9
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)
