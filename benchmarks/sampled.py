"""Runs a sidecar under a sampling profiler and writes, at its end, how many samples fell on each part of its way.

    python -m benchmarks.sampled OUT [ARGUMENTS OF COVETALLY...]

Every millisecond of CPU time a signal looks at the stack. A sample belongs to the innermost function that is
listed here, so the parts add up to all that was spent; calls into C count for the function that made them.
"""

from __future__ import annotations

import json
import signal
import sys
from collections import Counter
from types import FrameType

EVERY_S = 0.001
# (end of the file's name, functions; empty: all) -> part. The first that fits counts.
PARTS: tuple[tuple[str, tuple[str, ...], str], ...] = (
    ("covetally/policy/", (), "decision"),
    ("interface.py", (), "decision"),
    ("net/frontend.py", ("_let_in", "_accept", "_evict", "_put_out", "on_closed"), "accept"),
    ("net/client_connection.py", ("__init__",), "accept"),
    ("net/request_validation.py", (), "admission"),
    ("net/recent_ids.py", (), "admission"),
    ("net/client_connection.py", ("_on_head",), "admission"),
    ("net/memory.py", (), "admission"),
    ("net/client_connection.py", ("_send", "finish", "_on_response_written", "_linger"), "answer"),
    ("net/http_message.py", ("encode",), "write"),
    ("net/http_message.py", (), "parse"),
    ("net/stream.py", ("send", "_on_writable"), "write"),
    ("net/stream.py", ("__init__",), "connect"),
    ("net/stream.py", (), "read"),
    ("net/connector.py", (), "connect"),
    ("net/attempt.py", ("_connect", "_on_connected"), "connect"),
    ("net/upstream.py", ("reserve_connection",), "connect"),
    ("net/outcome.py", ("encode",), "write"),
    ("net/attempt.py", ("_write", "_write_last", "_send"), "write"),
    ("net/response_reader.py", (), "attempt"),
    ("net/attempt.py", (), "attempt"),
    ("net/upstream.py", (), "attempt"),
    ("net/sidecar.py", (), "call"),
    ("net/client_connection.py", (), "request"),
    ("net/frontend.py", (), "request"),
    ("net/timer_wheel.py", (), "timers"),
    ("selectors.py", (), "waiting and waking"),
    ("net/loop.py", (), "waiting and waking"),
    ("asyncio/", (), "event loop"),
)  # fmt: skip

counts: Counter[str] = Counter()
lines: Counter[str] = Counter()


def _part(frame: FrameType | None) -> str:
    while frame is not None:
        name, function = frame.f_code.co_filename, frame.f_code.co_name
        for end, functions, part in PARTS:
            fits = end in name if end.endswith("/") else name.endswith(end)
            if fits and (not functions or function in functions):
                return part
        frame = frame.f_back
    return "other"


def _sample(number: int, frame: FrameType | None) -> None:
    counts[_part(frame)] += 1
    if frame is not None:
        lines[f"{frame.f_code.co_filename.rpartition('/')[2]}:{frame.f_code.co_name}"] += 1


def main() -> int:
    """The sidecar's exit status."""
    out, sys.argv = sys.argv[1], [sys.argv[0], *sys.argv[2:]]
    from covetally.__main__ import main as sidecar

    signal.signal(signal.SIGPROF, _sample)
    signal.signal(signal.SIGUSR2, lambda *_: (counts.clear(), lines.clear()))
    signal.setitimer(signal.ITIMER_PROF, EVERY_S, EVERY_S)
    status = sidecar()
    signal.setitimer(signal.ITIMER_PROF, 0)
    with open(out, "w", encoding="utf-8") as file:
        json.dump({"parts": dict(counts.most_common()), "functions": dict(lines.most_common(60))}, file, indent=1)
    return status


if __name__ == "__main__":
    sys.exit(main())
