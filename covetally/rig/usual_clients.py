"""Usual clients of one sidecar process: each sends one request after the other and notes how each ended."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import dataclass, field

from covetally.rig import wire

Address = tuple[str, int]
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]

USUAL_PAUSE_S = 0.02
DEADLINE_S = 1.0  # of a usual request
LATEST_S = DEADLINE_S + 0.5  # a request without an answer by then is lost


@dataclass
class UsualReport:
    """What the usual clients of one play saw."""

    statuses: Counter[int] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)  # of answers 200
    unanswered: list[str] = field(default_factory=list)
    closed: list[str] = field(default_factory=list)  # first requests on a connection that were closed unanswered

    def p99_ms(self) -> float:
        """The 99th percentile of the latencies."""
        ordered = sorted(self.latencies_s)
        return round(ordered[int(0.99 * len(ordered))] * 1000, 1) if ordered else 0.0

    def broken(self) -> list[str]:
        """What was owed to usual clients and not kept, in words."""
        found = [f"{name} had no answer" for name in self.unanswered]
        return found + [f"{name} was read and closed with no answer" for name in self.closed]


async def read_status(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """The status of the next answer, and whether its connection goes on."""
    head = await reader.readuntil(b"\r\n\r\n")
    (_, status, *_), headers = wire.parse_head(head[:-4])
    await reader.readexactly(int(headers.get(b"content-length", b"0")))
    return int(status), headers.get(b"connection", b"").lower() != b"close"


def usual_request(name: str, more: dict[str, str] | None = None) -> bytes:
    """A request that is safe to repeat, with further headers."""
    headers = {
        "Host": "app.svc", "X-Trace-Id": name, "X-Qos": "module-lookup", "X-Customer": "officina-brescia",
        "X-Expires-In": f"{DEADLINE_S:.3f}",
    }  # fmt: skip
    return wire.request("GET", "/api?sid=5f3a", headers | (more or {}))


async def send_usual(address: Address, number: int, length_s: float, ends: bool, report: UsualReport) -> None:
    """Send one request after the other for `length_s`, on a kept connection where there is one. `ends` says that
    the sidecar is told to end meanwhile."""
    ends_at = time.monotonic() + length_s
    connection: Connection | None = None
    for turn in itertools.count():
        if time.monotonic() > ends_at:
            break
        name = f"usual{number}-{turn}"
        reused = connection is not None
        asked_at = time.monotonic()
        try:
            async with asyncio.timeout(LATEST_S):
                if connection is None:
                    connection = await asyncio.open_connection(*address)
                connection[1].write(usual_request(name))
                status, kept = await read_status(connection[0])
        except ConnectionRefusedError:
            break  # the sidecar has ended
        except TimeoutError:
            report.unanswered.append(name)
            connection = None
        except (asyncio.IncompleteReadError, ConnectionError):
            if not reused and not ends:  # one that crosses the close of an idle connection is sent again
                report.closed.append(name)
            connection = None
        else:
            report.statuses[status] += 1
            if status == 200:
                report.latencies_s.append(time.monotonic() - asked_at)
            if not kept:
                connection[1].close()
                connection = None
        await asyncio.sleep(USUAL_PAUSE_S)
    if connection is not None:
        connection[1].close()
