"""Wall time is used only in the modules that docs/design/clocks.md lists."""

from __future__ import annotations

import ast
import re
from pathlib import Path

from tests.test_process import ROOT

WALL_CLOCK_NAMES = {"time.time", "time.time_ns", "time.localtime", "time.gmtime", "time.ctime", "time.strftime",
        "datetime.now", "datetime.utcnow", "datetime.today", "parsedate_to_datetime",
        "record.created"}  # fmt: skip


def documented_modules() -> set[str]:
    """Returns the modules in the second table of the page."""
    table = (ROOT / "docs/design/clocks.md").read_text().partition("## Wall time")[2]
    return {name for row in table.splitlines() for name in re.findall(r"`(covetally/[\w/]+\.py)`", row)}


def wall_clock_uses(path: Path) -> list[str]:
    """Returns the functions of the standard library by which a module reads the wall clock."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            found.append(f"{node.value.id}.{node.attr}")
        elif isinstance(node, ast.Attribute) and node.attr == "created":
            found.append("record.created")
        elif isinstance(node, ast.Name):
            found.append(node.id)
        elif isinstance(node, ast.ImportFrom) and node.module in ("time", "datetime"):
            found += [f"{node.module}.{alias.name}" for alias in node.names]
    return sorted({name for name in found if name in WALL_CLOCK_NAMES})


def test_wall_time_is_used_only_in_documented_modules():
    modules = [p for p in (ROOT / "covetally").rglob("*.py") if "rig" not in p.relative_to(ROOT).parts]
    using = {p.relative_to(ROOT).as_posix() for p in modules if wall_clock_uses(p)}
    assert using - documented_modules() == set(), "uses wall time but is not in docs/design/clocks.md"
    assert documented_modules() - using == set(), "is in docs/design/clocks.md but uses no wall time"


def test_check_detects_every_way_to_read_the_wall_clock(tmp_path):
    for text in (
        "import time\ntime.time()", "from time import time_ns", "import time\nclock = time.time",
        "from datetime import datetime\ndatetime.now()",
    ):  # fmt: skip
        path = tmp_path / "module.py"
        path.write_text(text)
        assert wall_clock_uses(path), text
    path.write_text("import time\ntime.monotonic()")
    assert not wall_clock_uses(path)
