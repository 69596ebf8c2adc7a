"""Reads and validates operator settings. Reports all mistakes at once, each with a remedy."""

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

MAX_FILE_BYTES = 1024 * 1024
NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake: the key, the value as written, why it is rejected, and what would be accepted."""

    key: str
    value: Any
    reason: str
    remedy: str = ""

    def __str__(self) -> str:
        value = "" if self.value is None else f" = {json.dumps(self.value, default=str)[:80]}"
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{self.key}{value}: {self.reason}{remedy}"

    def as_dict(self) -> dict[str, Any]:
        """Return the problem as a JSON object, for --json and messages."""
        value = self.value if isinstance(self.value, str | int | float | bool | None) else str(self.value)
        return {"key": self.key, "value": value, "reason": self.reason, "remedy": self.remedy}


class OperatorError(ConfigurationError):
    """The settings cannot be used; `problems` lists every mistake, and the message joins them in one line."""

    code = "operator-file"
    remedy = "Correct each named key, and check the file with `cindersail check FILE` before it is used."

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__(" | ".join(map(str, problems)))
        self.problems = problems


def read(path: str | Path) -> Values:
    """Read and validate a file. Raises OperatorError if it cannot be read or contains a mistake."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"longer than {MAX_FILE_BYTES} bytes")
        document = tomllib.loads(data.decode())
    except (
        OSError,
        ValueError,
        RecursionError,
    ) as error:  # ValueError includes TOMLDecodeError and UnicodeDecodeError
        raise OperatorError([Problem(str(path), None, f"cannot be read: {error}")]) from None
    return validate(dict(schema.flatten(document)))


def validate(flat: Mapping[str, Any], managed: bool = False) -> Values:
    """Return the values in canonical form. Raises OperatorError with every mistake.

    With `managed`, only keys that an agent may set are accepted.
    """
    problems = [p for name, value in flat.items() if (p := _check_value(name, value, managed)) is not None]
    if not problems:
        problems = _check_combinations(flat)
    if not problems and not managed:  # the values of an agent are applied on top of those of the file
        problems = missing_requirements(flat)
    if problems:
        raise OperatorError(problems)
    return {name: _canonical(name, value) for name, value in sorted(flat.items())}


def _canonical(name: str, value: Value) -> Value:
    key = schema.find(name)
    if key is not None and key.kind == "number" and isinstance(value, float) and value.is_integer():
        return int(value)  # 300.0 and 300 are the same setting and need the same digest
    return value


def _check_value(name: str, value: Any, managed: bool) -> Problem | None:
    key = schema.find(name)
    if key is None:
        similar = difflib.get_close_matches(name, [k.name for k in KEYS], 1, 0.4)
        return Problem(name, value, "no such key", f"the nearest is {similar[0]}" if similar else "")
    if managed and not key.managed:
        return Problem(name, value, "cannot be set by an agent", "set it in the sidecar's own file")
    if not key.accepts(value):
        return Problem(name, value, "is not valid", f"it has to be {key.describe_accepted()}")
    return None


def _check_combinations(flat: Mapping[str, Any]) -> list[Problem]:
    """Return the problems of values that are valid alone, but not together."""
    problems = []
    for name, value in flat.items():
        if name.startswith("classes.") and name.endswith(".aim_ms"):
            deadline = flat.get(name.removesuffix("aim_ms") + "deadline_ms")
            if deadline is not None and value > deadline:
                problems.append(Problem(name, value, "is after the class's deadline", f"at most {deadline}"))
    shortest, longest = flat.get("control.redial_min_s", 0.5), flat.get("control.redial_max_s", 30.0)
    if shortest > longest:
        problems.append(
            Problem(
                "control.redial_min_s", shortest, "is greater than control.redial_max_s", f"at most {longest}"
            )
        )
    orphaned = [n for n in flat if n.startswith("control.") and (key := schema.find(n)) and not key.managed]
    if orphaned and "control.agent" not in flat:
        reason = "means nothing without control.agent"
        problems.append(Problem(orphaned[0], flat[orphaned[0]], reason, "set control.agent, or remove this key"))
    return problems


def missing_requirements(flat: Mapping[str, Value]) -> list[Problem]:
    """Return a problem for each setting that requires another one that is missing."""
    problems = []

    def require(name: str, *others: str) -> None:
        for other in others:
            if other not in flat:
                problems.append(Problem(name, flat.get(name), f"needs {other}", f"set {other}"))

    for name in ("roster.source", "roster.compare"):
        if flat.get(name) == "eureka":
            require(name, "eureka.addresses", "eureka.name")
        if flat.get(name) == "file":
            require(name, "roster.file")
    source, other = flat.get("roster.source", "off"), flat.get("roster.compare", "none")
    if other != "none" and source == "off":
        reason = "means nothing without roster.source"
        problems.append(Problem("roster.compare", other, reason, "set roster.source"))
    if other == source:
        problems.append(
            Problem("roster.compare", other, "is the same as roster.source", "use another source, or none")
        )
    if "workers.hang_s" in flat:
        require("workers.hang_s", "workers.count")
    if "register.app" in flat:
        require("register.app", "eureka.addresses")
        renew, lease = flat.get("register.renew_s", 30.0), flat.get("register.lease_s", 90.0)
        if renew >= lease:
            problems.append(
                Problem("register.renew_s", renew, "is not less than register.lease_s", f"less than {lease}")
            )
    elif orphaned := sorted(name for name in flat if name.startswith("register.")):
        reason = "means nothing without register.app"
        problems.append(Problem(orphaned[0], flat[orphaned[0]], reason, "set register.app, or remove this key"))
    return problems


def apply_settings(settings: Settings, values: Mapping[str, Value]) -> Settings:
    """Return the platform's settings with operator settings applied. Raises OperatorError if they conflict."""
    problems: list[Problem] = []
    classes = {c.name: c for c in settings.classes}
    for name, value in values.items():
        if not name.startswith("classes."):
            continue
        key = schema.find(name)
        assert key is not None
        cls = classes.get(schema.wildcard_part(key, name))
        if cls is None:
            class_names = ", ".join(sorted(classes))
            problems.append(Problem(name, value, "this sidecar has no such class", f"it has {class_names}"))
            continue
        ns = int(float(value) * NS_PER_MS)
        if name.endswith(".deadline_ms"):
            platform = next(c.deadline_ns for c in settings.classes if c.name == cls.name)
            if ns > platform:
                remedy = f"at most {platform / NS_PER_MS:g}"
                problems.append(Problem(name, value, "is longer than the platform's deadline", remedy))
                continue
            classes[cls.name] = replace(cls, deadline_ns=ns, aim_ns=min(cls.aim_ns, ns))
    for cls in list(classes.values()):
        name = f"classes.{cls.name}.aim_ms"
        if name in values:
            ns = int(float(values[name]) * NS_PER_MS)
            if ns > cls.deadline_ns:
                remedy = f"at most {cls.deadline_ns / NS_PER_MS:g}"
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
        limits = replace(limits, connect_timeout_ns=int(float(values["limits.connect_timeout_ms"]) * NS_PER_MS))
    if "limits.max_retry_after_ms" in values:
        limits = replace(limits, max_retry_after_ns=int(float(values["limits.max_retry_after_ms"]) * NS_PER_MS))
    if problems:
        raise OperatorError(problems)
    return replace(settings, classes=tuple(classes[c.name] for c in settings.classes), limits=limits)


def restart_keys(old: Mapping[str, Value], new: Mapping[str, Value]) -> list[str]:
    """Return the changed keys that take effect only after a restart."""
    changed = {n for n in {*old, *new} if old.get(n) != new.get(n)}
    return sorted(n for n in changed if (key := schema.find(n)) is not None and not key.live)
