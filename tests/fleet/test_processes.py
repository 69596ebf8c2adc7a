"""The agent, its command and sidecars as real processes, with the failures that they have to survive."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import stat
import sys
from pathlib import Path

import pytest

from covetally.cli import client
from covetally.fleet import audit
from covetally.rig.load import Load, Plan
from covetally.rig.managed import AgentError, Managed
from covetally.rig.relay import Fault
from covetally.rig.site import LOAD_CLASSES, TENANTS
from covetally.rig.world import Shape

WAIT_S = 90.0
QUICK = {"canary": 1, "shares": [1.0], "soak_s": 0, "instance_s": 3.0, "max_out": 50}


def run(main) -> None:
    async def timed():
        async with asyncio.timeout(WAIT_S):
            await main()

    asyncio.run(timed())


async def api(world: Managed, method: str, path: str, body=None, token: str = "", at: str = ""):
    async with client.connect(client.Target(at or world.agent_address, token)) as c:
        return await c.call(method, path, body)


async def change(world: Managed, **more):
    parent = (await api(world, "GET", "/v1/status"))["head"]
    body = {"parent": parent, "plan": QUICK, "set": {"limits.max_attempts": 3}, "anyway": True} | more
    return (await api(world, "POST", "/v1/revisions", body))["rollout"]["number"]


async def wait_for_end(world: Managed, number: int, timeout_s: float = 30.0):
    async for table in client.follow(client.create_target(world.agent_address, None), number, timeout_s):
        last = table
    return last


def states(table) -> dict[str, str]:
    return dict(sorted(table["states"].items()))


# --- the command as an operator uses it -----------------------------------------------------------


def test_the_commands_of_an_operator_and_their_exit_codes():
    """Shows, dry runs, changes, restarts, refusals, conflicts and undo: the output and the exit codes."""

    async def main():
        async with Managed(Shape(nodes=1, instances=3)) as world:
            await world.start_supervised()
            code, out, _ = await world.command("set", "limits.max_attempts=3", "--dry-run")
            assert code == 0 and "3 instances would change, 0 would refuse; nothing was changed" in out
            quick = ("--soak", "0")
            code, out, _ = await world.command("set", "limits.max_attempts=3", "-m", "fewer", *quick)
            assert code == 0 and "3 took" in out
            shown = await world.table("show", "a1")
            assert shown["snapshot"]["limits"]["max_attempts"] == 3
            code, out, _ = await world.command("set", "process.backlog=99", "-s", "zone=a", "--restart", *quick)
            assert code == 0 and "1 took" in out, out
            head = (await world.get("/v1/status"))["head"]
            code, out, _ = await world.command("set", "classes.none.aim_ms=5", "--dry-run")
            assert code == 1 and "a0 would refuse it: classes.none.aim_ms: this sidecar has no such class" in out
            code, _, err = await world.command("set", "classes.none.aim_ms=5", *quick)
            assert code == 1 and "3 would refuse it" in err and "a0: classes.none.aim_ms" in err
            assert (await world.get("/v1/status"))["head"] == head  # no revision was created
            code, out, _ = await world.command("set", "classes.none.aim_ms=5", "--anyway", *quick)
            assert code == 1 and "1 refused (a0: classes.none.aim_ms: this sidecar has no such class" in out, out
            assert "undone" in out, out  # the canary refused, so the rollout is undone automatically
            code, out, _ = await world.command("set", "log.level=warning", "-m", "good", *quick)
            assert code == 0 and "3 took" in out, out
            code, out, _ = await world.command("unset", "log.level", *quick)
            assert code == 0, out
            code, _, err = await world.command("set", "limits.max_atempts=3")
            assert code == 2 and "nearest is limits.max_attempts" in err
            code, _, err = await world.command("set", "log.level=debug", "--parent", "1")
            assert code == 3 and "came first" in err and "process.backlog (zone=a): None -> 99" in err
            code, out, _ = await world.command("rollout", "undo", "2")
            assert code == 0
            code, out, _ = await world.command("rollout", "watch", "2")  # wait for the undo: a0 restarts
            assert code == 0, out
            listed = (await world.table("list"))["instances"]
            assert [i["name"] for i in listed] == ["a0", "a1", "a2"]
            (world.folder / "f.toml").write_text("[limits]\nmax_attempts = 2\n")
            code, out, _ = await world.command("apply", str(world.folder / "f.toml"), *quick)
            assert code == 0
            code, out, _ = await world.command("diff")
            assert out.splitlines() == ["- limits.max_attempts = 3   (all)", "+ limits.max_attempts = 2   (all)"]
            code, out, _ = await world.command("drain", "-s", "name=a1")
            assert (code, out) == (0, "a1: done\n")
            assert [i["state"] for i in (await world.table("list"))["instances"]].count("draining") == 1
            await world.command("resume", "-s", "name=a1")
            code, out, _ = await world.command("restart", "--soak", "0")
            assert code == 0 and "3 took" in out
            code, out, _ = await world.command("logs", "a0")
            assert "managed as a0" in out
            code, out, _ = await world.command("history")
            assert "fewer" in out
            code, out, _ = await world.command("top", "--count", "1", "--json")
            assert {row["name"] for row in json.loads(out)} == {"a0", "a1", "a2"}
            code, out, _ = await world.command("rollout", "status", "1")
            assert code == 0 and out.startswith("rollout 1 of revision 1")
            code, _, err = await world.command("forget", "a2")
            assert code == 3 and "is connected" in err
            assert audit.verify(world.state / "audit.log") == []
            code, out, _ = await world.command("audit-check", str(world.state / "audit.log"))
            assert code == 0 and out.endswith("in order\n")
            await world.end_agent()
            code, _, err = await world.command("list")
            assert code == 4 and "Is `cindersail agent` running?" in err

    run(main)


# --- rollouts with failures -----------------------------------------------------------------------


def test_a_rollout_with_failing_instances_and_a_killed_agent_ends_with_every_instance_in_a_clear_state():
    """Of 12 instances one refuses, one is stopped, one killed and one cut off; the agent is killed midway."""

    async def main():
        names = [f"a{i}" for i in range(12)]
        async with Managed(Shape(nodes=1, instances=12), relayed=("a03", "a3")) as world:
            del world.instances["a11"].config["settings"]["classes"][
                3
            ]  # it has no class loan-transfer and refuses the change
            await world.start_agent()
            await world.start_instances()
            await world.connected()
            world.instances["a1"].process.send_signal(signal.SIGSTOP)
            world.kill_instance("a2")
            world.relays["a3"].set(Fault.BLACK_HOLE)
            plan = QUICK | {"max_out": 2, "instance_s": 4.0}
            number = await change(world, plan=plan, set={"classes.loan-transfer.aim_ms": 350})
            while True:
                table = await api(world, "GET", f"/v1/rollouts/{number}")
                if table["counts"].get("took", 0) >= 4:
                    break
                await asyncio.sleep(0.005)
            await world.kill_agent()
            await world.start_agent()
            table = await wait_for_end(world, number)
            assert table["phase"] == "incomplete"
            missing = {m["name"]: m for m in table["missing"]}
            assert {n: m["state"] for n, m in missing.items()} == {
                "a1": "unreachable", "a2": "unreachable", "a3": "unreachable", "a11": "refused",
            }  # fmt: skip
            assert "no such class" in missing["a11"]["detail"]
            took = [n for n, s in states(table).items() if s == "took"]
            assert took == sorted(set(names) - missing.keys())
            for name in took:
                shown = await world.table("show", name)
                assert shown["snapshot"]["classes"]["loan-transfer"]["aim_ms"] == 350.0
                assert world.instances[name].log.count("revision 1: took") == 1, "not applied twice"
            # The instances come back and converge without another rollout.
            world.instances["a1"].process.send_signal(signal.SIGCONT)
            world.relays["a3"].set(Fault.CUT)
            world.relays["a3"].set(Fault.NONE)
            await world.start_instance("a2")
            while True:
                table = await api(world, "GET", f"/v1/rollouts/{number}")
                if [m["name"] for m in table["missing"]] == ["a11"]:
                    break
                await asyncio.sleep(0.05)

    run(main)


def test_an_instance_that_dies_soon_after_a_change_is_reported_and_restarts_with_its_previous_settings(tmp_path):
    """It dies soon after it applied a revision: its next process starts with the last good one and says so."""

    async def main():
        async with Managed(Shape(nodes=1, instances=2)) as world:
            await world.start_agent()
            await world.start_instances()
            await world.connected()
            number = await change(world)
            while "revision 1: took" not in world.instances["a1"].log:
                await asyncio.sleep(0.01)
            await wait_for_end(world, number)
            world.kill_instance("a1")
            await world.instances["a1"].process.wait()
            await world.start_instance("a1")
            while not (note := {i["name"]: i["note"] for i in (await world.table("list"))["instances"]}["a1"]):
                await asyncio.sleep(0.1)
            assert "the process ended soon after it took this" in note
            assert world.kept("a1")["good"]["revision"] == 0

    run(main)


@pytest.mark.parametrize("when", ["before", "after"])
def test_a_rollout_ends_the_same_if_the_agent_is_killed_at_any_commit(when):
    """Kills the agent with SIGKILL just before or just after each commit that the store makes from the change on,
    one commit per run, until a run has no further commit. One instance refuses; nothing is applied twice."""

    async def main():
        async with Managed(Shape(nodes=1, instances=3)) as world:
            del world.instances["a2"].config["settings"]["classes"][3]
            await world.start_agent()
            await world.start_instances()
            await world.connected()
            kills, number = 0, 0
            while True:
                kills += 1
                await world.kill_agent()
                env = {"CRASH_AT": f"{kills},{when}", "CRASH_FROM": f"rollouts:{number}"}
                await world.start_agent(module="covetally.rig.crashing", env=env)
                await world.connected()
                value = 300 + kills
                try:
                    asked = await change(world, set={"classes.loan-transfer.aim_ms": value})
                except client.Failure:
                    asked = 0  # the agent died before it answered: the change exists completely or not at all
                try:
                    table = await wait_for_end(world, asked or number + 1, 0.0)
                    died = world.agent.returncode is not None
                except client.Failure:
                    died = True
                if died or world.agent.returncode is not None:
                    await world.kill_agent()
                    await world.start_agent()
                    if not (await api(world, "GET", "/v1/status"))["head"] > number:
                        assert asked == 0 and kills == 1, "a confirmed change is lost"
                        continue
                    table = await wait_for_end(world, number + 1)
                number += 1
                assert table["number"] == number
                assert states(table) == {"a0": "took", "a1": "took", "a2": "refused"}, f"kill {kills}"
                try:
                    await world.connected()
                    shows = [await world.table("show", name) for name in ("a0", "a1")]
                except (AgentError, OSError):  # the agent died at the last commit, after its table was read
                    died = True
                    await world.kill_agent()
                    await world.start_agent()
                    await world.connected()
                    shows = [await world.table("show", name) for name in ("a0", "a1")]
                for shown in shows:
                    assert shown["snapshot"]["classes"]["loan-transfer"]["aim_ms"] == value
                if not died:
                    break
            assert kills > 4, "fewer commits than a rollout has transitions"

    run(main)


def test_a_change_whose_acknowledgement_is_lost_is_not_applied_twice():
    async def main():
        async with Managed(Shape(nodes=1, instances=1), relayed=("a0",)) as world:
            await world.start_agent()
            await world.start_instances()
            await world.connected()
            relay = world.relays["a0"]
            relay.set(Fault.HALF_CLOSE)  # nothing reaches the sidecar; its messages still arrive
            relay.set(Fault.CUT)
            relay.set(Fault.NONE)
            await world.connected()
            number = await change(world)
            while "revision 1: took" not in world.instances["a0"].log:
                await asyncio.sleep(0.002)
            relay.set(Fault.CUT)
            relay.set(Fault.NONE)
            table = await wait_for_end(world, number)
            assert (table["phase"], states(table)) == ("done", {"a0": "took"})
            kept = world.kept("a0")
            assert (kept["trial"] or kept["good"])["revision"] == 1
            assert kept["good"]["revision"] in (0, 1)

    run(main)


def test_restarting_all_instances_one_at_a_time_under_load_loses_no_request():
    async def main():
        async with Managed(Shape(nodes=4, instances=3)) as world:
            await world.start_supervised()
            addresses = {n: i.address for n, i in world.instances.items()}
            plan = Plan(LOAD_CLASSES, TENANTS, tuple(addresses), rate=90, seconds=8, seed=5)
            load = Load(world.account, addresses, plan)
            played = asyncio.create_task(load.play(plan.draw()))
            await asyncio.sleep(0.5)
            before = {i["name"]: i["pid"] for i in (await world.table("list"))["instances"]}
            code, out, err = await world.command("restart", "--soak", "0", "--max-out", "1")
            assert code == 0 and "3 took" in out, out + err
            after = {i["name"]: i["pid"] for i in (await world.table("list"))["instances"]}
            assert all(after[name] != before[name] for name in before)
            await played
            verdict = world.account.judge()
            assert verdict.breaks == ()
            assert verdict.served > 400
            # After a restart the agent adopts the processes that it supervised before.
            await world.kill_agent()
            await world.start_supervised()
            again = {i["name"]: i["pid"] for i in (await world.table("list"))["instances"]}
            assert again == after
            os.kill(after["a0"], signal.SIGKILL)
            while True:
                found = {i["name"]: i for i in (await world.table("list"))["instances"]}["a0"]
                if found["connected"] and found["pid"] != after["a0"]:
                    break
                await asyncio.sleep(0.1)
            assert await world.end_agent() == 0
            for name, instance in world.instances.items():
                assert "ends" in instance.log.splitlines()[-1], f"{name} was not stopped"

    run(main)


def test_a_process_that_crashes_at_every_start_is_reported():
    async def main():
        async with Managed(Shape(nodes=1, instances=1)) as world:
            supervise = world.folder / "supervise.toml"
            command = [sys.executable, "-c", "raise SystemExit(3)"]
            supervise.write_text(f'[[instance]]\nname = "bad"\ncommand = {json.dumps(command)}\n')
            await world.start_agent("--supervise", str(supervise))
            while True:
                (found,) = (await api(world, "GET", "/v1/status"))["supervised"]
                if found["crashes"] >= 2:
                    break
                await asyncio.sleep(0.1)
            assert found["last"] == "status 3"

    run(main)


# --- access control -------------------------------------------------------------------------------

READ, WRITE, INST = "r" * 20, "w" * 20, "i" * 20


def test_tokens_restrict_access_over_tcp():
    async def main():
        async with Managed(Shape(nodes=1, instances=2)) as world:
            tokens = world.folder / "tokens"
            tokens.write_text(f"rita reader {READ}\nolga operator {WRITE}\na0 instance {INST}\n")
            with pytest.raises(AgentError, match="--tokens is required"):
                await world.start_agent("--listen", "127.0.0.1:0")
            where = ("--listen", "127.0.0.1:0", "--listen-instances", "127.0.0.1:0", "--tokens", str(tokens))
            await world.start_agent(*where)
            log = (world.folder / "agent.log").read_text()
            operators = "http://" + log.rpartition("operators at ")[2].split()[0]
            instances = log.rpartition("instances at ")[2].split()[0]
            assert stat.S_IMODE(os.stat(world.state / "operators.sock").st_mode) == 0o600
            (world.folder / "token").write_text(INST + "\n")
            for name in world.instances:
                path = world.instances[name].folder / "operator.toml"
                path.write_text(
                    f'[control]\nagent = "tcp:{instances}"\ntoken_file = "{world.folder}/token"\n'
                    "redial_min_s = 0.05\nredial_max_s = 0.1\n"
                )
            await world.start_instances()
            await world.connected("a0")
            while "does not permit this name" not in world.instances["a1"].log:
                await asyncio.sleep(0.05)
            for token, method, path, code in (
                ("", "GET", "/v1/status", client.DENIED),
                ("x" * 20, "GET", "/v1/status", client.DENIED),
                (INST, "GET", "/v1/status", client.DENIED),
                (READ, "POST", "/v1/revisions", client.DENIED),
            ):
                with pytest.raises(client.Failure) as caught:
                    await api(world, method, path, {}, token, operators)
                assert caught.value.exit_code == code
            assert (await api(world, "GET", "/v1/status", None, READ, operators))["connected"] == 1
            body = {"parent": 0, "set": {"limits.max_attempts": 2}, "plan": QUICK}
            await api(world, "POST", "/v1/revisions", body, WRITE, operators)
            acts = (await api(world, "GET", "/v1/audit", None, READ, operators))["acts"]
            assert "olga" in {a["who"] for a in acts}
            tokens.write_text(f"olga operator {READ}\n")
            with pytest.raises(client.Failure):
                await api(world, "GET", "/v1/status", None, WRITE, operators)
            await api(world, "GET", "/v1/status", None, READ, operators)

    run(main)


@pytest.mark.parametrize(
    "method, path, body, code",
    [
        ("GET", "/v1/instances?selector=zone", None, "bad_input"),
        ("GET", "/v1/instances/none", None, "unknown"),
        ("GET", "/v1/rollouts/9", None, "unknown"),
        ("GET", "/nothing", None, "http"),
        ("POST", "/v1/revisions", {"parent": "x"}, "bad_input"),
        ("POST", "/v1/revisions", {"parent": 0, "set": []}, "bad_input"),
        ("POST", "/v1/revisions", {"parent": 0, "plan": {"max_out": 0}}, "bad_input"),
        ("POST", "/v1/revisions", {"parent": 7, "set": {"log.level": "debug"}}, "conflict"),
        ("POST", "/v1/revisions", {"parent": 0, "put": {"log.level": {"a": 1}}}, "bad_input"),
        ("POST", "/v1/restart", {"selector": "name=none"}, "unknown"),
        ("POST", "/v1/drain", {"selector": "="}, "bad_input"),
        ("POST", "/v1/rollouts/1/undo", {}, "unknown"),
    ],
)
def test_invalid_calls_get_a_clear_error(method, path, body, code, agent_alone):
    async def main():
        with pytest.raises(client.Failure) as caught:
            await api(agent_alone, method, path, body)
        assert caught.value.table["error"] == code and caught.value.message

    asyncio.run(main())


@pytest.fixture(scope="module")
def agent_alone(tmp_path_factory):
    """An agent without instances, for calls that need none."""
    state = tmp_path_factory.mktemp("state")

    class Alone:
        agent_address = f"unix:{state / 'operators.sock'}"

    async def start():
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "covetally.cli.main", "agent", "--state", str(state), "--recover", "0",
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        while b"agent ready" not in await process.stderr.readline():
            assert process.returncode is None
        return process

    loop = asyncio.new_event_loop()
    process = loop.run_until_complete(start())
    yield Alone()
    process.terminate()
    loop.run_until_complete(process.wait())
    loop.close()


def test_of_concurrent_changes_one_is_accepted_and_the_others_get_a_conflict_that_names_it(agent_alone):
    async def main():
        for turn in range(25):
            head = (await api(agent_alone, "GET", "/v1/status"))["head"]
            bodies = [{"parent": head, "set": {"limits.max_attempts": 1 + (turn * 4 + i) % 99}} for i in range(4)]
            asked = [api(agent_alone, "POST", "/v1/revisions", body) for body in bodies]
            got = await asyncio.gather(*asked, return_exceptions=True)
            won = [x for x in got if isinstance(x, dict)]
            lost = [x for x in got if isinstance(x, client.Failure)]
            assert (len(won), len(lost)) == (1, 3)
            assert all(x.exit_code == client.CONFLICT for x in lost)
            first = won[0]["revision"]
            assert all(x.table["revisions"][0]["number"] == first for x in lost)
            assert all(x.table["changes"][0]["key"] == "limits.max_attempts" for x in lost)
            assert (await api(agent_alone, "GET", f"/v1/revisions/{first}"))["parent"] == head

    run(main)


def test_a_second_agent_on_the_same_folder_does_not_start(agent_alone):
    async def main():
        state = Path(agent_alone.agent_address.removeprefix("unix:")).parent
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "covetally.cli.main", "agent", "--state", str(state),
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        _, err = await process.communicate()
        assert process.returncode == 2 and b"another agent runs on this folder" in err
        assert len(err.splitlines()) == 1

    run(main)
