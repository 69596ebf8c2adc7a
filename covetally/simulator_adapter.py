"""Adapter between the simulator's line protocol and one `Balancer` per instance. It makes no decisions.

Input comes in batches: a `clock` line, event lines, and `eob`. The reply to a batch is one line per action, then
`next`.
"""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import TextIO

from covetally.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    Event,
    Fail,
    PeerMessage,
    Refuse,
    RequestReceived,
    ResponseStarted,
    SendToPeer,
    ServerEntry,
    ServerListUpdate,
    SetTimer,
    Settings,
    SettingsError,
    Submit,
    Subscribe,
    TimerFired,
)
from covetally.policy import Balancer

Fields = dict[str, str]
# By line name: the field that holds free text, up to the end of the line.
TEXT_FIELDS = {"open_instance": " env="}
RETRY_BIT = 2  # of `bitmap`
SUBSCRIBE_TAG = 1000  # of the alarms that this module sets; the balancer's are below


class ProtocolError(Exception):
    """A line that cannot be parsed; the message says why."""


def _fields(line: str) -> Fields:
    """Parse the name=value parts of a line."""
    fields: Fields = {}
    name, _, rest = line.partition(" ")
    prefix = TEXT_FIELDS.get(name)
    if prefix and prefix in line:
        head, _, fields[prefix[1:-1]] = line.partition(prefix)
        rest = head.partition(" ")[2]
    for part in rest.split(" ") if rest else ():
        key, equals, value = part.partition("=")
        if not equals or not key:
            raise ProtocolError(f"expected name=value, found {part!r}")
        fields[key] = value
    return fields


def _int_field(fields: Fields, name: str, default: int | None = None) -> int:
    value = fields.get(name)
    if value is None:
        if default is None:
            raise ProtocolError(f"field {name!r} is missing")
        return default
    try:
        return int(value)
    except ValueError:
        raise ProtocolError(f"field {name!r} is not a whole number: {value!r}") from None


def _float_value(name: str, value: str) -> float:
    try:
        return float(value)
    except ValueError:
        raise ProtocolError(f"field {name!r} is not a number: {value!r}") from None


def _text_field(fields: Fields, name: str) -> str:
    value = fields.get(name)
    if not value:
        raise ProtocolError(f"field {name!r} is missing")
    return value


def _bytes_field(fields: Fields, name: str) -> bytes:
    value = fields.get(name, "-")
    try:
        return b"" if value == "-" else bytes.fromhex(value)
    except ValueError:
        raise ProtocolError(f"field {name!r} is not hex: {value[:40]!r}") from None


def _load_report(fields: Fields) -> dict[str, float]:
    """Parse a load report; skip pairs that are not name:number."""
    report = {}
    for pair in fields.get("usage", "").split(","):
        name, _, value = pair.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return report


def _request_received(f: Fields) -> RequestReceived:
    bits = _int_field(f, "bitmap", 0)
    return RequestReceived(
        _text_field(f, "tid"),
        _int_field(f, "type", 0),
        _int_field(f, "ttlNs"),
        _int_field(f, "costNs", 0) if bits & 1 else 0,
        _int_field(f, "owner", 0),
        f.get("object", ""),
        bool(bits & RETRY_BIT),
    )


def _attempt_ended(f: Fields) -> AttemptEnded:
    return AttemptEnded(
        _text_field(f, "tid"),
        _int_field(f, "how"),
        _int_field(f, "lagNs", 0),
        _text_field(f, "server"),
        _int_field(f, "go", 0),
        f.get("closed", "0") == "1",
        _load_report(f),
    )


EVENT_PARSERS: dict[str, Callable[[Fields], Event]] = {
    "accept": _request_received,
    "response": _attempt_ended,
    "begun": lambda f: ResponseStarted(_text_field(f, "tid")),
    "hangup": lambda f: ClientDisconnected(_text_field(f, "tid")),
    "heard": lambda f: PeerMessage(_bytes_field(f, "blob")),
    "alarm": lambda f: TimerFired(_int_field(f, "tag", 0)),
}


def _server_entry(f: Fields) -> ServerEntry:
    return ServerEntry(
        _text_field(f, "server"),
        _int_field(f, "hall", 0),
        _int_field(f, "model", 0),
        _int_field(f, "bay", 0),
        f.get("lifecycle", "up"),
        _float_value("heft", f.get("heft", "1")),
        _int_field(f, "startedAtNs", 0),
    )


ACTION_FORMATTERS: dict[type, Callable[[int, Action], str]] = {
    Submit: lambda instance, a: (
        f"submit_to who={instance} tid={a.tid} server={a.server} abandonAtNs={a.abandon_ns}\n"
    ),
    Refuse: lambda instance, a: f"push_back who={instance} tid={a.tid} holdOffNs={a.hold_off_ns}\n",
    Fail: lambda instance, a: f"finish_error who={instance} tid={a.tid}\n",
    CancelAttempt: lambda instance, a: f"retract who={instance} tid={a.tid} go={a.attempt}\n",
    Subscribe: lambda instance, a: f"defer who={instance} inNs={a.delay_ns} tag={SUBSCRIBE_TAG}\n",
    SendToPeer: lambda instance, a: f"signal who={instance} to={a.peer} blob={a.blob.hex() or '-'}\n",
    SetTimer: lambda instance, a: f"defer who={instance} inNs={a.delay_ns} tag={a.tag}\n",
}


class Adapter:
    """Hosts the instances of one process and answers batches of events with batches of actions."""

    def __init__(self, source: Iterable[str], sink: TextIO) -> None:
        self._source = enumerate(source, 1)
        self._sink = sink
        self._line_no = 0
        self._now = 0
        self._server_lists: dict[int, tuple[ServerEntry, ...]] = {}
        self._instances: dict[int, Balancer] = {}
        self._unsubscribed: set[int] = set()  # instances whose next subscription has an alarm

    def run(self) -> int:
        """Process batches until the input ends; return the exit status."""
        out: list[str] = []
        in_batch = False
        try:
            for number, raw in self._source:
                self._line_no = number
                line = raw.rstrip("\n")
                if not raw.endswith("\n"):
                    raise ProtocolError("input ends inside a line")
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
                    self._handle_line(line, out)
            if in_batch:
                raise ProtocolError("input ends inside a batch")
        except (ProtocolError, SettingsError) as error:
            print(f"line {self._line_no}: {error}", file=sys.stderr)
            return 2
        except UnicodeDecodeError:
            print(f"line {self._line_no + 1}: not valid UTF-8", file=sys.stderr)
            return 2
        return 0

    def _start_batch(self, line: str) -> None:
        if line.partition(" ")[0] != "clock":
            raise ProtocolError(f"expected a clock line, found {line[:40]!r}")
        self._now = _int_field(_fields(line), "wallNs")

    def _handle_line(self, line: str, out: list[str]) -> None:
        name = line.partition(" ")[0]
        if name == "alarm" and _int_field(fields := _fields(line), "tag", 0) == SUBSCRIBE_TAG:
            self._subscribe(_int_field(fields, "who"), out)
        elif name in EVENT_PARSERS:
            fields = _fields(line)
            self._deliver(_int_field(fields, "who"), EVENT_PARSERS[name](fields), out)
        elif name == "roster":
            fields = _fields(line)
            self._server_lists[_int_field(fields, "slot")] = self._read_server_list(
                _int_field(fields, "nodesList", 0)
            )
        elif name == "directory_update":
            fields = _fields(line)
            self._deliver(_int_field(fields, "who"), self._list_update(fields), out)
        elif name == "open_instance":
            self._open_instance(_fields(line), out)
        elif name == "crash_now":
            instance = _int_field(_fields(line), "who")
            self._instances.pop(instance, None)
            self._unsubscribed.discard(instance)

    def _read_server_list(self, count: int) -> tuple[ServerEntry, ...]:
        entries = []
        for _ in range(count):
            self._line_no, raw = next(self._source, (self._line_no, ""))
            line = raw.rstrip("\n")
            if line.partition(" ")[0] != "server" or not raw.endswith("\n"):
                raise ProtocolError(f"expected one of {count} server lines, found {line[:40]!r}")
            entries.append(_server_entry(_fields(line)))
        return tuple(entries)

    def _list_update(self, fields: Fields) -> ServerListUpdate:
        scope = _text_field(fields, "scope")
        if scope == "FAILED":
            return ServerListUpdate(scope)
        slot = _int_field(fields, "slot")
        if slot not in self._server_lists:
            raise ProtocolError(f"no server list has slot {slot}")
        return ServerListUpdate(scope, self._server_lists[slot])

    def _open_instance(self, fields: Fields, out: list[str]) -> None:
        instance = _int_field(fields, "who")
        try:
            raw = json.loads(_text_field(fields, "env"))
        except ValueError as error:
            raise ProtocolError(f"env is not valid JSON: {error}") from None
        settings = Settings.parse(raw)
        seed = _int_field(fields, "prng", 0)
        self._run_guarded(
            instance, lambda: self._instances.__setitem__(instance, Balancer(settings, seed, self._now)), out
        )

    def _deliver(self, instance: int, event: Event, out: list[str]) -> None:
        balancer = self._instances.get(instance)
        if balancer is None:
            return
        try:
            for action in balancer.handle(self._now, event):
                if type(action) is Subscribe:
                    if instance in self._unsubscribed:
                        continue  # its alarm is set
                    self._unsubscribed.add(instance)
                out.append(ACTION_FORMATTERS[type(action)](instance, action))
        except Exception as error:  # the protocol reports any failure of an instance as a fault action
            self._report_fault(instance, error, out)

    def _subscribe(self, instance: int, out: list[str]) -> None:
        """Subscribe an instance whose alarm is due."""
        if instance in self._unsubscribed:
            self._unsubscribed.discard(instance)
            out.append(f"subscribe who={instance} want=1\n")

    def _run_guarded(self, instance: int, work: Callable[[], None], out: list[str]) -> None:
        try:
            work()
        except Exception as error:  # as in `_deliver`
            self._report_fault(instance, error, out)

    @staticmethod
    def _report_fault(instance: int, error: Exception, out: list[str]) -> None:
        traceback.print_exc(file=sys.stderr)
        text = f"{type(error).__name__}: {error}".replace("\n", " ")
        out.append(f"give_in who={instance} line={text}\n")


def main() -> int:
    """Entry point of `python -m covetally.simulator_adapter`."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    return Adapter(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
