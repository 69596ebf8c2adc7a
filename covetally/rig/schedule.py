"""Schedules of faults between the processes of a tier: drawn from a seed, kept as a file, played again, shrunk.

A schedule says nothing of how its steps are carried out. `lab/tier.py` plays it in virtual time round the
decision modules, `rig/faults.py` with real processes and real datagrams.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Link:
    """What becomes of datagrams on one link, one way. Times in seconds. Delays that differ change the order."""

    cut: bool = False
    lose: float = 0.0
    twice: float = 0.0
    delay_s: tuple[float, float] = (0.003, 0.021)
    flap_s: float = 0.0  # cut every other such time

    def down(self, now_s: float) -> bool:
        """Whether nothing passes at this time."""
        return self.cut or (self.flap_s > 0 and int(now_s / self.flap_s) % 2 == 1)

    def delays(self, now_s: float, rng: random.Random, lose: float = 0.0) -> list[float]:
        """After how many seconds a datagram that is sent now arrives: never, once or twice. At least the share
        `lose` is lost."""
        if self.down(now_s) or rng.random() < max(self.lose, lose):
            return []
        return [rng.uniform(*self.delay_s) for _ in range(1 + (rng.random() < self.twice))]


WELL = Link()


@dataclass(frozen=True, slots=True)
class Step:
    """At `at` seconds, `do`: link (what `members` send `to` those meets `link` from now on), heal, kill, start,
    stop, go_on (of `members`), demand (each of `members` could use `amount`), leave, and with real processes tcp
    (connections of `members` to the nodes `to`, or with none to discovery, meet `fault`, of `relay.Fault`)."""

    at: float
    do: str
    members: tuple[int, ...] = ()
    to: tuple[int, ...] = ()
    link: Link = field(default_factory=Link)
    amount: float = 0.0
    fault: str = ""


Schedule = tuple[Step, ...]


def save(schedule: Schedule, path: Path) -> None:
    """One step a line."""
    path.write_text("".join(json.dumps(asdict(step)) + "\n" for step in schedule))


def load(path: Path) -> Schedule:
    """As saved; ValueError with the line where it is no schedule."""
    steps = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        try:
            raw = json.loads(line)
            link = Link(**raw.pop("link"))
            link = replace(link, delay_s=tuple(link.delay_s))
            members, to = tuple(raw.pop("members")), tuple(raw.pop("to"))
            steps.append(Step(link=link, members=members, to=to, **raw))
        except (ValueError, TypeError, KeyError) as error:
            raise ValueError(f"{path}:{number}: {error!r}") from None
    return tuple(steps)


def draw(seed: int, size: int, seconds: float, amount: float) -> Schedule:
    """Faults of every kind, with demand that moves from member to member; all is well for the last third."""
    rng = random.Random(seed)
    everybody = tuple(range(size))
    steps: list[Step] = []
    stopped: set[int] = set()
    dead: set[int] = set()

    def some(least: int = 1, most: int | None = None) -> tuple[int, ...]:
        return tuple(sorted(rng.sample(everybody, rng.randint(least, most or max(least, size - 1)))))

    def rest(members: tuple[int, ...]) -> tuple[int, ...]:
        return tuple(n for n in everybody if n not in members)

    at = 0.0
    while at < seconds * 2 / 3:
        kind = rng.choice(
            ("cut", "one way", "zone", "one", "flap", "lossy", "late", "twice", "mixed", "kill", "start",
             "stop", "go on", "demand", "demand", "heal")
        )  # fmt: skip
        if kind in ("cut", "zone", "one", "flap"):
            group = some(1, 1) if kind == "one" else some()
            if kind == "zone":
                group = everybody[::3]
            link = Link(flap_s=1.0) if kind == "flap" else Link(cut=True)
            steps += [Step(at, "link", group, rest(group), link), Step(at, "link", rest(group), group, link)]
        elif kind == "one way":
            group = some()
            steps.append(Step(at, "link", group, rest(group), Link(cut=True)))
        elif kind in ("lossy", "late", "twice", "mixed"):
            link = {
                "lossy": Link(lose=0.5), "late": Link(delay_s=(5.0, 5.02)), "twice": Link(twice=1.0),
                "mixed": Link(lose=0.2, twice=0.3, delay_s=(0.0, rng.choice((0.5, 3.0)))),
            }[kind]  # fmt: skip
            steps.append(Step(at, "link", everybody, everybody, link))
        elif kind == "kill":
            group = tuple(n for n in some(1, max(1, size * 7 // 10)) if n not in dead)
            dead.update(group)
            stopped.difference_update(group)
            steps.append(Step(at, "kill", group))
        elif kind == "start":
            steps.append(Step(at, "start", tuple(sorted(dead))))
            dead.clear()
        elif kind == "stop":
            group = tuple(n for n in some(1, max(1, size // 3)) if n not in dead)
            stopped.update(group)
            steps.append(Step(at, "stop", group))
        elif kind == "go on":
            steps.append(Step(at, "go_on", tuple(sorted(stopped))))
            stopped.clear()
        elif kind == "demand":
            group = some(1, rng.choice((1, 1, 2, size)))
            share = amount * rng.choice((0.5, 1.0, 3.0)) / len(group)
            steps += [Step(at, "demand", rest(group)), Step(at, "demand", group, amount=share)]
        else:
            steps.append(Step(at, "heal"))
        at += rng.uniform(0.1, 3.0)
    steps += [
        Step(at, "heal"), Step(at, "go_on", tuple(sorted(stopped))), Step(at, "start", tuple(sorted(dead))),
    ]  # fmt: skip
    return tuple(replace(step, at=round(step.at, 3)) for step in steps)


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool], most: int = 200) -> Schedule:
    """A shorter schedule that still fails (ddmin), in at most so many plays."""
    steps, parts, plays = schedule, 2, 0
    while len(steps) > 1 and plays < most:
        size = max(1, len(steps) // parts)
        for begin in range(0, len(steps), size):
            fewer = steps[:begin] + steps[begin + size :]
            plays += 1
            if fewer and fails(fewer):
                steps, parts = fewer, max(2, parts - 1)
                break
            if plays >= most:
                break
        else:
            if size == 1:
                break
            parts = min(len(steps), 2 * parts)
    return steps
