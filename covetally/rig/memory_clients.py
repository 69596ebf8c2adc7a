"""Clients that make a sidecar hold much memory, as a process of its own, so that their work delays nobody else's.

The command `{"burst": N}` starts a burst. At its end the process writes how long its clients waited.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from typing import Any

from covetally.rig.child import emit, obey
from covetally.rig.usual_clients import Address, read_status, usual_request

PATIENCE_S = 6.0  # of a client that waits for an answer or a close
REFUSED_PAUSE_S = 0.05  # after a connect that was refused
PIECE_S = 0.002  # between the pieces of a request
MANY = 15_000  # bytes of header fields
LONG_FIELD = 1_000  # bytes
PIECE = 1_500  # bytes
BODY, BODY_SENT = 65_000, 60_000  # bytes, of a body that stays incomplete

Pieces = Iterator[bytes]


def _post(name: str, length: int) -> bytes:
    return (
        f"POST /api?sid=5f3a HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {name}\r\nX-Qos: calib-update\r\n"
        f"X-Customer: officina-verona\r\nX-Expires-In: 1.500\r\nContent-Length: {length}\r\n"
    ).encode()


@cache
def _short_fields(names: tuple[bytes, ...]) -> bytes:
    lines, size = [], 0
    for name in itertools.cycle(names):
        lines.append(name + b":" + name + b"\r\n")
        size += len(lines[-1])
        if size >= MANY:
            return b"".join(lines)
    raise AssertionError


def _many_fields(name: str) -> Pieces:
    yield _post(name, 10) + _short_fields((b"a",))


def _varied_fields(name: str) -> Pieces:
    yield _post(name, 10) + _short_fields((b"a", b"bb", b"ccc"))


def _fields_in_pieces(name: str) -> Pieces:
    head = _post(name, 10) + _short_fields((b"a", b"bb", b"ccc"))
    for at in range(0, len(head), PIECE):
        yield head[at : at + PIECE]


@cache
def _long_lines() -> bytes:
    return b"".join(b"x-%d: " % number + b"v" * LONG_FIELD + b"\r\n" for number in range(MANY // LONG_FIELD - 1))


def _long_fields(name: str) -> Pieces:
    yield _post(name, 10) + _long_lines()


def _large_body(name: str) -> Pieces:
    yield _post(name, BODY) + b"\r\n" + b"x" * BODY_SENT


def _large_body_in_pieces(name: str) -> Pieces:
    yield _post(name, BODY) + b"\r\n"
    for _ in range(0, BODY_SENT, PIECE):
        yield b"x" * PIECE


def _small_body(name: str) -> Pieces:
    yield _post(name, BODY) + b"\r\n" + b"x" * 4_000


def _whole_head(name: str) -> Pieces:
    yield usual_request(name).removesuffix(b"\r\n") + _short_fields((b"a", b"bb", b"ccc")) + b"\r\n"


def _whole_long_head(name: str) -> Pieces:
    yield usual_request(name).removesuffix(b"\r\n") + _long_lines() + b"\r\n"


def _whole_body(name: str) -> Pieces:
    yield _post(name, BODY_SENT) + b"\r\n" + b"x" * BODY_SENT


def _pipeline(name: str) -> Pieces:
    yield b"".join(usual_request(f"{name}-{number}") for number in range(400))


def _noise(name: str) -> Pieces:
    yield b"\x8e\xfb" * 20 + b"\r\n\r\n"


def _health(name: str) -> Pieces:
    yield b"GET /_health HTTP/1.1\r\nHost: rig\r\n\r\n"


def _unknown_class(name: str) -> Pieces:
    yield usual_request(name, {"X-Qos": name})


def _new_names(name: str) -> Pieces:
    yield usual_request(name, {f"x-{name}-{number}": name for number in range(60)})


KINDS: dict[str, Callable[[str], Pieces]] = {
    "many_fields": _many_fields,
    "varied_fields": _varied_fields,
    "fields_in_pieces": _fields_in_pieces,
    "long_fields": _long_fields,
    "large_body": _large_body,
    "large_body_in_pieces": _large_body_in_pieces,
    "small_body": _small_body,
    "whole_head": _whole_head,
    "whole_long_head": _whole_long_head,
    "whole_body": _whole_body,
    "pipeline": _pipeline,
}
# Small requests at full speed.
KINDS_AT_SPEED: dict[str, Callable[[str], Pieces]] = {
    "noise": _noise,
    "health": _health,
    "unknown_class": _unknown_class,
    "new_names": _new_names,
}


@dataclass(frozen=True, slots=True)
class ClientsSpec:
    """One process of clients: `numbers` are those of its clients, and `kinds` are taken in turn."""

    address: Address
    kinds: tuple[str, ...]
    numbers: tuple[int, ...]
    step_s: float  # between the first connections of two clients
    burst_s: float  # how long the clients of a burst come again once they were refused


async def _hold(
    address: Address, pieces: Callable[[str], Pieces], name: str, waits_s: list[float], until: float
) -> None:
    """Connect and send one request after the other, as long as they are served; those that stay incomplete wait
    for an error or a close."""
    started_at = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:  # the backlog is full, or the sidecar has ended
        await asyncio.sleep(REFUSED_PAUSE_S)
        return
    served = True
    try:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + PATIENCE_S) as timeout:
            for turn in itertools.count():
                for number, piece in enumerate(pieces(f"{name}-{turn}")):
                    if number:
                        await asyncio.sleep(PIECE_S)
                    writer.write(piece)
                    await writer.drain()
                status, kept = await read_status(reader)
                served = status == 200
                if not (served and kept) or time.monotonic() >= until:
                    break
                timeout.reschedule(asyncio.get_running_loop().time() + PATIENCE_S)
                started_at = time.monotonic()
    except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
        served = False
    finally:
        writer.close()
        if not served:
            waits_s.append(time.monotonic() - started_at)


async def _press(spec: ClientsSpec, number: int, burst: int, waits_s: list[float]) -> None:
    """Be one client of a burst: come again as soon as a connection has ended."""
    until = time.monotonic() + spec.burst_s
    await asyncio.sleep(spec.step_s * number)
    pieces = (KINDS | KINDS_AT_SPEED)[spec.kinds[number % len(spec.kinds)]]
    for turn in itertools.count():
        if time.monotonic() >= until:
            return
        await _hold(spec.address, pieces, f"held{burst}-{number}-{turn}", waits_s, until)


async def _play_burst(spec: ClientsSpec, burst: int) -> None:
    waits_s: list[float] = []
    await asyncio.gather(*(_press(spec, number, burst, waits_s) for number in spec.numbers))
    emit(["done", burst, [round(wait, 3) for wait in waits_s]])


async def main(spec: ClientsSpec) -> None:
    """Play one burst for each command, until standard input ends."""
    emit(["ready"])

    async def on_command(command: dict[str, Any]) -> None:
        await _play_burst(spec, command["burst"])

    await obey(on_command)


if __name__ == "__main__":
    raw = json.loads(sys.argv[1])
    asyncio.run(
        main(
            ClientsSpec(
                tuple(raw["address"]), tuple(raw["kinds"]), tuple(raw["numbers"]), raw["step_s"], raw["burst_s"]
            )
        )
    )
