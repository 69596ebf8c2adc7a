"""Generates the reference of all errors: `python -m covetally.errors.page > docs/operators/errors.md`."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Iterator

import covetally
from covetally.errors import CindersailError

HEADER = """# Errors

Generated from the error classes by `python -m covetally.errors.page`. A code is stable across versions. The API
answers with the status; the command exits with the exit status and prints the message, the code and the remedy.

| code | meaning | remedy | API | exit |
| --- | --- | --- | --- | --- |
"""


def error_types() -> list[type[CindersailError]]:
    """Return all error classes except the base class, sorted by code."""
    for module in pkgutil.walk_packages(covetally.__path__, "covetally."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    return sorted(set(_subclasses(CindersailError)), key=lambda error_type: error_type.code)


def _subclasses(error_type: type[CindersailError]) -> Iterator[type[CindersailError]]:
    for child in error_type.__subclasses__():
        yield child
        yield from _subclasses(child)


def page() -> str:
    """Return the content of the page."""
    rows = []
    for kind in error_types():
        meaning = " ".join((kind.__doc__ or "").split("\n\n")[0].split()).replace("|", "or")
        rows.append(f"| `{kind.code}` | {meaning} | {kind.remedy} | {kind.status} | {kind.exit_status} |")
    return HEADER + "\n".join(rows) + "\n"


if __name__ == "__main__":
    print(page(), end="")
