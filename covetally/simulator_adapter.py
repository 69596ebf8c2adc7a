"""Adapter between the simulator's wire and one `Balancer` per instance. It decides nothing."""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import TextIO

from covetally.interface import (
    RequestReceived,
    Action,
    TimerFired,
    ResponseStarted,
    SetTimer,
    ServerListUpdate,
    ServerEntry,
    Event,
    Fail,
    ClientDisconnected,
    PeerMessage,
    Refuse,
    AttemptEnded,
    CancelAttempt,
    Settings,
    SettingsError,
    SendToPeer,
    Submit,
    Subscribe,
)
from covetally.policy import Balancer

Fields = dict[str, str]
TEXT_FIELDS = {"open_instance": " env="}
RETRY_BIT = 2


class WireError(Exception):
    """A line that cannot be read; the message says what is wrong with it."""


def _fields(line: str) -> Fields:
    """Split a line's name=value parts; the field that holds free text runs to the end of the line."""
    fields: Fields = {}
    name, _, rest = line.partition(" ")
    mark = TEXT_FIELDS.get(name)
    if mark and mark in line:
        head, _, fields[mark[1:-1]] = line.partition(mark)
        rest = head.partition(" ")[2]
    for part in rest.split(" ") if rest else ():
        key, equals, value = part.partition("=")
        if not equals or not key:
            raise WireError(f"expected name=value, found {part!r}")
        fields[key] = value
    return fields


def _int(fields: Fields, name: str, default: int | None = None) -> int:
    value = fields.get(name)
    if value is None:
        if default is None:
            raise WireError(f"field {name!r} is missing")
        return default
    try:
        return int(value)
    except ValueError:
        raise WireError(f"field {name!r} is not a whole number: {value!r}") from None


def _float(name: str, value: str) -> float:
    try:
        return float(value)
    except ValueError:
        raise WireError(f"field {name!r} is not a number: {value!r}") from None


def _text(fields: Fields, name: str) -> str:
    value = fields.get(name)
    if not value:
        raise WireError(f"field {name!r} is missing")
    return value


def _bytes(fields: Fields, name: str) -> bytes:
    value = fields.get(name, "-")
    try:
        return b"" if value == "-" else bytes.fromhex(value)
    except ValueError:
        raise WireError(f"field {name!r} is not hex: {value[:40]!r}") from None


def _usage(fields: Fields) -> dict[str, float]:
    """A load report; pairs that are not name:number are unknown to us and skipped."""
    report = {}
    for pair in fields.get("usage", "").split(","):
        name, _, value = pair.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return report


def _accept(f: Fields) -> RequestReceived:
    bits = _int(f, "bitmap", 0)
    return RequestReceived(
        _text(f, "tid"),
        _int(f, "type", 0),
        _int(f, "ttlNs"),
        _int(f, "costNs", 0) if bits & 1 else 0,
        _int(f, "owner", 0),
        f.get("object", ""),
        bool(bits & RETRY_BIT),
    )


def _response(f: Fields) -> AttemptEnded:
    return AttemptEnded(
        _text(f, "tid"),
        _int(f, "how"),
        _int(f, "lagNs", 0),
        _text(f, "server"),
        _int(f, "go", 0),
        f.get("closed", "0") == "1",
        _usage(f),
    )


READERS: dict[str, Callable[[Fields], Event]] = {
    "accept": _accept,
    "response": _response,
    "begun": lambda f: ResponseStarted(_text(f, "tid")),
    "hangup": lambda f: ClientDisconnected(_text(f, "tid")),
    "heard": lambda f: PeerMessage(_bytes(f, "blob")),
    "alarm": lambda f: TimerFired(_int(f, "tag", 0)),
}


def _entry(f: Fields) -> ServerEntry:
    return ServerEntry(
        _text(f, "server"),
        _int(f, "hall", 0),
        _int(f, "model", 0),
        _int(f, "bay", 0),
        f.get("lifecycle", "up"),
        _float("heft", f.get("heft", "1")),
        _int(f, "startedAtNs", 0),
    )


WRITERS: dict[type, Callable[[int, Action], str]] = {
    Submit: lambda who, a: f"submit_to who={who} tid={a.tid} server={a.server} abandonAtNs={a.abandon_ns}\n",
    Refuse: lambda who, a: f"push_back who={who} tid={a.tid} holdOffNs={a.hold_off_ns}\n",
    Fail: lambda who, a: f"finish_error who={who} tid={a.tid}\n",
    CancelAttempt: lambda who, a: f"retract who={who} tid={a.tid} go={a.attempt}\n",
    Subscribe: lambda who, a: f"subscribe who={who} want=1\n",
    SendToPeer: lambda who, a: f"signal who={who} to={a.peer} blob={a.blob.hex() or '-'}\n",
    SetTimer: lambda who, a: f"defer who={who} inNs={a.delay_ns} tag={a.tag}\n",
}


class Host:
    """Holds the instances of one process and turns batches into replies."""

    def __init__(self, source: Iterable[str], sink: TextIO) -> None:
        self._source = enumerate(source, 1)
        self._sink = sink
        self._line_no = 0
        self._now = 0
        self._rosters: dict[int, tuple[ServerEntry, ...]] = {}
        self._instances: dict[int, Balancer] = {}

    def run(self) -> int:
        """Serve batches until the input ends; return the exit status."""
        out: list[str] = []
        in_batch = False
        try:
            for number, raw in self._source:
                self._line_no = number
                line = raw.rstrip("\n")
                if not raw.endswith("\n"):
                    raise WireError("input ends inside a line")
                if not in_batch:
                    if line:
                        self._start_batch(line)
                        in_batch = True
                elif line == "eob":
                    out.append("next\n")
                    self._sink.write("".join(out))
                    self._sink.flush()
                    out.clear()
                    in_batch = False
                elif line:
                    self._event(line, out)
            if in_batch:
                raise WireError("input ends inside a batch")
        except (WireError, SettingsError) as error:
            print(f"line {self._line_no}: {error}", file=sys.stderr)
            return 2
        except UnicodeDecodeError:
            print(f"line {self._line_no + 1}: not valid UTF-8", file=sys.stderr)
            return 2
        return 0

    def _start_batch(self, line: str) -> None:
        if line.partition(" ")[0] != "clock":
            raise WireError(f"expected a clock line, found {line[:40]!r}")
        self._now = _int(_fields(line), "wallNs")

    def _event(self, line: str, out: list[str]) -> None:
        name = line.partition(" ")[0]
        if name in READERS:
            fields = _fields(line)
            self._deliver(_int(fields, "who"), READERS[name](fields), out)
        elif name == "roster":
            fields = _fields(line)
            self._rosters[_int(fields, "slot")] = self._read_roster(_int(fields, "nodesList", 0))
        elif name == "directory_update":
            fields = _fields(line)
            self._deliver(_int(fields, "who"), self._directory(fields), out)
        elif name == "open_instance":
            self._open(_fields(line), out)
        elif name == "crash_now":
            self._instances.pop(_int(_fields(line), "who"), None)

    def _read_roster(self, count: int) -> tuple[ServerEntry, ...]:
        entries = []
        for _ in range(count):
            self._line_no, raw = next(self._source, (self._line_no, ""))
            line = raw.rstrip("\n")
            if line.partition(" ")[0] != "server" or not raw.endswith("\n"):
                raise WireError(f"expected one of {count} server lines, found {line[:40]!r}")
            entries.append(_entry(_fields(line)))
        return tuple(entries)

    def _directory(self, fields: Fields) -> ServerListUpdate:
        scope = _text(fields, "scope")
        if scope == "FAILED":
            return ServerListUpdate(scope)
        slot = _int(fields, "slot")
        if slot not in self._rosters:
            raise WireError(f"no roster has slot {slot}")
        return ServerListUpdate(scope, self._rosters[slot])

    def _open(self, fields: Fields, out: list[str]) -> None:
        who = _int(fields, "who")
        try:
            raw = json.loads(_text(fields, "env"))
        except ValueError as error:
            raise WireError(f"env is not valid JSON: {error}") from None
        settings = Settings.parse(raw)
        seed = _int(fields, "prng", 0)
        self._guard(who, lambda: self._instances.__setitem__(who, Balancer(settings, seed, self._now)), out)

    def _deliver(self, who: int, event: Event, out: list[str]) -> None:
        balancer = self._instances.get(who)
        if balancer is None:
            return
        try:
            for action in balancer.handle(self._now, event):
                out.append(WRITERS[type(action)](who, action))
        except Exception as error:  # the wire wants any failure of an instance as its fault action
            self._report(who, error, out)

    def _guard(self, who: int, work: Callable[[], None], out: list[str]) -> None:
        try:
            work()
        except Exception as error:  # as in _deliver
            self._report(who, error, out)

    @staticmethod
    def _report(who: int, error: Exception, out: list[str]) -> None:
        traceback.print_exc(file=sys.stderr)
        text = f"{type(error).__name__}: {error}".replace("\n", " ")
        out.append(f"give_in who={who} line={text}\n")


def main() -> int:
    """Entry point of `python -m covetally.simulator_adapter`."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    return Host(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
