"""Sidecars of a tier as real processes, with faults between them: membership, limits, outlier detection."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import struct
import time
from collections.abc import Callable

import pytest

from covetally.rig.faults import Faults, admitted, agree, most_at_once, over_rate
from covetally.rig.load import Load, Plan, Planned
from covetally.rig.managed import Managed
from covetally.rig.schedule import Link, Schedule, Step
from covetally.rig.site import LOAD_CLASSES
from covetally.rig.world import Shape, World
from covetally.tier.swim import Message, MessageKind
from covetally.tier.wire import encode

TEST_TIMEOUT_S = 100.0
SIZE = 5
ALL = tuple(range(SIZE))
CUT = Link(cut=True)
TENANT = "officina-brescia"
RATE, BURST_S = 40.0, 1.0
MAX_QUEUED_S = 0.6  # the longest aim: no call is queued for longer before it is sent
RATE_LIMIT = (
    f"heartbeat_s = 0.5\n[tier]\nlease_s = 2\nburst_s = {BURST_S}\n[tier.rate_per_s]\n{TENANT} = {RATE}\n"
)
IN_FLIGHT_LIMIT = f"heartbeat_s = 0.5\n[tier]\nlease_s = 2\n[tier.in_flight]\n{TENANT} = 10\n"


TIER_ON = "heartbeat_s = 0.5\n[tier]\nmode = 'on'\n"


def run(main, control: str = TIER_ON, **shape) -> None:
    async def timed():
        world = Managed(Shape(nodes=6, instances=SIZE, peers=True, **shape), control=control)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            async with world:
                await world.start_agent()
                await world.start_instances()
                await world.connected()
                await main(world, Faults(world))

    asyncio.run(timed())


async def tables(world: Managed, faults: Faults) -> dict[str, dict]:
    found = {n: t for n, t in (await world.get("/v1/tiers"))["instances"].items() if "members" in t}
    faults.say("tables", tables=found)
    return found


Condition = Callable[[dict[str, dict]], bool]


async def wait_until(world: Managed, faults: Faults, condition: Condition) -> None:
    try:
        async with asyncio.timeout(45):
            while not condition(await tables(world, faults)):
                await asyncio.sleep(0.2)
    except TimeoutError:
        pytest.fail(f"the condition was never met: {faults.history[-1]}")


def all_alive(found: dict[str, dict]) -> bool:
    return len(found) == SIZE and not agree(found.values(), dict.fromkeys(ALL, "alive"))


def all_see(member: int, state: str, by: int) -> Condition:
    def condition(found: dict[str, dict]) -> bool:
        others = [t for t in found.values() if t["member"] != member]
        return len(others) >= by and not agree(others, {member: state})

    return condition


def test_members_that_leave_are_killed_paused_or_restarted_are_shown_in_that_state():
    async def main(world: Managed, faults: Faults) -> None:
        await wait_until(world, faults, all_alive)
        life = (await tables(world, faults))["a1"]["life"]
        await faults.play((Step(0, "kill", (1,)), Step(0, "leave", (2,)), Step(0, "stop", (3,))))
        for member, state in ((2, "left"), (1, "gone"), (3, "gone")):
            await wait_until(world, faults, all_see(member, state, 2))
        await faults.play((Step(0, "start", (1, 2)), Step(0, "go_on", (3,))))
        await wait_until(world, faults, all_alive)
        assert {t["members"][1]["life"] for t in (await tables(world, faults)).values()} != {life}

    run(main)


def plan_calls(seconds: float, where: Callable[[float], int], rate: float = 70.0, seed: int = 1) -> list[Planned]:
    """Calls of one tenant and a repeatable class, each to the member that `where` returns for its time."""
    rng, at, calls = random.Random(seed), 0.0, []
    while (at := at + rng.expovariate(rate)) < seconds:
        calls.append(Planned(at, LOAD_CLASSES[0], TENANT, f"m{len(calls)}", f"a{where(at)}"))
    return calls


def create_load(world: Managed) -> Load:
    plan = Plan(LOAD_CLASSES, {TENANT: 1.0}, tuple(world.instances), 1.0, 1.0, retries=0)
    return Load(world.account, {n: i.address for n, i in world.instances.items()}, plan, world.alive)


HALVES = ((0, 1), (2, 3, 4))
FAULTS: dict[str, Schedule] = {
    "well": (),
    "halves partitioned and healed": (
        Step(2, "link", HALVES[0], HALVES[1], CUT), Step(2, "link", HALVES[1], HALVES[0], CUT), Step(7, "heal"),
    ),
    "one way only": (Step(2, "link", HALVES[0], HALVES[1], CUT), Step(7, "heal")),
    "links of one member flapping": (
        Step(2, "link", (0,), ALL, Link(flap_s=1.0)), Step(2, "link", ALL, (0,), Link(flap_s=1.0)),
    ),
    "half lost, duplicated, reordered": (
        Step(1, "link", ALL, ALL, Link(lose=0.5, twice=0.5, delay_s=(0.0, 0.8))),
    ),
    "five seconds late": (Step(1, "link", ALL, ALL, Link(delay_s=(5.0, 5.02))),),
    "borrower stopped beyond its lease": (Step(4, "stop", (0,)), Step(7, "go_on", (0,))),
    "borrower killed and restarted": (Step(4, "kill", (0,)), Step(4.5, "start", (0,))),
    "most killed and restarted without state": (Step(4, "kill", (1, 2, 3)), Step(4.5, "start", (1, 2, 3))),
}  # fmt: skip


@pytest.mark.parametrize("name", FAULTS)
def test_the_rate_limit_of_a_tenant_is_enforced_across_the_tier_under(name):
    """All calls go to one sidecar, then from one moment to another, at nearly twice the allowed rate."""

    async def main(world: Managed, faults: Faults) -> None:
        await wait_until(
            world, faults, lambda t: not any(limit["young"] for x in t.values() for limit in x["limits"])
        )
        load = create_load(world)
        calls = plan_calls(12.0, lambda at: 0 if at < 6 else 4)
        await asyncio.gather(load.play(calls), faults.play(FAULTS[name]))
        judgement = world.account.judge()
        times = admitted(world.account, TENANT)
        over, at = over_rate(times, RATE, max(SIZE, RATE * BURST_S), MAX_QUEUED_S)
        assert over <= 0, f"{name}: over by {over:.1f}: {faults.history[:-1]}"
        # A stopped process cannot answer meanwhile. No other call may be lost, and none may arrive twice.
        stopped = {f"a{n}" for step in FAULTS[name] if step.do == "stop" for n in step.members}
        breaks = [b for b in judgement.breaks if (b.rule, b.instance in stopped) != ("lost", True)]
        assert not breaks, breaks[:3]
        assert judgement.refused > 0
        if name == "well":  # most of the limit is used, except for reserved fractions and the move
            assert len(times) >= 0.5 * RATE * 12, len(times)

    run(main, RATE_LIMIT)


def test_a_limit_on_calls_in_flight_is_enforced_while_links_are_cut_and_sidecars_stop():
    async def main(world: Managed, faults: Faults) -> None:
        for node in world.nodes:
            world.mood(node, slow=4.0)
        load = create_load(world)
        schedule = (
            Step(2, "link", HALVES[0], HALVES[1], CUT), Step(3, "stop", (1,)), Step(6, "go_on", (1,)),
            Step(7, "heal"), Step(8, "kill", (2,)), Step(8.5, "start", (2,)),
        )  # fmt: skip
        await asyncio.gather(load.play(plan_calls(12.0, lambda at: int(at) % SIZE, 100.0)), faults.play(schedule))
        assert 0 < most_at_once(world.account, TENANT) <= 10, faults.history
        assert not [b for b in world.account.judge().breaks if b.instance != "a1"]  # a1 was stopped

    run(main, IN_FLIGHT_LIMIT)


def test_a_dead_node_is_ejected_by_sidecars_that_never_called_it_and_probed_by_one_at_a_time():
    async def main(world: Managed, faults: Faults) -> None:
        load = create_load(world)
        calls = plan_calls(14.0, lambda at: int(at * 50) % 3, 150.0)  # to three of the five
        playing = asyncio.create_task(load.play(calls))
        await asyncio.sleep(2)
        await world.kill_node("n2")
        await wait_until(world, faults, lambda t: len(t) == SIZE and all(
            any(v["of"] == "n2" and v["avoided"] for v in x["verdicts"]) for x in t.values()))  # fmt: skip
        found = await tables(world, faults)
        assert all(v["of"] == "n2" for t in found.values() for v in t["verdicts"] if v["avoided"])
        await wait_until(world, faults, lambda t: sum(x["counts"]["trials"] for x in t.values()) >= 1)
        await world.revive_node("n2")
        await wait_until(
            world, faults, lambda t: not any(v["avoided"] for x in t.values() for v in x["verdicts"])
        )
        await playing
        assert world.account.judge().kept

    run(main)


def test_a_sidecar_cut_from_all_nodes_and_one_cut_from_discovery_eject_no_node_for_others():
    """Connections are refused, not reset.

    A reset causes no failure report, and which of the two a cut link causes depends on the kernel's timing.
    """

    async def main(world: Managed, faults: Faults) -> None:
        load = create_load(world)
        playing = asyncio.create_task(load.play(plan_calls(10.0, lambda at: int(at * 50) % SIZE, 150.0)))
        every = tuple(range(len(world.nodes)))
        await asyncio.sleep(2)
        await faults.play((Step(0, "tcp", (0,), every, fault="refuse"), Step(0, "tcp", (1,), fault="black hole")))
        reporters = set()
        for _ in range(30):
            found = await tables(world, faults)
            avoided = {v["of"] for t in found.values() for v in t["verdicts"] if v["avoided"]}
            assert not avoided, faults.history[-1]
            reporters |= {n for t in found.values() for v in t["verdicts"] for n in v["accused_by"]}
            await asyncio.sleep(0.2)
        assert reporters == {0}
        await faults.play((Step(0, "tcp", (0,), every, fault="none"), Step(0, "tcp", (1,), fault="none")))
        await playing
        assert world.account.judge().kept, world.account.judge().breaks[:3]

    run(main, links=True)


def test_malformed_datagrams_a_flood_and_a_newer_version_harm_no_sidecar():
    """One peer sends ten thousand datagrams a second of all kinds, with invalid updates."""

    async def main(world: Managed, faults: Faults) -> None:
        net = world.datagrams
        assert net is not None
        rng = random.Random(5)
        playing = asyncio.create_task(
            create_load(world).play(plan_calls(5.0, lambda at: int(at * 50) % SIZE, 60.0))
        )
        for _ in range(150):
            for _ in range(300):
                data = rng.randbytes(rng.randrange(300))
                if rng.random() < 0.5:
                    data = struct.pack(">BB", 0x54, rng.randrange(4)) + data[2:]
                net.inject(4, rng.randrange(4), data)
            newer = encode(Message(MessageKind.PING, 3, 7, 1, 1, 3))
            net.inject(3, 0, newer[:1] + b"\x02" + newer[2:] + b"what a newer version says")
            await asyncio.sleep(0.03)
        await playing
        assert world.account.judge().kept
        await wait_until(world, faults, all_alive)
        counts = [t["counts"] for t in (await tables(world, faults)).values()]
        assert sum(c["garbage"] + c["flooded"] for c in counts) > 0
        assert all(i.running and "Traceback" not in i.log for i in world.instances.values())

    run(main)


def reconfigure(world: Managed, size: int) -> None:
    """Write a configuration with `size` sidecars for each instance; running ones reload it."""
    for name, instance in world.instances.items():
        addresses = [world.datagrams.address(int(name[1:]), to) for to in range(size)]
        instance.config["peers"] = addresses
        world.command_line(name)  # writes it
        if instance.running:
            instance.process.send_signal(signal.SIGHUP)


def test_a_sidecar_added_to_the_list_of_peers_by_sighup_joins_the_tier():
    async def main(world: Managed, faults: Faults) -> None:
        reconfigure(world, 4)
        # The fifth is no longer on the list: it refuses that configuration, and the others ignore it.
        await wait_until(world, faults, lambda t: all(len(t[f"a{n}"]["members"]) == 4 for n in range(4)))
        await wait_until(world, faults, lambda t: "list every sidecar of the tier" in world.instances["a4"].log)
        reconfigure(world, SIZE)
        await wait_until(world, faults, all_alive)

    run(main)


def test_datagrams_of_a_sidecar_with_the_index_of_another_are_rejected():
    """Its datagrams come from its own address, but contain the index of another."""

    async def main(world: Managed, faults: Faults) -> None:
        world.instances["a4"].config["settings"]["index"] = 3
        await world.stop_instance("a4")
        await world.start_instance("a4")
        await world.connected()
        others = lambda t: {n: x for n, x in t.items() if n != "a4"}  # noqa: E731
        receivers = ("a0", "a1", "a2")  # it does not send to index 3, which it takes for itself
        await wait_until(world, faults, lambda t: all(t[n]["counts"]["garbage"] for n in receivers))
        await wait_until(world, faults, lambda t: t["a4"]["twins"] > 0)
        await wait_until(world, faults, lambda t: not agree(others(t).values(), {3: "alive"}))
        boot_ids = {x["members"][3]["life"] for x in others(await tables(world, faults)).values()}
        assert boot_ids == {(await tables(world, faults))["a3"]["life"]}

    run(main)


def test_a_limit_lowered_by_a_rollout_during_a_partition_is_enforced_once_all_have_it():
    async def main(world: Managed, faults: Faults) -> None:
        await wait_until(
            world, faults, lambda t: not any(limit["young"] for x in t.values() for limit in x["limits"])
        )
        first, second = HALVES
        await faults.play((Step(0, "link", first, second, CUT), Step(0, "link", second, first, CUT)))
        playing = asyncio.create_task(create_load(world).play(plan_calls(14.0, lambda at: int(at) % SIZE)))
        await asyncio.sleep(3)
        code, out, err = await world.command(
            "set", f"tier.rate_per_s.{TENANT}=15", "-m", "lower", "--canary", "0", "--soak", "0"
        )
        assert code == 0, (out, err)
        lowered_at = time.monotonic_ns()
        await playing
        times = [at for at in admitted(world.account, TENANT) if at > lowered_at]
        over, _ = over_rate(times, 15.0, max(SIZE, 15.0 * BURST_S), MAX_QUEUED_S)
        assert over <= 0, over
        over, _ = over_rate(admitted(world.account, TENANT), RATE, max(SIZE, RATE * BURST_S), MAX_QUEUED_S)
        assert over <= 0, over
        code, out, _ = await world.command("tier", "limits")
        assert code == 0 and "of 15" in out, out

    run(main, RATE_LIMIT)


def test_the_operators_commands_show_a_partition():
    async def main(world: Managed, faults: Faults) -> None:
        await wait_until(world, faults, all_alive)
        code, out, _ = await world.command("tier", "members")
        assert code == 0 and "0 differ from what most see" in out, out
        await faults.play((Step(0, "link", (0,), ALL, CUT), Step(0, "link", ALL, (0,), CUT)))
        await wait_until(world, faults, all_see(0, "gone", 4))
        code, out, _ = await world.command("tier", "members")
        assert code == 0 and "1 differ from what most see" in out, out
        code, out, _ = await world.command("tier", "verdicts")
        assert code == 0 and "nothing is accused" in out, out
        code, _, err = await world.command("tier", "members", "nobody")
        assert code == 2 and "nobody" in err

    run(main)


# --- invalid operator settings -------------------------------------------------------------------


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (f"[tier]\nmode = 'off'\n[tier.rate_per_s]\n{TENANT} = 40", "is off by tier.mode"),
        ("[tier.rate_per_s]\nofficina-milano = 40", "the platform names no such tenant"),
        (f"[tier]\nlease_s = 2\ndelay_ms = 900\n[tier.rate_per_s]\n{TENANT} = 40", "at least 4.1"),
        (f"[tier.rate_per_s]\n{TENANT} = 40\n[workers]\ncount = 2", "each worker would use all"),
        (f"[tier.rate_per_s]\n{TENANT} = 0", "a number from 0.001"),
        ("[tier]\nmode = 'maybe'", "one of on, off"),
    ],
)
def test_settings_that_cannot_be_enforced_are_refused_with_a_reason_in_one_line(tmp_path, lines, message):
    async def main() -> tuple[int | None, str]:
        world = World(Shape(nodes=1, instances=2, peers=True))
        async with world:
            command, env = world.command_line("a0")
            (tmp_path / "o.toml").write_text(lines)
            process = await asyncio.create_subprocess_exec(
                *command, "--operator", str(tmp_path / "o.toml"), env=os.environ | env,
                stderr=asyncio.subprocess.PIPE,
            )  # fmt: skip
            _, err = await asyncio.wait_for(process.communicate(), 30)
            return process.returncode, err.decode()

    code, err = asyncio.run(main())
    assert code == 2 and message in err and len(err.strip().splitlines()) == 1, err


def test_a_limit_without_peers_is_refused(tmp_path):
    async def main() -> tuple[int | None, str]:
        async with World(Shape(nodes=1, instances=1)) as world:
            command, env = world.command_line("a0")
            (tmp_path / "o.toml").write_text(f"[tier.rate_per_s]\n{TENANT} = 40")
            process = await asyncio.create_subprocess_exec(
                *command, "--operator", str(tmp_path / "o.toml"), env=os.environ | env,
                stderr=asyncio.subprocess.PIPE,
            )  # fmt: skip
            _, err = await asyncio.wait_for(process.communicate(), 30)
            return process.returncode, err.decode()

    code, err = asyncio.run(main())
    assert code == 2 and "needs peers" in err, err
