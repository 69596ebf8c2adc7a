"""What the measurements share: the machine, and how figures are shown."""

from __future__ import annotations

import json
import os
import platform
import sys
import time
from pathlib import Path
from typing import Any


def machine() -> str:
    """The machine that a figure was measured on."""
    model = platform.machine()
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    return f"{os.cpu_count()} cores, {model}, Python {platform.python_version()}"


def show(name: str, rows: dict[str, Any], as_json: bool) -> None:
    """Print a measurement's figures with the date and the machine."""
    if as_json:
        head = {"name": name, "date": time.strftime("%Y-%m-%d"), "machine": machine()}
        print(json.dumps(head | rows, indent=2))
        return
    print(f"{name}, {time.strftime('%Y-%m-%d')}, {machine()}")
    width = max(map(len, rows))
    for key, value in rows.items():
        print(f"  {key.ljust(width)}  {value}")


def progress(text: str) -> None:
    """One line of progress, on standard error."""
    print(text, file=sys.stderr, flush=True)


def cpu_s(pid: int) -> float:
    """CPU time of a process, user and system, in seconds (proc(5), /proc/PID/stat, fields 14 and 15)."""
    parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


def rss_mib(pid: int) -> float:
    """Resident memory of a process in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
