"""Asking sidecars whether they would take a change, before anything is written.

What is decided (`judge`) does no I/O; `ask_all` asks, many at once, within a bounded time.

    answer                      counts as
    ------                      ---------
    no problems                 would take it
    problems                    would refuse it: by default no revision is made
    an error, silence, no link  unknown: it is named, and stands in nobody's way; a rollout's canary is the next
                                to be asked
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

WHOLE_S = 10.0  # for all of them; who was not asked by then is unknown
AT_ONCE = 250
NAMED = 5  # of those that would refuse, in one line


@dataclass(frozen=True, slots=True)
class Found:
    """What was answered: by name why it would be refused, which keys would take a restart, and why it is not
    known."""

    would: int
    refused: dict[str, str]
    restart: dict[str, list[str]]
    unknown: dict[str, str]

    def text(self) -> str:
        """One line on those that would refuse."""
        names = sorted(self.refused)
        parts = [f"{name}: {self.refused[name]}" for name in names[:NAMED]]
        more = f" and {len(names) - NAMED} more" if len(names) > NAMED else ""
        return f"{len(names)} would refuse it ({'; '.join(parts)}{more}); nothing was changed"

    def table(self) -> dict[str, Any]:
        """For the API."""
        return {"would": self.would, "refused": self.refused, "restart": self.restart, "unknown": self.unknown}


def judge(answers: Mapping[str, Any]) -> Found:
    """What answers come to; one is {"problems": [...], "restart": [...]} or {"error": why there is none}."""
    would, refused, restart, unknown = 0, {}, {}, {}
    for name, answer in answers.items():
        if not isinstance(answer, dict) or not isinstance(answer.get("problems"), list):
            text = answer.get("error") if isinstance(answer, dict) else None
            unknown[name] = str(text or "its answer cannot be understood")
        elif answer["problems"]:
            refused[name] = "; ".join(_words(problem) for problem in answer["problems"])[:500]
        else:
            would += 1
            keys = answer.get("restart")
            if isinstance(keys, list) and keys:
                restart[name] = [str(key) for key in keys]
    return Found(would, refused, restart, unknown)


def _words(problem: Any) -> str:
    if not isinstance(problem, dict):
        return str(problem)[:100]
    return f"{problem.get('key')}: {problem.get('reason')}"


async def ask_all(
    names: Iterable[str], ask: Callable[[str], Awaitable[Any]], whole_s: float = WHOLE_S
) -> dict[str, Any]:
    """By name what each answered; {"error": ...} where there was no answer in time."""
    answers: dict[str, Any] = {name: {"error": "not asked in time"} for name in names}
    turns = asyncio.Semaphore(AT_ONCE)

    async def one(name: str) -> None:
        async with turns:
            answers[name] = {"error": "no answer in time"}
            answers[name] = await ask(name)

    tasks = [asyncio.create_task(one(name)) for name in answers]
    if tasks:
        _, late = await asyncio.wait(tasks, timeout=whole_s)
        for task in late:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return answers
