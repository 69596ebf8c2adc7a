"""Wall time is taken only where docs/design/clocks.md says so."""

from __future__ import annotations

import ast
import re
from pathlib import Path

from tests.test_process import ROOT

WALL = {"time.time", "time.time_ns", "time.localtime", "time.gmtime", "time.ctime", "time.strftime",
        "datetime.now", "datetime.utcnow", "datetime.today", "parsedate_to_datetime",
        "record.created"}  # fmt: skip


def named() -> set[str]:
    """The modules of the page's second table."""
    table = (ROOT / "docs/design/clocks.md").read_text().partition("## Wall time")[2]
    return {name for row in table.splitlines() for name in re.findall(r"`(covetally/[\w/]+\.py)`", row)}


def takes_wall_time(path: Path) -> list[str]:
    """What a module takes of the wall clock, by the names of the standard library."""
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
    return sorted({name for name in found if name in WALL})


def test_wall_time_is_taken_where_the_table_says_and_nowhere_else():
    modules = [p for p in (ROOT / "covetally").rglob("*.py") if "rig" not in p.relative_to(ROOT).parts]
    taking = {p.relative_to(ROOT).as_posix() for p in modules if takes_wall_time(p)}
    assert taking - named() == set(), "takes wall time, and is not in docs/design/clocks.md"
    assert named() - taking == set(), "is in docs/design/clocks.md, and takes none"


def test_the_check_sees_wall_time_in_each_way_of_asking_for_it(tmp_path):
    for text in (
        "import time\ntime.time()", "from time import time_ns", "import time\nclock = time.time",
        "from datetime import datetime\ndatetime.now()",
    ):  # fmt: skip
        path = tmp_path / "module.py"
        path.write_text(text)
        assert takes_wall_time(path), text
    path.write_text("import time\ntime.monotonic()")
    assert not takes_wall_time(path)
