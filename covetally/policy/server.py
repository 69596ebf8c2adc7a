"""What a sidecar knows of one server."""

from __future__ import annotations

from zlib import crc32

from covetally.interface import Entry


class Server:
    """What this sidecar knows of one server."""

    __slots__ = (
        "name",
        "zone",
        "kind",
        "cell",
        "up",
        "started",
        "inflight",
        "k",
        "figure",
        "trial",
        "backoff",
        "retry_at",
        "stretch",
        "wait",
        "seen",
        "bad",
        "peak",
        "used",
        "slot",
        "refused",
        "gone",
        "ceiling",
        "late",
        "fails",
        "held",
        "warned",
        "turn",
        "phase",
        "tried",
        "joined",
        "told_start",
    )

    def __init__(self, entry: Entry, figure: float) -> None:
        self.name = entry.server
        self.ceiling = figure
        self.warned: tuple[int, ...] = ()  # classes for which the tier tells to try elsewhere first; -1: all
        self.phase = crc32(entry.server.encode())  # with this sidecar's number: its turns of the fleet's
        self.tried = self.joined = 0  # when last tried, and when a connection was last opened
        self.turn = False  # the tier's one trial call there is this sidecar's
        self.held = 0  # connections of another protocol that stand there: see "upgrade"
        self.inflight = 0
        self.peak = 0  # connections open, as far as own calls in flight tell
        self.used = 0  # when a connection was last used
        self.slot = -1  # place in the list of servers under budget, -1 when not in it
        self.up = False
        self.gone = False  # off the list: forgotten with its last outcome
        self.told_start = -1  # as the list last had it, on whatever clock; -1: not on the list yet
        self.started = -1  # on this sidecar's clock: slow start counts from here
        self.reset()

    def reset(self) -> None:
        """A new process: nothing learned of the old one holds."""
        self.k, self.figure = 1, self.ceiling
        self.trial = False
        self.backoff = self.retry_at = 0
        self.stretch = self.wait = 0.0
        self.seen = 0  # 0: never heard of, so the fleet's mean stands in
        self.bad = 0.0  # share of late outcomes that were failures
        self.late = 0.0  # share of late outcomes that were time-outs, while they teach nothing else
        self.fails: dict[int, float] = {}  # by class: share of late outcomes that were failures or time-outs
        self.refused = 0  # connections that failed since the last success

    @property
    def budget(self) -> int:
        return (int(self.k * self.figure) or 1) if self.k else 0
