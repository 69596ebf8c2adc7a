"""Reads and checks the operators' settings: every mistake at once, each with what would do."""

from __future__ import annotations

import difflib
import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from covetally.errors import ConfigurationError
from covetally.interface import Settings
from covetally.operator import schema
from covetally.operator.schema import KEYS, Value, Values

MAX_FILE = 1024 * 1024
MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake: the key, the value as it was written, why it will not do, and what would."""

    key: str
    value: Any
    reason: str
    remedy: str = ""

    def __str__(self) -> str:
        value = "" if self.value is None else f" = {json.dumps(self.value, default=str)[:80]}"
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{self.key}{value}: {self.reason}{remedy}"

    def as_dict(self) -> dict[str, Any]:
        """For --json and the wire."""
        value = self.value if isinstance(self.value, str | int | float | bool | None) else str(self.value)
        return {"key": self.key, "value": value, "reason": self.reason, "remedy": self.remedy}


class OperatorError(ConfigurationError):
    """Settings that cannot be used; `problems` has every mistake, the message is one line."""

    code = "operator-file"
    remedy = "Correct each key named, and check the file with `cindersail check FILE` before it is used."

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__(" | ".join(map(str, problems)))
        self.problems = problems


def read(path: str | Path) -> Values:
    """Read and check a file; OperatorError if it cannot be read or holds a mistake."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE + 1)
        if len(data) > MAX_FILE:
            raise ValueError(f"over {MAX_FILE} bytes")
        document = tomllib.loads(data.decode())
    except (OSError, ValueError, RecursionError) as error:  # TOMLDecodeError and UnicodeDecodeError too
        raise OperatorError([Problem(str(path), None, f"cannot be read: {error}")]) from None
    return validate(dict(schema.flatten(document)))


def validate(flat: Mapping[str, Any], managed: bool = False) -> Values:
    """The values, if all of them will do; else OperatorError with every mistake.

    With `managed` only what an agent may set will do.
    """
    problems = [p for name, value in flat.items() if (p := _problem(name, value, managed)) is not None]
    if not problems:
        problems = _together(flat)
    if not problems and not managed:  # an agent's values stand on those of the file
        problems = missing_requirements(flat)
    if problems:
        raise OperatorError(problems)
    return {name: _canonical(name, value) for name, value in sorted(flat.items())}


def _canonical(name: str, value: Value) -> Value:
    key = schema.find(name)
    if key is not None and key.kind == "number" and isinstance(value, float) and value.is_integer():
        return int(value)  # 300.0 and 300 are one setting, and so one digest
    return value


def _problem(name: str, value: Any, managed: bool) -> Problem | None:
    key = schema.find(name)
    if key is None:
        near = difflib.get_close_matches(name, [k.name for k in KEYS], 1, 0.4)
        return Problem(name, value, "no such key", f"the nearest is {near[0]}" if near else "")
    if managed and not key.managed:
        return Problem(name, value, "cannot be set by an agent", "set it in the sidecar's own file")
    if not key.accepts(value):
        return Problem(name, value, "will not do", f"it has to be {key.describe_accepted()}")
    return None


def _together(flat: Mapping[str, Any]) -> list[Problem]:
    """Values that will do alone, but not beside each other."""
    problems = []
    for name, value in flat.items():
        if name.startswith("classes.") and name.endswith(".aim_ms"):
            deadline = flat.get(name.removesuffix("aim_ms") + "deadline_ms")
            if deadline is not None and value > deadline:
                problems.append(Problem(name, value, "is after the class's deadline", f"at most {deadline}"))
    least, most = flat.get("control.redial_min_s", 0.5), flat.get("control.redial_max_s", 30.0)
    if least > most:
        problems.append(Problem("control.redial_min_s", least, "is above redial_max_s", f"at most {most}"))
    alone = [n for n in flat if n.startswith("control.") and (key := schema.find(n)) and not key.managed]
    if alone and "control.agent" not in flat:
        reason = "means nothing without control.agent"
        problems.append(Problem(alone[0], flat[alone[0]], reason, "name the agent to dial, or leave it out"))
    return problems


def missing_requirements(flat: Mapping[str, Value]) -> list[Problem]:
    """What is asked for, but not all that it takes."""
    problems = []

    def missing(name: str, *others: str) -> None:
        for other in others:
            if other not in flat:
                problems.append(Problem(name, flat.get(name), f"needs {other}", f"set {other}"))

    for name in ("roster.source", "roster.compare"):
        if flat.get(name) == "eureka":
            missing(name, "eureka.addresses", "eureka.name")
        if flat.get(name) == "file":
            missing(name, "roster.file")
    source, other = flat.get("roster.source", "off"), flat.get("roster.compare", "none")
    if other != "none" and source == "off":
        reason = "means nothing without roster.source"
        problems.append(Problem("roster.compare", other, reason, "set roster.source"))
    if other == source:
        problems.append(Problem("roster.compare", other, "is the source itself", "name another, or none"))
    if "workers.hang_s" in flat:
        missing("workers.hang_s", "workers.count")
    if "register.app" in flat:
        missing("register.app", "eureka.addresses")
        renew, lease = flat.get("register.renew_s", 30.0), flat.get("register.lease_s", 90.0)
        if renew >= lease:
            problems.append(Problem("register.renew_s", renew, "is not below register.lease_s", f"below {lease}"))
    elif alone := sorted(name for name in flat if name.startswith("register.")):
        reason = "means nothing without register.app"
        problems.append(Problem(alone[0], flat[alone[0]], reason, "set register.app, or leave it out"))
    return problems


def apply_settings(settings: Settings, values: Mapping[str, Value]) -> Settings:
    """The platform's settings with the operators' in their place; OperatorError where the two disagree."""
    problems: list[Problem] = []
    classes = {c.name: c for c in settings.classes}
    for name, value in values.items():
        if not name.startswith("classes."):
            continue
        key = schema.find(name)
        assert key is not None
        cls = classes.get(schema.wildcard_part(key, name))
        if cls is None:
            known = ", ".join(sorted(classes))
            problems.append(Problem(name, value, "this sidecar has no such class", f"it has {known}"))
            continue
        ns = int(float(value) * MS)
        if name.endswith(".deadline_ms"):
            platform = next(c.deadline_ns for c in settings.classes if c.name == cls.name)
            if ns > platform:
                remedy = f"at most {platform / MS:g}"
                problems.append(Problem(name, value, "is longer than the platform's", remedy))
                continue
            classes[cls.name] = replace(cls, deadline_ns=ns, aim_ns=min(cls.aim_ns, ns))
    for cls in list(classes.values()):
        name = f"classes.{cls.name}.aim_ms"
        if name in values:
            ns = int(float(values[name]) * MS)
            if ns > cls.deadline_ns:
                remedy = f"at most {cls.deadline_ns / MS:g}"
                problems.append(Problem(name, values[name], "is after the class's deadline", remedy))
            classes[cls.name] = replace(cls, aim_ns=min(ns, cls.deadline_ns))
    limits = settings.limits
    attempts = values.get("limits.max_attempts")
    if attempts is not None:
        if int(attempts) > limits.max_attempts:
            remedy = f"at most {limits.max_attempts}"
            problems.append(Problem("limits.max_attempts", attempts, "is more than the platform allows", remedy))
        limits = replace(limits, max_attempts=min(int(attempts), limits.max_attempts))
    if "limits.connect_timeout_ms" in values:
        limits = replace(limits, connect_timeout_ns=int(float(values["limits.connect_timeout_ms"]) * MS))
    if "limits.max_retry_after_ms" in values:
        limits = replace(limits, max_retry_after_ns=int(float(values["limits.max_retry_after_ms"]) * MS))
    if problems:
        raise OperatorError(problems)
    return replace(settings, classes=tuple(classes[c.name] for c in settings.classes), limits=limits)


def restart_keys(old: Mapping[str, Value], new: Mapping[str, Value]) -> list[str]:
    """The keys that differ and that only a restart takes up."""
    changed = {n for n in {*old, *new} if old.get(n) != new.get(n)}
    return sorted(n for n in changed if (key := schema.find(n)) is not None and not key.live)
