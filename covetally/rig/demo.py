"""The demonstration: a small world in trouble, on the terminal, and its account at the end."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from rich.console import Console, Group
from rich.live import Live
from rich.progress_bar import ProgressBar
from rich.table import Table

from covetally.rig import site
from covetally.rig.account import Ask, Verdict
from covetally.rig.load import Load, Plan
from covetally.rig.managed import Managed
from covetally.rig.registered import Registered
from covetally.rig.world import Shape, World

REFRESH_S = 0.5
TAIL_S = 3.5  # after the last first try: the longest deadline, and some


@dataclass(frozen=True, slots=True)
class Act:
    """Something that happens `at` of the load's time, from 0 to 1."""

    at: float
    text: str
    play: Callable[[World], object]


def acts(world: World) -> list[Act]:
    """The troubles of the demonstration, as far as the world has nodes for them."""
    names = list(world.nodes)
    first, second, third = names[0], names[1 % len(names)], names[2 % len(names)]
    return [
        Act(0.15, f"{first} is killed", lambda w: w.kill_node(first)),
        Act(0.30, f"{second} drains", lambda w: w.lifecycle(second, "leaving")),
        Act(0.40, f"{first} comes back, cold", lambda w: w.revive_node(first)),
        Act(0.50, f"{second} is back from its drain", lambda w: w.lifecycle(second, "active")),
        Act(0.60, f"{third} fails 70 % of its requests at once", lambda w: w.mood(third, fail_fast=0.7)),
        Act(0.78, f"{third} is well again", lambda w: w.mood(third)),
    ]


class Stage:
    """One demonstration."""

    def __init__(self, shape: Shape, seconds: float, rate: float, console: Console, live: bool) -> None:
        self.seconds, self.rate = seconds, rate
        self.console, self.live = console, live
        self.shape = shape
        self.lines: list[str] = []
        self._seen: Counter[str] = Counter()
        self._seen_at = time.monotonic()

    async def run(self) -> Verdict:
        """Play it and judge it."""
        load_s = max(3.0, self.seconds - TAIL_S)
        async with World(self.shape) as world:
            await world.start_instances()
            plan = Plan(
                site.LOAD_CLASSES, site.TENANTS, tuple(world.instances), self.rate, load_s, self.shape.seed
            )
            addresses = {name: instance.address for name, instance in world.instances.items()}
            load = Load(world.account, addresses, plan, world.alive)
            played = asyncio.create_task(load.play(plan.draw()))
            await self._watch(world, load, played, load_s)
            await played
            return world.account.judge()

    async def _watch(self, world: World, load: Load, played: asyncio.Task[None], load_s: float) -> None:
        start, waiting = time.monotonic(), acts(world)
        with Live(console=self.console, auto_refresh=False, transient=True) as screen:
            while not played.done():
                passed = time.monotonic() - start
                while waiting and passed >= waiting[0].at * load_s:
                    act = waiting.pop(0)
                    done = act.play(world)
                    if asyncio.iscoroutine(done):
                        await done
                    self._say(f"{passed:5.1f} s  {act.text}")
                if self.live:
                    screen.update(self._picture(world, load, passed / load_s), refresh=True)
                await asyncio.wait([played], timeout=REFRESH_S)

    def _say(self, line: str) -> None:
        self.lines.append(line)
        if not self.live:
            self.console.print(line)

    def _picture(self, world: World, load: Load, part: float) -> Group:
        now = time.monotonic()
        span, self._seen_at = max(0.001, now - self._seen_at), now
        bar = ProgressBar(total=1.0, completed=min(1.0, part), width=60)
        return Group(self._instances(world, load), self._nodes(world, span), "\n".join(self.lines[-6:]), bar)

    def _instances(self, world: World, load: Load) -> Table:
        table = Table("instance", "asked/s", "in time", "refused", "failed", "in flight", title="sidecars")
        since = time.monotonic_ns() - 3_000_000_000
        recent: dict[str, list[Ask]] = {name: [] for name in world.instances}
        for ask in reversed(world.account.asks.values()):
            if ask.due_ns < since:
                break
            recent[ask.instance].append(ask)
        for name, asks in recent.items():
            counts = Counter(_fate(ask, world) for ask in asks if ask.answers)
            answered = max(1, counts.total())
            table.add_row(
                name, f"{len(asks) / 3:.0f}", f"{counts['in time'] / answered:.0%}",
                str(counts["refused"]), str(counts["failed"]), str(load.in_flight[name]),
            )  # fmt: skip
        return table

    def _nodes(self, world: World, span: float) -> Table:
        table = Table("node", "state", "arrived/s", "declined", "ran", title="ledger nodes")
        for name, node in world.nodes.items():
            arrived = node.seen["arrived"]
            rate = (arrived - self._seen[name]) / span
            self._seen[name] = arrived
            state = node.entry["lifecycle"] if node.child.running else "dead"
            table.add_row(name, state, f"{rate:.0f}", str(node.seen["declined"]), str(node.seen["ran"]))
        return table


def _fate(ask: Ask, world: World) -> str:
    at_ns, status, _ = ask.answers[0]
    if status == 200:
        return "in time" if at_ns <= ask.due_ns + world.account.classes[ask.cls].aim_ns else "late"
    return "refused" if status in (429, 503) else "failed"


def report(verdict: Verdict, console: Console) -> None:
    """The account, for people."""
    console.print(
        f"{verdict.asked} requests asked, {verdict.taken} taken, {verdict.attempts} attempts at nodes: "
        f"{verdict.served} served ({verdict.in_time} in time), {verdict.refused} refused, "
        f"{verdict.failed} failed."
    )
    if verdict.kept:
        console.print("Every request taken had exactly one final answer; all four rules were kept.")
    for broken in verdict.breaks[:20]:
        where = " ".join(x for x in (broken.instance, broken.node) if x)
        console.print(f"BROKEN {broken.rule}: {broken.id} ({where}): {broken.text}")
    if len(verdict.breaks) > 20:
        console.print(f"and {len(verdict.breaks) - 20} more")


_LIMIT = "heartbeat_s = 1\n[tier.rate_per_s]\nofficina-brescia = {rate}\n"


async def _stay(shape: Shape, seconds: float, rate: float, console: Console, registry: bool) -> Verdict:
    """Sidecars under an agent, with clients asking, until the time is over or somebody interrupts."""
    control = _LIMIT.format(rate=round(rate / 5, 1)) if shape.peers else "heartbeat_s = 1\n"
    made = Registered(shape, peers=2, managed=True) if registry else Managed(shape, control=control)
    async with made as world:
        await world.start_supervised()
        console.print(f"An agent manages {len(world.instances)} sidecars. In another shell:")
        console.print(f"    export CINDERSAIL_AGENT={world.agent_address}")
        console.print("    cindersail list")
        if shape.peers:
            console.print("    cindersail tier members")
            console.print("    cindersail tier limits")
            console.print("Kill a node, and look at `cindersail tier verdicts`:")
            console.print(f"    kill -9 {world.nodes['n2'].child.pid}")
        if isinstance(world, Registered):
            url = f"http://127.0.0.1:{world.ports['other'][0]}/eureka"
            console.print("    cindersail roster show")
            console.print("The nodes are in a Eureka registry; as an operator marks one there, and takes it off:")
            console.print(f"    curl -X PUT '{url}/apps/LEDGER/n0/status?value=OUT_OF_SERVICE'")
            console.print(f"    curl -X DELETE '{url}/apps/LEDGER/n0/status?value=UP'")
        console.print(f"It stays for {seconds:g} s or until it is interrupted (Ctrl-C).")
        plan = Plan(site.LOAD_CLASSES, site.TENANTS, tuple(world.instances), rate, seconds, shape.seed)
        addresses = {name: instance.address for name, instance in world.instances.items()}
        await Load(world.account, addresses, plan).play(plan.draw())
        return world.account.judge()


def play_managed(shape: Shape, seconds: float, rate: float, registry: bool) -> int:
    """A managed fleet to try the command on; the exit status as for `play`, 0 if it was interrupted."""
    console = Console(soft_wrap=True, highlight=False)
    try:
        verdict = asyncio.run(_stay(shape, seconds, rate, console, registry))
    except KeyboardInterrupt:
        return 0
    report(verdict, console)
    return 0 if verdict.kept else 1


def play(shape: Shape, seconds: float, rate: float, as_json: bool) -> int:
    """Run the demonstration; the exit status: 0 if the rules were kept, 1 if one was broken."""
    console = Console(file=sys.stderr if as_json else sys.stdout)
    live = console.is_terminal and not as_json
    verdict = asyncio.run(Stage(shape, seconds, rate, console, live).run())
    if as_json:
        print(json.dumps(verdict.table(), indent=2))
    else:
        report(verdict, console)
    return 0 if verdict.kept else 1
