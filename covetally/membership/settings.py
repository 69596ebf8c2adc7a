"""Builds the configuration of membership from the operators' settings; checks the files and extras they need."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path

from covetally.membership import file
from covetally.membership.eureka.client import EurekaConfig
from covetally.membership.eureka.instance_parser import MetadataKeys
from covetally.membership.http import read_credentials
from covetally.membership.model import ViewConfig
from covetally.operator.check import OperatorError, Problem
from covetally.operator.schema import Value
from covetally.operator.url import split_url

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """The active and the compared source, and the parameters of the view and of active checks."""

    source: str
    compare: str
    view: ViewConfig
    eureka: EurekaConfig | None
    file: str
    save_path: Path | None
    check_path: str
    checks_per_node_s: float


def is_enabled(values: Mapping[str, Value]) -> bool:
    """Whether the settings name a source; otherwise the platform's list is used directly."""
    return values.get("roster.source", "off") != "off"


def membership_config(values: Mapping[str, Value]) -> MembershipConfig:
    """The configuration of membership.

    Raises OperatorError with the key if a file cannot be read or an extra is not installed.
    """
    source, compare = str(values.get("roster.source", "off")), str(values.get("roster.compare", "none"))
    path = str(values.get("roster.file", ""))
    if "file" in (source, compare):
        try:
            file.load_nodes(path)
        except file.NodeFileError as error:
            raise OperatorError([Problem("roster.file", path, str(error))]) from None
    hold_s = float(values.get("roster.hold_s", 30))
    poll_s = float(values.get("eureka.poll_s", 5))
    return MembershipConfig(
        source=source,
        compare=compare,
        view=ViewConfig(
            max_missing_share=float(values.get("roster.share", 0.25)),
            hold_ns=int(hold_s * SECOND),
            stale_ns=int(max(10.0, 4 * poll_s) * SECOND),
        ),
        eureka=eureka_config(values) if "eureka" in (source, compare) else None,
        file=path,
        save_path=Path(str(values["roster.keep"])) if "roster.keep" in values else None,
        check_path=str(values.get("roster.check_path", "")),
        checks_per_node_s=float(values.get("roster.checks_per_node_s", 1)),
    )


def eureka_config(values: Mapping[str, Value]) -> EurekaConfig:
    """The configuration of the Eureka source."""
    form = str(values.get("eureka.format", "json"))
    if form == "xml" and find_spec("defusedxml") is None:
        remedy = "pip install '.[eureka]'"
        raise OperatorError([Problem("eureka.format", form, "needs the extra 'eureka'", remedy)])
    names = {name: str(values.get(f"eureka.metadata.{name}", "")) for name in ("zone", "cell", "weight", "drain")}
    names |= {
        "kind": str(values.get("eureka.metadata.machine_type", "")),
        "started": str(values.get("eureka.metadata.started", "")),
    }
    return EurekaConfig(
        addresses=tuple(split_url(part) for part in str(values["eureka.addresses"]).split(",")),
        name=str(values.get("eureka.name", "")),
        scope=str(values.get("eureka.read", "app")),
        poll_s=float(values.get("eureka.poll_s", 5)),
        timeout_s=float(values.get("eureka.timeout_s", 3)),
        format=form,
        max_bytes=int(values.get("eureka.max_mib", 32)) * 1024 * 1024,
        authorization=read_authorization(values),
        keys=MetadataKeys(**{name: value for name, value in names.items() if value}),
    )


def read_authorization(values: Mapping[str, Value]) -> bytes:
    """The registry's Authorization header value, empty if no credentials are set."""
    if "eureka.credentials_file" not in values:
        return b""
    path = str(values["eureka.credentials_file"])
    try:
        return read_credentials(path)
    except (OSError, ValueError) as error:
        raise OperatorError([Problem("eureka.credentials_file", path, str(error))]) from None
