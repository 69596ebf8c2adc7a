"""Asks sidecars whether they would accept a change, before anything is written.

`ask_all` sends the queries, many at the same time and within a bounded time; `summarize` evaluates the answers
and does no I/O.

    answer                         counts as
    ------                         ---------
    no problems                    accepts the change
    problems                       refuses the change; by default no revision is created then
    an error, no answer, no link   unknown: it is listed, but does not block the change, because the rollout tries
                                   the change on its canary first
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

TOTAL_TIMEOUT_S = 10.0  # for all queries; instances not asked by then are unknown
MAX_CONCURRENT_QUERIES = 250
MAX_LISTED_REFUSALS = 5  # instances that `text` lists


@dataclass(frozen=True, slots=True)
class PreflightResult:
    """The summary of the answers: how many instances accept the change and, by instance name, the reason for a
    refusal, the keys that need a restart, and the reason why the answer is unknown."""

    accepting: int
    refused: dict[str, str]
    restart: dict[str, list[str]]
    unknown: dict[str, str]

    def text(self) -> str:
        """One line that lists the instances that would refuse the change."""
        names = sorted(self.refused)
        parts = [f"{name}: {self.refused[name]}" for name in names[:MAX_LISTED_REFUSALS]]
        more = f" and {len(names) - MAX_LISTED_REFUSALS} more" if len(names) > MAX_LISTED_REFUSALS else ""
        return f"{len(names)} would refuse it ({'; '.join(parts)}{more}); nothing was changed"

    def as_dict(self) -> dict[str, Any]:
        """The result as JSON data for the API."""
        return {
            "would": self.accepting,
            "refused": self.refused,
            "restart": self.restart,
            "unknown": self.unknown,
        }


def summarize(answers: Mapping[str, Any]) -> PreflightResult:
    """Summarize the answers by instance name.

    An answer is {"problems": [...], "restart": [...]}, or {"error": reason} if there is none.
    """
    accepting, refused, restart, unknown = 0, {}, {}, {}
    for name, answer in answers.items():
        if not isinstance(answer, dict) or not isinstance(answer.get("problems"), list):
            error = answer.get("error") if isinstance(answer, dict) else None
            unknown[name] = str(error or "its answer is invalid")
        elif answer["problems"]:
            refused[name] = "; ".join(_problem_text(problem) for problem in answer["problems"])[:500]
        else:
            accepting += 1
            keys = answer.get("restart")
            if isinstance(keys, list) and keys:
                restart[name] = [str(key) for key in keys]
    return PreflightResult(accepting, refused, restart, unknown)


def _problem_text(problem: Any) -> str:
    if not isinstance(problem, dict):
        return str(problem)[:100]
    return f"{problem.get('key')}: {problem.get('reason')}"


async def ask_all(
    names: Iterable[str], ask: Callable[[str], Awaitable[Any]], timeout_s: float = TOTAL_TIMEOUT_S
) -> dict[str, Any]:
    """Ask all instances in `names`; returns the answers by name, {"error": ...} where none came in time."""
    answers: dict[str, Any] = {name: {"error": "not asked in time"} for name in names}
    limit = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def ask_one(name: str) -> None:
        async with limit:
            answers[name] = {"error": "no answer in time"}
            answers[name] = await ask(name)

    tasks = [asyncio.create_task(ask_one(name)) for name in answers]
    if tasks:
        _, unfinished = await asyncio.wait(tasks, timeout=timeout_s)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return answers
