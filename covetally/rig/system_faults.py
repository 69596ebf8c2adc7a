"""Faults at a process's border to the operating system: which call fails, when, how. No I/O here.

    Fault("accept", "ECONNABORTED", share=0.3)              three in ten calls fail
    Fault("accept", "ENFILE", begin_ns=a, end_ns=b)         every call in a span of CLOCK_MONOTONIC
    Fault("send", "ETIMEDOUT", nth=17)                      the 17th call of the process and no other
    Fault("recv", SHORT, share=0.5)                         one byte is read or written in place of more
    Fault("clock", STEP, step_s=-3600.0, begin_ns=a)        the wall clock reads an hour less from then on
    Fault("pause", STALL, step_s=0.15, share=0.01)          the process is held up before a call
    Fault("wakeup", "EAGAIN")                               no write by which a signal wakes the loop succeeds

`covetally/rig/fault_launcher.py` carries a schedule out in a process of the program.
"""

from __future__ import annotations

import errno
import json
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field

SHORT, STEP, STALL = "SHORT", "STEP", "STALL"
CLOCK, PAUSE, WAKEUP = "clock", "pause", "wakeup"
SOCKET_CALLS = (
    "socket", "accept", "connect", "recv", "send", "client_recv", "client_send", "setsockopt", "getsockopt",
    "epoll_wait", "epoll_ctl",
)  # fmt: skip
FILE_CALLS = ("open", "write", "fsync", "rename", "unlink")
CALLS = (*SOCKET_CALLS, *FILE_CALLS)
# What Linux documents for each call and a test may bring about; EINTR where Python does not call again by itself.
ERRNOS = {
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "accept": (
        "ECONNABORTED", "EPROTO", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ENETDOWN", "EHOSTUNREACH",
        "ETIMEDOUT", "EPERM",
    ),
    "connect": ("EADDRNOTAVAIL", "ENOBUFS", "ENETUNREACH", "EHOSTUNREACH", "ECONNREFUSED", "EAGAIN", "ETIMEDOUT"),
    "recv": ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOMEM", SHORT),
    "send": ("ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS", SHORT),
    "client_recv": (SHORT,),
    "client_send": (SHORT,),
    "setsockopt": ("ENOMEM", "ENOBUFS"),
    "getsockopt": ("ENOBUFS",),
    "epoll_wait": ("EINTR",),
    "epoll_ctl": ("ENOMEM", "ENOSPC"),
    "open": ("EMFILE", "ENFILE", "EROFS", "EACCES", "ENOSPC"),
    "write": ("ENOSPC", "EIO", "EDQUOT"),
    "fsync": ("EIO", "ENOSPC"),
    "rename": ("EIO", "ENOSPC", "EROFS"),
    "unlink": ("EIO", "EROFS"),
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Fault:
    """One way in which calls fail. Times are ns on CLOCK_MONOTONIC; `share` is of the calls in that span, and
    `nth` (from 1) is one call of the process's life, in which case share and span do not count."""

    call: str
    how: str  # an errno's name, SHORT, STEP or STALL
    begin_ns: int = 0
    end_ns: int = 0  # 0: for good
    share: float = 1.0
    nth: int = 0
    step_s: float = 0.0

    def __post_init__(self) -> None:
        if self.call not in (*CALLS, CLOCK, PAUSE, WAKEUP):
            raise ValueError(f"no such call: {self.call}")
        if self.how not in (SHORT, STEP, STALL) and not hasattr(errno, self.how):
            raise ValueError(f"no such errno: {self.how}")

    def active(self, now_ns: int) -> bool:
        """Whether its span has begun and not ended."""
        return self.begin_ns <= now_ns and (not self.end_ns or now_ns < self.end_ns)


@dataclass(frozen=True, slots=True)
class FaultSchedule:
    """What one process is to meet. `report` is a file that the launcher writes counts of calls to at the end."""

    faults: tuple[Fault, ...] = ()
    seed: int = 1
    report: str = ""

    def text(self) -> str:
        """As it goes to a process."""
        return json.dumps(asdict(self))

    @classmethod
    def read(cls, text: str) -> FaultSchedule:
        """What `text` made; ValueError, KeyError or TypeError if it is none."""
        raw = json.loads(text)
        return cls(tuple(Fault(**fault) for fault in raw["faults"]), raw["seed"], raw["report"])


@dataclass(slots=True)
class Injector:
    """Decides call by call. The same seed and the same calls give the same faults."""

    schedule: FaultSchedule
    calls: Counter[str] = field(default_factory=Counter)  # made
    failed: Counter[str] = field(default_factory=Counter)  # made to fail, as "call errno"
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(self.schedule.seed)

    def next(self, call: str, now_ns: int) -> Fault | None:
        """The fault that this call meets; None if it is left alone."""
        self.calls[call] += 1
        for fault in self.schedule.faults:
            if fault.call == call and self._hits(fault, self.calls[call], now_ns):
                self.failed[f"{call} {fault.how}"] += 1
                return fault
        return None

    def _hits(self, fault: Fault, number: int, now_ns: int) -> bool:
        if fault.nth:
            return number == fault.nth
        return fault.active(now_ns) and (fault.share >= 1.0 or self._random.random() < fault.share)

    def has(self, call: str) -> bool:
        """Whether any fault of this call is scheduled."""
        return any(fault.call == call for fault in self.schedule.faults)

    def clock_step_ns(self, now_ns: int) -> int:
        """By how much the wall clock is off now."""
        steps = [f.step_s for f in self.schedule.faults if f.call == CLOCK and f.active(now_ns)]
        return int(sum(steps) * 1e9)


def drawn(seed: int, begin_ns: int, seconds: float, calls: Sequence[str], share: float = 0.3) -> FaultSchedule:
    """Overlapping faults of these calls over a span, drawn from a seed: in some seconds a share of the calls
    fails, in some all of them, the clock is stepped both ways, and the process is held up now and then."""
    rng = random.Random(seed)
    faults = []
    for _ in range(max(1, int(seconds))):
        at_ns = begin_ns + int(rng.uniform(0.0, seconds) * 1e9)
        call = rng.choice(tuple(calls))
        total = call in ("accept", "connect", "socket", "write", "fsync", "rename") and rng.random() < 0.3
        length_ns = int(rng.uniform(0.2, 1.0) * 1e9)
        how = rng.choice(ERRNOS[call])
        faults.append(Fault(call, how, at_ns, at_ns + length_ns, 1.0 if total else rng.uniform(0.02, share)))
    for _ in range(2):
        at_ns = begin_ns + int(rng.uniform(0.0, seconds) * 1e9)
        faults.append(Fault(CLOCK, STEP, at_ns, step_s=rng.choice((-3600.0, -5.0, 5.0, 3600.0))))
    faults.append(Fault(PAUSE, STALL, begin_ns, share=0.0005, step_s=0.15))
    return FaultSchedule(tuple(faults), seed)
