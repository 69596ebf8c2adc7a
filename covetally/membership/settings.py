"""What the operators' settings ask of membership, checked as far as files and extras go."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path

from covetally.membership import file
from covetally.membership.eureka.client import Config
from covetally.membership.eureka.instance_parser import Keys
from covetally.membership.http import credentials
from covetally.membership.model import Rule
from covetally.operator.check import OperatorError, Problem
from covetally.operator.schema import Value
from covetally.operator.url import split_url

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Plan:
    """Which source is served from, which is compared with it, and the figures of belief and checks."""

    source: str
    compare: str
    rule: Rule
    eureka: Config | None
    file: str
    keep: Path | None
    check_path: str
    checks_per_node_s: float


def wanted(values: Mapping[str, Value]) -> bool:
    """Whether the settings ask for a roster of our own at all."""
    return values.get("roster.source", "off") != "off"


def plan(values: Mapping[str, Value]) -> Plan:
    """The plan; OperatorError with the key where a file cannot be read or an extra is not installed."""
    source, compare = str(values.get("roster.source", "off")), str(values.get("roster.compare", "none"))
    path = str(values.get("roster.file", ""))
    if "file" in (source, compare):
        try:
            file.load(path)
        except file.FileError as error:
            raise OperatorError([Problem("roster.file", path, str(error))]) from None
    hold_s = float(values.get("roster.hold_s", 30))
    poll_s = float(values.get("eureka.poll_s", 5))
    return Plan(
        source=source,
        compare=compare,
        rule=Rule(
            share=float(values.get("roster.share", 0.25)),
            hold_ns=int(hold_s * SECOND),
            stale_ns=int(max(10.0, 4 * poll_s) * SECOND),
        ),
        eureka=eureka(values) if "eureka" in (source, compare) else None,
        file=path,
        keep=Path(str(values["roster.keep"])) if "roster.keep" in values else None,
        check_path=str(values.get("roster.check_path", "")),
        checks_per_node_s=float(values.get("roster.checks_per_node_s", 1)),
    )


def eureka(values: Mapping[str, Value]) -> Config:
    """How a registry is asked."""
    form = str(values.get("eureka.format", "json"))
    if form == "xml" and find_spec("defusedxml") is None:
        remedy = "pip install '.[eureka]'"
        raise OperatorError([Problem("eureka.format", form, "needs the extra 'eureka'", remedy)])
    names = {name: str(values.get(f"eureka.metadata.{name}", "")) for name in ("zone", "cell", "weight", "drain")}
    names |= {
        "kind": str(values.get("eureka.metadata.machine_type", "")),
        "started": str(values.get("eureka.metadata.started", "")),
    }
    return Config(
        addresses=tuple(split_url(part) for part in str(values["eureka.addresses"]).split(",")),
        name=str(values.get("eureka.name", "")),
        by=str(values.get("eureka.read", "app")),
        poll_s=float(values.get("eureka.poll_s", 5)),
        timeout_s=float(values.get("eureka.timeout_s", 3)),
        form=form,
        most=int(values.get("eureka.max_mib", 32)) * 1024 * 1024,
        authorization=authorization(values),
        keys=Keys(**{name: value for name, value in names.items() if value}),
    )


def authorization(values: Mapping[str, Value]) -> bytes:
    """The registry's credentials, empty where there are none."""
    if "eureka.credentials_file" not in values:
        return b""
    path = str(values["eureka.credentials_file"])
    try:
        return credentials(path)
    except (OSError, ValueError) as error:
        raise OperatorError([Problem("eureka.credentials_file", path, str(error))]) from None
