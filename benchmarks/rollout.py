"""A rollout to 200 sidecars, each a process: 5 refuse, 5 are stopped, 5 killed, 5 cut off, and the agent is
killed (-9) once half-way. Every instance has to end in one known state, every one that did not take the change
has to be named, and all others have to have it."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time

from benchmarks.report import progress, show
from covetally.rig.managed import Managed
from covetally.rig.relay import Fault
from covetally.rig.world import Shape

AIM = 350


def _odd(count: int, each: int) -> dict[str, list[str]]:
    """Who is in trouble of which kind, spread over all."""
    kinds = ("refuses", "stopped", "killed", "cut off")
    step = max(1, count // (each * len(kinds)))
    names = iter(f"a{i}" for i in range(0, count, step))
    return {kind: [next(names) for _ in range(each)] for kind in kinds}


async def measure(count: int, each: int) -> tuple[dict[str, object], bool]:
    """The figures, and whether all was as it has to be."""
    odd = _odd(count, each)
    async with Managed(Shape(nodes=2, instances=count), relayed=tuple(odd["cut off"])) as world:
        for name in odd["refuses"]:
            del world.instances[name].config["settings"]["classes"][3]
        start = time.monotonic()
        await world.start_agent()
        names = list(world.instances)
        for at in range(0, count, 20):
            await asyncio.gather(*(world.start_instance(name) for name in names[at : at + 20]))
            progress(f"{min(count, at + 20)} of {count} sidecars started")
        await world.connected()
        up_s = time.monotonic() - start
        for name in odd["stopped"]:
            world.instances[name].process.send_signal(signal.SIGSTOP)
        for name in odd["killed"]:
            world.kill_instance(name)
        for name in odd["cut off"]:
            world.relays[name].set(Fault.BLACK_HOLE)
        start = time.monotonic()
        plan = ("--anyway", "--canary", "0", "--shares", "0.2,1", "--soak", "1", "--max-out", "20")
        plan = (*plan, "--deadline", "10")
        command = asyncio.create_task(world.command("set", f"classes.loan-transfer.aim_ms={AIM}", *plan))
        while True:
            await asyncio.sleep(0.01)
            found = (await world.get("/v1/rollouts"))["rollouts"]
            if found and found[0]["counts"].get("took", 0) >= count // 2:
                break
        progress("the agent is killed half-way")
        await world.kill_agent()
        killed = time.monotonic()
        await world.start_agent()
        code, out, err = await command
        whole_s = time.monotonic() - start
        after_s = time.monotonic() - killed
        progress(out + err)
        table = await world.get("/v1/rollouts/1")
        missing = {m["name"]: m["state"] for m in table["missing"]}
        expected = {n: "refused" for n in odd["refuses"]}
        expected |= {n: "unreachable" for kind in ("stopped", "killed", "cut off") for n in odd[kind]}
        have = 0
        for name in names:
            if name not in expected:
                shown = await world.get(f"/v1/instances/{name}")
                have += shown["snapshot"]["classes"]["loan-transfer"]["aim_ms"] == AIM
        twice = [n for n in names if world.instances[n].log.count("revision 1: took") > 1]
        good = missing == expected and have == count - len(expected) and not twice and code == 1
        start = time.monotonic()
        for name in odd["stopped"]:
            world.instances[name].process.send_signal(signal.SIGCONT)
        for name in odd["cut off"]:
            world.relays[name].set(Fault.CUT)
            world.relays[name].set(Fault.NONE)
        await asyncio.gather(*(world.start_instance(name) for name in odd["killed"]))
        while {m["name"] for m in table["missing"]} != set(odd["refuses"]):
            if time.monotonic() - start > 60:
                good = False
                break
            await asyncio.sleep(0.1)
            table = await world.get("/v1/rollouts/1")
        back_s = time.monotonic() - start
        return {
            "instances": count,
            "all up and connected": f"{up_s:.1f} s",
            "rollout, with the agent killed half-way": f"{whole_s:.1f} s",
            "of that after the kill": f"{after_s:.1f} s (10 s are the deadline of those that are away)",
            "states": table["counts"],
            "named as missing": f"{len(missing)}, expected {len(expected)}",
            "have it": f"{have} of {count - len(expected)}",
            "applied twice": len(twice),
            "those away converged once back": f"{back_s:.1f} s",
            "as it has to be": good,
        }, good


def main() -> int:
    """Exit status 1 if an instance is not where it has to be."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=200)
    parser.add_argument("--each", type=int, default=5, help="in each kind of trouble")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows, good = asyncio.run(measure(options.instances, options.each))
    show("rollout", rows, options.json)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
